package membership

import (
	"hash/fnv"
	"slices"
	"strings"

	"dahlialock/internal/statemachine"
)

// Watchers is how many members monitor each member.
const Watchers = 3

// ringPosition spreads names evenly over the ring: FNV alone leaves similar names
// close together.
func ringPosition(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// Ring orders the live members by the hash of their names.
type Ring struct {
	members []Member
}

// NewRing returns the ring of a view. Agents are not on it, and neither are resting
// gateways, which are to do almost no work.
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

// WatchersOf returns the members that monitor one: those that follow it on the ring,
// at least one of them in another zone where there is any.
func (r Ring) WatchersOf(watched Member) []Member {
	position := ringPosition(watched.Name)
	start, _ := slices.BinarySearchFunc(r.members, position, func(member Member, position uint64) int {
		if ringPosition(member.Name) <= position {
			return -1
		}
		return 1
	})
	// A new view asks for the watchers of every member, so the walk ends as soon as
	// enough are found. Members skipped for their zone fill up what is missing.
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
