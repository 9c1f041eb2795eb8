package transport_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What waited for a connection is looked at as well when it goes out.
func TestWhatWaitsForAConnectionMayBecomeLate(t *testing.T) {
	left, right := openEnd(t), openEnd(t)
	assert.NilError(t, left.links.SendBefore(right.address, 1, appendOf(1), time.Now().Add(-time.Millisecond)))
	assert.NilError(t, left.links.SendBefore(right.address, 2, appendOf(2), time.Now().Add(time.Hour)))
	assert.NilError(t, left.links.Send(right.address, 3, appendOf(3)))
	assert.Equal(t, receive(t, right.inbox).Meta.Version, uint64(2))
	assert.Equal(t, receive(t, right.inbox).Meta.Version, uint64(3))
}
