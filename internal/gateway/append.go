package gateway

import (
	"time"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// publishDurable sends a publication to the leader of its partition. If the space has several partitions
// and this gateway does not know the newest messages of the sender, it looks up the sender first.
func (g *Gateway) publishDurable(
	now time.Time,
	state *spaceState,
	senderState *sender,
	item *publication,
	effects *statemachine.Effects,
) {
	// If the seq leaves a gap after the newest known one, the sender may have published through another
	// gateway in between. Its dependencies are looked up again.
	follows := senderState.lookedUp && item.request.Seq <= senderState.lastSeq+1
	if !follows && !item.lookedUp && state.space.Partitions() > 1 {
		item.lookedUp = true
		g.lookUpSender(now, state, item, effects)
		return
	}
	item.partition = g.partitionOf(state, item.request.Topic)
	g.lastRequest++
	item.id = g.lastRequest
	g.appends[item.id] = item
	g.overlay.Publish(now, state.name, areaOf(state.space, item.request.Topic), nil, effects)
	g.sendAppend(now, senderState, item, effects)
}

// sendAppend sends the append of a publication to the leader of its partition. Each send has a new
// request number.
func (g *Gateway) sendAppend(now time.Time, senderState *sender, item *publication, effects *statemachine.Effects) {
	item.sentAt = now
	g.timers.ArmSooner(timerDeadlines, now.Add(appendRetry))
	address, store, found := g.leaderOf(item.partition)
	if !found {
		g.viewClient.PollNow(now)
		return
	}
	var dependencies partition.Dependencies
	if state, known := g.spaces[item.request.Space]; known && state.space.Partitions() > 1 {
		dependencies = senderState.currentDependencies(now)
	}
	g.lastRequest++
	send := g.lastRequest
	if item.unanswered == nil {
		item.unanswered = map[uint64]bool{}
	}
	item.unanswered[send] = true
	g.sends[send] = item
	g.ring.Record(now, item.request.RequestName, item.request.messageName(),
		item.request.Client, "append",
		"partition", item.partition,
		"store", store,
		"epoch", g.viewClient.Placements[item.partition].Epoch,
	)
	effects.Send(address, partition.Append{
		Partition:     item.partition,
		RequestID:     send,
		Topic:         item.request.Topic,
		Sender:        item.request.Sender,
		Seq:           item.request.Seq,
		Data:          item.request.Data,
		Dependencies:  dependencies,
		DuplicateOnly: item.request.Seq <= senderState.lastSeq,
	})
}

// handleAppendResponse handles the response of a store to an append.
func (g *Gateway) handleAppendResponse(
	now time.Time,
	response partition.AppendResponse,
	effects *statemachine.Effects,
) {
	if item, routed := g.routed.sends[response.RequestID]; routed && item.partition == response.Partition {
		g.handleRoutedAppendResponse(now, item, response, effects)
		return
	}
	item, found := g.sends[response.RequestID]
	if !found || item.partition != response.Partition {
		return
	}
	delete(item.unanswered, response.RequestID)
	delete(g.sends, response.RequestID)
	g.ring.Record(now, item.request.RequestName, item.request.messageName(), item.request.Client, "kept",
		"outcome", response.Outcome,
		"code", response.Code,
		"partition", response.Partition,
		"epoch", response.Epoch,
		"offset", response.Record.Offset,
		"again", response.Duplicate,
	)
	switch response.Outcome {
	case partition.OutcomeAccepted:
		g.applyAppended(now, item, response, effects)
	case partition.OutcomeRejected:
		g.applyAppendRejected(now, item, response, effects)
	default:
		g.finishPublication(now, item, unsettledReply(response.Code, "send the same seq again", retryLongDelay), effects)
	}
}

// applyAppended fans out an appended message and accepts its publication.
func (g *Gateway) applyAppended(
	now time.Time,
	item *publication,
	response partition.AppendResponse,
	effects *statemachine.Effects,
) {
	if senderState, known := g.senders[item.key]; known {
		senderState.lastSeq = max(senderState.lastSeq, item.request.Seq)
		senderState.dependencies = append(senderState.dependencies, dependency{
			position: partition.MessagePosition{
				Partition: partition.NumberOf(response.Partition),
				Offset:    response.Record.Offset,
				Topic:     item.request.Topic,
			},
			seq: item.request.Seq,
			at:  now,
		})
	}
	if state, present := g.spaces[item.request.Space]; present && !response.Duplicate {
		g.fanOutRecord(now, state, response.Partition, response.Record, item, effects)
	}
	g.finishPublication(now, item, acceptedReply(map[string]any{"again": response.Duplicate}), effects)
}

// applyAppendRejected answers a publication whose append was rejected. If the store is
// not the leader, the append is retried until the deadline instead.
func (g *Gateway) applyAppendRejected(
	now time.Time,
	item *publication,
	response partition.AppendResponse,
	effects *statemachine.Effects,
) {
	switch response.Code {
	case partition.CodeNotLeader:
		// The view of the store or of this gateway is stale; the append is retried until the deadline.
		g.viewClient.PollNow(now)
		item.sentAt = now
		g.timers.ArmSooner(timerDeadlines, now.Add(appendRetry))
	case partition.CodeSequenceStale, partition.CodeSequenceReused:
		g.finishPublication(
			now,
			item,
			rejectedReply(409, response.Code, "this seq is not above the sender's newest", 0),
			effects,
		)
	default:
		// An earlier attempt with this seq may still be appended; see publicationReply.
		answer := unsettledReply(response.Code, "send the same seq again", response.RetryAfter)
		g.finishPublication(now, item, answer, effects)
	}
}

// fanOutRecord delivers a record to the subscribers of this gateway and sends one copy to each
// destination gateway.
func (g *Gateway) fanOutRecord(
	now time.Time,
	state *spaceState,
	name string,
	record partition.Record,
	item *publication,
	effects *statemachine.Effects,
) {
	area := areaOf(state.space, record.Topic)
	recordCopy := RecordCopy{Partition: name, Record: record}
	fanOut := func(now time.Time, effects *statemachine.Effects, stable bool) {
		destinations := g.overlay.Destinations(state.name, area)
		g.sendToDestinations(now, item, destinations, stable, recordCopy, effects)
	}
	if _, tracked := g.trackers[name]; tracked {
		g.handleRecordCopy(now, recordCopy, effects)
	}
	if g.overlay.Joined(state.name, area) {
		fanOut(now, effects, true)
		return
	}
	g.overlay.Publish(now, state.name, area, fanOut, effects)
}

// sendToDestinations sends one copy to each destination gateway. stable is only recorded; it is set if
// the overlay was stable when the destinations were determined.
func (g *Gateway) sendToDestinations(
	now time.Time,
	item *publication,
	destinations []string,
	stable bool,
	message any,
	effects *statemachine.Effects,
) {
	for _, name := range destinations {
		if member, found := g.viewClient.Members[name]; found {
			g.Counts.CopiesOut++
			effects.Send(member.Address, message)
		}
	}
	g.ring.Record(now, item.request.RequestName, item.request.messageName(),
		item.request.Client, "fanned-out",
		"destinations", destinations,
		"why", "subscriber list of the peer at the topic's area",
		"settled", stable,
	)
}

// retryAppends sends unanswered appends again, and returns the time of the next retry or deadline.
func (g *Gateway) retryAppends(now time.Time, effects *statemachine.Effects) time.Time {
	var next time.Time
	for _, item := range statemachine.Sorted(g.appends) {
		senderState, known := g.senders[item.key]
		if known && item.deadline.After(now) && !item.sentAt.Add(appendRetry).After(now) {
			g.sendAppend(now, senderState, item, effects)
		}
		if item.deadline.After(now) {
			next = statemachine.Earliest(next, item.sentAt.Add(appendRetry), item.deadline)
		}
	}
	return next
}
