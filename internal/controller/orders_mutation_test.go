//go:build mutation

// Each trial of concurrent orders must fail if the mechanism that it tests is disabled.
package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/mutationtest"
	"dahlialock/internal/statemachine"
)

func runTrial(run func(t assert.TestingT)) *mutationtest.Trial {
	return mutationtest.Run(func(t *mutationtest.Trial) { run(t) })
}

func TestOrderMechanismsAreNeeded(t *testing.T) {
	for _, trial := range []struct {
		mutation string
		run      func(t assert.TestingT)
	}{
		{"check-then-act", checkConcurrentRetirements},
		{"check-then-act", checkDrainsWithConcurrentLeave},
		{"two-contents", checkOneContentPerVersion},
	} {
		restore := statemachine.Mutate(trial.mutation)
		mutated := runTrial(trial.run)
		restore()
		assert.Check(t, mutated.Failed, "no violation was found under mutation %s", trial.mutation)
		t.Log(trial.mutation, mutated.Lines)
		unmutated := runTrial(trial.run)
		assert.Check(t, !unmutated.Failed, "%v", unmutated.Lines)
	}
}
