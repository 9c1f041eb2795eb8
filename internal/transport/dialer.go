// The dialling loop: connections, and all that waits for them.

package transport

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"dahlialock/internal/statemachine"
)

// takeOver takes what the owner handed over.
func (t *Transport) takeOver(present *link, handed []chunk) {
	present.takenOver++
	t.managed[present.address] = present
	now := time.Now()
	for _, each := range handed {
		if each.continues != nil {
			present.unwritten = each
			continue
		}
		for _, piece := range t.split(present, each, now) {
			t.dropped(t.queue.Push(present.address, piece.class, len(piece.body), piece))
		}
	}
	t.serve(present)
}

// split cuts a turn between frames, so that what is more urgent can go in between;
// to one frame each where a trial may treat them unequally.
func (t *Transport) split(present *link, whole chunk, now time.Time) []chunk {
	calm := t.impairment.Load().none()
	whole.queuedAt = now
	if calm && len(whole.body) <= maxChunkBytes {
		return []chunk{whole}
	}
	var pieces []chunk
	begin, end, frames := 0, 0, 0
	cut := func() {
		if frames == 0 {
			return
		}
		piece := chunk{body: whole.body[begin:end], class: whole.class, frames: frames, queuedAt: now, deadlines: deadlinesWithin(whole.deadlines, begin, end)}
		if delay := t.delay(present.address, piece.body); delay > 0 {
			piece.dueAt = now.Add(delay)
		}
		pieces = append(pieces, piece)
		begin, frames = end, 0
	}
	for end < len(whole.body) {
		length, complete, err := FrameLength(whole.body[end:])
		if !complete || err != nil {
			break
		}
		if !calm || end+frameHeaderBytes+length-begin > maxChunkBytes {
			cut()
		}
		end += frameHeaderBytes + length
		frames++
	}
	cut()
	return pieces
}

// serve looks after one link, and sends what waits.
func (t *Transport) serve(present *link) {
	t.continueWrite(present)
	t.drainQueue()
	t.restoreDirect(present)
}

// drainQueue moves what waits onto connections, as far as they and the machine's
// link take it.
func (t *Transport) drainQueue() {
	for {
		now := time.Now()
		if wait := t.pacer.Delay(now); wait > 0 {
			waits := !t.queue.Empty()
			t.throttled.Store(waits)
			if waits {
				t.Counters.Throttled.Add(1)
			}
			t.drainAfter(now, wait)
			return
		}
		peer, next, found := t.queue.Pop(t.canSend)
		if !found {
			t.throttled.Store(false)
			return
		}
		if next.class.Expired(now.Sub(next.queuedAt)) {
			t.dropped([]chunk{next})
			t.restoreDirect(t.managed[peer])
			continue
		}
		t.transmit(now, t.managed[peer], next)
		t.restoreDirect(t.managed[peer])
	}
}

// continueWrite goes on with a write of which the owner's socket took a part.
func (t *Transport) continueWrite(present *link) {
	rest := present.unwritten
	if rest.continues == nil {
		return
	}
	present.unwritten = chunk{}
	if rest.continues != present.socket || present.connection == nil {
		t.Counters.Dropped.Add(1)
		return
	}
	t.write(time.Now(), present, rest.body, 0)
}

// canSend tells whether a peer's connection takes what is next for it, and sees to it
// that it will.
func (t *Transport) canSend(peer string, next chunk) bool {
	present := t.managed[peer]
	switch {
	case t.blocksOutbound(peer):
		// It is lost at once.
		return true
	case present.connection == nil:
		t.dialLink(present)
		return false
	case next.class.Expired(time.Since(next.queuedAt)):
		return true
	case !next.dueAt.IsZero() && time.Until(next.dueAt) > 0:
		t.serveAfter(present, time.Until(next.dueAt))
		return false
	case present.connection.OutboundBuffered() > maxOutboundBuffer:
		t.serveAfter(present, bufferCheckInterval)
		return false
	}
	return present.socket.window.Admits(next.class)
}

// transmit puts a chunk on a connection.
func (t *Transport) transmit(now time.Time, present *link, next chunk) {
	if t.blocksOutbound(present.address) {
		// What follows goes over a link that is dialled anew.
		t.Counters.Dropped.Add(int64(next.frames))
		if present.connection != nil {
			_ = t.loop.Close(present.connection)
		}
		return
	}
	if next = t.withoutExpired(next); next.frames == 0 {
		return
	}
	var wrapped []byte
	wrapped, t.queueBuffer = present.socket.frameBatch(t.queueBuffer, next.body)
	present.socket.window.Sent(now, len(wrapped))
	t.write(now, present, wrapped, next.frames)
}

