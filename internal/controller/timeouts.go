package controller

import (
	"time"

	"dahlialock/internal/controlclient"
	"dahlialock/internal/membership"
)

// defaultContactTimeout is the default of [Settings.ContactTimeout].
const defaultContactTimeout = 4 * time.Second

// timeouts are the timeouts of the primary, derived from the settings.
type timeouts struct {
	// command is how long a command may wait for its replication.
	command time.Duration
	// suspicion is the time since a member's last poll above which one watcher's suspicion
	// suffices to consider the member failed. A store is also considered failed if it has not
	// acknowledged a response for this long.
	suspicion time.Duration
	// poll is the time since a member's last poll above which the member is considered failed
	// without any suspicion.
	poll time.Duration
}

// timeoutsFor derives the timeouts from settings. A command completes or times out well within
// AcknowledgeTimeout, and a failure is detected and repaired within ContactTimeout. The
// suspicion and poll timeouts are longer than a long poll takes.
func timeoutsFor(settings Settings) timeouts {
	acknowledge, contact := settings.AcknowledgeTimeout, settings.ContactTimeout
	if acknowledge <= 0 {
		acknowledge = controlclient.DefaultAcknowledgeTimeout
	}
	if contact <= 0 {
		contact = defaultContactTimeout
	}
	return timeouts{
		command:   acknowledge * 2 / 5,
		suspicion: max(contact/2, 2*membership.LongPollTimeout),
		poll:      max(contact*5/4, 4*membership.LongPollTimeout),
	}
}
