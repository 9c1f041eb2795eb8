package controller

import (
	"hash/fnv"
	"slices"
	"strings"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Placement chooses the leader of each partition and its followers, whose number is the number
// of stores that may be lost at once. Stores are ranked for each partition by rendezvous
// hashing, replicas are spread over zones where there are enough zones, and replicas are moved
// only when necessary. Replicas are moved away from a degraded store while enough other stores
// are available. Being in sync is a property of a store together with the disk that has the
// accepted records: if all in-sync replicas of a partition are unavailable, the partition
// waits for one of them instead of starting empty.

// Scores of a store as a follower. A store gets at most one of scoreReceiving and scoreInSync.
// Each score exceeds the sum of the lower ones, so that an existing replica outweighs a better
// zone: a replica is placed in another zone only if it has to be moved for another reason.
const (
	// scoreZone is added for a store in a zone that has no replica yet.
	scoreZone = 2
	// scoreReceiving is the score of a store to which the records are being copied.
	scoreReceiving = 4
	// scoreInSync is the score of a store that has all records.
	scoreInSync = 8
)

// rank returns the rendezvous hash of a store for a partition.
func rank(partition, store string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(partition))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(store))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 29
	return mixed
}

// rankStores sorts stores in place by their rank for a partition, the highest first.
func rankStores(partition string, stores []membership.Member) []membership.Member {
	slices.SortStableFunc(stores, func(left, right membership.Member) int {
		leftRank, rightRank := rank(partition, left.Name), rank(partition, right.Name)
		if leftRank > rightRank {
			return -1
		}
		if leftRank < rightRank {
			return 1
		}
		return 0
	})
	return stores
}

// eligibleStores returns the stores that may receive replicas. It includes degraded stores
// only if there are not enough healthy ones.
func (s *State) eligibleStores() []membership.Member {
	var healthy, degraded []membership.Member
	for _, member := range statemachine.Sorted(s.Members) {
		switch {
		case member.Kind != membership.KindStore || !member.Alive || member.Retiring:
		case member.Degraded:
			degraded = append(degraded, member)
		default:
			healthy = append(healthy, member)
		}
	}
	if len(healthy) <= s.Tolerance {
		return append(healthy, degraded...)
	}
	return healthy
}

// chooseFollowers chooses the followers of a leader by score, and among equal scores by rank.
// It returns false if there are too few stores.
func chooseFollowers(
	leader membership.Member, ranked []membership.Member, count int, score func(name string) int,
) ([]string, bool) {
	var chosen []string
	zones := map[string]bool{leader.Zone: true}
	for range count {
		var best membership.Member
		bestScore := -1
		for _, member := range ranked {
			if member.Name == leader.Name || slices.Contains(chosen, member.Name) {
				continue
			}
			memberScore := score(member.Name)
			if !zones[member.Zone] {
				memberScore += scoreZone
			}
			if memberScore > bestScore {
				best, bestScore = member, memberScore
			}
		}
		if bestScore < 0 {
			return chosen, false
		}
		chosen = append(chosen, best.Name)
		zones[best.Zone] = true
	}
	return chosen, true
}

// planPlacements returns the placements that have to be added or changed.
func (s *State) planPlacements(configuration config.Configuration) []membership.Placement {
	var changes []membership.Placement
	stores := s.eligibleStores()
	for _, partition := range s.partitionNames(configuration) {
		ranked := rankStores(partition, stores)
		if placement, placed := s.Placements[partition]; placed {
			if next, changed := s.replanPlacement(placement, ranked); changed {
				changes = append(changes, next)
			}
			continue
		}
		if len(ranked) > s.Tolerance {
			changes = append(changes, s.newPlacement(partition, ranked))
		}
	}
	return changes
}

// newPlacement places a partition for the first time. It has no records yet, so all its
// replicas are in sync.
func (s *State) newPlacement(partition string, ranked []membership.Member) membership.Placement {
	noScore := func(string) int { return 0 }
	followers, _ := chooseFollowers(ranked[0], ranked, s.Tolerance, noScore)
	placement := membership.Placement{
		Partition: partition,
		Epoch:     s.Index + 1,
		Leader:    ranked[0].Name,
		Followers: followers,
		Complete:  true,
	}
	placement.InSync = s.replicaIDs(placement)
	return placement
}

// replanning plans the next epoch of a partition that already has a placement.
type replanning struct {
	state     *State
	placement membership.Placement
	// ranked are the stores that may receive replicas, the highest rank first.
	ranked []membership.Member
}

