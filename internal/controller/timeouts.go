package controller

import (
	"time"

	"dahlialock/internal/controlclient"
	"dahlialock/internal/membership"
)

// defaultContactTimeout is the time within which a daemon has contact again if no setting
// says otherwise.
const defaultContactTimeout = 4 * time.Second

// timeouts are the times for which the primary waits, derived from the settings.
type timeouts struct {
	// command is how long a command may wait for its replicas.
	command time.Duration
	// suspicion is how long a member must not have polled, or have missed its answers, for
	// one watcher's suspicion to be enough.
	suspicion time.Duration
	// poll is how long a member must not have polled to count as failed without suspicions.
	poll time.Duration
}

// timeoutsFor derives the timeouts from settings. A command ends well within the time to
// acknowledge an order, and a failure is detected, and made good, within the time to regain
// contact. None is shorter than a long poll takes.
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
