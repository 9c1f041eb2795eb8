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
	routedPlane           = config.SharedSpace
	topicCursorPrefix     = "t"
	highWatermarkGrace    = 120 * time.Millisecond
	ephemeralGapTimeout   = 50 * time.Millisecond
	ephemeralReachTimeout = 300 * time.Millisecond
	recentRecords         = 32
	recentBytes           = 32 << 10
	// backlogBytes bounds the recent records of a topic that was just caught up.
	backlogBytes = 256 << 10
	// topicFetchRetry is how long to wait before a store is asked again that does not
	// serve the topic's partition.
	topicFetchRetry = 200 * time.Millisecond
	// retryDoubles is how often the wait for a store's answer doubles: one that is
	// late because a link is full must not be asked for again and again.
	retryDoubles           = 3
	maxPendingTopicRecords = 4096
)

// topicState is a routed topic as this gateway follows it for its channels. Once it
// is live, all of it up to last was handed over to every place that is filled.
type topicState struct {
	name           string
	number         uint64
	partition      string
	space          string
	durable        bool
	subscriptions  []*topicSubscription
	announcedCount int
	live           bool
	last           uint64
	pending        []partition.Record
	pendingSince   time.Time
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
	// missingBytes is how many bytes of its records are known to lack here.
	missingBytes int
	// reservedAfter is the lowest cursor of subscriptions that were refused without
	// an answer of the store, and keep their turn until reservedUntil.
	reservedAfter uint64
	reservedUntil time.Time
}

// topicSubscription is one channel's subscription to a topic, and how far it was handed over.
type topicSubscription struct {
	topic         *topicState
	session       uint64
	index         int
	deliveredUpTo uint64
	resumes       bool
	filling       bool
	request       Subscribe
	deadline      time.Time
}

// routed is all that a gateway holds of routed topics.
type routed struct {
	topics     map[string]*topicState
	numbers    map[uint64]*topicState
	partitions map[string]int
	// reportedUpTo is how far each partition's first told this gateway what moved. It begins
	// with the first topic that is fetched from there: what moved before that is of
	// no use here, and is not asked for.
	reportedUpTo map[string]uint64
	// followRoutes is how heads were last asked for.
	followRoutes map[string]route
	// bases are the offsets above which partitions held all when last heard of.
	bases map[string]uint64
	// batches are what was asked of stores, underway names the one to each store, and
	// queue holds the topics that wait for the next.
	batches       map[uint64]*batch
	batchInFlight map[string]uint64
	queue         []*topicState
	appends       map[uint64]*routedPublication
	sends         map[uint64]*routedPublication
	// accepted is when a publication of this gateway's callers was accepted.
	accepted map[routedKey]time.Time
	// busy are the topics with something that waits for a moment to come.
	busy map[string]*topicState
}

func newRouted() *routed {
	return &routed{
		topics: map[string]*topicState{}, numbers: map[uint64]*topicState{}, partitions: map[string]int{}, reportedUpTo: map[string]uint64{}, followRoutes: map[string]route{}, bases: map[string]uint64{},
		batches: map[uint64]*batch{}, batchInFlight: map[string]uint64{}, appends: map[uint64]*routedPublication{}, sends: map[uint64]*routedPublication{}, accepted: map[routedKey]time.Time{}, busy: map[string]*topicState{},
	}
}

// formatTopicCursor is a topic's cursor: the offset of the message before it.
func formatTopicCursor(offset uint64) string {
	if statemachine.Mutated("place-skips-one") {
		offset++
	}
	return topicCursorPrefix + strconv.FormatUint(offset, 36)
}

