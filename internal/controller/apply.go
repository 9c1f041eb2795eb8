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

// Apply applies one committed command to the state. The consensus node calls it in log order.
// If the command contains an operator's order, its outcome is in the state's result field
// until the next command is applied.
//
// Apply panics on a command that can't be decoded, and on one with an invalid configuration:
// the log is corrupt, or was written by another program.
func (s *State) Apply(_ time.Time, encoded []byte) {
	var command Command
	if err := transport.Unmarshal(encoded, &command); err != nil {
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
	s.applyMemberChanges(command)
	for _, placement := range command.Placements {
		s.applyPlacement(placement)
	}
	for _, replicated := range command.Replicated {
		s.applyReplicated(replicated)
	}
	for _, removal := range command.Removals {
		s.applyRemoval(removal)
	}
}

func (s *State) applyMemberChanges(command Command) {
	for _, leave := range command.Leaves {
		s.applyLeave(leave)
	}
	for _, join := range command.Joins {
		s.applyJoin(join)
	}
	for _, name := range command.RetiredStores {
		s.applyRetired(name)
	}
	s.applyDegradations(command.Degradations)
	for _, change := range command.RestChanges {
		s.applyRestChange(change)
	}
}

func (s *State) setMember(member membership.Member) {
	s.Members[member.Name], s.MemberModifiedAt[member.Name] = member, s.Index
	s.dropTombstone(member.Name)
}

func (s *State) setPlacement(placement membership.Placement) {
	s.Placements[placement.Partition] = placement
	s.PlacementModifiedAt[placement.Partition] = s.Index
}

// applyConfiguration decides whether an operator's configuration is accepted, and installs it
// if so.
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
		panic("committed command has an invalid configuration")
	}
	if faults := s.drainFaults(configuration); len(faults) > 0 && !statemachine.Mutated("check-then-act") {
		return orderResult{outcome: InvalidConfiguration, faults: faults}
	}
	s.installConfiguration(change, configuration)
	s.recordDecision(change, false)
	return orderResult{outcome: Accepted}
}

// drainFaults checks the drains of a configuration against the members in the control state:
// the gateways to be drained must exist, and at least one live gateway must remain.
func (s *State) drainFaults(configuration config.Configuration) []config.Fault {
	if len(configuration.Draining) == 0 {
		return nil
	}
	var faults []config.Fault
	for position, name := range configuration.Draining {
		if member, found := s.Members[name]; !found || member.Kind != membership.KindGateway {
			faults = append(faults, config.Fault{
				Path: fmt.Sprintf("$.drains[%d]", position),
				Code: "dangling-name",
				Text: fmt.Sprintf("no gateway is named %q", name),
			})
		}
	}
	for _, member := range s.Members {
		drained := slices.Contains(configuration.Draining, member.Name)
		if member.Kind == membership.KindGateway && member.Alive && !drained {
			return faults
		}
	}
	return append(faults, config.Fault{
		Path: "$.drains",
		Code: "clash",
		Text: "no live gateway would remain",
	})
}

// applyRetirement decides on an order to retire a store or to return it to use, and applies
// it if it is accepted.
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

// mayRetire reports whether enough other stores would remain if a store were retired.
func (s *State) mayRetire(store string) bool {
	others := 0
	for _, other := range s.Members {
		if other.Kind == membership.KindStore && other.Name != store && other.Alive && !other.Retiring {
			others++
		}
	}
	return others > s.Tolerance
}

// joinedMember returns a member's record after an incarnation of the member has joined. An
// order to retire a store stays in force across restarts and disk replacements until the
// store is retired. A retired store's machine may be removed, so a store that joins later
// under the same name with another disk is a new store.
func (s *State) joinedMember(self membership.Member) membership.Member {
	known, found := s.memberOrTombstone(self.Name)
	sameIncarnation := found && known.Incarnation == self.Incarnation
	joined := self
	joined.Alive = true
	joined.Joined, joined.Retiring, joined.Retired = known.Joined, known.Retiring, known.Retired
	joined.Resting = known.Resting && sameIncarnation
	joined.Degraded = known.Degraded && sameIncarnation
	if known.Retired && known.Disk != self.Disk {
		joined.Retiring, joined.Retired = false, false
	}
	return joined
}

func (s *State) applyJoin(join Join) {
	known, found := s.memberOrTombstone(join.Self.Name)
	if found && join.Self.Incarnation < known.Incarnation && join.Replaces != known.Incarnation {
		return
	}
	joined := s.joinedMember(join.Self)
	if !found || !known.Alive || known.Incarnation != joined.Incarnation {
		joined.Joined = s.Index
	}
	s.setMember(joined)
	if found && storeRestarted(known, joined) {
		s.advanceEpochs(joined.Name)
	}
}

func (s *State) applyLeave(leave MemberIncarnation) {
	member, found := s.Members[leave.Name]
	if !found || !member.Alive || member.Incarnation != leave.Incarnation {
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

// applyDegradations marks a store as degraded only if enough other stores are healthy, or if
// another store is marked as recovered earlier in the same command.
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

// healthyStores counts the stores that may receive replicas and are not degraded.
func (s *State) healthyStores() int {
	count := 0
	for _, member := range s.Members {
		if member.Kind == membership.KindStore && member.Alive && !member.Retiring && !member.Degraded {
			count++
		}
	}
	return count
}

func (s *State) applyRestChange(change RestChange) {
	member, found := s.Members[change.Name]
	if !found || !member.Alive || member.Incarnation != change.Incarnation || member.Resting == change.Resting {
		return
	}
	member.Resting = change.Resting
	s.setMember(member)
}

// applyPlacement applies a placement, whose epoch is one above the index at which it was
// planned. It ignores the placement if the partition's placement has changed since, if the
// partition is no longer configured, or if a follower, or the leader of a partition that was
// not placed before, has failed or is retiring.
func (s *State) applyPlacement(placement membership.Placement) {
	if !s.isConfigured(placement.Partition) {
		return
	}
	earlier, found := s.Placements[placement.Partition]
	if found && (earlier.Epoch >= placement.Epoch || s.PlacementModifiedAt[placement.Partition] >= placement.Epoch) {
		return
	}
	assigned := placement.Followers
	if !found {
		assigned = append([]string{placement.Leader}, assigned...)
	}
	for _, name := range assigned {
		if member := s.Members[name]; !member.Alive || member.Retiring {
			return
		}
	}
	s.setPlacement(placement)
}

// applyReplicated marks a placement as complete once all its replicas have the records.
func (s *State) applyReplicated(replicated membership.PartitionReplicated) {
	placement, found := s.Placements[replicated.Partition]
	if !found || placement.Epoch != replicated.Epoch || placement.Complete {
		return
	}
	replicas := s.replicaIDs(placement)
	if !slices.Equal(replicas, replicated.Replicas) {
		// A replica's disk was replaced after the report was sent.
		return
	}
	placement.Complete, placement.InSync = true, replicas
	s.setPlacement(placement)
}

// replicaIDs returns the replica IDs of a placement, the leader's first. A replica ID
// identifies a store together with its current disk.
func (s *State) replicaIDs(placement membership.Placement) []string {
	replicas := []string{s.Members[placement.Leader].ReplicaID()}
	for _, name := range placement.Followers {
		replicas = append(replicas, s.Members[name].ReplicaID())
	}
	return replicas
}
