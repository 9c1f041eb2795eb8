// A Lantern is the proxy daemon's state machine: it holds client connections,
// hosts the overlay's peers, passes every visit through the policies, and fans
// messages out. It follows the control state through the tender beside it. It
// delivers only while it knows that its configuration is the newest: a frame
// that shows a higher version holds delivery until the lantern has caught up,
// and a lantern that nobody confirmed for a while holds it too.
package lamp

import (
	"math"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/cutter"
	"dahlialock/internal/fairway"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/pilotage"
	"dahlialock/internal/soundings"
	"dahlialock/internal/strand"
)

// Spans and bounds of a lantern.
const (
	pingEvery      = 5 * time.Second
	pongLimit      = 16 * time.Second
	tickEvery      = time.Second
	moveEvery      = 100 * time.Millisecond
	moveLinger     = 1500 * time.Millisecond
	stopLimit      = 3500 * time.Millisecond
	stopMoves      = 25
	movedLong      = 600 * time.Millisecond
	heldMost       = 20000
	interestsMost  = 256
	comeBackSoon   = 250 * time.Millisecond
	comeBackLater  = time.Second
	patience       = 700 * time.Millisecond
	lookLimit      = 600 * time.Millisecond
	subscribeLimit = 1500 * time.Millisecond
	letGoAfter     = 5500 * time.Millisecond
	letGoLeast     = 10
)

// Props are a lantern daemon's settings.
type Props struct {
	Self        beacon.Member
	Tender      string
	Key         []byte
	OriginsMost int
	// ConfirmedFor is how long a lantern serves after it last knew that its
	// configuration is the newest, StopWithin how long it takes to stop; both
	// have a longest value, which holds if nothing is given.
	ConfirmedFor time.Duration
	StopWithin   time.Duration
	// Processor tells the processor time used so far; it may be nil.
	Processor func() time.Duration
}

type lookout struct {
	until time.Time
	then  func(now time.Time, effects *helm.Effects)
}

type deferred struct {
	meta    helm.Meta
	message any
}

// Counts are running sums for measurements and tests.
type Counts struct {
	Visits, Accepted, RefusedVisits, UnsettledVisits uint64
	CopiesOut, CopiesIn, CopiesStray, Delivered      uint64
	Holes, Fetches, Verifies, Moves, Looks, Offered  uint64
}

// Lantern is the state machine.
type Lantern struct {
	props    Props
	follower *beacon.Follower
	pulse    *beacon.Pulse
	cutter   *cutter.Cutter
	fairway  *fairway.Fairway
	ring     *soundings.Ring
	timers   *helm.Timers
	policies []Policy

	config   chart.Configuration
	life     uint64
	channels map[uint64]*channel
	moving   map[uint64]bool
	spaces   map[string]*spaceState
	senders  map[senderKey]*sender
	trackers map[string]*tracker

	nextVisit uint64
	appends   map[uint64]*publication
	sends     map[uint64]*publication
	recalls   map[uint64]*recall
	fetches   map[uint64]*fetch
	routed    *routed
	// subscribePatience follows from the configuration in force.
	subscribePatience time.Duration
	newest            map[string]uint64

	followedAt time.Time
	behind     uint64
	deferred   []deferred
	looks      []lookout
	lingering  []lingered
	stopping   bool
	stopUntil  time.Time
	wasReady   bool
	// turnsAway is set once a caller on lines came here: such callers can be told
	// where to go before they are served.
	turnsAway bool
	turn      int
	Counts    Counts
}

type spaceState struct {
	space  chart.Space
	name   string
	topics map[string]map[uint64]bool
	wides  map[string]map[uint64]bool
	recent []recentPass
}

// New makes a lantern.
func New(props Props) *Lantern {
	if props.OriginsMost == 0 {
		props.OriginsMost = 2000
	}
	props.ConfirmedFor = orLonger(props.ConfirmedFor, beacon.ConfirmedFor)
	props.StopWithin = orLonger(props.StopWithin, stopLimit)
	lantern := &Lantern{
		props: props, fairway: fairway.New(props.Self.Name), ring: soundings.NewRing(props.Self.Name), timers: helm.NewTimers(),
		channels: map[uint64]*channel{}, moving: map[uint64]bool{}, spaces: map[string]*spaceState{},
		senders: map[senderKey]*sender{}, trackers: map[string]*tracker{},
		appends: map[uint64]*publication{}, sends: map[uint64]*publication{}, recalls: map[uint64]*recall{}, fetches: map[uint64]*fetch{},
		routed: newRouted(), newest: map[string]uint64{},
	}
	lantern.policies = standardPolicies()
	lantern.follower = beacon.NewFollower(props.Self, []string{props.Tender}, lantern.load)
	lantern.pulse = beacon.NewPulse(props.Self)
	lantern.follower.Fix()
	lantern.cutter = cutter.New(func() string {
		if primary := lantern.follower.Primary(); primary != "" {
			return primary
		}
		return props.Tender
	}, lantern.follower.Other)
	return lantern
}

