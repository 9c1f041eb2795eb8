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
	suspicionFresh = 1200 * time.Millisecond
	storeUnheard   = 700 * time.Millisecond
	tendEvery      = 200 * time.Millisecond
	idleEvery      = 500 * time.Millisecond
	settleFor      = 3 * time.Second
	succeedsAfter  = 1200 * time.Millisecond
	doubtFor       = 300 * time.Millisecond
	doubtLong      = time.Second
	joinPause      = 20 * time.Millisecond
	youngPause     = 100 * time.Millisecond
)

// Settings are a controller daemon's settings; see watchbill.Settings.
type Settings struct {
	Self     membership.Member
	Count    int
	Seeds    []string
	Founding bool
	NewDisk  string
	// Incarnation names this run of the process.
	Incarnation statemachine.Incarnation
	// Highest answers a configuration that is not above the one held as taken;
	// otherwise it is a conflict, unless it is the same.
	Highest bool
	// Acknowledge is within what time a proper order is to be acknowledged.
	Acknowledge time.Duration
	// Contact is within what time a daemon is in touch again.
	Contact time.Duration
	// Tolerance, if given, is how many machines with a disk may be lost at once.
	Tolerance *int
	// Grace is for how long a daemon that was asked to end is let run.
	Grace time.Duration
}

// Request is an operator's request at this daemon's own ctl.
type Request struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

type held struct {
	from  string
	ask   membership.ViewRequest
	limit time.Time
	// after is when it may be answered with a view, if not yet.
	after time.Time
}

type reported struct {
	at          time.Time
	incarnation uint64
}

// Controller is the state machine.
type Controller struct {
	settings      Settings
	spans         spans
	state         *State
	node          *consensus.Node
	pulse         *membership.FailureDetector
	follower      *membership.ViewClient
	controlClient *controlclient.ControlClient
	timers        *statemachine.Timers[string]
	held          map[string]held
	views         map[string]sentView
	heard         map[string]time.Time
	loads         map[string]membership.Load
	suspected     map[string]map[string]reported
	joining       map[string]Join
	leaving       map[string]Departure
	complete      map[string]membership.PartitionReplicated
	lags          map[string]lag
	dead          map[string]reported
	doubts        map[string]*doubt
	answers       map[string]answered
	busy          bool
	stopBy        time.Time
	began         time.Time
	acting        bool
	parsed        config.Configuration
	parsedAt      uint64
	economist     *consolidation.Economist
	balancer      *balancing.Balancer
	lease         *consensus.RoleLease
	orders        map[string]membership.Directives
}

// New makes a controller from what its disk held.
func New(settings Settings, frame []byte, entries [][]byte) (*Controller, error) {
	controller := &Controller{
		settings: settings, spans: spansOf(settings), state: newState(), timers: statemachine.NewTimers[string](),
		held: map[string]held{}, views: map[string]sentView{}, heard: map[string]time.Time{}, loads: map[string]membership.Load{},
		suspected: map[string]map[string]reported{}, joining: map[string]Join{}, leaving: map[string]Departure{}, complete: map[string]membership.PartitionReplicated{}, lags: map[string]lag{}, doubts: map[string]*doubt{}, answers: map[string]answered{},
		orders: map[string]membership.Directives{},
	}
	self := consensus.Controller{Name: settings.Self.Name, Address: settings.Self.Address, Zone: settings.Self.Zone}
	tolerance := DefaultTolerance
	if settings.Tolerance != nil {
		tolerance = *settings.Tolerance
	}
	watch, err := consensus.New(consensus.Settings{
		Self: self, ClusterSize: settings.Count, Seeds: settings.Seeds, Founding: settings.Founding, Tolerance: tolerance, NewDiskID: settings.NewDisk, Incarnation: settings.Incarnation,
	}, controller.state, frame, entries)
	if err != nil {
		return nil, err
	}
	controller.node = watch
	controller.lease = watch.NewRoleLease("economy")
	controller.economist, controller.balancer = consolidation.New(), balancing.New()
	controller.pulse = membership.NewFailureDetector(settings.Self)
	controller.follower = membership.NewViewClient(settings.Self, settings.Incarnation, append([]string{settings.Self.Address}, settings.Seeds...), func() membership.Load { return membership.Load{} })
	controller.controlClient = controlclient.New(controlclient.Settings{
		Incarnation: settings.Incarnation, Acknowledge: settings.Acknowledge, Upstream: controller.upstream, Next: controller.follower.NextController, Relays: controller.follower.Relays,
	})
	return controller, nil
}

