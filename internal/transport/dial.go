// The dialling loop: connections, and all that waits for them.
package transport

import (
	"bytes"
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

// accept takes what the owner handed over, in pieces of one frame each where a
// trial may treat them unequally.
func (t *Transport) accept(present *link, handed chunk) {
	present.taken++
	if !present.known {
		present.known = true
		t.tended = append(t.tended, present)
	}
	handed.at = time.Now()
	if handed.rest != nil || t.impairment.Load().calm() {
		present.add(handed)
	} else {
		for body := handed.body; len(body) > 0; {
			length, complete, err := FrameLength(body)
			if !complete || err != nil {
				break
			}
			frame := body[:headerSize+length]
			body = body[headerSize+length:]
			piece := chunk{body: frame, frames: 1, at: handed.at, bounds: boundsOf(handed.bounds, len(handed.body)-len(body)-len(frame), len(frame))}
			if delay := t.delay(present.to, frame); delay > 0 {
				piece.due = handed.at.Add(delay)
			}
			present.add(piece)
		}
	}
	for present.queued > queueMost && len(present.queue) > 1 {
		t.drop(present)
	}
	t.pump(present)
}

func (l *link) add(added chunk) {
	l.queue = append(l.queue, added)
	l.queued += len(added.body)
}

func (l *link) pop() chunk {
	first := l.queue[0]
	l.queue[0] = chunk{}
	l.queue = l.queue[1:]
	l.queued -= len(first.body)
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return first
}

// drop loses the oldest of what waits. The rest of a frame can't be lost without
// the connection that has its beginning.
func (t *Transport) drop(present *link) {
	oldest := present.pop()
	t.Counters.Dropped.Add(int64(max(1, oldest.frames)))
	if oldest.rest != nil && oldest.rest == present.socket && present.wire != nil {
		_ = t.loop.Close(present.wire)
	}
}

// pump moves what waits onto the connection, as far as it takes it.
func (t *Transport) pump(present *link) {
	for len(present.queue) > 0 {
		first := present.queue[0]
		switch {
		case first.rest != nil && first.rest != present.socket:
			t.drop(present)
			continue
		case t.cutTo(present.to):
			// What follows goes over a link that is dialled anew.
			t.drop(present)
			if present.wire != nil {
				_ = t.loop.Close(present.wire)
			}
			continue
		case present.wire == nil:
			t.call(present)
			return
		case !first.due.IsZero() && time.Until(first.due) > 0:
			t.arm(present, time.Until(first.due))
			return
		case present.wire.OutboundBuffered() > bufferMost:
			t.arm(present, lookAgain)
			return
		}
		present.pop()
		if first = t.departing(first); len(first.body) == 0 {
			continue
		}
		wrapped := first.body
		if first.rest == nil {
			wrapped, t.wrapping = present.socket.wrap(t.wrapping, first.body)
		}
		t.Counters.Writes.Add(1)
		t.count(present, first.frames, len(wrapped))
		_, _ = present.wire.Write(wrapped)
	}
	switch {
	case present.wire == nil:
	case present.wire.OutboundBuffered() > 0:
		t.arm(present, lookAgain)
	default:
		present.way.Store(&way{socket: present.socket, handed: present.taken})
	}
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
	go func() {
		plain, err := t.dial(present.to)
		if err == nil {
			_, err = t.client.EnrollContext(plain, present)
		}
		if err != nil {
			t.onLoop(func() { t.missed(present, err) })
		}
	}()
}

func (t *Transport) dial(to string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialLimit, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(hostOf(t.address))}}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Where a system does not know it, a dead peer is found later.
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deafLimit.Milliseconds()))
		})
	}
	return dialer.Dial("tcp", to)
}

// opened takes a connection that was made: who we are goes first.
func (t *Transport) opened(present *link, wire gnet.Conn) gnet.Action {
	present.dialling = false
	descriptor, err := wire.Dup()
	if err != nil {
		t.pauseLink(present)
		return gnet.Close
	}
	t.Counters.Dials.Add(1)
	present.wire, present.socket, present.pause, present.idle = wire, &socket{descriptor: descriptor}, 0, false
	present.openAt = time.Now()
	packs := present.away && t.compresses.Load()
	if packs {
		present.socket.packer = newPacker()
	}
	var first bytes.Buffer
	if err := appendFrame(&first, t.address, 0, preamble{Packed: packs}); err != nil {
		return gnet.Close
	}
	if _, err := wire.Write(first.Bytes()); err != nil {
		return gnet.None
	}
	oldest := time.Now().Add(-staleAfter)
	for len(present.queue) > 0 && present.queue[0].at.Before(oldest) {
		t.drop(present)
	}
	t.pump(present)
	return gnet.None
}

// missed is told of a connection that could not be made.
func (t *Transport) missed(present *link, err error) {
	present.dialling = false
	if t.watches.Load() && errors.Is(err, unix.ECONNREFUSED) {
		select {
		case t.urgent <- Inbound{Meta: statemachine.Meta{From: present.to}, Message: Refused{}}:
		default:
		}
	}
	t.pauseLink(present)
	oldest := time.Now().Add(-staleAfter)
	for len(present.queue) > 0 && present.queue[0].at.Before(oldest) {
		t.drop(present)
	}
	if len(present.queue) > 0 {
		t.call(present)
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
	if t.watches.Load() && !present.idle && !t.stopped {
		wait := probeAfter
		if time.Since(present.openAt) < probeSlowly {
			// Somebody answers and hangs up again and again.
			wait = probeSlowly
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
	if len(present.queue) > 0 {
		// The queue is in the hands of whoever ended the connection.
		t.arm(present, present.pause)
	}
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
			if uses == present.seenUses && present.wire != nil && len(present.queue) == 0 {
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