// orLonger is a span that may be shorter than a longest one.
func orLonger(span, longest time.Duration) time.Duration {
	if span <= 0 {
		return longest
	}
	return min(span, longest)
}

// Version is the configuration version in force here.
func (lantern *Lantern) Version() uint64 { return lantern.follower.Version }

// Follower gives the lantern's view, for its ctl.
func (lantern *Lantern) Follower() *beacon.Follower { return lantern.follower }

// Fairway gives the overlay part, for counters and tests.
func (lantern *Lantern) Fairway() *fairway.Fairway { return lantern.fairway }

// Configuration is the one in force, for the simulator's checks.
func (lantern *Lantern) Configuration() chart.Configuration { return lantern.config }

func (lantern *Lantern) load() beacon.Load {
	var processor time.Duration
	if lantern.props.Processor != nil {
		processor = lantern.props.Processor()
	}
	return beacon.Load{
		Copies: lantern.Counts.CopiesIn, Processor: processor, Delays: lantern.fairway.Ways(),
		Origins: len(lantern.channels), Room: lantern.props.OriginsMost - len(lantern.channels), Visits: lantern.Counts.Visits,
		Delivered: lantern.Counts.Delivered, Ready: lantern.wasReady, Resting: lantern.Resting(),
	}
}

// Resting tells whether the lantern was asked to rest and holds nobody.
func (lantern *Lantern) Resting() bool {
	return lantern.follower.Orders.Rest && len(lantern.channels) == 0 && !lantern.stopping
}

// Confirmed tells whether the lantern may trust that its configuration is the
// newest.
func (lantern *Lantern) Confirmed(now time.Time) bool {
	limit := lantern.props.ConfirmedFor
	if helm.Mutated("never-unconfirmed") {
		return lantern.follower.Index > 0
	}
	return lantern.follower.Index > 0 && lantern.behind <= lantern.follower.Version &&
		now.Sub(lantern.follower.Confirmed) <= limit && !lantern.pulse.Isolated(now)
}

// Ready tells whether the platform should send new connections here.
func (lantern *Lantern) Ready(now time.Time) bool {
	return lantern.Confirmed(now) && !lantern.stopping && !lantern.follower.Orders.Rest &&
		len(lantern.channels) < lantern.props.OriginsMost && !slices.Contains(lantern.config.Drains, lantern.props.Self.Name)
}

// Start begins the lantern's work.
func (lantern *Lantern) Start(now time.Time, effects *helm.Effects) {
	lantern.follower.Start(now)
	lantern.pulse.Start(now)
	lantern.timers.Arm("tick", now.Add(tickEvery))
}

// NextDue is when the lantern wants to run again.
func (lantern *Lantern) NextDue() time.Time {
	return helm.Earliest(lantern.follower.NextDue(), lantern.pulse.NextDue(), lantern.cutter.NextDue(),
		lantern.fairway.NextDue(), lantern.timers.Next())
}

// Due runs whatever is due.
func (lantern *Lantern) Due(now time.Time, effects *helm.Effects) {
	lantern.follower.Due(now, effects)
	lantern.pulse.Due(now, effects)
	lantern.cutter.Due(now, effects)
	lantern.overlay(now, effects, lantern.fairway.Due)
	for _, key := range lantern.timers.Expired(now) {
		switch key {
		case "tick":
			lantern.tick(now, effects)
		case "move":
			lantern.moveSome(now, effects)
		case "looks":
			lantern.endLooks(now, effects)
		case "limits":
			lantern.limits(now, effects)
		case "verify":
			lantern.verifyAll(now, effects)
		case "pump":
			lantern.pumpAll(now, effects)
		case "follow":
			lantern.followHeads(now, effects)
		case "routed":
			lantern.tendRouted(now, effects)
		case "stop":
			lantern.stopStep(now, effects)
		}
	}
	lantern.noteReady(now, effects)
}

