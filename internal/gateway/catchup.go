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
	// maxBatchTopics bounds the topics of one batch.
	maxBatchTopics = 256
	// batchTimeout is how long the response to the first attempt of a batch may take. The timeout
	// doubles with each further attempt.
	batchTimeout = 400 * time.Millisecond
	// maxCatchUpLinkTime is how long the transfer of all records that are requested at the same time,
	// from all stores together, may occupy the link.
	maxCatchUpLinkTime = 200 * time.Millisecond
	// minBatchBytes and maxBatchBytes bound the bytes of records that one batch requests.
	minBatchBytes = 4 << 10
	maxBatchBytes = 256 << 10
	// reservationTimeout is how long the topic of a rejected subscription is still fetched for its
	// retry, and how long the fetched records are retained for it.
	reservationTimeout = 3 * time.Second
)

// topicFetch is the entry of one topic in a batch. It requests the topic's records after an offset.
type topicFetch struct {
	topic *topicState
	// after is the offset after which records are requested, or maxOffset if only the high watermark
	// is requested.
	after uint64
	// sentBy is the route over which the batch was sent.
	sentBy route
}

// batch is a request to one store for the records of several topics, which awaits its response.
type batch struct {
	// request is the request number, which stays the same for all attempts.
	request uint64
	// store is the address of the store.
	store string
	// fetches are the topics in the batch. A topic that was removed from the batch after it was sent
	// no longer refers to its entry.
	fetches []*topicFetch
	// bytes bounds the size of the records in the response.
	bytes int
	// createdAt is when the batch was first sent, sentAt when it was last sent, attempts is how often
	// it was sent.
	createdAt time.Time
	sentAt    time.Time
	attempts  int
}

// due returns when the batch is sent again. The timeout doubles with each attempt.
func (b *batch) due() time.Time { return b.sentAt.Add(backoff(batchTimeout, b.attempts)) }

// hasWaitingTopics reports whether any topic still waits for the response to the batch.
func (b *batch) hasWaitingTopics() bool {
	return slices.ContainsFunc(b.fetches, func(fetch *topicFetch) bool { return fetch.topic.fetch == fetch })
}

// backoff returns how long to wait for the response to an attempt. The timeout doubles with each
// attempt, maxTimeoutDoublings times at most.
func backoff(initial time.Duration, attempts int) time.Duration {
	if statemachine.Mutated("no-retry-pauses") {
		return initial
	}
	return initial << min(max(0, attempts-1), maxTimeoutDoublings)
}

// missingAfter returns the offset after which records of the topic are to be fetched, maxOffset if
// only its high watermark is needed, and whether anything is to be fetched.
func (t *topicState) missingAfter(now time.Time) (after uint64, missing bool) {
	after = maxOffset
	if t.started && t.highestKnown > t.deliveredUpTo {
		after, missing = t.deliveredUpTo, len(t.subscriptions) > 0
	}
	for _, subscription := range t.subscriptions {
		if !subscription.catchingUp {
			continue
		}
		missing = true
		if subscription.resumes {
			after = min(after, subscription.deliveredUpTo)
		}
	}
	if t.reserved(now) {
		after, missing = min(after, t.reservedAfter), true
	}
	return after, missing
}

// reserved reports whether the topic is still to be fetched for the retry of a rejected subscription:
// its reservation has not expired, and this gateway lacks some of the records.
func (t *topicState) reserved(now time.Time) bool {
	available := t.started && t.recentFrom <= t.reservedAfter
	return t.reservedUntil.After(now) && !available
}

// reserve adds a reservation for a subscription that is rejected because the store did not respond in
// time: the records that it missed are fetched all the same, for the client's retry.
func (t *topicState) reserve(now time.Time, subscription *topicSubscription) {
	if statemachine.Mutated("refused-loses-turn") || !subscription.resumes {
		return
	}
	if !t.reservedUntil.After(now) {
		t.reservedAfter = subscription.deliveredUpTo
	}
	t.reservedAfter = min(t.reservedAfter, subscription.deliveredUpTo)
	t.reservedUntil = now.Add(reservationTimeout)
}

