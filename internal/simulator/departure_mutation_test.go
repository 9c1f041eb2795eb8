//go:build mutation

package simulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Without the look at the clock as messages leave, each standstill lets something
// out that its sender may not say any more.
func TestTheLookAtTheClockIsNeeded(t *testing.T) {
	restore := statemachine.Mutate("leave-late")
	defer restore()
	for number, each := range standstills {
		old, _ := standStill(t, 0, number)
		assert.Check(t, len(old) > 0, "%s: nothing left late", each.name)
		if len(old) > 0 {
			t.Logf("%s: %s", each.name, old[0])
		}
	}
}
