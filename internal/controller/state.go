package controller

import (
	"fmt"
	"strings"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// DefaultTolerance is how many stores may be lost at once if no setting says otherwise.
const DefaultTolerance = 1

// State is the control state: the configuration in force, the members of the cluster and
// the placements of partitions. It changes only by commands ([State.Apply]), which every
// replica applies in the same order with the same result.
//
// The state is stored and sent as a snapshot: its keys and their order never change.
type State struct {
	// Index counts the commands that were applied.
	Index uint64 `cbor:"Index"`
	// Version and Document are those of the configuration in force.
	Version  uint64 `cbor:"Version"`
	Document []byte `cbor:"Document"`
	// SpaceCreatedAt is the version in which each space was configured first. A space that
	// is removed, or changes its kind, begins anew with another version.
	SpaceCreatedAt map[string]uint64 `cbor:"Births"`
	// SpaceKinds is the kind of each space, see spaceKind. It has the keys of
	// SpaceCreatedAt.
	SpaceKinds map[string]string               `cbor:"Natures"`
	Members    map[string]membership.Member    `cbor:"Members"`
	Placements map[string]membership.Placement `cbor:"Places"`
	// MemberModifiedAt and PlacementModifiedAt are the indexes at which each member and each
	// placement changed last.
	MemberModifiedAt    map[string]uint64 `cbor:"MemberAt"`
	PlacementModifiedAt map[string]uint64 `cbor:"PlaceAt"`
	// SpacesModifiedAt is the index at which SpaceCreatedAt changed last.
	SpacesModifiedAt uint64 `cbor:"BirthsAt"`
	// CompactedAt is the index of the newest removal of which nothing is left in the state:
	// of a placement, or of a member whose tombstone is gone. A daemon with an older index
	// gets the complete view.
	CompactedAt uint64 `cbor:"WholeAt"`
	// HasSharedPartitions is set once a space ordered by topic was configured. From then on
	// the shared partitions are placed, whatever becomes of the spaces.
	HasSharedPartitions bool `cbor:"Shared"`
	// Tolerance is how many stores may be lost at once. A partition has one replica more.
	Tolerance int `cbor:"Tolerance"`
	// History holds the newest decisions on configurations in the order of their versions.
	History []ConfigurationDecision `cbor:"History"`
	// RecentOrders are the newest retirements that were accepted, the oldest first.
	RecentOrders []statemachine.RequestID `cbor:"Orders"`
	// Tombstones are what is left of removed members, the oldest first.
	Tombstones []Tombstone `cbor:"Tombstones"`
	// DrainedGateways are the gateways that the configuration in force drains.
	DrainedGateways []string `cbor:"Drained"`

	// result is what became of the order in the command that was applied last. It is not
	// stored: only the primary that submitted the order reads it, as it is applied.
	result orderResult
}

func newState() *State {
	return &State{
		SpaceCreatedAt:      map[string]uint64{},
		SpaceKinds:          map[string]string{},
		Members:             map[string]membership.Member{},
		Placements:          map[string]membership.Placement{},
		MemberModifiedAt:    map[string]uint64{},
		PlacementModifiedAt: map[string]uint64{},
		Tolerance:           DefaultTolerance,
	}
}

// PartitionName names one partition of a space by the version in which the space was
// created, so that a space that is removed and configured again begins anew.
func PartitionName(space string, createdAt uint64, number int) string {
	return partitionPrefix(space, createdAt) + fmt.Sprint(number)
}

// partitionPrefix is what the names of all partitions of a space begin with.
func partitionPrefix(space string, createdAt uint64) string {
	return fmt.Sprintf("%s~%d/", space, createdAt)
}

// fillView puts into an update what changed after an index, or the complete view if the
// index is not known or what changed since is not known any more.
func (s *State) fillView(update *membership.ViewUpdate, since uint64) {
	if since < s.CompactedAt || since > s.Index {
		since = 0
	}
	update.Changed, update.Since = true, since
	if since <= s.SpacesModifiedAt {
		update.SpaceCreatedAt = s.SpaceCreatedAt
	}
	for name, member := range statemachine.Sorted(s.Members) {
		if at, known := s.MemberModifiedAt[name]; !known || at > since {
			update.Members = append(update.Members, member)
		}
	}
	for _, removed := range s.Tombstones {
		if since > 0 && removed.RemovedAt > since {
			update.RemovedMembers = append(update.RemovedMembers, removed.Name)
		}
	}
	for name, placement := range statemachine.Sorted(s.Placements) {
		if at, known := s.PlacementModifiedAt[name]; !known || at > since {
			update.Placements = append(update.Placements, placement)
		}
	}
}

// installConfiguration brings a configuration into force.
func (s *State) installConfiguration(change ConfigurationChange, configuration config.Configuration) {
	s.Version, s.Document = change.Version, change.Document
	s.DrainedGateways = configuration.Draining
	s.installSpaces(change.Version, configuration)
	s.dropUnwantedPlacements(configuration)
}

// installSpaces records which spaces are created, removed or changed in kind.
func (s *State) installSpaces(version uint64, configuration config.Configuration) {
	s.SpacesModifiedAt = s.Index
	for name := range statemachine.Sorted(s.SpaceCreatedAt) {
		space, found := configuration.Spaces[name]
		if !found || s.SpaceKinds[name] != spaceKind(space) {
			delete(s.SpaceCreatedAt, name)
			delete(s.SpaceKinds, name)
		}
	}
	for name, space := range statemachine.Sorted(configuration.Spaces) {
		if space.Order == config.OrderTopic {
			// It has no partitions of its own, and so nothing that begins anew with it.
			s.HasSharedPartitions = true
			continue
		}
		if _, found := s.SpaceCreatedAt[name]; !found {
			s.SpaceCreatedAt[name] = version
			s.SpaceKinds[name] = spaceKind(space)
		}
	}
}

// dropUnwantedPlacements removes the placements of partitions that are no longer wanted.
func (s *State) dropUnwantedPlacements(configuration config.Configuration) {
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

// expects reports whether a partition belongs to the configuration in force.
func (s *State) expects(partition string) bool {
	if config.IsShared(partition) {
		return s.HasSharedPartitions
	}
	space, _, named := strings.Cut(partition, "~")
	createdAt, found := s.SpaceCreatedAt[space]
	return named && found && strings.HasPrefix(partition, partitionPrefix(space, createdAt))
}

// spaceKind is what a space can't change without beginning anew.
func spaceKind(space config.Space) string { return string(space.Retention) + "/" + string(space.Order) }

// partitionNames lists the partitions of the configuration in force.
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

// Snapshot encodes the complete state.
func (s *State) Snapshot() []byte { return transport.MustMarshal(s) }

// Restore replaces the state by an encoded one.
func (s *State) Restore(encoded []byte) error {
	restored := newState()
	if err := transport.Unmarshal(encoded, restored); err != nil {
		return err
	}
	*s = *restored
	return nil
}
