//go:build mutation

package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// If the route of a request is ignored, each view update sends all unanswered requests again.
func TestRouteMutationResendsAll(t *testing.T) {
	defer statemachine.Mutate("all-sent-again-at-news")()
	unrelatedUpdate, _ := resentMessages()
	assert.Assert(t, unrelatedUpdate > 0)
}
