package transport

import (
	"bytes"
	"time"

	"dahlialock/internal/statemachine"
)

// Some messages may only be sent until a deadline, such as messages that are valid
// only while the sender has a lease. The clock is read again when the bytes are
// written to the socket, because the process may have been suspended after the state
// machine sent them, or they may have been queued until there was a connection.

// deadline is the time until which one frame of a batch may be sent; start and
// end are the frame's byte offsets in the batch.
type deadline struct {
	start, end int
	notAfter   time.Time
}

// SetClock sets the clock for deadlines, which must be the clock of the state machine.
// It is called before the first message is sent.
func (t *Transport) SetClock(clock func() time.Time) { t.clock = clock }

// withoutExpired returns a chunk without the frames whose deadlines have passed. The
// deadlines of the remaining frames are kept, because the chunk may be queued again.
func (t *Transport) withoutExpired(sent chunk) chunk {
	if len(sent.deadlines) == 0 {
		return sent
	}
	now := t.clock()
	expired := 0
	for _, each := range sent.deadlines {
		if !statemachine.BeforeDeadline(each.notAfter, now) {
			expired++
		}
	}
	if expired == 0 {
		return sent
	}
	t.Counters.Expired.Add(int64(expired))
	var body bytes.Buffer
	remaining := sent
	remaining.deadlines, remaining.frames = nil, sent.frames-expired
	copied := 0
	for _, each := range sent.deadlines {
		body.Write(sent.body[copied:each.start])
		copied = each.end
		if !statemachine.BeforeDeadline(each.notAfter, now) {
			continue
		}
		start := body.Len()
		body.Write(sent.body[each.start:each.end])
		moved := deadline{start: start, end: body.Len(), notAfter: each.notAfter}
		remaining.deadlines = append(remaining.deadlines, moved)
	}
	body.Write(sent.body[copied:])
	remaining.body = body.Bytes()
	return remaining
}

// dropExpired removes the expired frames from a link's batch.
func (t *Transport) dropExpired(to *link) {
	for class := range to.pending {
		pending := &to.pending[class]
		if len(pending.deadlines) == 0 {
			continue
		}
		remaining := t.withoutExpired(pending.chunk(Class(class)))
		if remaining.frames == pending.frames {
			continue
		}
		pending.Buffer = *bytes.NewBuffer(remaining.body)
		pending.frames, pending.deadlines = remaining.frames, remaining.deadlines
	}
}

// deadlinesWithin returns the deadlines of the frames in the range from start to end of
// a batch, with byte offsets relative to start.
func deadlinesWithin(deadlines []deadline, start, end int) []deadline {
	var within []deadline
	for _, each := range deadlines {
		if start <= each.start && each.end <= end {
			within = append(within, deadline{start: each.start - start, end: each.end - start, notAfter: each.notAfter})
		}
	}
	return within
}
