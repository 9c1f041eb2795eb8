package partition

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// unassignedRetention is how long a log that no placement needs is kept. If the store is assigned
// the partition again within this time, after the loss of another store, it is sent only the
// records that it missed instead of a snapshot; later the leader is unlikely to have retained
// those.
//
// An unassigned log never counts as a replica: the placement lists the replicas that have all
// accepted records, and a follower's log is compared with the leader's by offset and epoch before
// anything is appended to it.
const unassignedRetention = 30 * time.Second

// releaseReplicas marks the replicas that no placement needs as unassigned, and drops those of
// partitions that have no placement any more.
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
			s.dropReplica(name, partition, effects)
		}
	}
}

// dropUnassigned drops the replicas that have been unassigned for unassignedRetention.
func (s *Store) dropUnassigned(now time.Time, effects *statemachine.Effects) {
	for name, partition := range statemachine.Sorted(s.replicas) {
		if !partition.unassignedSince.IsZero() && now.Sub(partition.unassignedSince) > unassignedRetention {
			s.dropReplica(name, partition, effects)
		}
	}
}

// dropReplica answers the pending appends of a replica and removes the replica from memory and
// disk.
func (s *Store) dropReplica(name string, partition *replica, effects *statemachine.Effects) {
	s.failPending(partition, CodeReplicaRemoved, effects)
	delete(s.replicas, name)
	s.logEntry(diskEntry{Partition: name, Drop: true})
}
