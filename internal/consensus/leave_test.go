package consensus

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxLeaveTime is less than the time that the platform waits for a daemon that was asked to stop.
const maxLeaveTime = 4 * time.Second

// TestLeaveKeepsFaultTolerance has each voter of clusters of one to nine voters leave, with a
// learner to replace it. Once the voter has stopped, the others must tolerate the loss of as many
// disks as configured together with a loss of power of all.
func TestLeaveKeepsFaultTolerance(t *testing.T) {
	for _, size := range []struct{ voters, tolerance int }{
		{1, 0}, {2, 0}, {3, 0}, {3, 1}, {4, 1}, {5, 1}, {5, 2}, {6, 2}, {7, 3}, {8, 3}, {9, 3},
	} {
		for leaver := range size.voters {
			t.Run(fmt.Sprintf("%d voters, tolerance %d, %d leaves", size.voters, size.tolerance, leaver), func(t *testing.T) {
				w := newWorld(size.voters+1, size.voters, size.tolerance, faultBudget{})
				w.introduceLearners()
				w.submit(w.processes[0])
				w.until(t, func() bool { return len(w.committed) == 1 })
				w.processes[leaver].leave()
				w.until(t, func() bool { return w.processes[leaver].removed })
				assert.Assert(t, w.now.Sub(w.begun) < maxLeaveTime, "after %s", w.now.Sub(w.begun))
				w.loseDisksAndPower(size.tolerance)
				assert.NilError(t, w.Finish())
				assert.Equal(t, len(w.committed), 1)
			})
		}
	}
}

// TestLeaveWithoutReplacementIsFast has each voter leave while there is no learner to replace it.
func TestLeaveWithoutReplacementIsFast(t *testing.T) {
	for voters := 2; voters <= 9; voters++ {
		for leaver := range voters {
			w := newWorld(voters, voters, min(1, (voters-1)/2), faultBudget{})
			w.processes[leaver].leave()
			w.until(t, func() bool { return w.processes[leaver].removed })
			assert.Assert(t, w.now.Sub(w.begun) < maxLeaveTime, "%d of %d after %s", leaver, voters, w.now.Sub(w.begun))
			assert.NilError(t, w.Finish())
		}
	}
}

func (w *world) until(t *testing.T, holds func() bool) {
	t.Helper()
	for range maxSteps {
		if holds() {
			return
		}
		w.defaultStep()
		w.checkInvariants()
		assert.NilError(t, w.broken)
	}
	t.Fatal("the condition is not reached")
}

// loseDisksAndPower restarts all processes and wipes the given number of disks, beginning with
// those of complete replicas.
func (w *world) loseDisksAndPower(disks int) {
	w.losePower()
	for _, complete := range []bool{true, false} {
		for _, each := range w.processes {
			if each.up && disks > 0 && len(each.entries) > 0 && (each.node.CompleteEpoch() > 0) == complete {
				disks--
				each.wipe()
			}
		}
	}
}
