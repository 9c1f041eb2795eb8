package gateway

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controller"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/overlay"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	// senderIdleTimeout is the time after which the state of an idle sender is dropped.
	// ephemeralSeqRetention is how long the ephemeral messages of a sender are remembered.
	senderIdleTimeout     = 90 * time.Second
	ephemeralSeqRetention = 30 * time.Second
	// maxSenderQueue is the maximum number of queued publications of a sender.
	maxSenderQueue = 64
	// blockDuration is how long a publication that was not accepted blocks later ones of its sender.
	blockDuration = 3 * time.Second
	// appendRetry is the time after which an unanswered append is sent again.
	appendRetry = 150 * time.Millisecond
)

// publication is a message that a client published to a space whose topics are not routed.
type publication struct {
	request Publish
	key     senderKey
	// id is the key of the publication in appends, 0 before the first append.
	id uint64
	// partition is the partition to which the message is appended.
	partition string
	// sentAt is when the append was last sent.
	sentAt time.Time
	// deadline is the latest time of the final answer.
	deadline time.Time
	// unanswered are the request numbers of the sends without a response; see routedPublication.
	unanswered map[uint64]bool
	// lookedUp is set once the sender was looked up for this publication; it is not looked up again.
	lookedUp bool
	// answered is set once the final answer was given.
	answered bool
}

// messageName returns the name of the message in recorded decisions.
func (p Publish) messageName() string { return decisionlog.MessageName(p.Space, p.Sender, p.Seq) }

// messageNameOf returns the name of the message in recorded decisions, empty if the request has none.
func (g *Gateway) messageNameOf(request *PolicyRequest) string {
	if request.Kind != RequestPublish {
		return ""
	}
	return decisionlog.MessageName(request.Space, request.Sender, request.Seq)
}

// publish handles the publication of a client.
func (g *Gateway) publish(now time.Time, request Publish, effects *statemachine.Effects) {
	g.Counts.Requests++
	if g.isRoutedTopic(request.Space) {
		g.publishRouted(now, request, false, effects)
		return
	}
	g.publishAttempt(now, request, false, effects)
}

// publishAttempt evaluates a publication and queues it; refreshed is set if the configuration has
// already been refreshed for it.
func (g *Gateway) publishAttempt(now time.Time, request Publish, refreshed bool, effects *statemachine.Effects) {
	policyRequest := &PolicyRequest{
		Kind:      RequestPublish,
		Client:    request.Client,
		Sender:    request.Sender,
		Space:     request.Space,
		Topic:     request.Topic,
		Seq:       request.Seq,
		Data:      request.Data,
		Refreshed: refreshed,
	}
	item := &publication{request: request, key: senderKey{space: request.Space, sender: request.Sender}}
	answer := func(response Reply) { g.answerPublication(now, item, response, effects) }
	retry := func(now time.Time, effects *statemachine.Effects) { g.publishAttempt(now, request, true, effects) }
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	senderState, found := g.senders[item.key]
	if !found {
		senderState = &sender{recent: map[uint64]acceptedEphemeral{}, arrived: now}
		g.senders[item.key] = senderState
	}
	senderState.lastUse = now
	if senderState.blocked > 0 && request.Seq > senderState.blocked {
		if now.Sub(senderState.blockedAt) < blockDuration {
			answer(rejectedReply(
				503,
				CodeEarlierUnaccepted,
				"an earlier seq of this sender has no accepted answer; send that one first",
				retryLongDelay,
			))
			return
		}
		senderState.blocked = 0
	}
	if len(senderState.queue) >= maxSenderQueue {
		answer(rejectedReply(429, CodeQueueFull, "too many publications of this sender wait", retryLongDelay))
		return
	}
	g.ring.Record(now, request.RequestName, g.messageNameOf(policyRequest), request.Client, "judged",
		"topic", request.Topic, "version", g.viewClient.Version, "queued", len(senderState.queue))
	item.deadline = now.Add(min(requestTimeout, g.spaces[request.Space].space.ResponseTimeout*7/10))
	senderState.queue = append(senderState.queue, item)
	g.timers.ArmSooner(timerDeadlines, item.deadline)
	if len(senderState.queue) == 1 {
		g.startNextPublication(now, senderState, effects)
	}
}

// countOutcome counts the final answer of a publication.
func (g *Gateway) countOutcome(answer Reply) {
	switch answer.Outcome {
	case OutcomeAccepted:
		g.Counts.Accepted++
	case OutcomeRejected:
		g.Counts.RejectedRequests++
	case OutcomeUnsettled:
		g.Counts.UnsettledRequests++
	}
}

// answerPublication gives a publication its final answer, unless it already has one.
func (g *Gateway) answerPublication(now time.Time, item *publication, answer Reply, effects *statemachine.Effects) {
	if item.answered {
		return
	}
	item.answered = true
	answer = publicationReply(answer)
	g.countOutcome(answer)
	g.ring.Record(now, item.request.RequestName, item.request.messageName(),
		item.request.Client, "answered", "outcome", answer.Outcome, "code", answer.Code)
	effects.Respond(item.request.Request, answer)
}

