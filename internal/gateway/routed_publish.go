package gateway

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	// routedAppendTimeout is the timeout of the first attempt of an append; it doubles with each further one.
	routedAppendTimeout = 200 * time.Millisecond
	// acceptedRetention is how long an accepted publication is remembered. A retry within this time is
	// accepted at once.
	acceptedRetention = 30 * time.Second
)

// routedKey identifies a message of a routed topic.
type routedKey struct {
	topic  string
	sender string
	seq    uint64
}

// routedPublication is a message that a client published to a routed topic.
type routedPublication struct {
	request Publish
	// id is the key of the publication in appends; retries run in the order of the ids.
	id        uint64
	space     string
	partition string
	// ephemeral is set if the message is appended without its data, only to assign an offset.
	ephemeral bool
	// sentAt and sentRoute are the time and the route of the last send of the append.
	sentAt    time.Time
	sentRoute route
	// deadline is the latest time of the final answer.
	deadline time.Time
	// sendCount is how often the append was sent.
	sendCount int
	// unanswered are the request numbers of the sends without a response. Each send has its own number,
	// so that a duplicate of a response does not count as the response to another send.
	unanswered map[uint64]bool
}

// messageName returns the name of the message in recorded decisions.
func (rp *routedPublication) messageName() string {
	return decisionlog.MessageName(rp.space, rp.request.Sender, rp.request.Seq)
}

// due returns when the append is sent again; see backoff. The timeout doubles with each unanswered send.
func (rp *routedPublication) due() time.Time {
	return rp.sentAt.Add(backoff(routedAppendTimeout, len(rp.unanswered)))
}

// publishRouted evaluates a publication to a routed topic and sends its append; refreshed is set if
// the configuration has already been refreshed for it.
func (g *Gateway) publishRouted(now time.Time, request Publish, refreshed bool, effects *statemachine.Effects) {
	space := g.routedSpace(request.Space, request.Topic)
	policyRequest := &PolicyRequest{
		Kind:      RequestPublish,
		Client:    request.Client,
		Sender:    request.Sender,
		Space:     space,
		Topic:     request.Topic,
		Seq:       request.Seq,
		Data:      request.Data,
		Refreshed: refreshed,
		Routed:    true,
	}
	item := &routedPublication{
		request:    request,
		space:      space,
		partition:  config.SharedPartition(request.Topic),
		unanswered: map[uint64]bool{},
	}
	answer := func(response Reply) { g.answerRoutedPublication(now, item, response, effects) }
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
	g.lastRequest++
	item.id = g.lastRequest
	g.routed.appends[item.id] = item
	g.overlay.AwaitCell(now, routedOverlaySpace, request.Topic, func(time.Time, *statemachine.Effects, bool) {}, effects)
	g.sendRoutedAppend(now, item, effects)
	g.timers.ArmSooner(timerRouted, item.deadline)
}

// answerRoutedPublication gives a publication to a routed topic its final answer.
func (g *Gateway) answerRoutedPublication(
	now time.Time,
	item *routedPublication,
	response Reply,
	effects *statemachine.Effects,
) {
	response = publicationReply(response)
	g.countOutcome(response)
	delete(g.routed.appends, item.id)
	for send := range item.unanswered {
		delete(g.routed.sends, send)
	}
	g.ring.Record(now, item.request.RequestName, item.messageName(),
		item.request.Client, "answered",
		"outcome", response.Outcome,
		"code", response.Code,
		"topic", item.request.Topic,
		"tries", item.sendCount,
	)
	effects.Respond(item.request.Request, response)
}

// sendRoutedAppend sends the append of a publication to the leader of its partition. Each send has a new
// request number.
func (g *Gateway) sendRoutedAppend(now time.Time, item *routedPublication, effects *statemachine.Effects) {
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
	item.sendCount++
	item.sentRoute = g.routeTo(item.partition)
	g.lastRequest++
	item.unanswered[g.lastRequest] = true
	g.routed.sends[g.lastRequest] = item
	effects.Send(address, partition.Append{
		Partition:  item.partition,
		RequestID:  g.lastRequest,
		Topic:      item.request.Topic,
		Sender:     item.request.Sender,
		Seq:        item.request.Seq,
		Data:       data,
		OffsetOnly: item.ephemeral,
	})
}

