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

// Inbound is a message that was received, or a ConnectionRefused.
type Inbound struct {
	Meta    statemachine.Meta
	Message any
}

// ConnectionRefused is reported to the owner of a transport that observes links:
// the machine at the address in Meta.From says that nobody listens there.
type ConnectionRefused struct{}

// Counters are running sums since the start. They may be read at any time.
type Counters struct {
	// MessagesOut and BytesOut count what was written to links, with
	// MessagesCrossZone and BytesCrossZone the part for other zones; MessagesIn
	// and BytesIn count what was received.
	MessagesOut       atomic.Int64
	BytesOut          atomic.Int64
	MessagesCrossZone atomic.Int64
	BytesCrossZone    atomic.Int64
	MessagesIn        atomic.Int64
	BytesIn           atomic.Int64
	// Dropped are messages that weren't sent: they waited for too long, too much
	// was queued, or their connection ended. The rest of a write that was cut short
	// counts as one, though its messages are in MessagesOut already.
	Dropped atomic.Int64
	// Expired are messages that weren't sent since their deadlines had passed.
	Expired atomic.Int64
	// Shed are messages received that the owner couldn't keep up with.
	Shed atomic.Int64
	// Malformed are connections closed because of what was received.
	Malformed atomic.Int64
	// Writes are system calls that wrote to links, Dials connections made.
	Writes atomic.Int64
	Dials  atomic.Int64
	// Throttled counts how often something had to wait for the machine's link, or
	// a batch for the window of a connection.
	Throttled atomic.Int64
}

// Transport is a daemon's end of all its links. Send, SendBefore and Flush are
// for the owner alone; all other methods may be called by any goroutine.
type Transport struct {
	address string
	// zonePrefix is what the addresses of this daemon's zone begin with.
	zonePrefix string
	// inbox and control receive messages; control those of the control state.
	inbox   chan<- Inbound
	control chan<- Inbound
	// onMalformed is called by the acceptor with the address of the peer.
	onMalformed func(remote string, err error)
	clock       func() time.Time
	impairment  atomic.Pointer[Impairment]

	// Counters may be read at any time.
	Counters Counters
	// sent and received are by kind of message.
	sent, received kindCounters

	pacer Pacer
	// throttled is set by the dialer while something queued waits for the pacer,
	// so that the owner doesn't overtake it.
	throttled     atomic.Bool
	compression   atomic.Bool
	observesLinks atomic.Bool
	closing       atomic.Bool

	// The states of the three goroutines.
	sender   sender
	acceptor *acceptor
	dialer   *dialer
}

// Open listens on an address and starts the dialer. Messages of the control state
// (see IsControl) are delivered to the channel control, which must be emptied
// without delay, all others to inbox, and dropped where that is full. Connections
// with malformed frames are closed and reported to onMalformed.
func Open(
	address string, inbox, control chan<- Inbound, onMalformed func(remote string, err error),
) (*Transport, error) {
	opened := newTransport(address)
	opened.inbox, opened.control, opened.onMalformed = inbox, control, onMalformed
	// gnet's pool of workers, which nothing here uses, would wake up twice a
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
	// gnet polls for its end twice a second; its goroutine reports it sooner.
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

// zonePrefixOf returns the part of an address that the daemons of a zone share:
// all but the last number of the IP address.
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

// gnetLogging keeps gnet's lines out of a daemon's log, which has numbered events
// only.
func gnetLogging() []gnet.Option {
	return []gnet.Option{gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(discardLogger{})}
}

type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
