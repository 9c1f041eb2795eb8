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
	pingInterval            = 5 * time.Second
	pongTimeout             = 16 * time.Second
	tickInterval            = time.Second
	moveInterval            = 100 * time.Millisecond
	moveLinger              = 1500 * time.Millisecond
	stopTimeout             = 3500 * time.Millisecond
	stopMoves               = 25
	moveTimeout             = 600 * time.Millisecond
	maxPendingRecords       = 20000
	maxInterests            = 256
	retrySoon               = 250 * time.Millisecond
	retryLater              = time.Second
	requestTimeout          = 700 * time.Millisecond
	refreshTimeout          = 600 * time.Millisecond
	defaultSubscribeTimeout = 1500 * time.Millisecond
	disconnectAfter         = 5500 * time.Millisecond
	minDisconnects          = 10
)

// Settings are a gateway daemon's settings.
type Settings struct {
	Self       membership.Member
	Agent      string
	Key        []byte
	MaxClients int
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

type refreshWaiter struct {
	until time.Time
	then  func(now time.Time, effects *statemachine.Effects)
}

type deferred struct {
	meta    statemachine.Meta
	message any
}

// Counts are running sums for measurements and tests.
type Counts struct {
	Requests          uint64 `json:"Requests"`
	Accepted          uint64 `json:"Accepted"`
	RejectedRequests  uint64 `json:"RefusedRequests"`
	UnsettledRequests uint64 `json:"UnsettledRequests"`
	CopiesOut         uint64 `json:"CopiesOut"`
	CopiesIn          uint64 `json:"CopiesIn"`
	CopiesStray       uint64 `json:"CopiesStray"`
	Delivered         uint64 `json:"Delivered"`
	Gaps              uint64 `json:"Holes"`
	Fetches           uint64 `json:"Fetches"`
	Verifies          uint64 `json:"Verifies"`
	Moves             uint64 `json:"Moves"`
	Refreshes         uint64 `json:"Looks"`
	Repeated          uint64 `json:"Offered"`
	// Fetched counts the records of routed topics that came for fetches, and Late
	// those for which nobody waited any more.
	Fetched uint64 `json:"Fetched"`
	Late    uint64 `json:"Late"`
}

// Gateway is the state machine.
type Gateway struct {
	settings      Settings
	viewClient    *membership.ViewClient
	detector      *membership.FailureDetector
	controlClient *controlclient.ControlClient
	overlay       *overlay.Overlay
	ring          *decisionlog.Ring
	timers        *statemachine.Timers[string]
	policies      []Policy

	config      config.Configuration
	incarnation uint64
	sessions    map[uint64]*session
	moving      map[uint64]bool
	spaces      map[string]*spaceState
	senders     map[senderKey]*sender
	trackers    map[string]*tracker

	nextRequest uint64
	appends     map[uint64]*publication
	sends       map[uint64]*publication
	recalls     map[uint64]*recall
	fetches     map[uint64]*fetch
	routed      *routed
	// subscribeTimeout follows from the configuration in force.
	subscribeTimeout time.Duration
	newest           map[string]uint64

	highWatermarksRequestedAt time.Time
	newerVersion              uint64
	deferred                  []deferred
	refreshWaiters            []refreshWaiter
	lingering                 []lingered
	stopping                  bool
	stopUntil                 time.Time
	admission                 admission
	wasReady                  bool
	turn                      int
	Counts                    Counts
}

type spaceState struct {
	space    config.Space
	name     string
	topics   map[string]map[uint64]bool
	prefixes map[string]map[uint64]bool
	recent   []recentEphemeral
}

// New makes a gateway.
func New(settings Settings) *Gateway {
	if settings.MaxClients == 0 {
		settings.MaxClients = 2000
	}
	settings.ConfirmedFor = orLonger(settings.ConfirmedFor, membership.ConfirmationTimeout)
	settings.StopWithin = orLonger(settings.StopWithin, stopTimeout)
	gateway := &Gateway{
		settings: settings, overlay: overlay.New(settings.Self.Name), ring: decisionlog.NewRing(settings.Self.Name), timers: statemachine.NewTimers[string](),
		sessions: map[uint64]*session{}, moving: map[uint64]bool{}, spaces: map[string]*spaceState{},
		senders: map[senderKey]*sender{}, trackers: map[string]*tracker{},
		appends: map[uint64]*publication{}, sends: map[uint64]*publication{}, recalls: map[uint64]*recall{}, fetches: map[uint64]*fetch{},
		nextRequest: settings.Incarnation.FirstRequestNumber(), routed: newRouted(), newest: map[string]uint64{},
	}
	gateway.policies = standardPolicies()
	gateway.viewClient = membership.NewViewClient(settings.Self, settings.Incarnation, []string{settings.Agent}, gateway.load)
	gateway.detector = membership.NewFailureDetector(settings.Self)
	gateway.viewClient.PinToFirstSeed()
	upstream := func() string {
		if primary := gateway.viewClient.Primary(); primary != "" {
			return primary
		}
		return settings.Agent
	}
	gateway.controlClient = controlclient.New(controlclient.Settings{
		Incarnation: settings.Incarnation, Acknowledge: settings.Acknowledge, Upstream: upstream, Next: gateway.viewClient.NextController, Relays: gateway.viewClient.Relays,
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
func (g *Gateway) ConfigurationVersion() uint64 { return g.viewClient.Version }

// ViewClient gives the gateway's view, for its ctl.
func (g *Gateway) ViewClient() *membership.ViewClient { return g.viewClient }

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
		Sessions: g.remainingSessions(), FreeCapacity: g.settings.MaxClients - len(g.sessions), Requests: g.Counts.Requests,
		Delivered: g.Counts.Delivered, Ready: g.wasReady, Resting: g.Resting(),
	}
}

// Resting tells whether the gateway was asked to rest and holds nobody.
func (g *Gateway) Resting() bool {
	return g.viewClient.Directives.Rest && len(g.sessions) == 0 && !g.stopping
}

// Confirmed tells whether the gateway may trust that its configuration is the
// newest.
func (g *Gateway) Confirmed(now time.Time) bool {
	limit := g.settings.ConfirmedFor
	if statemachine.Mutated("never-unconfirmed") {
		return g.viewClient.Index > 0
	}
	return g.viewClient.Index > 0 && g.newerVersion <= g.viewClient.Version &&
		now.Sub(g.viewClient.ConfirmedAt) <= limit && !g.detector.Isolated(now)
}

// Ready tells whether the platform should send new connections here.
func (g *Gateway) Ready(now time.Time) bool {
	return g.Confirmed(now) && !g.stopping && !g.viewClient.Directives.Rest &&
		len(g.sessions) < g.settings.MaxClients && !slices.Contains(g.config.Draining, g.settings.Self.Name)
}

// Start begins the gateway's work.
func (g *Gateway) Start(now time.Time, effects *statemachine.Effects) {
	g.viewClient.Start(now)
	g.detector.Start(now)
	g.timers.Arm("tick", now.Add(tickInterval))
}

// NextTick is when the gateway wants to run again.
func (g *Gateway) NextTick() time.Time {
	return statemachine.Earliest(g.viewClient.NextTick(), g.detector.NextTick(), g.controlClient.NextTick(),
		g.overlay.NextTick(), g.timers.Next())
}

// Tick runs whatever is due.
func (g *Gateway) Tick(now time.Time, effects *statemachine.Effects) {
	g.viewClient.Tick(now, effects)
	g.detector.Tick(now, effects)
	g.controlClient.Tick(now, effects)
	g.runOverlay(now, effects, g.overlay.Tick)
	for _, key := range g.timers.Expired(now) {
		switch key {
		case "tick":
			g.tick(now, effects)
		case "move":
			g.moveSome(now, effects)
		case "looks":
			g.completeRefresh(now, effects)
		case "limits":
			g.limits(now, effects)
		case "verify":
			g.verifyAll(now, effects)
		case "pump":
			g.pumpAll(now, effects)
		case "follow":
			g.followHighWatermarks(now, effects)
		case "routed":
			g.tickRouted(now, effects)
		case "stop":
			g.stopStep(now, effects)
		}
	}
	g.logReadiness(now, effects)
}

func (g *Gateway) logReadiness(now time.Time, effects *statemachine.Effects) {
	ready := g.Ready(now)
	if ready == g.wasReady {
		return
	}
	g.wasReady = ready
	if ready {
		effects.Emit(logevent.Ready, "version", g.ConfigurationVersion())
		return
	}
	effects.Emit(logevent.NotReady, "isolated", g.detector.Isolated(now), "confirmed", g.Confirmed(now), "stopping", g.stopping, "rest", g.viewClient.Directives.Rest)
}

// HandleCommand takes what the adapters bring.
func (g *Gateway) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case OpenSession:
		g.openSession(now, body, effects)
	case CloseSession:
		g.closeSession(now, body, effects)
	case Subscribe:
		g.subscribe(now, body, effects)
	case Unsubscribe:
		g.unsubscribe(now, body, effects)
	case Publish:
		g.publish(now, body, effects)
	case Pong:
		g.pong(now, body, effects)
	case CountSubscribers:
		g.count(now, body, false, effects)
	case ClientActive:
		if session, found := g.sessions[body.Session]; found {
			session.pongAt = now
		}
	case ControlRequest:
		g.controlClient.Forward(now, body.Local, body.Method, body.Path, body.Body, effects)
	case FindDecisions:
		effects.Respond(body.Local, g.ring.Find(body.Request, body.Message, body.Client))
	case Stop:
		g.beginStop(now, effects)
	}
	g.logReadiness(now, effects)
}

