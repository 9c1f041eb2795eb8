package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// unacknowledgedResponse identifies the first response to a store whose receipt the store has
// not acknowledged yet.
//
// A store whose incoming link has failed seems to be alive, since its polls and heartbeats still
// arrive, but the partitions that it leads make no progress. So a store that does not
// acknowledge a response in time is considered failed.
type unacknowledgedResponse struct {
	nonce       uint64
	incarnation uint64
	at          time.Time
}

// recordResponse records that a response is being sent to a store, unless an earlier response to
// the same incarnation is still unacknowledged.
func (c *Controller) recordResponse(now time.Time, request membership.ViewRequest) {
	self := request.Self
	if self.Kind != membership.KindStore {
		return
	}
	if earlier, found := c.unacknowledged[self.Name]; found && earlier.incarnation == self.Incarnation {
		return
	}
	c.unacknowledged[self.Name] = unacknowledgedResponse{
		nonce:       request.Nonce,
		incarnation: self.Incarnation,
		at:          now,
	}
}

// recordAcknowledgement processes the acknowledgement in a member's poll, which is the nonce of
// the newest poll whose response the member has received.
func (c *Controller) recordAcknowledgement(request membership.ViewRequest) {
	self := request.Self
	earlier, found := c.unacknowledged[self.Name]
	if found && earlier.incarnation == self.Incarnation && request.LastAnswered >= earlier.nonce {
		delete(c.unacknowledged, self.Name)
	}
}

// acknowledgementOverdue reports whether a member has not acknowledged a response within the suspicion
// timeout.
func (c *Controller) acknowledgementOverdue(now time.Time, name string) bool {
	earlier, found := c.unacknowledged[name]
	return found && now.Sub(earlier.at) >= c.timeouts.suspicion && !statemachine.Mutated("deaf-store")
}
