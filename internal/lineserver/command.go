// The commands of clients and the Protocol that decodes and encodes them. Clients
// keep one TCP connection open, send commands on it and receive responses and
// events on it. A Protocol defines the wire format; the server decodes commands
// with it, submits them to the gateway in the order in which each connection sent
// them, and writes responses and events back.

package lineserver

import (
	"dahlialock/internal/gateway"
)

// Kind is the type of a client's command.
type Kind uint8

// Kinds of commands.
const (
	// Unreadable is a command that could not be decoded; Code holds the error code.
	Unreadable Kind = iota
	Open
	Subscribe
	Unsubscribe
	Publish
	Count
	Ping
)

// kindNames holds the names under which responses are counted.
var kindNames = [...]string{
	Unreadable:  "unreadable",
	Open:        "open",
	Subscribe:   "subscribe",
	Unsubscribe: "unsubscribe",
	Publish:     "publish",
	Count:       "count",
	Ping:        "ping",
}

// Error codes of commands that the server rejects itself, without the gateway.
const (
	CodeMalformed    = "malformed"
	CodeTooLarge     = gateway.CodeTooLarge
	CodeNotOpen      = gateway.CodeNoSuchSession
	CodeAlreadyOpen  = "already-open"
	CodeNotAuthentic = "not-authentic"
	CodeStopping     = gateway.CodeStopping
)

// Command is one command of a client. Its slices refer to the read buffer and are
// only valid until the next read.
type Command struct {
	Kind   Kind
	Word   []byte // the command word as the client sent it
	Client []byte
	Token  []byte
	Topic  []byte
	Cursor []byte
	Seq    uint64
	Body   []byte
	// Code is the error code of a command that can't be executed; empty otherwise.
	Code string
	// StreamLost is set if the position in the stream is lost, so that no later bytes can be decoded.
	StreamLost bool
}

// CommandRef holds the fields of a command that its response repeats.
type CommandRef struct {
	Kind  Kind
	Word  string
	Topic string
	Seq   uint64
}

// Protocol decodes commands and encodes responses and events. The Append methods
// append to a buffer and return it, as the built-in append does.
type Protocol interface {
	// Read decodes the first command and returns the number of bytes that it takes:
	// 0 if the command is still incomplete, and more than len(bytes) if the server has
	// to skip bytes that have not arrived yet (the rest of a command that is rejected
	// before its end).
	Read(bytes []byte) (Command, int)
	AppendAnswer(buffer []byte, ref CommandRef, answer gateway.Reply) []byte
	AppendEvent(buffer []byte, event gateway.Event) []byte
	AppendPong(buffer []byte) []byte
}
