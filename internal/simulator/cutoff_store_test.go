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

// cutStore isolates the store that leads the most partitions, and checks that they are
// served by others meanwhile. It also checks that reports of the isolated store don't get
// other stores marked as degraded.
func cutStore(t trial, each severance, seed uint64) {
	t.Helper()
	simulation, _ := Prepare(8100+seed, seeded(5, 1), nil)
	simulation.AddDefaultClients(Small.Clients)
	simulation.Run(3 * time.Second)
	simulation.lastFaultAt = simulation.Now.Add(cutLength + contactWithin)
	firsts := map[string]int{}
	var store *Node
	for _, placement := range simulation.Primary().watchedState().Placements {
		firsts[placement.Leader]++
	}
	for _, node := range simulation.Nodes(membership.KindStore) {
		if store == nil || firsts[node.Name] > firsts[store.Name] {
			store = node
		}
	}
	calm := simulation.Checker.Accepted
	simulation.Run(2 * time.Second)
	rate := float64(simulation.Checker.Accepted-calm) / 2
	mend := each.cut(simulation, []*Node{store})
	simulation.Run(storeServedWithin)
	_, partitions, callers := simulation.serving()
	assert.Check(t, partitions && callers, "%s, seed %d: partitions served: %v, clients served: %v, after %s", each, seed, partitions, callers, storeServedWithin)
	before := simulation.Checker.Accepted
	simulation.Run(cutLength - storeServedWithin)
	share := float64(simulation.Checker.Accepted-before) / rate / (cutLength - storeServedWithin).Seconds()
	assert.Check(t, share > 0.9, "%s, seed %d: only a fraction of %.2f of the usual messages were accepted", each, seed, share)
	degraded := map[string]bool{}
	simulation.every(contactWithin, 100*time.Millisecond, 200*time.Millisecond, func() {
		primary := simulation.Primary()
		if primary == nil {
			return
		}
		for name, member := range primary.watchedState().Members {
			if member.Degraded && name != store.Name {
				degraded[name] = true
			}
		}
	})
	mend()
	simulation.Run(contactWithin)
	assert.Check(t, len(degraded) == 0, "%s, seed %d: a report of the isolated store took partitions from %v", each, seed, degraded)
	_, partitions, callers = simulation.serving()
	assert.Check(t, partitions && callers, "%s, seed %d: partitions served: %v, clients served: %v, after reconnecting", each, seed, partitions, callers)
	simulation.HealAndClose(20 * time.Second)
	for _, line := range simulation.Checker.Violations() {
		assert.Check(t, false, "%s, seed %d: %s", each, seed, line)
	}
}

func TestAStoreThatIsCutOff(t *testing.T) {
	for _, each := range []severance{{"store", "core", "both"}, {"store", "core", "out"}, {"store", "core", "in"}, {"store", "all", "both"}, {"store", "all", "out"}, {"store", "all", "in"}} {
		t.Run(each.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				cutStore(t, each, seed)
			}
		})
	}
}
