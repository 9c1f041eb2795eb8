//go:build mutation

package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/explore"
	"dahlialock/internal/statemachine"
)

// Each mechanism of retiring and copying is taken away once, and a walk that is whole
// with it must then find a broken promise.
func TestEachMechanismOfCopiesIsNeeded(t *testing.T) {
	for _, each := range []struct {
		mutation string
		walk     storeWalk
		bounds   explore.Bounds
	}{
		{"store-ends-at-once", storeWalks[0], storeWalks[0].short},
		{"done-before-copied", storeWalks[1], storeWalks[1].short},
		// The copy must be late, and the disk lost: two troubles.
		{"accept-on-one-disk", storeWalks[4], explore.Bounds{Depth: 6, Budget: 2, Finish: explore.FinishLast}},
	} {
		t.Run(each.mutation+"/"+each.walk.name, func(t *testing.T) {
			restore := statemachine.Mutate(each.mutation)
			defer restore()
			result := explore.Run(each.walk.begin, each.bounds)
			t.Log(result)
			assert.Assert(t, result.Broken != nil, "%s was not seen to matter", each.mutation)
		})
	}
}
