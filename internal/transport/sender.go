package transport

import (
	"bytes"
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"dahlialock/internal/statemachine"
)

// sender is the owner's state.
type sender struct {
	// links has the link of each peer by address; entries are never removed. dirty
	// has the links with frames in the current batch.
	links map[string]*link
	dirty []*link
	// batching is set once the owner has called Flush.
	batching bool
	// compressBuffer and joinBuffer are reused across batches.
	compressBuffer []byte
	joinBuffer     []byte
}

// Send is SendBefore without a deadline.
func (t *Transport) Send(to string, version uint64, message any) error {
	return t.SendBefore(to, version, message, time.Time{})
}

// SendBefore adds a message to the batch for a peer. Flush sends it unless its
// deadline has passed by then; a zero time means no deadline. The version is that
// of the sender's configuration. An error means that the message can't be encoded;
// delivery isn't reported. Only the owner may call it. Until the first call of
// Flush, each message is sent at once as its own batch.
//
// SendBefore doesn't block, except for a message to the transport's own address:
// such a message is put into the channel inbox regardless of its deadline, which
// blocks if inbox is full. The EventLoop of package daemon handles such messages
// itself and doesn't pass them to SendBefore.
func (t *Transport) SendBefore(to string, version uint64, message any, notAfter time.Time) error {
	if to == t.address {
		t.inbox <- Inbound{
			Meta:    statemachine.Meta{From: t.address, Version: version},
			Message: message,
		}
		return nil
	}
	present := t.linkTo(to)
	pending := &present.pending[ClassOf(message)]
	start := pending.Len()
	if err := appendFrame(&pending.Buffer, "", version, message); err != nil {
		return err
	}
	t.sent.add(message, pending.Len()-start)
	pending.frames++
	if !notAfter.IsZero() {
		bound := deadline{start: start, end: pending.Len(), notAfter: notAfter}
		pending.deadlines = append(pending.deadlines, bound)
	}
	if !present.dirty {
		present.dirty = true
		t.sender.dirty = append(t.sender.dirty, present)
	}
	if !t.sender.batching {
		t.flush()
	}
	return nil
}

func (t *Transport) linkTo(address string) *link {
	present, found := t.sender.links[address]
	if !found {
		present = &link{address: address, crossZone: zonePrefixOf(address) != t.zonePrefix}
		t.sender.links[address] = present
	}
	return present
}

// Flush ends a batch: it sends the frames since the last Flush, with a single write
// for each peer. Only the owner may call it.
func (t *Transport) Flush() {
	t.sender.batching = true
	t.flush()
}

func (t *Transport) flush() {
	if len(t.sender.dirty) == 0 {
		return
	}
	now := time.Now()
	for index, present := range t.sender.dirty {
		t.sendBatch(now, present)
		present.reset()
		t.sender.dirty[index] = nil
	}
	t.sender.dirty = t.sender.dirty[:0]
}

// sendBatch writes a link's batch to its socket, or hands it to the dialer if the
// owner may not write to the socket now.
func (t *Transport) sendBatch(now time.Time, to *link) {
	to.batches.Add(1)
	direct := to.direct.Load()
	if direct == nil || direct.handedOver != to.handedOver || !t.impairment.Load().isEmpty() {
		t.handOverBatch(to)
		return
	}
	socket := direct.socket
	if t.throttled.Load() || t.pacer.Delay(now) > 0 || !socket.window.Admits(to.lowestClass()) {
		t.Counters.Throttled.Add(1)
		t.handOverBatch(to)
		return
	}
	t.dropExpired(to)
	body, frames := t.joinClasses(to)
	if frames == 0 {
		return
	}
	var framed []byte
	framed, t.sender.compressBuffer = socket.frameBatch(t.sender.compressBuffer, body)
	t.Counters.Writes.Add(1)
	socket.window.Sent(now, len(framed))
	sent, err := socket.write(framed)
	if err != nil && !errors.Is(err, unix.EAGAIN) {
		t.dialer.closeAfterError(to, socket)
		t.handOverBatch(to)
		return
	}
	t.pacer.Spend(now, sent)
	t.countSent(to, frames, sent)
	if sent < len(framed) {
		t.handOver(to, chunk{body: bytes.Clone(framed[sent:]), continues: socket})
	}
}

// joinClasses returns the frames of a batch in the order of their classes, and the
// number of frames.
func (t *Transport) joinClasses(of *link) (body []byte, frames int) {
	classes := 0
	for class := range of.pending {
		pending := &of.pending[class]
		if pending.frames > 0 {
			classes++
			frames += pending.frames
			body = pending.Bytes()
		}
	}
	if classes == 1 {
		return body, frames
	}
	body = t.sender.joinBuffer[:0]
	for class := range of.pending {
		body = append(body, of.pending[class].Bytes()...)
	}
	t.sender.joinBuffer = body
	if cap(body) > maxSpareBytes {
		t.sender.joinBuffer = nil
	}
	return body, frames
}

// handOverBatch hands a batch to the dialer, as one chunk per class.
func (t *Transport) handOverBatch(of *link) {
	var chunks []chunk
	for class := range of.pending {
		if of.pending[class].frames > 0 {
			handed := of.pending[class].chunk(Class(class))
			handed.body = bytes.Clone(handed.body)
			chunks = append(chunks, handed)
		}
	}
	t.handOver(of, chunks...)
}

// handOver hands chunks to the dialer. The owner doesn't write to the link's socket
// again until the dialer has called restoreDirect.
func (t *Transport) handOver(to *link, chunks ...chunk) {
	to.handedOver++
	t.dialer.run(func() { t.dialer.takeOver(to, chunks) })
}

// countSent counts frames that were written, and their size in bytes on the wire.
func (t *Transport) countSent(to *link, frames, size int) {
	t.Counters.MessagesOut.Add(int64(frames))
	t.Counters.BytesOut.Add(int64(size))
	if to.crossZone {
		t.Counters.MessagesCrossZone.Add(int64(frames))
		t.Counters.BytesCrossZone.Add(int64(size))
	}
}

// SpendBandwidth accounts for bytes that are sent over the host's network link
// outside of the transport, such as those to clients. It may be called by any
// goroutine.
func (t *Transport) SpendBandwidth(size int) {
	if t.pacer.rate.Load() != 0 {
		t.pacer.Spend(time.Now(), size)
	}
}

// SetRate sets the bandwidth of the host's network link in bytes per second, 0 for
// no limit. It may be called at any time.
func (t *Transport) SetRate(rate int) { t.pacer.SetRate(rate) }

// EnableCompression enables the compression of batches to other zones, and of all
// batches if the host's network link is slow, on connections that are established
// after the call.
func (t *Transport) EnableCompression() { t.compression.Store(true) }

// ObserveLinks makes the transport dial again at once when a connection ends, and
// deliver a ConnectionRefused to the owner when an address refuses a connection.
func (t *Transport) ObserveLinks() { t.observesLinks.Store(true) }
