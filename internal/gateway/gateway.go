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
	// pingInterval is how often a client is pinged, pongTimeout after what silence its session is
	// closed.
	pingInterval = 5 * time.Second
	pongTimeout  = 16 * time.Second
	// tickInterval is the interval of the periodic work.
	tickInterval = time.Second
	// moveInterval is the interval of the steps in which clients are moved, moveLinger after what
	// time the session of a client that was asked to move is closed.
	moveInterval = 100 * time.Millisecond
	moveLinger   = 1500 * time.Millisecond
	// stopTimeout is the longest duration of a graceful shutdown, stopMoves the fewest clients that
	// it moves in a step, moveTimeout for how long it waits for a client that was asked to move.
	stopTimeout = 3500 * time.Millisecond
	stopMoves   = 25
	moveTimeout = 600 * time.Millisecond
	// maxPendingRecords bounds the pending records of a tracker, and the deferred messages.
	maxPendingRecords = 20000
	// maxInterests bounds the subscriptions of a session to spaces without routed topics.
	maxInterests = 256
	// retryShortDelay and retryLongDelay are after what time a rejected client may retry.
	retryShortDelay = 250 * time.Millisecond
	retryLongDelay  = time.Second
	// requestTimeout is the longest time to the final answer of a publication.
	requestTimeout = 700 * time.Millisecond
	// refreshTimeout is how long a request waits for a newer configuration.
	refreshTimeout = 600 * time.Millisecond
	// defaultSubscribeTimeout is the longest time to the final answer of a subscription.
	defaultSubscribeTimeout = 1500 * time.Millisecond
	// disconnectAfter is after what time without a confirmation sessions are closed, minDisconnects
	// how many at least in each second.
	disconnectAfter = 5500 * time.Millisecond
	minDisconnects  = 10
)

// Settings are the settings of a gateway daemon.
type Settings struct {
	// Self is how this daemon appears in the membership.
	Self membership.Member
	// Agent is the address of the agent on this machine, through which the gateway follows the
	// control state.
	Agent string
	// Key authenticates cursors; all gateways of a fleet have the same.
	Key []byte
	// MaxClients is how many sessions the gateway holds at most, 2000 if it is 0.
	MaxClients int
	// ConfirmedFor is how long a gateway serves after it last knew that its configuration is the
	// newest, StopWithin how long a graceful shutdown takes. Both have a longest value, which holds
	// if they are 0.
	ConfirmedFor time.Duration
	StopWithin   time.Duration
	// Acknowledge is within what time a well-formed control request is to be acknowledged.
	Acknowledge time.Duration
	// Link is how many bytes a second the machine's link takes, 0 if unknown.
	Link int
	// Processor returns the processor time used so far; it may be nil.
	Processor func() time.Duration
	// Incarnation names this run of the process.
	Incarnation statemachine.Incarnation
}

// Gateway is the state machine.
type Gateway struct {
	// settings are those given, with MaxClients and Link as they were last set.
	settings Settings
	// viewClient follows the control state; its Version is the configuration version in force.
	viewClient *membership.ViewClient
	// detector decides whether this gateway is isolated.
	detector *membership.FailureDetector
	// controlClient forwards control requests to the controllers.
	controlClient *controlclient.ControlClient
	overlay       *overlay.Overlay
	// ring records decisions for FindDecisions.
	ring   *decisionlog.Ring
	timers *statemachine.Timers[timer]
	// policies are evaluated in this order; it never changes.
	policies []Policy

	// config is the configuration in force. Its version never falls.
	config config.Configuration
	// incarnation is the index at which this run joined, 0 until the view shows it as alive.
	incarnation uint64
	// sessions are the open sessions by the number that the adapter gave them.
	sessions map[uint64]*session
	// spaces are the spaces of the configuration in force, by name.
	spaces map[string]*spaceState
	// senders have an entry for each sender that published to a space here lately.
	senders map[senderKey]*sender
	// trackers have an entry for each partition of a space without routed topics that an interest
	// here reads, by partition name.
	trackers map[string]*tracker

	// nextRequest is the number of the last request to a store. Numbers of different runs of the
	// process differ.
	nextRequest uint64
	// appends are the publications that are being appended, by publication; sends are the same ones
	// by the number of each unanswered send.
	appends map[uint64]*publication
	sends   map[uint64]*publication
	// senderLookups and fetches wait for stores, by request number.
	senderLookups map[uint64]*senderLookup
	fetches       map[uint64]*fetchOperation
	// routed is the state of the routed topics.
	routed *routed
	// subscribeTimeout follows from the configuration in force.
	subscribeTimeout time.Duration
	// newest is the newest session of each client, by the client's name.
	newest map[string]uint64

	// highWatermarksRequestedAt is when high watermarks were last subscribed to.
	highWatermarksRequestedAt time.Time
	// newerVersion is the highest configuration version seen in a message. While it is above the
	// version in force the gateway is not confirmed.
	newerVersion uint64
	// deferred are the copies that came while the gateway was unconfirmed, in order; at most
	// maxPendingRecords.
	deferred []deferred
	// refreshWaiters are the requests that wait for the one refresh that is under way.
	refreshWaiters []refreshWaiter
	// lingering are the overlay subscriptions that outlive their last subscription here.
	lingering []lingered
	// stopping is set when a graceful shutdown begins and never reset; it ends at stopUntil.
	stopping  bool
	stopUntil time.Time
	admission admission
	// wasReady is the readiness that was logged last.
	wasReady bool
	// rotation spreads moved clients over the targets, and the ends of lingering subscriptions.
	rotation int
	// Counts are running sums; only the gateway changes them.
	Counts Counts
}

