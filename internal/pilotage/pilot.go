// A Pilot is the coordinator daemon's state machine. It lives on a watch bill
// (who is primary, what two disks hold) and, while it is primary, it takes
// configurations, keeps the cohort's view, places strands and answers the
// daemons that ask with the version they have. It acts only under its tenure,
// which it checks at each step, so that a pilot that was frozen does nothing
// when it wakes after its successor has begun.
package pilotage

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/cutter"
	"dahlialock/internal/economy"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/watchbill"
)

// Spans of the primary's work.
const (
	suspicionFresh = 1200 * time.Millisecond
	unheardFrom    = 2 * time.Second
	keeperUnheard  = 700 * time.Millisecond
	tendEvery      = 200 * time.Millisecond
	idleEvery      = 500 * time.Millisecond
	commandLimit   = 2 * time.Second
	settleFor      = 3 * time.Second
	succeedsAfter  = 1200 * time.Millisecond
	followingFor   = 5 * time.Second
	doubtFor       = 300 * time.Millisecond
	doubtLong      = time.Second
	joinPause      = 20 * time.Millisecond
	youngPause     = 100 * time.Millisecond
)

// Props are a pilot daemon's settings; see watchbill.Props.
type Props struct {
	Self     beacon.Member
	Count    int
	Seeds    []string
	Founding bool
	NewDisk  string
	// Highest answers a configuration that is not above the one held as taken;
	// otherwise it is a conflict, unless it is the same.
	Highest bool
	// Tolerance, if given, is how many machines with a disk may be lost at once.
	Tolerance *int
}

// Visit is an operator's request at this daemon's own ctl.
type Visit struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

type held struct {
	from  string
	ask   beacon.Ask
	limit time.Time
}

type reported struct {
	at          time.Time
	incarnation uint64
}

// Pilot is the state machine.
type Pilot struct {
	props     Props
	state     *State
	watch     *watchbill.Watch
	pulse     *beacon.Pulse
	follower  *beacon.Follower
	cutter    *cutter.Cutter
	timers    *helm.Timers
	held      map[string]held
	heard     map[string]time.Time
	loads     map[string]beacon.Load
	suspected map[string]map[string]reported
	joining   map[string]beacon.Member
	complete  map[string]beacon.StrandComplete
	lags      map[string]lag
	doubts    map[string]*doubt
	busy      bool
	began     time.Time
	acting    bool
	parsed    chart.Configuration
	parsedAt  uint64
	economist *economy.Economist
	tenure    *watchbill.Tenure
	orders    map[string]beacon.Orders
}

// New makes a pilot from what its disk held.
func New(props Props, frame []byte, entries [][]byte) (*Pilot, error) {
	pilot := &Pilot{
		props: props, state: newState(), timers: helm.NewTimers(),
		held: map[string]held{}, heard: map[string]time.Time{}, loads: map[string]beacon.Load{},
		suspected: map[string]map[string]reported{}, joining: map[string]beacon.Member{}, complete: map[string]beacon.StrandComplete{}, lags: map[string]lag{}, doubts: map[string]*doubt{},
		orders: map[string]beacon.Orders{},
	}
	self := watchbill.Pilot{Name: props.Self.Name, Address: props.Self.Address, Locality: props.Self.Locality}
	tolerance := DefaultTolerance
	if props.Tolerance != nil {
		tolerance = *props.Tolerance
	}
	watch, fault := watchbill.New(watchbill.Props{
		Self: self, Count: props.Count, Seeds: props.Seeds, Founding: props.Founding, Tolerance: tolerance, NewDisk: props.NewDisk,
	}, pilot.state, frame, entries)
	if fault != nil {
		return nil, fault
	}
	pilot.watch = watch
	pilot.tenure = watch.NewTenure("economy")
	pilot.economist = economy.New()
	pilot.pulse = beacon.NewPulse(props.Self)
	pilot.follower = beacon.NewFollower(props.Self, append([]string{props.Self.Address}, props.Seeds...), func() beacon.Load { return beacon.Load{} })
	pilot.cutter = cutter.New(pilot.upstream, pilot.follower.Other)
	return pilot, nil
}

func (pilot *Pilot) upstream() string {
	if primary, found := pilot.watch.Primary(); found {
		return primary.Address
	}
	return pilot.follower.Upstream()
}

