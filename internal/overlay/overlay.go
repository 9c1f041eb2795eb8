// Package overlay finds the gateways with subscribers of a topic, after VAST's
// Voronoi-based overlay network. A gateway asks it where the copies of a message go.
//
// Topics are squares in a unit square (AreaOf), one unit square for each space. Each
// area that this daemon's sessions subscribe to, or publish at, has one peer here. A
// peer has a Voronoi region around its reference point. It always knows the enclosing
// neighbours beyond its edges, the peers inside its area if it subscribes, and every
// subscriber whose area meets its region. A joining peer's request is forwarded
// greedily to the acceptor, the peer whose region covers its point. From there it
// walks from neighbour to neighbour, and each one that it greets names more of them:
// the neighbours that they have in common, the subscribers over the part of the region
// that it took, and, if it subscribes, the neighbours beyond the edges that its area
// meets. Knowledge is mutual, so a publisher's peer has the subscribers of its area,
// and Destinations returns their daemons.
//
// All topics of the routed spaces together are in one plane of 16 cells, with at most
// one peer of each daemon in a cell. There the peers of a cell announce to each other
// how many subscribers each topic has on their daemon: see presence.go, SetSubscribers
// and SubscribedDaemons.
//
// An Overlay is a state machine without clock or I/O, driven by the gateway's. All
// methods are for one goroutine. What is to be sent is added to the effects of the
// call; timers run by Tick, at NextTick. SetIncarnation and SetView come before any
// peer.
package overlay

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// Times and bounds of the overlay.
const (
	// greetTimeout and joinTimeout are for the responses to the first attempts; see
	// backoff for later ones.
	greetTimeout     = 300 * time.Millisecond
	maxGreetAttempts = 4
	joinTimeout      = 400 * time.Millisecond
	// joinAttemptValid is how old an attempt to join must be to be repeated at once
	// when a daemon is lost.
	joinAttemptValid = 100 * time.Millisecond
	// maxDoublings is how often the timeout of a join, a greeting or a request to a
	// peer doubles. A response that is late because links are full must not be
	// requested again and again, which keeps them full.
	maxDoublings = 3
	// maxHops is how often a join is forwarded before the peer that has it accepts it.
	maxHops = 48
	// firstJoinTargets is to how many daemons the first attempt of a join goes.
	firstJoinTargets = 3
	// healing is the Hops of a greeting by a peer whose region has grown by a loss,
	// which its greetings say for healFor.
	healing = 1
	healFor = 2 * time.Second
	// rejoinWindow is for how long a neighbour that took part of a region is sent the
	// subscribers that become known over it (see announceSubscriber).
	rejoinWindow = 3 * time.Second
	// tombstoneLifetime is how long the keys of peers that left are remembered.
	tombstoneLifetime = 30 * time.Second
	compareInterval   = 4 * time.Second
	// quietFor is how long a publishing peer stays after the last publication.
	quietFor      = 4 * time.Minute
	sweepInterval = 5 * time.Second
)

// Gateway is another daemon that hosts peers.
type Gateway struct {
	Name    string
	Address string
	// Joined is the index of the control state at which this run of the daemon joined:
	// its peers' PeerKey.Incarnation. It rises from run to run.
	Joined uint64
}

// Completion is called once a peer knows its surroundings, with done, or without once
// the wait has timed out or the space was removed. The call may come within the call
// that it was given to.
type Completion func(now time.Time, effects *statemachine.Effects, done bool)

// outstanding is a join or a greeting without a response: when it times out, when it
// was last sent, and how often.
type outstanding struct {
	until    time.Time
	sent     time.Time
	attempts int
}