func (t *Transport) write(now time.Time, present *link, body []byte, frames int) {
	t.Counters.Writes.Add(1)
	t.pacer.Spend(now, len(body))
	t.countSent(present, frames, len(body))
	_, _ = present.connection.Write(body)
}

// restoreDirect opens the way to the owner again where nothing waits.
func (t *Transport) restoreDirect(present *link) {
	switch {
	case present.connection == nil || present.unwritten.continues != nil || t.queue.Contains(present.address):
	case present.connection.OutboundBuffered() > 0:
		t.serveAfter(present, bufferCheckInterval)
	default:
		if open := present.direct.Load(); open == nil || open.socket != present.socket || open.handedOver != present.takenOver {
			present.direct.Store(&directPath{socket: present.socket, handedOver: present.takenOver})
		}
	}
}

// drainAfter comes back when the machine's link takes more.
func (t *Transport) drainAfter(now time.Time, wait time.Duration) {
	if t.queue.Empty() || t.drainAt.After(now) {
		return
	}
	t.drainAt = now.Add(wait)
	time.AfterFunc(wait, func() {
		t.onLoop(func() {
			t.drainAt = time.Time{}
			t.drainQueue()
		})
	})
}

// serveAfter comes back to a link after a while.
func (t *Transport) serveAfter(present *link, wait time.Duration) {
	due := time.Now().Add(wait)
	if !present.serveAt.IsZero() && !due.Before(present.serveAt) {
		return
	}
	present.serveAt = due
	time.AfterFunc(wait, func() {
		t.onLoop(func() {
			present.serveAt = time.Time{}
			t.serve(present)
		})
	})
}

// dialLink dials, unless that is being done or was tried a moment ago.
func (t *Transport) dialLink(present *link) {
	if present.dialing || t.stopped {
		return
	}
	if wait := time.Until(present.retryAt); wait > 0 {
		t.serveAfter(present, wait)
		return
	}
	present.dialing = true
	limit, hangUp := context.WithTimeout(context.Background(), t.dialTimeout(present.attempts))
	present.attempts++
	present.cancelDial = hangUp
	go func() {
		defer hangUp()
		plain, err := t.dial(limit, present.address)
		if err == nil {
			_, err = t.client.EnrollContext(plain, present)
		}
		if err != nil {
			t.onLoop(func() { t.dialFailed(present, err) })
		}
	}()
}

// dialTimeout is how long a dial may take after some that were not answered.
func (t *Transport) dialTimeout(tries int) time.Duration {
	return max(t.firstDialTimeout, min(t.firstDialTimeout<<min(max(0, tries-eagerDials), eagerDials), maxDialTimeout))
}

// peerAppeared tells the dialling loop that a peer has just named itself on a connection of
// its own: it is there, so that a dial begun before it was is given up and made anew.
// While links are still being opened there is none to give up.
func (t *Transport) peerAppeared(address string) {
	if !t.dialing.Load() {
		return
	}
	t.onLoop(func() {
		known, found := t.managed[address]
		if !found || known.connection != nil || t.stopped || t.blocksOutbound(address) {
			return
		}
		known.attempts, known.backoff, known.retryAt = 0, 0, time.Time{}
		if known.dialing {
			known.peerSeen = true
			known.cancelDial()
			return
		}
		if t.queue.Contains(address) {
			t.dialLink(known)
		}
	})
}

func (t *Transport) dialTCP(limit context.Context, to string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(t.address))}}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Where a system does not know it, a dead peer is found later.
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
		})
	}
	return dialer.DialContext(limit, "tcp", to)
}

// compresses tells whether turns to a peer are packed: those to other zones, and all where
// the machine's own link is thin.
func (t *Transport) compresses(present *link) bool {
	return t.compression.Load() && (present.crossZone || t.pacer.RequiresAcknowledgements())
}

// opened takes a connection that was made: who we are goes first.
func (t *Transport) opened(present *link, wire gnet.Conn) gnet.Action {
	present.dialing, present.peerSeen, present.attempts = false, false, 0
	descriptor, err := wire.Dup()
	if err != nil {
		t.backOff(present)
		t.probe(present, slowProbeDelay)
		return gnet.Close
	}
	t.Counters.Dials.Add(1)
	present.connection, present.socket, present.backoff, present.closedIdle = wire, &socket{descriptor: descriptor}, 0, false
	present.openedAt = time.Now()
	packs := t.compresses(present)
	if packs {
		present.socket.compressor = newCompressor()
	}
	var first bytes.Buffer
	if err := appendFrame(&first, t.address, 0, preamble{Compressed: packs}); err != nil {
		return gnet.Close
	}
	present.socket.window.Sent(present.openedAt, first.Len())
	if _, err := wire.Write(first.Bytes()); err != nil {
		return gnet.None
	}
	t.dropOld(present)
	t.serve(present)
	return gnet.None
}

