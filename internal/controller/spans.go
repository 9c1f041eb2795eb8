// Spans that follow from the bounds of the settings.

package controller

import (
	"time"

	"dahlialock/internal/controlclient"
	"dahlialock/internal/membership"
)

// defaultContactTimeout is within what time a daemon is in touch again where settings say
// nothing.
const defaultContactTimeout = 4 * time.Second

// timeouts are times within which the primary waits for others.
type timeouts struct {
	// command is for how long an order, or a change of its own, may wait for its
	// copies.
	command time.Duration
	// suspicion is after what silence, or deafness, one watcher's word is enough, and
	// following after what silence none is needed.
	suspicion, silence time.Duration
}

// timeoutsFor gives the spans of settings: an order is to end well within the time to
// acknowledge it, and a loss is to be seen, and made good, within the time to be in
// touch again. None is shorter than questions take that are held for news.
func timeoutsFor(settings Settings) timeouts {
	acknowledge, contact := settings.AcknowledgeTimeout, settings.ContactTimeout
	if acknowledge <= 0 {
		acknowledge = controlclient.DefaultAcknowledge
	}
	if contact <= 0 {
		contact = defaultContactTimeout
	}
	return timeouts{
		command: acknowledge * 2 / 5, suspicion: max(contact/2, 2*membership.LongPollTimeout), silence: max(contact*5/4, 4*membership.LongPollTimeout),
	}
}