// hosted is a peer of this daemon.
type hosted struct {
	self  Peer
	space *space
	// known are the peers that this one knows, of this daemon too; subscribers are
	// those of them that subscribe.
	known       map[PeerKey]Peer
	subscribers map[PeerKey]Peer
	region      Region
	// greeted is the Change of self with which a peer was last greeted.
	greeted map[PeerKey]uint64
	// tookAt is when a peer introduced itself first.
	tookAt map[PeerKey]time.Time
	// owed are the subscribers that are to be named to a peer in the next signal to
	// it: those over the part of the region that it took.
	owed map[PeerKey]map[PeerKey]bool
	// pending are the greetings without a response.
	pending map[PeerKey]*outstanding
	// joining is nil once the peer has joined.
	joining *outstanding
	// joinTargets are the daemons to which the join was sent and that haven't
	// responded with SignalNobody; joinedThroughAll is set if it went to all.
	joinTargets      map[string]bool
	joinedThroughAll bool
	// waiting are called once the peer has joined and no greeting is pending.
	waiting []Completion
	// holders is how many calls of Subscribe no Unsubscribe has ended yet.
	holders int
	// publishes is set from a Publish until quietFor after the last one, at lastUse.
	lastUse   time.Time
	publishes bool
	// queued is set while a joining peer only waits for another one of the space here.
	queued bool
	// requests are the joins of others that wait until this peer has joined.
	requests []Signal
	// healUntil is until when greetings are marked as healing.
	healUntil time.Time
	// cell is set for a peer of routed topics.
	cell *cell
}

// space is the unit square of a space or a plane, with the peers here.
type space struct {
	name  string
	peers map[Area]*hosted
	byKey map[PeerKey]*hosted
	// ordered are the same peers in the order of their keys.
	ordered []*hosted
	// gone are the tombstones of peers of other daemons: when each was last reported
	// to have left.
	gone map[PeerKey]time.Time
	// turn is the next peer that compare treats.
	turn int
}

// Counts are running sums for measurements and tests.
type Counts struct {
	Joins      uint64 `json:"Joins"`
	Hops       uint64 `json:"Hops"`
	Greets     uint64 `json:"Greets"`
	SignalsOut uint64 `json:"SignalsOut"`
	BatchesOut uint64 `json:"BatchesOut"`
	Leaves     uint64 `json:"Leaves"`
	Probes     uint64 `json:"Probes"`
	// ByKind counts the signals that went out, by their kind.
	ByKind [SignalAnnounce + 1]uint64 `json:"ByKind"`
	// Notices counts the notices that went out by their kind, Announced the topics,
	// hashes and members in them, and Levels the digests of cells.
	Notices   [NoticeMissing + 1]uint64 `json:"Notices"`
	Announced [NoticeMissing + 1]uint64 `json:"Told"`
	Levels    uint64                    `json:"Levels"`
}

// Overlay is one daemon's part of the overlay.
type Overlay struct {
	daemon string
	// incarnation is that of this daemon's PeerKeys, number the last one's Number, and
	// change the highest Change of the peers here.
	incarnation uint64
	number      uint64
	change      uint64
	// gateways are the other living daemons, by name.
	gateways map[string]Gateway
	spaces   map[string]*space
	planes   map[string]*plane
	timers   *statemachine.Timers[string]
	// out is what the present step sends, by address.
	out map[string]*Signals
	// paceUntil is when the next changes may go out to all, and paced counts those
	// that waited for that.
	paceUntil time.Time
	paced     int
	// checked is when this daemon last compared its cells with others.
	checked time.Time
	// checks counts the checks that followed another within checkInterval; checkTurn
	// counts all of them.
	checks    int
	checkTurn uint64
	// roundTrips are smoothed (see observe), by daemon.
	roundTrips map[string]time.Duration
	// found are the discoveries since the last TakeDiscovered.
	found []Discovery
	// Counts are only changed by the overlay.
	Counts Counts
}

// New returns a daemon's part of the overlay; SetIncarnation and SetView come before
// any peer.
func New(daemon string) *Overlay {
	return &Overlay{
		daemon: daemon, gateways: map[string]Gateway{}, spaces: map[string]*space{}, planes: map[string]*plane{},
		timers: statemachine.NewTimers[string](), out: map[string]*Signals{}, roundTrips: map[string]time.Duration{},
	}
}

