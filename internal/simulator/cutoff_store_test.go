package simulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
)

// storeServedWithin is by when the partitions of a store that is cut off are served
// by another.
const storeServedWithin = 8 * time.Second

// cutStore cuts the store that is first for most partitions off, and looks whether
// they are served while it is away.
func cutStore(t trial, each severance, seed uint64) {
	t.Helper()
	simulation, _ := Prepare(8100+seed, seeded(5, 1), nil)
	simulation.Crowd(Small.Clients)
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
	assert.Check(t, partitions && callers, "%s, seed %d: partitions %v callers %v after %s", each, seed, partitions, callers, storeServedWithin)
	before := simulation.Checker.Accepted
	simulation.Run(cutLength - storeServedWithin)
	share := float64(simulation.Checker.Accepted-before) / rate / (cutLength - storeServedWithin).Seconds()
	assert.Check(t, share > 0.9, "%s, seed %d: of usual messages %.2f were accepted", each, seed, share)
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
	assert.Check(t, len(degraded) == 0, "%s, seed %d: the word of one that was cut off took partitions from %v", each, seed, degraded)
	_, partitions, callers = simulation.serving()
	assert.Check(t, partitions && callers, "%s, seed %d: partitions %v callers %v, in touch again", each, seed, partitions, callers)
	simulation.WaitUntilStable(20 * time.Second)
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