func (lantern *Lantern) noteReady(now time.Time, effects *helm.Effects) {
	ready := lantern.Ready(now)
	if ready == lantern.wasReady {
		return
	}
	lantern.wasReady = ready
	if ready {
		effects.Note(foghorn.Ready, "version", lantern.Version())
		return
	}
	effects.Note(foghorn.NotReady, "isolated", lantern.pulse.Isolated(now), "confirmed", lantern.Confirmed(now), "stopping", lantern.stopping, "rest", lantern.follower.Orders.Rest)
}

// Command takes what the adapters bring.
func (lantern *Lantern) Command(now time.Time, command any, effects *helm.Effects) {
	switch body := command.(type) {
	case OpenChannel:
		lantern.openChannel(now, body, effects)
	case CloseChannel:
		lantern.closeChannel(now, body, effects)
	case Subscribe:
		lantern.subscribe(now, body, effects)
	case Unsubscribe:
		lantern.unsubscribe(now, body, effects)
	case Publish:
		lantern.publish(now, body, effects)
	case Pong:
		lantern.pong(now, body, effects)
	case Count:
		lantern.count(now, body, false, effects)
	case Heard:
		if channel, found := lantern.channels[body.Channel]; found {
			channel.pongAt = now
		}
	case ControlVisit:
		lantern.cutter.Carry(now, body.Local, body.Method, body.Path, body.Body, effects)
	case FindDecisions:
		effects.Return(body.Local, lantern.ring.Find(body.Visit, body.Message, body.Origin))
	case Stop:
		lantern.beginStop(now, effects)
	}
	lantern.noteReady(now, effects)
}

// Message takes what other daemons say.
func (lantern *Lantern) Message(now time.Time, meta helm.Meta, message any, effects *helm.Effects) {
	if meta.From != lantern.props.Tender && meta.From != lantern.props.Self.Address {
		lantern.pulse.Heard(now)
	}
	if meta.Version > lantern.follower.Version && meta.Version > lantern.behind {
		lantern.behind = meta.Version
		lantern.follower.Hurry(now)
		effects.Send(meta.From, beacon.ChartAsk{Version: lantern.follower.Version})
	}
	switch message.(type) {
	case Carry, Pass, RoutedCopy:
		if !lantern.Confirmed(now) {
			if len(lantern.deferred) < heldMost {
				lantern.deferred = append(lantern.deferred, deferred{meta: meta, message: message})
			}
			return
		}
	}
	lantern.take(now, meta, message, effects)
	lantern.noteReady(now, effects)
}

func (lantern *Lantern) take(now time.Time, meta helm.Meta, message any, effects *helm.Effects) {
	switch body := message.(type) {
	case beacon.News:
		lantern.onNews(now, body, effects)
	case beacon.Redirect:
		lantern.follower.Redirected(now, body, effects)
	case beacon.Heartbeat:
		lantern.pulse.Beat(now, body)
	case beacon.ControlReturn:
		lantern.cutter.Take(now, meta.From, body, effects)
	case beacon.ChartAsk:
		lantern.follower.AnswerChart(meta.From, body, effects)
	case beacon.ChartReturn:
		if lantern.follower.Adopt(body.Version, body.Document, body.Births) {
			lantern.enforce(now, effects)
			lantern.resume(now, effects)
		}
	case fairway.Signals:
		lantern.overlay(now, effects, func(now time.Time, effects *helm.Effects) { lantern.fairway.Take(now, body, effects) })
	case Carry:
		lantern.countCopy(lantern.onCarry(now, body, effects))
	case RoutedCopy:
		lantern.countCopy(lantern.onRouted(now, body.record(), effects))
	case Pass:
		lantern.countCopy(lantern.onPass(now, body, effects))
	case strand.AppendReturn:
		lantern.onAppendReturn(now, body, effects)
	case strand.FetchReturn:
		lantern.onFetchReturn(now, body, effects)
	case strand.SenderReturn:
		lantern.onSenderReturn(now, body, effects)
	case strand.Heads:
		lantern.onHeads(now, body, effects)
	}
}

// overlay runs the overlay. What is offered to lanterns that it finds goes out
// before what it says to them, so that it is there when they have settled.
func (lantern *Lantern) overlay(now time.Time, effects *helm.Effects, run func(now time.Time, effects *helm.Effects)) {
	var later helm.Effects
	run(now, &later)
	lantern.offerRecent(now, effects)
	effects.Append(later)
}

