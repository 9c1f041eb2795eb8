// Messages that may leave only before a moment: the clock is looked at once more
// when the bytes go to the socket, since the process may have stood still after
// the machine asked for them, or they waited for a connection.

package transport

import (
	"bytes"
	"time"

	"dahlialock/internal/statemachine"
)

// deadline tells until when one frame of a turn may leave.
type deadline struct {
	start, end int
	notAfter   time.Time
}

// SetClock has the transport look at the owner's clock when bounded messages leave;
// it is called before the first message is sent.
func (t *Transport) SetClock(clock func() time.Time) { t.clock = clock }

// withoutExpired gives what of a turn may leave now. The bounds of what is left are
// kept, since it may have to wait again.
func (t *Transport) withoutExpired(turn chunk) chunk {
	if len(turn.deadlines) == 0 {
		return turn
	}
	now := t.clock()
	late := 0
	for _, each := range turn.deadlines {
		if !statemachine.BeforeDeadline(each.notAfter, now) {
			late++
		}
	}
	if late == 0 {
		return turn
	}
	t.Counters.Expired.Add(int64(late))
	var kept bytes.Buffer
	left := turn
	left.deadlines, left.frames = nil, turn.frames-late
	from := 0
	for _, each := range turn.deadlines {
		kept.Write(turn.body[from:each.start])
		from = each.end
		if !statemachine.BeforeDeadline(each.notAfter, now) {
			continue
		}
		start := kept.Len()
		kept.Write(turn.body[each.start:each.end])
		left.deadlines = append(left.deadlines, deadline{start: start, end: kept.Len(), notAfter: each.notAfter})
	}
	kept.Write(turn.body[from:])
	left.body = kept.Bytes()
	return left
}

// dropExpired takes out of a link's turn what may not leave any more.
func (t *Transport) dropExpired(present *link) {
	for class := range present.pending {
		if len(present.deadlines[class]) == 0 {
			continue
		}
		left := t.withoutExpired(chunk{body: present.pending[class].Bytes(), frames: present.frames[class], deadlines: present.deadlines[class]})
		if left.frames == present.frames[class] {
			continue
		}
		present.pending[class] = *bytes.NewBuffer(left.body)
		present.frames[class], present.deadlines[class] = left.frames, left.deadlines
	}
}

// deadlinesWithin gives the bounds of the frames in a part of a turn.
func deadlinesWithin(bounds []deadline, begin, end int) []deadline {
	var within []deadline
	for _, each := range bounds {
		if begin <= each.start && each.end <= end {
			within = append(within, deadline{start: each.start - begin, end: each.end - begin, notAfter: each.notAfter})
		}
	}
	return within
}
