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

// accept takes what the owner handed over.
func (t *Transport) accept(present *link, handed []chunk) {
	present.taken++
	t.tended[present.to] = present
	now := time.Now()
	for _, each := range handed {
		if each.rest != nil {
			present.rest = each
			continue
		}
		for _, piece := range t.pieces(present, each, now) {
			t.dropped(t.order.Push(present.to, piece.class, len(piece.body), piece))
		}
	}
	t.pump(present)
}

// pieces cuts a turn between frames, so that what is more urgent can go in between;
// to one frame each where a trial may treat them unequally.
func (t *Transport) pieces(present *link, whole chunk, now time.Time) []chunk {
	calm := t.impairment.Load().calm()
	whole.at = now
	if calm && len(whole.body) <= pieceMost {
		return []chunk{whole}
	}
	var pieces []chunk
	begin, end, frames := 0, 0, 0
	cut := func() {
		if frames == 0 {
			return
		}
		piece := chunk{body: whole.body[begin:end], class: whole.class, frames: frames, at: now, bounds: boundsWithin(whole.bounds, begin, end)}
		if delay := t.delay(present.to, piece.body); delay > 0 {
			piece.due = now.Add(delay)
		}
		pieces = append(pieces, piece)
		begin, frames = end, 0
	}
	for end < len(whole.body) {
		length, complete, err := FrameLength(whole.body[end:])
		if !complete || err != nil {
			break
		}
		if !calm || end+headerSize+length-begin > pieceMost {
			cut()
		}
		end += headerSize + length
		frames++
	}
	cut()
	return pieces
}

// pump looks after one link, and sends what waits.
func (t *Transport) pump(present *link) {
	t.finishWrite(present)
	t.sendWaiting()
	t.settle(present)
}

// sendWaiting moves what waits onto connections, as far as they and the machine's
// link take it.
func (t *Transport) sendWaiting() {
	for {
		now := time.Now()
		if wait := t.pace.Delay(now); wait > 0 {
			waits := !t.order.Empty()
			t.held.Store(waits)
			if waits {
				t.Counters.Throttled.Add(1)
			}
			t.sendLater(now, wait)
			return
		}
		peer, next, found := t.order.Pop(t.takes)
		if !found {
			t.held.Store(false)
			return
		}
		if next.class.Expired(now.Sub(next.at)) {
			t.dropped([]chunk{next})
			t.settle(t.tended[peer])
			continue
		}
		t.give(now, t.tended[peer], next)
		t.settle(t.tended[peer])
	}
}

// finishWrite goes on with a write of which the owner's socket took a part.
func (t *Transport) finishWrite(present *link) {
	rest := present.rest
	if rest.rest == nil {
		return
	}
	present.rest = chunk{}
	if rest.rest != present.socket || present.wire == nil {
		t.Counters.Dropped.Add(1)
		return
	}
	t.write(time.Now(), present, rest.body, 0)
}

// takes tells whether a peer's connection takes what is next for it, and sees to it
// that it will.
func (t *Transport) takes(peer string, next chunk) bool {
	present := t.tended[peer]
	switch {
	case t.cutTo(peer):
		// It is lost at once.
		return true
	case present.wire == nil:
		t.call(present)
		return false
	case next.class.Expired(time.Since(next.at)):
		return true
	case !next.due.IsZero() && time.Until(next.due) > 0:
		t.arm(present, time.Until(next.due))
		return false
	case present.wire.OutboundBuffered() > bufferMost:
		t.arm(present, lookAgain)
		return false
	}
	return present.socket.window.Admits(next.class)
}

// give puts a chunk on a connection.
func (t *Transport) give(now time.Time, present *link, next chunk) {
	if t.cutTo(present.to) {
		// What follows goes over a link that is dialled anew.
		t.Counters.Dropped.Add(int64(next.frames))
		if present.wire != nil {
			_ = t.loop.Close(present.wire)
		}
		return
	}
	if next = t.departing(next); next.frames == 0 {
		return
	}
	var wrapped []byte
	wrapped, t.wrapping = present.socket.wrap(t.wrapping, next.body)
	present.socket.window.Sent(now, len(wrapped))
	t.write(now, present, wrapped, next.frames)
}

