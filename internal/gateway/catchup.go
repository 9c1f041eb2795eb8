package gateway

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	// maxBatchTopics is how many topics one batch asks for.
	maxBatchTopics = 256
	// batchRetry is how long the response to the first attempt of a batch may take; the
	// timeout doubles with each further attempt.
	batchRetry = 400 * time.Millisecond
	// catchUpAhead is how long the link may take for the records that are requested at once, from all
	// stores together.
	catchUpAhead = 200 * time.Millisecond
	// Bounds of the bytes of records that one batch asks for.
	minBatchBytes = 4 << 10
	maxBatchBytes = 256 << 10
	// reservedFor is for how long a rejected subscription keeps its turn.
	reservedFor = 3 * time.Second
)

// topicFetch is one topic in a batch. It asks for the records after an offset.
type topicFetch struct {
	topic *topicState
	// after is the offset after which records are wanted; maxOffset if only the high watermark is.
	after uint64
	// sentBy is the route by which the batch was sent.
	sentBy route
}

// batch is a request for several topics to one store that has not been answered yet.
type batch struct {
	// request is its number; it stays when the batch is sent again.
	request uint64
	// store is the address of the store.
	store string
	// fetches are its topics. One that left the batch meanwhile no longer refers to its entry here.
	fetches []*topicFetch
	// bytes bounds the records of the response.
	bytes int
	// sentAt is when it was last sent, attempts how often.
	sentAt   time.Time
	attempts int
}

// due returns when the batch is sent again; the timeout doubles with each attempt.
func (b *batch) due() time.Time { return b.sentAt.Add(backoff(batchRetry, b.attempts)) }

// wanted returns whether any topic still waits for a response to the batch.
func (b *batch) wanted() bool {
	return slices.ContainsFunc(b.fetches, func(fetch *topicFetch) bool { return fetch.topic.fetch == fetch })
}

// backoff returns how long to wait for the response to an attempt; it doubles a few times.
func backoff(initial time.Duration, attempts int) time.Duration {
	if statemachine.Mutated("no-retry-pauses") {
		return initial
	}
	return initial << min(max(0, attempts-1), retryDoubles)
}

// missingAfter returns the offset after which records of the topic are missing, and whether any
// are.
func (t *topicState) missingAfter(now time.Time) (after uint64, lacking bool) {
	after = maxOffset
	if t.live && t.wanted > t.last {
		after, lacking = t.last, len(t.subscriptions) > 0
	}
	for _, subscription := range t.subscriptions {
		if !subscription.filling {
			continue
		}
		lacking = true
		if subscription.resumes {
			after = min(after, subscription.deliveredUpTo)
		}
	}
	if t.reserved(now) {
		after, lacking = min(after, t.reservedAfter), true
	}
	return after, lacking
}

// reserved returns whether a rejected subscription keeps its turn while the records that it lacks
// are not here.
func (t *topicState) reserved(now time.Time) bool {
	here := t.live && t.recentFrom <= t.reservedAfter
	return t.reservedUntil.After(now) && !here
}

// reserve keeps the turn of a subscription that is rejected because no response came in time: the
// records that it lacks are fetched all the same, for its next attempt.
func (t *topicState) reserve(now time.Time, subscription *topicSubscription) {
	if statemachine.Mutated("refused-loses-turn") || !subscription.resumes {
		return
	}
	if !t.reservedUntil.After(now) {
		t.reservedAfter = subscription.deliveredUpTo
	}
	t.reservedAfter = min(t.reservedAfter, subscription.deliveredUpTo)
	t.reservedUntil = now.Add(reservedFor)
}

// fetchTopic queues a topic for the next batch to its store, which is sent at once if none is in
// flight there.
func (g *Gateway) fetchTopic(now time.Time, topic *topicState, effects *statemachine.Effects) {
	if topic.fetch != nil || topic.queued {
		return
	}
	topic.queued = true
	g.routed.queue = append(g.routed.queue, topic)
	store := g.routeTo(topic.partition).address
	if store == "" {
		g.viewClient.PollNow(now)
		return
	}
	if !g.busy(store) {
		g.sendBatches(now, effects)
	}
}

// busy returns whether a batch is in flight to a store.
func (g *Gateway) busy(store string) bool {
	_, busy := g.routed.batchInFlight[store]
	return busy && !statemachine.Mutated("fetches-without-credit")
}

