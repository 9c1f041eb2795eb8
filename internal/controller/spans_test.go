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
	assert.Equal(t, spansOf(Settings{Acknowledge: 5 * time.Second, Contact: 4 * time.Second}), usual)
	assert.Equal(t, spansOf(Settings{Acknowledge: 10 * time.Second, Contact: 8 * time.Second}),
		spans{command: 4 * time.Second, unheard: 4 * time.Second, following: 10 * time.Second})
	short := spansOf(Settings{Acknowledge: time.Second, Contact: time.Second})
	assert.Assert(t, short.unheard > membership.LongPollTimeout && short.following > membership.LowPriorityLongPollTimeout, "%+v", short)
}
