// Package overlay finds the daemons that a publication goes to, after VAST's Voronoi-based overlay network.
//
// The overlay, after VAST's Voronoi-based overlay network. Each area that this
// daemon's origins subscribe to, or publish at, has one peer here. A peer keeps
// its own Voronoi region, always knows the enclosing neighbours beyond its
// edges, knows the peers inside its area if it subscribes, and knows every
// subscriber whose area meets its region. A joining peer's request is forwarded
// greedily to the acceptor whose region covers its point; from there it walks
// from neighbour to neighbour, and each one it greets tells it of more: the
// neighbours they have in common, the subscribers over the part of the region
// that it took, and, if it subscribes, the neighbours beyond the edges that its
// area meets. Knowledge is mutual, so a publisher's peer holds its subscriber
// list, from which come the destination daemons, each once.
package overlay

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// Spans and bounds of the overlay.
const (
	greetTimeout     = 300 * time.Millisecond
	maxGreetAttempts = 4
	joinTimeout      = 400 * time.Millisecond
	// joinAttemptValid is how long a try to join is not yet taken for lost with a daemon.
	joinAttemptValid = 100 * time.Millisecond
	// maxDoublings is how often the wait of a join, a greeting or a question to a
	// peer doubles. An answer that is late because links are full must not be asked
	// for again and again, which keeps them full.
	maxDoublings      = 3
	maxHops           = 48
	firstJoinTargets  = 3
	healing           = 1
	healFor           = 2 * time.Second
	rejoinWindow      = 3 * time.Second
	tombstoneLifetime = 30 * time.Second
	compareInterval   = 4 * time.Second
	quietFor          = 4 * time.Minute
	sweepInterval     = 5 * time.Second
)

// Gateway is another daemon that hosts peers.
type Gateway struct {
	Name    string
	Address string
	Joined  uint64
}

// Completion is called once a peer knows its surroundings, or gave up waiting.
type Completion func(now time.Time, effects *statemachine.Effects, done bool)

type outstanding struct {
	until    time.Time
	sent     time.Time
	attempts int
}

type hosted struct {
	self  Peer
	space *space
	known map[PeerKey]Peer
	// subscribers are those of the known ones that subscribe.
	subscribers map[PeerKey]Peer
	region      Region
	greeted     map[PeerKey]uint64
	// tookAt tells when another peer made itself known and took its part.
	tookAt           map[PeerKey]time.Time
	owed             map[PeerKey]map[PeerKey]bool
	pending          map[PeerKey]*outstanding
	joining          *outstanding
	joinTargets      map[string]bool
	joinedThroughAll bool
	waiting          []Completion
	holders          int
	lastUse          time.Time
	publishes        bool
	queued           bool
	requests         []Signal
	healUntil        time.Time
	// cell is set for a peer of routed topics.
	cell *cell
}

type space struct {
	name  string
	peers map[Area]*hosted
	byKey map[PeerKey]*hosted
	// ordered holds the same peers in the order of their keys.
	ordered []*hosted
	gone    map[PeerKey]time.Time
	turn    int
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
	// Notices counts the notices that went out by their kind, Told the topics and
	// members that they told, and Levels the sums.
	Notices   [NoticeMissing + 1]uint64 `json:"Notices"`
	Announced [NoticeMissing + 1]uint64 `json:"Told"`
	Levels    uint64                    `json:"Levels"`
}

// Overlay is one daemon's part of the overlay.
type Overlay struct {
	daemon      string
	incarnation uint64
	number      uint64
	change      uint64
	gateways    map[string]Gateway
	spaces      map[string]*space
	planes      map[string]*plane
	timers      *statemachine.Timers[string]
	out         map[string]*Signals
	// paceUntil is when the next changes may go out to all, and paced counts those
	// that waited for that.
	paceUntil time.Time
	paced     int
	// checked is when this daemon last compared its cells with others.
	checked time.Time
	// checks counts the comparisons that followed another within checkEvery.
	checks     int
	checkTurn  uint64
	roundTrips map[string]time.Duration
	found      []Discovery
	Counts     Counts
}

// New makes the overlay part of one daemon; Live and View come before any peer.
func New(daemon string) *Overlay {
	return &Overlay{
		daemon: daemon, gateways: map[string]Gateway{}, spaces: map[string]*space{}, planes: map[string]*plane{},
		timers: statemachine.NewTimers[string](), out: map[string]*Signals{}, roundTrips: map[string]time.Duration{},
	}
}

