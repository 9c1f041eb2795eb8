package controller

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Command is one change of the control state, as an entry of the replicated log. Its parts
// are applied in the order of the fields.
//
// A command never carries a record that was read when it was made. Each part changes single
// fields, names what it was decided on, and is checked again where it is applied. So what
// another command changed meanwhile stays, and the order of the log decides between orders
// that exclude each other.
//
// Commands are stored: the keys of this type and of its parts never change.
type Command struct {
	Configuration *ConfigurationChange `cbor:"Configuration"`
	Retirement    *Retirement          `cbor:"Retirement"`
	// Tolerance, if given, is how many stores may be lost at once from now on.
	Tolerance *int `cbor:"Tolerance"`
	// Leaves end incarnations of members that have failed or left.
	Leaves []MemberIncarnation `cbor:"Departures"`
	Joins  []Join              `cbor:"Joins"`
	// RetiredStores are the retiring stores that no partition needs any more.
	RetiredStores []string      `cbor:"Emptied"`
	Degradations  []Degradation `cbor:"Degradations"`
	RestChanges   []RestChange  `cbor:"Rests"`
	// Placements are the next epochs of partitions.
	Placements []membership.Placement `cbor:"Places"`
	// Replicated are the partitions whose replicas all have the records.
	Replicated []membership.PartitionReplicated `cbor:"Settled"`
	// Removals are the dead members of which only a tombstone is to stay.
	Removals []MemberIncarnation `cbor:"Forgotten"`
}

// ConfigurationChange is an operator's configuration under its version.
type ConfigurationChange struct {
	Version uint64 `cbor:"Version"`
	// Document is empty if the version was superseded before it was submitted.
	Document []byte        `cbor:"Document"`
	Digest   config.Digest `cbor:"Digest"`
	// HighestWins acknowledges a version below the one in force without bringing it into
	// force; otherwise it is refused.
	HighestWins bool `cbor:"Highest"`
	// ReceivedAt is when the primary received it, by the primary's clock, and ForwardedBy
	// the address of the daemon that forwarded it.
	ReceivedAt  time.Time `cbor:"At"`
	ForwardedBy string    `cbor:"Through"`
}

// Retirement is an operator's order to retire a store, or to use it again.
type Retirement struct {
	// Order identifies the order, so that it is recognized when it is sent again.
	Order    statemachine.RequestID `cbor:"Order"`
	Store    string                 `cbor:"Store"`
	Retiring bool                   `cbor:"Retiring"`
}

// Join is a member as it describes itself. It replaces an earlier incarnation only if that
// is not newer, or if it is the silent one that Replaces names.
type Join struct {
	Self     membership.Member `cbor:"Self"`
	Replaces uint64            `cbor:"Over"`
}

// MemberIncarnation names one incarnation of a member.
type MemberIncarnation struct {
	Name        string `cbor:"Name"`
	Incarnation uint64 `cbor:"Incarnation"`
}

// Degradation says that the disk of one incarnation of a store is slow, or no longer is.
type Degradation struct {
	Name        string `cbor:"Name"`
	Incarnation uint64 `cbor:"Incarnation"`
	Degraded    bool   `cbor:"Degraded"`
}

// RestChange says that one incarnation of a gateway rests, or no longer does.
type RestChange struct {
	Name        string `cbor:"Name"`
	Incarnation uint64 `cbor:"Incarnation"`
	Resting     bool   `cbor:"Resting"`
}

// empty reports whether a command changes nothing.
func (c Command) empty() bool {
	if c.Configuration != nil || c.Retirement != nil || c.Tolerance != nil {
		return false
	}
	memberChanges := len(c.Leaves) + len(c.Joins) + len(c.RetiredStores) + len(c.Degradations) +
		len(c.RestChanges) + len(c.Removals)
	return memberChanges+len(c.Placements)+len(c.Replicated) == 0
}

func encodeCommand(command Command) []byte { return transport.MustMarshal(command) }
