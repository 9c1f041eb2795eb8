//go:build mutation

// Each mechanism of the voters and of the copies is taken away once, and a run
// that is green with it must then fail.
package consensus

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/mutationtest"
	"dahlialock/internal/statemachine"
)

var proofs = []struct {
	mutation string
	run      func(t trial, seed uint64)
}{
	{"trust-lost-disk", func(t trial, seed uint64) { allBefalls(t, seed) }},
	{"no-hold-back", func(t trial, seed uint64) { allBefalls(t, seed) }},
	// A primary that hears too few keeps quiet, so that few seeds need it to give way too.
	{"no-way-given", func(t trial, seed uint64) { allBefalls(t, 165+seed) }},
	{"snapshot-without-pending", func(t trial, seed uint64) { loseDisksAfterSnapshots(t, seed) }},
	{"lives-alike", lateGrants},
	{"lives-alike", lateYield},
	{"lives-alike", lateDuty},
	{"deaf-primary", func(t trial, seed uint64) { deafPrimary(t, seed, 1) }},
	{"lives-alike", lateRelease},
	{"fixed-voters", func(t trial, seed uint64) { replace(t, seed, "witness") }},
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

func tried(seed uint64, run func(t trial, seed uint64)) *mutationtest.Trial {
	return mutationtest.Run(func(t *mutationtest.Trial) { run(t, seed) })
}

func TestEachMechanismIsNeeded(t *testing.T) {
	for _, proof := range proofs {
		restore := statemachine.Mutate(proof.mutation)
		found := false
		for seed := range uint64(60) {
			if got := tried(seed, proof.run); got.Failed {
				t.Logf("without %s, seed %d: %s", proof.mutation, seed, strings.Join(got.Lines, "; "))
				found = true
				break
			}
		}
		restore()
		assert.Check(t, found, "%s was not seen to matter", proof.mutation)
	}
}