// startNextPublication starts the publication at the front of a sender's queue.
func (g *Gateway) startNextPublication(now time.Time, senderState *sender, effects *statemachine.Effects) {
	for len(senderState.queue) > 0 {
		item := senderState.queue[0]
		state, found := g.spaces[item.request.Space]
		if !found {
			senderState.queue = senderState.queue[1:]
			g.answerPublication(now, item, rejectedReply(404, CodeNoSuchSpace, "the space was removed", 0), effects)
			continue
		}
		if state.space.Retention == config.Durable {
			g.publishDurable(now, state, senderState, item, effects)
			return
		}
		g.publishEphemeral(now, state, senderState, item, effects)
		return
	}
}

// finishPublication answers the publication at the front of a sender's queue. If it was not accepted
// and may be retried, the publications behind it are rejected, and later sequences are blocked until
// it is sent again.
func (g *Gateway) finishPublication(now time.Time, item *publication, answer Reply, effects *statemachine.Effects) {
	delete(g.appends, item.id)
	for send := range item.unanswered {
		delete(g.sends, send)
	}
	g.answerPublication(now, item, answer, effects)
	senderState, found := g.senders[item.key]
	if !found || len(senderState.queue) == 0 || senderState.queue[0] != item {
		return
	}
	senderState.queue = senderState.queue[1:]
	if answer.Outcome == OutcomeAccepted {
		if item.request.Seq >= senderState.blocked {
			senderState.blocked = 0
		}
		g.startNextPublication(now, senderState, effects)
		return
	}
	if answer.RetryAfter > 0 {
		senderState.blocked, senderState.blockedAt = item.request.Seq, now
		queued := senderState.queue
		senderState.queue = nil
		for _, behind := range queued {
			g.answerPublication(
				now,
				behind,
				rejectedReply(503, CodeEarlierUnaccepted, "an earlier seq of this sender was not accepted", retryLongDelay),
				effects,
			)
		}
		return
	}
	g.startNextPublication(now, senderState, effects)
}

// partitionOf returns the partition of a topic.
func (g *Gateway) partitionOf(state *spaceState, topic string) string {
	return partitionName(state.name, partition.ForTopic(topic, state.space.Partitions()))
}

// partitionName returns the name of a partition of a space. space is the name of the space together with
// the configuration version that created it.
func partitionName(space string, number int) string {
	name := controller.PartitionName("", 0, number)
	return space + name[len("~0"):]
}

// areaOf returns the area of a topic in the overlay. A space with one order for all topics is a single
// area, so that each gateway that subscribes to a part of the space receives all of its messages.
func areaOf(space config.Space, path string) overlay.Area {
	if space.Order == config.OrderSpace {
		return overlay.WholeSquare
	}
	return overlay.AreaOf(path)
}

// checkDeadlines retries unanswered requests to stores, and ends publications, sender
// lookups and fetches that have passed their deadlines.
func (g *Gateway) checkDeadlines(now time.Time, effects *statemachine.Effects) {
	next := g.endOverdueLookups(now)
	next = statemachine.Earliest(next, g.retryAppends(now, effects))
	next = statemachine.Earliest(next, g.endOverduePublications(now, effects))
	for id, fetch := range statemachine.Sorted(g.fetches) {
		next = statemachine.Earliest(next, g.retryFetch(now, id, fetch, effects))
	}
	if !next.IsZero() {
		g.timers.ArmSooner(timerDeadlines, next)
	}
}

// endOverdueLookups drops the sender lookups that have passed their deadline, and
// returns the next deadline of the others.
func (g *Gateway) endOverdueLookups(now time.Time) time.Time {
	var next time.Time
	for id, lookup := range statemachine.Sorted(g.senderLookups) {
		if !lookup.deadline.After(now) {
			delete(g.senderLookups, id)
		} else {
			next = statemachine.Earliest(next, lookup.deadline)
		}
	}
	return next
}

// endOverduePublications answers the publications that have passed their deadline,
// and returns the next deadline of the others.
func (g *Gateway) endOverduePublications(now time.Time, effects *statemachine.Effects) time.Time {
	var next time.Time
	for _, senderState := range g.sortedSenders() {
		for len(senderState.queue) > 0 && !senderState.queue[0].deadline.After(now) {
			item := senderState.queue[0]
			g.finishPublication(now, item, overdueReply(), effects)
		}
		if len(senderState.queue) > 0 {
			next = statemachine.Earliest(next, senderState.queue[0].deadline)
		}
	}
	return next
}

// overdueReply returns the final answer to a publication that has passed its deadline. It
// is unsettled, since this or an earlier attempt may still be appended.
func overdueReply() Reply {
	if statemachine.Mutated("refuse-what-is-open") {
		return rejectedReply(503, CodeNoAnswer, "", 0)
	}
	return unsettledReply(CodeNoAnswer, "the store did not answer; send the same seq again", retryLongDelay)
}
