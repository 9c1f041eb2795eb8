package consensus

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/explore"
	"dahlialock/internal/statemachine"
)

var deep = flag.Bool("deep", false, "walk the longer explorations too")

// exploration is one walk: what its world begins with, and how far it goes with the
// other tests and with -deep.
type exploration struct {
	name   string
	begin  func() explore.World
	short  explore.Bounds
	longer explore.Bounds
}

const everything = 1000

var (
	allOrders = exploration{
		name: "three voters, all orders",
		begin: func() explore.World {
			return newWorld(3, 3, 1, troubles{submits: 1, losses: 1, repeats: 1, crashes: 1, wipes: 1})
		},
		short:  explore.Bounds{Depth: 5, Budget: everything, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 7, Budget: everything, Finish: explore.FinishLast},
	}
	takeover = exploration{
		name:   "three voters, the primary is cut off, all orders",
		begin:  func() explore.World { return silent() },
		short:  explore.Bounds{Depth: 9, Budget: everything, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 13, Budget: everything, Finish: explore.FinishLast},
	}
	takeoverLong = exploration{
		name:   "three voters, the primary is cut off, troubles in a long run",
		begin:  func() explore.World { return silent() },
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 30, Budget: 2, Finish: explore.FinishLast},
	}
	longRun = exploration{
		name: "three voters, troubles in a long run",
		begin: func() explore.World {
			return newWorld(3, 3, 1, troubles{submits: 1, losses: 1, repeats: 1, crashes: 1, wipes: 1, kills: 1})
		},
		short:  explore.Bounds{Depth: 30, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 20, Budget: 2, Finish: explore.FinishLast},
	}
	yielding = exploration{
		name:   "the primary gives the lease back, another loses its disk, all lose power",
		begin:  yielded,
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 30, Budget: 2, Finish: explore.FinishLast},
	}
	copies = exploration{
		name:   "five voters, a backup is replaced under a command, another loses its disk",
		begin:  backupGone,
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 30, Budget: 2, Finish: explore.FinishLast},
	}
	change = exploration{
		name:   "one voter in for one that is gone, then another loses its disk, all lose power",
		begin:  voterGone,
		short:  explore.Bounds{Depth: 90, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	}
)

// unheard is a witness that leaves as the primary is started anew, and has not heard
// yet who stands by.
var unheard = exploration{
	name: "a witness leaves as the primary begins anew, another loses its disk",
	begin: func() explore.World {
		w := newWorld(4, 3, 1, troubles{wipes: 1, powers: 1, losses: 1})
		w.meet()
		w.nodes[2].leave()
		for range 12 {
			w.ordinary()
		}
		w.nodes[0].end()
		w.nodes[0].start()
		return w
	},
	short:  explore.Bounds{Depth: 90, Budget: 1, Finish: explore.FinishLast},
	longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
}

// leaves is one of three voters leaving in good order while another loses its disk.
func leaves(leaver int, role string) exploration {
	return exploration{
		name:   role + " leaves, another loses its disk, all lose power",
		begin:  leaving(leaver),
		short:  explore.Bounds{Depth: 90, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	}
}

var explorations = []exploration{
	allOrders, takeover, takeoverLong, longRun, yielding, copies, change,
	leaves(0, "the primary"), leaves(1, "the backup"), leaves(2, "a witness"), unheard,
}

// silent is a world whose primary was cut off a while ago, and whose backup is about
// to take over while the lease still runs.
func silent() *world {
	w := newWorld(3, 3, 1, troubles{losses: 1, repeats: 1, crashes: 1})
	w.submit(w.nodes[0])
	for len(w.committed) == 0 {
		w.ordinary()
	}
	w.nodes[0].cut = true
	for !w.nodes[1].watch.reconfig.takingOver {
		w.ordinary()
	}
	return w
}

// yielded is a world whose primary has given the lease back, as for a disk that hangs.
func yielded() explore.World {
	w := newWorld(3, 3, 1, troubles{submits: 1, losses: 1, crashes: 1, wipes: 1, powers: 1})
	w.nodes[0].step(func(now time.Time, effects *statemachine.Effects) { w.nodes[0].watch.ReleaseLease(now, effects) })
	return w
}

// backupGone is a world of five voters, of which two disks may be lost: one backup has
// just been missed, a command is under way.
func backupGone() explore.World {
	w := newWorld(5, 5, 2, troubles{losses: 1, crashes: 1, wipes: 1, kills: 1})
	w.lost = 1
	w.submit(w.nodes[0])
	for len(w.committed) == 0 {
		w.ordinary()
	}
	w.nodes[1].end()
	w.nodes[1].gone = true
	w.submit(w.nodes[0])
	for !w.nodes[0].watch.reconfig.replacing {
		w.ordinary()
	}
	return w
}

// voterGone is a world in which a witness is missed for good and another controller
// stands by. A disk may be lost once the newcomer is a voter and a majority has that
// on its disks.
func voterGone() explore.World {
	w := newWorld(4, 3, 1, troubles{losses: 1, crashes: 1, wipes: 1, powers: 1})
	w.meet()
	w.nodes[2].end()
	w.nodes[2].gone = true
	w.nodes[0].watch.lease.lastGrant["c2"] = w.now.Add(-voterReplaceTimeout)
	w.nodes[0].watch.lease.primarySince = w.now.Add(-voterReplaceTimeout)
	w.mayLose = func(w *world) bool {
		lasting := 0
		for _, each := range w.nodes {
			if _, listed := each.watch.Record().VoterNamed("c3"); each.up && listed && each.watch.storage.syncedEpoch == each.watch.Record().Epoch {
				lasting++
			}
		}
		return lasting > 1
	}
	return w
}

// leaving is a world in which one of three voters has been asked to go, and a fourth
// controller stands by.
func leaving(leaver int) func() explore.World {
	return func() explore.World {
		w := newWorld(4, 3, 1, troubles{wipes: 1, powers: 1, losses: 1, crashes: 1})
		w.meet()
		w.nodes[leaver].leave()
		return w
	}
}

// meet lets all know of those that stand by.
func (w *world) meet() {
	for _, standby := range w.nodes {
		if standby.watch.isVoter() {
			continue
		}
		for _, each := range w.nodes {
			each.step(func(now time.Time, effects *statemachine.Effects) {
				each.watch.HandleMessage(now, statemachine.Meta{From: standby.self.Address}, standby.watch.newHello(), effects)
			})
		}
	}
}

func TestAllThatCanHappen(t *testing.T) {
	for _, each := range explorations {
		t.Run(each.name, func(t *testing.T) {
			bounds := each.short
			if *deep {
				bounds = each.longer
			}
			result := explore.Run(each.begin, bounds)
			t.Log(result)
			assert.NilError(t, result.Broken)
			assert.Assert(t, result.Whole)
		})
	}
}
