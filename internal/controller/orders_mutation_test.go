//go:build mutation

// Each trial of concurrent orders must fail if the mechanism that it tests is disabled.
package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/mutationtest"
	"dahlialock/internal/statemachine"
)

func trialOf(run func(t assert.TestingT)) *mutationtest.Trial {
	return mutationtest.Run(func(t *mutationtest.Trial) { run(t) })
}

func TestOrderMechanismsAreNeeded(t *testing.T) {
	for _, proof := range []struct {
		mutation string
		run      func(t assert.TestingT)
	}{
		{"check-then-act", twoRetirements},
		{"check-then-act", drainsAndLoss},
		{"two-contents", oneContent},
	} {
		restore := statemachine.Mutate(proof.mutation)
		mutated := trialOf(proof.run)
		restore()
		assert.Check(t, mutated.Failed, "nothing is seen of %s", proof.mutation)
		t.Log(proof.mutation, mutated.Lines)
		unmutated := trialOf(proof.run)
		assert.Check(t, !unmutated.Failed, "%v", unmutated.Lines)
	}
}
