// Package controller is the state machine of the daemons that coordinate the cluster.
//
// A Controller is the coordinator daemon's state machine. It lives on a watch bill
// (who is primary, what two disks hold) and, while it is primary, it takes
// configurations, keeps the cluster's view, places partitions and answers the
// daemons that ask with the version they have. It acts only under its lease,
// which it checks at each step, so that a controller that was frozen does nothing
// when it wakes after its successor has begun.
package controller

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/balancing"
	"dahlialock/internal/config"
	"dahlialock/internal/consensus"
	"dahlialock/internal/consolidation"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Spans of the primary's work.
const (
	suspicionTimeout      = 1200 * time.Millisecond
	storeSuspicionTimeout = 700 * time.Millisecond
	reconcileInterval     = 200 * time.Millisecond
	standbyInterval       = 500 * time.Millisecond
	warmupPeriod          = 3 * time.Second
	incarnationTimeout    = 1200 * time.Millisecond
	unconfirmedTimeout    = 300 * time.Millisecond
	longDiskDelay         = time.Second
	joinBatchDelay        = 20 * time.Millisecond
	warmupJoinBatchDelay  = 100 * time.Millisecond
)

// Settings are a controller daemon's settings; see watchbill.Settings.
type Settings struct {
	Self            membership.Member
	ControllerCount int
	Seeds           []string
	Bootstrap       bool
	NewDisk         string
	// Incarnation names this run of the process.
	Incarnation statemachine.Incarnation
	// HighestWins answers a configuration that is not above the one held as taken;
	// otherwise it is a conflict, unless it is the same.
	HighestWins bool
	// AcknowledgeTimeout is within what time a proper order is to be acknowledged.
	AcknowledgeTimeout time.Duration
	// ContactTimeout is within what time a daemon is in touch again.
	ContactTimeout time.Duration
	// Tolerance, if given, is how many machines with a disk may be lost at once.
	Tolerance *int
	// StopGracePeriod is for how long a daemon that was asked to end is let run.
	StopGracePeriod time.Duration
}

// Request is an operator's request at this daemon's own ctl.
type Request struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

type pendingPoll struct {
	from     string
	request  membership.ViewRequest
	deadline time.Time
	// notBefore is when it may be answered with a view, if not yet.
	notBefore time.Time
}

type incarnationAt struct {
	at          time.Time
	incarnation uint64
}

// Controller is the state machine.
type Controller struct {
	settings            Settings
	timeouts            timeouts
	state               *State
	node                *consensus.Node
	failureDetector     *membership.FailureDetector
	viewClient          *membership.ViewClient
	controlClient       *controlclient.ControlClient
	timers              *statemachine.Timers[string]
	pendingPolls        map[string]pendingPoll
	sentViews           map[string]sentView
	lastHeard           map[string]time.Time
	loads               map[string]membership.Load
	suspicions          map[string]map[string]incarnationAt
	pendingJoins        map[string]Join
	pendingLeaves       map[string]MemberIncarnation
	pendingReplicated   map[string]membership.PartitionReplicated
	slowDisks           map[string]slowDisk
	deadSince           map[string]incarnationAt
	unconfirmedReports  map[string]*unconfirmedReport
	unacknowledged      map[string]unacknowledgedAnswer
	commandPending      bool
	stopDeadline        time.Time
	termStart           time.Time
	active              bool
	parsedConfiguration config.Configuration
	parsedVersion       uint64
	planner             *consolidation.Planner
	balancer            *balancing.Balancer
	economyLease        *consensus.Lease
	directives          map[string]membership.Directives
}