func parseTopicCursor(text string) (uint64, bool) {
	if len(text) < 2 || text[:1] != topicCursorPrefix {
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
	target, found := g.config.SpaceForTopic(name)
	if !found || space != "" && space != target {
		return ""
	}
	return target
}

// Subscribing.

func (g *Gateway) subscribeRouted(now time.Time, request Subscribe, looked bool, effects *statemachine.Effects) {
	answer := func(response Reply) { g.answerSubscribe(now, request, response, effects) }
	session, found := g.sessions[request.Session]
	switch {
	case !found || session.client != request.Client:
		answer(rejectedReply(404, "no-such-channel", "this channel is not open here", 0))
		return
	case len(request.Interests) != 1 || request.Interests[0].Prefix:
		answer(rejectedReply(400, "one-topic", "routed topics are subscribed to one by one", 0))
		return
	}
	session.pongAt = now
	if !session.movedAt.IsZero() {
		answer(rejectedReply(409, "moved", "this channel was asked to move", retrySoon))
		return
	}
	name := request.Interests[0].Path
	interest := Interest{Space: g.routeOf(request.Interests[0].Space, name), Path: name}
	judged := &PolicyRequest{Kind: "subscribe", Client: request.Client, Paths: []Interest{interest}, Refreshed: looked, Routed: true}
	retry := func(now time.Time, effects *statemachine.Effects) {
		g.subscribeRouted(now, request, true, effects)
	}
	if !g.authorize(now, judged, request.RequestName, retry, answer) {
		return
	}
	if present, subscribed := session.routed[name]; subscribed {
		if present.filling {
			answer(rejectedReply(409, "underway", "this subscription is being taken up", retrySoon))
			return
		}
		g.replyTopicSubscription(now, present, request, formatTopicCursor(present.deliveredUpTo), effects)
		return
	}
	if len(session.routed)+len(session.subscriptions) >= g.config.SubscriptionsPerSession {
		answer(rejectedReply(429, "too-many-subscriptions", "the channel holds all the subscriptions it may", 0))
		return
	}
	subscription := &topicSubscription{session: request.Session, filling: true, request: request, deadline: now.Add(g.subscribeTimeout)}
	if request.Cursor != "" && request.Cursor != "-" {
		offset, fit := parseTopicCursor(request.Cursor)
		if !fit {
			answer(rejectedReply(400, "bad-cursor", "the cursor is not one of this fleet's", 0))
			return
		}
		subscription.deliveredUpTo, subscription.resumes = offset, true
	}
	topic := g.addTopicSubscription(now, name, interest.Space, subscription, effects)
	session.routed[name] = subscription
	if !topic.durable {
		g.overlay.Reach(now, routedPlane, name, func(now time.Time, effects *statemachine.Effects, _ bool) {
			g.startEphemeral(now, subscription, effects)
		}, effects)
		if subscription.filling {
			subscription.deadline = now.Add(ephemeralReachTimeout)
			g.scheduleTopic(topic, subscription.deadline)
		}
		return
	}
	if !g.fill(now, subscription, effects) {
		if g.certainlyRetained(topic, subscription) {
			g.startTopicSubscription(now, subscription, effects)
			g.announceSubscriberCount(now, topic, effects)
		}
		g.scheduleTopic(topic, subscription.deadline)
		g.fetchTopic(now, topic, effects)
	}
}

// certainlyRetained tells whether all that a place may lack is still held: then it is
// confirmed before that is fetched, which may take its time, and is not refused
// while the answer is on its way.
func (g *Gateway) certainlyRetained(topic *topicState, subscription *topicSubscription) bool {
	base, known := g.routed.bases[topic.partition]
	return known && subscription.resumes && subscription.deliveredUpTo >= base && !statemachine.Mutated("places-confirmed-late")
}

// subscribeTimeoutOf is how long a subscription may look for its place under a
// configuration.
func subscribeTimeoutOf(config config.Configuration) time.Duration {
	longest := time.Second
	for _, space := range config.Spaces {
		longest = max(longest, space.ResponseTimeout)
	}
	return min(longest*6/10, defaultSubscribeTimeout)
}

func (g *Gateway) addTopicSubscription(now time.Time, name, space string, subscription *topicSubscription, effects *statemachine.Effects) *topicState {
	topic, found := g.routed.topics[name]
	if !found {
		topic = &topicState{
			name: name, number: config.TopicHash(name), partition: config.SharedPartition(name), space: space,
			durable: g.spaces[space].space.Retention == config.Durable,
		}
		g.routed.topics[name] = topic
		g.routed.numbers[topic.number] = topic
		if topic.durable {
			g.routed.partitions[topic.partition]++
		}
	}
	if found && len(topic.subscriptions) == 0 && topic.wanted > topic.last {
		topic.checkAt = now
		g.scheduleTopic(topic, now)
	}
	subscription.topic, subscription.index = topic, len(topic.subscriptions)
	topic.subscriptions = append(topic.subscriptions, subscription)
	g.announceSubscriberCount(now, topic, effects)
	return topic
}

// subscribers counts the origins here that subscribe to a topic. Who was not yet
// confirmed in a kept topic does not count: it may be refused and come again, and
// telling all others of that each time takes more of a link than its messages. A
// passing topic's messages are lost to whoever is not told of.
func (t *topicState) subscribers() int {
	if !t.durable || statemachine.Mutated("waiting-counts") {
		return len(t.subscriptions)
	}
	count := 0
	for _, subscription := range t.subscriptions {
		if !subscription.filling || subscription.request.Request == 0 {
			count++
		}
	}
	return count
}

// announceSubscriberCount lets the overlay know how many origins here subscribe to a topic.
func (g *Gateway) announceSubscriberCount(now time.Time, topic *topicState, effects *statemachine.Effects) {
	if count := topic.subscribers(); count != topic.announcedCount {
		topic.announcedCount = count
		g.overlay.Tell(now, routedPlane, topic.name, count, effects)
	}
}

// dropTopicSubscription ends a channel's subscription to a routed topic.
func (g *Gateway) dropTopicSubscription(now time.Time, session *session, name string, effects *statemachine.Effects) {
	gone, found := session.routed[name]
	if !found {
		return
	}
	delete(session.routed, name)
	topic := gone.topic
	last := topic.subscriptions[len(topic.subscriptions)-1]
	topic.subscriptions[gone.index], last.index = last, gone.index
	topic.subscriptions = topic.subscriptions[:len(topic.subscriptions)-1]
	g.announceSubscriberCount(now, topic, effects)
	if topic.reserved(now) {
		g.scheduleTopic(topic, topic.reservedUntil)
		return
	}
	g.dropTopic(topic)
}

// dropTopic forgets a topic that nobody holds.
func (g *Gateway) dropTopic(topic *topicState) {
	if len(topic.subscriptions) > 0 || g.routed.topics[topic.name] != topic {
		return
	}
	topic.fetch = nil
	delete(g.routed.topics, topic.name)
	delete(g.routed.numbers, topic.number)
	delete(g.routed.busy, topic.name)
	if topic.durable {
		if g.routed.partitions[topic.partition]--; g.routed.partitions[topic.partition] == 0 {
			delete(g.routed.partitions, topic.partition)
			delete(g.routed.reportedUpTo, topic.partition)
			delete(g.routed.followRoutes, topic.partition)
		}
	}
}

func (g *Gateway) dropRouted(now time.Time, session *session, effects *statemachine.Effects) {
	for name := range statemachine.Sorted(session.routed) {
		g.dropTopicSubscription(now, session, name, effects)
	}
}

// supersede takes the routed subscriptions of an origin's older channels away:
// its newest channel is the one.
func (g *Gateway) supersede(now time.Time, origin string, newest uint64, effects *statemachine.Effects) {
	if earlier, found := g.newest[origin]; found && earlier != newest {
		if session, open := g.sessions[earlier]; open {
			g.dropRouted(now, session, effects)
		}
	}
	g.newest[origin] = newest
}

// startEphemeral ends the taking up of a passing topic.
func (g *Gateway) startEphemeral(now time.Time, subscription *topicSubscription, effects *statemachine.Effects) {
	if !subscription.filling {
		return
	}
	if session, open := g.sessions[subscription.session]; !open || session.routed[subscription.topic.name] != subscription {
		return
	}
	subscription.filling = false
	subscription.topic.live = true
	if !subscription.resumes {
		subscription.deliveredUpTo = subscription.topic.last
	}
	g.replyTopicSubscription(now, subscription, subscription.request, formatTopicCursor(subscription.deliveredUpTo), effects)
	for _, record := range subscription.topic.recent {
		g.deliverRouted(now, subscription, record, effects)
	}
}

// fill ends the taking up of a kept topic where this gateway has all that the
// place lacks, and tells whether it does.
func (g *Gateway) fill(now time.Time, subscription *topicSubscription, effects *statemachine.Effects) bool {
	topic := subscription.topic
	if told, known := g.routed.reportedUpTo[topic.partition]; known && !topic.live && !subscription.resumes && topic.fetch == nil {
		// Who begins here may begin where the first last told that the partition
		// was: what moves after that will be told.
		topic.live = true
		topic.last, topic.recentFrom = told, told
		g.release(now, topic, effects)
	}
	if !topic.live || subscription.resumes && subscription.deliveredUpTo < topic.recentFrom && subscription.deliveredUpTo < topic.last {
		return false
	}
	subscription.filling = false
	g.announceSubscriberCount(now, topic, effects)
	from := subscription.deliveredUpTo
	if !subscription.resumes {
		// What was told of as moved came before this subscription, though the topic
		// may not have caught up with it.
		from = max(topic.last, g.routed.reportedUpTo[topic.partition])
		subscription.deliveredUpTo = from
	}
	if subscription.request.Request != 0 {
		g.replyTopicSubscription(now, subscription, subscription.request, formatTopicCursor(from), effects)
	}
	for _, record := range topic.recent {
		g.deliverRouted(now, subscription, record, effects)
	}
	return true
}

func (g *Gateway) replyTopicSubscription(now time.Time, _ *topicSubscription, request Subscribe, cursor string, effects *statemachine.Effects) {
	response := acceptedReply(nil)
	response.Cursor = cursor
	g.answerSubscribe(now, request, response, effects)
}

func (g *Gateway) unsubscribeRouted(now time.Time, request Unsubscribe, effects *statemachine.Effects) {
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		effects.Respond(request.Request, rejectedReply(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	session.pongAt = now
	for _, interest := range request.Interests {
		if subscription, present := session.routed[interest.Path]; present && subscription.filling && subscription.request.Request != 0 {
			g.answerSubscribe(now, subscription.request, rejectedReply(409, "unsubscribed", "the subscription was ended before it was taken up", retrySoon), effects)
		}
		g.dropTopicSubscription(now, session, interest.Path, effects)
	}
	effects.Respond(request.Request, acceptedReply(nil))
}

// count tells how many origins subscribe to a topic, over all gateways, from
// what the overlay's peers tell each other.
func (g *Gateway) count(now time.Time, request CountSubscribers, looked bool, effects *statemachine.Effects) {
	g.Counts.Requests++
	if session, found := g.sessions[request.Session]; found {
		session.pongAt = now
	}
	judged := &PolicyRequest{
		Kind: "count", Client: request.Client, Paths: []Interest{{Space: g.routeOf("", request.Topic), Path: request.Topic}}, Refreshed: looked, Routed: true,
	}
	retry := func(now time.Time, effects *statemachine.Effects) { g.count(now, request, true, effects) }
	answer := func(response Reply) { effects.Respond(request.Request, response) }
	if !g.authorize(now, judged, request.RequestName, retry, answer) {
		return
	}
	g.overlay.Reach(now, routedPlane, request.Topic, func(_ time.Time, effects *statemachine.Effects, _ bool) {
		response := acceptedReply(nil)
		response.SubscriberCount = g.overlay.Presence(routedPlane, request.Topic)
		if topic, found := g.routed.topics[request.Topic]; found {
			response.SubscriberCount += topic.subscribers()
		}
		effects.Respond(request.Request, response)
	}, effects)
}

// Handing over.

// deliverRouted gives a message to a place that is filled and lacks it.
func (g *Gateway) deliverRouted(_ time.Time, subscription *topicSubscription, record partition.Record, effects *statemachine.Effects) {
	if subscription.filling || record.Offset <= subscription.deliveredUpTo && (subscription.topic.durable || !statemachine.Mutated("no-passing-offsets")) {
		return
	}
	session, open := g.sessions[subscription.session]
	if !open || !session.movedAt.IsZero() {
		return
	}
	subscription.deliveredUpTo = record.Offset
	g.Counts.Delivered++
	g.emit(subscription.session, Event{
		Event: "message", Space: subscription.topic.space, Topic: record.Topic, Sender: record.Sender, Seq: record.Seq, Body: record.Data,
		Cursor: formatTopicCursor(record.Offset),
	}, effects)
}

// process hands the topic's next message to everybody here.
func (g *Gateway) process(now time.Time, topic *topicState, record partition.Record, effects *statemachine.Effects) {
	topic.last = record.Offset
	topic.recent = append(topic.recent, record)
	topic.recentSize += len(record.Data)
	for len(topic.recent) > 1 && topic.tooMuchRecent(now) {
		topic.recentFrom = topic.recent[0].Offset
		topic.recentSize -= len(topic.recent[0].Data)
		topic.recent = topic.recent[1:]
	}
	for _, subscription := range topic.subscriptions {
		g.deliverRouted(now, subscription, record, effects)
	}
}

// tooMuchRecent tells whether the oldest of the recent records is to be let go.
func (t *topicState) tooMuchRecent(now time.Time) bool {
	if t.recentUntil.After(now) {
		return t.recentSize > backlogBytes
	}
	return len(t.recent) > recentRecords || t.recentSize > recentBytes
}

// handleRoutedCopy takes a message of a routed topic, and tells whether anybody here
// wants it.
func (g *Gateway) handleRoutedCopy(now time.Time, record partition.Record, effects *statemachine.Effects) bool {
	topic, found := g.routed.topics[record.Topic]
	if !found {
		return false
	}
	if topic.live && record.Offset <= topic.last && (topic.durable || !statemachine.Mutated("no-passing-offsets")) {
		return true
	}
	follows := statemachine.Mutated("no-topic-prior") || record.Prior <= topic.last || !topic.durable && topic.last == 0
	if topic.live && follows {
		g.process(now, topic, record, effects)
		g.release(now, topic, effects)
		return true
	}
	position, held := slices.BinarySearchFunc(topic.pending, record.Offset, func(each partition.Record, offset uint64) int { return cmp.Compare(each.Offset, offset) })
	if held || len(topic.pending) >= maxPendingTopicRecords {
		return true
	}
	if len(topic.pending) == 0 {
		topic.pendingSince = now
	}
	topic.pending = slices.Insert(topic.pending, position, record)
	if !topic.live {
		return true
	}
	g.Counts.Gaps++
	effects.Emit(logevent.GapFound, "partition", topic.partition, "offset", record.Offset, "prior", record.Prior)
	if topic.durable {
		g.want(now, topic, record.Prior, holeAfter)
	} else {
		g.scheduleTopic(topic, now.Add(ephemeralGapTimeout))
	}
	return true
}

// release hands over what was held for something that has come.
func (g *Gateway) release(now time.Time, topic *topicState, effects *statemachine.Effects) {
	for len(topic.pending) > 0 {
		next := topic.pending[0]
		if next.Offset > topic.last && next.Prior > topic.last {
			return
		}
		topic.pending = topic.pending[1:]
		topic.pendingSince = now
		if next.Offset > topic.last {
			g.process(now, topic, next, effects)
		}
	}
	topic.pending = nil
}

// want notes that a topic has more than was handed over; unless it comes by
// itself in a moment, it is fetched.
func (g *Gateway) want(now time.Time, topic *topicState, offset uint64, grace time.Duration) {
	if offset <= topic.wanted && offset <= topic.last {
		return
	}
	topic.wanted = max(topic.wanted, offset)
	at := now.Add(grace)
	if topic.checkAt.IsZero() || at.Before(topic.checkAt) {
		topic.checkAt = at
	}
	g.scheduleTopic(topic, topic.checkAt)
}

// scheduleTopic notes that a topic wants to be looked at.
func (g *Gateway) scheduleTopic(topic *topicState, at time.Time) {
	g.routed.busy[topic.name] = topic
	g.timers.ArmSooner("routed", at)
}

// Fetching.

// startReports lets a partition's first tell what moved after an offset up to which
// one of its topics is known here. What is told while further topics are fetched is
// noted for them too, so that nothing is to be told again for their sake.
func (g *Gateway) startReports(now time.Time, name string, until uint64) {
	if _, begun := g.routed.reportedUpTo[name]; begun {
		return
	}
	g.routed.reportedUpTo[name] = until
	g.timers.ArmSooner("follow", now.Add(holeAfter))
}

// startTopicSubscription answers a subscription whose missed messages are about to come.
func (g *Gateway) startTopicSubscription(now time.Time, subscription *topicSubscription, effects *statemachine.Effects) {
	if subscription.request.Request == 0 {
		return
	}
	g.replyTopicSubscription(now, subscription, subscription.request, formatTopicCursor(subscription.deliveredUpTo), effects)
	subscription.request.Request = 0
}

// skipTo gives a missed message to a place that is being filled.
func (g *Gateway) skipTo(now time.Time, subscription *topicSubscription, record partition.Record, effects *statemachine.Effects) {
	subscription.filling = false
	g.deliverRouted(now, subscription, record, effects)
	subscription.filling = true
}

// expireSubscriptions refuses the places from which something is no longer held.
func (g *Gateway) expireSubscriptions(now time.Time, topic *topicState, after uint64, effects *statemachine.Effects) {
	for _, subscription := range slices.Clone(topic.subscriptions) {
		if subscription.filling && subscription.resumes && subscription.deliveredUpTo <= after {
			g.rejectTopicSubscription(now, subscription, rejectedReply(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0), effects)
		}
	}
}

// rejectTopicSubscription refuses a subscription. One that was confirmed before can't be
// refused any more: its caller is cut off instead, and asks again.
func (g *Gateway) rejectTopicSubscription(now time.Time, subscription *topicSubscription, response Reply, effects *statemachine.Effects) {
	if session, open := g.sessions[subscription.session]; open && subscription.request.Request == 0 && response.Code == "place-lost" {
		g.emitLast(now, subscription.session, session, response.Code, effects)
		g.closeSession(now, CloseSession{Session: subscription.session, Reason: response.Code}, effects)
	} else if open {
		g.dropTopicSubscription(now, session, subscription.topic.name, effects)
	}
	if subscription.request.Request != 0 {
		g.answerSubscribe(now, subscription.request, response, effects)
	}
}

// tickRouted looks at the topics with something that waits.
func (g *Gateway) tickRouted(now time.Time, effects *statemachine.Effects) {
	for _, topic := range statemachine.Sorted(g.routed.busy) {
		g.tickTopic(now, topic, effects)
	}
	g.retryBatches(now, effects)
	g.retryPublications(now, effects)
}

// tickTopic does what is due for a topic and notes when it is to be looked at
// again.
func (g *Gateway) tickTopic(now time.Time, topic *topicState, effects *statemachine.Effects) {
	delete(g.routed.busy, topic.name)
	if g.routed.topics[topic.name] != topic {
		return
	}
	var next time.Time
	filling := false
	for _, subscription := range slices.Clone(topic.subscriptions) {
		switch {
		case !subscription.filling:
		case !subscription.deadline.After(now) && !topic.durable:
			g.startEphemeral(now, subscription, effects)
		case !subscription.deadline.After(now) && subscription.request.Request == 0:
			// It was confirmed, and some of what it missed has come: the rest is
			// fetched however long that takes.
			filling = true
		case !subscription.deadline.After(now):
			topic.reserve(now, subscription)
			g.rejectTopicSubscription(now, subscription, rejectedReply(503, "no-answer", "the place could not be found in time; nothing is subscribed", retrySoon), effects)
		default:
			filling = filling || topic.durable
			next = statemachine.Earliest(next, subscription.deadline)
		}
	}
	if !topic.durable {
		if len(topic.pending) > 0 && !topic.pendingSince.Add(ephemeralGapTimeout).After(now) {
			topic.last = max(topic.last, topic.pending[0].Prior)
			g.release(now, topic, effects)
		}
		if len(topic.pending) > 0 {
			next = statemachine.Earliest(next, topic.pendingSince.Add(ephemeralGapTimeout))
		}
	} else {
		if topic.wanted <= topic.last {
			topic.checkAt = time.Time{}
		}
		due := !topic.checkAt.IsZero() && !topic.checkAt.After(now)
		switch {
		case topic.fetch != nil || topic.queued:
		case filling || due || topic.reserved(now):
			topic.checkAt = time.Time{}
			g.fetchTopic(now, topic, effects)
		default:
			next = statemachine.Earliest(next, topic.checkAt)
		}
		if len(topic.subscriptions) == 0 {
			if !topic.reservedUntil.After(now) {
				g.dropTopic(topic)
				return
			}
			next = statemachine.Earliest(next, topic.reservedUntil)
		}
	}
	if !next.IsZero() && g.routed.topics[topic.name] == topic {
		g.scheduleTopic(topic, next)
	}
}

// Heads.

// handleTopicHighWatermarks takes which topics of a shared partition moved.
func (g *Gateway) handleTopicHighWatermarks(now time.Time, head partition.Head, _ *statemachine.Effects) {
	if _, used := g.routed.partitions[head.Partition]; !used || statemachine.Mutated("no-topic-heads") || head.Epoch < g.viewClient.Placements[head.Partition].Epoch {
		return
	}
	told := g.routed.reportedUpTo[head.Partition]
	for _, each := range head.Topics {
		if topic, found := g.routed.numbers[each.Topic]; found && topic.durable && each.Offset > topic.last {
			g.want(now, topic, each.Offset, highWatermarkGrace)
		}
	}
	if head.From > told {
		// Something was told that did not come.
		g.timers.ArmSooner("follow", now)
		return
	}
	g.routed.reportedUpTo[head.Partition] = max(told, head.Offset)
}

// rerouteAll puts changed routes in force: what leads elsewhere now, or nowhere,
// ends.
func (g *Gateway) rerouteAll(now time.Time, effects *statemachine.Effects) {
	for name, topic := range statemachine.Sorted(g.routed.topics) {
		space := g.routeOf("", name)
		state, present := g.spaces[space]
		if present && (state.space.Retention == config.Durable) == topic.durable {
			topic.space = space
			continue
		}
		topic.reservedUntil = time.Time{}
		for _, subscription := range slices.Clone(topic.subscriptions) {
			if subscription.filling {
				g.rejectTopicSubscription(now, subscription, rejectedReply(404, "no-such-space", "the space was removed", 0), effects)
				continue
			}
			if session, open := g.sessions[subscription.session]; open {
				g.dropTopicSubscription(now, session, name, effects)
				g.emit(subscription.session, Event{Event: "ended", Space: topic.space, Topic: name, Code: "space-removed"}, effects)
			}
		}
		g.dropTopic(topic)
	}
}
