package partition

import (
	"hash/fnv"
	"time"
)

// followerProgress is what a leader knows of one follower, as of one incarnation and disk.
type followerProgress struct {
	name string
	// replicaID names the follower with its disk, as the view does.
	replicaID   string
	incarnation uint64
	// known is set once the follower has said how far its log meets the leader's.
	known bool
	// acknowledged is the offset up to which the follower's disk holds the leader's log, and
	// sent the one up to which records were sent. Sent falls back when they are sent again.
	acknowledged uint64
	sent         uint64
	sentAt       time.Time
	// attempts counts the retries since the last response, up to maxReplicateBackoff.
	attempts int
	// inFlight are the requests without acknowledgement, in order of offsets.
	inFlight []inFlightBatch
	snapshot snapshotTransfer
}

// inFlightBatch is a replicate request that the follower didn't acknowledge yet.
type inFlightBatch struct {
	lastOffset uint64
	sentAt     time.Time
}

// updateFollowers follows the view: what is known of a follower counts on while it runs with
// the same incarnation and disk; any other is asked how far its log reaches.
func (s *Store) updateFollowers(partition *replica) {
	var followers []*followerProgress
	for _, name := range partition.placement.Followers {
		follower := s.followerProgress(partition, name)
		if !follower.known {
			s.toReplicate[partition.log.Name] = true
		}
		followers = append(followers, follower)
	}
	partition.followers = followers
	if len(followers) == 0 && !partition.placement.Complete {
		s.toReplicate[partition.log.Name] = true
	}
}

// followerProgress gives what is known of a follower as the view names it.
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

// followersAlive tells whether the view takes all followers for alive.
func (s *Store) followersAlive(partition *replica) bool {
	for _, name := range partition.placement.Followers {
		if !s.view.Members[name].Alive {
			return false
		}
	}
	return true
}

// followerAt finds the follower that a response came from, with the disk that the view
// names; nil if there is none. What another disk of that store holds doesn't count.
func (s *Store) followerAt(partition *replica, address string, hash uint32) *followerProgress {
	for _, follower := range partition.followers {
		member := s.view.Members[follower.name]
		if member.Alive && member.Address == address && replicaHash(follower.replicaID) == hash {
			return follower
		}
	}
	return nil
}

// replicaHash is a short form of a replica's ID for responses that must be small.
func replicaHash(replicaID string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(replicaID))
	return sum.Sum32()
}
