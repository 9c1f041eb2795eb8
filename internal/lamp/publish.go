// Publishing. The messages of one sender in one space go one after the other:
// the next begins when the one before has its answer, and a refusal or an
// unsettled fate holds off those behind it, so that none overtakes. A kept
// message goes to the first of its strand and is fanned out once it is
// accepted; a passing one is fanned out at once. The destinations come from the
// overlay peer at the topic's area, one copy for each daemon.
package lamp

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/chart"
	"dahlialock/internal/fairway"
	"dahlialock/internal/helm"
	"dahlialock/internal/pilotage"
	"dahlialock/internal/soundings"
	"dahlialock/internal/strand"
)

const (
	senderIdle   = 90 * time.Second
	seqMemory    = 30 * time.Second
	queueMost    = 64
	blockFor     = 3 * time.Second
	appendRetry  = 150 * time.Millisecond
	joinPatience = 800 * time.Millisecond
)

type senderKey struct {
	space  string
	sender string
}

type sentMemory struct {
	digest uint64
	at     time.Time
}

type sender struct {
	queue     []*publication
	lastSeq   uint64
	recalled  bool
	trail     []trailed
	arrived   time.Time
	recent    map[uint64]sentMemory
	blocked   uint64
	blockedAt time.Time
	lastUse   time.Time
}

// trailed is a message of a sender that was accepted a moment ago.
type trailed struct {
	mark strand.Mark
	seq  uint64
	at   time.Time
}

// before tells the trail that goes with a sender's next message.
func (from *sender) before(now time.Time) strand.Trail {
	from.trail = slices.DeleteFunc(from.trail, func(each trailed) bool { return now.Sub(each.at) > strand.TrailFor })
	var trail strand.Trail
	older := max(0, len(from.trail)-strand.TrailMost)
	floors := map[uint8]uint64{}
	for _, each := range from.trail[:older] {
		floors[each.mark.Strand] = max(floors[each.mark.Strand], each.mark.Offset)
	}
	for number, offset := range helm.Sorted(floors) {
		trail.Floor = append(trail.Floor, strand.Reach{Strand: number, Offset: offset})
	}
	for _, each := range from.trail[older:] {
		trail.Marks = append(trail.Marks, each.mark)
	}
	return trail
}

type publication struct {
	visit  Publish
	key    senderKey
	id     uint64
	strand string
	sentAt time.Time
	limit  time.Time
	// open are the numbers of the sends without an answer; see routedPublication.
	open     map[uint64]bool
	recalled bool
	answered bool
}

type recall struct {
	key     senderKey
	waiting int
	ready   bool
	lastSeq uint64
	recent  []strand.Recent
	limit   time.Time
}

func (lantern *Lantern) messageOf(visit *Judged) string {
	if visit.Kind != "publish" {
		return ""
	}
	return soundings.MessageName(visit.Space, visit.Sender, visit.Seq)
}

func (lantern *Lantern) publish(now time.Time, visit Publish, effects *helm.Effects) {
	lantern.Counts.Visits++
	if lantern.routedTopic(visit.Space) {
		lantern.publishRouted(now, visit, false, effects)
		return
	}
	lantern.tryPublish(now, visit, false, effects)
}

func (lantern *Lantern) tryPublish(now time.Time, visit Publish, looked bool, effects *helm.Effects) {
	judged := &Judged{
		Kind: "publish", Origin: visit.Origin, Sender: visit.Sender, Space: visit.Space, Topic: visit.Topic,
		Seq: visit.Seq, Data: visit.Data, Looked: looked,
	}
	item := &publication{visit: visit, key: senderKey{space: visit.Space, sender: visit.Sender}}
	answer := func(returned Answer) { lantern.settlePublication(now, item, returned, effects) }
	retry := func(now time.Time, effects *helm.Effects) { lantern.tryPublish(now, visit, true, effects) }
	if !lantern.judge(now, judged, visit.VisitName, retry, answer) {
		return
	}
	from, found := lantern.senders[item.key]
	if !found {
		from = &sender{recent: map[uint64]sentMemory{}, arrived: now}
		lantern.senders[item.key] = from
	}
	from.lastUse = now
	if from.blocked > 0 && visit.Seq > from.blocked {
		if now.Sub(from.blockedAt) < blockFor {
			answer(refused(503, "earlier-refused", "an earlier seq of this sender has no accepted answer; send that one first", comeBackLater))
			return
		}
		from.blocked = 0
	}
	if len(from.queue) >= queueMost {
		answer(refused(429, "queue-full", "too many publications of this sender wait", comeBackLater))
		return
	}
	lantern.ring.Record(now, visit.VisitName, lantern.messageOf(judged), visit.Origin, "judged", "topic", visit.Topic,
		"version", lantern.follower.Version, "queued", len(from.queue))
	item.limit = now.Add(min(patience, lantern.spaces[visit.Space].space.AnswerWithin*7/10))
	from.queue = append(from.queue, item)
	lantern.timers.ArmSooner("limits", item.limit)
	if len(from.queue) == 1 {
		lantern.begin(now, from, effects)
	}
}

