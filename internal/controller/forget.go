// Members that are gone for good are forgotten, so that the control state does not grow
// with the number of machines that were ever replaced. A tombstone of each stays for a
// while: by it an order that was done is known again, and a life that is older than one
// that was known does not take its name. A store that any partition may still need
// is never forgotten.

package controller

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// forgetAfter is for how long a primary sees a member dead before it forgets it.
	forgetAfter = time.Minute
	// tombstoneFloor is how many tombstones are kept at least before the oldest goes;
	// there may be as many as there are members.
	tombstoneFloor = 128
)

// Tombstone is what is left of a member that was forgotten, and since which index.
type Tombstone struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Kind        string
	Address     string
	Disk        string
	Incarnation uint64
	Retired     bool
	At          uint64
}

// member is the member as far as its tombstone tells.
func (t Tombstone) member() membership.Member {
	return membership.Member{
		Name: t.Name, Kind: t.Kind, Address: t.Address, Disk: t.Disk, Incarnation: t.Incarnation, Retiring: t.Retired, Retired: t.Retired,
	}
}

// member finds a member, or what is left of it.
func (s *State) member(name string) (membership.Member, bool) {
	if member, found := s.Members[name]; found {
		return member, true
	}
	if position := s.tombstone(name); position >= 0 {
		return s.Tombstones[position].member(), true
	}
	return membership.Member{}, false
}

func (s *State) tombstone(name string) int {
	return slices.IndexFunc(s.Tombstones, func(each Tombstone) bool { return each.Name == name })
}

// mayForget tells whether nothing refers to a member any more: no process of it, no
// order that is not done, no partition that has a copy on one of its disks or had one,
// and no drain of the configuration in force.
func (s *State) mayForget(departure Departure) bool {
	member, found := s.Members[departure.Name]
	if !found || member.Alive || member.Incarnation != departure.Incarnation || member.Retiring && !member.Retired {
		return false
	}
	if statemachine.Mutated("forget-holders") {
		return true
	}
	return !slices.Contains(s.Drained, member.Name) && (member.Kind != membership.KindStore || !s.needs(member.Name))
}

// needs tells whether any partition names a store, or any disk that it ever had.
func (s *State) needs(store string) bool {
	for _, place := range s.Places {
		if place.HasReplica(store) || slices.ContainsFunc(place.InSync, func(holder string) bool { return strings.HasPrefix(holder, store+"@") }) {
			return true
		}
	}
	return false
}

// applyForget puts a tombstone in a member's place. With the oldest tombstone goes the
// knowledge that it went: whoever is older than that is told everything anew.
func (s *State) applyForget(departure Departure) {
	if !s.mayForget(departure) {
		return
	}
	member := s.Members[departure.Name]
	delete(s.Members, member.Name)
	delete(s.MemberAt, member.Name)
	s.Tombstones = append(s.Tombstones, Tombstone{
		Name: member.Name, Kind: member.Kind, Address: member.Address, Disk: member.Disk,
		Incarnation: member.Incarnation, Retired: member.Retired, At: s.Index,
	})
	if len(s.Tombstones) > max(tombstoneFloor, len(s.Members)) && !statemachine.Mutated("tombstones-for-ever") {
		s.clearTombstone()
	}
}

// clearTombstone takes the oldest tombstone away, those of stores that were emptied by
// order last.
func (s *State) clearTombstone() {
	oldest := max(0, slices.IndexFunc(s.Tombstones, func(each Tombstone) bool { return !each.Retired }))
	s.WholeAt = max(s.WholeAt, s.Tombstones[oldest].At)
	s.Tombstones = slices.Delete(s.Tombstones, oldest, oldest+1)
}

// unbury takes the tombstone away of a member that is there again.
func (s *State) unbury(name string) {
	if position := s.tombstone(name); position >= 0 {
		s.Tombstones = slices.Delete(s.Tombstones, position, position+1)
	}
}

// forgettable lists the members that this primary has seen dead for long enough.
func (c *Controller) forgettable(now time.Time) []Departure {
	var gone []Departure
	for name, member := range statemachine.Sorted(c.state.Members) {
		if member.Alive {
			delete(c.dead, name)
			continue
		}
		since, seen := c.dead[name]
		if !seen || since.incarnation != member.Incarnation {
			c.dead[name] = reported{at: now, incarnation: member.Incarnation}
			continue
		}
		departure := Departure{Name: name, Incarnation: member.Incarnation}
		if now.Sub(since.at) >= forgetAfter && c.state.mayForget(departure) {
			gone = append(gone, departure)
		}
	}
	return gone
}

// forgetStrangers drops what this primary holds of names that are no members and have
// not been heard for a while.
func (c *Controller) forgetStrangers(now time.Time) {
	for name, heard := range c.heard {
		if _, found := c.state.Members[name]; found || now.Sub(heard) < forgetAfter {
			continue
		}
		delete(c.heard, name)
		delete(c.loads, name)
		delete(c.orders, name)
		delete(c.lags, name)
		delete(c.dead, name)
	}
}
