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

// Intervals, timeouts and limits of a gateway.
const (
	// pingInterval is the interval of the pings to a client. A session is closed if its client has
	// sent nothing for pongTimeout.
	pingInterval = 5 * time.Second
	pongTimeout  = 16 * time.Second
	// tickInterval is the interval of the periodic checks in tick.
	tickInterval = time.Second
	// moveInterval is the interval of the steps in which clients are moved. moveCloseDelay is the time
	// after which the session of a client that was asked to move is closed.
	moveInterval   = 100 * time.Millisecond
	moveCloseDelay = 1500 * time.Millisecond
	// stopTimeout is the maximum duration of a graceful shutdown. minStopMoves is the minimum number of
	// clients that a shutdown moves in a step. moveTimeout is how long a shutdown waits for a client
	// of the line protocol that was asked to move, see awaitsClients.
	stopTimeout  = 3500 * time.Millisecond
	minStopMoves = 25
	moveTimeout  = 600 * time.Millisecond
	// maxPendingRecords is the maximum number of pending records of a tracker, and of deferred
	// messages.
	maxPendingRecords = 20000
	// maxInterests is the maximum number of subscriptions of a session to spaces without routed
	// topics.
	maxInterests = 256
	// retryShortDelay and retryLongDelay are the delays after which rejected clients may retry.
	retryShortDelay = 250 * time.Millisecond
	retryLongDelay  = time.Second
	// requestTimeout is the maximum time until a publication gets its final answer.
	requestTimeout = 700 * time.Millisecond
	// refreshTimeout is the maximum time that a request waits for a newer configuration.
	refreshTimeout = 600 * time.Millisecond
	// defaultSubscribeTimeout is the maximum time until a subscription gets its final answer.
	defaultSubscribeTimeout = 1500 * time.Millisecond
	// disconnectAfter is the time without a confirmation after which sessions are closed.
	// It is longer than any change of the primary controller takes. minDisconnects is the minimum number
	// of sessions that are then closed each second.
	disconnectAfter = 5500 * time.Millisecond
	minDisconnects  = 10
)

// Settings are the settings of a gateway daemon.
type Settings struct {
	// Self is the membership entry of this daemon.
	Self membership.Member
	// Agent is the address of the agent on this machine, from which the gateway receives the
	// control state.
	Agent string
	// Key authenticates cursors; all gateways of a fleet have the same key.
	Key []byte
	// MaxClients is the maximum number of sessions; 0 means 2000.
	MaxClients int
	// ConfirmedFor is how long a gateway serves after the last confirmation that its configuration
	// is the newest. StopWithin is the maximum duration of a graceful shutdown. Each has an upper
	// limit, which also applies if the value is 0.
	ConfirmedFor time.Duration
	StopWithin   time.Duration
	// RefreshWithin is how long a request for an unknown space may wait for a newer configuration
	// while others are handled by the present one. It has an upper limit like those above.
	RefreshWithin time.Duration
	// AcknowledgeTimeout is the time within which a well-formed control request must be acknowledged.
	AcknowledgeTimeout time.Duration
	// LinkBytesPerSecond is the rate of the machine's link in bytes per second, 0 if unknown.
	LinkBytesPerSecond int
	// ProcessorTime returns the processor time that the process has used so far; it may be nil.
	ProcessorTime func() time.Duration
	// Incarnation identifies this run of the process.
	Incarnation statemachine.Incarnation
}

