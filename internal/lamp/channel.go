// Channels and what they subscribe to. A subscription to kept topics begins by
// learning the heads of its strands, or, with a cursor, by fetching all that was
// missed; until that is done its live messages wait, so that nothing is handed
// over twice, skipped or out of order. Several interests resumed together are
// filled as one, since a sender's order runs across them.
package lamp

import (
	"encoding/json"
	"slices"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/fairway"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/soundings"
	"dahlialock/internal/strand"
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
func (channel *channel) interests() []Interest {
	interests := make([]Interest, 0, len(channel.subscriptions))
	for interest := range channel.subscriptions {
		interests = append(interests, interest)
	}
	slices.SortFunc(interests, compareInterests)
	return interests
}

func (channel *channel) filling() bool {
	for _, subscription := range channel.subscriptions {
		if subscription.filling {
			return true
		}
	}
	return false
}

// emit hands an event to a channel's writer.
func (lantern *Lantern) emit(id uint64, event Event, effects *helm.Effects) {
	effects.Delivers = append(effects.Delivers, helm.Deliver{Channel: id, Event: event})
}

// emitLast tells a channel why it ends and where its origin may resume.
func (lantern *Lantern) emitLast(now time.Time, id uint64, channel *channel, code string, effects *helm.Effects) {
	effects.Delivers = append(effects.Delivers, helm.Deliver{
		Channel: id, Event: Event{Event: "gone", Code: code, Cursor: lantern.cursor(now, channel)}, Close: true,
	})
}

func (lantern *Lantern) openChannel(now time.Time, visit OpenChannel, effects *helm.Effects) {
	lantern.Counts.Visits++
	if visit.Lines && !lantern.stopping && !lantern.Confirmed(now) {
		// Its first news, or the next, may be on the way: one look spares a caller
		// that comes right after a start the pause that follows a refusal.
		lantern.look(now, func(now time.Time, effects *helm.Effects) { lantern.takeChannel(now, visit, effects) })
		return
	}
	lantern.takeChannel(now, visit, effects)
}

func (lantern *Lantern) takeChannel(now time.Time, visit OpenChannel, effects *helm.Effects) {
	if visit.Lines && lantern.leaving() && lantern.Confirmed(now) {
		if targets := lantern.targets(); len(targets) > 0 {
			lantern.turnAway(now, visit, targets, effects)
			return
		}
	}
	switch {
	case lantern.stopping:
		effects.Return(visit.Visit, refused(503, "stopping", "this daemon is stopping", comeBackSoon))
		return
	case !lantern.Confirmed(now):
		effects.Return(visit.Visit, refused(503, "unconfirmed", "this daemon can't confirm its configuration", comeBackLater))
		return
	case len(lantern.channels) >= lantern.props.OriginsMost:
		effects.Return(visit.Visit, refused(503, "full", "this daemon holds all the channels it may", comeBackSoon))
		return
	}
	lantern.channels[visit.Channel] = newChannel(now, visit)
	lantern.supersede(now, visit.Origin, visit.Channel, effects)
	lantern.timers.ArmSooner("tick", now.Add(tickEvery))
	lantern.ring.Record(now, "", "", visit.Origin, "channel-opened", "channel", visit.Name)
	effects.Note(foghorn.ChannelOpened, "origin", visit.Origin)
	effects.Return(visit.Visit, accepted(nil))
	lantern.emit(visit.Channel, Event{
		Event: "hello", Channel: visit.Name, Daemon: lantern.props.Self.Name, Locality: lantern.props.Self.Locality, Version: lantern.Version(),
	}, effects)
}

func newChannel(now time.Time, visit OpenChannel) *channel {
	return &channel{
		name: visit.Name, origin: visit.Origin, subscriptions: map[Interest]*subscription{}, routed: map[string]*place{}, lines: visit.Lines,
		got: map[string]map[uint64]time.Time{}, above: map[string]map[uint64]bool{}, marks: map[string]map[string]mark{}, pongAt: now, pingAt: now,
	}
}

// leaving tells whether this lantern is to be empty soon while others are not:
// one that is only full or out of touch sends nobody on, since the others may be
// so too and would send them back.
func (lantern *Lantern) leaving() bool {
	return lantern.stopping || lantern.follower.Orders.Rest || slices.Contains(lantern.config.Drains, lantern.props.Self.Name)
}

// turnAway opens a channel only to say where its origin is better served: that
// is found sooner so than by trying.
func (lantern *Lantern) turnAway(now time.Time, visit OpenChannel, targets []beacon.Member, effects *helm.Effects) {
	opened := newChannel(now, visit)
	lantern.channels[visit.Channel] = opened
	lantern.timers.ArmSooner("tick", now.Add(tickEvery))
	effects.Return(visit.Visit, accepted(nil))
	lantern.turn++
	lantern.move(now, visit.Channel, opened, targets[lantern.turn%min(len(targets), 3)], effects)
}

func (lantern *Lantern) closeChannel(now time.Time, visit CloseChannel, effects *helm.Effects) {
	channel, found := lantern.channels[visit.Channel]
	if !found {
		return
	}
	for _, interest := range channel.interests() {
		lantern.dropSubscription(now, visit.Channel, interest, true, effects)
	}
	lantern.dropRouted(now, channel, effects)
	if lantern.newest[channel.origin] == visit.Channel {
		delete(lantern.newest, channel.origin)
	}
	delete(lantern.channels, visit.Channel)
	number := foghorn.ChannelClosed
	if visit.Why == "slow" {
		number = foghorn.ChannelSlow
	}
	effects.Note(number, "origin", channel.origin, "why", visit.Why)
	lantern.ring.Record(now, "", "", channel.origin, "channel-closed", "why", visit.Why)
}

func (lantern *Lantern) tendChannel(now time.Time, id uint64, channel *channel, effects *helm.Effects) {
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
			effects.Delivers = append(effects.Delivers, helm.Deliver{Channel: id, Event: Event{Event: "gone", Code: "moved"}, Close: true})
			lantern.closeChannel(now, CloseChannel{Channel: id, Why: "moved"}, effects)
		}
		return
	}
	if channel.lines {
		return
	}
	if now.Sub(channel.pongAt) > pongLimit {
		lantern.emitLast(now, id, channel, "no-pong", effects)
		lantern.closeChannel(now, CloseChannel{Channel: id, Why: "no-pong"}, effects)
		return
	}
	if now.Sub(channel.pingAt) >= pingEvery {
		channel.pingAt = now
		lantern.emit(id, Event{Event: "ping", Cursor: lantern.cursor(now, channel)}, effects)
	}
}

