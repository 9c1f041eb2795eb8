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
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controlclient"
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
	retryShortDelay         = 250 * time.Millisecond
	retryLongDelay          = time.Second
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

// Gateway is the state machine.
type Gateway struct {
	settings      Settings
	viewClient    *membership.ViewClient
	detector      *membership.FailureDetector
	controlClient *controlclient.ControlClient
	overlay       *overlay.Overlay
	ring          *decisionlog.Ring
	timers        *statemachine.Timers[timer]
	policies      []Policy

	config      config.Configuration
	incarnation uint64
	sessions    map[uint64]*session
	moving      map[uint64]bool
	spaces      map[string]*spaceState
	senders     map[senderKey]*sender
	trackers    map[string]*tracker

	nextRequest   uint64
	appends       map[uint64]*publication
	sends         map[uint64]*publication
	senderLookups map[uint64]*senderLookup
	fetches       map[uint64]*fetchOperation
	routed        *routed
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
	rotation                  int
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
		settings: settings, overlay: overlay.New(settings.Self.Name), ring: decisionlog.NewRing(settings.Self.Name), timers: statemachine.NewTimers[timer](),
		sessions: map[uint64]*session{}, moving: map[uint64]bool{}, spaces: map[string]*spaceState{},
		senders: map[senderKey]*sender{}, trackers: map[string]*tracker{},
		appends: map[uint64]*publication{}, sends: map[uint64]*publication{}, senderLookups: map[uint64]*senderLookup{}, fetches: map[uint64]*fetchOperation{},
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
	g.timers.Arm(timerTick, now.Add(tickInterval))
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
		case timerTick:
			g.tick(now, effects)
		case timerMove:
			g.moveSome(now, effects)
		case timerRefresh:
			g.completeRefresh(now, effects)
		case timerDeadlines:
			g.checkDeadlines(now, effects)
		case timerVerify:
			g.verifyAll(now, effects)
		case timerDeliver:
			g.deliverAllReady(now, effects)
		case timerFollow:
			g.followHighWatermarks(now, effects)
		case timerRouted:
			g.tickRouted(now, effects)
		case timerStop:
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
		g.runOverlay(now, effects, func(now time.Time, effects *statemachine.Effects) { g.overlay.HandleSignals(now, body, effects) })
	case RecordCopy:
		g.countCopy(g.handleRecordCopy(now, body, effects))
	case RoutedCopy:
		g.countCopy(g.handleRoutedCopy(now, body.record(), effects))
	case EphemeralCopy:
		g.countCopy(g.handleEphemeralCopy(now, body, effects))
	case partition.AppendResponse:
		g.handleAppendResponse(now, body, effects)
	case partition.FetchResponse:
		g.handleFetchResponse(now, body, effects)
	case partition.FetchTopicsResponse:
		g.handleTopicsFetched(now, body, effects)
	case partition.SenderStateResponse:
		g.handleSenderResponse(now, meta.From, body, effects)
	case partition.HighWatermarks:
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

// tick does the slow periodic work: pings, silent channels, idle senders.
func (g *Gateway) tick(now time.Time, effects *statemachine.Effects) {
	g.timers.Arm(timerTick, now.Add(tickInterval))
	for id, session := range statemachine.Sorted(g.sessions) {
		g.checkSession(now, id, session, effects)
	}
	g.endLingering(now, effects)
	g.disconnectSome(now, effects)
	for key, sender := range g.senders {
		if len(sender.queue) == 0 && now.Sub(sender.lastUse) > senderIdleTimeout {
			delete(g.senders, key)
		}
	}
	for _, tracker := range g.trackers {
		tracker.prune(now)
	}
	g.forgetRouted(now)
}

// Moving and stopping.

const everything = uint64(math.MaxUint64)

// SetMaxClients changes how many channels the gateway may hold.
func (g *Gateway) SetMaxClients(limit int) { g.settings.MaxClients = limit }

// SetLink changes how many bytes a second the machine's link takes.
func (g *Gateway) SetLink(rate int) { g.settings.Link = rate }
