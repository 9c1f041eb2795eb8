//go:build mutation

package simulator

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// doomed is a trial that is expected to fail.
type doomed struct{ lines []string }

func (*doomed) Helper()  {}
func (*doomed) Fail()    {}
func (*doomed) FailNow() { panic("a trial could not go on") }
func (d *doomed) Log(values ...any) {
	d.lines = append(d.lines, fmt.Sprint(values...))
}

// What is taken away, where, and what the trial then says.
var cutOffProofs = []struct {
	mutation string
	from     severance
	says     string
}{
	{"no-relays", severance{"leader", "core", "both"}, "were passed on"},
	{"no-relays", severance{"witness", "core", "both"}, "were passed on"},
	{"lease-for-ever", severance{"minority", "core", "both"}, "stale"},
}

func TestEachMechanismOfACutOffIsNeeded(t *testing.T) {
	for _, each := range cutOffProofs {
		restore := statemachine.Mutate(each.mutation)
		trial := &doomed{}
		judgeAnswers(trial, each.from, 0, cutOff(trial, each.from, 0))
		restore()
		said := strings.Join(trial.lines, "\n")
		t.Logf("%s, %s: %.300s", each.mutation, each.from, said)
		assert.Check(t, strings.Contains(said, each.says), "%s, %s: %s", each.mutation, each.from, said)
	}
}

func TestEachMechanismOfACutOffStoreIsNeeded(t *testing.T) {
	for mutation, says := range map[string]string{"deaf-store": "were accepted", "any-reporter": "took partitions"} {
		restore := statemachine.Mutate(mutation)
		trial := &doomed{}
		shown := func() bool { return strings.Contains(strings.Join(trial.lines, "\n"), says) }
		for seed := uint64(0); seed < 20 && !shown(); seed++ {
			cutStore(trial, severance{"store", "core", "in"}, seed)
		}
		restore()
		assert.Check(t, shown(), "%s: %v", mutation, trial.lines)
		t.Logf("%s: %.200s", mutation, strings.Join(trial.lines, "\n"))
	}
}
