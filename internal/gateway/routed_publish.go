// Publishing to routed topics. The partition's first gives every message its place
// in the topic's order and remembers its sender's seqs; once it is accepted one
// copy goes to each gateway with subscribers. Messages of different topics don't
// wait for each other, and those of one topic go to the first in the order in
// which they came. A passing message's data never goes to a store: only its
// place in the order does.

package gateway

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	routedRetry    = 200 * time.Millisecond
	routedRemember = 30 * time.Second
)

type routedKey struct {
	topic  string
	sender string
	seq    uint64
}

type routedPublication struct {
	request   Publish
	id        uint64
	space     string
	partition string
	ephemeral bool
	sentAt    time.Time
	sentBy    route
	deadline  time.Time
	sends     int
	// unanswered are the numbers of the sends without an answer. An answer settles the
	// send that it names, so that one which comes twice settles no other.
	unanswered map[uint64]bool
}

// due is when it is sent again: the later, the more of its sends have no answer.
func (rp *routedPublication) due() time.Time {
	return rp.sentAt.Add(backoff(routedRetry, len(rp.unanswered)))
}

func (g *Gateway) publishRouted(now time.Time, request Publish, refreshed bool, effects *statemachine.Effects) {
	space := g.routeOf(request.Space, request.Topic)
	policyRequest := &PolicyRequest{
		Kind: "publish", Client: request.Client, Sender: request.Sender, Space: space, Topic: request.Topic,
		Seq: request.Seq, Data: request.Data, Refreshed: refreshed, Routed: true,
	}
	item := &routedPublication{request: request, space: space, partition: config.SharedPartition(request.Topic), unanswered: map[uint64]bool{}}
	answer := func(response Reply) { g.answerRouted(now, item, response, effects) }
	retry := func(now time.Time, effects *statemachine.Effects) { g.publishRouted(now, request, true, effects) }
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	key := routedKey{topic: request.Topic, sender: request.Sender, seq: request.Seq}
	if _, known := g.routed.accepted[key]; known {
		answer(acceptedReply(nil))
		return
	}
	state := g.spaces[space]
	item.ephemeral = state.space.Retention != config.Durable
	item.deadline = now.Add(min(requestTimeout, state.space.ResponseTimeout/2))
	g.nextRequest++
	item.id = g.nextRequest
	g.routed.appends[item.id] = item
	g.overlay.AwaitCell(now, routedPlane, request.Topic, func(time.Time, *statemachine.Effects, bool) {}, effects)
	g.sendRouted(now, item, effects)
	g.timers.ArmSooner(timerRouted, item.deadline)
}

func (g *Gateway) answerRouted(now time.Time, item *routedPublication, response Reply, effects *statemachine.Effects) {
	g.countOutcome(response)
	delete(g.routed.appends, item.id)
	for send := range item.unanswered {
		delete(g.routed.sends, send)
	}
	g.ring.Record(now, item.request.RequestName, decisionlog.MessageName(item.space, item.request.Sender, item.request.Seq),
		item.request.Client, "answered", "outcome", response.Outcome, "code", response.Code, "topic", item.request.Topic, "tries", item.sends)
	effects.Respond(item.request.Request, response)
}

func (g *Gateway) sendRouted(now time.Time, item *routedPublication, effects *statemachine.Effects) {
	item.sentAt = now
	g.timers.ArmSooner(timerRouted, item.due())
	address, _, found := g.leaderOf(item.partition)
	if !found {
		g.viewClient.PollNow(now)
		return
	}
	data := item.request.Data
	if item.ephemeral {
		data = nil
	}
	item.sends++
	item.sentBy = g.routeTo(item.partition)
	g.nextRequest++
	item.unanswered[g.nextRequest] = true
	g.routed.sends[g.nextRequest] = item
	effects.Send(address, partition.Append{
		Partition: item.partition, RequestID: g.nextRequest, Topic: item.request.Topic, Sender: item.request.Sender, Seq: item.request.Seq, Data: data, OffsetOnly: item.ephemeral,
	})
}

