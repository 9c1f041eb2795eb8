package controller

import (
	"fmt"

	"dahlialock/internal/config"
)

// Outcome is the outcome of an operator's order, decided when its command is applied.
type Outcome int

// The outcomes of orders.
const (
	// Accepted orders are in force.
	Accepted Outcome = iota
	// Duplicate orders have been accepted before, or request the state that is already in force.
	Duplicate
	// Superseded configurations have a version that is not above the one in force and that was
	// never in force according to the history.
	Superseded
	// ContentConflict is the outcome of a configuration whose version was acknowledged before
	// with other content.
	ContentConflict
	// InvalidConfiguration is the outcome of a configuration with faults, for example drains
	// that would leave no live gateway.
	InvalidConfiguration
	// UnknownStore is the outcome of an order for a store that is not known.
	UnknownStore
	// TooFewStores is the outcome of a retirement that would leave too few stores.
	TooFewStores
)

// String returns a readable name, for test output.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Duplicate:
		return "duplicate"
	case Superseded:
		return "superseded"
	case ContentConflict:
		return "content conflict"
	case InvalidConfiguration:
		return "invalid configuration"
	case UnknownStore:
		return "unknown store"
	case TooFewStores:
		return "too few stores"
	}
	return fmt.Sprintf("outcome %d", int(o))
}

// orderResult is the result of the order in the command that was applied last.
type orderResult struct {
	outcome Outcome
	// faults are the faults of an invalid configuration.
	faults []config.Fault
}