// Gateway is the state machine of a gateway daemon.
type Gateway struct {
	// settings are the settings given to New, with the last set MaxClients and LinkBytesPerSecond.
	settings Settings
	// viewClient receives the control state; its Version is the configuration version in force.
	viewClient *membership.ViewClient
	// detector decides whether this gateway is isolated.
	detector *membership.FailureDetector
	// controlClient forwards control requests to the controllers.
	controlClient *controlclient.ControlClient
	overlay       *overlay.Overlay
	// ring records decisions for FindDecisions.
	ring   *decisionlog.Ring
	timers *statemachine.Timers[timer]
	// policies are evaluated in the order of this slice, which never changes.
	policies []Policy

	// config is the configuration in force. Its version never decreases.
	config config.Configuration
	// incarnation is the index at which this run of the process joined the membership, 0 until the
	// view shows the run as alive.
	incarnation uint64
	// sessions are the open sessions, by the number that the adapter assigned.
	sessions map[uint64]*session
	// spaces are the spaces of the configuration in force, by name.
	spaces map[string]*spaceState
	// senders has an entry for each sender that recently published through this gateway.
	senders map[senderKey]*sender
	// trackers has an entry for each partition that an interest of a session reads in a space without
	// routed topics, by partition name.
	trackers map[string]*tracker

	// lastRequest is the number of the last request to a store. Different runs of the process use
	// different numbers.
	lastRequest uint64
	// appends are the publications that are being appended, by publication number. sends are the same
	// publications by the request number of each unanswered send.
	appends map[uint64]*publication
	sends   map[uint64]*publication
	// senderLookups and fetches wait for responses of stores, by request number.
	senderLookups map[uint64]*senderLookup
	fetches       map[uint64]*fetchOperation
	// routed is the state of the routed topics.
	routed *routedState
	// subscribeTimeout is derived from the configuration in force.
	subscribeTimeout time.Duration
	// newestSession is the number of the newest session of each client, by the client's name.
	newestSession map[string]uint64

	// highWatermarksRequestedAt is when the gateway last subscribed to high watermarks.
	highWatermarksRequestedAt time.Time
	// newerVersion is the highest configuration version seen in a message. The gateway is not
	// confirmed while it is above the version in force.
	newerVersion uint64
	// deferred are the copies that arrived while the gateway was unconfirmed, in order of arrival; at
	// most maxPendingRecords.
	deferred []deferredMessage
	// refreshWaiters are the requests that wait for the refresh in progress.
	refreshWaiters []refreshWaiter
	// lingering are the overlay subscriptions that are kept for a while although no session needs
	// them any more.
	lingering []lingeringSubscription
	// stopping is set when a graceful shutdown begins and is never reset. stopUntil is the deadline of
	// the shutdown.
	stopping  bool
	stopUntil time.Time
	admission admission
	// wasReady is the readiness that was last logged.
	wasReady bool
	// rotation is a counter that spreads moved clients over their targets, and the ends of lingering
	// subscriptions over time.
	rotation int
	// Counts are cumulative counters; only the gateway changes them.
	Counts Counts
}

// spaceState is a space of the configuration in force, with the subscriptions of this gateway's
// sessions.
type spaceState struct {
	space config.Space
	// name is the name of the space together with the configuration version that created it, so that a
	// space that is removed and created again has another name. In a space with routed topics the version
	// is always 0.
	name string
	// topics and prefixes are the subscribed sessions, by topic and by prefix. They are nil in a space
	// with routed topics.
	topics   map[string]map[uint64]bool
	prefixes map[string]map[uint64]bool
	// recent are the most recent ephemeral messages, oldest first.
	recent []recentEphemeral
}

// New returns a gateway without sessions and without a configuration.
func New(settings Settings) *Gateway {
	if settings.MaxClients == 0 {
		settings.MaxClients = 2000
	}
	settings.ConfirmedFor = bounded(settings.ConfirmedFor, membership.ConfirmationTimeout)
	settings.StopWithin = bounded(settings.StopWithin, stopTimeout)
	settings.RefreshWithin = bounded(settings.RefreshWithin, refreshTimeout)
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
		lastRequest:   settings.Incarnation.FirstRequestNumber(),
		routed:        newRoutedState(),
		newestSession: map[string]uint64{},
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
		Incarnation:        settings.Incarnation,
		AcknowledgeTimeout: settings.AcknowledgeTimeout,
		Upstream:           upstream,
		NextController:     gateway.viewClient.NextController,
		Relays:             gateway.viewClient.Relays,
	})
	return gateway
}

// bounded returns the smaller of the two durations, or the second one if the first is not positive.
func bounded(duration, limit time.Duration) time.Duration {
	if duration <= 0 {
		return limit
	}
	return min(duration, limit)
}

// ConfigurationVersion returns the version of the configuration in force.
func (g *Gateway) ConfigurationVersion() uint64 { return g.viewClient.Version }

// ViewClient returns the client that receives the control state, for the ctl of this daemon.
func (g *Gateway) ViewClient() *membership.ViewClient { return g.viewClient }

