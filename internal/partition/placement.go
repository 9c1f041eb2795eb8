package partition

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// handleViewUpdate follows the controllers' view: the replicas take the roles that its
// placements give them.
func (s *Store) handleViewUpdate(now time.Time, update membership.ViewUpdate, effects *statemachine.Effects) {
	changed := s.view.HandleUpdate(now, update)
	if changed.Document {
		s.applyConfiguration(now)
	}
	if !changed.View {
		return
	}
	s.detector.SetView(now, s.view.Members, s.view.Index)
	leaders, followers := s.applyPlacements(now, effects)
	s.releaseReplicas(now, effects)
	s.pruneFollowerDelays()
	if s.view.Members[s.settings.Self.Name].Degraded {
		s.timers.ArmSooner(timerProbeDisk, now.Add(diskProbeInterval))
	}
	if leaders != s.leaderCount || followers != s.followerCount {
		s.leaderCount, s.followerCount = leaders, followers
		effects.Emit(logevent.PartitionLeader, "partitions", leaders, "follower", followers)
	}
}

// applyPlacements gives each placement to its replica, which it makes where a placement
// names this store, and counts the replicas by role.
func (s *Store) applyPlacements(now time.Time, effects *statemachine.Effects) (leaders, followers int) {
	for name, placement := range statemachine.Sorted(s.view.Placements) {
		assigned := placement.HasReplica(s.settings.Self.Name)
		partition, found := s.replicas[name]
		if !found && !assigned {
			continue
		}
		if !found {
			partition = s.addReplica(name)
		}
		switch {
		case assigned && placement.Leader == s.settings.Self.Name:
			leaders++
		case assigned:
			followers++
		}
		s.applyPlacement(now, partition, placement, effects)
	}
	return leaders, followers
}

// addReplica makes an empty replica of a partition.
func (s *Store) addReplica(name string) *replica {
	partition := newReplica(newLog(name))
	s.replicas[name] = partition
	return partition
}

// applyPlacement takes over a partition's newest placement. With a new epoch, followers must
// say anew how far they are, and the high watermark must be established anew.
func (s *Store) applyPlacement(
	now time.Time, partition *replica, placement membership.Placement, effects *statemachine.Effects,
) {
	changed := placement.Epoch != partition.placement.Epoch
	completed := placement.Complete && !partition.placement.Complete
	leads := placement.Leader == s.settings.Self.Name
	partition.placement = placement
	if changed {
		if !leads {
			s.failPending(partition, CodeLeaderChanged, effects)
		}
		partition.followers = nil
		partition.placedAt = now
		partition.servingEpoch = 0
		partition.epochStart, _ = partition.log.end()
	}
	if leads {
		s.updateFollowers(partition)
	} else if changed && slices.Contains(placement.Followers, s.settings.Self.Name) {
		// The leader may have asked before this view came here.
		if leader, found := s.view.Members[placement.Leader]; found {
			s.sendMismatch(partition, leader.Address, effects)
		}
	}
	if completed && leads {
		s.advanceHighWatermark(now, partition, effects)
	}
}

// isLeader tells whether this store, with its present disk, may act as a partition's leader.
// A view that doesn't know of the loss of this store's disk may still name it as leader. And
// before this incarnation is a member, the epochs of the view were given to an earlier one.
func (s *Store) isLeader(partition *replica) bool {
	return partition.placement.Leader == s.settings.Self.Name &&
		slices.Contains(partition.placement.InSync, s.replicaID()) &&
		s.isMember()
}

// isFollower tells whether the placement names this store as a follower.
func (s *Store) isFollower(partition *replica) bool {
	return slices.Contains(partition.placement.Followers, s.settings.Self.Name)
}

// isMember tells whether the view names this incarnation of the store.
func (s *Store) isMember() bool {
	return s.view.Members[s.settings.Self.Name].Incarnation == s.settings.Self.Incarnation ||
		statemachine.Mutated("one-epoch-for-all-lives")
}

// replicaID names the store with its present disk, as placements do.
func (s *Store) replicaID() string { return s.settings.Self.ReplicaID() }
