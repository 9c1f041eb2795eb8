package transport

import (
	"sync/atomic"
	"time"

	"dahlialock/internal/statemachine"
)

const (
	minWindow     int64 = 4 << 10
	initialWindow int64 = 8 << 10
	maxWindow     int64 = 1 << 20

	// AcknowledgeEvery is how many bytes there are between two acknowledgements,
	// counted from the beginning of the connection at both of its ends.
	AcknowledgeEvery = 2 << 10
	// acknowledgementBytes is the size of an acknowledgement: a count of bytes.
	acknowledgementBytes = 8
	// AcknowledgeUnlimited is the only acknowledgement of a receiver that needs
	// no flow control, given at the beginning.
	AcknowledgeUnlimited int64 = 1 << 62

	// targetQueueDelay is how long bytes may be queued on their way for the
	// window to grow; above maxQueueDelay it shrinks.
	targetQueueDelay = 15 * time.Millisecond
	maxQueueDelay    = 40 * time.Millisecond
	// maxBaseRoundTrip bounds the round trip that counts as the link's own; what
	// is beyond is taken for queueing.
	maxBaseRoundTrip = 60 * time.Millisecond
)

// FlowWindow bounds the bytes in flight on one connection. It is a congestion
// window by delay, as in LEDBAT: it grows while acknowledgements take no longer
// than the shortest round trip seen, and shrinks while bytes are queued on their
// way, behind others' on a full link or at a peer that doesn't read.
//
// Sent and Admits are for whoever may write on the connection at the time;
// Acknowledge may be called at the same time by one other goroutine. The zero
// value is ready for use.
type FlowWindow struct {
	// limit is the window in bytes, 0 before it was ever changed.
	limit atomic.Int64
	// sent and acknowledged count bytes since the connection began.
	sent         atomic.Int64
	acknowledged atomic.Int64
	// nearlyFull is set where three quarters of the window were used since it
	// last grew; a window that isn't used doesn't grow.
	nearlyFull atomic.Bool
	// probe is the count of bytes whose acknowledgement is being timed, 0 if
	// none is, and probeSentAt when it was reached, in nanoseconds since 1970.
	// Whoever sends sets probe from 0, whoever acknowledges sets it to 0.
	probe       atomic.Int64
	probeSentAt atomic.Int64

	// Of the goroutine that calls Acknowledge: the shortest round trip seen, and
	// the bytes sent when the window last shrank.
	baseRoundTrip time.Duration
	shrunkAtSent  int64
}

// Sent accounts for bytes that are about to be written to the connection.
func (w *FlowWindow) Sent(now time.Time, size int) {
	sent := w.sent.Add(int64(size))
	if sent-w.acknowledged.Load() > w.size()*3/4 {
		w.nearlyFull.Store(true)
	}
	boundary := sent / AcknowledgeEvery * AcknowledgeEvery
	if boundary > sent-int64(size) && w.probe.Load() == 0 {
		w.probeSentAt.Store(now.UnixNano())
		w.probe.Store(boundary)
	}
}

// Acknowledge takes an acknowledgement: how many bytes the receiver has received
// since the connection began.
func (w *FlowWindow) Acknowledge(now time.Time, count int64) {
	if count < w.acknowledged.Load() {
		return
	}
	w.acknowledged.Store(count)
	if probe := w.probe.Load(); probe != 0 && probe <= count {
		roundTrip := time.Duration(now.UnixNano() - w.probeSentAt.Load())
		w.probe.Store(0)
		w.adapt(roundTrip)
	}
}

// adapt changes the window after a round trip.
func (w *FlowWindow) adapt(roundTrip time.Duration) {
	if w.baseRoundTrip == 0 || roundTrip < w.baseRoundTrip {
		w.baseRoundTrip = roundTrip
	}
	queued := roundTrip - min(w.baseRoundTrip, maxBaseRoundTrip)
	switch {
	case queued < targetQueueDelay && w.nearlyFull.Load():
		w.nearlyFull.Store(false)
		w.limit.Store(min(maxWindow, w.size()+w.size()/2))
	case queued > maxQueueDelay && w.acknowledged.Load() >= w.shrunkAtSent:
		w.limit.Store(max(minWindow, w.size()/2))
		// It shrinks once for all that is in flight now.
		w.shrunkAtSent = w.sent.Load()
	}
}

// Admits reports whether a message of a class may be written to the connection.
// Control and transient messages always may, and what clients wait for up to
// twice the window, so that bytes of lower classes in flight don't hold it back.
func (w *FlowWindow) Admits(class Class) bool {
	inFlight := w.sent.Load() - w.acknowledged.Load()
	switch {
	case class < ClassLive || statemachine.Mutated(mutationSingleClass):
		return true
	case class == ClassLive:
		return inFlight < 2*w.size()
	}
	return inFlight < w.size()
}

// AcknowledgementDue reports whether a receiver has received enough since its
// last acknowledgement for the next one.
func AcknowledgementDue(acknowledged, received int64) bool {
	return received/AcknowledgeEvery > acknowledged/AcknowledgeEvery
}

// size returns the window in bytes.
func (w *FlowWindow) size() int64 {
	if limit := w.limit.Load(); limit != 0 {
		return limit
	}
	return initialWindow
}
