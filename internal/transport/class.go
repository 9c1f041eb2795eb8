// Classes of messages: what goes first over a link that is full. Order holds
// between two messages of one class to one peer, and between no others.

package transport

import (
	"reflect"
	"time"

	"dahlialock/internal/statemachine"
)

// Class ranks a message; a lower one goes first.
type Class int

// Classes, from first to last. ClassControl is epochs, leases, heartbeats, views
// and operators' requests; ClassUrgent what is of use now or never; ClassLive what
// callers wait for; ClassInterest who wants to be told of what; ClassCatchUp what
// was missed before.
const (
	ClassControl Class = iota
	ClassTransient
	ClassLive
	ClassInterest
	ClassCatchUp
	classCount
)

// maxQueueTime is how long a message of a class may wait before it is lost. Who wants to
// be told of what is said anew by then, and what was missed is asked for anew.
var maxQueueTime = [classCount]time.Duration{ClassInterest: 300 * time.Millisecond, ClassCatchUp: time.Second}

// Expired tells whether a message of a class that waited so long is of no use any more.
func (c Class) Expired(waited time.Duration) bool {
	return maxQueueTime[c] > 0 && waited > maxQueueTime[c] && !statemachine.Mutated("single-class")
}

// classifier is a message whose class depends on what it says.
type classifier interface{ LinkClass() Class }

// Numbers of messages below classLive are of the control state.
const (
	firstInterestNumber = 400
	firstLiveNumber     = 500
)

// classOfNumber names what is not as the range of its number has it. A partition's
// Copy and Frame are one stream and stay in one class, with what callers wait for.
var classOfNumber = map[uint16]Class{
	506: ClassCatchUp,   // partition.FetchResponse
	601: ClassTransient, // gateway.Pass
}

// ClassOf tells the class of a message.
func ClassOf(message any) Class {
	if statemachine.Mutated("single-class") {
		return ClassLive
	}
	if own, does := message.(classifier); does {
		return own.LinkClass()
	}
	number := numberOfType[reflect.TypeOf(message)]
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
