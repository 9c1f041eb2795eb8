//go:build mutation

// Without an epoch of its own for each life of a first, or with any frame taken, each
// trial is red.
package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestTheNameOfAnOrderIsNeeded(t *testing.T) {
	defer statemachine.Mutate("orders-unnamed")()
	assert.Assert(t, orderAgain())
}

var ofEachTrial = map[string]string{
	"late acknowledgement": "one-epoch-for-all-lives",
	"late copy":            "one-epoch-for-all-lives",
	"same offset":          "one-epoch-for-all-lives",
	"doubled frame":        "any-frame",
}

func TestWhatTellsLivesOfAFirstApartIsNeeded(t *testing.T) {
	for _, each := range restartedFirst {
		restore := statemachine.Mutate(ofEachTrial[each.name])
		broken := ""
		for seed := uint64(0); seed < 5 && broken == ""; seed++ {
			broken = each.run(t, seed)
		}
		restore()
		assert.Check(t, broken != "", "nothing is seen by %s", each.name)
		t.Log(each.name, broken)
	}
}