// countCopy counts a copy that came from another lantern.
func (lantern *Lantern) countCopy(wanted bool) {
	lantern.Counts.CopiesIn++
	if !wanted {
		lantern.Counts.CopiesStray++
	}
}

// News.

func (lantern *Lantern) onNews(now time.Time, news beacon.News, effects *helm.Effects) {
	wasResting := lantern.Resting()
	taken := lantern.follower.Take(now, news)
	if taken.View {
		lantern.viewed(now, effects)
	}
	if taken.Document && !(helm.Mutated("deaf-lantern") && lantern.props.Self.Name == "lantern-1" && lantern.config.Version > 0) {
		lantern.enforce(now, effects)
	}
	if resting := lantern.Resting(); resting != wasResting {
		lantern.follower.Patient(now, resting)
		lantern.pulse.Rest(now, resting)
		if resting {
			lantern.timers.Disarm("tick")
			effects.Note(foghorn.LanternRested, "lantern", lantern.props.Self.Name)
		} else {
			lantern.timers.ArmSooner("tick", now.Add(tickEvery))
			effects.Note(foghorn.LanternWoken, "lantern", lantern.props.Self.Name)
		}
	}
	if orders := lantern.follower.Orders; (orders.Empty || orders.Keep > 0) && !lantern.timers.Armed("move") {
		lantern.timers.Arm("move", now)
	}
	lantern.resume(now, effects)
}

// resume goes on with what was held back, and with visits that waited for a
// look at the news.
func (lantern *Lantern) resume(now time.Time, effects *helm.Effects) {
	if !lantern.Confirmed(now) {
		return
	}
	held := lantern.deferred
	lantern.deferred = nil
	for _, each := range held {
		lantern.take(now, each.meta, each.message, effects)
	}
	lantern.endLooks(now, effects)
}

func (lantern *Lantern) viewed(now time.Time, effects *helm.Effects) {
	lantern.pulse.Take(now, lantern.follower.Members, lantern.follower.Upstream(), lantern.follower.Index)
	others := map[string]fairway.Lantern{}
	for name, member := range helm.Sorted(lantern.follower.Members) {
		if name == lantern.props.Self.Name {
			if member.Alive && member.Incarnation == lantern.props.Self.Incarnation {
				lantern.life = member.Joined
			}
			continue
		}
		if member.Kind == beacon.KindLantern && member.Alive {
			others[name] = fairway.Lantern{Name: name, Address: member.Address, Joined: member.Joined}
		}
	}
	lantern.fairway.View(now, others, effects)
	if lantern.life > 0 {
		lantern.fairway.Live(now, lantern.life, effects)
	}
	lantern.placesChanged(now, effects)
}

// spaceName names a space since its birth.
func (lantern *Lantern) spaceName(name string) (string, bool) {
	birth, found := lantern.follower.Births[name]
	if !found {
		return "", false
	}
	full := pilotage.StrandName(name, birth, 0)
	return full[:strings.LastIndex(full, "/")], true
}

// enforce puts the newest configuration in force. It is only ever called with
// a version above the one before.
func (lantern *Lantern) enforce(now time.Time, effects *helm.Effects) {
	config, faults := chart.Read(lantern.follower.Document)
	if len(faults) > 0 || config.Version < lantern.config.Version {
		panic("a configuration was handed on that may not be in force")
	}
	lantern.config, lantern.subscribePatience = config, patienceOf(config)
	for name, state := range helm.Sorted(lantern.spaces) {
		space, found := config.Spaces[name]
		full, born := lantern.spaceName(name)
		if found && (space.Order == chart.OrderTopic && state.space.Order == chart.OrderTopic || born && full == state.name) {
			state.space = space
			continue
		}
		lantern.endSpace(now, name, state, effects)
	}
	for name, space := range helm.Sorted(config.Spaces) {
		if _, found := lantern.spaces[name]; found {
			continue
		}
		if space.Order == chart.OrderTopic {
			lantern.spaces[name] = &spaceState{space: space, name: name + "~0"}
			continue
		}
		if full, born := lantern.spaceName(name); born {
			lantern.spaces[name] = &spaceState{space: space, name: full, topics: map[string]map[uint64]bool{}, wides: map[string]map[uint64]bool{}}
		}
	}
	lantern.rerouteAll(now, effects)
	effects.Note(foghorn.NewsTaken, "version", config.Version, "spaces", len(config.Spaces))
	lantern.ring.Record(now, "", "", "", "configuration", "version", config.Version)
}

