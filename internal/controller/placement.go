// Placement decides which store holds a partition first and which stand ready as
// its followers, as many as stores may be lost at once: by rendezvous
// hashing, in different zones where there are enough, moving nothing that
// need not move. A store whose disk lags behind the others' is emptied, as long
// as there are enough without it. A store counts as a holder only
// together with the disk on which the accepted messages lie; a partition whose
// holders are all away waits for one of them rather than begin empty.

package controller

import (
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

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

// stores are those that may be given partitions; degraded ones only where there are
// not enough others.
func (s *State) stores() []membership.Member {
	var well, degraded []membership.Member
	for _, member := range statemachine.Sorted(s.Members) {
		switch {
		case member.Kind != membership.KindStore || !member.Alive || member.Retiring:
		case member.Degraded:
			degraded = append(degraded, member)
		default:
			well = append(well, member)
		}
	}
	if len(well) <= s.Tolerance {
		return append(well, degraded...)
	}
	return well
}

func rankedStores(partition string, stores []membership.Member) []membership.Member {
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

// followersFor chooses the stores of the other copies: those that have one
// already, then those that are being given one, then other zones.
func followersFor(first membership.Member, ranked []membership.Member, count int, points func(name string) int) ([]string, bool) {
	var chosen []string
	zones := map[string]bool{first.Zone: true}
	for range count {
		var best membership.Member
		score := -1
		for _, member := range ranked {
			if member.Name == first.Name || slices.Contains(chosen, member.Name) {
				continue
			}
			sum := points(member.Name)
			if !zones[member.Zone] {
				sum += pointsZone
			}
			if sum > score {
				best, score = member, sum
			}
		}
		if score < 0 {
			return chosen, false
		}
		chosen = append(chosen, best.Name)
		zones[best.Zone] = true
	}
	return chosen, true
}

// What speaks for a store as follower.
const (
	pointsZone   = 2
	pointsNamed  = 4
	pointsHolder = 8
)

// plan lists the placements that ought to change.
func (s *State) plan(configuration config.Configuration) []membership.Placement {
	var changes []membership.Placement
	stores := s.stores()
	for _, partition := range s.partitions(configuration) {
		ranked := rankedStores(partition, stores)
		place, placed := s.Places[partition]
		if placed {
			if next, changed := s.replan(place, ranked); changed {
				changes = append(changes, next)
			}
			continue
		}
		if len(ranked) <= s.Tolerance {
			continue
		}
		followers, _ := followersFor(ranked[0], ranked, s.Tolerance, func(string) int { return 0 })
		place = membership.Placement{Partition: partition, Epoch: s.Index + 1, Leader: ranked[0].Name, Followers: followers, Complete: true, InSync: []string{ranked[0].ReplicaID()}}
		for _, name := range followers {
			place.InSync = append(place.InSync, s.Members[name].ReplicaID())
		}
		changes = append(changes, place)
	}
	return changes
}

// replan gives a partition's next epoch, if it needs one: ranked are the stores
// that may be given partitions.
func (s *State) replan(place membership.Placement, ranked []membership.Member) (membership.Placement, bool) {
	holds := func(name string) bool {
		member, found := s.Members[name]
		return found && member.Alive && slices.Contains(place.InSync, member.ReplicaID())
	}
	may := func(name string) bool {
		return slices.ContainsFunc(ranked, func(member membership.Member) bool { return member.Name == name })
	}
	stays := func(name string) bool { return holds(name) && may(name) }
	// While a copy is being made a follower is not yet a holder; once the
	// partition is complete it must be one, or its disk was lost.
	fit := func(name string) bool { return may(name) && (!place.Complete || holds(name)) }
	unfit := slices.ContainsFunc(place.Followers, func(name string) bool { return !fit(name) })
	if stays(place.Leader) && !unfit && (len(place.Followers) == s.Tolerance || !place.Complete) {
		return place, false
	}
	candidates := append([]string{place.Leader}, place.Followers...)
	for _, entry := range place.InSync {
		for name, member := range statemachine.Sorted(s.Members) {
			if member.ReplicaID() == entry {
				candidates = append(candidates, name)
			}
		}
	}
	first := ""
	for _, check := range []func(string) bool{stays, holds} {
		for _, name := range candidates {
			if first == "" && check(name) {
				first = name
			}
		}
	}
	if first == "" {
		return place, false
	}
	copies := s.Tolerance
	if !stays(first) {
		// Nobody that may stay has it: it must be given to one more first.
		copies = max(copies, 1)
	}
	followers, enough := followersFor(s.Members[first], ranked, copies, func(name string) int {
		switch {
		case stays(name):
			return pointsHolder
		case slices.Contains(place.Followers, name) && fit(name):
			return pointsNamed
		}
		return 0
	})
	same := first == place.Leader && slices.Equal(sorted(followers), sorted(place.Followers))
	if !enough || same && !place.Complete {
		return place, false
	}
	next := membership.Placement{Partition: place.Partition, Epoch: s.Index + 1, Leader: first, Followers: followers}
	for _, entry := range place.InSync {
		if !s.replaced(entry) {
			next.InSync = append(next.InSync, entry)
		}
	}
	return next, true
}

func sorted(names []string) []string {
	names = slices.Clone(names)
	slices.Sort(names)
	return names
}

// replaced tells whether a holder's disk is known to be another one now.
func (s *State) replaced(entry string) bool {
	for _, member := range s.Members {
		if len(entry) > len(member.Name) && entry[:len(member.Name)+1] == member.Name+"@" {
			return member.ReplicaID() != entry
		}
	}
	return true
}

// refers tells whether any partition still needs a store.
func (s *State) refers(store string) bool {
	for _, place := range s.Places {
		if place.HasReplica(store) {
			return true
		}
		if !place.Complete && !statemachine.Mutated("done-before-copied") && slices.Contains(place.InSync, s.Members[store].ReplicaID()) {
			return true
		}
	}
	return false
}

// Spans of degraded: a store that was said to lag is left alone for a while.
const (
	laggingFresh = 1200 * time.Millisecond
	degradedFor  = 8 * time.Second
)

// lag is the newest word that a store lags.
type lag struct {
	at          time.Time
	incarnation uint64
	delay       time.Duration
}

// recovering is the degraded store that has gone longest without a complaint.
func (s *State) recovering(now time.Time, lags map[string]lag) (membership.Member, bool) {
	var best membership.Member
	for _, member := range statemachine.Sorted(s.Members) {
		if !member.Degraded || !member.Alive || member.Retiring || now.Sub(lags[member.Name].at) < laggingFresh {
			continue
		}
		if best.Name == "" || lags[member.Name].at.Before(lags[best.Name].at) {
			best = member
		}
	}
	return best, best.Name != ""
}

// degradations lists the stores that begin or cease to be taken for degraded, by
// what is told of their disks. There are always left as many as a partition has
// copies.
func (s *State) degradations(now time.Time, lags map[string]lag) []Degradation {
	var changed []Degradation
	change := func(member membership.Member, degraded bool) {
		changed = append(changed, Degradation{Name: member.Name, Incarnation: member.Incarnation, Degraded: degraded})
	}
	well := s.well()
	for _, member := range statemachine.Sorted(s.Members) {
		told, known := lags[member.Name]
		known = known && told.incarnation == member.Incarnation
		switch {
		case member.Kind != membership.KindStore || !member.Alive:
		case member.Degraded && (!known || now.Sub(told.at) > degradedFor):
			change(member, false)
		case !member.Degraded && known && now.Sub(told.at) < laggingFresh:
			if well <= s.Tolerance+1 {
				// Another of whom nobody complains any more is needed again.
				recovered, found := s.recovering(now, lags)
				if !found {
					continue
				}
				change(recovered, false)
			}
			change(member, true)
			return changed
		}
	}
	return changed
}
