package gateway

import (
	"time"

	"dahlialock/internal/statemachine"
)

// subscribers returns how many clients of this gateway subscribe to the topic. An unconfirmed
// subscription to a durable topic is not counted: it may be rejected and retried, and announcing
// each of these changes takes more of a link than the messages do. In an ephemeral topic it is
// counted at once, since a gateway that is not yet announced to the others misses messages that
// cannot be fetched later.
func (t *topicState) subscribers() int {
	if !t.durable || statemachine.Mutated("waiting-counts") {
		return len(t.subscriptions)
	}
	count := 0
	for _, subscription := range t.subscriptions {
		if !subscription.catchingUp || subscription.request.Request == 0 {
			count++
		}
	}
	return count
}

// announceSubscriberCount reports to the overlay how many clients of this gateway subscribe to a
// topic, if the number has changed.
func (g *Gateway) announceSubscriberCount(now time.Time, topic *topicState, effects *statemachine.Effects) {
	if count := topic.subscribers(); count != topic.announcedCount {
		topic.announcedCount = count
		g.overlay.SetSubscribers(now, routedOverlaySpace, topic.name, count, effects)
	}
}

// countSubscribers responds with the number of subscribers of a topic over all gateways. It is
// computed from the counts that the peers of the overlay announce to each other.
func (g *Gateway) countSubscribers(
	now time.Time,
	request CountSubscribers,
	refreshed bool,
	effects *statemachine.Effects,
) {
	g.Counts.Requests++
	if session, found := g.sessions[request.Session]; found {
		session.pongAt = now
	}
	policyRequest := &PolicyRequest{
		Kind:      RequestCount,
		Client:    request.Client,
		Paths:     []Interest{{Space: g.routedSpace("", request.Topic), Path: request.Topic}},
		Refreshed: refreshed,
		Routed:    true,
	}
	retry := func(now time.Time, effects *statemachine.Effects) { g.countSubscribers(now, request, true, effects) }
	answer := func(response Reply) { effects.Respond(request.Request, response) }
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	g.overlay.AwaitCell(now, routedOverlaySpace, request.Topic, func(_ time.Time, effects *statemachine.Effects, _ bool) {
		response := acceptedReply(nil)
		response.SubscriberCount = g.overlay.Subscribers(routedOverlaySpace, request.Topic)
		if topic, found := g.routed.topics[request.Topic]; found {
			response.SubscriberCount += topic.subscribers()
		}
		effects.Respond(request.Request, response)
	}, effects)
}
