package partition

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// handleViewUpdate applies an update of the controllers' view: the replicas take the roles that
// its placements assign.
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

// applyPlacements applies each placement to its replica, adds replicas that a placement assigns
// to this store, and counts the replicas by role.
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

// addReplica adds an empty replica of a partition.
func (s *Store) addReplica(name string) *replica {
	partition := newReplica(newLog(name))
	s.replicas[name] = partition
	return partition
}

// applyPlacement applies the newest placement of a partition. In a new epoch, the followers must
// report the ends of their logs again, and the high watermark must be established again.
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
		// The leader may have sent its request before this store received the view.
		if leader, found := s.view.Members[placement.Leader]; found {
			s.sendMismatch(partition, leader.Address, effects)
		}
	}
	if completed && leads {
		s.advanceHighWatermark(now, partition, effects)
	}
}

// isLeader reports whether this store, with its current disk, may act as a partition's leader. A
// view in which the loss of this store's disk isn't recorded yet may still name the store as
// leader. Until the view names this incarnation as a member, the epochs of the placements were
// assigned to an earlier incarnation.
func (s *Store) isLeader(partition *replica) bool {
	return partition.placement.Leader == s.settings.Self.Name &&
		slices.Contains(partition.placement.InSync, s.replicaID()) &&
		s.isMember()
}

// isFollower reports whether the placement names this store as a follower.
func (s *Store) isFollower(partition *replica) bool {
	return slices.Contains(partition.placement.Followers, s.settings.Self.Name)
}

// isMember reports whether the view names this incarnation of the store.
func (s *Store) isMember() bool {
	return s.view.Members[s.settings.Self.Name].Incarnation == s.settings.Self.Incarnation ||
		statemachine.Mutated("one-epoch-for-all-lives")
}

// replicaID identifies the store and its current disk, as in placements.
func (s *Store) replicaID() string { return s.settings.Self.ReplicaID() }