// New makes a controller from what its disk held.
func New(settings Settings, frame []byte, entries [][]byte) (*Controller, error) {
	controller := &Controller{
		settings: settings, timeouts: timeoutsFor(settings), state: newState(), timers: statemachine.NewTimers[string](),
		pendingPolls: map[string]pendingPoll{}, sentViews: map[string]sentView{}, lastHeard: map[string]time.Time{}, loads: map[string]membership.Load{},
		suspicions: map[string]map[string]incarnationAt{}, pendingJoins: map[string]Join{}, pendingLeaves: map[string]MemberIncarnation{}, pendingReplicated: map[string]membership.PartitionReplicated{}, slowDisks: map[string]slowDisk{}, unconfirmedReports: map[string]*unconfirmedReport{}, unacknowledged: map[string]unacknowledgedAnswer{},
		directives: map[string]membership.Directives{},
	}
	self := consensus.Controller{Name: settings.Self.Name, Address: settings.Self.Address, Zone: settings.Self.Zone}
	tolerance := DefaultTolerance
	if settings.Tolerance != nil {
		tolerance = *settings.Tolerance
	}
	watch, err := consensus.New(consensus.Settings{
		Self: self, Count: settings.ControllerCount, Seeds: settings.Seeds, Founding: settings.Bootstrap, Tolerance: tolerance, NewDisk: settings.NewDisk, Incarnation: settings.Incarnation,
	}, controller.state, frame, entries)
	if err != nil {
		return nil, err
	}
	controller.node = watch
	controller.economyLease = watch.NewLease("economy")
	controller.planner, controller.balancer = consolidation.New(), balancing.New()
	controller.failureDetector = membership.NewFailureDetector(settings.Self)
	controller.viewClient = membership.NewViewClient(settings.Self, settings.Incarnation, append([]string{settings.Self.Address}, settings.Seeds...), func() membership.Load { return membership.Load{} })
	controller.controlClient = controlclient.New(controlclient.Settings{
		Incarnation: settings.Incarnation, Acknowledge: settings.AcknowledgeTimeout, Upstream: controller.upstream, Next: controller.viewClient.NextController, Relays: controller.viewClient.Relays,
	})
	return controller, nil
}

func (c *Controller) upstream() string {
	if primary, found := c.node.Primary(); found {
		return primary.Address
	}
	return c.viewClient.Upstream()
}

// ConfigurationVersion is the newest configuration version this controller can vouch for.
func (c *Controller) ConfigurationVersion() uint64 { return c.viewClient.Version }

// ViewClient gives the controller's own view, for its ctl.
func (c *Controller) ViewClient() *membership.ViewClient { return c.viewClient }

// Node gives the controller's watch, for its ctl and the simulator's checks.
func (c *Controller) Node() *consensus.Node { return c.node }

// State gives the control state, for the simulator's checks.
func (c *Controller) State() *State { return c.state }

// Ready tells whether this controller does its part.
func (c *Controller) Ready() bool { return !c.node.Blank() }

// SetTolerance takes another tolerance from changed settings.
func (c *Controller) SetTolerance(tolerance int) {
	c.settings.Tolerance = &tolerance
	c.node.SetTolerance(tolerance)
}

// Start begins the controller's work.
func (c *Controller) Start(now time.Time, effects *statemachine.Effects) {
	c.node.Start(now, effects)
	c.failureDetector.Start(now)
	c.viewClient.Start(now)
	c.timers.Arm("tend", now.Add(reconcileInterval))
}

// NextTick is when the controller wants to run again.
func (c *Controller) NextTick() time.Time {
	return statemachine.Earliest(c.node.NextTick(), c.failureDetector.NextTick(), c.viewClient.NextTick(), c.controlClient.NextTick(), c.timers.Next())
}

// Tick runs whatever is due.
func (c *Controller) Tick(now time.Time, effects *statemachine.Effects) {
	c.node.Tick(now, effects)
	c.failureDetector.Tick(now, effects)
	c.viewClient.Tick(now, effects)
	c.controlClient.Tick(now, effects)
	for _, key := range c.timers.Expired(now) {
		if key == "tend" {
			c.reconcile(now, effects)
		}
	}
	c.finishStop(now, effects)
}

// HandleCommand takes what the adapters bring: synced writes and ctl requests.
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

// HandleMessage takes what other daemons say.
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
	case membership.ViewUpdate:
		if taken := c.viewClient.HandleUpdate(now, body); taken.View {
			c.failureDetector.SetView(now, c.viewClient.Members, c.viewClient.Upstream(), c.viewClient.Index)
		}
	case membership.Redirect:
		c.viewClient.HandleRedirect(now, body, effects)
	case membership.Heartbeat:
		c.failureDetector.ReceiveHeartbeat(now, body)
	case membership.Suspicion:
		c.handleSuspicion(now, body)
	case membership.GracefulLeave:
		c.handleGracefulLeave(now, body, effects)
	case membership.PartitionReplicated:
		if c.node.HoldsLease(now) {
			c.pendingReplicated[body.Partition] = body
			c.timers.ArmSooner("tend", now)
		}
	case membership.SlowDiskReport:
		c.handleSlowDiskReport(now, body, effects)
	case membership.ControlRequest:
		c.handleControlRequest(now, meta.From, body, effects)
	case membership.ControlResponse:
		c.handleControlResponse(now, meta.From, body, effects)
	case membership.ConfigurationRequest:
		c.viewClient.RespondToConfigurationRequest(meta.From, body, effects)
	}
}

