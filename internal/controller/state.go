package controller

import (
	"fmt"
	"strings"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// DefaultTolerance is the default number of stores that may be lost at once.
const DefaultTolerance = 1

// State is the control state: the configuration in force, the members of the cluster and
// the placements of partitions. It changes only by commands ([State.Apply]), which every
// replica applies in the same order with the same result.
//
// The state is stored and sent as a snapshot, so its keys and their order must not change.
type State struct {
	// Index is the number of commands that were applied.
	Index uint64 `cbor:"Index"`
	// Version and Document are the version and the text of the configuration in force.
	Version  uint64 `cbor:"Version"`
	Document []byte `cbor:"Document"`
	// SpaceCreatedAt is the configuration version that created each space. A space that is
	// removed and configured again, or changes its kind, is a new, empty space with another
	// version.
	SpaceCreatedAt map[string]uint64 `cbor:"Births"`
	// SpaceKinds is the kind of each space, see spaceKind. It has the same keys as
	// SpaceCreatedAt.
	SpaceKinds map[string]string               `cbor:"Natures"`
	Members    map[string]membership.Member    `cbor:"Members"`
	Placements map[string]membership.Placement `cbor:"Places"`
	// MemberModifiedAt and PlacementModifiedAt are the indexes of the last change of each
	// member and of each placement.
	MemberModifiedAt    map[string]uint64 `cbor:"MemberAt"`
	PlacementModifiedAt map[string]uint64 `cbor:"PlaceAt"`
	// SpacesModifiedAt is the index of the last configuration that was installed, which may
	// have changed SpaceCreatedAt.
	SpacesModifiedAt uint64 `cbor:"BirthsAt"`
	// CompactedAt is the index of the newest removal that can't be derived from the state any
	// more: of a placement, or of a member whose tombstone was evicted. A daemon with an older
	// index gets the complete view.
	CompactedAt uint64 `cbor:"WholeAt"`
	// HasSharedPartitions is set once a space ordered by topic was configured. From then on
	// the shared partitions are placed, even if all such spaces are removed.
	HasSharedPartitions bool `cbor:"Shared"`
	// Tolerance is how many stores may be lost at once. Each partition has Tolerance+1
	// replicas.
	Tolerance int `cbor:"Tolerance"`
	// History holds the decisions on configurations, sorted by version; see maxHistory.
	History []ConfigurationDecision `cbor:"History"`
	// RecentOrders identifies the most recently accepted retirement orders, the oldest first.
	RecentOrders []statemachine.RequestID `cbor:"Orders"`
	// Tombstones are the tombstones of removed members, the oldest first.
	Tombstones []Tombstone `cbor:"Tombstones"`
	// DrainedGateways are the names of the gateways that the configuration in force drains.
	DrainedGateways []string `cbor:"Drained"`

	// result is the outcome of the order in the command that was applied last. It is not
	// stored: only the primary that submitted the order reads it, right after applying it.
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

// PartitionName returns the name of one partition of a space. The name contains the
// configuration version that created the space, so that a space that is removed and configured
// again gets new, empty partitions.
func PartitionName(space string, createdAt uint64, number int) string {
	return partitionPrefix(space, createdAt) + fmt.Sprint(number)
}

// partitionPrefix returns the common prefix of the names of a space's partitions.
func partitionPrefix(space string, createdAt uint64) string {
	return fmt.Sprintf("%s~%d/", space, createdAt)
}

// fillView adds to an update the changes of the view after an index, or the complete view if
// the index is above the state's or the changes since then can't be derived any more.
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

// installConfiguration puts a configuration into force.
func (s *State) installConfiguration(change ConfigurationChange, configuration config.Configuration) {
	s.Version, s.Document = change.Version, change.Document
	s.DrainedGateways = configuration.Draining
	s.installSpaces(change.Version, configuration)
	s.dropObsoletePlacements(configuration)
}

// installSpaces updates SpaceCreatedAt and SpaceKinds for the spaces that a configuration
// creates, removes or changes in kind.
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
			// Such a space uses the shared partitions, so its creation need not be recorded.
			s.HasSharedPartitions = true
			continue
		}
		if _, found := s.SpaceCreatedAt[name]; !found {
			s.SpaceCreatedAt[name] = version
			s.SpaceKinds[name] = spaceKind(space)
		}
	}
}

// dropObsoletePlacements removes the placements of partitions that are no longer configured.
func (s *State) dropObsoletePlacements(configuration config.Configuration) {
	configured := map[string]bool{}
	for _, partition := range s.partitionNames(configuration) {
		configured[partition] = true
	}
	for partition := range statemachine.Sorted(s.Placements) {
		if !configured[partition] {
			delete(s.Placements, partition)
			delete(s.PlacementModifiedAt, partition)
			s.CompactedAt = s.Index
		}
	}
}

// isConfigured reports whether a partition belongs to the configuration in force.
func (s *State) isConfigured(partition string) bool {
	if config.IsShared(partition) {
		return s.HasSharedPartitions
	}
	space, _, named := strings.Cut(partition, "~")
	createdAt, found := s.SpaceCreatedAt[space]
	return named && found && strings.HasPrefix(partition, partitionPrefix(space, createdAt))
}

// spaceKind returns the properties of a space that can't be changed without replacing it by a
// new, empty space.
func spaceKind(space config.Space) string { return string(space.Retention) + "/" + string(space.Order) }

// partitionNames returns the names of all partitions of the configuration in force.
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

// Restore replaces the state by one that Snapshot encoded.
func (s *State) Restore(encoded []byte) error {
	restored := newState()
	if err := transport.Unmarshal(encoded, restored); err != nil {
		return err
	}
	*s = *restored
	return nil
}
