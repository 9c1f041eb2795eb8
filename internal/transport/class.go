package transport

import (
	"time"

	"dahlialock/internal/statemachine"
)

// Class is the priority of a message on a saturated link; lower values are sent
// first. Order is only kept between messages of the same class to the same peer.
type Class int

// Classes in the order of their priority, highest first.
const (
	// ClassControl is for the control state: epochs, leases, heartbeats, views and
	// operators' requests.
	ClassControl Class = iota
	// ClassTransient is for messages that are useless if they arrive late.
	ClassTransient
	// ClassLive is for messages that clients wait for.
	ClassLive
	// ClassInterest is for announcements of subscriptions.
	ClassInterest
	// ClassCatchUp is for records that the receiver has missed and requested afterwards.
	ClassCatchUp
	classCount
)

// mutationSingleClass names a mutation that disables the priorities: all messages
// are treated alike.
const mutationSingleClass = "single-class"

// maxQueueTime is how long a message of a class may be queued before it is dropped,
// 0 for no bound. Dropping is safe for the two classes with a bound: after that time,
// interest is announced again, and missed records are requested again.
var maxQueueTime = [classCount]time.Duration{
	ClassInterest: 300 * time.Millisecond,
	ClassCatchUp:  time.Second,
}

// Expired reports whether a message of the class that was queued for that long is
// to be dropped.
func (c Class) Expired(waited time.Duration) bool {
	return maxQueueTime[c] > 0 && waited > maxQueueTime[c] && !statemachine.Mutated(mutationSingleClass)
}

// The class of a message type follows from the range of its number: numbers below
// firstInterestNumber are in ClassControl, those from there up to firstLiveNumber in
// ClassInterest, and the rest in ClassLive. classOfNumber has the exceptions.
const (
	firstInterestNumber = 400
	firstLiveNumber     = 500

	fetchResponseNumber    = 506 // of package partition
	transientMessageNumber = 601 // of package gateway
)

// classOfNumber has the message types whose class differs from that of their range.
// The replicated records and the snapshots of a partition must stay in order relative to
// each other, so both are in ClassLive.
var classOfNumber = map[uint16]Class{
	fetchResponseNumber:    ClassCatchUp,
	transientMessageNumber: ClassTransient,
}

// IsControl reports whether a message belongs to the control state.
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
