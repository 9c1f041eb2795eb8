//go:build mutation

package simulator

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/checker"
	"dahlialock/internal/statemachine"
)

// Without tails, cursors are rejected for messages that were sent before their subscriptions.
func TestTopicTailIsNeededByCursors(t *testing.T) {
	defer statemachine.Mutate("no-topic-tails")()
	for _, run := range []func(t trial, seed uint64) []string{acceptedBeforeSubscription, sentBeforeSubscription} {
		violations := run(t, 0)
		assert.Assert(t, len(violations) > 0)
		assert.Assert(t, strings.HasPrefix(violations[0], checker.CursorRejected), violations[0])
	}
}

// If a subscription begins at the offset of the newest report, whatever its age, its cursor is rejected later.
func TestRecentOffsetIsNeededByCursors(t *testing.T) {
	defer statemachine.Mutate("starts-at-any-report")()
	violations, confirmed := reportsMissing(t, 0)
	assert.Assert(t, confirmed && len(violations) > 0)
	assert.Assert(t, strings.HasPrefix(violations[0], checker.CursorRejected), violations[0])
}