// countOutcome counts the final answer of a publication.
func (lantern *Lantern) countOutcome(answer Answer) {
	switch answer.Outcome {
	case OutcomeAccepted:
		lantern.Counts.Accepted++
	case OutcomeRefused:
		lantern.Counts.RefusedVisits++
	case OutcomeUnsettled:
		lantern.Counts.UnsettledVisits++
	}
}

// settlePublication gives a publication its final answer.
func (lantern *Lantern) settlePublication(now time.Time, item *publication, answer Answer, effects *helm.Effects) {
	if item.answered {
		return
	}
	item.answered = true
	lantern.countOutcome(answer)
	lantern.ring.Record(now, item.visit.VisitName, soundings.MessageName(item.visit.Space, item.visit.Sender, item.visit.Seq),
		item.visit.Origin, "answered", "outcome", answer.Outcome, "code", answer.Code)
	effects.Return(item.visit.Visit, answer)
}

// begin starts the publication at the head of a sender's queue.
func (lantern *Lantern) begin(now time.Time, from *sender, effects *helm.Effects) {
	for len(from.queue) > 0 {
		item := from.queue[0]
		state, found := lantern.spaces[item.visit.Space]
		if !found {
			from.queue = from.queue[1:]
			lantern.settlePublication(now, item, refused(404, "no-such-space", "the space was removed", 0), effects)
			continue
		}
		if state.space.Promise == chart.Kept {
			lantern.keep(now, state, from, item, effects)
			return
		}
		lantern.passOn(now, state, from, item, effects)
		return
	}
}

// finish ends the head of a queue. Where it was not accepted, those behind it
// are refused, and later seqs are held off until this one is sent again.
func (lantern *Lantern) finish(now time.Time, item *publication, answer Answer, effects *helm.Effects) {
	delete(lantern.appends, item.id)
	for send := range item.open {
		delete(lantern.sends, send)
	}
	lantern.settlePublication(now, item, answer, effects)
	from, found := lantern.senders[item.key]
	if !found || len(from.queue) == 0 || from.queue[0] != item {
		return
	}
	from.queue = from.queue[1:]
	if answer.Outcome == OutcomeAccepted {
		if item.visit.Seq >= from.blocked {
			from.blocked = 0
		}
		lantern.begin(now, from, effects)
		return
	}
	if answer.RetryAfter > 0 {
		from.blocked, from.blockedAt = item.visit.Seq, now
		waiting := from.queue
		from.queue = nil
		for _, behind := range waiting {
			lantern.settlePublication(now, behind, refused(503, "earlier-refused", "an earlier seq of this sender was not accepted", comeBackLater), effects)
		}
		return
	}
	lantern.begin(now, from, effects)
}

// Kept messages.

func (lantern *Lantern) strandOf(state *spaceState, topic string) string {
	return strandName(state.name, strand.Number(topic, state.space.Strands()))
}

func strandName(space string, number int) string {
	name := pilotage.StrandName("", 0, number)
	return space + name[len("~0"):]
}

// areaOf is where a topic lies: a space with one shared order is one area, so
// that all who hold a part of it receive the whole of it.
func areaOf(space chart.Space, path string) fairway.Area {
	if space.Order == chart.OrderChannel {
		return fairway.Whole
	}
	return fairway.AreaOf(path)
}

