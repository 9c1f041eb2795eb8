// Package overlay finds the gateways that have subscribers of a topic. It implements
// VAST, spatial publish/subscribe over a Voronoi-based overlay network. Gateways use it
// to determine the destinations of a publication.
//
// Each space has a unit square, and each topic is a smaller square in it (AreaOf). A
// daemon has one peer for each area that its sessions subscribe to or publish to. A
// peer owns the Voronoi region around its reference point. It knows the enclosing
// neighbours (the peers beyond the edges of its region), the peers inside its area if
// it subscribes, and every subscriber whose area intersects its region.
//
// The request of a joining peer is forwarded greedily to the acceptor, the peer whose
// region covers the reference point of the joining peer. The joining peer then greets
// the peers that the acceptor names. Each of them responds with further peers: the
// neighbours that the two have in common, the subscribers whose area intersects the
// part of the region that the joining peer took over, and, if the joining peer
// subscribes, the neighbours beyond the edges that its area intersects. Both sides of a
// greeting record each other, so the peer of a publisher knows the subscribers of its
// area, and Destinations returns their daemons.
//
// The topics of all routed spaces share one plane of 16 cells. A daemon has at most one
// peer in each cell. The peers of a cell announce to each other how many subscribers
// each topic has on their daemons; see presence.go, SetSubscribers and
// SubscribedDaemons.
//
// An Overlay is a state machine without clock or I/O; the gateway's state machine calls
// it. It isn't safe for concurrent use. Messages to send are added to the effects of a
// call. Timers are run by Tick, which is due at NextTick. SetIncarnation and SetView
// must be called before the first peer is created.
package overlay

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// Timeouts, intervals and limits of the overlay.
const (
	// greetTimeout and joinTimeout apply to the first attempt; see backoff for later
	// attempts.
	greetTimeout     = 300 * time.Millisecond
	maxGreetAttempts = 4
	joinTimeout      = 400 * time.Millisecond
	// minJoinRetryAge is the minimum age at which an attempt to join is repeated
	// immediately when a daemon is lost.
	minJoinRetryAge = 100 * time.Millisecond
	// maxDoublings limits how often the timeout of a join, a greeting or a request
	// doubles. Without backoff, responses delayed by saturated links would be
	// requested again and again, which would keep the links saturated.
	maxDoublings = 3
	// maxHops limits how often a join is forwarded; the peer that it then reaches
	// accepts it.
	maxHops = 48
	// firstJoinTargets is the number of daemons to which the first attempt of a join is
	// sent.
	firstJoinTargets = 3
	// healing is the value of Hops in a greeting from a peer whose region has grown
	// because a neighbour was lost. The peer marks its greetings so for healingPeriod.
	healing       = 1
	healingPeriod = 2 * time.Second
	// rejoinWindow is the time after a neighbour took over part of a region during
	// which newly known subscribers are announced to it (see announceSubscriber).
	rejoinWindow = 3 * time.Second
	// tombstoneLifetime is how long the tombstone of a peer that left is kept.
	tombstoneLifetime = 30 * time.Second
	reconcileInterval = 4 * time.Second
	// publisherIdleTimeout is how long a publishing peer is kept after the last
	// publication.
	publisherIdleTimeout = 4 * time.Minute
	sweepInterval        = 5 * time.Second
)

// Gateway is another daemon that hosts peers.
type Gateway struct {
	Name    string
	Address string
	// Joined is the index of the control state at which this run of the daemon joined.
	// It is the PeerKey.Incarnation of the daemon's peers and increases with each run.
	Joined uint64
}

// Completion is called with done set once a peer has joined and knows its neighbours,
// or with done unset when the wait has timed out or the space was removed. It may be
// called before the method that it was passed to returns.
type Completion func(now time.Time, effects *statemachine.Effects, done bool)

// pendingRequest is a join or a greeting without a response: when the present attempt
// times out, when it was sent, and the number of attempts.
type pendingRequest struct {
	deadline time.Time
	sent     time.Time
	attempts int
}

