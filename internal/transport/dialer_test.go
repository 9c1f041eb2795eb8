package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// word is a message for these tests.
type word struct{ Number uint64 }

func init() { MustRegister(9001, word{}) }

// waitMost bounds what a test waits for; nothing is told by how long it took.
const waitMost = 20 * time.Second

func openAt(t *testing.T) (*Transport, string, chan Inbound) {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := probe.Addr().String()
	assert.NilError(t, probe.Close())
	inbox := make(chan Inbound, 64)
	links, err := Open(address, inbox, inbox, func(string, error) {})
	assert.NilError(t, err)
	t.Cleanup(links.Close)
	return links, address, inbox
}

func awaited[T any](t *testing.T, from <-chan T, what string) T {
	t.Helper()
	select {
	case came := <-from:
		return came
	case <-time.After(waitMost):
		t.Fatal(what)
		panic("unreachable")
	}
}

// A machine that is just starting drops what asks for a connection, and the system
// asks again after a second only.
func TestADialThatIsNotAnsweredIsGivenUpSoon(t *testing.T) {
	links, _, _ := openAt(t)
	limits := make(chan time.Duration, 16)
	links.dialer.dial = func(limit context.Context, _ string) (net.Conn, error) {
		end, bounded := limit.Deadline()
		assert.Check(t, bounded)
		limits <- time.Until(end).Round(100 * time.Millisecond)
		return nil, context.DeadlineExceeded
	}
	for number := range eagerDials + 4 {
		most := firstDialTimeout
		if number > eagerDials {
			most = min(firstDialTimeout<<(number-eagerDials), maxDialTimeout)
		}
		// What waits for too long is dropped, and nobody dials for nothing.
		assert.NilError(t, links.Send("127.0.0.1:9", 0, word{}))
		links.Flush()
		limit := awaited(t, limits, "it was not dialled again")
		assert.Assert(t, limit <= most, "%s for a dial that may take %s", limit, most)
		assert.Assert(t, limit > most/4, "%s for a dial that may take %s", limit, most)
	}
}

func TestADialBegunBeforeItsPeerWasThereIsMadeAnew(t *testing.T) {
	links, address, _ := openAt(t)
	peer, peerAddress, peerInbox := openAt(t)
	links.dialer.firstDialTimeout = time.Hour
	plain := links.dialer.dial
	ended := make(chan error, 1)
	begun := make(chan struct{}, 1)
	dials := 0
	links.dialer.dial = func(limit context.Context, to string) (net.Conn, error) {
		if dials++; dials > 1 {
			return plain(limit, to)
		}
		begun <- struct{}{}
		<-limit.Done()
		ended <- limit.Err()
		return nil, limit.Err()
	}
	assert.NilError(t, links.Send(peerAddress, 0, word{Number: 7}))
	links.Flush()
	awaited(t, begun, "it was not dialled")
	assert.NilError(t, peer.Send(address, 0, word{Number: 1}))
	peer.Flush()
	assert.Assert(t, errors.Is(awaited(t, ended, "the dial went on though the peer was there"), context.Canceled))
	came := awaited(t, peerInbox, "nothing came over a dial of its own")
	assert.Equal(t, came.Message.(word).Number, uint64(7))
}

// A daemon listens before it dials, so that peers may name themselves in between.
func TestAPeerMayNameItselfBeforeThereIsADiallingLoop(_ *testing.T) {
	opening := newTransport("10.0.0.2:1")
	opening.dialer.peerAppeared("10.0.0.1:1")
}