func (c *Controller) upstream() string {
	if primary, found := c.node.Primary(); found {
		return primary.Address
	}
	return c.follower.Upstream()
}

// ConfigurationVersion is the newest configuration version this controller can vouch for.
func (c *Controller) ConfigurationVersion() uint64 { return c.follower.Version }

// ViewClient gives the controller's own view, for its ctl.
func (c *Controller) ViewClient() *membership.ViewClient { return c.follower }

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
	c.pulse.Start(now)
	c.follower.Start(now)
	c.timers.Arm("tend", now.Add(tendEvery))
}

// NextTick is when the controller wants to run again.
func (c *Controller) NextTick() time.Time {
	return statemachine.Earliest(c.node.NextTick(), c.pulse.NextTick(), c.follower.NextTick(), c.controlClient.NextTick(), c.timers.Next())
}

// Tick runs whatever is due.
func (c *Controller) Tick(now time.Time, effects *statemachine.Effects) {
	c.node.Tick(now, effects)
	c.pulse.Tick(now, effects)
	c.follower.Tick(now, effects)
	c.controlClient.Tick(now, effects)
	for _, key := range c.timers.Expired(now) {
		if key == "tend" {
			c.tend(now, effects)
		}
	}
	c.endStop(now, effects)
}

// HandleCommand takes what the adapters bring: synced writes and ctl requests.
func (c *Controller) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case statemachine.Synced:
		c.node.Synced(now, body.Token, effects)
		c.answerNews(now, effects)
	case Request:
		c.controlClient.Forward(now, body.Local, body.Method, body.Path, body.Body, effects)
	case Stop:
		c.beginStop(now, effects)
	}
	c.endStop(now, effects)
}

// HandleMessage takes what other daemons say.
func (c *Controller) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	if meta.From != c.settings.Self.Address {
		c.pulse.ReceiveFromPeer(now)
	}
	if c.node.HandleMessage(now, meta, message, effects) {
		c.answerNews(now, effects)
		c.endStop(now, effects)
		return
	}
	switch body := message.(type) {
	case membership.ViewRequest:
		c.onAsk(now, meta.From, body, effects)
	case membership.ViewUpdate:
		if taken := c.follower.HandleUpdate(now, body); taken.View {
			c.pulse.SetView(now, c.follower.Members, c.follower.Index)
		}
	case membership.Redirect:
		c.follower.HandleRedirect(now, body, effects)
	case membership.Heartbeat:
		c.pulse.ReceiveHeartbeat(now, body)
	case membership.Suspicion:
		c.onSuspicion(now, body)
	case membership.GracefulLeave:
		c.onFarewell(now, body, effects)
	case membership.PartitionReplicated:
		if c.node.HoldsLease(now) {
			c.complete[body.Partition] = body
			c.timers.ArmSooner("tend", now)
		}
	case membership.SlowDiskReport:
		c.onLagging(now, body, effects)
	case membership.ControlRequest:
		c.onControl(now, meta.From, body, effects)
	case membership.ControlResponse:
		c.takeAnswer(now, meta.From, body, effects)
	case membership.ConfigurationRequest:
		c.follower.RespondToConfigurationRequest(meta.From, body, effects)
	}
}

// Asking and answering.

