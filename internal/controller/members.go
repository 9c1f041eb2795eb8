package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// incarnationTimeout is how long a member must be silent before a lower incarnation
	// of it counts as the newer one.
	incarnationTimeout = 1200 * time.Millisecond

	// joinBatchDelay collects joins into one command, as each change goes to everybody.
	// While a cluster starts, many join at once, and warmupJoinBatchDelay applies.
	joinBatchDelay       = 20 * time.Millisecond
	warmupJoinBatchDelay = 100 * time.Millisecond
)

// recordMember takes over what a member says of itself in a poll, and prepares its join if
// that differs from the control state.
//
// Incarnations come from wall clocks, which may be set back between two runs of a process:
// a lower incarnation is accepted once the higher one has been silent for a while.
//
// A store that misses its answers does not count as heard, whatever it sends.
func (c *Controller) recordMember(now time.Time, request membership.ViewRequest) {
	self := request.Self
	c.recordAcknowledgement(request)
	if c.missesAnswers(now, self.Name) {
		return
	}
	silent := now.Sub(c.lastHeard[self.Name]) > incarnationTimeout
	known, found := c.state.memberOrTombstone(self.Name)
	if found && self.Incarnation < known.Incarnation && !silent {
		return
	}
	if pending, joins := c.pendingJoins[self.Name]; joins && self.Incarnation < pending.Self.Incarnation && !silent {
		return
	}
	c.lastHeard[self.Name] = now
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

// handleGracefulLeave removes a member that ends in good order without waiting for
// failure detection.
func (c *Controller) handleGracefulLeave(now time.Time, leave membership.GracefulLeave) {
	member, found := c.state.Members[leave.Name]
	if !c.node.HoldsLease(now) || !found || !member.Alive || member.Incarnation != leave.Incarnation {
		return
	}
	c.recordLeave(now, member)
}

// ConnectionRefused reports that a daemon's address refuses connections: its process has
// ended, and failure detection need not wait for it. The host calls it when a dial is refused.
func (c *Controller) ConnectionRefused(now time.Time, address string, _ *statemachine.Effects) {
	if !c.node.HoldsLease(now) {
		return
	}
	for _, member := range statemachine.Sorted(c.state.Members) {
		_, joins := c.pendingJoins[member.Name]
		if member.Address == address && member.Alive && !joins && member.Name != c.settings.Self.Name {
			c.recordLeave(now, member)
		}
	}
}

// recordLeave prepares the leave of a member for the next command.
func (c *Controller) recordLeave(now time.Time, member membership.Member) {
	c.pendingLeaves[member.Name] = MemberIncarnation{Name: member.Name, Incarnation: member.Incarnation}
	c.timers.ArmSooner(timerReconcile, now)
}
