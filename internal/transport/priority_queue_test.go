package transport

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func anyPeer(string, string) bool { return true }

// popAll pops all items that accepts admits.
func popAll(queue *PriorityQueue[string], accepts func(peer, item string) bool) []string {
	var popped []string
	for {
		peer, item, found := queue.Pop(accepts)
		if !found {
			return popped
		}
		popped = append(popped, peer+" "+item)
	}
}

func TestPriorityQueuePopsByClassInOrder(t *testing.T) {
	var queue PriorityQueue[string]
	queue.Push("a", ClassCatchUp, 10, "missed 1")
	queue.Push("a", ClassLive, 10, "live 1")
	queue.Push("b", ClassLive, 10, "live 2")
	queue.Push("a", ClassLive, 10, "live 3")
	queue.Push("b", ClassInterest, 10, "interest")
	queue.Push("a", ClassTransient, 10, "urgent")
	queue.Push("a", ClassCatchUp, 10, "missed 2")
	queue.Push("b", ClassControl, 10, "lease")
	assert.DeepEqual(t, popAll(&queue, anyPeer), []string{
		"b lease", "a urgent", "a live 1", "b live 2", "a live 3", "b interest", "a missed 1", "a missed 2",
	})
	assert.Assert(t, queue.Empty())
}

func TestPriorityQueueSkipsPeersThatAcceptNothing(t *testing.T) {
	var queue PriorityQueue[string]
	queue.Push("blocked", ClassControl, 10, "lease")
	queue.Push("a", ClassCatchUp, 10, "missed")
	queue.Push("blocked", ClassLive, 10, "live")
	assert.DeepEqual(t, popAll(&queue, func(peer, _ string) bool { return peer != "blocked" }), []string{"a missed"})
	assert.Assert(t, queue.Contains("blocked") && !queue.Contains("a") && !queue.Empty())
	assert.DeepEqual(t, popAll(&queue, anyPeer), []string{"blocked lease", "blocked live"})
}

func TestPriorityQueuePreventsStarvation(t *testing.T) {
	var queue PriorityQueue[string]
	const size = 1 << 10
	queue.Push("a", ClassCatchUp, size, "missed")
	queue.Push("a", ClassInterest, size, "interest")
	popped := map[string]int{}
	for number := range 1000 {
		queue.Push("b", ClassLive, size, fmt.Sprint("live ", number))
		_, item, found := queue.Pop(anyPeer)
		assert.Assert(t, found)
		popped[item] = number
	}
	// Each lower class was served once after starvationBytes had overtaken it, and not
	// earlier.
	assert.Equal(t, popped["missed"], starvationBytes/size)
	assert.Equal(t, popped["interest"], starvationBytes/size+1)
	assert.Equal(t, popped["live 63"], 63)
}

func TestPriorityQueueDropsOldestOverBound(t *testing.T) {
	var queue PriorityQueue[string]
	var dropped []string
	for number := range 20 {
		dropped = append(dropped, queue.Push("blocked", ClassCatchUp, maxQueuedBytes/10, fmt.Sprint(number))...)
		dropped = append(dropped, queue.Push("blocked", ClassLive, maxQueuedBytes/100, fmt.Sprint("live ", number))...)
	}
	assert.DeepEqual(t, dropped, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"})
	// A single item that is larger than the bound is not dropped.
	assert.Equal(t, len(queue.Push("a", ClassLive, 2*maxQueuedBytes, "large")), 0)
	assert.DeepEqual(t, queue.Remove("blocked", ClassCatchUp, func(item string) bool { return item != "15" }),
		[]string{"10", "11", "12", "13", "14", "16", "17", "18", "19"})
	assert.Equal(t, len(queue.RemoveAll("blocked", func(string) bool { return true })), 21)
	assert.DeepEqual(t, popAll(&queue, anyPeer), []string{"a large"})
}
