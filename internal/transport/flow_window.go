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

	// AcknowledgeEvery is the number of bytes between two acknowledgements. Both ends
	// of a connection count from its start.
	AcknowledgeEvery = 2 << 10
	// acknowledgementBytes is the size of an acknowledgement, which is the total count
	// of received bytes.
	acknowledgementBytes = 8
	// AcknowledgeUnlimited is sent once, after the preamble, by a receiver that needs
	// no flow control. It sends no other acknowledgements.
	AcknowledgeUnlimited int64 = 1 << 62

	// The window grows only if the queueing delay is below targetQueueDelay, and
	// shrinks if the delay is above maxQueueDelay.
	targetQueueDelay = 15 * time.Millisecond
	maxQueueDelay    = 40 * time.Millisecond
	// maxBaseRoundTrip bounds the part of the round trip that is taken for propagation
	// delay; the rest counts as queueing delay.
	maxBaseRoundTrip = 60 * time.Millisecond
)

// FlowWindow bounds the bytes in flight on one connection. It is a delay-based
// congestion window, similar to LEDBAT. It grows while the round trip of
// acknowledgements is close to the shortest one measured. It shrinks when bytes are
// queued on the path: behind other traffic on a saturated link, or at a peer that
// doesn't read.
//
// Sent and Admits are called by the goroutine that may currently write to the
// connection; Acknowledge may be called concurrently by one other goroutine. The zero
// value is ready for use.
type FlowWindow struct {
	// limit is the window in bytes, 0 for initialWindow.
	limit atomic.Int64
	// sent and acknowledged count bytes since the connection was established.
	sent         atomic.Int64
	acknowledged atomic.Int64
	// nearlyFull is set if more than three quarters of the window were in flight at
	// some time since it last grew. A window that isn't used doesn't grow.
	nearlyFull atomic.Bool
	// probe is the byte count whose acknowledgement is being timed, 0 for none.
	// probeSentAt is when that count was sent, in nanoseconds since 1970. Sent sets
	// probe if it is 0, Acknowledge resets it to 0.
	probe       atomic.Int64
	probeSentAt atomic.Int64

	// The next two fields belong to the goroutine that calls Acknowledge: the shortest
	// round trip measured, and the count of sent bytes when the window last shrank.
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

// Acknowledge handles an acknowledgement. The count is the total of bytes that the
// receiver has received on the connection.
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

// adapt adjusts the window to a measured round trip.
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
		// The window doesn't shrink again until all bytes now in flight are
		// acknowledged.
		w.shrunkAtSent = w.sent.Load()
	}
}

// Admits reports whether a message of a class may be written to the connection.
// ClassControl and ClassTransient are always admitted. ClassLive is admitted up to
// twice the window, so that bytes of lower classes in flight don't block it.
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

// AcknowledgementDue reports whether a receiver has to send an acknowledgement: whether
// its count of received bytes has passed a multiple of AcknowledgeEvery since the last
// one.
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