// handleRoutedAppendResponse handles the response of a store to the append of a routed topic.
func (g *Gateway) handleRoutedAppendResponse(
	now time.Time,
	item *routedPublication,
	response partition.AppendResponse,
	effects *statemachine.Effects,
) {
	delete(item.unanswered, response.RequestID)
	delete(g.routed.sends, response.RequestID)
	switch response.Outcome {
	case partition.OutcomeAccepted:
		g.routed.accepted[routedKey{topic: item.request.Topic, sender: item.request.Sender, seq: item.request.Seq}] = now
		record := response.Record
		record.Topic = item.request.Topic
		record.Sender = item.request.Sender
		record.Seq = item.request.Seq
		record.Data = item.request.Data
		if !response.Duplicate || item.ephemeral || item.sendCount > 1 {
			// A duplicate in response to the only send was appended by an earlier publication. A durable
			// one is not fanned out again: gateways that missed it detect it by the high watermarks of
			// the partition. An ephemeral message is not detected in this way and is fanned out again;
			// sessions that already received it or a later one ignore it.
			g.fanOutRouted(now, item, record, effects)
		}
		g.answerRoutedPublication(now, item, acceptedReply(nil), effects)
	case partition.OutcomeRejected:
		switch response.Code {
		case partition.CodeNotLeader:
			g.viewClient.PollNow(now)
		case partition.CodeSequenceStale, partition.CodeSequenceReused:
			g.answerRoutedPublication(
				now,
				item,
				rejectedReply(409, response.Code, "this seq is not above the sender's newest of this topic", 0),
				effects,
			)
		default:
			// An earlier attempt with this seq may still be appended; see publicationReply.
			g.answerRoutedPublication(
				now,
				item,
				unsettledReply(response.Code, "send the same seq again", max(response.RetryAfter, retryShortDelay)),
				effects,
			)
		}
	default:
		g.answerRoutedPublication(
			now,
			item,
			unsettledReply(response.Code, "send the same seq again", retryShortDelay),
			effects,
		)
	}
}

// fanOutRouted delivers a message to the subscribers of this gateway and sends one copy to each other
// gateway with subscribers.
func (g *Gateway) fanOutRouted(
	now time.Time,
	item *routedPublication,
	record partition.Record,
	effects *statemachine.Effects,
) {
	g.handleRoutedCopy(now, record, effects)
	message := RoutedCopy{
		Topic:         record.Topic,
		Sender:        record.Sender,
		Seq:           record.Seq,
		Offset:        record.Offset,
		PriorDistance: record.Offset - record.PreviousInTopic,
		Data:          record.Data,
		Ephemeral:     item.ephemeral,
	}
	g.overlay.AwaitCell(
		now,
		routedOverlaySpace,
		item.request.Topic,
		func(now time.Time, effects *statemachine.Effects, stable bool) {
			destinations := g.overlay.SubscribedDaemons(routedOverlaySpace, item.request.Topic)
			for _, name := range destinations {
				if member, found := g.viewClient.Members[name]; found {
					g.Counts.CopiesOut++
					effects.Send(member.Address, message)
				}
			}
			g.ring.Record(now, item.request.RequestName, item.messageName(),
				item.request.Client, "fanned-out",
				"destinations", destinations,
				"why", "subscriber list of the peer at the topic's cell",
				"settled", stable,
				"partition", item.partition,
				"offset", record.Offset,
			)
		},
		effects,
	)
}

// retryRoutedPublications sends unanswered appends of routed topics again, and answers the publications that
// have passed their deadline.
func (g *Gateway) retryRoutedPublications(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for _, item := range statemachine.Sorted(g.routed.appends) {
		if !item.deadline.After(now) {
			g.answerRoutedPublication(
				now,
				item,
				unsettledReply(CodeNoAnswer, "the store did not answer; send the same seq again", retryShortDelay),
				effects,
			)
			continue
		}
		if !item.due().After(now) {
			g.sendRoutedAppend(now, item, effects)
		}
		next = statemachine.Earliest(next, item.due(), item.deadline)
	}
	if !next.IsZero() {
		g.timers.ArmSooner(timerRouted, next)
	}
}

// dropExpiredAccepted drops accepted publications that are older than acceptedRetention.
func (g *Gateway) dropExpiredAccepted(now time.Time) {
	for key, at := range g.routed.accepted {
		if now.Sub(at) > acceptedRetention {
			delete(g.routed.accepted, key)
		}
	}
}
