package gateway

import (
	"cmp"
	"dahlialock/internal/config"
	"dahlialock/internal/logevent"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"slices"
	"time"
)

// deliverRouted gives a message to a place that is filled and lacks it.
func (g *Gateway) deliverRouted(_ time.Time, subscription *topicSubscription, record partition.Record, effects *statemachine.Effects) {
	if subscription.filling || record.Offset <= subscription.deliveredUpTo && (subscription.topic.durable || !statemachine.Mutated("no-passing-offsets")) {
		return
	}
	session, open := g.sessions[subscription.session]
	if !open || !session.movedAt.IsZero() {
		return
	}
	subscription.deliveredUpTo = record.Offset
	g.Counts.Delivered++
	g.emit(subscription.session, Event{
		Event: "message", Space: subscription.topic.space, Topic: record.Topic, Sender: record.Sender, Seq: record.Seq, Body: record.Data,
		Cursor: formatTopicCursor(record.Offset),
	}, effects)
}

// process hands the topic's next message to everybody here.
func (g *Gateway) process(now time.Time, topic *topicState, record partition.Record, effects *statemachine.Effects) {
	topic.last = record.Offset
	topic.recent = append(topic.recent, record)
	topic.recentSize += len(record.Data)
	for len(topic.recent) > 1 && topic.tooMuchRecent(now) {
		topic.recentFrom = topic.recent[0].Offset
		topic.recentSize -= len(topic.recent[0].Data)
		topic.recent = topic.recent[1:]
	}
	for _, subscription := range topic.subscriptions {
		g.deliverRouted(now, subscription, record, effects)
	}
}

// tooMuchRecent tells whether the oldest of the recent records is to be let go.
func (t *topicState) tooMuchRecent(now time.Time) bool {
	if t.recentUntil.After(now) {
		return t.recentSize > backlogBytes
	}
	return len(t.recent) > recentRecords || t.recentSize > recentBytes
}

// handleRoutedCopy takes a message of a routed topic, and tells whether anybody here
// wants it.
func (g *Gateway) handleRoutedCopy(now time.Time, record partition.Record, effects *statemachine.Effects) bool {
	topic, found := g.routed.topics[record.Topic]
	if !found {
		return false
	}
	if topic.live && record.Offset <= topic.last && (topic.durable || !statemachine.Mutated("no-passing-offsets")) {
		return true
	}
	follows := statemachine.Mutated("no-topic-prior") || record.PreviousInTopic <= topic.last || !topic.durable && topic.last == 0
	if topic.live && follows {
		g.process(now, topic, record, effects)
		g.release(now, topic, effects)
		return true
	}
	position, present := slices.BinarySearchFunc(topic.pending, record.Offset, func(each partition.Record, offset uint64) int { return cmp.Compare(each.Offset, offset) })
	if present || len(topic.pending) >= maxPendingTopicRecords {
		return true
	}
	if len(topic.pending) == 0 {
		topic.pendingSince = now
	}
	topic.pending = slices.Insert(topic.pending, position, record)
	if !topic.live {
		return true
	}
	g.Counts.Gaps++
	effects.Emit(logevent.GapFound, "partition", topic.partition, "offset", record.Offset, "prior", record.PreviousInTopic)
	if topic.durable {
		g.requireUpTo(now, topic, record.PreviousInTopic, gapTimeout)
	} else {
		g.scheduleTopic(topic, now.Add(ephemeralGapTimeout))
	}
	return true
}

// release hands over what was held for something that has come.
func (g *Gateway) release(now time.Time, topic *topicState, effects *statemachine.Effects) {
	for len(topic.pending) > 0 {
		next := topic.pending[0]
		if next.Offset > topic.last && next.PreviousInTopic > topic.last {
			return
		}
		topic.pending = topic.pending[1:]
		topic.pendingSince = now
		if next.Offset > topic.last {
			g.process(now, topic, next, effects)
		}
	}
	topic.pending = nil
}

// requireUpTo notes that a topic has more than was handed over; unless it comes by
// itself in a moment, it is fetched.
func (g *Gateway) requireUpTo(now time.Time, topic *topicState, offset uint64, grace time.Duration) {
	if offset <= topic.wanted && offset <= topic.last {
		return
	}
	topic.wanted = max(topic.wanted, offset)
	at := now.Add(grace)
	if topic.checkAt.IsZero() || at.Before(topic.checkAt) {
		topic.checkAt = at
	}
	g.scheduleTopic(topic, topic.checkAt)
}

// scheduleTopic notes that a topic wants to be looked at.
func (g *Gateway) scheduleTopic(topic *topicState, at time.Time) {
	g.routed.scheduled[topic.name] = topic
	g.timers.ArmSooner(timerRouted, at)
}