func (lantern *Lantern) endSpace(now time.Time, name string, state *spaceState, effects *helm.Effects) {
	delete(lantern.spaces, name)
	if state.space.Order == chart.OrderTopic {
		return
	}
	for id, channel := range helm.Sorted(lantern.channels) {
		ended := false
		for interest := range channel.subscriptions {
			if interest.Space == name {
				delete(channel.subscriptions, interest)
				ended = true
			}
		}
		if ended {
			lantern.emit(id, Event{Event: "ended", Space: name, Code: "space-removed"}, effects)
		}
	}
	for full := range helm.Sorted(lantern.trackers) {
		if strings.HasPrefix(full, state.name+"/") {
			delete(lantern.trackers, full)
		}
	}
	for _, sender := range helm.Sorted(lantern.sendersOf(name)) {
		for _, waiting := range sender.queue {
			lantern.settlePublication(now, waiting, refused(404, "no-such-space", "the space was removed", 0), effects)
		}
		sender.queue = nil
	}
	for key := range lantern.senders {
		if key.space == name {
			delete(lantern.senders, key)
		}
	}
	lantern.fairway.Forget(now, state.name, effects)
}

func (lantern *Lantern) sendersOf(space string) map[string]*sender {
	found := map[string]*sender{}
	for key, sender := range lantern.senders {
		if key.space == space {
			found[key.sender] = sender
		}
	}
	return found
}

// look asks for news once, for all visits that met an unknown space meanwhile,
// and then lets them go on.
func (lantern *Lantern) look(now time.Time, then func(now time.Time, effects *helm.Effects)) {
	if len(lantern.looks) == 0 {
		lantern.Counts.Looks++
		lantern.follower.Hurry(now)
	}
	until := now.Add(lookLimit)
	lantern.looks = append(lantern.looks, lookout{until: until, then: then})
	lantern.timers.ArmSooner("looks", until)
}

func (lantern *Lantern) endLooks(now time.Time, effects *helm.Effects) {
	looks := lantern.looks
	lantern.looks = nil
	for _, look := range looks {
		look.then(now, effects)
	}
}

// tick does the slow periodic work: pings, silent channels, idle senders.
func (lantern *Lantern) tick(now time.Time, effects *helm.Effects) {
	lantern.timers.Arm("tick", now.Add(tickEvery))
	for id, channel := range helm.Sorted(lantern.channels) {
		lantern.tendChannel(now, id, channel, effects)
	}
	lantern.endLingering(now, effects)
	lantern.letGo(now, effects)
	for key, sender := range lantern.senders {
		if len(sender.queue) == 0 && now.Sub(sender.lastUse) > senderIdle {
			delete(lantern.senders, key)
		}
	}
	for _, tracker := range lantern.trackers {
		tracker.prune(now)
	}
	lantern.forgetRouted(now)
}

// letGo ends channels of a lantern that nobody has confirmed for so long that
// no takeover explains it: its tender is lost or its machine is cut off, and
// its origins are served elsewhere. Half of them go each second.
func (lantern *Lantern) letGo(now time.Time, effects *helm.Effects) {
	if lantern.follower.Index == 0 || lantern.Confirmed(now) || now.Sub(lantern.follower.Confirmed) < letGoAfter {
		return
	}
	count := max(letGoLeast, len(lantern.channels)/2)
	for id, channel := range helm.Sorted(lantern.channels) {
		if count--; count < 0 {
			return
		}
		lantern.emitLast(now, id, channel, "unconfirmed", effects)
		lantern.closeChannel(now, CloseChannel{Channel: id, Why: "unconfirmed"}, effects)
	}
}

// Moving and stopping.

// targets lists the lanterns to which origins may be sent, the best first.
func (lantern *Lantern) targets() []beacon.Member {
	var members []beacon.Member
	for _, name := range lantern.follower.Orders.Targets {
		if member, found := lantern.follower.Members[name]; found && member.Alive {
			members = append(members, member)
		}
	}
	if len(members) > 0 {
		return members
	}
	for pass := range 2 {
		for name, member := range helm.Sorted(lantern.follower.Members) {
			near := member.Locality == lantern.props.Self.Locality
			if name != lantern.props.Self.Name && member.Kind == beacon.KindLantern && member.Alive && !member.Resting &&
				!slices.Contains(lantern.config.Drains, name) && near == (pass == 0) {
				members = append(members, member)
			}
		}
		if len(members) >= 2 {
			break
		}
	}
	return members
}

