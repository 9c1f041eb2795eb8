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

// unassignedRetention is how long a log is kept that nobody counts on. Later little of it would be
// among what the first still holds.
const unassignedRetention = 30 * time.Second

// releaseReplicas looks at which logs nobody counts on, and drops those that were spare for
// long and those of partitions that are no more.
func (s *Store) releaseReplicas(now time.Time, effects *statemachine.Effects) {
	for name, partition := range statemachine.Sorted(s.replicas) {
		place, placed := s.view.Placements[name]
		switch {
		case placed && (place.HasReplica(s.settings.Self.Name) || slices.Contains(place.InSync, s.replicaID())):
			partition.unassignedSince = time.Time{}
		case partition.unassignedSince.IsZero():
			s.failPending(partition, "removed", effects)
			partition.unassignedSince = now
		}
		if !placed || statemachine.Mutated("no-spare-logs") && !partition.unassignedSince.IsZero() {
			s.drop(name, partition, effects)
		}
	}
}

// dropUnassigned drops the logs that were spare for long.
func (s *Store) dropUnassigned(now time.Time, effects *statemachine.Effects) {
	for name, partition := range statemachine.Sorted(s.replicas) {
		if !partition.unassignedSince.IsZero() && now.Sub(partition.unassignedSince) > unassignedRetention {
			s.drop(name, partition, effects)
		}
	}
}

func (s *Store) drop(name string, partition *replica, effects *statemachine.Effects) {
	s.failPending(partition, "removed", effects)
	delete(s.replicas, name)
	s.logEntry(diskEntry{Partition: name, Drop: true}, nil)
}
