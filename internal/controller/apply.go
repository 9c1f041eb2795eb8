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
	s.result = result{}
	if command.Configuration != nil {
		s.result = s.applyConfiguration(*command.Configuration)
	}
	if command.Retirement != nil {
		s.result = result{outcome: s.applyRetirement(*command.Retirement)}
	}
	if command.Tolerance != nil {
		s.Tolerance = *command.Tolerance
	}
	for _, departure := range command.Departures {
		s.applyDeparture(departure)
	}
	for _, join := range command.Joins {
		s.applyJoin(join)
	}
	for _, name := range command.Emptied {
		s.applyEmptied(name)
	}
	s.applyDegradations(command.Degradations)
	for _, rest := range command.Rests {
		s.applyRest(rest)
	}
	for _, place := range command.Places {
		s.applyPlace(place)
	}
	for _, settled := range command.Settled {
		s.applySettled(settled)
	}
	for _, departure := range command.Forgotten {
		s.applyForget(departure)
	}
}

func (s *State) setMember(member membership.Member) {
	s.Members[member.Name], s.MemberAt[member.Name] = member, s.Index
	s.unbury(member.Name)
}

func (s *State) setPlace(place membership.Placement) {
	s.Places[place.Partition], s.PlaceAt[place.Partition] = place, s.Index
}

// Orders.

func (s *State) applyConfiguration(change ConfigurationChange) result {
	if outcome, found := s.decided(change); found {
		return result{outcome: outcome}
	}
	if change.Version <= s.Version {
		if change.Highest {
			s.remember(change, true)
		}
		return result{outcome: Overtaken}
	}
	configuration, faults := config.Read(change.Document)
	if len(faults) > 0 {
		panic("a command with a faulty configuration")
	}
	if faults := s.drainFaults(configuration); len(faults) > 0 && !statemachine.Mutated("check-then-act") {
		return result{outcome: Faulty, faults: faults}
	}
	s.takeConfiguration(change, configuration)
	s.remember(change, false)
	return result{outcome: Taken}
}

// drainFaults looks at what only the cluster can tell: that the gateways to be
// drained exist, and that one would be left.
func (s *State) drainFaults(configuration config.Configuration) []config.Fault {
	if len(configuration.Draining) == 0 {
		return nil
	}
	var faults []config.Fault
	for position, name := range configuration.Draining {
		if member, found := s.Members[name]; !found || member.Kind != membership.KindGateway {
			faults = append(faults, config.Fault{
				Path: fmt.Sprintf("$.drains[%d]", position), Code: "dangling-name", Text: fmt.Sprintf("no gateway is named %q", name),
			})
		}
	}
	for _, member := range s.Members {
		if member.Kind == membership.KindGateway && member.Alive && !slices.Contains(configuration.Draining, member.Name) {
			return faults
		}
	}
	return append(faults, config.Fault{Path: "$.drains", Code: "clash", Text: "no living gateway would be left"})
}

func (s *State) applyRetirement(order Retirement) Outcome {
	member, found := s.member(order.Store)
	switch {
	case !found || member.Kind != membership.KindStore:
		return UnknownStore
	case member.Retiring == order.Retiring || s.tookOrder(order.Order):
		return Repeated
	case order.Retiring && !s.maySpare(order.Store) && !statemachine.Mutated("check-then-act"):
		return TooFewStores
	}
	member.Retiring, member.Retired = order.Retiring, false
	s.setMember(member)
	s.rememberOrder(order.Order)
	return Taken
}

// maySpare tells whether enough other stores would be left without one.
func (s *State) maySpare(store string) bool {
	others := 0
	for _, other := range s.Members {
		if other.Kind == membership.KindStore && other.Name != store && other.Alive && !other.Retiring {
			others++
		}
	}
	return others > s.Tolerance
}

// Members.

// joined is a member's record once a life of it has joined. An order to empty a
// store holds whatever becomes of its processes and disk, until it is done: then the
// machine is taken away, and one of its name with another disk is a new one.
func (s *State) joined(self membership.Member) membership.Member {
	known, found := s.member(self.Name)
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
	known, found := s.member(join.Self.Name)
	if found && join.Self.Incarnation < known.Incarnation && join.Over != known.Incarnation {
		return
	}
	next := s.joined(join.Self)
	if !found || !known.Alive || known.Incarnation != next.Incarnation {
		next.Joined = s.Index
	}
	s.setMember(next)
	if found && beginsAnew(known, next) {
		s.renewEpochs(next.Name)
	}
}

func (s *State) applyDeparture(departure Departure) {
	member, found := s.Members[departure.Name]
	if !found || !member.Alive || member.Incarnation != departure.Incarnation {
		return
	}
	member.Alive, member.Resting = false, false
	s.setMember(member)
}

func (s *State) applyEmptied(name string) {
	member, found := s.Members[name]
	if !found || !member.Retiring || member.Retired || s.refers(name) {
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
		case s.well() <= s.Tolerance+1:
			continue
		}
		member.Degraded = change.Degraded
		s.setMember(member)
	}
}

// well counts the stores that may be given partitions and don't lag.
func (s *State) well() int {
	count := 0
	for _, member := range s.Members {
		if member.Kind == membership.KindStore && member.Alive && !member.Retiring && !member.Degraded {
			count++
		}
	}
	return count
}

func (s *State) applyRest(rest Rest) {
	member, found := s.Members[rest.Name]
	if !found || !member.Alive || member.Incarnation != rest.Incarnation || member.Resting == rest.Resting {
		return
	}
	member.Resting = rest.Resting
	s.setMember(member)
}

// Placements.

// applyPlace takes a placement that was decided on the index below its epoch,
// unless its partition changed since or is no longer wanted, or a store that it
// gives a copy to has been lost or ordered away.
func (s *State) applyPlace(place membership.Placement) {
	earlier, found := s.Places[place.Partition]
	if found && (earlier.Epoch >= place.Epoch || s.PlaceAt[place.Partition] >= place.Epoch) || !s.wants(place.Partition) {
		return
	}
	given := place.Followers
	if !found {
		given = append([]string{place.Leader}, given...)
	}
	if slices.ContainsFunc(given, func(name string) bool { return !s.Members[name].Alive || s.Members[name].Retiring }) {
		return
	}
	s.setPlace(place)
}

func (s *State) applySettled(settled membership.PartitionReplicated) {
	place, found := s.Places[settled.Partition]
	if !found || place.Epoch != settled.Epoch || place.Complete {
		return
	}
	// A store whose disk was lost meanwhile is no holder, whatever it said.
	holders := []string{s.Members[place.Leader].ReplicaID()}
	for _, name := range place.Followers {
		holders = append(holders, s.Members[name].ReplicaID())
	}
	if !slices.Equal(holders, settled.Replicas) {
		return
	}
	place.Complete, place.InSync = true, holders
	s.setPlace(place)
}
