// Channels and what they subscribe to. A subscription to kept topics begins by
// learning the heads of its partitions, or, with a cursor, by fetching all that was
// missed; until that is done its live messages wait, so that nothing is handed
// over twice, skipped or out of order. Several interests resumed together are
// filled as one, since a sender's order runs across them.

package gateway

import (
	"encoding/json"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/overlay"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	gotMemory    = 100 * time.Second
	markMemory   = 40 * time.Second
	fetchRetry   = 250 * time.Millisecond
	lingerFor    = 6 * time.Second
	lingerSpread = 24
	refetchMost  = 64
)

type senderSequence struct {
	seq uint64
	at  time.Time
}

type subscription struct {
	since     map[string]uint64
	notBefore map[string]uint64
	filling   bool
	resumedAt time.Time
}

type session struct {
	name            string
	client          string
	subscriptions   map[Interest]*subscription
	routed          map[string]*topicSubscription
	delivered       map[string]map[uint64]time.Time
	deliveredAbove  map[string]map[uint64]bool
	sequences       map[string]map[string]senderSequence
	buffer          []RecordCopy
	floors          map[string]uint64
	ephemeralBuffer []EphemeralCopy
	pongAt          time.Time
	pingAt          time.Time
	movedAt         time.Time
	// adapterPings is set where the adapter itself watches whether the caller lives.
	adapterPings bool
}

// interests lists what a channel subscribes to, in order.
func (c *session) interests() []Interest {
	interests := make([]Interest, 0, len(c.subscriptions))
	for interest := range c.subscriptions {
		interests = append(interests, interest)
	}
	slices.SortFunc(interests, compareInterests)
	return interests
}

func (c *session) filling() bool {
	for _, subscription := range c.subscriptions {
		if subscription.filling {
			return true
		}
	}
	return false
}

// catchingUp tells whether a subscription to a routed topic still lacks something.
func (c *session) catchingUp() bool {
	for _, subscription := range c.routed {
		if subscription.filling {
			return true
		}
	}
	return false
}

// emit hands an event to a channel's writer.
func (g *Gateway) emit(id uint64, event Event, effects *statemachine.Effects) {
	effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{Session: id, Event: event})
}

// emitLast tells a channel why it ends and where its origin may resume.
func (g *Gateway) emitLast(now time.Time, id uint64, session *session, code string, effects *statemachine.Effects) {
	effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{
		Session: id, Event: Event{Event: "gone", Code: code, Cursor: g.cursor(now, session)}, Close: true,
	})
}

func (g *Gateway) openSession(now time.Time, request OpenSession, effects *statemachine.Effects) {
	g.Counts.Requests++
	if request.AdapterPings && !g.stopping && !g.Confirmed(now) {
		// Its first news, or the next, may be on the way: one look spares a caller
		// that comes right after a start the pause that follows a refusal.
		g.refreshThen(now, func(now time.Time, effects *statemachine.Effects) { g.admitSession(now, request, effects) })
		return
	}
	g.admitSession(now, request, effects)
}

func (g *Gateway) admitSession(now time.Time, request OpenSession, effects *statemachine.Effects) {
	if request.AdapterPings && g.draining() && g.Confirmed(now) {
		if targets := g.targets(); len(targets) > 0 {
			g.redirectClient(now, request, targets, effects)
			return
		}
	}
	switch {
	case g.stopping:
		effects.Respond(request.Request, rejectedReply(503, "stopping", "this daemon is stopping", retrySoon))
		return
	case !g.Confirmed(now):
		effects.Respond(request.Request, rejectedReply(503, "unconfirmed", "this daemon can't confirm its configuration", retryLater))
		return
	case request.AdapterPings && !g.admits(now):
		effects.Respond(request.Request, rejectedReply(503, "busy", "this daemon's link can't serve more callers at once", retrySoon))
		return
	case len(g.sessions) >= g.settings.MaxClients:
		effects.Respond(request.Request, rejectedReply(503, "full", "this daemon holds all the channels it may", retrySoon))
		return
	}
	g.sessions[request.Session] = newSession(now, request)
	g.supersede(now, request.Client, request.Session, effects)
	g.timers.ArmSooner("tick", now.Add(tickInterval))
	g.ring.Record(now, "", "", request.Client, "channel-opened", "channel", request.Name)
	effects.Emit(logevent.SessionOpened, "origin", request.Client)
	effects.Respond(request.Request, acceptedReply(nil))
	g.emit(request.Session, Event{
		Event: "hello", Session: request.Name, Daemon: g.settings.Self.Name, Zone: g.settings.Self.Zone, Version: g.ConfigurationVersion(),
	}, effects)
}