// Asking and answering.

func (c *Controller) handleViewRequest(now time.Time, from string, ask membership.ViewRequest, effects *statemachine.Effects) {
	if !c.node.Speaking(now) {
		if c.node.IsPrimary() && c.node.HoldsLease(now) {
			return
		}
		effects.Send(from, c.redirect(ask))
		return
	}
	c.beginTerm(now, effects)
	c.recordMember(now, ask)
	hold := membership.LongPollTimeout
	if ask.LowPriority {
		hold = membership.LowPriorityLongPollTimeout
	}
	item := pendingPoll{from: from, request: ask, deadline: now.Add(hold), notBefore: c.viewNotBefore(ask)}
	if item.notBefore.After(now) {
		c.pendingPolls[ask.Self.Name] = item
		c.timers.ArmSooner("tend", item.notBefore)
		return
	}
	if ask.Index != c.state.Index || ask.Version != c.state.Version || ask.Urgent {
		c.respondWithView(now, item, effects)
		return
	}
	c.pendingPolls[ask.Self.Name] = item
	c.timers.ArmSooner("tend", item.deadline)
}

func (c *Controller) redirect(ask membership.ViewRequest) membership.Redirect {
	redirect := membership.Redirect{Recipient: ask.Self.Name, Nonce: ask.Nonce, Epoch: c.node.Record().Epoch}
	if primary, found := c.node.Primary(); found && primary.Name != c.settings.Self.Name {
		redirect.Primary = primary.Address
	}
	for _, known := range c.node.Known() {
		redirect.Controllers = append(redirect.Controllers, known.Address)
	}
	return redirect
}

func (c *Controller) respondWithView(now time.Time, item pendingPoll, effects *statemachine.Effects) {
	c.recordAnswer(now, item.request)
	delete(c.pendingPolls, item.request.Self.Name)
	news := membership.ViewUpdate{
		Recipient: item.request.Self.Name, Nonce: item.request.Nonce, Epoch: c.node.Record().Epoch,
		Primary: c.settings.Self.Address, Index: c.state.Index, Version: c.state.Version,
		Directives: c.directives[item.request.Self.Name],
	}
	if item.request.Version < c.state.Version {
		news.Document = c.state.Document
	}
	if item.request.Index != c.state.Index {
		// Whoever has it from an earlier epoch is told all of it once.
		since := item.request.Index
		if item.request.Epoch != news.Epoch {
			since = 0
		}
		c.state.fillView(&news, since)
		c.recordView(now, item.request)
	}
	effects.SendBefore(item.from, news, c.node.LeaseEnd())
}

// answerPolls answers those that wait, once there is news or their time is up.
func (c *Controller) answerPolls(now time.Time, effects *statemachine.Effects) {
	if len(c.pendingPolls) == 0 || !c.node.Speaking(now) {
		return
	}
	for _, item := range statemachine.Sorted(c.pendingPolls) {
		if item.notBefore.After(now) {
			continue
		}
		if item.request.Index != c.state.Index || !item.deadline.After(now) {
			c.respondWithView(now, item, effects)
		}
	}
}

// recordMember notes what a member says of itself. Incarnations come from wall clocks,
// which may have been set back across a restart: a lower one counts once the higher
// has been silent for a while.
func (c *Controller) recordMember(now time.Time, ask membership.ViewRequest) {
	self := ask.Self
	c.recordAcknowledgement(ask)
	if c.deaf(now, self.Name) {
		return
	}
	known, found := c.state.memberOrTombstone(self.Name)
	if found && self.Incarnation < known.Incarnation && now.Sub(c.lastHeard[known.Name]) <= incarnationTimeout {
		return
	}
	if waiting, joins := c.pendingJoins[self.Name]; joins && self.Incarnation < waiting.Self.Incarnation && now.Sub(c.lastHeard[self.Name]) <= incarnationTimeout {
		return
	}
	c.lastHeard[self.Name] = now
	c.loads[self.Name] = ask.Load
	if found && c.state.joinedMember(self) == known {
		return
	}
	c.pendingJoins[self.Name] = Join{Self: self, Replaces: known.Incarnation}
	delete(c.suspicions, self.Name)
	// Each change goes to everybody: while a fleet starts, many join in one.
	pause := joinBatchDelay
	if now.Sub(c.termStart) < warmupPeriod {
		pause = warmupJoinBatchDelay
	}
	c.timers.ArmSooner("tend", now.Add(pause))
}

