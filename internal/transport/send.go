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

func (t *Transport) blocksOutbound(address string) bool {
	impairment := t.impairment.Load()
	return anyPrefix(address, impairment.Partitioned, impairment.OutboundBlocked)
}

// SetImpairment changes what a trial imposes.
func (t *Transport) SetImpairment(impairment Impairment) {
	t.impairment.Store(&impairment)
}

// EnableCompression has turns to other zones packed, on connections made from now
// on.
func (t *Transport) EnableCompression() { t.compression.Store(true) }

// ObserveLinks has connections that end dialled again at once, and addresses that refuse
// that told to the owner.
func (t *Transport) ObserveLinks() { t.observesLinks.Store(true) }

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
		present = &link{address: to, crossZone: zonePrefixOf(to) != t.zonePrefix}
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
		present.deadlines[class] = append(present.deadlines[class], deadline{start: before, end: present.pending[class].Len(), notAfter: notAfter})
	}
	if !present.dirty {
		present.dirty = true
		t.dirty = append(t.dirty, present)
	}
	if !t.batching {
		t.flush()
	}
	return nil
}

// Flush ends a turn: each destination gets the turn's frames in one write.
func (t *Transport) Flush() {
	t.batching = true
	t.flush()
}

func (t *Transport) flush() {
	if len(t.dirty) == 0 {
		return
	}
	now := time.Now()
	for position, present := range t.dirty {
		t.sendBatch(now, present)
		present.reset()
		t.dirty[position] = nil
	}
	t.dirty = t.dirty[:0]
}

// reset makes a link ready for the next turn.
func (l *link) reset() {
	l.dirty = false
	for class := range l.pending {
		l.frames[class], l.deadlines[class] = 0, nil
		if l.pending[class].Cap() > maxSpareBytes {
			l.pending[class] = bytes.Buffer{}
		} else {
			l.pending[class].Reset()
		}
	}
}

// lowestClass is the lowest class of a turn.
func (l *link) lowestClass() Class {
	lowest := ClassControl
	for class := range l.frames {
		if l.frames[class] > 0 {
			lowest = Class(class)
		}
	}
	return lowest
}

// joinClasses gives a turn's frames in the order of their classes, and how many they are.
func (t *Transport) joinClasses(present *link) (body []byte, frames int) {
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
	t.joinBuffer = t.joinBuffer[:0]
	for class := range present.pending {
		t.joinBuffer = append(t.joinBuffer, present.pending[class].Bytes()...)
	}
	body = t.joinBuffer
	if cap(t.joinBuffer) > maxSpareBytes {
		t.joinBuffer = nil
	}
	return body, frames
}

// sendBatch writes a turn's frames, or hands them to the dialling loop.
func (t *Transport) sendBatch(now time.Time, present *link) {
	present.batches.Add(1)
	open := present.direct.Load()
	if open == nil || open.handedOver != present.handedOver || !t.impairment.Load().none() {
		t.enqueueBatch(present)
		return
	}
	if t.throttled.Load() || t.pacer.Delay(now) > 0 || !open.socket.window.Admits(present.lowestClass()) {
		t.Counters.Throttled.Add(1)
		t.enqueueBatch(present)
		return
	}
	t.dropExpired(present)
	body, frames := t.joinClasses(present)
	if frames == 0 {
		return
	}
	var wrapped []byte
	wrapped, t.compressBuffer = open.socket.frameBatch(t.compressBuffer, body)
	t.Counters.Writes.Add(1)
	open.socket.window.Sent(now, len(wrapped))
	sent, err := open.socket.write(wrapped)
	if err != nil && !errors.Is(err, unix.EAGAIN) {
		t.writeFailed(present, open.socket)
		t.enqueueBatch(present)
		return
	}
	t.pacer.Spend(now, sent)
	t.countSent(present, frames, sent)
	if sent < len(wrapped) {
		t.enqueue(present, chunk{body: bytes.Clone(wrapped[sent:]), continues: open.socket})
	}
}

// SpendBandwidth tells of bytes that others gave to the machine's link.
func (t *Transport) SpendBandwidth(size int) {
	if t.pacer.rate.Load() != 0 {
		t.pacer.Spend(time.Now(), size)
	}
}

// SetRate sets the bytes a second that the machine's link takes, 0 for no limit.
func (t *Transport) SetRate(rate int) { t.pacer.SetRate(rate) }

func (t *Transport) countSent(present *link, frames, sent int) {
	t.Counters.MessagesOut.Add(int64(frames))
	t.Counters.BytesOut.Add(int64(sent))
	if present.crossZone {
		t.Counters.MessagesCrossZone.Add(int64(frames))
		t.Counters.BytesCrossZone.Add(int64(sent))
	}
}

// enqueueBatch gives a turn's frames to the dialling loop, by class.
func (t *Transport) enqueueBatch(present *link) {
	var handed []chunk
	for class := range present.pending {
		if present.frames[class] > 0 {
			handed = append(handed, chunk{body: bytes.Clone(present.pending[class].Bytes()), class: Class(class), frames: present.frames[class], deadlines: present.deadlines[class]})
		}
	}
	t.enqueue(present, handed...)
}

// enqueue gives bytes to the dialling loop; the way is closed to the owner until
// that loop has opened it again.
func (t *Transport) enqueue(present *link, handed ...chunk) {
	present.handedOver++
	t.onLoop(func() { t.takeOver(present, handed) })
}

// writeFailed tells the dialling loop that a write failed.
func (t *Transport) writeFailed(present *link, failed *socket) {
	t.onLoop(func() {
		if present.socket == failed {
			_ = t.loop.Close(present.connection)
		}
	})
}

func (t *Transport) onLoop(run func()) {
	_ = t.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		run()
		return nil
	}))
}
