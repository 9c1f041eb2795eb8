package gateway

import (
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"slices"
	"time"
)

// fetch is a round of questions to stores: for a subscribing channel, or for a
// tracker that verifies what it has.
type fetch struct {
	channel    uint64
	request    Subscribe
	interests  []Interest
	resumes    bool
	partitions map[string]*fetched
	records    map[string][]partition.Record
	rounds     int
	joins      int
	failed     bool
	limit      time.Time
	tracker    string
	version    uint64
}

type fetched struct {
	from     uint64
	after    uint64
	until    uint64
	skip     []uint64
	waiting  bool
	done     bool
	askedAt  time.Time
	topics   []string
	prefixes []string
}

// advanceFetch goes on once the overlay peers have settled: it asks the first
// of each partition, and ends when all have answered.
func (g *Gateway) advanceFetch(now time.Time, id uint64, round *fetch, _ cursor, effects *statemachine.Effects) {
	if round.joins > 0 || g.fetches[id] != round {
		return
	}
	if round.failed {
		g.failFetch(now, id, round, "no-neighbours", effects)
		return
	}
	round.joins = 0
	open := false
	for name, asked := range statemachine.Sorted(round.partitions) {
		if !asked.done {
			open = true
			if !asked.waiting {
				g.ask(now, id, name, asked, effects)
			}
		}
	}
	if !open {
		g.completeFetch(now, id, round, effects)
	}
}

func (g *Gateway) ask(now time.Time, id uint64, name string, asked *fetched, effects *statemachine.Effects) {
	asked.waiting, asked.askedAt = true, now
	g.timers.ArmSooner("limits", now.Add(fetchRetry))
	address, _, found := g.firstOf(name)
	if !found {
		g.viewClient.PollNow(now)
		return
	}
	g.Counts.Fetches++
	effects.Send(address, partition.Fetch{
		Partition: name, RequestID: id, After: asked.after, Topics: asked.topics, Prefixes: asked.prefixes, SkipOffsets: asked.skip,
	})
}

func (g *Gateway) retryFetch(now time.Time, id uint64, round *fetch, effects *statemachine.Effects) time.Time {
	if !round.limit.After(now) {
		g.failFetch(now, id, round, "no-answer", effects)
		return time.Time{}
	}
	next := round.limit
	if round.joins > 0 {
		return next
	}
	for name, asked := range statemachine.Sorted(round.partitions) {
		if asked.done || !asked.waiting {
			continue
		}
		if !asked.askedAt.Add(fetchRetry).After(now) {
			g.ask(now, id, name, asked, effects)
		}
		next = statemachine.Earliest(next, asked.askedAt.Add(fetchRetry))
	}
	return next
}

func (g *Gateway) failFetch(now time.Time, id uint64, round *fetch, code string, effects *statemachine.Effects) {
	delete(g.fetches, id)
	if round.tracker != "" {
		if tracker, found := g.trackers[round.tracker]; found {
			tracker.verifying = false
			tracker.wanted = true
			g.timers.ArmSooner("verify", now.Add(verifyEvery))
		}
		return
	}
	if session, found := g.sessions[round.channel]; found {
		g.dropFilling(now, round, session, effects)
		g.drain(now, round.channel, session, effects)
	}
	g.answerSubscribe(now, round.request, rejectedReply(503, code, "the place could not be found in time; nothing is subscribed", retrySoon), effects)
}

// had tells whether an answer is one that came before, to an earlier part of what is
// asked.
func (f *fetched) had(response partition.FetchResponse) bool {
	return f.after != everything && response.Until <= f.after && f.after < response.HighWatermark && !statemachine.Mutated("any-answer")
}

// lacked are the records beyond what was had before.
func (f *fetched) lacked(records []partition.Record) []partition.Record {
	if statemachine.Mutated("any-answer") {
		return records
	}
	return slices.DeleteFunc(records, func(record partition.Record) bool { return record.Offset <= f.after })
}

func (g *Gateway) onFetchResponse(now time.Time, response partition.FetchResponse, effects *statemachine.Effects) {
	round, found := g.fetches[response.RequestID]
	if !found {
		g.Counts.Late += uint64(len(response.Records))
		return
	}
	asked, wanted := round.partitions[response.Partition]
	if !wanted || asked.done {
		return
	}
	place, placed := g.viewClient.Placements[response.Partition]
	if !response.Ready || !placed || response.Epoch < place.Epoch {
		if !response.Ready {
			g.viewClient.PollNow(now)
		}
		return
	}
	if asked.after != everything && asked.after < response.Base && round.tracker == "" {
		// What lies between was kept for the holding time and is gone.
		g.loseHistory(now, response.RequestID, round, effects)
		return
	}
	if asked.had(response) {
		return
	}
	asked.waiting = false
	if asked.after == everything {
		asked.until = response.HighWatermark
	} else {
		asked.until = max(response.Until, min(asked.after, response.HighWatermark))
		round.records[response.Partition] = append(round.records[response.Partition], asked.lacked(response.Records)...)
		if asked.until < response.HighWatermark {
			asked.after = asked.until
			g.ask(now, response.RequestID, response.Partition, asked, effects)
			return
		}
	}
	asked.done = true
	g.advanceFetch(now, response.RequestID, round, cursor{}, effects)
}

