// What links held goes to a later life of the controller that it was meant for:
// no answer of an earlier life counts, and nothing that an earlier life gave back
// is taken from a later one.
package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// fiveWatches gives a fleet of which a primary serves.
func fiveWatches(t trial, seed uint64) (*watchBench, *controller) {
	bench := newFleet(t, seed, 5, 5, 2)
	bench.startAll()
	bench.until(20*time.Second, "a primary", func() bool { return bench.serving() != nil })
	bench.run(time.Second)
	return bench, bench.serving()
}

// lateGrants has the grants of one life of the primary come in the next one, which is
// cut off otherwise; the others choose another primary meanwhile.
func lateGrants(t trial, seed uint64) {
	bench, primary := fiveWatches(t, seed)
	primary.kill()
	first := primary.life + 1
	bench.held = func(from, to *controller, message any) (time.Duration, bool) {
		if (from == primary || to == primary) && primary.life > first {
			return 0, true
		}
		if _, grants := message.(LeaseGrant); grants && to == primary {
			return 1850 * time.Millisecond, false
		}
		return 0, false
	}
	primary.start()
	bench.run(400 * time.Millisecond)
	primary.kill()
	bench.run(1300 * time.Millisecond)
	primary.start()
	bench.run(3 * time.Second)
	assert.Assert(t, bench.serving() != nil && bench.serving() != primary, "the others have no other primary")
}

// lateYield has what one life of the primary gave back come to the others once
// its next life holds the lease again.
func lateYield(t trial, seed uint64) {
	bench, primary := fiveWatches(t, seed)
	bench.held = func(_, _ *controller, message any) (time.Duration, bool) {
		if _, yields := message.(ReleaseLease); yields {
			return 1500 * time.Millisecond, false
		}
		return 0, false
	}
	primary.step(func(now time.Time, effects *statemachine.Effects) { primary.watch.ReleaseLease(now, effects) })
	primary.kill()
	primary.start()
	bench.run(time.Second)
	assert.Assert(t, primary.watch.HoldsLease(primary.local()), "the next life holds no lease")
	bench.run(2 * time.Second)
	assert.Assert(t, primary.watch.HoldsLease(primary.local()), "the lease was taken away")
}

// lateDuty has the grants of a duty to one life come in the next one, while
// another controller gets the duty.
func lateDuty(t trial, seed uint64) {
	bench, primary := fiveWatches(t, seed)
	holder := bench.controllers[0]
	if holder == primary {
		holder = bench.controllers[1]
	}
	other := bench.controllers[4]
	if other == primary {
		other = bench.controllers[3]
	}
	ask := func(asker *controller) {
		asker.step(func(now time.Time, effects *statemachine.Effects) {
			asker.watch.RequestRoleLease(now, asker.duty, effects)
		})
	}
	holder.kill()
	first := holder.life + 1
	bench.held = func(from, to *controller, message any) (time.Duration, bool) {
		switch message.(type) {
		case RoleLeaseRequest:
			return 0, from == holder && holder.life > first
		case RoleLeaseResponse:
			if to == holder {
				return 1900 * time.Millisecond, false
			}
		}
		return 0, false
	}
	holder.start()
	bench.run(2 * time.Second)
	ask(holder)
	bench.run(200 * time.Millisecond)
	holder.kill()
	bench.run(1600 * time.Millisecond)
	holder.start()
	ask(holder)
	for range 20 {
		bench.run(100 * time.Millisecond)
		ask(other)
	}
	assert.Assert(t, other.duty.Valid(other.local()), "nobody else holds the duty")
}

// lateRelease has the primary's word that nobody can take a controller's place, which
// an earlier life asked for as it left, come to the next life as that leaves.
func lateRelease(t trial, seed uint64) {
	bench, primary := fiveWatches(t, seed)
	leaving := bench.controllers[0]
	if leaving == primary {
		leaving = bench.controllers[1]
	}
	bench.held = func(from, _ *controller, _ any) (time.Duration, bool) { return 0, from == leaving }
	earlier := statemachine.NewRequestSequence(leaving.watch.settings.Incarnation)
	leaving.kill()
	leaving.start()
	leaving.step(func(now time.Time, effects *statemachine.Effects) { leaving.watch.Leave(now, effects) })
	leaving.step(func(now time.Time, effects *statemachine.Effects) {
		leaving.watch.HandleMessage(now, statemachine.Meta{From: primary.self.Address}, LeaveResponse{
			Epoch: leaving.watch.Record().Epoch, Request: earlier.Next(), Irreplaceable: true,
		}, effects)
	})
	assert.Assert(t, !leaving.watch.Left(), "it goes by what its earlier life was told")
}

// anyLife has each link hold what it likes for up to two seconds, across restarts
// of both ends, while controllers are struck as in the model's own run.
func anyLife(t trial, seed uint64) {
	bench := newFleet(t, seed, 5, 5, 2)
	bench.startAll()
	bench.until(20*time.Second, "a primary", func() bool { return bench.serving() != nil })
	random := rand.New(rand.NewPCG(seed, 0x1d))
	bench.held = func(_, _ *controller, _ any) (time.Duration, bool) {
		if bench.calm || random.IntN(6) > 0 {
			return 0, false
		}
		return time.Duration(random.IntN(2000)) * time.Millisecond, false
	}
	bench.after(time.Second, bench.busy)
	bench.after(2*time.Second, bench.restarts)
	bench.run(time.Minute)
	bench.calm = true
	for _, controller := range bench.controllers {
		controller.start()
	}
	bench.until(12*time.Second, "a primary after the last restart", func() bool { return bench.serving() != nil })
	before := len(bench.committed)
	bench.until(5*time.Second, "a command after the last restart", func() bool { return len(bench.committed) > before })
}

// restarts ends one controller after another, for a short while each.
func (wb *watchBench) restarts() {
	if wb.calm {
		return
	}
	wb.after(time.Duration(300+wb.random.IntN(2500))*time.Millisecond, wb.restarts)
	struck := wb.controllers[wb.random.IntN(len(wb.controllers))]
	struck.kill()
	wb.after(time.Duration(wb.random.IntN(1500))*time.Millisecond, struck.start)
}

var identityRuns = []struct {
	name  string
	seeds uint64
	run   func(t trial, seed uint64)
}{
	{"late grants", 10, lateGrants},
	{"late yield", 4, lateYield},
	{"late duty", 4, lateDuty},
	{"late release", 2, lateRelease},
	{"any life", 8, anyLife},
}

func TestNothingOfAnEarlierLifeCounts(t *testing.T) {
	for _, each := range identityRuns {
		for seed := range each.seeds {
			t.Run(fmt.Sprintf("%s %d", each.name, seed), func(t *testing.T) {
				t.Parallel()
				each.run(t, seed)
			})
		}
	}
}
