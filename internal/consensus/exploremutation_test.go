//go:build mutation

package consensus

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/explore"
	"dahlialock/internal/statemachine"
)

// Each mechanism that holds when a second loss follows a first is taken away once,
// and one of the walks that are whole with it must then find a broken promise.
func TestEachMechanismOfASecondLossIsNeeded(t *testing.T) {
	for _, each := range []struct {
		mutation string
		walk     exploration
	}{
		{"grant-at-once", takeoverLong},
		{"answer-before-backup", longRun},
		{"copy-counts-at-once", copies},
		{"leave-at-once", leaves(2, "a witness")},
		{"leave-at-once", leaves(0, "the primary")},
		{"leave-when-out", leaves(2, "a witness")},
		{"irreplaceable-unheard", unheard},
		{"primary-waits-for-backup", yielding},
		{"epochs-without-pause", leaves(0, "the primary")},
	} {
		t.Run(each.mutation+"/"+each.walk.name, func(t *testing.T) {
			restore := statemachine.Mutate(each.mutation)
			defer restore()
			result := explore.Run(each.walk.begin, each.walk.short)
			t.Log(result)
			assert.Assert(t, result.Broken != nil, "%s was not seen to matter", each.mutation)
		})
	}
}