func newSession(now time.Time, request OpenSession) *session {
	return &session{
		name: request.Name, client: request.Client, subscriptions: map[Interest]*subscription{}, routed: map[string]*topicSubscription{}, adapterPings: request.AdapterPings,
		delivered: map[string]map[uint64]time.Time{}, deliveredAbove: map[string]map[uint64]bool{}, sequences: map[string]map[string]senderSequence{}, pongAt: now, pingAt: now,
	}
}

// draining tells whether this gateway is to be empty soon while others are not:
// one that is only full or out of touch sends nobody on, since the others may be
// so too and would send them back.
func (g *Gateway) draining() bool {
	return g.stopping || g.viewClient.Directives.Rest || slices.Contains(g.config.Draining, g.settings.Self.Name)
}

// redirectClient opens a channel only to say where its origin is better served: that
// is found sooner so than by trying.
func (g *Gateway) redirectClient(now time.Time, request OpenSession, targets []membership.Member, effects *statemachine.Effects) {
	opened := newSession(now, request)
	g.sessions[request.Session] = opened
	g.timers.ArmSooner("tick", now.Add(tickInterval))
	effects.Respond(request.Request, acceptedReply(nil))
	g.turn++
	g.move(now, request.Session, opened, targets[g.turn%min(len(targets), 3)], effects)
}

func (g *Gateway) closeSession(now time.Time, request CloseSession, effects *statemachine.Effects) {
	session, found := g.sessions[request.Session]
	if !found {
		return
	}
	for _, interest := range session.interests() {
		g.dropSubscription(now, request.Session, interest, true, effects)
	}
	g.dropRouted(now, session, effects)
	if g.newest[session.client] == request.Session {
		delete(g.newest, session.client)
	}
	delete(g.sessions, request.Session)
	number := logevent.SessionClosed
	if request.Reason == "slow" {
		number = logevent.SessionTooSlow
	}
	effects.Emit(number, "origin", session.client, "why", request.Reason)
	g.ring.Record(now, "", "", session.client, "channel-closed", "why", request.Reason)
}

func (g *Gateway) checkSession(now time.Time, id uint64, session *session, effects *statemachine.Effects) {
	for _, got := range session.delivered {
		for offset, at := range got {
			if now.Sub(at) > gotMemory {
				delete(got, offset)
			}
		}
	}
	for _, marks := range session.sequences {
		for sender, mark := range marks {
			if now.Sub(mark.at) > markMemory {
				delete(marks, sender)
			}
		}
	}
	if !session.movedAt.IsZero() {
		if now.Sub(session.movedAt) > moveLinger {
			effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{Session: id, Event: Event{Event: "gone", Code: "moved"}, Close: true})
			g.closeSession(now, CloseSession{Session: id, Reason: "moved"}, effects)
		}
		return
	}
	if session.adapterPings {
		return
	}
	if now.Sub(session.pongAt) > pongTimeout {
		g.emitLast(now, id, session, "no-pong", effects)
		g.closeSession(now, CloseSession{Session: id, Reason: "no-pong"}, effects)
		return
	}
	if now.Sub(session.pingAt) >= pingInterval {
		session.pingAt = now
		g.emit(id, Event{Event: "ping", Cursor: g.cursor(now, session)}, effects)
	}
}

