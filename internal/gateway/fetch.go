package gateway

import (
	"slices"
	"time"

	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// fetchOperation fetches the records of several partitions that a resumed session missed, or the
// records of one partition that a tracker lacks.
type fetchOperation struct {
	// session, request, interests and resumes belong to the request whose subscriptions are catching
	// up. They are unset in the operation of a tracker.
	session   uint64
	request   Subscribe
	interests []Interest
	resumes   bool
	// partitions is the progress in each partition. records are the records received so far from each
	// partition, in order of offset.
	partitions map[string]*partitionFetch
	records    map[string][]partition.Record
	// refetches counts how often the fetch was extended in some partitions, see refetch.
	refetches int
	// pendingJoins is the number of overlay joins that are not complete; the fetch starts when it is 0.
	// joinFailed is set if a join failed.
	pendingJoins int
	joinFailed   bool
	// deadline is when the operation fails.
	deadline time.Time
	// tracker is the partition of the tracker that is being verified, empty in the operation of a
	// session. version is the tracker's version when the operation started.
	tracker string
	version uint64
}

// partitionFetch is the progress of a fetchOperation in one partition.
type partitionFetch struct {
	// cursorOffset is the offset of the cursor, or maxOffset without a cursor. after is the offset
	// after which the next request asks for records, or maxOffset if it asks for the high watermark
	// only. until is the offset up to which the responses have covered the partition.
	cursorOffset uint64
	after        uint64
	until        uint64
	// skip are offsets above after that need not be fetched, since their records were received before.
	skip []uint64
	// awaitingResponse is set while a request is in flight. done is set once all records are received.
	awaitingResponse bool
	done             bool
	// requestedAt is when the last request was sent.
	requestedAt time.Time
	// topics and prefixes are the paths of the interests.
	topics   []string
	prefixes []string
}

// advanceFetch continues an operation once all overlay joins are complete. It sends the fetches to the
// leaders of the partitions, and completes the operation when all partitions are done.
func (g *Gateway) advanceFetch(
	now time.Time,
	id uint64,
	operation *fetchOperation,
	effects *statemachine.Effects,
) {
	if operation.pendingJoins > 0 || g.fetches[id] != operation {
		return
	}
	if operation.joinFailed {
		g.failFetch(now, id, operation, CodeOverlayUnstable, effects)
		return
	}
	operation.pendingJoins = 0
	incomplete := false
	for name, fetch := range statemachine.Sorted(operation.partitions) {
		if !fetch.done {
			incomplete = true
			if !fetch.awaitingResponse {
				g.sendFetch(now, id, name, fetch, effects)
			}
		}
	}
	if !incomplete {
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
	fetch.awaitingResponse, fetch.requestedAt = true, now
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

// retryFetch sends the fetches of an operation again that have no response after fetchRetry, and fails
// the operation after its deadline. It returns the time of the next retry or of the deadline, zero if the
// operation ended.
func (g *Gateway) retryFetch(
	now time.Time,
	id uint64,
	operation *fetchOperation,
	effects *statemachine.Effects,
) time.Time {
	if !operation.deadline.After(now) {
		g.failFetch(now, id, operation, CodeNoAnswer, effects)
		return time.Time{}
	}
	next := operation.deadline
	if operation.pendingJoins > 0 {
		return next
	}
	for name, fetch := range statemachine.Sorted(operation.partitions) {
		if fetch.done || !fetch.awaitingResponse {
			continue
		}
		if !fetch.requestedAt.Add(fetchRetry).After(now) {
			g.sendFetch(now, id, name, fetch, effects)
		}
		next = statemachine.Earliest(next, fetch.requestedAt.Add(fetchRetry))
	}
	return next
}

// failFetch ends an operation that could not be completed. A tracker is verified again later. The
// subscriptions of a session are removed, and their request is rejected.
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
			tracker.verifyNeeded = true
			g.timers.ArmSooner(timerVerify, now.Add(verifyInterval))
		}
		return
	}
	if session, found := g.sessions[operation.session]; found {
		g.dropUnfinished(now, operation, session, effects)
		g.deliverBuffered(now, operation.session, session, effects)
	}
	g.answerSubscribe(
		now,
		operation.request,
		rejectedReply(503, code, "the place could not be found in time; nothing is subscribed", retryShortDelay),
		effects,
	)
}

