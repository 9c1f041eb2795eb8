// Placement decides which keeper holds a strand first and which stands ready as
// its understudy: by rendezvous hashing, in different localities where there
// are two, moving nothing that need not move. A keeper counts as a holder only
// together with the disk on which the accepted messages lie; a strand whose
// holders are all away waits for one of them rather than begin empty.
package pilotage

import (
	"hash/fnv"
	"slices"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
)

func rank(strand, keeper string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(strand))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(keeper))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 29
	return mixed
}

// keepers are those that may be given strands.
func (state *State) keepers() []beacon.Member {
	var keepers []beacon.Member
	for _, member := range helm.Sorted(state.Members) {
		if member.Kind == beacon.KindKeeper && member.Alive && !member.Retiring {
			keepers = append(keepers, member)
		}
	}
	return keepers
}

func rankedKeepers(strand string, keepers []beacon.Member) []beacon.Member {
	slices.SortStableFunc(keepers, func(left, right beacon.Member) int {
		leftRank, rightRank := rank(strand, left.Name), rank(strand, right.Name)
		if leftRank > rightRank {
			return -1
		}
		if leftRank < rightRank {
			return 1
		}
		return 0
	})
	return keepers
}

func understudyFor(first beacon.Member, ranked []beacon.Member, preferred string) (beacon.Member, bool) {
	var best beacon.Member
	score := -1
	for _, member := range ranked {
		if member.Name == first.Name {
			continue
		}
		points := 0
		if member.Locality != first.Locality {
			points += 2
		}
		if member.Name == preferred {
			points += 4
		}
		if points > score {
			best, score = member, points
		}
	}
	return best, score >= 0
}

// plan lists the placements that ought to change.
func (state *State) plan(configuration chart.Configuration) []beacon.Placement {
	var changes []beacon.Placement
	keepers := state.keepers()
	for _, strand := range state.strands(configuration) {
		ranked := rankedKeepers(strand, keepers)
		place, placed := state.Places[strand]
		if !placed {
			if len(ranked) < 2 {
				continue
			}
			understudy, _ := understudyFor(ranked[0], ranked, "")
			changes = append(changes, beacon.Placement{
				Strand: strand, Epoch: state.Index + 1, First: ranked[0].Name, Understudy: understudy.Name, Complete: true,
				Safe: []string{holder(ranked[0]), holder(understudy)},
			})
			continue
		}
		if next, changed := state.replan(place, ranked); changed {
			changes = append(changes, next)
		}
	}
	return changes
}

func (state *State) replan(place beacon.Placement, ranked []beacon.Member) (beacon.Placement, bool) {
	holds := func(name string) bool {
		member, found := state.Members[name]
		return found && member.Alive && slices.Contains(place.Safe, holder(member))
	}
	stays := func(name string) bool { return holds(name) && !state.Members[name].Retiring }
	fit := func(name string) bool {
		member := state.Members[name]
		if !member.Alive || member.Retiring {
			return false
		}
		// While a copy is being made the understudy is not yet a holder; once
		// the strand is complete it must be one, or its disk was lost.
		return !place.Complete || holds(name)
	}
	if stays(place.First) && fit(place.Understudy) {
		return place, false
	}
	candidates := []string{place.First, place.Understudy}
	for _, entry := range place.Safe {
		for name, member := range helm.Sorted(state.Members) {
			if holder(member) == entry {
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
	preferred := ""
	for _, name := range candidates {
		if preferred == "" && name != first && stays(name) {
			preferred = name
		}
	}
	understudy, found := understudyFor(state.Members[first], ranked, preferred)
	if !found || first == place.First && understudy.Name == place.Understudy && !place.Complete {
		return place, false
	}
	next := beacon.Placement{Strand: place.Strand, Epoch: state.Index + 1, First: first, Understudy: understudy.Name}
	for _, entry := range place.Safe {
		if !state.replaced(entry) {
			next.Safe = append(next.Safe, entry)
		}
	}
	return next, true
}

// replaced tells whether a holder's disk is known to be another one now.
func (state *State) replaced(entry string) bool {
	for _, member := range state.Members {
		if len(entry) > len(member.Name) && entry[:len(member.Name)+1] == member.Name+"@" {
			return holder(member) != entry
		}
	}
	return true
}

// refers tells whether any strand still needs a keeper.
func (state *State) refers(keeper string) bool {
	for _, place := range state.Places {
		if place.First == keeper || place.Understudy == keeper {
			return true
		}
		if !place.Complete && slices.Contains(place.Safe, holder(state.Members[keeper])) {
			return true
		}
	}
	return false
}
