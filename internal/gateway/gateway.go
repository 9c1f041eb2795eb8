// Package gateway is the state machine of the daemons that hold client connections.
//
// A Gateway is the proxy daemon's state machine: it holds client connections,
// hosts the overlay's peers, passes every request through the policies, and fans
// messages out. It follows the control state through the agent beside it. It
// delivers only while it knows that its configuration is the newest: a frame
// that shows a higher version holds delivery until the gateway has caught up,
// and a gateway that nobody confirmed for a while holds it too.
package gateway

import (
	"math"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/controller"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/overlay"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// Spans and bounds of a gateway.
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

// Settings are a gateway daemon's settings.
type Settings struct {
	Self        membership.Member
	Agent       string
	Key         []byte
	OriginsMost int
	// ConfirmedFor is how long a gateway serves after it last knew that its
	// configuration is the newest, StopWithin how long it takes to stop; both
	// have a longest value, which holds if nothing is given.
	ConfirmedFor time.Duration
	StopWithin   time.Duration
	// Acknowledge is within what time a proper order is to be acknowledged.
	Acknowledge time.Duration
	// Link is how many bytes a second the machine's link takes, 0 if nobody says.
	Link int
	// Processor tells the processor time used so far; it may be nil.
	Processor func() time.Duration
	// Incarnation names this run of the process.
	Incarnation statemachine.Incarnation
}

type lookout struct {
	until time.Time
	then  func(now time.Time, effects *statemachine.Effects)
}

type deferred struct {
	meta    statemachine.Meta
	message any
}

// Counts are running sums for measurements and tests.
type Counts struct {
	Requests, Accepted, RefusedRequests, UnsettledRequests uint64
	CopiesOut, CopiesIn, CopiesStray, Delivered            uint64
	Holes, Fetches, Verifies, Moves, Looks, Offered        uint64
	// Fetched counts the records of routed topics that came for fetches, and Late
	// those for which nobody waited any more.
	Fetched, Late uint64
}

// Gateway is the state machine.
type Gateway struct {
	settings      Settings
	follower      *membership.ViewClient
	pulse         *membership.FailureDetector
	controlClient *controlclient.ControlClient
	overlay       *overlay.Overlay
	ring          *decisionlog.Ring
	timers        *statemachine.Timers[string]
	policies      []Policy

	config   config.Configuration
	life     uint64
	channels map[uint64]*channel
	moving   map[uint64]bool
	spaces   map[string]*spaceState
	senders  map[senderKey]*sender
	trackers map[string]*tracker

	nextRequest uint64
	appends     map[uint64]*publication
	sends       map[uint64]*publication
	recalls     map[uint64]*recall
	fetches     map[uint64]*fetch
	routed      *routed
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
	admission  admission
	wasReady   bool
	turn       int
	Counts     Counts
}

type spaceState struct {
	space  config.Space
	name   string
	topics map[string]map[uint64]bool
	wides  map[string]map[uint64]bool
	recent []recentPass
}

// New makes a gateway.
func New(settings Settings) *Gateway {
	if settings.OriginsMost == 0 {
		settings.OriginsMost = 2000
	}
	settings.ConfirmedFor = orLonger(settings.ConfirmedFor, membership.ConfirmationTimeout)
	settings.StopWithin = orLonger(settings.StopWithin, stopLimit)
	gateway := &Gateway{
		settings: settings, overlay: overlay.New(settings.Self.Name), ring: decisionlog.NewRing(settings.Self.Name), timers: statemachine.NewTimers[string](),
		channels: map[uint64]*channel{}, moving: map[uint64]bool{}, spaces: map[string]*spaceState{},
		senders: map[senderKey]*sender{}, trackers: map[string]*tracker{},
		appends: map[uint64]*publication{}, sends: map[uint64]*publication{}, recalls: map[uint64]*recall{}, fetches: map[uint64]*fetch{},
		nextRequest: settings.Incarnation.FirstRequestNumber(), routed: newRouted(), newest: map[string]uint64{},
	}
	gateway.policies = standardPolicies()
	gateway.follower = membership.NewViewClient(settings.Self, settings.Incarnation, []string{settings.Agent}, gateway.load)
	gateway.pulse = membership.NewFailureDetector(settings.Self)
	gateway.follower.PinToFirstSeed()
	upstream := func() string {
		if primary := gateway.follower.Primary(); primary != "" {
			return primary
		}
		return settings.Agent
	}
	gateway.controlClient = controlclient.New(controlclient.Settings{
		Incarnation: settings.Incarnation, Acknowledge: settings.Acknowledge, Upstream: upstream, Next: gateway.follower.NextController, Relays: gateway.follower.Relays,
	})
	return gateway
}

// orLonger is a span that may be shorter than a longest one.
func orLonger(span, longest time.Duration) time.Duration {
	if span <= 0 {
		return longest
	}
	return min(span, longest)
}

// ConfigurationVersion is the configuration version in force here.
func (g *Gateway) ConfigurationVersion() uint64 { return g.follower.Version }

// ViewClient gives the gateway's view, for its ctl.
func (g *Gateway) ViewClient() *membership.ViewClient { return g.follower }

// Overlay gives the overlay part, for counters and tests.
func (g *Gateway) Overlay() *overlay.Overlay { return g.overlay }

// Configuration is the one in force, for the simulator's checks.
func (g *Gateway) Configuration() config.Configuration { return g.config }

func (g *Gateway) load() membership.Load {
	var processor time.Duration
	if g.settings.Processor != nil {
		processor = g.settings.Processor()
	}
	return membership.Load{
		Copies: g.Counts.CopiesIn, Processor: processor, Delays: g.overlay.Ways(),
		Sessions: g.staying(), FreeCapacity: g.settings.OriginsMost - len(g.channels), Requests: g.Counts.Requests,
		Delivered: g.Counts.Delivered, Ready: g.wasReady, Resting: g.Resting(),
	}
}

// Resting tells whether the gateway was asked to rest and holds nobody.
func (g *Gateway) Resting() bool {
	return g.follower.Directives.Rest && len(g.channels) == 0 && !g.stopping
}

// Confirmed tells whether the gateway may trust that its configuration is the
// newest.
func (g *Gateway) Confirmed(now time.Time) bool {
	limit := g.settings.ConfirmedFor
	if statemachine.Mutated("never-unconfirmed") {
		return g.follower.Index > 0
	}
	return g.follower.Index > 0 && g.behind <= g.follower.Version &&
		now.Sub(g.follower.ConfirmedAt) <= limit && !g.pulse.Isolated(now)
}

// Ready tells whether the platform should send new connections here.
func (g *Gateway) Ready(now time.Time) bool {
	return g.Confirmed(now) && !g.stopping && !g.follower.Directives.Rest &&
		len(g.channels) < g.settings.OriginsMost && !slices.Contains(g.config.Drains, g.settings.Self.Name)
}

// Start begins the gateway's work.
func (g *Gateway) Start(now time.Time, effects *statemachine.Effects) {
	g.follower.Start(now)
	g.pulse.Start(now)
	g.timers.Arm("tick", now.Add(tickEvery))
}

// NextTick is when the gateway wants to run again.
func (g *Gateway) NextTick() time.Time {
	return statemachine.Earliest(g.follower.NextTick(), g.pulse.NextTick(), g.controlClient.NextTick(),
		g.overlay.NextTick(), g.timers.Next())
}

// Tick runs whatever is due.
func (g *Gateway) Tick(now time.Time, effects *statemachine.Effects) {
	g.follower.Tick(now, effects)
	g.pulse.Tick(now, effects)
	g.controlClient.Tick(now, effects)
	g.runOverlay(now, effects, g.overlay.Tick)
	for _, key := range g.timers.Expired(now) {
		switch key {
		case "tick":
			g.tick(now, effects)
		case "move":
			g.moveSome(now, effects)
		case "looks":
			g.endLooks(now, effects)
		case "limits":
			g.limits(now, effects)
		case "verify":
			g.verifyAll(now, effects)
		case "pump":
			g.pumpAll(now, effects)
		case "follow":
			g.followHeads(now, effects)
		case "routed":
			g.tendRouted(now, effects)
		case "stop":
			g.stopStep(now, effects)
		}
	}
	g.noteReady(now, effects)
}

func (g *Gateway) noteReady(now time.Time, effects *statemachine.Effects) {
	ready := g.Ready(now)
	if ready == g.wasReady {
		return
	}
	g.wasReady = ready
	if ready {
		effects.Emit(logevent.Ready, "version", g.ConfigurationVersion())
		return
	}
	effects.Emit(logevent.NotReady, "isolated", g.pulse.Isolated(now), "confirmed", g.Confirmed(now), "stopping", g.stopping, "rest", g.follower.Directives.Rest)
}

// HandleCommand takes what the adapters bring.
func (g *Gateway) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case OpenChannel:
		g.openChannel(now, body, effects)
	case CloseChannel:
		g.closeChannel(now, body, effects)
	case Subscribe:
		g.subscribe(now, body, effects)
	case Unsubscribe:
		g.unsubscribe(now, body, effects)
	case Publish:
		g.publish(now, body, effects)
	case Pong:
		g.pong(now, body, effects)
	case Count:
		g.count(now, body, false, effects)
	case Heard:
		if channel, found := g.channels[body.Channel]; found {
			channel.pongAt = now
		}
	case ControlRequest:
		g.controlClient.Forward(now, body.Local, body.Method, body.Path, body.Body, effects)
	case FindDecisions:
		effects.Respond(body.Local, g.ring.Find(body.Request, body.Message, body.Origin))
	case Stop:
		g.beginStop(now, effects)
	}
	g.noteReady(now, effects)
}