// fetchTopic queues a topic for the next batch to its store. The batch is sent at once if no other one
// is in flight to the store.
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
	if !g.hasBatchInFlight(store) {
		g.sendBatches(now, effects)
	}
}

// hasBatchInFlight reports whether a batch is in flight to a store.
func (g *Gateway) hasBatchInFlight(store string) bool {
	_, busy := g.routed.batchInFlight[store]
	return busy && !statemachine.Mutated("fetches-without-credit")
}

// sendBatches sends the queued topics to the stores to which no batch is in flight.
func (g *Gateway) sendBatches(now time.Time, effects *statemachine.Effects) {
	fetchesByStore := map[string][]*topicFetch{}
	var waiting []*topicState
	for _, topic := range g.routed.queue {
		after, missing := topic.missingAfter(now)
		if !missing || g.routed.topics[topic.name] != topic {
			topic.queued = false
			continue
		}
		current := g.routeTo(topic.partition)
		if current == (route{}) || g.hasBatchInFlight(current.address) ||
			len(fetchesByStore[current.address]) >= maxBatchTopics {
			waiting = append(waiting, topic)
			continue
		}
		topic.queued = false
		topic.fetch = &topicFetch{topic: topic, after: after, sentBy: current}
		fetchesByStore[current.address] = append(fetchesByStore[current.address], topic.fetch)
	}
	g.routed.queue = waiting
	bytes := g.batchBytes(len(g.routed.batchInFlight) + len(fetchesByStore))
	for store, fetches := range statemachine.Sorted(fetchesByStore) {
		g.lastRequest++
		sortByMissingBytes(fetches)
		created := &batch{
			request:   g.lastRequest,
			store:     store,
			fetches:   fetches,
			bytes:     bytes,
			createdAt: now,
		}
		g.routed.batches[created.request] = created
		g.routed.batchInFlight[store] = created.request
		g.sendBatch(now, created, effects)
	}
}

// sendBatch sends the first or a further attempt of a batch.
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

// sortByMissingBytes sorts topics by the number of bytes that they are known to lack. A store fills its
// response with the records of the first topics, and a topic that lacks a single message must not wait
// for topics that lack hundreds. Topics for which the number is not known yet are sorted to the front.
func sortByMissingBytes(fetches []*topicFetch) {
	if statemachine.Mutated("first-come-first") {
		return
	}
	slices.SortStableFunc(fetches, func(left, right *topicFetch) int {
		return cmp.Compare(left.topic.missingBytes, right.topic.missingBytes)
	})
}

// batchBytes returns the credit in bytes of a batch while batches to the given number of stores are in
// flight. All responses together occupy the link for maxCatchUpLinkTime.
func (g *Gateway) batchBytes(stores int) int {
	if g.settings.LinkBytesPerSecond == 0 {
		return maxBatchBytes
	}
	linkBytes := int(float64(g.settings.LinkBytesPerSecond) * maxCatchUpLinkTime.Seconds())
	return min(max(linkBytes/max(1, stores), minBatchBytes), maxBatchBytes)
}

// endBatch removes a batch, so that the next one can be sent to its store.
func (g *Gateway) endBatch(ended *batch) {
	delete(g.routed.batches, ended.request)
	if g.routed.batchInFlight[ended.store] == ended.request {
		delete(g.routed.batchInFlight, ended.store)
	}
}

// retryBatches sends batches again whose response is overdue, and removes those for which no topic
// waits any more.
func (g *Gateway) retryBatches(now time.Time, effects *statemachine.Effects) {
	for _, sent := range statemachine.Sorted(g.routed.batches) {
		switch {
		case sent.due().After(now):
			g.timers.ArmSooner(timerRouted, sent.due())
		case !sent.hasWaitingTopics():
			g.endBatch(sent)
		default:
			g.sendBatch(now, sent, effects)
		}
	}
	if len(g.routed.queue) > 0 {
		g.sendBatches(now, effects)
	}
}

