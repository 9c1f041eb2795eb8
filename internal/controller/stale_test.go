// Commands that were decided on a state that has passed: each changes only the
// fields that it is about, and orders that exclude each other are never both taken.
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

// draft is a command that was decided on an earlier state, and the fields of members
// that it may change.
type draft struct {
	command Command
	about   func(before, after membership.Member) membership.Member
}

func (s *State) clone(t *testing.T) *State {
	cloned := newState()
	assert.NilError(t, cloned.Restore(s.Snapshot()))
	return cloned
}

// drawDraft decides on a command as one of the primary's parts does.
func drawDraft(random *rand.Rand, state *State, step uint64) draft {
	names := make([]string, 0, len(state.Members))
	for name := range statemachine.Sorted(state.Members) {
		names = append(names, name)
	}
	member := state.Members[names[random.IntN(len(names))]]
	switch random.IntN(7) {
	case 0:
		return draft{Command{Retirement: &Retirement{Store: member.Name, Retiring: random.IntN(3) > 0}}, func(before, after membership.Member) membership.Member {
			before.Retiring, before.Retired = after.Retiring, after.Retired
			return before
		}}
	case 1:
		return draft{Command{Departures: []Departure{{Name: member.Name, Incarnation: member.Incarnation}}}, func(before, after membership.Member) membership.Member {
			before.Alive, before.Resting = after.Alive, after.Resting
			return before
		}}
	case 2:
		next := member
		next.Incarnation = step
		if random.IntN(4) == 0 {
			next.Disk = fmt.Sprint("disk-", step)
		}
		return draft{Command{Joins: []Join{{Self: next, Over: member.Incarnation}}}, func(before, after membership.Member) membership.Member {
			if !before.Retired {
				after.Retiring, after.Retired = before.Retiring, before.Retired
			}
			return after
		}}
	case 3:
		return draft{Command{Degradations: []Degradation{{Name: member.Name, Incarnation: member.Incarnation, Degraded: !member.Degraded}}},
			func(before, after membership.Member) membership.Member {
				before.Degraded = after.Degraded
				return before
			}}
	case 4:
		return draft{Command{Emptied: []string{member.Name}}, func(before, after membership.Member) membership.Member {
			before.Retired = after.Retired
			return before
		}}
	case 5:
		configuration, _ := config.Read(state.Document)
		return draft{Command{Places: state.plan(configuration)}, func(before, _ membership.Member) membership.Member { return before }}
	}
	var settled []membership.PartitionReplicated
	for name, place := range statemachine.Sorted(state.Places) {
		holders := []string{state.Members[place.Leader].ReplicaID()}
		for _, follower := range place.Followers {
			holders = append(holders, state.Members[follower].ReplicaID())
		}
		settled = append(settled, membership.PartitionReplicated{Partition: name, Epoch: place.Epoch, Replicas: holders})
	}
	return draft{Command{Settled: settled}, func(before, _ membership.Member) membership.Member { return before }}
}

func TestCommandsDecidedOnAPassedStateChangeOnlyTheirFields(t *testing.T) {
	taken, refused := 0, 0
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 0x57a1e))
		tolerance := int(seed % 3)
		state := stateOf(tolerance+3, tolerance)
		var waiting []draft
		for step := range uint64(400) {
			waiting = append(waiting, drawDraft(random, state, step+2))
			if len(waiting) < 1+random.IntN(12) {
				continue
			}
			chosen := random.IntN(len(waiting))
			next := waiting[chosen]
			waiting = append(waiting[:chosen], waiting[chosen+1:]...)
			before := maps.Clone(state.Members)
			spare := next.command.Retirement != nil && state.maySpare(next.command.Retirement.Store)
			state.Apply(time.Time{}, mustPack(next.command))
			for name, after := range state.Members {
				assert.Equal(t, next.about(before[name], after), after, "seed %d, step %d, %+v", seed, step, next.command)
			}
			if order := next.command.Retirement; order != nil && order.Retiring {
				switch state.result.outcome {
				case Taken:
					taken++
					assert.Assert(t, spare, "seed %d, step %d: too few are left", seed, step)
				case TooFewStores:
					refused++
					assert.Equal(t, state.Members[order.Store], before[order.Store])
				}
			}
			if len(next.command.Places) > 0 {
				fitCopies(t, state, fmt.Sprintf("seed %d, step %d", seed, step))
			}
		}
		assert.DeepEqual(t, state.clone(t).Members, state.Members)
	}
	t.Logf("%d retirements taken, %d refused", taken, refused)
	assert.Assert(t, taken > 100 && refused > 100)
}

// fitCopies looks that what the last command placed lies with stores that may have it.
func fitCopies(t *testing.T, state *State, when string) {
	t.Helper()
	for name, place := range state.Places {
		if state.PlaceAt[name] < state.Index {
			continue
		}
		for _, follower := range place.Followers {
			member := state.Members[follower]
			assert.Assert(t, member.Alive && !member.Retiring, "%s: %s is given to %+v", when, name, member)
		}
	}
}
