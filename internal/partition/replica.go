package partition

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// How long a client is to wait before it appends again to a partition whose followers can't
// acknowledge, in a partition of one space and in a shared one.
const (
	spaceRetryAfter  = 2 * time.Second
	sharedRetryAfter = 200 * time.Millisecond
)

// replica is this store's copy of a partition, as its leader or as a follower.
type replica struct {
	log *log
	// placement is the one of the newest view that named the partition, and placedAt when its
	// epoch came to be known here.
	placement membership.Placement
	placedAt  time.Time
	// syncedOffset is how far this store's disk holds the log.
	syncedOffset uint64
	// followers is what the leader knows of each follower, in the placement's order; nil on
	// followers.
	followers []*followerProgress
	// pending are the appends without an answer, by the offset that they wait for.
	pending map[uint64][]pendingAppend
	// highWatermark is the offset up to which the leader and all followers have synced. Only a
	// leader advances it. It never falls while the process runs, and begins at 0; it counts only
	// while it is established.
	highWatermark uint64
	// servingEpoch is the epoch in which this leader established the high watermark.
	servingEpoch uint64
	// epochStart is the end of the log when the placement's epoch came to be known here. All
	// records up to it may have been accepted in earlier epochs.
	epochStart uint64
	// unassignedSince is when the view was first seen to have no placement that needs this
	// replica; zero while there is one.
	unassignedSince time.Time
}

func newReplica(log *log) *replica {
	return &replica{log: log, pending: map[uint64][]pendingAppend{}}
}

// resetLog replaces the log by an empty one.
func (r *replica) resetLog() *log {
	r.log = newLog(r.log.Name)
	return r.log
}

// established tells whether the leader knows the high watermark of the placement's epoch.
// Only then may it be announced, and records be read.
func (r *replica) established() bool { return r.servingEpoch == r.placement.Epoch }

// replicatedOffset is how far the leader and all followers have synced. It isn't known
// before each follower of the placement has said how far it is.
func (r *replica) replicatedOffset() (offset uint64, known bool) {
	offset = r.syncedOffset
	for _, follower := range r.followers {
		if !follower.known {
			return 0, false
		}
		if !statemachine.Mutated("accept-on-one-disk") {
			offset = min(offset, follower.acknowledged)
		}
	}
	return offset, len(r.followers) == len(r.placement.Followers)
}

// commitLag is the age of the oldest record above the high watermark.
func (r *replica) commitLag(now time.Time) time.Duration {
	if !r.established() {
		return 0
	}
	records := r.log.recordsAfter(r.highWatermark)
	if len(records) == 0 {
		return 0
	}
	return now.Sub(records[0].AppendedAt)
}

// acceptedAll tells whether the newest message of a sender was accepted, so that none of its
// messages with a lower sequence number will be any more.
func (r *replica) acceptedAll(sender *senderState) bool {
	if len(sender.Window) == 0 {
		return true
	}
	return r.established() && sender.Window[len(sender.Window)-1].Offset <= r.highWatermark
}

// retryAfter is when to append again to a partition whose followers can't acknowledge now.
func (r *replica) retryAfter() time.Duration {
	if config.IsShared(r.log.Name) {
		return sharedRetryAfter
	}
	return spaceRetryAfter
}