func (c *Controller) onAsk(now time.Time, from string, ask membership.ViewRequest, effects *statemachine.Effects) {
	if !c.node.CanServeReads(now) {
		if c.node.IsPrimary() && c.node.HoldsLease(now) {
			return
		}
		effects.Send(from, c.redirect(ask))
		return
	}
	c.beginActing(now, effects)
	c.noteMember(now, ask)
	hold := membership.LongPollTimeout
	if ask.LowPriority {
		hold = membership.LowPriorityLongPollTimeout
	}
	item := held{from: from, ask: ask, limit: now.Add(hold), after: c.viewDue(ask)}
	if item.after.After(now) {
		c.held[ask.Self.Name] = item
		c.timers.ArmSooner("tend", item.after)
		return
	}
	if ask.Index != c.state.Index || ask.Version != c.state.Version || ask.Urgent {
		c.give(now, item, effects)
		return
	}
	c.held[ask.Self.Name] = item
	c.timers.ArmSooner("tend", item.limit)
}

func (c *Controller) redirect(ask membership.ViewRequest) membership.Redirect {
	redirect := membership.Redirect{Recipient: ask.Self.Name, Nonce: ask.Nonce, Epoch: c.node.Record().Epoch}
	if primary, found := c.node.Primary(); found && primary.Name != c.settings.Self.Name {
		redirect.Primary = primary.Address
	}
	for _, known := range c.node.KnownControllers() {
		redirect.Controllers = append(redirect.Controllers, known.Address)
	}
	return redirect
}

func (c *Controller) give(now time.Time, item held, effects *statemachine.Effects) {
	c.noteAnswer(now, item.ask)
	delete(c.held, item.ask.Self.Name)
	news := membership.ViewUpdate{
		Recipient: item.ask.Self.Name, Nonce: item.ask.Nonce, Epoch: c.node.Record().Epoch,
		Primary: c.settings.Self.Address, Index: c.state.Index, Version: c.state.Version,
		Directives: c.orders[item.ask.Self.Name],
	}
	if item.ask.Version < c.state.Version {
		news.Document = c.state.Document
	}
	if item.ask.Index != c.state.Index {
		// Whoever has it from an earlier epoch is told all of it once.
		since := item.ask.Index
		if item.ask.Epoch != news.Epoch {
			since = 0
		}
		c.state.view(&news, since)
		c.noteView(now, item.ask)
	}
	effects.SendBefore(item.from, news, c.node.LeaseEnd())
}

// answerNews answers those that wait, once there is news or their time is up.
func (c *Controller) answerNews(now time.Time, effects *statemachine.Effects) {
	if len(c.held) == 0 || !c.node.CanServeReads(now) {
		return
	}
	for _, item := range statemachine.Sorted(c.held) {
		if item.after.After(now) {
			continue
		}
		if item.ask.Index != c.state.Index || !item.limit.After(now) {
			c.give(now, item, effects)
		}
	}
}

// noteMember notes what a member says of itself. Incarnations come from wall clocks,
// which may have been set back across a restart: a lower one counts once the higher
// has been silent for a while.
func (c *Controller) noteMember(now time.Time, ask membership.ViewRequest) {
	self := ask.Self
	c.noteHeard(ask)
	if c.deaf(now, self.Name) {
		return
	}
	known, found := c.state.member(self.Name)
	if found && self.Incarnation < known.Incarnation && now.Sub(c.heard[known.Name]) <= succeedsAfter {
		return
	}
	if waiting, joins := c.joining[self.Name]; joins && self.Incarnation < waiting.Self.Incarnation && now.Sub(c.heard[self.Name]) <= succeedsAfter {
		return
	}
	c.heard[self.Name] = now
	c.loads[self.Name] = ask.Load
	if found && c.state.joined(self) == known {
		return
	}
	c.joining[self.Name] = Join{Self: self, Over: known.Incarnation}
	delete(c.suspected, self.Name)
	// Each change goes to everybody: while a fleet starts, many join in one.
	pause := joinPause
	if now.Sub(c.began) < settleFor {
		pause = youngPause
	}
	c.timers.ArmSooner("tend", now.Add(pause))
}

