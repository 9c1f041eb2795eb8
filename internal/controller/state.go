// The control state: the configuration in force, the members of the cluster and
// where every partition lives. It changes only by commands, which are applied in
// the same order and with the same result on primary and backup.

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

// DefaultTolerance is how many stores may be lost at once if nobody says.
const DefaultTolerance = 1

// Command is one change of the control state.
type Command struct {
	Version  uint64
	Document []byte
	Members  []membership.Member
	Places   []membership.Placement
	Settled  []membership.PartitionComplete
	// Tolerance, if given, is how many stores may be lost at once from now on.
	Tolerance *int
}

// State is the control state itself.
type State struct {
	Index    uint64
	Version  uint64
	Document []byte
	Births   map[string]uint64
	Natures  map[string]string
	Members  map[string]membership.Member
	Places   map[string]membership.Placement
	// MemberAt and PlaceAt are the indexes at which each changed last, BirthsAt the
	// one at which the births did, and WholeAt the one at which a place was taken
	// away: who is older than that is told everything anew.
	MemberAt map[string]uint64
	PlaceAt  map[string]uint64
	BirthsAt uint64
	WholeAt  uint64
	// Shared says that a routed space was in force once: from then on the shared
	// partitions are placed, whatever becomes of the spaces.
	Shared bool
	// Tolerance is how many stores may be lost at once: a partition has one copy more.
	Tolerance int
}

func newState() *State {
	return &State{
		Births: map[string]uint64{}, Natures: map[string]string{},
		Members: map[string]membership.Member{}, Places: map[string]membership.Placement{}, Tolerance: DefaultTolerance,
		MemberAt: map[string]uint64{}, PlaceAt: map[string]uint64{},
	}
}

// PartitionName names one partition of one space since its birth, so that a space
// that is removed and comes again begins anew.
func PartitionName(space string, birth uint64, number int) string {
	return fmt.Sprintf("%s~%d/%d", space, birth, number)
}

// Apply changes the state by one command.
func (s *State) Apply(_ time.Time, packed []byte) {
	var command Command
	if err := transport.Unmarshal(packed, &command); err != nil {
		panic(err)
	}
	s.Index++
	if command.Version > s.Version {
		s.takeConfiguration(command)
	}
	if command.Tolerance != nil {
		s.Tolerance = *command.Tolerance
	}
	for _, member := range command.Members {
		earlier, found := s.Members[member.Name]
		member.Joined = earlier.Joined
		if member.Alive && (!found || !earlier.Alive || earlier.Incarnation != member.Incarnation) {
			member.Joined = s.Index
		}
		s.Members[member.Name], s.MemberAt[member.Name] = member, s.Index
		if found && beginsAnew(earlier, member) {
			s.renewEpochs(member.Name)
		}
	}
	for _, place := range command.Places {
		if earlier, found := s.Places[place.Partition]; found && earlier.Epoch >= place.Epoch {
			continue
		}
		s.Places[place.Partition], s.PlaceAt[place.Partition] = place, s.Index
	}
	for _, settled := range command.Settled {
		place, found := s.Places[settled.Partition]
		if !found || place.Epoch != settled.Epoch || place.Complete {
			continue
		}
		// A store whose disk was lost meanwhile is no holder, whatever it said.
		holders := []string{s.Members[place.First].Holder()}
		for _, name := range place.Followers {
			holders = append(holders, s.Members[name].Holder())
		}
		if !slices.Equal(holders, settled.Holders) {
			continue
		}
		place.Complete, place.Safe = true, holders
		s.Places[settled.Partition], s.PlaceAt[settled.Partition] = place, s.Index
	}
}

// view puts into news what changed after an index, or everything for whoever
// has nothing, or something that is gone.
func (s *State) view(news *membership.News, since uint64) {
	if since < s.WholeAt || since > s.Index {
		since = 0
	}
	news.Changed, news.Since = true, since
	if since <= s.BirthsAt {
		news.Births = s.Births
	}
	for name, member := range statemachine.Sorted(s.Members) {
		if at, known := s.MemberAt[name]; !known || at > since {
			news.Members = append(news.Members, member)
		}
	}
	for name, place := range statemachine.Sorted(s.Places) {
		if at, known := s.PlaceAt[name]; !known || at > since {
			news.Placements = append(news.Placements, place)
		}
	}
}

func (s *State) takeConfiguration(command Command) {
	configuration, faults := config.Read(command.Document)
	if len(faults) > 0 {
		panic("a command with a faulty configuration")
	}
	s.Version, s.Document = command.Version, command.Document
	s.BirthsAt = s.Index
	for name := range statemachine.Sorted(s.Births) {
		space, found := configuration.Spaces[name]
		if !found || s.Natures[name] != nature(space) {
			delete(s.Births, name)
			delete(s.Natures, name)
		}
	}
	for name, space := range statemachine.Sorted(configuration.Spaces) {
		if space.Order == config.OrderTopic {
			// Its partitions outlive it, and nothing asks when it was born.
			s.Shared = true
			continue
		}
		if _, found := s.Births[name]; !found {
			s.Births[name] = command.Version
			s.Natures[name] = nature(space)
		}
	}
	wanted := map[string]bool{}
	for _, partition := range s.partitions(configuration) {
		wanted[partition] = true
	}
	for partition := range statemachine.Sorted(s.Places) {
		if !wanted[partition] {
			delete(s.Places, partition)
			delete(s.PlaceAt, partition)
			s.WholeAt = s.Index
		}
	}
}

func nature(space config.Space) string { return string(space.Promise) + "/" + string(space.Order) }

func (s *State) partitions(configuration config.Configuration) []string {
	var names []string
	for name, space := range statemachine.Sorted(configuration.Spaces) {
		for number := range space.Partitions() {
			names = append(names, PartitionName(name, s.Births[name], number))
		}
	}
	if s.Shared {
		for number := range config.SharedPartitions {
			names = append(names, config.SharedPartitionName(number))
		}
	}
	return names
}

// Frame is the whole state.
func (s *State) Frame() []byte { return transport.MustMarshal(s) }

// Restore takes a whole state in place of this one.
func (s *State) Restore(packed []byte) error {
	restored := newState()
	if err := transport.Unmarshal(packed, restored); err != nil {
		return err
	}
	*s = *restored
	return nil
}

func mustPack(command Command) []byte { return transport.MustMarshal(command) }
