package gateway

import (
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/partition"
)

const (
	// verifyEvery is the usual time between verifications, gapTimeout how long a missing record may
	// take to come before it is fetched.
	verifyEvery = time.Second
	gapTimeout  = 40 * time.Millisecond
	// followEvery is how often high watermarks are subscribed to again.
	followEvery = 2 * time.Second
	// maxSkippedOffsets bounds the offsets that a fetch names as present.
	maxSkippedOffsets = 2048
	// cycleTimeout is after what time a record is delivered although it depends on one that was not:
	// if all partitions are verified, only a cycle of dependencies can hold it back for so long.
	cycleTimeout = 8 * time.Second
	// maxImmediateScan is up to how many pending records each copy causes a scan of them; above it
	// there is one scan each deliverInterval.
	maxImmediateScan = 64
	deliverInterval  = 20 * time.Millisecond
)

// trackedInterest is an interest in the topics of a partition.
type trackedInterest struct {
	interest Interest
	// subscriptions is how many sessions have the interest; it is never 0.
	subscriptions int
	// since is the offset above which the interest is live, maxOffset until it is.
	since uint64
}

// tracker follows one partition for all subscriptions here.
type tracker struct {
	// name is the name of the partition.
	name string
	// space is the name of the space, spaceName the same with the index at which it was created.
	space     string
	spaceName string
	// shared is set if all topics of the space have one shared order.
	shared    bool
	interests map[Interest]*trackedInterest
	// version rises with each new interest: a verification that began before does not cover it.
	version uint64
	// verified is the offset up to which all matching records were delivered. It never falls. It
	// holds only if started is set, which is when the first interest is live.
	verified uint64
	started  bool
	// highWatermark is the partition's highest offset that is known here.
	highWatermark uint64
	// delivered is when records were delivered, by offset; those up to verified are forgotten after
	// verifyEvery.
	delivered map[uint64]time.Time
	// pending are records that must wait, by offset, pendingSince is since when.
	pending      map[uint64]partition.Record
	pendingSince map[uint64]time.Time
	// verifying is set while a verification is under way, wanted if another is needed.
	verifying bool
	wanted    bool
	// verifiedAt is a moment up to which all records of the partition were here; requestedAt is when
	// the verification under way was sent.
	verifiedAt  time.Time
	requestedAt time.Time
}

// spaceOf splits a partition's name: the space, and the space with its creation index.
func spaceOf(name string) (space, full string) {
	full, _, _ = strings.Cut(name, "/")
	space, _, _ = strings.Cut(full, "~")
	return space, full
}

// trackerFor returns the tracker of a partition, which it creates if need be.
func (g *Gateway) trackerFor(now time.Time, name string) *tracker {
	present, found := g.trackers[name]
	if !found {
		space, full := spaceOf(name)
		present = &tracker{
			name:         name,
			space:        space,
			spaceName:    full,
			verifiedAt:   now,
			interests:    map[Interest]*trackedInterest{},
			delivered:    map[uint64]time.Time{},
			pending:      map[uint64]partition.Record{},
			pendingSince: map[uint64]time.Time{},
		}
		if state, known := g.spaces[space]; known {
			present.shared = state.space.Order == config.OrderSpace
		}
		g.trackers[name] = present
		g.timers.ArmSooner(timerHighWatermarks, now)
	}
	return present
}

// add adds a subscription with an interest.
func (t *tracker) add(interest Interest) {
	present, found := t.interests[interest]
	if !found {
		present = &trackedInterest{interest: interest, since: maxOffset}
		t.interests[interest] = present
		t.version++
	}
	present.subscriptions++
}

// remove removes a subscription with an interest, and returns whether none is left.
func (t *tracker) remove(interest Interest) bool {
	present, found := t.interests[interest]
	if !found {
		return len(t.interests) == 0
	}
	present.subscriptions--
	if present.subscriptions == 0 {
		delete(t.interests, interest)
	}
	return len(t.interests) == 0
}

// begin notes the offset above which an interest is live.
func (t *tracker) begin(interest Interest, since uint64) {
	if present, found := t.interests[interest]; found && since < present.since {
		present.since = since
	}
	if !t.started {
		t.started = true
		t.verified = since
		t.highWatermark = max(t.highWatermark, since)
	}
}

// startOf returns the offset above which a topic is live here, maxOffset if it is not yet, and
// whether any interest matches it.
func (t *tracker) startOf(topic string) (since uint64, tracked bool) {
	since = maxOffset
	for interest, present := range t.interests {
		if t.shared || interest.matches(topic) {
			tracked = true
			since = min(since, present.since)
		}
	}
	return since, tracked
}

// resolved returns whether a record was delivered here or need not be.
func (t *tracker) resolved(topic string, offset uint64) bool {
	if offset <= t.verified && t.started {
		return true
	}
	if _, delivered := t.delivered[offset]; delivered {
		return true
	}
	since, matters := t.startOf(topic)
	return !matters || offset <= since && since != maxOffset
}

// prune forgets deliveries that the verified offset covers.
func (t *tracker) prune(now time.Time) {
	for offset := range t.pendingSince {
		if _, waits := t.pending[offset]; !waits {
			delete(t.pendingSince, offset)
		}
	}
	for offset, at := range t.delivered {
		if offset <= t.verified && now.Sub(at) > verifyEvery {
			delete(t.delivered, offset)
		}
	}
}

// resolvedUpTo returns whether all records of the partition up to an offset are resolved.
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
