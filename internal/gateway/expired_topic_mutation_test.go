//go:build mutation

package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// Unless an expired topic is restarted, its sessions stay open, and nothing is delivered to them.
func TestRestartOfExpiredTopicIsNeeded(t *testing.T) {
	defer statemachine.Mutate("expired-topics-stay")()
	fixture := laggingTopic(t, false)
	fixture.rejectExpired(t)
	assert.Equal(t, len(fixture.goneSessions()), 0)
	assert.Equal(t, len(fixture.gateway.sessions), 1)
}