func (lantern *Lantern) keep(now time.Time, state *spaceState, from *sender, item *publication, effects *helm.Effects) {
	// A seq that does not follow the newest one known here may come from a
	// sender that was elsewhere meanwhile; its trail is learned anew.
	follows := from.recalled && item.visit.Seq <= from.lastSeq+1
	if !follows && !item.recalled && state.space.Strands() > 1 {
		item.recalled = true
		lantern.recallSender(now, state, item, effects)
		return
	}
	item.strand = lantern.strandOf(state, item.visit.Topic)
	lantern.nextVisit++
	item.id = lantern.nextVisit
	lantern.appends[item.id] = item
	lantern.fairway.Publish(now, state.name, areaOf(state.space, item.visit.Topic), nil, effects)
	lantern.sendAppend(now, from, item, effects)
}

func (lantern *Lantern) firstOf(name string) (address, keeper string, found bool) {
	place, placed := lantern.follower.Places[name]
	if !placed {
		return "", "", false
	}
	member, known := lantern.follower.Members[place.First]
	return member.Address, place.First, known
}

func (lantern *Lantern) sendAppend(now time.Time, from *sender, item *publication, effects *helm.Effects) {
	item.sentAt = now
	lantern.timers.ArmSooner("limits", now.Add(appendRetry))
	address, keeper, found := lantern.firstOf(item.strand)
	if !found {
		lantern.follower.Hurry(now)
		return
	}
	var before strand.Trail
	if state, known := lantern.spaces[item.visit.Space]; known && state.space.Strands() > 1 {
		before = from.before(now)
	}
	lantern.nextVisit++
	send := lantern.nextVisit
	if item.open == nil {
		item.open = map[uint64]bool{}
	}
	item.open[send] = true
	lantern.sends[send] = item
	lantern.ring.Record(now, item.visit.VisitName, soundings.MessageName(item.visit.Space, item.visit.Sender, item.visit.Seq),
		item.visit.Origin, "append", "strand", item.strand, "keeper", keeper, "epoch", lantern.follower.Places[item.strand].Epoch)
	effects.Send(address, strand.Append{
		Strand: item.strand, Visit: send, Topic: item.visit.Topic, Sender: item.visit.Sender, Seq: item.visit.Seq,
		Data: item.visit.Data, Before: before, OnlyAgain: item.visit.Seq <= from.lastSeq,
	})
}

func (lantern *Lantern) onAppendReturn(now time.Time, returned strand.AppendReturn, effects *helm.Effects) {
	if item, routed := lantern.routed.sends[returned.Visit]; routed && item.strand == returned.Strand {
		lantern.onRoutedReturn(now, item, returned, effects)
		return
	}
	item, found := lantern.sends[returned.Visit]
	if !found || item.strand != returned.Strand {
		return
	}
	delete(item.open, returned.Visit)
	delete(lantern.sends, returned.Visit)
	message := soundings.MessageName(item.visit.Space, item.visit.Sender, item.visit.Seq)
	lantern.ring.Record(now, item.visit.VisitName, message, item.visit.Origin, "kept", "outcome", returned.Outcome,
		"code", returned.Code, "strand", returned.Strand, "epoch", returned.Epoch, "offset", returned.Record.Offset, "again", returned.Again)
	switch returned.Outcome {
	case strand.Accepted:
		if from, known := lantern.senders[item.key]; known {
			from.lastSeq = max(from.lastSeq, item.visit.Seq)
			from.trail = append(from.trail, trailed{
				mark: strand.Mark{Strand: strand.NumberIn(returned.Strand), Offset: returned.Record.Offset, Topic: item.visit.Topic},
				seq:  item.visit.Seq, at: now,
			})
		}
		if state, present := lantern.spaces[item.visit.Space]; present && !returned.Again {
			lantern.fanOutKept(now, state, returned.Strand, returned.Record, item, effects)
		}
		lantern.finish(now, item, accepted(map[string]any{"again": returned.Again}), effects)
	case strand.Refused:
		switch returned.Code {
		case "not-first":
			// The keeper or this lantern lacks news; the limit decides.
			lantern.follower.Hurry(now)
			item.sentAt = now
			lantern.timers.ArmSooner("limits", now.Add(appendRetry))
		case "old-seq", "seq-reused":
			lantern.finish(now, item, refused(409, returned.Code, "this seq is not above the sender's newest", 0), effects)
		default:
			if len(item.open) > 0 {
				// An earlier try has no answer; it may yet be kept.
				lantern.finish(now, item, unsettled(returned.Code, "send the same seq again", returned.RetryAfter), effects)
				return
			}
			lantern.finish(now, item, refused(503, returned.Code, "the strand can't keep two copies at this moment", returned.RetryAfter), effects)
		}
	default:
		lantern.finish(now, item, unsettled(returned.Code, "send the same seq again", comeBackLater), effects)
	}
}

