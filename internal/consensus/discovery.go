package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// The Hello intervals of a blank controller, a voter and a learner.
	blankHelloInterval   = 300 * time.Millisecond
	voterHelloInterval   = 5 * time.Second
	learnerHelloInterval = time.Second
	// learnerTimeout is how long a learner counts as alive after its last Hello.
	learnerTimeout = 2500 * time.Millisecond
	// peerRetention is how long the last Hello of a controller is kept.
	peerRetention = time.Minute
)

// discovery holds what this controller has learned about others from their Hello messages.
type discovery struct {
	// peers are the controllers that sent a Hello, by address.
	peers map[string]peer
	// contacted holds the addresses that a blank controller knows only from the Hello messages
	// of others. It sends Hello to them too.
	contacted map[string]bool
	// newestRecord is the newest record that was received. It is newer than the record of the
	// hard state while this controller is a voter that recovers from the loss of its disk.
	newestRecord Record
	// rotation counts the calls of nextInRotation.
	rotation int
}

// peer is another controller's newest Hello and when it arrived.
type peer struct {
	hello       Hello
	lastContact time.Time
}

func newDiscovery() discovery {
	return discovery{peers: map[string]peer{}, contacted: map[string]bool{}}
}

// Learners lists the controllers that are not voters, sent a Hello within learnerTimeout, and
// are not leaving.
func (n *Node) Learners(now time.Time) []Controller {
	var learners []Controller
	for _, known := range statemachine.Sorted(n.discovery.peers) {
		self := known.hello.Self
		_, listed := n.hardState.Record.Voter(self)
		if !listed && now.Sub(known.lastContact) < learnerTimeout && !n.announcedDeparture(now, self.Address) {
			learners = append(learners, self)
		}
	}
	return learners
}

func (n *Node) newHello() Hello {
	return Hello{
		Self:        n.identity(),
		ClusterSize: n.settings.ClusterSize,
		Known:       n.KnownControllers(),
		Blank:       n.blank,
		Founder:     len(n.hardState.Founders) > 0,
		Record:      n.hardState.Record,
	}
}

// requestRecord asks another controller for a newer record. A controller that receives a Hello
// with an older record than its own responds with its own Hello.
func (n *Node) requestRecord(from string, effects *statemachine.Effects) {
	effects.Send(from, n.newHello())
}

// sendHello sends Hello to the controllers that may know a newer record or need to know about
// this controller.
func (n *Node) sendHello(now time.Time, effects *statemachine.Effects) {
	var targets map[string]bool
	var interval time.Duration
	switch {
	case n.blank:
		targets, interval = n.blankHelloTargets(), blankHelloInterval
	case n.isVoter():
		targets, interval = n.voterHelloTargets(), voterHelloInterval
	default:
		targets, interval = n.learnerHelloTargets(), learnerHelloInterval
	}
	n.timers.Arm(helloTimer, now.Add(interval))
	delete(targets, n.settings.Self.Address)
	if n.departure.requested && !n.isVoter() {
		return
	}
	hello := n.newHello()
	for address := range statemachine.Sorted(targets) {
		effects.Send(address, hello)
	}
	if !n.blank {
		return
	}
	n.requestRecovery(effects)
	n.tryBootstrap(now, effects)
}

func (n *Node) blankHelloTargets() map[string]bool {
	targets := map[string]bool{}
	for _, seed := range n.settings.Seeds {
		targets[seed] = true
	}
	for _, founder := range n.hardState.Founders {
		targets[founder] = true
	}
	for _, controller := range n.KnownControllers() {
		targets[controller.Address] = true
	}
	for _, voter := range n.discovery.newestRecord.Voters {
		targets[voter.Address] = true
	}
	for address := range n.discovery.contacted {
		targets[address] = true
	}
	return targets
}

func (n *Node) voterHelloTargets() map[string]bool {
	targets := map[string]bool{}
	for _, voter := range n.hardState.Record.Voters {
		targets[voter.Address] = true
	}
	targets[n.nextInRotation(n.settings.Seeds)] = true
	return targets
}

// learnerHelloTargets returns the primary and, in rotation, one of the seeds and voters. The
// seeds are included because a learner's record may be so old that none of its voters still
// runs.
func (n *Node) learnerHelloTargets() map[string]bool {
	targets := map[string]bool{}
	if primary, found := n.Primary(); found {
		targets[primary.Address] = true
	}
	addresses := slices.Clone(n.settings.Seeds)
	for _, voter := range n.hardState.Record.Voters {
		addresses = append(addresses, voter.Address)
	}
	targets[n.nextInRotation(addresses)] = true
	return targets
}

func (n *Node) nextInRotation(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	n.discovery.rotation++
	return addresses[n.discovery.rotation%len(addresses)]
}

// expirePeers removes the peers that have sent no Hello for peerRetention. Otherwise each
// controller that was ever replaced would stay in the table. A blank controller keeps all of
// its peers.
func (n *Node) expirePeers(now time.Time) {
	if n.blank {
		return
	}
	for address, known := range n.discovery.peers {
		if now.Sub(known.lastContact) > peerRetention {
			delete(n.discovery.peers, address)
		}
	}
	n.discovery.contacted = map[string]bool{}
}

func (n *Node) handleHello(now time.Time, from string, hello Hello, effects *statemachine.Effects) {
	if hello.Self.SameAs(n.settings.Self) {
		return
	}
	n.discovery.peers[hello.Self.Address] = peer{hello: hello, lastContact: now}
	n.expirePeers(now)
	if n.blank {
		n.contactKnown(hello.Known, effects)
		n.learn(now, hello.Record, effects)
		return
	}
	if hello.Blank || hello.Record.Epoch < n.hardState.Record.Epoch {
		effects.Send(from, n.newHello())
		return
	}
	n.learn(now, hello.Record, effects)
}

// contactKnown sends Hello at once to controllers that were listed in another's Hello. From
// then on they are among the targets of sendHello.
func (n *Node) contactKnown(known []Controller, effects *statemachine.Effects) {
	for _, controller := range known {
		_, isPeer := n.discovery.peers[controller.Address]
		if isPeer || n.discovery.contacted[controller.Address] || controller.SameAs(n.settings.Self) {
			continue
		}
		n.discovery.contacted[controller.Address] = true
		effects.Send(controller.Address, n.newHello())
	}
}