// hostedPeer is a peer of this daemon.
type hostedPeer struct {
	self  Peer
	space *space
	// known are the peers that this peer knows, including those of the same daemon;
	// subscribers are the ones among them that subscribe.
	known       map[PeerKey]Peer
	subscribers map[PeerKey]Peer
	region      Region
	// greeted is the value of self.Change with which each peer was last greeted.
	greeted map[PeerKey]uint64
	// introducedAt is when each peer first introduced itself.
	introducedAt map[PeerKey]time.Time
	// unannounced are, for each peer, the subscribers to be named in the next signal to
	// it: those whose area intersects the part of the region that it took over.
	unannounced map[PeerKey]map[PeerKey]bool
	// pending are the greetings without a response.
	pending map[PeerKey]*pendingRequest
	// joining is nil once the peer has joined.
	joining *pendingRequest
	// joinTargets are the daemons to which the join was sent and that haven't
	// responded with SignalNoPeer; joinSentToAll is set if it was sent to all
	// daemons.
	joinTargets   map[string]bool
	joinSentToAll bool
	// waiting are the completions to call once the peer has joined and no greeting is
	// pending.
	waiting []Completion
	// subscriptions counts the calls of Subscribe without a matching Unsubscribe.
	subscriptions int
	// publishes is set by Publish and cleared publisherIdleTimeout after the last call,
	// which was at lastUse.
	lastUse   time.Time
	publishes bool
	// queued is set while the peer waits for another peer of this daemon in the same
	// space to join first.
	queued bool
	// requests are the join requests of other peers that wait until this peer has joined.
	requests []Signal
	// healingUntil is the time until which greetings are marked as healing.
	healingUntil time.Time
	// cell is set for a peer of routed topics.
	cell *cell
}

// space is the unit square of a space or a plane, with the peers of this daemon in it.
type space struct {
	name  string
	peers map[Area]*hostedPeer
	byKey map[PeerKey]*hostedPeer
	// ordered are the same peers in the order of their keys.
	ordered []*hostedPeer
	// tombstones has, for each departed peer of another daemon, when the peer was last
	// reported to have left.
	tombstones map[PeerKey]time.Time
	// turn is the position of the next peer to reconcile.
	turn int
}

// Counts are cumulative counters for measurements and tests.
type Counts struct {
	Joins      uint64 `json:"Joins"`
	Hops       uint64 `json:"Hops"`
	Greets     uint64 `json:"Greets"`
	SignalsOut uint64 `json:"SignalsOut"`
	BatchesOut uint64 `json:"BatchesOut"`
	Leaves     uint64 `json:"Leaves"`
	Probes     uint64 `json:"Probes"`
	// ByKind counts the signals sent, by kind.
	ByKind [SignalAnnounce + 1]uint64 `json:"ByKind"`
	// Notices counts the notices sent, by kind; Announced the topics, hashes and
	// members in them; Levels the digests of a daemon's cells.
	Notices   [NoticeMissing + 1]uint64 `json:"Notices"`
	Announced [NoticeMissing + 1]uint64 `json:"Told"`
	Levels    uint64                    `json:"Levels"`
}

// Overlay is the part of the overlay that runs on one daemon.
type Overlay struct {
	daemon string
	// incarnation is that of this daemon's peer keys, number the Number of the newest
	// key, and change the highest Change of this daemon's peers.
	incarnation uint64
	number      uint64
	change      uint64
	// gateways are the other daemons in the view, by name.
	gateways map[string]Gateway
	spaces   map[string]*space
	planes   map[string]*plane
	timers   *statemachine.Timers[string]
	// frames are those that the present step sends, by address.
	frames map[string]*Signals
	// paceUntil is when the next changes may be sent to all members; consecutivePaced
	// counts the consecutive times that changes were sent less than gatherDelay after
	// paceUntil.
	paceUntil        time.Time
	consecutivePaced int
	// lastCheck is when this daemon last sent a check of its cells to others.
	lastCheck time.Time
	// consecutiveChecks counts the consecutive checks that each followed the previous
	// one within checkInterval; checkCount counts all checks.
	consecutiveChecks int
	checkCount        uint64
	// roundTrips are the smoothed round trip times (see observe), by daemon.
	roundTrips map[string]time.Duration
	// discoveries are the discoveries since the last TakeDiscovered.
	discoveries []Discovery
	// Counts must not be modified by users of the overlay.
	Counts Counts
}

