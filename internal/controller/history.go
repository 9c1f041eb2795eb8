// The history of configurations: which content was confirmed under which number.
// By it an order that was taken is known again whenever and through whichever
// daemon it comes, and no number is confirmed with a second content.

package controller

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// maxRecentOrders is how many retirements are remembered: a daemon carries an order for a
// few seconds at most.
const maxRecentOrders = 64

// acceptedBefore tells whether an order of this name was taken before: it comes again from a
// daemon that had no answer, and another may have been taken since.
func (s *State) acceptedBefore(order statemachine.RequestID) bool {
	return order.IsSet() && slices.Contains(s.RecentOrders, order) && !statemachine.Mutated("orders-unnamed")
}

func (s *State) recordOrder(order statemachine.RequestID) {
	if !order.IsSet() {
		return
	}
	s.RecentOrders = append(s.RecentOrders, order)
	s.RecentOrders = s.RecentOrders[max(0, len(s.RecentOrders)-maxRecentOrders):]
}

// maxHistory is how many numbers are remembered; the lowest are forgotten first.
const maxHistory = 512

// ConfigurationDecision is what was confirmed under one number. One that was overtaken never
// came into force.
type ConfigurationDecision struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Digest      config.Digest
	ReceivedAt  time.Time
	ForwardedBy string
	Superseded  bool
}

func (s *State) historyIndex(version uint64) (int, bool) {
	return slices.BinarySearchFunc(s.History, version, func(each ConfigurationDecision, version uint64) int {
		return cmp.Compare(each.Version, version)
	})
}

// recordedOutcome tells what was confirmed under a change's number, if that is remembered:
// the same, or something else. What it says once it says for as long as it
// remembers.
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

// recordDecision notes a decision, and forgets the lowest number if there are too many.
func (s *State) recordDecision(change ConfigurationChange, overtaken bool) {
	position, found := s.historyIndex(change.Version)
	if found {
		panic("a number was decided twice")
	}
	s.History = slices.Insert(s.History, position, ConfigurationDecision{
		Version: change.Version, Digest: change.Digest, ReceivedAt: change.ReceivedAt, ForwardedBy: change.ForwardedBy, Superseded: overtaken,
	})
	if len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, 1)
	}
}
