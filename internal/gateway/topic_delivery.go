package gateway

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/logevent"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// deliverRouted delivers a record to a subscription that has caught up, unless it was delivered before.
func (g *Gateway) deliverRouted(
	subscription *topicSubscription,
	record partition.Record,
	effects *statemachine.Effects,
) {
	if subscription.catchingUp {
		return
	}
	delivered := record.Offset <= subscription.deliveredUpTo
	if delivered && (subscription.topic.durable || !statemachine.Mutated("no-passing-offsets")) {
		return
	}
	session, open := g.sessions[subscription.session]
	if !open || !session.movedAt.IsZero() {
		return
	}
	subscription.deliveredUpTo = record.Offset
	g.Counts.Delivered++
	g.emit(subscription.session, Event{
		Event:  "message",
		Space:  subscription.topic.space,
		Topic:  record.Topic,
		Sender: record.Sender,
		Seq:    record.Seq,
		Body:   record.Data,
		Cursor: formatTopicCursor(record.Offset),
	}, effects)
}

// deliverNext delivers the next record of a topic to all subscriptions, and adds it to the recent
// records.
func (g *Gateway) deliverNext(
	now time.Time,
	topic *topicState,
	record partition.Record,
	effects *statemachine.Effects,
) {
	topic.deliveredUpTo = record.Offset
	topic.recent = append(topic.recent, record)
	topic.recentSize += len(record.Data)
	for len(topic.recent) > 1 && topic.exceedsRecentBounds(now) {
		topic.recentFrom = topic.recent[0].Offset
		topic.recentSize -= len(topic.recent[0].Data)
		topic.recent = topic.recent[1:]
	}
	for _, subscription := range topic.subscriptions {
		g.deliverRouted(subscription, record, effects)
	}
}

// exceedsRecentBounds reports whether the oldest recent record is to be removed.
func (t *topicState) exceedsRecentBounds(now time.Time) bool {
	if t.recentUntil.After(now) {
		return t.recentSize > maxBacklogBytes
	}
	return len(t.recent) > maxRecentRecords || t.recentSize > maxRecentBytes
}

// handleRoutedCopy delivers a message of a routed topic, or buffers it until its predecessor in the
// topic was delivered. It reports whether this gateway has subscriptions to the topic.
func (g *Gateway) handleRoutedCopy(now time.Time, record partition.Record, effects *statemachine.Effects) bool {
	topic, found := g.routed.topics[record.Topic]
	if !found {
		return false
	}
	if topic.started && record.Offset <= topic.deliveredUpTo &&
		(topic.durable || !statemachine.Mutated("no-passing-offsets")) {
		return true
	}
	follows := statemachine.Mutated("no-topic-prior") || record.PreviousInTopic <= topic.deliveredUpTo ||
		!topic.durable && topic.deliveredUpTo == 0
	if topic.started && follows {
		g.deliverNext(now, topic, record, effects)
		g.deliverPending(now, topic, effects)
		return true
	}
	if !topic.addPending(now, record) || !topic.started {
		return true
	}
	g.Counts.Gaps++
	effects.Emit(logevent.GapFound,
		"partition", topic.partition,
		"offset", record.Offset,
		"prior", record.PreviousInTopic,
	)
	if topic.durable {
		g.requireUpTo(now, topic, record.PreviousInTopic, gapTimeout)
	} else {
		g.scheduleTopic(topic, now.Add(ephemeralGapTimeout))
	}
	return true
}

// addPending adds a record to the pending records, which are in order of offset. It reports whether
// the record was added: a duplicate is not, nor is a record beyond maxPendingTopicRecords.
func (t *topicState) addPending(now time.Time, record partition.Record) bool {
	byOffset := func(each partition.Record, offset uint64) int { return cmp.Compare(each.Offset, offset) }
	index, present := slices.BinarySearchFunc(t.pending, record.Offset, byOffset)
	if present || len(t.pending) >= maxPendingTopicRecords {
		return false
	}
	if len(t.pending) == 0 {
		t.pendingSince = now
	}
	t.pending = slices.Insert(t.pending, index, record)
	return true
}

