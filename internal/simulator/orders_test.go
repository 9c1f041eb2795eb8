// Concurrent orders whose histories must be linearizable: in both modes of versions, and
// several hundred orders in one long run.
package simulator

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/controller"
	"dahlialock/internal/membership"
)

func TestOrdersThatMeetWhereTheHighestNumberCounts(t *testing.T) {
	for _, name := range []string{"orders-pairs", "orders-eight", "orders-retire"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario, found := Find(name)
			assert.Assert(t, found)
			run := Run(scenario, 1, Shapes["highest"], nil)
			for _, line := range run.Checker.Violations() {
				t.Errorf("fleetlab simulate -scenario %s -size highest -from 1 -seeds 1 -trace: %s", name, line)
			}
			t.Logf("%d operations", run.Checker.Register.Operations())
			assert.Assert(t, run.Checker.Register.Operations() > 60)
		})
	}
}

// Several hundred orders in one long run, with few daemons to keep the test fast.
func TestHundredsOfOrdersInALongRun(t *testing.T) {
	for _, highest := range []bool{true, false} {
		t.Run(fmt.Sprint("highest ", highest), func(t *testing.T) {
			t.Parallel()
			size := Shape{Gateways: 1, Stores: 2, Controllers: 5, Zones: 3, Delay: time.Millisecond, HighestVersion: highest}
			run, operator := Prepare(7, size, nil)
			const day = 3 * time.Minute
			desk := newOperatorGroup(run)
			run.every(day, time.Second, 2*time.Second, func() { desk.race(1+run.Random.IntN(8), 1+run.Random.IntN(3)) })
			run.every(day, 200*time.Millisecond, 500*time.Millisecond, operator.read)
			desk.provokeFailovers(day)
			run.Run(day)
			run.Heal()
			run.Run(20 * time.Second)
			operator.read()
			run.Run(5 * time.Second)
			faults := run.Checker.Register.Violations()
			assert.Equal(t, len(faults), 0, "%v", faults)
			t.Logf("%d operations, %d accepted, %d rejected", run.Checker.Register.Operations(), desk.accepted, desk.refused)
			assert.Assert(t, desk.accepted > 200 && desk.refused > 30)
		})
	}
}

// A retired store is removed permanently. The order to retire it is repeated for minutes, at
// all daemons and across failovers of the primary, and must never be rejected.
func TestAnOrderToRetireIsAcknowledgedWhenItsStoreIsGone(t *testing.T) {
	size := Shape{Gateways: 1, Stores: 3, Controllers: 5, Zones: 3, Delay: time.Millisecond}
	run, _ := Prepare(11, size, nil)
	desk := newOperatorGroup(run)
	store := run.Nodes(membership.KindStore)[1]
	taken := 0
	acknowledged := func(status int) {
		taken++
		assert.Check(t, status == http.StatusAccepted, "rejected with %d at %s", status, run.Now)
	}
	desk.retire(store, "retire", maxOrderAttempts, acknowledged)
	assert.Assert(t, run.RunUntil(10*time.Second, func() bool {
		primary := run.Primary()
		return primary != nil && primary.Machine.(*controller.Controller).State().Members[store.Name].Retired
	}))
	store.Kill()
	store.Wipe()
	const gone = 3 * time.Minute
	desk.provokeFailovers(gone)
	run.every(gone, time.Second, 5*time.Second, func() { desk.retire(store, "retire", maxOrderAttempts, acknowledged) })
	run.Run(gone + 20*time.Second)
	t.Logf("acknowledged %d times", taken)
	assert.Assert(t, taken > 40)
}