// sendBatches sends the queued topics to the stores to which no batch is in flight.
func (g *Gateway) sendBatches(now time.Time, effects *statemachine.Effects) {
	chosen := map[string][]*topicFetch{}
	var waiting []*topicState
	for _, next := range g.routed.queue {
		after, lacking := next.missingAfter(now)
		if !lacking || g.routed.topics[next.name] != next {
			next.queued = false
			continue
		}
		present := g.routeTo(next.partition)
		if present == (route{}) || g.busy(present.address) || len(chosen[present.address]) >= maxBatchTopics {
			waiting = append(waiting, next)
			continue
		}
		next.queued = false
		next.fetch = &topicFetch{topic: next, after: after, sentBy: present}
		chosen[present.address] = append(chosen[present.address], next.fetch)
	}
	g.routed.queue = waiting
	bytes := g.batchBytes(len(g.routed.batchInFlight) + len(chosen))
	for store, fetches := range statemachine.Sorted(chosen) {
		g.nextRequest++
		sortByMissingBytes(fetches)
		made := &batch{
			request: g.nextRequest,
			store:   store,
			fetches: fetches,
			bytes:   bytes,
		}
		g.routed.batches[made.request] = made
		g.routed.batchInFlight[store] = made.request
		g.sendBatch(now, made, effects)
	}
}

// sendBatch sends a batch, or sends it again.
func (g *Gateway) sendBatch(now time.Time, sent *batch, effects *statemachine.Effects) {
	sent.sentAt = now
	sent.attempts++
	g.timers.ArmSooner(timerRouted, sent.due())
	fetch := partition.FetchTopics{RequestID: sent.request, MaxBytes: sent.bytes}
	for _, each := range sent.fetches {
		fetch.Topics = append(fetch.Topics, partition.TopicCursor{Topic: each.topic.name, After: each.after})
	}
	g.Counts.Fetches++
	effects.Send(sent.store, fetch)
}

// sortByMissingBytes orders topics by the bytes that they are known to lack, since the records of a
// response go to the front topics: one that lacks a single message must not wait for those that
// lack hundreds. Topics of which that is not known yet come before all others.
func sortByMissingBytes(fetches []*topicFetch) {
	if statemachine.Mutated("first-come-first") {
		return
	}
	slices.SortStableFunc(fetches, func(left, right *topicFetch) int {
		return cmp.Compare(left.topic.missingBytes, right.topic.missingBytes)
	})
}

// batchBytes returns the credit of a batch while batches to that many stores are in flight: their
// responses together take a short time of the link.
func (g *Gateway) batchBytes(stores int) int {
	if g.settings.LinkBytesPerSecond == 0 {
		return maxBatchBytes
	}
	ahead := int(float64(g.settings.LinkBytesPerSecond) * catchUpAhead.Seconds())
	return min(max(ahead/max(1, stores), minBatchBytes), maxBatchBytes)
}

// endBatch removes a batch, which returns the store's credit.
func (g *Gateway) endBatch(ended *batch) {
	delete(g.routed.batches, ended.request)
	if g.routed.batchInFlight[ended.store] == ended.request {
		delete(g.routed.batchInFlight, ended.store)
	}
}

// retryBatches sends unanswered batches again, and removes those for which no topic waits any more.
func (g *Gateway) retryBatches(now time.Time, effects *statemachine.Effects) {
	for _, sent := range statemachine.Sorted(g.routed.batches) {
		switch {
		case sent.due().After(now):
			g.timers.ArmSooner(timerRouted, sent.due())
		case !sent.wanted():
			g.endBatch(sent)
		default:
			g.sendBatch(now, sent, effects)
		}
	}
	if len(g.routed.queue) > 0 {
		g.sendBatches(now, effects)
	}
}

// rerouteFetches takes the topics whose partition has another leader now out of their batches, and
// puts them at the front of the queue.
func (g *Gateway) rerouteFetches(now time.Time, effects *statemachine.Effects) {
	var rerouted []*topicState
	for _, sent := range statemachine.Sorted(g.routed.batches) {
		for _, fetch := range sent.fetches {
			topic := fetch.topic
			if topic.fetch == fetch && fetch.sentBy.mustResend(g.routeTo(topic.partition)) {
				topic.fetch, topic.queued = nil, true
				rerouted = append(rerouted, topic)
			}
		}
		if !sent.wanted() {
			g.endBatch(sent)
		}
	}
	g.routed.queue = append(rerouted, g.routed.queue...)
	if len(g.routed.queue) > 0 {
		g.sendBatches(now, effects)
	}
}

