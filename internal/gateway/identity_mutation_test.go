//go:build mutation

// With the lives alike a caller is told of another's message, and with any answer
// taken a sender's trail counts as known too early and a part of a fetch counts twice.
package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestTheIdentityOfAnswersIsNeeded(t *testing.T) {
	restore := statemachine.Mutate("lives-alike")
	response := lateAppend()
	assert.Equal(t, len(response), 1)
	assert.Equal(t, response[0].Value.(Reply).Outcome, OutcomeAccepted)
	assert.Assert(t, lateFetch())
	restore()
	restore = statemachine.Mutate("any-answer")
	assert.Assert(t, doubledRecall())
	assert.Equal(t, doubledPage(), 15)
	restore()
}
