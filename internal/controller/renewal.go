package controller

import (
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// renewEpochs begins the next epoch of each partition that a store is first of, as a
// new life of that store joins. The new life gives offsets again that the earlier one
// gave to messages which its disk never had, so that only another epoch tells what
// was said of them from what is said now. A partition without other copies needs
// none: nothing of it was sent to anybody before the disk had it.
func (s *State) renewEpochs(store string) {
	if statemachine.Mutated("one-epoch-for-all-lives") {
		return
	}
	for _, place := range statemachine.Sorted(s.Places) {
		if place.Leader != store || len(place.Followers) == 0 {
			continue
		}
		place.Epoch = s.Index
		s.Places[place.Partition], s.PlaceAt[place.Partition] = place, s.Index
	}
}

// beginsAnew tells whether a store joins in another life than the one known before.
func beginsAnew(known, next membership.Member) bool {
	return next.Kind == membership.KindStore && known.Incarnation != next.Incarnation
}
