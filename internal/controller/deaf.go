// A store that is cut off one way, so that it hears nobody and all hear it, looks
// alive: it asks, and its beats arrive. What it is first for stands still all the
// same, so that one that hears no answer for long is taken for lost.

package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// unacknowledgedAnswer is the first answer to a member that it is not yet known to have heard.
type unacknowledgedAnswer struct {
	nonce       uint64
	incarnation uint64
	at          time.Time
}

// recordAnswer notes that a member was answered.
func (c *Controller) recordAnswer(now time.Time, ask membership.ViewRequest) {
	if ask.Self.Kind != membership.KindStore {
		return
	}
	if earlier, found := c.unacknowledged[ask.Self.Name]; found && earlier.incarnation == ask.Self.Incarnation {
		return
	}
	c.unacknowledged[ask.Self.Name] = unacknowledgedAnswer{nonce: ask.Nonce, incarnation: ask.Self.Incarnation, at: now}
}

// recordAcknowledgement notes what a member has heard, by its own word.
func (c *Controller) recordAcknowledgement(ask membership.ViewRequest) {
	if earlier, found := c.unacknowledged[ask.Self.Name]; found && earlier.incarnation == ask.Self.Incarnation && ask.LastAnswered >= earlier.nonce {
		delete(c.unacknowledged, ask.Self.Name)
	}
}

// deaf tells whether a member has not heard its answers for too long.
func (c *Controller) deaf(now time.Time, name string) bool {
	earlier, found := c.unacknowledged[name]
	return found && now.Sub(earlier.at) >= c.timeouts.suspicion && !statemachine.Mutated("deaf-store")
}
