package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
)

func TestTimeoutsFollowSettings(t *testing.T) {
	defaults := timeouts{command: 2 * time.Second, suspicion: 2 * time.Second, poll: 5 * time.Second}
	doubled := timeouts{command: 4 * time.Second, suspicion: 4 * time.Second, poll: 10 * time.Second}
	of := func(acknowledge, contact time.Duration) timeouts {
		return timeoutsFor(Settings{AcknowledgeTimeout: acknowledge, ContactTimeout: contact})
	}
	assert.Equal(t, timeoutsFor(Settings{}), defaults)
	assert.Equal(t, of(5*time.Second, 4*time.Second), defaults)
	assert.Equal(t, of(10*time.Second, 8*time.Second), doubled)
	short := of(time.Second, time.Second)
	long := short.suspicion > membership.LongPollTimeout && short.poll > membership.LowPriorityLongPollTimeout
	assert.Assert(t, long, "%+v", short)
}
