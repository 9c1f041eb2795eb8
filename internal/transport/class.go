package transport

import (
	"time"

	"dahlialock/internal/statemachine"
)

// Class is the priority of a message on a full link; a lower one goes first.
// Order is kept between messages of one class to one peer, and between no others.
type Class int

// Classes, in the order in which they go.
const (
	// ClassControl is the control state: epochs, leases, heartbeats, views and
	// operators' requests.
	ClassControl Class = iota
	// ClassTransient is what is of use at once or not at all.
	ClassTransient
	// ClassLive is what clients wait for.
	ClassLive
	// ClassInterest is who subscribes to what.
	ClassInterest
	// ClassCatchUp is what was missed before.
	ClassCatchUp
	classCount
)

// mutationSingleClass has all messages treated alike.
const mutationSingleClass = "single-class"

// maxQueueTime is how long a message of a class may wait before it is dropped,
// 0 for no bound. Interest is announced anew by then, and what was missed is
// requested again.
var maxQueueTime = [classCount]time.Duration{
	ClassInterest: 300 * time.Millisecond,
	ClassCatchUp:  time.Second,
}

// Expired reports whether a message of the class is of no use any more after it
// has waited that long.
func (c Class) Expired(waited time.Duration) bool {
	return maxQueueTime[c] > 0 && waited > maxQueueTime[c] && !statemachine.Mutated(mutationSingleClass)
}

// Numbers of message types are given by class: those below firstInterestNumber
// are of the control state, the next ones of interest, the rest of what clients
// wait for unless classOfNumber says otherwise.
const (
	firstInterestNumber = 400
	firstLiveNumber     = 500

	fetchResponseNumber    = 506 // of package partition
	transientMessageNumber = 601 // of package gateway
)

// classOfNumber has the exceptions to the ranges. The copies and the snapshots
// of a partition are one stream, so that both stay in ClassLive.
var classOfNumber = map[uint16]Class{
	fetchResponseNumber:    ClassCatchUp,
	transientMessageNumber: ClassTransient,
}

// IsControl reports whether a message is of the control state.
func IsControl(message any) bool { return numberOf(message) < firstInterestNumber }

// classifier is implemented by messages whose class depends on their content.
type classifier interface{ LinkClass() Class }

// ClassOf returns the class of a message.
func ClassOf(message any) Class {
	if statemachine.Mutated(mutationSingleClass) {
		return ClassLive
	}
	if own, implements := message.(classifier); implements {
		return own.LinkClass()
	}
	number := numberOf(message)
	if class, found := classOfNumber[number]; found {
		return class
	}
	switch {
	case number < firstInterestNumber:
		return ClassControl
	case number < firstLiveNumber:
		return ClassInterest
	}
	return ClassLive
}