// deliverPending delivers the pending records whose predecessors were delivered.
func (g *Gateway) deliverPending(now time.Time, topic *topicState, effects *statemachine.Effects) {
	for len(topic.pending) > 0 {
		next := topic.pending[0]
		if next.Offset > topic.deliveredUpTo && next.PreviousInTopic > topic.deliveredUpTo {
			return
		}
		topic.pending = topic.pending[1:]
		topic.pendingSince = now
		if next.Offset > topic.deliveredUpTo {
			g.deliverNext(now, topic, next, effects)
		}
	}
	topic.pending = nil
}

// requireUpTo records that the topic has records up to an offset. They are fetched unless their copies
// arrive within the grace period.
func (g *Gateway) requireUpTo(now time.Time, topic *topicState, offset uint64, grace time.Duration) {
	if offset <= topic.highestKnown && offset <= topic.deliveredUpTo {
		return
	}
	topic.highestKnown = max(topic.highestKnown, offset)
	at := now.Add(grace)
	if topic.fetchAt.IsZero() || at.Before(topic.fetchAt) {
		topic.fetchAt = at
	}
	g.scheduleTopic(topic, topic.fetchAt)
}

// scheduleTopic schedules a tick of the topic.
func (g *Gateway) scheduleTopic(topic *topicState, at time.Time) {
	g.routed.scheduled[topic.name] = topic
	g.timers.ArmSooner(timerRouted, at)
}

// startReports subscribes to the leader's reports of topics with new records in a partition, from the
// high watermark of the first fetch. Reports that arrive while other topics of the partition are being
// fetched apply to these too, so the leader need not repeat them.
func (g *Gateway) startReports(now time.Time, name string, until uint64) {
	if _, begun := g.routed.reportedUpTo[name]; begun {
		return
	}
	g.routed.reportedUpTo[name] = until
	g.timers.ArmSooner(timerHighWatermarks, now.Add(gapTimeout))
}

// tickRouted runs the due ticks of routed topics, and retries their batches and publications.
func (g *Gateway) tickRouted(now time.Time, effects *statemachine.Effects) {
	for _, topic := range statemachine.Sorted(g.routed.scheduled) {
		g.tickTopic(now, topic, effects)
	}
	g.retryBatches(now, effects)
	g.retryRoutedPublications(now, effects)
}

// tickTopic handles the expired deadlines of a topic and schedules its next tick.
func (g *Gateway) tickTopic(now time.Time, topic *topicState, effects *statemachine.Effects) {
	delete(g.routed.scheduled, topic.name)
	if g.routed.topics[topic.name] != topic {
		return
	}
	next, catchingUp := g.tickSubscriptions(now, topic, effects)
	if topic.durable {
		next = statemachine.Earliest(next, g.tickDurable(now, topic, catchingUp, effects))
	} else {
		next = statemachine.Earliest(next, g.tickEphemeral(now, topic, effects))
	}
	if !next.IsZero() && g.routed.topics[topic.name] == topic {
		g.scheduleTopic(topic, next)
	}
}

// tickSubscriptions rejects the subscriptions to a durable topic that were not confirmed by their
// deadline, and confirms those to an ephemeral topic. It returns the next deadline, and whether a
// subscription to a durable topic still needs records.
func (g *Gateway) tickSubscriptions(
	now time.Time,
	topic *topicState,
	effects *statemachine.Effects,
) (next time.Time, catchingUp bool) {
	for _, subscription := range slices.Clone(topic.subscriptions) {
		switch {
		case !subscription.catchingUp:
		case !subscription.deadline.After(now) && !topic.durable:
			g.startEphemeral(now, subscription, effects)
		case !subscription.deadline.After(now) && subscription.request.Request == 0:
			// The subscription is confirmed, so its missed records are fetched without
			// a deadline.
			catchingUp = true
		case !subscription.deadline.After(now):
			topic.reserve(now, subscription)
			response := rejectedReply(
				503,
				CodeNoAnswer,
				"the place could not be found in time; nothing is subscribed",
				retryShortDelay,
			)
			g.rejectTopicSubscription(now, subscription, response, effects)
		default:
			catchingUp = catchingUp || topic.durable
			next = statemachine.Earliest(next, subscription.deadline)
		}
	}
	return next, catchingUp
}

