package simulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
)

// storeServedWithin is the time within which other stores serve the partitions of an
// isolated store.
const storeServedWithin = 8 * time.Second

// isolateStore isolates the store that leads the most partitions, and checks that they are
// served by others meanwhile. It also checks that reports of the isolated store don't get
// other stores marked as degraded.
func isolateStore(t trial, each isolation, seed uint64) {
	t.Helper()
	simulation, _ := Prepare(8100+seed, seeded(5, 1), nil)
	simulation.AddDefaultClients(Small.Clients)
	simulation.Run(3 * time.Second)
	simulation.lastFaultAt = simulation.Now.Add(isolationLength + reconnectWithin)
	leaderCounts := map[string]int{}
	var store *Node
	for _, placement := range simulation.Primary().controllerState().Placements {
		leaderCounts[placement.Leader]++
	}
	for _, node := range simulation.Nodes(membership.KindStore) {
		if store == nil || leaderCounts[node.Name] > leaderCounts[store.Name] {
			store = node
		}
	}
	calm := simulation.Checker.Accepted
	simulation.Run(2 * time.Second)
	rate := float64(simulation.Checker.Accepted-calm) / 2
	mend := each.isolate(simulation, []*Node{store})
	simulation.Run(storeServedWithin)
	_, partitions, callers := simulation.serving()
	assert.Check(t, partitions && callers, "%s, seed %d: partitions served: %v, clients served: %v, after %s", each, seed, partitions, callers, storeServedWithin)
	before := simulation.Checker.Accepted
	simulation.Run(isolationLength - storeServedWithin)
	share := float64(simulation.Checker.Accepted-before) / rate / (isolationLength - storeServedWithin).Seconds()
	assert.Check(t, share > 0.9, "%s, seed %d: only a fraction of %.2f of the usual messages were accepted", each, seed, share)
	degraded := map[string]bool{}
	simulation.every(reconnectWithin, 100*time.Millisecond, 200*time.Millisecond, func() {
		primary := simulation.Primary()
		if primary == nil {
			return
		}
		for name, member := range primary.controllerState().Members {
			if member.Degraded && name != store.Name {
				degraded[name] = true
			}
		}
	})
	mend()
	simulation.Run(reconnectWithin)
	assert.Check(t, len(degraded) == 0, "%s, seed %d: a report of the isolated store took partitions from %v", each, seed, degraded)
	_, partitions, callers = simulation.serving()
	assert.Check(t, partitions && callers, "%s, seed %d: partitions served: %v, clients served: %v, after reconnecting", each, seed, partitions, callers)
	simulation.HealAndClose(20 * time.Second)
	for _, line := range simulation.Checker.Violations() {
		assert.Check(t, false, "%s, seed %d: %s", each, seed, line)
	}
}

func TestAStoreThatIsCutOff(t *testing.T) {
	for _, each := range []isolation{{"store", "core", "both"}, {"store", "core", "out"}, {"store", "core", "in"}, {"store", "all", "both"}, {"store", "all", "out"}, {"store", "all", "in"}} {
		t.Run(each.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				isolateStore(t, each, seed)
			}
		})
	}
}