func (c *Controller) handleSuspicion(now time.Time, suspicion membership.Suspicion) {
	if !c.node.HoldsLease(now) {
		return
	}
	for _, suspect := range suspicion.Silent {
		table, found := c.suspicions[suspect.Name]
		if !found {
			table = map[string]incarnationAt{}
			c.suspicions[suspect.Name] = table
		}
		table[suspicion.Reporter] = incarnationAt{at: now, incarnation: suspect.Incarnation}
	}
}

func (c *Controller) handleGracefulLeave(now time.Time, farewell membership.GracefulLeave, _ *statemachine.Effects) {
	member, found := c.state.Members[farewell.Name]
	if !c.node.HoldsLease(now) || !found || !member.Alive || member.Incarnation != farewell.Incarnation {
		return
	}
	c.pendingLeaves[member.Name] = MemberIncarnation{Name: member.Name, Incarnation: member.Incarnation}
	c.timers.ArmSooner("tend", now)
}

// ConnectionRefused is told that a daemon's address refuses to be dialled: its process has
// ended, and nobody need wait for its silence.
func (c *Controller) ConnectionRefused(now time.Time, address string, effects *statemachine.Effects) {
	if !c.node.HoldsLease(now) {
		return
	}
	for _, member := range statemachine.Sorted(c.state.Members) {
		_, joins := c.pendingJoins[member.Name]
		if member.Address == address && member.Alive && !joins && member.Name != c.settings.Self.Name {
			c.pendingLeaves[member.Name] = MemberIncarnation{Name: member.Name, Incarnation: member.Incarnation}
			c.timers.ArmSooner("tend", now)
		}
	}
}

// Tending.

func (c *Controller) beginTerm(now time.Time, _ *statemachine.Effects) {
	if c.active {
		return
	}
	c.active, c.termStart, c.commandPending = true, now, false
	c.suspicions = map[string]map[string]incarnationAt{}
	c.pendingJoins, c.pendingLeaves = map[string]Join{}, map[string]MemberIncarnation{}
	c.pendingReplicated = map[string]membership.PartitionReplicated{}
	c.directives = map[string]membership.Directives{}
	// What was reported in an earlier term is of no use any more.
	c.loads = map[string]membership.Load{}
	c.deadSince = map[string]incarnationAt{}
	c.slowDisks, c.unconfirmedReports = map[string]slowDisk{}, map[string]*unconfirmedReport{}
	c.unacknowledged = map[string]unacknowledgedAnswer{}
	for name, member := range c.state.Members {
		c.lastHeard[name] = now
		if member.Degraded {
			c.slowDisks[name] = slowDisk{at: now, incarnation: member.Incarnation}
		}
	}
}

func (c *Controller) handleSlowDiskReport(now time.Time, told membership.SlowDiskReport, effects *statemachine.Effects) {
	if !c.node.HoldsLease(now) || !c.mayReportDiskOf(told.Reporter, told.Name) && !statemachine.Mutated("any-reporter") {
		return
	}
	if told.Sure {
		c.confirmSlowDisk(now, told)
		return
	}
	// Links lag too, and between two stores either end may be at fault: then a
	// word counts if the store does not answer the primary either, or if it goes on
	// for long and not more is said of who says so.
	present, found := c.unconfirmedReports[told.Name]
	if !found || present.report.Incarnation != told.Incarnation || now.Sub(present.since) > slowDiskTimeout {
		present = &unconfirmedReport{since: now, reporters: map[string]time.Time{}}
		c.unconfirmedReports[told.Name] = present
		if waiting, holds := c.pendingPolls[told.Name]; holds {
			c.respondWithView(now, waiting, effects)
		}
	}
	present.report, present.reporters[told.Reporter] = told, now
	others := 0
	if reporter, doubted := c.unconfirmedReports[told.Reporter]; doubted {
		others = len(reporter.reporters)
	}
	if told.Delay > longDiskDelay && len(present.reporters) > others {
		c.confirmSlowDisk(now, told)
		return
	}
	c.timers.ArmSooner("tend", now.Add(unconfirmedTimeout))
}