// rerouteFetches moves the topics whose route has changed, for instance after a change of leader, from
// their batches to the front of the queue.
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
		if !sent.hasWaitingTopics() {
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
	g.applyLeaderOffsets(answered, response)
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
			g.scheduleTopic(topic, now.Add(topicFetchRetryDelay))
			continue
		}
		g.applyFetchedTopic(now, fetch, state, records, effects)
	}
	// The batch ends after its topics were handled, so that the next one includes all topics that still
	// lack records.
	g.endBatch(answered)
	g.sendBatches(now, effects)
}

// applyFetchedTopic applies the response of a store for one topic.
func (g *Gateway) applyFetchedTopic(
	now time.Time,
	fetch *topicFetch,
	state partition.PartitionState,
	response partition.TopicRecords,
	effects *statemachine.Effects,
) {
	topic := fetch.topic
	g.routed.baseOffsets[topic.partition] = state.Base
	topic.missingBytes = response.RemainingBytes
	if response.Expired {
		g.handleExpiredFetch(now, fetch, effects)
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
		if subscription.catchingUp {
			g.advanceSubscription(now, subscription, fetch.after, response, effects)
		}
	}
	g.deliverPending(now, topic, effects)
	if response.Until < state.HighWatermark {
		// The response was too small for all records of the topic; fetch the rest.
		g.requireUpTo(now, topic, state.HighWatermark, 0)
	}
	g.tickTopic(now, topic, effects)
}

// applyRecords starts a topic that is not started yet, and delivers the fetched records that follow
// the topic's newest delivered one.
func (g *Gateway) applyRecords(
	now time.Time,
	fetch *topicFetch,
	state partition.PartitionState,
	response partition.TopicRecords,
	effects *statemachine.Effects,
) {
	topic := fetch.topic
	if !topic.started {
		topic.started = true
		topic.deliveredUpTo, topic.recentFrom = response.Until, response.Until
		if fetch.after != maxOffset {
			topic.deliveredUpTo, topic.recentFrom = fetch.after, fetch.after
		}
		if topic.reservedUntil.After(now) {
			topic.recentUntil = topic.reservedUntil
		}
		g.startReports(now, topic.partition, state.HighWatermark)
	}
	if fetch.after == maxOffset {
		return
	}
	topic.prependRecent(now, fetch.after, response)
	if fetch.after > topic.deliveredUpTo {
		return
	}
	for _, record := range response.Records {
		if record.Offset > topic.deliveredUpTo {
			g.deliverNext(now, topic, record, effects)
		}
	}
	topic.deliveredUpTo = max(topic.deliveredUpTo, response.Until)
}

// prependRecent adds fetched records that precede the recent ones, so that further subscriptions can
// catch up from them.
func (t *topicState) prependRecent(now time.Time, after uint64, response partition.TopicRecords) {
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
	t.recentFrom, t.recentUntil = after, now.Add(reservationTimeout)
}

// advanceSubscription confirms a subscription whose missed records the store still has, and delivers
// those in the response. The catch-up is completed once no record is missing.
func (g *Gateway) advanceSubscription(
	now time.Time,
	subscription *topicSubscription,
	after uint64,
	response partition.TopicRecords,
	effects *statemachine.Effects,
) {
	if subscription.resumes && after <= subscription.deliveredUpTo {
		g.confirmTopicSubscription(now, subscription, effects)
		for _, record := range response.Records {
			g.deliverFetched(subscription, record, effects)
		}
		subscription.deliveredUpTo = max(subscription.deliveredUpTo, response.Until)
	}
	g.completeCatchUp(now, subscription, effects)
}
