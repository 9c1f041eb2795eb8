//go:build mutation

package controller

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Without the limit on tombstones the state must grow, and without the check for references a
// member that is still needed must be removed. Without the limit on the log the log must grow with
// the number of changes.
func TestBoundsOfStateAreNeeded(t *testing.T) {
	for mutation, run := range statemachine.Sorted(map[string]func(t assert.TestingT){
		"tombstones-for-ever": func(t assert.TestingT) {
			sizes := replaceMachines(t, 1, 2000)
			assert.Assert(t, slices.Max(sizes) < slices.Min(sizes)*11/10, "%v", sizes)
		},
		"forget-holders": func(t assert.TestingT) {
			for seed := range uint64(20) {
				replaceMachines(t, seed, 400)
			}
		},
	}) {
		assertNeeded(t, mutation, run)
	}
	for _, mutation := range []string{"snapshot-without-pending", "unsynced-names"} {
		assertNeeded(t, mutation, func(t assert.TestingT) {
			for seed := range uint64(200) {
				powerLossAtAnyPoint(t.(testingT), seed)
			}
		})
	}
	restore := statemachine.Mutate("log-without-end")
	defer restore()
	cluster := newControllerCluster(t, 3)
	cluster.putConfigurations(1, 100, 12)
	recovered := cluster.primary().recoverDisk()
	assert.Check(t, replayBytes(recovered) > maxReplayBytes(0, len(sizedDocument(1, 12))))
}

// assertNeeded checks that a run fails under a mutation.
func assertNeeded(t *testing.T, mutation string, run func(t assert.TestingT)) {
	t.Helper()
	restore := statemachine.Mutate(mutation)
	mutated := runTrial(run)
	restore()
	assert.Check(t, mutated.Failed, "no violation was found under mutation %s", mutation)
	t.Log(mutation, mutated.Lines)
}
