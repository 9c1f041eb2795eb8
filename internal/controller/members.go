package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// incarnationTimeout is how long a member must not have polled before a lower incarnation
	// of the member is accepted as the newer one.
	incarnationTimeout = 1200 * time.Millisecond

	// joinBatchDelay is how long joins are collected into one command, since each command that
	// changes the view is sent to all members. In the warm-up period, in which many members may
	// join at once, warmupJoinBatchDelay applies.
	joinBatchDelay       = 20 * time.Millisecond
	warmupJoinBatchDelay = 100 * time.Millisecond
)

// recordMember records the description and the load of a member from its poll, and prepares a
// join if the description differs from the control state.
//
// Incarnations are derived from wall clocks, which may be set back between two runs of a
// process. So a lower incarnation is accepted once the higher one has not polled for
// incarnationTimeout.
//
// The polls of a store that does not acknowledge its responses are not counted as contact.
func (c *Controller) recordMember(now time.Time, request membership.ViewRequest) {
	self := request.Self
	c.recordAcknowledgement(request)
	if c.acknowledgementOverdue(now, self.Name) {
		return
	}
	silent := now.Sub(c.lastPolled[self.Name]) > incarnationTimeout
	known, found := c.state.memberOrTombstone(self.Name)
	if found && self.Incarnation < known.Incarnation && !silent {
		return
	}
	if pending, joining := c.pendingJoins[self.Name]; joining && self.Incarnation < pending.Self.Incarnation && !silent {
		return
	}
	c.lastPolled[self.Name] = now
	c.loads[self.Name] = request.Load
	if found && c.state.joinedMember(self) == known {
		return
	}
	c.pendingJoins[self.Name] = Join{Self: self, Replaces: known.Incarnation}
	delete(c.suspicions, self.Name)
	delay := joinBatchDelay
	if c.warmingUp(now, warmupPeriod) {
		delay = warmupJoinBatchDelay
	}
	c.timers.ArmSooner(timerReconcile, now.Add(delay))
}

// handleGracefulLeave handles the leave of a member that shuts down gracefully, so that its
// failure need not be detected.
func (c *Controller) handleGracefulLeave(now time.Time, leave membership.GracefulLeave) {
	member, found := c.state.Members[leave.Name]
	if !c.node.HoldsLease(now) || !found || !member.Alive || member.Incarnation != leave.Incarnation {
		return
	}
	c.recordLeave(now, member)
}

// ConnectionRefused handles a refused connection to the address of a daemon. The host calls it
// when a dial is refused. The daemon's process has ended, so its leave is recorded without
// waiting for failure detection.
func (c *Controller) ConnectionRefused(now time.Time, address string, _ *statemachine.Effects) {
	if !c.node.HoldsLease(now) {
		return
	}
	for _, member := range statemachine.Sorted(c.state.Members) {
		_, joining := c.pendingJoins[member.Name]
		if member.Address == address && member.Alive && !joining && member.Name != c.settings.Self.Name {
			c.recordLeave(now, member)
		}
	}
}

// recordLeave prepares the leave of a member for the next command.
func (c *Controller) recordLeave(now time.Time, member membership.Member) {
	c.pendingLeaves[member.Name] = MemberIncarnation{Name: member.Name, Incarnation: member.Incarnation}
	c.timers.ArmSooner(timerReconcile, now)
}