// Version is the newest configuration version this pilot can vouch for.
func (pilot *Pilot) Version() uint64 { return pilot.follower.Version }

// Follower gives the pilot's own view, for its ctl.
func (pilot *Pilot) Follower() *beacon.Follower { return pilot.follower }

// Watch gives the pilot's watch, for its ctl and the simulator's checks.
func (pilot *Pilot) Watch() *watchbill.Watch { return pilot.watch }

// State gives the control state, for the simulator's checks.
func (pilot *Pilot) State() *State { return pilot.state }

// Ready tells whether this pilot does its part.
func (pilot *Pilot) Ready() bool { return !pilot.watch.Blank() }

// SetTolerance takes another tolerance from changed settings.
func (pilot *Pilot) SetTolerance(tolerance int) {
	pilot.props.Tolerance = &tolerance
	pilot.watch.SetTolerance(tolerance)
}

// Start begins the pilot's work.
func (pilot *Pilot) Start(now time.Time, effects *helm.Effects) {
	pilot.watch.Start(now, effects)
	pilot.pulse.Start(now)
	pilot.follower.Start(now)
	pilot.timers.Arm("tend", now.Add(tendEvery))
}

// NextDue is when the pilot wants to run again.
func (pilot *Pilot) NextDue() time.Time {
	return helm.Earliest(pilot.watch.NextDue(), pilot.pulse.NextDue(), pilot.follower.NextDue(), pilot.cutter.NextDue(), pilot.timers.Next())
}

// Due runs whatever is due.
func (pilot *Pilot) Due(now time.Time, effects *helm.Effects) {
	pilot.watch.Due(now, effects)
	pilot.pulse.Due(now, effects)
	pilot.follower.Due(now, effects)
	pilot.cutter.Due(now, effects)
	for _, key := range pilot.timers.Expired(now) {
		if key == "tend" {
			pilot.tend(now, effects)
		}
	}
}

// Command takes what the adapters bring: synced writes and ctl visits.
func (pilot *Pilot) Command(now time.Time, command any, effects *helm.Effects) {
	switch body := command.(type) {
	case helm.Synced:
		pilot.watch.Synced(now, body.Token, effects)
		pilot.answerNews(now, effects)
	case Visit:
		pilot.cutter.Carry(now, body.Local, body.Method, body.Path, body.Body, effects)
	case Stop:
		pilot.watch.Yield(now, effects)
		for _, other := range helm.Sorted(pilot.follower.Members) {
			if other.Kind == beacon.KindPilot && other.Name != pilot.props.Self.Name {
				effects.Send(other.Address, beacon.Farewell{Name: pilot.props.Self.Name, Incarnation: pilot.props.Self.Incarnation})
			}
		}
		effects.Stop = true
	}
}

// Stop asks a daemon to end in good order.
type Stop struct{}

// Message takes what other daemons say.
func (pilot *Pilot) Message(now time.Time, meta helm.Meta, message any, effects *helm.Effects) {
	if meta.From != pilot.props.Self.Address {
		pilot.pulse.Heard(now)
	}
	if pilot.watch.Message(now, meta, message, effects) {
		pilot.answerNews(now, effects)
		return
	}
	switch body := message.(type) {
	case beacon.Ask:
		pilot.onAsk(now, meta.From, body, effects)
	case beacon.News:
		if taken := pilot.follower.Take(now, body); taken.View {
			pilot.pulse.Take(now, pilot.follower.Members, pilot.follower.Upstream(), pilot.follower.Index)
		}
	case beacon.Redirect:
		pilot.follower.Redirected(now, body, effects)
	case beacon.Heartbeat:
		pilot.pulse.Beat(now, body)
	case beacon.Suspicion:
		pilot.onSuspicion(now, body)
	case beacon.Farewell:
		pilot.onFarewell(now, body, effects)
	case beacon.StrandComplete:
		if pilot.watch.HoldsTenure(now) {
			pilot.complete[body.Strand] = body
			pilot.timers.ArmSooner("tend", now)
		}
	case beacon.Lagging:
		pilot.onLagging(now, body, effects)
	case beacon.ControlVisit:
		pilot.onControl(now, meta.From, body, effects)
	case beacon.ControlReturn:
		pilot.cutter.Take(now, meta.From, body, effects)
	case beacon.ChartAsk:
		pilot.follower.AnswerChart(meta.From, body, effects)
	}
}