// HandleMessage takes what other daemons say.
func (g *Gateway) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	if meta.From != g.settings.Agent && meta.From != g.settings.Self.Address {
		g.pulse.ReceiveFromPeer(now)
	}
	if meta.Version > g.follower.Version && meta.Version > g.behind {
		g.behind = meta.Version
		g.follower.PollNow(now)
		effects.Send(meta.From, membership.ConfigurationRequest{Version: g.follower.Version})
	}
	switch message.(type) {
	case Carry, Pass, RoutedCopy:
		if !g.Confirmed(now) {
			if len(g.deferred) < heldMost {
				g.deferred = append(g.deferred, deferred{meta: meta, message: message})
			}
			return
		}
	}
	g.take(now, meta, message, effects)
	g.noteReady(now, effects)
}

func (g *Gateway) take(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	switch body := message.(type) {
	case membership.ViewUpdate:
		g.onNews(now, body, effects)
	case membership.Redirect:
		g.follower.HandleRedirect(now, body, effects)
	case membership.Heartbeat:
		g.pulse.ReceiveHeartbeat(now, body)
	case membership.ControlResponse:
		g.controlClient.HandleResponse(now, meta.From, body, effects)
	case membership.ConfigurationRequest:
		g.follower.RespondToConfigurationRequest(meta.From, body, effects)
	case membership.ConfigurationResponse:
		if g.follower.AdoptConfiguration(body.Version, body.Document, body.SpaceCreatedAt) {
			g.enforce(now, effects)
			g.resume(now, effects)
		}
	case overlay.Signals:
		g.runOverlay(now, effects, func(now time.Time, effects *statemachine.Effects) { g.overlay.Take(now, body, effects) })
	case Carry:
		g.countCopy(g.onCarry(now, body, effects))
	case RoutedCopy:
		g.countCopy(g.onRouted(now, body.record(), effects))
	case Pass:
		g.countCopy(g.onPass(now, body, effects))
	case partition.AppendResponse:
		g.onAppendResponse(now, body, effects)
	case partition.FetchResponse:
		g.onFetchResponse(now, body, effects)
	case partition.FetchTopicsResponse:
		g.onTopicsFetched(now, body, effects)
	case partition.SenderStateResponse:
		g.onSenderResponse(now, meta.From, body, effects)
	case partition.HighWatermarks:
		g.onHeads(now, body, effects)
	}
}

