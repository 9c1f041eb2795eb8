//go:build mutation

// Without a memory of ways each piece of news sends all that waits once more.
package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestAllIsSentAgainWithoutWays(t *testing.T) {
	defer statemachine.Mutate("all-sent-again-at-news")()
	otherNews, _ := sentAgain()
	assert.Assert(t, otherNews > 0)
}