// isDuplicate reports whether a response belongs to an earlier request of the fetch whose response was
// already applied.
func (f *partitionFetch) isDuplicate(response partition.FetchResponse) bool {
	return f.after != maxOffset && response.Until <= f.after && f.after < response.HighWatermark &&
		!statemachine.Mutated("any-answer")
}

// missing returns the records of a response above the offset after which the fetch requests records.
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
	fetch, requested := operation.partitions[response.Partition]
	if !requested || fetch.done {
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
		// The records in between were removed after the retention period.
		g.rejectExpiredCursor(now, response.RequestID, operation, effects)
		return
	}
	if fetch.isDuplicate(response) {
		return
	}
	fetch.awaitingResponse = false
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

// dropUnfinished removes the subscriptions of an operation that are still catching up.
func (g *Gateway) dropUnfinished(
	now time.Time,
	operation *fetchOperation,
	session *session,
	effects *statemachine.Effects,
) {
	for _, interest := range operation.interests {
		if subscription, present := session.subscriptions[interest]; present && subscription.catchingUp {
			g.dropSubscription(now, operation.session, interest, true, effects)
		}
	}
}

// rejectExpiredCursor ends an operation and rejects its request, because the cursor is older than the
// retention of the space.
func (g *Gateway) rejectExpiredCursor(
	now time.Time,
	id uint64,
	operation *fetchOperation,
	effects *statemachine.Effects,
) {
	delete(g.fetches, id)
	if session, found := g.sessions[operation.session]; found {
		g.dropUnfinished(now, operation, session, effects)
	}
	g.answerSubscribe(
		now,
		operation.request,
		expiredCursorReply(),
		effects,
	)
}

// completeFetch completes an operation whose partitions are all done. The records of a tracker's
// operation are applied to the tracker. For a session the missed messages are delivered in an order
// that keeps the order of each sender, and the subscriptions start.
func (g *Gateway) completeFetch(now time.Time, id uint64, operation *fetchOperation, effects *statemachine.Effects) {
	if operation.tracker != "" {
		delete(g.fetches, id)
		g.applyVerification(now, operation, effects)
		return
	}
	session, found := g.sessions[operation.session]
	if !found {
		delete(g.fetches, id)
		return
	}
	ordered, incomplete := merge(operation)
	incomplete = append(incomplete, g.overtakenPartitions(operation)...)
	if len(incomplete) > 0 && operation.refetches < maxRefetches {
		g.refetch(now, id, operation, incomplete, effects)
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
	g.deliverBuffered(now, operation.session, session, effects)
	g.timers.ArmSooner(timerHighWatermarks, now)
	g.deliverReady(now, effects)
}

// overtakenPartitions returns the partitions whose tracker has delivered records to other sessions
// beyond the fetched offset during the operation. Those records were not buffered for this session.
func (g *Gateway) overtakenPartitions(operation *fetchOperation) []string {
	var names []string
	for name, fetch := range statemachine.Sorted(operation.partitions) {
		if tracker, tracked := g.trackers[name]; tracked && tracker.started && fetch.until < tracker.verified {
			names = append(names, name)
		}
	}
	return names
}

// refetch extends the fetch of some partitions: a fetched record depends on one above their fetched
// offset, or their tracker has passed that offset.
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
		if fetch.cursorOffset != maxOffset {
			fetch.after = fetch.until
		}
	}
	g.advanceFetch(now, id, operation, effects)
}

// startSubscriptions starts the live delivery of the subscriptions of a completed operation, above the
// offsets up to which their partitions were fetched.
func (g *Gateway) startSubscriptions(now time.Time, operation *fetchOperation, session *session) {
	for _, interest := range operation.interests {
		subscription, present := session.subscriptions[interest]
		if !present {
			continue
		}
		subscription.catchingUp = false
		if operation.resumes {
			subscription.resumedAt = now
		}
		for name := range subscription.since {
			fetch, fetched := operation.partitions[name]
			if !fetched {
				continue
			}
			subscription.since[name] = fetch.until
			if tracker, tracked := g.trackers[name]; tracked {
				tracker.startInterest(interest, fetch.until)
			}
		}
	}
}

