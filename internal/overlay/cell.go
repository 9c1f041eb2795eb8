package overlay

import (
	"dahlialock/internal/statemachine"
	"hash/fnv"
	"slices"
	"time"
)

// CellOf is the cell of a topic's number.
func CellOf(topic uint64) uint8 { return uint8(topic >> 60) }

// cellArea is the area of the topics of a cell: the middle of its square, half
// as wide. The peers' points lie still closer together, so that the regions of
// a cell's peers cover the area whole and those of other cells never meet it.
func cellArea(cell uint8) Area {
	const side = 1.0 / cellSide
	return Area{X: (float64(cell%cellSide) + 0.25) * side, Y: (float64(cell/cellSide) + 0.25) * side, Size: side / 2}
}

// cellPeer is the peer of a daemon in a cell.
func cellPeer(key PeerKey, cell uint8, change uint64) Peer {
	area := cellArea(cell)
	return Peer{Key: key, At: area.scatter(key.Daemon, key.Number, 0.4, 0.2), Area: area, Subscribes: true, Change: change}
}

type plane struct {
	name  string
	cells [CellCount]*cell
	turn  int
}

type cell struct {
	plane  *plane
	number uint8
	peer   *hosted
	// counts are this daemon's subscribers; changed holds what was last told of
	// those that are to be told anew.
	counts   map[uint64]uint32
	changed  map[uint64]uint32
	sequence uint64
	due      time.Time
	members  map[string]*member
	// order holds the names of the members in order.
	order []string
	owed  map[string]bool
	// digest sums up the members' keys.
	digest  uint64
	waiting []Completion
	// changedAt is when whom it knows last changed.
	changedAt time.Time
	// reached is set once it was settled, or somebody waited long enough.
	reached bool
	until   time.Time
	turn    uint64
	lastUse time.Time
}

// member is another daemon's peer in a cell, and what it told.
type member struct {
	key      PeerKey
	heard    bool
	sequence uint64
	digest   uint64
	digestAt time.Time
	counts   map[uint64]uint32
	// requested is when it was last asked for the whole, and asks how often since it
	// last told it.
	requested time.Time
	asks      int
	// wanted is set where it is to be asked again.
	wanted bool
	// compared sums up the difference that was last looked into.
	compared   uint64
	comparedAt time.Time
}

// joined tells whether the peer has joined and was told by all it knows.
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

// part forgets another daemon's peer in the cell with all that it told.
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

// reset forgets all others of the cell; they are to be found and told anew.
func (c *cell) reset() {
	c.members, c.order, c.owed = map[string]*member{}, nil, map[string]bool{}
	c.reached, c.digest = false, 0
}

func (c *cell) notice(kind uint8) Notice {
	return Notice{Kind: kind, Cell: c.number, Number: c.peer.self.Key.Number, Change: c.peer.self.Change, Sequence: c.sequence, Digest: c.digestHere()}
}

// digestHere sums up all peers of the cell that are known, this one too.
func (c *cell) digestHere() uint64 { return c.digest ^ keyHash(c.peer.self.Key) }

// keyHash is a number for a peer's key.
func keyHash(key PeerKey) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(key.Daemon))
	return mix(sum.Sum64() ^ mix(key.Incarnation^mix(key.Number)))
}

func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// completeNotice tells all counts, as of the newest notice.
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

// sums sums up the others of a cell for one of them.
func (c *cell) sums(kind uint8, to PeerKey) Notice {
	notice := c.notice(kind)
	for _, name := range c.order {
		if key := c.members[name].key; key != to {
			notice.Counts = append(notice.Counts, shortHash(key))
		}
	}
	return notice
}

// nextRequestAt is when it may be asked for the whole.
func (m *member) nextRequestAt() time.Time {
	if m.requested.IsZero() {
		return m.requested
	}
	return m.requested.Add(backoff(requestRetry, min(m.asks, maxRequestDoublings)))
}

// shortHash sums a peer's key up in a comparison.
func shortHash(key PeerKey) uint32 { return uint32(keyHash(key) >> 32) }
