package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testMessage is a registered message type.
type testMessage struct{ Number uint64 }

func init() { MustRegister(9001, testMessage{}) }

// testTimeout bounds each wait. No assertion depends on the duration of a wait.
const testTimeout = 20 * time.Second

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
	case <-time.After(testTimeout):
		t.Fatal(what)
		panic("unreachable")
	}
}

// The first dials time out early because a host that is just starting drops SYNs, and the
// kernel retransmits a SYN only after a second.
func TestDialerTimesOutUnansweredDialsEarly(t *testing.T) {
	links, _, _ := openAt(t)
	limits := make(chan time.Duration, 16)
	links.dialer.dial = func(limit context.Context, _ string) (net.Conn, error) {
		end, bounded := limit.Deadline()
		assert.Check(t, bounded)
		limits <- time.Until(end).Round(100 * time.Millisecond)
		return nil, context.DeadlineExceeded
	}
	for number := range eagerDials + 4 {
		maximum := firstDialTimeout
		if number > eagerDials {
			maximum = min(firstDialTimeout<<(number-eagerDials), maxDialTimeout)
		}
		// A message is sent for each dial, because a message that was queued for too long is
		// dropped, and there is no dial without a queued message.
		assert.NilError(t, links.Send("127.0.0.1:9", 0, testMessage{}))
		links.Flush()
		limit := awaited(t, limits, "it was not dialed again")
		assert.Assert(t, limit <= maximum, "%s for a dial that may take %s", limit, maximum)
		assert.Assert(t, limit > maximum/4, "%s for a dial that may take %s", limit, maximum)
	}
}

func TestDialerRedialsWhenPeerAppears(t *testing.T) {
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
	assert.NilError(t, links.Send(peerAddress, 0, testMessage{Number: 7}))
	links.Flush()
	awaited(t, begun, "it was not dialed")
	assert.NilError(t, peer.Send(address, 0, testMessage{Number: 1}))
	peer.Flush()
	assert.Assert(t, errors.Is(awaited(t, ended, "the dial went on though the peer was there"), context.Canceled))
	came := awaited(t, peerInbox, "nothing came over a dial of its own")
	assert.Equal(t, came.Message.(testMessage).Number, uint64(7))
}

// A daemon starts the acceptor before the dialer, so peers may connect before the dialer
// runs.
func TestDialerIgnoresPeersBeforeItRuns(_ *testing.T) {
	opening := newTransport("10.0.0.2:1")
	opening.dialer.peerAppeared("10.0.0.1:1")
}
