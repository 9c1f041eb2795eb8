//go:build mutation

package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/explore"
	"dahlialock/internal/statemachine"
)

// Disables each mechanism of retirement and replication in turn. An exploration that finds no
// violation with the mechanism must find one without it.
func TestReplicationMechanismsAreNeeded(t *testing.T) {
	for _, each := range []struct {
		mutation    string
		exploration storeExploration
		bounds      explore.Bounds
	}{
		{"store-ends-at-once", storeExplorations[0], storeExplorations[0].short},
		{"done-before-copied", storeExplorations[1], storeExplorations[1].short},
		// The violation needs two faults: a delayed copy and a lost disk.
		{
			"accept-on-one-disk", storeExplorations[4],
			explore.Bounds{Depth: 6, Budget: 2, Finish: explore.FinishLast},
		},
	} {
		t.Run(each.mutation+"/"+each.exploration.name, func(t *testing.T) {
			restore := statemachine.Mutate(each.mutation)
			defer restore()
			result := explore.Run(each.exploration.begin, each.bounds)
			t.Log(result)
			assert.Assert(t, result.Violation != nil, "no violation was found under mutation %s", each.mutation)
		})
	}
}
