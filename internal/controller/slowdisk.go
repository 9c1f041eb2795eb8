package controller

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// slowDiskTimeout is the age beyond which a report of a slow disk is no longer a reason
	// to take the store for degraded.
	slowDiskTimeout = 1200 * time.Millisecond

	// degradedPeriod is how long a store stays degraded after the last report.
	degradedPeriod = 8 * time.Second

	// unconfirmedTimeout is how long a store has to poll the primary after an unconfirmed
	// report before the report is confirmed.
	unconfirmedTimeout = 300 * time.Millisecond

	// longDiskDelay is the delay beyond which reports alone confirm a slow disk.
	longDiskDelay = time.Second
)

// slowDisk is the newest confirmed report that the disk of one incarnation of a store is
// slow.
type slowDisk struct {
	at          time.Time
	incarnation uint64
	delay       time.Duration
}

// unconfirmedReport is a report of a slow disk whose reporter can't tell a slow disk from
// a slow link.
type unconfirmedReport struct {
	// since is when the first of the reports came, report the newest of them.
	since  time.Time
	report membership.SlowDiskReport
	// reporters holds when each store reported last.
	reporters map[string]time.Time
}

// handleSlowDiskReport takes in a store's report on another's disk, or on its own. A
// report that may be due to a slow link waits for evidence: it is confirmed if the store
// does not answer the primary either, or if the delay is long and there are fewer reports
// about the reporter itself.
func (c *Controller) handleSlowDiskReport(
	now time.Time, report membership.SlowDiskReport, effects *statemachine.Effects,
) {
	if !c.node.HoldsLease(now) {
		return
	}
	if !c.mayReportDiskOf(report.Reporter, report.Name) && !statemachine.Mutated("any-reporter") {
		return
	}
	if report.Measured {
		c.confirmSlowDisk(now, report)
		return
	}
	pending, found := c.unconfirmedReports[report.Name]
	if !found || pending.report.Incarnation != report.Incarnation || now.Sub(pending.since) > slowDiskTimeout {
		pending = &unconfirmedReport{since: now, reporters: map[string]time.Time{}}
		c.unconfirmedReports[report.Name] = pending
		// An answer lets the store poll again at once, if it can.
		c.answerPollOf(now, report.Name, effects)
	}
	pending.report, pending.reporters[report.Reporter] = report, now
	reportsOnReporter := 0
	if onReporter, found := c.unconfirmedReports[report.Reporter]; found {
		reportsOnReporter = len(onReporter.reporters)
	}
	if report.Delay > longDiskDelay && len(pending.reporters) > reportsOnReporter {
		c.confirmSlowDisk(now, report)
		return
	}
	c.timers.ArmSooner(timerReconcile, now.Add(unconfirmedTimeout))
}

// mayReportDiskOf reports whether a store may report on another's disk: it is alive and
// leads a partition that the other follows. One that was partitioned off acts on an
// outdated view, and what it waits for is no fault of the other. Each store may report on
// its own disk.
func (c *Controller) mayReportDiskOf(reporter, name string) bool {
	if reporter == name {
		return true
	}
	if !c.state.Members[reporter].Alive {
		return false
	}
	for _, placement := range c.state.Placements {
		if placement.Leader == reporter && slices.Contains(placement.Followers, name) {
			return true
		}
	}
	return false
}

// confirmSlowDisk takes a report for true.
func (c *Controller) confirmSlowDisk(now time.Time, report membership.SlowDiskReport) {
	delete(c.unconfirmedReports, report.Name)
	c.slowDisks[report.Name] = slowDisk{at: now, incarnation: report.Incarnation, delay: report.Delay}
	if !c.state.Members[report.Name].Degraded {
		c.timers.ArmSooner(timerReconcile, now)
	}
}

// resolveUnconfirmed drops outdated reports, and confirms those on stores that have not
// polled the primary since.
func (c *Controller) resolveUnconfirmed(now time.Time) {
	for name, pending := range statemachine.Sorted(c.unconfirmedReports) {
		switch {
		case now.Sub(pending.since) > slowDiskTimeout:
			delete(c.unconfirmedReports, name)
		case now.Sub(pending.since) >= unconfirmedTimeout && c.lastHeard[name].Before(pending.since):
			c.confirmSlowDisk(now, pending.report)
		}
	}
}

// degradationChanges lists the stores that become degraded or recover.
func (c *Controller) degradationChanges(now time.Time, effects *statemachine.Effects) []Degradation {
	c.resolveUnconfirmed(now)
	changes := c.state.planDegradations(now, c.slowDisks)
	for _, change := range changes {
		if change.Degraded {
			delay := c.slowDisks[change.Name].delay
			effects.Emit(logevent.StoreDegraded, "store", change.Name, "delay", delay.String())
		} else {
			effects.Emit(logevent.StoreRecovered, "store", change.Name)
		}
	}
	return changes
}

// planDegradations lists the stores that become degraded or recover, by the confirmed
// reports. As many healthy stores are left as a partition has replicas.
func (s *State) planDegradations(now time.Time, slowDisks map[string]slowDisk) []Degradation {
	var changes []Degradation
	healthy := s.healthyStores()
	for _, member := range statemachine.Sorted(s.Members) {
		if member.Kind != membership.KindStore || !member.Alive {
			continue
		}
		reported, known := slowDisks[member.Name]
		known = known && reported.incarnation == member.Incarnation
		if member.Degraded {
			if !known || now.Sub(reported.at) > degradedPeriod {
				changes = append(changes, degradationOf(member, false))
			}
			continue
		}
		if !known || now.Sub(reported.at) >= slowDiskTimeout {
			continue
		}
		if healthy > s.Tolerance+1 {
			return append(changes, degradationOf(member, true))
		}
		// A degraded store on which there are no reports any more takes its place.
		if recovered, found := s.quietestDegraded(now, slowDisks); found {
			return append(changes, degradationOf(recovered, false), degradationOf(member, true))
		}
	}
	return changes
}

func degradationOf(member membership.Member, degraded bool) Degradation {
	return Degradation{Name: member.Name, Incarnation: member.Incarnation, Degraded: degraded}
}

// quietestDegraded is the degraded store that has gone longest without a report.
func (s *State) quietestDegraded(now time.Time, slowDisks map[string]slowDisk) (membership.Member, bool) {
	var quietest membership.Member
	for _, member := range statemachine.Sorted(s.Members) {
		reportedAt := slowDisks[member.Name].at
		if !member.Degraded || !member.Alive || member.Retiring || now.Sub(reportedAt) < slowDiskTimeout {
			continue
		}
		if quietest.Name == "" || reportedAt.Before(slowDisks[quietest.Name].at) {
			quietest = member
		}
	}
	return quietest, quietest.Name != ""
}
