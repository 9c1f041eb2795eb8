// Catching up with routed topics. Topics that lack something wait in one queue, in
// the order in which they began to. One batch at a time is on its way to each store
// and carries all topics that wait for it, so that every subscription is confirmed
// by the next small answer, however many there are; the records follow within a
// credit of bytes that the machine's link can take. Nothing is asked for twice while
// its answer may be on its way.

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
	// batchRetry is how long the answer to the first try of a batch may take; the
	// wait doubles with each further try.
	batchRetry = 400 * time.Millisecond
	// catchUpAhead is how much of the link's time the records may take that are
	// asked for at once, from all stores together.
	catchUpAhead = 200 * time.Millisecond
	// Bounds of the bytes of records that one batch asks for.
	minBatchBytes = 4 << 10
	maxBatchBytes = 256 << 10
	// reservedFor is for how long a refused subscription keeps its turn.
	reservedFor = 3 * time.Second
)

// topicFetch is a topic in a batch. Its records are wanted after an offset.
type topicFetch struct {
	topic  *topicState
	after  uint64
	sentBy route
}

// batch is what was asked of one store and not answered yet.
type batch struct {
	request  uint64
	store    string
	fetches  []*topicFetch
	bytes    int
	sentAt   time.Time
	attempts int
}

// due is when the batch is sent again.
func (b *batch) due() time.Time { return b.sentAt.Add(backoff(batchRetry, b.attempts)) }

// wanted tells whether anybody still waits for an answer to the batch.
func (b *batch) wanted() bool {
	return slices.ContainsFunc(b.fetches, func(fetch *topicFetch) bool { return fetch.topic.fetch == fetch })
}

// backoff is how long to wait for the answer to a try.
func backoff(initial time.Duration, attempts int) time.Duration {
	if statemachine.Mutated("no-retry-pauses") {
		return initial
	}
	return initial << min(max(0, attempts-1), retryDoubles)
}

// missingAfter gives the offset after which a topic's records are wanted, if any are.
func (t *topicState) missingAfter(now time.Time) (after uint64, lacking bool) {
	after = everything
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

// reserved tells whether a refused subscription to the topic keeps its turn, and
// what it lacks is not here.
func (t *topicState) reserved(now time.Time) bool {
	here := t.live && t.recentFrom <= t.reservedAfter
	return t.reservedUntil.After(now) && !here
}

// reserve keeps the turn of a subscription that is refused because its answer did
// not come in time: what it lacks is fetched all the same, for its next try.
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

// fetchTopic queues a topic for the next batch to its store, which is sent at once
// if none is on its way there.
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

// busy tells whether a batch is on its way to a store.
func (g *Gateway) busy(store string) bool {
	_, busy := g.routed.batchInFlight[store]
	return busy && !statemachine.Mutated("fetches-without-credit")
}

// sendBatches sends what is queued to the stores to which no batch is on its way.
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
		made := &batch{request: g.nextRequest, store: store, fetches: fetches, bytes: bytes}
		g.routed.batches[made.request] = made
		g.routed.batchInFlight[store] = made.request
		g.sendBatch(now, made, effects)
	}
}

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

// sortByMissingBytes orders topics by what they are known to lack, since the records of an
// answer go to the first of them: one that lacks a single message must not wait for those
// that lack hundreds. What is not known yet goes first.
func sortByMissingBytes(fetches []*topicFetch) {
	if statemachine.Mutated("first-come-first") {
		return
	}
	slices.SortStableFunc(fetches, func(left, right *topicFetch) int {
		return cmp.Compare(left.topic.missingBytes, right.topic.missingBytes)
	})
}

// batchBytes is the credit of a batch while so many stores are asked: their answers
// together take a short time of the machine's link.
func (g *Gateway) batchBytes(stores int) int {
	if g.settings.Link == 0 {
		return maxBatchBytes
	}
	ahead := int(float64(g.settings.Link) * catchUpAhead.Seconds())
	return min(max(ahead/max(1, stores), minBatchBytes), maxBatchBytes)
}

// endBatch gives the store's credit back.
func (g *Gateway) endBatch(ended *batch) {
	delete(g.routed.batches, ended.request)
	if g.routed.batchInFlight[ended.store] == ended.request {
		delete(g.routed.batchInFlight, ended.store)
	}
}

// retryBatches sends again what stayed without an answer, and lets go of batches for
// which nobody waits any more.
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

// rerouteFetches takes topics whose partition is led elsewhere now out of their
// batches, and queues them in front.
func (g *Gateway) rerouteFetches(now time.Time, effects *statemachine.Effects) {
	var rerouted []*topicState
	for _, sent := range statemachine.Sorted(g.routed.batches) {
		for _, fetch := range sent.fetches {
			topic := fetch.topic
			if topic.fetch == fetch && fetch.sentBy.changed(g.routeTo(topic.partition)) {
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

// handleTopicsFetched takes the answer to a batch.
func (g *Gateway) handleTopicsFetched(now time.Time, response partition.FetchTopicsResponse, effects *statemachine.Effects) {
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
		if placement, placed := g.viewClient.Placements[topic.partition]; !served || !placed || state.Epoch < placement.Epoch {
			g.viewClient.PollNow(now)
			g.scheduleTopic(topic, now.Add(topicFetchRetry))
			continue
		}
		g.applyFetchedTopic(now, fetch, state, records, effects)
	}
	// Only now, so that the next batch carries all that is still lacking.
	g.endBatch(answered)
	g.sendBatches(now, effects)
}

// applyFetchedTopic takes what a store told of one topic.
func (g *Gateway) applyFetchedTopic(now time.Time, fetch *topicFetch, state partition.PartitionState, response partition.TopicRecords, effects *statemachine.Effects) {
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
		effects.Emit(logevent.GapFilled, "partition", topic.partition, "records", len(response.Records), "until", response.Until)
	}
	g.applyRecords(now, fetch, state, response, effects)
	for _, subscription := range slices.Clone(topic.subscriptions) {
		if subscription.filling {
			g.advanceSubscription(now, subscription, fetch.after, response, effects)
		}
	}
	g.release(now, topic, effects)
	if response.Until < state.HighWatermark {
		// One answer did not hold all.
		g.requireUpTo(now, topic, state.HighWatermark, 0)
	}
	g.tickTopic(now, topic, effects)
}

// applyRecords adds fetched records to the topic's own sequence.
func (g *Gateway) applyRecords(now time.Time, fetch *topicFetch, state partition.PartitionState, response partition.TopicRecords, effects *statemachine.Effects) {
	topic := fetch.topic
	if !topic.live {
		topic.live = true
		topic.last, topic.recentFrom = response.Until, response.Until
		if fetch.after != everything {
			topic.last, topic.recentFrom = fetch.after, fetch.after
		}
		if topic.reservedUntil.After(now) {
			topic.recentUntil = topic.reservedUntil
		}
		g.startReports(now, topic.partition, state.HighWatermark)
	}
	if fetch.after == everything {
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

// extendRecent keeps fetched records that lie before the recent ones, for whoever
// asks next.
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

// advanceSubscription confirms a place that a store still holds, and hands over what came
// for it.
func (g *Gateway) advanceSubscription(now time.Time, subscription *topicSubscription, after uint64, response partition.TopicRecords, effects *statemachine.Effects) {
	if subscription.resumes && after <= subscription.deliveredUpTo {
		g.startTopicSubscription(now, subscription, effects)
		for _, record := range response.Records {
			g.deliverFetched(now, subscription, record, effects)
		}
		subscription.deliveredUpTo = max(subscription.deliveredUpTo, response.Until)
	}
	g.fill(now, subscription, effects)
}