// spaceState is a space of the configuration in force, with its subscriptions here.
type spaceState struct {
	space config.Space
	// name is the name of the space with the index at which it was created, so that a space that is
	// removed and created again is another one.
	name string
	// topics and prefixes are the sessions with a subscription, by path. They are nil in a space with
	// routed topics.
	topics   map[string]map[uint64]bool
	prefixes map[string]map[uint64]bool
	// recent are the ephemeral messages of the last moments, oldest first.
	recent []recentEphemeral
}

// New returns a gateway that holds no sessions and knows no configuration yet.
func New(settings Settings) *Gateway {
	if settings.MaxClients == 0 {
		settings.MaxClients = 2000
	}
	settings.ConfirmedFor = bounded(settings.ConfirmedFor, membership.ConfirmationTimeout)
	settings.StopWithin = bounded(settings.StopWithin, stopTimeout)
	gateway := &Gateway{
		settings:      settings,
		overlay:       overlay.New(settings.Self.Name),
		ring:          decisionlog.NewRing(settings.Self.Name),
		timers:        statemachine.NewTimers[timer](),
		sessions:      map[uint64]*session{},
		spaces:        map[string]*spaceState{},
		senders:       map[senderKey]*sender{},
		trackers:      map[string]*tracker{},
		appends:       map[uint64]*publication{},
		sends:         map[uint64]*publication{},
		senderLookups: map[uint64]*senderLookup{},
		fetches:       map[uint64]*fetchOperation{},
		nextRequest:   settings.Incarnation.FirstRequestNumber(),
		routed:        newRouted(),
		newest:        map[string]uint64{},
	}
	gateway.policies = standardPolicies()
	gateway.viewClient = membership.NewViewClient(settings.Self, settings.Incarnation, []string{
		settings.Agent,
	}, gateway.load)
	gateway.detector = membership.NewFailureDetector(settings.Self)
	gateway.viewClient.PinToFirstSeed()
	upstream := func() string {
		if primary := gateway.viewClient.Primary(); primary != "" {
			return primary
		}
		return settings.Agent
	}
	gateway.controlClient = controlclient.New(controlclient.Settings{
		Incarnation: settings.Incarnation,
		Acknowledge: settings.Acknowledge,
		Upstream:    upstream,
		Next:        gateway.viewClient.NextController,
		Relays:      gateway.viewClient.Relays,
	})
	return gateway
}

// bounded returns a span, or the longest allowed one if the span is longer or not given.
func bounded(span, longest time.Duration) time.Duration {
	if span <= 0 {
		return longest
	}
	return min(span, longest)
}

// ConfigurationVersion returns the version of the configuration in force here.
func (g *Gateway) ConfigurationVersion() uint64 { return g.viewClient.Version }

// ViewClient returns the client of the control state, for the ctl of this daemon.
func (g *Gateway) ViewClient() *membership.ViewClient { return g.viewClient }

// Overlay returns the overlay part, for counters and tests.
func (g *Gateway) Overlay() *overlay.Overlay { return g.overlay }

