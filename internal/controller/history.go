package controller

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

const (
	// maxHistory is how many decisions on configurations are remembered. Those on the lowest
	// versions are dropped first.
	maxHistory = 512

	// maxRecentOrders is how many retirements are remembered. A daemon sends an order again
	// for a few seconds at most.
	maxRecentOrders = 64
)

// ConfigurationDecision records which content was confirmed under one version. By it an
// order that was accepted is recognized whenever and through whichever daemon it comes
// again, and no version is confirmed with a second content.
//
// Decisions are stored: their fields and the order of the fields never change.
type ConfigurationDecision struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Digest      config.Digest
	ReceivedAt  time.Time
	ForwardedBy string
	// Superseded is set if the configuration never came into force.
	Superseded bool
}

// historyIndex is the position of a version in the history, or the position at which it
// would be inserted.
func (s *State) historyIndex(version uint64) (position int, found bool) {
	compare := func(decision ConfigurationDecision, version uint64) int {
		return cmp.Compare(decision.Version, version)
	}
	return slices.BinarySearchFunc(s.History, version, compare)
}

// recordedOutcome finds what was decided under a change's version, as long as that is
// remembered.
func (s *State) recordedOutcome(change ConfigurationChange) (Outcome, bool) {
	position, found := s.historyIndex(change.Version)
	if !found {
		return 0, false
	}
	earlier := s.History[position]
	switch {
	case earlier.Digest != change.Digest && !statemachine.Mutated("two-contents"):
		return ContentConflict, true
	case earlier.Superseded:
		return Superseded, true
	}
	return Duplicate, true
}

// recordDecision records a decision, and drops the one on the lowest version if there are
// too many. It panics if the version was decided before, which callers rule out.
func (s *State) recordDecision(change ConfigurationChange, superseded bool) {
	position, found := s.historyIndex(change.Version)
	if found {
		panic("a configuration version was decided twice")
	}
	s.History = slices.Insert(s.History, position, ConfigurationDecision{
		Version:     change.Version,
		Digest:      change.Digest,
		ReceivedAt:  change.ReceivedAt,
		ForwardedBy: change.ForwardedBy,
		Superseded:  superseded,
	})
	if len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, 1)
	}
}

// acceptedBefore reports whether this very order was accepted before: a daemon that had no
// response sends it again, and another order may have been accepted since.
func (s *State) acceptedBefore(order statemachine.RequestID) bool {
	return order.IsSet() && slices.Contains(s.RecentOrders, order) && !statemachine.Mutated("orders-unnamed")
}

// recordOrder records an order that was accepted, and drops the oldest if there are too
// many.
func (s *State) recordOrder(order statemachine.RequestID) {
	if !order.IsSet() {
		return
	}
	s.RecentOrders = append(s.RecentOrders, order)
	s.RecentOrders = s.RecentOrders[max(0, len(s.RecentOrders)-maxRecentOrders):]
}
