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
	// batchTopicsMost is how many topics one batch asks for.
	batchTopicsMost = 256
	// batchRetry is how long the answer to the first try of a batch may take; the
	// wait doubles with each further try.
	batchRetry = 400 * time.Millisecond
	// catchUpAhead is how much of the link's time the records may take that are
	// asked for at once, from all stores together.
	catchUpAhead = 200 * time.Millisecond
	// Bounds of the bytes of records that one batch asks for.
	batchBytesLeast = 4 << 10
	batchBytesMost  = 256 << 10
	// reservedFor is for how long a refused subscription keeps its turn.
	reservedFor = 3 * time.Second
)

// topicFetch is a topic in a batch. Its records are wanted after an offset.
type topicFetch struct {
	topic  *topic
	after  uint64
	sentBy way
}

// batch is what was asked of one store and not answered yet.
type batch struct {
	request uint64
	store   string
	fetches []*topicFetch
	bytes   int
	sentAt  time.Time
	tries   int
}

// due is when the batch is sent again.
func (b *batch) due() time.Time { return b.sentAt.Add(longer(batchRetry, b.tries)) }

// wanted tells whether anybody still waits for an answer to the batch.
func (b *batch) wanted() bool {
	return slices.ContainsFunc(b.fetches, func(asked *topicFetch) bool { return asked.topic.fetch == asked })
}

// longer is how long to wait for the answer to a try.
func longer(first time.Duration, tries int) time.Duration {
	if statemachine.Mutated("no-retry-pauses") {
		return first
	}
	return first << min(max(0, tries-1), retryDoubles)
}

// lacks gives the offset after which a topic's records are wanted, if any are.
func (t *topic) lacks(now time.Time) (after uint64, lacking bool) {
	after = everything
	if t.live && t.wanted > t.last {
		after, lacking = t.last, len(t.places) > 0
	}
	for _, taken := range t.places {
		if !taken.filling {
			continue
		}
		lacking = true
		if taken.resumes {
			after = min(after, taken.upTo)
		}
	}
	if t.reserved(now) {
		after, lacking = min(after, t.reservedAfter), true
	}
	return after, lacking
}

// reserved tells whether a refused subscription to the topic keeps its turn, and
// what it lacks is not here.
func (t *topic) reserved(now time.Time) bool {
	here := t.live && t.recentFrom <= t.reservedAfter
	return t.reservedUntil.After(now) && !here
}

// reserve keeps the turn of a subscription that is refused because its answer did
// not come in time: what it lacks is fetched all the same, for its next try.
func (t *topic) reserve(now time.Time, taken *place) {
	if statemachine.Mutated("refused-loses-turn") || !taken.resumes {
		return
	}
	if !t.reservedUntil.After(now) {
		t.reservedAfter = taken.upTo
	}
	t.reservedAfter = min(t.reservedAfter, taken.upTo)
	t.reservedUntil = now.Add(reservedFor)
}

// fetchTopic queues a topic for the next batch to its store, which is sent at once
// if none is on its way there.
func (g *Gateway) fetchTopic(now time.Time, followed *topic, effects *statemachine.Effects) {
	if followed.fetch != nil || followed.queued {
		return
	}
	followed.queued = true
	g.routed.queue = append(g.routed.queue, followed)
	store := g.wayTo(followed.partition).address
	if store == "" {
		g.follower.PollNow(now)
		return
	}
	if !g.busy(store) {
		g.sendBatches(now, effects)
	}
}

// busy tells whether a batch is on its way to a store.
func (g *Gateway) busy(store string) bool {
	_, busy := g.routed.underway[store]
	return busy && !statemachine.Mutated("fetches-without-credit")
}

