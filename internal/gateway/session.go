package gateway

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// deliveredRetention is how long delivered offsets are remembered. sequenceRetention is how long the
	// sequences of senders are remembered.
	deliveredRetention = 100 * time.Second
	sequenceRetention  = 40 * time.Second
	// fetchRetry is the time after which an unanswered fetch is sent again.
	fetchRetry = 250 * time.Millisecond
	// lingerDuration is the minimum time for which an overlay subscription is kept after the subscription
	// of the session has ended. The ends of several overlay subscriptions are spread over
	// lingerSpreadSeconds.
	lingerDuration      = 6 * time.Second
	lingerSpreadSeconds = 24
	// maxRefetches is the maximum number of times that one operation fetches further records.
	maxRefetches = 64
)

// senderSequence is the newest delivered sequence of a sender, and when it was delivered.
type senderSequence struct {
	seq uint64
	at  time.Time
}

// session is the connection of one client.
type session struct {
	// name is the name that the adapter assigned to the session.
	name string
	// client is the name under which the client publishes and to which its cursors are bound.
	client string
	// subscriptions are the subscriptions to spaces without routed topics.
	subscriptions map[Interest]*subscription
	// routed are the subscriptions to routed topics, by topic.
	routed map[string]*topicSubscription
	// delivered is the time at which each offset was delivered to the client, by partition and offset.
	// Entries are kept for deliveredRetention.
	delivered map[string]map[uint64]time.Time
	// deliveredAbove are the delivered offsets that are not known to be below the floor of the
	// cursor, by partition.
	deliveredAbove map[string]map[uint64]bool
	// sequences are the newest sequences of each sender that the client saw in ephemeral spaces, by
	// space and sender. Entries are kept for sequenceRetention.
	sequences map[string]map[string]senderSequence
	// buffer and ephemeralBuffer are the copies that arrived while a subscription is catching up.
	buffer []RecordCopy
	// backlogFloors are the offsets at which the backlog starts while a backlog is being delivered, by
	// partition; nil at other times.
	backlogFloors   map[string]uint64
	ephemeralBuffer []EphemeralCopy
	// pongAt is when the client last sent something, pingAt when it was last pinged.
	pongAt time.Time
	pingAt time.Time
	// movedAt is when the client was asked to move; nothing is delivered after that.
	movedAt time.Time
	// adapterPings is set if the adapter itself checks that the client is alive.
	adapterPings bool
}

// interests returns the interests of a session, sorted.
func (c *session) interests() []Interest {
	interests := make([]Interest, 0, len(c.subscriptions))
	for interest := range c.subscriptions {
		interests = append(interests, interest)
	}
	slices.SortFunc(interests, compareInterests)
	return interests
}

// isCatchingUp reports whether a subscription to a space without routed topics is catching up.
func (c *session) isCatchingUp() bool {
	for _, subscription := range c.subscriptions {
		if subscription.catchingUp {
			return true
		}
	}
	return false
}

// isCatchingUpRouted reports whether a subscription to a routed topic is catching up.
func (c *session) isCatchingUpRouted() bool {
	for _, subscription := range c.routed {
		if subscription.catchingUp {
			return true
		}
	}
	return false
}

// emit delivers an event to a session.
func (g *Gateway) emit(id uint64, event Event, effects *statemachine.Effects) {
	effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{Session: id, Event: event})
}

// emitFinalEvent delivers the last event of a session: the reason of its end and the cursor with which
// the client may resume.
func (g *Gateway) emitFinalEvent(
	now time.Time,
	id uint64,
	session *session,
	code string,
	effects *statemachine.Effects,
) {
	effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{
		Session: id, Event: Event{Event: "gone", Code: code, Cursor: g.cursor(now, session)}, Close: true,
	})
}

// openSession handles a new connection.
func (g *Gateway) openSession(now time.Time, request OpenSession, effects *statemachine.Effects) {
	g.Counts.Requests++
	if request.AdapterPings && !g.stopping && !g.Confirmed(now) {
		// An update of the control state that confirms the configuration may be in flight. The client
		// waits for one refresh: a client that connects right after the start of the gateway would
		// otherwise be rejected and have to back off.
		g.refreshThen(now, func(now time.Time, effects *statemachine.Effects) { g.admitSession(now, request, effects) })
		return
	}
	g.admitSession(now, request, effects)
}