// replanPlacement plans the next epoch of a partition, if its placement has to change.
func (s *State) replanPlacement(
	placement membership.Placement, ranked []membership.Member,
) (next membership.Placement, changed bool) {
	plan := replanning{state: s, placement: placement, ranked: ranked}
	if !plan.needed() {
		return placement, false
	}
	leader, found := plan.chooseLeader()
	if !found {
		return placement, false
	}
	followerCount := s.Tolerance
	if !plan.inSyncAndEligible(leader) {
		// No eligible store is in sync. The records must be copied to an eligible store before
		// the leader can be replaced.
		followerCount = max(followerCount, 1)
	}
	followers, enough := chooseFollowers(s.Members[leader], ranked, followerCount, plan.score)
	if !enough {
		return placement, false
	}
	unchanged := leader == placement.Leader && slices.Equal(sorted(followers), sorted(placement.Followers))
	if unchanged && !placement.Complete {
		return placement, false
	}
	next = membership.Placement{
		Partition: placement.Partition,
		Epoch:     s.Index + 1,
		Leader:    leader,
		Followers: followers,
	}
	for _, replica := range placement.InSync {
		if !s.diskReplaced(replica) {
			next.InSync = append(next.InSync, replica)
		}
	}
	return next, true
}

// inSync reports whether a store is alive and has all records on its current disk.
func (r replanning) inSync(name string) bool {
	member, found := r.state.Members[name]
	return found && member.Alive && slices.Contains(r.placement.InSync, member.ReplicaID())
}

// eligible reports whether a store may receive a replica.
func (r replanning) eligible(name string) bool {
	return slices.ContainsFunc(r.ranked, func(member membership.Member) bool { return member.Name == name })
}

// inSyncAndEligible reports whether a store is in sync and may keep its replica.
func (r replanning) inSyncAndEligible(name string) bool { return r.inSync(name) && r.eligible(name) }

// mayRemainFollower reports whether a store may remain a follower. A follower of an incomplete placement need
// not be in sync, as records are still being copied to it. In a complete placement a follower
// that is not in sync has lost its disk.
func (r replanning) mayRemainFollower(name string) bool {
	return r.eligible(name) && (!r.placement.Complete || r.inSync(name))
}

// needed reports whether the placement has to change.
func (r replanning) needed() bool {
	mustBeReplaced := func(name string) bool { return !r.mayRemainFollower(name) }
	if !r.inSyncAndEligible(r.placement.Leader) || slices.ContainsFunc(r.placement.Followers, mustBeReplaced) {
		return true
	}
	return r.placement.Complete && len(r.placement.Followers) != r.state.Tolerance
}

// chooseLeader chooses an in-sync replica as the leader: one that may stay if possible, and
// otherwise any. In both cases it prefers the current leader, then the followers, then other
// stores with an in-sync replica. It returns false if no in-sync replica is alive.
func (r replanning) chooseLeader() (leader string, found bool) {
	candidates := append([]string{r.placement.Leader}, r.placement.Followers...)
	for _, replica := range r.placement.InSync {
		for name, member := range statemachine.Sorted(r.state.Members) {
			if member.ReplicaID() == replica {
				candidates = append(candidates, name)
			}
		}
	}
	for _, condition := range []func(string) bool{r.inSyncAndEligible, r.inSync} {
		if position := slices.IndexFunc(candidates, condition); position >= 0 {
			return candidates[position], true
		}
	}
	return "", false
}

// score returns the score of a store as a follower, without scoreZone.
func (r replanning) score(name string) int {
	switch {
	case r.inSyncAndEligible(name):
		return scoreInSync
	case slices.Contains(r.placement.Followers, name) && r.mayRemainFollower(name):
		return scoreReceiving
	}
	return 0
}

func sorted(names []string) []string {
	names = slices.Clone(names)
	slices.Sort(names)
	return names
}

// diskReplaced reports whether the store of a replica is unknown or has another disk now.
func (s *State) diskReplaced(replica string) bool {
	for _, member := range s.Members {
		if strings.HasPrefix(replica, member.Name+"@") {
			return member.ReplicaID() != replica
		}
	}
	return true
}

// storeInUse reports whether a store has a replica of any partition, or has records that are
// still being copied to other stores.
func (s *State) storeInUse(store string) bool {
	for _, placement := range s.Placements {
		if placement.HasReplica(store) {
			return true
		}
		copying := !placement.Complete && !statemachine.Mutated("done-before-copied")
		if copying && slices.Contains(placement.InSync, s.Members[store].ReplicaID()) {
			return true
		}
	}
	return false
}
