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
	// removalDelay is for how long a primary sees a member dead before it forgets it.
	removalDelay = time.Minute
	// minTombstones is how many tombstones are kept at least before the oldest goes;
	// there may be as many as there are members.
	minTombstones = 128
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
	RemovedAt   uint64
}

// member is the member as far as its tombstone tells.
func (t Tombstone) member() membership.Member {
	return membership.Member{
		Name: t.Name, Kind: t.Kind, Address: t.Address, Disk: t.Disk, Incarnation: t.Incarnation, Retiring: t.Retired, Retired: t.Retired,
	}
}

// memberOrTombstone finds a member, or what is left of it.
func (s *State) memberOrTombstone(name string) (membership.Member, bool) {
	if member, found := s.Members[name]; found {
		return member, true
	}
	if position := s.tombstoneIndex(name); position >= 0 {
		return s.Tombstones[position].member(), true
	}
	return membership.Member{}, false
}

func (s *State) tombstoneIndex(name string) int {
	return slices.IndexFunc(s.Tombstones, func(each Tombstone) bool { return each.Name == name })
}

// mayRemove tells whether nothing refers to a member any more: no process of it, no
// order that is not done, no partition that has a copy on one of its disks or had one,
// and no drain of the configuration in force.
func (s *State) mayRemove(departure MemberIncarnation) bool {
	member, found := s.Members[departure.Name]
	if !found || member.Alive || member.Incarnation != departure.Incarnation || member.Retiring && !member.Retired {
		return false
	}
	if statemachine.Mutated("forget-holders") {
		return true
	}
	return !slices.Contains(s.DrainedGateways, member.Name) && (member.Kind != membership.KindStore || !s.storeReferenced(member.Name))
}

// storeReferenced tells whether any partition names a store, or any disk that it ever had.
func (s *State) storeReferenced(store string) bool {
	for _, place := range s.Placements {
		if place.HasReplica(store) || slices.ContainsFunc(place.InSync, func(holder string) bool { return strings.HasPrefix(holder, store+"@") }) {
			return true
		}
	}
	return false
}

// applyRemoval puts a tombstone in a member's place. With the oldest tombstone goes the
// knowledge that it went: whoever is older than that is told everything anew.
func (s *State) applyRemoval(departure MemberIncarnation) {
	if !s.mayRemove(departure) {
		return
	}
	member := s.Members[departure.Name]
	delete(s.Members, member.Name)
	delete(s.MemberModifiedAt, member.Name)
	s.Tombstones = append(s.Tombstones, Tombstone{
		Name: member.Name, Kind: member.Kind, Address: member.Address, Disk: member.Disk,
		Incarnation: member.Incarnation, Retired: member.Retired, RemovedAt: s.Index,
	})
	if len(s.Tombstones) > max(minTombstones, len(s.Members)) && !statemachine.Mutated("tombstones-for-ever") {
		s.evictTombstone()
	}
}

// evictTombstone takes the oldest tombstone away, those of stores that were emptied by
// order last.
func (s *State) evictTombstone() {
	oldest := max(0, slices.IndexFunc(s.Tombstones, func(each Tombstone) bool { return !each.Retired }))
	s.CompactedAt = max(s.CompactedAt, s.Tombstones[oldest].RemovedAt)
	s.Tombstones = slices.Delete(s.Tombstones, oldest, oldest+1)
}

// dropTombstone takes the tombstone away of a member that is there again.
func (s *State) dropTombstone(name string) {
	if position := s.tombstoneIndex(name); position >= 0 {
		s.Tombstones = slices.Delete(s.Tombstones, position, position+1)
	}
}

// removableMembers lists the members that this primary has seen dead for long enough.
func (c *Controller) removableMembers(now time.Time) []MemberIncarnation {
	var gone []MemberIncarnation
	for name, member := range statemachine.Sorted(c.state.Members) {
		if member.Alive {
			delete(c.deadSince, name)
			continue
		}
		since, seen := c.deadSince[name]
		if !seen || since.incarnation != member.Incarnation {
			c.deadSince[name] = incarnationAt{at: now, incarnation: member.Incarnation}
			continue
		}
		departure := MemberIncarnation{Name: name, Incarnation: member.Incarnation}
		if now.Sub(since.at) >= removalDelay && c.state.mayRemove(departure) {
			gone = append(gone, departure)
		}
	}
	return gone
}

// dropUnknownMembers drops what this primary holds of names that are no members and have
// not been heard for a while.
func (c *Controller) dropUnknownMembers(now time.Time) {
	for name, heard := range c.lastHeard {
		if _, found := c.state.Members[name]; found || now.Sub(heard) < removalDelay {
			continue
		}
		delete(c.lastHeard, name)
		delete(c.loads, name)
		delete(c.directives, name)
		delete(c.slowDisks, name)
		delete(c.deadSince, name)
	}
}
