//go:build mutation

// Each mechanism of the log is taken away once, and a run that is green with it must
// then fail.

package wal

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// expectation is a trial that may fail.
type expectation struct {
	failed bool
	lines  []string
}

func (e *expectation) Helper()           {}
func (e *expectation) Fail()             { e.failed = true }
func (e *expectation) Log(values ...any) { e.lines = append(e.lines, fmt.Sprint(values...)) }
func (e *expectation) FailNow() {
	e.failed = true
	runtime.Goexit()
}

func tried(seed uint64, run func(t trial, seed uint64)) *expectation {
	expectation, done := &expectation{}, make(chan struct{})
	go func() {
		defer close(done)
		run(expectation, seed)
	}()
	<-done
	return expectation
}

func TestEachMechanismIsNeeded(t *testing.T) {
	for mutation, run := range statemachine.Sorted(map[string]func(t trial, seed uint64){
		"unsynced-opening": loseAtAnyMoment,
		"unsynced-names":   loseAtAnyMoment,
		"one-checksum":     loseAtAnyMoment,
		"aside-unmarked":   putAsideAtAnyMoment,
	}) {
		restore := statemachine.Mutate(mutation)
		found := false
		for seed := uint64(0); seed < 2000 && !found; seed++ {
			got := tried(seed, run)
			if found = got.failed; found {
				t.Logf("without %s, seed %d: %.300s", mutation, seed, strings.Join(got.lines, "; "))
			}
		}
		restore()
		assert.Check(t, found, "%s was not seen to matter", mutation)
	}
}