// Overlay returns the overlay of this gateway, for counters and tests.
func (g *Gateway) Overlay() *overlay.Overlay { return g.overlay }

// Configuration returns the configuration in force, for the simulator's checks.
func (g *Gateway) Configuration() config.Configuration { return g.config }

// Resting reports whether the gateway was directed to rest and has no sessions.
func (g *Gateway) Resting() bool {
	return g.viewClient.Directives.Rest && len(g.sessions) == 0 && !g.stopping
}

// Confirmed reports whether the gateway may assume that its configuration is the newest.
func (g *Gateway) Confirmed(now time.Time) bool {
	limit := g.settings.ConfirmedFor
	if statemachine.Mutated("never-unconfirmed") {
		return g.viewClient.Index > 0
	}
	return g.viewClient.Index > 0 && g.newerVersion <= g.viewClient.Version &&
		now.Sub(g.viewClient.ConfirmedAt) <= limit && !g.detector.Isolated(now)
}

// Ready reports whether the platform should send new connections to this gateway.
func (g *Gateway) Ready(now time.Time) bool {
	return g.Confirmed(now) && !g.stopping && !g.viewClient.Directives.Rest &&
		len(g.sessions) < g.settings.MaxClients && !slices.Contains(g.config.Draining, g.settings.Self.Name)
}

// Start arms the timers of the gateway. It is called once, before any other method.
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

// Tick runs all work that is due.
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
			g.moveNextSessions(now, effects)
		case timerRefresh:
			g.completeRefresh(now, effects)
		case timerDeadlines:
			g.checkDeadlines(now, effects)
		case timerVerify:
			g.verifyAll(now, effects)
		case timerDeliver:
			g.deliverAllReady(now, effects)
		case timerHighWatermarks:
			g.subscribeToHighWatermarks(now, effects)
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

// HandleCommand handles a command of an adapter; commands of unknown types are ignored.
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
		g.countSubscribers(now, body, false, effects)
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
// gateway is unconfirmed; those beyond maxPendingRecords are dropped and later detected as gaps.
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
				g.deferred = append(g.deferred, deferredMessage{meta: meta, message: message})
			}
			return
		}
	}
	g.dispatch(now, meta, message, effects)
	g.logReadiness(now, effects)
}

// dispatch calls the handler of a message.
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

// dispatchMembership calls the handler of a message about membership, configuration or control
// requests.
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

// runOverlay runs a step of the overlay. Recent messages are repeated to newly discovered gateways
// before the messages of the step are sent, so that they arrive before the overlay is stable at
// those gateways.
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

// countCopy counts a copy from another gateway; wanted is set if a session of this gateway
// subscribes to its topic.
func (g *Gateway) countCopy(wanted bool) {
	g.Counts.CopiesIn++
	if !wanted {
		g.Counts.CopiesStray++
	}
}

// tick runs the periodic work of each second: it pings clients, closes silent sessions, closes sessions
// if the gateway has been unconfirmed for too long, and drops expired state.
func (g *Gateway) tick(now time.Time, effects *statemachine.Effects) {
	g.timers.Arm(timerTick, now.Add(tickInterval))
	for id, session := range statemachine.Sorted(g.sessions) {
		g.checkSession(now, id, session, effects)
	}
	g.endLingering(now, effects)
	g.closeUnconfirmedSessions(now, effects)
	for key, sender := range g.senders {
		if len(sender.queue) == 0 && now.Sub(sender.lastUse) > senderIdleTimeout {
			delete(g.senders, key)
		}
	}
	for _, tracker := range g.trackers {
		tracker.prune(now)
	}
	g.dropExpiredAccepted(now)
}

// maxOffset is above the offsets of all records. A fetch after maxOffset requests no records, only the
// high watermark. An interest whose start offset is maxOffset is not live yet.
const maxOffset = uint64(math.MaxUint64)

// SetMaxClients sets the maximum number of sessions.
func (g *Gateway) SetMaxClients(limit int) { g.settings.MaxClients = limit }

// SetLinkBytesPerSecond sets the rate of the machine's link in bytes per second.
func (g *Gateway) SetLinkBytesPerSecond(rate int) { g.settings.LinkBytesPerSecond = rate }
