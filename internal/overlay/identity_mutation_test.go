//go:build mutation

// If peers of any incarnation are accepted, messages are sent to a peer that has ended.
package overlay

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestTheIncarnationOfAPeerIsNeeded(t *testing.T) {
	defer statemachine.Mutate("any-life-of-a-peer")()
	assert.Equal(t, len(destinationsAfterLateJoin(t)), 1)
}
