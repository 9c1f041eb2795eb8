// The application of commands: each part is judged by the state that the log's
// order has led to, and changes only the fields that it is about.

package controller

import (
	"fmt"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Apply changes the state by one command; what came of an operator's order in it
// is the state's result until the next.
func (s *State) Apply(_ time.Time, packed []byte) {
	var command Command
	if err := transport.Unmarshal(packed, &command); err != nil {
		panic(err)
	}
	s.Index++
	s.result = orderResult{}
	if command.Configuration != nil {
		s.result = s.applyConfiguration(*command.Configuration)
	}
	if command.Retirement != nil {
		s.result = orderResult{outcome: s.applyRetirement(*command.Retirement)}
	}
	if command.Tolerance != nil {
		s.Tolerance = *command.Tolerance
	}
	for _, departure := range command.Leaves {
		s.applyLeave(departure)
	}
	for _, join := range command.Joins {
		s.applyJoin(join)
	}
	for _, name := range command.RetiredStores {
		s.applyRetired(name)
	}
	s.applyDegradations(command.Degradations)
	for _, rest := range command.RestChanges {
		s.applyRestChange(rest)
	}
	for _, place := range command.Placements {
		s.applyPlacement(place)
	}
	for _, settled := range command.Replicated {
		s.applyReplicated(settled)
	}
	for _, departure := range command.Removals {
		s.applyRemoval(departure)
	}
}

func (s *State) setMember(member membership.Member) {
	s.Members[member.Name], s.MemberModifiedAt[member.Name] = member, s.Index
	s.dropTombstone(member.Name)
}

func (s *State) setPlacement(place membership.Placement) {
	s.Placements[place.Partition], s.PlacementModifiedAt[place.Partition] = place, s.Index
}

// Orders.

func (s *State) applyConfiguration(change ConfigurationChange) orderResult {
	if outcome, found := s.recordedOutcome(change); found {
		return orderResult{outcome: outcome}
	}
	if change.Version <= s.Version {
		if change.HighestWins {
			s.recordDecision(change, true)
		}
		return orderResult{outcome: Superseded}
	}
	configuration, faults := config.Read(change.Document)
	if len(faults) > 0 {
		panic("a command with a faulty configuration")
	}
	if faults := s.drainFaults(configuration); len(faults) > 0 && !statemachine.Mutated("check-then-act") {
		return orderResult{outcome: InvalidConfiguration, faults: faults}
	}
	s.installConfiguration(change, configuration)
	s.recordDecision(change, false)
	return orderResult{outcome: Accepted}
}

// drainFaults looks at what only the cluster can tell: that the gateways to be
// drained exist, and that one would be left.
func (s *State) drainFaults(configuration config.Configuration) []config.Fault {
	if len(configuration.Drains) == 0 {
		return nil
	}
	var faults []config.Fault
	for position, name := range configuration.Drains {
		if member, found := s.Members[name]; !found || member.Kind != membership.KindGateway {
			faults = append(faults, config.Fault{
				Path: fmt.Sprintf("$.drains[%d]", position), Code: "dangling-name", Text: fmt.Sprintf("no gateway is named %q", name),
			})
		}
	}
	for _, member := range s.Members {
		if member.Kind == membership.KindGateway && member.Alive && !slices.Contains(configuration.Drains, member.Name) {
			return faults
		}
	}
	return append(faults, config.Fault{Path: "$.drains", Code: "clash", Text: "no living gateway would be left"})
}

func (s *State) applyRetirement(order Retirement) Outcome {
	member, found := s.memberOrTombstone(order.Store)
	switch {
	case !found || member.Kind != membership.KindStore:
		return UnknownStore
	case member.Retiring == order.Retiring || s.acceptedBefore(order.Order):
		return Duplicate
	case order.Retiring && !s.mayRetire(order.Store) && !statemachine.Mutated("check-then-act"):
		return TooFewStores
	}
	member.Retiring, member.Retired = order.Retiring, false
	s.setMember(member)
	s.recordOrder(order.Order)
	return Accepted
}

// mayRetire tells whether enough other stores would be left without one.
func (s *State) mayRetire(store string) bool {
	others := 0
	for _, other := range s.Members {
		if other.Kind == membership.KindStore && other.Name != store && other.Alive && !other.Retiring {
			others++
		}
	}
	return others > s.Tolerance
}

// Members.

// joinedMember is a member's record once a life of it has joined. An order to empty a
// store holds whatever becomes of its processes and disk, until it is done: then the
// machine is taken away, and one of its name with another disk is a new one.
func (s *State) joinedMember(self membership.Member) membership.Member {
	known, found := s.memberOrTombstone(self.Name)
	anew := !found || known.Incarnation != self.Incarnation
	next := self
	next.Alive = true
	next.Joined, next.Retiring, next.Retired = known.Joined, known.Retiring, known.Retired
	next.Resting, next.Degraded = known.Resting && !anew, known.Degraded && !anew
	if known.Retired && known.Disk != self.Disk {
		next.Retiring, next.Retired = false, false
	}
	return next
}

func (s *State) applyJoin(join Join) {
	known, found := s.memberOrTombstone(join.Self.Name)
	if found && join.Self.Incarnation < known.Incarnation && join.Replaces != known.Incarnation {
		return
	}
	next := s.joinedMember(join.Self)
	if !found || !known.Alive || known.Incarnation != next.Incarnation {
		next.Joined = s.Index
	}
	s.setMember(next)
	if found && storeRestarted(known, next) {
		s.advanceEpochs(next.Name)
	}
}

func (s *State) applyLeave(departure MemberIncarnation) {
	member, found := s.Members[departure.Name]
	if !found || !member.Alive || member.Incarnation != departure.Incarnation {
		return
	}
	member.Alive, member.Resting = false, false
	s.setMember(member)
}

func (s *State) applyRetired(name string) {
	member, found := s.Members[name]
	if !found || !member.Retiring || member.Retired || s.storeInUse(name) {
		return
	}
	member.Retired = true
	s.setMember(member)
}

// applyDegradations takes a store for degraded only where enough others are well, or
// another one recovers in its stead.
func (s *State) applyDegradations(changes []Degradation) {
	recovered := 0
	for _, change := range changes {
		member, found := s.Members[change.Name]
		if !found || member.Incarnation != change.Incarnation || member.Degraded == change.Degraded {
			continue
		}
		switch {
		case !change.Degraded:
			recovered++
		case recovered > 0:
			recovered--
		case s.healthyStores() <= s.Tolerance+1:
			continue
		}
		member.Degraded = change.Degraded
		s.setMember(member)
	}
}

// healthyStores counts the stores that may be given partitions and don't lag.
func (s *State) healthyStores() int {
	count := 0
	for _, member := range s.Members {
		if member.Kind == membership.KindStore && member.Alive && !member.Retiring && !member.Degraded {
			count++
		}
	}
	return count
}

func (s *State) applyRestChange(rest RestChange) {
	member, found := s.Members[rest.Name]
	if !found || !member.Alive || member.Incarnation != rest.Incarnation || member.Resting == rest.Resting {
		return
	}
	member.Resting = rest.Resting
	s.setMember(member)
}

// Placements.

// applyPlacement takes a placement that was decided on the index below its epoch,
// unless its partition changed since or is no longer wanted, or a store that it
// gives a copy to has been lost or ordered away.
func (s *State) applyPlacement(place membership.Placement) {
	earlier, found := s.Placements[place.Partition]
	if found && (earlier.Epoch >= place.Epoch || s.PlacementModifiedAt[place.Partition] >= place.Epoch) || !s.expects(place.Partition) {
		return
	}
	given := place.Followers
	if !found {
		given = append([]string{place.Leader}, given...)
	}
	if slices.ContainsFunc(given, func(name string) bool { return !s.Members[name].Alive || s.Members[name].Retiring }) {
		return
	}
	s.setPlacement(place)
}

func (s *State) applyReplicated(settled membership.PartitionReplicated) {
	place, found := s.Placements[settled.Partition]
	if !found || place.Epoch != settled.Epoch || place.Complete {
		return
	}
	// A store whose disk was lost meanwhile is no holder, whatever it said.
	holders := []string{s.Members[place.Leader].ReplicaID()}
	for _, name := range place.Followers {
		holders = append(holders, s.Members[name].ReplicaID())
	}
	if !slices.Equal(holders, settled.Holders) {
		return
	}
	place.Complete, place.InSync = true, holders
	s.setPlacement(place)
}
