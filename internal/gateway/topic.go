package gateway

import (
	"strconv"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	// routedOverlaySpace is the space name under which the overlay manages all routed topics.
	routedOverlaySpace = config.SharedSpace
	// topicCursorPrefix is the first letter of each cursor of a routed topic.
	topicCursorPrefix = "t"
	// highWatermarkGrace is how long the copy of a reported record may take to arrive before the record
	// is fetched.
	highWatermarkGrace = 120 * time.Millisecond
	// ephemeralGapTimeout is how long a gap in an ephemeral topic may last before it is skipped.
	ephemeralGapTimeout = 50 * time.Millisecond
	// ephemeralSubscribeTimeout is how long a subscription to an ephemeral topic waits for the overlay to
	// locate the topic's cell before it is confirmed in any case.
	ephemeralSubscribeTimeout = 300 * time.Millisecond
	// maxRecentRecords and maxRecentBytes bound the recent records of a topic.
	maxRecentRecords = 32
	maxRecentBytes   = 32 << 10
	// maxBacklogBytes bounds the recent records of a topic that has just caught up.
	maxBacklogBytes = 256 << 10
	// topicFetchRetryDelay is the delay before the next request for a topic whose partition the store
	// does not serve.
	topicFetchRetryDelay = 200 * time.Millisecond
	// maxTimeoutDoublings limits how often the timeout of a request to a store doubles. It doubles so
	// that a response that is late because a link is saturated is not requested over and over.
	maxTimeoutDoublings = 3
	// maxPendingTopicRecords bounds the pending records of a topic.
	maxPendingTopicRecords = 4096
)

// topicState is a routed topic with subscriptions at this gateway, or with a reservation. Once started
// is set, all records up to deliveredUpTo were delivered to every subscription that has caught up.
type topicState struct {
	// name is the topic. hash is its hash, by which leaders report new records of the topic.
	name string
	hash uint64
	// partition is the shared partition of the topic, which follows from its name.
	partition string
	// space is the space to which the routes assign the topic.
	space string
	// durable is the retention of the space; a topic whose retention changes is dropped.
	durable bool
	// subscriptions are those of the sessions of this gateway, in no particular order. The index of a
	// subscription is stored in its index field.
	subscriptions []*topicSubscription
	// announcedCount is the subscriber count that was last reported to the overlay.
	announcedCount int
	// started is set once the offset after which records are delivered is known. deliveredUpTo is the
	// newest delivered offset.
	started       bool
	deliveredUpTo uint64
	// pending are the received records whose predecessor in the topic is still missing, in order of
	// offset. pendingSince is when the wait for the first missing record began.
	pending      []partition.Record
	pendingSince time.Time
	// queued is set while the topic waits for the next batch to its store. fetch is its entry in the
	// batch that is in flight, nil if it is in none.
	queued bool
	fetch  *topicFetch
	// recent are the newest delivered records: all above recentFrom. Until recentUntil the larger
	// bound maxBacklogBytes applies to them. recentSize is the size of their data in bytes.
	recent      []partition.Record
	recentSize  int
	recentFrom  uint64
	recentUntil time.Time
	// highestKnown is the highest offset that the topic is known to have. fetchAt is when the records
	// up to there are fetched if they have not arrived, zero if none are missing.
	highestKnown uint64
	fetchAt      time.Time
	// missingBytes is how many bytes of records this gateway still lacks, according to the last
	// response of the store.
	missingBytes int
	// reservedAfter is the lowest cursor of the subscriptions that were rejected because the store did
	// not respond in time. Until reservedUntil the topic continues to be fetched for their retries.
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
	// deliveredUpTo is the newest delivered offset and the cursor of the subscription. It never
	// decreases.
	deliveredUpTo uint64
	// resumes is set if the subscription was requested with a cursor.
	resumes bool
	// catchingUp is set until this gateway has all records above deliveredUpTo. Live records are not
	// delivered to the subscription before that.
	catchingUp bool
	// request is the request of the client; its request number is set to 0 when it is answered before
	// the subscription has caught up.
	request Subscribe
	// deadline is when the subscription is rejected if it is still unconfirmed.
	deadline time.Time
}

// routedState is the state of all routed topics of a gateway.
type routedState struct {
	// topics are the topics with subscriptions or a reservation, by name; topicsByHash are the same
	// topics by hash.
	topics       map[string]*topicState
	topicsByHash map[uint64]*topicState
	// topicCounts is the number of durable topics in topics for each shared partition.
	topicCounts map[string]int
	// reportedUpTo is the offset up to which the leader of each partition has reported to this gateway
	// which topics have new records. It starts at the high watermark of the first fetch from the
	// partition, since reports of earlier records are not needed.
	reportedUpTo map[string]uint64
	// leaderOffsets are the high watermarks that the leaders of the partitions last answered.
	leaderOffsets map[string]leaderOffset
	// highWatermarkRoutes contains the route over which the high watermarks of each partition were last
	// subscribed to.
	highWatermarkRoutes map[string]route
	// baseOffsets are the offsets above which the partitions still had all records at their last
	// response.
	baseOffsets map[string]uint64
	// batches are the requests that await a response, by request number. batchInFlight is the request
	// number of the batch to each store. queue are the topics that wait for the next batch.
	batches       map[uint64]*batch
	batchInFlight map[string]uint64
	queue         []*topicState
	// appends are the publications that are being appended, by publication number; sends are the same
	// publications by the request number of each send without a response.
	appends map[uint64]*routedPublication
	sends   map[uint64]*routedPublication
	// accepted is when each recently accepted publication of a client of this gateway was accepted, so
	// that a retry is accepted at once.
	accepted map[routedKey]time.Time
	// scheduled are the topics with a scheduled tick.
	scheduled map[string]*topicState
}

// newRoutedState returns the state without topics.
func newRoutedState() *routedState {
	return &routedState{
		topics:              map[string]*topicState{},
		topicsByHash:        map[uint64]*topicState{},
		topicCounts:         map[string]int{},
		reportedUpTo:        map[string]uint64{},
		leaderOffsets:       map[string]leaderOffset{},
		highWatermarkRoutes: map[string]route{},
		baseOffsets:         map[string]uint64{},
		batches:             map[uint64]*batch{},
		batchInFlight:       map[string]uint64{},
		appends:             map[uint64]*routedPublication{},
		sends:               map[uint64]*routedPublication{},
		accepted:            map[routedKey]time.Time{},
		scheduled:           map[string]*topicState{},
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

// isRoutedTopic reports whether a request with this space, which may be empty, is for a routed topic.
func (g *Gateway) isRoutedTopic(space string) bool {
	if space == "" {
		return true
	}
	state, found := g.spaces[space]
	return found && state.space.Order == config.OrderTopic
}

// routedSpace returns the space to which the routes assign a topic. It is empty if no route matches, or
// if the request names a different space.
func (g *Gateway) routedSpace(space, name string) string {
	target, found := g.config.SpaceForTopic(name)
	if !found || space != "" && space != target {
		return ""
	}
	return target
}
