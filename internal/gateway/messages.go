// What gateways say to each other about messages, what their adapters bring in
// from callers, and what goes back to callers.

package gateway

import (
	"dahlialock/internal/partition"
	"dahlialock/internal/transport"
)

// RecordCopy is the one copy of a kept message for one destination daemon.
type RecordCopy struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Record    partition.Record
}

// EphemeralCopy is the one copy of a passing message for one destination daemon.
type EphemeralCopy struct {
	_      struct{} `cbor:",toarray"`
	Space  string
	Topic  string
	Sender string
	Seq    uint64
	Data   []byte
	// Repeated is set where it is offered again, to a gateway that was just found.
	Repeated bool
}

// RoutedCopy is the one copy of a message of a routed topic for one destination
// daemon; the partition follows from the topic.
type RoutedCopy struct {
	_      struct{} `cbor:",toarray"`
	Topic  string
	Sender string
	Seq    uint64
	Offset uint64
	// PriorDistance is how far the topic's record before it lies below Offset.
	PriorDistance uint64
	Data          []byte
	// Ephemeral tells that nothing of it is kept.
	Ephemeral bool
}

// LinkClass tells that a passing message is of use now or never.
func (rc RoutedCopy) LinkClass() transport.Class {
	if rc.Ephemeral {
		return transport.ClassTransient
	}
	return transport.ClassLive
}

func (rc RoutedCopy) record() partition.Record {
	return partition.Record{
		Topic: rc.Topic, Sender: rc.Sender, Seq: rc.Seq, Offset: rc.Offset, PreviousInTopic: rc.Offset - rc.PriorDistance, Data: rc.Data,
	}
}

func init() {
	transport.MustRegister(602, RoutedCopy{})
	transport.MustRegister(600, RecordCopy{})
	transport.MustRegister(601, EphemeralCopy{})
}

// Interest is what a subscription asks for: one topic, or all under a prefix.
type Interest struct {
	_      struct{} `cbor:",toarray"`
	Space  string
	Path   string
	Prefix bool
}
