//go:build mutation

// With any life of a peer taken, messages go to one that has ended.
package overlay

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestTheLifeOfAPeerIsNeeded(t *testing.T) {
	defer statemachine.Mutate("any-life-of-a-peer")()
	assert.Equal(t, len(lateJoin(t)), 1)
}
