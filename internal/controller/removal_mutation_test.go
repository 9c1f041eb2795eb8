//go:build mutation

package controller

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Without the bound on tombstones the state grows, and without the question whether
// anything refers to a member what counts is forgotten; a log without a bound grows with
// the changes.
func TestEachMechanismOfTheBoundedStateIsNeeded(t *testing.T) {
	for mutation, run := range statemachine.Sorted(map[string]func(t assert.TestingT){
		"tombstones-for-ever": func(t assert.TestingT) {
			sizes := replaceMachines(t, 1, 2000)
			assert.Assert(t, slices.Max(sizes) < slices.Min(sizes)*11/10, "%v", sizes)
		},
		"forget-holders": func(t assert.TestingT) {
			for seed := range uint64(20) {
				replaceMachines(t, seed, 400)
			}
		},
	}) {
		restore := statemachine.Mutate(mutation)
		red := tried(run)
		restore()
		assert.Check(t, red.Failed, "nothing is seen of %s", mutation)
		t.Log(mutation, red.Lines)
	}
	for _, mutation := range []string{"snapshot-without-pending", "unsynced-names"} {
		restore := statemachine.Mutate(mutation)
		red := tried(func(t assert.TestingT) {
			for seed := range uint64(200) {
				restartAtAnyPoint(t.(reporter), seed)
			}
		})
		restore()
		assert.Check(t, red.Failed, "nothing is seen of %s", mutation)
		t.Log(mutation, red.Lines)
	}
	restore := statemachine.Mutate("log-without-end")
	defer restore()
	c := newCouncil(t, 3)
	c.change(1, 100, 12)
	assert.Check(t, replayBytes(c.primary().recover()) > restartMost(0, len(sizedDocument(1, 12))))
}