// NextTick returns when Tick is due, zero for never.
func (o *Overlay) NextTick() time.Time { return o.timers.Next() }

// Subscribe adds one holder to the subscribing peer of an area, and makes the peer if
// need be. Every call is ended by one of Unsubscribe. done may be nil.
func (o *Overlay) Subscribe(now time.Time, spaceName string, area Area, done Completion, effects *statemachine.Effects) {
	peer, made := o.peer(now, spaceName, area)
	peer.holders++
	if !peer.self.Subscribes {
		peer.self.Subscribes = true
		o.change++
		peer.self.Change = o.change
		if !made {
			o.regreet(now, peer)
		}
	}
	o.whenJoined(now, peer, made, done, effects)
}

// Unsubscribe removes one holder; with the last the peer stops subscribing, and
// leaves if nobody publishes there either. It ignores an area without holders.
func (o *Overlay) Unsubscribe(now time.Time, spaceName string, area Area, effects *statemachine.Effects) {
	here, found := o.spaces[spaceName]
	if !found {
		return
	}
	peer, found := here.peers[area]
	if !found || peer.holders == 0 {
		return
	}
	peer.holders--
	if peer.holders == 0 {
		peer.self.Subscribes = false
		o.change++
		peer.self.Change = o.change
		if peer.publishes {
			for key := range sortedPeers(peer.known) {
				o.greet(now, peer, peer.known[key])
			}
		} else {
			o.leave(peer)
		}
	}
	o.flush(effects)
}

// Publish ensures that an area has a publishing peer, and calls done once the peer
// has its subscribers. Before each publication it is called again, since a peer that
// isn't used for quietFor leaves.
func (o *Overlay) Publish(now time.Time, spaceName string, area Area, done Completion, effects *statemachine.Effects) {
	peer, made := o.peer(now, spaceName, area)
	peer.publishes = true
	peer.lastUse = now
	o.whenJoined(now, peer, made, done, effects)
}

// Destinations returns the names of the living daemons, without this one, that have
// subscribers of an area, in order, as its peer here knows them; none if there is no
// such peer (see Publish).
func (o *Overlay) Destinations(spaceName string, area Area) []string {
	here, found := o.spaces[spaceName]
	if !found {
		return nil
	}
	peer, found := here.peers[area]
	if !found {
		return nil
	}
	names := map[string]bool{}
	for _, known := range peer.subscribers {
		if known.Area.Covers(area) && known.Key.Daemon != o.daemon {
			names[known.Key.Daemon] = true
		}
	}
	var destinations []string
	for name := range statemachine.Sorted(names) {
		if _, alive := o.gateways[name]; alive {
			destinations = append(destinations, name)
		}
	}
	return destinations
}

// observe records the round trip of a greeting. A shorter one replaces the last
// value, a longer one changes it little, since a busy daemon only lengthens it.
func (o *Overlay) observe(daemon string, length time.Duration) {
	present, found := o.roundTrips[daemon]
	switch {
	case !found || length < present:
		o.roundTrips[daemon] = length
	default:
		o.roundTrips[daemon] = present + (length-present)/64
	}
}

// RoundTrips returns the round trips observed to the other living daemons, by name.
func (o *Overlay) RoundTrips() map[string]time.Duration {
	roundTrips := make(map[string]time.Duration, len(o.roundTrips))
	for name, length := range o.roundTrips {
		if _, alive := o.gateways[name]; alive {
			roundTrips[name] = length.Round(10 * time.Microsecond)
		}
	}
	return roundTrips
}

// Discovery is a destination that a publishing peer has newly found: a daemon with a
// subscriber of the peer's area.
type Discovery struct {
	Space  string
	Area   Area
	Daemon string
}

// TakeDiscovered returns the discoveries since the last call.
func (o *Overlay) TakeDiscovered() []Discovery {
	found := o.found
	o.found = nil
	return found
}