func (lantern *Lantern) pong(now time.Time, visit Pong, effects *helm.Effects) {
	channel, found := lantern.channels[visit.Channel]
	if !found || channel.origin != visit.Origin {
		effects.Return(visit.Visit, refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	channel.pongAt = now
	effects.Return(visit.Visit, accepted(nil))
}

// Subscribing.

// fetch is a round of questions to keepers: for a subscribing channel, or for a
// tracker that verifies what it has.
type fetch struct {
	channel   uint64
	visit     Subscribe
	interests []Interest
	resumes   bool
	strands   map[string]*fetched
	records   map[string][]strand.Record
	rounds    int
	joins     int
	failed    bool
	limit     time.Time
	tracker   string
	version   uint64
	answered  bool
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

func (lantern *Lantern) subscribe(now time.Time, visit Subscribe, effects *helm.Effects) {
	lantern.Counts.Visits++
	if len(visit.Interests) > 0 && lantern.routedTopic(visit.Interests[0].Space) {
		lantern.subscribeRouted(now, visit, false, effects)
		return
	}
	lantern.trySubscribe(now, visit, false, effects)
}

func (lantern *Lantern) answerSubscribe(now time.Time, visit Subscribe, answer Answer, effects *helm.Effects) {
	switch answer.Outcome {
	case OutcomeAccepted:
		lantern.Counts.Accepted++
	default:
		lantern.Counts.RefusedVisits++
	}
	lantern.ring.Record(now, visit.VisitName, "", visit.Origin, "answered", "outcome", answer.Outcome, "code", answer.Code)
	effects.Return(visit.Visit, answer)
}

func (lantern *Lantern) trySubscribe(now time.Time, visit Subscribe, looked bool, effects *helm.Effects) {
	answer := func(returned Answer) { lantern.answerSubscribe(now, visit, returned, effects) }
	channel, found := lantern.channels[visit.Channel]
	if !found || channel.origin != visit.Origin {
		answer(refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	channel.pongAt = now
	if !channel.movedAt.IsZero() {
		answer(refused(409, "moved", "this channel was asked to move", 0))
		return
	}
	var place cursor
	if visit.Cursor != "" {
		var code string
		if place, code = openCursor(lantern.props.Key, visit.Origin, visit.Cursor); code != "" {
			answer(refused(400, code, "the cursor is not one of this origin's", 0))
			return
		}
		if len(visit.Interests) == 0 {
			visit.Interests = lantern.living(place.Interests)
		}
	}
	judged := &Judged{Kind: "subscribe", Origin: visit.Origin, Paths: visit.Interests, Looked: looked}
	retry := func(now time.Time, effects *helm.Effects) { lantern.trySubscribe(now, visit, true, effects) }
	if !lantern.judge(now, judged, visit.VisitName, retry, answer) {
		return
	}
	if len(channel.subscriptions)+len(visit.Interests) > interestsMost {
		answer(refused(429, "too-many-subscriptions", "a channel holds 256 subscriptions at most", 0))
		return
	}
	round := &fetch{
		channel: visit.Channel, visit: visit, resumes: visit.Cursor != "", strands: map[string]*fetched{},
		records: map[string][]strand.Record{}, limit: now.Add(subscribeLimit),
	}
	for space, marks := range place.Marks {
		for sender, seq := range marks {
			channel.markSeen(now, space, sender, seq)
		}
	}
	for _, interest := range visit.Interests {
		if _, present := channel.subscriptions[interest]; present {
			continue
		}
		round.interests = append(round.interests, interest)
	}
	if len(round.interests) == 0 {
		answer(accepted(map[string]any{"subscriptions": len(channel.subscriptions), "cursor": lantern.cursor(now, channel)}))
		return
	}
	lantern.nextVisit++
	id := lantern.nextVisit
	lantern.fetches[id] = round
	round.joins = 1
	lantern.timers.ArmSooner("limits", round.limit)
	for _, interest := range round.interests {
		lantern.addSubscription(now, channel, visit.Channel, interest)
	}
	for _, interest := range round.interests {
		state := lantern.spaces[interest.Space]
		for _, name := range lantern.strandsOf(state, interest) {
			asked, found := round.strands[name]
			if !found {
				asked = &fetched{from: everything, after: everything}
				round.strands[name] = asked
			}
			if at, resumes := place.Strands[name]; resumes {
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
		lantern.fairway.Subscribe(now, state.name, areaOf(state.space, interest.Path), func(now time.Time, effects *helm.Effects, settled bool) {
			round.joins--
			round.failed = round.failed || !settled
			lantern.advanceFetch(now, id, round, place, effects)
		}, effects)
	}
	lantern.ring.Record(now, visit.VisitName, "", visit.Origin, "joining", "interests", len(round.interests), "resumes", round.resumes)
	round.joins--
	lantern.advanceFetch(now, id, round, place, effects)
}

// living leaves out interests of a cursor whose space is gone.
func (lantern *Lantern) living(interests []Interest) []Interest {
	var found []Interest
	for _, interest := range interests {
		if _, present := lantern.spaces[interest.Space]; present {
			found = append(found, interest)
		}
	}
	return found
}

// hadAlready notes offsets that the origin had before it came here.
func (channel *channel) hadAlready(now time.Time, name string, offsets []uint64) {
	for _, offset := range offsets {
		channel.takes(now, name, offset)
	}
}

// takes notes that the origin has a message now, and tells whether it had not.
// What is above the place's floor is kept apart, since every cursor names it.
func (channel *channel) takes(now time.Time, name string, offset uint64) bool {
	if channel.got[name] == nil {
		channel.got[name], channel.above[name] = map[uint64]time.Time{}, map[uint64]bool{}
	}
	if _, had := channel.got[name][offset]; had {
		return false
	}
	channel.got[name][offset] = now
	channel.above[name][offset] = true
	return true
}

// notBefore notes that an interest began above the place's floor.
func (channel *channel) notBefore(interest Interest, name string, since uint64) {
	subscription := channel.subscriptions[interest]
	if subscription.notBefore == nil {
		subscription.notBefore = map[string]uint64{}
	}
	subscription.notBefore[name] = since
}

// asksFor tells whether a missed message is one that an interest asked for at
// the time.
func (channel *channel) asksFor(interests []Interest, carry Carry) bool {
	space, _ := spaceOf(carry.Strand)
	for _, interest := range interests {
		subscription, found := channel.subscriptions[interest]
		if found && interest.Space == space && interest.matches(carry.Record.Topic) && carry.Record.Offset > subscription.notBefore[carry.Strand] {
			return true
		}
	}
	return false
}

func (lantern *Lantern) strandsOf(state *spaceState, interest Interest) []string {
	if state.space.Promise != chart.Kept {
		return nil
	}
	if !interest.Wide {
		return []string{lantern.strandOf(state, interest.Path)}
	}
	var names []string
	for number := range state.space.Strands() {
		names = append(names, strandName(state.name, number))
	}
	return names
}

func (lantern *Lantern) addSubscription(now time.Time, channel *channel, id uint64, interest Interest) {
	state := lantern.spaces[interest.Space]
	channel.subscriptions[interest] = &subscription{since: map[string]uint64{}, filling: true}
	table := state.topics
	if interest.Wide {
		table = state.wides
	}
	if table[interest.Path] == nil {
		table[interest.Path] = map[uint64]bool{}
	}
	table[interest.Path][id] = true
	for _, name := range lantern.strandsOf(state, interest) {
		channel.subscriptions[interest].since[name] = everything
		lantern.follow(now, name).add(interest)
	}
}

// dropSubscription ends a subscription. Where its origin did not ask for that,
// the overlay peer stays for a while: the origin, or another with the same
// interest, is likely to come back, and a next try finds the peer further on
// instead of beginning anew.
func (lantern *Lantern) dropSubscription(now time.Time, id uint64, interest Interest, linger bool, effects *helm.Effects) {
	channel := lantern.channels[id]
	delete(channel.subscriptions, interest)
	state, found := lantern.spaces[interest.Space]
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
	for _, name := range lantern.strandsOf(state, interest) {
		if tracker, followed := lantern.trackers[name]; followed && tracker.remove(interest) {
			delete(lantern.trackers, name)
		}
	}
	area := areaOf(state.space, interest.Path)
	if linger {
		// Spread, so that the peers of many who left together don't leave
		// together.
		lantern.turn++
		spread := time.Duration(lantern.turn%lingerSpread) * time.Second
		lantern.lingering = append(lantern.lingering, lingered{space: state.name, area: area, until: now.Add(lingerFor + spread)})
		return
	}
	lantern.fairway.Unsubscribe(now, state.name, area, effects)
}

// lingered is an overlay holding that outlives its subscription for a while.
type lingered struct {
	space string
	area  fairway.Area
	until time.Time
}

func (lantern *Lantern) endLingering(now time.Time, effects *helm.Effects) {
	kept := lantern.lingering[:0]
	for _, each := range lantern.lingering {
		if each.until.After(now) {
			kept = append(kept, each)
			continue
		}
		lantern.fairway.Unsubscribe(now, each.space, each.area, effects)
	}
	lantern.lingering = kept
}

func (lantern *Lantern) unsubscribe(now time.Time, visit Unsubscribe, effects *helm.Effects) {
	lantern.Counts.Visits++
	if len(visit.Interests) > 0 && lantern.routedTopic(visit.Interests[0].Space) {
		lantern.unsubscribeRouted(now, visit, effects)
		return
	}
	channel, found := lantern.channels[visit.Channel]
	if !found || channel.origin != visit.Origin {
		effects.Return(visit.Visit, refused(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	for _, interest := range visit.Interests {
		if _, present := channel.subscriptions[interest]; present {
			lantern.dropSubscription(now, visit.Channel, interest, false, effects)
		}
	}
	effects.Return(visit.Visit, accepted(map[string]any{"subscriptions": len(channel.subscriptions)}))
}

// advanceFetch goes on once the overlay peers have settled: it asks the first
// of each strand, and ends when all have answered.
func (lantern *Lantern) advanceFetch(now time.Time, id uint64, round *fetch, place cursor, effects *helm.Effects) {
	if round.joins > 0 || lantern.fetches[id] != round {
		return
	}
	if round.failed {
		lantern.failFetch(now, id, round, "no-neighbours", effects)
		return
	}
	round.joins = 0
	open := false
	for name, asked := range helm.Sorted(round.strands) {
		if !asked.done {
			open = true
			if !asked.waiting {
				lantern.ask(now, id, name, asked, effects)
			}
		}
	}
	if !open {
		lantern.completeFetch(now, id, round, effects)
	}
}

func (lantern *Lantern) ask(now time.Time, id uint64, name string, asked *fetched, effects *helm.Effects) {
	asked.waiting, asked.askedAt = true, now
	lantern.timers.ArmSooner("limits", now.Add(fetchRetry))
	address, _, found := lantern.firstOf(name)
	if !found {
		lantern.follower.Hurry(now)
		return
	}
	lantern.Counts.Fetches++
	effects.Send(address, strand.Fetch{
		Strand: name, Visit: id, After: asked.after, Topics: asked.topics, Prefixes: asked.prefixes, Skip: asked.skip,
	})
}

func (lantern *Lantern) tendFetch(now time.Time, id uint64, round *fetch, effects *helm.Effects) time.Time {
	if !round.limit.After(now) {
		lantern.failFetch(now, id, round, "no-answer", effects)
		return time.Time{}
	}
	next := round.limit
	if round.joins > 0 {
		return next
	}
	for name, asked := range helm.Sorted(round.strands) {
		if asked.done || !asked.waiting {
			continue
		}
		if !asked.askedAt.Add(fetchRetry).After(now) {
			lantern.ask(now, id, name, asked, effects)
		}
		next = helm.Earliest(next, asked.askedAt.Add(fetchRetry))
	}
	return next
}

func (lantern *Lantern) failFetch(now time.Time, id uint64, round *fetch, code string, effects *helm.Effects) {
	delete(lantern.fetches, id)
	if round.tracker != "" {
		if tracker, found := lantern.trackers[round.tracker]; found {
			tracker.verifying = false
			tracker.wanted = true
			lantern.timers.ArmSooner("verify", now.Add(verifyEvery))
		}
		return
	}
	if channel, found := lantern.channels[round.channel]; found {
		lantern.dropFilling(now, round, channel, effects)
		lantern.drain(now, round.channel, channel, effects)
	}
	lantern.answerSubscribe(now, round.visit, refused(503, code, "the place could not be found in time; nothing is subscribed", comeBackSoon), effects)
}

func (lantern *Lantern) onFetchReturn(now time.Time, returned strand.FetchReturn, effects *helm.Effects) {
	if asked, routed := lantern.routed.fetches[returned.Visit]; routed {
		lantern.onTopicFetched(now, asked, returned, effects)
		return
	}
	round, found := lantern.fetches[returned.Visit]
	if !found {
		return
	}
	asked, wanted := round.strands[returned.Strand]
	if !wanted || asked.done {
		return
	}
	place, placed := lantern.follower.Places[returned.Strand]
	if !returned.Ready || !placed || returned.Epoch < place.Epoch {
		if !returned.Ready {
			lantern.follower.Hurry(now)
		}
		return
	}
	if asked.after != everything && asked.after < returned.Base && round.tracker == "" {
		// What lies between was kept for the holding time and is gone.
		lantern.lostPlace(now, returned.Visit, round, effects)
		return
	}
	asked.waiting = false
	if asked.after == everything {
		asked.until = returned.Head
	} else {
		asked.until = max(returned.Until, min(asked.after, returned.Head))
		round.records[returned.Strand] = append(round.records[returned.Strand], returned.Records...)
		if asked.until < returned.Head {
			asked.after = asked.until
			lantern.ask(now, returned.Visit, returned.Strand, asked, effects)
			return
		}
	}
	asked.done = true
	lantern.advanceFetch(now, returned.Visit, round, cursor{}, effects)
}

// dropFilling ends the subscriptions that a round did not come to fill.
func (lantern *Lantern) dropFilling(now time.Time, round *fetch, channel *channel, effects *helm.Effects) {
	for _, interest := range round.interests {
		if subscription, present := channel.subscriptions[interest]; present && subscription.filling {
			lantern.dropSubscription(now, round.channel, interest, true, effects)
		}
	}
}

func (lantern *Lantern) lostPlace(now time.Time, id uint64, round *fetch, effects *helm.Effects) {
	delete(lantern.fetches, id)
	if channel, found := lantern.channels[round.channel]; found {
		lantern.dropFilling(now, round, channel, effects)
	}
	lantern.answerSubscribe(now, round.visit, refused(410, "place-lost", "what was missed is older than the space holds; subscribe without the cursor", 0), effects)
}

// completeFetch ends a round: for a tracker it takes what was missed; for a
// channel it hands over the missed messages in an order that fits all senders.
func (lantern *Lantern) completeFetch(now time.Time, id uint64, round *fetch, effects *helm.Effects) {
	if round.tracker != "" {
		delete(lantern.fetches, id)
		lantern.verified(now, round, effects)
		return
	}
	channel, found := lantern.channels[round.channel]
	if !found {
		delete(lantern.fetches, id)
		return
	}
	ordered, again := merge(round)
	for name, asked := range helm.Sorted(round.strands) {
		// The strand was verified further for others meanwhile; what lies
		// between was not kept here for this channel.
		if tracker, followed := lantern.trackers[name]; followed && tracker.began && asked.until < tracker.verified {
			again = append(again, name)
		}
	}
	if len(again) > 0 && round.rounds < refetchMost {
		// A message refers to one that another strand had not yet told of.
		round.rounds++
		for _, name := range again {
			asked := round.strands[name]
			asked.done = false
			if asked.from != everything {
				asked.after = asked.until
			}
		}
		lantern.advanceFetch(now, id, round, cursor{}, effects)
		return
	}
	delete(lantern.fetches, id)
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
			if asked, wanted := round.strands[name]; wanted {
				subscription.since[name] = asked.until
				if tracker, followed := lantern.trackers[name]; followed {
					tracker.begin(interest, asked.until)
				}
			}
		}
	}
	// Until all of it is handed over, a cursor must still say where it began.
	channel.floors = map[string]uint64{}
	for name, asked := range round.strands {
		if asked.from != everything {
			channel.floors[name] = asked.from
		}
	}
	missed := 0
	for _, each := range ordered {
		if channel.asksFor(round.interests, each) {
			missed++
			lantern.hand(now, round.channel, channel, each, effects)
		}
	}
	channel.floors = nil
	lantern.answerSubscribe(now, round.visit, accepted(map[string]any{
		"subscriptions": len(channel.subscriptions), "resumed": round.resumes, "missed": missed, "cursor": lantern.cursor(now, channel),
	}), effects)
	if round.resumes {
		lantern.replay(now, channel, round.interests)
	}
	lantern.drain(now, round.channel, channel, effects)
	lantern.timers.ArmSooner("follow", now)
	lantern.pump(now, effects)
}

// merge puts the records of several strands in an order in which each strand's
// records and each sender's messages follow each other. It names the strands
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
		for name, records := range helm.Sorted(round.records) {
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
				ordered = append(ordered, Carry{Strand: name, Record: record})
				at[name]++
				progress = true
			}
		}
		if !left {
			return ordered, nil
		}
		if !progress && len(again) == 0 {
			// Only a sender that published through two lanterns at once, out
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
	for name, records := range helm.Sorted(round.records) {
		for _, record := range records[at[name]:] {
			rest = append(rest, Carry{Strand: name, Record: record})
		}
	}
	slices.SortStableFunc(rest, func(left, right Carry) int { return left.Record.At.Compare(right.Record.At) })
	return rest
}

// before tells what a missed message must wait for: strands to be asked again,
// since they were asked before what it refers to was kept, or records that are
// here and have not had their turn.
func (round *fetch) before(full, name string, record strand.Record, at map[string]int) (missing []string, waits bool) {
	for _, mark := range record.Before.Marks {
		other := strandName(full, int(mark.Strand))
		asked, wanted := round.strands[other]
		if !wanted || other == name || !strand.Matches(mark.Topic, asked.topics, asked.prefixes) {
			continue
		}
		if mark.Offset > asked.until {
			missing = append(missing, other)
		}
		for _, each := range round.records[other][at[other]:] {
			waits = waits || each.Offset == mark.Offset
		}
	}
	for _, reach := range record.Before.Floor {
		other := strandName(full, int(reach.Strand))
		asked, wanted := round.strands[other]
		if !wanted || other == name {
			continue
		}
		if reach.Offset > asked.until {
			missing = append(missing, other)
		}
		for _, each := range round.records[other][at[other]:] {
			waits = waits || each.Offset <= reach.Offset
		}
	}
	return missing, waits
}

// drain hands over what waited while a channel was being filled.
func (lantern *Lantern) drain(now time.Time, id uint64, channel *channel, effects *helm.Effects) {
	if channel.filling() {
		return
	}
	// What is left in the buffer keeps the cursor's floor below it.
	for len(channel.buffer) > 0 {
		carry := channel.buffer[0]
		channel.buffer = channel.buffer[1:]
		lantern.offer(now, id, channel, carry, effects)
	}
	passes := channel.passBuffer
	channel.passBuffer = nil
	for _, message := range passes {
		lantern.offerPass(now, id, channel, message, effects)
	}
}

// Handing over.

// offer gives a kept message to a channel, if one of its subscriptions wants it
// and it has not had it.
func (lantern *Lantern) offer(now time.Time, id uint64, channel *channel, carry Carry, effects *helm.Effects) {
	space, _ := spaceOf(carry.Strand)
	wanted, waits := false, false
	for interest, subscription := range channel.subscriptions {
		if interest.Space != space || !interest.matches(carry.Record.Topic) {
			continue
		}
		if subscription.filling {
			waits = true
			continue
		}
		wanted = wanted || carry.Record.Offset > subscription.since[carry.Strand]
	}
	wanted = wanted || helm.Mutated("no-exact-match")
	if channel.filling() && (wanted || waits) {
		// While any part is being filled the whole channel waits, since a
		// sender's order runs across its subscriptions.
		channel.buffer = append(channel.buffer, carry)
		return
	}
	if wanted {
		lantern.hand(now, id, channel, carry, effects)
	}
}

func (interest Interest) matches(topic string) bool {
	if interest.Wide {
		return strand.Under(topic, interest.Path)
	}
	return topic == interest.Path
}

// hand gives a kept message to a channel once.
func (lantern *Lantern) hand(now time.Time, id uint64, channel *channel, carry Carry, effects *helm.Effects) {
	if !channel.movedAt.IsZero() || !channel.takes(now, carry.Strand, carry.Record.Offset) {
		return
	}
	space, _ := spaceOf(carry.Strand)
	lantern.Counts.Delivered++
	lantern.ring.Record(now, "", soundings.MessageName(space, carry.Record.Sender, carry.Record.Seq), channel.origin, "delivered",
		"strand", carry.Strand, "offset", carry.Record.Offset)
	lantern.emit(id, Event{
		Event: "message", Space: space, Topic: carry.Record.Topic, Sender: carry.Record.Sender, Seq: carry.Record.Seq,
		Data: json.RawMessage(carry.Record.Data), Cursor: lantern.cursor(now, channel),
	}, effects)
}

func (channel *channel) markSeen(now time.Time, space, sender string, seq uint64) bool {
	marks := channel.marks[space]
	if marks == nil {
		marks = map[string]mark{}
		channel.marks[space] = marks
	}
	if marks[sender].seq >= seq {
		return false
	}
	marks[sender] = mark{seq: seq, at: now}
	return true
}

func (lantern *Lantern) offerPass(now time.Time, id uint64, channel *channel, message Pass, effects *helm.Effects) {
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
	lantern.Counts.Delivered++
	lantern.ring.Record(now, "", soundings.MessageName(space, message.Sender, message.Seq), channel.origin, "delivered")
	lantern.emit(id, Event{
		Event: "message", Space: space, Topic: message.Topic, Sender: message.Sender, Seq: message.Seq,
		Data: json.RawMessage(message.Data), Cursor: lantern.cursor(now, channel),
	}, effects)
}
