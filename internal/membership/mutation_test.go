//go:build mutation

package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestViewClientSlowResponseIsNeeded(t *testing.T) {
	defer statemachine.Mutate("late-answers-unheard")()
	longest, _ := runWithSlowResponses(1200 * time.Millisecond)
	assert.Assert(t, longest > ConfirmationTimeout, "unconfirmed for %s", longest)
}
