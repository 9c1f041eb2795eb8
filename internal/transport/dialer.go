package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"dahlialock/internal/statemachine"
)

const (
	// firstDialTimeout is the timeout of the first eagerDials+1 dials to a peer. Each
	// later dial has twice the timeout of the previous one, up to maxDialTimeout. The
	// timeout is short because a host that is just starting drops the first SYN, and the
	// kernel retransmits a SYN only after a second.
	firstDialTimeout = 200 * time.Millisecond
	eagerDials       = 8
	maxDialTimeout   = time.Second
	// minBackoff and maxBackoff bound the pause after a dial that failed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// probeDelay is the delay after which an ended connection is dialed again if
	// links are observed, to find out whether the peer still listens. slowProbeDelay
	// is used instead if the peer accepts connections but closes them repeatedly.
	probeDelay     = 5 * time.Millisecond
	slowProbeDelay = 200 * time.Millisecond
	// idleTimeout is the interval of the checks for idle connections. A check closes
	// the connections that had no batch since the previous check.
	idleTimeout = 30 * time.Second
	// unacknowledgedTimeout is the TCP_USER_TIMEOUT: a connection ends if sent data
	// isn't acknowledged by the peer's TCP stack for that long.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// readBufferBytes is the read buffer of a dialed connection, which only receives
	// acknowledgements.
	readBufferBytes = 1 << 10
)

// dialer dials peers, and sends the chunks that the owner can't write at once (see
// takeOver). It is the event handler of a gnet client with one loop. The gnet
// context of each of its connections is the link.
type dialer struct {
	gnet.BuiltinEventEngine
	transport *Transport
	client    *gnet.Client
	loop      gnet.EventLoop
	// running is set once the loop has been started; peers may connect to the
	// acceptor before that.
	running atomic.Bool
	// dial connects to an address. Tests replace it and firstDialTimeout.
	dial             func(ctx context.Context, address string) (net.Conn, error)
	firstDialTimeout time.Duration

	// The remaining fields are only accessed on the loop (see run). links has links
	// by address; entries are never removed.
	links map[string]*link
	// queue has the chunks that wait for a connection, for the connection's flow
	// window, or for the pacer.
	queue PriorityQueue[chunk]
	// drainAt is when the timer of drainAfter fires, zero for none.
	drainAt time.Time
	stopped bool
	// compressBuffer is reused across chunks.
	compressBuffer []byte
}

func newDialer(transport *Transport) *dialer {
	made := &dialer{
		transport:        transport,
		firstDialTimeout: firstDialTimeout,
		links:            map[string]*link{},
	}
	made.dial = made.dialTCP
	return made
}

// start starts the loop. gnet gives access to a loop only through one of its
// connections, so start opens a connection to the daemon's own address, and closes
// it at once.
func (d *dialer) start() error {
	options := append(gnetLogging(), gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBufferBytes))
	client, err := gnet.NewClient(d, options...)
	if err != nil {
		return err
	}
	if err := client.Start(); err != nil {
		return err
	}
	d.client = client
	ctx, cancel := context.WithTimeout(context.Background(), maxDialTimeout)
	defer cancel()
	rawConnection, err := d.dial(ctx, d.transport.address)
	if err != nil {
		return err
	}
	first, err := client.Enroll(rawConnection)
	if err != nil {
		return err
	}
	d.loop = first.EventLoop()
	d.running.Store(true)
	_ = first.Close()
	time.AfterFunc(idleTimeout, d.sweepIdle)
	return nil
}

// run schedules a function on the loop, in the order of the calls. It doesn't wait
// for the function.
func (d *dialer) run(work func()) {
	_ = d.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		work()
		return nil
	}))
}

// after runs a function on the loop after a delay.
func (d *dialer) after(wait time.Duration, work func()) {
	time.AfterFunc(wait, func() { d.run(work) })
}

// OnOpen is called by gnet when a connection was established.
func (d *dialer) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	to, matches := connection.Context().(*link)
	if !matches {
		return nil, gnet.None
	}
	return nil, d.connected(to, connection)
}

