package controller

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// slowDiskTimeout is the age at which a report of a slow disk expires: it no longer causes
	// the store to be marked as degraded.
	slowDiskTimeout = 1200 * time.Millisecond

	// degradedPeriod is how long a store remains degraded after the last confirmed report.
	degradedPeriod = 8 * time.Second

	// unconfirmedTimeout is the time after an unconfirmed report within which the store must poll
	// the primary; otherwise the report is confirmed.
	unconfirmedTimeout = 300 * time.Millisecond

	// longDiskDelay is the delay above which a report can be confirmed although the store still
	// polls the primary, see handleSlowDiskReport.
	longDiskDelay = time.Second
)

// slowDisk is the newest confirmed report that the disk of one incarnation of a store is
// slow.
type slowDisk struct {
	at          time.Time
	incarnation uint64
	delay       time.Duration
}

// unconfirmedReport combines the unconfirmed reports about one store. Their reporters can't
// distinguish a slow disk from a slow link.
type unconfirmedReport struct {
	// since is when the first of the reports was received, report is the newest of them.
	since  time.Time
	report membership.SlowDiskReport
	// reporters holds the time of the last report of each reporting store.
	reporters map[string]time.Time
}

// handleSlowDiskReport handles a store's report that another store's disk, or its own, is slow. A
// report from a store's own measurement is confirmed at once. Any other report may be caused by
// a slow link, and stays unconfirmed until there is more evidence: it is confirmed if the store
// does not poll the primary either, or if the delay is long and more stores report the store
// than report the reporter.
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
		// A response to the pending poll makes the store poll again at once if it is able to.
		c.answerPollOf(now, report.Name, effects)
	}
	pending.report, pending.reporters[report.Reporter] = report, now
	reportsAboutReporter := 0
	if aboutReporter, found := c.unconfirmedReports[report.Reporter]; found {
		reportsAboutReporter = len(aboutReporter.reporters)
	}
	if report.Delay > longDiskDelay && len(pending.reporters) > reportsAboutReporter {
		c.confirmSlowDisk(now, report)
		return
	}
	c.timers.ArmSooner(timerReconcile, now.Add(unconfirmedTimeout))
}

// mayReportDiskOf reports whether a store may report on another store's disk: it must be alive
// and lead a partition that the other store follows. A store that is isolated by a network
// partition acts on a stale view, and the delays that it observes are not caused by the other
// store's disk. Each store may report on its own disk.
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

// confirmSlowDisk records a report as confirmed.
func (c *Controller) confirmSlowDisk(now time.Time, report membership.SlowDiskReport) {
	delete(c.unconfirmedReports, report.Name)
	c.slowDisks[report.Name] = slowDisk{at: now, incarnation: report.Incarnation, delay: report.Delay}
	if !c.state.Members[report.Name].Degraded {
		c.timers.ArmSooner(timerReconcile, now)
	}
}

// resolveUnconfirmed drops expired reports, and confirms the reports about stores that have not
// polled the primary within unconfirmedTimeout.
func (c *Controller) resolveUnconfirmed(now time.Time) {
	for name, pending := range statemachine.Sorted(c.unconfirmedReports) {
		switch {
		case now.Sub(pending.since) > slowDiskTimeout:
			delete(c.unconfirmedReports, name)
		case now.Sub(pending.since) >= unconfirmedTimeout && c.lastPolled[name].Before(pending.since):
			c.confirmSlowDisk(now, pending.report)
		}
	}
}

// degradationChanges returns the stores that become degraded or recover.
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

// planDegradations returns the stores that become degraded or recover, according to the confirmed
// reports. At least as many stores as a partition has replicas remain healthy.
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
		// There are too few healthy stores to mark another one as degraded. A degraded store
		// without recent reports, if there is one, is marked as recovered in exchange.
		if recovered, found := s.degradedWithOldestReport(now, slowDisks); found {
			return append(changes, degradationOf(recovered, false), degradationOf(member, true))
		}
	}
	return changes
}

func degradationOf(member membership.Member, degraded bool) Degradation {
	return Degradation{Name: member.Name, Incarnation: member.Incarnation, Degraded: degraded}
}

// degradedWithOldestReport returns the degraded store whose last report is the oldest. It ignores stores
// with a report that has not expired.
func (s *State) degradedWithOldestReport(now time.Time, slowDisks map[string]slowDisk) (membership.Member, bool) {
	var oldest membership.Member
	for _, member := range statemachine.Sorted(s.Members) {
		reportedAt := slowDisks[member.Name].at
		if !member.Degraded || !member.Alive || member.Retiring || now.Sub(reportedAt) < slowDiskTimeout {
			continue
		}
		if oldest.Name == "" || reportedAt.Before(slowDisks[oldest.Name].at) {
			oldest = member
		}
	}
	return oldest, oldest.Name != ""
}
