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
	"maps"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Spans and bounds of the overlay.
const (
	greetLimit = 300 * time.Millisecond
	greetTries = 4
	joinLimit  = 400 * time.Millisecond
	// joinFresh is how long a try to join is not yet taken for lost with a daemon.
	joinFresh = 100 * time.Millisecond
	// retryDoubles is how often the wait of a join, a greeting or a question to a
	// peer doubles. An answer that is late because links are full must not be asked
	// for again and again, which keeps them full.
	retryDoubles = 3
	hopLimit     = 48
	askedFirst   = 3
	healing      = 1
	healFor      = 2 * time.Second
	freshFor     = 3 * time.Second
	goneFor      = 30 * time.Second
	compareEvery = 4 * time.Second
	quietFor     = 4 * time.Minute
	sweepEvery   = 5 * time.Second
)

// PeerKey names one peer for ever.
type PeerKey struct {
	_      struct{} `cbor:",toarray"`
	Daemon string
	Life   uint64
	Number uint64
}

func (pk PeerKey) compare(other PeerKey) int {
	if order := strings.Compare(pk.Daemon, other.Daemon); order != 0 {
		return order
	}
	if pk.Life != other.Life {
		if pk.Life < other.Life {
			return -1
		}
		return 1
	}
	if pk.Number < other.Number {
		return -1
	}
	if pk.Number > other.Number {
		return 1
	}
	return 0
}

// Peer is what others know of one.
type Peer struct {
	_          struct{} `cbor:",toarray"`
	Key        PeerKey
	At         Point
	Area       Area
	Subscribes bool
	Change     uint64
}

// Kinds of signals between peers.
const (
	SignalJoin uint8 = iota + 1
	SignalWelcome
	SignalGreet
	SignalGreeted
	SignalLeave
	SignalGone
	SignalNobody
	SignalTell
)

// Signal is one message from peer to peer.
type Signal struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Space    string
	To       PeerKey
	From     Peer
	Peers    []Peer
	Boundary []Peer
	Hops     uint8
	Tries    uint8
}

// Signals is what one daemon's peers say to another daemon's in one step: one
// frame.
type Signals struct {
	_       struct{} `cbor:",toarray"`
	Signals []Signal
	Notices []Notices
}

func init() {
	transport.MustRegister(400, Signals{})
}

// Gateway is another daemon that hosts peers.
type Gateway struct {
	Name    string
	Address string
	Joined  uint64
}

// Settled is called once a peer knows its surroundings, or gave up waiting.
type Settled func(now time.Time, effects *statemachine.Effects, settled bool)

type outstanding struct {
	until time.Time
	sent  time.Time
	tries int
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
	tookAt    map[PeerKey]time.Time
	owed      map[PeerKey]map[PeerKey]bool
	pending   map[PeerKey]*outstanding
	joining   *outstanding
	joinAsked map[string]bool
	askedAll  bool
	waiting   []Settled
	holders   int
	lastUse   time.Time
	publishes bool
	queued    bool
	requests  []Signal
	healUntil time.Time
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
	ByKind [SignalTell + 1]uint64 `json:"ByKind"`
	// Notices counts the notices that went out by their kind, Told the topics and
	// members that they told, and Levels the sums.
	Notices [NoticeLacks + 1]uint64 `json:"Notices"`
	Told    [NoticeLacks + 1]uint64 `json:"Told"`
	Levels  uint64                  `json:"Levels"`
}

// Overlay is one daemon's part of the overlay.
type Overlay struct {
	daemon   string
	life     uint64
	number   uint64
	change   uint64
	gateways map[string]Gateway
	spaces   map[string]*space
	planes   map[string]*plane
	timers   *statemachine.Timers
	out      map[string]*Signals
	// paceUntil is when the next changes may go out to all, and paced counts those
	// that waited for that.
	paceUntil time.Time
	paced     int
	// checked is when this daemon last compared its cells with others.
	checked time.Time
	// checks counts the comparisons that followed another within checkEvery.
	checks    int
	checkTurn uint64
	ways      map[string]time.Duration
	found     []Found
	Counts    Counts
}

// New makes the overlay part of one daemon; Live and View come before any peer.
func New(daemon string) *Overlay {
	return &Overlay{
		daemon: daemon, gateways: map[string]Gateway{}, spaces: map[string]*space{}, planes: map[string]*plane{},
		timers: statemachine.NewTimers(), out: map[string]*Signals{}, ways: map[string]time.Duration{},
	}
}

// NextDue is when the overlay wants to run again.
func (o *Overlay) NextDue() time.Time { return o.timers.Next() }