// Configuration returns the configuration in force, for the simulator's checks.
func (g *Gateway) Configuration() config.Configuration { return g.config }

// Resting returns whether the gateway was directed to rest and has no sessions.
func (g *Gateway) Resting() bool {
	return g.viewClient.Directives.Rest && len(g.sessions) == 0 && !g.stopping
}

// Confirmed returns whether the gateway may trust that its configuration is the newest.
func (g *Gateway) Confirmed(now time.Time) bool {
	limit := g.settings.ConfirmedFor
	if statemachine.Mutated("never-unconfirmed") {
		return g.viewClient.Index > 0
	}
	return g.viewClient.Index > 0 && g.newerVersion <= g.viewClient.Version &&
		now.Sub(g.viewClient.ConfirmedAt) <= limit && !g.detector.Isolated(now)
}

// Ready returns whether the platform should send new connections here.
func (g *Gateway) Ready(now time.Time) bool {
	return g.Confirmed(now) && !g.stopping && !g.viewClient.Directives.Rest &&
		len(g.sessions) < g.settings.MaxClients && !slices.Contains(g.config.Draining, g.settings.Self.Name)
}

// Start arms the timers of the gateway. It is called once, before all others.
func (g *Gateway) Start(now time.Time, effects *statemachine.Effects) {
	g.viewClient.Start(now)
	g.detector.Start(now)
	g.timers.Arm(timerTick, now.Add(tickInterval))
}

// NextTick returns when Tick is due.
func (g *Gateway) NextTick() time.Time {
	return statemachine.Earliest(g.viewClient.NextTick(), g.detector.NextTick(), g.controlClient.NextTick(),
		g.overlay.NextTick(), g.timers.Next())
}

// Tick runs everything that is due.
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

// logReadiness emits a log event when the readiness has changed.
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
	effects.Emit(logevent.NotReady,
		"isolated", g.detector.Isolated(now),
		"confirmed", g.Confirmed(now),
		"stopping", g.stopping,
		"rest", g.viewClient.Directives.Rest,
	)
}

// HandleCommand handles a command of the adapters; commands of other types are ignored.
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
		g.beginStop(now)
	}
	g.logReadiness(now, effects)
}

// HandleMessage handles a message of another daemon. Copies of messages are deferred while the
// gateway is unconfirmed; those beyond maxPendingRecords are dropped, which shows as gaps later.
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

// dispatch hands a message to the part that it is for.
func (g *Gateway) dispatch(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	switch body := message.(type) {
	case overlay.Signals:
		g.runOverlay(now, effects, func(now time.Time, effects *statemachine.Effects) {
			g.overlay.HandleSignals(now, body, effects)
		})
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
	default:
		g.dispatchMembership(now, meta, message, effects)
	}
}

// dispatchMembership hands on the messages about membership, configuration and control requests.
func (g *Gateway) dispatchMembership(
	now time.Time,
	meta statemachine.Meta,
	message any,
	effects *statemachine.Effects,
) {
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
	}
}

// runOverlay runs a step of the overlay. Repeated messages to newly discovered gateways are sent
// before what the step sends, so that they arrive before the overlay is stable there.
func (g *Gateway) runOverlay(
	now time.Time,
	effects *statemachine.Effects,
	run func(now time.Time, effects *statemachine.Effects),
) {
	var stepEffects statemachine.Effects
	run(now, &stepEffects)
	g.repeatRecent(now, effects)
	effects.Append(stepEffects)
}

// countCopy counts a copy that came from another gateway, and whether anybody here subscribes to
// it.
func (g *Gateway) countCopy(wanted bool) {
	g.Counts.CopiesIn++
	if !wanted {
		g.Counts.CopiesStray++
	}
}

// tick does the periodic work of each second: pings, silent sessions, idle senders.
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

// everything stands for an offset that is not known: as the offset after which a fetch asks it means
// that no records are wanted, as the start of an interest that it is not live yet.
const everything = uint64(math.MaxUint64)

// SetMaxClients sets how many sessions the gateway may hold.
func (g *Gateway) SetMaxClients(limit int) { g.settings.MaxClients = limit }

// SetLink sets how many bytes a second the machine's link takes.
func (g *Gateway) SetLink(rate int) { g.settings.Link = rate }
