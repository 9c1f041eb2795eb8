// How fast a daemon gives bytes to its machine's link, and how many of a connection
// may be on their way. What a link can't take yet then waits here, where its order
// can still be changed, and not in queues below.

package transport

import (
	"sync/atomic"
	"time"

	"dahlialock/internal/statemachine"
)

// Pacing.
const (
	// paceAhead is how much of the link's time may be given to it ahead.
	paceAhead = 20 * time.Millisecond
	// paceShare is the part of the link's bytes that are ours to give; the rest is
	// for what the layers below add.
	paceShare = 0.9
)

// Pacer is the time at which a link will have taken what it was given. It is used by
// the owner and by the dialling loop, and without a rate it never holds back.
type Pacer struct {
	rate atomic.Int64
	free atomic.Int64
}

// SetRate sets the bytes that the link takes a second, 0 for no limit.
func (p *Pacer) SetRate(rate int) { p.rate.Store(int64(float64(rate) * paceShare)) }

// Spend gives bytes to the link.
func (p *Pacer) Spend(now time.Time, size int) {
	rate := p.rate.Load()
	if rate == 0 {
		return
	}
	took := int64(size) * int64(time.Second) / rate
	for {
		free := p.free.Load()
		if p.free.CompareAndSwap(free, max(free, now.UnixNano())+took) {
			return
		}
	}
}

// Delay tells how long the link can't be given more.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.rate.Load() == 0 || statemachine.Mutated("single-class") {
		return 0
	}
	return max(0, time.Duration(p.free.Load()-now.UnixNano())-paceAhead)
}

// Windows.
const (
	outstandingLeast int64 = 4 << 10
	outstandingFirst int64 = 8 << 10
	outstandingMost  int64 = 1 << 20
	// AcknowledgeEvery is how many bytes there are between two confirmations, counted
	// from the connection's beginning at both of its ends.
	AcknowledgeEvery = 2 << 10
	// confirmationSize is the length of a confirmation, a count of bytes.
	confirmationSize = 8
	// delayWanted is how long bytes may wait on their way, beyond the shortest time
	// that was seen, while a window grows; above delayMost it shrinks.
	delayWanted = 15 * time.Millisecond
	delayMost   = 40 * time.Millisecond
	// shortestMost is the longest way that is believed to be one, and no queue.
	shortestMost = 60 * time.Millisecond
)

// FlowWindow bounds the bytes on one connection that its receiver has not confirmed. It
// grows while confirmations come as quickly as they ever did, and shrinks while
// bytes wait on their way: behind others' on a full link, or at a peer that does not
// read. Whoever may write on the connection calls Sent and Open; confirmations may
// come at the same time.
type FlowWindow struct {
	// limit is zero before it was ever changed.
	limit     atomic.Int64
	sent      atomic.Int64
	confirmed atomic.Int64
	// used is set where the window was nearly full since it last grew.
	used atomic.Bool
	// mark is a count of bytes, markAt when it was reached; zero if no way is
	// being timed.
	mark   atomic.Int64
	markAt atomic.Int64
	// Of whoever takes confirmations.
	shortest time.Duration
	shrunkAt int64
}

// Sent notes bytes that are about to be given to the connection.
func (w *FlowWindow) Sent(now time.Time, size int) {
	count := w.sent.Add(int64(size))
	if count-w.confirmed.Load() > w.bound()*3/4 {
		w.used.Store(true)
	}
	if boundary := count / AcknowledgeEvery * AcknowledgeEvery; boundary > count-int64(size) && w.mark.Load() == 0 {
		w.markAt.Store(now.UnixNano())
		w.mark.Store(boundary)
	}
}

// Acknowledge notes how many bytes the receiver has taken in all.
func (w *FlowWindow) Acknowledge(now time.Time, count int64) {
	if count < w.confirmed.Load() {
		return
	}
	w.confirmed.Store(count)
	if mark := w.mark.Load(); mark != 0 && mark <= count {
		took := time.Duration(now.UnixNano() - w.markAt.Load())
		w.mark.Store(0)
		w.adapt(took)
	}
}

func (w *FlowWindow) adapt(took time.Duration) {
	if w.shortest == 0 || took < w.shortest {
		w.shortest = took
	}
	switch waited := took - min(w.shortest, shortestMost); {
	case waited < delayWanted && w.used.Load():
		w.used.Store(false)
		w.limit.Store(min(outstandingMost, w.bound()+w.bound()/2))
	case waited > delayMost && w.confirmed.Load() >= w.shrunkAt:
		w.limit.Store(max(outstandingLeast, w.bound()/2))
		// Once for what is on its way now.
		w.shrunkAt = w.sent.Load()
	}
}

// Admits tells whether more of a class may be given to the connection. What is of the
// control state is never held back by what is on its way before it, and what callers
// wait for only by more of that than others are.
func (w *FlowWindow) Admits(class Class) bool {
	outstanding := w.sent.Load() - w.confirmed.Load()
	switch {
	case class < ClassLive || statemachine.Mutated("single-class"):
		return true
	case class == ClassLive:
		return outstanding < 2*w.bound()
	}
	return outstanding < w.bound()
}

// AcknowledgeUnlimited is the confirmation, given once, of a receiver that wants no window.
const AcknowledgeUnlimited int64 = 1 << 62

// RequiresAcknowledgements tells whether a receiver on the link confirms what it takes. On one that
// takes the largest window in the time that is given ahead, no window would ever hold
// anything back.
func (p *Pacer) RequiresAcknowledgements() bool {
	rate := p.rate.Load()
	return rate > 0 && rate < outstandingMost*int64(time.Second/paceAhead)
}

// AcknowledgementDue tells a receiver whether it has taken enough since its last confirmation.
func AcknowledgementDue(told, took int64) bool { return took/AcknowledgeEvery > told/AcknowledgeEvery }

func (w *FlowWindow) bound() int64 {
	if limit := w.limit.Load(); limit != 0 {
		return limit
	}
	return outstandingFirst
}
