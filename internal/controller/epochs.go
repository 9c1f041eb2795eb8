package controller

import (
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// advanceEpochs begins the next epoch of each partition that a store leads, when a new
// incarnation of the store joins. The earlier incarnation may have assigned offsets to records
// that never reached its disk, and the new one assigns these offsets again. Only by another
// epoch are messages about the old records told from messages about the new ones. A partition
// without followers needs none: nothing of it was sent to anybody before the disk had it.
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

// storeRestarted reports whether a store joins with another incarnation than the known one.
func storeRestarted(known, joined membership.Member) bool {
	return joined.Kind == membership.KindStore && known.Incarnation != joined.Incarnation
}