func (t *Transport) write(now time.Time, present *link, body []byte, frames int) {
	t.Counters.Writes.Add(1)
	t.pace.Spend(now, len(body))
	t.count(present, frames, len(body))
	_, _ = present.wire.Write(body)
}

// settle opens the way to the owner again where nothing waits.
func (t *Transport) settle(present *link) {
	switch {
	case present.wire == nil || present.rest.rest != nil || t.order.Contains(present.to):
	case present.wire.OutboundBuffered() > 0:
		t.arm(present, lookAgain)
	default:
		if open := present.way.Load(); open == nil || open.socket != present.socket || open.handed != present.taken {
			present.way.Store(&way{socket: present.socket, handed: present.taken})
		}
	}
}

// sendLater comes back when the machine's link takes more.
func (t *Transport) sendLater(now time.Time, wait time.Duration) {
	if t.order.Empty() || t.sendAt.After(now) {
		return
	}
	t.sendAt = now.Add(wait)
	time.AfterFunc(wait, func() {
		t.onLoop(func() {
			t.sendAt = time.Time{}
			t.sendWaiting()
		})
	})
}

// arm comes back to a link after a while.
func (t *Transport) arm(present *link, wait time.Duration) {
	due := time.Now().Add(wait)
	if !present.armed.IsZero() && !due.Before(present.armed) {
		return
	}
	present.armed = due
	time.AfterFunc(wait, func() {
		t.onLoop(func() {
			present.armed = time.Time{}
			t.pump(present)
		})
	})
}

// call dials, unless that is being done or was tried a moment ago.
func (t *Transport) call(present *link) {
	if present.dialling || t.stopped {
		return
	}
	if wait := time.Until(present.retryAt); wait > 0 {
		t.arm(present, wait)
		return
	}
	present.dialling = true
	limit, hangUp := context.WithTimeout(context.Background(), t.patience(present.tries))
	present.tries++
	present.hangUp = hangUp
	go func() {
		defer hangUp()
		plain, err := t.dial(limit, present.to)
		if err == nil {
			_, err = t.client.EnrollContext(plain, present)
		}
		if err != nil {
			t.onLoop(func() { t.missed(present, err) })
		}
	}()
}

// patience is how long a dial may take after some that were not answered.
func (t *Transport) patience(tries int) time.Duration {
	return max(t.firstDial, min(t.firstDial<<min(max(0, tries-dialsEager), dialsEager), dialLimit))
}

// peerIsThere tells the dialling loop that a peer has just named itself on a connection of
// its own: it is there, so that a dial begun before it was is given up and made anew.
// While links are still being opened there is none to give up.
func (t *Transport) peerIsThere(address string) {
	if !t.looping.Load() {
		return
	}
	t.onLoop(func() {
		known, found := t.tended[address]
		if !found || known.wire != nil || t.stopped || t.cutTo(address) {
			return
		}
		known.tries, known.pause, known.retryAt = 0, 0, time.Time{}
		if known.dialling {
			known.answers = true
			known.hangUp()
			return
		}
		if t.order.Contains(address) {
			t.call(known)
		}
	})
}

func (t *Transport) dialPlain(limit context.Context, to string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(t.address))}}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Where a system does not know it, a dead peer is found later.
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deafLimit.Milliseconds()))
		})
	}
	return dialer.DialContext(limit, "tcp", to)
}

// packsTo tells whether turns to a peer are packed: those to other zones, and all where
// the machine's own link is thin.
func (t *Transport) packsTo(present *link) bool {
	return t.compresses.Load() && (present.away || t.pace.RequiresAcknowledgements())
}