func (g *Gateway) handleRoutedResponse(now time.Time, item *routedPublication, response partition.AppendResponse, effects *statemachine.Effects) {
	delete(item.unanswered, response.RequestID)
	delete(g.routed.sends, response.RequestID)
	switch response.Outcome {
	case partition.OutcomeAccepted:
		g.routed.accepted[routedKey{topic: item.request.Topic, sender: item.request.Sender, seq: item.request.Seq}] = now
		record := response.Record
		record.Topic, record.Sender, record.Seq, record.Data = item.request.Topic, item.request.Sender, item.request.Seq, item.request.Data
		if !response.Duplicate || item.ephemeral || item.sends > 1 {
			// What was kept before and is not passed on now is found by the
			// partition's heads; a passing message is not, and who had it, or a
			// later one, lets it fall.
			g.fanOutRouted(now, item, record, effects)
		}
		g.answerRouted(now, item, acceptedReply(nil), effects)
	case partition.OutcomeRejected:
		switch {
		case response.Code == "not-first":
			g.viewClient.PollNow(now)
		case response.Code == "old-seq" || response.Code == "seq-reused":
			g.answerRouted(now, item, rejectedReply(409, response.Code, "this seq is not above the sender's newest of this topic", 0), effects)
		case len(item.unanswered) > 0:
			// An earlier try has no answer; it may yet be kept.
			g.answerRouted(now, item, unsettledReply(response.Code, "send the same seq again", retryShortDelay), effects)
		default:
			g.answerRouted(now, item, rejectedReply(503, response.Code, "the partition can't keep all its copies at this moment", max(response.RetryAfter, retryShortDelay)), effects)
		}
	default:
		g.answerRouted(now, item, unsettledReply(response.Code, "send the same seq again", retryShortDelay), effects)
	}
}

// fanOutRouted hands a message to the subscribers here and sends one copy to
// each gateway that has any.
func (g *Gateway) fanOutRouted(now time.Time, item *routedPublication, record partition.Record, effects *statemachine.Effects) {
	g.handleRoutedCopy(now, record, effects)
	message := RoutedCopy{
		Topic: record.Topic, Sender: record.Sender, Seq: record.Seq, Offset: record.Offset, PriorDistance: record.Offset - record.PreviousInTopic, Data: record.Data,
		Ephemeral: item.ephemeral,
	}
	g.overlay.AwaitCell(now, routedPlane, item.request.Topic, func(now time.Time, effects *statemachine.Effects, stable bool) {
		destinations := g.overlay.SubscribedDaemons(routedPlane, item.request.Topic)
		for _, name := range destinations {
			if member, found := g.viewClient.Members[name]; found {
				g.Counts.CopiesOut++
				effects.Send(member.Address, message)
			}
		}
		g.ring.Record(now, item.request.RequestName, decisionlog.MessageName(item.space, item.request.Sender, item.request.Seq),
			item.request.Client, "fanned-out", "destinations", destinations, "why", "subscriber list of the peer at the topic's cell",
			"settled", stable, "partition", item.partition, "offset", record.Offset)
	}, effects)
}

// retryPublications sends again what stayed without an answer, and gives up at
// once on what can't be had in time.
func (g *Gateway) retryPublications(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for _, item := range statemachine.Sorted(g.routed.appends) {
		if !item.deadline.After(now) {
			if len(item.unanswered) > 0 {
				g.answerRouted(now, item, unsettledReply("no-answer", "the store did not answer; send the same seq again", retryShortDelay), effects)
			} else {
				g.answerRouted(now, item, rejectedReply(503, "no-answer", "the message was not kept", retryShortDelay), effects)
			}
			continue
		}
		if !item.due().After(now) {
			g.sendRouted(now, item, effects)
		}
		next = statemachine.Earliest(next, item.due(), item.deadline)
	}
	if !next.IsZero() {
		g.timers.ArmSooner(timerRouted, next)
	}
}

// forgetRouted lets old memories go.
func (g *Gateway) forgetRouted(now time.Time) {
	for key, at := range g.routed.accepted {
		if now.Sub(at) > routedRemember {
			delete(g.routed.accepted, key)
		}
	}
}
