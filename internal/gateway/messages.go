// What gateways say to each other about messages, what their adapters bring in
// from callers, and what goes back to callers.

package gateway

import (
	"encoding/json"
	"time"

	"dahlialock/internal/partition"
	"dahlialock/internal/transport"
)

// Carry is the one copy of a kept message for one destination daemon.
type Carry struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Record    partition.Record
}

// Pass is the one copy of a passing message for one destination daemon.
type Pass struct {
	_      struct{} `cbor:",toarray"`
	Space  string
	Topic  string
	Sender string
	Seq    uint64
	Data   []byte
	// Late is set where it is offered again, to a gateway that was just found.
	Late bool
}

// RoutedCopy is the one copy of a message of a routed topic for one destination
// daemon; the partition follows from the topic.
type RoutedCopy struct {
	_      struct{} `cbor:",toarray"`
	Topic  string
	Sender string
	Seq    uint64
	Offset uint64
	// Behind is how far the topic's record before it lies below Offset.
	Behind uint64
	Data   []byte
	// Passing tells that nothing of it is kept.
	Passing bool
}

// LinkClass tells that a passing message is of use now or never.
func (rc RoutedCopy) LinkClass() transport.Class {
	if rc.Passing {
		return transport.ClassUrgent
	}
	return transport.ClassLive
}

func (rc RoutedCopy) record() partition.Record {
	return partition.Record{
		Topic: rc.Topic, Sender: rc.Sender, Seq: rc.Seq, Offset: rc.Offset, PreviousInTopic: rc.Offset - rc.Behind, Data: rc.Data,
	}
}

func init() {
	transport.MustRegister(602, RoutedCopy{})
	transport.MustRegister(600, Carry{})
	transport.MustRegister(601, Pass{})
}

// Interest is what a subscription asks for: one topic, or all under a prefix.
type Interest struct {
	_     struct{} `cbor:",toarray"`
	Space string
	Path  string
	Wide  bool
}

// Commands from the adapters.
type (
	// OpenChannel begins a channel for an origin.
	OpenChannel struct {
		Request uint64
		Channel uint64
		Name    string
		Origin  string
		// Lines tells that the adapter itself watches whether the caller lives.
		Lines bool
	}
	// CloseChannel ends it.
	CloseChannel struct {
		Channel uint64
		Why     string
	}
	// Subscribe adds interests to a channel, from a cursor on if there is one.
	Subscribe struct {
		Request     uint64
		RequestName string
		Channel     uint64
		Origin      string
		Interests   []Interest
		Cursor      string
	}
	// Unsubscribe takes interests away.
	Unsubscribe struct {
		Request     uint64
		RequestName string
		Channel     uint64
		Origin      string
		Interests   []Interest
	}
	// Publish sends a message on.
	Publish struct {
		Request     uint64
		RequestName string
		Origin      string
		Sender      string
		Space       string
		Topic       string
		Seq         uint64
		Data        []byte
	}
	// Count asks how many origins subscribe to a routed topic, over all gateways.
	Count struct {
		Request     uint64
		RequestName string
		Channel     uint64
		Origin      string
		Topic       string
	}
	// Heard tells that a channel's caller said something.
	Heard struct{ Channel uint64 }
	// Pong answers a ping.
	Pong struct {
		Request uint64
		Channel uint64
		Origin  string
	}
	// ControlRequest is an operator's request at this daemon's own ctl.
	ControlRequest struct {
		Local  uint64
		Method string
		Path   string
		Body   []byte
	}
	// FindDecisions asks the ring of recorded decisions.
	FindDecisions struct {
		Local                    uint64
		Request, Message, Origin string
	}
	// Stop asks the gateway to end in good order.
	Stop struct{}
)

// Answer goes back to a caller: accepted, refused for sure, or unsettled.
type Answer struct {
	Status     int
	Outcome    string
	Code       string
	Text       string
	RetryAfter time.Duration
	Fields     map[string]any
	// Cursor is the place of a subscription to a routed topic, Number a count of
	// its subscribers.
	Cursor string
	Number int
}

// Outcomes as callers see them.
const (
	OutcomeAccepted  = "accepted"
	OutcomeRefused   = "refused"
	OutcomeUnsettled = "unsettled"
)

func accepted(fields map[string]any) Answer {
	return Answer{Status: 200, Outcome: OutcomeAccepted, Fields: fields}
}

func refused(status int, code, text string, back time.Duration) Answer {
	return Answer{Status: status, Outcome: OutcomeRefused, Code: code, Text: text, RetryAfter: back}
}

func unsettled(code, text string, back time.Duration) Answer {
	return Answer{Status: 503, Outcome: OutcomeUnsettled, Code: code, Text: text, RetryAfter: back}
}

// Event is one line on a channel.
type Event struct {
	Event   string          `json:"event"`
	Channel string          `json:"channel,omitempty"`
	Daemon  string          `json:"daemon,omitempty"`
	Zone    string          `json:"zone,omitempty"`
	Version uint64          `json:"version,omitempty"`
	Space   string          `json:"space,omitempty"`
	Topic   string          `json:"topic,omitempty"`
	Sender  string          `json:"sender,omitempty"`
	Seq     uint64          `json:"seq,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	// Body is the data of a message of a routed topic, whatever its bytes.
	Body   []byte `json:"-"`
	Cursor string `json:"cursor,omitempty"`
	Code   string `json:"code,omitempty"`
	To     string `json:"to,omitempty"`
	ToName string `json:"to_name,omitempty"`
}