func (c *Controller) onSuspicion(now time.Time, suspicion membership.Suspicion) {
	if !c.node.HoldsLease(now) {
		return
	}
	for _, suspect := range suspicion.Silent {
		table, found := c.suspected[suspect.Name]
		if !found {
			table = map[string]reported{}
			c.suspected[suspect.Name] = table
		}
		table[suspicion.Reporter] = reported{at: now, incarnation: suspect.Incarnation}
	}
}

func (c *Controller) onFarewell(now time.Time, farewell membership.GracefulLeave, _ *statemachine.Effects) {
	member, found := c.state.Members[farewell.Name]
	if !c.node.HoldsLease(now) || !found || !member.Alive || member.Incarnation != farewell.Incarnation {
		return
	}
	c.leaving[member.Name] = Departure{Name: member.Name, Incarnation: member.Incarnation}
	c.timers.ArmSooner("tend", now)
}

// ConnectionRefused is told that a daemon's address refuses to be dialled: its process has
// ended, and nobody need wait for its silence.
func (c *Controller) ConnectionRefused(now time.Time, address string, effects *statemachine.Effects) {
	if !c.node.HoldsLease(now) {
		return
	}
	for _, member := range statemachine.Sorted(c.state.Members) {
		_, joins := c.joining[member.Name]
		if member.Address == address && member.Alive && !joins && member.Name != c.settings.Self.Name {
			c.leaving[member.Name] = Departure{Name: member.Name, Incarnation: member.Incarnation}
			c.timers.ArmSooner("tend", now)
		}
	}
}

// Tending.

func (c *Controller) beginActing(now time.Time, _ *statemachine.Effects) {
	if c.acting {
		return
	}
	c.acting, c.began, c.busy = true, now, false
	c.suspected = map[string]map[string]reported{}
	c.joining, c.leaving = map[string]Join{}, map[string]Departure{}
	c.complete = map[string]membership.PartitionReplicated{}
	c.orders = map[string]membership.Directives{}
	// What was reported in an earlier term is of no use any more.
	c.loads = map[string]membership.Load{}
	c.dead = map[string]reported{}
	c.lags, c.doubts = map[string]lag{}, map[string]*doubt{}
	c.answers = map[string]answered{}
	for name, member := range c.state.Members {
		c.heard[name] = now
		if member.Degraded {
			c.lags[name] = lag{at: now, incarnation: member.Incarnation}
		}
	}
}

func (c *Controller) onLagging(now time.Time, told membership.SlowDiskReport, effects *statemachine.Effects) {
	if !c.node.HoldsLease(now) || !c.copiesTo(told.Reporter, told.Name) && !statemachine.Mutated("any-reporter") {
		return
	}
	if told.Measured {
		c.believe(now, told)
		return
	}
	// Links lag too, and between two stores either end may be at fault: then a
	// word counts if the store does not answer the primary either, or if it goes on
	// for long and not more is said of who says so.
	present, found := c.doubts[told.Name]
	if !found || present.told.Incarnation != told.Incarnation || now.Sub(present.since) > laggingFresh {
		present = &doubt{since: now, reporters: map[string]time.Time{}}
		c.doubts[told.Name] = present
		if waiting, holds := c.held[told.Name]; holds {
			c.give(now, waiting, effects)
		}
	}
	present.told, present.reporters[told.Reporter] = told, now
	others := 0
	if reporter, doubted := c.doubts[told.Reporter]; doubted {
		others = len(reporter.reporters)
	}
	if told.Delay > doubtLong && len(present.reporters) > others {
		c.believe(now, told)
		return
	}
	c.timers.ArmSooner("tend", now.Add(doubtFor))
}

// copiesTo tells whether a store may speak of another's disk: it is alive, and first
// for a partition that the other follows; or it speaks of its own. One that was cut
// off goes by an old view until it has heard the news, and what it waits for from
// there is no fault of the other.
func (c *Controller) copiesTo(reporter, name string) bool {
	if reporter == name {
		return true
	}
	if !c.state.Members[reporter].Alive {
		return false
	}
	for _, place := range c.state.Places {
		if place.Leader == reporter && slices.Contains(place.Followers, name) {
			return true
		}
	}
	return false
}

