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

// ordersLimit is how many retirements are remembered: a daemon carries an order for a
// few seconds at most.
const ordersLimit = 64

// tookOrder tells whether an order of this name was taken before: it comes again from a
// daemon that had no answer, and another may have been taken since.
func (s *State) tookOrder(order statemachine.RequestID) bool {
	return order.IsSet() && slices.Contains(s.Orders, order) && !statemachine.Mutated("orders-unnamed")
}

func (s *State) rememberOrder(order statemachine.RequestID) {
	if !order.IsSet() {
		return
	}
	s.Orders = append(s.Orders, order)
	s.Orders = s.Orders[max(0, len(s.Orders)-ordersLimit):]
}

// historyLimit is how many numbers are remembered; the lowest are forgotten first.
const historyLimit = 512

// Decision is what was confirmed under one number. One that was overtaken never
// came into force.
type Decision struct {
	_         struct{} `cbor:",toarray"`
	Version   uint64
	Digest    config.Digest
	At        time.Time
	Through   string
	Overtaken bool
}

func (s *State) placeInHistory(version uint64) (int, bool) {
	return slices.BinarySearchFunc(s.History, version, func(each Decision, version uint64) int {
		return cmp.Compare(each.Version, version)
	})
}

// decided tells what was confirmed under a change's number, if that is remembered:
// the same, or something else. What it says once it says for as long as it
// remembers.
func (s *State) decided(change ConfigurationChange) (Outcome, bool) {
	position, found := s.placeInHistory(change.Version)
	if !found {
		return 0, false
	}
	earlier := s.History[position]
	switch {
	case earlier.Digest != change.Digest && !statemachine.Mutated("two-contents"):
		return OtherContent, true
	case earlier.Overtaken:
		return Overtaken, true
	}
	return Repeated, true
}

// remember notes a decision, and forgets the lowest number if there are too many.
func (s *State) remember(change ConfigurationChange, overtaken bool) {
	position, found := s.placeInHistory(change.Version)
	if found {
		panic("a number was decided twice")
	}
	s.History = slices.Insert(s.History, position, Decision{
		Version: change.Version, Digest: change.Digest, At: change.At, Through: change.Through, Overtaken: overtaken,
	})
	if len(s.History) > historyLimit {
		s.History = slices.Delete(s.History, 0, 1)
	}
}
