package consensus

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaveLimit is within what the platform lets a daemon run that was asked to end.
const leaveLimit = 4 * time.Second

// Whoever leaves goes only when the others can lose as many disks as are tolerated, and
// all power, at every moment from then on: each voter of one to nine, with a successor.
func TestWhoeverLeavesLeavesEnough(t *testing.T) {
	for _, size := range []struct{ voters, tolerance int }{
		{1, 0}, {2, 0}, {3, 0}, {3, 1}, {4, 1}, {5, 1}, {5, 2}, {6, 2}, {7, 3}, {8, 3}, {9, 3},
	} {
		for leaver := range size.voters {
			t.Run(fmt.Sprintf("%d voters, tolerance %d, %d leaves", size.voters, size.tolerance, leaver), func(t *testing.T) {
				w := newWorld(size.voters+1, size.voters, size.tolerance, troubles{})
				w.meet()
				w.submit(w.nodes[0])
				w.until(t, func() bool { return len(w.committed) == 1 })
				w.nodes[leaver].leave()
				w.until(t, func() bool { return w.nodes[leaver].gone })
				assert.Assert(t, w.now.Sub(w.begun) < leaveLimit, "after %s", w.now.Sub(w.begun))
				w.strike(size.tolerance)
				assert.NilError(t, w.Finish())
				assert.Equal(t, len(w.committed), 1)
			})
		}
	}
}

// Where nobody can take its place a controller goes soon, and the others go on.
func TestWhoeverCanNotBeReplacedLeavesSoon(t *testing.T) {
	for voters := 2; voters <= 9; voters++ {
		for leaver := range voters {
			w := newWorld(voters, voters, min(1, (voters-1)/2), troubles{})
			w.nodes[leaver].leave()
			w.until(t, func() bool { return w.nodes[leaver].gone })
			assert.Assert(t, w.now.Sub(w.begun) < leaveLimit, "%d of %d after %s", leaver, voters, w.now.Sub(w.begun))
			assert.NilError(t, w.Finish())
		}
	}
}

func (w *world) until(t *testing.T, holds func() bool) {
	t.Helper()
	for range mostSteps {
		if holds() {
			return
		}
		w.ordinary()
		w.judge()
		assert.NilError(t, w.broken)
	}
	t.Fatal("it does not come to that")
}

// strike takes the disks of so many, those with the state first, and the power of all.
func (w *world) strike(disks int) {
	w.power()
	for _, holding := range []bool{true, false} {
		for _, each := range w.nodes {
			if each.up && disks > 0 && len(each.entries) > 0 && (each.watch.CompleteEpoch() > 0) == holding {
				disks--
				each.wipe()
			}
		}
	}
}
