package partition

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// committedAll tells whether a sender's newest message is accepted, so that nothing
// of it with a lower seq ever will be.
func (h *replica) committedAll(sender *senderState) bool {
	if len(sender.Window) == 0 {
		return true
	}
	return h.servingEpoch == h.placement.Epoch && sender.Window[len(sender.Window)-1].Offset <= h.highWatermark
}

// replicatedOffset is how far all named copies reach, as far as that is known.
func (h *replica) replicatedOffset() (uint64, bool) {
	all := h.syncedOffset
	for _, copied := range h.followers {
		if !copied.known {
			return 0, false
		}
		if !statemachine.Mutated("accept-on-one-disk") {
			all = min(all, copied.acknowledged)
		}
	}
	return all, len(h.followers) == len(h.placement.Followers)
}

// commitLag is for how long the oldest message that is not accepted has waited.
func (h *replica) commitLag(now time.Time) time.Duration {
	if records := h.log.recordsAfter(h.highWatermark); len(records) > 0 && h.servingEpoch == h.placement.Epoch {
		return now.Sub(records[0].AppendedAt)
	}
	return 0
}

func (h *replica) resetLog() *log {
	h.log = newLog(h.log.Name)
	return h.log
}

type replica struct {
	log           *log
	placement     membership.Placement
	placedAt      time.Time
	syncedOffset  uint64
	followers     []*followerProgress
	pending       map[uint64][]pendingAppend
	highWatermark uint64
	servingEpoch  uint64
	epochStart    uint64
	// unassignedSince is since when nobody counts on this log; zero while somebody does.
	unassignedSince time.Time
}

func newReplica(log *log) *replica { return &replica{log: log, pending: map[uint64][]pendingAppend{}} }

// retryAfter is when to come again to a partition that has too few copies at present.
func (h *replica) retryAfter() time.Duration {
	if config.IsShared(h.log.Name) {
		return sharedRetryAfter
	}
	return retryAfter
}
