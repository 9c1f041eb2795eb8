package controller

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// suspicionTimeout is the age above which a suspicion is ignored.
	suspicionTimeout = 1200 * time.Millisecond

	// storePollTimeout is the time since a store's last poll above which minReporters
	// suspicions suffice to consider the store failed.
	storePollTimeout = 700 * time.Millisecond

	// minReporters is how many suspicions suffice to consider a member failed that has also
	// stopped polling the primary.
	minReporters = 2
)

// handleSuspicion records the members from which a watcher no longer receives heartbeats.
func (c *Controller) handleSuspicion(now time.Time, suspicion membership.Suspicion) {
	if !c.node.HoldsLease(now) {
		return
	}
	for _, suspect := range suspicion.Silent {
		reporters, found := c.suspicions[suspect.Name]
		if !found {
			reporters = map[string]incarnationAt{}
			c.suspicions[suspect.Name] = reporters
		}
		reporters[suspicion.Reporter] = incarnationAt{at: now, incarnation: suspect.Incarnation}
	}
}

// failedMembers returns the members that are considered failed: those that enough watchers
// suspect, and those that no longer poll the primary or no longer receive its responses.
func (c *Controller) failedMembers(now time.Time, effects *statemachine.Effects) []MemberIncarnation {
	failed := c.suspectedMembers(now, effects)
	for name, member := range statemachine.Sorted(c.state.Members) {
		if !member.Alive || containsMember(failed, name) {
			continue
		}
		// A member whose heartbeats still arrive at its watchers, but that does not get views
		// from the primary, acts on a stale view. It is treated as failed.
		timeout := c.timeouts.poll
		if member.Resting {
			timeout += membership.LowPriorityLongPollTimeout
		}
		sinceLastPoll, acknowledgementOverdue := now.Sub(c.lastPolled[name]), c.acknowledgementOverdue(now, name)
		if sinceLastPoll <= timeout && !acknowledgementOverdue {
			continue
		}
		failed = append(failed, MemberIncarnation{Name: name, Incarnation: member.Incarnation})
		reason := "does not poll the primary"
		if acknowledgementOverdue {
			reason = "does not acknowledge responses"
		}
		effects.Emit(logevent.MemberLost, "member", name, "reason", reason, "since_last_poll", sinceLastPoll.String())
	}
	return failed
}

func containsMember(members []MemberIncarnation, name string) bool {
	return slices.ContainsFunc(members, func(member MemberIncarnation) bool { return member.Name == name })
}

// suspectedMembers returns the members that enough watchers suspect.
func (c *Controller) suspectedMembers(now time.Time, effects *statemachine.Effects) []MemberIncarnation {
	var failed []MemberIncarnation
	for name, reporters := range statemachine.Sorted(c.suspicions) {
		member, found := c.state.Members[name]
		if !found || !member.Alive {
			delete(c.suspicions, name)
			continue
		}
		dropOutdated(now, reporters, member)
		sinceLastPoll := now.Sub(c.lastPolled[name])
		if !c.suspicionSuffices(member, len(reporters), sinceLastPoll) {
			continue
		}
		failed = append(failed, MemberIncarnation{Name: name, Incarnation: member.Incarnation})
		delete(c.suspicions, name)
		effects.Emit(
			logevent.MemberLost,
			"member", name,
			"reporters", len(reporters),
			"since_last_poll", sinceLastPoll.String(),
		)
	}
	return failed
}

// dropOutdated removes the suspicions of a member that are too old or refer to another
// incarnation.
func dropOutdated(now time.Time, reporters map[string]incarnationAt, member membership.Member) {
	for reporter, report := range reporters {
		if now.Sub(report.at) > suspicionTimeout || report.incarnation != member.Incarnation {
			delete(reporters, reporter)
		}
	}
}

// suspicionSuffices reports whether a member is considered failed, given the number of watchers
// that suspect it and the time since its last poll of the primary. A watcher may suspect a
// healthy member because of a fault of the link between them. So a member that still polls the
// primary is considered failed only if all of its watchers suspect it.
func (c *Controller) suspicionSuffices(member membership.Member, reporters int, sinceLastPoll time.Duration) bool {
	timeout, shortTimeout := c.timeouts.suspicion, c.timeouts.suspicion/2
	if member.Resting {
		timeout += membership.LowPriorityLongPollTimeout
	}
	if member.Kind == membership.KindStore {
		shortTimeout = storePollTimeout
	}
	switch {
	case reporters >= membership.Watchers:
		return true
	case reporters >= minReporters && sinceLastPoll > shortTimeout:
		return true
	}
	return reporters >= 1 && sinceLastPoll > timeout
}
