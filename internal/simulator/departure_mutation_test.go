//go:build mutation

package simulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Without the check of the clock at the time of sending, each suspension makes the primary
// send a message after its lease has expired.
func TestClockCheckBeforeSendingIsNeeded(t *testing.T) {
	restore := statemachine.Mutate("leave-late")
	defer restore()
	for number, each := range suspensions {
		old, _ := suspendPrimary(t, 0, number)
		assert.Check(t, len(old) > 0, "%s: nothing was sent after the lease expired", each.name)
		if len(old) > 0 {
			t.Logf("%s: %s", each.name, old[0])
		}
	}
}
