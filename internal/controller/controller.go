package controller

import (
	"time"

	"dahlialock/internal/balancing"
	"dahlialock/internal/config"
	"dahlialock/internal/consensus"
	"dahlialock/internal/consolidation"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// timer names the timers of a controller. Timers of the same moment expire in the order
// of these constants.
type timer int

const (
	// timerStop wakes the controller at stopDeadline, see finishStop.
	timerStop timer = iota
	// timerReconcile starts the next reconciliation.
	timerReconcile
)

// economyRole is the singleton role of the controller that rests gateways and balances
// sessions.
const economyRole = "economy"

// Request is an operator's request at this daemon's own control interface.
type Request struct {
	// Local is the host's number of the request, by which it gets the response.
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

// incarnationAt is the time of an event of one incarnation of a member.
type incarnationAt struct {
	at          time.Time
	incarnation uint64
}

// Controller is the state machine of a controller daemon. It is not safe for use by
// several goroutines.
type Controller struct {
	settings Settings
	timeouts timeouts
	timers   *statemachine.Timers[timer]

	// state is the replicated control state. Only node changes it, by applying commands.
	state *State
	node  *consensus.Node

	// failureDetector and viewClient make this controller a member as any other daemon;
	// controlClient forwards the requests of operators that connected here.
	failureDetector *membership.FailureDetector
	viewClient      *membership.ViewClient
	controlClient   *controlclient.ControlClient

	// parsedConfiguration is the configuration in force, read from the control state when
	// parsedVersion was its version.
	parsedConfiguration config.Configuration
	parsedVersion       uint64

	// stopDeadline is when the daemon ends in any case; zero unless it was asked to stop.
	stopDeadline time.Time

	// active is set while this controller acts as primary, and termStart is when it began
	// to. The fields below are of use to the primary only; beginTerm resets what an earlier term
	// observed, except planner and balancer, and endTerm ends the polls and forgets sentViews.
	active    bool
	termStart time.Time

	// commandPending is set while a command of the reconciliation is being committed.
	// There is one at a time, so that each is decided on the result of the one before.
	commandPending bool

	// pendingPolls holds the polls that wait for a change, by the member's name.
	pendingPolls map[string]pendingPoll
	// sentViews holds the view last sent to each member, until the member has it.
	sentViews map[string]sentView

	// lastHeard is when each daemon last polled, and loads what it reported.
	lastHeard map[string]time.Time
	loads     map[string]membership.Load
	// suspicions holds the newest suspicion of each reporter, by the suspect's name.
	suspicions map[string]map[string]incarnationAt
	// unacknowledged holds the first answer to each store that the store has not
	// acknowledged in a later poll.
	unacknowledged map[string]unacknowledgedAnswer
	// deadSince is when this primary first saw a member dead.
	deadSince map[string]incarnationAt

	// pendingJoins, pendingLeaves and pendingReplicated wait for the next command; the
	// first two are keyed by the member's name, the last by the partition's.
	pendingJoins      map[string]Join
	pendingLeaves     map[string]MemberIncarnation
	pendingReplicated map[string]membership.PartitionReplicated

	// slowDisks holds the newest confirmed report of each slow disk, unconfirmedReports
	// those that still wait for evidence; both by the store's name.
	slowDisks          map[string]slowDisk
	unconfirmedReports map[string]*unconfirmedReport

	// The economy role: economyLease is the lease under which it acts, directives what
	// each gateway was asked last.
	planner      *consolidation.Planner
	balancer     *balancing.Balancer
	economyLease *consensus.RoleLease
	directives   map[string]membership.Directives
}

// New makes a controller from what its disk holds: the last snapshot and the entries
// logged since, both empty for a new disk.
func New(settings Settings, snapshot []byte, entries [][]byte) (*Controller, error) {
	controller := &Controller{
		settings:           settings,
		timeouts:           timeoutsFor(settings),
		timers:             statemachine.NewTimers[timer](),
		state:              newState(),
		pendingPolls:       map[string]pendingPoll{},
		sentViews:          map[string]sentView{},
		lastHeard:          map[string]time.Time{},
		loads:              map[string]membership.Load{},
		suspicions:         map[string]map[string]incarnationAt{},
		unacknowledged:     map[string]unacknowledgedAnswer{},
		deadSince:          map[string]incarnationAt{},
		pendingJoins:       map[string]Join{},
		pendingLeaves:      map[string]MemberIncarnation{},
		pendingReplicated:  map[string]membership.PartitionReplicated{},
		slowDisks:          map[string]slowDisk{},
		unconfirmedReports: map[string]*unconfirmedReport{},
		planner:            consolidation.New(),
		balancer:           balancing.New(),
		directives:         map[string]membership.Directives{},
	}
	node, err := consensus.New(settings.consensusSettings(), controller.state, snapshot, entries)
	if err != nil {
		return nil, err
	}
	controller.node = node
	controller.economyLease = node.NewRoleLease(economyRole)
	controller.connect()
	return controller, nil
}

// connect makes the parts by which the controller takes part in the cluster as a member.
func (c *Controller) connect() {
	self := c.settings.Self
	c.failureDetector = membership.NewFailureDetector(self)
	controllers := append([]string{self.Address}, c.settings.Seeds...)
	noLoad := func() membership.Load { return membership.Load{} }
	c.viewClient = membership.NewViewClient(self, c.settings.Incarnation, controllers, noLoad)
	c.controlClient = controlclient.New(controlclient.Settings{
		Incarnation:        c.settings.Incarnation,
		AcknowledgeTimeout: c.settings.AcknowledgeTimeout,
		Upstream:           c.upstream,
		NextController:     c.viewClient.NextController,
		Relays:             c.viewClient.Relays,
	})
}

// upstream is the address of the primary as far as it is known.
func (c *Controller) upstream() string {
	if primary, found := c.node.Primary(); found {
		return primary.Address
	}
	return c.viewClient.Upstream()
}

// ConfigurationVersion is the newest configuration version that this controller has
// confirmed as a member.
func (c *Controller) ConfigurationVersion() uint64 { return c.viewClient.Version }

// ViewClient returns the client by which this controller follows the view as a member.
func (c *Controller) ViewClient() *membership.ViewClient { return c.viewClient }

// Node returns the controller's consensus node. Callers only read from it.
func (c *Controller) Node() *consensus.Node { return c.node }

// State returns the replicated control state. Callers only read from it.
func (c *Controller) State() *State { return c.state }

// Ready reports whether this controller takes part in the consensus.
func (c *Controller) Ready() bool { return !c.node.Blank() }

// SetTolerance changes the tolerance, after the settings were changed. The primary
// replicates its own setting with its next reconciliation; that of another controller has no
// effect until that one is primary.
func (c *Controller) SetTolerance(tolerance int) {
	c.settings.Tolerance = &tolerance
	c.node.SetTolerance(tolerance)
}

// Start begins the controller's work. It is called once, before any other step.
func (c *Controller) Start(now time.Time, effects *statemachine.Effects) {
	c.node.Start(now, effects)
	c.failureDetector.Start(now)
	c.viewClient.Start(now)
	c.timers.Arm(timerReconcile, now.Add(reconcileInterval))
}

// NextTick is when the controller wants its next tick.
func (c *Controller) NextTick() time.Time {
	return statemachine.Earliest(
		c.node.NextTick(),
		c.failureDetector.NextTick(),
		c.viewClient.NextTick(),
		c.controlClient.NextTick(),
		c.timers.Next(),
	)
}

// Tick runs whatever is due.
func (c *Controller) Tick(now time.Time, effects *statemachine.Effects) {
	c.node.Tick(now, effects)
	c.failureDetector.Tick(now, effects)
	c.viewClient.Tick(now, effects)
	c.controlClient.Tick(now, effects)
	for _, expired := range c.timers.Expired(now) {
		if expired == timerReconcile {
			c.reconcile(now, effects)
		}
	}
	c.finishStop(now, effects)
}

// HandleCommand handles a command of the host: a [statemachine.Synced] write, an
// operator's [Request], or [Stop].
func (c *Controller) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case statemachine.Synced:
		c.node.Synced(now, body.Token, effects)
		c.answerPolls(now, effects)
	case Request:
		c.controlClient.Forward(now, body.Local, body.Method, body.Path, body.Body, effects)
	case Stop:
		c.beginStop(now, effects)
	}
	c.finishStop(now, effects)
}

