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
	Index          uint64                          `cbor:"Index"`
	Version        uint64                          `cbor:"Version"`
	Document       []byte                          `cbor:"Document"`
	SpaceCreatedAt map[string]uint64               `cbor:"Births"`
	SpaceKinds     map[string]string               `cbor:"Natures"`
	Members        map[string]membership.Member    `cbor:"Members"`
	Placements     map[string]membership.Placement `cbor:"Places"`
	// MemberModifiedAt and PlaceAt are the indexes at which each changed last, BirthsAt the
	// one at which the births did, and WholeAt the one at which a place was taken
	// away, or a member whose tombstone is gone: who is older than that is told
	// everything anew.
	MemberModifiedAt    map[string]uint64 `cbor:"MemberAt"`
	PlacementModifiedAt map[string]uint64 `cbor:"PlaceAt"`
	SpacesModifiedAt    uint64            `cbor:"BirthsAt"`
	CompactedAt         uint64            `cbor:"WholeAt"`
	// HasSharedPartitions says that a routed space was in force once: from then on the shared
	// partitions are placed, whatever becomes of the spaces.
	HasSharedPartitions bool `cbor:"Shared"`
	// Tolerance is how many stores may be lost at once: a partition has one copy more.
	Tolerance int `cbor:"Tolerance"`
	// History are the newest numbers under which a configuration was confirmed, the
	// lowest number first.
	History []ConfigurationDecision `cbor:"History"`
	// RecentOrders are the newest retirements that were taken, the oldest first.
	RecentOrders []statemachine.RequestID `cbor:"Orders"`
	// Tombstones are what is left of the members that were forgotten, the oldest first,
	// and Drained the gateways that the configuration in force names as drained.
	Tombstones      []Tombstone `cbor:"Tombstones"`
	DrainedGateways []string    `cbor:"Drained"`
	result          orderResult
}

func newState() *State {
	return &State{
		SpaceCreatedAt: map[string]uint64{}, SpaceKinds: map[string]string{},
		Members: map[string]membership.Member{}, Placements: map[string]membership.Placement{}, Tolerance: DefaultTolerance,
		MemberModifiedAt: map[string]uint64{}, PlacementModifiedAt: map[string]uint64{},
	}
}

// PartitionName names one partition of one space since its birth, so that a space
// that is removed and comes again begins anew.
func PartitionName(space string, birth uint64, number int) string {
	return fmt.Sprintf("%s~%d/%d", space, birth, number)
}

// fillView puts into news what changed after an index, or everything for whoever
// has nothing, or something that is gone.
func (s *State) fillView(news *membership.ViewUpdate, since uint64) {
	if since < s.CompactedAt || since > s.Index {
		since = 0
	}
	news.Changed, news.Since = true, since
	if since <= s.SpacesModifiedAt {
		news.SpaceCreatedAt = s.SpaceCreatedAt
	}
	for name, member := range statemachine.Sorted(s.Members) {
		if at, known := s.MemberModifiedAt[name]; !known || at > since {
			news.Members = append(news.Members, member)
		}
	}
	for _, gone := range s.Tombstones {
		if since > 0 && gone.RemovedAt > since {
			news.RemovedMembers = append(news.RemovedMembers, gone.Name)
		}
	}
	for name, place := range statemachine.Sorted(s.Placements) {
		if at, known := s.PlacementModifiedAt[name]; !known || at > since {
			news.Placements = append(news.Placements, place)
		}
	}
}

func (s *State) installConfiguration(change ConfigurationChange, configuration config.Configuration) {
	s.Version, s.Document = change.Version, change.Document
	s.SpacesModifiedAt, s.DrainedGateways = s.Index, configuration.Drains
	for name := range statemachine.Sorted(s.SpaceCreatedAt) {
		space, found := configuration.Spaces[name]
		if !found || s.SpaceKinds[name] != spaceKind(space) {
			delete(s.SpaceCreatedAt, name)
			delete(s.SpaceKinds, name)
		}
	}
	for name, space := range statemachine.Sorted(configuration.Spaces) {
		if space.Order == config.OrderTopic {
			// Its partitions outlive it, and nothing asks when it was born.
			s.HasSharedPartitions = true
			continue
		}
		if _, found := s.SpaceCreatedAt[name]; !found {
			s.SpaceCreatedAt[name] = change.Version
			s.SpaceKinds[name] = spaceKind(space)
		}
	}
	wanted := map[string]bool{}
	for _, partition := range s.partitionNames(configuration) {
		wanted[partition] = true
	}
	for partition := range statemachine.Sorted(s.Placements) {
		if !wanted[partition] {
			delete(s.Placements, partition)
			delete(s.PlacementModifiedAt, partition)
			s.CompactedAt = s.Index
		}
	}
}

// expects tells whether a partition belongs to the configuration in force.
func (s *State) expects(partition string) bool {
	if config.IsShared(partition) {
		return s.HasSharedPartitions
	}
	space, _, named := strings.Cut(partition, "~")
	birth, found := s.SpaceCreatedAt[space]
	return named && found && strings.HasPrefix(partition, fmt.Sprintf("%s~%d/", space, birth))
}

func spaceKind(space config.Space) string { return string(space.Retention) + "/" + string(space.Order) }

func (s *State) partitionNames(configuration config.Configuration) []string {
	var names []string
	for name, space := range statemachine.Sorted(configuration.Spaces) {
		for number := range space.Partitions() {
			names = append(names, PartitionName(name, s.SpaceCreatedAt[name], number))
		}
	}
	if s.HasSharedPartitions {
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
