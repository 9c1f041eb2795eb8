package overlay

import (
	"dahlialock/internal/statemachine"
	"hash/fnv"
	"slices"
	"time"
)

// CellOf returns the cell of a topic by its number (config.TopicHash).
func CellOf(topic uint64) uint8 { return uint8(topic >> 60) }

// cellArea returns the area of a cell: a square of half the cell's width in its
// middle. The peers' points lie still closer together, so that the regions of the
// cell's peers cover the area completely and those of other cells never meet it.
func cellArea(cell uint8) Area {
	const side = 1.0 / cellSide
	return Area{X: (float64(cell%cellSide) + 0.25) * side, Y: (float64(cell/cellSide) + 0.25) * side, Size: side / 2}
}

// cellPeer returns the peer in a cell that has a key; all but Change follows from
// the two, so that a key and a cell are enough to tell others of it.
func cellPeer(key PeerKey, cell uint8, change uint64) Peer {
	area := cellArea(cell)
	return Peer{Key: key, At: area.scatter(key.Daemon, key.Number, 0.4, 0.2), Area: area, Subscribes: true, Change: change}
}

// plane is a unit square of cells. Its name is also that of the space in which the
// cells' peers are.
type plane struct {
	name string
	// cells are nil where this daemon has no peer.
	cells [CellCount]*cell
	// turn is the next of the daemons with which no cell is shared to be checked.
	turn int
}

// cell is this daemon's part of one cell: its peer, its subscribers, and what the
// other daemons' peers in the cell announced.
type cell struct {
	plane  *plane
	number uint8
	peer   *hosted
	// counts are this daemon's subscribers by topic; changed has the counts that were
	// last announced of those topics whose count has changed since.
	counts  map[uint64]uint32
	changed map[uint64]uint32
	// sequence is that of the last NoticeChanges, due when the next one is to be
	// sent, zero for none.
	sequence uint64
	due      time.Time
	// members are the other daemons' peers in the cell by daemon, order the daemons'
	// names in order.
	members map[string]*member
	order   []string
	// owed are the daemons that are to get a NoticeComplete.
	owed map[string]bool
	// digest is the XOR of the hashes of the members' keys.
	digest uint64
	// waiting are called once the cell is joined, or at until.
	waiting []Completion
	// changedAt is when a member was last added.
	changedAt time.Time
	// reached is set once the cell was joined or a wait for that has timed out; reset
	// clears it.
	reached bool
	until   time.Time
	// turn picks the member with which the members are compared next.
	turn uint64
	// lastUse is when a caller last used the cell; see keepFor.
	lastUse time.Time
}

// member is another daemon's peer in a cell, and what it announced.
type member struct {
	key PeerKey
	// heard is set once a NoticeComplete came; sequence is that of the last notice
	// that was applied to counts.
	heard    bool
	sequence uint64
	// digest is the peer's latest Digest, 0 for none, and digestAt when it came.
	digest   uint64
	digestAt time.Time
	counts   map[uint64]uint32
	// requested is when a NoticeComplete was last requested, or the member added, and
	// asks how often since the last one came.
	requested time.Time
	asks      int
	// wanted is set while a request waits for nextRequestAt.
	wanted bool
	// compared is the XOR of the two digests that were last compared, comparedAt when.
	compared   uint64
	comparedAt time.Time
}

// joined reports whether the peer has joined and all members have sent their counts,
// or a wait for that has timed out before.
func (c *cell) joined() bool {
	if c.reached {
		return true
	}
	if c.peer.joining != nil || len(c.peer.pending) > 0 {
		return false
	}
	for _, known := range c.members {
		if !known.heard {
			return false
		}
	}
	c.reached = true
	return true
}

// part removes a member with all that it announced.
func (c *cell) part(key PeerKey) {
	if known, found := c.members[key.Daemon]; !found || known.key != key {
		return
	}
	c.digest ^= keyHash(key)
	delete(c.members, key.Daemon)
	delete(c.owed, key.Daemon)
	if position, found := slices.BinarySearch(c.order, key.Daemon); found {
		c.order = slices.Delete(c.order, position, position+1)
	}
}

// reset removes all members, after which this daemon's peer joins anew.
func (c *cell) reset() {
	c.members, c.order, c.owed = map[string]*member{}, nil, map[string]bool{}
	c.reached, c.digest = false, 0
}

// notice returns a notice of the cell's peer without counts.
func (c *cell) notice(kind uint8) Notice {
	return Notice{Kind: kind, Cell: c.number, Number: c.peer.self.Key.Number, Change: c.peer.self.Change, Sequence: c.sequence, Digest: c.digestHere()}
}

// digestHere returns the digest of the members and this daemon's peer.
func (c *cell) digestHere() uint64 { return c.digest ^ keyHash(c.peer.self.Key) }

// keyHash returns a hash of a peer's key.
func keyHash(key PeerKey) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(key.Daemon))
	return mix(sum.Sum64() ^ mix(key.Incarnation^mix(key.Number)))
}

// mix returns a number whose bits all depend on those of the value.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// completeNotice returns a notice with all counts as of the newest NoticeChanges:
// changes that are still to be sent aren't in it.
func (c *cell) completeNotice() Notice {
	notice := c.notice(NoticeComplete)
	for topic := range statemachine.Sorted(c.counts) {
		count := c.counts[topic]
		if told, changed := c.changed[topic]; changed {
			count = told
		}
		notice.add(topic, count)
	}
	for topic, told := range statemachine.Sorted(c.changed) {
		if _, counted := c.counts[topic]; !counted {
			notice.add(topic, told)
		}
	}
	return notice
}

// apply takes the counts of a notice.
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

// sums returns a notice with the short hashes of all members but the one that it
// goes to.
func (c *cell) sums(kind uint8, to PeerKey) Notice {
	notice := c.notice(kind)
	for _, name := range c.order {
		if key := c.members[name].key; key != to {
			notice.Counts = append(notice.Counts, shortHash(key))
		}
	}
	return notice
}

// nextRequestAt returns when a NoticeComplete may be requested next, zero for at once.
func (m *member) nextRequestAt() time.Time {
	if m.requested.IsZero() {
		return m.requested
	}
	return m.requested.Add(backoff(requestRetry, min(m.asks, maxRequestDoublings)))
}

// shortHash returns the hash of a peer's key in NoticeDiffers and NoticeMissing.
func shortHash(key PeerKey) uint32 { return uint32(keyHash(key) >> 32) }
