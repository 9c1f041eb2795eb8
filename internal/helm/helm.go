// Package helm holds the contract between every protocol part and the world.
// A machine is a deterministic state machine with a single owner: it is given
// the time, messages, commands and due timers, and it answers with effects
// only. It holds no clock, socket, disk or random source; those are adapters
// around it, so that the daemons and the simulator run the very same code.
package helm

import (
	"time"
)

// Meta tells where a message came from and which configuration version its
// sender held when it was sent.
type Meta struct {
	From    string
	Version uint64
}

// Send asks the adapter to send a message on to a daemon's address.
type Send struct {
	To      string
	Message any
}

// Write asks the adapter to put entries, or a whole frame that replaces all
// earlier entries, on the disk and to come back with Synced once they last. A
// large frame may be given by Pack, which reads nothing that changes and is called
// by whoever writes, so that the owner need not wait for it.
type Write struct {
	Token   uint64
	Entries [][]byte
	Frame   []byte
	Pack    func() []byte
}

// Whole gives the frame of a write, if it has one.
func (write Write) Whole() ([]byte, bool) {
	if write.Pack != nil {
		return write.Pack(), true
	}
	return write.Frame, write.Frame != nil
}

// Return is the final answer to a visit that an adapter brought in.
type Return struct {
	Visit uint64
	Value any
}

// Deliver hands an event to the writer of one channel; Close ends it after.
type Deliver struct {
	Channel uint64
	Event   any
	Close   bool
}

// Note is a numbered log event with its fields.
type Note struct {
	Number int
	Fields map[string]any
}

// Effects collects what a step asks of the world.
type Effects struct {
	Sends    []Send
	Writes   []Write
	Returns  []Return
	Delivers []Deliver
	Notes    []Note
	Stop     bool
}

// Send appends a message to be sent on.
func (effects *Effects) Send(to string, message any) {
	if to == "" {
		return
	}
	effects.Sends = append(effects.Sends, Send{To: to, Message: message})
}

// Append adds what another step asked of the world.
func (effects *Effects) Append(later Effects) {
	effects.Sends = append(effects.Sends, later.Sends...)
	effects.Writes = append(effects.Writes, later.Writes...)
	effects.Returns = append(effects.Returns, later.Returns...)
	effects.Delivers = append(effects.Delivers, later.Delivers...)
	effects.Notes = append(effects.Notes, later.Notes...)
	effects.Stop = effects.Stop || later.Stop
}

// Return appends the answer to a visit.
func (effects *Effects) Return(visit uint64, value any) {
	effects.Returns = append(effects.Returns, Return{Visit: visit, Value: value})
}

// Note appends a log event; fields come in pairs of name and value.
func (effects *Effects) Note(number int, fields ...any) {
	note := Note{Number: number, Fields: make(map[string]any, len(fields)/2)}
	for index := 0; index+1 < len(fields); index += 2 {
		note.Fields[fields[index].(string)] = fields[index+1]
	}
	effects.Notes = append(effects.Notes, note)
}

// Synced tells a machine that a write with this token lasts.
type Synced struct {
	Token uint64
}

// DiskRefused tells a machine that its disk takes no write, and is being tried
// again; Synced comes once it does.
type DiskRefused struct{}

// LinkWatcher is a machine that wants to know of addresses that refuse to be
// dialled: no process listens there, though the machine is up. A link that was
// merely reset is dialled anew and tells nothing.
type LinkWatcher interface {
	Refused(now time.Time, address string, effects *Effects)
}

// Machine is a protocol part, or a daemon made of several.
type Machine interface {
	Start(now time.Time, effects *Effects)
	Message(now time.Time, meta Meta, message any, effects *Effects)
	Command(now time.Time, command any, effects *Effects)
	Due(now time.Time, effects *Effects)
	NextDue() time.Time
	Version() uint64
}