func (lantern *Lantern) recallSender(now time.Time, state *spaceState, item *publication, effects *helm.Effects) {
	byKeeper := map[string][]string{}
	for number := range state.space.Strands() {
		name := strandName(state.name, number)
		address, _, found := lantern.firstOf(name)
		if !found {
			lantern.follower.Hurry(now)
			lantern.finish(now, item, refused(503, "not-placed", "the space's strands are not placed yet", comeBackLater), effects)
			return
		}
		byKeeper[address] = append(byKeeper[address], name)
	}
	lantern.nextVisit++
	lantern.recalls[lantern.nextVisit] = &recall{key: item.key, waiting: len(byKeeper), ready: true, limit: item.limit}
	for address, names := range helm.Sorted(byKeeper) {
		effects.Send(address, strand.SenderAsk{Visit: lantern.nextVisit, Strands: names, Sender: item.visit.Sender})
	}
}

func (lantern *Lantern) onSenderReturn(now time.Time, returned strand.SenderReturn, effects *helm.Effects) {
	asked, found := lantern.recalls[returned.Visit]
	if !found {
		return
	}
	asked.waiting--
	asked.ready = asked.ready && returned.Ready
	asked.lastSeq = max(asked.lastSeq, returned.LastSeq)
	asked.recent = append(asked.recent, returned.Recent...)
	if asked.waiting > 0 {
		return
	}
	delete(lantern.recalls, returned.Visit)
	from, known := lantern.senders[asked.key]
	if !known || len(from.queue) == 0 {
		return
	}
	if !asked.ready {
		lantern.follower.Hurry(now)
		lantern.finish(now, from.queue[0], refused(503, "strand-moving", "a strand of the space is being taken over", comeBackLater), effects)
		return
	}
	from.recalled, from.lastSeq, from.trail = true, asked.lastSeq, nil
	slices.SortFunc(asked.recent, func(left, right strand.Recent) int { return cmp.Compare(left.Seq, right.Seq) })
	for _, each := range asked.recent {
		from.trail = append(from.trail, trailed{mark: each.Mark, seq: each.Seq, at: now.Add(-each.Age / 2)})
	}
	lantern.begin(now, from, effects)
}

// fanOutKept sends one copy to each destination daemon, and hands the message
// to this daemon's own subscribers.
func (lantern *Lantern) fanOutKept(now time.Time, state *spaceState, name string, record strand.Record, item *publication, effects *helm.Effects) {
	area := areaOf(state.space, record.Topic)
	carry := Carry{Strand: name, Record: record}
	spread := func(now time.Time, effects *helm.Effects, settled bool) {
		destinations := lantern.fairway.Destinations(state.name, area)
		lantern.spread(now, item, destinations, settled, carry, effects)
	}
	if _, followed := lantern.trackers[name]; followed {
		lantern.onCarry(now, carry, effects)
	}
	if lantern.fairway.Settled(state.name, area) {
		spread(now, effects, true)
		return
	}
	lantern.fairway.Publish(now, state.name, area, spread, effects)
}

func (lantern *Lantern) spread(now time.Time, item *publication, destinations []string, settled bool, message any, effects *helm.Effects) {
	for _, name := range destinations {
		if member, found := lantern.follower.Members[name]; found {
			lantern.Counts.CopiesOut++
			effects.Send(member.Address, message)
		}
	}
	lantern.ring.Record(now, item.visit.VisitName, soundings.MessageName(item.visit.Space, item.visit.Sender, item.visit.Seq),
		item.visit.Origin, "fanned-out", "destinations", destinations, "why", "subscriber list of the peer at the topic's area", "settled", settled)
}

// Passing messages.