// Asking and answering.

func (pilot *Pilot) onAsk(now time.Time, from string, ask beacon.Ask, effects *helm.Effects) {
	if !pilot.watch.Speaking(now) {
		if pilot.watch.IsPrimary() && pilot.watch.HoldsTenure(now) {
			return
		}
		effects.Send(from, pilot.redirect(ask))
		return
	}
	pilot.beginActing(now, effects)
	// Incarnations come from wall clocks, which may have been set back across a
	// restart: a lower one counts once the higher has been silent for a while.
	known, found := pilot.state.Members[ask.Self.Name]
	if !found || ask.Self.Incarnation >= known.Incarnation || now.Sub(pilot.heard[known.Name]) > succeedsAfter {
		pilot.heard[ask.Self.Name] = now
		pilot.loads[ask.Self.Name] = ask.Load
		pilot.noteMember(now, ask.Self, effects)
	}
	hold := beacon.HoldAsk
	if ask.Patient {
		hold = beacon.PatientHold
	}
	item := held{from: from, ask: ask, limit: now.Add(hold)}
	if ask.Index != pilot.state.Index || ask.Version != pilot.state.Version || ask.Urgent {
		pilot.give(now, item, effects)
		return
	}
	pilot.held[ask.Self.Name] = item
	pilot.timers.ArmSooner("tend", item.limit)
}

func (pilot *Pilot) redirect(ask beacon.Ask) beacon.Redirect {
	redirect := beacon.Redirect{For: ask.Self.Name, Nonce: ask.Nonce, Epoch: pilot.watch.Record().Epoch}
	if primary, found := pilot.watch.Primary(); found && primary.Name != pilot.props.Self.Name {
		redirect.Primary = primary.Address
	}
	for _, known := range pilot.watch.Known() {
		redirect.Pilots = append(redirect.Pilots, known.Address)
	}
	return redirect
}

func (pilot *Pilot) give(now time.Time, item held, effects *helm.Effects) {
	delete(pilot.held, item.ask.Self.Name)
	news := beacon.News{
		For: item.ask.Self.Name, Nonce: item.ask.Nonce, Epoch: pilot.watch.Record().Epoch,
		Primary: pilot.props.Self.Address, Index: pilot.state.Index, Version: pilot.state.Version,
		Orders: pilot.orders[item.ask.Self.Name],
	}
	if item.ask.Version < pilot.state.Version {
		news.Document = pilot.state.Document
	}
	if item.ask.Index != pilot.state.Index {
		// Whoever has it from an earlier epoch is told all of it once.
		since := item.ask.Index
		if item.ask.Epoch != news.Epoch {
			since = 0
		}
		pilot.state.view(&news, since)
	}
	effects.Send(item.from, news)
}

// answerNews answers those that wait, once there is news or their time is up.
func (pilot *Pilot) answerNews(now time.Time, effects *helm.Effects) {
	if len(pilot.held) == 0 || !pilot.watch.Speaking(now) {
		return
	}
	for _, item := range helm.Sorted(pilot.held) {
		if item.ask.Index != pilot.state.Index || !item.limit.After(now) {
			pilot.give(now, item, effects)
		}
	}
}

func (pilot *Pilot) noteMember(now time.Time, self beacon.Member, effects *helm.Effects) {
	known, found := pilot.state.Members[self.Name]
	self.Alive = true
	self.Joined, self.Retiring, self.Retired, self.Resting = known.Joined, known.Retiring, known.Retired, known.Resting
	self.Ailing = known.Ailing && known.Incarnation == self.Incarnation
	if found && known.Incarnation != self.Incarnation {
		self.Resting = false
		if known.Disk != self.Disk {
			self.Retiring, self.Retired = false, false
		}
	}
	if found && self == known {
		return
	}
	pilot.joining[self.Name] = self
	delete(pilot.suspected, self.Name)
	// Each change goes to everybody: while a fleet starts, many join in one.
	pause := joinPause
	if now.Sub(pilot.began) < settleFor {
		pause = youngPause
	}
	pilot.timers.ArmSooner("tend", now.Add(pause))
}

