package gateway

import (
	"dahlialock/internal/config"
	"dahlialock/internal/overlay"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"time"
)

type subscription struct {
	since     map[string]uint64
	notBefore map[string]uint64
	filling   bool
	resumedAt time.Time
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

func (i Interest) matches(topic string) bool {
	if i.Prefix {
		return partition.HasTopicPrefix(topic, i.Path)
	}
	return topic == i.Path
}