// runOverlay runs the overlay. What is offered to gateways that it finds goes out
// before what it says to them, so that it is there when they have settled.
func (g *Gateway) runOverlay(now time.Time, effects *statemachine.Effects, run func(now time.Time, effects *statemachine.Effects)) {
	var later statemachine.Effects
	run(now, &later)
	g.offerRecent(now, effects)
	effects.Append(later)
}

// countCopy counts a copy that came from another gateway.
func (g *Gateway) countCopy(wanted bool) {
	g.Counts.CopiesIn++
	if !wanted {
		g.Counts.CopiesStray++
	}
}

// News.

func (g *Gateway) onNews(now time.Time, news membership.ViewUpdate, effects *statemachine.Effects) {
	wasResting := g.Resting()
	taken := g.follower.HandleUpdate(now, news)
	if taken.View {
		g.viewed(now, effects)
	}
	if taken.Document && (!statemachine.Mutated("deaf-gateway") || g.settings.Self.Name != "gateway-1" || g.config.Version <= 0) {
		g.enforce(now, effects)
	}
	if resting := g.Resting(); resting != wasResting {
		g.follower.SetLowPriority(now, resting)
		g.pulse.SetResting(now, resting)
		if resting {
			g.timers.Disarm("tick")
			effects.Emit(logevent.GatewayRested, "gateway", g.settings.Self.Name)
		} else {
			g.timers.ArmSooner("tick", now.Add(tickEvery))
			effects.Emit(logevent.GatewayWoken, "gateway", g.settings.Self.Name)
		}
	}
	if orders := g.follower.Directives; (orders.Drain || orders.KeepSessions > 0) && !g.timers.Armed("move") {
		g.timers.Arm("move", now)
	}
	g.resume(now, effects)
}

