package transport

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/panjf2000/gnet/v2/pkg/pool/goroutine"

	"dahlialock/internal/statemachine"
)

// closeTimeout bounds each of the two steps of Close.
const closeTimeout = time.Second

// Inbound is a received message, or a ConnectionRefused.
type Inbound struct {
	Meta    statemachine.Meta
	Message any
}

// ConnectionRefused is delivered to the owner of a transport that observes links
// (see ObserveLinks) when the host of the address in Meta.From refused a
// connection, so no process listens at that address.
type ConnectionRefused struct{}

// Counters are totals since the start. They may be read at any time.
type Counters struct {
	// MessagesOut and BytesOut count what was written to links; MessagesCrossZone
	// and BytesCrossZone count the part of it that went to other zones. MessagesIn
	// and BytesIn count what was received.
	MessagesOut       atomic.Int64
	BytesOut          atomic.Int64
	MessagesCrossZone atomic.Int64
	BytesCrossZone    atomic.Int64
	MessagesIn        atomic.Int64
	BytesIn           atomic.Int64
	// Dropped counts messages that weren't sent because they were queued for too
	// long, the queue was full, or their connection ended. The unsent rest of a
	// partial write counts as one, although its messages are already counted in
	// MessagesOut.
	Dropped atomic.Int64
	// Expired counts messages that weren't sent because their deadlines had passed.
	Expired atomic.Int64
	// Shed counts received messages that were dropped because the inbox of the
	// owner was full.
	Shed atomic.Int64
	// Malformed counts connections that were closed because of malformed input.
	Malformed atomic.Int64
	// Writes counts system calls that wrote to links, Dials connections that were
	// established.
	Writes atomic.Int64
	Dials  atomic.Int64
	// Throttled counts how often sending was delayed by the bandwidth limit of the
	// host's network link, or a batch by the flow window of a connection.
	Throttled atomic.Int64
}

// Transport manages the links of a daemon to its peers. Send, SendBefore and Flush
// may only be called by the owner; all other methods may be called by any
// goroutine.
type Transport struct {
	address string
	// zonePrefix is the common prefix of the addresses in this daemon's zone.
	zonePrefix string
	// control receives the messages of the control state, inbox all others.
	inbox   chan<- Inbound
	control chan<- Inbound
	// onMalformed is called by the acceptor with the address of the peer.
	onMalformed func(remote string, err error)
	clock       func() time.Time
	impairment  atomic.Pointer[Impairment]

	// Counters may be read at any time.
	Counters Counters
	// sent and received count messages by kind.
	sent, received kindCounters

	pacer Pacer
	// throttled is set by the dialer while queued chunks wait for the pacer, so that
	// the owner doesn't overtake them.
	throttled     atomic.Bool
	compression   atomic.Bool
	observesLinks atomic.Bool
	closing       atomic.Bool

	// The state of each of the three goroutines.
	sender   sender
	acceptor *acceptor
	dialer   *dialer
}

// Open listens on an address and starts the dialer. Messages of the control state
// (see IsControl) are delivered to the channel control, which must be drained
// without delay. All others are delivered to inbox, and dropped if it is full.
// Connections with malformed frames are closed and reported to onMalformed.
func Open(
	address string, inbox, control chan<- Inbound, onMalformed func(remote string, err error),
) (*Transport, error) {
	opened := newTransport(address)
	opened.inbox, opened.control, opened.onMalformed = inbox, control, onMalformed
	// gnet's worker pool isn't used by this package, and would wake up twice a
	// second.
	goroutine.DefaultWorkerPool.Release()
	if err := opened.acceptor.start(address); err != nil {
		return nil, err
	}
	if err := opened.dialer.start(); err != nil {
		return nil, err
	}
	return opened, nil
}

func newTransport(address string) *Transport {
	made := &Transport{
		address:    address,
		zonePrefix: zonePrefixOf(address),
		clock:      time.Now,
		sent:       newKindCounters(),
		received:   newKindCounters(),
		sender:     sender{links: map[string]*link{}},
	}
	made.impairment.Store(&Impairment{})
	made.acceptor = newAcceptor(made)
	made.dialer = newDialer(made)
	return made
}

// Close stops listening and dialing, within twice closeTimeout. A second call
// does nothing.
func (t *Transport) Close() {
	if !t.closing.CompareAndSwap(false, true) {
		return
	}
	stopped := make(chan struct{})
	t.dialer.run(func() {
		t.dialer.stopped = true
		close(stopped)
	})
	awaitClosed(stopped)
	// Engine.Stop polls for the end of the engine twice a second. The channel
	// acceptor.ended reports it sooner, so Stop gets a context that is already
	// cancelled.
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = t.acceptor.engine.Stop(cancelled)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = t.dialer.client.Stop()
		<-t.acceptor.ended
	}()
	awaitClosed(ended)
}

// awaitClosed waits until a channel is closed, but no longer than closeTimeout.
func awaitClosed(closed <-chan struct{}) {
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-closed:
	case <-timeout.C:
	}
}

// zonePrefixOf returns the part of an address that all daemons of a zone have in
// common: the IP address without its last number.
func zonePrefixOf(address string) string {
	last := strings.LastIndex(address, ".")
	if last < 0 {
		return address
	}
	return address[:last+1]
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// gnetLogging returns options that discard gnet's log lines, because a daemon's
// log contains numbered events only.
func gnetLogging() []gnet.Option {
	return []gnet.Option{gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(discardLogger{})}
}

type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
