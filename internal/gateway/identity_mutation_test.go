//go:build mutation

package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// If all incarnations are equal, a response to an earlier run answers the request of another client.
// If every response is accepted, a sender lookup completes too early and a part of a fetch counts
// twice.
func TestResponseMutationAcceptsAny(t *testing.T) {
	restore := statemachine.Mutate("lives-alike")
	response := responsesToStaleAppend()
	assert.Equal(t, len(response), 1)
	assert.Equal(t, response[0].Value.(Reply).Outcome, OutcomeAccepted)
	assert.Assert(t, staleResponseEndsFetch())
	restore()
	restore = statemachine.Mutate("any-answer")
	assert.Assert(t, duplicateCompletesLookup())
	assert.Equal(t, recordsAfterDuplicates(), 15)
	restore()
}
