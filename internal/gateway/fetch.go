package gateway

import (
	"slices"
	"time"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// fetchOperation fetches records of several partitions: those that a session missed, or those that
// a tracker lacks.
type fetchOperation struct {
	// session, request, interests and resumes belong to the subscription that is being filled; they
	// are unset in the operation of a tracker.
	session   uint64
	request   Subscribe
	interests []Interest
	resumes   bool
	// partitions is the progress of each partition, records what came so far, in order.
	partitions map[string]*partitionFetch
	records    map[string][]partition.Record
	// refetches counts how often partitions were fetched further for a dependency.
	refetches int
	// joins is how many overlay joins are not done; the fetch begins when it is 0. failed is set if
	// one did not succeed.
	joins  int
	failed bool
	// deadline is when the operation fails.
	deadline time.Time
	// tracker is the partition of the tracker that verifies, version its version at the start.
	tracker string
	version uint64
}

// partitionFetch is the progress of a fetchOperation in one partition.
type partitionFetch struct {
	// from is the offset of the cursor, maxOffset without one; after is the offset after which the
	// next request asks, and until how far the responses have come.
	from  uint64
	after uint64
	until uint64
	// skip are offsets above after that are here already.
	skip []uint64
	// waiting is set while a request awaits its response, done once all records came.
	waiting bool
	done    bool
	// requestedAt is when the last request was sent.
	requestedAt time.Time
	// topics and prefixes are what the interests match.
	topics   []string
	prefixes []string
}

// advanceFetch continues once all joins of the overlay are done: it sends the fetches to the
// leaders of the partitions, and completes when all have responded.
func (g *Gateway) advanceFetch(
	now time.Time,
	id uint64,
	operation *fetchOperation,
	effects *statemachine.Effects,
) {
	if operation.joins > 0 || g.fetches[id] != operation {
		return
	}
	if operation.failed {
		g.failFetch(now, id, operation, "no-neighbours", effects)
		return
	}
	operation.joins = 0
	open := false
	for name, fetch := range statemachine.Sorted(operation.partitions) {
		if !fetch.done {
			open = true
			if !fetch.waiting {
				g.sendFetch(now, id, name, fetch, effects)
			}
		}
	}
	if !open {
		g.completeFetch(now, id, operation, effects)
	}
}

// sendFetch sends the fetch of one partition to its leader.
func (g *Gateway) sendFetch(
	now time.Time,
	id uint64,
	name string,
	fetch *partitionFetch,
	effects *statemachine.Effects,
) {
	fetch.waiting, fetch.requestedAt = true, now
	g.timers.ArmSooner(timerDeadlines, now.Add(fetchRetry))
	address, _, found := g.leaderOf(name)
	if !found {
		g.viewClient.PollNow(now)
		return
	}
	g.Counts.Fetches++
	effects.Send(address, partition.Fetch{
		Partition:   name,
		RequestID:   id,
		After:       fetch.after,
		Topics:      fetch.topics,
		Prefixes:    fetch.prefixes,
		SkipOffsets: fetch.skip,
	})
}

// retryFetch sends unanswered fetches of an operation again, or fails it after its deadline. It
// returns when to look at it next, zero if it has ended.
func (g *Gateway) retryFetch(
	now time.Time,
	id uint64,
	operation *fetchOperation,
	effects *statemachine.Effects,
) time.Time {
	if !operation.deadline.After(now) {
		g.failFetch(now, id, operation, "no-answer", effects)
		return time.Time{}
	}
	next := operation.deadline
	if operation.joins > 0 {
		return next
	}
	for name, fetch := range statemachine.Sorted(operation.partitions) {
		if fetch.done || !fetch.waiting {
			continue
		}
		if !fetch.requestedAt.Add(fetchRetry).After(now) {
			g.sendFetch(now, id, name, fetch, effects)
		}
		next = statemachine.Earliest(next, fetch.requestedAt.Add(fetchRetry))
	}
	return next
}

// failFetch ends an operation without its records. A tracker verifies again later; the
// subscriptions of a session are removed and rejected.
func (g *Gateway) failFetch(
	now time.Time,
	id uint64,
	operation *fetchOperation,
	code string,
	effects *statemachine.Effects,
) {
	delete(g.fetches, id)
	if operation.tracker != "" {
		if tracker, found := g.trackers[operation.tracker]; found {
			tracker.verifying = false
			tracker.wanted = true
			g.timers.ArmSooner(timerVerify, now.Add(verifyEvery))
		}
		return
	}
	if session, found := g.sessions[operation.session]; found {
		g.dropFilling(now, operation, session, effects)
		g.drain(now, operation.session, session, effects)
	}
	g.answerSubscribe(
		now,
		operation.request,
		rejectedReply(503, code, "the place could not be found in time; nothing is subscribed", retryShortDelay),
		effects,
	)
}

// isDuplicate returns whether a response answers an earlier part of the fetch, which was applied
// before.
func (f *partitionFetch) isDuplicate(response partition.FetchResponse) bool {
	return f.after != maxOffset && response.Until <= f.after && f.after < response.HighWatermark &&
		!statemachine.Mutated("any-answer")
}

// missing returns the records above the offset after which the fetch asks.
func (f *partitionFetch) missing(records []partition.Record) []partition.Record {
	if statemachine.Mutated("any-answer") {
		return records
	}
	return slices.DeleteFunc(records, func(record partition.Record) bool { return record.Offset <= f.after })
}

// handleFetchResponse applies the response of a partition to its fetch operation.
func (g *Gateway) handleFetchResponse(now time.Time, response partition.FetchResponse, effects *statemachine.Effects) {
	operation, found := g.fetches[response.RequestID]
	if !found {
		g.Counts.Late += uint64(len(response.Records))
		return
	}
	fetch, wanted := operation.partitions[response.Partition]
	if !wanted || fetch.done {
		return
	}
	placement, placed := g.viewClient.Placements[response.Partition]
	if !response.Ready || !placed || response.Epoch < placement.Epoch {
		if !response.Ready {
			g.viewClient.PollNow(now)
		}
		return
	}
	if fetch.after != maxOffset && fetch.after < response.Base && operation.tracker == "" {
		// The records in between were removed when their retention had passed.
		g.loseHistory(now, response.RequestID, operation, effects)
		return
	}
	if fetch.isDuplicate(response) {
		return
	}
	fetch.waiting = false
	if fetch.after == maxOffset {
		fetch.until = response.HighWatermark
	} else {
		fetch.until = max(response.Until, min(fetch.after, response.HighWatermark))
		records := operation.records[response.Partition]
		operation.records[response.Partition] = append(records, fetch.missing(response.Records)...)
		if fetch.until < response.HighWatermark {
			fetch.after = fetch.until
			g.sendFetch(now, response.RequestID, response.Partition, fetch, effects)
			return
		}
	}
	fetch.done = true
	g.advanceFetch(now, response.RequestID, operation, effects)
}

// dropFilling removes the subscriptions that an operation was to fill.
func (g *Gateway) dropFilling(
	now time.Time,
	operation *fetchOperation,
	session *session,
	effects *statemachine.Effects,
) {
	for _, interest := range operation.interests {
		if subscription, present := session.subscriptions[interest]; present && subscription.filling {
			g.dropSubscription(now, operation.session, interest, true, effects)
		}
	}
}

// loseHistory rejects a subscription whose cursor is older than the retention of its space.
func (g *Gateway) loseHistory(now time.Time, id uint64, operation *fetchOperation, effects *statemachine.Effects) {
	delete(g.fetches, id)
	if session, found := g.sessions[operation.session]; found {
		g.dropFilling(now, operation, session, effects)
	}
	g.answerSubscribe(
		now,
		operation.request,
		rejectedReply(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0),
		effects,
	)
}

// completeFetch ends a fetch whose partitions have all answered. The records of a
// tracker's fetch go to the tracker. For a session the missed messages are delivered
// in an order that fits all senders.
func (g *Gateway) completeFetch(now time.Time, id uint64, operation *fetchOperation, effects *statemachine.Effects) {
	if operation.tracker != "" {
		delete(g.fetches, id)
		g.verified(now, operation, effects)
		return
	}
	session, found := g.sessions[operation.session]
	if !found {
		delete(g.fetches, id)
		return
	}
	ordered, again := merge(operation)
	again = append(again, g.overtakenPartitions(operation)...)
	if len(again) > 0 && operation.refetches < maxRefetches {
		g.refetch(now, id, operation, again, effects)
		return
	}
	delete(g.fetches, id)
	g.startSubscriptions(now, operation, session)
	missed := g.deliverMissed(now, operation, session, ordered, effects)
	g.answerSubscribe(now, operation.request, acceptedReply(map[string]any{
		"subscriptions": len(session.subscriptions),
		"resumed":       operation.resumes,
		"missed":        missed,
		"cursor":        g.cursor(now, session),
	}), effects)
	if operation.resumes {
		g.replayRecent(now, session, operation.interests)
	}
	g.drain(now, operation.session, session, effects)
	g.timers.ArmSooner(timerHighWatermarks, now)
	g.deliverReady(now, effects)
}

// overtakenPartitions returns the partitions that were verified further for other
// sessions meanwhile: the records in between were not buffered for this session.
func (g *Gateway) overtakenPartitions(operation *fetchOperation) []string {
	var names []string
	for name, fetch := range statemachine.Sorted(operation.partitions) {
		if tracker, topic := g.trackers[name]; topic && tracker.started && fetch.until < tracker.verified {
			names = append(names, name)
		}
	}
	return names
}

// refetch fetches some partitions further, since a message depends on one that they
// had not reported yet.
func (g *Gateway) refetch(
	now time.Time,
	id uint64,
	operation *fetchOperation,
	names []string,
	effects *statemachine.Effects,
) {
	operation.refetches++
	for _, name := range names {
		fetch := operation.partitions[name]
		fetch.done = false
		if fetch.from != maxOffset {
			fetch.after = fetch.until
		}
	}
	g.advanceFetch(now, id, operation, effects)
}

// startSubscriptions makes the subscriptions of a completed fetch live, from the
// offsets up to which their partitions were fetched.
func (g *Gateway) startSubscriptions(now time.Time, operation *fetchOperation, session *session) {
	for _, interest := range operation.interests {
		subscription, present := session.subscriptions[interest]
		if !present {
			continue
		}
		subscription.filling = false
		if operation.resumes {
			subscription.resumedAt = now
		}
		for name := range subscription.since {
			fetch, wanted := operation.partitions[name]
			if !wanted {
				continue
			}
			subscription.since[name] = fetch.until
			if tracker, topic := g.trackers[name]; topic {
				tracker.begin(interest, fetch.until)
			}
		}
	}
}

// deliverMissed delivers the missed messages of a resumed session and returns how
// many there were.
func (g *Gateway) deliverMissed(
	now time.Time,
	operation *fetchOperation,
	session *session,
	ordered []RecordCopy,
	effects *statemachine.Effects,
) int {
	// Until all of them are delivered, a cursor must still name where the backlog began.
	session.backlogFloors = map[string]uint64{}
	for name, fetch := range operation.partitions {
		if fetch.from != maxOffset {
			session.backlogFloors[name] = fetch.from
		}
	}
	missed := 0
	for _, each := range ordered {
		if session.wantsRecord(operation.interests, each) {
			missed++
			g.deliverRecord(now, operation.session, session, each, effects)
		}
	}
	session.backlogFloors = nil
	return missed
}

// merge orders the records of several partitions so that the records of each partition and the
// messages of each sender follow each other. It also returns the partitions that must be fetched
// further, since a record depends on one that they had not reported.
func merge(operation *fetchOperation) (ordered []RecordCopy, again []string) {
	at := map[string]int{}
	// Records older than the dependency window are ordered by the sender's seq alone.
	turns := map[string][]uint64{}
	for name, records := range operation.records {
		_, full := spaceOf(name)
		for _, record := range records {
			turns[full+" "+record.Sender] = append(turns[full+" "+record.Sender], record.Seq)
		}
	}
	for key := range turns {
		slices.Sort(turns[key])
	}
	for {
		progress, left := false, false
		again = nil
		for name, records := range statemachine.Sorted(operation.records) {
			for at[name] < len(records) {
				record := records[at[name]]
				_, full := spaceOf(name)
				missing, waits := operation.blockers(full, name, record, at)
				if len(missing) > 0 {
					again = append(again, missing...)
				}
				turn := full + " " + record.Sender
				if len(missing) > 0 || waits || turns[turn][0] < record.Seq {
					left = true
					break
				}
				turns[turn] = turns[turn][1:]
				ordered = append(ordered, RecordCopy{Partition: name, Record: record})
				at[name]++
				progress = true
			}
		}
		if !left {
			return ordered, nil
		}
		if !progress && len(again) == 0 {
			// Only a sender that published through two gateways at once, out
			// of its own order, brings this about.
			return append(ordered, unorderedRecords(operation, at)...), nil
		}
		if !progress {
			slices.Sort(again)
			return ordered, slices.Compact(again)
		}
	}
}

// unorderedRecords returns the records that could not be ordered, by the time of their append.
func unorderedRecords(operation *fetchOperation, at map[string]int) []RecordCopy {
	var rest []RecordCopy
	for name, records := range statemachine.Sorted(operation.records) {
		for _, record := range records[at[name]:] {
			rest = append(rest, RecordCopy{Partition: name, Record: record})
		}
	}
	slices.SortStableFunc(rest, func(left, right RecordCopy) int {
		return left.Record.AppendedAt.Compare(right.Record.AppendedAt)
	})
	return rest
}

// blockers returns what a missed record must wait for: partitions to be fetched further, since they
// responded before the record that it depends on was appended, or records that are here and come
// before it.
func (f *fetchOperation) blockers(
	full, name string,
	record partition.Record,
	at map[string]int,
) (missing []string, waits bool) {
	for _, mark := range record.Dependencies.Messages {
		other := partitionName(full, int(mark.Partition))
		fetch, wanted := f.partitions[other]
		if !wanted || other == name || !partition.Matches(mark.Topic, fetch.topics, fetch.prefixes) {
			continue
		}
		if mark.Offset > fetch.until {
			missing = append(missing, other)
		}
		for _, each := range f.records[other][at[other]:] {
			waits = waits || each.Offset == mark.Offset
		}
	}
	for _, reach := range record.Dependencies.Floor {
		other := partitionName(full, int(reach.Partition))
		fetch, wanted := f.partitions[other]
		if !wanted || other == name {
			continue
		}
		if reach.Offset > fetch.until {
			missing = append(missing, other)
		}
		for _, each := range f.records[other][at[other]:] {
			waits = waits || each.Offset <= reach.Offset
		}
	}
	return missing, waits
}