func (lantern *Lantern) passOn(now time.Time, state *spaceState, from *sender, item *publication, effects *helm.Effects) {
	visit := item.visit
	if memory, known := from.recent[visit.Seq]; known {
		if memory.digest != strand.Digest(visit.Topic, visit.Data) {
			lantern.finish(now, item, refused(409, "seq-reused", "this seq was used for another message", 0), effects)
			return
		}
		lantern.finish(now, item, accepted(map[string]any{"again": true}), effects)
		return
	}
	if visit.Seq <= from.lastSeq && now.Sub(from.arrived) > seqMemory {
		lantern.finish(now, item, refused(409, "old-seq", "this seq is not above the sender's newest", 0), effects)
		return
	}
	// A sender that came here a moment ago may send again what another lantern
	// passed on. It is passed on once more, and whoever had it, or a later one,
	// lets it fall.
	area := areaOf(state.space, visit.Topic)
	lantern.fairway.Publish(now, state.name, area, func(now time.Time, effects *helm.Effects, settled bool) {
		if item.answered {
			return
		}
		if !settled {
			lantern.finish(now, item, refused(503, "no-neighbours", "the overlay is being mended", comeBackSoon), effects)
			return
		}
		if visit.Seq > from.lastSeq+1 {
			from.arrived = now
		}
		from.lastSeq = max(from.lastSeq, visit.Seq)
		from.recent[visit.Seq] = sentMemory{digest: strand.Digest(visit.Topic, visit.Data), at: now}
		for seq, memory := range from.recent {
			if now.Sub(memory.at) > seqMemory {
				delete(from.recent, seq)
			}
		}
		message := Pass{Space: state.name, Topic: visit.Topic, Sender: visit.Sender, Seq: visit.Seq, Data: visit.Data}
		state.remember(now, message, true)
		lantern.passHere(now, state, message, effects)
		lantern.spread(now, item, lantern.fairway.Destinations(state.name, area), true, message, effects)
		lantern.finish(now, item, accepted(map[string]any{"again": false}), effects)
	}, effects)
}

// limits resends appends that stayed without an answer and gives up on those
// whose time is up.
func (lantern *Lantern) limits(now time.Time, effects *helm.Effects) {
	var next time.Time
	for id, asked := range helm.Sorted(lantern.recalls) {
		if !asked.limit.After(now) {
			delete(lantern.recalls, id)
		} else {
			next = helm.Earliest(next, asked.limit)
		}
	}
	for _, item := range helm.Sorted(lantern.appends) {
		from, known := lantern.senders[item.key]
		if known && item.limit.After(now) && !item.sentAt.Add(appendRetry).After(now) {
			lantern.sendAppend(now, from, item, effects)
		}
		if item.limit.After(now) {
			next = helm.Earliest(next, item.sentAt.Add(appendRetry), item.limit)
		}
	}
	for _, from := range lantern.sortedSenders() {
		for len(from.queue) > 0 && !from.queue[0].limit.After(now) {
			item := from.queue[0]
			if helm.Mutated("refuse-what-is-open") {
				lantern.finish(now, item, refused(503, "no-answer", "", 0), effects)
			} else if len(item.open) > 0 {
				lantern.finish(now, item, unsettled("no-answer", "the keeper did not answer; send the same seq again", comeBackLater), effects)
			} else {
				lantern.finish(now, item, refused(503, "no-answer", "the message was not kept", comeBackLater), effects)
			}
		}
		if len(from.queue) > 0 {
			next = helm.Earliest(next, from.queue[0].limit)
		}
	}
	for id, fetch := range helm.Sorted(lantern.fetches) {
		next = helm.Earliest(next, lantern.tendFetch(now, id, fetch, effects))
	}
	if !next.IsZero() {
		lantern.timers.ArmSooner("limits", next)
	}
}

func (lantern *Lantern) sortedSenders() func(yield func(senderKey, *sender) bool) {
	return func(yield func(senderKey, *sender) bool) {
		byName := map[string]senderKey{}
		for key, from := range lantern.senders {
			if len(from.queue) > 0 {
				byName[key.space+" "+key.sender] = key
			}
		}
		for _, key := range helm.Sorted(byName) {
			if from, found := lantern.senders[key]; found && !yield(key, from) {
				return
			}
		}
	}
}