// HandleMessage takes what other daemons say.
func (g *Gateway) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	if meta.From != g.settings.Agent && meta.From != g.settings.Self.Address {
		g.detector.ReceiveFromPeer(now)
	}
	if meta.Version > g.viewClient.Version && meta.Version > g.newerVersion {
		g.newerVersion = meta.Version
		g.viewClient.PollNow(now)
		effects.Send(meta.From, membership.ConfigurationRequest{Version: g.viewClient.Version})
	}
	switch message.(type) {
	case RecordCopy, EphemeralCopy, RoutedCopy:
		if !g.Confirmed(now) {
			if len(g.deferred) < maxPendingRecords {
				g.deferred = append(g.deferred, deferred{meta: meta, message: message})
			}
			return
		}
	}
	g.dispatch(now, meta, message, effects)
	g.logReadiness(now, effects)
}

func (g *Gateway) dispatch(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	switch body := message.(type) {
	case membership.ViewUpdate:
		g.handleViewUpdate(now, body, effects)
	case membership.Redirect:
		g.viewClient.HandleRedirect(now, body, effects)
	case membership.Heartbeat:
		g.detector.ReceiveHeartbeat(now, body)
	case membership.ControlResponse:
		g.controlClient.HandleResponse(now, meta.From, body, effects)
	case membership.ConfigurationRequest:
		g.viewClient.RespondToConfigurationRequest(meta.From, body, effects)
	case membership.ConfigurationResponse:
		if g.viewClient.AdoptConfiguration(body.Version, body.Document, body.SpaceCreatedAt) {
			g.applyConfiguration(now, effects)
			g.resume(now, effects)
		}
	case overlay.Signals:
		g.runOverlay(now, effects, func(now time.Time, effects *statemachine.Effects) { g.overlay.Take(now, body, effects) })
	case RecordCopy:
		g.countCopy(g.onCarry(now, body, effects))
	case RoutedCopy:
		g.countCopy(g.handleRoutedCopy(now, body.record(), effects))
	case EphemeralCopy:
		g.countCopy(g.handleEphemeralCopy(now, body, effects))
	case partition.AppendResponse:
		g.onAppendResponse(now, body, effects)
	case partition.FetchResponse:
		g.onFetchResponse(now, body, effects)
	case partition.FetchTopicsResponse:
		g.handleTopicsFetched(now, body, effects)
	case partition.SenderResponse:
		g.onSenderResponse(now, meta.From, body, effects)
	case partition.Heads:
		g.handleHighWatermarks(now, body, effects)
	}
}

