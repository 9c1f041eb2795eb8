package statemachine

import "time"

// Machine is a protocol part, or a daemon composed of several. All methods are
// called by one goroutine, its owner.
type Machine interface {
	// Start is called once, before any other input.
	Start(now time.Time, effects *Effects)
	// HandleMessage is given a message that another daemon sent.
	HandleMessage(now time.Time, meta Meta, message any, effects *Effects)
	// HandleCommand is given a request of an adapter (an operator, a client), or
	// the completion of an effect such as Synced.
	HandleCommand(now time.Time, command any, effects *Effects)
	// Tick runs whatever is due at now.
	Tick(now time.Time, effects *Effects)
	// NextTick is when Tick is to be called next; zero if no timer is armed.
	NextTick() time.Time
	// ConfigurationVersion is the newest version of the configuration known here.
	// Every message to another daemon carries it.
	ConfigurationVersion() uint64
}

// LinkObserver is implemented by a machine that wants to know of addresses that
// refuse connections: the host is up but no process listens there. A connection
// that was merely reset is dialled again and not reported.
type LinkObserver interface {
	ConnectionRefused(now time.Time, address string, effects *Effects)
}

// Meta describes the sender of a message.
type Meta struct {
	// From is the sender's address.
	From string
	// Version is the sender's configuration version when it sent the message.
	Version uint64
}

// Synced is the command that reports that the Write with this token is durable.
type Synced struct {
	Token uint64
}

// DiskUnavailable is the command that reports that the disk rejects writes. The
// driver keeps retrying; Synced follows once the write succeeds.
type DiskUnavailable struct{}
