package consensus

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/explore"
	"dahlialock/internal/statemachine"
)

var deep = flag.Bool("deep", false, "run the longer explorations too")

// exploration is an exhaustive search of the states that are reachable from an initial state,
// with bounds for ordinary runs and for runs with -deep.
type exploration struct {
	name   string
	begin  func() explore.World
	short  explore.Bounds
	longer explore.Bounds
}

const unlimitedBudget = 1000

var (
	allOrdersExploration = exploration{
		name: "three voters, all orders",
		begin: func() explore.World {
			return newWorld(3, 3, 1, faultBudget{submits: 1, losses: 1, repeats: 1, crashes: 1, wipes: 1})
		},
		short:  explore.Bounds{Depth: 5, Budget: unlimitedBudget, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 7, Budget: unlimitedBudget, Finish: explore.FinishLast},
	}
	takeoverExploration = exploration{
		name:   "three voters, the primary is partitioned, all orders",
		begin:  func() explore.World { return primaryPartitioned() },
		short:  explore.Bounds{Depth: 9, Budget: unlimitedBudget, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 13, Budget: unlimitedBudget, Finish: explore.FinishLast},
	}
	longTakeoverExploration = exploration{
		name:   "three voters, the primary is partitioned, faults in a long run",
		begin:  func() explore.World { return primaryPartitioned() },
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 30, Budget: 2, Finish: explore.FinishLast},
	}
	longExploration = exploration{
		name: "three voters, faults in a long run",
		begin: func() explore.World {
			return newWorld(3, 3, 1, faultBudget{submits: 1, losses: 1, repeats: 1, crashes: 1, wipes: 1, kills: 1})
		},
		short:  explore.Bounds{Depth: 30, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 20, Budget: 2, Finish: explore.FinishLast},
	}
	releaseExploration = exploration{
		name:   "the primary releases the lease, another loses its disk, all lose power",
		begin:  leaseReleased,
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 30, Budget: 2, Finish: explore.FinishLast},
	}
	backupExploration = exploration{
		name:   "five voters, a backup is replaced while a command is pending, another loses its disk",
		begin:  backupLost,
		short:  explore.Bounds{Depth: 60, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 30, Budget: 2, Finish: explore.FinishLast},
	}
	voterExploration = exploration{
		name:   "a lost voter is replaced, then another loses its disk, all lose power",
		begin:  voterLost,
		short:  explore.Bounds{Depth: 90, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	}
)

// leaveWithUnknownLearners has a witness (a voter that is neither the primary nor a backup) leave
// while the primary is restarted and has not yet received the Hello messages of the learners.
var leaveWithUnknownLearners = exploration{
	name: "a witness leaves while the primary restarts, another loses its disk",
	begin: func() explore.World {
		w := newWorld(4, 3, 1, faultBudget{wipes: 1, powerLosses: 1, losses: 1})
		w.introduceLearners()
		w.processes[2].leave()
		for range 12 {
			w.defaultStep()
		}
		w.processes[0].end()
		w.processes[0].start()
		return w
	},
	short:  explore.Bounds{Depth: 90, Budget: 1, Finish: explore.FinishLast},
	longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
}

// leaveExploration returns an exploration in which one of three voters leaves while another loses
// its disk.
func leaveExploration(leaver int, role string) exploration {
	return exploration{
		name:   role + " leaves, another loses its disk, all lose power",
		begin:  leavingWorld(leaver),
		short:  explore.Bounds{Depth: 90, Budget: 1, Finish: explore.FinishLast},
		longer: explore.Bounds{Depth: 40, Budget: 2, Finish: explore.FinishLast},
	}
}

var explorations = []exploration{
	allOrdersExploration,
	takeoverExploration,
	longTakeoverExploration,
	longExploration,
	releaseExploration,
	backupExploration,
	voterExploration,
	leaveExploration(0, "the primary"),
	leaveExploration(1, "the backup"),
	leaveExploration(2, "a witness"),
	leaveWithUnknownLearners,
}

// primaryPartitioned returns a world whose primary has been partitioned, and whose backup is about to
// take over while the lease has not expired yet.
func primaryPartitioned() *world {
	w := newWorld(3, 3, 1, faultBudget{losses: 1, repeats: 1, crashes: 1})
	w.submit(w.processes[0])
	for len(w.committed) == 0 {
		w.defaultStep()
	}
	w.processes[0].partitioned = true
	for !w.processes[1].node.reconfig.takingOver {
		w.defaultStep()
	}
	return w
}

// leaseReleased returns a world whose primary has released the lease, as it does when its disk
// stalls.
func leaseReleased() explore.World {
	w := newWorld(3, 3, 1, faultBudget{submits: 1, losses: 1, crashes: 1, wipes: 1, powerLosses: 1})
	primary := w.processes[0]
	primary.step(func(now time.Time, effects *statemachine.Effects) { primary.node.ReleaseLease(now, effects) })
	return w
}

// backupLost returns a world of five voters that tolerates the loss of two disks. The primary has
// just detected the loss of one backup while a command is pending.
func backupLost() explore.World {
	w := newWorld(5, 5, 2, faultBudget{losses: 1, crashes: 1, wipes: 1, kills: 1})
	w.lost = 1
	w.submit(w.processes[0])
	for len(w.committed) == 0 {
		w.defaultStep()
	}
	w.processes[1].end()
	w.processes[1].removed = true
	w.submit(w.processes[0])
	for !w.processes[0].node.reconfig.replacing {
		w.defaultStep()
	}
	return w
}

// voterLost returns a world in which a witness is permanently lost and there is a learner. A disk
// may be lost once the learner is a voter and a majority has synced the record that lists it.
func voterLost() explore.World {
	w := newWorld(4, 3, 1, faultBudget{losses: 1, crashes: 1, wipes: 1, powerLosses: 1})
	w.introduceLearners()
	w.processes[2].end()
	w.processes[2].removed = true
	w.processes[0].node.lease.lastGrant["c2"] = w.now.Add(-voterReplaceTimeout)
	w.processes[0].node.lease.primarySince = w.now.Add(-voterReplaceTimeout)
	w.mayLose = func(w *world) bool {
		durable := 0
		for _, each := range w.processes {
			_, listed := each.node.Record().VoterNamed("c3")
			if each.up && listed && each.node.storage.syncedEpoch == each.node.Record().Epoch {
				durable++
			}
		}
		return durable > 1
	}
	return w
}

// leavingWorld returns a function that returns a world in which one of three voters was asked to
// leave and there is a learner.
func leavingWorld(leaver int) func() explore.World {
	return func() explore.World {
		w := newWorld(4, 3, 1, faultBudget{wipes: 1, powerLosses: 1, losses: 1, crashes: 1})
		w.introduceLearners()
		w.processes[leaver].leave()
		return w
	}
}

// introduceLearners delivers a Hello of each learner to all processes.
func (w *world) introduceLearners() {
	for _, learner := range w.processes {
		if learner.node.isVoter() {
			continue
		}
		for _, each := range w.processes {
			each.step(func(now time.Time, effects *statemachine.Effects) {
				each.node.HandleMessage(now, statemachine.Meta{From: learner.self.Address}, learner.node.newHello(), effects)
			})
		}
	}
}

func TestNodeExploration(t *testing.T) {
	for _, each := range explorations {
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
