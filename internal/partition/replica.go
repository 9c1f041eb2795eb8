package partition

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// The delay after which a client should retry an append to a partition that can't accept records
// at the moment: for a partition of one space, and for a shared partition.
const (
	spaceRetryAfter  = 2 * time.Second
	sharedRetryAfter = 200 * time.Millisecond
)

// replica is the copy of a partition on this store, as its leader or as a follower.
type replica struct {
	log *log
	// placement is that of the newest view that includes the partition. placedAt is when this
	// store learned of its epoch.
	placement membership.Placement
	placedAt  time.Time
	// syncedOffset is the offset up to which this store's disk has synced the log.
	syncedOffset uint64
	// followers is the progress of each follower, in the placement's order; nil on followers.
	followers []*followerProgress
	// pending holds the unanswered appends, by the offset of the record that they wait for.
	pending map[uint64][]pendingAppend
	// highWatermark is the offset up to which the leader and all followers have synced. Only a
	// leader advances it. It starts at 0 and never decreases while the process runs; it is valid
	// only while it is established.
	highWatermark uint64
	// servingEpoch is the epoch in which this leader established the high watermark.
	servingEpoch uint64
	// epochStart is the end of the log when this store learned of the placement's epoch. All
	// records up to it may have been accepted in earlier epochs.
	epochStart uint64
	// unassignedSince is when a view first had no placement that needs this replica; zero while
	// there is one.
	unassignedSince time.Time
}

func newReplica(log *log) *replica {
	return &replica{log: log, pending: map[uint64][]pendingAppend{}}
}

// resetLog replaces the log with an empty one and returns that.
func (r *replica) resetLog() *log {
	r.log = newLog(r.log.Name)
	return r.log
}

// established reports whether the leader has determined the high watermark in the placement's
// epoch. Only then may the high watermark be announced and records be read.
func (r *replica) established() bool { return r.servingEpoch == r.placement.Epoch }

// replicatedOffset returns the offset up to which the leader and all followers have synced. It is
// unknown until each follower of the placement has reported a matching offset.
func (r *replica) replicatedOffset() (offset uint64, known bool) {
	offset = r.syncedOffset
	for _, follower := range r.followers {
		if !follower.positionKnown {
			return 0, false
		}
		if !statemachine.Mutated("accept-on-one-disk") {
			offset = min(offset, follower.acknowledged)
		}
	}
	return offset, len(r.followers) == len(r.placement.Followers)
}

// commitLag returns the age of the oldest record above the high watermark.
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

// newestAccepted reports whether the newest message of a sender was accepted, so that none of its
// messages with a lower sequence number can be accepted any more.
func (r *replica) newestAccepted(sender *senderState) bool {
	if !r.established() {
		return false
	}
	return len(sender.Window) == 0 || sender.Window[len(sender.Window)-1].Offset <= r.highWatermark
}

// retryAfter returns the retry delay of appends to a partition that can't accept records at the
// moment, because its followers can't acknowledge them or the leader's disk rejects writes.
func (r *replica) retryAfter() time.Duration {
	if config.IsShared(r.log.Name) {
		return sharedRetryAfter
	}
	return spaceRetryAfter
}
