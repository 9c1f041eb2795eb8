//go:build mutation

// Each mechanism of the roster and of the copies is taken away once, and a run
// that is green with it must then fail.
package watchbill

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/helm"
)

// expectation is a trial that may fail.
type expectation struct {
	failed bool
	lines  []string
}

func (expectation *expectation) Helper() {}
func (expectation *expectation) Fail()   { expectation.failed = true }
func (expectation *expectation) Log(values ...any) {
	expectation.lines = append(expectation.lines, fmt.Sprint(values...))
}
func (expectation *expectation) Logf(string, ...any) {}
func (expectation *expectation) FailNow() {
	expectation.failed = true
	runtime.Goexit()
}
func (expectation *expectation) Fatalf(format string, values ...any) {
	expectation.Log(fmt.Sprintf(format, values...))
	expectation.FailNow()
}

var proofs = []struct {
	mutation string
	run      func(t trial, seed uint64)
}{
	{"trust-lost-disk", func(t trial, seed uint64) { allBefalls(t, seed) }},
	{"no-hold-back", func(t trial, seed uint64) { allBefalls(t, seed) }},
	{"fixed-roster", func(t trial, seed uint64) { replace(t, seed, "witness") }},
	{"one-backup", func(t trial, seed uint64) { loseDisks(t, seed, 2) }},
	{"patient-primary", func(t trial, seed uint64) {
		longest := strikeHolder(t, seed, 1, "backup", strikes["hanging"])
		assert.Assert(t, longest < 2*time.Second, "%s", longest)
	}},
	{"patient-primary", func(t trial, seed uint64) {
		longest := strikeHolder(t, seed, 1, "primary", strikes["hanging"])
		assert.Assert(t, longest < 2*time.Second, "%s", longest)
	}},
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
	for _, proof := range proofs {
		restore := helm.Mutate(proof.mutation)
		found := false
		for seed := range uint64(60) {
			if got := tried(seed, proof.run); got.failed {
				t.Logf("without %s, seed %d: %s", proof.mutation, seed, strings.Join(got.lines, "; "))
				found = true
				break
			}
		}
		restore()
		assert.Check(t, found, "%s was not seen to matter", proof.mutation)
	}
}
