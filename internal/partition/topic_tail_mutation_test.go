//go:build mutation

package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Without tails a cursor is rejected for a message that was sent before its subscription.
func TestTopicTailIsNeeded(t *testing.T) {
	defer statemachine.Mutate("no-topic-tails")()
	_, expired := readableAfter(silentTopic(), 0)
	assert.Assert(t, expired)
}