// New returns the overlay of a daemon. SetIncarnation and SetView must be called
// before the first peer is created.
func New(daemon string) *Overlay {
	return &Overlay{
		daemon: daemon, gateways: map[string]Gateway{}, spaces: map[string]*space{}, planes: map[string]*plane{},
		timers: statemachine.NewTimers[string](), frames: map[string]*Signals{}, roundTrips: map[string]time.Duration{},
	}
}

// NextTick returns when Tick is due, or the zero time if no timer is set.
func (o *Overlay) NextTick() time.Time { return o.timers.Next() }

// Subscribe registers a subscription with the subscribing peer of an area, which is
// created if it doesn't exist. Each call needs a matching Unsubscribe. done may be nil.
func (o *Overlay) Subscribe(now time.Time, spaceName string, area Area, done Completion, effects *statemachine.Effects) {
	peer, created := o.peer(now, spaceName, area)
	peer.subscriptions++
	if !peer.self.Subscribes {
		peer.self.Subscribes = true
		o.change++
		peer.self.Change = o.change
		if !created {
			o.regreet(now, peer)
		}
	}
	o.whenJoined(now, peer, created, done, effects)
}

// Unsubscribe reverts one call of Subscribe. After the last one the peer stops
// subscribing, and leaves unless it also publishes. An area without subscriptions is
// ignored.
func (o *Overlay) Unsubscribe(now time.Time, spaceName string, area Area, effects *statemachine.Effects) {
	space, found := o.spaces[spaceName]
	if !found {
		return
	}
	peer, found := space.peers[area]
	if !found || peer.subscriptions == 0 {
		return
	}
	peer.subscriptions--
	if peer.subscriptions == 0 {
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
// knows the subscribers of the area. It must be called before each publication, since
// a peer that isn't used for publisherIdleTimeout leaves.
func (o *Overlay) Publish(now time.Time, spaceName string, area Area, done Completion, effects *statemachine.Effects) {
	peer, created := o.peer(now, spaceName, area)
	peer.publishes = true
	peer.lastUse = now
	o.whenJoined(now, peer, created, done, effects)
}

// Destinations returns the sorted names of the other daemons in the view that have
// subscribers of an area, according to this daemon's peer of the area. It returns none
// if there is no such peer (see Publish).
func (o *Overlay) Destinations(spaceName string, area Area) []string {
	space, found := o.spaces[spaceName]
	if !found {
		return nil
	}
	peer, found := space.peers[area]
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

// observe records the round trip time of a greeting. A shorter one replaces the
// estimate; a longer one changes it by 1/64 of the difference, since it may include the
// delay of a busy daemon.
func (o *Overlay) observe(daemon string, duration time.Duration) {
	current, found := o.roundTrips[daemon]
	switch {
	case !found || duration < current:
		o.roundTrips[daemon] = duration
	default:
		o.roundTrips[daemon] = current + (duration-current)/64
	}
}

// RoundTrips returns the smoothed round trip times to the other daemons in the view, by
// name.
func (o *Overlay) RoundTrips() map[string]time.Duration {
	roundTrips := make(map[string]time.Duration, len(o.roundTrips))
	for name, duration := range o.roundTrips {
		if _, alive := o.gateways[name]; alive {
			roundTrips[name] = duration.Round(10 * time.Microsecond)
		}
	}
	return roundTrips
}

// Discovery is a destination that a publishing peer has newly discovered: a daemon
// with a subscriber of the peer's area.
type Discovery struct {
	Space  string
	Area   Area
	Daemon string
}

// TakeDiscovered returns the discoveries since the last call.
func (o *Overlay) TakeDiscovered() []Discovery {
	discoveries := o.discoveries
	o.discoveries = nil
	return discoveries
}

// Joined reports whether this daemon has a peer for an area that has joined and has
// no pending greetings.
func (o *Overlay) Joined(spaceName string, area Area) bool {
	space, found := o.spaces[spaceName]
	if !found {
		return false
	}
	peer, found := space.peers[area]
	return found && peer.joining == nil && len(peer.pending) == 0
}

// PeerCounts returns how many peers of this daemon subscribe and how many publish,
// over all spaces. A peer that does both is counted in both.
func (o *Overlay) PeerCounts() (subscribing, publishing int) {
	for _, space := range o.spaces {
		for _, peer := range space.peers {
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

// RemoveSpace removes a space with all its peers. No SignalLeave is sent, since the
// other daemons remove the space too. Waiting completions are called with done unset.
func (o *Overlay) RemoveSpace(now time.Time, spaceName string, effects *statemachine.Effects) {
	space, found := o.spaces[spaceName]
	if !found {
		return
	}
	for _, peer := range space.sorted() {
		waiting := peer.waiting
		peer.waiting = nil
		for _, done := range waiting {
			done(now, effects, false)
		}
	}
	delete(o.spaces, spaceName)
}

// sorted returns a copy of the list of peers in the order of their keys. Callers may
// add or remove peers while they iterate over it.
func (s *space) sorted() []*hostedPeer {
	return slices.Clone(s.ordered)
}

// indexPeer adds a peer. Keys are assigned in increasing order, so appending keeps
// ordered sorted.
func (s *space) indexPeer(peer *hostedPeer) {
	s.peers[peer.self.Area] = peer
	s.byKey[peer.self.Key] = peer
	s.ordered = append(s.ordered, peer)
}

func (s *space) unindexPeer(peer *hostedPeer) {
	delete(s.peers, peer.self.Area)
	delete(s.byKey, peer.self.Key)
	if position := slices.Index(s.ordered, peer); position >= 0 {
		s.ordered = slices.Delete(s.ordered, position, position+1)
	}
}

// sortedPeers iterates over peers in the order of their keys. Entries may be removed
// during the iteration.
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

// peer returns the peer of an area, and creates it if there is none. The caller must
// have a new peer join (see whenJoined).
func (o *Overlay) peer(now time.Time, spaceName string, area Area) (peer *hostedPeer, created bool) {
	inSpace, found := o.spaces[spaceName]
	if !found {
		inSpace = &space{name: spaceName, peers: map[Area]*hostedPeer{}, byKey: map[PeerKey]*hostedPeer{}, tombstones: map[PeerKey]time.Time{}}
		o.spaces[spaceName] = inSpace
	}
	if peer, found = inSpace.peers[area]; found {
		return peer, false
	}
	o.number++
	key := PeerKey{Daemon: o.daemon, Incarnation: o.incarnation, Number: o.number}
	o.change++
	peer = &hostedPeer{
		self:  Peer{Key: key, At: area.reference(o.daemon, o.number), Area: area, Change: o.change},
		space: inSpace, known: map[PeerKey]Peer{}, subscribers: map[PeerKey]Peer{}, greeted: map[PeerKey]uint64{}, pending: map[PeerKey]*pendingRequest{},
		introducedAt: map[PeerKey]time.Time{}, unannounced: map[PeerKey]map[PeerKey]bool{},
		joinTargets: map[string]bool{}, lastUse: now,
	}
	peer.region = newRegion(peer.self.At)
	inSpace.indexPeer(peer)
	o.timers.ArmSooner("sweep", now.Add(sweepInterval))
	o.timers.ArmSooner("compare", now.Add(reconcileInterval))
	return peer, true
}

// signal adds a signal to the frame for a daemon. A daemon that isn't in the view is
// ignored.
func (o *Overlay) signal(daemon string, signal Signal) {
	gateway, alive := o.gateways[daemon]
	if !alive {
		return
	}
	o.Counts.SignalsOut++
	o.Counts.ByKind[signal.Kind]++
	frame := o.frameTo(gateway.Address)
	frame.Signals = append(frame.Signals, signal)
}

// frameTo returns the frame that the present step sends to an address.
func (o *Overlay) frameTo(address string) *Signals {
	frame, found := o.frames[address]
	if !found {
		frame = &Signals{}
		o.frames[address] = frame
	}
	return frame
}

// flush sends the frames of the present step.
func (o *Overlay) flush(effects *statemachine.Effects) {
	for address, frame := range statemachine.Sorted(o.frames) {
		o.Counts.BatchesOut++
		effects.Send(address, *frame)
	}
	clear(o.frames)
}

// sendTo sends a signal to a peer. If the peer is on this daemon, the signal is
// handled immediately.
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

// rebuild recomputes a region after the loss of a neighbour, from all peers of the
// space that any peer of this daemon knows. This divides the lost neighbour's region
// immediately among the peers around it. New neighbours are greeted.
func (o *Overlay) rebuild(now time.Time, peer *hostedPeer) {
	before := peer.region.owners()
	peer.healingUntil = now.Add(healingPeriod)
	peer.region = newRegion(peer.self.At)
	for _, known := range sortedPeers(peer.known) {
		peer.region.clip(known.At, known.Key)
	}
	// learn may remove peers from the space, so the loop uses a copy. Most peers are
	// too far away to cut the region; cuts is a cheap test for that.
	for _, other := range peer.space.sorted() {
		if other == peer {
			continue
		}
		if peer.region.cuts(other.self.At) {
			o.learn(now, peer, other.self.Key, []Peer{other.self}, false)
		}
		for _, edge := range other.region.corners {
			if edge.owner.Daemon == "" || edge.owner == peer.self.Key || !peer.region.cuts(edge.ownerPoint) {
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

// HandleSignals handles a frame from another daemon's peers.
func (o *Overlay) HandleSignals(now time.Time, signals Signals, effects *statemachine.Effects) {
	for _, signal := range signals.Signals {
		// Ignores signals from daemons that aren't in the view and from earlier
		// incarnations; they were sent under an older view.
		if !o.ended(signal.From.Key) {
			o.handleSignal(now, signal, effects)
		}
	}
	for _, notices := range signals.Notices {
		o.handleNotices(now, notices)
	}
	o.completeWaiting(now, effects)
	o.flush(effects)
}

// handleSignal handles one signal. effects is nil for a signal between peers of this
// daemon; completions are then called by the settle timer.
func (o *Overlay) handleSignal(now time.Time, signal Signal, effects *statemachine.Effects) {
	space, found := o.spaces[signal.Space]
	if signal.Kind == SignalJoin {
		o.handleJoin(now, space, signal)
		return
	}
	var peer *hostedPeer
	if found {
		peer = space.byKey[signal.To]
	}
	if peer == nil {
		if signal.Kind == SignalGreet || signal.Kind == SignalWelcome || signal.Kind == SignalGreeted {
			o.signal(signal.From.Key.Daemon, Signal{Kind: SignalLeft, Space: signal.Space, To: signal.From.Key, From: Peer{Key: signal.To}})
		}
		return
	}
	switch signal.Kind {
	case SignalNoPeer:
		o.handleNoPeer(now, peer, signal.From.Key.Daemon)
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
		response := o.introduce(now, peer, signal.From)
		response.Kind = SignalGreeted
		o.sendTo(now, signal.From.Key, response)
		if signal.Hops == healing && peer.self.Subscribes {
			// The sender's region has grown because a neighbour was lost. Its new
			// neighbours may be in this peer's area; the response to a greeting names
			// them.
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
		space.tombstones[signal.From.Key] = now
		o.handleLeave(now, peer, signal)
	case SignalLeft:
		space.tombstones[signal.From.Key] = now
		o.drop(now, peer, signal.From.Key)
	}
	if effects != nil {
		o.checkJoined(now, peer, effects)
	} else {
		o.timers.ArmSooner("settle", now)
	}
}

// SetView sets the other daemons in the membership view, by name. Peers of daemons that
// are no longer in the view, or that have a new incarnation, are removed. New daemons
// are probed, so that the two halves of a split overlay find each other.
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
		for _, plane := range statemachine.Sorted(o.planes) {
			o.checkWith(name, plane, true)
		}
	}
	o.completeWaiting(now, effects)
	o.flush(effects)
}

// Tick runs the timers that are due. A timer without a case only causes completeWaiting
// to run.
func (o *Overlay) Tick(now time.Time, effects *statemachine.Effects) {
	for _, key := range o.timers.Expired(now) {
		switch key {
		case "limits":
			o.checkDeadlines(now, effects)
		case "compare":
			o.reconcile(now, effects)
		case "sweep":
			o.sweep(now)
			o.releaseCells(now)
		case "owed":
			o.sendPendingComplete()
		case "asks":
			o.retryRequests(now)
		case "members":
			o.compareMembers(now)
		case "notices":
			o.sendChanges(now)
		case "checks":
			o.check(now)
		case "settle":
			for _, space := range statemachine.Sorted(o.spaces) {
				for _, peer := range space.sorted() {
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
