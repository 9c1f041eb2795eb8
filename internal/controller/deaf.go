// A store that is cut off one way, so that it hears nobody and all hear it, looks
// alive: it asks, and its beats arrive. What it is first for stands still all the
// same, so that one that hears no answer for long is taken for lost.

package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// answered is the first answer to a member that it is not yet known to have heard.
type answered struct {
	nonce       uint64
	incarnation uint64
	at          time.Time
}

// noteAnswer notes that a member was answered.
func (c *Controller) noteAnswer(now time.Time, ask membership.ViewRequest) {
	if ask.Self.Kind != membership.KindStore {
		return
	}
	if earlier, found := c.answers[ask.Self.Name]; found && earlier.incarnation == ask.Self.Incarnation {
		return
	}
	c.answers[ask.Self.Name] = answered{nonce: ask.Nonce, incarnation: ask.Self.Incarnation, at: now}
}

// noteHeard notes what a member has heard, by its own word.
func (c *Controller) noteHeard(ask membership.ViewRequest) {
	if earlier, found := c.answers[ask.Self.Name]; found && earlier.incarnation == ask.Self.Incarnation && ask.LastAnswered >= earlier.nonce {
		delete(c.answers, ask.Self.Name)
	}
}

// deaf tells whether a member has not heard its answers for too long.
func (c *Controller) deaf(now time.Time, name string) bool {
	earlier, found := c.answers[name]
	return found && now.Sub(earlier.at) >= c.spans.unheard && !statemachine.Mutated("deaf-store")
}
