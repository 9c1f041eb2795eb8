package gateway

import (
	"encoding/json"
	"time"
)

// Commands from the adapters.
type (
	// OpenSession begins a channel for an origin.
	OpenSession struct {
		Request uint64
		Session uint64
		Name    string
		Client  string
		// AdapterPings tells that the adapter itself watches whether the caller lives.
		AdapterPings bool
	}
	// CloseSession ends it.
	CloseSession struct {
		Session uint64
		Reason  string
	}
	// Subscribe adds interests to a channel, from a cursor on if there is one.
	Subscribe struct {
		Request     uint64
		RequestName string
		Session     uint64
		Client      string
		Interests   []Interest
		Cursor      string
	}
	// Unsubscribe takes interests away.
	Unsubscribe struct {
		Request     uint64
		RequestName string
		Session     uint64
		Client      string
		Interests   []Interest
	}
	// Publish sends a message on.
	Publish struct {
		Request     uint64
		RequestName string
		Client      string
		Sender      string
		Space       string
		Topic       string
		Seq         uint64
		Data        []byte
	}
	// CountSubscribers asks how many origins subscribe to a routed topic, over all gateways.
	CountSubscribers struct {
		Request     uint64
		RequestName string
		Session     uint64
		Client      string
		Topic       string
	}
	// ClientActive tells that a channel's caller said something.
	ClientActive struct{ Session uint64 }
	// Pong answers a ping.
	Pong struct {
		Request uint64
		Session uint64
		Client  string
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
		Request, Message, Client string
	}
	// Stop asks the gateway to end in good order.
	Stop struct{}
)

// Reply goes back to a caller: accepted, refused for sure, or unsettled.
type Reply struct {
	Status     int
	Outcome    string
	Code       string
	Text       string
	RetryAfter time.Duration
	Fields     map[string]any
	// Cursor is the place of a subscription to a routed topic, Number a count of
	// its subscribers.
	Cursor          string
	SubscriberCount int
}

// Outcomes as callers see them.
const (
	OutcomeAccepted  = "accepted"
	OutcomeRejected  = "refused"
	OutcomeUnsettled = "unsettled"
)

func acceptedReply(fields map[string]any) Reply {
	return Reply{Status: 200, Outcome: OutcomeAccepted, Fields: fields}
}

func rejectedReply(status int, code, text string, retryAfter time.Duration) Reply {
	return Reply{Status: status, Outcome: OutcomeRejected, Code: code, Text: text, RetryAfter: retryAfter}
}

func unsettledReply(code, text string, retryAfter time.Duration) Reply {
	return Reply{Status: 503, Outcome: OutcomeUnsettled, Code: code, Text: text, RetryAfter: retryAfter}
}

// Event is one line on a channel.
type Event struct {
	Event   string          `json:"event"`
	Session string          `json:"channel,omitempty"`
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
