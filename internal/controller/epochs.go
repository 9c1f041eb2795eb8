package controller

import (
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// advanceEpochs begins the next epoch of each partition that a store leads, as a new
// incarnation of the store joins. The new incarnation assigns offsets again that the
// earlier one assigned to records which its disk never had. Only another epoch tells
// messages about the former from messages about the latter. A partition without followers
// needs none: nothing of it was sent to anybody before the disk had it.
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
