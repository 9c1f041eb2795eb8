package gateway

import (
	"dahlialock/internal/config"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"slices"
	"time"
)

func (g *Gateway) subscribeRouted(now time.Time, request Subscribe, refreshed bool, effects *statemachine.Effects) {
	answer := func(response Reply) { g.answerSubscribe(now, request, response, effects) }
	session, found := g.sessions[request.Session]
	switch {
	case !found || session.client != request.Client:
		answer(rejectedReply(404, "no-such-channel", "this channel is not open here", 0))
		return
	case len(request.Interests) != 1 || request.Interests[0].Prefix:
		answer(rejectedReply(400, "one-topic", "routed topics are subscribed to one by one", 0))
		return
	}
	session.pongAt = now
	if !session.movedAt.IsZero() {
		answer(rejectedReply(409, "moved", "this channel was asked to move", retryShortDelay))
		return
	}
	name := request.Interests[0].Path
	interest := Interest{Space: g.routeOf(request.Interests[0].Space, name), Path: name}
	policyRequest := &PolicyRequest{Kind: "subscribe", Client: request.Client, Paths: []Interest{interest}, Refreshed: refreshed, Routed: true}
	retry := func(now time.Time, effects *statemachine.Effects) {
		g.subscribeRouted(now, request, true, effects)
	}
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	if present, subscribed := session.routed[name]; subscribed {
		if present.filling {
			answer(rejectedReply(409, "underway", "this subscription is being taken up", retryShortDelay))
			return
		}
		g.replyTopicSubscription(now, present, request, formatTopicCursor(present.deliveredUpTo), effects)
		return
	}
	if len(session.routed)+len(session.subscriptions) >= g.config.SubscriptionsPerSession {
		answer(rejectedReply(429, "too-many-subscriptions", "the channel holds all the subscriptions it may", 0))
		return
	}
	subscription := &topicSubscription{session: request.Session, filling: true, request: request, deadline: now.Add(g.subscribeTimeout)}
	if request.Cursor != "" && request.Cursor != "-" {
		offset, fit := parseTopicCursor(request.Cursor)
		if !fit {
			answer(rejectedReply(400, "bad-cursor", "the cursor is not one of this fleet's", 0))
			return
		}
		subscription.deliveredUpTo, subscription.resumes = offset, true
	}
	topic := g.addTopicSubscription(now, name, interest.Space, subscription, effects)
	session.routed[name] = subscription
	if !topic.durable {
		g.overlay.AwaitCell(now, routedPlane, name, func(now time.Time, effects *statemachine.Effects, _ bool) {
			g.startEphemeral(now, subscription, effects)
		}, effects)
		if subscription.filling {
			subscription.deadline = now.Add(ephemeralReachTimeout)
			g.scheduleTopic(topic, subscription.deadline)
		}
		return
	}
	if !g.fill(now, subscription, effects) {
		if g.certainlyRetained(topic, subscription) {
			g.startTopicSubscription(now, subscription, effects)
			g.announceSubscriberCount(now, topic, effects)
		}
		g.scheduleTopic(topic, subscription.deadline)
		g.fetchTopic(now, topic, effects)
	}
}

// certainlyRetained tells whether all that a place may lack is still held: then it is
// confirmed before that is fetched, which may take its time, and is not refused
// while the answer is on its way.
func (g *Gateway) certainlyRetained(topic *topicState, subscription *topicSubscription) bool {
	base, known := g.routed.bases[topic.partition]
	return known && subscription.resumes && subscription.deliveredUpTo >= base && !statemachine.Mutated("places-confirmed-late")
}

// subscribeTimeoutOf is how long a subscription may look for its place under a
// configuration.
func subscribeTimeoutOf(config config.Configuration) time.Duration {
	longest := time.Second
	for _, space := range config.Spaces {
		longest = max(longest, space.ResponseTimeout)
	}
	return min(longest*6/10, defaultSubscribeTimeout)
}

func (g *Gateway) addTopicSubscription(now time.Time, name, space string, subscription *topicSubscription, effects *statemachine.Effects) *topicState {
	topic, found := g.routed.topics[name]
	if !found {
		topic = &topicState{
			name: name, number: config.TopicHash(name), partition: config.SharedPartition(name), space: space,
			durable: g.spaces[space].space.Retention == config.Durable,
		}
		g.routed.topics[name] = topic
		g.routed.numbers[topic.number] = topic
		if topic.durable {
			g.routed.partitions[topic.partition]++
		}
	}
	if found && len(topic.subscriptions) == 0 && topic.wanted > topic.last {
		topic.checkAt = now
		g.scheduleTopic(topic, now)
	}
	subscription.topic, subscription.index = topic, len(topic.subscriptions)
	topic.subscriptions = append(topic.subscriptions, subscription)
	g.announceSubscriberCount(now, topic, effects)
	return topic
}

// dropTopicSubscription ends a channel's subscription to a routed topic.
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

// dropTopic forgets a topic that nobody holds.
func (g *Gateway) dropTopic(topic *topicState) {
	if len(topic.subscriptions) > 0 || g.routed.topics[topic.name] != topic {
		return
	}
	topic.fetch = nil
	delete(g.routed.topics, topic.name)
	delete(g.routed.numbers, topic.number)
	delete(g.routed.scheduled, topic.name)
	if topic.durable {
		if g.routed.partitions[topic.partition]--; g.routed.partitions[topic.partition] == 0 {
			delete(g.routed.partitions, topic.partition)
			delete(g.routed.reportedUpTo, topic.partition)
			delete(g.routed.followRoutes, topic.partition)
		}
	}
}