// sendBatches sends what is queued to the stores to which no batch is on its way.
func (g *Gateway) sendBatches(now time.Time, effects *statemachine.Effects) {
	chosen := map[string][]*topicFetch{}
	var waiting []*topic
	for _, next := range g.routed.queue {
		after, lacking := next.lacks(now)
		if !lacking || g.routed.topics[next.name] != next {
			next.queued = false
			continue
		}
		present := g.wayTo(next.partition)
		if present == (way{}) || g.busy(present.address) || len(chosen[present.address]) >= batchTopicsMost {
			waiting = append(waiting, next)
			continue
		}
		next.queued = false
		next.fetch = &topicFetch{topic: next, after: after, sentBy: present}
		chosen[present.address] = append(chosen[present.address], next.fetch)
	}
	g.routed.queue = waiting
	bytes := g.batchBytes(len(g.routed.underway) + len(chosen))
	for store, fetches := range statemachine.Sorted(chosen) {
		g.nextRequest++
		shortestFirst(fetches)
		made := &batch{request: g.nextRequest, store: store, fetches: fetches, bytes: bytes}
		g.routed.batches[made.request] = made
		g.routed.underway[store] = made.request
		g.sendBatch(now, made, effects)
	}
}

func (g *Gateway) sendBatch(now time.Time, sent *batch, effects *statemachine.Effects) {
	sent.sentAt = now
	sent.tries++
	g.timers.ArmSooner("routed", sent.due())
	asked := partition.FetchTopics{RequestID: sent.request, MaxBytes: sent.bytes}
	for _, each := range sent.fetches {
		asked.Topics = append(asked.Topics, partition.TopicCursor{Topic: each.topic.name, After: each.after})
	}
	g.Counts.Fetches++
	effects.Send(sent.store, asked)
}

// shortestFirst orders topics by what they are known to lack, since the records of an
// answer go to the first of them: one that lacks a single message must not wait for those
// that lack hundreds. What is not known yet goes first.
func shortestFirst(fetches []*topicFetch) {
	if statemachine.Mutated("first-come-first") {
		return
	}
	slices.SortStableFunc(fetches, func(left, right *topicFetch) int { return cmp.Compare(left.topic.left, right.topic.left) })
}

// batchBytes is the credit of a batch while so many stores are asked: their answers
// together take a short time of the machine's link.
func (g *Gateway) batchBytes(stores int) int {
	if g.settings.Link == 0 {
		return batchBytesMost
	}
	ahead := int(float64(g.settings.Link) * catchUpAhead.Seconds())
	return min(max(ahead/max(1, stores), batchBytesLeast), batchBytesMost)
}

// endBatch gives the store's credit back.
func (g *Gateway) endBatch(ended *batch) {
	delete(g.routed.batches, ended.request)
	if g.routed.underway[ended.store] == ended.request {
		delete(g.routed.underway, ended.store)
	}
}

