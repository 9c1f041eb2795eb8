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
	free    time.Time
	arrived map[string]time.Duration
	began   time.Time
}

func (sl *slowLink) give(item string, size int) {
	if sl.free.Before(sl.now) {
		sl.free = sl.now
	}
	sl.free = sl.free.Add(time.Duration(size) * time.Second / time.Duration(sl.rate))
	sl.arrived[item] = sl.free.Sub(sl.began)
}

// drain sends queued items over a slow link as the pacer permits. After 500 ms it queues a
// lease in ClassControl, and returns the time until the lease was transmitted.
func drain(t *testing.T) time.Duration {
	t.Helper()
	const rate, size = 325_000, 8 << 10
	began := time.Unix(1_700_000_000, 0)
	link := &slowLink{rate: rate, now: began, began: began, arrived: map[string]time.Duration{}}
	var queue PriorityQueue[string]
	var pacer Pacer
	pacer.SetRate(rate)
	for number := range 100 {
		queue.Push("a", ClassCatchUp, size, fmt.Sprint("missed ", number))
	}
	const leaseAt = 500 * time.Millisecond
	leased := false
	for !queue.Empty() || !leased {
		if !leased && link.now.Sub(began) >= leaseAt {
			leased = true
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
		link.give(item, bytes)
	}
	last := link.arrived["missed 99"]
	assert.Assert(t, last < 100*size*time.Second/rate*10/8, "the link was left idle: %v", last)
	return link.arrived["lease"] - leaseAt
}

func TestPacerLetsControlOvertakeQueue(t *testing.T) {
	late := drain(t)
	assert.Assert(t, late < 2*pacerBurst+30*time.Millisecond, "the lease was through after %v", late)
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
