// Placement decides which keeper holds a strand first and which stand ready as
// its understudies, as many as keepers may be lost at once: by rendezvous
// hashing, in different localities where there are enough, moving nothing that
// need not move. A keeper whose disk lags behind the others' is emptied, as long
// as there are enough without it. A keeper counts as a holder only
// together with the disk on which the accepted messages lie; a strand whose
// holders are all away waits for one of them rather than begin empty.
package pilotage

import (
	"hash/fnv"
	"slices"
	"time"

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

// keepers are those that may be given strands; ailing ones only where there are
// not enough others.
func (state *State) keepers() []beacon.Member {
	var well, ailing []beacon.Member
	for _, member := range helm.Sorted(state.Members) {
		switch {
		case member.Kind != beacon.KindKeeper || !member.Alive || member.Retiring:
		case member.Ailing:
			ailing = append(ailing, member)
		default:
			well = append(well, member)
		}
	}
	if len(well) <= state.Tolerance {
		return append(well, ailing...)
	}
	return well
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

// understudiesFor chooses the keepers of the other copies: those that have one
// already, then those that are being given one, then other localities.
func understudiesFor(first beacon.Member, ranked []beacon.Member, count int, points func(name string) int) ([]string, bool) {
	var chosen []string
	localities := map[string]bool{first.Locality: true}
	for range count {
		var best beacon.Member
		score := -1
		for _, member := range ranked {
			if member.Name == first.Name || slices.Contains(chosen, member.Name) {
				continue
			}
			sum := points(member.Name)
			if !localities[member.Locality] {
				sum += pointsLocality
			}
			if sum > score {
				best, score = member, sum
			}
		}
		if score < 0 {
			return chosen, false
		}
		chosen = append(chosen, best.Name)
		localities[best.Locality] = true
	}
	return chosen, true
}

// What speaks for a keeper as understudy.
const (
	pointsLocality = 2
	pointsNamed    = 4
	pointsHolder   = 8
)

// plan lists the placements that ought to change.
func (state *State) plan(configuration chart.Configuration) []beacon.Placement {
	var changes []beacon.Placement
	keepers := state.keepers()
	for _, strand := range state.strands(configuration) {
		ranked := rankedKeepers(strand, keepers)
		place, placed := state.Places[strand]
		if placed {
			if next, changed := state.replan(place, ranked); changed {
				changes = append(changes, next)
			}
			continue
		}
		if len(ranked) <= state.Tolerance {
			continue
		}
		understudies, _ := understudiesFor(ranked[0], ranked, state.Tolerance, func(string) int { return 0 })
		place = beacon.Placement{Strand: strand, Epoch: state.Index + 1, First: ranked[0].Name, Understudies: understudies, Complete: true, Safe: []string{ranked[0].Holder()}}
		for _, name := range understudies {
			place.Safe = append(place.Safe, state.Members[name].Holder())
		}
		changes = append(changes, place)
	}
	return changes
}

// replan gives a strand's next epoch, if it needs one: ranked are the keepers
// that may be given strands.
func (state *State) replan(place beacon.Placement, ranked []beacon.Member) (beacon.Placement, bool) {
	holds := func(name string) bool {
		member, found := state.Members[name]
		return found && member.Alive && slices.Contains(place.Safe, member.Holder())
	}
	may := func(name string) bool {
		return slices.ContainsFunc(ranked, func(member beacon.Member) bool { return member.Name == name })
	}
	stays := func(name string) bool { return holds(name) && may(name) }
	// While a copy is being made an understudy is not yet a holder; once the
	// strand is complete it must be one, or its disk was lost.
	fit := func(name string) bool { return may(name) && (!place.Complete || holds(name)) }
	unfit := slices.ContainsFunc(place.Understudies, func(name string) bool { return !fit(name) })
	if stays(place.First) && !unfit && (len(place.Understudies) == state.Tolerance || !place.Complete) {
		return place, false
	}
	candidates := append([]string{place.First}, place.Understudies...)
	for _, entry := range place.Safe {
		for name, member := range helm.Sorted(state.Members) {
			if member.Holder() == entry {
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
	copies := state.Tolerance
	if !stays(first) {
		// Nobody that may stay has it: it must be given to one more first.
		copies = max(copies, 1)
	}
	understudies, enough := understudiesFor(state.Members[first], ranked, copies, func(name string) int {
		switch {
		case stays(name):
			return pointsHolder
		case slices.Contains(place.Understudies, name) && fit(name):
			return pointsNamed
		}
		return 0
	})
	same := first == place.First && slices.Equal(sorted(understudies), sorted(place.Understudies))
	if !enough || same && !place.Complete {
		return place, false
	}
	next := beacon.Placement{Strand: place.Strand, Epoch: state.Index + 1, First: first, Understudies: understudies}
	for _, entry := range place.Safe {
		if !state.replaced(entry) {
			next.Safe = append(next.Safe, entry)
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
func (state *State) replaced(entry string) bool {
	for _, member := range state.Members {
		if len(entry) > len(member.Name) && entry[:len(member.Name)+1] == member.Name+"@" {
			return member.Holder() != entry
		}
	}
	return true
}

// refers tells whether any strand still needs a keeper.
func (state *State) refers(keeper string) bool {
	for _, place := range state.Places {
		if place.Names(keeper) {
			return true
		}
		if !place.Complete && slices.Contains(place.Safe, state.Members[keeper].Holder()) {
			return true
		}
	}
	return false
}

// Spans of ailing: a keeper that was said to lag is left alone for a while.
const (
	laggingFresh = 1200 * time.Millisecond
	ailingFor    = 8 * time.Second
)

// lag is the newest word that a keeper lags.
type lag struct {
	at          time.Time
	incarnation uint64
	delay       time.Duration
}

// recovering is the ailing keeper that has gone longest without a complaint.
func (state *State) recovering(now time.Time, lags map[string]lag) (beacon.Member, bool) {
	var best beacon.Member
	for _, member := range helm.Sorted(state.Members) {
		if !member.Ailing || !member.Alive || member.Retiring || now.Sub(lags[member.Name].at) < laggingFresh {
			continue
		}
		if best.Name == "" || lags[member.Name].at.Before(lags[best.Name].at) {
			best = member
		}
	}
	return best, best.Name != ""
}

// ailments lists the keepers that begin or cease to be taken for ailing, by what
// is told of their disks. There are always left as many as a strand has copies.
func (state *State) ailments(now time.Time, lags map[string]lag) []beacon.Member {
	var changed []beacon.Member
	well := 0
	for _, member := range state.Members {
		if member.Kind == beacon.KindKeeper && member.Alive && !member.Retiring && !member.Ailing {
			well++
		}
	}
	for _, member := range helm.Sorted(state.Members) {
		told, known := lags[member.Name]
		known = known && told.incarnation == member.Incarnation
		switch {
		case member.Kind != beacon.KindKeeper || !member.Alive:
		case member.Ailing && (!known || now.Sub(told.at) > ailingFor):
			member.Ailing = false
			changed = append(changed, member)
		case !member.Ailing && known && now.Sub(told.at) < laggingFresh:
			if well <= state.Tolerance+1 {
				// Another of whom nobody complains any more is needed again.
				recovered, found := state.recovering(now, lags)
				if !found {
					continue
				}
				recovered.Ailing = false
				changed = append(changed, recovered)
				well++
			}
			member.Ailing = true
			changed = append(changed, member)
			well--
			return changed
		}
	}
	return changed
}
