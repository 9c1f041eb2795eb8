// Routed topics. A topic that a route leads to a space keeps one order of its
// own, which the shared partition it lies in gives. So a subscription needs no more
// than the newest offset that it has: what comes next names the topic's message
// before it, and whatever is missing is fetched from the partition's first, for all
// who lack it at once. The first also tells which topics moved, so that a lost
// last message shows. Passing topics take the same order and keep nothing: what
// does not come in time is passed over.

package gateway

import (
	"strconv"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	routedPlane           = config.SharedSpace
	topicCursorPrefix     = "t"
	highWatermarkGrace    = 120 * time.Millisecond
	ephemeralGapTimeout   = 50 * time.Millisecond
	ephemeralReachTimeout = 300 * time.Millisecond
	recentRecords         = 32
	recentBytes           = 32 << 10
	// backlogBytes bounds the recent records of a topic that was just caught up.
	backlogBytes = 256 << 10
	// topicFetchRetry is how long to wait before a store is asked again that does not
	// serve the topic's partition.
	topicFetchRetry = 200 * time.Millisecond
	// retryDoubles is how often the wait for a store's answer doubles: one that is
	// late because a link is full must not be asked for again and again.
	retryDoubles           = 3
	maxPendingTopicRecords = 4096
)

// topicState is a routed topic as this gateway follows it for its channels. Once it
// is live, all of it up to last was handed over to every place that is filled.
type topicState struct {
	name           string
	number         uint64
	partition      string
	space          string
	durable        bool
	subscriptions  []*topicSubscription
	announcedCount int
	live           bool
	last           uint64
	pending        []partition.Record
	pendingSince   time.Time
	// queued is set while it waits for a batch to its store, fetch while it is in one.
	queued bool
	fetch  *topicFetch
	// recent are the newest records, all after recentFrom; until recentUntil they
	// are kept beyond the usual bounds.
	recent      []partition.Record
	recentSize  int
	recentFrom  uint64
	recentUntil time.Time
	wanted      uint64
	checkAt     time.Time
	// missingBytes is how many bytes of its records are known to lack here.
	missingBytes int
	// reservedAfter is the lowest cursor of subscriptions that were refused without
	// an answer of the store, and keep their turn until reservedUntil.
	reservedAfter uint64
	reservedUntil time.Time
}

// topicSubscription is one channel's subscription to a topic, and how far it was handed over.
type topicSubscription struct {
	topic         *topicState
	session       uint64
	index         int
	deliveredUpTo uint64
	resumes       bool
	filling       bool
	request       Subscribe
	deadline      time.Time
}

// routed is all that a gateway holds of routed topics.
type routed struct {
	topics     map[string]*topicState
	numbers    map[uint64]*topicState
	partitions map[string]int
	// reportedUpTo is how far each partition's first told this gateway what moved. It begins
	// with the first topic that is fetched from there: what moved before that is of
	// no use here, and is not asked for.
	reportedUpTo map[string]uint64
	// followRoutes is how heads were last asked for.
	followRoutes map[string]route
	// bases are the offsets above which partitions held all when last heard of.
	bases map[string]uint64
	// batches are what was asked of stores, underway names the one to each store, and
	// queue holds the topics that wait for the next.
	batches       map[uint64]*batch
	batchInFlight map[string]uint64
	queue         []*topicState
	appends       map[uint64]*routedPublication
	sends         map[uint64]*routedPublication
	// accepted is when a publication of this gateway's callers was accepted.
	accepted map[routedKey]time.Time
	// scheduled are the topics with something that waits for a moment to come.
	scheduled map[string]*topicState
}

func newRouted() *routed {
	return &routed{
		topics: map[string]*topicState{}, numbers: map[uint64]*topicState{}, partitions: map[string]int{}, reportedUpTo: map[string]uint64{}, followRoutes: map[string]route{}, bases: map[string]uint64{},
		batches: map[uint64]*batch{}, batchInFlight: map[string]uint64{}, appends: map[uint64]*routedPublication{}, sends: map[uint64]*routedPublication{}, accepted: map[routedKey]time.Time{}, scheduled: map[string]*topicState{},
	}
}

// formatTopicCursor is a topic's cursor: the offset of the message before it.
func formatTopicCursor(offset uint64) string {
	if statemachine.Mutated("place-skips-one") {
		offset++
	}
	return topicCursorPrefix + strconv.FormatUint(offset, 36)
}

func parseTopicCursor(text string) (uint64, bool) {
	if len(text) < 2 || text[:1] != topicCursorPrefix {
		return 0, false
	}
	offset, err := strconv.ParseUint(text[1:], 36, 63)
	return offset, err == nil
}

// isRoutedTopic tells whether a request goes to a routed topic.
func (g *Gateway) isRoutedTopic(space string) bool {
	if space == "" {
		return true
	}
	state, found := g.spaces[space]
	return found && state.space.Order == config.OrderTopic
}

// routeOf names the space of a routed topic; a request that names another space
// than the routes do goes nowhere.
func (g *Gateway) routeOf(space, name string) string {
	target, found := g.config.SpaceForTopic(name)
	if !found || space != "" && space != target {
		return ""
	}
	return target
}

// Subscribing.

// Handing over.

// Fetching.

// Heads.