func (pilot *Pilot) onSuspicion(now time.Time, suspicion beacon.Suspicion) {
	if !pilot.watch.HoldsTenure(now) {
		return
	}
	for _, suspect := range suspicion.Silent {
		table, found := pilot.suspected[suspect.Name]
		if !found {
			table = map[string]reported{}
			pilot.suspected[suspect.Name] = table
		}
		table[suspicion.Reporter] = reported{at: now, incarnation: suspect.Incarnation}
	}
}

func (pilot *Pilot) onFarewell(now time.Time, farewell beacon.Farewell, effects *helm.Effects) {
	member, found := pilot.state.Members[farewell.Name]
	if !pilot.watch.HoldsTenure(now) || !found || !member.Alive || member.Incarnation != farewell.Incarnation {
		return
	}
	member.Alive = false
	pilot.joining[member.Name] = member
	pilot.timers.ArmSooner("tend", now)
}

// Refused is told that a daemon's address refuses to be dialled: its process has
// ended, and nobody need wait for its silence.
func (pilot *Pilot) Refused(now time.Time, address string, effects *helm.Effects) {
	if !pilot.watch.HoldsTenure(now) {
		return
	}
	for _, member := range helm.Sorted(pilot.state.Members) {
		_, joins := pilot.joining[member.Name]
		if member.Address == address && member.Alive && !joins && member.Name != pilot.props.Self.Name {
			member.Alive, member.Resting = false, false
			pilot.joining[member.Name] = member
			pilot.timers.ArmSooner("tend", now)
		}
	}
}

// Tending.

func (pilot *Pilot) beginActing(now time.Time, effects *helm.Effects) {
	if pilot.acting {
		return
	}
	pilot.acting, pilot.began, pilot.busy = true, now, false
	pilot.suspected = map[string]map[string]reported{}
	pilot.joining = map[string]beacon.Member{}
	pilot.complete = map[string]beacon.StrandComplete{}
	pilot.orders = map[string]beacon.Orders{}
	pilot.lags, pilot.doubts = map[string]lag{}, map[string]*doubt{}
	for name, member := range pilot.state.Members {
		pilot.heard[name] = now
		if member.Ailing {
			pilot.lags[name] = lag{at: now, incarnation: member.Incarnation}
		}
	}
}

func (pilot *Pilot) onLagging(now time.Time, told beacon.Lagging, effects *helm.Effects) {
	if !pilot.watch.HoldsTenure(now) {
		return
	}
	if told.Sure {
		pilot.believe(now, told)
		return
	}
	// Links lag too, and between two keepers either end may be at fault: then a
	// word counts if the keeper does not answer the primary either, or if it goes on
	// for long and not more is said of who says so.
	present, found := pilot.doubts[told.Name]
	if !found || present.told.Incarnation != told.Incarnation || now.Sub(present.since) > laggingFresh {
		present = &doubt{since: now, reporters: map[string]time.Time{}}
		pilot.doubts[told.Name] = present
		if waiting, holds := pilot.held[told.Name]; holds {
			pilot.give(now, waiting, effects)
		}
	}
	present.told, present.reporters[told.Reporter] = told, now
	others := 0
	if reporter, doubted := pilot.doubts[told.Reporter]; doubted {
		others = len(reporter.reporters)
	}
	if told.Delay > doubtLong && len(present.reporters) > others {
		pilot.believe(now, told)
		return
	}
	pilot.timers.ArmSooner("tend", now.Add(doubtFor))
}

// doubt is what one keeper said of another's disk.
type doubt struct {
	since     time.Time
	told      beacon.Lagging
	reporters map[string]time.Time
}

func (pilot *Pilot) believe(now time.Time, told beacon.Lagging) {
	delete(pilot.doubts, told.Name)
	pilot.lags[told.Name] = lag{at: now, incarnation: told.Incarnation, delay: told.Delay}
	if !pilot.state.Members[told.Name].Ailing {
		pilot.timers.ArmSooner("tend", now)
	}
}

