package partition

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// unassignedRetention is for how long a log is kept that no placement needs. If the store is
// named again within it, after another loss, it is sent only the records that it missed
// instead of a snapshot; later the leader would hardly hold those any more.
//
// An unassigned log never counts as a replica: the placement says who holds what was accepted,
// and a follower's log is compared with the leader's by offset and epoch before anything is
// appended to it.
const unassignedRetention = 30 * time.Second

// releaseReplicas notes which replicas no placement needs, and drops those of partitions that
// are placed nowhere any more.
func (s *Store) releaseReplicas(now time.Time, effects *statemachine.Effects) {
	for name, partition := range statemachine.Sorted(s.replicas) {
		placement, placed := s.view.Placements[name]
		assigned := placement.HasReplica(s.settings.Self.Name) || slices.Contains(placement.InSync, s.replicaID())
		switch {
		case placed && assigned:
			partition.unassignedSince = time.Time{}
		case partition.unassignedSince.IsZero():
			s.failPending(partition, CodeReplicaRemoved, effects)
			partition.unassignedSince = now
		}
		if !placed || statemachine.Mutated("no-spare-logs") && !partition.unassignedSince.IsZero() {
			s.drop(name, partition, effects)
		}
	}
}

// dropUnassigned drops the replicas that were unassigned for unassignedRetention.
func (s *Store) dropUnassigned(now time.Time, effects *statemachine.Effects) {
	for name, partition := range statemachine.Sorted(s.replicas) {
		if !partition.unassignedSince.IsZero() && now.Sub(partition.unassignedSince) > unassignedRetention {
			s.drop(name, partition, effects)
		}
	}
}

func (s *Store) drop(name string, partition *replica, effects *statemachine.Effects) {
	s.failPending(partition, CodeReplicaRemoved, effects)
	delete(s.replicas, name)
	s.logEntry(diskEntry{Partition: name, Drop: true})
}
