package controller

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// suspicionTimeout is the age beyond which a suspicion no longer counts.
	suspicionTimeout = 1200 * time.Millisecond

	// storePollTimeout is how long a store must not have polled for minReporters suspicions
	// to be enough.
	storePollTimeout = 700 * time.Millisecond

	// minReporters is how many suspicions are enough against a member that does not poll the
	// primary either.
	minReporters = 2
)

// handleSuspicion records which members a watcher no longer hears.
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

// failedMembers lists the members that have failed: those that enough watchers suspect,
// and those that no longer follow the primary.
func (c *Controller) failedMembers(now time.Time, effects *statemachine.Effects) []MemberIncarnation {
	failed := c.suspectedMembers(now, effects)
	for name, member := range statemachine.Sorted(c.state.Members) {
		if !member.Alive || containsMember(failed, name) {
			continue
		}
		// A member that its watchers hear, but that does not follow the primary, acts on an
		// outdated view: to the others it is as good as failed.
		timeout := c.timeouts.poll
		if member.Resting {
			timeout += membership.LowPriorityLongPollTimeout
		}
		sinceLastPoll, missesAnswers := now.Sub(c.lastHeard[name]), c.missesAnswers(now, name)
		if sinceLastPoll <= timeout && !missesAnswers {
			continue
		}
		failed = append(failed, MemberIncarnation{Name: name, Incarnation: member.Incarnation})
		reason := "does not poll the primary"
		if missesAnswers {
			reason = "receives no answers"
		}
		effects.Emit(logevent.MemberLost, "member", name, "reason", reason, "since_last_poll", sinceLastPoll.String())
	}
	return failed
}

func containsMember(members []MemberIncarnation, name string) bool {
	return slices.ContainsFunc(members, func(member MemberIncarnation) bool { return member.Name == name })
}

// suspectedMembers lists the members that enough watchers suspect.
func (c *Controller) suspectedMembers(now time.Time, effects *statemachine.Effects) []MemberIncarnation {
	var failed []MemberIncarnation
	for name, reporters := range statemachine.Sorted(c.suspicions) {
		member, found := c.state.Members[name]
		if !found || !member.Alive {
			delete(c.suspicions, name)
			continue
		}
		dropOutdated(now, reporters, member)
		sinceLastPoll := now.Sub(c.lastHeard[name])
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

// dropOutdated drops the suspicions that are too old, or of another incarnation.
func dropOutdated(now time.Time, reporters map[string]incarnationAt, member membership.Member) {
	for reporter, report := range reporters {
		if now.Sub(report.at) > suspicionTimeout || report.incarnation != member.Incarnation {
			delete(reporters, reporter)
		}
	}
}

// suspicionSuffices reports whether a member counts as failed by the suspicions of some
// watchers and the time since its last poll of the primary. A watcher can be misled by its own
// link to the member. So a member that still polls the primary counts as failed only if all of
// its watchers suspect it.
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