// resume goes on with what was held back, and with requests that waited for a
// look at the news.
func (g *Gateway) resume(now time.Time, effects *statemachine.Effects) {
	if !g.Confirmed(now) {
		return
	}
	held := g.deferred
	g.deferred = nil
	for _, each := range held {
		g.take(now, each.meta, each.message, effects)
	}
	g.endLooks(now, effects)
}

func (g *Gateway) viewed(now time.Time, effects *statemachine.Effects) {
	g.pulse.SetView(now, g.follower.Members, g.follower.Upstream(), g.follower.Index)
	others := map[string]overlay.Gateway{}
	for name, member := range statemachine.Sorted(g.follower.Members) {
		if name == g.settings.Self.Name {
			if member.Alive && member.Incarnation == g.settings.Self.Incarnation {
				g.life = member.Joined
			}
			continue
		}
		if member.Kind == membership.KindGateway && member.Alive {
			others[name] = overlay.Gateway{Name: name, Address: member.Address, Joined: member.Joined}
		}
	}
	g.overlay.View(now, others, effects)
	if g.life > 0 {
		g.overlay.Live(now, g.life, effects)
	}
	g.placesChanged(now, effects)
}

// spaceName names a space since its birth.
func (g *Gateway) spaceName(name string) (string, bool) {
	birth, found := g.follower.SpaceCreatedAt[name]
	if !found {
		return "", false
	}
	full := controller.PartitionName(name, birth, 0)
	return full[:strings.LastIndex(full, "/")], true
}

// enforce puts the newest configuration in force. It is only ever called with
// a version above the one before.
func (g *Gateway) enforce(now time.Time, effects *statemachine.Effects) {
	document, faults := config.Read(g.follower.Document)
	if len(faults) > 0 || document.Version < g.config.Version {
		panic("a configuration was handed on that may not be in force")
	}
	g.config, g.subscribePatience = document, patienceOf(document)
	for name, state := range statemachine.Sorted(g.spaces) {
		space, found := document.Spaces[name]
		full, born := g.spaceName(name)
		if found && (space.Order == config.OrderTopic && state.space.Order == config.OrderTopic || born && full == state.name) {
			state.space = space
			continue
		}
		g.endSpace(now, name, state, effects)
	}
	for name, space := range statemachine.Sorted(document.Spaces) {
		if _, found := g.spaces[name]; found {
			continue
		}
		if space.Order == config.OrderTopic {
			g.spaces[name] = &spaceState{space: space, name: name + "~0"}
			continue
		}
		if full, born := g.spaceName(name); born {
			g.spaces[name] = &spaceState{space: space, name: full, topics: map[string]map[uint64]bool{}, wides: map[string]map[uint64]bool{}}
		}
	}
	g.rerouteAll(now, effects)
	effects.Emit(logevent.ConfigurationApplied, "version", document.Version, "spaces", len(document.Spaces))
	g.ring.Record(now, "", "", "", "configuration", "version", document.Version)
}

