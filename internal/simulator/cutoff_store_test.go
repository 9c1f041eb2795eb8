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
	simulation.Crowd(Small.Callers)
	simulation.Run(3 * time.Second)
	simulation.trouble = simulation.Now.Add(cutLength + contactWithin)
	firsts := map[string]int{}
	var store *Node
	for _, place := range simulation.Primary().watchedState().Places {
		firsts[place.First]++
	}
	for _, node := range simulation.Nodes(membership.KindStore) {
		if store == nil || firsts[node.Name] > firsts[store.Name] {
			store = node
		}
	}
	mend := each.cut(simulation, []*Node{store})
	simulation.Run(storeServedWithin)
	_, partitions, callers := simulation.serving()
	assert.Check(t, partitions && callers, "%s, seed %d: partitions %v callers %v after %s", each, seed, partitions, callers, storeServedWithin)
	simulation.Run(cutLength - storeServedWithin)
	mend()
	simulation.Settle(20 * time.Second)
	for _, line := range simulation.Checker.Violations() {
		assert.Check(t, false, "%s, seed %d: %s", each, seed, line)
	}
}

func TestAStoreThatIsCutOff(t *testing.T) {
	for _, each := range []severance{{"store", "core", "both"}, {"store", "core", "out"}, {"store", "core", "in"}, {"store", "all", "both"}, {"store", "all", "out"}, {"store", "all", "in"}} {
		t.Run(each.String(), func(t *testing.T) {
			t.Parallel()
			cutStore(t, each, 0)
		})
	}
}
