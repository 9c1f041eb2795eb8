package transport

import "time"

const (
	// maxConnectWait is how long a chunk may wait for a connection.
	maxConnectWait = 2 * time.Second
	// maxOutboundBuffer is how many bytes gnet may buffer for a connection. If there
	// are more, chunks stay in the queue, and the buffer is checked again after
	// bufferCheckInterval.
	maxOutboundBuffer   = 64 << 10
	bufferCheckInterval = 10 * time.Millisecond
	// maxChunkBytes bounds the size of the chunks into which queued batches are
	// split. A chunk is larger only if it has a single frame.
	maxChunkBytes = 8 << 10
)

// takeOver queues the chunks that the owner handed over for a link.
func (d *dialer) takeOver(to *link, chunks []chunk) {
	to.takenOver++
	d.links[to.address] = to
	now := time.Now()
	for _, each := range chunks {
		if each.continues != nil {
			to.unwritten = each
			continue
		}
		for _, part := range d.split(to, each, now) {
			d.countDropped(d.queue.Push(to.address, part.class, len(part.body), part))
		}
	}
	d.serve(to)
}

// split splits a chunk at frame boundaries, so that chunks of higher classes can be
// sent in between. If an impairment is set, which may apply to each frame
// differently, it splits the chunk into single frames.
func (d *dialer) split(to *link, complete chunk, now time.Time) []chunk {
	impairment := d.transport.impairment.Load()
	unimpaired := impairment.isEmpty()
	complete.queuedAt = now
	if unimpaired && len(complete.body) <= maxChunkBytes {
		return []chunk{complete}
	}
	var parts []chunk
	start, end, frames := 0, 0, 0
	cut := func() {
		if frames == 0 {
			return
		}
		part := chunk{
			body:      complete.body[start:end],
			class:     complete.class,
			frames:    frames,
			deadlines: deadlinesWithin(complete.deadlines, start, end),
			queuedAt:  now,
		}
		if delay := impairment.delay(to.address, part.body); delay > 0 {
			part.dueAt = now.Add(delay)
		}
		parts = append(parts, part)
		start, frames = end, 0
	}
	for end < len(complete.body) {
		length, valid, err := FrameLength(complete.body[end:])
		if !valid || err != nil {
			break
		}
		if !unimpaired || end+frameHeaderBytes+length-start > maxChunkBytes {
			cut()
		}
		end += frameHeaderBytes + length
		frames++
	}
	cut()
	return parts
}

// serve sends the unwritten rest of a link's last write, and then drains the queue.
func (d *dialer) serve(to *link) {
	d.continueWrite(to)
	d.drain()
	d.restoreDirect(to)
}

// serveAfter serves a link after a delay, unless an earlier timer is already set.
func (d *dialer) serveAfter(to *link, wait time.Duration) {
	due := time.Now().Add(wait)
	if !to.serveAt.IsZero() && !due.Before(to.serveAt) {
		return
	}
	to.serveAt = due
	d.after(wait, func() {
		to.serveAt = time.Time{}
		d.serve(to)
	})
}

// drain sends the queued chunks of all links until their connections or the host's
// network link have no more capacity.
func (d *dialer) drain() {
	for {
		now := time.Now()
		if wait := d.transport.pacer.Delay(now); wait > 0 {
			waiting := !d.queue.Empty()
			d.transport.throttled.Store(waiting)
			if waiting {
				d.transport.Counters.Throttled.Add(1)
			}
			d.drainAfter(now, wait)
			return
		}
		peer, next, found := d.queue.Pop(d.accepts)
		if !found {
			d.transport.throttled.Store(false)
			return
		}
		to := d.links[peer]
		if next.class.Expired(now.Sub(next.queuedAt)) {
			d.countDropped([]chunk{next})
		} else {
			d.transmit(now, to, next)
		}
		d.restoreDirect(to)
	}
}

// drainAfter sets a timer that drains the queue once the host's network link has
// capacity again.
func (d *dialer) drainAfter(now time.Time, wait time.Duration) {
	if d.queue.Empty() || d.drainAt.After(now) {
		return
	}
	d.drainAt = now.Add(wait)
	d.after(wait, func() {
		d.drainAt = time.Time{}
		d.drain()
	})
}

// accepts reports whether a chunk may be taken from the queue, to be sent or
// dropped. If not, it ensures that the link is served again later: by a dial or a
// timer, or by the acknowledgement that opens the flow window.
func (d *dialer) accepts(peer string, next chunk) bool {
	to := d.links[peer]
	switch {
	case d.transport.blocksOutbound(peer):
		// transmit drops it.
		return true
	case to.connection == nil:
		d.connect(to)
		return false
	case next.class.Expired(time.Since(next.queuedAt)):
		return true
	case !next.dueAt.IsZero() && time.Until(next.dueAt) > 0:
		d.serveAfter(to, time.Until(next.dueAt))
		return false
	case to.connection.OutboundBuffered() > maxOutboundBuffer:
		d.serveAfter(to, bufferCheckInterval)
		return false
	}
	return to.socket.window.Admits(next.class)
}

// transmit writes a chunk to its connection.
func (d *dialer) transmit(now time.Time, to *link, next chunk) {
	if d.transport.blocksOutbound(to.address) {
		// The connection is closed; a new one is dialed for later chunks.
		d.transport.Counters.Dropped.Add(int64(next.frames))
		if to.connection != nil {
			_ = d.loop.Close(to.connection)
		}
		return
	}
	if next = d.transport.withoutExpired(next); next.frames == 0 {
		return
	}
	var framed []byte
	framed, d.compressBuffer = to.socket.frameBatch(d.compressBuffer, next.body)
	to.socket.window.Sent(now, len(framed))
	d.write(now, to, framed, next.frames)
}

// continueWrite writes the rest of a partial write of the owner. If the connection
// has changed since, the rest is dropped.
func (d *dialer) continueWrite(to *link) {
	rest := to.unwritten
	if rest.continues == nil {
		return
	}
	to.unwritten = chunk{}
	if rest.continues != to.socket || to.connection == nil {
		d.transport.Counters.Dropped.Add(1)
		return
	}
	d.write(time.Now(), to, rest.body, 0)
}

func (d *dialer) write(now time.Time, to *link, body []byte, frames int) {
	d.transport.Counters.Writes.Add(1)
	d.transport.pacer.Spend(now, len(body))
	d.transport.countSent(to, frames, len(body))
	_, _ = to.connection.Write(body)
}

// restoreDirect permits the owner to write to a link's socket again if nothing is
// queued for the link.
func (d *dialer) restoreDirect(to *link) {
	switch {
	case to.connection == nil, to.unwritten.continues != nil, d.queue.Contains(to.address):
	case to.connection.OutboundBuffered() > 0:
		d.serveAfter(to, bufferCheckInterval)
	default:
		direct := to.direct.Load()
		if direct == nil || direct.socket != to.socket || direct.handedOver != to.takenOver {
			to.direct.Store(&directPath{socket: to.socket, handedOver: to.takenOver})
		}
	}
}

// dropStale drops the chunks for a peer that were queued for longer than
// maxConnectWait.
func (d *dialer) dropStale(to *link) {
	oldest := time.Now().Add(-maxConnectWait)
	stale := func(each chunk) bool { return each.queuedAt.Before(oldest) }
	d.countDropped(d.queue.RemoveAll(to.address, stale))
}

// countDropped counts the frames of chunks that were dropped.
func (d *dialer) countDropped(chunks []chunk) {
	for _, each := range chunks {
		d.transport.Counters.Dropped.Add(int64(each.frames))
	}
}
