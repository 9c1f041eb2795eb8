package transport_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// testTimeout bounds each wait. No assertion depends on the duration of a wait.
const testTimeout = 20 * time.Second

func receive(t *testing.T, from <-chan transport.Inbound) transport.Inbound {
	t.Helper()
	select {
	case inbound := <-from:
		return inbound
	case <-time.After(testTimeout):
		t.Fatal("no message was received")
		return transport.Inbound{}
	}
}

func appendRequest(number uint64) partition.Append {
	return partition.Append{Partition: "s~1/2", RequestID: number, Data: make([]byte, number%300)}
}

func TestTransportDeliversAllInOrder(t *testing.T) {
	left, right := openEndpoint(t), openEndpoint(t)
	const count = 3000
	for sent := uint64(0); sent < count; {
		for range 1 + sent%17 {
			assert.NilError(t, left.links.Send(right.address, sent, appendRequest(sent)))
			sent++
		}
		left.links.Flush()
	}
	for number := range uint64(count) {
		inbound := receive(t, right.inbox)
		assert.Equal(t, inbound.Meta.From, left.address)
		assert.Equal(t, inbound.Meta.Version, number)
		assert.Equal(t, inbound.Message.(partition.Append).RequestID, number)
		assert.Equal(t, uint64(len(inbound.Message.(partition.Append).Data)), number%300)
	}
	assert.Equal(t, left.links.Counters.Dropped.Load(), int64(0))
	assert.Equal(t, left.links.Counters.Dials.Load(), int64(1))
}

func TestTransportDeliversCompressedBatchesInOrder(t *testing.T) {
	left, right := openEndpointAt(t, freeAddress(t)), openEndpointAt(t, freeAddressOn(t, "127.0.1.1"))
	left.links.EnableCompression()
	const count = 3000
	plain := 0
	for sent := uint64(0); sent < count; {
		for range 1 + sent%17 {
			message := appendRequest(sent)
			frame, err := transport.Encode(statemachine.Meta{Version: sent}, message)
			assert.NilError(t, err)
			plain += len(frame)
			assert.NilError(t, left.links.Send(right.address, sent, message))
			sent++
		}
		// Some batches are too large to be compressed.
		if sent%1000 < 17 {
			request := partition.Append{RequestID: sent, Data: make([]byte, 40<<10)}
			assert.NilError(t, left.links.Send(right.address, sent, request))
			sent++
		}
		left.links.Flush()
	}
	for number := range uint64(count) {
		inbound := receive(t, right.inbox)
		assert.Equal(t, inbound.Meta.From, left.address)
		assert.Equal(t, inbound.Message.(partition.Append).RequestID, number)
	}
	assert.Equal(t, left.links.Counters.Dropped.Load(), int64(0))
	assert.Assert(t, left.links.Counters.BytesOut.Load() < int64(plain), "compression did not reduce the size")
}

func TestTransportWritesBatchAtOnce(t *testing.T) {
	left, right := openEndpoint(t), openEndpoint(t)
	left.links.Flush()
	for number := range uint64(8) {
		before := left.links.Counters.Writes.Load()
		for range 16 {
			assert.NilError(t, left.links.Send(right.address, 0, appendRequest(number)))
		}
		assert.Equal(t, left.links.Counters.Writes.Load(), before, "a frame was written before Flush")
		left.links.Flush()
		for range 16 {
			receive(t, right.inbox)
		}
		assert.Equal(t, left.links.Counters.Writes.Load(), before+1)
	}
}

func TestTransportSendsAtOnceBeforeFirstFlush(t *testing.T) {
	left, right := openEndpoint(t), openEndpoint(t)
	for number := range uint64(50) {
		assert.NilError(t, left.links.Send(right.address, 0, appendRequest(number)))
		assert.Equal(t, receive(t, right.inbox).Message.(partition.Append).RequestID, number)
	}
}

func TestDecoderKeepsNothingOfEarlierMessages(t *testing.T) {
	left, right := openEndpoint(t), openEndpoint(t)
	full := partition.FetchResponse{
		Partition: "a",
		RequestID: 1,
		Records:   []partition.Record{{Offset: 1, Topic: "t", Data: []byte("x")}},
		Ready:     true,
		Expired:   true,
	}
	assert.NilError(t, left.links.Send(right.address, 0, full))
	assert.NilError(t, left.links.Send(right.address, 0, partition.FetchResponse{RequestID: 2}))
	first := receive(t, right.inbox).Message.(partition.FetchResponse)
	second := receive(t, right.inbox).Message.(partition.FetchResponse)
	assert.DeepEqual(t, first.Records[0].Data, []byte("x"))
	assert.Equal(t, second.RequestID, uint64(2))
	assert.Assert(t, len(second.Records) == 0 && !second.Ready && !second.Expired && second.Partition == "")
}

func TestTransportIsNotBlockedByPeerThatDoesNotRead(t *testing.T) {
	blocked, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, blocked.Close()) }()
	left, right := openEndpoint(t), openEndpoint(t)
	large := partition.Append{Partition: "s~1/2", Data: make([]byte, 64<<10)}
	began := time.Now()
	for number := range uint64(400) {
		assert.NilError(t, left.links.Send(blocked.Addr().String(), 0, large))
		assert.NilError(t, left.links.Send(right.address, 0, appendRequest(number)))
		left.links.Flush()
		assert.Equal(t, receive(t, right.inbox).Message.(partition.Append).RequestID, number)
	}
	assert.Assert(t, time.Since(began) < testTimeout)
	assert.Assert(t, left.links.Counters.Dropped.Load() > 0, "no message was dropped although the queue is bounded")
}

