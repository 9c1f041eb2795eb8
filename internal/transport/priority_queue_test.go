// What goes first over a link that is full, what is held back from it, and what is
// lost: in virtual time, on a link that takes a few bytes a second.

package transport

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func anyPeer(string, string) bool { return true }

// emptied gives what an order holds, in the order in which it goes.
func emptied(order *PriorityQueue[string], takes func(peer, item string) bool) []string {
	var went []string
	for {
		peer, item, found := order.Pop(takes)
		if !found {
			return went
		}
		went = append(went, peer+" "+item)
	}
}

func TestHigherClassesGoFirstAndEachKeepsItsOrder(t *testing.T) {
	var order PriorityQueue[string]
	order.Push("a", ClassCatchUp, 10, "missed 1")
	order.Push("a", ClassLive, 10, "live 1")
	order.Push("b", ClassLive, 10, "live 2")
	order.Push("a", ClassLive, 10, "live 3")
	order.Push("b", ClassInterest, 10, "interest")
	order.Push("a", ClassTransient, 10, "urgent")
	order.Push("a", ClassCatchUp, 10, "missed 2")
	order.Push("b", ClassControl, 10, "lease")
	assert.DeepEqual(t, emptied(&order, anyPeer), []string{
		"b lease", "a urgent", "a live 1", "b live 2", "a live 3", "b interest", "a missed 1", "a missed 2",
	})
	assert.Assert(t, order.Empty())
}

func TestAPeerThatTakesNothingHoldsUpNoOther(t *testing.T) {
	var order PriorityQueue[string]
	order.Push("deaf", ClassControl, 10, "lease")
	order.Push("a", ClassCatchUp, 10, "missed")
	order.Push("deaf", ClassLive, 10, "live")
	assert.DeepEqual(t, emptied(&order, func(peer, _ string) bool { return peer != "deaf" }), []string{"a missed"})
	assert.Assert(t, order.Contains("deaf") && !order.Contains("a") && !order.Empty())
	assert.DeepEqual(t, emptied(&order, anyPeer), []string{"deaf lease", "deaf live"})
}

func TestALowerClassIsNotStarved(t *testing.T) {
	var order PriorityQueue[string]
	const size = 1 << 10
	order.Push("a", ClassCatchUp, size, "missed")
	order.Push("a", ClassInterest, size, "interest")
	passed := map[string]int{}
	for number := range 1000 {
		order.Push("b", ClassLive, size, fmt.Sprint("live ", number))
		_, item, found := order.Pop(anyPeer)
		assert.Assert(t, found)
		passed[item] = number
	}
	// Each had one turn after as many bytes as may pass it, and not sooner.
	assert.Equal(t, passed["missed"], starvationBytes/size)
	assert.Equal(t, passed["interest"], starvationBytes/size+1)
	assert.Equal(t, passed["live 63"], 63)
}

