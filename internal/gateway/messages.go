package gateway

import (
	"dahlialock/internal/partition"
	"dahlialock/internal/transport"
)

// RecordCopy is the copy of a durable message that is sent to a destination gateway.
type RecordCopy struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Record    partition.Record
}

// EphemeralCopy is the copy of an ephemeral message that is sent to a destination gateway. Space is the
// name of the space together with the configuration version that created it.
type EphemeralCopy struct {
	_      struct{} `cbor:",toarray"`
	Space  string
	Topic  string
	Sender string
	Seq    uint64
	Data   []byte
	// Repeated is set if the message was sent before and is repeated to a newly discovered gateway.
	Repeated bool
}

// RoutedCopy is the copy of a message of a routed topic that is sent to a destination gateway. The
// partition is derived from the topic.
type RoutedCopy struct {
	_      struct{} `cbor:",toarray"`
	Topic  string
	Sender string
	Seq    uint64
	Offset uint64
	// PriorDistance is Offset minus the offset of the topic's previous record.
	PriorDistance uint64
	Data          []byte
	// Ephemeral is set if the data of the message is not stored.
	Ephemeral bool
}

// LinkClass returns the transport class of the message. Ephemeral messages are transient, since they
// are of no use if they arrive late.
func (rc RoutedCopy) LinkClass() transport.Class {
	if rc.Ephemeral {
		return transport.ClassTransient
	}
	return transport.ClassLive
}

// record returns the copy as the record that a fetch would return.
func (rc RoutedCopy) record() partition.Record {
	return partition.Record{
		Topic:           rc.Topic,
		Sender:          rc.Sender,
		Seq:             rc.Seq,
		Offset:          rc.Offset,
		PreviousInTopic: rc.Offset - rc.PriorDistance,
		Data:            rc.Data,
	}
}

func init() {
	transport.MustRegister(602, RoutedCopy{})
	transport.MustRegister(600, RecordCopy{})
	transport.MustRegister(601, EphemeralCopy{})
}

// Interest is what a subscription matches: one topic, or all topics under a prefix.
type Interest struct {
	_      struct{} `cbor:",toarray"`
	Space  string
	Path   string
	Prefix bool
}
