//go:build mutation

// Each trial must find a violation if a new incarnation of a leader gets no new epoch, or if
// followers accept any snapshot.
package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestOrderIDIsNeeded(t *testing.T) {
	defer statemachine.Mutate("orders-unnamed")()
	assert.Assert(t, retiresAfterRepeatedOrder())
}

var mutationByRestart = map[string]string{
	"late acknowledgement": "one-epoch-for-all-lives",
	"late copy":            "one-epoch-for-all-lives",
	"same offset":          "one-epoch-for-all-lives",
	"duplicate snapshot":   "any-frame",
}

func TestEpochsOfIncarnationsAreNeeded(t *testing.T) {
	for _, each := range leaderRestarts {
		restore := statemachine.Mutate(mutationByRestart[each.name])
		violation := ""
		for seed := uint64(0); seed < 5 && violation == ""; seed++ {
			violation = each.run(t, seed)
		}
		restore()
		assert.Check(t, violation != "", "%s found no violation", each.name)
		t.Log(each.name, violation)
	}
}
