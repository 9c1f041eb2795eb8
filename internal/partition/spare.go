// Spare logs: a store that nobody counts on for a partition any more keeps its log
// for a while. If it is named again soon, after another loss, it needs only what came
// meanwhile instead of the whole. A spare log never counts as a copy: who holds what
// was accepted stands in the placement, and what a follower has is compared with the
// first's log by offset and epoch before anything is added to it.

package partition

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// spareFor is how long a log is kept that nobody counts on. Later little of it would be
// among what the first still holds.
const spareFor = 30 * time.Second

// release looks at which logs nobody counts on, and drops those that were spare for
// long and those of partitions that are no more.
func (s *Store) release(now time.Time, effects *statemachine.Effects) {
	for name, partition := range statemachine.Sorted(s.partitions) {
		place, placed := s.follower.Placements[name]
		switch {
		case placed && (place.HasReplica(s.settings.Self.Name) || slices.Contains(place.InSync, s.holder())):
			partition.spare = time.Time{}
		case partition.spare.IsZero():
			s.giveUp(partition, "removed", effects)
			partition.spare = now
		}
		if !placed || statemachine.Mutated("no-spare-logs") && !partition.spare.IsZero() {
			s.drop(name, partition, effects)
		}
	}
}

// dropSpares drops the logs that were spare for long.
func (s *Store) dropSpares(now time.Time, effects *statemachine.Effects) {
	for name, partition := range statemachine.Sorted(s.partitions) {
		if !partition.spare.IsZero() && now.Sub(partition.spare) > spareFor {
			s.drop(name, partition, effects)
		}
	}
}

func (s *Store) drop(name string, partition *held, effects *statemachine.Effects) {
	s.giveUp(partition, "removed", effects)
	delete(s.partitions, name)
	s.log(diskEntry{Partition: name, Drop: true}, nil)
}