// OnClose is called by gnet when a connection has ended.
func (d *dialer) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if to, matches := connection.Context().(*link); matches {
		d.connectionLost(to, connection)
	}
	return gnet.None
}

// OnTraffic is called by gnet when bytes were received. They are cumulative
// acknowledgements, of which only the newest is used.
func (d *dialer) OnTraffic(connection gnet.Conn) gnet.Action {
	from, matches := connection.Context().(*link)
	if !matches {
		_, _ = connection.Discard(-1)
		return gnet.None
	}
	const none = -1
	newest := int64(none)
	for connection.InboundBuffered() >= acknowledgementBytes {
		body, err := connection.Next(acknowledgementBytes)
		if err != nil {
			return gnet.Close
		}
		newest = int64(binary.BigEndian.Uint64(body))
	}
	if newest > none && from.connection == connection {
		from.socket.window.Acknowledge(time.Now(), newest)
		d.serve(from)
	}
	return gnet.None
}

// connect dials a peer unless a dial is in progress. After a failed dial it waits
// until the backoff has passed.
func (d *dialer) connect(to *link) {
	if to.dialing || d.stopped {
		return
	}
	if wait := time.Until(to.retryAt); wait > 0 {
		d.serveAfter(to, wait)
		return
	}
	to.dialing = true
	ctx, cancel := context.WithTimeout(context.Background(), d.dialTimeout(to.attempts))
	to.attempts++
	to.cancelDial = cancel
	go func() {
		defer cancel()
		rawConnection, err := d.dial(ctx, to.address)
		if err == nil {
			_, err = d.client.EnrollContext(rawConnection, to)
		}
		if err != nil {
			d.run(func() { d.dialFailed(to, err) })
		}
	}()
}

// dialTimeout returns the timeout of a dial after a number of earlier attempts.
func (d *dialer) dialTimeout(attempts int) time.Duration {
	doublings := min(max(0, attempts-eagerDials), eagerDials)
	return max(d.firstDialTimeout, min(d.firstDialTimeout<<doublings, maxDialTimeout))
}

func (d *dialer) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAlive: -1,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(d.transport.address))},
	}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// On systems without this option, an unreachable peer is detected later.
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
				int(unacknowledgedTimeout.Milliseconds()))
		})
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// compresses reports whether batches to a peer are compressed. If compression is
// enabled, batches to other zones are, and all batches if the host's own network
// link is slow.
func (d *dialer) compresses(to *link) bool {
	return d.transport.compression.Load() && (to.crossZone || d.transport.pacer.RequiresAcknowledgements())
}

// connected handles a new connection. It sends the preamble before all else.
func (d *dialer) connected(to *link, connection gnet.Conn) gnet.Action {
	to.dialing, to.peerSeen, to.attempts = false, false, 0
	descriptor, err := connection.Dup()
	if err != nil {
		d.backOff(to)
		d.probeAfter(to, slowProbeDelay)
		return gnet.Close
	}
	d.transport.Counters.Dials.Add(1)
	to.connection, to.socket = connection, &socket{descriptor: descriptor}
	to.backoff, to.closedIdle = 0, false
	to.openedAt = time.Now()
	compressed := d.compresses(to)
	if compressed {
		to.socket.compressor = newCompressor()
	}
	var first bytes.Buffer
	if err := appendFrame(&first, d.transport.address, 0, preamble{Compressed: compressed}); err != nil {
		return gnet.Close
	}
	to.socket.window.Sent(to.openedAt, first.Len())
	if _, err := connection.Write(first.Bytes()); err != nil {
		return gnet.None
	}
	d.dropStale(to)
	d.serve(to)
	return gnet.None
}

