// Commands of the control state. A command never carries a record that was read
// when it was made: each of its parts changes single fields, names what it was
// decided on, and is judged again where it is applied. What another command
// changed meanwhile stays, and the order of the log decides between orders that
// exclude each other.

package controller

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Command is one change of the control state. Parts are applied in the order of
// the fields.
type Command struct {
	Configuration *ConfigurationChange `cbor:"Configuration"`
	Retirement    *Retirement          `cbor:"Retirement"`
	// Tolerance, if given, is how many stores may be lost at once from now on.
	Tolerance    *int                             `cbor:"Tolerance"`
	Departures   []Departure                      `cbor:"Departures"`
	Joins        []Join                           `cbor:"Joins"`
	Emptied      []string                         `cbor:"Emptied"`
	Degradations []Degradation                    `cbor:"Degradations"`
	Rests        []Rest                           `cbor:"Rests"`
	Places       []membership.Placement           `cbor:"Places"`
	Settled      []membership.PartitionReplicated `cbor:"Settled"`
	Forgotten    []Departure                      `cbor:"Forgotten"`
}

// ConfigurationChange is an operator's configuration under its number. One that was
// overtaken before it was submitted comes without its document.
type ConfigurationChange struct {
	Version  uint64        `cbor:"Version"`
	Document []byte        `cbor:"Document"`
	Digest   config.Digest `cbor:"Digest"`
	// Highest says that a number below the one in force is confirmed without coming
	// into force; otherwise it is refused.
	Highest bool `cbor:"Highest"`
	// At is when it came, by the clock of the primary, and Through the daemon that
	// passed it on.
	At      time.Time `cbor:"At"`
	Through string    `cbor:"Through"`
}

// Retirement is an operator's order to empty a store, or to use it again. Order is
// its name, by which it is known if it comes again.
type Retirement struct {
	Order    statemachine.RequestID `cbor:"Order"`
	Store    string                 `cbor:"Store"`
	Retiring bool                   `cbor:"Retiring"`
}

// Join is what a daemon says of itself. It replaces an earlier life only if that is
// not newer, or is the one that was known to be silent.
type Join struct {
	Self membership.Member `cbor:"Self"`
	Over uint64            `cbor:"Over"`
}

// Departure ends one life of a member.
type Departure struct {
	Name        string `cbor:"Name"`
	Incarnation uint64 `cbor:"Incarnation"`
}

// Degradation says that a store's disk lags in one of its lives, or no longer does.
type Degradation struct {
	Name        string `cbor:"Name"`
	Incarnation uint64 `cbor:"Incarnation"`
	Degraded    bool   `cbor:"Degraded"`
}

// Rest says that a gateway rests in one of its lives, or no longer does.
type Rest struct {
	Name        string `cbor:"Name"`
	Incarnation uint64 `cbor:"Incarnation"`
	Resting     bool   `cbor:"Resting"`
}

// Outcome says what came of an operator's order where it was applied.
type Outcome int

// The outcomes of orders.
const (
	// Taken orders are in force from here on.
	Taken Outcome = iota
	// Repeated orders were taken before.
	Repeated
	// Overtaken configurations have a number below the one in force, under which
	// nothing else was confirmed.
	Overtaken
	// OtherContent is a configuration under a number that was confirmed with
	// another content.
	OtherContent
	// Faulty configurations don't fit the cluster as it is.
	Faulty
	// UnknownStore is an order for a store that nobody knows.
	UnknownStore
	// TooFewStores would be left by a retirement.
	TooFewStores
)

// result is what came of the order in the command that was applied last.
type result struct {
	outcome Outcome
	faults  []config.Fault
}

// empty tells whether a command changes nothing.
func (c Command) empty() bool {
	return c.Configuration == nil && c.Retirement == nil && c.Tolerance == nil &&
		len(c.Departures)+len(c.Joins)+len(c.Emptied)+len(c.Degradations)+len(c.Rests)+len(c.Places)+len(c.Settled)+len(c.Forgotten) == 0
}

func mustPack(command Command) []byte { return transport.MustMarshal(command) }
