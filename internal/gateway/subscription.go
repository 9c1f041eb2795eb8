package gateway

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/overlay"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// subscription is one interest of a session.
type subscription struct {
	// since is the offset of each partition above which records are delivered live, or maxOffset while
	// the subscription is catching up.
	since map[string]uint64
	// notBefore are the offsets of the partitions at which the interest began, if the resumed cursor
	// contains them. Only records above them count as missed.
	notBefore map[string]uint64
	// catchingUp is set until the fetch of the subscription is complete.
	catchingUp bool
	// resumedAt is when the subscription was resumed from a cursor, zero if it was not resumed.
	resumedAt time.Time
}

// subscribe handles the request of a client to subscribe.
func (g *Gateway) subscribe(now time.Time, request Subscribe, effects *statemachine.Effects) {
	g.Counts.Requests++
	if len(request.Interests) > 0 && g.isRoutedTopic(request.Interests[0].Space) {
		g.subscribeRouted(now, request, false, effects)
		return
	}
	g.subscribeAttempt(now, request, false, effects)
}

// answerSubscribe responds to a subscribe request and counts the outcome.
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

// subscribeAttempt evaluates a subscribe request and starts its fetch. refreshed is set if the
// configuration was already refreshed for this request.
func (g *Gateway) subscribeAttempt(now time.Time, request Subscribe, refreshed bool, effects *statemachine.Effects) {
	answer := func(response Reply) { g.answerSubscribe(now, request, response, effects) }
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		answer(rejectedReply(404, CodeNoSuchSession, "this channel is not open here", 0))
		return
	}
	session.pongAt = now
	if !session.movedAt.IsZero() {
		answer(rejectedReply(409, CodeMoved, "this channel was asked to move", 0))
		return
	}
	resumeFrom, code := g.resumeCursor(&request)
	if code != "" {
		answer(rejectedReply(400, code, "the cursor is invalid or belongs to another client", 0))
		return
	}
	policyRequest := &PolicyRequest{
		Kind:      RequestSubscribe,
		Client:    request.Client,
		Paths:     request.Interests,
		Refreshed: refreshed,
	}
	retry := func(now time.Time, effects *statemachine.Effects) { g.subscribeAttempt(now, request, true, effects) }
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	if len(session.subscriptions)+len(request.Interests) > maxInterests {
		answer(rejectedReply(429, CodeTooManySubscriptions, "a channel can have at most 256 subscriptions", 0))
		return
	}
	for space, sequences := range resumeFrom.Marks {
		for sender, seq := range sequences {
			session.markSeen(now, space, sender, seq)
		}
	}
	operation := newSubscribeFetch(now, request, session)
	if len(operation.interests) == 0 {
		answer(acceptedReply(map[string]any{
			"subscriptions": len(session.subscriptions),
			"cursor":        g.cursor(now, session),
		}))
		return
	}
	g.startFetch(now, session, operation, resumeFrom, effects)
}

// resumeCursor opens the cursor of a request, if it has one. A request without interests resumes the
// interests of the cursor. The code is set if the cursor is rejected.
func (g *Gateway) resumeCursor(request *Subscribe) (resumeFrom cursor, code string) {
	if request.Cursor == "" {
		return cursor{}, ""
	}
	resumeFrom, code = openCursor(g.settings.Key, request.Client, request.Cursor)
	if code == "" && len(request.Interests) == 0 {
		request.Interests = g.existingInterests(resumeFrom.Interests)
	}
	return resumeFrom, code
}

// newSubscribeFetch returns the operation for the interests of a request that the session is not
// subscribed to yet.
func newSubscribeFetch(now time.Time, request Subscribe, session *session) *fetchOperation {
	operation := &fetchOperation{
		session:    request.Session,
		request:    request,
		resumes:    request.Cursor != "",
		partitions: map[string]*partitionFetch{},
		records:    map[string][]partition.Record{},
		deadline:   now.Add(defaultSubscribeTimeout),
	}
	for _, interest := range request.Interests {
		if _, present := session.subscriptions[interest]; !present {
			operation.interests = append(operation.interests, interest)
		}
	}
	return operation
}

// startFetch adds the subscriptions, joins the overlay for each of them and starts to fetch once all
// joins are complete.
func (g *Gateway) startFetch(
	now time.Time,
	session *session,
	operation *fetchOperation,
	resumeFrom cursor,
	effects *statemachine.Effects,
) {
	request := operation.request
	g.lastRequest++
	id := g.lastRequest
	g.fetches[id] = operation
	// The count starts at one, so that a join that completes at once doesn't start the fetch before
	// the last join was started.
	operation.pendingJoins = 1
	g.timers.ArmSooner(timerDeadlines, operation.deadline)
	for _, interest := range operation.interests {
		g.addSubscription(now, session, request.Session, interest)
	}
	joined := func(now time.Time, effects *statemachine.Effects, stable bool) {
		operation.pendingJoins--
		operation.joinFailed = operation.joinFailed || !stable
		g.advanceFetch(now, id, operation, effects)
	}
	for _, interest := range operation.interests {
		state := g.spaces[interest.Space]
		for _, name := range g.partitionsOf(state, interest) {
			operation.addInterest(now, session, name, interest, resumeFrom)
		}
		operation.pendingJoins++
		g.overlay.Subscribe(now, state.name, areaOf(state.space, interest.Path), joined, effects)
	}
	g.ring.Record(now, request.RequestName, "", request.Client, "joining",
		"interests", len(operation.interests),
		"resumes", operation.resumes,
	)
	operation.pendingJoins--
	g.advanceFetch(now, id, operation, effects)
}

