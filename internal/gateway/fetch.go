package gateway

import (
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"slices"
	"time"
)

// fetchOperation is a round of questions to stores: for a subscribing channel, or for a
// tracker that verifies what it has.
type fetchOperation struct {
	session    uint64
	request    Subscribe
	interests  []Interest
	resumes    bool
	partitions map[string]*partitionFetch
	records    map[string][]partition.Record
	refetches  int
	joins      int
	failed     bool
	deadline   time.Time
	tracker    string
	version    uint64
}

type partitionFetch struct {
	from        uint64
	after       uint64
	until       uint64
	skip        []uint64
	waiting     bool
	done        bool
	requestedAt time.Time
	topics      []string
	prefixes    []string
}

// advanceFetch goes on once the overlay peers have settled: it asks the first
// of each partition, and ends when all have answered.
func (g *Gateway) advanceFetch(now time.Time, id uint64, operation *fetchOperation, _ cursor, effects *statemachine.Effects) {
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

func (g *Gateway) sendFetch(now time.Time, id uint64, name string, fetch *partitionFetch, effects *statemachine.Effects) {
	fetch.waiting, fetch.requestedAt = true, now
	g.timers.ArmSooner(timerDeadlines, now.Add(fetchRetry))
	address, _, found := g.leaderOf(name)
	if !found {
		g.viewClient.PollNow(now)
		return
	}
	g.Counts.Fetches++
	effects.Send(address, partition.Fetch{
		Partition: name, RequestID: id, After: fetch.after, Topics: fetch.topics, Prefixes: fetch.prefixes, SkipOffsets: fetch.skip,
	})
}

func (g *Gateway) retryFetch(now time.Time, id uint64, operation *fetchOperation, effects *statemachine.Effects) time.Time {
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

func (g *Gateway) failFetch(now time.Time, id uint64, operation *fetchOperation, code string, effects *statemachine.Effects) {
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
	g.answerSubscribe(now, operation.request, rejectedReply(503, code, "the place could not be found in time; nothing is subscribed", retryShortDelay), effects)
}

// isDuplicate tells whether an answer is one that came before, to an earlier part of what is
// asked.
func (f *partitionFetch) isDuplicate(response partition.FetchResponse) bool {
	return f.after != everything && response.Until <= f.after && f.after < response.HighWatermark && !statemachine.Mutated("any-answer")
}

// missing are the records beyond what was had before.
func (f *partitionFetch) missing(records []partition.Record) []partition.Record {
	if statemachine.Mutated("any-answer") {
		return records
	}
	return slices.DeleteFunc(records, func(record partition.Record) bool { return record.Offset <= f.after })
}

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
	if fetch.after != everything && fetch.after < response.Base && operation.tracker == "" {
		// What lies between was kept for the holding time and is gone.
		g.loseHistory(now, response.RequestID, operation, effects)
		return
	}
	if fetch.isDuplicate(response) {
		return
	}
	fetch.waiting = false
	if fetch.after == everything {
		fetch.until = response.HighWatermark
	} else {
		fetch.until = max(response.Until, min(fetch.after, response.HighWatermark))
		operation.records[response.Partition] = append(operation.records[response.Partition], fetch.missing(response.Records)...)
		if fetch.until < response.HighWatermark {
			fetch.after = fetch.until
			g.sendFetch(now, response.RequestID, response.Partition, fetch, effects)
			return
		}
	}
	fetch.done = true
	g.advanceFetch(now, response.RequestID, operation, cursor{}, effects)
}

// dropFilling ends the subscriptions that a round did not come to fill.
func (g *Gateway) dropFilling(now time.Time, operation *fetchOperation, session *session, effects *statemachine.Effects) {
	for _, interest := range operation.interests {
		if subscription, present := session.subscriptions[interest]; present && subscription.filling {
			g.dropSubscription(now, operation.session, interest, true, effects)
		}
	}
}

func (g *Gateway) loseHistory(now time.Time, id uint64, operation *fetchOperation, effects *statemachine.Effects) {
	delete(g.fetches, id)
	if session, found := g.sessions[operation.session]; found {
		g.dropFilling(now, operation, session, effects)
	}
	g.answerSubscribe(now, operation.request, rejectedReply(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0), effects)
}

// completeFetch ends a round: for a tracker it takes what was missed; for a
// channel it hands over the missed messages in an order that fits all senders.
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
	for name, fetch := range statemachine.Sorted(operation.partitions) {
		// The partition was verified further for others meanwhile; what lies
		// between was not kept here for this channel.
		if tracker, topic := g.trackers[name]; topic && tracker.started && fetch.until < tracker.verified {
			again = append(again, name)
		}
	}
	if len(again) > 0 && operation.refetches < maxRefetches {
		// A message refers to one that another partition had not yet told of.
		operation.refetches++
		for _, name := range again {
			fetch := operation.partitions[name]
			fetch.done = false
			if fetch.from != everything {
				fetch.after = fetch.until
			}
		}
		g.advanceFetch(now, id, operation, cursor{}, effects)
		return
	}
	delete(g.fetches, id)
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
			if fetch, wanted := operation.partitions[name]; wanted {
				subscription.since[name] = fetch.until
				if tracker, topic := g.trackers[name]; topic {
					tracker.begin(interest, fetch.until)
				}
			}
		}
	}
	// Until all of it is handed over, a cursor must still say where it began.
	session.floors = map[string]uint64{}
	for name, fetch := range operation.partitions {
		if fetch.from != everything {
			session.floors[name] = fetch.from
		}
	}
	missed := 0
	for _, each := range ordered {
		if session.wantsRecord(operation.interests, each) {
			missed++
			g.deliverRecord(now, operation.session, session, each, effects)
		}
	}
	session.floors = nil
	g.answerSubscribe(now, operation.request, acceptedReply(map[string]any{
		"subscriptions": len(session.subscriptions), "resumed": operation.resumes, "missed": missed, "cursor": g.cursor(now, session),
	}), effects)
	if operation.resumes {
		g.replayRecent(now, session, operation.interests)
	}
	g.drain(now, operation.session, session, effects)
	g.timers.ArmSooner(timerFollow, now)
	g.deliverReady(now, effects)
}

// merge puts the records of several partitions in an order in which each partition's
// records and each sender's messages follow each other. It names the partitions
// that must be asked again for a record that another one refers to.
func merge(operation *fetchOperation) (ordered []RecordCopy, again []string) {
	at := map[string]int{}
	// What is older than a trail is ordered by the sender's seq alone.
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

// unorderedRecords lists what could not be ordered, by the time at which it was kept.
func unorderedRecords(operation *fetchOperation, at map[string]int) []RecordCopy {
	var rest []RecordCopy
	for name, records := range statemachine.Sorted(operation.records) {
		for _, record := range records[at[name]:] {
			rest = append(rest, RecordCopy{Partition: name, Record: record})
		}
	}
	slices.SortStableFunc(rest, func(left, right RecordCopy) int { return left.Record.AppendedAt.Compare(right.Record.AppendedAt) })
	return rest
}

// blockers tells what a missed message must wait for: partitions to be asked again,
// since they were asked before what it refers to was kept, or records that are
// here and have not had their turn.
func (f *fetchOperation) blockers(full, name string, record partition.Record, at map[string]int) (missing []string, waits bool) {
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
