//go:build mutation

package consensus

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/explore"
	"dahlialock/internal/statemachine"
)

// TestEachMechanismOfASecondLossIsNeeded disables, one at a time, the mechanisms that keep the
// guarantees when a second loss follows a first one. It expects an exploration to find a violation
// for each of them.
func TestEachMechanismOfASecondLossIsNeeded(t *testing.T) {
	for _, each := range []struct {
		mutation string
		search   exploration
	}{
		{"grant-at-once", longTakeoverExploration},
		{"answer-before-backup", longExploration},
		{"copy-counts-at-once", backupExploration},
		{"leave-at-once", leaveExploration(2, "a witness")},
		{"leave-at-once", leaveExploration(0, "the primary")},
		{"leave-when-out", leaveExploration(2, "a witness")},
		{"irreplaceable-unheard", leaveWithUnknownLearners},
		{"primary-waits-for-backup", releaseExploration},
		{"epochs-without-pause", leaveExploration(0, "the primary")},
	} {
		t.Run(each.mutation+"/"+each.search.name, func(t *testing.T) {
			restore := statemachine.Mutate(each.mutation)
			defer restore()
			result := explore.Run(each.search.begin, each.search.short)
			t.Log(result)
			assert.Assert(t, result.Violation != nil, "the exploration found no violation without %s", each.mutation)
		})
	}
}