// doubt is what one store said of another's disk.
type doubt struct {
	since     time.Time
	told      membership.SlowDiskReport
	reporters map[string]time.Time
}

func (c *Controller) believe(now time.Time, told membership.SlowDiskReport) {
	delete(c.doubts, told.Name)
	c.lags[told.Name] = lag{at: now, incarnation: told.Incarnation, delay: told.Delay}
	if !c.state.Members[told.Name].Degraded {
		c.timers.ArmSooner("tend", now)
	}
}

// settleDoubts believes what was said of stores that have not answered since.
func (c *Controller) settleDoubts(now time.Time) {
	for name, present := range statemachine.Sorted(c.doubts) {
		switch {
		case now.Sub(present.since) > laggingFresh:
			delete(c.doubts, name)
		case now.Sub(present.since) >= doubtFor && c.heard[name].Before(present.since):
			c.believe(now, present.told)
		}
	}
}

// degradations lists the stores that begin or cease to be taken for degraded.
func (c *Controller) degradations(now time.Time, effects *statemachine.Effects) []Degradation {
	c.settleDoubts(now)
	changed := c.state.degradations(now, c.lags)
	for _, change := range changed {
		if change.Degraded {
			effects.Emit(logevent.StoreDegraded, "store", change.Name, "delay", c.lags[change.Name].delay.String())
		} else {
			effects.Emit(logevent.StoreRecovered, "store", change.Name)
		}
	}
	return changed
}

func (c *Controller) stopActing(_ time.Time, effects *statemachine.Effects) {
	c.acting, c.busy = false, false
	clear(c.views)
	for name, item := range statemachine.Sorted(c.held) {
		delete(c.held, name)
		effects.Send(item.from, c.redirect(item.ask))
	}
}

func (c *Controller) configuration() config.Configuration {
	if c.parsedAt != c.state.Version {
		c.parsed, _ = config.Read(c.state.Document)
		c.parsedAt = c.state.Version
	}
	return c.parsed
}

func (c *Controller) tend(now time.Time, effects *statemachine.Effects) {
	if !c.node.HoldsLease(now) {
		if c.acting {
			c.stopActing(now, effects)
		}
		c.timers.Arm("tend", now.Add(idleEvery))
		return
	}
	c.timers.Arm("tend", now.Add(tendEvery))
	c.beginActing(now, effects)
	c.answerNews(now, effects)
	if c.busy || !c.node.Serving(now) {
		return
	}
	command := Command{}
	for _, departure := range statemachine.Sorted(c.leaving) {
		command.Departures = append(command.Departures, departure)
		effects.Emit(logevent.MemberLost, "member", departure.Name, "why", "its process ended")
	}
	for _, join := range statemachine.Sorted(c.joining) {
		command.Joins = append(command.Joins, join)
		effects.Emit(logevent.MemberJoined, "member", join.Self.Name, "kind", join.Self.Kind, "zone", join.Self.Zone)
	}
	c.joining, c.leaving = map[string]Join{}, map[string]Departure{}
	command.Departures = append(command.Departures, c.lost(now, effects)...)
	command.Emptied = c.emptied(effects)
	if command.empty() {
		command.Degradations = c.degradations(now, effects)
	}
	for partition, settled := range statemachine.Sorted(c.complete) {
		place, found := c.state.Places[partition]
		if found && place.Epoch == settled.Epoch && !place.Complete {
			command.Settled = append(command.Settled, settled)
			effects.Emit(logevent.PlacementReplicated, "partition", partition, "epoch", settled.Epoch)
		}
	}
	c.complete = map[string]membership.PartitionReplicated{}
	if wanted := c.settings.Tolerance; wanted != nil && *wanted != c.state.Tolerance {
		command.Tolerance = wanted
	}
	if command.empty() {
		c.forgetStrangers(now)
		command.Forgotten = c.forgettable(now)
		for _, departure := range command.Forgotten {
			effects.Emit(logevent.MemberRemoved, "member", departure.Name)
		}
	}
	if command.empty() {
		command.Places = c.state.plan(c.configuration())
		if now.Sub(c.began) <= settleFor/3 {
			// New partitions wait until the stores that come back were heard; one
			// whose holder came back with another disk does not.
			command.Places = slices.DeleteFunc(command.Places, func(next membership.Placement) bool {
				_, placed := c.state.Places[next.Partition]
				return !placed
			})
		}
		for _, place := range command.Places {
			effects.Emit(logevent.PlacementChanged, "partition", place.Partition, "epoch", place.Epoch, "first", place.Leader, "followers", strings.Join(place.Followers, " "))
		}
	}
	if !command.empty() {
		c.submit(now, command, effects)
		return
	}
	c.economize(now, effects)
}

