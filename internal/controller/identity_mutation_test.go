//go:build mutation

// Without an epoch of its own for each life of a first, each trial is red.
package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestAnEpochOfItsOwnIsNeeded(t *testing.T) {
	for _, each := range restartedFirst {
		restore := statemachine.Mutate("one-epoch-for-all-lives")
		broken := ""
		for seed := uint64(0); seed < 5 && broken == ""; seed++ {
			broken = each.run(t, seed)
		}
		restore()
		assert.Check(t, broken != "", "nothing is seen by %s", each.name)
		t.Log(each.name, broken)
	}
}
