//go:build mutation

package simulator

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// doomed is a trial that is expected to fail. It records the messages of failed checks.
type doomed struct{ lines []string }

func (*doomed) Helper()  {}
func (*doomed) Fail()    {}
func (*doomed) FailNow() { panic("a trial was aborted by FailNow") }
func (d *doomed) Log(values ...any) {
	d.lines = append(d.lines, fmt.Sprint(values...))
}

// cutOffProofs lists the mechanism to disable, where to isolate, and a part of the message
// with which the trial must then fail.
var cutOffProofs = []struct {
	mutation string
	from     severance
	says     string
}{
	{"no-relays", severance{"leader", "core", "both"}, "were forwarded"},
	{"no-relays", severance{"witness", "core", "both"}, "were forwarded"},
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
