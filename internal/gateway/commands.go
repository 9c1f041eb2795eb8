package gateway

import (
	"encoding/json"
	"time"
)

// Commands of the adapters. Request (Local in control commands) is the request number that the
// gateway's response refers to. RequestName is the name of the request in recorded decisions.
type (
	// OpenSession opens a session for a client. Session is the number that the adapter assigned, Name
	// is the session name that the client sees, and Client is the name of the client.
	OpenSession struct {
		Request uint64
		Session uint64
		Name    string
		Client  string
		// AdapterPings is set if the adapter itself checks that the client is alive.
		AdapterPings bool
	}
	// CloseSession reports that the connection of a session has ended; it gets no response. Reason is
	// logged; the reason "slow" means that the queue of the session was full.
	CloseSession struct {
		Session uint64
		Reason  string
	}
	// Subscribe adds interests to a session. If Cursor is not empty, they are resumed from it.
	Subscribe struct {
		Request     uint64
		RequestName string
		Session     uint64
		Client      string
		Interests   []Interest
		Cursor      string
	}
	// Unsubscribe removes interests from a session.
	Unsubscribe struct {
		Request     uint64
		RequestName string
		Session     uint64
		Client      string
		Interests   []Interest
	}
	// Publish publishes a message. Sender must equal Client (see senderPolicy). Seq is the sequence
	// number of the message, counted per sender from 1. Space may be empty for a routed topic.
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
	// CountSubscribers requests the number of subscribers of a routed topic over all gateways.
	CountSubscribers struct {
		Request     uint64
		RequestName string
		Session     uint64
		Client      string
		Topic       string
	}
	// ClientActive reports that the client of a session has sent something; it gets no response.
	ClientActive struct{ Session uint64 }
	// Pong is a client's response to a ping.
	Pong struct {
		Request uint64
		Session uint64
		Client  string
	}
	// ControlRequest is an operator's request at the ctl of this daemon.
	ControlRequest struct {
		Local  uint64
		Method string
		Path   string
		Body   []byte
	}
	// FindDecisions searches the recorded decisions with decisionlog.Ring.Find; the response is the
	// list of matching entries.
	FindDecisions struct {
		Local                    uint64
		Request, Message, Client string
	}
	// Stop begins a graceful shutdown.
	Stop struct{}
)

// Reply is the final answer to a client's request: accepted, rejected or unsettled.
type Reply struct {
	// Status is the HTTP status that belongs to the outcome.
	Status  int
	Outcome Outcome
	// Code and Text are the reason if the request was not accepted. Both are part of the client
	// protocol.
	Code string
	Text string
	// RetryAfter is the delay after which a retry may succeed, 0 if no retry can succeed.
	RetryAfter time.Duration
	// Fields are added to the JSON object of the answer.
	Fields map[string]any
	// Cursor is the cursor of a subscription to a routed topic. SubscriberCount is the answer to
	// CountSubscribers.
	Cursor          string
	SubscriberCount int
}

// Outcome is the outcome of a request that is reported to the client.
type Outcome string

// Outcomes of requests. The values are part of the client protocol.
const (
	// OutcomeAccepted means that the request was carried out.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected means that the request had no effect.
	OutcomeRejected Outcome = "refused"
	// OutcomeUnsettled means that a message may or may not have been appended.
	OutcomeUnsettled Outcome = "unsettled"
)

// acceptedReply returns the answer to a request that was carried out; fields are added to its JSON.
func acceptedReply(fields map[string]any) Reply {
	return Reply{Status: 200, Outcome: OutcomeAccepted, Fields: fields}
}

// rejectedReply returns the answer to a request that had no effect. A retryAfter of zero means that
// no retry can succeed.
func rejectedReply(status int, code, text string, retryAfter time.Duration) Reply {
	return Reply{
		Status:     status,
		Outcome:    OutcomeRejected,
		Code:       code,
		Text:       text,
		RetryAfter: retryAfter,
	}
}

// unsettledReply returns the answer to a publication that may or may not have been appended; the
// client must send the message again with the same sequence.
func unsettledReply(code, text string, retryAfter time.Duration) Reply {
	return Reply{
		Status:     503,
		Outcome:    OutcomeUnsettled,
		Code:       code,
		Text:       text,
		RetryAfter: retryAfter,
	}
}

// expiredCursorReply returns the answer to a subscription whose cursor is older than the retention.
func expiredCursorReply() Reply {
	text := "what was missed is older than the space holds; subscribe without the cursor"
	return rejectedReply(410, CodeCursorExpired, text, 0)
}

// Event is an event of a session that an adapter sends to the client. The JSON keys are part of the
// client protocol.
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
	// Body is the data of a message of a routed topic; it may contain arbitrary bytes.
	Body   []byte `json:"-"`
	Cursor string `json:"cursor,omitempty"`
	Code   string `json:"code,omitempty"`
	To     string `json:"to,omitempty"`
	ToName string `json:"to_name,omitempty"`
}
