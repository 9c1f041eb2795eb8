//go:build mutation

// Tests that each promise is violated when its mechanism is disabled: the scenario that
// provokes the failure runs with the mutation, and the checker must report the violation.
// Without the mutation the same seeds must pass. The table gives the first seed that shows
// the violation, so that the test need not search for it.
package simulator

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/checker"
	"dahlialock/internal/statemachine"
)

var mutations = []struct {
	mutation string
	scenario string
	from     uint64
	kinds    []string
}{
	{"deaf-gateway", "calm", 0, []string{checker.NotInForce}},
	{"answer-before-backup", "busy-operators", 0, []string{checker.StaleRead, checker.VersionWentBack}},
	{"lease-for-ever", "cut-primary", 1, []string{checker.StaleRead, checker.VersionWentBack}},
	{"accept-broken", "calm", 0, []string{checker.InvalidAccepted}},
	{"accept-on-one-disk", "lose-disk-in-turn", 0, []string{checker.Lost}},
	{"no-resend-memory", "freeze-store", 0, []string{checker.Duplicate, checker.OutOfOrder}},
	{"no-client-memory", "resets", 0, []string{checker.Duplicate}},
	{"no-order", "cut-links", 0, []string{checker.OutOfOrder, checker.OrderMismatch}},
	{"short-history", "vanish", 0, []string{checker.CursorRejected}},
	{"no-exact-match", "calm", 0, []string{checker.Unsolicited}},
	{"refuse-what-is-open", "freeze-store", 0, []string{checker.AllRejected}},
	{"never-unconfirmed", "remove-space", 3, []string{checker.AfterRemoval}},
	{"no-recent", "moves", 0, []string{checker.Lost}},
	{"no-takeover", "lose-primary", 0, []string{checker.NotRecovered}},
	{"no-resend-memory", "topics-kill-store", 0, []string{checker.Duplicate, checker.OutOfOrder}},
	{"no-topic-prior", "topics-cut-daemon", 0, []string{checker.Skipped, checker.OutOfOrder}},
	{"no-topic-heads", "topics-steady", 3, []string{checker.Lost}},
	{"no-notice-checks", "topics-steady", 70, []string{checker.Presence, checker.LateInCalm}},
	{"place-skips-one", "topics-resets", 0, []string{checker.Lost, checker.Skipped}},
	{"no-passing-offsets", "topics-relink", 0, []string{checker.Duplicate, checker.OutOfOrder}},
	{"two-contents", "orders-pairs", 0, []string{checker.NotLinearizable}},
	{"check-then-act", "orders-retire", 0, []string{checker.TooFewStores}},
	{"answer-before-backup", "orders-eight", 1, []string{checker.NotLinearizable}},
	{"lease-for-ever", "orders-eight", 6, []string{checker.NotLinearizable}},
	{"first-route-wins", "topics-resets", 0, []string{checker.Lost, checker.Skipped}},
}

// findViolation runs a scenario with several seeds until the checker reports a violation of
// one of the kinds. It returns the seed and the violation.
func findViolation(t *testing.T, scenario Scenario, kinds []string, from, seeds uint64) (uint64, string) {
	t.Helper()
	for seed := from; seed < from+seeds; seed++ {
		run := New(seed, Small)
		func() {
			// A mutated state machine may panic on a broken invariant. This test
			// only looks for the checker's violations.
			defer func() { _ = recover() }()
			run = Run(scenario, seed, Small, nil)
		}()
		for _, line := range run.Checker.Violations() {
			for _, kind := range kinds {
				if strings.HasPrefix(line, kind+": ") {
					return seed, line
				}
			}
		}
	}
	return 0, ""
}

func TestEachPromiseBreaksWithoutItsMechanism(t *testing.T) {
	var green []func()
	for _, each := range mutations {
		scenario, found := Find(each.scenario)
		assert.Assert(t, found, each.scenario)
		restore := statemachine.Mutate(each.mutation)
		seed, line := findViolation(t, scenario, each.kinds, each.from, 20)
		restore()
		assert.Check(t, line != "", "%s did not cause a violation of %v in %s", each.mutation, each.kinds, each.scenario)
		if line != "" {
			t.Logf("%s in %s, seed %d: %s", each.mutation, each.scenario, seed, line)
			green = append(green, func() { checkSeed(t, scenario, seed) })
		}
	}
	done := make(chan struct{})
	for _, run := range green {
		go func() {
			run()
			done <- struct{}{}
		}()
	}
	for range green {
		<-done
	}
}