// tickEphemeral skips a gap in an ephemeral topic after ephemeralGapTimeout, and returns when the next
// gap times out.
func (g *Gateway) tickEphemeral(now time.Time, topic *topicState, effects *statemachine.Effects) time.Time {
	if len(topic.pending) > 0 && !topic.pendingSince.Add(ephemeralGapTimeout).After(now) {
		topic.deliveredUpTo = max(topic.deliveredUpTo, topic.pending[0].PreviousInTopic)
		g.deliverPending(now, topic, effects)
	}
	if len(topic.pending) > 0 {
		return topic.pendingSince.Add(ephemeralGapTimeout)
	}
	return time.Time{}
}

// tickDurable fetches the missing records of a durable topic, and removes a topic without
// subscriptions and reservation. It returns when the next tick of the topic is due.
func (g *Gateway) tickDurable(
	now time.Time,
	topic *topicState,
	catchingUp bool,
	effects *statemachine.Effects,
) (next time.Time) {
	if topic.highestKnown <= topic.deliveredUpTo {
		topic.fetchAt = time.Time{}
	}
	due := !topic.fetchAt.IsZero() && !topic.fetchAt.After(now)
	switch {
	case topic.fetch != nil || topic.queued:
	case catchingUp || due || topic.reserved(now):
		topic.fetchAt = time.Time{}
		g.fetchTopic(now, topic, effects)
	default:
		next = topic.fetchAt
	}
	if len(topic.subscriptions) > 0 {
		return next
	}
	if !topic.reservedUntil.After(now) {
		g.dropTopic(topic)
		return time.Time{}
	}
	return statemachine.Earliest(next, topic.reservedUntil)
}

// handleTopicHighWatermarks applies a leader's report of the topics of a shared partition that have new
// records.
func (g *Gateway) handleTopicHighWatermarks(now time.Time, report partition.HighWatermark) {
	if _, used := g.routed.topicCounts[report.Partition]; !used || statemachine.Mutated("no-topic-heads") {
		return
	}
	if report.Epoch < g.viewClient.Placements[report.Partition].Epoch {
		return
	}
	reported := g.routed.reportedUpTo[report.Partition]
	for _, each := range report.Topics {
		if topic, found := g.routed.topicsByHash[each.TopicHash]; found &&
			topic.durable && each.Offset > topic.deliveredUpTo {
			g.requireUpTo(now, topic, each.Offset, highWatermarkGrace)
		}
	}
	if report.From > reported {
		// An earlier report was lost; subscribe again from the last one received.
		g.timers.ArmSooner(timerHighWatermarks, now)
		return
	}
	g.routed.reportedUpTo[report.Partition] = max(reported, report.Offset)
}

// applyRoutes applies changed routes. The subscriptions to a topic end if no route matches it any more,
// or if its retention has changed.
func (g *Gateway) applyRoutes(now time.Time, effects *statemachine.Effects) {
	for name, topic := range statemachine.Sorted(g.routed.topics) {
		space := g.routedSpace("", name)
		state, present := g.spaces[space]
		if present && (state.space.Retention == config.Durable) == topic.durable {
			topic.space = space
			continue
		}
		topic.reservedUntil = time.Time{}
		for _, subscription := range slices.Clone(topic.subscriptions) {
			if subscription.catchingUp {
				g.rejectTopicSubscription(
					now,
					subscription,
					rejectedReply(404, CodeNoSuchSpace, "the space was removed", 0),
					effects,
				)
				continue
			}
			if session, open := g.sessions[subscription.session]; open {
				g.dropTopicSubscription(now, session, name, effects)
				g.emit(subscription.session, Event{
					Event: "ended",
					Space: topic.space,
					Topic: name,
					Code:  CodeSpaceRemoved,
				}, effects)
			}
		}
		g.dropTopic(topic)
	}
}