// mayReportDiskOf tells whether a store may speak of another's disk: it is alive, and first
// for a partition that the other follows; or it speaks of its own. One that was cut
// off goes by an old view until it has heard the news, and what it waits for from
// there is no fault of the other.
func (c *Controller) mayReportDiskOf(reporter, name string) bool {
	if reporter == name {
		return true
	}
	if !c.state.Members[reporter].Alive {
		return false
	}
	for _, place := range c.state.Placements {
		if place.Leader == reporter && slices.Contains(place.Followers, name) {
			return true
		}
	}
	return false
}

// unconfirmedReport is what one store said of another's disk.
type unconfirmedReport struct {
	since     time.Time
	report    membership.SlowDiskReport
	reporters map[string]time.Time
}

func (c *Controller) confirmSlowDisk(now time.Time, told membership.SlowDiskReport) {
	delete(c.unconfirmedReports, told.Name)
	c.slowDisks[told.Name] = slowDisk{at: now, incarnation: told.Incarnation, delay: told.Delay}
	if !c.state.Members[told.Name].Degraded {
		c.timers.ArmSooner("tend", now)
	}
}

// resolveUnconfirmed believes what was said of stores that have not answered since.
func (c *Controller) resolveUnconfirmed(now time.Time) {
	for name, present := range statemachine.Sorted(c.unconfirmedReports) {
		switch {
		case now.Sub(present.since) > slowDiskTimeout:
			delete(c.unconfirmedReports, name)
		case now.Sub(present.since) >= unconfirmedTimeout && c.lastHeard[name].Before(present.since):
			c.confirmSlowDisk(now, present.report)
		}
	}
}

// degradationChanges lists the stores that begin or cease to be taken for degraded.
func (c *Controller) degradationChanges(now time.Time, effects *statemachine.Effects) []Degradation {
	c.resolveUnconfirmed(now)
	changed := c.state.planDegradations(now, c.slowDisks)
	for _, change := range changed {
		if change.Degraded {
			effects.Emit(logevent.StoreDegraded, "store", change.Name, "delay", c.slowDisks[change.Name].delay.String())
		} else {
			effects.Emit(logevent.StoreRecovered, "store", change.Name)
		}
	}
	return changed
}

func (c *Controller) endTerm(_ time.Time, effects *statemachine.Effects) {
	c.active, c.commandPending = false, false
	clear(c.sentViews)
	for name, item := range statemachine.Sorted(c.pendingPolls) {
		delete(c.pendingPolls, name)
		effects.Send(item.from, c.redirect(item.request))
	}
}

func (c *Controller) configuration() config.Configuration {
	if c.parsedVersion != c.state.Version {
		c.parsedConfiguration, _ = config.Read(c.state.Document)
		c.parsedVersion = c.state.Version
	}
	return c.parsedConfiguration
}

func (c *Controller) reconcile(now time.Time, effects *statemachine.Effects) {
	if !c.node.HoldsLease(now) {
		if c.active {
			c.endTerm(now, effects)
		}
		c.timers.Arm("tend", now.Add(standbyInterval))
		return
	}
	c.timers.Arm("tend", now.Add(reconcileInterval))
	c.beginTerm(now, effects)
	c.answerPolls(now, effects)
	if c.commandPending || !c.node.Serving(now) {
		return
	}
	command := Command{}
	for _, departure := range statemachine.Sorted(c.pendingLeaves) {
		command.Leaves = append(command.Leaves, departure)
		effects.Emit(logevent.MemberLost, "member", departure.Name, "why", "its process ended")
	}
	for _, join := range statemachine.Sorted(c.pendingJoins) {
		command.Joins = append(command.Joins, join)
		effects.Emit(logevent.MemberJoined, "member", join.Self.Name, "kind", join.Self.Kind, "zone", join.Self.Zone)
	}
	c.pendingJoins, c.pendingLeaves = map[string]Join{}, map[string]MemberIncarnation{}
	command.Leaves = append(command.Leaves, c.failedMembers(now, effects)...)
	command.RetiredStores = c.drainedStores(effects)
	if command.empty() {
		command.Degradations = c.degradationChanges(now, effects)
	}
	for partition, settled := range statemachine.Sorted(c.pendingReplicated) {
		place, found := c.state.Placements[partition]
		if found && place.Epoch == settled.Epoch && !place.Complete {
			command.Replicated = append(command.Replicated, settled)
			effects.Emit(logevent.PlacementReplicated, "partition", partition, "epoch", settled.Epoch)
		}
	}
	c.pendingReplicated = map[string]membership.PartitionReplicated{}
	if wanted := c.settings.Tolerance; wanted != nil && *wanted != c.state.Tolerance {
		command.Tolerance = wanted
	}
	if command.empty() {
		c.dropUnknownMembers(now)
		command.Removals = c.removableMembers(now)
		for _, departure := range command.Removals {
			effects.Emit(logevent.MemberRemoved, "member", departure.Name)
		}
	}
	if command.empty() {
		command.Placements = c.state.planPlacements(c.configuration())
		if now.Sub(c.termStart) <= warmupPeriod/3 {
			// New partitions wait until the stores that come back were heard; one
			// whose holder came back with another disk does not.
			command.Placements = slices.DeleteFunc(command.Placements, func(next membership.Placement) bool {
				_, placed := c.state.Placements[next.Partition]
				return !placed
			})
		}
		for _, place := range command.Placements {
			effects.Emit(logevent.PlacementChanged, "partition", place.Partition, "epoch", place.Epoch, "first", place.Leader, "followers", strings.Join(place.Followers, " "))
		}
	}
	if !command.empty() {
		c.submit(now, command, effects)
		return
	}
	c.runEconomy(now, effects)
}

