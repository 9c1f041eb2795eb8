package controller

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/explore"
)

var deep = flag.Bool("deep", false, "run the longer explorations too")

// The bounds of the explorations.
var (
	shortBounds  = explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast}
	longerBounds = explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast}
)

// storeExploration is one exploration of a cluster of stores, with the bounds of its short and
// its longer variant.
type storeExploration struct {
	name   string
	begin  func() explore.World
	short  explore.Bounds
	longer explore.Bounds
}

// worldWith returns a function that creates a world in which a fault has just happened.
func worldWith(stores, tolerance int, budget faultBudget, fault func(w *storeWorld)) func() explore.World {
	return func() explore.World {
		w := newStoreWorld(stores, tolerance, budget)
		fault(w)
		return w
	}
}

var storeExplorations = []storeExploration{
	{
		name: "the leader is stopped and taken away, another loses its disk",
		begin: worldWith(3, 1, faultBudget{appends: 1, losses: 1, duplicates: 1, wipes: 1}, func(w *storeWorld) {
			w.leader().stop()
		}),
		short:  shortBounds,
		longer: longerBounds,
	},
	{
		name: "the leader is retired, another loses its disk",
		begin: worldWith(3, 1, faultBudget{appends: 1, losses: 1, duplicates: 1, wipes: 1}, func(w *storeWorld) {
			w.retire(w.leader())
		}),
		short:  shortBounds,
		longer: longerBounds,
	},
	{
		name: "the follower is retired, another loses its disk",
		begin: worldWith(3, 1, faultBudget{appends: 1, losses: 1, duplicates: 1, wipes: 1}, func(w *storeWorld) {
			w.retire(w.follower())
		}),
		short:  shortBounds,
		longer: longerBounds,
	},
	{
		name: "two disks may be lost: one store is removed, one is retired, another loses its disk",
		begin: worldWith(5, 2, faultBudget{appends: 1, losses: 1, wipes: 1}, func(w *storeWorld) {
			w.retire(w.leader())
			w.follower().remove()
			w.lost = 1
		}),
		short:  shortBounds,
		longer: longerBounds,
	},
	{
		name: "a message is in flight, a store loses its disk or is removed",
		begin: worldWith(3, 1, faultBudget{losses: 1, duplicates: 1, wipes: 1, removals: 1}, func(w *storeWorld) {
			w.append("early", 1)
		}),
		short:  explore.Bounds{Depth: 30, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 30, Budget: 2, Finish: explore.FinishLast},
	},
	{
		name: "a replica is replaced while a message is in flight, a store is restarted",
		begin: worldWith(3, 1, faultBudget{appends: 1, losses: 1, duplicates: 1, restarts: 1}, func(w *storeWorld) {
			w.append("early", 1)
			w.follower().remove()
			w.lost = 1
		}),
		short:  shortBounds,
		longer: longerBounds,
	},
}

func TestPartitionExploration(t *testing.T) {
	for _, each := range storeExplorations {
		t.Run(each.name, func(t *testing.T) {
			bounds := each.short
			if *deep {
				bounds = each.longer
			}
			result := explore.Run(each.begin, bounds)
			t.Log(result)
			assert.NilError(t, result.Violation)
			assert.Assert(t, result.Complete)
		})
	}
}