func (g *Gateway) pong(now time.Time, request Pong, effects *statemachine.Effects) {
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		effects.Respond(request.Request, rejectedReply(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	session.pongAt = now
	effects.Respond(request.Request, acceptedReply(nil))
}

// Subscribing.

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

func (g *Gateway) subscribe(now time.Time, request Subscribe, effects *statemachine.Effects) {
	g.Counts.Requests++
	if len(request.Interests) > 0 && g.routedTopic(request.Interests[0].Space) {
		g.subscribeRouted(now, request, false, effects)
		return
	}
	g.subscribeAttempt(now, request, false, effects)
}

func (g *Gateway) answerSubscribe(now time.Time, request Subscribe, answer Reply, effects *statemachine.Effects) {
	switch answer.Outcome {
	case OutcomeAccepted:
		g.Counts.Accepted++
	default:
		g.Counts.RejectedRequests++
	}
	g.ring.Record(now, request.RequestName, "", request.Client, "answered", "outcome", answer.Outcome, "code", answer.Code)
	effects.Respond(request.Request, answer)
}

func (g *Gateway) subscribeAttempt(now time.Time, request Subscribe, looked bool, effects *statemachine.Effects) {
	answer := func(response Reply) { g.answerSubscribe(now, request, response, effects) }
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		answer(rejectedReply(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	session.pongAt = now
	if !session.movedAt.IsZero() {
		answer(rejectedReply(409, "moved", "this channel was asked to move", 0))
		return
	}
	var place cursor
	if request.Cursor != "" {
		var code string
		if place, code = openCursor(g.settings.Key, request.Client, request.Cursor); code != "" {
			answer(rejectedReply(400, code, "the cursor is not one of this origin's", 0))
			return
		}
		if len(request.Interests) == 0 {
			request.Interests = g.existingInterests(place.Interests)
		}
	}
	judged := &PolicyRequest{Kind: "subscribe", Client: request.Client, Paths: request.Interests, Refreshed: looked}
	retry := func(now time.Time, effects *statemachine.Effects) { g.subscribeAttempt(now, request, true, effects) }
	if !g.authorize(now, judged, request.RequestName, retry, answer) {
		return
	}
	if len(session.subscriptions)+len(request.Interests) > maxInterests {
		answer(rejectedReply(429, "too-many-subscriptions", "a channel holds 256 subscriptions at most", 0))
		return
	}
	round := &fetch{
		channel: request.Session, request: request, resumes: request.Cursor != "", partitions: map[string]*fetched{},
		records: map[string][]partition.Record{}, limit: now.Add(defaultSubscribeTimeout),
	}
	for space, marks := range place.Marks {
		for sender, seq := range marks {
			session.markSeen(now, space, sender, seq)
		}
	}
	for _, interest := range request.Interests {
		if _, present := session.subscriptions[interest]; present {
			continue
		}
		round.interests = append(round.interests, interest)
	}
	if len(round.interests) == 0 {
		answer(acceptedReply(map[string]any{"subscriptions": len(session.subscriptions), "cursor": g.cursor(now, session)}))
		return
	}
	g.nextRequest++
	id := g.nextRequest
	g.fetches[id] = round
	round.joins = 1
	g.timers.ArmSooner("limits", round.limit)
	for _, interest := range round.interests {
		g.addSubscription(now, session, request.Session, interest)
	}
	for _, interest := range round.interests {
		state := g.spaces[interest.Space]
		for _, name := range g.partitionsOf(state, interest) {
			asked, found := round.partitions[name]
			if !found {
				asked = &fetched{from: everything, after: everything}
				round.partitions[name] = asked
			}
			if at, resumes := place.Partitions[name]; resumes {
				asked.from, asked.after, asked.skip = at.Floor, at.Floor, at.Extras
				session.markDelivered(now, name, at.Extras)
				if since, later := at.Since[interest.key()]; later {
					session.notBefore(interest, name, since)
				}
			}
			if interest.Prefix {
				asked.prefixes = append(asked.prefixes, interest.Path)
			} else {
				asked.topics = append(asked.topics, interest.Path)
			}
		}
		round.joins++
		g.overlay.Subscribe(now, state.name, areaOf(state.space, interest.Path), func(now time.Time, effects *statemachine.Effects, settled bool) {
			round.joins--
			round.failed = round.failed || !settled
			g.advanceFetch(now, id, round, place, effects)
		}, effects)
	}
	g.ring.Record(now, request.RequestName, "", request.Client, "joining", "interests", len(round.interests), "resumes", round.resumes)
	round.joins--
	g.advanceFetch(now, id, round, place, effects)
}

// existingInterests leaves out interests of a cursor whose space is gone.
func (g *Gateway) existingInterests(interests []Interest) []Interest {
	var found []Interest
	for _, interest := range interests {
		if _, present := g.spaces[interest.Space]; present {
			found = append(found, interest)
		}
	}
	return found
}

// markDelivered notes offsets that the origin had before it came here.
func (c *session) markDelivered(now time.Time, name string, offsets []uint64) {
	for _, offset := range offsets {
		c.firstDelivery(now, name, offset)
	}
}

// firstDelivery notes that the origin has a message now, and tells whether it had not.
// What is above the place's floor is kept apart, since every cursor names it.
func (c *session) firstDelivery(now time.Time, name string, offset uint64) bool {
	if c.delivered[name] == nil {
		c.delivered[name], c.deliveredAbove[name] = map[uint64]time.Time{}, map[uint64]bool{}
	}
	if _, had := c.delivered[name][offset]; had {
		return false
	}
	c.delivered[name][offset] = now
	c.deliveredAbove[name][offset] = true
	return true
}

// notBefore notes that an interest began above the place's floor.
func (c *session) notBefore(interest Interest, name string, since uint64) {
	subscription := c.subscriptions[interest]
	if subscription.notBefore == nil {
		subscription.notBefore = map[string]uint64{}
	}
	subscription.notBefore[name] = since
}

// subscribesTo tells whether a missed message is one that an interest asked for at
// the time.
func (c *session) subscribesTo(interests []Interest, recordCopy RecordCopy) bool {
	space, _ := spaceOf(recordCopy.Partition)
	for _, interest := range interests {
		subscription, found := c.subscriptions[interest]
		if found && interest.Space == space && interest.matches(recordCopy.Record.Topic) && recordCopy.Record.Offset > subscription.notBefore[recordCopy.Partition] {
			return true
		}
	}
	return false
}

func (g *Gateway) partitionsOf(state *spaceState, interest Interest) []string {
	if state.space.Retention != config.Durable {
		return nil
	}
	if !interest.Prefix {
		return []string{g.partitionOf(state, interest.Path)}
	}
	var names []string
	for number := range state.space.Partitions() {
		names = append(names, partitionName(state.name, number))
	}
	return names
}

func (g *Gateway) addSubscription(now time.Time, session *session, id uint64, interest Interest) {
	state := g.spaces[interest.Space]
	session.subscriptions[interest] = &subscription{since: map[string]uint64{}, filling: true}
	table := state.topics
	if interest.Prefix {
		table = state.prefixes
	}
	if table[interest.Path] == nil {
		table[interest.Path] = map[uint64]bool{}
	}
	table[interest.Path][id] = true
	for _, name := range g.partitionsOf(state, interest) {
		session.subscriptions[interest].since[name] = everything
		g.follow(now, name).add(interest)
	}
}

// dropSubscription ends a subscription. Where its origin did not ask for that,
// the overlay peer stays for a while: the origin, or another with the same
// interest, is likely to come back, and a next try finds the peer further on
// instead of beginning anew.
func (g *Gateway) dropSubscription(now time.Time, id uint64, interest Interest, linger bool, effects *statemachine.Effects) {
	session := g.sessions[id]
	delete(session.subscriptions, interest)
	state, found := g.spaces[interest.Space]
	if !found {
		return
	}
	table := state.topics
	if interest.Prefix {
		table = state.prefixes
	}
	delete(table[interest.Path], id)
	if len(table[interest.Path]) == 0 {
		delete(table, interest.Path)
	}
	for _, name := range g.partitionsOf(state, interest) {
		if tracker, topic := g.trackers[name]; topic && tracker.remove(interest) {
			delete(g.trackers, name)
		}
	}
	area := areaOf(state.space, interest.Path)
	if linger {
		// Spread, so that the peers of many who left together don't leave
		// together.
		g.turn++
		spread := time.Duration(g.turn%lingerSpread) * time.Second
		g.lingering = append(g.lingering, lingered{space: state.name, area: area, until: now.Add(lingerFor + spread)})
		return
	}
	g.overlay.Unsubscribe(now, state.name, area, effects)
}

// lingered is an overlay holding that outlives its subscription for a while.
type lingered struct {
	space string
	area  overlay.Area
	until time.Time
}

func (g *Gateway) endLingering(now time.Time, effects *statemachine.Effects) {
	kept := g.lingering[:0]
	for _, each := range g.lingering {
		if each.until.After(now) {
			kept = append(kept, each)
			continue
		}
		g.overlay.Unsubscribe(now, each.space, each.area, effects)
	}
	g.lingering = kept
}

func (g *Gateway) unsubscribe(now time.Time, request Unsubscribe, effects *statemachine.Effects) {
	g.Counts.Requests++
	if len(request.Interests) > 0 && g.routedTopic(request.Interests[0].Space) {
		g.unsubscribeRouted(now, request, effects)
		return
	}
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		effects.Respond(request.Request, rejectedReply(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	for _, interest := range request.Interests {
		if _, present := session.subscriptions[interest]; present {
			g.dropSubscription(now, request.Session, interest, false, effects)
		}
	}
	effects.Respond(request.Request, acceptedReply(map[string]any{"subscriptions": len(session.subscriptions)}))
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
		Partition: name, Request: id, After: asked.after, Topics: asked.topics, Prefixes: asked.prefixes, Skip: asked.skip,
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
	return f.after != everything && response.Until <= f.after && f.after < response.Head && !statemachine.Mutated("any-answer")
}

// lacked are the records beyond what was had before.
func (f *fetched) lacked(records []partition.Record) []partition.Record {
	if statemachine.Mutated("any-answer") {
		return records
	}
	return slices.DeleteFunc(records, func(record partition.Record) bool { return record.Offset <= f.after })
}

func (g *Gateway) onFetchResponse(now time.Time, response partition.FetchResponse, effects *statemachine.Effects) {
	round, found := g.fetches[response.Request]
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
		g.loseHistory(now, response.Request, round, effects)
		return
	}
	if asked.had(response) {
		return
	}
	asked.waiting = false
	if asked.after == everything {
		asked.until = response.Head
	} else {
		asked.until = max(response.Until, min(asked.after, response.Head))
		round.records[response.Partition] = append(round.records[response.Partition], asked.lacked(response.Records)...)
		if asked.until < response.Head {
			asked.after = asked.until
			g.ask(now, response.Request, response.Partition, asked, effects)
			return
		}
	}
	asked.done = true
	g.advanceFetch(now, response.Request, round, cursor{}, effects)
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
	slices.SortStableFunc(rest, func(left, right RecordCopy) int { return left.Record.At.Compare(right.Record.At) })
	return rest
}

// before tells what a missed message must wait for: partitions to be asked again,
// since they were asked before what it refers to was kept, or records that are
// here and have not had their turn.
func (f *fetch) before(full, name string, record partition.Record, at map[string]int) (missing []string, waits bool) {
	for _, mark := range record.Before.Marks {
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
	for _, reach := range record.Before.Floor {
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

// drain hands over what waited while a channel was being filled.
func (g *Gateway) drain(now time.Time, id uint64, session *session, effects *statemachine.Effects) {
	if session.filling() {
		return
	}
	// What is left in the buffer keeps the cursor's floor below it.
	for len(session.buffer) > 0 {
		recordCopy := session.buffer[0]
		session.buffer = session.buffer[1:]
		g.offerRecord(now, id, session, recordCopy, effects)
	}
	passes := session.ephemeralBuffer
	session.ephemeralBuffer = nil
	for _, message := range passes {
		g.offerEphemeral(now, id, session, message, effects)
	}
}

// Handing over.

// offerRecord gives a kept message to a channel, if one of its subscriptions wants it
// and it has not had it.
func (g *Gateway) offerRecord(now time.Time, id uint64, session *session, recordCopy RecordCopy, effects *statemachine.Effects) {
	space, _ := spaceOf(recordCopy.Partition)
	wanted, waits := false, false
	for interest, subscription := range session.subscriptions {
		if interest.Space != space || !interest.matches(recordCopy.Record.Topic) {
			continue
		}
		if subscription.filling {
			waits = true
			continue
		}
		wanted = wanted || recordCopy.Record.Offset > subscription.since[recordCopy.Partition]
	}
	wanted = wanted || statemachine.Mutated("no-exact-match")
	if session.filling() && (wanted || waits) {
		// While any part is being filled the whole channel waits, since a
		// sender's order runs across its subscriptions.
		session.buffer = append(session.buffer, recordCopy)
		return
	}
	if wanted {
		g.deliverTo(now, id, session, recordCopy, effects)
	}
}

func (i Interest) matches(topic string) bool {
	if i.Prefix {
		return partition.Under(topic, i.Path)
	}
	return topic == i.Path
}

// deliverTo gives a kept message to a channel once.
func (g *Gateway) deliverTo(now time.Time, id uint64, session *session, recordCopy RecordCopy, effects *statemachine.Effects) {
	if !session.movedAt.IsZero() || !session.firstDelivery(now, recordCopy.Partition, recordCopy.Record.Offset) {
		return
	}
	space, _ := spaceOf(recordCopy.Partition)
	g.Counts.Delivered++
	g.ring.Record(now, "", decisionlog.MessageName(space, recordCopy.Record.Sender, recordCopy.Record.Seq), session.client, "delivered",
		"partition", recordCopy.Partition, "offset", recordCopy.Record.Offset)
	g.emit(id, Event{
		Event: "message", Space: space, Topic: recordCopy.Record.Topic, Sender: recordCopy.Record.Sender, Seq: recordCopy.Record.Seq,
		Data: json.RawMessage(recordCopy.Record.Data), Cursor: g.cursor(now, session),
	}, effects)
}

func (c *session) markSeen(now time.Time, space, sender string, seq uint64) bool {
	marks := c.sequences[space]
	if marks == nil {
		marks = map[string]senderSequence{}
		c.sequences[space] = marks
	}
	if marks[sender].seq >= seq {
		return false
	}
	marks[sender] = senderSequence{seq: seq, at: now}
	return true
}

func (g *Gateway) offerEphemeral(now time.Time, id uint64, session *session, message EphemeralCopy, effects *statemachine.Effects) {
	if !session.movedAt.IsZero() {
		return
	}
	space, _ := spaceOf(message.Space + "/")
	wanted := false
	for interest, subscription := range session.subscriptions {
		if interest.Space == space && interest.matches(message.Topic) {
			if subscription.filling || session.filling() {
				session.ephemeralBuffer = append(session.ephemeralBuffer, message)
				return
			}
			// What is offered late is for those who were away, not for those
			// who had not asked yet.
			wanted = wanted || !message.Repeated || now.Sub(subscription.resumedAt) <= resumedFor
		}
	}
	if !wanted || !session.markSeen(now, message.Space, message.Sender, message.Seq) {
		return
	}
	g.Counts.Delivered++
	g.ring.Record(now, "", decisionlog.MessageName(space, message.Sender, message.Seq), session.client, "delivered")
	g.emit(id, Event{
		Event: "message", Space: space, Topic: message.Topic, Sender: message.Sender, Seq: message.Seq,
		Data: json.RawMessage(message.Data), Cursor: g.cursor(now, session),
	}, effects)
}
