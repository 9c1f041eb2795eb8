//go:build mutation

package consensus

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/mutationtest"
	"dahlialock/internal/statemachine"
)

var mechanismProofs = []struct {
	mutation string
	run      func(t trial, seed uint64)
}{
	{"trust-lost-disk", func(t trial, seed uint64) { allFaults(t, seed) }},
	{"no-hold-back", func(t trial, seed uint64) { allFaults(t, seed) }},
	// A primary that has lost contact with a quorum pauses its renewals, so only few seeds also
	// need the revocation of its own grant.
	{"no-way-given", func(t trial, seed uint64) { allFaults(t, 165+seed) }},
	{"snapshot-without-pending", func(t trial, seed uint64) { loseDisksAfterSnapshots(t, seed) }},
	{"lives-alike", delayedGrants},
	{"lives-alike", delayedRelease},
	{"lives-alike", delayedRoleGrants},
	{"deaf-primary", func(t trial, seed uint64) { blockInboundOfPrimary(t, seed, 1) }},
	{"lives-alike", delayedLeaveResponse},
	{"fixed-voters", func(t trial, seed uint64) { replaceLostController(t, seed, "witness") }},
	{"one-backup", func(t trial, seed uint64) { loseDisks(t, seed, 2) }},
	{"patient-primary", func(t trial, seed uint64) {
		longest := longestCommandUnder(t, seed, 1, "backup", replicaFaults["hanging"])
		assert.Assert(t, longest < 2*time.Second, "%s", longest)
	}},
	{"patient-primary", func(t trial, seed uint64) {
		longest := longestCommandUnder(t, seed, 1, "primary", replicaFaults["hanging"])
		assert.Assert(t, longest < 2*time.Second, "%s", longest)
	}},
}

func runExpectingFailure(seed uint64, run func(t trial, seed uint64)) *mutationtest.Trial {
	return mutationtest.Run(func(t *mutationtest.Trial) { run(t, seed) })
}

// TestEachMechanismIsNeeded disables one mechanism at a time, and expects a run that passes with
// the mechanism to fail without it.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, proof := range mechanismProofs {
		restore := statemachine.Mutate(proof.mutation)
		found := false
		for seed := range uint64(60) {
			if got := runExpectingFailure(seed, proof.run); got.Failed {
				t.Logf("without %s, seed %d: %s", proof.mutation, seed, strings.Join(got.Lines, "; "))
				found = true
				break
			}
		}
		restore()
		assert.Check(t, found, "no run failed without %s", proof.mutation)
	}
}
