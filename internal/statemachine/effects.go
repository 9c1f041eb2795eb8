package statemachine

import "time"

// Effects collects the effects of one input. The driver executes the effects of each
// kind in the order in which they were appended. There is no order between kinds: a Send
// may be sent before a Write of the same input is durable, so a machine appends effects
// that depend on a write only after it has received Synced.
type Effects struct {
	Sends      []Send
	Writes     []Write
	Responses  []Response
	Deliveries []Delivery
	LogEvents  []LogEvent
	// Stop ends the process once all other effects are executed.
	Stop bool
}

// Send is a message to the daemon at an address.
type Send struct {
	To      string
	Message any
	// NotAfter, if set, is a deadline by the sender's own clock. The driver checks it
	// when it sends the message, and drops the message if the deadline has passed. To the
	// machine this looks like a message lost by the network.
	NotAfter time.Time
}

// Write requests that entries, or a snapshot that replaces all earlier entries, are
// written and synced. If a write has both, the snapshot is written first. The driver
// reports completion by Synced with the token, which the machine chooses.
type Write struct {
	Token    uint64
	Entries  [][]byte
	Snapshot []byte
	// BuildSnapshot, if set, is used instead of Snapshot. It encodes a large snapshot
	// in the goroutine that writes it, so that the owner is not blocked. It must read only
	// data that no longer changes.
	BuildSnapshot func() []byte
}

// SnapshotBytes returns the snapshot of a write, or false if it has none.
func (w Write) SnapshotBytes() ([]byte, bool) {
	if w.BuildSnapshot != nil {
		return w.BuildSnapshot(), true
	}
	return w.Snapshot, w.Snapshot != nil
}

// Response is the final response to a request of an adapter. Request is the number that
// the adapter assigned to the request.
type Response struct {
	Request uint64
	Value   any
	// NotAfter, if set, is the deadline until which Value may be returned to the client.
	// LateValue is returned after it.
	NotAfter  time.Time
	LateValue any
}

// ValueAt returns the value to respond with at the time now.
func (r Response) ValueAt(now time.Time) any {
	if BeforeDeadline(r.NotAfter, now) {
		return r.Value
	}
	return r.LateValue
}

// BeforeDeadline reports whether now is before a deadline. A zero deadline never passes.
func BeforeDeadline(deadline, now time.Time) bool {
	return deadline.IsZero() || now.Before(deadline) || Mutated("leave-late")
}

// Delivery is an event for one client session. With Close the session ends after the event.
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

// Send appends a message. It drops a message to the empty address, which stands for a
// daemon whose address is not known yet.
func (e *Effects) Send(to string, message any) {
	e.SendBefore(to, message, time.Time{})
}

// SendBefore appends a message that may be sent only before a deadline by the
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

// Emit appends a log event. Its fields alternate between names, which are strings, and
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