// tendBatches sends again what stayed without an answer, and lets go of batches for
// which nobody waits any more.
func (g *Gateway) tendBatches(now time.Time, effects *statemachine.Effects) {
	for _, sent := range statemachine.Sorted(g.routed.batches) {
		switch {
		case sent.due().After(now):
			g.timers.ArmSooner("routed", sent.due())
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
	var moved []*topic
	for _, sent := range statemachine.Sorted(g.routed.batches) {
		for _, asked := range sent.fetches {
			followed := asked.topic
			if followed.fetch == asked && asked.sentBy.changed(g.wayTo(followed.partition)) {
				followed.fetch, followed.queued = nil, true
				moved = append(moved, followed)
			}
		}
		if !sent.wanted() {
			g.endBatch(sent)
		}
	}
	g.routed.queue = append(moved, g.routed.queue...)
	if len(g.routed.queue) > 0 {
		g.sendBatches(now, effects)
	}
}

// onTopicsFetched takes the answer to a batch.
func (g *Gateway) onTopicsFetched(now time.Time, returned partition.FetchTopicsResponse, effects *statemachine.Effects) {
	answered, found := g.routed.batches[returned.RequestID]
	if !found || len(returned.Topics) != len(answered.fetches) {
		for _, each := range returned.Topics {
			g.Counts.Late += uint64(len(each.Records))
		}
		return
	}
	for position, asked := range answered.fetches {
		followed, records := asked.topic, returned.Topics[position]
		g.Counts.Fetched += uint64(len(records.Records))
		if followed.fetch != asked {
			continue
		}
		followed.fetch = nil
		if g.routed.topics[followed.name] != followed {
			continue
		}
		state, served := returned.State(followed.partition)
		if placement, placed := g.follower.Placements[followed.partition]; !served || !placed || state.Epoch < placement.Epoch {
			g.follower.PollNow(now)
			g.mind(followed, now.Add(topicFetchRetry))
			continue
		}
		g.takeRecords(now, asked, state, records, effects)
	}
	// Only now, so that the next batch carries all that is still lacking.
	g.endBatch(answered)
	g.sendBatches(now, effects)
}

// takeRecords takes what a store told of one topic.
func (g *Gateway) takeRecords(now time.Time, asked *topicFetch, state partition.PartitionState, returned partition.TopicRecords, effects *statemachine.Effects) {
	followed := asked.topic
	g.routed.bases[followed.partition] = state.Base
	followed.left = returned.RemainingBytes
	if returned.Expired {
		followed.reservedUntil = time.Time{}
		g.losePlaces(now, followed, asked.after, effects)
		g.tendTopic(now, followed, effects)
		return
	}
	if len(returned.Records) > 0 {
		effects.Emit(logevent.GapFilled, "partition", followed.partition, "records", len(returned.Records), "until", returned.Until)
	}
	g.takeMissing(now, asked, state, returned, effects)
	for _, taken := range slices.Clone(followed.places) {
		if taken.filling {
			g.advancePlace(now, taken, asked.after, returned, effects)
		}
	}
	g.release(now, followed, effects)
	if returned.Until < state.HighWatermark {
		// One answer did not hold all.
		g.want(now, followed, state.HighWatermark, 0)
	}
	g.tendTopic(now, followed, effects)
}

// takeMissing adds fetched records to the topic's own sequence.
func (g *Gateway) takeMissing(now time.Time, asked *topicFetch, state partition.PartitionState, returned partition.TopicRecords, effects *statemachine.Effects) {
	followed := asked.topic
	if !followed.live {
		followed.live = true
		followed.last, followed.recentFrom = returned.Until, returned.Until
		if asked.after != everything {
			followed.last, followed.recentFrom = asked.after, asked.after
		}
		if followed.reservedUntil.After(now) {
			followed.recentUntil = followed.reservedUntil
		}
		g.beginTold(now, followed.partition, state.HighWatermark)
	}
	if asked.after == everything {
		return
	}
	followed.extendRecent(now, asked.after, returned)
	if asked.after > followed.last {
		return
	}
	for _, record := range returned.Records {
		if record.Offset > followed.last {
			g.process(now, followed, record, effects)
		}
	}
	followed.last = max(followed.last, returned.Until)
}

// extendRecent keeps fetched records that lie before the recent ones, for whoever
// asks next.
func (t *topic) extendRecent(now time.Time, after uint64, returned partition.TopicRecords) {
	if after >= t.recentFrom || returned.Until < t.recentFrom {
		return
	}
	var earlier []partition.Record
	for _, record := range returned.Records {
		if record.Offset <= t.recentFrom {
			earlier = append(earlier, record)
			t.recentSize += len(record.Data)
		}
	}
	t.recent = append(earlier, t.recent...)
	t.recentFrom, t.recentUntil = after, now.Add(reservedFor)
}

// advancePlace confirms a place that a store still holds, and hands over what came
// for it.
func (g *Gateway) advancePlace(now time.Time, taken *place, after uint64, returned partition.TopicRecords, effects *statemachine.Effects) {
	if taken.resumes && after <= taken.upTo {
		g.beginPlace(now, taken, effects)
		for _, record := range returned.Records {
			g.passTo(now, taken, record, effects)
		}
		taken.upTo = max(taken.upTo, returned.Until)
	}
	g.fill(now, taken, effects)
}
