package partition

import (
	"hash/fnv"
	"time"
)

// followerProgress is the replication progress of one follower, with a given incarnation and
// disk.
type followerProgress struct {
	name string
	// replicaID identifies the follower and its disk, as in the view.
	replicaID   string
	incarnation uint64
	// positionKnown is set once the follower has reported up to which offset its log matches the
	// leader's.
	positionKnown bool
	// acknowledged is the offset up to which the follower has synced the leader's log. sent is
	// the offset up to which records were sent; it decreases when records are sent again.
	acknowledged uint64
	sent         uint64
	sentAt       time.Time
	// attempts counts the retries since the last response, up to maxReplicateBackoff.
	attempts int
	// inFlight holds the requests that are not acknowledged, in ascending order of offsets.
	inFlight []inFlightBatch
	snapshot snapshotTransfer
}

// inFlightBatch is a replicate request that the follower has not acknowledged yet.
type inFlightBatch struct {
	lastOffset uint64
	sentAt     time.Time
}

// updateFollowers updates the followers to those of the view. The progress of a follower is kept
// while its incarnation and disk stay the same; any other follower is asked for the end of its
// log.
func (s *Store) updateFollowers(partition *replica) {
	var followers []*followerProgress
	for _, name := range partition.placement.Followers {
		follower := s.followerProgress(partition, name)
		if !follower.positionKnown {
			s.toReplicate[partition.log.Name] = true
		}
		followers = append(followers, follower)
	}
	partition.followers = followers
	if len(followers) == 0 && !partition.placement.Complete {
		s.toReplicate[partition.log.Name] = true
	}
}

// followerProgress returns the progress of a follower. It is reset if the view names another
// incarnation or disk of the follower.
func (s *Store) followerProgress(partition *replica, name string) *followerProgress {
	member := s.view.Members[name]
	current := &followerProgress{name: name, replicaID: member.ReplicaID(), incarnation: member.Incarnation}
	for _, earlier := range partition.followers {
		same := earlier.replicaID == current.replicaID && earlier.incarnation == current.incarnation
		if earlier.name == name && same {
			current = earlier
		}
	}
	return current
}

// followersAlive reports whether the view lists all followers as alive.
func (s *Store) followersAlive(partition *replica) bool {
	for _, name := range partition.placement.Followers {
		if !s.view.Members[name].Alive {
			return false
		}
	}
	return true
}

// followerAt returns the follower that sent a response, or nil if the response didn't come from a
// follower with the disk in the view. What another disk of the same store has synced doesn't
// count.
func (s *Store) followerAt(partition *replica, address string, hash uint32) *followerProgress {
	for _, follower := range partition.followers {
		member := s.view.Members[follower.name]
		if member.Alive && member.Address == address && replicaHash(follower.replicaID) == hash {
			return follower
		}
	}
	return nil
}

// replicaHash returns a short hash of a replica's ID for responses that must be small.
func replicaHash(replicaID string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(replicaID))
	return sum.Sum32()
}
