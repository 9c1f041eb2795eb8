package gateway

import (
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// subscribeRouted subscribes a session to a routed topic. refreshed is set if the configuration was
// already refreshed for this request.
func (g *Gateway) subscribeRouted(now time.Time, request Subscribe, refreshed bool, effects *statemachine.Effects) {
	answer := func(response Reply) { g.answerSubscribe(now, request, response, effects) }
	session, found := g.sessions[request.Session]
	switch {
	case !found || session.client != request.Client:
		answer(rejectedReply(404, CodeNoSuchSession, "this channel is not open here", 0))
		return
	case len(request.Interests) != 1 || request.Interests[0].Prefix:
		answer(rejectedReply(400, CodeOneTopic, "a request subscribes to one routed topic only", 0))
		return
	}
	session.pongAt = now
	if !session.movedAt.IsZero() {
		answer(rejectedReply(409, CodeMoved, "this channel was asked to move", retryShortDelay))
		return
	}
	name := request.Interests[0].Path
	interest := Interest{Space: g.routedSpace(request.Interests[0].Space, name), Path: name}
	policyRequest := &PolicyRequest{
		Kind:      RequestSubscribe,
		Client:    request.Client,
		Paths:     []Interest{interest},
		Refreshed: refreshed,
		Routed:    true,
	}
	retry := func(now time.Time, effects *statemachine.Effects) {
		g.subscribeRouted(now, request, true, effects)
	}
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	if existing, subscribed := session.routed[name]; subscribed {
		if existing.catchingUp {
			answer(rejectedReply(409, CodeSubscriptionUnderway, "this subscription is being taken up", retryShortDelay))
			return
		}
		g.replyTopicSubscription(now, request, existing.deliveredUpTo, effects)
		return
	}
	if len(session.routed)+len(session.subscriptions) >= g.config.SubscriptionsPerSession {
		answer(rejectedReply(429, CodeTooManySubscriptions, "the channel has reached its limit of subscriptions", 0))
		return
	}
	g.startRouted(now, session, request, interest, effects)
}

// startRouted adds a subscription that passed all checks. It is confirmed at once if this gateway has
// all records that the client missed, or if the store certainly has them.
func (g *Gateway) startRouted(
	now time.Time,
	session *session,
	request Subscribe,
	interest Interest,
	effects *statemachine.Effects,
) {
	subscription := &topicSubscription{
		session:    request.Session,
		catchingUp: true,
		request:    request,
		deadline:   now.Add(g.subscribeTimeout),
	}
	if request.Cursor != "" && request.Cursor != "-" {
		offset, valid := parseTopicCursor(request.Cursor)
		if !valid {
			response := rejectedReply(400, CodeBadCursor, "the cursor was not issued by this fleet", 0)
			g.answerSubscribe(now, request, response, effects)
			return
		}
		subscription.deliveredUpTo, subscription.resumes = offset, true
	}
	topic := g.addTopicSubscription(now, interest.Path, interest.Space, subscription, effects)
	session.routed[interest.Path] = subscription
	if !topic.durable {
		g.awaitEphemeral(now, topic, subscription, effects)
		return
	}
	if !g.completeCatchUp(now, subscription, effects) {
		if g.certainlyRetained(topic, subscription) {
			g.confirmTopicSubscription(now, subscription, effects)
			g.announceSubscriberCount(now, topic, effects)
		}
		g.scheduleTopic(topic, subscription.deadline)
		g.fetchTopic(now, topic, effects)
	}
}

// awaitEphemeral starts a subscription to an ephemeral topic once the overlay has located the topic's
// cell, or after a timeout.
func (g *Gateway) awaitEphemeral(
	now time.Time,
	topic *topicState,
	subscription *topicSubscription,
	effects *statemachine.Effects,
) {
	g.overlay.AwaitCell(now, routedOverlaySpace, topic.name, func(now time.Time, effects *statemachine.Effects, _ bool) {
		g.startEphemeral(now, subscription, effects)
	}, effects)
	if subscription.catchingUp {
		subscription.deadline = now.Add(ephemeralSubscribeTimeout)
		g.scheduleTopic(topic, subscription.deadline)
	}
}

// certainlyRetained reports whether the store certainly has all records that a subscription may lack.
// Such a subscription is confirmed before they are fetched, so that it isn't rejected when the fetch
// takes longer than its deadline.
func (g *Gateway) certainlyRetained(topic *topicState, subscription *topicSubscription) bool {
	base, known := g.routed.baseOffsets[topic.partition]
	return known && subscription.resumes && subscription.deliveredUpTo >= base &&
		!statemachine.Mutated("places-confirmed-late")
}

// subscribeTimeoutOf returns how long the confirmation of a subscription may take under a
// configuration.
func subscribeTimeoutOf(config config.Configuration) time.Duration {
	longest := time.Second
	for _, space := range config.Spaces {
		longest = max(longest, space.ResponseTimeout)
	}
	return min(longest*6/10, defaultSubscribeTimeout)
}

// addTopicSubscription adds a subscription to its topic, and creates the topic if it doesn't exist yet.
func (g *Gateway) addTopicSubscription(
	now time.Time,
	name, space string,
	subscription *topicSubscription,
	effects *statemachine.Effects,
) *topicState {
	topic, found := g.routed.topics[name]
	if !found {
		topic = &topicState{
			name:      name,
			hash:      config.TopicHash(name),
			partition: config.SharedPartition(name),
			space:     space,
			durable:   g.spaces[space].space.Retention == config.Durable,
		}
		g.routed.topics[name] = topic
		g.routed.topicsByHash[topic.hash] = topic
		if topic.durable {
			g.routed.topicCounts[topic.partition]++
		}
	}
	if found && len(topic.subscriptions) == 0 && topic.highestKnown > topic.deliveredUpTo {
		topic.fetchAt = now
		g.scheduleTopic(topic, now)
	}
	subscription.topic, subscription.index = topic, len(topic.subscriptions)
	topic.subscriptions = append(topic.subscriptions, subscription)
	g.announceSubscriberCount(now, topic, effects)
	return topic
}

// dropTopicSubscription removes the subscription of a session to a routed topic. A topic without further
// subscriptions is removed too, or once its reservation has expired if it is reserved.
func (g *Gateway) dropTopicSubscription(now time.Time, session *session, name string, effects *statemachine.Effects) {
	dropped, found := session.routed[name]
	if !found {
		return
	}
	delete(session.routed, name)
	topic := dropped.topic
	last := topic.subscriptions[len(topic.subscriptions)-1]
	topic.subscriptions[dropped.index], last.index = last, dropped.index
	topic.subscriptions = topic.subscriptions[:len(topic.subscriptions)-1]
	g.announceSubscriberCount(now, topic, effects)
	if topic.reserved(now) {
		g.scheduleTopic(topic, topic.reservedUntil)
		return
	}
	g.dropTopic(topic)
}

// dropTopic removes a topic if it has no subscriptions.
func (g *Gateway) dropTopic(topic *topicState) {
	if len(topic.subscriptions) > 0 || g.routed.topics[topic.name] != topic {
		return
	}
	topic.fetch = nil
	delete(g.routed.topics, topic.name)
	delete(g.routed.topicsByHash, topic.hash)
	delete(g.routed.scheduled, topic.name)
	if topic.durable {
		if g.routed.topicCounts[topic.partition]--; g.routed.topicCounts[topic.partition] == 0 {
			delete(g.routed.topicCounts, topic.partition)
			delete(g.routed.reportedUpTo, topic.partition)
			delete(g.routed.highWatermarkRoutes, topic.partition)
		}
	}
}

// dropRouted removes all subscriptions of a session to routed topics.
func (g *Gateway) dropRouted(now time.Time, session *session, effects *statemachine.Effects) {
	for name := range statemachine.Sorted(session.routed) {
		g.dropTopicSubscription(now, session, name, effects)
	}
}

// supersede records the newest session of a client and removes the routed subscriptions of its
// previous session: a client has routed subscriptions in its newest session only.
func (g *Gateway) supersede(now time.Time, client string, newest uint64, effects *statemachine.Effects) {
	if earlier, found := g.newestSession[client]; found && earlier != newest {
		if session, open := g.sessions[earlier]; open {
			g.dropRouted(now, session, effects)
		}
	}
	g.newestSession[client] = newest
}

// startEphemeral confirms a subscription to an ephemeral topic and delivers the recent records to it.
func (g *Gateway) startEphemeral(now time.Time, subscription *topicSubscription, effects *statemachine.Effects) {
	if !subscription.catchingUp {
		return
	}
	session, open := g.sessions[subscription.session]
	if !open || session.routed[subscription.topic.name] != subscription {
		return
	}
	subscription.catchingUp = false
	subscription.topic.started = true
	if !subscription.resumes {
		subscription.deliveredUpTo = subscription.topic.deliveredUpTo
	}
	g.replyTopicSubscription(now, subscription.request, subscription.deliveredUpTo, effects)
	for _, record := range subscription.topic.recent {
		g.deliverRouted(subscription, record, effects)
	}
}

// completeCatchUp confirms a subscription to a durable topic and delivers the records that the client
// missed, if this gateway has all of them. It reports whether it has.
func (g *Gateway) completeCatchUp(now time.Time, subscription *topicSubscription, effects *statemachine.Effects) bool {
	topic := subscription.topic
	start, startKnown := g.startOffset(now, topic.partition)
	if !subscription.resumes && !startKnown {
		return false
	}
	_, reporting := g.routed.reportedUpTo[topic.partition]
	if reporting && !topic.started && !subscription.resumes && topic.fetch == nil {
		// A subscription without a cursor needs no fetch, since the leader reports all later
		// records.
		topic.started = true
		topic.deliveredUpTo, topic.recentFrom = start, start
		g.deliverPending(now, topic, effects)
	}
	if !topic.started {
		return false
	}
	if subscription.resumes && subscription.deliveredUpTo < min(topic.recentFrom, topic.deliveredUpTo) {
		return false
	}
	subscription.catchingUp = false
	g.announceSubscriberCount(now, topic, effects)
	from := subscription.deliveredUpTo
	if !subscription.resumes {
		// Records up to there precede this subscription, even if the topic has not caught
		// up with them yet.
		from = max(topic.deliveredUpTo, start)
		subscription.deliveredUpTo = from
	}
	if subscription.request.Request != 0 {
		g.replyTopicSubscription(now, subscription.request, from, effects)
	}
	for _, record := range topic.recent {
		g.deliverRouted(subscription, record, effects)
	}
	return true
}

// replyTopicSubscription accepts a subscription to a routed topic.
func (g *Gateway) replyTopicSubscription(
	now time.Time,
	request Subscribe,
	offset uint64,
	effects *statemachine.Effects,
) {
	response := acceptedReply(nil)
	response.Cursor = formatTopicCursor(offset)
	g.answerSubscribe(now, request, response, effects)
}

// unsubscribeRouted handles the request of a client to unsubscribe from routed topics.
func (g *Gateway) unsubscribeRouted(now time.Time, request Unsubscribe, effects *statemachine.Effects) {
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		effects.Respond(request.Request, rejectedReply(404, CodeNoSuchSession, "this channel is not open here", 0))
		return
	}
	session.pongAt = now
	for _, interest := range request.Interests {
		subscription, present := session.routed[interest.Path]
		if present && subscription.catchingUp && subscription.request.Request != 0 {
			g.answerSubscribe(
				now,
				subscription.request,
				rejectedReply(409, CodeUnsubscribed, "the subscription was ended before it was taken up", retryShortDelay),
				effects,
			)
		}
		g.dropTopicSubscription(now, session, interest.Path, effects)
	}
	effects.Respond(request.Request, acceptedReply(nil))
}