func (g *Gateway) endSpace(now time.Time, name string, state *spaceState, effects *statemachine.Effects) {
	delete(g.spaces, name)
	if state.space.Order == config.OrderTopic {
		return
	}
	for id, channel := range statemachine.Sorted(g.channels) {
		ended := false
		for interest := range channel.subscriptions {
			if interest.Space == name {
				delete(channel.subscriptions, interest)
				ended = true
			}
		}
		if ended {
			g.emit(id, Event{Event: "ended", Space: name, Code: "space-removed"}, effects)
		}
	}
	for full := range statemachine.Sorted(g.trackers) {
		if strings.HasPrefix(full, state.name+"/") {
			delete(g.trackers, full)
		}
	}
	for _, sender := range statemachine.Sorted(g.sendersOf(name)) {
		for _, waiting := range sender.queue {
			g.settlePublication(now, waiting, refused(404, "no-such-space", "the space was removed", 0), effects)
		}
		sender.queue = nil
	}
	for key := range g.senders {
		if key.space == name {
			delete(g.senders, key)
		}
	}
	g.overlay.Forget(now, state.name, effects)
}

func (g *Gateway) sendersOf(space string) map[string]*sender {
	found := map[string]*sender{}
	for key, sender := range g.senders {
		if key.space == space {
			found[key.sender] = sender
		}
	}
	return found
}

// look asks for news once, for all requests that met an unknown space meanwhile,
// and then lets them go on.
func (g *Gateway) look(now time.Time, then func(now time.Time, effects *statemachine.Effects)) {
	if len(g.looks) == 0 {
		g.Counts.Looks++
		g.follower.PollNow(now)
	}
	until := now.Add(lookLimit)
	g.looks = append(g.looks, lookout{until: until, then: then})
	g.timers.ArmSooner("looks", until)
}

func (g *Gateway) endLooks(now time.Time, effects *statemachine.Effects) {
	looks := g.looks
	g.looks = nil
	for _, look := range looks {
		look.then(now, effects)
	}
}

// tick does the slow periodic work: pings, silent channels, idle senders.
func (g *Gateway) tick(now time.Time, effects *statemachine.Effects) {
	g.timers.Arm("tick", now.Add(tickEvery))
	for id, channel := range statemachine.Sorted(g.channels) {
		g.tendChannel(now, id, channel, effects)
	}
	g.endLingering(now, effects)
	g.letGo(now, effects)
	for key, sender := range g.senders {
		if len(sender.queue) == 0 && now.Sub(sender.lastUse) > senderIdle {
			delete(g.senders, key)
		}
	}
	for _, tracker := range g.trackers {
		tracker.prune(now)
	}
	g.forgetRouted(now)
}

// letGo ends channels of a gateway that nobody has confirmed for so long that
// no takeover explains it: its agent is lost or its machine is cut off, and
// its origins are served elsewhere. Half of them go each second.
func (g *Gateway) letGo(now time.Time, effects *statemachine.Effects) {
	if g.follower.Index == 0 || g.Confirmed(now) || now.Sub(g.follower.ConfirmedAt) < letGoAfter {
		return
	}
	count := max(letGoLeast, len(g.channels)/2)
	for id, channel := range statemachine.Sorted(g.channels) {
		if count--; count < 0 {
			return
		}
		g.emitLast(now, id, channel, "unconfirmed", effects)
		g.closeChannel(now, CloseChannel{Channel: id, Why: "unconfirmed"}, effects)
	}
}

// Moving and stopping.

// targets lists the gateways to which origins may be sent, the best first.
func (g *Gateway) targets() []membership.Member {
	var members []membership.Member
	for _, name := range g.follower.Directives.Targets {
		if member, found := g.follower.Members[name]; found && member.Alive {
			members = append(members, member)
		}
	}
	if len(members) > 0 {
		return members
	}
	for pass := range 2 {
		for name, member := range statemachine.Sorted(g.follower.Members) {
			near := member.Zone == g.settings.Self.Zone
			if name != g.settings.Self.Name && member.Kind == membership.KindGateway && member.Alive && !member.Resting &&
				!slices.Contains(g.config.Drains, name) && near == (pass == 0) {
				members = append(members, member)
			}
		}
		if len(members) >= 2 {
			break
		}
	}
	return members
}

