// Links whose machines are told how little they take, over real sockets.

package transport_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
)

func TestThinLinksBringAllInOrder(t *testing.T) {
	left, right := openEnd(t), openEnd(t)
	const rate, most = 4_000_000, 400
	left.links.SetRate(rate)
	right.links.SetRate(rate)
	for number := range uint64(most) {
		assert.NilError(t, left.links.Send(right.address, 0, partition.Append{RequestID: number, Data: make([]byte, 2000)}))
		if number%3 == 0 {
			left.links.Flush()
		}
	}
	left.links.Flush()
	for number := range uint64(most) {
		assert.Equal(t, receive(t, right.inbox).Message.(partition.Append).RequestID, number)
	}
	assert.Assert(t, left.links.Counters.Held.Load() > 0, "nothing waited for the link")
	assert.Equal(t, left.links.Counters.Dropped.Load(), int64(0))
}

func TestControlOvertakesWhatWaitsForTheLink(t *testing.T) {
	left, right := openEnd(t), openEnd(t)
	const rate, most = 200_000, 300
	left.links.Flush()
	left.links.SetRate(rate)
	right.links.SetRate(rate)
	for number := range uint64(most) {
		assert.NilError(t, left.links.Send(right.address, 0, partition.Append{RequestID: number, Data: make([]byte, 3000)}))
	}
	left.links.Flush()
	receive(t, right.inbox)
	assert.NilError(t, left.links.Send(right.address, 0, membership.Heartbeat{Name: "left"}))
	left.links.Flush()
	assert.Equal(t, receive(t, right.urgent).Message.(membership.Heartbeat).Name, "left")
	// What waits takes more than four seconds.
	assert.Assert(t, len(right.inbox) < most-1, "the heartbeat came last")
}
