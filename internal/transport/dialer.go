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
	// firstDialTimeout is that of each of the first eagerDials dials to a peer;
	// the later ones may take twice as long each, up to maxDialTimeout. A machine
	// that is just starting drops the first SYN, and the system would repeat it
	// after a second only.
	firstDialTimeout = 200 * time.Millisecond
	eagerDials       = 8
	maxDialTimeout   = time.Second
	// minBackoff and maxBackoff bound the pause after a dial that failed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// probeDelay is when a connection that ended is dialed again to see whether
	// anybody is there, if links are observed; slowProbeDelay where somebody
	// accepts connections and closes them again and again.
	probeDelay     = 5 * time.Millisecond
	slowProbeDelay = 200 * time.Millisecond
	// idleTimeout is after how long without a batch a connection is closed, and
	// how often that is checked.
	idleTimeout = 30 * time.Second
	// unacknowledgedTimeout ends a connection whose peer's TCP acknowledges
	// nothing for that long.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// readBufferBytes is that of dialed connections, which only receive
	// acknowledgements.
	readBufferBytes = 1 << 10
)

// dialer dials peers, and sends what the owner can't write at once (see
// takeOver). It is the event handler of a gnet client with one loop, whose
// connections have their link as context.
type dialer struct {
	gnet.BuiltinEventEngine
	transport *Transport
	client    *gnet.Client
	loop      gnet.EventLoop
	// running is set once there is a loop; peers may connect before.
	running atomic.Bool
	// dial connects to an address. Tests replace it and firstDialTimeout.
	dial             func(limit context.Context, address string) (net.Conn, error)
	firstDialTimeout time.Duration

	// The rest belongs to the loop, see run. Links are by address, and stay.
	links map[string]*link
	// queue has what waits for a connection, its window, or the pacer.
	queue PriorityQueue[chunk]
	// drainAt is when a timer drains the queue, zero for none.
	drainAt time.Time
	stopped bool
	// compressBuffer is reused from chunk to chunk.
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
// connections, so that the first one goes to the daemon's own address, and ends
// at once.
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
	limit, cancel := context.WithTimeout(context.Background(), maxDialTimeout)
	defer cancel()
	plain, err := d.dial(limit, d.transport.address)
	if err != nil {
		return err
	}
	first, err := client.Enroll(plain)
	if err != nil {
		return err
	}
	d.loop = first.EventLoop()
	d.running.Store(true)
	_ = first.Close()
	time.AfterFunc(idleTimeout, d.sweepIdle)
	return nil
}

// run runs a function on the loop, after those before it. It doesn't wait.
func (d *dialer) run(work func()) {
	_ = d.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		work()
		return nil
	}))
}

// after runs a function on the loop after a while.
func (d *dialer) after(wait time.Duration, work func()) {
	time.AfterFunc(wait, func() { d.run(work) })
}

// OnOpen is called by gnet for a connection that was made.
func (d *dialer) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	to, matches := connection.Context().(*link)
	if !matches {
		return nil, gnet.None
	}
	return nil, d.connected(to, connection)
}

// OnClose is called by gnet for a connection that ended.
func (d *dialer) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if to, matches := connection.Context().(*link); matches {
		d.connectionLost(to, connection)
	}
	return gnet.None
}

// OnTraffic is called by gnet when bytes were received, which are
// acknowledgements: only the newest one counts.
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

// connect dials a peer, unless a dial is in progress or failed a moment ago.
func (d *dialer) connect(to *link) {
	if to.dialing || d.stopped {
		return
	}
	if wait := time.Until(to.retryAt); wait > 0 {
		d.serveAfter(to, wait)
		return
	}
	to.dialing = true
	limit, cancel := context.WithTimeout(context.Background(), d.dialTimeout(to.attempts))
	to.attempts++
	to.cancelDial = cancel
	go func() {
		defer cancel()
		plain, err := d.dial(limit, to.address)
		if err == nil {
			_, err = d.client.EnrollContext(plain, to)
		}
		if err != nil {
			d.run(func() { d.dialFailed(to, err) })
		}
	}()
}

// dialTimeout returns how long a dial may take after some attempts.
func (d *dialer) dialTimeout(attempts int) time.Duration {
	doublings := min(max(0, attempts-eagerDials), eagerDials)
	return max(d.firstDialTimeout, min(d.firstDialTimeout<<doublings, maxDialTimeout))
}

func (d *dialer) dialTCP(limit context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAlive: -1,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(d.transport.address))},
	}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Where the system doesn't know the option, a dead peer is found later.
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
				int(unacknowledgedTimeout.Milliseconds()))
		})
	}
	return dialer.DialContext(limit, "tcp", address)
}

// compresses reports whether batches to a peer are compressed: those to other
// zones, and all where the machine's own link is slow.
func (d *dialer) compresses(to *link) bool {
	return d.transport.compression.Load() && (to.crossZone || d.transport.pacer.RequiresAcknowledgements())
}

// connected handles a new connection. The preamble goes first.
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
		// The dial itself was pause enough.
		to.backoff = 0
	}
	if !timedOut && !refused && !to.peerSeen {
		// The connection was made and reset before it could be used: somebody was
		// there, and may be gone by the next time.
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

// reportRefused tells the owner that nobody listens at a peer's address, unless
// the owner is busy.
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

// peerAppeared is called by the acceptor when a peer has identified itself on a
// connection of its own: since the peer is there, a dial begun before it was is
// cancelled and made anew.
func (d *dialer) peerAppeared(address string) {
	// While the transport is still opening there is no dial to cancel.
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
	// Who requested what it had missed requests it again, on a connection of its
	// own.
	d.dropped(d.queue.Remove(to.address, ClassCatchUp, func(chunk) bool { return true }))
	if d.queue.Contains(to.address) {
		// The queue may be in use by what closed the connection.
		d.serveAfter(to, to.backoff)
	}
}

// probeAfter dials again after a while, if links are observed, so that the owner
// learns whether anybody is there.
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

// backOff makes the pause before the next dial longer.
func (d *dialer) backOff(to *link) {
	to.backoff = min(max(2*to.backoff, minBackoff), maxBackoff)
	to.retryAt = time.Now().Add(to.backoff)
}

// closeAfterError closes the connection of a socket after a write has failed.
// It is called by the owner.
func (d *dialer) closeAfterError(to *link, failed *socket) {
	d.run(func() {
		if to.socket == failed {
			_ = d.loop.Close(to.connection)
		}
	})
}

// sweepIdle closes the connections that had no batch since the last sweep.
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
