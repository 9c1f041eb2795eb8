package controller

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/consensus"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// reconcileInterval is the time between two reconciliations of the primary, and
	// standbyInterval is after how long another controller checks again whether it has become
	// primary.
	reconcileInterval = 200 * time.Millisecond
	standbyInterval   = 500 * time.Millisecond

	// committedDelay is the time from the commit of a command to the next reconciliation.
	committedDelay = 10 * time.Millisecond

	// storeReturnPeriod is the beginning of a term in which no new partition is placed, so that
	// the stores that come back are heard first.
	storeReturnPeriod = warmupPeriod / 3
)

// reconcile compares the control state with what was observed, and submits one command
// with the changes that are due. It runs at each interval, and sooner if there is cause.
func (c *Controller) reconcile(now time.Time, effects *statemachine.Effects) {
	if !c.node.HoldsLease(now) {
		if c.active {
			c.endTerm(effects)
		}
		c.timers.Arm(timerReconcile, now.Add(standbyInterval))
		return
	}
	c.timers.Arm(timerReconcile, now.Add(reconcileInterval))
	c.beginTerm(now)
	c.answerPolls(now, effects)
	if c.commandPending || !c.node.Serving(now) {
		return
	}
	if command := c.nextCommand(now, effects); !command.empty() {
		c.submit(now, command, effects)
		return
	}
	c.runEconomy(now, effects)
}

// nextCommand collects the changes that are due. Degradations, removals and placements are each
// decided only if the steps before them left nothing to change, and so on a state that has the
// results of those steps.
func (c *Controller) nextCommand(now time.Time, effects *statemachine.Effects) Command {
	command := Command{}
	command.Leaves, command.Joins = c.takeMembershipChanges(effects)
	command.Leaves = append(command.Leaves, c.failedMembers(now, effects)...)
	command.RetiredStores = c.drainedStores(effects)
	if command.empty() {
		command.Degradations = c.degradationChanges(now, effects)
	}
	command.Replicated = c.takeReplicated(effects)
	if wanted := c.settings.Tolerance; wanted != nil && *wanted != c.state.Tolerance {
		command.Tolerance = wanted
	}
	if command.empty() {
		command.Removals = c.removals(now, effects)
	}
	if command.empty() {
		command.Placements = c.placementChanges(now, effects)
	}
	return command
}

// submit replicates a command. The next one is decided once its outcome is known.
func (c *Controller) submit(now time.Time, command Command, effects *statemachine.Effects) {
	c.commandPending = true
	done := func(now time.Time, effects *statemachine.Effects, outcome consensus.Outcome) {
		c.commandPending = false
		if outcome == consensus.Committed {
			c.answerPolls(now, effects)
			c.timers.ArmSooner(timerReconcile, now.Add(committedDelay))
		}
	}
	c.node.Submit(now, encodeCommand(command), c.timeouts.command, done, effects)
}

// takeMembershipChanges takes out the leaves and joins that wait for a command.
func (c *Controller) takeMembershipChanges(effects *statemachine.Effects) (leaves []MemberIncarnation, joins []Join) {
	for _, leave := range statemachine.Sorted(c.pendingLeaves) {
		leaves = append(leaves, leave)
		effects.Emit(logevent.MemberLost, "member", leave.Name, "reason", "its process ended")
	}
	for _, join := range statemachine.Sorted(c.pendingJoins) {
		joins = append(joins, join)
		self := join.Self
		effects.Emit(logevent.MemberJoined, "member", self.Name, "kind", self.Kind, "zone", self.Zone)
	}
	c.pendingJoins, c.pendingLeaves = map[string]Join{}, map[string]MemberIncarnation{}
	return leaves, joins
}

// drainedStores lists the retiring stores that no partition needs any more.
func (c *Controller) drainedStores(effects *statemachine.Effects) []string {
	var drained []string
	for name, member := range statemachine.Sorted(c.state.Members) {
		retiring := member.Kind == membership.KindStore && member.Retiring && !member.Retired
		if retiring && !c.state.storeInUse(name) {
			drained = append(drained, name)
			effects.Emit(logevent.StoreRetired, "store", name)
		}
	}
	return drained
}

// handlePartitionReplicated records that all replicas of a partition have its records.
func (c *Controller) handlePartitionReplicated(now time.Time, replicated membership.PartitionReplicated) {
	if !c.node.HoldsLease(now) {
		return
	}
	c.pendingReplicated[replicated.Partition] = replicated
	c.timers.ArmSooner(timerReconcile, now)
}

// takeReplicated takes out the reports of replicated partitions, and returns those that
// complete a placement.
func (c *Controller) takeReplicated(effects *statemachine.Effects) []membership.PartitionReplicated {
	var completed []membership.PartitionReplicated
	for partition, replicated := range statemachine.Sorted(c.pendingReplicated) {
		placement, found := c.state.Placements[partition]
		if found && placement.Epoch == replicated.Epoch && !placement.Complete {
			completed = append(completed, replicated)
			effects.Emit(logevent.PlacementReplicated, "partition", partition, "epoch", replicated.Epoch)
		}
	}
	c.pendingReplicated = map[string]membership.PartitionReplicated{}
	return completed
}

// removals lists the dead members that are to be removed from the control state.
func (c *Controller) removals(now time.Time, effects *statemachine.Effects) []MemberIncarnation {
	c.dropUnknownMembers(now)
	removals := c.removableMembers(now)
	for _, removal := range removals {
		effects.Emit(logevent.MemberRemoved, "member", removal.Name)
	}
	return removals
}

// placementChanges plans the placements that are to change.
func (c *Controller) placementChanges(now time.Time, effects *statemachine.Effects) []membership.Placement {
	changes := c.state.planPlacements(c.configuration())
	if now.Sub(c.termStart) <= storeReturnPeriod {
		// A partition whose replica came back with another disk is no new one, and need
		// not wait.
		changes = slices.DeleteFunc(changes, func(next membership.Placement) bool {
			_, placed := c.state.Placements[next.Partition]
			return !placed
		})
	}
	for _, placement := range changes {
		effects.Emit(
			logevent.PlacementChanged,
			"partition", placement.Partition,
			"epoch", placement.Epoch,
			"leader", placement.Leader,
			"followers", strings.Join(placement.Followers, " "),
		)
	}
	return changes
}
