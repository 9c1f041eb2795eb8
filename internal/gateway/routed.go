// Routed topics. A topic that a route leads to a space keeps one order of its
// own, which the shared partition it lies in gives. So a subscription needs no more
// than the newest offset that it has: what comes next names the topic's message
// before it, and whatever is missing is fetched from the partition's first, for all
// who lack it at once. The first also tells which topics moved, so that a lost
// last message shows. Passing topics take the same order and keep nothing: what
// does not come in time is passed over.

package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/logevent"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	routedPlane   = config.SharedSpace
	placeMark     = "t"
	headGrace     = 120 * time.Millisecond
	passingGap    = 50 * time.Millisecond
	passingReach  = 300 * time.Millisecond
	recentRecords = 32
	recentBytes   = 32 << 10
	// backlogBytes bounds the recent records of a topic that was just caught up.
	backlogBytes = 256 << 10
	// topicFetchRetry is how long to wait before a store is asked again that does not
	// serve the topic's partition.
	topicFetchRetry = 200 * time.Millisecond
	// retryDoubles is how often the wait for a store's answer doubles: one that is
	// late because a link is full must not be asked for again and again.
	retryDoubles  = 3
	topicHeldMost = 4096
)

// topic is a routed topic as this gateway follows it for its channels. Once it
// is live, all of it up to last was handed over to every place that is filled.
type topic struct {
	name      string
	number    uint64
	partition string
	space     string
	kept      bool
	places    []*place
	told      int
	live      bool
	last      uint64
	held      []partition.Record
	heldAt    time.Time
	// queued is set while it waits for a batch to its store, fetch while it is in one.
	queued bool
	fetch  *topicFetch
	// recent are the newest records, all after recentFrom; until recentUntil they
	// are kept beyond the usual bounds.
	recent      []partition.Record
	recentSize  int
	recentFrom  uint64
	recentUntil time.Time
	wanted      uint64
	checkAt     time.Time
	// left is how many bytes of its records are known to lack here.
	left int
	// reservedAfter is the lowest cursor of subscriptions that were refused without
	// an answer of the store, and keep their turn until reservedUntil.
	reservedAfter uint64
	reservedUntil time.Time
}

// place is one channel's subscription to a topic, and how far it was handed over.
type place struct {
	topic   *topic
	channel uint64
	index   int
	upTo    uint64
	resumes bool
	filling bool
	request Subscribe
	limit   time.Time
}

// routed is all that a gateway holds of routed topics.
type routed struct {
	topics     map[string]*topic
	numbers    map[uint64]*topic
	partitions map[string]int
	// told is how far each partition's first told this gateway what moved. It begins
	// with the first topic that is fetched from there: what moved before that is of
	// no use here, and is not asked for.
	told map[string]uint64
	// followed is how heads were last asked for.
	followed map[string]way
	// bases are the offsets above which partitions held all when last heard of.
	bases map[string]uint64
	// batches are what was asked of stores, underway names the one to each store, and
	// queue holds the topics that wait for the next.
	batches  map[uint64]*batch
	underway map[string]uint64
	queue    []*topic
	appends  map[uint64]*routedPublication
	sends    map[uint64]*routedPublication
	// accepted is when a publication of this gateway's callers was accepted.
	accepted map[routedKey]time.Time
	// busy are the topics with something that waits for a moment to come.
	busy map[string]*topic
}

func newRouted() *routed {
	return &routed{
		topics: map[string]*topic{}, numbers: map[uint64]*topic{}, partitions: map[string]int{}, told: map[string]uint64{}, followed: map[string]way{}, bases: map[string]uint64{},
		batches: map[uint64]*batch{}, underway: map[string]uint64{}, appends: map[uint64]*routedPublication{}, sends: map[uint64]*routedPublication{}, accepted: map[routedKey]time.Time{}, busy: map[string]*topic{},
	}
}

// placeText is a topic's cursor: the offset of the message before it.
func placeText(offset uint64) string {
	if statemachine.Mutated("place-skips-one") {
		offset++
	}
	return placeMark + strconv.FormatUint(offset, 36)
}

func readPlace(text string) (uint64, bool) {
	if len(text) < 2 || text[:1] != placeMark {
		return 0, false
	}
	offset, err := strconv.ParseUint(text[1:], 36, 63)
	return offset, err == nil
}

