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
	// standbyInterval the time between two checks of another controller whether it has become
	// primary.
	reconcileInterval = 200 * time.Millisecond
	standbyInterval   = 500 * time.Millisecond

	// committedDelay is the time from the commit of a command to the next reconciliation.
	committedDelay = 10 * time.Millisecond

	// storeRejoinPeriod is the time at the start of a term in which no new partition is placed,
	// so that stores that are restarting can join first.
	storeRejoinPeriod = warmupPeriod / 3
)

// reconcile compares the control state with the primary's observations and submits one command
// with the necessary changes. It runs at every reconcileInterval, and earlier when another
// method arms timerReconcile.
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

// nextCommand collects the changes that are necessary. Degradations, removals and placements are
// each decided only if the earlier steps result in no change, so that they are based on a state
// to which the results of the earlier steps have been applied.
func (c *Controller) nextCommand(now time.Time, effects *statemachine.Effects) Command {
	command := Command{}
	command.Leaves, command.Joins = c.takeMembershipChanges(effects)
	command.Leaves = append(command.Leaves, c.failedMembers(now, effects)...)
	command.RetiredStores = c.drainedStores(effects)
	if command.empty() {
		command.Degradations = c.degradationChanges(now, effects)
	}
	command.Replicated = c.takeReplicated(effects)
	if tolerance := c.settings.Tolerance; tolerance != nil && *tolerance != c.state.Tolerance {
		command.Tolerance = tolerance
	}
	if command.empty() {
		command.Removals = c.removals(now, effects)
	}
	if command.empty() {
		command.Placements = c.placementChanges(now, effects)
	}
	return command
}

// submit replicates a command. The next command is decided once the outcome of this one is
// known.
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

// takeMembershipChanges returns the pending leaves and joins, and clears them.
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

// drainedStores returns the retiring stores that no partition needs any more.
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

// handlePartitionReplicated records a report that all replicas of a partition have its records.
func (c *Controller) handlePartitionReplicated(now time.Time, replicated membership.PartitionReplicated) {
	if !c.node.HoldsLease(now) {
		return
	}
	c.pendingReplicated[replicated.Partition] = replicated
	c.timers.ArmSooner(timerReconcile, now)
}

// takeReplicated clears the pending reports of replicated partitions, and returns those that
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

// removals returns the dead members that are to be removed from the control state.
func (c *Controller) removals(now time.Time, effects *statemachine.Effects) []MemberIncarnation {
	c.dropUnknownMembers(now)
	removals := c.removableMembers(now)
	for _, removal := range removals {
		effects.Emit(logevent.MemberRemoved, "member", removal.Name)
	}
	return removals
}

// placementChanges plans the placements that have to be added or changed.
func (c *Controller) placementChanges(now time.Time, effects *statemachine.Effects) []membership.Placement {
	changes := c.state.planPlacements(c.configuration())
	if now.Sub(c.termStart) <= storeRejoinPeriod {
		// Only new partitions wait. The placement of an existing partition may change, for
		// example if a store has joined with a new disk.
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
