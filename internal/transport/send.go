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
	return anyPrefix(address, impairment.Cuts, impairment.Mutes)
}

// SetImpairment changes what a trial imposes.
func (t *Transport) SetImpairment(impairment Impairment) {
	t.impairment.Store(&impairment)
}

// Compress has turns to other zones packed, on connections made from now
// on.
func (t *Transport) Compress() { t.compresses.Store(true) }

// Watch has connections that end dialled again at once, and addresses that refuse
// that told to the owner.
func (t *Transport) Watch() { t.watches.Store(true) }

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
	start := present.pending.Len()
	if err := appendFrame(&present.pending, "", version, message); err != nil {
		return err
	}
	present.frames++
	if !notAfter.IsZero() {
		present.bounds = append(present.bounds, bound{start: start, end: present.pending.Len(), notAfter: notAfter})
	}
	if present.frames == 1 {
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
	for position, present := range t.dirty {
		t.put(present)
		present.frames, present.bounds = 0, nil
		if present.pending.Cap() > spareMost {
			present.pending = bytes.Buffer{}
		} else {
			present.pending.Reset()
		}
		t.dirty[position] = nil
	}
	t.dirty = t.dirty[:0]
}

// put writes a turn's frames, or hands them to the dialling loop.
func (t *Transport) put(present *link) {
	present.uses.Add(1)
	turn := chunk{body: present.pending.Bytes(), frames: present.frames, bounds: present.bounds}
	open := present.way.Load()
	if open == nil || open.handed != present.handed || !t.impairment.Load().calm() {
		turn.body = bytes.Clone(turn.body)
		t.handOver(present, turn)
		return
	}
	if turn = t.departing(turn); turn.frames == 0 {
		return
	}
	body := turn.body
	var wrapped []byte
	wrapped, t.scratch = open.socket.wrap(t.scratch, body)
	t.Counters.Writes.Add(1)
	sent, err := open.socket.write(wrapped)
	if err != nil && !errors.Is(err, unix.EAGAIN) {
		t.broken(present, open.socket)
		turn.body = bytes.Clone(body)
		t.handOver(present, turn)
		return
	}
	t.count(present, turn.frames, sent)
	if sent < len(wrapped) {
		t.handOver(present, chunk{body: bytes.Clone(wrapped[sent:]), rest: open.socket})
	}
}

func (t *Transport) count(present *link, frames, sent int) {
	t.Counters.MessagesOut.Add(int64(frames))
	t.Counters.BytesOut.Add(int64(sent))
	if present.away {
		t.Counters.MessagesAway.Add(int64(frames))
		t.Counters.BytesAway.Add(int64(sent))
	}
}

// handOver gives bytes to the dialling loop; the way is closed to the owner until
// that loop has opened it again.
func (t *Transport) handOver(present *link, handed chunk) {
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