// routedTopic tells whether a request goes to a routed topic.
func (g *Gateway) routedTopic(space string) bool {
	if space == "" {
		return true
	}
	state, found := g.spaces[space]
	return found && state.space.Order == config.OrderTopic
}

// routeOf names the space of a routed topic; a request that names another space
// than the routes do goes nowhere.
func (g *Gateway) routeOf(space, name string) string {
	target, found := g.config.Route(name)
	if !found || space != "" && space != target {
		return ""
	}
	return target
}

// Subscribing.

func (g *Gateway) subscribeRouted(now time.Time, request Subscribe, looked bool, effects *statemachine.Effects) {
	answer := func(returned Answer) { g.answerSubscribe(now, request, returned, effects) }
	channel, found := g.channels[request.Channel]
	switch {
	case !found || channel.origin != request.Origin:
		answer(refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	case len(request.Interests) != 1 || request.Interests[0].Wide:
		answer(refused(400, "one-topic", "routed topics are subscribed to one by one", 0))
		return
	}
	channel.pongAt = now
	if !channel.movedAt.IsZero() {
		answer(refused(409, "moved", "this channel was asked to move", comeBackSoon))
		return
	}
	name := request.Interests[0].Path
	interest := Interest{Space: g.routeOf(request.Interests[0].Space, name), Path: name}
	judged := &Judged{Kind: "subscribe", Origin: request.Origin, Paths: []Interest{interest}, Looked: looked, Routed: true}
	retry := func(now time.Time, effects *statemachine.Effects) {
		g.subscribeRouted(now, request, true, effects)
	}
	if !g.judge(now, judged, request.RequestName, retry, answer) {
		return
	}
	if present, subscribed := channel.routed[name]; subscribed {
		if present.filling {
			answer(refused(409, "underway", "this subscription is being taken up", comeBackSoon))
			return
		}
		g.answerPlace(now, present, request, placeText(present.upTo), effects)
		return
	}
	if len(channel.routed)+len(channel.subscriptions) >= g.config.SubscriptionsEach {
		answer(refused(429, "too-many-subscriptions", "the channel holds all the subscriptions it may", 0))
		return
	}
	taken := &place{channel: request.Channel, filling: true, request: request, limit: now.Add(g.subscribePatience)}
	if request.Cursor != "" && request.Cursor != "-" {
		offset, fit := readPlace(request.Cursor)
		if !fit {
			answer(refused(400, "bad-cursor", "the cursor is not one of this fleet's", 0))
			return
		}
		taken.upTo, taken.resumes = offset, true
	}
	followed := g.addPlace(now, name, interest.Space, taken, effects)
	channel.routed[name] = taken
	if !followed.kept {
		g.overlay.Reach(now, routedPlane, name, func(now time.Time, effects *statemachine.Effects, _ bool) {
			g.fillPassing(now, taken, effects)
		}, effects)
		if taken.filling {
			taken.limit = now.Add(passingReach)
			g.mind(followed, taken.limit)
		}
		return
	}
	if !g.fill(now, taken, effects) {
		if g.surelyHeld(followed, taken) {
			g.beginPlace(now, taken, effects)
			g.tellCount(now, followed, effects)
		}
		g.mind(followed, taken.limit)
		g.fetchTopic(now, followed, effects)
	}
}

// surelyHeld tells whether all that a place may lack is still held: then it is
// confirmed before that is fetched, which may take its time, and is not refused
// while the answer is on its way.
func (g *Gateway) surelyHeld(followed *topic, taken *place) bool {
	base, known := g.routed.bases[followed.partition]
	return known && taken.resumes && taken.upTo >= base && !statemachine.Mutated("places-confirmed-late")
}

// patienceOf is how long a subscription may look for its place under a
// configuration.
func patienceOf(config config.Configuration) time.Duration {
	longest := time.Second
	for _, space := range config.Spaces {
		longest = max(longest, space.AnswerWithin)
	}
	return min(longest*6/10, subscribeLimit)
}

func (g *Gateway) addPlace(now time.Time, name, space string, taken *place, effects *statemachine.Effects) *topic {
	followed, found := g.routed.topics[name]
	if !found {
		followed = &topic{
			name: name, number: config.TopicNumber(name), partition: config.SharedPartition(name), space: space,
			kept: g.spaces[space].space.Retention == config.Durable,
		}
		g.routed.topics[name] = followed
		g.routed.numbers[followed.number] = followed
		if followed.kept {
			g.routed.partitions[followed.partition]++
		}
	}
	if found && len(followed.places) == 0 && followed.wanted > followed.last {
		followed.checkAt = now
		g.mind(followed, now)
	}
	taken.topic, taken.index = followed, len(followed.places)
	followed.places = append(followed.places, taken)
	g.tellCount(now, followed, effects)
	return followed
}

// subscribers counts the origins here that subscribe to a topic. Who was not yet
// confirmed in a kept topic does not count: it may be refused and come again, and
// telling all others of that each time takes more of a link than its messages. A
// passing topic's messages are lost to whoever is not told of.
func (t *topic) subscribers() int {
	if !t.kept || statemachine.Mutated("waiting-counts") {
		return len(t.places)
	}
	count := 0
	for _, taken := range t.places {
		if !taken.filling || taken.request.Request == 0 {
			count++
		}
	}
	return count
}

// tellCount lets the overlay know how many origins here subscribe to a topic.
func (g *Gateway) tellCount(now time.Time, followed *topic, effects *statemachine.Effects) {
	if count := followed.subscribers(); count != followed.told {
		followed.told = count
		g.overlay.Tell(now, routedPlane, followed.name, count, effects)
	}
}

// dropPlace ends a channel's subscription to a routed topic.
func (g *Gateway) dropPlace(now time.Time, channel *channel, name string, effects *statemachine.Effects) {
	gone, found := channel.routed[name]
	if !found {
		return
	}
	delete(channel.routed, name)
	followed := gone.topic
	last := followed.places[len(followed.places)-1]
	followed.places[gone.index], last.index = last, gone.index
	followed.places = followed.places[:len(followed.places)-1]
	g.tellCount(now, followed, effects)
	if followed.reserved(now) {
		g.mind(followed, followed.reservedUntil)
		return
	}
	g.dropTopic(followed)
}

// dropTopic forgets a topic that nobody holds.
func (g *Gateway) dropTopic(followed *topic) {
	if len(followed.places) > 0 || g.routed.topics[followed.name] != followed {
		return
	}
	followed.fetch = nil
	delete(g.routed.topics, followed.name)
	delete(g.routed.numbers, followed.number)
	delete(g.routed.busy, followed.name)
	if followed.kept {
		if g.routed.partitions[followed.partition]--; g.routed.partitions[followed.partition] == 0 {
			delete(g.routed.partitions, followed.partition)
			delete(g.routed.told, followed.partition)
			delete(g.routed.followed, followed.partition)
		}
	}
}

func (g *Gateway) dropRouted(now time.Time, channel *channel, effects *statemachine.Effects) {
	for name := range statemachine.Sorted(channel.routed) {
		g.dropPlace(now, channel, name, effects)
	}
}

// supersede takes the routed subscriptions of an origin's older channels away:
// its newest channel is the one.
func (g *Gateway) supersede(now time.Time, origin string, newest uint64, effects *statemachine.Effects) {
	if earlier, found := g.newest[origin]; found && earlier != newest {
		if channel, open := g.channels[earlier]; open {
			g.dropRouted(now, channel, effects)
		}
	}
	g.newest[origin] = newest
}

// fillPassing ends the taking up of a passing topic.
func (g *Gateway) fillPassing(now time.Time, taken *place, effects *statemachine.Effects) {
	if !taken.filling {
		return
	}
	if channel, open := g.channels[taken.channel]; !open || channel.routed[taken.topic.name] != taken {
		return
	}
	taken.filling = false
	taken.topic.live = true
	if !taken.resumes {
		taken.upTo = taken.topic.last
	}
	g.answerPlace(now, taken, taken.request, placeText(taken.upTo), effects)
	for _, record := range taken.topic.recent {
		g.handRouted(now, taken, record, effects)
	}
}

// fill ends the taking up of a kept topic where this gateway has all that the
// place lacks, and tells whether it does.
func (g *Gateway) fill(now time.Time, taken *place, effects *statemachine.Effects) bool {
	followed := taken.topic
	if told, known := g.routed.told[followed.partition]; known && !followed.live && !taken.resumes && followed.fetch == nil {
		// Who begins here may begin where the first last told that the partition
		// was: what moves after that will be told.
		followed.live = true
		followed.last, followed.recentFrom = told, told
		g.release(now, followed, effects)
	}
	if !followed.live || taken.resumes && taken.upTo < followed.recentFrom && taken.upTo < followed.last {
		return false
	}
	taken.filling = false
	g.tellCount(now, followed, effects)
	from := taken.upTo
	if !taken.resumes {
		// What was told of as moved came before this subscription, though the topic
		// may not have caught up with it.
		from = max(followed.last, g.routed.told[followed.partition])
		taken.upTo = from
	}
	if taken.request.Request != 0 {
		g.answerPlace(now, taken, taken.request, placeText(from), effects)
	}
	for _, record := range followed.recent {
		g.handRouted(now, taken, record, effects)
	}
	return true
}

func (g *Gateway) answerPlace(now time.Time, _ *place, request Subscribe, cursor string, effects *statemachine.Effects) {
	returned := accepted(nil)
	returned.Cursor = cursor
	g.answerSubscribe(now, request, returned, effects)
}

func (g *Gateway) unsubscribeRouted(now time.Time, request Unsubscribe, effects *statemachine.Effects) {
	channel, found := g.channels[request.Channel]
	if !found || channel.origin != request.Origin {
		effects.Respond(request.Request, refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	channel.pongAt = now
	for _, interest := range request.Interests {
		if taken, present := channel.routed[interest.Path]; present && taken.filling && taken.request.Request != 0 {
			g.answerSubscribe(now, taken.request, refused(409, "unsubscribed", "the subscription was ended before it was taken up", comeBackSoon), effects)
		}
		g.dropPlace(now, channel, interest.Path, effects)
	}
	effects.Respond(request.Request, accepted(nil))
}

// count tells how many origins subscribe to a topic, over all gateways, from
// what the overlay's peers tell each other.
func (g *Gateway) count(now time.Time, request Count, looked bool, effects *statemachine.Effects) {
	g.Counts.Requests++
	if channel, found := g.channels[request.Channel]; found {
		channel.pongAt = now
	}
	judged := &Judged{
		Kind: "count", Origin: request.Origin, Paths: []Interest{{Space: g.routeOf("", request.Topic), Path: request.Topic}}, Looked: looked, Routed: true,
	}
	retry := func(now time.Time, effects *statemachine.Effects) { g.count(now, request, true, effects) }
	answer := func(returned Answer) { effects.Respond(request.Request, returned) }
	if !g.judge(now, judged, request.RequestName, retry, answer) {
		return
	}
	g.overlay.Reach(now, routedPlane, request.Topic, func(_ time.Time, effects *statemachine.Effects, _ bool) {
		returned := accepted(nil)
		returned.Number = g.overlay.Presence(routedPlane, request.Topic)
		if followed, found := g.routed.topics[request.Topic]; found {
			returned.Number += followed.subscribers()
		}
		effects.Respond(request.Request, returned)
	}, effects)
}

// Handing over.

// handRouted gives a message to a place that is filled and lacks it.
func (g *Gateway) handRouted(_ time.Time, taken *place, record partition.Record, effects *statemachine.Effects) {
	if taken.filling || record.Offset <= taken.upTo && (taken.topic.kept || !statemachine.Mutated("no-passing-offsets")) {
		return
	}
	channel, open := g.channels[taken.channel]
	if !open || !channel.movedAt.IsZero() {
		return
	}
	taken.upTo = record.Offset
	g.Counts.Delivered++
	g.emit(taken.channel, Event{
		Event: "message", Space: taken.topic.space, Topic: record.Topic, Sender: record.Sender, Seq: record.Seq, Body: record.Data,
		Cursor: placeText(record.Offset),
	}, effects)
}

// process hands the topic's next message to everybody here.
func (g *Gateway) process(now time.Time, followed *topic, record partition.Record, effects *statemachine.Effects) {
	followed.last = record.Offset
	followed.recent = append(followed.recent, record)
	followed.recentSize += len(record.Data)
	for len(followed.recent) > 1 && followed.tooMuchRecent(now) {
		followed.recentFrom = followed.recent[0].Offset
		followed.recentSize -= len(followed.recent[0].Data)
		followed.recent = followed.recent[1:]
	}
	for _, taken := range followed.places {
		g.handRouted(now, taken, record, effects)
	}
}

// tooMuchRecent tells whether the oldest of the recent records is to be let go.
func (t *topic) tooMuchRecent(now time.Time) bool {
	if t.recentUntil.After(now) {
		return t.recentSize > backlogBytes
	}
	return len(t.recent) > recentRecords || t.recentSize > recentBytes
}

// onRouted takes a message of a routed topic, and tells whether anybody here
// wants it.
func (g *Gateway) onRouted(now time.Time, record partition.Record, effects *statemachine.Effects) bool {
	followed, found := g.routed.topics[record.Topic]
	if !found {
		return false
	}
	if followed.live && record.Offset <= followed.last && (followed.kept || !statemachine.Mutated("no-passing-offsets")) {
		return true
	}
	follows := statemachine.Mutated("no-topic-prior") || record.PreviousInTopic <= followed.last || !followed.kept && followed.last == 0
	if followed.live && follows {
		g.process(now, followed, record, effects)
		g.release(now, followed, effects)
		return true
	}
	position, held := slices.BinarySearchFunc(followed.held, record.Offset, func(each partition.Record, offset uint64) int { return cmp.Compare(each.Offset, offset) })
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
	g.Counts.Holes++
	effects.Emit(logevent.GapFound, "partition", followed.partition, "offset", record.Offset, "prior", record.PreviousInTopic)
	if followed.kept {
		g.want(now, followed, record.PreviousInTopic, holeAfter)
	} else {
		g.mind(followed, now.Add(passingGap))
	}
	return true
}

// release hands over what was held for something that has come.
func (g *Gateway) release(now time.Time, followed *topic, effects *statemachine.Effects) {
	for len(followed.held) > 0 {
		next := followed.held[0]
		if next.Offset > followed.last && next.PreviousInTopic > followed.last {
			return
		}
		followed.held = followed.held[1:]
		followed.heldAt = now
		if next.Offset > followed.last {
			g.process(now, followed, next, effects)
		}
	}
	followed.held = nil
}

// want notes that a topic has more than was handed over; unless it comes by
// itself in a moment, it is fetched.
func (g *Gateway) want(now time.Time, followed *topic, offset uint64, grace time.Duration) {
	if offset <= followed.wanted && offset <= followed.last {
		return
	}
	followed.wanted = max(followed.wanted, offset)
	at := now.Add(grace)
	if followed.checkAt.IsZero() || at.Before(followed.checkAt) {
		followed.checkAt = at
	}
	g.mind(followed, followed.checkAt)
}

// mind notes that a topic wants to be looked at.
func (g *Gateway) mind(followed *topic, at time.Time) {
	g.routed.busy[followed.name] = followed
	g.timers.ArmSooner("routed", at)
}

// Fetching.

// beginTold lets a partition's first tell what moved after an offset up to which
// one of its topics is known here. What is told while further topics are fetched is
// noted for them too, so that nothing is to be told again for their sake.
func (g *Gateway) beginTold(now time.Time, name string, until uint64) {
	if _, begun := g.routed.told[name]; begun {
		return
	}
	g.routed.told[name] = until
	g.timers.ArmSooner("follow", now.Add(holeAfter))
}

// beginPlace answers a subscription whose missed messages are about to come.
func (g *Gateway) beginPlace(now time.Time, taken *place, effects *statemachine.Effects) {
	if taken.request.Request == 0 {
		return
	}
	g.answerPlace(now, taken, taken.request, placeText(taken.upTo), effects)
	taken.request.Request = 0
}

// passTo gives a missed message to a place that is being filled.
func (g *Gateway) passTo(now time.Time, taken *place, record partition.Record, effects *statemachine.Effects) {
	taken.filling = false
	g.handRouted(now, taken, record, effects)
	taken.filling = true
}

// losePlaces refuses the places from which something is no longer held.
func (g *Gateway) losePlaces(now time.Time, followed *topic, after uint64, effects *statemachine.Effects) {
	for _, taken := range slices.Clone(followed.places) {
		if taken.filling && taken.resumes && taken.upTo <= after {
			g.refusePlace(now, taken, refused(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0), effects)
		}
	}
}

// refusePlace refuses a subscription. One that was confirmed before can't be
// refused any more: its caller is cut off instead, and asks again.
func (g *Gateway) refusePlace(now time.Time, taken *place, returned Answer, effects *statemachine.Effects) {
	if channel, open := g.channels[taken.channel]; open && taken.request.Request == 0 && returned.Code == "place-lost" {
		g.emitLast(now, taken.channel, channel, returned.Code, effects)
		g.closeChannel(now, CloseChannel{Channel: taken.channel, Why: returned.Code}, effects)
	} else if open {
		g.dropPlace(now, channel, taken.topic.name, effects)
	}
	if taken.request.Request != 0 {
		g.answerSubscribe(now, taken.request, returned, effects)
	}
}

// tendRouted looks at the topics with something that waits.
func (g *Gateway) tendRouted(now time.Time, effects *statemachine.Effects) {
	for _, followed := range statemachine.Sorted(g.routed.busy) {
		g.tendTopic(now, followed, effects)
	}
	g.tendBatches(now, effects)
	g.tendPublications(now, effects)
}

// tendTopic does what is due for a topic and notes when it is to be looked at
// again.
func (g *Gateway) tendTopic(now time.Time, followed *topic, effects *statemachine.Effects) {
	delete(g.routed.busy, followed.name)
	if g.routed.topics[followed.name] != followed {
		return
	}
	var next time.Time
	filling := false
	for _, taken := range slices.Clone(followed.places) {
		switch {
		case !taken.filling:
		case !taken.limit.After(now) && !followed.kept:
			g.fillPassing(now, taken, effects)
		case !taken.limit.After(now) && taken.request.Request == 0:
			// It was confirmed, and some of what it missed has come: the rest is
			// fetched however long that takes.
			filling = true
		case !taken.limit.After(now):
			followed.reserve(now, taken)
			g.refusePlace(now, taken, refused(503, "no-answer", "the place could not be found in time; nothing is subscribed", comeBackSoon), effects)
		default:
			filling = filling || followed.kept
			next = statemachine.Earliest(next, taken.limit)
		}
	}
	if !followed.kept {
		if len(followed.held) > 0 && !followed.heldAt.Add(passingGap).After(now) {
			followed.last = max(followed.last, followed.held[0].PreviousInTopic)
			g.release(now, followed, effects)
		}
		if len(followed.held) > 0 {
			next = statemachine.Earliest(next, followed.heldAt.Add(passingGap))
		}
	} else {
		if followed.wanted <= followed.last {
			followed.checkAt = time.Time{}
		}
		due := !followed.checkAt.IsZero() && !followed.checkAt.After(now)
		switch {
		case followed.fetch != nil || followed.queued:
		case filling || due || followed.reserved(now):
			followed.checkAt = time.Time{}
			g.fetchTopic(now, followed, effects)
		default:
			next = statemachine.Earliest(next, followed.checkAt)
		}
		if len(followed.places) == 0 {
			if !followed.reservedUntil.After(now) {
				g.dropTopic(followed)
				return
			}
			next = statemachine.Earliest(next, followed.reservedUntil)
		}
	}
	if !next.IsZero() && g.routed.topics[followed.name] == followed {
		g.mind(followed, next)
	}
}

// Heads.

// onTopicHeads takes which topics of a shared partition moved.
func (g *Gateway) onTopicHeads(now time.Time, head partition.HighWatermark, _ *statemachine.Effects) {
	if _, used := g.routed.partitions[head.Partition]; !used || statemachine.Mutated("no-topic-heads") || head.Epoch < g.follower.Placements[head.Partition].Epoch {
		return
	}
	told := g.routed.told[head.Partition]
	for _, each := range head.Topics {
		if followed, found := g.routed.numbers[each.TopicNumber]; found && followed.kept && each.Offset > followed.last {
			g.want(now, followed, each.Offset, headGrace)
		}
	}
	if head.From > told {
		// Something was told that did not come.
		g.timers.ArmSooner("follow", now)
		return
	}
	g.routed.told[head.Partition] = max(told, head.Offset)
}

// rerouteAll puts changed routes in force: what leads elsewhere now, or nowhere,
// ends.
func (g *Gateway) rerouteAll(now time.Time, effects *statemachine.Effects) {
	for name, followed := range statemachine.Sorted(g.routed.topics) {
		space := g.routeOf("", name)
		state, present := g.spaces[space]
		if present && (state.space.Retention == config.Durable) == followed.kept {
			followed.space = space
			continue
		}
		followed.reservedUntil = time.Time{}
		for _, taken := range slices.Clone(followed.places) {
			if taken.filling {
				g.refusePlace(now, taken, refused(404, "no-such-space", "the space was removed", 0), effects)
				continue
			}
			if channel, open := g.channels[taken.channel]; open {
				g.dropPlace(now, channel, name, effects)
				g.emit(taken.channel, Event{Event: "ended", Space: followed.space, Topic: name, Code: "space-removed"}, effects)
			}
		}
		g.dropTopic(followed)
	}
}