func (lantern *Lantern) moveSome(now time.Time, effects *helm.Effects) {
	orders := lantern.follower.Orders
	if !orders.Empty && orders.Keep == 0 && !lantern.stopping {
		return
	}
	count := max(1, orders.Pace/int(time.Second/moveEvery))
	if orders.Keep > 0 && !orders.Empty && !lantern.stopping {
		// Those that were told to go and are still here are on their way.
		count = min(count, lantern.staying()-orders.Keep)
		if count <= 0 {
			return
		}
	}
	if lantern.stopping {
		count = max(count, stopMoves, (len(lantern.channels)+9)/10)
	}
	targets := lantern.targets()
	if len(targets) == 0 {
		lantern.timers.Arm("move", now.Add(5*moveEvery))
		return
	}
	for id, channel := range helm.Sorted(lantern.channels) {
		if channel.movedAt.IsZero() && !channel.filling() {
			lantern.turn++
			lantern.move(now, id, channel, targets[lantern.turn%min(len(targets), 3)], effects)
			if count--; count == 0 {
				break
			}
		}
	}
	if len(lantern.channels) > 0 {
		lantern.timers.Arm("move", now.Add(moveEvery))
	}
}

// staying counts the channels that were not told to move.
func (lantern *Lantern) staying() int {
	count := 0
	for _, channel := range lantern.channels {
		if channel.movedAt.IsZero() {
			count++
		}
	}
	return count
}

func (lantern *Lantern) move(now time.Time, id uint64, channel *channel, target beacon.Member, effects *helm.Effects) {
	lantern.Counts.Moves++
	event := Event{Event: "move", To: target.Caller, ToName: target.Name, Cursor: lantern.cursor(now, channel)}
	channel.movedAt = now
	lantern.ring.Record(now, "", "", channel.origin, "moved", "to", target.Name, "stopping", lantern.stopping)
	effects.Note(foghorn.ChannelMoved, "origin", channel.origin, "to", target.Name)
	lantern.emit(id, event, effects)
}

func (lantern *Lantern) beginStop(now time.Time, effects *helm.Effects) {
	if lantern.stopping {
		return
	}
	lantern.stopping = true
	lantern.stopUntil = now.Add(lantern.props.StopWithin)
	lantern.timers.Arm("move", now)
	lantern.timers.Arm("stop", now.Add(moveEvery))
}

// servesOn tells whether a lantern that stops has time left to serve those who
// are still here.
func (lantern *Lantern) servesOn(now time.Time) bool {
	return now.Before(lantern.stopUntil.Add(-time.Second))
}

// staysFor tells whether anybody is left who may yet leave by itself: on lines a
// caller that was told where to go and is long still here won't.
func (lantern *Lantern) staysFor(now time.Time) bool {
	for _, channel := range lantern.channels {
		if !channel.lines || channel.movedAt.IsZero() || now.Sub(channel.movedAt) < movedLong {
			return true
		}
	}
	return false
}

// stopStep ends the lantern once its origins are gone, or its time is up.
func (lantern *Lantern) stopStep(now time.Time, effects *helm.Effects) {
	if lantern.staysFor(now) && now.Before(lantern.stopUntil) || len(lantern.appends)+len(lantern.routed.appends) > 0 && now.Before(lantern.stopUntil.Add(-time.Second)) {
		lantern.timers.Arm("stop", now.Add(moveEvery))
		return
	}
	for id, channel := range helm.Sorted(lantern.channels) {
		lantern.emitLast(now, id, channel, "stopping", effects)
	}
	lantern.fairway.LeaveAll(effects)
	for _, member := range helm.Sorted(lantern.follower.Members) {
		if member.Kind == beacon.KindPilot {
			effects.Send(member.Address, beacon.Farewell{Name: lantern.props.Self.Name, Incarnation: lantern.props.Self.Incarnation})
		}
	}
	effects.Send(lantern.props.Tender, beacon.Farewell{Name: lantern.props.Self.Name, Incarnation: lantern.props.Self.Incarnation})
	effects.Stop = true
}

const everything = uint64(math.MaxUint64)

// Load is what the lantern reports of itself.
func (lantern *Lantern) Load() beacon.Load { return lantern.load() }

// SetOriginsMost changes how many channels the lantern may hold.
func (lantern *Lantern) SetOriginsMost(most int) { lantern.props.OriginsMost = most }