func TestWhatWaitsForAPeerIsBoundedAndTheOldestIsLost(t *testing.T) {
	var order PriorityQueue[string]
	var lost []string
	for number := range 20 {
		lost = append(lost, order.Push("deaf", ClassCatchUp, maxQueuedBytes/10, fmt.Sprint(number))...)
		lost = append(lost, order.Push("deaf", ClassLive, maxQueuedBytes/100, fmt.Sprint("live ", number))...)
	}
	assert.DeepEqual(t, lost, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"})
	// One that is larger than the bound is not lost for itself.
	assert.Equal(t, len(order.Push("a", ClassLive, 2*maxQueuedBytes, "large")), 0)
	assert.DeepEqual(t, order.Remove("deaf", ClassCatchUp, func(item string) bool { return item != "15" }),
		[]string{"10", "11", "12", "13", "14", "16", "17", "18", "19"})
	assert.Equal(t, len(order.RemoveAll("deaf", func(string) bool { return true })), 21)
	assert.DeepEqual(t, emptied(&order, anyPeer), []string{"a large"})
}

// slowLink is a link that takes a few bytes a second, with a queue that knows no
// order; arrived has the moments at which items were through.
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

// drain gives a link what an order holds, as the pace lets it, and a lease in the
// midst.
func drain(t *testing.T) time.Duration {
	t.Helper()
	const rate, size = 325_000, 8 << 10
	began := time.Unix(1_700_000_000, 0)
	link := &slowLink{rate: rate, now: began, began: began, arrived: map[string]time.Duration{}}
	var order PriorityQueue[string]
	var pace Pacer
	pace.SetRate(rate)
	for number := range 100 {
		order.Push("a", ClassCatchUp, size, fmt.Sprint("missed ", number))
	}
	const leaseAt = 500 * time.Millisecond
	leased := false
	for !order.Empty() || !leased {
		if !leased && link.now.Sub(began) >= leaseAt {
			leased = true
			order.Push("b", ClassControl, 100, "lease")
		}
		if wait := pace.Delay(link.now); wait > 0 || order.Empty() {
			link.now = link.now.Add(max(time.Millisecond, wait))
			continue
		}
		_, item, _ := order.Pop(anyPeer)
		bytes := size
		if item == "lease" {
			bytes = 100
		}
		pace.Spend(link.now, bytes)
		link.give(item, bytes)
	}
	assert.Assert(t, link.arrived["missed 99"] < 100*size*time.Second/rate*10/8, "the link was left idle: %v", link.arrived["missed 99"])
	return link.arrived["lease"] - leaseAt
}

func TestALeaseIsNotBehindWhatTheLinkCantTakeYet(t *testing.T) {
	late := drain(t)
	assert.Assert(t, late < 2*pacerBurst+30*time.Millisecond, "the lease was through after %v", late)
}

func TestReceiversOnWideLinksConfirmNothing(t *testing.T) {
	for rate, confirms := range map[int]bool{0: false, 325_000: true, 600_000_000 / 8: false, 125_000_000: false} {
		var pace Pacer
		pace.SetRate(rate)
		assert.Equal(t, pace.RequiresAcknowledgements(), confirms, "%d", rate)
	}
}

func TestWithoutARateNothingIsHeldBack(t *testing.T) {
	var pace Pacer
	now := time.Unix(1_700_000_000, 0)
	pace.Spend(now, 1<<30)
	assert.Equal(t, pace.Delay(now), time.Duration(0))
}

// receiver confirms what it took, with its connection's way there and back.
type receiver struct{ took, told int64 }

func (r *receiver) takes(window *FlowWindow, at time.Time, size int) {
	r.took += int64(size)
	if AcknowledgementDue(r.told, r.took) {
		r.told = r.took
		window.Acknowledge(at, r.told)
	}
}

// through sends for a while over a link whose queue others fill, and gives the bytes
// that were on their way at most after the first moments, and those that went.
func through(length, others time.Duration, rate int) (most, went int64) {
	var window FlowWindow
	var peer receiver
	now := time.Unix(1_700_000_000, 0)
	end, settled, free := now.Add(length), now.Add(length/4), now
	type flight struct {
		at   time.Time
		size int
	}
	var flying []flight
	const size = 1000
	for now.Before(end) {
		for len(flying) > 0 && !flying[0].at.After(now) {
			peer.takes(&window, now, flying[0].size)
			flying = flying[1:]
		}
		for window.Admits(ClassCatchUp) {
			window.Sent(now, size)
			if free.Before(now) {
				free = now
			}
			free = free.Add(size * time.Second / time.Duration(rate))
			flying = append(flying, flight{at: free.Add(time.Millisecond + others), size: size})
		}
		if now.After(settled) {
			most = max(most, window.sent.Load()-window.acknowledged.Load())
		}
		now = now.Add(200 * time.Microsecond)
	}
	return most, peer.took
}

func TestAWindowGrowsOnAFreeLinkAndShrinksBehindAQueue(t *testing.T) {
	most, went := through(4*time.Second, 0, 10_000_000)
	assert.Assert(t, most > 64<<10 && went > 30_000_000, "free: %d on the way, %d went", most, went)
	most, went = through(4*time.Second, 200*time.Millisecond, 325_000)
	assert.Assert(t, most <= minWindow+1000 && went > 40_000, "behind others: %d on the way, %d went", most, went)
	// On its own a thin link's queue stays short, and the link is used.
	most, went = through(4*time.Second, 0, 325_000)
	assert.Assert(t, most < 325_000/10 && went > 4*325_000*9/10, "thin: %d on the way, %d went", most, went)
}

func TestAWindowThatIsNeverUsedDoesNotGrow(t *testing.T) {
	var window FlowWindow
	var peer receiver
	now := time.Unix(1_700_000_000, 0)
	for range 10_000 {
		window.Sent(now, 100)
		now = now.Add(time.Millisecond)
		peer.takes(&window, now, 100)
	}
	assert.Equal(t, window.size(), initialWindow)
	assert.Assert(t, window.Admits(ClassCatchUp))
}

func TestWhatIsSaidAnewAnywayIsLostOnceItIsStale(t *testing.T) {
	for class := range classCount {
		assert.Equal(t, class.Expired(maxQueueTime[ClassCatchUp]+time.Millisecond), class >= ClassInterest, "class %d", class)
	}
	assert.Assert(t, !ClassInterest.Expired(maxQueueTime[ClassInterest]))
}

func TestAFullWindowHoldsBackTheLowerClassesFirst(t *testing.T) {
	var window FlowWindow
	now := time.Unix(1_700_000_000, 0)
	window.Sent(now, int(initialWindow))
	assert.Assert(t, !window.Admits(ClassCatchUp) && !window.Admits(ClassInterest) && window.Admits(ClassLive) && window.Admits(ClassControl))
	window.Sent(now, int(initialWindow))
	assert.Assert(t, !window.Admits(ClassLive) && window.Admits(ClassTransient) && window.Admits(ClassControl))
	window.Acknowledge(now, initialWindow)
	// It came at once, so that the window is larger by half now.
	assert.Assert(t, window.Admits(ClassCatchUp) && window.Admits(ClassLive))
	assert.Equal(t, window.size(), initialWindow*3/2)
	// Who wants no window says so once.
	window.Acknowledge(now, AcknowledgeUnlimited)
	window.Sent(now, 1<<30)
	assert.Assert(t, window.Admits(ClassCatchUp))
}
