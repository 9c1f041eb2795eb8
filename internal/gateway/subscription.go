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
	if len(request.Interests) > 0 && g.isRoutedTopic(request.Interests[0].Space) {
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

func (g *Gateway) subscribeAttempt(now time.Time, request Subscribe, refreshed bool, effects *statemachine.Effects) {
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
	var resumeFrom cursor
	if request.Cursor != "" {
		var code string
		if resumeFrom, code = openCursor(g.settings.Key, request.Client, request.Cursor); code != "" {
			answer(rejectedReply(400, code, "the cursor is not one of this origin's", 0))
			return
		}
		if len(request.Interests) == 0 {
			request.Interests = g.existingInterests(resumeFrom.Interests)
		}
	}
	policyRequest := &PolicyRequest{Kind: "subscribe", Client: request.Client, Paths: request.Interests, Refreshed: refreshed}
	retry := func(now time.Time, effects *statemachine.Effects) { g.subscribeAttempt(now, request, true, effects) }
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	if len(session.subscriptions)+len(request.Interests) > maxInterests {
		answer(rejectedReply(429, "too-many-subscriptions", "a channel holds 256 subscriptions at most", 0))
		return
	}
	operation := &fetchOperation{
		session: request.Session, request: request, resumes: request.Cursor != "", partitions: map[string]*partitionFetch{},
		records: map[string][]partition.Record{}, deadline: now.Add(defaultSubscribeTimeout),
	}
	for space, marks := range resumeFrom.Marks {
		for sender, seq := range marks {
			session.markSeen(now, space, sender, seq)
		}
	}
	for _, interest := range request.Interests {
		if _, present := session.subscriptions[interest]; present {
			continue
		}
		operation.interests = append(operation.interests, interest)
	}
	if len(operation.interests) == 0 {
		answer(acceptedReply(map[string]any{"subscriptions": len(session.subscriptions), "cursor": g.cursor(now, session)}))
		return
	}
	g.nextRequest++
	id := g.nextRequest
	g.fetches[id] = operation
	operation.joins = 1
	g.timers.ArmSooner(timerDeadlines, operation.deadline)
	for _, interest := range operation.interests {
		g.addSubscription(now, session, request.Session, interest)
	}
	for _, interest := range operation.interests {
		state := g.spaces[interest.Space]
		for _, name := range g.partitionsOf(state, interest) {
			fetch, found := operation.partitions[name]
			if !found {
				fetch = &partitionFetch{from: everything, after: everything}
				operation.partitions[name] = fetch
			}
			if at, resumes := resumeFrom.Partitions[name]; resumes {
				fetch.from, fetch.after, fetch.skip = at.Floor, at.Floor, at.Extras
				session.markDelivered(now, name, at.Extras)
				if since, later := at.Since[interest.key()]; later {
					session.notBefore(interest, name, since)
				}
			}
			if interest.Prefix {
				fetch.prefixes = append(fetch.prefixes, interest.Path)
			} else {
				fetch.topics = append(fetch.topics, interest.Path)
			}
		}
		operation.joins++
		g.overlay.Subscribe(now, state.name, areaOf(state.space, interest.Path), func(now time.Time, effects *statemachine.Effects, stable bool) {
			operation.joins--
			operation.failed = operation.failed || !stable
			g.advanceFetch(now, id, operation, resumeFrom, effects)
		}, effects)
	}
	g.ring.Record(now, request.RequestName, "", request.Client, "joining", "interests", len(operation.interests), "resumes", operation.resumes)
	operation.joins--
	g.advanceFetch(now, id, operation, resumeFrom, effects)
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
		g.trackerFor(now, name).add(interest)
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
		g.rotation++
		spread := time.Duration(g.rotation%lingerSpread) * time.Second
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
	remaining := g.lingering[:0]
	for _, each := range g.lingering {
		if each.until.After(now) {
			remaining = append(remaining, each)
			continue
		}
		g.overlay.Unsubscribe(now, each.space, each.area, effects)
	}
	g.lingering = remaining
}

func (g *Gateway) unsubscribe(now time.Time, request Unsubscribe, effects *statemachine.Effects) {
	g.Counts.Requests++
	if len(request.Interests) > 0 && g.isRoutedTopic(request.Interests[0].Space) {
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
