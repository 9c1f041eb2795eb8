// Routed topics. A topic that a route leads to a space keeps one order of its
// own, which the shared strand it lies in gives. So a subscription needs no more
// than the newest offset that it has: what comes next names the topic's message
// before it, and whatever is missing is fetched from the strand's first, for all
// who lack it at once. The first also tells which topics moved, so that a lost
// last message shows. Passing topics take the same order and keep nothing: what
// does not come in time is passed over.
package lamp

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dahlialock/internal/chart"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/strand"
)

const (
	routedPlane     = chart.SharedSpace
	placeMark       = "t"
	headGrace       = 120 * time.Millisecond
	passingGap      = 50 * time.Millisecond
	passingReach    = 300 * time.Millisecond
	recentRecords   = 32
	recentBytes     = 32 << 10
	topicFetchRetry = 200 * time.Millisecond
	topicHeldMost   = 4096
)

// topic is a routed topic as this lantern follows it for its channels. Once it
// is live, all of it up to last was handed over to every place that is filled.
type topic struct {
	name       string
	number     uint64
	strand     string
	space      string
	kept       bool
	places     []*place
	told       int
	live       bool
	last       uint64
	held       []strand.Record
	heldAt     time.Time
	recent     []strand.Record
	recentSize int
	recentFrom uint64
	wanted     uint64
	checkAt    time.Time
	fetch      uint64
}

// place is one channel's subscription to a topic, and how far it was handed over.
type place struct {
	topic   *topic
	channel uint64
	index   int
	upTo    uint64
	resumes bool
	filling bool
	visit   Subscribe
	limit   time.Time
}

type topicFetch struct {
	topic  *topic
	after  uint64
	sentAt time.Time
}

// routed is all that a lantern holds of routed topics.
type routed struct {
	topics  map[string]*topic
	numbers map[uint64]*topic
	strands map[string]int
	// told is how far each strand's first told this lantern what moved.
	told    map[string]uint64
	fetches map[uint64]*topicFetch
	appends map[uint64]*routedPublication
	sends   map[uint64]*routedPublication
	// accepted is when a publication of this lantern's callers was accepted.
	accepted map[routedKey]time.Time
	// busy are the topics with something that waits for a moment to come.
	busy map[string]*topic
}

func newRouted() *routed {
	return &routed{
		topics: map[string]*topic{}, numbers: map[uint64]*topic{}, strands: map[string]int{}, told: map[string]uint64{},
		fetches: map[uint64]*topicFetch{}, appends: map[uint64]*routedPublication{}, sends: map[uint64]*routedPublication{}, accepted: map[routedKey]time.Time{}, busy: map[string]*topic{},
	}
}

// placeText is a topic's cursor: the offset of the message before it.
func placeText(offset uint64) string {
	if helm.Mutated("place-skips-one") {
		offset++
	}
	return placeMark + strconv.FormatUint(offset, 36)
}

func readPlace(text string) (uint64, bool) {
	if len(text) < 2 || text[:1] != placeMark {
		return 0, false
	}
	offset, fault := strconv.ParseUint(text[1:], 36, 63)
	return offset, fault == nil
}

// routedTopic tells whether a visit goes to a routed topic.
func (lantern *Lantern) routedTopic(space string) bool {
	if space == "" {
		return true
	}
	state, found := lantern.spaces[space]
	return found && state.space.Order == chart.OrderTopic
}

// routeOf names the space of a routed topic; a visit that names another space
// than the routes do goes nowhere.
func (lantern *Lantern) routeOf(space, name string) string {
	target, found := lantern.config.Route(name)
	if !found || space != "" && space != target {
		return ""
	}
	return target
}

// Subscribing.

