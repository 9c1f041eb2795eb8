package gateway

import (
	"dahlialock/internal/statemachine"
	"time"
)

// subscribers counts the origins here that subscribe to a topic. Who was not yet
// confirmed in a kept topic does not count: it may be refused and come again, and
// telling all others of that each time takes more of a link than its messages. A
// passing topic's messages are lost to whoever is not told of.
func (t *topicState) subscribers() int {
	if !t.durable || statemachine.Mutated("waiting-counts") {
		return len(t.subscriptions)
	}
	count := 0
	for _, subscription := range t.subscriptions {
		if !subscription.filling || subscription.request.Request == 0 {
			count++
		}
	}
	return count
}

// announceSubscriberCount lets the overlay know how many origins here subscribe to a topic.
func (g *Gateway) announceSubscriberCount(now time.Time, topic *topicState, effects *statemachine.Effects) {
	if count := topic.subscribers(); count != topic.announcedCount {
		topic.announcedCount = count
		g.overlay.SetSubscribers(now, routedPlane, topic.name, count, effects)
	}
}

// count tells how many origins subscribe to a topic, over all gateways, from
// what the overlay's peers tell each other.
func (g *Gateway) count(now time.Time, request CountSubscribers, refreshed bool, effects *statemachine.Effects) {
	g.Counts.Requests++
	if session, found := g.sessions[request.Session]; found {
		session.pongAt = now
	}
	policyRequest := &PolicyRequest{
		Kind: "count", Client: request.Client, Paths: []Interest{{Space: g.routeOf("", request.Topic), Path: request.Topic}}, Refreshed: refreshed, Routed: true,
	}
	retry := func(now time.Time, effects *statemachine.Effects) { g.count(now, request, true, effects) }
	answer := func(response Reply) { effects.Respond(request.Request, response) }
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	g.overlay.AwaitCell(now, routedPlane, request.Topic, func(_ time.Time, effects *statemachine.Effects, _ bool) {
		response := acceptedReply(nil)
		response.SubscriberCount = g.overlay.Subscribers(routedPlane, request.Topic)
		if topic, found := g.routed.topics[request.Topic]; found {
			response.SubscriberCount += topic.subscribers()
		}
		effects.Respond(request.Request, response)
	}, effects)
}
