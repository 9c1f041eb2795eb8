package transport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// receiver is the receiving end of a connection. It acknowledges received bytes.
type receiver struct{ received, acknowledged int64 }

func (r *receiver) receive(window *FlowWindow, at time.Time, size int) {
	r.received += int64(size)
	if AcknowledgementDue(r.acknowledged, r.received) {
		r.acknowledged = r.received
		window.Acknowledge(at, r.acknowledged)
	}
}

// sendFor sends for the duration length over a link with a rate in bytes per second, on
// which other traffic causes a constant queueDelay. It returns the maximum of bytes in
// flight once the window is stable, and the number of received bytes.
func sendFor(length, queueDelay time.Duration, rate int) (inFlight, received int64) {
	var window FlowWindow
	var peer receiver
	now := time.Unix(1_700_000_000, 0)
	end, stable, freeAt := now.Add(length), now.Add(length/4), now
	type packet struct {
		at   time.Time
		size int
	}
	var inTransit []packet
	const size = 1000
	for now.Before(end) {
		for len(inTransit) > 0 && !inTransit[0].at.After(now) {
			peer.receive(&window, now, inTransit[0].size)
			inTransit = inTransit[1:]
		}
		for window.Admits(ClassCatchUp) {
			window.Sent(now, size)
			if freeAt.Before(now) {
				freeAt = now
			}
			freeAt = freeAt.Add(size * time.Second / time.Duration(rate))
			inTransit = append(inTransit, packet{at: freeAt.Add(time.Millisecond + queueDelay), size: size})
		}
		if now.After(stable) {
			inFlight = max(inFlight, window.sent.Load()-window.acknowledged.Load())
		}
		now = now.Add(200 * time.Microsecond)
	}
	return inFlight, peer.received
}

func TestFlowWindowFollowsQueueDelay(t *testing.T) {
	inFlight, received := sendFor(4*time.Second, 0, 10_000_000)
	assert.Assert(t, inFlight > 64<<10 && received > 30_000_000,
		"fast link: %d bytes in flight, %d received", inFlight, received)
	inFlight, received = sendFor(4*time.Second, 200*time.Millisecond, 325_000)
	assert.Assert(t, inFlight <= minWindow+1000 && received > 40_000,
		"with other traffic: %d bytes in flight, %d received", inFlight, received)
	// Without other traffic, the queue of a slow link stays short and the link is utilized.
	inFlight, received = sendFor(4*time.Second, 0, 325_000)
	assert.Assert(t, inFlight < 325_000/10 && received > 4*325_000*9/10,
		"slow link: %d bytes in flight, %d received", inFlight, received)
}

func TestFlowWindowGrowsOnlyWhenUsed(t *testing.T) {
	var window FlowWindow
	var peer receiver
	now := time.Unix(1_700_000_000, 0)
	for range 10_000 {
		window.Sent(now, 100)
		now = now.Add(time.Millisecond)
		peer.receive(&window, now, 100)
	}
	assert.Equal(t, window.size(), initialWindow)
	assert.Assert(t, window.Admits(ClassCatchUp))
}

func TestFlowWindowHoldsBackLowerClassesFirst(t *testing.T) {
	var window FlowWindow
	now := time.Unix(1_700_000_000, 0)
	window.Sent(now, int(initialWindow))
	assert.Assert(t, !window.Admits(ClassCatchUp) && !window.Admits(ClassInterest))
	assert.Assert(t, window.Admits(ClassLive) && window.Admits(ClassControl))
	window.Sent(now, int(initialWindow))
	assert.Assert(t, !window.Admits(ClassLive) && window.Admits(ClassTransient) && window.Admits(ClassControl))
	window.Acknowledge(now, initialWindow)
	// The round trip was 0, so the window has grown by half.
	assert.Assert(t, window.Admits(ClassCatchUp) && window.Admits(ClassLive))
	assert.Equal(t, window.size(), initialWindow*3/2)
	// A receiver that needs no flow control sends a single acknowledgement.
	window.Acknowledge(now, AcknowledgeUnlimited)
	window.Sent(now, 1<<30)
	assert.Assert(t, window.Admits(ClassCatchUp))
}
