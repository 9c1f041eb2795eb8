package partition

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

func (s *Store) handleViewUpdate(now time.Time, news membership.ViewUpdate, effects *statemachine.Effects) {
	taken := s.view.HandleUpdate(now, news)
	if taken.Document {
		s.applyConfiguration(now)
	}
	if !taken.View {
		return
	}
	s.detector.SetView(now, s.view.Members, s.view.Upstream(), s.view.Index)
	firsts, followers := 0, 0
	for name, place := range statemachine.Sorted(s.view.Placements) {
		mine := place.HasReplica(s.settings.Self.Name)
		partition, found := s.replicas[name]
		if !found && mine {
			partition = newReplica(newLog(name))
			s.replicas[name] = partition
			found = true
		}
		if !found {
			continue
		}
		if mine && place.Leader == s.settings.Self.Name {
			firsts++
		} else if mine {
			followers++
		}
		s.applyPlacement(now, partition, place, effects)
	}
	s.releaseReplicas(now, effects)
	s.pruneDelays()
	if s.view.Members[s.settings.Self.Name].Degraded {
		s.timers.ArmSooner("probe", now.Add(diskProbeInterval))
	}
	if firsts != s.leaderCount || followers != s.followerCount {
		s.leaderCount, s.followerCount = firsts, followers
		effects.Emit(logevent.PartitionLeader, "partitions", firsts, "follower", followers)
	}
}

func (s *Store) applyPlacement(now time.Time, partition *replica, place membership.Placement, effects *statemachine.Effects) {
	changed := place.Epoch != partition.placement.Epoch
	completed := place.Complete && !partition.placement.Complete
	partition.placement = place
	if changed {
		if place.Leader != s.settings.Self.Name {
			s.failPending(partition, "moved", effects)
		}
		partition.followers = nil
		partition.placedAt = now
		partition.servingEpoch = 0
		partition.epochStart, _ = partition.log.end()
	}
	if place.Leader == s.settings.Self.Name {
		s.updateFollowers(partition)
	} else if first, found := s.view.Members[place.Leader]; changed && found && slices.Contains(place.Followers, s.settings.Self.Name) {
		// The first may have asked before this news came.
		s.sendMismatch(partition, first.Address, effects)
	}
	if completed && place.Leader == s.settings.Self.Name {
		s.advanceHighWatermark(now, partition, effects)
	}
}

// isLeader tells whether this store, with the disk that it has now, may act as
// a partition's first: a store whose disk was wiped is named first by news that
// does not know of it yet, and holds nothing. Nor does an epoch hold for a life
// that is not a member yet: it was begun for an earlier one.
func (s *Store) isLeader(partition *replica) bool {
	return partition.placement.Leader == s.settings.Self.Name && slices.Contains(partition.placement.InSync, s.replicaID()) && s.isMember()
}

// isMember tells whether the view names this life of the store.
func (s *Store) isMember() bool {
	return s.view.Members[s.settings.Self.Name].Incarnation == s.settings.Self.Incarnation ||
		statemachine.Mutated("one-epoch-for-all-lives")
}
