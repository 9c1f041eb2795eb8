// The control state: the configuration in force, the members of the cluster and
// where every partition lives. It changes only by commands, which are applied in
// the same order and with the same result on primary and backup.

package controller

import (
	"fmt"
	"strings"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// DefaultTolerance is how many stores may be lost at once if nobody says.
const DefaultTolerance = 1

// State is the control state itself.
type State struct {
	Index    uint64                          `cbor:"Index"`
	Version  uint64                          `cbor:"Version"`
	Document []byte                          `cbor:"Document"`
	Births   map[string]uint64               `cbor:"Births"`
	Natures  map[string]string               `cbor:"Natures"`
	Members  map[string]membership.Member    `cbor:"Members"`
	Places   map[string]membership.Placement `cbor:"Places"`
	// MemberAt and PlaceAt are the indexes at which each changed last, BirthsAt the
	// one at which the births did, and WholeAt the one at which a place was taken
	// away, or a member whose tombstone is gone: who is older than that is told
	// everything anew.
	MemberAt map[string]uint64 `cbor:"MemberAt"`
	PlaceAt  map[string]uint64 `cbor:"PlaceAt"`
	BirthsAt uint64            `cbor:"BirthsAt"`
	WholeAt  uint64            `cbor:"WholeAt"`
	// Shared says that a routed space was in force once: from then on the shared
	// partitions are placed, whatever becomes of the spaces.
	Shared bool `cbor:"Shared"`
	// Tolerance is how many stores may be lost at once: a partition has one copy more.
	Tolerance int `cbor:"Tolerance"`
	// History are the newest numbers under which a configuration was confirmed, the
	// lowest number first.
	History []Decision `cbor:"History"`
	// Orders are the newest retirements that were taken, the oldest first.
	Orders []statemachine.RequestID `cbor:"Orders"`
	// Tombstones are what is left of the members that were forgotten, the oldest first,
	// and Drained the gateways that the configuration in force names as drained.
	Tombstones []Tombstone `cbor:"Tombstones"`
	Drained    []string    `cbor:"Drained"`
	result     result
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

// view puts into news what changed after an index, or everything for whoever
// has nothing, or something that is gone.
func (s *State) view(news *membership.ViewUpdate, since uint64) {
	if since < s.WholeAt || since > s.Index {
		since = 0
	}
	news.Changed, news.Since = true, since
	if since <= s.BirthsAt {
		news.SpaceCreatedAt = s.Births
	}
	for name, member := range statemachine.Sorted(s.Members) {
		if at, known := s.MemberAt[name]; !known || at > since {
			news.Members = append(news.Members, member)
		}
	}
	for _, gone := range s.Tombstones {
		if since > 0 && gone.At > since {
			news.RemovedMembers = append(news.RemovedMembers, gone.Name)
		}
	}
	for name, place := range statemachine.Sorted(s.Places) {
		if at, known := s.PlaceAt[name]; !known || at > since {
			news.Placements = append(news.Placements, place)
		}
	}
}

func (s *State) takeConfiguration(change ConfigurationChange, configuration config.Configuration) {
	s.Version, s.Document = change.Version, change.Document
	s.BirthsAt, s.Drained = s.Index, configuration.Draining
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
			s.Births[name] = change.Version
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

// wants tells whether a partition belongs to the configuration in force.
func (s *State) wants(partition string) bool {
	if config.IsShared(partition) {
		return s.Shared
	}
	space, _, named := strings.Cut(partition, "~")
	birth, found := s.Births[space]
	return named && found && strings.HasPrefix(partition, fmt.Sprintf("%s~%d/", space, birth))
}

func nature(space config.Space) string { return string(space.Retention) + "/" + string(space.Order) }

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

// Snapshot is the whole state.
func (s *State) Snapshot() []byte { return transport.MustMarshal(s) }

// Restore takes a whole state in place of this one.
func (s *State) Restore(packed []byte) error {
	restored := newState()
	if err := transport.Unmarshal(packed, restored); err != nil {
		return err
	}
	*s = *restored
	return nil
}
