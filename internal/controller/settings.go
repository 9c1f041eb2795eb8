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
	// ControllerCount is the intended number of controllers in the cluster.
	ControllerCount int
	// Seeds are the addresses of controllers to contact first.
	Seeds []string
	// Bootstrap allows this controller to bootstrap a cluster that has no epoch yet.
	Bootstrap bool
	// NewDisk is the identifier to assign to the disk if it is empty.
	NewDisk string
	// Incarnation identifies this run of the process.
	Incarnation statemachine.Incarnation
	// HighestWins acknowledges a configuration whose version is below the one in force,
	// without putting it into force. Without HighestWins it is rejected as a conflict, unless
	// the same content was accepted under that version.
	HighestWins bool
	// AcknowledgeTimeout is the time within which a valid order must be acknowledged.
	AcknowledgeTimeout time.Duration
	// ContactTimeout is the time within which a daemon that has lost contact with the cluster
	// must regain it (contact in the settings). The failure timeouts are derived from it, see
	// timeoutsFor.
	ContactTimeout time.Duration
	// Tolerance is how many machines with a disk may be lost at once; nil leaves the
	// tolerance in the control state unchanged.
	Tolerance *int
	// StopGracePeriod is how long the daemon may continue to run after a stop was requested;
	// zero selects defaultStopGracePeriod.
	StopGracePeriod time.Duration
}

// tolerance returns the configured tolerance, or the default.
func (s Settings) tolerance() int {
	if s.Tolerance != nil {
		return *s.Tolerance
	}
	return DefaultTolerance
}

// consensusSettings returns the settings of the controller's consensus node.
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
