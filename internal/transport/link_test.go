// Links over real sockets: order and whole delivery through slow and plain
// ways, one write a turn, and peers that do not read, go away or talk nonsense,
// none of which may hold up the owner or another link.
package transport_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

const patience = 20 * time.Second

func receive(t *testing.T, from <-chan transport.Inbound) transport.Inbound {
	t.Helper()
	select {
	case inbound := <-from:
		return inbound
	case <-time.After(patience):
		t.Fatal("nothing came")
		return transport.Inbound{}
	}
}

func appendOf(number uint64) partition.Append {
	return partition.Append{Partition: "s~1/2", RequestID: number, Data: make([]byte, number%300)}
}

func TestFramesKeepTheirOrderAndAllArrive(t *testing.T) {
	left, right := openEnd(t), openEnd(t)
	const most = 3000
	for sent := uint64(0); sent < most; {
		for range 1 + sent%17 {
			assert.NilError(t, left.links.Send(right.address, sent, appendOf(sent)))
			sent++
		}
		left.links.Flush()
	}
	for number := range uint64(most) {
		inbound := receive(t, right.inbox)
		assert.Equal(t, inbound.Meta.From, left.address)
		assert.Equal(t, inbound.Meta.Version, number)
		assert.Equal(t, inbound.Message.(partition.Append).RequestID, number)
		assert.Equal(t, uint64(len(inbound.Message.(partition.Append).Data)), number%300)
	}
	assert.Equal(t, left.links.Counters.Dropped.Load(), int64(0))
	assert.Equal(t, left.links.Counters.Dials.Load(), int64(1))
}

func TestPackedTurnsKeepTheirOrderAndAllArrive(t *testing.T) {
	left, right := openEndAt(t, freeAddress(t)), openEndAt(t, freeAddressOf(t, "127.0.1.1"))
	left.links.Compress()
	const most = 3000
	plain := 0
	for sent := uint64(0); sent < most; {
		for range 1 + sent%17 {
			message := appendOf(sent)
			frame, err := transport.Encode(statemachine.Meta{Version: sent}, message)
			assert.NilError(t, err)
			plain += len(frame)
			assert.NilError(t, left.links.Send(right.address, sent, message))
			sent++
		}
		// A turn that is too large to pack goes among the packed ones.
		if sent%1000 < 17 {
			assert.NilError(t, left.links.Send(right.address, sent, partition.Append{RequestID: sent, Data: make([]byte, 40<<10)}))
			sent++
		}
		left.links.Flush()
	}
	for number := range uint64(most) {
		inbound := receive(t, right.inbox)
		assert.Equal(t, inbound.Meta.From, left.address)
		assert.Equal(t, inbound.Message.(partition.Append).RequestID, number)
	}
	assert.Equal(t, left.links.Counters.Dropped.Load(), int64(0))
	assert.Assert(t, left.links.Counters.BytesOut.Load() < int64(plain), "nothing became smaller")
}

func TestATurnIsOneWrite(t *testing.T) {
	left, right := openEnd(t), openEnd(t)
	left.links.Flush()
	for number := range uint64(8) {
		before := left.links.Counters.Writes.Load()
		for range 16 {
			assert.NilError(t, left.links.Send(right.address, 0, appendOf(number)))
		}
		assert.Equal(t, left.links.Counters.Writes.Load(), before, "a frame went before the end of its turn")
		left.links.Flush()
		for range 16 {
			receive(t, right.inbox)
		}
		assert.Equal(t, left.links.Counters.Writes.Load(), before+1)
	}
}

func TestOwnersWithoutTurnsSendAtOnce(t *testing.T) {
	left, right := openEnd(t), openEnd(t)
	for number := range uint64(50) {
		assert.NilError(t, left.links.Send(right.address, 0, appendOf(number)))
		assert.Equal(t, receive(t, right.inbox).Message.(partition.Append).RequestID, number)
	}
}

func TestNothingIsCarriedOverFromAnEarlierMessage(t *testing.T) {
	left, right := openEnd(t), openEnd(t)
	full := partition.FetchResponse{Partition: "a", RequestID: 1, Records: []partition.Record{{Offset: 1, Topic: "t", Data: []byte("x")}}, Ready: true, Expired: true}
	assert.NilError(t, left.links.Send(right.address, 0, full))
	assert.NilError(t, left.links.Send(right.address, 0, partition.FetchResponse{RequestID: 2}))
	first, second := receive(t, right.inbox).Message.(partition.FetchResponse), receive(t, right.inbox).Message.(partition.FetchResponse)
	assert.DeepEqual(t, first.Records[0].Data, []byte("x"))
	assert.Equal(t, second.RequestID, uint64(2))
	assert.Assert(t, len(second.Records) == 0 && !second.Ready && !second.Expired && second.Partition == "")
}

