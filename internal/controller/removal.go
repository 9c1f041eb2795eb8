package controller

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Dead members are removed after removalDelay, so that the control state does not grow with the
// number of machines that were ever replaced. A removed member is replaced by a tombstone, which
// serves to recognize retries of a completed retirement order, and to reject the join of an older
// incarnation, until the tombstone is evicted. A store that any partition may still need is not
// removed.

const (
	// removalDelay is how long a member must be dead, as observed by the current primary, before
	// the primary removes it.
	removalDelay = time.Minute

	// minTombstones is the number of tombstones up to which none is evicted. If there are more
	// members than that, the limit is the number of members.
	minTombstones = 128
)

// Tombstone records a removed member. Tombstones are stored, so their fields and the order of
// the fields must not change.
type Tombstone struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Kind        string
	Address     string
	Disk        string
	Incarnation uint64
	Retired     bool
	// RemovedAt is the index of the command that removed the member.
	RemovedAt uint64
}

// member returns the removed member with the fields that the tombstone preserves.
func (t Tombstone) member() membership.Member {
	return membership.Member{
		Name:        t.Name,
		Kind:        t.Kind,
		Address:     t.Address,
		Disk:        t.Disk,
		Incarnation: t.Incarnation,
		Retiring:    t.Retired,
		Retired:     t.Retired,
	}
}

// memberOrTombstone returns a member, or a removed member as restored from its tombstone.
func (s *State) memberOrTombstone(name string) (membership.Member, bool) {
	if member, found := s.Members[name]; found {
		return member, true
	}
	if position := s.tombstoneIndex(name); position >= 0 {
		return s.Tombstones[position].member(), true
	}
	return membership.Member{}, false
}

// tombstoneIndex returns the position of a member's tombstone, or -1.
func (s *State) tombstoneIndex(name string) int {
	return slices.IndexFunc(s.Tombstones, func(tombstone Tombstone) bool { return tombstone.Name == name })
}

// mayRemove reports whether a member may be removed: it is dead, it is not being retired, no
// placement refers to it or to a disk that it had, and the configuration in force does not
// drain it.
func (s *State) mayRemove(removal MemberIncarnation) bool {
	member, found := s.Members[removal.Name]
	if !found || member.Alive || member.Incarnation != removal.Incarnation {
		return false
	}
	if member.Retiring && !member.Retired {
		return false
	}
	if statemachine.Mutated("forget-holders") {
		return true
	}
	if slices.Contains(s.DrainedGateways, member.Name) {
		return false
	}
	return member.Kind != membership.KindStore || !s.storeReferenced(member.Name)
}

// storeReferenced reports whether any placement refers to a store or to a disk that it had.
func (s *State) storeReferenced(store string) bool {
	ofStore := func(replica string) bool { return strings.HasPrefix(replica, store+"@") }
	for _, placement := range s.Placements {
		if placement.HasReplica(store) || slices.ContainsFunc(placement.InSync, ofStore) {
			return true
		}
	}
	return false
}

// applyRemoval replaces a member by its tombstone.
func (s *State) applyRemoval(removal MemberIncarnation) {
	if !s.mayRemove(removal) {
		return
	}
	member := s.Members[removal.Name]
	delete(s.Members, member.Name)
	delete(s.MemberModifiedAt, member.Name)
	s.Tombstones = append(s.Tombstones, Tombstone{
		Name:        member.Name,
		Kind:        member.Kind,
		Address:     member.Address,
		Disk:        member.Disk,
		Incarnation: member.Incarnation,
		Retired:     member.Retired,
		RemovedAt:   s.Index,
	})
	if len(s.Tombstones) > max(minTombstones, len(s.Members)) && !statemachine.Mutated("tombstones-for-ever") {
		s.evictTombstone()
	}
}

// evictTombstone evicts the oldest tombstone; those of retired stores are evicted last. A view
// from before the member's removal can't be updated incrementally any more, see CompactedAt.
func (s *State) evictTombstone() {
	notRetired := func(tombstone Tombstone) bool { return !tombstone.Retired }
	oldest := max(0, slices.IndexFunc(s.Tombstones, notRetired))
	s.CompactedAt = max(s.CompactedAt, s.Tombstones[oldest].RemovedAt)
	s.Tombstones = slices.Delete(s.Tombstones, oldest, oldest+1)
}

// dropTombstone removes the tombstone of a member that has joined again.
func (s *State) dropTombstone(name string) {
	if position := s.tombstoneIndex(name); position >= 0 {
		s.Tombstones = slices.Delete(s.Tombstones, position, position+1)
	}
}

// removableMembers returns the members that have been dead for removalDelay and may be removed.
func (c *Controller) removableMembers(now time.Time) []MemberIncarnation {
	var removable []MemberIncarnation
	for name, member := range statemachine.Sorted(c.state.Members) {
		if member.Alive {
			delete(c.deadSince, name)
			continue
		}
		since, found := c.deadSince[name]
		if !found || since.incarnation != member.Incarnation {
			c.deadSince[name] = incarnationAt{at: now, incarnation: member.Incarnation}
			continue
		}
		removal := MemberIncarnation{Name: name, Incarnation: member.Incarnation}
		if now.Sub(since.at) >= removalDelay && c.state.mayRemove(removal) {
			removable = append(removable, removal)
		}
	}
	return removable
}

// dropUnknownMembers drops the observations of daemons that are not members and have not polled
// for removalDelay.
func (c *Controller) dropUnknownMembers(now time.Time) {
	for name, polled := range c.lastPolled {
		if _, found := c.state.Members[name]; found || now.Sub(polled) < removalDelay {
			continue
		}
		delete(c.lastPolled, name)
		delete(c.loads, name)
		delete(c.directives, name)
		delete(c.slowDisks, name)
		delete(c.deadSince, name)
	}
}
