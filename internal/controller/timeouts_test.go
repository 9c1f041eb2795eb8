package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
)

func TestSpansFollowTheBounds(t *testing.T) {
	usual := timeouts{command: 2 * time.Second, suspicion: 2 * time.Second, poll: 5 * time.Second}
	assert.Equal(t, timeoutsFor(Settings{}), usual)
	assert.Equal(t, timeoutsFor(Settings{AcknowledgeTimeout: 5 * time.Second, ContactTimeout: 4 * time.Second}), usual)
	assert.Equal(t, timeoutsFor(Settings{AcknowledgeTimeout: 10 * time.Second, ContactTimeout: 8 * time.Second}),
		timeouts{command: 4 * time.Second, suspicion: 4 * time.Second, poll: 10 * time.Second})
	short := timeoutsFor(Settings{AcknowledgeTimeout: time.Second, ContactTimeout: time.Second})
	assert.Assert(t, short.suspicion > membership.LongPollTimeout && short.poll > membership.LowPriorityLongPollTimeout, "%+v", short)
}
