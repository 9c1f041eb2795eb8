//go:build mutation

package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Unless an expired topic is restarted, its subscribers wait for ever and are not told.
func TestRestartOfExpiredTopicIsNeeded(t *testing.T) {
	defer statemachine.Mutate("expired-topics-stay")()
	fixture := laggingTopic(t, false)
	fixture.rejectExpired(t)
	assert.Equal(t, len(fixture.goneSessions()), 0)
	assert.Equal(t, len(fixture.gateway.sessions), 1)
}
