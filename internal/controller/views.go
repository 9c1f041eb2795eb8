package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// viewResendInterval is how long a view may be in flight before it is considered lost.
const viewResendInterval = membership.LongPollTimeout

// pendingPoll is a member's poll that waits for a change of the state.
type pendingPoll struct {
	from    string
	request membership.ViewRequest
	// deadline is when the poll is answered even if nothing has changed.
	deadline time.Time
	// notBefore is the earliest time at which the poll may be answered; zero if there is no
	// limit.
	notBefore time.Time
}

// sentView describes the view that was last sent to a member. Only one view per member is in
// flight at a time: the member's next polls wait until one shows that the view was received, or
// until the view is considered lost. Otherwise a view that is delayed on a slow link would be
// sent again for each poll that arrives before it is received. Only answerPollOf sends a view
// without this wait.
type sentView struct {
	address     string
	incarnation uint64
	index       uint64
	at          time.Time
}

// handleViewRequest answers a poll at once if the member's view or configuration is out of
// date or the request is urgent, and otherwise keeps it pending until the state changes or the
// long poll times out.
func (c *Controller) handleViewRequest(
	now time.Time, from string, request membership.ViewRequest, effects *statemachine.Effects,
) {
	if !c.node.CanServeReads(now) {
		if c.node.IsPrimary() && c.node.HoldsLease(now) {
			// The primary does not answer polls until its backups have the state. The member
			// retries.
			return
		}
		effects.Send(from, c.redirectFor(request))
		return
	}
	c.beginTerm(now)
	c.recordMember(now, request)
	timeout := membership.LongPollTimeout
	if request.LowPriority {
		timeout = membership.LowPriorityLongPollTimeout
	}
	poll := pendingPoll{
		from:      from,
		request:   request,
		deadline:  now.Add(timeout),
		notBefore: c.viewNotBefore(request),
	}
	if poll.notBefore.After(now) {
		c.pendingPolls[request.Self.Name] = poll
		c.timers.ArmSooner(timerReconcile, poll.notBefore)
		return
	}
	if request.Index != c.state.Index || request.Version != c.state.Version || request.Urgent {
		c.answerPoll(now, poll, effects)
		return
	}
	c.pendingPolls[request.Self.Name] = poll
	c.timers.ArmSooner(timerReconcile, poll.deadline)
}

// redirectFor returns the response to a poll that this controller may not answer. It contains
// the addresses of the primary and of the known controllers.
func (c *Controller) redirectFor(request membership.ViewRequest) membership.Redirect {
	redirect := membership.Redirect{
		Recipient: request.Self.Name,
		Nonce:     request.Nonce,
		Epoch:     c.node.Record().Epoch,
	}
	if primary, found := c.node.Primary(); found && primary.Name != c.settings.Self.Name {
		redirect.Primary = primary.Address
	}
	for _, known := range c.node.KnownControllers() {
		redirect.Controllers = append(redirect.Controllers, known.Address)
	}
	return redirect
}

// answerPoll answers a poll with the changes of the view and the configuration that the member
// does not have yet.
func (c *Controller) answerPoll(now time.Time, poll pendingPoll, effects *statemachine.Effects) {
	request := poll.request
	c.recordResponse(now, request)
	delete(c.pendingPolls, request.Self.Name)
	update := membership.ViewUpdate{
		Recipient:  request.Self.Name,
		Nonce:      request.Nonce,
		Epoch:      c.node.Record().Epoch,
		Primary:    c.settings.Self.Address,
		Index:      c.state.Index,
		Version:    c.state.Version,
		Directives: c.directives[request.Self.Name],
	}
	if request.Version < c.state.Version {
		update.Document = c.state.Document
	}
	if request.Index != c.state.Index {
		// An index from another epoch may refer to a log that was lost together with its
		// primary, so the member gets the complete view.
		since := request.Index
		if request.Epoch != update.Epoch {
			since = 0
		}
		c.state.fillView(&update, since)
		c.recordView(now, request)
	}
	effects.SendBefore(poll.from, update, c.node.LeaseEnd())
}

// answerPolls answers the pending polls of members whose view is out of date, and those that
// have reached their deadline.
func (c *Controller) answerPolls(now time.Time, effects *statemachine.Effects) {
	if len(c.pendingPolls) == 0 || !c.node.CanServeReads(now) {
		return
	}
	for _, poll := range statemachine.Sorted(c.pendingPolls) {
		if poll.notBefore.After(now) {
			continue
		}
		if poll.request.Index != c.state.Index || !poll.deadline.After(now) {
			c.answerPoll(now, poll, effects)
		}
	}
}

// answerPollOf answers a member's pending poll, if there is one, even before its notBefore. It
// is used to send new directives to the member, and to check whether the member polls again.
func (c *Controller) answerPollOf(now time.Time, name string, effects *statemachine.Effects) {
	if poll, pending := c.pendingPolls[name]; pending {
		c.answerPoll(now, poll, effects)
	}
}

// redirectPolls redirects all pending polls when the controller is no longer primary.
func (c *Controller) redirectPolls(effects *statemachine.Effects) {
	for name, poll := range statemachine.Sorted(c.pendingPolls) {
		delete(c.pendingPolls, name)
		effects.Send(poll.from, c.redirectFor(poll.request))
	}
}

// viewNotBefore returns the earliest time at which the next view may be sent to a member: when
// the view in flight is considered lost, or the zero time if no view is in flight.
func (c *Controller) viewNotBefore(request membership.ViewRequest) time.Time {
	sent, found := c.sentViews[request.Self.Name]
	if !found || statemachine.Mutated("views-again") {
		return time.Time{}
	}
	sameProcess := sent.address == request.Self.Address && sent.incarnation == request.Self.Incarnation
	if request.Index >= sent.index || !sameProcess {
		delete(c.sentViews, request.Self.Name)
		return time.Time{}
	}
	return sent.at.Add(viewResendInterval)
}

// recordView records that a view is being sent to a member.
func (c *Controller) recordView(now time.Time, request membership.ViewRequest) {
	c.sentViews[request.Self.Name] = sentView{
		address:     request.Self.Address,
		incarnation: request.Self.Incarnation,
		index:       c.state.Index,
		at:          now,
	}
}