// Joined reports whether an area has a peer here that has joined and knows its
// surroundings.
func (o *Overlay) Joined(spaceName string, area Area) bool {
	here, found := o.spaces[spaceName]
	if !found {
		return false
	}
	peer, found := here.peers[area]
	return found && peer.joining == nil && len(peer.pending) == 0
}

// PeerCounts returns how many peers here subscribe and publish, over all spaces; one
// that does both counts twice.
func (o *Overlay) PeerCounts() (subscribing, publishing int) {
	for _, here := range o.spaces {
		for _, peer := range here.peers {
			if peer.self.Subscribes {
				subscribing++
			}
			if peer.publishes {
				publishing++
			}
		}
	}
	return subscribing, publishing
}

// RemoveSpace removes a space with all its peers, without a word to others, which
// remove it too. Those who wait are called without done.
func (o *Overlay) RemoveSpace(now time.Time, spaceName string, effects *statemachine.Effects) {
	here, found := o.spaces[spaceName]
	if !found {
		return
	}
	for _, peer := range here.sorted() {
		waiting := peer.waiting
		peer.waiting = nil
		for _, done := range waiting {
			done(now, effects, false)
		}
	}
	delete(o.spaces, spaceName)
}

// sorted returns the peers in the order of their keys, as a copy, since what is done
// with them may add or remove some.
func (s *space) sorted() []*hosted {
	return slices.Clone(s.ordered)
}

// indexPeer and unindexPeer add and remove a peer. A new key is always above those
// before it, so that ordered stays in order.
func (s *space) indexPeer(peer *hosted) {
	s.peers[peer.self.Area] = peer
	s.byKey[peer.self.Key] = peer
	s.ordered = append(s.ordered, peer)
}

func (s *space) unindexPeer(peer *hosted) {
	delete(s.peers, peer.self.Area)
	delete(s.byKey, peer.self.Key)
	if position := slices.Index(s.ordered, peer); position >= 0 {
		s.ordered = slices.Delete(s.ordered, position, position+1)
	}
}

// sortedPeers walks peers in the order of their keys; entries may be removed meanwhile.
func sortedPeers(known map[PeerKey]Peer) func(yield func(PeerKey, Peer) bool) {
	return func(yield func(PeerKey, Peer) bool) {
		keys := make([]PeerKey, 0, len(known))
		for key := range known {
			keys = append(keys, key)
		}
		slices.SortFunc(keys, PeerKey.compare)
		for _, key := range keys {
			peer, found := known[key]
			if found && !yield(key, peer) {
				return
			}
		}
	}
}

// peer returns the peer of an area, which it makes if there is none. The caller has a
// new one join (see whenJoined).
func (o *Overlay) peer(now time.Time, spaceName string, area Area) (peer *hosted, made bool) {
	here, found := o.spaces[spaceName]
	if !found {
		here = &space{name: spaceName, peers: map[Area]*hosted{}, byKey: map[PeerKey]*hosted{}, gone: map[PeerKey]time.Time{}}
		o.spaces[spaceName] = here
	}
	if peer, found = here.peers[area]; found {
		return peer, false
	}
	o.number++
	key := PeerKey{Daemon: o.daemon, Incarnation: o.incarnation, Number: o.number}
	o.change++
	peer = &hosted{
		self:  Peer{Key: key, At: area.reference(o.daemon, o.number), Area: area, Change: o.change},
		space: here, known: map[PeerKey]Peer{}, subscribers: map[PeerKey]Peer{}, greeted: map[PeerKey]uint64{}, pending: map[PeerKey]*outstanding{},
		tookAt: map[PeerKey]time.Time{}, owed: map[PeerKey]map[PeerKey]bool{},
		joinTargets: map[string]bool{}, lastUse: now,
	}
	peer.region = newRegion(peer.self.At)
	here.indexPeer(peer)
	o.timers.ArmSooner("sweep", now.Add(sweepInterval))
	o.timers.ArmSooner("compare", now.Add(compareInterval))
	return peer, true
}

