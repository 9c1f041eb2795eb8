//go:build mutation

// A follower that hears only the answer to its newest question hears none on a link
// where answers take longer than the pause between questions.
package membership

import (
	"testing"

	"gotest.tools/v3/assert"

	"time"

	"dahlialock/internal/statemachine"
)

func TestAFollowerThatHearsTheNewestAnswerOnlyIsNeverConfirmed(t *testing.T) {
	defer statemachine.Mutate("late-answers-unheard")()
	longest, _ := lateAnswers(1200 * time.Millisecond)
	assert.Assert(t, longest > ConfirmationTimeout, "unconfirmed for %s", longest)
}
