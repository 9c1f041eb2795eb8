//go:build mutation

package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Without tails a place is refused for an older message that it isn't owed.
func TestTopicTailIsNeeded(t *testing.T) {
	defer statemachine.Mutate("no-topic-tails")()
	_, expired := readableAfter(silentTopic(), 0)
	assert.Assert(t, expired)
}
