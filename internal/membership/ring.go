package membership

import (
	"hash/fnv"
	"slices"
	"strings"

	"dahlialock/internal/statemachine"
)

// Watchers is the number of members that monitor each member.
const Watchers = 3

// ringPosition returns the position of a name on the ring. The hash is mixed further, since FNV
// alone places similar names close together.
func ringPosition(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// Ring is the list of live members, ordered by the hashes of their names.
type Ring struct {
	members []Member
}

// NewRing returns the ring of a view. It excludes agents, and resting gateways, which should
// remain idle.
func NewRing(members map[string]Member) Ring {
	var ring Ring
	for _, member := range statemachine.Sorted(members) {
		if member.Alive && !member.Resting && member.Kind != KindAgent {
			ring.members = append(ring.members, member)
		}
	}
	slices.SortFunc(ring.members, func(left, right Member) int {
		leftPosition, rightPosition := ringPosition(left.Name), ringPosition(right.Name)
		switch {
		case leftPosition < rightPosition:
			return -1
		case leftPosition > rightPosition:
			return 1
		}
		return strings.Compare(left.Name, right.Name)
	})
	return ring
}

// WatchersOf returns the members that monitor a member. They are the members that follow it on
// the ring, except that not all of them are in one zone if there is a member in another.
func (r Ring) WatchersOf(watched Member) []Member {
	position := ringPosition(watched.Name)
	start, _ := slices.BinarySearchFunc(r.members, position, func(member Member, position uint64) int {
		if ringPosition(member.Name) <= position {
			return -1
		}
		return 1
	})
	// A new view computes the watchers of every member, so the search stops as soon as there
	// are enough. Members that were skipped because of their zone are used if there are too few.
	chosen := make([]Member, 0, Watchers)
	skipped := make([]Member, 0, Watchers)
	zones := map[string]int{}
	for step := range r.members {
		member := r.members[(start+step)%len(r.members)]
		if member.Name == watched.Name {
			continue
		}
		if zones[member.Zone] < Watchers-1 {
			zones[member.Zone]++
			if chosen = append(chosen, member); len(chosen) == Watchers {
				return chosen
			}
		} else if len(skipped) < Watchers {
			skipped = append(skipped, member)
		}
	}
	for _, member := range skipped {
		if len(chosen) >= Watchers {
			break
		}
		chosen = append(chosen, member)
	}
	return chosen
}
