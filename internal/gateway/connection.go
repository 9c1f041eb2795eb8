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

type mark struct {
	seq uint64
	at  time.Time
}

type subscription struct {
	since     map[string]uint64
	notBefore map[string]uint64
	filling   bool
	resumedAt time.Time
}

type channel struct {
	name          string
	origin        string
	subscriptions map[Interest]*subscription
	routed        map[string]*place
	got           map[string]map[uint64]time.Time
	above         map[string]map[uint64]bool
	marks         map[string]map[string]mark
	buffer        []Carry
	floors        map[string]uint64
	passBuffer    []Pass
	pongAt        time.Time
	pingAt        time.Time
	movedAt       time.Time
	// lines is set where the adapter itself watches whether the caller lives.
	lines bool
}

// interests lists what a channel subscribes to, in order.
func (c *channel) interests() []Interest {
	interests := make([]Interest, 0, len(c.subscriptions))
	for interest := range c.subscriptions {
		interests = append(interests, interest)
	}
	slices.SortFunc(interests, compareInterests)
	return interests
}

func (c *channel) filling() bool {
	for _, subscription := range c.subscriptions {
		if subscription.filling {
			return true
		}
	}
	return false
}

// catchingUp tells whether a subscription to a routed topic still lacks something.
func (c *channel) catchingUp() bool {
	for _, taken := range c.routed {
		if taken.filling {
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
func (g *Gateway) emitLast(now time.Time, id uint64, channel *channel, code string, effects *statemachine.Effects) {
	effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{
		Session: id, Event: Event{Event: "gone", Code: code, Cursor: g.cursor(now, channel)}, Close: true,
	})
}

func (g *Gateway) openChannel(now time.Time, request OpenChannel, effects *statemachine.Effects) {
	g.Counts.Requests++
	if request.Lines && !g.stopping && !g.Confirmed(now) {
		// Its first news, or the next, may be on the way: one look spares a caller
		// that comes right after a start the pause that follows a refusal.
		g.look(now, func(now time.Time, effects *statemachine.Effects) { g.takeChannel(now, request, effects) })
		return
	}
	g.takeChannel(now, request, effects)
}

func (g *Gateway) takeChannel(now time.Time, request OpenChannel, effects *statemachine.Effects) {
	if request.Lines && g.leaving() && g.Confirmed(now) {
		if targets := g.targets(); len(targets) > 0 {
			g.turnAway(now, request, targets, effects)
			return
		}
	}
	switch {
	case g.stopping:
		effects.Respond(request.Request, refused(503, "stopping", "this daemon is stopping", comeBackSoon))
		return
	case !g.Confirmed(now):
		effects.Respond(request.Request, refused(503, "unconfirmed", "this daemon can't confirm its configuration", comeBackLater))
		return
	case request.Lines && !g.admits(now):
		effects.Respond(request.Request, refused(503, "busy", "this daemon's link can't serve more callers at once", comeBackSoon))
		return
	case len(g.channels) >= g.settings.OriginsMost:
		effects.Respond(request.Request, refused(503, "full", "this daemon holds all the channels it may", comeBackSoon))
		return
	}
	g.channels[request.Channel] = newChannel(now, request)
	g.supersede(now, request.Origin, request.Channel, effects)
	g.timers.ArmSooner("tick", now.Add(tickEvery))
	g.ring.Record(now, "", "", request.Origin, "channel-opened", "channel", request.Name)
	effects.Emit(logevent.SessionOpened, "origin", request.Origin)
	effects.Respond(request.Request, accepted(nil))
	g.emit(request.Channel, Event{
		Event: "hello", Channel: request.Name, Daemon: g.settings.Self.Name, Zone: g.settings.Self.Zone, Version: g.ConfigurationVersion(),
	}, effects)
}

func newChannel(now time.Time, request OpenChannel) *channel {
	return &channel{
		name: request.Name, origin: request.Origin, subscriptions: map[Interest]*subscription{}, routed: map[string]*place{}, lines: request.Lines,
		got: map[string]map[uint64]time.Time{}, above: map[string]map[uint64]bool{}, marks: map[string]map[string]mark{}, pongAt: now, pingAt: now,
	}
}

// leaving tells whether this gateway is to be empty soon while others are not:
// one that is only full or out of touch sends nobody on, since the others may be
// so too and would send them back.
func (g *Gateway) leaving() bool {
	return g.stopping || g.follower.Directives.Rest || slices.Contains(g.config.Drains, g.settings.Self.Name)
}

// turnAway opens a channel only to say where its origin is better served: that
// is found sooner so than by trying.
func (g *Gateway) turnAway(now time.Time, request OpenChannel, targets []membership.Member, effects *statemachine.Effects) {
	opened := newChannel(now, request)
	g.channels[request.Channel] = opened
	g.timers.ArmSooner("tick", now.Add(tickEvery))
	effects.Respond(request.Request, accepted(nil))
	g.turn++
	g.move(now, request.Channel, opened, targets[g.turn%min(len(targets), 3)], effects)
}

func (g *Gateway) closeChannel(now time.Time, request CloseChannel, effects *statemachine.Effects) {
	channel, found := g.channels[request.Channel]
	if !found {
		return
	}
	for _, interest := range channel.interests() {
		g.dropSubscription(now, request.Channel, interest, true, effects)
	}
	g.dropRouted(now, channel, effects)
	if g.newest[channel.origin] == request.Channel {
		delete(g.newest, channel.origin)
	}
	delete(g.channels, request.Channel)
	number := logevent.SessionClosed
	if request.Why == "slow" {
		number = logevent.SessionTooSlow
	}
	effects.Emit(number, "origin", channel.origin, "why", request.Why)
	g.ring.Record(now, "", "", channel.origin, "channel-closed", "why", request.Why)
}

func (g *Gateway) tendChannel(now time.Time, id uint64, channel *channel, effects *statemachine.Effects) {
	for _, got := range channel.got {
		for offset, at := range got {
			if now.Sub(at) > gotMemory {
				delete(got, offset)
			}
		}
	}
	for _, marks := range channel.marks {
		for sender, mark := range marks {
			if now.Sub(mark.at) > markMemory {
				delete(marks, sender)
			}
		}
	}
	if !channel.movedAt.IsZero() {
		if now.Sub(channel.movedAt) > moveLinger {
			effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{Session: id, Event: Event{Event: "gone", Code: "moved"}, Close: true})
			g.closeChannel(now, CloseChannel{Channel: id, Why: "moved"}, effects)
		}
		return
	}
	if channel.lines {
		return
	}
	if now.Sub(channel.pongAt) > pongLimit {
		g.emitLast(now, id, channel, "no-pong", effects)
		g.closeChannel(now, CloseChannel{Channel: id, Why: "no-pong"}, effects)
		return
	}
	if now.Sub(channel.pingAt) >= pingEvery {
		channel.pingAt = now
		g.emit(id, Event{Event: "ping", Cursor: g.cursor(now, channel)}, effects)
	}
}

func (g *Gateway) pong(now time.Time, request Pong, effects *statemachine.Effects) {
	channel, found := g.channels[request.Channel]
	if !found || channel.origin != request.Origin {
		effects.Respond(request.Request, refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	channel.pongAt = now
	effects.Respond(request.Request, accepted(nil))
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
	g.trySubscribe(now, request, false, effects)
}

func (g *Gateway) answerSubscribe(now time.Time, request Subscribe, answer Answer, effects *statemachine.Effects) {
	switch answer.Outcome {
	case OutcomeAccepted:
		g.Counts.Accepted++
	default:
		g.Counts.RefusedRequests++
	}
	g.ring.Record(now, request.RequestName, "", request.Origin, "answered", "outcome", answer.Outcome, "code", answer.Code)
	effects.Respond(request.Request, answer)
}

func (g *Gateway) trySubscribe(now time.Time, request Subscribe, looked bool, effects *statemachine.Effects) {
	answer := func(returned Answer) { g.answerSubscribe(now, request, returned, effects) }
	channel, found := g.channels[request.Channel]
	if !found || channel.origin != request.Origin {
		answer(refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	channel.pongAt = now
	if !channel.movedAt.IsZero() {
		answer(refused(409, "moved", "this channel was asked to move", 0))
		return
	}
	var place cursor
	if request.Cursor != "" {
		var code string
		if place, code = openCursor(g.settings.Key, request.Origin, request.Cursor); code != "" {
			answer(refused(400, code, "the cursor is not one of this origin's", 0))
			return
		}
		if len(request.Interests) == 0 {
			request.Interests = g.living(place.Interests)
		}
	}
	judged := &Judged{Kind: "subscribe", Origin: request.Origin, Paths: request.Interests, Looked: looked}
	retry := func(now time.Time, effects *statemachine.Effects) { g.trySubscribe(now, request, true, effects) }
	if !g.judge(now, judged, request.RequestName, retry, answer) {
		return
	}
	if len(channel.subscriptions)+len(request.Interests) > interestsMost {
		answer(refused(429, "too-many-subscriptions", "a channel holds 256 subscriptions at most", 0))
		return
	}
	round := &fetch{
		channel: request.Channel, request: request, resumes: request.Cursor != "", partitions: map[string]*fetched{},
		records: map[string][]partition.Record{}, limit: now.Add(subscribeLimit),
	}
	for space, marks := range place.Marks {
		for sender, seq := range marks {
			channel.markSeen(now, space, sender, seq)
		}
	}
	for _, interest := range request.Interests {
		if _, present := channel.subscriptions[interest]; present {
			continue
		}
		round.interests = append(round.interests, interest)
	}
	if len(round.interests) == 0 {
		answer(accepted(map[string]any{"subscriptions": len(channel.subscriptions), "cursor": g.cursor(now, channel)}))
		return
	}
	g.nextRequest++
	id := g.nextRequest
	g.fetches[id] = round
	round.joins = 1
	g.timers.ArmSooner("limits", round.limit)
	for _, interest := range round.interests {
		g.addSubscription(now, channel, request.Channel, interest)
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
				channel.hadAlready(now, name, at.Extras)
				if since, later := at.Since[interest.key()]; later {
					channel.notBefore(interest, name, since)
				}
			}
			if interest.Wide {
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
	g.ring.Record(now, request.RequestName, "", request.Origin, "joining", "interests", len(round.interests), "resumes", round.resumes)
	round.joins--
	g.advanceFetch(now, id, round, place, effects)
}

// living leaves out interests of a cursor whose space is gone.
func (g *Gateway) living(interests []Interest) []Interest {
	var found []Interest
	for _, interest := range interests {
		if _, present := g.spaces[interest.Space]; present {
			found = append(found, interest)
		}
	}
	return found
}

// hadAlready notes offsets that the origin had before it came here.
func (c *channel) hadAlready(now time.Time, name string, offsets []uint64) {
	for _, offset := range offsets {
		c.takes(now, name, offset)
	}
}

// takes notes that the origin has a message now, and tells whether it had not.
// What is above the place's floor is kept apart, since every cursor names it.
func (c *channel) takes(now time.Time, name string, offset uint64) bool {
	if c.got[name] == nil {
		c.got[name], c.above[name] = map[uint64]time.Time{}, map[uint64]bool{}
	}
	if _, had := c.got[name][offset]; had {
		return false
	}
	c.got[name][offset] = now
	c.above[name][offset] = true
	return true
}

// notBefore notes that an interest began above the place's floor.
func (c *channel) notBefore(interest Interest, name string, since uint64) {
	subscription := c.subscriptions[interest]
	if subscription.notBefore == nil {
		subscription.notBefore = map[string]uint64{}
	}
	subscription.notBefore[name] = since
}

// asksFor tells whether a missed message is one that an interest asked for at
// the time.
func (c *channel) asksFor(interests []Interest, carry Carry) bool {
	space, _ := spaceOf(carry.Partition)
	for _, interest := range interests {
		subscription, found := c.subscriptions[interest]
		if found && interest.Space == space && interest.matches(carry.Record.Topic) && carry.Record.Offset > subscription.notBefore[carry.Partition] {
			return true
		}
	}
	return false
}

func (g *Gateway) partitionsOf(state *spaceState, interest Interest) []string {
	if state.space.Retention != config.Durable {
		return nil
	}
	if !interest.Wide {
		return []string{g.partitionOf(state, interest.Path)}
	}
	var names []string
	for number := range state.space.Partitions() {
		names = append(names, partitionName(state.name, number))
	}
	return names
}

func (g *Gateway) addSubscription(now time.Time, channel *channel, id uint64, interest Interest) {
	state := g.spaces[interest.Space]
	channel.subscriptions[interest] = &subscription{since: map[string]uint64{}, filling: true}
	table := state.topics
	if interest.Wide {
		table = state.wides
	}
	if table[interest.Path] == nil {
		table[interest.Path] = map[uint64]bool{}
	}
	table[interest.Path][id] = true
	for _, name := range g.partitionsOf(state, interest) {
		channel.subscriptions[interest].since[name] = everything
		g.follow(now, name).add(interest)
	}
}

// dropSubscription ends a subscription. Where its origin did not ask for that,
// the overlay peer stays for a while: the origin, or another with the same
// interest, is likely to come back, and a next try finds the peer further on
// instead of beginning anew.
func (g *Gateway) dropSubscription(now time.Time, id uint64, interest Interest, linger bool, effects *statemachine.Effects) {
	channel := g.channels[id]
	delete(channel.subscriptions, interest)
	state, found := g.spaces[interest.Space]
	if !found {
		return
	}
	table := state.topics
	if interest.Wide {
		table = state.wides
	}
	delete(table[interest.Path], id)
	if len(table[interest.Path]) == 0 {
		delete(table, interest.Path)
	}
	for _, name := range g.partitionsOf(state, interest) {
		if tracker, followed := g.trackers[name]; followed && tracker.remove(interest) {
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
	channel, found := g.channels[request.Channel]
	if !found || channel.origin != request.Origin {
		effects.Respond(request.Request, refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	for _, interest := range request.Interests {
		if _, present := channel.subscriptions[interest]; present {
			g.dropSubscription(now, request.Channel, interest, false, effects)
		}
	}
	effects.Respond(request.Request, accepted(map[string]any{"subscriptions": len(channel.subscriptions)}))
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
		g.follower.PollNow(now)
		return
	}
	g.Counts.Fetches++
	effects.Send(address, partition.Fetch{
		Partition: name, RequestID: id, After: asked.after, Topics: asked.topics, Prefixes: asked.prefixes, SkipOffsets: asked.skip,
	})
}

func (g *Gateway) tendFetch(now time.Time, id uint64, round *fetch, effects *statemachine.Effects) time.Time {
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
	if channel, found := g.channels[round.channel]; found {
		g.dropFilling(now, round, channel, effects)
		g.drain(now, round.channel, channel, effects)
	}
	g.answerSubscribe(now, round.request, refused(503, code, "the place could not be found in time; nothing is subscribed", comeBackSoon), effects)
}

// had tells whether an answer is one that came before, to an earlier part of what is
// asked.
func (f *fetched) had(returned partition.FetchResponse) bool {
	return f.after != everything && returned.Until <= f.after && f.after < returned.HighWatermark && !statemachine.Mutated("any-answer")
}

// lacked are the records beyond what was had before.
func (f *fetched) lacked(records []partition.Record) []partition.Record {
	if statemachine.Mutated("any-answer") {
		return records
	}
	return slices.DeleteFunc(records, func(record partition.Record) bool { return record.Offset <= f.after })
}

func (g *Gateway) onFetchResponse(now time.Time, returned partition.FetchResponse, effects *statemachine.Effects) {
	round, found := g.fetches[returned.RequestID]
	if !found {
		g.Counts.Late += uint64(len(returned.Records))
		return
	}
	asked, wanted := round.partitions[returned.Partition]
	if !wanted || asked.done {
		return
	}
	place, placed := g.follower.Placements[returned.Partition]
	if !returned.Ready || !placed || returned.Epoch < place.Epoch {
		if !returned.Ready {
			g.follower.PollNow(now)
		}
		return
	}
	if asked.after != everything && asked.after < returned.Base && round.tracker == "" {
		// What lies between was kept for the holding time and is gone.
		g.lostPlace(now, returned.RequestID, round, effects)
		return
	}
	if asked.had(returned) {
		return
	}
	asked.waiting = false
	if asked.after == everything {
		asked.until = returned.HighWatermark
	} else {
		asked.until = max(returned.Until, min(asked.after, returned.HighWatermark))
		round.records[returned.Partition] = append(round.records[returned.Partition], asked.lacked(returned.Records)...)
		if asked.until < returned.HighWatermark {
			asked.after = asked.until
			g.ask(now, returned.RequestID, returned.Partition, asked, effects)
			return
		}
	}
	asked.done = true
	g.advanceFetch(now, returned.RequestID, round, cursor{}, effects)
}

// dropFilling ends the subscriptions that a round did not come to fill.
func (g *Gateway) dropFilling(now time.Time, round *fetch, channel *channel, effects *statemachine.Effects) {
	for _, interest := range round.interests {
		if subscription, present := channel.subscriptions[interest]; present && subscription.filling {
			g.dropSubscription(now, round.channel, interest, true, effects)
		}
	}
}

func (g *Gateway) lostPlace(now time.Time, id uint64, round *fetch, effects *statemachine.Effects) {
	delete(g.fetches, id)
	if channel, found := g.channels[round.channel]; found {
		g.dropFilling(now, round, channel, effects)
	}
	g.answerSubscribe(now, round.request, refused(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0), effects)
}

// completeFetch ends a round: for a tracker it takes what was missed; for a
// channel it hands over the missed messages in an order that fits all senders.
func (g *Gateway) completeFetch(now time.Time, id uint64, round *fetch, effects *statemachine.Effects) {
	if round.tracker != "" {
		delete(g.fetches, id)
		g.verified(now, round, effects)
		return
	}
	channel, found := g.channels[round.channel]
	if !found {
		delete(g.fetches, id)
		return
	}
	ordered, again := merge(round)
	for name, asked := range statemachine.Sorted(round.partitions) {
		// The partition was verified further for others meanwhile; what lies
		// between was not kept here for this channel.
		if tracker, followed := g.trackers[name]; followed && tracker.began && asked.until < tracker.verified {
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
		subscription, present := channel.subscriptions[interest]
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
				if tracker, followed := g.trackers[name]; followed {
					tracker.begin(interest, asked.until)
				}
			}
		}
	}
	// Until all of it is handed over, a cursor must still say where it began.
	channel.floors = map[string]uint64{}
	for name, asked := range round.partitions {
		if asked.from != everything {
			channel.floors[name] = asked.from
		}
	}
	missed := 0
	for _, each := range ordered {
		if channel.asksFor(round.interests, each) {
			missed++
			g.hand(now, round.channel, channel, each, effects)
		}
	}
	channel.floors = nil
	g.answerSubscribe(now, round.request, accepted(map[string]any{
		"subscriptions": len(channel.subscriptions), "resumed": round.resumes, "missed": missed, "cursor": g.cursor(now, channel),
	}), effects)
	if round.resumes {
		g.replay(now, channel, round.interests)
	}
	g.drain(now, round.channel, channel, effects)
	g.timers.ArmSooner("follow", now)
	g.pump(now, effects)
}

// merge puts the records of several partitions in an order in which each partition's
// records and each sender's messages follow each other. It names the partitions
// that must be asked again for a record that another one refers to.
func merge(round *fetch) (ordered []Carry, again []string) {
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
				ordered = append(ordered, Carry{Partition: name, Record: record})
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
func leftOver(round *fetch, at map[string]int) []Carry {
	var rest []Carry
	for name, records := range statemachine.Sorted(round.records) {
		for _, record := range records[at[name]:] {
			rest = append(rest, Carry{Partition: name, Record: record})
		}
	}
	slices.SortStableFunc(rest, func(left, right Carry) int { return left.Record.AppendedAt.Compare(right.Record.AppendedAt) })
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

// drain hands over what waited while a channel was being filled.
func (g *Gateway) drain(now time.Time, id uint64, channel *channel, effects *statemachine.Effects) {
	if channel.filling() {
		return
	}
	// What is left in the buffer keeps the cursor's floor below it.
	for len(channel.buffer) > 0 {
		carry := channel.buffer[0]
		channel.buffer = channel.buffer[1:]
		g.offer(now, id, channel, carry, effects)
	}
	passes := channel.passBuffer
	channel.passBuffer = nil
	for _, message := range passes {
		g.offerPass(now, id, channel, message, effects)
	}
}

// Handing over.

// offer gives a kept message to a channel, if one of its subscriptions wants it
// and it has not had it.
func (g *Gateway) offer(now time.Time, id uint64, channel *channel, carry Carry, effects *statemachine.Effects) {
	space, _ := spaceOf(carry.Partition)
	wanted, waits := false, false
	for interest, subscription := range channel.subscriptions {
		if interest.Space != space || !interest.matches(carry.Record.Topic) {
			continue
		}
		if subscription.filling {
			waits = true
			continue
		}
		wanted = wanted || carry.Record.Offset > subscription.since[carry.Partition]
	}
	wanted = wanted || statemachine.Mutated("no-exact-match")
	if channel.filling() && (wanted || waits) {
		// While any part is being filled the whole channel waits, since a
		// sender's order runs across its subscriptions.
		channel.buffer = append(channel.buffer, carry)
		return
	}
	if wanted {
		g.hand(now, id, channel, carry, effects)
	}
}

func (i Interest) matches(topic string) bool {
	if i.Wide {
		return partition.HasTopicPrefix(topic, i.Path)
	}
	return topic == i.Path
}

// hand gives a kept message to a channel once.
func (g *Gateway) hand(now time.Time, id uint64, channel *channel, carry Carry, effects *statemachine.Effects) {
	if !channel.movedAt.IsZero() || !channel.takes(now, carry.Partition, carry.Record.Offset) {
		return
	}
	space, _ := spaceOf(carry.Partition)
	g.Counts.Delivered++
	g.ring.Record(now, "", decisionlog.MessageName(space, carry.Record.Sender, carry.Record.Seq), channel.origin, "delivered",
		"partition", carry.Partition, "offset", carry.Record.Offset)
	g.emit(id, Event{
		Event: "message", Space: space, Topic: carry.Record.Topic, Sender: carry.Record.Sender, Seq: carry.Record.Seq,
		Data: json.RawMessage(carry.Record.Data), Cursor: g.cursor(now, channel),
	}, effects)
}

func (c *channel) markSeen(now time.Time, space, sender string, seq uint64) bool {
	marks := c.marks[space]
	if marks == nil {
		marks = map[string]mark{}
		c.marks[space] = marks
	}
	if marks[sender].seq >= seq {
		return false
	}
	marks[sender] = mark{seq: seq, at: now}
	return true
}

func (g *Gateway) offerPass(now time.Time, id uint64, channel *channel, message Pass, effects *statemachine.Effects) {
	if !channel.movedAt.IsZero() {
		return
	}
	space, _ := spaceOf(message.Space + "/")
	wanted := false
	for interest, subscription := range channel.subscriptions {
		if interest.Space == space && interest.matches(message.Topic) {
			if subscription.filling || channel.filling() {
				channel.passBuffer = append(channel.passBuffer, message)
				return
			}
			// What is offered late is for those who were away, not for those
			// who had not asked yet.
			wanted = wanted || !message.Late || now.Sub(subscription.resumedAt) <= resumedFor
		}
	}
	if !wanted || !channel.markSeen(now, message.Space, message.Sender, message.Seq) {
		return
	}
	g.Counts.Delivered++
	g.ring.Record(now, "", decisionlog.MessageName(space, message.Sender, message.Seq), channel.origin, "delivered")
	g.emit(id, Event{
		Event: "message", Space: space, Topic: message.Topic, Sender: message.Sender, Seq: message.Seq,
		Data: json.RawMessage(message.Data), Cursor: g.cursor(now, channel),
	}, effects)
}