// Subscribe adds one holder to the subscribing peer of an area.
func (o *Overlay) Subscribe(now time.Time, spaceName string, area Area, settled Settled, effects *statemachine.Effects) {
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
	o.await(now, peer, made, settled, effects)
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
func (o *Overlay) Publish(now time.Time, spaceName string, area Area, settled Settled, effects *statemachine.Effects) {
	peer, made := o.peer(now, spaceName, area)
	peer.publishes = true
	peer.lastUse = now
	o.await(now, peer, made, settled, effects)
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
	present, found := o.ways[daemon]
	switch {
	case !found || length < present:
		o.ways[daemon] = length
	default:
		o.ways[daemon] = present + (length-present)/64
	}
}

// Ways tells the round trips observed to the other living daemons.
func (o *Overlay) Ways() map[string]time.Duration {
	ways := make(map[string]time.Duration, len(o.ways))
	for name, length := range o.ways {
		if _, alive := o.gateways[name]; alive {
			ways[name] = length.Round(10 * time.Microsecond)
		}
	}
	return ways
}

// Found is a destination that a publishing peer has just come to know.
type Found struct {
	Space  string
	Area   Area
	Daemon string
}

// TakeFound gives what was found since it was last asked.
func (o *Overlay) TakeFound() []Found {
	found := o.found
	o.found = nil
	return found
}

// Settled tells whether an area's peer knows its surroundings.
func (o *Overlay) Settled(spaceName string, area Area) bool {
	here, found := o.spaces[spaceName]
	if !found {
		return false
	}
	peer, found := here.peers[area]
	return found && peer.joining == nil && len(peer.pending) == 0
}

// Hosted counts the peers here, by space.
func (o *Overlay) Hosted() (subscribing, publishing int) {
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

// Forget drops a removed space with all its peers.
func (o *Overlay) Forget(now time.Time, spaceName string, effects *statemachine.Effects) {
	here, found := o.spaces[spaceName]
	if !found {
		return
	}
	for _, peer := range here.sorted() {
		waiting := peer.waiting
		peer.waiting = nil
		for _, settled := range waiting {
			settled(now, effects, false)
		}
	}
	delete(o.spaces, spaceName)
}

// LeaveAll lets every peer leave, before the daemon ends.
func (o *Overlay) LeaveAll(effects *statemachine.Effects) {
	for _, here := range statemachine.Sorted(o.spaces) {
		for _, peer := range here.sorted() {
			o.leave(peer)
		}
	}
	o.flush(effects)
}

func (s *space) sorted() []*hosted {
	return slices.Clone(s.ordered)
}

// place and displace keep the hosted peers in the order of their keys; a new
// key is always above those before it.
func (s *space) place(peer *hosted) {
	s.peers[peer.self.Area] = peer
	s.byKey[peer.self.Key] = peer
	s.ordered = append(s.ordered, peer)
}

func (s *space) displace(peer *hosted) {
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
	key := PeerKey{Daemon: o.daemon, Life: o.life, Number: o.number}
	o.change++
	peer = &hosted{
		self:  Peer{Key: key, At: area.reference(o.daemon, o.number), Area: area, Change: o.change},
		space: here, known: map[PeerKey]Peer{}, subscribers: map[PeerKey]Peer{}, greeted: map[PeerKey]uint64{}, pending: map[PeerKey]*outstanding{},
		tookAt: map[PeerKey]time.Time{}, owed: map[PeerKey]map[PeerKey]bool{},
		joinAsked: map[string]bool{}, lastUse: now,
	}
	peer.region = newRegion(peer.self.At)
	here.place(peer)
	o.timers.ArmSooner("sweep", now.Add(sweepEvery))
	o.timers.ArmSooner("compare", now.Add(compareEvery))
	return peer, true
}

func (o *Overlay) await(now time.Time, peer *hosted, made bool, settled Settled, effects *statemachine.Effects) {
	if settled != nil {
		peer.waiting = append(peer.waiting, settled)
	}
	if made {
		o.join(now, peer)
	}
	o.checkSettled(now, peer, effects)
	o.flush(effects)
}

func (o *Overlay) checkSettled(now time.Time, peer *hosted, effects *statemachine.Effects) {
	if peer.joining != nil || len(peer.pending) > 0 {
		return
	}
	waiting := peer.waiting
	peer.waiting = nil
	for _, done := range waiting {
		done(now, effects, true)
	}
}

// Sending.

func (o *Overlay) signal(daemon string, signal Signal) {
	gateway, alive := o.gateways[daemon]
	if !alive {
		return
	}
	o.Counts.SignalsOut++
	o.Counts.ByKind[signal.Kind]++
	frame := o.frame(gateway.Address)
	frame.Signals = append(frame.Signals, signal)
}

// frame is what goes to an address with the present step.
func (o *Overlay) frame(address string) *Signals {
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

func (o *Overlay) join(now time.Time, peer *hosted) {
	o.Counts.Joins++
	if peer.joining == nil {
		peer.joining = &outstanding{}
	}
	peer.joining.tries++
	peer.joining.sent = now
	peer.joining.until = now.Add(longer(joinLimit, peer.joining.tries))
	o.timers.ArmSooner("limits", peer.joining.until)
	clear(peer.joinAsked)
	peer.queued = false
	request := Signal{Kind: SignalJoin, Space: peer.space.name, From: peer.self, Tries: uint8(min(peer.joining.tries, 255))}
	if start := o.nearestHosted(peer.space, peer.self.At, peer); start != nil {
		o.forward(now, start, request)
		return
	}
	for _, other := range peer.space.peers {
		if other != peer && other.joining != nil && !other.queued {
			// The first peer here is still looking for the others.
			peer.queued = true
			return
		}
	}
	peer.askedAll = false
	if peer.joining.tries == 1 && len(o.gateways) > askedFirst {
		names := slices.Collect(maps.Keys(o.gateways))
		slices.Sort(names)
		for step := range askedFirst {
			name := names[(uint64(step)+keyHash(peer.self.Key))%uint64(len(names))]
			peer.joinAsked[name] = true
			o.signal(name, request)
		}
		return
	}
	o.askAll(now, peer)
}

// longer is how long to wait for the answer to a try.
func longer(first time.Duration, tries int) time.Duration {
	if statemachine.Mutated("no-retry-pauses") {
		return first
	}
	return first << min(max(0, tries-1), retryDoubles)
}

// askAll asks all daemons for the way to an acceptor. That a few know of nobody
// does not yet make a peer the first.
func (o *Overlay) askAll(now time.Time, peer *hosted) {
	peer.askedAll = true
	request := Signal{Kind: SignalJoin, Space: peer.space.name, From: peer.self, Tries: uint8(min(peer.joining.tries, 255))}
	for name := range statemachine.Sorted(o.gateways) {
		peer.joinAsked[name] = true
		o.signal(name, request)
	}
	if len(peer.joinAsked) == 0 {
		o.joined(now, peer)
	}
}

// joined ends a peer's joining and lets those go on that waited for it.
func (o *Overlay) joined(now time.Time, peer *hosted) {
	peer.joining = nil
	o.timers.ArmSooner("settle", now)
	requests := peer.requests
	peer.requests = nil
	for _, request := range requests {
		o.forward(now, peer, request)
	}
	for _, other := range peer.space.sorted() {
		if other.queued {
			other.queued = false
			o.join(now, other)
		}
	}
}

// nearestHosted finds the hosted peer nearest to a point.
func (o *Overlay) nearestHosted(here *space, at Point, without *hosted) *hosted {
	var best *hosted
	bestDistance := 0.0
	for _, peer := range here.peers {
		if peer == without || peer.joining != nil {
			continue
		}
		away := distance(peer.self.At, at)
		if best == nil || away < bestDistance || away == bestDistance && peer.self.Key.compare(best.self.Key) < 0 {
			best, bestDistance = peer, away
		}
	}
	return best
}

// anyJoining finds a peer that is itself still looking for others, the first
// by key.
func (s *space) anyJoining() *hosted {
	for _, peer := range s.sorted() {
		if peer.joining != nil {
			return peer
		}
	}
	return nil
}

// forward moves a join on to the nearest peer known, or accepts it here.
func (o *Overlay) forward(now time.Time, at *hosted, request Signal) {
	target := request.From.At
	for {
		best, bestDistance := at.self, distance(at.self.At, target)
		for key, known := range at.known {
			if key == request.From.Key {
				continue
			}
			away := distance(known.At, target)
			if away < bestDistance || away == bestDistance && key.compare(best.Key) < 0 {
				best, bestDistance = known, away
			}
		}
		if best.Key == at.self.Key {
			o.accept(now, at, request)
			return
		}
		if next, here := at.space.byKey[best.Key]; here {
			if next.holdsOff(request) {
				next.requests = append(next.requests, request)
				return
			}
			at = next
			continue
		}
		if o.ended(best.Key) {
			o.drop(now, at, best.Key)
			continue
		}
		if request.Hops >= hopLimit {
			o.accept(now, at, request)
			return
		}
		request.Hops++
		request.To = best.Key
		o.Counts.Hops++
		o.signal(best.Key.Daemon, request)
		return
	}
}

// accept answers a join as the acceptor.
func (o *Overlay) accept(now time.Time, acceptor *hosted, request Signal) {
	answer := o.introduce(now, acceptor, request.From)
	if acceptor.mate(request.From) {
		for key, known := range sortedPeers(acceptor.subscribers) {
			if key != request.From.Key && acceptor.mate(known) && !slices.ContainsFunc(answer.Peers, func(named Peer) bool { return named.Key == key }) {
				answer.Peers = append(answer.Peers, known)
			}
		}
	}
	answer.Kind = SignalWelcome
	answer.Hops = request.Hops
	o.tell(now, request.From.Key, answer)
}

// ended tells whether a peer is of a daemon that is gone, or of an earlier life of one
// that began anew. Lives rise, and one that the view does not have yet may be there.
func (o *Overlay) ended(key PeerKey) bool {
	gateway, alive := o.gateways[key.Daemon]
	return !alive || key.Life > 0 && key.Life < gateway.Joined && !statemachine.Mutated("any-life-of-a-peer")
}

// tell hands a signal to a peer, here or away.
func (o *Overlay) tell(now time.Time, key PeerKey, signal Signal) {
	signal.To = key
	if key.Daemon != o.daemon {
		o.signal(key.Daemon, signal)
		return
	}
	if key.Life == o.life {
		o.handle(now, signal, nil)
	}
}

// introduce makes a newcomer known to a hosted peer and gathers what the
// newcomer ought to know.
func (o *Overlay) introduce(now time.Time, peer *hosted, newcomer Peer) Signal {
	answer := Signal{Space: peer.space.name, From: peer.self}
	if newcomer.Key == peer.self.Key {
		return answer
	}
	_, wasKnown := peer.known[newcomer.Key]
	if !wasKnown {
		peer.tookAt[newcomer.Key] = now
	}
	o.note(now, peer, newcomer)
	include := map[PeerKey]Peer{}
	offer := func(keys []PeerKey) {
		for _, key := range keys {
			if known, found := peer.known[key]; found && key != newcomer.Key {
				include[key] = known
			}
		}
	}
	if peer.region.owns(newcomer.Key) && !wasKnown {
		offer(peer.region.beside(newcomer.Key))
	} else {
		offer(peer.region.owners())
	}
	if peer.cell != nil {
		// The peers of a cell know each other by their notices.
		for _, known := range sortedPeers(include) {
			answer.Peers = append(answer.Peers, known)
		}
		return answer
	}
	for key, known := range peer.subscribers {
		if key == newcomer.Key {
			continue
		}
		over := known.Area.Contains(newcomer.At) || wasKnown && peer.region.meets(known.Area)
		if over {
			include[key] = known
		}
	}
	if newcomer.Subscribes {
		for key, known := range peer.known {
			if key != newcomer.Key && newcomer.Area.Contains(known.At) {
				include[key] = known
			}
		}
	}
	o.owes(peer, newcomer.Key, include)
	for _, known := range sortedPeers(include) {
		answer.Peers = append(answer.Peers, known)
	}
	if newcomer.Subscribes {
		for _, key := range peer.region.boundary(newcomer.Area) {
			if known, found := peer.known[key]; found && key != newcomer.Key {
				answer.Boundary = append(answer.Boundary, known)
			}
		}
	}
	return answer
}

// note records what is known of another peer. Subscribers over the part of the
// region that it takes are owed to it: they are named in the next signal that
// goes to it.
func (o *Overlay) note(now time.Time, peer *hosted, other Peer) {
	earlier, found := peer.known[other.Key]
	if found && earlier.Change > other.Change {
		return
	}
	peer.known[other.Key] = other
	if other.Subscribes {
		peer.subscribers[other.Key] = other
	} else {
		delete(peer.subscribers, other.Key)
	}
	if peer.cell != nil {
		if !found {
			if peer.mate(other) {
				o.meet(now, peer.cell, other.Key)
			}
			if _, cut := peer.region.clip(other.At, other.Key); cut {
				o.passOn(now, peer, other)
			}
			o.checkSoon(now)
		}
		return
	}
	if other.Subscribes && !earlier.Subscribes {
		o.passOn(now, peer, other)
		if peer.publishes && other.Key.Daemon != o.daemon && other.Area.Covers(peer.self.Area) {
			o.found = append(o.found, Found{Space: peer.space.name, Area: peer.self.Area, Daemon: other.Key.Daemon})
		}
	}
	if found {
		return
	}
	taken, _ := peer.region.clip(other.At, other.Key)
	if len(taken) == 0 {
		return
	}
	owed := map[PeerKey]bool{}
	for key, known := range peer.subscribers {
		if key != other.Key && polygonMeets(peer.self.At, taken, known.Area) {
			owed[key] = true
		}
	}
	if peer.self.Subscribes && polygonMeets(peer.self.At, taken, peer.self.Area) {
		owed[peer.self.Key] = true
	}
	if len(owed) > 0 {
		peer.owed[other.Key] = owed
	}
}

// owes takes out what is owed to another peer.
func (o *Overlay) owes(peer *hosted, key PeerKey, include map[PeerKey]Peer) {
	for owed := range peer.owed[key] {
		if known, found := peer.known[owed]; found {
			include[owed] = known
		} else if owed == peer.self.Key {
			include[owed] = peer.self
		}
	}
	delete(peer.owed, key)
}

// owedTo lists what is owed to another peer, and takes it out.
func (o *Overlay) owedTo(peer *hosted, key PeerKey) []Peer {
	include := map[PeerKey]Peer{}
	o.owes(peer, key, include)
	var owed []Peer
	for _, known := range sortedPeers(include) {
		owed = append(owed, known)
	}
	return owed
}

// passOn names a subscriber that has just become known to the neighbours that
// took part of this peer's region a moment ago: the subscriber may have looked
// here for a part that is theirs now.
func (o *Overlay) passOn(now time.Time, peer *hosted, subscriber Peer) {
	for _, key := range peer.region.owners() {
		if key == subscriber.Key || now.Sub(peer.tookAt[key]) > freshFor {
			continue
		}
		if peer.cell != nil && peer.known[key].Area == subscriber.Area {
			// They find each other by the notices of their cell.
			continue
		}
		if key.Daemon != o.daemon {
			o.signal(key.Daemon, Signal{Kind: SignalTell, Space: peer.space.name, To: key, From: peer.self, Peers: []Peer{subscriber}})
		} else if neighbour, here := peer.space.byKey[key]; here {
			o.learn(now, neighbour, peer.self.Key, []Peer{subscriber}, false)
		}
	}
}

// learn considers peers that somebody told of, and greets those that matter.
func (o *Overlay) learn(now time.Time, peer *hosted, teller PeerKey, others []Peer, always bool) {
	var mates []Peer
	for _, other := range others {
		if other.Key == peer.self.Key {
			continue
		}
		if other.Key.Daemon == o.daemon {
			current, here := peer.space.byKey[other.Key]
			if !here {
				o.correct(peer, teller, other.Key)
				continue
			}
			other = current.self
		} else if _, left := peer.space.gone[other.Key]; left {
			o.correct(peer, teller, other.Key)
			continue
		} else if o.ended(other.Key) {
			continue
		}
		earlier, known := peer.known[other.Key]
		if known && earlier.Change >= other.Change {
			if peer.greeted[other.Key] < peer.self.Change && (always || o.matters(peer, other)) {
				o.greet(now, peer, other)
			}
			continue
		}
		if !always && !known && !o.matters(peer, other) {
			continue
		}
		o.note(now, peer, other)
		if peer.mate(other) {
			mates = append(mates, other)
			continue
		}
		if peer.greeted[other.Key] < peer.self.Change {
			o.greet(now, peer, other)
		}
	}
	// Of the peers of its own cell it greets those only that are beyond its
	// edges once all of them are known; who told of itself greets if need be.
	for _, mate := range mates {
		if mate.Key != teller && peer.region.owns(mate.Key) && peer.greeted[mate.Key] < peer.self.Change {
			o.greet(now, peer, mate)
		}
	}
}

// mate tells whether another daemon's peer is of the same cell.
func (h *hosted) mate(other Peer) bool {
	return h.cell != nil && other.Area == h.self.Area && other.Key.Daemon != h.self.Key.Daemon
}

// outer tells whether a peer's region reaches out of its area.
func (h *hosted) outer() bool {
	area, middle := h.self.Area, h.self.At
	for _, at := range h.region.corners {
		if !area.Contains(Point{X: middle.X + at.x, Y: middle.Y + at.y}) {
			return true
		}
	}
	return false
}

// correct tells a peer that one it spoke of is gone, so that the word of it
// does not go round for ever.
func (o *Overlay) correct(peer *hosted, teller, gone PeerKey) {
	if teller.Daemon == o.daemon {
		if neighbour, here := peer.space.byKey[teller]; here && neighbour != peer {
			o.drop(time.Time{}, neighbour, gone)
		}
		return
	}
	if teller != gone {
		o.signal(teller.Daemon, Signal{Kind: SignalGone, Space: peer.space.name, To: teller, From: Peer{Key: gone}})
	}
}

func (o *Overlay) matters(peer *hosted, other Peer) bool {
	if peer.region.owns(other.Key) || peer.region.cuts(other.At) {
		return true
	}
	if peer.self.Subscribes && peer.self.Area.Contains(other.At) {
		return true
	}
	return other.Subscribes && (other.Area.Contains(peer.self.At) || peer.region.meets(other.Area))
}

func (o *Overlay) greet(now time.Time, peer *hosted, other Peer) {
	o.greetAs(now, peer, other, now.Before(peer.healUntil))
}

func (o *Overlay) greetAs(now time.Time, peer *hosted, other Peer, heals bool) {
	peer.greeted[other.Key] = peer.self.Change
	if peer.mate(other) && !peer.outer() {
		// What lies beyond an edge inside the cell is known by notices; only who
		// has neighbours in other cells must be told of theirs.
		delete(peer.pending, other.Key)
		return
	}
	o.Counts.Greets++
	greeting := Signal{Kind: SignalGreet, Space: peer.space.name, To: other.Key, From: peer.self}
	if other.Key.Daemon == o.daemon {
		if neighbour, here := peer.space.byKey[other.Key]; here {
			o.learn(now, neighbour, peer.self.Key, o.owedTo(peer, other.Key), false)
			answer := o.introduce(now, neighbour, peer.self)
			o.learn(now, peer, neighbour.self.Key, answer.Peers, false)
			o.learn(now, peer, neighbour.self.Key, answer.Boundary, true)
		}
		return
	}
	greeting.Peers = o.owedTo(peer, other.Key)
	if heals {
		greeting.Hops = healing
	}
	waiting, found := peer.pending[other.Key]
	if !found {
		waiting = &outstanding{}
		peer.pending[other.Key] = waiting
	}
	waiting.tries++
	waiting.sent, waiting.until = now, now.Add(longer(greetLimit, waiting.tries))
	o.timers.ArmSooner("limits", waiting.until)
	o.signal(other.Key.Daemon, greeting)
}

// regreet tells all whom a peer knows that its part has changed, and walks its
// area anew.
func (o *Overlay) regreet(now time.Time, peer *hosted) {
	for _, known := range sortedPeers(peer.known) {
		if peer.greeted[known.Key] < peer.self.Change {
			o.greet(now, peer, known)
		}
	}
}

// drop forgets a peer that is gone.
func (o *Overlay) drop(now time.Time, peer *hosted, key PeerKey) {
	if _, found := peer.known[key]; !found {
		delete(peer.pending, key)
		return
	}
	peer.forget(key)
	delete(peer.pending, key)
	if peer.region.owns(key) {
		o.rebuild(now, peer)
	}
}

// forget takes another peer out of all that is known here.
func (h *hosted) forget(key PeerKey) {
	if h.cell != nil {
		h.cell.part(key)
	}
	delete(h.known, key)
	delete(h.subscribers, key)
	delete(h.greeted, key)
	delete(h.tookAt, key)
	delete(h.owed, key)
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

func (o *Overlay) leave(peer *hosted) {
	o.Counts.Leaves++
	peer.space.displace(peer)
	var parting []Peer
	for _, key := range peer.region.owners() {
		parting = append(parting, peer.known[key])
	}
	for _, known := range sortedPeers(peer.known) {
		if peer.cell == nil && known.Subscribes && !peer.region.owns(known.Key) && peer.region.meets(known.Area) {
			parting = append(parting, known)
		}
	}
	for key := range sortedPeers(peer.known) {
		// Only the enclosing neighbours' regions grow; the others need no more
		// than the word that the peer is gone.
		farewell := Signal{Kind: SignalLeave, Space: peer.space.name, To: key, From: peer.self}
		if peer.region.owns(key) {
			farewell.Peers = parting
		}
		if key.Daemon != o.daemon {
			o.signal(key.Daemon, farewell)
		} else if neighbour, here := peer.space.byKey[key]; here {
			o.left(time.Time{}, neighbour, farewell)
		}
	}
}

func (o *Overlay) left(now time.Time, peer *hosted, farewell Signal) {
	o.drop(now, peer, farewell.From.Key)
	o.learn(now, peer, farewell.From.Key, farewell.Peers, false)
}

// Taking signals.

// Take handles what another daemon's peers say.
func (o *Overlay) Take(now time.Time, signals Signals, effects *statemachine.Effects) {
	for _, signal := range signals.Signals {
		// What a daemon says that is gone from the view rests on an old one, and so
		// does what an earlier life of it said.
		if !o.ended(signal.From.Key) {
			o.handle(now, signal, effects)
		}
	}
	for _, told := range signals.Notices {
		o.takeNotices(now, told)
	}
	o.settleCells(now, effects)
	o.flush(effects)
}

func (o *Overlay) handle(now time.Time, signal Signal, effects *statemachine.Effects) {
	here, found := o.spaces[signal.Space]
	if signal.Kind == SignalJoin {
		o.onJoin(now, here, signal)
		return
	}
	var peer *hosted
	if found {
		peer = here.byKey[signal.To]
	}
	if peer == nil {
		if signal.Kind == SignalGreet || signal.Kind == SignalWelcome || signal.Kind == SignalGreeted {
			o.signal(signal.From.Key.Daemon, Signal{Kind: SignalGone, Space: signal.Space, To: signal.From.Key, From: Peer{Key: signal.To}})
		}
		return
	}
	switch signal.Kind {
	case SignalNobody:
		o.onNobody(now, peer, signal.From.Key.Daemon)
	case SignalWelcome:
		peer.greeted[signal.From.Key] = peer.self.Change
		o.learn(now, peer, signal.From.Key, []Peer{signal.From}, true)
		o.learn(now, peer, signal.From.Key, signal.Peers, false)
		o.learn(now, peer, signal.From.Key, signal.Boundary, true)
		if peer.joining != nil {
			o.joined(now, peer)
		}
	case SignalTell:
		o.learn(now, peer, signal.From.Key, signal.Peers, false)
	case SignalGreet:
		o.learn(now, peer, signal.From.Key, signal.Peers, false)
		answer := o.introduce(now, peer, signal.From)
		answer.Kind = SignalGreeted
		o.tell(now, signal.From.Key, answer)
		if signal.Hops == healing && peer.self.Subscribes {
			// The region of a peer that heals has grown; what lies beyond it
			// may now meet this area.
			o.greetAs(now, peer, signal.From, false)
		}
	case SignalGreeted:
		if waiting, found := peer.pending[signal.From.Key]; found && waiting.tries == 1 {
			o.observe(signal.From.Key.Daemon, now.Sub(waiting.sent))
		}
		delete(peer.pending, signal.From.Key)
		o.note(now, peer, signal.From)
		o.learn(now, peer, signal.From.Key, signal.Peers, false)
		o.learn(now, peer, signal.From.Key, signal.Boundary, true)
	case SignalLeave:
		here.gone[signal.From.Key] = now
		o.left(now, peer, signal)
	case SignalGone:
		here.gone[signal.From.Key] = now
		o.drop(now, peer, signal.From.Key)
	}
	if effects != nil {
		o.checkSettled(now, peer, effects)
	} else {
		o.timers.ArmSooner("settle", now)
	}
}

func (o *Overlay) onJoin(now time.Time, here *space, request Signal) {
	if here == nil || len(here.peers) == 0 {
		o.signal(request.From.Key.Daemon, Signal{
			Kind: SignalNobody, Space: request.Space, To: request.From.Key, From: Peer{Key: PeerKey{Daemon: o.daemon}},
		})
		return
	}
	if request.To.Daemon != "" {
		if _, present := here.byKey[request.To]; !present {
			o.signal(request.From.Key.Daemon, Signal{Kind: SignalGone, Space: request.Space, To: request.From.Key, From: Peer{Key: request.To}})
		}
	}
	if named, present := here.byKey[request.To]; present && named.holdsOff(request) {
		// Somebody has accepted that peer, but it does not know its
		// surroundings yet; the request waits for it.
		named.requests = append(named.requests, request)
		return
	}
	if start := o.nearestHosted(here, request.From.At, nil); start != nil {
		o.forward(now, start, request)
		return
	}
	o.accept(now, here.anyJoining(), request)
}

// holdsOff tells whether a request should wait at a peer that is still joining.
// One that was tried before may be part of a ring of requests that wait for
// each other, and goes on with what there is.
func (h *hosted) holdsOff(request Signal) bool {
	return h.joining != nil && len(h.known) == 0 && request.Tries <= 2
}

// onNobody counts the daemons that host no peer in a space; when all say so,
// the joining peer is the first.
func (o *Overlay) onNobody(now time.Time, peer *hosted, daemon string) {
	if peer.joining == nil || peer.queued || len(peer.joinAsked) == 0 {
		return
	}
	delete(peer.joinAsked, daemon)
	for name := range peer.joinAsked {
		if _, alive := o.gateways[name]; alive {
			return
		}
	}
	if !peer.askedAll {
		o.askAll(now, peer)
		return
	}
	o.joined(now, peer)
}

// Changes in the cluster.

// View follows the cluster: peers of daemons that are gone leave, and a daemon
// that comes, or comes again, is probed so that two halves of a split overlay
// find each other.
func (o *Overlay) View(now time.Time, gateways map[string]Gateway, effects *statemachine.Effects) {
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
	o.settleCells(now, effects)
	o.flush(effects)
}

// dropDaemon drops the peers of a daemon's earlier lives; life is zero where it
// is gone.
func (o *Overlay) dropDaemon(now time.Time, daemon string, life uint64, effects *statemachine.Effects) {
	for _, here := range statemachine.Sorted(o.spaces) {
		for _, peer := range here.sorted() {
			rebuild := false
			for key := range sortedPeers(peer.known) {
				if key.Daemon != daemon || key.Life == life {
					continue
				}
				rebuild = rebuild || peer.region.owns(key)
				peer.forget(key)
			}
			for key := range peer.pending {
				if key.Daemon == daemon && key.Life != life {
					delete(peer.pending, key)
				}
			}
			switch {
			case peer.joining == nil || peer.queued:
			case peer.joinAsked[daemon]:
				o.onNobody(now, peer, daemon)
			case len(peer.joinAsked) == 0 && (now.Sub(peer.joining.sent) > joinFresh || statemachine.Mutated("no-retry-pauses")):
				// Its request may have been on the way through that daemon. Where
				// many are lost at a time, one new try is enough for all.
				o.join(now, peer)
			}
			if rebuild {
				o.rebuild(now, peer)
				for _, key := range peer.region.owners() {
					if known, found := peer.known[key]; found {
						o.greet(now, peer, known)
					}
				}
			}
			o.checkSettled(now, peer, effects)
		}
	}
}

// probeAll sends each hosted peer's join through one other daemon, which shows
// neighbours that this side did not know.
func (o *Overlay) probeAll(_ time.Time, daemon string) {
	for _, here := range statemachine.Sorted(o.spaces) {
		if _, cells := o.planes[here.name]; cells {
			// A comparison of cells finds what a probe would.
			continue
		}
		for _, peer := range here.sorted() {
			o.probe(peer, daemon)
		}
	}
}

func (o *Overlay) probe(peer *hosted, daemon string) {
	o.Counts.Probes++
	o.signal(daemon, Signal{Kind: SignalJoin, Space: peer.space.name, From: peer.self})
}

// Due runs the timers that expired.
func (o *Overlay) Due(now time.Time, effects *statemachine.Effects) {
	for _, key := range o.timers.Expired(now) {
		switch key {
		case "limits":
			o.limits(now, effects)
		case "compare":
			o.compare(now, effects)
		case "sweep":
			o.sweep(now)
			o.releaseCells(now)
		case "owed":
			o.giveOwed()
		case "asks":
			o.askOverdue(now)
		case "members":
			o.compareMembers(now)
		case "notices":
			o.tellChanges(now)
		case "checks":
			o.check(now)
		case "settle":
			for _, here := range statemachine.Sorted(o.spaces) {
				for _, peer := range here.sorted() {
					if len(peer.waiting) > 0 {
						o.checkSettled(now, peer, effects)
					}
				}
			}
		}
	}
	o.settleCells(now, effects)
	o.flush(effects)
}

func (o *Overlay) limits(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for _, here := range statemachine.Sorted(o.spaces) {
		for _, peer := range here.sorted() {
			if peer.joining != nil && !peer.joining.until.After(now) {
				// Without an acceptor there is nothing to go on with; the
				// cluster will tell if the way leads through a lost daemon.
				o.join(now, peer)
			}
			for key := range sortedPending(peer.pending) {
				waiting := peer.pending[key]
				if waiting.until.After(now) {
					continue
				}
				known, found := peer.known[key]
				if !found || waiting.tries >= greetTries {
					// It stays known; a comparison greets it again.
					delete(peer.pending, key)
					peer.greeted[key] = 0
					continue
				}
				o.greet(now, peer, known)
			}
			for _, waiting := range peer.pending {
				next = statemachine.Earliest(next, waiting.until)
			}
			if peer.joining != nil {
				next = statemachine.Earliest(next, peer.joining.until)
			}
			o.checkSettled(now, peer, effects)
		}
	}
	if !next.IsZero() {
		o.timers.ArmSooner("limits", next)
	}
}

func sortedPending(pending map[PeerKey]*outstanding) func(yield func(PeerKey) bool) {
	return func(yield func(PeerKey) bool) {
		keys := make([]PeerKey, 0, len(pending))
		for key := range pending {
			keys = append(keys, key)
		}
		slices.SortFunc(keys, PeerKey.compare)
		for _, key := range keys {
			if _, found := pending[key]; found && !yield(key) {
				return
			}
		}
	}
}

// compare lets a few peers in turn greet their enclosing neighbours again and
// send their join through another daemon. What a lost signal, a split or a
// misjudged edge left out is found so, whoever lost it.
func (o *Overlay) compare(now time.Time, _ *statemachine.Effects) {
	any := false
	var names []string
	for name := range statemachine.Sorted(o.gateways) {
		names = append(names, name)
	}
	for _, here := range statemachine.Sorted(o.spaces) {
		peers := here.sorted()
		if len(peers) == 0 {
			continue
		}
		any = true
		count := max(1, len(peers)/64)
		for range count {
			peer := peers[here.turn%len(peers)]
			here.turn++
			if peer.joining != nil {
				continue
			}
			for _, key := range peer.region.owners() {
				if known, found := peer.known[key]; found && key.Daemon != o.daemon {
					o.greet(now, peer, known)
				}
			}
			for _, known := range sortedPeers(peer.known) {
				if peer.greeted[known.Key] < peer.self.Change {
					o.greet(now, peer, known)
				}
			}
			if len(names) > 0 {
				o.probe(peer, names[here.turn/len(peers)%len(names)])
			}
		}
	}
	if any {
		o.timers.Arm("compare", now.Add(compareEvery))
	}
}

// sweep lets publishing peers go that nobody used for a while.
func (o *Overlay) sweep(now time.Time) {
	any := false
	for _, here := range statemachine.Sorted(o.spaces) {
		for key, at := range here.gone {
			if now.Sub(at) > goneFor {
				delete(here.gone, key)
			}
		}
		for _, peer := range here.sorted() {
			any = true
			if !peer.publishes || now.Sub(peer.lastUse) < quietFor {
				continue
			}
			peer.publishes = false
			if !peer.self.Subscribes {
				o.leave(peer)
			}
		}
	}
	if any {
		o.timers.Arm("sweep", now.Add(sweepEvery))
	}
}

// Live begins this daemon's next life in the cluster: a first one, or one after
// the others had taken it for lost. Every peer joins anew under a new key.
func (o *Overlay) Live(now time.Time, life uint64, effects *statemachine.Effects) {
	if o.life == life {
		return
	}
	o.life = life
	for _, here := range statemachine.Sorted(o.spaces) {
		for _, peer := range here.sorted() {
			delete(here.byKey, peer.self.Key)
			o.number++
			o.change++
			peer.self.Key.Life, peer.self.Key.Number = life, o.number
			peer.self.Change = o.change
			if peer.cell != nil {
				peer.self = cellPeer(peer.self.Key, peer.cell.number, o.change)
				peer.cell.afresh()
			}
			peer.subscribers = map[PeerKey]Peer{}
			peer.known, peer.greeted, peer.pending = map[PeerKey]Peer{}, map[PeerKey]uint64{}, map[PeerKey]*outstanding{}
			peer.tookAt, peer.owed = map[PeerKey]time.Time{}, map[PeerKey]map[PeerKey]bool{}
			peer.region = newRegion(peer.self.At)
			peer.joining, peer.queued = nil, false
			here.byKey[peer.self.Key] = peer
		}
		peers := here.sorted()
		for _, peer := range peers {
			peer.joining, peer.queued = &outstanding{}, true
		}
		if len(peers) > 0 {
			o.join(now, peers[0])
		}
	}
	o.flush(effects)
}
