package gateway

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// handleExpiredFetch handles the response that the store no longer has all records of a topic after the
// offset of a fetch.
func (g *Gateway) handleExpiredFetch(now time.Time, fetch *topicFetch, effects *statemachine.Effects) {
	topic := fetch.topic
	topic.reservedUntil = time.Time{}
	g.expireSubscriptions(now, topic, fetch.after, effects)
	if topic.started && topic.deliveredUpTo <= fetch.after && !statemachine.Mutated("expired-topics-stay") {
		g.restartExpiredTopic(now, topic, fetch.after, effects)
	}
	g.tickTopic(now, topic, effects)
}

// restartExpiredTopic restarts a topic of which this gateway lacks records after an offset that no store
// has any more. Nothing can follow for the live subscriptions that lack them too: the next record would
// skip the missing ones, which some of them may have to receive. Their sessions are closed, and
// their clients subscribe again with their cursors. The other subscriptions began later; they catch up
// from where each of them is.
func (g *Gateway) restartExpiredTopic(
	now time.Time,
	topic *topicState,
	after uint64,
	effects *statemachine.Effects,
) {
	effects.Emit(logevent.TopicExpired,
		"partition", topic.partition,
		"topic", topic.name,
		"after", after,
		"until", topic.highestKnown,
	)
	for _, subscription := range slices.Clone(topic.subscriptions) {
		switch {
		case subscription.catchingUp:
		case subscription.deliveredUpTo > after:
			subscription.catchUpAgain()
		default:
			g.closeExpiredSession(now, subscription.session, effects)
		}
	}
	topic.restart()
}

// closeExpiredSession closes the session of a subscription whose missing records have expired.
func (g *Gateway) closeExpiredSession(now time.Time, id uint64, effects *statemachine.Effects) {
	session, open := g.sessions[id]
	if !open {
		return
	}
	g.emitFinalEvent(now, id, session, CodeCursorExpired, effects)
	g.closeSession(now, CloseSession{Session: id, Reason: CodeCursorExpired}, effects)
}

// catchUpAgain has a live subscription catch up from its newest delivered record.
func (ts *topicSubscription) catchUpAgain() {
	ts.catchingUp, ts.resumes = true, true
	// The client has its answer.
	ts.request.Request = 0
}

// restart forgets up to where the records of the topic were delivered. There must be no live subscriptions.
func (t *topicState) restart() {
	t.started = false
	t.deliveredUpTo = 0
	t.recent, t.recentSize, t.recentFrom, t.recentUntil = nil, 0, 0, time.Time{}
}