func (g *Gateway) moveSome(now time.Time, effects *statemachine.Effects) {
	orders := g.follower.Directives
	if !orders.Drain && orders.KeepSessions == 0 && !g.stopping {
		return
	}
	count := max(1, orders.MovesPerSecond/int(time.Second/moveEvery))
	if orders.KeepSessions > 0 && !orders.Drain && !g.stopping {
		// Those that were told to go and are still here are on their way.
		count = min(count, g.staying()-orders.KeepSessions)
		if count <= 0 {
			return
		}
	}
	if g.stopping {
		count = max(count, stopMoves, (len(g.channels)+9)/10)
	}
	targets := g.targets()
	if len(targets) == 0 {
		g.timers.Arm("move", now.Add(5*moveEvery))
		return
	}
	for id, channel := range statemachine.Sorted(g.channels) {
		if channel.movedAt.IsZero() && !channel.filling() && (g.leaving() || !channel.catchingUp()) {
			g.turn++
			g.move(now, id, channel, targets[g.turn%min(len(targets), 3)], effects)
			if count--; count == 0 {
				break
			}
		}
	}
	if len(g.channels) > 0 {
		g.timers.Arm("move", now.Add(moveEvery))
	}
}

// staying counts the channels that were not told to move.
func (g *Gateway) staying() int {
	count := 0
	for _, channel := range g.channels {
		if channel.movedAt.IsZero() {
			count++
		}
	}
	return count
}

func (g *Gateway) move(now time.Time, id uint64, channel *channel, target membership.Member, effects *statemachine.Effects) {
	g.Counts.Moves++
	event := Event{Event: "move", To: target.Caller, ToName: target.Name, Cursor: g.cursor(now, channel)}
	channel.movedAt = now
	g.ring.Record(now, "", "", channel.origin, "moved", "to", target.Name, "stopping", g.stopping)
	effects.Emit(logevent.SessionMoved, "origin", channel.origin, "to", target.Name)
	g.emit(id, event, effects)
}

func (g *Gateway) beginStop(now time.Time, _ *statemachine.Effects) {
	if g.stopping {
		return
	}
	g.stopping = true
	g.stopUntil = now.Add(g.settings.StopWithin)
	g.timers.Arm("move", now)
	g.timers.Arm("stop", now.Add(moveEvery))
}

// servesOn tells whether a gateway that stops has time left to serve those who
// are still here.
func (g *Gateway) servesOn(now time.Time) bool {
	return now.Before(g.stopUntil.Add(-time.Second))
}

// staysFor tells whether anybody is left who may yet leave by itself: on lines a
// caller that was told where to go and is long still here won't.
func (g *Gateway) staysFor(now time.Time) bool {
	for _, channel := range g.channels {
		if !channel.lines || channel.movedAt.IsZero() || now.Sub(channel.movedAt) < movedLong {
			return true
		}
	}
	return false
}

// stopStep ends the gateway once its origins are gone, or its time is up.
func (g *Gateway) stopStep(now time.Time, effects *statemachine.Effects) {
	if g.staysFor(now) && now.Before(g.stopUntil) || len(g.appends)+len(g.routed.appends) > 0 && now.Before(g.stopUntil.Add(-time.Second)) {
		g.timers.Arm("stop", now.Add(moveEvery))
		return
	}
	for id, channel := range statemachine.Sorted(g.channels) {
		g.emitLast(now, id, channel, "stopping", effects)
	}
	g.overlay.LeaveAll(effects)
	for _, member := range statemachine.Sorted(g.follower.Members) {
		if member.Kind == membership.KindController {
			effects.Send(member.Address, membership.GracefulLeave{Name: g.settings.Self.Name, Incarnation: g.settings.Self.Incarnation})
		}
	}
	effects.Send(g.settings.Agent, membership.GracefulLeave{Name: g.settings.Self.Name, Incarnation: g.settings.Self.Incarnation})
	effects.Stop = true
}

const everything = uint64(math.MaxUint64)

// Load is what the gateway reports of itself.
func (g *Gateway) Load() membership.Load { return g.load() }

// SetOriginsMost changes how many channels the gateway may hold.
func (g *Gateway) SetOriginsMost(most int) { g.settings.OriginsMost = most }

// SetLink changes how many bytes a second the machine's link takes.
func (g *Gateway) SetLink(rate int) { g.settings.Link = rate }