// runOverlay runs the overlay. What is offered to gateways that it finds goes out
// before what it says to them, so that it is there when they have settled.
func (g *Gateway) runOverlay(now time.Time, effects *statemachine.Effects, run func(now time.Time, effects *statemachine.Effects)) {
	var later statemachine.Effects
	run(now, &later)
	g.repeatRecent(now, effects)
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

func (g *Gateway) handleViewUpdate(now time.Time, news membership.ViewUpdate, effects *statemachine.Effects) {
	wasResting := g.Resting()
	subscription := g.viewClient.HandleUpdate(now, news)
	if subscription.View {
		g.applyView(now, effects)
	}
	if subscription.Document && (!statemachine.Mutated("deaf-gateway") || g.settings.Self.Name != "gateway-1" || g.config.Version <= 0) {
		g.applyConfiguration(now, effects)
	}
	if resting := g.Resting(); resting != wasResting {
		g.viewClient.SetLowPriority(now, resting)
		g.detector.SetResting(now, resting)
		if resting {
			g.timers.Disarm("tick")
			effects.Emit(logevent.GatewayRested, "gateway", g.settings.Self.Name)
		} else {
			g.timers.ArmSooner("tick", now.Add(tickInterval))
			effects.Emit(logevent.GatewayWoken, "gateway", g.settings.Self.Name)
		}
	}
	if orders := g.viewClient.Directives; (orders.Drain || orders.KeepSessions > 0) && !g.timers.Armed("move") {
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
		g.dispatch(now, each.meta, each.message, effects)
	}
	g.completeRefresh(now, effects)
}

func (g *Gateway) applyView(now time.Time, effects *statemachine.Effects) {
	g.detector.SetView(now, g.viewClient.Members, g.viewClient.Index)
	others := map[string]overlay.Gateway{}
	for name, member := range statemachine.Sorted(g.viewClient.Members) {
		if name == g.settings.Self.Name {
			if member.Alive && member.Incarnation == g.settings.Self.Incarnation {
				g.incarnation = member.Joined
			}
			continue
		}
		if member.Kind == membership.KindGateway && member.Alive {
			others[name] = overlay.Gateway{Name: name, Address: member.Address, Joined: member.Joined}
		}
	}
	g.overlay.View(now, others, effects)
	if g.incarnation > 0 {
		g.overlay.Live(now, g.incarnation, effects)
	}
	g.placementsChanged(now, effects)
}

// spaceName names a space since its birth.
func (g *Gateway) spaceName(name string) (string, bool) {
	birth, found := g.viewClient.SpaceCreatedAt[name]
	if !found {
		return "", false
	}
	full := controller.PartitionName(name, birth, 0)
	return full[:strings.LastIndex(full, "/")], true
}

// applyConfiguration puts the newest configuration in force. It is only ever called with
// a version above the one before.
func (g *Gateway) applyConfiguration(now time.Time, effects *statemachine.Effects) {
	document, faults := config.Read(g.viewClient.Document)
	if len(faults) > 0 || document.Version < g.config.Version {
		panic("a configuration was handed on that may not be in force")
	}
	g.config, g.subscribeTimeout = document, subscribeTimeoutOf(document)
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
			g.spaces[name] = &spaceState{space: space, name: full, topics: map[string]map[uint64]bool{}, prefixes: map[string]map[uint64]bool{}}
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
	for id, session := range statemachine.Sorted(g.sessions) {
		ended := false
		for interest := range session.subscriptions {
			if interest.Space == name {
				delete(session.subscriptions, interest)
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
			g.settlePublication(now, waiting, rejectedReply(404, "no-such-space", "the space was removed", 0), effects)
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

// refreshThen asks for news once, for all requests that met an unknown space meanwhile,
// and then lets them go on.
func (g *Gateway) refreshThen(now time.Time, then func(now time.Time, effects *statemachine.Effects)) {
	if len(g.refreshWaiters) == 0 {
		g.Counts.Refreshes++
		g.viewClient.PollNow(now)
	}
	until := now.Add(refreshTimeout)
	g.refreshWaiters = append(g.refreshWaiters, refreshWaiter{until: until, then: then})
	g.timers.ArmSooner("looks", until)
}

func (g *Gateway) completeRefresh(now time.Time, effects *statemachine.Effects) {
	looks := g.refreshWaiters
	g.refreshWaiters = nil
	for _, look := range looks {
		look.then(now, effects)
	}
}

// tick does the slow periodic work: pings, silent channels, idle senders.
func (g *Gateway) tick(now time.Time, effects *statemachine.Effects) {
	g.timers.Arm("tick", now.Add(tickInterval))
	for id, session := range statemachine.Sorted(g.sessions) {
		g.checkSession(now, id, session, effects)
	}
	g.endLingering(now, effects)
	g.disconnectSome(now, effects)
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

// disconnectSome ends channels of a gateway that nobody has confirmed for so long that
// no takeover explains it: its agent is lost or its machine is cut off, and
// its origins are served elsewhere. Half of them go each second.
func (g *Gateway) disconnectSome(now time.Time, effects *statemachine.Effects) {
	if g.viewClient.Index == 0 || g.Confirmed(now) || now.Sub(g.viewClient.ConfirmedAt) < disconnectAfter {
		return
	}
	count := max(minDisconnects, len(g.sessions)/2)
	for id, session := range statemachine.Sorted(g.sessions) {
		if count--; count < 0 {
			return
		}
		g.emitLast(now, id, session, "unconfirmed", effects)
		g.closeSession(now, CloseSession{Session: id, Reason: "unconfirmed"}, effects)
	}
}

// Moving and stopping.

// targets lists the gateways to which origins may be sent, the best first.
func (g *Gateway) targets() []membership.Member {
	var members []membership.Member
	for _, name := range g.viewClient.Directives.Targets {
		if member, found := g.viewClient.Members[name]; found && member.Alive {
			members = append(members, member)
		}
	}
	if len(members) > 0 {
		return members
	}
	for pass := range 2 {
		for name, member := range statemachine.Sorted(g.viewClient.Members) {
			near := member.Zone == g.settings.Self.Zone
			if name != g.settings.Self.Name && member.Kind == membership.KindGateway && member.Alive && !member.Resting &&
				!slices.Contains(g.config.Draining, name) && near == (pass == 0) {
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
	orders := g.viewClient.Directives
	if !orders.Drain && orders.KeepSessions == 0 && !g.stopping {
		return
	}
	count := max(1, orders.MovesPerSecond/int(time.Second/moveInterval))
	if orders.KeepSessions > 0 && !orders.Drain && !g.stopping {
		// Those that were told to go and are still here are on their way.
		count = min(count, g.remainingSessions()-orders.KeepSessions)
		if count <= 0 {
			return
		}
	}
	if g.stopping {
		count = max(count, stopMoves, (len(g.sessions)+9)/10)
	}
	targets := g.targets()
	if len(targets) == 0 {
		g.timers.Arm("move", now.Add(5*moveInterval))
		return
	}
	for id, session := range statemachine.Sorted(g.sessions) {
		if session.movedAt.IsZero() && !session.filling() && (g.draining() || !session.catchingUp()) {
			g.turn++
			g.move(now, id, session, targets[g.turn%min(len(targets), 3)], effects)
			if count--; count == 0 {
				break
			}
		}
	}
	if len(g.sessions) > 0 {
		g.timers.Arm("move", now.Add(moveInterval))
	}
}

// remainingSessions counts the channels that were not told to move.
func (g *Gateway) remainingSessions() int {
	count := 0
	for _, session := range g.sessions {
		if session.movedAt.IsZero() {
			count++
		}
	}
	return count
}

func (g *Gateway) move(now time.Time, id uint64, session *session, target membership.Member, effects *statemachine.Effects) {
	g.Counts.Moves++
	event := Event{Event: "move", To: target.Caller, ToName: target.Name, Cursor: g.cursor(now, session)}
	session.movedAt = now
	g.ring.Record(now, "", "", session.client, "moved", "to", target.Name, "stopping", g.stopping)
	effects.Emit(logevent.SessionMoved, "origin", session.client, "to", target.Name)
	g.emit(id, event, effects)
}

func (g *Gateway) beginStop(now time.Time, _ *statemachine.Effects) {
	if g.stopping {
		return
	}
	g.stopping = true
	g.stopUntil = now.Add(g.settings.StopWithin)
	g.timers.Arm("move", now)
	g.timers.Arm("stop", now.Add(moveInterval))
}

// servesOn tells whether a gateway that stops has time left to serve those who
// are still here.
func (g *Gateway) servesOn(now time.Time) bool {
	return now.Before(g.stopUntil.Add(-time.Second))
}

// staysFor tells whether anybody is left who may yet leave by itself: on lines a
// caller that was told where to go and is long still here won't.
func (g *Gateway) staysFor(now time.Time) bool {
	for _, session := range g.sessions {
		if !session.adapterPings || session.movedAt.IsZero() || now.Sub(session.movedAt) < moveTimeout {
			return true
		}
	}
	return false
}

// stopStep ends the gateway once its origins are gone, or its time is up.
func (g *Gateway) stopStep(now time.Time, effects *statemachine.Effects) {
	if g.staysFor(now) && now.Before(g.stopUntil) || len(g.appends)+len(g.routed.appends) > 0 && now.Before(g.stopUntil.Add(-time.Second)) {
		g.timers.Arm("stop", now.Add(moveInterval))
		return
	}
	for id, session := range statemachine.Sorted(g.sessions) {
		g.emitLast(now, id, session, "stopping", effects)
	}
	g.overlay.LeaveAll(effects)
	for _, member := range statemachine.Sorted(g.viewClient.Members) {
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

// SetMaxClients changes how many channels the gateway may hold.
func (g *Gateway) SetMaxClients(most int) { g.settings.MaxClients = most }

// SetLink changes how many bytes a second the machine's link takes.
func (g *Gateway) SetLink(rate int) { g.settings.Link = rate }