func (g *Gateway) dropRouted(now time.Time, session *session, effects *statemachine.Effects) {
	for name := range statemachine.Sorted(session.routed) {
		g.dropTopicSubscription(now, session, name, effects)
	}
}

// supersede takes the routed subscriptions of an origin's older channels away:
// its newest channel is the one.
func (g *Gateway) supersede(now time.Time, client string, newest uint64, effects *statemachine.Effects) {
	if earlier, found := g.newest[client]; found && earlier != newest {
		if session, open := g.sessions[earlier]; open {
			g.dropRouted(now, session, effects)
		}
	}
	g.newest[client] = newest
}

// startEphemeral ends the taking up of a passing topic.
func (g *Gateway) startEphemeral(now time.Time, subscription *topicSubscription, effects *statemachine.Effects) {
	if !subscription.filling {
		return
	}
	if session, open := g.sessions[subscription.session]; !open || session.routed[subscription.topic.name] != subscription {
		return
	}
	subscription.filling = false
	subscription.topic.live = true
	if !subscription.resumes {
		subscription.deliveredUpTo = subscription.topic.last
	}
	g.replyTopicSubscription(now, subscription, subscription.request, formatTopicCursor(subscription.deliveredUpTo), effects)
	for _, record := range subscription.topic.recent {
		g.deliverRouted(now, subscription, record, effects)
	}
}

// fill ends the taking up of a kept topic where this gateway has all that the
// place lacks, and tells whether it does.
func (g *Gateway) fill(now time.Time, subscription *topicSubscription, effects *statemachine.Effects) bool {
	topic := subscription.topic
	if reported, known := g.routed.reportedUpTo[topic.partition]; known && !topic.live && !subscription.resumes && topic.fetch == nil {
		// Who begins here may begin where the first last told that the partition
		// was: what moves after that will be told.
		topic.live = true
		topic.last, topic.recentFrom = reported, reported
		g.release(now, topic, effects)
	}
	if !topic.live || subscription.resumes && subscription.deliveredUpTo < topic.recentFrom && subscription.deliveredUpTo < topic.last {
		return false
	}
	subscription.filling = false
	g.announceSubscriberCount(now, topic, effects)
	from := subscription.deliveredUpTo
	if !subscription.resumes {
		// What was told of as moved came before this subscription, though the topic
		// may not have caught up with it.
		from = max(topic.last, g.routed.reportedUpTo[topic.partition])
		subscription.deliveredUpTo = from
	}
	if subscription.request.Request != 0 {
		g.replyTopicSubscription(now, subscription, subscription.request, formatTopicCursor(from), effects)
	}
	for _, record := range topic.recent {
		g.deliverRouted(now, subscription, record, effects)
	}
	return true
}

func (g *Gateway) replyTopicSubscription(now time.Time, _ *topicSubscription, request Subscribe, cursor string, effects *statemachine.Effects) {
	response := acceptedReply(nil)
	response.Cursor = cursor
	g.answerSubscribe(now, request, response, effects)
}

func (g *Gateway) unsubscribeRouted(now time.Time, request Unsubscribe, effects *statemachine.Effects) {
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		effects.Respond(request.Request, rejectedReply(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	session.pongAt = now
	for _, interest := range request.Interests {
		if subscription, present := session.routed[interest.Path]; present && subscription.filling && subscription.request.Request != 0 {
			g.answerSubscribe(now, subscription.request, rejectedReply(409, "unsubscribed", "the subscription was ended before it was taken up", retryShortDelay), effects)
		}
		g.dropTopicSubscription(now, session, interest.Path, effects)
	}
	effects.Respond(request.Request, acceptedReply(nil))
}

// startTopicSubscription answers a subscription whose missed messages are about to come.
func (g *Gateway) startTopicSubscription(now time.Time, subscription *topicSubscription, effects *statemachine.Effects) {
	if subscription.request.Request == 0 {
		return
	}
	g.replyTopicSubscription(now, subscription, subscription.request, formatTopicCursor(subscription.deliveredUpTo), effects)
	subscription.request.Request = 0
}

// deliverFetched gives a missed message to a place that is being filled.
func (g *Gateway) deliverFetched(now time.Time, subscription *topicSubscription, record partition.Record, effects *statemachine.Effects) {
	subscription.filling = false
	g.deliverRouted(now, subscription, record, effects)
	subscription.filling = true
}

// expireSubscriptions refuses the places from which something is no longer held.
func (g *Gateway) expireSubscriptions(now time.Time, topic *topicState, after uint64, effects *statemachine.Effects) {
	for _, subscription := range slices.Clone(topic.subscriptions) {
		if subscription.filling && subscription.resumes && subscription.deliveredUpTo <= after {
			g.rejectTopicSubscription(now, subscription, rejectedReply(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0), effects)
		}
	}
}

// rejectTopicSubscription refuses a subscription. One that was confirmed before can't be
// refused any more: its caller is cut off instead, and asks again.
func (g *Gateway) rejectTopicSubscription(now time.Time, subscription *topicSubscription, response Reply, effects *statemachine.Effects) {
	if session, open := g.sessions[subscription.session]; open && subscription.request.Request == 0 && response.Code == "place-lost" {
		g.emitLast(now, subscription.session, session, response.Code, effects)
		g.closeSession(now, CloseSession{Session: subscription.session, Reason: response.Code}, effects)
	} else if open {
		g.dropTopicSubscription(now, session, subscription.topic.name, effects)
	}
	if subscription.request.Request != 0 {
		g.answerSubscribe(now, subscription.request, response, effects)
	}
}