// dialFailed is told of a connection that could not be made.
func (t *Transport) dialFailed(present *link, err error) {
	present.dialing = false
	if t.observesLinks.Load() && errors.Is(err, unix.ECONNREFUSED) {
		select {
		case t.control <- Inbound{Meta: statemachine.Meta{From: present.address}, Message: ConnectionRefused{}}:
		default:
		}
	}
	var silence net.Error
	silent := errors.As(err, &silence) && silence.Timeout()
	if silent && present.attempts <= eagerDials {
		// The dial itself was pause enough.
		present.backoff = 0
	}
	if !silent && !errors.Is(err, unix.ECONNREFUSED) && !present.peerSeen {
		// It was made, and reset before it could be used: somebody was there, and may be
		// gone by the next time.
		t.probe(present, slowProbeDelay)
	}
	if !present.peerSeen {
		t.backOff(present)
	}
	present.peerSeen = false
	t.dropOld(present)
	if t.queue.Contains(present.address) {
		t.dialLink(present)
	}
}

// dropOld loses what waited for a connection for too long.
func (t *Transport) dropOld(present *link) {
	oldest := time.Now().Add(-maxConnectWait)
	t.dropped(t.queue.RemoveAll(present.address, func(each chunk) bool { return each.queuedAt.Before(oldest) }))
}

func (t *Transport) dropped(lost []chunk) {
	for _, each := range lost {
		t.Counters.Dropped.Add(int64(each.frames))
	}
}

// connectionLost is told of a connection that ended.
func (t *Transport) connectionLost(present *link, wire gnet.Conn) {
	if present.connection != wire {
		return
	}
	present.direct.Store(nil)
	present.socket.end()
	present.connection, present.socket = nil, nil
	t.backOff(present)
	if !present.closedIdle {
		wait := probeDelay
		if time.Since(present.openedAt) < slowProbeDelay {
			// Somebody answers and hangs up again and again.
			wait = slowProbeDelay
		}
		t.probe(present, wait)
	}
	present.unwritten = chunk{}
	// Whoever asked for what it had missed asks again, on a connection of its own.
	t.dropped(t.queue.Remove(present.address, ClassCatchUp, func(chunk) bool { return true }))
	if t.queue.Contains(present.address) {
		// The queue is in the hands of whoever ended the connection.
		t.serveAfter(present, present.backoff)
	}
}

// probe dials again after a while, where the owner wants to know whether anybody is
// there.
func (t *Transport) probe(present *link, wait time.Duration) {
	if !t.observesLinks.Load() || t.stopped {
		return
	}
	time.AfterFunc(wait, func() {
		t.onLoop(func() {
			if present.connection == nil && !t.blocksOutbound(present.address) {
				present.retryAt = time.Time{}
				t.dialLink(present)
			}
		})
	})
}

func (t *Transport) backOff(present *link) {
	present.backoff = min(max(2*present.backoff, minBackoff), maxBackoff)
	present.retryAt = time.Now().Add(present.backoff)
}

// sweepIdle has connections closed on which nothing went for a while.
func (t *Transport) sweepIdle() {
	t.onLoop(func() {
		if t.stopped {
			return
		}
		for _, present := range t.managed {
			uses := present.batches.Load()
			if uses == present.sweptBatches && present.connection != nil && !t.queue.Contains(present.address) {
				present.closedIdle = true
				_ = t.loop.Close(present.connection)
			}
			present.sweptBatches = uses
		}
		time.AfterFunc(idleTimeout, t.sweepIdle)
	})
}

func (t *Transport) delay(to string, frame []byte) time.Duration {
	impairment := t.impairment.Load()
	var delay time.Duration
	for prefix, length := range impairment.Delays {
		if strings.HasPrefix(to, prefix) {
			delay = length
		}
	}
	for prefix, chance := range impairment.Loss {
		if strings.HasPrefix(to, prefix) {
			sum := fnv.New32a()
			_, _ = sum.Write(frame)
			if float64(sum.Sum32()%100000) < chance*100000 {
				delay += retransmissionDelay
			}
		}
	}
	return delay
}
