package transport_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
)

func TestTransportKeepsOrderOnSlowLink(t *testing.T) {
	left, right := openEndpoint(t), openEndpoint(t)
	const rate, count = 4_000_000, 400
	left.links.SetRate(rate)
	right.links.SetRate(rate)
	for number := range uint64(count) {
		assert.NilError(t, left.links.Send(right.address, 0, partition.Append{RequestID: number, Data: make([]byte, 2000)}))
		if number%3 == 0 {
			left.links.Flush()
		}
	}
	left.links.Flush()
	for number := range uint64(count) {
		assert.Equal(t, receive(t, right.inbox).Message.(partition.Append).RequestID, number)
	}
	assert.Assert(t, left.links.Counters.Throttled.Load() > 0, "sending was never throttled")
	assert.Equal(t, left.links.Counters.Dropped.Load(), int64(0))
}

func TestTransportSendsControlFirstOnSlowLink(t *testing.T) {
	left, right := openEndpoint(t), openEndpoint(t)
	const rate, count = 200_000, 300
	left.links.Flush()
	left.links.SetRate(rate)
	right.links.SetRate(rate)
	for number := range uint64(count) {
		assert.NilError(t, left.links.Send(right.address, 0, partition.Append{RequestID: number, Data: make([]byte, 3000)}))
	}
	left.links.Flush()
	receive(t, right.inbox)
	assert.NilError(t, left.links.Send(right.address, 0, membership.Heartbeat{Name: "left"}))
	left.links.Flush()
	assert.Equal(t, receive(t, right.control).Message.(membership.Heartbeat).Name, "left")
	// Sending the queued messages takes more than four seconds.
	assert.Assert(t, len(right.inbox) < count-1, "the heartbeat was received after all queued messages")
}
