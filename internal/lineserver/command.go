// Package lineserver serves callers on plain connections: each keeps one open, asks
// on it and is told on it. What the bytes mean is a Protocol's matter; the server
// reads commands through it, brings them to the gateway in the order in which
// each connection sent them, and writes answers and events back.
package lineserver

import (
	"dahlialock/internal/gateway"
)

// Kind is what a caller's command asks for.
type Kind uint8

// Kinds of commands.
const (
	// Unreadable asks for nothing that could be done: Fault tells why.
	Unreadable Kind = iota
	Open
	Subscribe
	Unsubscribe
	Publish
	Count
	Ping
)

// kindNames are the kinds' names where they are counted.
var kindNames = [...]string{
	Unreadable: "unreadable", Open: "open", Subscribe: "subscribe", Unsubscribe: "unsubscribe", Publish: "publish", Count: "count", Ping: "ping",
}

// Codes of what the server itself refuses.
const (
	CodeMalformed = "malformed"
	CodeTooLarge  = "too-large"
	CodeNotOpen   = "no-such-channel"
	CodeTwice     = "already-open"
	CodeStranger  = "not-authentic"
	CodeStopping  = "stopping"
)

// Command is one thing a caller asks. What its slices show is only valid until
// the next bytes are read.
type Command struct {
	Kind   Kind
	Word   []byte // as the caller wrote it
	Origin []byte
	Token  []byte
	Topic  []byte
	Cursor []byte
	Seq    uint64
	Body   []byte
	// Fault is the code of why nothing can be done with it.
	Fault string
	// Lost is set if what follows can't be read any more.
	Lost bool
}

// About is what an answer has to repeat of its command.
type About struct {
	Kind  Kind
	Word  string
	Topic string
	Seq   uint64
}

// Protocol reads commands from bytes and writes what goes back. The appending
// methods append to a buffer and give it back, as append does.
type Protocol interface {
	// Read reads the first command. It gives how many bytes that takes: none if
	// more must come first, and more than there are if bytes yet to come belong to
	// a command that is not wanted whole.
	Read(bytes []byte) (Command, int)
	AppendAnswer(buffer []byte, about About, answer gateway.Reply) []byte
	AppendEvent(buffer []byte, event gateway.Event) []byte
	AppendPong(buffer []byte) []byte
}
