//go:build mutation

package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// With the longer limit a request is handled by a configuration that arrives long after it was sent.
func TestRefreshTimeLimitIsNeeded(t *testing.T) {
	defer statemachine.Mutate("long-refresh")()
	fixture := newRefreshFixture(125 * time.Millisecond)
	_, answered := fixture.answeredCode(300 * time.Millisecond)
	assert.Assert(t, !answered)
	fixture.addRoute()
	assert.Equal(t, len(fixture.gateway.routed.topics), 1)
}
