package gateway

import (
	"time"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// leaderOffset is the high watermark of a partition as its leader answered it to a request.
type leaderOffset struct {
	offset uint64
	// requestedAt is when the request was first sent. All records that were accepted before that are
	// at or below offset.
	requestedAt time.Time
}

// applyLeaderOffsets applies the high watermarks in the response to a batch.
func (g *Gateway) applyLeaderOffsets(answered *batch, response partition.FetchTopicsResponse) {
	for _, state := range response.Partitions {
		placement, placed := g.viewClient.Placements[state.Partition]
		if !placed || state.Epoch < placement.Epoch {
			continue
		}
		if g.routed.leaderOffsets[state.Partition].requestedAt.Before(answered.createdAt) {
			g.routed.leaderOffsets[state.Partition] = leaderOffset{
				offset:      state.HighWatermark,
				requestedAt: answered.createdAt,
			}
		}
	}
}

// startOffset returns the offset at which a subscription without a cursor may begin, and whether one
// is known: the cursor that its client is given must not lie far before the records that were
// accepted earlier. The reports of a leader are no evidence of that, since their age is unknown.
func (g *Gateway) startOffset(now time.Time, name string) (offset uint64, known bool) {
	if statemachine.Mutated("starts-at-any-report") {
		return g.routed.reportedUpTo[name], true
	}
	answered, found := g.routed.leaderOffsets[name]
	if !found || now.Sub(answered.requestedAt) > partition.MaxOffsetAge {
		return 0, false
	}
	return max(answered.offset, g.routed.reportedUpTo[name]), true
}
