package controller

import (
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// advanceEpochs advances the epoch of each partition that a store leads when a new incarnation of
// the store joins. The earlier incarnation may have assigned offsets to records that were never
// written to its disk, and the new incarnation reuses these offsets. Only the epoch distinguishes
// messages about the old records from messages about the new ones. A partition without followers
// needs no new epoch, since its records are sent to no other daemon before they are on the
// leader's disk.
func (s *State) advanceEpochs(store string) {
	if statemachine.Mutated("one-epoch-for-all-lives") {
		return
	}
	for _, placement := range statemachine.Sorted(s.Placements) {
		if placement.Leader != store || len(placement.Followers) == 0 {
			continue
		}
		placement.Epoch = s.Index
		s.setPlacement(placement)
	}
}

// storeRestarted reports whether a store joins with a different incarnation than the known one.
func storeRestarted(known, joined membership.Member) bool {
	return joined.Kind == membership.KindStore && known.Incarnation != joined.Incarnation
}
