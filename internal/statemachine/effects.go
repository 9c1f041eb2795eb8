package statemachine

import "time"

// Effects collects what a machine wants done after one input. The driver carries
// out each kind in the order in which it was appended. Between kinds there is no order:
// a Send may leave before a Write of the same input is durable, so a machine appends
// what relies on a write only once it gets Synced.
type Effects struct {
	Sends      []Send
	Writes     []Write
	Responses  []Response
	Deliveries []Delivery
	LogEvents  []LogEvent
	// Stop ends the process once everything above is carried out.
	Stop bool
}

// Send is a message for the daemon at an address.
type Send struct {
	To      string
	Message any
	// NotAfter, if set, is a deadline by the sender's own clock. The driver checks
	// it when the message leaves and drops an expired one, as a link might.
	NotAfter time.Time
}

// Write asks for entries, or a snapshot that replaces all earlier entries, to be
// written and synced; of a write with both, the snapshot goes first. The driver reports
// completion with Synced and the token, which the machine chooses.
type Write struct {
	Token    uint64
	Entries  [][]byte
	Snapshot []byte
	// BuildSnapshot, if set, is used in place of Snapshot. It encodes a large snapshot
	// in the goroutine that writes it, so that the owner need not wait. It must read only
	// data that no longer changes.
	BuildSnapshot func() []byte
}

// SnapshotBytes returns the snapshot of a write; false if it has none.
func (w Write) SnapshotBytes() ([]byte, bool) {
	if w.BuildSnapshot != nil {
		return w.BuildSnapshot(), true
	}
	return w.Snapshot, w.Snapshot != nil
}

// Response is the final response to a request that an adapter brought in, by the number
// that the adapter gave it.
type Response struct {
	Request uint64
	Value   any
	// NotAfter, if set, is the deadline until which Value may be given; LateValue is
	// given after it.
	NotAfter  time.Time
	LateValue any
}

// ValueAt returns what the requester is given at a moment.
func (r Response) ValueAt(now time.Time) any {
	if BeforeDeadline(r.NotAfter, now) {
		return r.Value
	}
	return r.LateValue
}

// BeforeDeadline reports whether a deadline has not passed; a zero deadline never
// passes.
func BeforeDeadline(deadline, now time.Time) bool {
	return deadline.IsZero() || now.Before(deadline) || Mutated("leave-late")
}

// Delivery is an event for one client session; with Close the session ends after it.
type Delivery struct {
	Session uint64
	Event   any
	Close   bool
}

// EventNumber identifies a kind of log event; package logevent lists them.
type EventNumber int

// LogEvent is a log event with its fields.
type LogEvent struct {
	Number EventNumber
	Fields map[string]any
}

// Send appends a message. An empty address, that of a daemon not known yet, drops it.
func (e *Effects) Send(to string, message any) {
	e.SendBefore(to, message, time.Time{})
}

// SendBefore appends a message that may leave only before a deadline by the
// sender's own clock.
func (e *Effects) SendBefore(to string, message any, deadline time.Time) {
	if to == "" {
		return
	}
	e.Sends = append(e.Sends, Send{To: to, Message: message, NotAfter: deadline})
}

// Respond appends the response to a request.
func (e *Effects) Respond(request uint64, value any) {
	e.Responses = append(e.Responses, Response{Request: request, Value: value})
}

// Emit appends a log event; its fields alternate between names, which are strings, and
// values.
func (e *Effects) Emit(number EventNumber, fields ...any) {
	event := LogEvent{Number: number, Fields: make(map[string]any, len(fields)/2)}
	for index := 0; index+1 < len(fields); index += 2 {
		event.Fields[fields[index].(string)] = fields[index+1]
	}
	e.LogEvents = append(e.LogEvents, event)
}

// Append adds the effects of a later step.
func (e *Effects) Append(later Effects) {
	e.Sends = append(e.Sends, later.Sends...)
	e.Writes = append(e.Writes, later.Writes...)
	e.Responses = append(e.Responses, later.Responses...)
	e.Deliveries = append(e.Deliveries, later.Deliveries...)
	e.LogEvents = append(e.LogEvents, later.LogEvents...)
	e.Stop = e.Stop || later.Stop
}
