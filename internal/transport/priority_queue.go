package transport

const (
	// starvationBytes is how many bytes of higher classes may overtake a lower
	// class before an item of the lower class is served.
	starvationBytes = 64 << 10
	// maxQueuedBytes bounds the bytes that are queued for one peer in one class.
	maxQueuedBytes = 1 << 20
)

// PriorityQueue queues items for the host's network link, by class and peer. Items of
// the highest class are popped first. Within a class, the peers are served round robin,
// and the items for each peer in FIFO order. To prevent starvation, one item of a lower
// class is popped after starvationBytes of higher classes have overtaken that class. The
// zero value is an empty queue.
type PriorityQueue[Item any] struct {
	classes [classCount]classQueue[Item]
}

// classQueue has the queues of all peers with items of one class.
type classQueue[Item any] struct {
	// turns has the queues in the order in which they are served (round robin), byPeer
	// has the same queues by address.
	turns  []*peerQueue[Item]
	byPeer map[string]*peerQueue[Item]
	// overtaken counts bytes of higher classes since the class was last served.
	overtaken int
}

// peerQueue has the items of one class for one peer; it is never empty.
type peerQueue[Item any] struct {
	peer  string
	items []queued[Item]
	// size is the sum of the sizes of the items.
	size int
}

type queued[Item any] struct {
	item Item
	size int
}

// Push adds an item with its size in bytes. If the items of its class and peer exceed
// maxQueuedBytes, it drops and returns the oldest of them, but never the new item.
func (q *PriorityQueue[Item]) Push(peer string, class Class, size int, item Item) (dropped []Item) {
	queue := &q.classes[class]
	present, found := queue.byPeer[peer]
	if !found {
		if queue.byPeer == nil {
			queue.byPeer = map[string]*peerQueue[Item]{}
		}
		present = &peerQueue[Item]{peer: peer}
		queue.byPeer[peer] = present
		queue.turns = append(queue.turns, present)
	}
	present.items = append(present.items, queued[Item]{item: item, size: size})
	present.size += size
	for present.size > maxQueuedBytes && len(present.items) > 1 {
		oldest := present.pop()
		dropped = append(dropped, oldest.item)
	}
	return dropped
}

// Empty reports whether nothing is queued.
func (q *PriorityQueue[Item]) Empty() bool {
	for class := range q.classes {
		if len(q.classes[class].turns) > 0 {
			return false
		}
	}
	return true
}

// Contains reports whether anything is queued for a peer.
func (q *PriorityQueue[Item]) Contains(peer string) bool {
	for class := range q.classes {
		if _, found := q.classes[class].byPeer[peer]; found {
			return true
		}
	}
	return false
}

// Pop removes the next item that may be sent. It calls accepts with the oldest item of
// each class and peer, in the order of the queue, until accepts returns true.
func (q *PriorityQueue[Item]) Pop(accepts func(peer string, item Item) bool) (peer string, item Item, found bool) {
	for class := classCount - 1; class > 0; class-- {
		if q.classes[class].overtaken >= starvationBytes {
			if peer, item, found = q.popClass(class, accepts); found {
				return peer, item, true
			}
		}
	}
	for class := range classCount {
		if peer, item, found = q.popClass(class, accepts); found {
			return peer, item, true
		}
	}
	return "", item, false
}

func (q *PriorityQueue[Item]) popClass(
	class Class, accepts func(peer string, item Item) bool,
) (peer string, item Item, found bool) {
	queue := &q.classes[class]
	for index, present := range queue.turns {
		if !accepts(present.peer, present.items[0].item) {
			continue
		}
		oldest := present.pop()
		queue.turns = append(queue.turns[:index], queue.turns[index+1:]...)
		if len(present.items) > 0 {
			queue.turns = append(queue.turns, present)
		} else {
			delete(queue.byPeer, present.peer)
		}
		q.countOvertaken(class, oldest.size)
		return present.peer, oldest.item, true
	}
	return "", item, false
}

// countOvertaken adds the size of an item of a class to the overtaken bytes of all lower
// classes with queued items.
func (q *PriorityQueue[Item]) countOvertaken(class Class, size int) {
	q.classes[class].overtaken = 0
	for lower := class + 1; lower < classCount; lower++ {
		if len(q.classes[lower].turns) > 0 {
			q.classes[lower].overtaken += size
		}
	}
}

// Remove removes and returns the items of a class and a peer for which unwanted returns
// true.
func (q *PriorityQueue[Item]) Remove(peer string, class Class, unwanted func(item Item) bool) (removed []Item) {
	queue := &q.classes[class]
	present, found := queue.byPeer[peer]
	if !found {
		return nil
	}
	remaining := present.items[:0]
	for _, each := range present.items {
		if unwanted(each.item) {
			removed = append(removed, each.item)
			present.size -= each.size
			continue
		}
		remaining = append(remaining, each)
	}
	clear(present.items[len(remaining):])
	present.items = remaining
	if len(remaining) == 0 {
		delete(queue.byPeer, peer)
		queue.remove(present)
	}
	return removed
}

// RemoveAll is like Remove, for the items of all classes.
func (q *PriorityQueue[Item]) RemoveAll(peer string, unwanted func(item Item) bool) (removed []Item) {
	for class := range classCount {
		removed = append(removed, q.Remove(peer, class, unwanted)...)
	}
	return removed
}

func (cq *classQueue[Item]) remove(removed *peerQueue[Item]) {
	for index, present := range cq.turns {
		if present == removed {
			cq.turns = append(cq.turns[:index], cq.turns[index+1:]...)
			return
		}
	}
}

// pop removes the oldest item. It clears the slot so that the item can be garbage
// collected.
func (pq *peerQueue[Item]) pop() queued[Item] {
	oldest := pq.items[0]
	pq.items[0] = queued[Item]{}
	pq.items = pq.items[1:]
	pq.size -= oldest.size
	return oldest
}
