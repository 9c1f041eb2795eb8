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

// timer is the key of one of the controller's timers. Timers that expire at the same time run in
// the order of these constants.
type timer int

const (
	// timerStop expires at stopDeadline, see finishStop.
	timerStop timer = iota
	// timerReconcile starts the next reconciliation.
	timerReconcile
)

// economyRole is the name of the singleton role whose holder puts idle gateways to rest and
// balances sessions.
const economyRole = "economy"

// Request is an operator's request that was received at this daemon's control interface.
type Request struct {
	// Local is the number that the host assigned to the request. The response has the same
	// number.
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

	// state is the replicated control state. It changes only when node applies a command.
	state *State
	node  *consensus.Node

	// failureDetector and viewClient are the parts that every member of the cluster has.
	// controlClient forwards the requests of operators that are connected to this daemon.
	failureDetector *membership.FailureDetector
	viewClient      *membership.ViewClient
	controlClient   *controlclient.ControlClient

	// parsedConfiguration is the configuration of version parsedVersion, parsed from the
	// document in the control state.
	parsedConfiguration config.Configuration
	parsedVersion       uint64

	// stopDeadline is when the daemon stops at the latest; zero unless a stop was requested.
	stopDeadline time.Time

	// active is set while this controller acts as primary, and termStart is when that began.
	// Only the primary uses the fields below. beginTerm resets the observations of an earlier
	// term, except planner and balancer; endTerm redirects the pending polls and clears
	// sentViews.
	active    bool
	termStart time.Time

	// commandPending is set while a command of the reconciliation is being committed. Only
	// one is in flight at a time, so that each is based on the result of the one before.
	commandPending bool

	// pendingPolls holds the polls that wait for a change, keyed by the member's name.
	pendingPolls map[string]pendingPoll
	// sentViews describes the view last sent to each member, until the member's polls show
	// that it was received. The keys are the members' names.
	sentViews map[string]sentView

	// lastPolled is when each daemon last polled, and loads what it reported.
	lastPolled map[string]time.Time
	loads      map[string]membership.Load
	// suspicions holds the newest suspicion of each reporter, keyed by the suspect's name and
	// then by the reporter's.
	suspicions map[string]map[string]incarnationAt
	// unacknowledged holds, for each store, the first response that the store has not
	// acknowledged in a later poll.
	unacknowledged map[string]unacknowledgedResponse
	// deadSince is when this primary first found a member dead.
	deadSince map[string]incarnationAt

	// pendingJoins, pendingLeaves and pendingReplicated wait for the next command; the
	// first two are keyed by the member's name, the last by the partition's.
	pendingJoins      map[string]Join
	pendingLeaves     map[string]MemberIncarnation
	pendingReplicated map[string]membership.PartitionReplicated

	// slowDisks holds the newest confirmed report of each slow disk, unconfirmedReports the
	// reports that are not confirmed yet; both are keyed by the store's name.
	slowDisks          map[string]slowDisk
	unconfirmedReports map[string]*unconfirmedReport

	// The following fields belong to the economy role: economyLease is the lease under which
	// it acts, directives holds the directives last issued to each gateway.
	planner      *consolidation.Planner
	balancer     *balancing.Balancer
	economyLease *consensus.RoleLease
	directives   map[string]membership.Directives
}

// New creates a controller from the contents of its disk: the last snapshot and the log
// entries since that snapshot, both empty for a new disk.
func New(settings Settings, snapshot []byte, entries [][]byte) (*Controller, error) {
	controller := &Controller{
		settings:           settings,
		timeouts:           timeoutsFor(settings),
		timers:             statemachine.NewTimers[timer](),
		state:              newState(),
		pendingPolls:       map[string]pendingPoll{},
		sentViews:          map[string]sentView{},
		lastPolled:         map[string]time.Time{},
		loads:              map[string]membership.Load{},
		suspicions:         map[string]map[string]incarnationAt{},
		unacknowledged:     map[string]unacknowledgedResponse{},
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
	controller.initMembership()
	return controller, nil
}

// initMembership creates the failure detector and the clients that the controller needs as a
// member of the cluster.
func (c *Controller) initMembership() {
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

// upstream returns the address of the primary, or the view client's upstream controller if
// no primary is known.
func (c *Controller) upstream() string {
	if primary, found := c.node.Primary(); found {
		return primary.Address
	}
	return c.viewClient.Upstream()
}

// ConfigurationVersion returns the newest configuration version that this controller has
// confirmed as a member.
func (c *Controller) ConfigurationVersion() uint64 { return c.viewClient.Version }

// ViewClient returns the client with which this controller, as a member, polls for the view.
func (c *Controller) ViewClient() *membership.ViewClient { return c.viewClient }

// Node returns the controller's consensus node. Callers only read from it.
func (c *Controller) Node() *consensus.Node { return c.node }

// State returns the replicated control state. Callers only read from it.
func (c *Controller) State() *State { return c.state }

// Ready reports whether this controller participates in the consensus.
func (c *Controller) Ready() bool { return !c.node.Blank() }

// SetTolerance changes the tolerance after a change of the settings. The primary replicates
// its own setting with its next reconciliation; the setting of another controller has no
// effect until that controller becomes primary.
func (c *Controller) SetTolerance(tolerance int) {
	c.settings.Tolerance = &tolerance
	c.node.SetTolerance(tolerance)
}

// Start starts the controller. It is called once, before any other step.
func (c *Controller) Start(now time.Time, effects *statemachine.Effects) {
	c.node.Start(now, effects)
	c.failureDetector.Start(now)
	c.viewClient.Start(now)
	c.timers.Arm(timerReconcile, now.Add(reconcileInterval))
}

// NextTick returns when Tick is to be called next.
func (c *Controller) NextTick() time.Time {
	return statemachine.Earliest(
		c.node.NextTick(),
		c.failureDetector.NextTick(),
		c.viewClient.NextTick(),
		c.controlClient.NextTick(),
		c.timers.Next(),
	)
}

// Tick processes the timers that have expired.
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

// HandleCommand handles a command from the host: a [statemachine.Synced] write, an
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

// HandleMessage handles a message from another daemon, or from this daemon to itself.
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

// handleMemberMessage handles the messages that every member of the cluster receives.
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

// configuration returns the configuration in force.
func (c *Controller) configuration() config.Configuration {
	if c.parsedVersion != c.state.Version {
		c.parsedConfiguration, _ = config.Read(c.state.Document)
		c.parsedVersion = c.state.Version
	}
	return c.parsedConfiguration
}
