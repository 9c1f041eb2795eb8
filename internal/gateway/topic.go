package gateway

import (
	"strconv"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	// routedPlane is the name under which the overlay knows all routed topics.
	routedPlane = config.SharedSpace
	// topicCursorPrefix is the first letter of the cursors of routed topics.
	topicCursorPrefix = "t"
	// highWatermarkGrace is how long a reported record may take to come before it is fetched.
	highWatermarkGrace = 120 * time.Millisecond
	// ephemeralGapTimeout is after what time a gap of an ephemeral topic is skipped.
	ephemeralGapTimeout = 50 * time.Millisecond
	// ephemeralReachTimeout is how long a subscription to an ephemeral topic waits for the overlay.
	ephemeralReachTimeout = 300 * time.Millisecond
	// recentRecords and recentBytes bound the recent records of a topic.
	recentRecords = 32
	recentBytes   = 32 << 10
	// backlogBytes bounds the recent records of a topic that was just caught up.
	backlogBytes = 256 << 10
	// topicFetchRetry is how long to wait before the next request to a store that does
	// not serve the partition of the topic.
	topicFetchRetry = 200 * time.Millisecond
	// retryDoubles is how often the timeout of a request to a store doubles: a response
	// that is late because a link is full must not be requested again and again.
	retryDoubles = 3
	// maxPendingTopicRecords bounds the pending records of a topic.
	maxPendingTopicRecords = 4096
)

// topicState is a routed topic with subscriptions here. Once it is live, all records up to last
// were delivered to every filled subscription.
type topicState struct {
	// name is the topic, number its hash, by which leaders report that it moved.
	name   string
	number uint64
	// partition is the shared partition in which the topic lies; it follows from the name.
	partition string
	// space is the space to which the routes lead the topic.
	space string
	// durable is the retention of the space; a topic whose retention changes is dropped.
	durable bool
	// subscriptions are those of the sessions here, in no particular order; each knows its index.
	subscriptions []*topicSubscription
	// announcedCount is the subscriber count that was last reported to the overlay.
	announcedCount int
	// live is set once the offset is known from which on records are delivered; last is the newest
	// delivered offset.
	live bool
	last uint64
	// pending are records whose predecessor has not come, by offset; pendingSince is when the wait
	// for that began.
	pending      []partition.Record
	pendingSince time.Time
	// queued is set while the topic waits for a batch to its store, fetch while it is in one.
	queued bool
	fetch  *topicFetch
	// recent are the newest delivered records, all above recentFrom. Until recentUntil they are
	// retained beyond the usual bounds.
	recent      []partition.Record
	recentSize  int
	recentFrom  uint64
	recentUntil time.Time
	// wanted is the highest offset that the topic is known to have; checkAt is when to fetch if it
	// has not come by then, zero if it has.
	wanted  uint64
	checkAt time.Time
	// missingBytes is how many bytes of records are known to be missing here.
	missingBytes int
	// reservedAfter is the lowest cursor of the subscriptions that were rejected without a response
	// of the store. They keep their turn until reservedUntil.
	reservedAfter uint64
	reservedUntil time.Time
}

// topicSubscription is one session's subscription to a routed topic.
type topicSubscription struct {
	topic *topicState
	// session is the number of the session.
	session uint64
	// index is the position in the topic's subscriptions.
	index int
	// deliveredUpTo is the newest delivered offset. It never falls, and is the cursor of the
	// subscription.
	deliveredUpTo uint64
	// resumes is set if it began with a cursor.
	resumes bool
	// filling is set until this gateway has all records above deliveredUpTo; live records are not
	// delivered to it before.
	filling bool
	// request is the request of the client; its number is 0 once it was answered.
	request Subscribe
	// deadline is when a subscription that is still unconfirmed is rejected.
	deadline time.Time
}

// routed is the state of all routed topics of a gateway.
type routed struct {
	// topics are the topics with subscriptions or a reservation, by name; numbers are the same ones
	// by hash.
	topics  map[string]*topicState
	numbers map[uint64]*topicState
	// partitions is how many durable topics lie in each shared partition.
	partitions map[string]int
	// reportedUpTo is up to which offset the leader of each partition has reported to this gateway
	// which topics moved. It begins with the first topic that is fetched from there: what moved
	// before that is of no use here.
	reportedUpTo map[string]uint64
	// followRoutes is the route by which each partition's high watermarks were last subscribed to.
	followRoutes map[string]route
	// bases are the offsets above which the partitions had all records at their last response.
	bases map[string]uint64
	// batches are the requests that await a response, by number; batchInFlight names the one to each
	// store, and queue holds the topics that wait for the next.
	batches       map[uint64]*batch
	batchInFlight map[string]uint64
	queue         []*topicState
	// appends are the publications that are being appended, by publication; sends are the same ones
	// by the number of each unanswered send.
	appends map[uint64]*routedPublication
	sends   map[uint64]*routedPublication
	// accepted is when a publication of a client here was accepted, for acceptedRetention.
	accepted map[routedKey]time.Time
	// scheduled are the topics with a tick to come.
	scheduled map[string]*topicState
}

// newRouted returns the state without any topic.
func newRouted() *routed {
	return &routed{
		topics:        map[string]*topicState{},
		numbers:       map[uint64]*topicState{},
		partitions:    map[string]int{},
		reportedUpTo:  map[string]uint64{},
		followRoutes:  map[string]route{},
		bases:         map[string]uint64{},
		batches:       map[uint64]*batch{},
		batchInFlight: map[string]uint64{},
		appends:       map[uint64]*routedPublication{},
		sends:         map[uint64]*routedPublication{},
		accepted:      map[routedKey]time.Time{},
		scheduled:     map[string]*topicState{},
	}
}

// formatTopicCursor returns the cursor of a routed topic: the offset of the newest delivered
// record.
func formatTopicCursor(offset uint64) string {
	if statemachine.Mutated("place-skips-one") {
		offset++
	}
	return topicCursorPrefix + strconv.FormatUint(offset, 36)
}

// parseTopicCursor returns the offset of a cursor, and whether it is well-formed.
func parseTopicCursor(text string) (uint64, bool) {
	if len(text) < 2 || text[:1] != topicCursorPrefix {
		return 0, false
	}
	offset, err := strconv.ParseUint(text[1:], 36, 63)
	return offset, err == nil
}

// isRoutedTopic returns whether a request that names a space goes to a routed topic.
func (g *Gateway) isRoutedTopic(space string) bool {
	if space == "" {
		return true
	}
	state, found := g.spaces[space]
	return found && state.space.Order == config.OrderTopic
}

// routeOf returns the space of a routed topic. It is empty if no route matches, or if the request
// names another space than the routes do.
func (g *Gateway) routeOf(space, name string) string {
	target, found := g.config.SpaceForTopic(name)
	if !found || space != "" && space != target {
		return ""
	}
	return target
}