// addInterest adds an interest to the fetch of a partition.
func (f *fetchOperation) addInterest(
	now time.Time,
	session *session,
	name string,
	interest Interest,
	resumeFrom cursor,
) {
	fetch, found := f.partitions[name]
	if !found {
		fetch = &partitionFetch{cursorOffset: maxOffset, after: maxOffset}
		f.partitions[name] = fetch
	}
	if at, resumes := resumeFrom.Partitions[name]; resumes {
		fetch.cursorOffset, fetch.after, fetch.skip = at.Floor, at.Floor, at.Extras
		session.markDelivered(now, name, at.Extras)
		if since, began := at.Since[interest.key()]; began {
			session.setNotBefore(interest, name, since)
		}
	}
	if interest.Prefix {
		fetch.prefixes = append(fetch.prefixes, interest.Path)
	} else {
		fetch.topics = append(fetch.topics, interest.Path)
	}
}

// existingInterests returns the interests whose space still exists.
func (g *Gateway) existingInterests(interests []Interest) []Interest {
	var found []Interest
	for _, interest := range interests {
		if _, present := g.spaces[interest.Space]; present {
			found = append(found, interest)
		}
	}
	return found
}

// partitionsOf returns the partitions with topics that an interest matches. An ephemeral space has none.
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

// addSubscription adds an interest to a session, its space and the trackers of its partitions. The
// subscription is catching up at first.
func (g *Gateway) addSubscription(now time.Time, session *session, id uint64, interest Interest) {
	state := g.spaces[interest.Space]
	session.subscriptions[interest] = &subscription{since: map[string]uint64{}, catchingUp: true}
	sessionsByPath := state.topics
	if interest.Prefix {
		sessionsByPath = state.prefixes
	}
	if sessionsByPath[interest.Path] == nil {
		sessionsByPath[interest.Path] = map[uint64]bool{}
	}
	sessionsByPath[interest.Path][id] = true
	for _, name := range g.partitionsOf(state, interest) {
		session.subscriptions[interest].since[name] = maxOffset
		g.trackerFor(now, name).addSubscription(interest)
	}
}

// dropSubscription removes a subscription. If linger is set the overlay subscription is kept for a while:
// the client, or another one with the same interest, is likely to subscribe again, and then need not wait
// for the overlay peer to join again.
func (g *Gateway) dropSubscription(
	now time.Time,
	id uint64,
	interest Interest,
	linger bool,
	effects *statemachine.Effects,
) {
	session := g.sessions[id]
	delete(session.subscriptions, interest)
	state, found := g.spaces[interest.Space]
	if !found {
		return
	}
	sessionsByPath := state.topics
	if interest.Prefix {
		sessionsByPath = state.prefixes
	}
	delete(sessionsByPath[interest.Path], id)
	if len(sessionsByPath[interest.Path]) == 0 {
		delete(sessionsByPath, interest.Path)
	}
	for _, name := range g.partitionsOf(state, interest) {
		if tracker, tracked := g.trackers[name]; tracked && tracker.removeSubscription(interest) {
			delete(g.trackers, name)
		}
	}
	area := areaOf(state.space, interest.Path)
	if linger {
		// The end is spread, so that the peers of many clients that disconnected at the same
		// time don't leave the overlay at the same time.
		g.rotation++
		spread := time.Duration(g.rotation%lingerSpreadSeconds) * time.Second
		g.lingering = append(g.lingering, lingeringSubscription{
			space: state.name,
			area:  area,
			until: now.Add(lingerDuration + spread),
		})
		return
	}
	g.overlay.Unsubscribe(now, state.name, area, effects)
}

// lingeringSubscription is an overlay subscription that is kept for a while after the subscription of a
// session was removed.
type lingeringSubscription struct {
	space string
	area  overlay.Area
	until time.Time
}

// endLingering ends the lingering overlay subscriptions that have expired.
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

// unsubscribe handles the request of a client to unsubscribe.
func (g *Gateway) unsubscribe(now time.Time, request Unsubscribe, effects *statemachine.Effects) {
	g.Counts.Requests++
	if len(request.Interests) > 0 && g.isRoutedTopic(request.Interests[0].Space) {
		g.unsubscribeRouted(now, request, effects)
		return
	}
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		effects.Respond(request.Request, rejectedReply(404, CodeNoSuchSession, "this channel is not open here", 0))
		return
	}
	for _, interest := range request.Interests {
		if _, present := session.subscriptions[interest]; present {
			g.dropSubscription(now, request.Session, interest, false, effects)
		}
	}
	effects.Respond(request.Request, acceptedReply(map[string]any{"subscriptions": len(session.subscriptions)}))
}

// matches reports whether a topic matches the interest.
func (i Interest) matches(topic string) bool {
	if i.Prefix {
		return partition.HasTopicPrefix(topic, i.Path)
	}
	return topic == i.Path
}