// admitSession opens a session, rejects it, or redirects its client to another gateway.
func (g *Gateway) admitSession(now time.Time, request OpenSession, effects *statemachine.Effects) {
	if request.AdapterPings && g.draining() && g.Confirmed(now) {
		if targets := g.moveTargets(); len(targets) > 0 {
			g.redirectClient(now, request, targets, effects)
			return
		}
	}
	switch {
	case g.stopping:
		effects.Respond(request.Request, rejectedReply(503, CodeStopping, "this daemon is stopping", retryShortDelay))
		return
	case !g.Confirmed(now):
		effects.Respond(
			request.Request,
			rejectedReply(503, CodeUnconfirmed, "this daemon can't confirm its configuration", retryLongDelay),
		)
		return
	case request.AdapterPings && !g.tryAdmit(now):
		effects.Respond(
			request.Request,
			rejectedReply(503, CodeBusy, "this daemon's link can't serve more callers at once", retryShortDelay),
		)
		return
	case len(g.sessions) >= g.settings.MaxClients:
		effects.Respond(
			request.Request,
			rejectedReply(503, CodeFull, "this daemon holds all the channels it may", retryShortDelay),
		)
		return
	}
	g.sessions[request.Session] = newSession(now, request)
	g.supersede(now, request.Client, request.Session, effects)
	g.timers.ArmSooner(timerTick, now.Add(tickInterval))
	g.ring.Record(now, "", "", request.Client, "channel-opened", "channel", request.Name)
	effects.Emit(logevent.SessionOpened, "client", request.Client)
	effects.Respond(request.Request, acceptedReply(nil))
	g.emit(request.Session, Event{
		Event:   "hello",
		Session: request.Name,
		Daemon:  g.settings.Self.Name,
		Zone:    g.settings.Self.Zone,
		Version: g.ConfigurationVersion(),
	}, effects)
}

// newSession returns a session without subscriptions.
func newSession(now time.Time, request OpenSession) *session {
	return &session{
		name:           request.Name,
		client:         request.Client,
		subscriptions:  map[Interest]*subscription{},
		routed:         map[string]*topicSubscription{},
		adapterPings:   request.AdapterPings,
		delivered:      map[string]map[uint64]time.Time{},
		deliveredAbove: map[string]map[uint64]bool{},
		sequences:      map[string]map[string]senderSequence{},
		pongAt:         now,
		pingAt:         now,
	}
}

// draining reports whether this gateway is stopping or was directed to move its clients to other
// gateways. A gateway that is only full or unconfirmed does not redirect clients, since the other
// gateways may be in the same state and would redirect the clients back.
func (g *Gateway) draining() bool {
	return g.stopping || g.viewClient.Directives.Rest || slices.Contains(g.config.Draining, g.settings.Self.Name)
}

// redirectClient opens a session only to move its client to another gateway. A rejected client would
// have to find another gateway itself, which takes longer.
func (g *Gateway) redirectClient(
	now time.Time,
	request OpenSession,
	targets []membership.Member,
	effects *statemachine.Effects,
) {
	opened := newSession(now, request)
	g.sessions[request.Session] = opened
	g.timers.ArmSooner(timerTick, now.Add(tickInterval))
	effects.Respond(request.Request, acceptedReply(nil))
	g.rotation++
	g.move(now, request.Session, opened, targets[g.rotation%min(len(targets), 3)], effects)
}

// closeSession removes a session and its subscriptions.
func (g *Gateway) closeSession(now time.Time, request CloseSession, effects *statemachine.Effects) {
	session, found := g.sessions[request.Session]
	if !found {
		return
	}
	for _, interest := range session.interests() {
		g.dropSubscription(now, request.Session, interest, true, effects)
	}
	g.dropRouted(now, session, effects)
	if g.newestSession[session.client] == request.Session {
		delete(g.newestSession, session.client)
	}
	delete(g.sessions, request.Session)
	eventNumber := logevent.SessionClosed
	if request.Reason == "slow" {
		eventNumber = logevent.SessionTooSlow
	}
	effects.Emit(eventNumber, "client", session.client, "reason", request.Reason)
	g.ring.Record(now, "", "", session.client, "channel-closed", "why", request.Reason)
}

// checkSession drops expired delivery state of a session and pings its client. It closes the session if
// the client is still connected moveCloseDelay after it was asked to move, or has sent nothing for
// pongTimeout.
func (g *Gateway) checkSession(now time.Time, id uint64, session *session, effects *statemachine.Effects) {
	for _, offsets := range session.delivered {
		for offset, at := range offsets {
			if now.Sub(at) > deliveredRetention {
				delete(offsets, offset)
			}
		}
	}
	for _, sequences := range session.sequences {
		for sender, sequence := range sequences {
			if now.Sub(sequence.at) > sequenceRetention {
				delete(sequences, sender)
			}
		}
	}
	if !session.movedAt.IsZero() {
		if now.Sub(session.movedAt) > moveCloseDelay {
			effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{
				Session: id,
				Event:   Event{Event: "gone", Code: CodeMoved},
				Close:   true,
			})
			g.closeSession(now, CloseSession{Session: id, Reason: CodeMoved}, effects)
		}
		return
	}
	if session.adapterPings {
		return
	}
	if now.Sub(session.pongAt) > pongTimeout {
		g.emitFinalEvent(now, id, session, "no-pong", effects)
		g.closeSession(now, CloseSession{Session: id, Reason: "no-pong"}, effects)
		return
	}
	if now.Sub(session.pingAt) >= pingInterval {
		session.pingAt = now
		g.emit(id, Event{Event: "ping", Cursor: g.cursor(now, session)}, effects)
	}
}

// pong handles the answer to a ping.
func (g *Gateway) pong(now time.Time, request Pong, effects *statemachine.Effects) {
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		effects.Respond(request.Request, rejectedReply(404, CodeNoSuchSession, "this channel is not open here", 0))
		return
	}
	session.pongAt = now
	effects.Respond(request.Request, acceptedReply(nil))
}