func TestTransportReconnectsToRestartedPeer(t *testing.T) {
	address := freeAddress(t)
	left := openEndpoint(t)
	inbox, control := make(chan transport.Inbound, 4096), make(chan transport.Inbound, 4096)
	openPeer := func() *transport.Transport {
		links, err := transport.Open(address, inbox, control, func(string, error) {})
		assert.NilError(t, err)
		return links
	}
	number := uint64(0)
	sendUntilReceived := func() {
		t.Helper()
		ticker, timeout := time.NewTicker(5*time.Millisecond), time.After(testTimeout)
		defer ticker.Stop()
		for {
			number++
			assert.NilError(t, left.links.Send(address, 0, appendRequest(number)))
			left.links.Flush()
			select {
			case <-inbox:
				return
			case <-timeout:
				t.Fatal("no message was received")
			case <-ticker.C:
			}
		}
	}
	for range 20 {
		assert.NilError(t, left.links.Send(address, 0, appendRequest(0)))
		left.links.Flush()
	}
	for range 3 {
		peer := openPeer()
		sendUntilReceived()
		peer.Close()
	}
}

func TestTransportCloseTwice(t *testing.T) {
	left := openEndpoint(t)
	left.links.Close()
	left.links.Close()
}

func TestTransportClosesConnectionOnMalformedFrames(t *testing.T) {
	reported := make(chan error, 16)
	address := freeAddress(t)
	inbox, control := make(chan transport.Inbound, 16), make(chan transport.Inbound, 16)
	links, err := transport.Open(address, inbox, control, func(_ string, err error) { reported <- err })
	assert.NilError(t, err)
	t.Cleanup(links.Close)
	for _, malformed := range [][]byte{
		{0, 0, 0, 0},
		{0xff, 0xff, 0xff, 0xff},
		{0, 0, 0, 1, 9},
		{0, 0, 0, 3, 0x01, 0xf4, 0},
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		// Complete frames without the sender's address, not preceded by a preamble.
		{0, 0, 0, 5, 0x01, 0x2f, 0, 0x80, 0},
		{0, 0, 0, 4, 0x00, 0x01, 0, 0x80},
	} {
		connection, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = connection.Write(malformed)
		assert.NilError(t, err)
		select {
		case err := <-reported:
			assert.Assert(t, err != nil)
		case <-time.After(testTimeout):
			t.Fatalf("%v was not rejected", malformed)
		}
		assert.NilError(t, connection.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err = connection.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "still open after %v", malformed)
		assert.NilError(t, connection.Close())
	}
	left := openEndpoint(t)
	assert.NilError(t, left.links.Send(address, 0, appendRequest(7)))
	assert.Equal(t, receive(t, inbox).Message.(partition.Append).RequestID, uint64(7))
}

// A refused connection is reported to the owner. A connection that is accepted and then
// reset is dialed again without a report.
func TestTransportReportsRefusedConnections(t *testing.T) {
	address := freeAddress(t)
	inbox, control := make(chan transport.Inbound, 4096), make(chan transport.Inbound, 4096)
	peer, err := transport.Open(address, inbox, control, func(string, error) {})
	assert.NilError(t, err)
	left := openEndpoint(t)
	left.links.ObserveLinks()
	assert.NilError(t, left.links.Send(address, 0, appendRequest(1)))
	left.links.Flush()
	receive(t, inbox)
	peer.Close()
	reported := receive(t, left.control)
	_, refused := reported.Message.(transport.ConnectionRefused)
	assert.Assert(t, refused, "%T", reported.Message)
	assert.Equal(t, reported.Meta.From, address)

	resetting, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = resetting.Close() }()
	accepted := make(chan struct{}, 16)
	go func() {
		for {
			connection, err := resetting.Accept()
			if err != nil {
				return
			}
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
			accepted <- struct{}{}
		}
	}()
	assert.NilError(t, left.links.Send(resetting.Addr().String(), 0, appendRequest(2)))
	left.links.Flush()
	for range 3 {
		select {
		case <-accepted:
		case <-time.After(testTimeout):
			t.Fatal("the peer was not dialed again after a reset")
		}
	}
	assert.Equal(t, len(left.control), 0)
}

func TestTransportDropsFramesThatExpireWhileQueued(t *testing.T) {
	left, right := openEndpoint(t), openEndpoint(t)
	assert.NilError(t, left.links.SendBefore(right.address, 1, appendRequest(1), time.Now().Add(-time.Millisecond)))
	assert.NilError(t, left.links.SendBefore(right.address, 2, appendRequest(2), time.Now().Add(time.Hour)))
	assert.NilError(t, left.links.Send(right.address, 3, appendRequest(3)))
	assert.Equal(t, receive(t, right.inbox).Meta.Version, uint64(2))
	assert.Equal(t, receive(t, right.inbox).Meta.Version, uint64(3))
}
