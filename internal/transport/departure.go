// Messages that may leave only before a moment: the clock is looked at once more
// when the bytes go to the socket, since the process may have stood still after
// the machine asked for them, or they waited for a connection.

package transport

import (
	"bytes"
	"time"

	"dahlialock/internal/statemachine"
)

// bound tells until when one frame of a turn may leave.
type bound struct {
	start, end int
	notAfter   time.Time
}

// SetClock has the transport look at the owner's clock when bounded messages leave;
// it is called before the first message is sent.
func (t *Transport) SetClock(clock func() time.Time) { t.clock = clock }

// departing gives what of a turn may leave now. The bounds of what is left are
// kept, since it may have to wait again.
func (t *Transport) departing(turn chunk) chunk {
	if len(turn.bounds) == 0 {
		return turn
	}
	now := t.clock()
	late := 0
	for _, each := range turn.bounds {
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
	left.bounds, left.frames = nil, turn.frames-late
	from := 0
	for _, each := range turn.bounds {
		kept.Write(turn.body[from:each.start])
		from = each.end
		if !statemachine.BeforeDeadline(each.notAfter, now) {
			continue
		}
		start := kept.Len()
		kept.Write(turn.body[each.start:each.end])
		left.bounds = append(left.bounds, bound{start: start, end: kept.Len(), notAfter: each.notAfter})
	}
	kept.Write(turn.body[from:])
	left.body = kept.Bytes()
	return left
}

// leaveOutLate takes out of a link's turn what may not leave any more.
func (t *Transport) leaveOutLate(present *link) {
	for class := range present.pending {
		if len(present.bounds[class]) == 0 {
			continue
		}
		left := t.departing(chunk{body: present.pending[class].Bytes(), frames: present.frames[class], bounds: present.bounds[class]})
		if left.frames == present.frames[class] {
			continue
		}
		present.pending[class] = *bytes.NewBuffer(left.body)
		present.frames[class], present.bounds[class] = left.frames, left.bounds
	}
}

// boundsWithin gives the bounds of the frames in a part of a turn.
func boundsWithin(bounds []bound, begin, end int) []bound {
	var within []bound
	for _, each := range bounds {
		if begin <= each.start && each.end <= end {
			within = append(within, bound{start: each.start - begin, end: each.end - begin, notAfter: each.notAfter})
		}
	}
	return within
}
