package gateway

import (
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/partition"
)

const (
	// verifyInterval is the usual time between verifications. gapTimeout is how long a missing record
	// may take to arrive before it is fetched.
	verifyInterval = time.Second
	gapTimeout     = 40 * time.Millisecond
	// highWatermarkRenewal is the interval at which the subscriptions to high watermarks are renewed.
	highWatermarkRenewal = 2 * time.Second
	// maxSkippedOffsets bounds the offsets that a fetch lists as already received.
	maxSkippedOffsets = 2048
	// cycleTimeout is how long a record may wait for its dependencies before it is delivered without
	// them. If all partitions are verified, only a cycle of dependencies can delay a record so long.
	cycleTimeout = 8 * time.Second
	// maxImmediateScan is the number of pending records up to which each copy triggers a scan of all of
	// them. With more pending records there is one scan every deliverInterval.
	maxImmediateScan = 64
	deliverInterval  = 20 * time.Millisecond
)

// trackedInterest is an interest that matches topics of a partition.
type trackedInterest struct {
	interest Interest
	// subscriptions is the number of sessions with the interest. It is never 0.
	subscriptions int
	// since is the offset above which the interest is live, or maxOffset until then.
	since uint64
}

// tracker keeps track of the delivered and missing records of one partition, for all subscriptions of
// this gateway.
type tracker struct {
	// name is the name of the partition.
	name string
	// space is the name of the space. spaceName is the name together with the configuration version that
	// created the space.
	space     string
	spaceName string
	// spaceOrdered is set if the records of all topics of the space are delivered in one common order.
	spaceOrdered bool
	interests    map[Interest]*trackedInterest
	// version is incremented with each new interest, which a verification that was started before
	// doesn't cover.
	version uint64
	// verified is the offset up to which all matching records were delivered. It never decreases, and
	// is valid only if started is set. started is set when the first interest becomes live.
	verified uint64
	started  bool
	// highWatermark is the highest known offset of the partition.
	highWatermark uint64
	// delivered contains the delivery time of records by offset. Entries up to verified are removed
	// after verifyInterval.
	delivered map[uint64]time.Time
	// pending are the records that wait for others, by offset. pendingSince is when they began to wait.
	pending      map[uint64]partition.Record
	pendingSince map[uint64]time.Time
	// verifying is set while a verification is in flight. verifyNeeded is set if a further one is needed.
	verifying    bool
	verifyNeeded bool
	// verifiedAt is the time of the latest verification or high watermark request that showed that no
	// record of the partition was missing. requestedAt is when the verification in flight was sent.
	verifiedAt  time.Time
	requestedAt time.Time
}

// spaceOf returns the name of a partition's space, without and with the configuration version that created
// the space.
func spaceOf(name string) (space, spaceName string) {
	spaceName, _, _ = strings.Cut(name, "/")
	space, _, _ = strings.Cut(spaceName, "~")
	return space, spaceName
}

// trackerFor returns the tracker of a partition, and creates it if it doesn't exist yet.
func (g *Gateway) trackerFor(now time.Time, name string) *tracker {
	result, found := g.trackers[name]
	if !found {
		space, spaceName := spaceOf(name)
		result = &tracker{
			name:         name,
			space:        space,
			spaceName:    spaceName,
			verifiedAt:   now,
			interests:    map[Interest]*trackedInterest{},
			delivered:    map[uint64]time.Time{},
			pending:      map[uint64]partition.Record{},
			pendingSince: map[uint64]time.Time{},
		}
		if state, known := g.spaces[space]; known {
			result.spaceOrdered = state.space.Order == config.OrderSpace
		}
		g.trackers[name] = result
		g.timers.ArmSooner(timerHighWatermarks, now)
	}
	return result
}

// addSubscription adds a subscription with an interest.
func (t *tracker) addSubscription(interest Interest) {
	tracked, found := t.interests[interest]
	if !found {
		tracked = &trackedInterest{interest: interest, since: maxOffset}
		t.interests[interest] = tracked
		t.version++
	}
	tracked.subscriptions++
}

// removeSubscription removes a subscription with an interest, and reports whether it was the last one of
// the tracker.
func (t *tracker) removeSubscription(interest Interest) bool {
	tracked, found := t.interests[interest]
	if !found {
		return len(t.interests) == 0
	}
	tracked.subscriptions--
	if tracked.subscriptions == 0 {
		delete(t.interests, interest)
	}
	return len(t.interests) == 0
}

// startInterest records the offset above which an interest is live.
func (t *tracker) startInterest(interest Interest, since uint64) {
	if tracked, found := t.interests[interest]; found && since < tracked.since {
		tracked.since = since
	}
	if !t.started {
		t.started = true
		t.verified = since
		t.highWatermark = max(t.highWatermark, since)
	}
}

// startOf returns the offset above which a topic is delivered live, or maxOffset if it isn't yet, and
// whether an interest matches the topic.
func (t *tracker) startOf(topic string) (since uint64, tracked bool) {
	since = maxOffset
	for interest, present := range t.interests {
		if t.spaceOrdered || interest.matches(topic) {
			tracked = true
			since = min(since, present.since)
		}
	}
	return since, tracked
}

// resolved reports whether a record was delivered, or need not be because no interest covers it.
func (t *tracker) resolved(topic string, offset uint64) bool {
	if offset <= t.verified && t.started {
		return true
	}
	if _, delivered := t.delivered[offset]; delivered {
		return true
	}
	since, tracked := t.startOf(topic)
	return !tracked || offset <= since && since != maxOffset
}

// prune removes the delivery times of verified records and the start times of waits that have ended.
func (t *tracker) prune(now time.Time) {
	for offset := range t.pendingSince {
		if _, stillPending := t.pending[offset]; !stillPending {
			delete(t.pendingSince, offset)
		}
	}
	for offset, at := range t.delivered {
		if offset <= t.verified && now.Sub(at) > verifyInterval {
			delete(t.delivered, offset)
		}
	}
}

// resolvedUpTo reports whether all records of the partition up to an offset are resolved.
func (t *tracker) resolvedUpTo(offset uint64) bool {
	if t.started && offset <= t.verified {
		return true
	}
	for _, present := range t.interests {
		if present.since == maxOffset || present.since < offset {
			return false
		}
	}
	return true
}