// signal adds a signal to the frame for a daemon, unless the view doesn't have it.
func (o *Overlay) signal(daemon string, signal Signal) {
	gateway, alive := o.gateways[daemon]
	if !alive {
		return
	}
	o.Counts.SignalsOut++
	o.Counts.ByKind[signal.Kind]++
	frame := o.signalsTo(gateway.Address)
	frame.Signals = append(frame.Signals, signal)
}

// signalsTo returns the frame that the present step sends to an address.
func (o *Overlay) signalsTo(address string) *Signals {
	frame, found := o.out[address]
	if !found {
		frame = &Signals{}
		o.out[address] = frame
	}
	return frame
}

// flush sends the frames of the present step.
func (o *Overlay) flush(effects *statemachine.Effects) {
	for address, frame := range statemachine.Sorted(o.out) {
		o.Counts.BatchesOut++
		effects.Send(address, *frame)
	}
	clear(o.out)
}

// sendTo sends a signal to a peer; one of this daemon handles it at once.
func (o *Overlay) sendTo(now time.Time, key PeerKey, signal Signal) {
	signal.To = key
	if key.Daemon != o.daemon {
		o.signal(key.Daemon, signal)
		return
	}
	if key.Incarnation == o.incarnation {
		o.handleSignal(now, signal, nil)
	}
}

// rebuild computes a region anew after the loss of a neighbour, from all peers of the
// space that any peer here knows: what the neighbour had is then divided at once among
// those who border on it. New neighbours are greeted.
func (o *Overlay) rebuild(now time.Time, peer *hosted) {
	before := peer.region.owners()
	peer.healUntil = now.Add(healFor)
	peer.region = newRegion(peer.self.At)
	for _, known := range sortedPeers(peer.known) {
		peer.region.clip(known.At, known.Key)
	}
	// learn may remove peers from the space, so the walk is over a copy. Most peers are
	// too far away to matter, which cuts finds cheaply.
	for _, other := range peer.space.sorted() {
		if other == peer {
			continue
		}
		if peer.region.cuts(other.self.At) {
			o.learn(now, peer, other.self.Key, []Peer{other.self}, false)
		}
		for _, edge := range other.region.corners {
			if edge.owner.Daemon == "" || edge.owner == peer.self.Key || !peer.region.cuts(edge.there) {
				continue
			}
			if known, found := other.known[edge.owner]; found {
				o.learn(now, peer, other.self.Key, []Peer{known}, false)
			}
		}
	}
	for _, key := range peer.region.owners() {
		if !slices.Contains(before, key) || peer.cell != nil {
			if known, found := peer.known[key]; found {
				o.greet(now, peer, known)
			}
		}
	}
}

// HandleSignals handles the frame of another daemon's peers.
func (o *Overlay) HandleSignals(now time.Time, signals Signals, effects *statemachine.Effects) {
	for _, signal := range signals.Signals {
		// A daemon that isn't in the view, or an earlier incarnation of one that is, sent
		// it by an older view.
		if !o.ended(signal.From.Key) {
			o.handleSignal(now, signal, effects)
		}
	}
	for _, told := range signals.Notices {
		o.handleNotices(now, told)
	}
	o.completeWaiting(now, effects)
	o.flush(effects)
}

