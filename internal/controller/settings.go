package controller

import (
	"time"

	"dahlialock/internal/consensus"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Settings are the settings of a controller daemon.
type Settings struct {
	// Self is this controller as a member of the cluster.
	Self membership.Member
	// ControllerCount is how many controllers the cluster is meant to have.
	ControllerCount int
	// Seeds are the addresses of controllers to contact first.
	Seeds []string
	// Bootstrap lets this controller found a cluster that has no epoch yet.
	Bootstrap bool
	// NewDisk names the disk if nothing is stored on it yet.
	NewDisk string
	// Incarnation names this run of the process.
	Incarnation statemachine.Incarnation
	// HighestWins acknowledges a configuration whose version is below the one in force
	// without bringing it into force; otherwise it is a conflict, unless the same content
	// was accepted under that version.
	HighestWins bool
	// AcknowledgeTimeout is the time within which a valid order is to be acknowledged.
	AcknowledgeTimeout time.Duration
	// ContactTimeout is the time within which a daemon that lost contact with the cluster is to
	// have it again (contact in the settings); failure timeouts derive from it, see timeoutsFor.
	ContactTimeout time.Duration
	// Tolerance is how many machines with a disk may be lost at once; nil leaves the
	// tolerance of the control state as it is.
	Tolerance *int
	// StopGracePeriod is how long a daemon that was asked to stop may go on running.
	StopGracePeriod time.Duration
}

// tolerance is the configured tolerance, or the default.
func (s Settings) tolerance() int {
	if s.Tolerance != nil {
		return *s.Tolerance
	}
	return DefaultTolerance
}

// consensusSettings are the settings of the controller's consensus node.
func (s Settings) consensusSettings() consensus.Settings {
	return consensus.Settings{
		Self: consensus.Controller{
			Name:    s.Self.Name,
			Address: s.Self.Address,
			Zone:    s.Self.Zone,
		},
		ClusterSize: s.ControllerCount,
		Seeds:       s.Seeds,
		Bootstrap:   s.Bootstrap,
		Tolerance:   s.tolerance(),
		NewDiskID:   s.NewDisk,
		Incarnation: s.Incarnation,
	}
}
