package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// A blank controller, a voter and a learner say hello in these intervals.
	blankHelloInterval   = 300 * time.Millisecond
	voterHelloInterval   = 5 * time.Second
	learnerHelloInterval = time.Second
	// learnerTimeout is how long a learner counts as alive after its last hello.
	learnerTimeout = 2500 * time.Millisecond
	// peerRetention is how long a controller that was heard is remembered.
	peerRetention = time.Minute
)

// discovery is what this controller knows of others by their hellos.
type discovery struct {
	// peers are the controllers that were heard, by address.
	peers map[string]peer
	// contacted holds the addresses that a blank controller only heard of from others, and
	// says hello to as well.
	contacted map[string]bool
	// newestRecord is that of the newest epoch that was heard of. It is newer than that of
	// the hard state while this controller is a voter whose disk was lost.
	newestRecord Record
	// rotation counts the addresses that were chosen in turn by nextInRotation.
	rotation int
}

// peer is what a controller last said of itself.
type peer struct {
	hello     Hello
	lastHeard time.Time
}

func newDiscovery() discovery {
	return discovery{peers: map[string]peer{}, contacted: map[string]bool{}}
}

// Learners lists the controllers outside the voters that were heard lately and are not
// leaving.
func (n *Node) Learners(now time.Time) []Controller {
	var learners []Controller
	for _, known := range statemachine.Sorted(n.discovery.peers) {
		self := known.hello.Self
		_, listed := n.hardState.Record.Voter(self)
		if !listed && now.Sub(known.lastHeard) < learnerTimeout && !n.announcedDeparture(now, self.Address) {
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
		Founding:    len(n.hardState.Founders) > 0,
		Record:      n.hardState.Record,
	}
}

// requestRecord asks for a newer record: a hello with an older one is answered by it.
func (n *Node) requestRecord(from string, effects *statemachine.Effects) {
	effects.Send(from, n.newHello())
}

// sendHello says hello to those that may know a newer record, or have to know this
// controller.
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
	n.tryFounding(now, effects)
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

// learnerHelloTargets are the primary, and in turn all that may know another: the record
// of a learner may be so old that none of its voters is left.
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

// expirePeers forgets the controllers that were not heard for long, once the first epoch
// is known: otherwise each that was ever replaced would stay.
func (n *Node) expirePeers(now time.Time) {
	if n.blank {
		return
	}
	for address, known := range n.discovery.peers {
		if now.Sub(known.lastHeard) > peerRetention {
			delete(n.discovery.peers, address)
		}
	}
	n.discovery.contacted = map[string]bool{}
}

func (n *Node) handleHello(now time.Time, from string, hello Hello, effects *statemachine.Effects) {
	if hello.Self.SameAs(n.settings.Self) {
		return
	}
	n.discovery.peers[hello.Self.Address] = peer{hello: hello, lastHeard: now}
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

// contactKnown says hello at once to controllers that another one knows; from then on
// they are among the targets of sendHello.
func (n *Node) contactKnown(known []Controller, effects *statemachine.Effects) {
	for _, controller := range known {
		_, heard := n.discovery.peers[controller.Address]
		if heard || n.discovery.contacted[controller.Address] || controller.SameAs(n.settings.Self) {
			continue
		}
		n.discovery.contacted[controller.Address] = true
		effects.Send(controller.Address, n.newHello())
	}
}