// opened takes a connection that was made: who we are goes first.
func (t *Transport) opened(present *link, wire gnet.Conn) gnet.Action {
	present.dialling, present.answers, present.tries = false, false, 0
	descriptor, err := wire.Dup()
	if err != nil {
		t.pauseLink(present)
		t.probe(present, probeSlowly)
		return gnet.Close
	}
	t.Counters.Dials.Add(1)
	present.wire, present.socket, present.pause, present.idle = wire, &socket{descriptor: descriptor}, 0, false
	present.openAt = time.Now()
	packs := t.packsTo(present)
	if packs {
		present.socket.packer = newPacker()
	}
	var first bytes.Buffer
	if err := appendFrame(&first, t.address, 0, preamble{Packed: packs}); err != nil {
		return gnet.Close
	}
	present.socket.window.Sent(present.openAt, first.Len())
	if _, err := wire.Write(first.Bytes()); err != nil {
		return gnet.None
	}
	t.dropStale(present)
	t.pump(present)
	return gnet.None
}

// missed is told of a connection that could not be made.
func (t *Transport) missed(present *link, err error) {
	present.dialling = false
	if t.watches.Load() && errors.Is(err, unix.ECONNREFUSED) {
		select {
		case t.urgent <- Inbound{Meta: statemachine.Meta{From: present.to}, Message: ConnectionRefused{}}:
		default:
		}
	}
	var silence net.Error
	silent := errors.As(err, &silence) && silence.Timeout()
	if silent && present.tries <= dialsEager {
		// The dial itself was pause enough.
		present.pause = 0
	}
	if !silent && !errors.Is(err, unix.ECONNREFUSED) && !present.answers {
		// It was made, and reset before it could be used: somebody was there, and may be
		// gone by the next time.
		t.probe(present, probeSlowly)
	}
	if !present.answers {
		t.pauseLink(present)
	}
	present.answers = false
	t.dropStale(present)
	if t.order.Contains(present.to) {
		t.call(present)
	}
}

// dropStale loses what waited for a connection for too long.
func (t *Transport) dropStale(present *link) {
	oldest := time.Now().Add(-staleAfter)
	t.dropped(t.order.RemoveAll(present.to, func(each chunk) bool { return each.at.Before(oldest) }))
}

func (t *Transport) dropped(lost []chunk) {
	for _, each := range lost {
		t.Counters.Dropped.Add(int64(each.frames))
	}
}

// lost is told of a connection that ended.
func (t *Transport) lost(present *link, wire gnet.Conn) {
	if present.wire != wire {
		return
	}
	present.way.Store(nil)
	present.socket.end()
	present.wire, present.socket = nil, nil
	t.pauseLink(present)
	if !present.idle {
		wait := probeAfter
		if time.Since(present.openAt) < probeSlowly {
			// Somebody answers and hangs up again and again.
			wait = probeSlowly
		}
		t.probe(present, wait)
	}
	present.rest = chunk{}
	// Whoever asked for what it had missed asks again, on a connection of its own.
	t.dropped(t.order.Remove(present.to, ClassCatchUp, func(chunk) bool { return true }))
	if t.order.Contains(present.to) {
		// The queue is in the hands of whoever ended the connection.
		t.arm(present, present.pause)
	}
}

// probe dials again after a while, where the owner wants to know whether anybody is
// there.
func (t *Transport) probe(present *link, wait time.Duration) {
	if !t.watches.Load() || t.stopped {
		return
	}
	time.AfterFunc(wait, func() {
		t.onLoop(func() {
			if present.wire == nil && !t.cutTo(present.to) {
				present.retryAt = time.Time{}
				t.call(present)
			}
		})
	})
}

func (t *Transport) pauseLink(present *link) {
	present.pause = min(max(2*present.pause, pauseLeast), pauseMost)
	present.retryAt = time.Now().Add(present.pause)
}

// sweepLater has connections closed on which nothing went for a while.
func (t *Transport) sweepLater() {
	t.onLoop(func() {
		if t.stopped {
			return
		}
		for _, present := range t.tended {
			uses := present.uses.Load()
			if uses == present.seenUses && present.wire != nil && !t.order.Contains(present.to) {
				present.idle = true
				_ = t.loop.Close(present.wire)
			}
			present.seenUses = uses
		}
		time.AfterFunc(idleLimit, t.sweepLater)
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
				delay += lossPenalty
			}
		}
	}
	return delay
}
