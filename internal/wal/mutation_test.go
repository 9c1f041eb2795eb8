//go:build mutation

package wal

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/mutationtest"
	"dahlialock/internal/statemachine"
)

func runTrial(seed uint64, run func(t testingT, seed uint64)) *mutationtest.Trial {
	return mutationtest.Run(func(t *mutationtest.Trial) { run(t, seed) })
}

// TestEachMechanismIsNeeded disables each mechanism in turn and expects that one of the runs,
// which pass with the mechanism, fails.
func TestEachMechanismIsNeeded(t *testing.T) {
	for mutation, run := range statemachine.Sorted(map[string]func(t testingT, seed uint64){
		"unsynced-opening": stopAtAnyMoment,
		"unsynced-names":   stopAtAnyMoment,
		"one-checksum":     stopAtAnyMoment,
		"aside-unmarked":   quarantineAtAnyMoment,
	}) {
		restore := statemachine.Mutate(mutation)
		found := false
		for seed := uint64(0); seed < 2000 && !found; seed++ {
			got := runTrial(seed, run)
			if found = got.Failed; found {
				t.Logf("mutation %s, seed %d: %.300s", mutation, seed, strings.Join(got.Lines, "; "))
			}
		}
		restore()
		assert.Check(t, found, "no run fails with mutation %s", mutation)
	}
}
