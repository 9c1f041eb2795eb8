// These tests apply commands to a state that has changed since the commands were decided. Each
// command must change only the fields that it is meant to change, and of conflicting orders at
// most one may be accepted.
package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// pendingCommand is a command that was decided on an earlier state.
type pendingCommand struct {
	command Command
	// allowed returns a member's record before the command, in which the fields that the command
	// may change have the values from after the command.
	allowed func(before, after membership.Member) membership.Member
}

// clone returns a copy of the state, restored from a snapshot.
func (s *State) clone(t *testing.T) *State {
	t.Helper()
	cloned := newState()
	assert.NilError(t, cloned.Restore(s.Snapshot()))
	return cloned
}

// replicatedReport returns the report that all replicas of a placement have its records.
func replicatedReport(state *State, placement membership.Placement) membership.PartitionReplicated {
	report := membership.PartitionReplicated{
		Partition: placement.Partition,
		Epoch:     placement.Epoch,
		Replicas:  []string{state.Members[placement.Leader].ReplicaID()},
	}
	for _, follower := range placement.Followers {
		report.Replicas = append(report.Replicas, state.Members[follower].ReplicaID())
	}
	return report
}

// randomCommand returns a random command as the primary would submit it for the given state.
func randomCommand(random *rand.Rand, state *State, step uint64) pendingCommand {
	names := make([]string, 0, len(state.Members))
	for name := range statemachine.Sorted(state.Members) {
		names = append(names, name)
	}
	member := state.Members[names[random.IntN(len(names))]]
	noMember := func(before, _ membership.Member) membership.Member { return before }
	switch random.IntN(7) {
	case 0:
		return randomRetirement(random, member)
	case 1:
		return leaveCommand(member)
	case 2:
		return randomJoin(random, member, step)
	case 3:
		return degradationCommand(member)
	case 4:
		return pendingCommand{
			command: Command{RetiredStores: []string{member.Name}},
			allowed: func(before, after membership.Member) membership.Member {
				before.Retired = after.Retired
				return before
			},
		}
	case 5:
		configuration, _ := config.Read(state.Document)
		return pendingCommand{command: Command{Placements: state.planPlacements(configuration)}, allowed: noMember}
	}
	var replicated []membership.PartitionReplicated
	for _, placement := range statemachine.Sorted(state.Placements) {
		replicated = append(replicated, replicatedReport(state, placement))
	}
	return pendingCommand{command: Command{Replicated: replicated}, allowed: noMember}
}

func randomRetirement(random *rand.Rand, member membership.Member) pendingCommand {
	return pendingCommand{
		command: Command{Retirement: &Retirement{Store: member.Name, Retiring: random.IntN(3) > 0}},
		allowed: func(before, after membership.Member) membership.Member {
			before.Retiring, before.Retired = after.Retiring, after.Retired
			return before
		},
	}
}

func leaveCommand(member membership.Member) pendingCommand {
	leave := MemberIncarnation{Name: member.Name, Incarnation: member.Incarnation}
	return pendingCommand{
		command: Command{Leaves: []MemberIncarnation{leave}},
		allowed: func(before, after membership.Member) membership.Member {
			before.Alive, before.Resting = after.Alive, after.Resting
			return before
		},
	}
}

func randomJoin(random *rand.Rand, member membership.Member, incarnation uint64) pendingCommand {
	next := member
	next.Incarnation = incarnation
	if random.IntN(4) == 0 {
		next.Disk = fmt.Sprint("disk-", incarnation)
	}
	return pendingCommand{
		command: Command{Joins: []Join{{Self: next, Replaces: member.Incarnation}}},
		allowed: func(before, after membership.Member) membership.Member {
			if !before.Retired {
				after.Retiring, after.Retired = before.Retiring, before.Retired
			}
			return after
		},
	}
}

func degradationCommand(member membership.Member) pendingCommand {
	return pendingCommand{
		command: Command{Degradations: []Degradation{degradationOf(member, !member.Degraded)}},
		allowed: func(before, after membership.Member) membership.Member {
			before.Degraded = after.Degraded
			return before
		},
	}
}

// outcomes counts the outcomes of retirements.
type outcomes struct{ accepted, rejected int }

// applyChecked applies a command, and checks which fields it changed and the outcome of a
// retirement.
func (o *outcomes) applyChecked(t *testing.T, state *State, next pendingCommand, when string) {
	t.Helper()
	before := maps.Clone(state.Members)
	order := next.command.Retirement
	mayRetire := order != nil && state.mayRetire(order.Store)
	state.Apply(time.Time{}, encodeCommand(next.command))
	for name, after := range state.Members {
		assert.Equal(t, next.allowed(before[name], after), after, "%s, %+v", when, next.command)
	}
	if order != nil && order.Retiring {
		switch state.result.outcome {
		case Accepted:
			o.accepted++
			assert.Assert(t, mayRetire, "%s: too few stores would remain", when)
		case TooFewStores:
			o.rejected++
			assert.Equal(t, state.Members[order.Store], before[order.Store])
		default:
		}
	}
	if len(next.command.Placements) > 0 {
		assertFollowersEligible(t, state, when)
	}
}

// assertFollowersEligible checks that the last command placed followers only on live stores that are
// not retiring.
func assertFollowersEligible(t *testing.T, state *State, when string) {
	t.Helper()
	for name, placement := range state.Placements {
		if state.PlacementModifiedAt[name] < state.Index {
			continue
		}
		for _, follower := range placement.Followers {
			member := state.Members[follower]
			assert.Assert(t, member.Alive && !member.Retiring, "%s: a replica of %s was placed on %+v", when, name, member)
		}
	}
}

func TestLateCommandsChangeOnlyTheirFields(t *testing.T) {
	var outcomes outcomes
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 0x57a1e))
		tolerance := int(seed % 3)
		state := stateOf(tolerance+3, tolerance)
		var pending []pendingCommand
		for step := range uint64(400) {
			pending = append(pending, randomCommand(random, state, step+2))
			if len(pending) < 1+random.IntN(12) {
				continue
			}
			chosen := random.IntN(len(pending))
			next := pending[chosen]
			pending = append(pending[:chosen], pending[chosen+1:]...)
			outcomes.applyChecked(t, state, next, fmt.Sprintf("seed %d, step %d", seed, step))
		}
		assert.DeepEqual(t, state.clone(t).Members, state.Members)
	}
	t.Logf("%d retirements accepted, %d rejected", outcomes.accepted, outcomes.rejected)
	assert.Assert(t, outcomes.accepted > 100 && outcomes.rejected > 100)
}
