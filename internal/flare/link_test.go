// Links over real sockets: order and whole delivery through slow and plain
// ways, one write a turn, and peers that do not read, go away or talk nonsense,
// none of which may hold up the owner or another link.
package flare_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
	"dahlialock/internal/strand"
)

const patience = 20 * time.Second

func receive(t *testing.T, from <-chan flare.Inbound) flare.Inbound {
	t.Helper()
	select {
	case inbound := <-from:
		return inbound
	case <-time.After(patience):
		t.Fatal("nothing came")
		return flare.Inbound{}
	}
}

func appendOf(number uint64) strand.Append {
	return strand.Append{Strand: "s~1/2", Visit: number, Data: make([]byte, number%300)}
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
		assert.Equal(t, inbound.Message.(strand.Append).Visit, number)
		assert.Equal(t, uint64(len(inbound.Message.(strand.Append).Data)), number%300)
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
			frame, fault := flare.Encode(helm.Meta{Version: sent}, message)
			assert.NilError(t, fault)
			plain += len(frame)
			assert.NilError(t, left.links.Send(right.address, sent, message))
			sent++
		}
		// A turn that is too large to pack goes among the packed ones.
		if sent%1000 < 17 {
			assert.NilError(t, left.links.Send(right.address, sent, strand.Append{Visit: sent, Data: make([]byte, 40<<10)}))
			sent++
		}
		left.links.Flush()
	}
	for number := range uint64(most) {
		inbound := receive(t, right.inbox)
		assert.Equal(t, inbound.Meta.From, left.address)
		assert.Equal(t, inbound.Message.(strand.Append).Visit, number)
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
		assert.Equal(t, receive(t, right.inbox).Message.(strand.Append).Visit, number)
	}
}

func TestNothingIsCarriedOverFromAnEarlierMessage(t *testing.T) {
	left, right := openEnd(t), openEnd(t)
	full := strand.FetchReturn{Strand: "a", Visit: 1, Records: []strand.Record{{Offset: 1, Topic: "t", Data: []byte("x")}}, Ready: true, Gone: true}
	assert.NilError(t, left.links.Send(right.address, 0, full))
	assert.NilError(t, left.links.Send(right.address, 0, strand.FetchReturn{Visit: 2}))
	first, second := receive(t, right.inbox).Message.(strand.FetchReturn), receive(t, right.inbox).Message.(strand.FetchReturn)
	assert.DeepEqual(t, first.Records[0].Data, []byte("x"))
	assert.Equal(t, second.Visit, uint64(2))
	assert.Assert(t, len(second.Records) == 0 && !second.Ready && !second.Gone && second.Strand == "")
}

func TestAPeerThatDoesNotReadHoldsNobodyUp(t *testing.T) {
	deaf, fault := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, fault)
	defer func() { assert.NilError(t, deaf.Close()) }()
	left, right := openEnd(t), openEnd(t)
	large := strand.Append{Strand: "s~1/2", Data: make([]byte, 64<<10)}
	began := time.Now()
	for number := range uint64(400) {
		assert.NilError(t, left.links.Send(deaf.Addr().String(), 0, large))
		assert.NilError(t, left.links.Send(right.address, 0, appendOf(number)))
		left.links.Flush()
		assert.Equal(t, receive(t, right.inbox).Message.(strand.Append).Visit, number)
	}
	assert.Assert(t, time.Since(began) < patience)
	assert.Assert(t, left.links.Counters.Dropped.Load() > 0, "the bound of what waits was not kept")
}

func TestAPeerThatIsNotThereAndComesLater(t *testing.T) {
	address := freeAddress(t)
	left := openEnd(t)
	inbox, urgent := make(chan flare.Inbound, 4096), make(chan flare.Inbound, 4096)
	come := func() *flare.Flare {
		links, fault := flare.Open(address, inbox, urgent, func(string, error) {})
		assert.NilError(t, fault)
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
	inbox, urgent := make(chan flare.Inbound, 16), make(chan flare.Inbound, 16)
	links, fault := flare.Open(address, inbox, urgent, func(_ string, fault error) { heard <- fault })
	assert.NilError(t, fault)
	t.Cleanup(links.Close)
	for _, nonsense := range [][]byte{
		{0, 0, 0, 0}, {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 1, 9}, {0, 0, 0, 3, 0x01, 0xf4, 0}, []byte("GET / HTTP/1.1\r\n\r\n"),
		// A whole frame whose sender nobody has named.
		{0, 0, 0, 5, 0x01, 0x2f, 0, 0x80, 0},
		{0, 0, 0, 4, 0x00, 0x01, 0, 0x80},
	} {
		connection, fault := net.Dial("tcp", address)
		assert.NilError(t, fault)
		_, fault = connection.Write(nonsense)
		assert.NilError(t, fault)
		select {
		case fault := <-heard:
			assert.Assert(t, fault != nil)
		case <-time.After(patience):
			t.Fatalf("%v was not refused", nonsense)
		}
		assert.NilError(t, connection.SetReadDeadline(time.Now().Add(patience)))
		_, fault = connection.Read(make([]byte, 1))
		assert.Assert(t, fault == io.EOF || fault != nil && !fault.(net.Error).Timeout(), "the connection still stands after %v", nonsense)
		assert.NilError(t, connection.Close())
	}
	left := openEnd(t)
	assert.NilError(t, left.links.Send(address, 0, appendOf(7)))
	assert.Equal(t, receive(t, inbox).Message.(strand.Append).Visit, uint64(7))
}

// Whoever watches is told that nobody listens at an address once a process there
// has ended, and is told nothing where a link was merely reset.
func TestAnAddressThatRefusesIsTold(t *testing.T) {
	address := freeAddress(t)
	inbox, urgent := make(chan flare.Inbound, 4096), make(chan flare.Inbound, 4096)
	there, fault := flare.Open(address, inbox, urgent, func(string, error) {})
	assert.NilError(t, fault)
	left := openEnd(t)
	left.links.Watch()
	assert.NilError(t, left.links.Send(address, 0, appendOf(1)))
	left.links.Flush()
	receive(t, inbox)
	there.Close()
	told := receive(t, left.urgent)
	_, refused := told.Message.(flare.Refused)
	assert.Assert(t, refused, "%T", told.Message)
	assert.Equal(t, told.Meta.From, address)

	resetting, fault := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, fault)
	defer func() { _ = resetting.Close() }()
	accepted := make(chan struct{}, 16)
	go func() {
		for {
			connection, fault := resetting.Accept()
			if fault != nil {
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