// settleDoubts believes what was said of keepers that have not answered since.
func (pilot *Pilot) settleDoubts(now time.Time) {
	for name, present := range helm.Sorted(pilot.doubts) {
		switch {
		case now.Sub(present.since) > laggingFresh:
			delete(pilot.doubts, name)
		case now.Sub(present.since) >= doubtFor && pilot.heard[name].Before(present.since):
			pilot.believe(now, present.told)
		}
	}
}

// ailments lists the keepers that begin or cease to be taken for ailing.
func (pilot *Pilot) ailments(now time.Time, effects *helm.Effects) []beacon.Member {
	pilot.settleDoubts(now)
	changed := pilot.state.ailments(now, pilot.lags)
	for _, member := range changed {
		if member.Ailing {
			effects.Note(foghorn.KeeperAiling, "keeper", member.Name, "delay", pilot.lags[member.Name].delay.String())
		} else {
			effects.Note(foghorn.KeeperWell, "keeper", member.Name)
		}
	}
	return changed
}

func (pilot *Pilot) stopActing(now time.Time, effects *helm.Effects) {
	pilot.acting, pilot.busy = false, false
	for name, item := range helm.Sorted(pilot.held) {
		delete(pilot.held, name)
		effects.Send(item.from, pilot.redirect(item.ask))
	}
}

func (pilot *Pilot) configuration() chart.Configuration {
	if pilot.parsedAt != pilot.state.Version {
		pilot.parsed, _ = chart.Read(pilot.state.Document)
		pilot.parsedAt = pilot.state.Version
	}
	return pilot.parsed
}

func (pilot *Pilot) tend(now time.Time, effects *helm.Effects) {
	if !pilot.watch.HoldsTenure(now) {
		if pilot.acting {
			pilot.stopActing(now, effects)
		}
		pilot.timers.Arm("tend", now.Add(idleEvery))
		return
	}
	pilot.timers.Arm("tend", now.Add(tendEvery))
	pilot.beginActing(now, effects)
	pilot.answerNews(now, effects)
	if pilot.busy || !pilot.watch.Serving(now) {
		return
	}
	command := Command{}
	for _, member := range helm.Sorted(pilot.joining) {
		command.Members = append(command.Members, member)
		if member.Alive {
			effects.Note(foghorn.MemberJoined, "member", member.Name, "kind", member.Kind, "locality", member.Locality)
		} else {
			effects.Note(foghorn.MemberLost, "member", member.Name, "why", "its process ended")
		}
	}
	pilot.joining = map[string]beacon.Member{}
	command.Members = append(command.Members, pilot.lost(now, effects)...)
	command.Members = append(command.Members, pilot.retired(effects)...)
	if len(command.Members) == 0 {
		command.Members = pilot.ailments(now, effects)
	}
	for strand, settled := range helm.Sorted(pilot.complete) {
		place, found := pilot.state.Places[strand]
		if found && place.Epoch == settled.Epoch && !place.Complete {
			command.Settled = append(command.Settled, settled)
			effects.Note(foghorn.PlacementComplete, "strand", strand, "epoch", settled.Epoch)
		}
	}
	pilot.complete = map[string]beacon.StrandComplete{}
	if wanted := pilot.props.Tolerance; wanted != nil && *wanted != pilot.state.Tolerance {
		command.Tolerance = wanted
	}
	if len(command.Members) == 0 && len(command.Settled) == 0 && command.Tolerance == nil {
		command.Places = pilot.state.plan(pilot.configuration())
		if now.Sub(pilot.began) <= settleFor/3 {
			// New strands wait until the keepers that come back were heard; one
			// whose holder came back with another disk does not.
			command.Places = slices.DeleteFunc(command.Places, func(next beacon.Placement) bool {
				_, placed := pilot.state.Places[next.Strand]
				return !placed
			})
		}
		for _, place := range command.Places {
			effects.Note(foghorn.PlacementChanged, "strand", place.Strand, "epoch", place.Epoch, "first", place.First, "understudies", strings.Join(place.Understudies, " "))
		}
	}
	if len(command.Members)+len(command.Settled)+len(command.Places) > 0 || command.Tolerance != nil {
		pilot.submit(now, command, effects)
		return
	}
	pilot.economize(now, effects)
}

