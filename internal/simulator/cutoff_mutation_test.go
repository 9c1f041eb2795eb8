//go:build mutation

package simulator

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// recordingTrial is a trial that is expected to fail. It records the messages of failed checks.
type recordingTrial struct{ lines []string }

func (*recordingTrial) Helper()  {}
func (*recordingTrial) Fail()    {}
func (*recordingTrial) FailNow() { panic("a trial was aborted by FailNow") }
func (d *recordingTrial) Log(values ...any) {
	d.lines = append(d.lines, fmt.Sprint(values...))
}

// isolationMutations lists the mechanism to disable, where to isolate, and a part of the message
// with which the trial must then fail.
var isolationMutations = []struct {
	mutation string
	from     isolation
	message  string
}{
	{"no-relays", isolation{"leader", "core", "both"}, "were forwarded"},
	{"no-relays", isolation{"witness", "core", "both"}, "were forwarded"},
	{"lease-for-ever", isolation{"minority", "core", "both"}, "stale"},
}

func TestEachMechanismOfACutOffIsNeeded(t *testing.T) {
	for _, each := range isolationMutations {
		restore := statemachine.Mutate(each.mutation)
		trial := &recordingTrial{}
		checkResponses(trial, each.from, 0, runIsolation(trial, each.from, 0))
		restore()
		said := strings.Join(trial.lines, "\n")
		t.Logf("%s, %s: %.300s", each.mutation, each.from, said)
		assert.Check(t, strings.Contains(said, each.message), "%s, %s: %s", each.mutation, each.from, said)
	}
}

func TestEachMechanismOfACutOffStoreIsNeeded(t *testing.T) {
	for mutation, says := range map[string]string{"deaf-store": "were accepted", "any-reporter": "took partitions"} {
		restore := statemachine.Mutate(mutation)
		trial := &recordingTrial{}
		shown := func() bool { return strings.Contains(strings.Join(trial.lines, "\n"), says) }
		for seed := uint64(0); seed < 20 && !shown(); seed++ {
			isolateStore(trial, isolation{"store", "core", "in"}, seed)
		}
		restore()
		assert.Check(t, shown(), "%s: %v", mutation, trial.lines)
		t.Logf("%s: %.200s", mutation, strings.Join(trial.lines, "\n"))
	}
}
