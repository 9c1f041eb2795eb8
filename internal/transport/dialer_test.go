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

func openTransport(t *testing.T) (*Transport, string, chan Inbound) {
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

func receiveOrFail[T any](t *testing.T, from <-chan T, failure string) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatal(failure)
		panic("unreachable")
	}
}

// The first dials time out early because a host that is just starting drops SYNs, and the
// kernel retransmits a SYN only after a second.
func TestDialerTimesOutUnansweredDialsEarly(t *testing.T) {
	links, _, _ := openTransport(t)
	timeouts := make(chan time.Duration, 16)
	links.dialer.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		end, bounded := ctx.Deadline()
		assert.Check(t, bounded)
		timeouts <- time.Until(end).Round(100 * time.Millisecond)
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
		timeout := receiveOrFail(t, timeouts, "the peer was not dialed again")
		assert.Assert(t, timeout <= maximum, "the dial timeout is %s, want at most %s", timeout, maximum)
		assert.Assert(t, timeout > maximum/4, "the dial timeout is %s, want more than a quarter of %s", timeout, maximum)
	}
}

func TestDialerRedialsWhenPeerAppears(t *testing.T) {
	links, address, _ := openTransport(t)
	peer, peerAddress, peerInbox := openTransport(t)
	links.dialer.firstDialTimeout = time.Hour
	dialTCP := links.dialer.dial
	cancelled := make(chan error, 1)
	started := make(chan struct{}, 1)
	dials := 0
	links.dialer.dial = func(ctx context.Context, to string) (net.Conn, error) {
		if dials++; dials > 1 {
			return dialTCP(ctx, to)
		}
		started <- struct{}{}
		<-ctx.Done()
		cancelled <- ctx.Err()
		return nil, ctx.Err()
	}
	assert.NilError(t, links.Send(peerAddress, 0, testMessage{Number: 7}))
	links.Flush()
	receiveOrFail(t, started, "the peer was not dialed")
	assert.NilError(t, peer.Send(address, 0, testMessage{Number: 1}))
	peer.Flush()
	assert.Assert(t, errors.Is(receiveOrFail(t, cancelled, "the pending dial was not cancelled"), context.Canceled))
	inbound := receiveOrFail(t, peerInbox, "the message was not delivered over the repeated dial")
	assert.Equal(t, inbound.Message.(testMessage).Number, uint64(7))
}

// A daemon starts the acceptor before the dialer, so peers may connect before the dialer
// runs.
func TestDialerIgnoresPeersBeforeItRuns(_ *testing.T) {
	opening := newTransport("10.0.0.2:1")
	opening.dialer.peerAppeared("10.0.0.1:1")
}