// handleTopicsFetched applies the response to a batch.
func (g *Gateway) handleTopicsFetched(
	now time.Time,
	response partition.FetchTopicsResponse,
	effects *statemachine.Effects,
) {
	answered, found := g.routed.batches[response.RequestID]
	if !found || len(response.Topics) != len(answered.fetches) {
		for _, each := range response.Topics {
			g.Counts.Late += uint64(len(each.Records))
		}
		return
	}
	for position, fetch := range answered.fetches {
		topic, records := fetch.topic, response.Topics[position]
		g.Counts.Fetched += uint64(len(records.Records))
		if topic.fetch != fetch {
			continue
		}
		topic.fetch = nil
		if g.routed.topics[topic.name] != topic {
			continue
		}
		state, served := response.State(topic.partition)
		placement, placed := g.viewClient.Placements[topic.partition]
		if !served || !placed || state.Epoch < placement.Epoch {
			g.viewClient.PollNow(now)
			g.scheduleTopic(topic, now.Add(topicFetchRetry))
			continue
		}
		g.applyFetchedTopic(now, fetch, state, records, effects)
	}
	// The batch ends only now, so that the next one has all topics that still lack records.
	g.endBatch(answered)
	g.sendBatches(now, effects)
}

// applyFetchedTopic applies what a store responded for one topic.
func (g *Gateway) applyFetchedTopic(
	now time.Time,
	fetch *topicFetch,
	state partition.PartitionState,
	response partition.TopicRecords,
	effects *statemachine.Effects,
) {
	topic := fetch.topic
	g.routed.bases[topic.partition] = state.Base
	topic.missingBytes = response.RemainingBytes
	if response.Expired {
		topic.reservedUntil = time.Time{}
		g.expireSubscriptions(now, topic, fetch.after, effects)
		g.tickTopic(now, topic, effects)
		return
	}
	if len(response.Records) > 0 {
		effects.Emit(logevent.GapFilled,
			"partition", topic.partition,
			"records", len(response.Records),
			"until", response.Until,
		)
	}
	g.applyRecords(now, fetch, state, response, effects)
	for _, subscription := range slices.Clone(topic.subscriptions) {
		if subscription.filling {
			g.advanceSubscription(now, subscription, fetch.after, response, effects)
		}
	}
	g.release(now, topic, effects)
	if response.Until < state.HighWatermark {
		// The records of the topic did not all fit into the response.
		g.requireUpTo(now, topic, state.HighWatermark, 0)
	}
	g.tickTopic(now, topic, effects)
}

// applyRecords adds fetched records to the topic's own sequence.
func (g *Gateway) applyRecords(
	now time.Time,
	fetch *topicFetch,
	state partition.PartitionState,
	response partition.TopicRecords,
	effects *statemachine.Effects,
) {
	topic := fetch.topic
	if !topic.live {
		topic.live = true
		topic.last, topic.recentFrom = response.Until, response.Until
		if fetch.after != maxOffset {
			topic.last, topic.recentFrom = fetch.after, fetch.after
		}
		if topic.reservedUntil.After(now) {
			topic.recentUntil = topic.reservedUntil
		}
		g.startReports(now, topic.partition, state.HighWatermark)
	}
	if fetch.after == maxOffset {
		return
	}
	topic.extendRecent(now, fetch.after, response)
	if fetch.after > topic.last {
		return
	}
	for _, record := range response.Records {
		if record.Offset > topic.last {
			g.process(now, topic, record, effects)
		}
	}
	topic.last = max(topic.last, response.Until)
}

// extendRecent adds fetched records that precede the recent ones, for the subscriptions that come
// next.
func (t *topicState) extendRecent(now time.Time, after uint64, response partition.TopicRecords) {
	if after >= t.recentFrom || response.Until < t.recentFrom {
		return
	}
	var earlier []partition.Record
	for _, record := range response.Records {
		if record.Offset <= t.recentFrom {
			earlier = append(earlier, record)
			t.recentSize += len(record.Data)
		}
	}
	t.recent = append(earlier, t.recent...)
	t.recentFrom, t.recentUntil = after, now.Add(reservedFor)
}

// advanceSubscription confirms a subscription whose missed records the store still has, and
// delivers those that came.
func (g *Gateway) advanceSubscription(
	now time.Time,
	subscription *topicSubscription,
	after uint64,
	response partition.TopicRecords,
	effects *statemachine.Effects,
) {
	if subscription.resumes && after <= subscription.deliveredUpTo {
		g.startTopicSubscription(now, subscription, effects)
		for _, record := range response.Records {
			g.deliverFetched(subscription, record, effects)
		}
		subscription.deliveredUpTo = max(subscription.deliveredUpTo, response.Until)
	}
	g.fill(now, subscription, effects)
}