// confirmTopicSubscription confirms a subscription whose missed records are delivered afterwards.
func (g *Gateway) confirmTopicSubscription(
	now time.Time,
	subscription *topicSubscription,
	effects *statemachine.Effects,
) {
	if subscription.request.Request == 0 {
		return
	}
	g.replyTopicSubscription(now, subscription.request, subscription.deliveredUpTo, effects)
	subscription.request.Request = 0
}

// deliverFetched delivers a missed record to a subscription that is catching up.
func (g *Gateway) deliverFetched(
	subscription *topicSubscription,
	record partition.Record,
	effects *statemachine.Effects,
) {
	subscription.catchingUp = false
	g.deliverRouted(subscription, record, effects)
	subscription.catchingUp = true
}

// expireSubscriptions rejects the subscriptions whose cursor is at or below an offset, since the store
// no longer has the records that they missed.
func (g *Gateway) expireSubscriptions(now time.Time, topic *topicState, after uint64, effects *statemachine.Effects) {
	for _, subscription := range slices.Clone(topic.subscriptions) {
		if subscription.catchingUp && subscription.resumes && subscription.deliveredUpTo <= after {
			g.rejectTopicSubscription(
				now,
				subscription,
				expiredCursorReply(),
				effects,
			)
		}
	}
}

// rejectTopicSubscription rejects a subscription. If it was confirmed before and its missed records are
// no longer retained, the session is closed instead, and its client subscribes again.
func (g *Gateway) rejectTopicSubscription(
	now time.Time,
	subscription *topicSubscription,
	response Reply,
	effects *statemachine.Effects,
) {
	session, open := g.sessions[subscription.session]
	if open && subscription.request.Request == 0 && response.Code == CodeCursorExpired {
		g.closeExpiredSession(now, subscription.session, effects)
	} else if open {
		g.dropTopicSubscription(now, session, subscription.topic.name, effects)
	}
	if subscription.request.Request != 0 {
		g.answerSubscribe(now, subscription.request, response, effects)
	}
}
