package controller

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

const (
	// maxHistory is how many decisions on configurations are kept. Those with the lowest versions
	// are dropped first.
	maxHistory = 512

	// maxRecentOrders is how many accepted retirement orders are remembered. A daemon retries an
	// order for a few seconds at most.
	maxRecentOrders = 64
)

// ConfigurationDecision records the content that was acknowledged under one version. It serves to
// recognize a retry of an accepted order, at any time and through any daemon, and to reject the
// same version with different content.
//
// Decisions are stored, so their fields and the order of the fields must not change.
type ConfigurationDecision struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Digest      config.Digest
	ReceivedAt  time.Time
	ForwardedBy string
	// Superseded is set if the configuration was acknowledged without being put into force.
	Superseded bool
}

// historyIndex returns the position of a version in the history, or the position at which it
// would be inserted.
func (s *State) historyIndex(version uint64) (position int, found bool) {
	compare := func(decision ConfigurationDecision, version uint64) int {
		return cmp.Compare(decision.Version, version)
	}
	return slices.BinarySearchFunc(s.History, version, compare)
}

// recordedOutcome returns the outcome of a change if the history has a decision on its version.
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

// recordDecision records a decision, and drops the one with the lowest version if there are more
// than maxHistory. It panics if the history already has a decision on the version, which callers
// must rule out.
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

// acceptedBefore reports whether the same order was accepted before. A daemon that received no
// response retries an order, and another order may have been accepted in between.
func (s *State) acceptedBefore(order statemachine.RequestID) bool {
	return order.IsSet() && slices.Contains(s.RecentOrders, order) && !statemachine.Mutated("orders-unnamed")
}

// recordOrder records an order that was accepted, and drops the oldest if there are more than
// maxRecentOrders.
func (s *State) recordOrder(order statemachine.RequestID) {
	if !order.IsSet() {
		return
	}
	s.RecentOrders = append(s.RecentOrders, order)
	s.RecentOrders = s.RecentOrders[max(0, len(s.RecentOrders)-maxRecentOrders):]
}
