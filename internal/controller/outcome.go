package controller

import (
	"fmt"

	"dahlialock/internal/config"
)

// Outcome says what became of an operator's order where it was applied.
type Outcome int

// The outcomes of orders.
const (
	// Accepted orders are in force from here on.
	Accepted Outcome = iota
	// Duplicate orders were accepted before.
	Duplicate
	// Superseded configurations have a version that is not above the one in force, and of which
	// no other decision is remembered.
	Superseded
	// ContentConflict is a configuration under a version that was confirmed with other
	// content.
	ContentConflict
	// InvalidConfiguration is a configuration that does not fit the cluster as it is.
	InvalidConfiguration
	// UnknownStore is an order for a store that is not known.
	UnknownStore
	// TooFewStores would be left by a retirement.
	TooFewStores
)

// String names the outcome in the results of tests.
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

// orderResult is what became of the order in the command that was applied last.
type orderResult struct {
	outcome Outcome
	// faults are the faults of an invalid configuration.
	faults []config.Fault
}
