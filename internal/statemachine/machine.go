package statemachine

import "time"

// Machine is a protocol state machine, or a daemon composed of several. All methods are
// called by one goroutine, its owner.
type Machine interface {
	// Start is called once, before any other input.
	Start(now time.Time, effects *Effects)
	// HandleMessage handles a message of another daemon.
	HandleMessage(now time.Time, meta Meta, message any, effects *Effects)
	// HandleCommand handles a request of an adapter (for an operator or a client), or
	// the completion of an effect, such as Synced.
	HandleCommand(now time.Time, command any, effects *Effects)
	// Tick handles the timers that are due at now.
	Tick(now time.Time, effects *Effects)
	// NextTick returns when Tick is to be called next; zero if no timer is armed.
	NextTick() time.Time
	// ConfigurationVersion returns the newest version of the configuration that this
	// machine has received. It is part of every message to another daemon.
	ConfigurationVersion() uint64
}

// LinkObserver is implemented by a machine that reacts to addresses that refuse
// connections: the host is up, but no process listens at the address. A connection
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

// DiskUnavailable is the command that reports that a write to the disk failed. The
// driver keeps retrying and reports Synced once the write succeeds.
type DiskUnavailable struct{}
