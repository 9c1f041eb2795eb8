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
	// pacerBurst is how much of the link's time may be given to it ahead.
	pacerBurst = 20 * time.Millisecond
	// usableShare is the part of the link's bytes that are ours to give; the rest is
	// for what the layers below add.
	usableShare = 0.9
)

// Pacer is the time at which a link will have taken what it was given. It is used by
// the owner and by the dialling loop, and without a rate it never holds back.
type Pacer struct {
	rate atomic.Int64
	freeAt atomic.Int64
}

// SetRate sets the bytes that the link takes a second, 0 for no limit.
func (p *Pacer) SetRate(rate int) { p.rate.Store(int64(float64(rate) * usableShare)) }

// Spend gives bytes to the link.
func (p *Pacer) Spend(now time.Time, size int) {
	rate := p.rate.Load()
	if rate == 0 {
		return
	}
	took := int64(size) * int64(time.Second) / rate
	for {
		free := p.freeAt.Load()
		if p.freeAt.CompareAndSwap(free, max(free, now.UnixNano())+took) {
			return
		}
	}
}

// Delay tells how long the link can't be given more.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.rate.Load() == 0 || statemachine.Mutated("single-class") {
		return 0
	}
	return max(0, time.Duration(p.freeAt.Load()-now.UnixNano())-pacerBurst)
}

// Windows.
const (
	minWindow int64 = 4 << 10
	initialWindow int64 = 8 << 10
	maxWindow  int64 = 1 << 20
	// AcknowledgeEvery is how many bytes there are between two confirmations, counted
	// from the connection's beginning at both of its ends.
	AcknowledgeEvery = 2 << 10
	// acknowledgementBytes is the length of a confirmation, a count of bytes.
	acknowledgementBytes = 8
	// targetQueueDelay is how long bytes may wait on their way, beyond the shortest time
	// that was seen, while a window grows; above delayMost it shrinks.
	targetQueueDelay = 15 * time.Millisecond
	maxQueueDelay   = 40 * time.Millisecond
	// maxBaseRoundTrip is the longest way that is believed to be one, and no queue.
	maxBaseRoundTrip = 60 * time.Millisecond
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
	acknowledged atomic.Int64
	// nearlyFull is set where the window was nearly full since it last grew.
	nearlyFull atomic.Bool
	// probe is a count of bytes, markAt when it was reached; zero if no way is
	// being timed.
	probe   atomic.Int64
	probeSentAt atomic.Int64
	// Of whoever takes confirmations.
	baseRoundTrip time.Duration
	shrunkAtSent int64
}

// Sent notes bytes that are about to be given to the connection.
func (w *FlowWindow) Sent(now time.Time, size int) {
	count := w.sent.Add(int64(size))
	if count-w.acknowledged.Load() > w.size()*3/4 {
		w.nearlyFull.Store(true)
	}
	if boundary := count / AcknowledgeEvery * AcknowledgeEvery; boundary > count-int64(size) && w.probe.Load() == 0 {
		w.probeSentAt.Store(now.UnixNano())
		w.probe.Store(boundary)
	}
}

// Acknowledge notes how many bytes the receiver has taken in all.
func (w *FlowWindow) Acknowledge(now time.Time, count int64) {
	if count < w.acknowledged.Load() {
		return
	}
	w.acknowledged.Store(count)
	if mark := w.probe.Load(); mark != 0 && mark <= count {
		took := time.Duration(now.UnixNano() - w.probeSentAt.Load())
		w.probe.Store(0)
		w.adapt(took)
	}
}

func (w *FlowWindow) adapt(took time.Duration) {
	if w.baseRoundTrip == 0 || took < w.baseRoundTrip {
		w.baseRoundTrip = took
	}
	switch waited := took - min(w.baseRoundTrip, maxBaseRoundTrip); {
	case waited < targetQueueDelay && w.nearlyFull.Load():
		w.nearlyFull.Store(false)
		w.limit.Store(min(maxWindow, w.size()+w.size()/2))
	case waited > maxQueueDelay && w.acknowledged.Load() >= w.shrunkAtSent:
		w.limit.Store(max(minWindow, w.size()/2))
		// Once for what is on its way now.
		w.shrunkAtSent = w.sent.Load()
	}
}

// Admits tells whether more of a class may be given to the connection. What is of the
// control state is never held back by what is on its way before it, and what callers
// wait for only by more of that than others are.
func (w *FlowWindow) Admits(class Class) bool {
	outstanding := w.sent.Load() - w.acknowledged.Load()
	switch {
	case class < ClassLive || statemachine.Mutated("single-class"):
		return true
	case class == ClassLive:
		return outstanding < 2*w.size()
	}
	return outstanding < w.size()
}

// AcknowledgeUnlimited is the confirmation, given once, of a receiver that wants no window.
const AcknowledgeUnlimited int64 = 1 << 62

// RequiresAcknowledgements tells whether a receiver on the link confirms what it takes. On one that
// takes the largest window in the time that is given ahead, no window would ever hold
// anything back.
func (p *Pacer) RequiresAcknowledgements() bool {
	rate := p.rate.Load()
	return rate > 0 && rate < maxWindow*int64(time.Second/pacerBurst)
}

// AcknowledgementDue tells a receiver whether it has taken enough since its last confirmation.
func AcknowledgementDue(told, took int64) bool { return took/AcknowledgeEvery > told/AcknowledgeEvery }

func (w *FlowWindow) size() int64 {
	if limit := w.limit.Load(); limit != 0 {
		return limit
	}
	return initialWindow
}
