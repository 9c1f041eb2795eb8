//go:build mutation

// Each trial of orders that meet is red once its mechanism is taken away.
package controller

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// expectation is a trial that may fail.
type expectation struct {
	failed bool
	lines  []string
}

func (e *expectation) Fail() { e.failed = true }

func (e *expectation) FailNow() {
	e.failed = true
	runtime.Goexit()
}

func (e *expectation) Log(values ...any) { e.lines = append(e.lines, fmt.Sprint(values...)) }

func tried(run func(t assert.TestingT)) *expectation {
	expectation, done := &expectation{}, make(chan struct{})
	go func() {
		defer close(done)
		run(expectation)
	}()
	<-done
	return expectation
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
		assert.Check(t, red.failed, "nothing is seen of %s", proof.mutation)
		t.Log(proof.mutation, red.lines)
		green := tried(proof.run)
		assert.Check(t, !green.failed, "%v", green.lines)
	}
}
