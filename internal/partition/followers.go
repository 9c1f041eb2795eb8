package partition

import (
	"hash/fnv"
	"time"
)

// updateFollowers follows the view: each follower that was not known, or runs anew,
// is asked what it has.
func (s *Store) updateFollowers(partition *replica) {
	var copies []*followerProgress
	for _, name := range partition.placement.Followers {
		member := s.view.Members[name]
		present := &followerProgress{name: name, replicaID: member.ReplicaID(), incarnation: member.Incarnation}
		for _, earlier := range partition.followers {
			if earlier.name == name && earlier.replicaID == present.replicaID && earlier.incarnation == present.incarnation {
				present = earlier
			}
		}
		if !present.known {
			s.toReplicate[partition.log.Name] = true
		}
		copies = append(copies, present)
	}
	partition.followers = copies
	if len(copies) == 0 && !partition.placement.Complete {
		s.toReplicate[partition.log.Name] = true
	}
}

// followersAlive tells whether all followers are there.
func (s *Store) followersAlive(partition *replica) bool {
	for _, name := range partition.placement.Followers {
		if !s.view.Members[name].Alive {
			return false
		}
	}
	return true
}

// followerAt finds the follower that an answer came from, with the disk that the
// view names: what another disk of it held does not count.
func (s *Store) followerAt(partition *replica, from string, holder uint32) *followerProgress {
	for _, copied := range partition.followers {
		if member := s.view.Members[copied.name]; member.Alive && member.Address == from && replicaHash(copied.replicaID) == holder {
			return copied
		}
	}
	return nil
}

func replicaHash(holder string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(holder))
	return sum.Sum32()
}

// followerProgress is what a first knows of one follower's copy: how far it lasts there,
// and what is on its way. Known is set once the follower, as it runs now, has
// said where it stands.
type followerProgress struct {
	name         string
	replicaID    string
	incarnation  uint64
	known        bool
	acknowledged uint64
	sent         uint64
	sentAt       time.Time
	attempts     int
	inFlight     []inFlightBatch
	snapshot     snapshotTransfer
}

// inFlightBatch is a copy that was not acknowledged yet.
type inFlightBatch struct {
	lastOffset uint64
	sentAt     time.Time
}