func (lantern *Lantern) subscribeRouted(now time.Time, visit Subscribe, looked bool, effects *helm.Effects) {
	answer := func(returned Answer) { lantern.answerSubscribe(now, visit, returned, effects) }
	channel, found := lantern.channels[visit.Channel]
	switch {
	case !found || channel.origin != visit.Origin:
		answer(refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	case len(visit.Interests) != 1 || visit.Interests[0].Wide:
		answer(refused(400, "one-topic", "routed topics are subscribed to one by one", 0))
		return
	}
	channel.pongAt = now
	if !channel.movedAt.IsZero() {
		answer(refused(409, "moved", "this channel was asked to move", comeBackSoon))
		return
	}
	name := visit.Interests[0].Path
	interest := Interest{Space: lantern.routeOf(visit.Interests[0].Space, name), Path: name}
	judged := &Judged{Kind: "subscribe", Origin: visit.Origin, Paths: []Interest{interest}, Looked: looked, Routed: true}
	retry := func(now time.Time, effects *helm.Effects) { lantern.subscribeRouted(now, visit, true, effects) }
	if !lantern.judge(now, judged, visit.VisitName, retry, answer) {
		return
	}
	if present, subscribed := channel.routed[name]; subscribed {
		if present.filling {
			answer(refused(409, "underway", "this subscription is being taken up", comeBackSoon))
			return
		}
		lantern.answerPlace(now, present, visit, placeText(present.upTo), effects)
		return
	}
	if len(channel.routed)+len(channel.subscriptions) >= lantern.config.SubscriptionsEach {
		answer(refused(429, "too-many-subscriptions", "the channel holds all the subscriptions it may", 0))
		return
	}
	taken := &place{channel: visit.Channel, filling: true, visit: visit, limit: now.Add(lantern.subscribePatience)}
	if visit.Cursor != "" && visit.Cursor != "-" {
		offset, fit := readPlace(visit.Cursor)
		if !fit {
			answer(refused(400, "bad-cursor", "the cursor is not one of this fleet's", 0))
			return
		}
		taken.upTo, taken.resumes = offset, true
	}
	followed := lantern.addPlace(now, name, interest.Space, taken, effects)
	channel.routed[name] = taken
	if !followed.kept {
		lantern.fairway.Reach(now, routedPlane, name, func(now time.Time, effects *helm.Effects, _ bool) {
			lantern.fillPassing(now, taken, effects)
		}, effects)
		if taken.filling {
			taken.limit = now.Add(passingReach)
			lantern.mind(followed, taken.limit)
		}
		return
	}
	if !lantern.fill(now, taken, effects) {
		lantern.mind(followed, taken.limit)
		lantern.fetchTopic(now, followed, effects)
	}
}

// patienceOf is how long a subscription may look for its place under a
// configuration.
func patienceOf(config chart.Configuration) time.Duration {
	longest := time.Second
	for _, space := range config.Spaces {
		longest = max(longest, space.AnswerWithin)
	}
	return min(longest*6/10, subscribeLimit)
}

func (lantern *Lantern) addPlace(now time.Time, name, space string, taken *place, effects *helm.Effects) *topic {
	followed, found := lantern.routed.topics[name]
	if !found {
		followed = &topic{
			name: name, number: chart.TopicNumber(name), strand: chart.SharedStrand(name), space: space,
			kept: lantern.spaces[space].space.Promise == chart.Kept,
		}
		lantern.routed.topics[name] = followed
		lantern.routed.numbers[followed.number] = followed
		if followed.kept {
			if lantern.routed.strands[followed.strand]++; lantern.routed.strands[followed.strand] == 1 {
				lantern.timers.ArmSooner("follow", now.Add(holeAfter))
			}
		}
	}
	taken.topic, taken.index = followed, len(followed.places)
	followed.places = append(followed.places, taken)
	lantern.tellCount(now, followed, effects)
	return followed
}

// tellCount lets the overlay know how many origins here subscribe to a topic.
func (lantern *Lantern) tellCount(now time.Time, followed *topic, effects *helm.Effects) {
	if count := len(followed.places); count != followed.told {
		followed.told = count
		lantern.fairway.Tell(now, routedPlane, followed.name, count, effects)
	}
}

// dropPlace ends a channel's subscription to a routed topic.
func (lantern *Lantern) dropPlace(now time.Time, channel *channel, name string, effects *helm.Effects) {
	gone, found := channel.routed[name]
	if !found {
		return
	}
	delete(channel.routed, name)
	followed := gone.topic
	last := followed.places[len(followed.places)-1]
	followed.places[gone.index], last.index = last, gone.index
	followed.places = followed.places[:len(followed.places)-1]
	lantern.tellCount(now, followed, effects)
	if len(followed.places) > 0 {
		return
	}
	delete(lantern.routed.topics, name)
	delete(lantern.routed.numbers, followed.number)
	delete(lantern.routed.busy, name)
	delete(lantern.routed.fetches, followed.fetch)
	if followed.kept {
		if lantern.routed.strands[followed.strand]--; lantern.routed.strands[followed.strand] == 0 {
			delete(lantern.routed.strands, followed.strand)
			delete(lantern.routed.told, followed.strand)
		}
	}
}

func (lantern *Lantern) dropRouted(now time.Time, channel *channel, effects *helm.Effects) {
	for name := range helm.Sorted(channel.routed) {
		lantern.dropPlace(now, channel, name, effects)
	}
}

// supersede takes the routed subscriptions of an origin's older channels away:
// its newest channel is the one.
func (lantern *Lantern) supersede(now time.Time, origin string, newest uint64, effects *helm.Effects) {
	if earlier, found := lantern.newest[origin]; found && earlier != newest {
		if channel, open := lantern.channels[earlier]; open {
			lantern.dropRouted(now, channel, effects)
		}
	}
	lantern.newest[origin] = newest
}

// fillPassing ends the taking up of a passing topic.
func (lantern *Lantern) fillPassing(now time.Time, taken *place, effects *helm.Effects) {
	if !taken.filling {
		return
	}
	if channel, open := lantern.channels[taken.channel]; !open || channel.routed[taken.topic.name] != taken {
		return
	}
	taken.filling = false
	taken.topic.live = true
	if !taken.resumes {
		taken.upTo = taken.topic.last
	}
	lantern.answerPlace(now, taken, taken.visit, placeText(taken.upTo), effects)
	for _, record := range taken.topic.recent {
		lantern.handRouted(now, taken, record, effects)
	}
}

// fill ends the taking up of a kept topic where this lantern has all that the
// place lacks, and tells whether it does.
func (lantern *Lantern) fill(now time.Time, taken *place, effects *helm.Effects) bool {
	followed := taken.topic
	if told, known := lantern.routed.told[followed.strand]; known && !followed.live && !taken.resumes && followed.fetch == 0 {
		// Who begins here may begin where the first last told that the strand
		// was: what moves after that will be told.
		followed.live = true
		followed.last, followed.recentFrom = told, told
		lantern.release(now, followed, effects)
	}
	if !followed.live || taken.resumes && taken.upTo < followed.recentFrom && taken.upTo < followed.last {
		return false
	}
	taken.filling = false
	from := taken.upTo
	if !taken.resumes {
		from = followed.last
		taken.upTo = from
	}
	if taken.visit.Visit != 0 {
		lantern.answerPlace(now, taken, taken.visit, placeText(from), effects)
	}
	for _, record := range followed.recent {
		lantern.handRouted(now, taken, record, effects)
	}
	return true
}

func (lantern *Lantern) answerPlace(now time.Time, taken *place, visit Subscribe, cursor string, effects *helm.Effects) {
	returned := accepted(nil)
	returned.Cursor = cursor
	lantern.answerSubscribe(now, visit, returned, effects)
}

func (lantern *Lantern) unsubscribeRouted(now time.Time, visit Unsubscribe, effects *helm.Effects) {
	channel, found := lantern.channels[visit.Channel]
	if !found || channel.origin != visit.Origin {
		effects.Return(visit.Visit, refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	channel.pongAt = now
	for _, interest := range visit.Interests {
		if taken, present := channel.routed[interest.Path]; present && taken.filling && taken.visit.Visit != 0 {
			lantern.answerSubscribe(now, taken.visit, refused(409, "unsubscribed", "the subscription was ended before it was taken up", comeBackSoon), effects)
		}
		lantern.dropPlace(now, channel, interest.Path, effects)
	}
	effects.Return(visit.Visit, accepted(nil))
}

// count tells how many origins subscribe to a topic, over all lanterns, from
// what the overlay's peers tell each other.
func (lantern *Lantern) count(now time.Time, visit Count, looked bool, effects *helm.Effects) {
	lantern.Counts.Visits++
	if channel, found := lantern.channels[visit.Channel]; found {
		channel.pongAt = now
	}
	judged := &Judged{
		Kind: "count", Origin: visit.Origin, Paths: []Interest{{Space: lantern.routeOf("", visit.Topic), Path: visit.Topic}}, Looked: looked, Routed: true,
	}
	retry := func(now time.Time, effects *helm.Effects) { lantern.count(now, visit, true, effects) }
	answer := func(returned Answer) { effects.Return(visit.Visit, returned) }
	if !lantern.judge(now, judged, visit.VisitName, retry, answer) {
		return
	}
	lantern.fairway.Reach(now, routedPlane, visit.Topic, func(_ time.Time, effects *helm.Effects, _ bool) {
		returned := accepted(nil)
		returned.Number = lantern.fairway.Presence(routedPlane, visit.Topic)
		if followed, found := lantern.routed.topics[visit.Topic]; found {
			returned.Number += len(followed.places)
		}
		effects.Return(visit.Visit, returned)
	}, effects)
}

// Handing over.

// handRouted gives a message to a place that is filled and lacks it.
func (lantern *Lantern) handRouted(now time.Time, taken *place, record strand.Record, effects *helm.Effects) {
	if taken.filling || record.Offset <= taken.upTo && (taken.topic.kept || !helm.Mutated("no-passing-offsets")) {
		return
	}
	channel, open := lantern.channels[taken.channel]
	if !open || !channel.movedAt.IsZero() {
		return
	}
	taken.upTo = record.Offset
	lantern.Counts.Delivered++
	lantern.emit(taken.channel, Event{
		Event: "message", Space: taken.topic.space, Topic: record.Topic, Sender: record.Sender, Seq: record.Seq, Body: record.Data,
		Cursor: placeText(record.Offset),
	}, effects)
}

// process hands the topic's next message to everybody here.
func (lantern *Lantern) process(now time.Time, followed *topic, record strand.Record, effects *helm.Effects) {
	followed.last = record.Offset
	followed.recent = append(followed.recent, record)
	followed.recentSize += len(record.Data)
	for len(followed.recent) > 1 && (len(followed.recent) > recentRecords || followed.recentSize > recentBytes) {
		followed.recentFrom = followed.recent[0].Offset
		followed.recentSize -= len(followed.recent[0].Data)
		followed.recent = followed.recent[1:]
	}
	for _, taken := range followed.places {
		lantern.handRouted(now, taken, record, effects)
	}
}

// onRouted takes a message of a routed topic, and tells whether anybody here
// wants it.
func (lantern *Lantern) onRouted(now time.Time, record strand.Record, effects *helm.Effects) bool {
	followed, found := lantern.routed.topics[record.Topic]
	if !found {
		return false
	}
	if followed.live && record.Offset <= followed.last && (followed.kept || !helm.Mutated("no-passing-offsets")) {
		return true
	}
	follows := helm.Mutated("no-topic-prior") || record.Prior <= followed.last || !followed.kept && followed.last == 0
	if followed.live && follows {
		lantern.process(now, followed, record, effects)
		lantern.release(now, followed, effects)
		return true
	}
	position, held := slices.BinarySearchFunc(followed.held, record.Offset, func(each strand.Record, offset uint64) int { return cmp.Compare(each.Offset, offset) })
	if held || len(followed.held) >= topicHeldMost {
		return true
	}
	if len(followed.held) == 0 {
		followed.heldAt = now
	}
	followed.held = slices.Insert(followed.held, position, record)
	if !followed.live {
		return true
	}
	lantern.Counts.Holes++
	effects.Note(foghorn.HoleFound, "strand", followed.strand, "offset", record.Offset, "prior", record.Prior)
	if followed.kept {
		lantern.want(now, followed, record.Prior, holeAfter)
	} else {
		lantern.mind(followed, now.Add(passingGap))
	}
	return true
}

// release hands over what was held for something that has come.
func (lantern *Lantern) release(now time.Time, followed *topic, effects *helm.Effects) {
	for len(followed.held) > 0 {
		next := followed.held[0]
		if next.Offset > followed.last && next.Prior > followed.last {
			return
		}
		followed.held = followed.held[1:]
		followed.heldAt = now
		if next.Offset > followed.last {
			lantern.process(now, followed, next, effects)
		}
	}
	followed.held = nil
}

// want notes that a topic has more than was handed over; unless it comes by
// itself in a moment, it is fetched.
func (lantern *Lantern) want(now time.Time, followed *topic, offset uint64, grace time.Duration) {
	if offset <= followed.wanted && offset <= followed.last {
		return
	}
	followed.wanted = max(followed.wanted, offset)
	at := now.Add(grace)
	if followed.checkAt.IsZero() || at.Before(followed.checkAt) {
		followed.checkAt = at
	}
	lantern.mind(followed, followed.checkAt)
}

// mind notes that a topic wants to be looked at.
func (lantern *Lantern) mind(followed *topic, at time.Time) {
	lantern.routed.busy[followed.name] = followed
	lantern.timers.ArmSooner("routed", at)
}

// Fetching.

// fetchTopic asks the strand's first for all that anybody here lacks of a topic.
func (lantern *Lantern) fetchTopic(now time.Time, followed *topic, effects *helm.Effects) {
	if followed.fetch != 0 {
		return
	}
	after := uint64(everything)
	if followed.live && followed.wanted > followed.last {
		after = followed.last
	}
	for _, taken := range followed.places {
		if taken.filling && taken.resumes {
			after = min(after, taken.upTo)
		}
	}
	lantern.nextVisit++
	followed.fetch = lantern.nextVisit
	asked := &topicFetch{topic: followed, after: after}
	lantern.routed.fetches[followed.fetch] = asked
	lantern.sendFetch(now, followed.fetch, asked, effects)
}

func (lantern *Lantern) sendFetch(now time.Time, id uint64, asked *topicFetch, effects *helm.Effects) {
	asked.sentAt = now
	lantern.mind(asked.topic, now.Add(topicFetchRetry))
	address, _, found := lantern.firstOf(asked.topic.strand)
	if !found {
		lantern.follower.Hurry(now)
		return
	}
	lantern.Counts.Fetches++
	effects.Send(address, strand.Fetch{Strand: asked.topic.strand, Visit: id, After: asked.after, Topics: []string{asked.topic.name}})
}

func (lantern *Lantern) onTopicFetched(now time.Time, asked *topicFetch, returned strand.FetchReturn, effects *helm.Effects) {
	followed := asked.topic
	placement, placed := lantern.follower.Places[returned.Strand]
	if !returned.Ready || !placed || returned.Epoch < placement.Epoch {
		lantern.follower.Hurry(now)
		return
	}
	delete(lantern.routed.fetches, returned.Visit)
	followed.fetch = 0
	if returned.Gone {
		lantern.losePlaces(now, followed, asked.after, effects)
		lantern.tendTopic(now, followed, effects)
		return
	}
	until := returned.Until
	if asked.after == everything {
		until = returned.Head
	}
	if len(returned.Records) > 0 {
		effects.Note(foghorn.HoleFilled, "strand", followed.strand, "records", len(returned.Records), "until", until)
	}
	if !followed.live {
		followed.live = true
		followed.last, followed.recentFrom = until, until
		if asked.after != everything {
			followed.last, followed.recentFrom = asked.after, asked.after
		}
	}
	if asked.after != everything && asked.after <= followed.last {
		for _, record := range returned.Records {
			if record.Offset > followed.last {
				lantern.process(now, followed, record, effects)
			}
		}
		followed.last = max(followed.last, until)
	}
	for _, taken := range slices.Clone(followed.places) {
		if !taken.filling {
			continue
		}
		if taken.resumes && asked.after <= taken.upTo && taken.upTo < until {
			lantern.beginPlace(now, taken, effects)
			for _, record := range returned.Records {
				lantern.passTo(now, taken, record, effects)
			}
			taken.upTo = max(taken.upTo, until)
		}
		lantern.fill(now, taken, effects)
	}
	lantern.release(now, followed, effects)
	if until < returned.Head {
		// One answer did not hold all.
		lantern.want(now, followed, returned.Head, 0)
	}
	lantern.tendTopic(now, followed, effects)
}

// beginPlace answers a subscription whose missed messages are about to come.
func (lantern *Lantern) beginPlace(now time.Time, taken *place, effects *helm.Effects) {
	if taken.visit.Visit == 0 {
		return
	}
	lantern.answerPlace(now, taken, taken.visit, placeText(taken.upTo), effects)
	taken.visit.Visit = 0
}

// passTo gives a missed message to a place that is being filled.
func (lantern *Lantern) passTo(now time.Time, taken *place, record strand.Record, effects *helm.Effects) {
	taken.filling = false
	lantern.handRouted(now, taken, record, effects)
	taken.filling = true
}

// losePlaces refuses the places from which something is no longer held.
func (lantern *Lantern) losePlaces(now time.Time, followed *topic, after uint64, effects *helm.Effects) {
	for _, taken := range slices.Clone(followed.places) {
		if taken.filling && taken.resumes && taken.upTo <= after {
			lantern.refusePlace(now, taken, refused(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0), effects)
		}
	}
}

// refusePlace refuses a subscription. One that was confirmed before can't be
// refused any more: its caller is cut off instead, and asks again.
func (lantern *Lantern) refusePlace(now time.Time, taken *place, returned Answer, effects *helm.Effects) {
	if channel, open := lantern.channels[taken.channel]; open && taken.visit.Visit == 0 && returned.Code == "place-lost" {
		lantern.emitLast(now, taken.channel, channel, returned.Code, effects)
		lantern.closeChannel(now, CloseChannel{Channel: taken.channel, Why: returned.Code}, effects)
	} else if open {
		lantern.dropPlace(now, channel, taken.topic.name, effects)
	}
	if taken.visit.Visit != 0 {
		lantern.answerSubscribe(now, taken.visit, returned, effects)
	}
}

// tendRouted looks at the topics with something that waits.
func (lantern *Lantern) tendRouted(now time.Time, effects *helm.Effects) {
	for _, followed := range helm.Sorted(lantern.routed.busy) {
		lantern.tendTopic(now, followed, effects)
	}
	lantern.tendPublications(now, effects)
}

// tendTopic does what is due for a topic and notes when it is to be looked at
// again.
func (lantern *Lantern) tendTopic(now time.Time, followed *topic, effects *helm.Effects) {
	delete(lantern.routed.busy, followed.name)
	if lantern.routed.topics[followed.name] != followed {
		return
	}
	var next time.Time
	filling := false
	for _, taken := range slices.Clone(followed.places) {
		switch {
		case !taken.filling:
		case !taken.limit.After(now) && !followed.kept:
			lantern.fillPassing(now, taken, effects)
		case !taken.limit.After(now) && taken.visit.Visit == 0:
			// It was confirmed, and some of what it missed has come: the rest is
			// fetched however long that takes.
			filling = true
		case !taken.limit.After(now):
			lantern.refusePlace(now, taken, refused(503, "no-answer", "the place could not be found in time; nothing is subscribed", comeBackSoon), effects)
		default:
			filling = filling || followed.kept
			next = helm.Earliest(next, taken.limit)
		}
	}
	if !followed.kept {
		if len(followed.held) > 0 && !followed.heldAt.Add(passingGap).After(now) {
			followed.last = max(followed.last, followed.held[0].Prior)
			lantern.release(now, followed, effects)
		}
		if len(followed.held) > 0 {
			next = helm.Earliest(next, followed.heldAt.Add(passingGap))
		}
	} else {
		if followed.wanted <= followed.last {
			followed.checkAt = time.Time{}
		}
		due := !followed.checkAt.IsZero() && !followed.checkAt.After(now)
		if asked, running := lantern.routed.fetches[followed.fetch]; running {
			if !asked.sentAt.Add(topicFetchRetry).After(now) {
				lantern.sendFetch(now, followed.fetch, asked, effects)
			}
			next = helm.Earliest(next, asked.sentAt.Add(topicFetchRetry))
		} else if filling || due {
			followed.checkAt = time.Time{}
			lantern.fetchTopic(now, followed, effects)
			next = helm.Earliest(next, now.Add(topicFetchRetry))
		} else {
			next = helm.Earliest(next, followed.checkAt)
		}
	}
	if !next.IsZero() && lantern.routed.topics[followed.name] == followed {
		lantern.mind(followed, next)
	}
}

// Heads.

// onTopicHeads takes which topics of a shared strand moved.
func (lantern *Lantern) onTopicHeads(now time.Time, head strand.Head, effects *helm.Effects) {
	if _, used := lantern.routed.strands[head.Strand]; !used || helm.Mutated("no-topic-heads") || head.Epoch < lantern.follower.Places[head.Strand].Epoch {
		return
	}
	told := lantern.routed.told[head.Strand]
	for _, each := range head.Topics {
		if followed, found := lantern.routed.numbers[each.Topic]; found && followed.kept && followed.live && each.Offset > followed.last {
			lantern.want(now, followed, each.Offset, headGrace)
		}
	}
	if head.From > told {
		// Something was told that did not come.
		lantern.timers.ArmSooner("follow", now)
		return
	}
	lantern.routed.told[head.Strand] = max(told, head.Offset)
}

// rerouteAll puts changed routes in force: what leads elsewhere now, or nowhere,
// ends.
func (lantern *Lantern) rerouteAll(now time.Time, effects *helm.Effects) {
	for name, followed := range helm.Sorted(lantern.routed.topics) {
		space := lantern.routeOf("", name)
		state, present := lantern.spaces[space]
		if present && (state.space.Promise == chart.Kept) == followed.kept {
			followed.space = space
			continue
		}
		for _, taken := range slices.Clone(followed.places) {
			if taken.filling {
				lantern.refusePlace(now, taken, refused(404, "no-such-space", "the space was removed", 0), effects)
				continue
			}
			if channel, open := lantern.channels[taken.channel]; open {
				lantern.dropPlace(now, channel, name, effects)
				lantern.emit(taken.channel, Event{Event: "ended", Space: followed.space, Topic: name, Code: "space-removed"}, effects)
			}
		}
	}
}
