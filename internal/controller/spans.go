// Spans that follow from the bounds of the settings.

package controller

import (
	"time"

	"dahlialock/internal/controlclient"
	"dahlialock/internal/membership"
)

// defaultContact is within what time a daemon is in touch again where settings say
// nothing.
const defaultContact = 4 * time.Second

// spans are times within which the primary waits for others.
type spans struct {
	// command is for how long an order, or a change of its own, may wait for its
	// copies.
	command time.Duration
	// unheard is after what silence, or deafness, one watcher's word is enough, and
	// following after what silence none is needed.
	unheard, following time.Duration
}

// spansOf gives the spans of settings: an order is to end well within the time to
// acknowledge it, and a loss is to be seen, and made good, within the time to be in
// touch again. None is shorter than questions take that are held for news.
func spansOf(settings Settings) spans {
	acknowledge, contact := settings.Acknowledge, settings.Contact
	if acknowledge <= 0 {
		acknowledge = controlclient.DefaultAcknowledge
	}
	if contact <= 0 {
		contact = defaultContact
	}
	return spans{
		command: acknowledge * 2 / 5, unheard: max(contact/2, 2*membership.LongPollTimeout), following: max(contact*5/4, 4*membership.LongPollTimeout),
	}
}