func (c *Controller) submit(now time.Time, command Command, effects *statemachine.Effects) {
	c.commandPending = true
	c.node.Submit(now, encodeCommand(command), c.timeouts.command, func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		c.commandPending = false
		if outcome == consensus.Committed {
			c.answerPolls(now, effects)
			c.timers.ArmSooner("tend", now.Add(10*time.Millisecond))
		}
	}, effects)
}

// failedMembers lists the members that enough watchers no longer hear.
func (c *Controller) failedMembers(now time.Time, effects *statemachine.Effects) []MemberIncarnation {
	var gone []MemberIncarnation
	for name, reporters := range statemachine.Sorted(c.suspicions) {
		member, found := c.state.Members[name]
		if !found || !member.Alive {
			delete(c.suspicions, name)
			continue
		}
		fresh := 0
		for reporter, report := range statemachine.Sorted(reporters) {
			if now.Sub(report.at) > suspicionTimeout || report.incarnation != member.Incarnation {
				delete(reporters, reporter)
				continue
			}
			fresh++
		}
		unheard := now.Sub(c.lastHeard[name])
		limit, unasked := c.timeouts.suspicion, c.timeouts.suspicion/2
		if member.Resting {
			limit += membership.LowPriorityLongPollTimeout
		}
		if member.Kind == membership.KindStore {
			unasked = storeSuspicionTimeout
		}
		// Watchers alone can be misled by the links between them and a member;
		// one that still asks the primary itself is not taken for lost on two
		// reports, but on all of them.
		if fresh >= 2 && unheard > unasked || fresh >= 1 && unheard > limit || fresh >= membership.Watchers {
			gone = append(gone, MemberIncarnation{Name: name, Incarnation: member.Incarnation})
			delete(c.suspicions, name)
			effects.Emit(logevent.MemberLost, "member", name, "reporters", fresh, "unheard", unheard.String())
		}
	}
	for name, member := range statemachine.Sorted(c.state.Members) {
		// A daemon that is heard by its watchers and yet follows nothing acts on
		// an old view: to the others it is as good as lost.
		limit := c.timeouts.silence
		if member.Resting {
			limit += membership.LowPriorityLongPollTimeout
		}
		if unheard := now.Sub(c.lastHeard[name]); member.Alive && (unheard > limit || c.deaf(now, name)) && !slices.ContainsFunc(gone, func(other MemberIncarnation) bool { return other.Name == name }) {
			gone = append(gone, MemberIncarnation{Name: name, Incarnation: member.Incarnation})
			why := "does not follow"
			if c.deaf(now, name) {
				why = "hears no answer"
			}
			effects.Emit(logevent.MemberLost, "member", name, "why", why, "unheard", unheard.String())
		}
	}
	return gone
}

// drainedStores lists the stores to be retired that nothing refers to any more.
func (c *Controller) drainedStores(effects *statemachine.Effects) []string {
	var done []string
	for name, member := range statemachine.Sorted(c.state.Members) {
		if member.Kind == membership.KindStore && member.Retiring && !member.Retired && !c.state.storeInUse(name) {
			done = append(done, name)
			effects.Emit(logevent.StoreRetired, "store", name)
		}
	}
	return done
}
