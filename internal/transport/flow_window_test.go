package transport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// receiver is the other end of a connection, which acknowledges what it receives.
type receiver struct{ received, acknowledged int64 }

func (r *receiver) receive(window *FlowWindow, at time.Time, size int) {
	r.received += int64(size)
	if AcknowledgementDue(r.acknowledged, r.received) {
		r.acknowledged = r.received
		window.Acknowledge(at, r.acknowledged)
	}
}

// sendFor sends for a while over a link of a rate on which others cause a delay.
// It returns the most bytes in flight once the window is stable, and those received.
func sendFor(length, others time.Duration, rate int) (inFlight, received int64) {
	var window FlowWindow
	var peer receiver
	now := time.Unix(1_700_000_000, 0)
	end, stable, freeAt := now.Add(length), now.Add(length/4), now
	type flight struct {
		at   time.Time
		size int
	}
	var flying []flight
	const size = 1000
	for now.Before(end) {
		for len(flying) > 0 && !flying[0].at.After(now) {
			peer.receive(&window, now, flying[0].size)
			flying = flying[1:]
		}
		for window.Admits(ClassCatchUp) {
			window.Sent(now, size)
			if freeAt.Before(now) {
				freeAt = now
			}
			freeAt = freeAt.Add(size * time.Second / time.Duration(rate))
			flying = append(flying, flight{at: freeAt.Add(time.Millisecond + others), size: size})
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
	assert.Assert(t, inFlight > 64<<10 && received > 30_000_000, "free: %d, %d received", inFlight, received)
	inFlight, received = sendFor(4*time.Second, 200*time.Millisecond, 325_000)
	assert.Assert(t, inFlight <= minWindow+1000 && received > 40_000, "others: %d, %d received", inFlight, received)
	// On its own a slow link's queue stays short, and the link is used.
	inFlight, received = sendFor(4*time.Second, 0, 325_000)
	assert.Assert(t, inFlight < 325_000/10 && received > 4*325_000*9/10, "slow: %d, %d received", inFlight, received)
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
	// The acknowledgement came at once, so that the window has grown by half.
	assert.Assert(t, window.Admits(ClassCatchUp) && window.Admits(ClassLive))
	assert.Equal(t, window.size(), initialWindow*3/2)
	// A receiver that needs no flow control says so once.
	window.Acknowledge(now, AcknowledgeUnlimited)
	window.Sent(now, 1<<30)
	assert.Assert(t, window.Admits(ClassCatchUp))
}