// handleSignal handles one signal. effects is nil for a signal between peers of this
// daemon: completions wait for the timer then.
func (o *Overlay) handleSignal(now time.Time, signal Signal, effects *statemachine.Effects) {
	here, found := o.spaces[signal.Space]
	if signal.Kind == SignalJoin {
		o.handleJoin(now, here, signal)
		return
	}
	var peer *hosted
	if found {
		peer = here.byKey[signal.To]
	}
	if peer == nil {
		if signal.Kind == SignalGreet || signal.Kind == SignalWelcome || signal.Kind == SignalGreeted {
			o.signal(signal.From.Key.Daemon, Signal{Kind: SignalLeft, Space: signal.Space, To: signal.From.Key, From: Peer{Key: signal.To}})
		}
		return
	}
	switch signal.Kind {
	case SignalNobody:
		o.handleNobody(now, peer, signal.From.Key.Daemon)
	case SignalWelcome:
		peer.greeted[signal.From.Key] = peer.self.Change
		o.learn(now, peer, signal.From.Key, []Peer{signal.From}, true)
		o.learn(now, peer, signal.From.Key, signal.Peers, false)
		o.learn(now, peer, signal.From.Key, signal.Boundary, true)
		if peer.joining != nil {
			o.joined(now, peer)
		}
	case SignalAnnounce:
		o.learn(now, peer, signal.From.Key, signal.Peers, false)
	case SignalGreet:
		o.learn(now, peer, signal.From.Key, signal.Peers, false)
		answer := o.introduce(now, peer, signal.From)
		answer.Kind = SignalGreeted
		o.sendTo(now, signal.From.Key, answer)
		if signal.Hops == healing && peer.self.Subscribes {
			// The sender's region has grown by a loss; its new neighbours may be in
			// this peer's area, and the response names them.
			o.greetAs(now, peer, signal.From, false)
		}
	case SignalGreeted:
		if waiting, found := peer.pending[signal.From.Key]; found && waiting.attempts == 1 {
			o.observe(signal.From.Key.Daemon, now.Sub(waiting.sent))
		}
		delete(peer.pending, signal.From.Key)
		o.recordPeer(now, peer, signal.From)
		o.learn(now, peer, signal.From.Key, signal.Peers, false)
		o.learn(now, peer, signal.From.Key, signal.Boundary, true)
	case SignalLeave:
		here.gone[signal.From.Key] = now
		o.handleLeave(now, peer, signal)
	case SignalLeft:
		here.gone[signal.From.Key] = now
		o.drop(now, peer, signal.From.Key)
	}
	if effects != nil {
		o.checkJoined(now, peer, effects)
	} else {
		o.timers.ArmSooner("settle", now)
	}
}

// SetView sets the other living daemons, by name. Peers of daemons that are gone, or
// that joined anew, are removed. A daemon that is new is probed, so that two halves of
// a split overlay find each other.
func (o *Overlay) SetView(now time.Time, gateways map[string]Gateway, effects *statemachine.Effects) {
	earlier := o.gateways
	o.gateways = gateways
	for name, before := range statemachine.Sorted(earlier) {
		after, alive := gateways[name]
		if alive && after.Joined == before.Joined {
			continue
		}
		o.dropDaemon(now, name, after.Joined, effects)
	}
	for name, gateway := range statemachine.Sorted(gateways) {
		if before, known := earlier[name]; known && before.Joined == gateway.Joined {
			continue
		}
		o.probeAll(now, name)
		for _, where := range statemachine.Sorted(o.planes) {
			o.checkWith(name, where, true)
		}
	}
	o.completeWaiting(now, effects)
	o.flush(effects)
}

// Tick runs the timers that are due. A timer without a case only has completeWaiting
// run.
func (o *Overlay) Tick(now time.Time, effects *statemachine.Effects) {
	for _, key := range o.timers.Expired(now) {
		switch key {
		case "limits":
			o.checkDeadlines(now, effects)
		case "compare":
			o.compare(now, effects)
		case "sweep":
			o.sweep(now)
			o.releaseCells(now)
		case "owed":
			o.sendOwed()
		case "asks":
			o.retryRequests(now)
		case "members":
			o.compareMembers(now)
		case "notices":
			o.sendChanges(now)
		case "checks":
			o.check(now)
		case "settle":
			for _, here := range statemachine.Sorted(o.spaces) {
				for _, peer := range here.sorted() {
					if len(peer.waiting) > 0 {
						o.checkJoined(now, peer, effects)
					}
				}
			}
		}
	}
	o.completeWaiting(now, effects)
	o.flush(effects)
}
