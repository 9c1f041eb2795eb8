// What waits for a machine's link, and which of it goes next. It holds no clock and
// no socket, so that daemons and the simulator use the same.

package transport

const (
	// starvationBytes is how many bytes of higher classes may pass what waits in a
	// lower one before that has a turn.
	starvationBytes = 64 << 10
	// maxQueuedBytes bounds the bytes that wait for one peer in one class.
	maxQueuedBytes = 1 << 20
)

// PriorityQueue holds items for peers, by class. Items of a class for a peer keep their
// order. The highest class goes first, peers in turn, and a class that was passed by
// too many bytes of higher ones has one item sent.
type PriorityQueue[Item any] struct {
	classes [classCount]classQueue[Item]
}

// classQueue holds the peers for which something of a class waits, in turn.
type classQueue[Item any] struct {
	turns  []*peerQueue[Item]
	byPeer map[string]*peerQueue[Item]
	passed int
}

type peerQueue[Item any] struct {
	peer  string
	items []queued[Item]
	size  int
}

type queued[Item any] struct {
	item Item
	size int
}

// Push adds an item, and gives those that are lost for it: the oldest of its class
// and peer where too much waits.
func (o *PriorityQueue[Item]) Push(peer string, class Class, size int, item Item) (lost []Item) {
	queue := &o.classes[class]
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
		lost = append(lost, oldest.item)
	}
	return lost
}

// Empty tells whether nothing waits.
func (o *PriorityQueue[Item]) Empty() bool {
	for class := range o.classes {
		if len(o.classes[class].turns) > 0 {
			return false
		}
	}
	return true
}

// Contains tells whether anything waits for a peer.
func (o *PriorityQueue[Item]) Contains(peer string) bool {
	for class := range o.classes {
		if _, found := o.classes[class].byPeer[peer]; found {
			return true
		}
	}
	return false
}

// Pop takes out what goes next, to a peer that takes it.
func (o *PriorityQueue[Item]) Pop(takes func(peer string, item Item) bool) (peer string, item Item, found bool) {
	for class := classCount - 1; class > 0; class-- {
		if o.classes[class].passed >= starvationBytes {
			if peer, item, found = o.popClass(class, takes); found {
				return peer, item, true
			}
		}
	}
	for class := range classCount {
		if peer, item, found = o.popClass(class, takes); found {
			return peer, item, true
		}
	}
	return "", item, false
}

func (o *PriorityQueue[Item]) popClass(class Class, takes func(peer string, item Item) bool) (peer string, item Item, found bool) {
	queue := &o.classes[class]
	for position, present := range queue.turns {
		if !takes(present.peer, present.items[0].item) {
			continue
		}
		first := present.pop()
		queue.turns = append(queue.turns[:position], queue.turns[position+1:]...)
		if len(present.items) > 0 {
			queue.turns = append(queue.turns, present)
		} else {
			delete(queue.byPeer, present.peer)
		}
		queue.passed = 0
		for lower := class + 1; lower < classCount; lower++ {
			if len(o.classes[lower].turns) > 0 {
				o.classes[lower].passed += first.size
			}
		}
		return present.peer, first.item, true
	}
	return "", item, false
}

// Remove takes out what waits for a peer in a class and is no longer wanted.
func (o *PriorityQueue[Item]) Remove(peer string, class Class, unwanted func(item Item) bool) (forgotten []Item) {
	queue := &o.classes[class]
	present, found := queue.byPeer[peer]
	if !found {
		return nil
	}
	kept := present.items[:0]
	for _, each := range present.items {
		if unwanted(each.item) {
			forgotten = append(forgotten, each.item)
			present.size -= each.size
			continue
		}
		kept = append(kept, each)
	}
	clear(present.items[len(kept):])
	present.items = kept
	if len(kept) == 0 {
		delete(queue.byPeer, peer)
		queue.remove(present)
	}
	return forgotten
}

// RemoveAll takes out what waits for a peer in every class and is not wanted.
func (o *PriorityQueue[Item]) RemoveAll(peer string, unwanted func(item Item) bool) (forgotten []Item) {
	for class := range classCount {
		forgotten = append(forgotten, o.Remove(peer, class, unwanted)...)
	}
	return forgotten
}

func (cq *classQueue[Item]) remove(gone *peerQueue[Item]) {
	for position, present := range cq.turns {
		if present == gone {
			cq.turns = append(cq.turns[:position], cq.turns[position+1:]...)
			return
		}
	}
}

func (pq *peerQueue[Item]) pop() queued[Item] {
	first := pq.items[0]
	pq.items[0] = queued[Item]{}
	pq.items = pq.items[1:]
	pq.size -= first.size
	return first
}