func (pilot *Pilot) submit(now time.Time, command Command, effects *helm.Effects) {
	pilot.busy = true
	pilot.watch.Submit(now, mustPack(command), commandLimit, func(now time.Time, effects *helm.Effects, outcome watchbill.Outcome) {
		pilot.busy = false
		if outcome == watchbill.Committed {
			pilot.answerNews(now, effects)
			pilot.timers.ArmSooner("tend", now.Add(10*time.Millisecond))
		}
	}, effects)
}

// lost lists the members that enough watchers no longer hear.
func (pilot *Pilot) lost(now time.Time, effects *helm.Effects) []beacon.Member {
	var gone []beacon.Member
	for name, reporters := range helm.Sorted(pilot.suspected) {
		member, found := pilot.state.Members[name]
		if !found || !member.Alive {
			delete(pilot.suspected, name)
			continue
		}
		fresh := 0
		for reporter, report := range helm.Sorted(reporters) {
			if now.Sub(report.at) > suspicionFresh || report.incarnation != member.Incarnation {
				delete(reporters, reporter)
				continue
			}
			fresh++
		}
		unheard := now.Sub(pilot.heard[name])
		limit, unasked := unheardFrom, unheardFrom/2
		if member.Resting {
			limit += beacon.PatientHold
		}
		if member.Kind == beacon.KindKeeper {
			unasked = keeperUnheard
		}
		// Watchers alone can be misled by the links between them and a member;
		// one that still asks the primary itself is not taken for lost on two
		// reports, but on all of them.
		if fresh >= 2 && unheard > unasked || fresh >= 1 && unheard > limit || fresh >= beacon.Watchers {
			member.Alive, member.Resting = false, false
			gone = append(gone, member)
			delete(pilot.suspected, name)
			effects.Note(foghorn.MemberLost, "member", name, "reporters", fresh, "unheard", unheard.String())
		}
	}
	for name, member := range helm.Sorted(pilot.state.Members) {
		// A daemon that is heard by its watchers and yet follows nothing acts on
		// an old view: to the others it is as good as lost.
		limit := followingFor
		if member.Resting {
			limit += beacon.PatientHold
		}
		if unheard := now.Sub(pilot.heard[name]); member.Alive && unheard > limit && !slices.ContainsFunc(gone, func(other beacon.Member) bool { return other.Name == name }) {
			member.Alive, member.Resting = false, false
			gone = append(gone, member)
			effects.Note(foghorn.MemberLost, "member", name, "why", "does not follow", "unheard", unheard.String())
		}
	}
	return gone
}

// retired lists the keepers that nothing refers to any more.
func (pilot *Pilot) retired(effects *helm.Effects) []beacon.Member {
	var done []beacon.Member
	for _, member := range helm.Sorted(pilot.state.Members) {
		if member.Kind == beacon.KindKeeper && member.Retiring && !member.Retired && !pilot.state.refers(member.Name) {
			member.Retired = true
			done = append(done, member)
			effects.Note(foghorn.KeeperRetired, "keeper", member.Name)
		}
	}
	return done
}

// economize lets the economy duty act, under its own tenure.
func (pilot *Pilot) economize(now time.Time, effects *helm.Effects) {
	configuration := pilot.configuration()
	pilot.watch.AskDuty(now, pilot.tenure, effects)
	if !pilot.tenure.Held(now) || now.Sub(pilot.began) < settleFor {
		return
	}
	decided := pilot.economist.Decide(now, economy.Observation{
		Configuration: configuration, Members: pilot.state.Members, Loads: pilot.loads, Heard: pilot.heard,
	})
	command := Command{}
	for name, orders := range helm.Sorted(decided) {
		earlier := pilot.orders[name]
		pilot.orders[name] = orders
		if !earlier.Equal(orders) {
			if waiting, found := pilot.held[name]; found {
				pilot.give(now, waiting, effects)
			}
		}
		member := pilot.state.Members[name]
		if rests := orders.Rest && pilot.loads[name].Resting; member.Resting != rests && member.Alive {
			member.Resting = rests
			command.Members = append(command.Members, member)
			if rests {
				effects.Note(foghorn.LanternRested, "lantern", name)
			} else {
				effects.Note(foghorn.LanternWoken, "lantern", name)
			}
		}
	}
	if len(command.Members) > 0 {
		pilot.submit(now, command, effects)
	}
}