// NextTick is when the overlay wants to run again.
func (o *Overlay) NextTick() time.Time { return o.timers.Next() }

// Subscribe adds one holder to the subscribing peer of an area.
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

// Unsubscribe takes one holder away; with the last the peer stops subscribing,
// and leaves if nobody publishes there either.
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

// Publish makes sure that an area has a publishing peer and tells when its
// subscriber list is there.
func (o *Overlay) Publish(now time.Time, spaceName string, area Area, done Completion, effects *statemachine.Effects) {
	peer, made := o.peer(now, spaceName, area)
	peer.publishes = true
	peer.lastUse = now
	o.whenJoined(now, peer, made, done, effects)
}

// Destinations lists the daemons, this one left out, that hold subscribers of
// an area: the publishing peer's subscriber list.
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

// observe notes how long a greeting and its answer took; what is short counts
// more, since a busy daemon only makes the way look longer.
func (o *Overlay) observe(daemon string, length time.Duration) {
	present, found := o.roundTrips[daemon]
	switch {
	case !found || length < present:
		o.roundTrips[daemon] = length
	default:
		o.roundTrips[daemon] = present + (length-present)/64
	}
}

// RoundTrips tells the round trips observed to the other living daemons.
func (o *Overlay) RoundTrips() map[string]time.Duration {
	roundTrips := make(map[string]time.Duration, len(o.roundTrips))
	for name, length := range o.roundTrips {
		if _, alive := o.gateways[name]; alive {
			roundTrips[name] = length.Round(10 * time.Microsecond)
		}
	}
	return roundTrips
}

// Discovery is a destination that a publishing peer has just come to know.
type Discovery struct {
	Space  string
	Area   Area
	Daemon string
}

// TakeDiscovered gives what was found since it was last asked.
func (o *Overlay) TakeDiscovered() []Discovery {
	found := o.found
	o.found = nil
	return found
}

// Joined tells whether an area's peer knows its surroundings.
func (o *Overlay) Joined(spaceName string, area Area) bool {
	here, found := o.spaces[spaceName]
	if !found {
		return false
	}
	peer, found := here.peers[area]
	return found && peer.joining == nil && len(peer.pending) == 0
}

// PeerCounts counts the peers here, by space.
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

// RemoveSpace drops a removed space with all its peers.
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

func (s *space) sorted() []*hosted {
	return slices.Clone(s.ordered)
}

// indexPeer and displace keep the hosted peers in the order of their keys; a new
// key is always above those before it.
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

// Sending.

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

// signalsTo is what goes to an address with the present step.
func (o *Overlay) signalsTo(address string) *Signals {
	frame, found := o.out[address]
	if !found {
		frame = &Signals{}
		o.out[address] = frame
	}
	return frame
}

func (o *Overlay) flush(effects *statemachine.Effects) {
	for address, frame := range statemachine.Sorted(o.out) {
		o.Counts.BatchesOut++
		effects.Send(address, *frame)
	}
	clear(o.out)
}

// Joining.

// sendTo hands a signal to a peer, here or away.
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

// rebuild makes a region anew from all peers that this daemon knows of in the
// space, so that a hole left by one daemon's loss closes at once where another
// hosted peer knows who is on the far side.
func (o *Overlay) rebuild(now time.Time, peer *hosted) {
	before := peer.region.owners()
	peer.healUntil = now.Add(healFor)
	peer.region = newRegion(peer.self.At)
	for _, known := range sortedPeers(peer.known) {
		peer.region.clip(known.At, known.Key)
	}
	// Learning may drop peers from the table, so the walk is over a copy; most of
	// what it meets lies too far away to matter, which a few products show.
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

// Leaving.

// Taking signals.

// HandleSignals handles what another daemon's peers say.
func (o *Overlay) HandleSignals(now time.Time, signals Signals, effects *statemachine.Effects) {
	for _, signal := range signals.Signals {
		// What a daemon says that is gone from the view rests on an old one, and so
		// does what an earlier life of it said.
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
			// The region of a peer that heals has grown; what lies beyond it
			// may now meet this area.
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

// Changes in the cluster.

// SetView follows the cluster: peers of daemons that are gone leave, and a daemon
// that comes, or comes again, is probed so that two halves of a split overlay
// find each other.
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

// Tick runs the timers that expired.
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
