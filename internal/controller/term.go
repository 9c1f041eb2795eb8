package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// warmupPeriod is the time at the start of a term in which the primary has received reports
// from only some of the members.
const warmupPeriod = 3 * time.Second

// beginTerm starts a term when the controller becomes primary. It resets the observations of an
// earlier term, which are outdated. It treats all members as if they had just polled, so that
// none is considered failed before it had time to poll the new primary. It treats degraded stores
// as if their slow disks had just been reported, so that they are not considered recovered at once.
func (c *Controller) beginTerm(now time.Time) {
	if c.active {
		return
	}
	c.active, c.termStart, c.commandPending = true, now, false
	c.suspicions = map[string]map[string]incarnationAt{}
	c.pendingJoins = map[string]Join{}
	c.pendingLeaves = map[string]MemberIncarnation{}
	c.pendingReplicated = map[string]membership.PartitionReplicated{}
	c.directives = map[string]membership.Directives{}
	c.loads = map[string]membership.Load{}
	c.deadSince = map[string]incarnationAt{}
	c.slowDisks = map[string]slowDisk{}
	c.unconfirmedReports = map[string]*unconfirmedReport{}
	c.unacknowledged = map[string]unacknowledgedResponse{}
	for name, member := range c.state.Members {
		c.lastPolled[name] = now
		if member.Degraded {
			c.slowDisks[name] = slowDisk{at: now, incarnation: member.Incarnation}
		}
	}
}

// endTerm ends the term of a primary that has lost its lease.
func (c *Controller) endTerm(effects *statemachine.Effects) {
	c.active, c.commandPending = false, false
	clear(c.sentViews)
	c.redirectPolls(effects)
}

// warmingUp reports whether the term is younger than a period.
func (c *Controller) warmingUp(now time.Time, period time.Duration) bool {
	return now.Sub(c.termStart) < period
}
