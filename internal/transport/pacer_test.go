package transport

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowLink is a link with a low rate and a FIFO queue, in virtual time. arrived has the
// time since the start at which each item was transmitted.
type slowLink struct {
	rate    int
	now     time.Time
	freeAt  time.Time
	arrived map[string]time.Duration
	start   time.Time
}

func (sl *slowLink) transmit(item string, size int) {
	if sl.freeAt.Before(sl.now) {
		sl.freeAt = sl.now
	}
	sl.freeAt = sl.freeAt.Add(time.Duration(size) * time.Second / time.Duration(sl.rate))
	sl.arrived[item] = sl.freeAt.Sub(sl.start)
}

// drainWithLease sends queued items over a slow link as the pacer permits. After 500 ms it
// queues a lease in ClassControl. It returns the time from then until the lease was
// transmitted.
func drainWithLease(t *testing.T) time.Duration {
	t.Helper()
	const rate, size = 325_000, 8 << 10
	start := time.Unix(1_700_000_000, 0)
	link := &slowLink{rate: rate, now: start, start: start, arrived: map[string]time.Duration{}}
	var queue PriorityQueue[string]
	var pacer Pacer
	pacer.SetRate(rate)
	for number := range 100 {
		queue.Push("a", ClassCatchUp, size, fmt.Sprint("missed ", number))
	}
	const leaseAt = 500 * time.Millisecond
	leaseQueued := false
	for !queue.Empty() || !leaseQueued {
		if !leaseQueued && link.now.Sub(start) >= leaseAt {
			leaseQueued = true
			queue.Push("b", ClassControl, 100, "lease")
		}
		if wait := pacer.Delay(link.now); wait > 0 || queue.Empty() {
			link.now = link.now.Add(max(time.Millisecond, wait))
			continue
		}
		_, item, _ := queue.Pop(anyPeer)
		bytes := size
		if item == "lease" {
			bytes = 100
		}
		pacer.Spend(link.now, bytes)
		link.transmit(item, bytes)
	}
	last := link.arrived["missed 99"]
	assert.Assert(t, last < 100*size*time.Second/rate*10/8, "the link was not fully utilized: %v", last)
	return link.arrived["lease"] - leaseAt
}

func TestPacerLetsControlOvertakeQueue(t *testing.T) {
	delay := drainWithLease(t)
	assert.Assert(t, delay < 2*pacerBurst+30*time.Millisecond, "the lease was transmitted after %v", delay)
}

func TestPacerRequiresAcknowledgementsOnSlowLinksOnly(t *testing.T) {
	for rate, required := range map[int]bool{0: false, 325_000: true, 600_000_000 / 8: false, 125_000_000: false} {
		var pacer Pacer
		pacer.SetRate(rate)
		assert.Equal(t, pacer.RequiresAcknowledgements(), required, "%d", rate)
	}
}

func TestPacerWithoutRateNeverDelays(t *testing.T) {
	var pacer Pacer
	now := time.Unix(1_700_000_000, 0)
	pacer.Spend(now, 1<<30)
	assert.Equal(t, pacer.Delay(now), time.Duration(0))
}
