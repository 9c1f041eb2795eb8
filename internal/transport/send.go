// The owner's side of the links: a turn's frames, and its writes.

package transport

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"dahlialock/internal/statemachine"
)

func (t *Transport) cutTo(address string) bool {
	impairment := t.impairment.Load()
	return anyPrefix(address, impairment.Partitioned, impairment.OutboundBlocked)
}

// SetImpairment changes what a trial imposes.
func (t *Transport) SetImpairment(impairment Impairment) {
	t.impairment.Store(&impairment)
}

// EnableCompression has turns to other zones packed, on connections made from now
// on.
func (t *Transport) EnableCompression() { t.compresses.Store(true) }

// ObserveLinks has connections that end dialled again at once, and addresses that refuse
// that told to the owner.
func (t *Transport) ObserveLinks() { t.watches.Store(true) }

// Send queues a message for the end of the turn; it never blocks for long and
// never fails loudly. It is for the owner alone. Until the owner has called
// Flush for the first time, each message goes out at once.
func (t *Transport) Send(to string, version uint64, message any) error {
	return t.SendBefore(to, version, message, time.Time{})
}

// SendBefore is Send for a message that may leave only before a moment, unless
// that is zero: the clock is looked at when its turn is written.
func (t *Transport) SendBefore(to string, version uint64, message any, notAfter time.Time) error {
	if to == t.address {
		t.inbox <- Inbound{Meta: statemachine.Meta{From: t.address, Version: version}, Message: message}
		return nil
	}
	present, found := t.links[to]
	if !found {
		present = &link{to: to, away: homeOf(to) != t.home}
		t.links[to] = present
	}
	class := ClassOf(message)
	before := present.pending[class].Len()
	if err := appendFrame(&present.pending[class], "", version, message); err != nil {
		return err
	}
	t.sent.add(message, present.pending[class].Len()-before)
	present.frames[class]++
	if !notAfter.IsZero() {
		present.bounds[class] = append(present.bounds[class], bound{start: before, end: present.pending[class].Len(), notAfter: notAfter})
	}
	if !present.dirty {
		present.dirty = true
		t.dirty = append(t.dirty, present)
	}
	if !t.turns {
		t.flush()
	}
	return nil
}

// Flush ends a turn: each destination gets the turn's frames in one write.
func (t *Transport) Flush() {
	t.turns = true
	t.flush()
}

func (t *Transport) flush() {
	if len(t.dirty) == 0 {
		return
	}
	now := time.Now()
	for position, present := range t.dirty {
		t.put(now, present)
		present.clean()
		t.dirty[position] = nil
	}
	t.dirty = t.dirty[:0]
}

// clean makes a link ready for the next turn.
func (l *link) clean() {
	l.dirty = false
	for class := range l.pending {
		l.frames[class], l.bounds[class] = 0, nil
		if l.pending[class].Cap() > spareMost {
			l.pending[class] = bytes.Buffer{}
		} else {
			l.pending[class].Reset()
		}
	}
}

// lowest is the lowest class of a turn.
func (l *link) lowest() Class {
	lowest := ClassControl
	for class := range l.frames {
		if l.frames[class] > 0 {
			lowest = Class(class)
		}
	}
	return lowest
}

// whole gives a turn's frames in the order of their classes, and how many they are.
func (t *Transport) whole(present *link) (body []byte, frames int) {
	classes := 0
	for class := range present.pending {
		if present.frames[class] > 0 {
			classes++
			frames += present.frames[class]
			body = present.pending[class].Bytes()
		}
	}
	if classes == 1 {
		return body, frames
	}
	t.turn = t.turn[:0]
	for class := range present.pending {
		t.turn = append(t.turn, present.pending[class].Bytes()...)
	}
	body = t.turn
	if cap(t.turn) > spareMost {
		t.turn = nil
	}
	return body, frames
}

// put writes a turn's frames, or hands them to the dialling loop.
func (t *Transport) put(now time.Time, present *link) {
	present.uses.Add(1)
	open := present.way.Load()
	if open == nil || open.handed != present.handed || !t.impairment.Load().calm() {
		t.handOverTurn(present)
		return
	}
	if t.held.Load() || t.pace.Delay(now) > 0 || !open.socket.window.Admits(present.lowest()) {
		t.Counters.Throttled.Add(1)
		t.handOverTurn(present)
		return
	}
	t.leaveOutLate(present)
	body, frames := t.whole(present)
	if frames == 0 {
		return
	}
	var wrapped []byte
	wrapped, t.scratch = open.socket.wrap(t.scratch, body)
	t.Counters.Writes.Add(1)
	open.socket.window.Sent(now, len(wrapped))
	sent, err := open.socket.write(wrapped)
	if err != nil && !errors.Is(err, unix.EAGAIN) {
		t.broken(present, open.socket)
		t.handOverTurn(present)
		return
	}
	t.pace.Spend(now, sent)
	t.count(present, frames, sent)
	if sent < len(wrapped) {
		t.handOver(present, chunk{body: bytes.Clone(wrapped[sent:]), rest: open.socket})
	}
}

// SpendBandwidth tells of bytes that others gave to the machine's link.
func (t *Transport) SpendBandwidth(size int) {
	if t.pace.rate.Load() != 0 {
		t.pace.Spend(time.Now(), size)
	}
}

// SetRate sets the bytes a second that the machine's link takes, 0 for no limit.
func (t *Transport) SetRate(rate int) { t.pace.SetRate(rate) }

func (t *Transport) count(present *link, frames, sent int) {
	t.Counters.MessagesOut.Add(int64(frames))
	t.Counters.BytesOut.Add(int64(sent))
	if present.away {
		t.Counters.MessagesCrossZone.Add(int64(frames))
		t.Counters.BytesCrossZone.Add(int64(sent))
	}
}

// handOverTurn gives a turn's frames to the dialling loop, by class.
func (t *Transport) handOverTurn(present *link) {
	var handed []chunk
	for class := range present.pending {
		if present.frames[class] > 0 {
			handed = append(handed, chunk{body: bytes.Clone(present.pending[class].Bytes()), class: Class(class), frames: present.frames[class], bounds: present.bounds[class]})
		}
	}
	t.handOver(present, handed...)
}

// handOver gives bytes to the dialling loop; the way is closed to the owner until
// that loop has opened it again.
func (t *Transport) handOver(present *link, handed ...chunk) {
	present.handed++
	t.onLoop(func() { t.accept(present, handed) })
}

// broken tells the dialling loop that a write failed.
func (t *Transport) broken(present *link, failed *socket) {
	t.onLoop(func() {
		if present.socket == failed {
			_ = t.loop.Close(present.wire)
		}
	})
}

func (t *Transport) onLoop(run func()) {
	_ = t.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		run()
		return nil
	}))
}
