package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
)

func TestSpansFollowTheBounds(t *testing.T) {
	usual := spans{command: 2 * time.Second, unheard: 2 * time.Second, following: 5 * time.Second}
	assert.Equal(t, spansOf(Settings{}), usual)
	assert.Equal(t, spansOf(Settings{AcknowledgeTimeout: 5 * time.Second, ContactTimeout: 4 * time.Second}), usual)
	assert.Equal(t, spansOf(Settings{AcknowledgeTimeout: 10 * time.Second, ContactTimeout: 8 * time.Second}),
		spans{command: 4 * time.Second, unheard: 4 * time.Second, following: 10 * time.Second})
	short := spansOf(Settings{AcknowledgeTimeout: time.Second, ContactTimeout: time.Second})
	assert.Assert(t, short.unheard > membership.LongPollTimeout && short.following > membership.LowPriorityLongPollTimeout, "%+v", short)
}