func TestAPeerThatDoesNotReadHoldsNobodyUp(t *testing.T) {
	deaf, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, deaf.Close()) }()
	left, right := openEnd(t), openEnd(t)
	large := partition.Append{Partition: "s~1/2", Data: make([]byte, 64<<10)}
	began := time.Now()
	for number := range uint64(400) {
		assert.NilError(t, left.links.Send(deaf.Addr().String(), 0, large))
		assert.NilError(t, left.links.Send(right.address, 0, appendOf(number)))
		left.links.Flush()
		assert.Equal(t, receive(t, right.inbox).Message.(partition.Append).RequestID, number)
	}
	assert.Assert(t, time.Since(began) < patience)
	assert.Assert(t, left.links.Counters.Dropped.Load() > 0, "the bound of what waits was not kept")
}

func TestAPeerThatIsNotThereAndComesLater(t *testing.T) {
	address := freeAddress(t)
	left := openEnd(t)
	inbox, urgent := make(chan transport.Inbound, 4096), make(chan transport.Inbound, 4096)
	come := func() *transport.Transport {
		links, err := transport.Open(address, inbox, urgent, func(string, error) {})
		assert.NilError(t, err)
		return links
	}
	number := uint64(0)
	arrives := func() {
		t.Helper()
		pace, limit := time.NewTicker(5*time.Millisecond), time.After(patience)
		defer pace.Stop()
		for {
			number++
			assert.NilError(t, left.links.Send(address, 0, appendOf(number)))
			left.links.Flush()
			select {
			case <-inbox:
				return
			case <-limit:
				t.Fatal("nothing came")
			case <-pace.C:
			}
		}
	}
	for range 20 {
		assert.NilError(t, left.links.Send(address, 0, appendOf(0)))
		left.links.Flush()
	}
	for range 3 {
		there := come()
		arrives()
		there.Close()
	}
}

func TestLinksCloseOnce(t *testing.T) {
	left := openEnd(t)
	left.links.Close()
	left.links.Close()
}

func TestNonsenseEndsItsOwnConnectionOnly(t *testing.T) {
	heard := make(chan error, 16)
	address := freeAddress(t)
	inbox, urgent := make(chan transport.Inbound, 16), make(chan transport.Inbound, 16)
	links, err := transport.Open(address, inbox, urgent, func(_ string, err error) { heard <- err })
	assert.NilError(t, err)
	t.Cleanup(links.Close)
	for _, nonsense := range [][]byte{
		{0, 0, 0, 0}, {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 1, 9}, {0, 0, 0, 3, 0x01, 0xf4, 0}, []byte("GET / HTTP/1.1\r\n\r\n"),
		// A whole frame whose sender nobody has named.
		{0, 0, 0, 5, 0x01, 0x2f, 0, 0x80, 0},
		{0, 0, 0, 4, 0x00, 0x01, 0, 0x80},
	} {
		connection, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = connection.Write(nonsense)
		assert.NilError(t, err)
		select {
		case err := <-heard:
			assert.Assert(t, err != nil)
		case <-time.After(patience):
			t.Fatalf("%v was not refused", nonsense)
		}
		assert.NilError(t, connection.SetReadDeadline(time.Now().Add(patience)))
		_, err = connection.Read(make([]byte, 1))
		assert.Assert(t, err == io.EOF || err != nil && !err.(net.Error).Timeout(), "the connection still stands after %v", nonsense)
		assert.NilError(t, connection.Close())
	}
	left := openEnd(t)
	assert.NilError(t, left.links.Send(address, 0, appendOf(7)))
	assert.Equal(t, receive(t, inbox).Message.(partition.Append).RequestID, uint64(7))
}

// Whoever watches is told that nobody listens at an address once a process there
// has ended, and is told nothing where a link was merely reset.
func TestAnAddressThatRefusesIsTold(t *testing.T) {
	address := freeAddress(t)
	inbox, urgent := make(chan transport.Inbound, 4096), make(chan transport.Inbound, 4096)
	there, err := transport.Open(address, inbox, urgent, func(string, error) {})
	assert.NilError(t, err)
	left := openEnd(t)
	left.links.Watch()
	assert.NilError(t, left.links.Send(address, 0, appendOf(1)))
	left.links.Flush()
	receive(t, inbox)
	there.Close()
	told := receive(t, left.urgent)
	_, refused := told.Message.(transport.Refused)
	assert.Assert(t, refused, "%T", told.Message)
	assert.Equal(t, told.Meta.From, address)

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
	assert.NilError(t, left.links.Send(resetting.Addr().String(), 0, appendOf(2)))
	left.links.Flush()
	for range 3 {
		select {
		case <-accepted:
		case <-time.After(patience):
			t.Fatal("a link that was reset is not dialled again")
		}
	}
	assert.Equal(t, len(left.urgent), 0)
}
