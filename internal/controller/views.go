package controller

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// viewResendInterval is how long a view may be under way before it counts as lost.
const viewResendInterval = membership.LongPollTimeout

// pendingPoll is a member's poll that waits for a change of the state.
type pendingPoll struct {
	from    string
	request membership.ViewRequest
	// deadline is when the poll is answered although nothing changed.
	deadline time.Time
	// notBefore is when the poll may be answered at the earliest; zero if at once.
	notBefore time.Time
}

// sentView is the view that a member was sent last. A member is sent one at a time: its
// further polls wait until it has the view, or until the view counts as lost. So a slow
// link carries a view once, and not again for each poll that was sent meanwhile. Only
// answerPollOf doesn't wait.
type sentView struct {
	address     string
	incarnation uint64
	index       uint64
	at          time.Time
}

// handleViewRequest answers a poll at once if the member lacks anything, and otherwise
// keeps it pending until the state changes or the long poll's time is over.
func (c *Controller) handleViewRequest(
	now time.Time, from string, request membership.ViewRequest, effects *statemachine.Effects,
) {
	if !c.node.CanServeReads(now) {
		if c.node.IsPrimary() && c.node.HoldsLease(now) {
			// The primary answers no poll before its backups have the state; the member
			// polls again.
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

// redirectFor names the primary and the known controllers to a member that polled a
// controller which may not answer.
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

// answerPoll answers a poll with what the member lacks of the view and the configuration.
func (c *Controller) answerPoll(now time.Time, poll pendingPoll, effects *statemachine.Effects) {
	request := poll.request
	c.recordAnswer(now, request)
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
		// An index of another epoch may be of a log that was lost with its primary.
		since := request.Index
		if request.Epoch != update.Epoch {
			since = 0
		}
		c.state.fillView(&update, since)
		c.recordView(now, request)
	}
	effects.SendBefore(poll.from, update, c.node.LeaseEnd())
}

// answerPolls answers the pending polls of members that lack something, and those whose
// time is over.
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

// answerPollOf answers a member's poll at once, if one is pending, even before its notBefore:
// its callers have new directives for the member, or want to see whether it polls again.
func (c *Controller) answerPollOf(now time.Time, name string, effects *statemachine.Effects) {
	if poll, pending := c.pendingPolls[name]; pending {
		c.answerPoll(now, poll, effects)
	}
}

// redirectPolls redirects all pending polls, as the controller is no longer primary.
func (c *Controller) redirectPolls(effects *statemachine.Effects) {
	for name, poll := range statemachine.Sorted(c.pendingPolls) {
		delete(c.pendingPolls, name)
		effects.Send(poll.from, c.redirectFor(poll.request))
	}
}

// viewNotBefore is the time from which a member may be sent a view: not before the one
// that it was sent had time to arrive.
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

// recordView records that a member is sent a view.
func (c *Controller) recordView(now time.Time, request membership.ViewRequest) {
	c.sentViews[request.Self.Name] = sentView{
		address:     request.Self.Address,
		incarnation: request.Self.Incarnation,
		index:       c.state.Index,
		at:          now,
	}
}