// dialFailed handles a dial that made no connection.
func (d *dialer) dialFailed(to *link, err error) {
	to.dialing = false
	refused := errors.Is(err, unix.ECONNREFUSED)
	if d.transport.observesLinks.Load() && refused {
		d.reportRefused(to)
	}
	var netError net.Error
	timedOut := errors.As(err, &netError) && netError.Timeout()
	if timedOut && to.attempts <= eagerDials {
		// The timeout of the dial has already delayed the next one, so the backoff
		// doesn't grow.
		to.backoff = 0
	}
	if !timedOut && !refused && !to.peerSeen {
		// The connection was established, but reset before it could be used. The
		// peer was listening, and the next dial shows whether it still is.
		d.probeAfter(to, slowProbeDelay)
	}
	if !to.peerSeen {
		d.backOff(to)
	}
	to.peerSeen = false
	d.dropStale(to)
	if d.queue.Contains(to.address) {
		d.connect(to)
	}
}

// reportRefused delivers a ConnectionRefused for a peer's address to the owner. It
// is dropped if the channel is full.
func (d *dialer) reportRefused(to *link) {
	inbound := Inbound{
		Meta:    statemachine.Meta{From: to.address},
		Message: ConnectionRefused{},
	}
	select {
	case d.transport.control <- inbound:
	default:
	}
}

// peerAppeared is called by the acceptor when a peer has connected and sent its
// preamble. The peer is now reachable, so a dial that is still in progress, which
// may have started before the peer was listening, is cancelled and repeated.
func (d *dialer) peerAppeared(address string) {
	// While the transport is still opening, there is no dial to cancel.
	if !d.running.Load() {
		return
	}
	d.run(func() {
		known, found := d.links[address]
		if !found || known.connection != nil || d.stopped || d.transport.blocksOutbound(address) {
			return
		}
		known.attempts, known.backoff, known.retryAt = 0, 0, time.Time{}
		if known.dialing {
			known.peerSeen = true
			known.cancelDial()
			return
		}
		if d.queue.Contains(address) {
			d.connect(known)
		}
	})
}

// connectionLost handles the end of a connection.
func (d *dialer) connectionLost(to *link, connection gnet.Conn) {
	if to.connection != connection {
		return
	}
	to.direct.Store(nil)
	to.socket.close()
	to.connection, to.socket = nil, nil
	d.backOff(to)
	if !to.closedIdle {
		wait := probeDelay
		if time.Since(to.openedAt) < slowProbeDelay {
			wait = slowProbeDelay
		}
		d.probeAfter(to, wait)
	}
	to.unwritten = chunk{}
	// Catch-up responses are dropped because the peer requests the missed records
	// again on its own connection.
	d.countDropped(d.queue.Remove(to.address, ClassCatchUp, func(chunk) bool { return true }))
	if d.queue.Contains(to.address) {
		// The queue isn't accessed at once because the connection may have been closed
		// by a function that is iterating over the queue.
		d.serveAfter(to, to.backoff)
	}
}

// probeAfter dials again after a delay if links are observed, so that the owner is
// notified if the peer no longer listens.
func (d *dialer) probeAfter(to *link, wait time.Duration) {
	if !d.transport.observesLinks.Load() || d.stopped {
		return
	}
	d.after(wait, func() {
		if to.connection == nil && !d.transport.blocksOutbound(to.address) {
			to.retryAt = time.Time{}
			d.connect(to)
		}
	})
}

// backOff doubles the pause before the next dial, within its bounds.
func (d *dialer) backOff(to *link) {
	to.backoff = min(max(2*to.backoff, minBackoff), maxBackoff)
	to.retryAt = time.Now().Add(to.backoff)
}

// closeAfterError closes the connection of a socket after a failed write. It is
// called by the owner.
func (d *dialer) closeAfterError(to *link, failed *socket) {
	d.run(func() {
		if to.socket == failed {
			_ = d.loop.Close(to.connection)
		}
	})
}

// sweepIdle closes the connections that had no batch since the last sweep and have
// nothing queued.
func (d *dialer) sweepIdle() {
	d.run(func() {
		if d.stopped {
			return
		}
		for _, each := range d.links {
			batches := each.batches.Load()
			if batches == each.sweptBatches && each.connection != nil && !d.queue.Contains(each.address) {
				each.closedIdle = true
				_ = d.loop.Close(each.connection)
			}
			each.sweptBatches = batches
		}
		time.AfterFunc(idleTimeout, d.sweepIdle)
	})
}
