package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// unacknowledgedAnswer is the first answer to a store that the store is not yet known to
// have received.
//
// A store whose incoming link has failed looks alive, since its polls and heartbeats still
// arrive. The partitions that it leads make no progress all the same. So one that does not
// acknowledge its answers for long counts as failed.
type unacknowledgedAnswer struct {
	nonce       uint64
	incarnation uint64
	at          time.Time
}

// recordAnswer records that a store is sent an answer.
func (c *Controller) recordAnswer(now time.Time, request membership.ViewRequest) {
	self := request.Self
	if self.Kind != membership.KindStore {
		return
	}
	if earlier, found := c.unacknowledged[self.Name]; found && earlier.incarnation == self.Incarnation {
		return
	}
	c.unacknowledged[self.Name] = unacknowledgedAnswer{
		nonce:       request.Nonce,
		incarnation: self.Incarnation,
		at:          now,
	}
}

// recordAcknowledgement takes over which answers a member has received, by its own poll.
func (c *Controller) recordAcknowledgement(request membership.ViewRequest) {
	self := request.Self
	earlier, found := c.unacknowledged[self.Name]
	if found && earlier.incarnation == self.Incarnation && request.LastAnswered >= earlier.nonce {
		delete(c.unacknowledged, self.Name)
	}
}

// missesAnswers reports whether a member has received no answer for too long.
func (c *Controller) missesAnswers(now time.Time, name string) bool {
	earlier, found := c.unacknowledged[name]
	return found && now.Sub(earlier.at) >= c.timeouts.suspicion && !statemachine.Mutated("deaf-store")
}