// HandleMessage handles a message of another daemon, or of this one to itself.
func (c *Controller) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	if meta.From != c.settings.Self.Address {
		c.failureDetector.ReceiveFromPeer(now)
	}
	if c.node.HandleMessage(now, meta, message, effects) {
		c.answerPolls(now, effects)
		c.finishStop(now, effects)
		return
	}
	switch body := message.(type) {
	case membership.ViewRequest:
		c.handleViewRequest(now, meta.From, body, effects)
	case membership.Suspicion:
		c.handleSuspicion(now, body)
	case membership.GracefulLeave:
		c.handleGracefulLeave(now, body)
	case membership.PartitionReplicated:
		c.handlePartitionReplicated(now, body)
	case membership.SlowDiskReport:
		c.handleSlowDiskReport(now, body, effects)
	case membership.ControlRequest:
		c.handleControlRequest(now, meta.From, body, effects)
	case membership.ControlResponse:
		c.handleControlResponse(now, meta.From, body, effects)
	default:
		c.handleMemberMessage(now, meta.From, message, effects)
	}
}

// handleMemberMessage handles the messages that this controller gets as a member, as
// every daemon does.
func (c *Controller) handleMemberMessage(now time.Time, from string, message any, effects *statemachine.Effects) {
	switch body := message.(type) {
	case membership.ViewUpdate:
		if changed := c.viewClient.HandleUpdate(now, body); changed.View {
			c.failureDetector.SetView(now, c.viewClient.Members, c.viewClient.Index)
		}
	case membership.Redirect:
		c.viewClient.HandleRedirect(now, body, effects)
	case membership.Heartbeat:
		c.failureDetector.ReceiveHeartbeat(now, body)
	case membership.ConfigurationRequest:
		c.viewClient.RespondToConfigurationRequest(from, body, effects)
	}
}

// configuration is the configuration in force.
func (c *Controller) configuration() config.Configuration {
	if c.parsedVersion != c.state.Version {
		c.parsedConfiguration, _ = config.Read(c.state.Document)
		c.parsedVersion = c.state.Version
	}
	return c.parsedConfiguration
}
