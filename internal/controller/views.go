// Views that are on their way. An asker is sent one at a time: while it has not said
// that it has it, its next questions wait, so that a thin link carries a view once and
// not again for each question that is asked meanwhile.

package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// viewAgain is how long a view may be on its way before it is taken for lost.
const viewAgain = membership.LongPollTimeout

// sentView is a view that an asker was sent.
type sentView struct {
	address     string
	incarnation uint64
	index       uint64
	at          time.Time
}

// viewDue gives the moment from which an asker may be sent a view: not before the one
// that it was sent had time to come.
func (c *Controller) viewDue(ask membership.ViewRequest) time.Time {
	sent, found := c.views[ask.Self.Name]
	if !found || statemachine.Mutated("views-again") {
		return time.Time{}
	}
	if ask.Index >= sent.index || sent.address != ask.Self.Address || sent.incarnation != ask.Self.Incarnation {
		delete(c.views, ask.Self.Name)
		return time.Time{}
	}
	return sent.at.Add(viewAgain)
}

// noteView notes that an asker is sent a view.
func (c *Controller) noteView(now time.Time, ask membership.ViewRequest) {
	c.views[ask.Self.Name] = sentView{address: ask.Self.Address, incarnation: ask.Self.Incarnation, index: c.state.Index, at: now}
}
