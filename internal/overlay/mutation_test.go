//go:build mutation

// Shows that the checks and the detection of gaps are needed: without them the churn
// tests find counts that stay wrong. Built with the tag mutation only.
package overlay

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestKnowledgeStaysWrongWithoutComparisons(t *testing.T) {
	for _, mutation := range []string{"no-notice-checks", "gaps-unheeded"} {
		restore := statemachine.Mutate(mutation)
		failures := 0
		for seed := range uint64(60) {
			if wrong, faults := runChurn(t, seed, 4+int(seed%5)); len(wrong) > 0 {
				failures++
				if failures == 1 {
					t.Logf("%s, seed %d, %v: %s", mutation, seed, faults, wrong[0])
				}
			}
		}
		restore()
		t.Logf("%s: wrong counts with %d of 60 seeds", mutation, failures)
		assert.Assert(t, failures > 0, mutation)
	}
}
