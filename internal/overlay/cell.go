package overlay

import (
	"dahlialock/internal/statemachine"
	"hash/fnv"
	"slices"
	"time"
)

// CellOf returns the cell of a topic by its number (config.TopicHash).
func CellOf(topic uint64) uint8 { return uint8(topic >> 60) }

// cellArea returns the area of a cell's peers: a square in the middle of the cell, half
// as wide as the cell. The reference points of the peers lie even closer to the middle
// (see cellPeer), so that the regions of the cell's peers cover the area completely and
// the regions of other cells' peers never intersect it.
func cellArea(cell uint8) Area {
	const side = 1.0 / cellSide
	return Area{X: (float64(cell%cellSide) + 0.25) * side, Y: (float64(cell/cellSide) + 0.25) * side, Size: side / 2}
}

// cellPeer returns the peer with the given key in a cell. Everything except Change is
// derived from the key and the cell, so notices identify a peer by these two.
func cellPeer(key PeerKey, cell uint8, change uint64) Peer {
	area := cellArea(cell)
	return Peer{Key: key, At: area.scatter(key.Daemon, key.Number, 0.4, 0.2), Area: area, Subscribes: true, Change: change}
}

// plane is a unit square of cells. The space that contains the peers of its cells has
// the same name.
type plane struct {
	name string
	// cells has nil for each cell in which this daemon has no peer.
	cells [CellCount]*cell
	// turn selects the next daemon to check among those with which no cell is shared.
	turn int
}

// cell is this daemon's state for one cell: its peer, its subscriber counts, and the
// announcements of the other daemons' peers in the cell.
type cell struct {
	plane  *plane
	number uint8
	peer   *hostedPeer
	// counts are this daemon's subscriber counts, by topic. changed has, for each
	// topic whose count has changed since the last announcement, the count that was
	// announced.
	counts  map[uint64]uint32
	changed map[uint64]uint32
	// sequence is the number of the last NoticeChanges that was sent; due is when the
	// next one must be sent, or zero if none is pending.
	sequence uint64
	due      time.Time
	// members are the other daemons' peers in the cell, by daemon; order are the
	// sorted names of these daemons.
	members map[string]*member
	order   []string
	// pendingComplete are the daemons to which a NoticeComplete must be sent.
	pendingComplete map[string]bool
	// digest is the XOR of the hashes of the members' keys.
	digest uint64
	// waiting are the completions to call once the cell is joined, or at the deadline.
	waiting []Completion
	// changedAt is when a member was last added.
	changedAt time.Time
	// ready is set once the cell is joined or a wait for it has timed out; reset
	// clears it.
	ready    bool
	deadline time.Time
	// turn selects the member to which compareMembers sends the next NoticeDiffers.
	turn uint64
	// lastUse is when SetSubscribers or AwaitCell last used the cell; see cellIdleTimeout.
	lastUse time.Time
}

// member is another daemon's peer in a cell, with the counts that it announced.
type member struct {
	key PeerKey
	// countsReceived is set once a NoticeComplete was received; sequence is that of the
	// last notice applied to counts.
	countsReceived bool
	sequence       uint64
	// digest is the last Digest received from the peer, 0 for none; digestAt is when
	// it was received.
	digest   uint64
	digestAt time.Time
	counts   map[uint64]uint32
	// requested is when a NoticeComplete was last requested or, before the first
	// request, when the member was added. requestAttempts counts the requests since the
	// last NoticeComplete was received.
	requested       time.Time
	requestAttempts int
	// requestDelayed is set while a request is delayed until nextRequestAt.
	requestDelayed bool
	// compared is the XOR of the two digests that were last compared; comparedAt is
	// when they were.
	compared   uint64
	comparedAt time.Time
}

// joined reports whether the peer has joined and all members have sent their counts,
// or an earlier wait for this has timed out.
func (c *cell) joined() bool {
	if c.ready {
		return true
	}
	if c.peer.joining != nil || len(c.peer.pending) > 0 {
		return false
	}
	for _, known := range c.members {
		if !known.countsReceived {
			return false
		}
	}
	c.ready = true
	return true
}

// removeMember removes a member with its counts.
func (c *cell) removeMember(key PeerKey) {
	if known, found := c.members[key.Daemon]; !found || known.key != key {
		return
	}
	c.digest ^= keyHash(key)
	delete(c.members, key.Daemon)
	delete(c.pendingComplete, key.Daemon)
	if position, found := slices.BinarySearch(c.order, key.Daemon); found {
		c.order = slices.Delete(c.order, position, position+1)
	}
}

// reset removes all members, before this daemon's peer joins under a new key.
func (c *cell) reset() {
	c.members, c.order, c.pendingComplete = map[string]*member{}, nil, map[string]bool{}
	c.ready, c.digest = false, 0
}

// notice returns a notice of the cell's peer without counts.
func (c *cell) notice(kind uint8) Notice {
	return Notice{Kind: kind, Cell: c.number, Number: c.peer.self.Key.Number, Change: c.peer.self.Change, Sequence: c.sequence, Digest: c.digestHere()}
}

// digestHere returns the digest of the members including this daemon's peer.
func (c *cell) digestHere() uint64 { return c.digest ^ keyHash(c.peer.self.Key) }

// keyHash returns a hash of a peer's key.
func keyHash(key PeerKey) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(key.Daemon))
	return mix(sum.Sum64() ^ mix(key.Incarnation^mix(key.Number)))
}

// mix returns a hash of the value: each bit of the result depends on all bits of it.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// completeNotice returns a notice with all counts as of the newest NoticeChanges,
// without the changes that haven't been announced yet.
func (c *cell) completeNotice() Notice {
	notice := c.notice(NoticeComplete)
	for topic := range statemachine.Sorted(c.counts) {
		count := c.counts[topic]
		if announced, changed := c.changed[topic]; changed {
			count = announced
		}
		notice.add(topic, count)
	}
	for topic, announced := range statemachine.Sorted(c.changed) {
		if _, counted := c.counts[topic]; !counted {
			notice.add(topic, announced)
		}
	}
	return notice
}

// apply applies the counts of a notice to those of the member.
func (m *member) apply(notice Notice) {
	if m.counts == nil {
		m.counts = map[uint64]uint32{}
	}
	for position, topic := range notice.Topics {
		if count := notice.Counts[position]; count > 0 {
			m.counts[topic] = count
		} else {
			delete(m.counts, topic)
		}
	}
}

// memberHashes returns a notice with the short hashes of all members except its receiver.
func (c *cell) memberHashes(kind uint8, to PeerKey) Notice {
	notice := c.notice(kind)
	for _, name := range c.order {
		if key := c.members[name].key; key != to {
			notice.Counts = append(notice.Counts, shortHash(key))
		}
	}
	return notice
}

// nextRequestAt returns the earliest time of the next request for a NoticeComplete, or
// the zero time if it may be sent immediately.
func (m *member) nextRequestAt() time.Time {
	if m.requested.IsZero() {
		return m.requested
	}
	return m.requested.Add(backoff(requestRetry, min(m.requestAttempts, maxBackoffAttempts)))
}

// shortHash returns the hash of a peer's key that NoticeDiffers and NoticeMissing have.
func shortHash(key PeerKey) uint32 { return uint32(keyHash(key) >> 32) }