// startReports lets a partition's first tell what moved after an offset up to which
// one of its topics is known here. What is told while further topics are fetched is
// noted for them too, so that nothing is to be told again for their sake.
func (g *Gateway) startReports(now time.Time, name string, until uint64) {
	if _, begun := g.routed.reportedUpTo[name]; begun {
		return
	}
	g.routed.reportedUpTo[name] = until
	g.timers.ArmSooner(timerFollow, now.Add(gapTimeout))
}

// tickRouted looks at the topics with something that waits.
func (g *Gateway) tickRouted(now time.Time, effects *statemachine.Effects) {
	for _, topic := range statemachine.Sorted(g.routed.scheduled) {
		g.tickTopic(now, topic, effects)
	}
	g.retryBatches(now, effects)
	g.retryPublications(now, effects)
}

// tickTopic does what is due for a topic and notes when it is to be looked at
// again.
func (g *Gateway) tickTopic(now time.Time, topic *topicState, effects *statemachine.Effects) {
	delete(g.routed.scheduled, topic.name)
	if g.routed.topics[topic.name] != topic {
		return
	}
	var next time.Time
	filling := false
	for _, subscription := range slices.Clone(topic.subscriptions) {
		switch {
		case !subscription.filling:
		case !subscription.deadline.After(now) && !topic.durable:
			g.startEphemeral(now, subscription, effects)
		case !subscription.deadline.After(now) && subscription.request.Request == 0:
			// It was confirmed, and some of what it missed has come: the rest is
			// fetched however long that takes.
			filling = true
		case !subscription.deadline.After(now):
			topic.reserve(now, subscription)
			g.rejectTopicSubscription(now, subscription, rejectedReply(503, "no-answer", "the place could not be found in time; nothing is subscribed", retryShortDelay), effects)
		default:
			filling = filling || topic.durable
			next = statemachine.Earliest(next, subscription.deadline)
		}
	}
	if !topic.durable {
		if len(topic.pending) > 0 && !topic.pendingSince.Add(ephemeralGapTimeout).After(now) {
			topic.last = max(topic.last, topic.pending[0].PreviousInTopic)
			g.release(now, topic, effects)
		}
		if len(topic.pending) > 0 {
			next = statemachine.Earliest(next, topic.pendingSince.Add(ephemeralGapTimeout))
		}
	} else {
		if topic.wanted <= topic.last {
			topic.checkAt = time.Time{}
		}
		due := !topic.checkAt.IsZero() && !topic.checkAt.After(now)
		switch {
		case topic.fetch != nil || topic.queued:
		case filling || due || topic.reserved(now):
			topic.checkAt = time.Time{}
			g.fetchTopic(now, topic, effects)
		default:
			next = statemachine.Earliest(next, topic.checkAt)
		}
		if len(topic.subscriptions) == 0 {
			if !topic.reservedUntil.After(now) {
				g.dropTopic(topic)
				return
			}
			next = statemachine.Earliest(next, topic.reservedUntil)
		}
	}
	if !next.IsZero() && g.routed.topics[topic.name] == topic {
		g.scheduleTopic(topic, next)
	}
}

// handleTopicHighWatermarks takes which topics of a shared partition moved.
func (g *Gateway) handleTopicHighWatermarks(now time.Time, head partition.HighWatermark, _ *statemachine.Effects) {
	if _, used := g.routed.partitions[head.Partition]; !used || statemachine.Mutated("no-topic-heads") || head.Epoch < g.viewClient.Placements[head.Partition].Epoch {
		return
	}
	reported := g.routed.reportedUpTo[head.Partition]
	for _, each := range head.Topics {
		if topic, found := g.routed.numbers[each.TopicHash]; found && topic.durable && each.Offset > topic.last {
			g.requireUpTo(now, topic, each.Offset, highWatermarkGrace)
		}
	}
	if head.From > reported {
		// Something was told that did not come.
		g.timers.ArmSooner(timerFollow, now)
		return
	}
	g.routed.reportedUpTo[head.Partition] = max(reported, head.Offset)
}

// rerouteAll puts changed routes in force: what leads elsewhere now, or nowhere,
// ends.
func (g *Gateway) rerouteAll(now time.Time, effects *statemachine.Effects) {
	for name, topic := range statemachine.Sorted(g.routed.topics) {
		space := g.routeOf("", name)
		state, present := g.spaces[space]
		if present && (state.space.Retention == config.Durable) == topic.durable {
			topic.space = space
			continue
		}
		topic.reservedUntil = time.Time{}
		for _, subscription := range slices.Clone(topic.subscriptions) {
			if subscription.filling {
				g.rejectTopicSubscription(now, subscription, rejectedReply(404, "no-such-space", "the space was removed", 0), effects)
				continue
			}
			if session, open := g.sessions[subscription.session]; open {
				g.dropTopicSubscription(now, session, name, effects)
				g.emit(subscription.session, Event{Event: "ended", Space: topic.space, Topic: name, Code: "space-removed"}, effects)
			}
		}
		g.dropTopic(topic)
	}
}