func (c *Controller) submit(now time.Time, command Command, effects *statemachine.Effects) {
	c.busy = true
	c.node.Submit(now, mustPack(command), c.spans.command, func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		c.busy = false
		if outcome == consensus.Committed {
			c.answerNews(now, effects)
			c.timers.ArmSooner("tend", now.Add(10*time.Millisecond))
		}
	}, effects)
}

// lost lists the members that enough watchers no longer hear.
func (c *Controller) lost(now time.Time, effects *statemachine.Effects) []Departure {
	var gone []Departure
	for name, reporters := range statemachine.Sorted(c.suspected) {
		member, found := c.state.Members[name]
		if !found || !member.Alive {
			delete(c.suspected, name)
			continue
		}
		fresh := 0
		for reporter, report := range statemachine.Sorted(reporters) {
			if now.Sub(report.at) > suspicionFresh || report.incarnation != member.Incarnation {
				delete(reporters, reporter)
				continue
			}
			fresh++
		}
		unheard := now.Sub(c.heard[name])
		limit, unasked := c.spans.unheard, c.spans.unheard/2
		if member.Resting {
			limit += membership.LowPriorityLongPollTimeout
		}
		if member.Kind == membership.KindStore {
			unasked = storeUnheard
		}
		// Watchers alone can be misled by the links between them and a member;
		// one that still asks the primary itself is not taken for lost on two
		// reports, but on all of them.
		if fresh >= 2 && unheard > unasked || fresh >= 1 && unheard > limit || fresh >= membership.Watchers {
			gone = append(gone, Departure{Name: name, Incarnation: member.Incarnation})
			delete(c.suspected, name)
			effects.Emit(logevent.MemberLost, "member", name, "reporters", fresh, "unheard", unheard.String())
		}
	}
	for name, member := range statemachine.Sorted(c.state.Members) {
		// A daemon that is heard by its watchers and yet follows nothing acts on
		// an old view: to the others it is as good as lost.
		limit := c.spans.following
		if member.Resting {
			limit += membership.LowPriorityLongPollTimeout
		}
		if unheard := now.Sub(c.heard[name]); member.Alive && (unheard > limit || c.deaf(now, name)) && !slices.ContainsFunc(gone, func(other Departure) bool { return other.Name == name }) {
			gone = append(gone, Departure{Name: name, Incarnation: member.Incarnation})
			why := "does not follow"
			if c.deaf(now, name) {
				why = "hears no answer"
			}
			effects.Emit(logevent.MemberLost, "member", name, "why", why, "unheard", unheard.String())
		}
	}
	return gone
}

// emptied lists the stores to be retired that nothing refers to any more.
func (c *Controller) emptied(effects *statemachine.Effects) []string {
	var done []string
	for name, member := range statemachine.Sorted(c.state.Members) {
		if member.Kind == membership.KindStore && member.Retiring && !member.Retired && !c.state.refers(name) {
			done = append(done, name)
			effects.Emit(logevent.StoreRetired, "store", name)
		}
	}
	return done
}
