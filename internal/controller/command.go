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
// A command does not contain copies of records of the state on which it was decided. Each part
// changes single fields, identifies what it was decided on (such as an incarnation or an epoch),
// and is checked again when it is applied. So a command does not overwrite the changes of a command
// that was committed before it, and log order decides between conflicting orders.
//
// Commands are stored, so the keys of this type and of its parts must not change.
type Command struct {
	Configuration *ConfigurationChange `cbor:"Configuration"`
	Retirement    *Retirement          `cbor:"Retirement"`
	// Tolerance is the new number of stores that may be lost at once; nil if it does not
	// change.
	Tolerance *int `cbor:"Tolerance"`
	// Leaves lists the incarnations of members that have failed or left.
	Leaves []MemberIncarnation `cbor:"Departures"`
	Joins  []Join              `cbor:"Joins"`
	// RetiredStores lists the retiring stores that no partition needs any more.
	RetiredStores []string      `cbor:"Emptied"`
	Degradations  []Degradation `cbor:"Degradations"`
	RestChanges   []RestChange  `cbor:"Rests"`
	// Placements lists the new placements of partitions, each with its next epoch.
	Placements []membership.Placement `cbor:"Places"`
	// Replicated lists the partitions whose replicas all have the records.
	Replicated []membership.PartitionReplicated `cbor:"Settled"`
	// Removals lists the dead members to be replaced by tombstones.
	Removals []MemberIncarnation `cbor:"Forgotten"`
}

// ConfigurationChange is an operator's order to put a configuration into force.
type ConfigurationChange struct {
	Version uint64 `cbor:"Version"`
	// Document is empty if the version was already superseded when the order was submitted.
	Document []byte        `cbor:"Document"`
	Digest   config.Digest `cbor:"Digest"`
	// HighestWins determines the response if the version is below the one in force: the order
	// is acknowledged without effect if set, and rejected otherwise.
	HighestWins bool `cbor:"Highest"`
	// ReceivedAt is when the primary received the order, by the primary's clock, and
	// ForwardedBy is the address of the daemon that forwarded it.
	ReceivedAt  time.Time `cbor:"At"`
	ForwardedBy string    `cbor:"Through"`
}

// Retirement is an operator's order to retire a store or to return it to use.
type Retirement struct {
	// Order identifies the order, so that a retry of the same order is recognized.
	Order    statemachine.RequestID `cbor:"Order"`
	Store    string                 `cbor:"Store"`
	Retiring bool                   `cbor:"Retiring"`
}

// Join adds a member, or another incarnation of a member, as the member describes itself. A
// lower incarnation than the known one is accepted only if Replaces is the known incarnation,
// which had stopped polling when the join was decided.
type Join struct {
	Self     membership.Member `cbor:"Self"`
	Replaces uint64            `cbor:"Over"`
}

// MemberIncarnation identifies one incarnation of a member.
type MemberIncarnation struct {
	Name        string `cbor:"Name"`
	Incarnation uint64 `cbor:"Incarnation"`
}

// Degradation marks one incarnation of a store as degraded by a slow disk, or as recovered.
type Degradation struct {
	Name        string `cbor:"Name"`
	Incarnation uint64 `cbor:"Incarnation"`
	Degraded    bool   `cbor:"Degraded"`
}

// RestChange marks one incarnation of a gateway as resting, or as active again.
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
