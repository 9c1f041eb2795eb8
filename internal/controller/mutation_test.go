//go:build mutation

// Each trial of orders that meet is red once its mechanism is taken away.
package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/mutationtest"
	"dahlialock/internal/statemachine"
)

func tried(run func(t assert.TestingT)) *mutationtest.Trial {
	return mutationtest.Run(func(t *mutationtest.Trial) { run(t) })
}

func TestEachMechanismOfOrdersIsNeeded(t *testing.T) {
	for _, proof := range []struct {
		mutation string
		run      func(t assert.TestingT)
	}{
		{"check-then-act", twoRetirements},
		{"check-then-act", drainsAndALoss},
		{"two-contents", oneNumber},
	} {
		restore := statemachine.Mutate(proof.mutation)
		red := tried(proof.run)
		restore()
		assert.Check(t, red.Failed, "nothing is seen of %s", proof.mutation)
		t.Log(proof.mutation, red.Lines)
		green := tried(proof.run)
		assert.Check(t, !green.Failed, "%v", green.Lines)
	}
}