// deliverMissed delivers the missed messages of a resumed session and returns their number.
func (g *Gateway) deliverMissed(
	now time.Time,
	operation *fetchOperation,
	session *session,
	ordered []RecordCopy,
	effects *statemachine.Effects,
) int {
	// Until all missed messages are delivered, a cursor must still contain the offsets at which they
	// begin.
	session.backlogFloors = map[string]uint64{}
	for name, fetch := range operation.partitions {
		if fetch.cursorOffset != maxOffset {
			session.backlogFloors[name] = fetch.cursorOffset
		}
	}
	missed := 0
	for _, each := range ordered {
		if session.matchesMissedRecord(operation.interests, each) {
			missed++
			g.deliverRecord(now, operation.session, session, each, effects)
		}
	}
	session.backlogFloors = nil
	return missed
}

// merge merges the records of several partitions so that the order of each partition and of each
// sender is kept. It also returns the partitions whose fetch must be extended, because a record depends
// on one above their fetched offset.
func merge(operation *fetchOperation) (ordered []RecordCopy, incomplete []string) {
	positions := map[string]int{}
	// The dependencies of a record only name messages within the dependency window. Older records of
	// the sender are ordered by seq alone.
	sequences := map[string][]uint64{}
	for name, records := range operation.records {
		_, spaceName := spaceOf(name)
		for _, record := range records {
			sequences[spaceName+" "+record.Sender] = append(sequences[spaceName+" "+record.Sender], record.Seq)
		}
	}
	for key := range sequences {
		slices.Sort(sequences[key])
	}
	for {
		progress, remaining := false, false
		incomplete = nil
		for name, records := range statemachine.Sorted(operation.records) {
			for positions[name] < len(records) {
				record := records[positions[name]]
				_, spaceName := spaceOf(name)
				missing, blocked := operation.blockers(spaceName, name, record, positions)
				if len(missing) > 0 {
					incomplete = append(incomplete, missing...)
				}
				key := spaceName + " " + record.Sender
				if len(missing) > 0 || blocked || sequences[key][0] < record.Seq {
					remaining = true
					break
				}
				sequences[key] = sequences[key][1:]
				ordered = append(ordered, RecordCopy{Partition: name, Record: record})
				positions[name]++
				progress = true
			}
		}
		if !remaining {
			return ordered, nil
		}
		if !progress && len(incomplete) == 0 {
			// This happens only if a sender published through two gateways at the
			// same time and not in the order of its sequences.
			return append(ordered, unorderedRecords(operation, positions)...), nil
		}
		if !progress {
			slices.Sort(incomplete)
			return ordered, slices.Compact(incomplete)
		}
	}
}

// unorderedRecords returns the records that could not be merged, in order of their append time.
func unorderedRecords(operation *fetchOperation, positions map[string]int) []RecordCopy {
	var rest []RecordCopy
	for name, records := range statemachine.Sorted(operation.records) {
		for _, record := range records[positions[name]:] {
			rest = append(rest, RecordCopy{Partition: name, Record: record})
		}
	}
	slices.SortStableFunc(rest, func(left, right RecordCopy) int {
		return left.Record.AppendedAt.Compare(right.Record.AppendedAt)
	})
	return rest
}

// blockers returns what prevents the delivery of a missed record: the partitions whose fetch must be
// extended, since they responded before a dependency of the record was appended, and whether a fetched
// record must be delivered before it.
func (f *fetchOperation) blockers(
	spaceName, name string,
	record partition.Record,
	positions map[string]int,
) (missing []string, blocked bool) {
	for _, message := range record.Dependencies.Messages {
		other := partitionName(spaceName, int(message.Partition))
		fetch, fetched := f.partitions[other]
		if !fetched || other == name || !partition.Matches(message.Topic, fetch.topics, fetch.prefixes) {
			continue
		}
		if message.Offset > fetch.until {
			missing = append(missing, other)
		}
		for _, each := range f.records[other][positions[other]:] {
			blocked = blocked || each.Offset == message.Offset
		}
	}
	for _, floor := range record.Dependencies.Floor {
		other := partitionName(spaceName, int(floor.Partition))
		fetch, fetched := f.partitions[other]
		if !fetched || other == name {
			continue
		}
		if floor.Offset > fetch.until {
			missing = append(missing, other)
		}
		for _, each := range f.records[other][positions[other]:] {
			blocked = blocked || each.Offset <= floor.Offset
		}
	}
	return missing, blocked
}