// dropFilling ends the subscriptions that a round did not come to fill.
func (g *Gateway) dropFilling(now time.Time, round *fetch, session *session, effects *statemachine.Effects) {
	for _, interest := range round.interests {
		if subscription, present := session.subscriptions[interest]; present && subscription.filling {
			g.dropSubscription(now, round.channel, interest, true, effects)
		}
	}
}

func (g *Gateway) loseHistory(now time.Time, id uint64, round *fetch, effects *statemachine.Effects) {
	delete(g.fetches, id)
	if session, found := g.sessions[round.channel]; found {
		g.dropFilling(now, round, session, effects)
	}
	g.answerSubscribe(now, round.request, rejectedReply(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0), effects)
}

// completeFetch ends a round: for a tracker it takes what was missed; for a
// channel it hands over the missed messages in an order that fits all senders.
func (g *Gateway) completeFetch(now time.Time, id uint64, round *fetch, effects *statemachine.Effects) {
	if round.tracker != "" {
		delete(g.fetches, id)
		g.verified(now, round, effects)
		return
	}
	session, found := g.sessions[round.channel]
	if !found {
		delete(g.fetches, id)
		return
	}
	ordered, again := merge(round)
	for name, asked := range statemachine.Sorted(round.partitions) {
		// The partition was verified further for others meanwhile; what lies
		// between was not kept here for this channel.
		if tracker, topic := g.trackers[name]; topic && tracker.began && asked.until < tracker.verified {
			again = append(again, name)
		}
	}
	if len(again) > 0 && round.rounds < refetchMost {
		// A message refers to one that another partition had not yet told of.
		round.rounds++
		for _, name := range again {
			asked := round.partitions[name]
			asked.done = false
			if asked.from != everything {
				asked.after = asked.until
			}
		}
		g.advanceFetch(now, id, round, cursor{}, effects)
		return
	}
	delete(g.fetches, id)
	for _, interest := range round.interests {
		subscription, present := session.subscriptions[interest]
		if !present {
			continue
		}
		subscription.filling = false
		if round.resumes {
			subscription.resumedAt = now
		}
		for name := range subscription.since {
			if asked, wanted := round.partitions[name]; wanted {
				subscription.since[name] = asked.until
				if tracker, topic := g.trackers[name]; topic {
					tracker.begin(interest, asked.until)
				}
			}
		}
	}
	// Until all of it is handed over, a cursor must still say where it began.
	session.floors = map[string]uint64{}
	for name, asked := range round.partitions {
		if asked.from != everything {
			session.floors[name] = asked.from
		}
	}
	missed := 0
	for _, each := range ordered {
		if session.subscribesTo(round.interests, each) {
			missed++
			g.deliverTo(now, round.channel, session, each, effects)
		}
	}
	session.floors = nil
	g.answerSubscribe(now, round.request, acceptedReply(map[string]any{
		"subscriptions": len(session.subscriptions), "resumed": round.resumes, "missed": missed, "cursor": g.cursor(now, session),
	}), effects)
	if round.resumes {
		g.replay(now, session, round.interests)
	}
	g.drain(now, round.channel, session, effects)
	g.timers.ArmSooner("follow", now)
	g.pump(now, effects)
}

// merge puts the records of several partitions in an order in which each partition's
// records and each sender's messages follow each other. It names the partitions
// that must be asked again for a record that another one refers to.
func merge(round *fetch) (ordered []RecordCopy, again []string) {
	at := map[string]int{}
	// What is older than a trail is ordered by the sender's seq alone.
	turns := map[string][]uint64{}
	for name, records := range round.records {
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
		for name, records := range statemachine.Sorted(round.records) {
			for at[name] < len(records) {
				record := records[at[name]]
				_, full := spaceOf(name)
				missing, waits := round.before(full, name, record, at)
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
			return append(ordered, leftOver(round, at)...), nil
		}
		if !progress {
			slices.Sort(again)
			return ordered, slices.Compact(again)
		}
	}
}

// leftOver lists what could not be ordered, by the time at which it was kept.
func leftOver(round *fetch, at map[string]int) []RecordCopy {
	var rest []RecordCopy
	for name, records := range statemachine.Sorted(round.records) {
		for _, record := range records[at[name]:] {
			rest = append(rest, RecordCopy{Partition: name, Record: record})
		}
	}
	slices.SortStableFunc(rest, func(left, right RecordCopy) int { return left.Record.AppendedAt.Compare(right.Record.AppendedAt) })
	return rest
}

// before tells what a missed message must wait for: partitions to be asked again,
// since they were asked before what it refers to was kept, or records that are
// here and have not had their turn.
func (f *fetch) before(full, name string, record partition.Record, at map[string]int) (missing []string, waits bool) {
	for _, mark := range record.Dependencies.Messages {
		other := partitionName(full, int(mark.Partition))
		asked, wanted := f.partitions[other]
		if !wanted || other == name || !partition.Matches(mark.Topic, asked.topics, asked.prefixes) {
			continue
		}
		if mark.Offset > asked.until {
			missing = append(missing, other)
		}
		for _, each := range f.records[other][at[other]:] {
			waits = waits || each.Offset == mark.Offset
		}
	}
	for _, reach := range record.Dependencies.Floor {
		other := partitionName(full, int(reach.Partition))
		asked, wanted := f.partitions[other]
		if !wanted || other == name {
			continue
		}
		if reach.Offset > asked.until {
			missing = append(missing, other)
		}
		for _, each := range f.records[other][at[other]:] {
			waits = waits || each.Offset <= reach.Offset
		}
	}
	return missing, waits
}
