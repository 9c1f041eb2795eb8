// Package statemachine holds the contract between every protocol part and the world.
// A machine is a deterministic state machine with a single owner: it is given
// the time, messages, commands and due timers, and it answers with effects
// only. It holds no clock, socket, disk or random source; those are adapters
// around it, so that the daemons and the simulator run the very same code.
package statemachine

import (
	"time"
)

// Meta tells where a message came from and which configuration version its
// sender held when it was sent.
type Meta struct {
	From    string
	Version uint64
}

// Send asks the adapter to send a message on to a daemon's address. One with a
// NotAfter says what its sender may say only until then, by the sender's own
// clock: the adapter looks at the clock once more when the message leaves, and
// drops it where the moment has passed, as a link might.
type Send struct {
	To       string
	Message  any
	NotAfter time.Time
}

// Write asks the adapter to put entries, or a whole frame that replaces all
// earlier entries, on the disk and to come back with Synced once they last. A
// large frame may be given by Pack, which reads nothing that changes and is called
// by whoever writes, so that the owner need not wait for it.
type Write struct {
	Token         uint64
	Entries       [][]byte
	Snapshot      []byte
	BuildSnapshot func() []byte
}

// SnapshotBytes gives the frame of a write, if it has one.
func (w Write) SnapshotBytes() ([]byte, bool) {
	if w.BuildSnapshot != nil {
		return w.BuildSnapshot(), true
	}
	return w.Snapshot, w.Snapshot != nil
}

// Response is the final answer to a request that an adapter brought in. One with a
// NotAfter may be given only until then; whoever asked is given Late after.
type Response struct {
	Request   uint64
	Value     any
	NotAfter  time.Time
	LateValue any
}

// ValueAt is what the asker is told at a moment.
func (r Response) ValueAt(now time.Time) any {
	if BeforeDeadline(r.NotAfter, now) {
		return r.Value
	}
	return r.LateValue
}

// BeforeDeadline tells whether what may be said until a moment may leave now; a zero
// moment is no bound.
func BeforeDeadline(notAfter, now time.Time) bool {
	return notAfter.IsZero() || now.Before(notAfter) || Mutated("leave-late")
}

// Delivery hands an event to the writer of one channel; Close ends it after.
type Delivery struct {
	Session uint64
	Event   any
	Close   bool
}

// LogEvent is a numbered log event with its fields.
type LogEvent struct {
	Number int
	Fields map[string]any
}

// Effects collects what a step asks of the world.
type Effects struct {
	Sends      []Send
	Writes     []Write
	Responses  []Response
	Deliveries []Delivery
	LogEvents  []LogEvent
	Stop       bool
}

// Send appends a message to be sent on.
func (e *Effects) Send(to string, message any) {
	if to == "" {
		return
	}
	e.Sends = append(e.Sends, Send{To: to, Message: message})
}

// SendBefore appends a message that may leave only before a moment.
func (e *Effects) SendBefore(to string, message any, notAfter time.Time) {
	if to == "" {
		return
	}
	e.Sends = append(e.Sends, Send{To: to, Message: message, NotAfter: notAfter})
}

// Append adds what another step asked of the world.
func (e *Effects) Append(later Effects) {
	e.Sends = append(e.Sends, later.Sends...)
	e.Writes = append(e.Writes, later.Writes...)
	e.Responses = append(e.Responses, later.Responses...)
	e.Deliveries = append(e.Deliveries, later.Deliveries...)
	e.LogEvents = append(e.LogEvents, later.LogEvents...)
	e.Stop = e.Stop || later.Stop
}

// Respond appends the answer to a request.
func (e *Effects) Respond(request uint64, value any) {
	e.Responses = append(e.Responses, Response{Request: request, Value: value})
}

// Emit appends a log event; fields come in pairs of name and value.
func (e *Effects) Emit(number int, fields ...any) {
	event := LogEvent{Number: number, Fields: make(map[string]any, len(fields)/2)}
	for index := 0; index+1 < len(fields); index += 2 {
		event.Fields[fields[index].(string)] = fields[index+1]
	}
	e.LogEvents = append(e.LogEvents, event)
}

// Synced tells a machine that a write with this token lasts.
type Synced struct {
	Token uint64
}

// DiskUnavailable tells a machine that its disk takes no write, and is being tried
// again; Synced comes once it does.
type DiskUnavailable struct{}

// LinkObserver is a machine that wants to know of addresses that refuse to be
// dialled: no process listens there, though the machine is up. A link that was
// merely reset is dialled anew and tells nothing.
type LinkObserver interface {
	ConnectionRefused(now time.Time, address string, effects *Effects)
}

// Machine is a protocol part, or a daemon made of several.
type Machine interface {
	Start(now time.Time, effects *Effects)
	HandleMessage(now time.Time, meta Meta, message any, effects *Effects)
	HandleCommand(now time.Time, command any, effects *Effects)
	Tick(now time.Time, effects *Effects)
	NextTick() time.Time
	ConfigurationVersion() uint64
}
