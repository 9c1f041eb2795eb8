package gateway

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// deliveredMemory is how long delivered offsets are remembered, sequenceMemory how long the
	// sequences of senders.
	deliveredMemory = 100 * time.Second
	sequenceMemory  = 40 * time.Second
	// fetchRetry is after what time an unanswered fetch is sent again.
	fetchRetry = 250 * time.Millisecond
	// lingerFor is how long an overlay subscription outlives its last subscription here; lingerSpread
	// is over how many seconds the ends of several are spread.
	lingerFor    = 6 * time.Second
	lingerSpread = 24
	// maxRefetches bounds how often the partitions of one operation are fetched further.
	maxRefetches = 64
)

// senderSequence is the newest sequence of a sender that was delivered, and when.
type senderSequence struct {
	seq uint64
	at  time.Time
}

// session is the connection of one client.
type session struct {
	// name is the name that the adapter gave the session.
	name string
	// client is the name under which the client publishes and to which its cursors are bound.
	client string
	// subscriptions are those to spaces without routed topics.
	subscriptions map[Interest]*subscription
	// routed are the subscriptions to routed topics, by topic.
	routed map[string]*topicSubscription
	// delivered is when each offset of a partition was delivered to the client, for deliveredMemory.
	delivered map[string]map[uint64]time.Time
	// deliveredAbove are the delivered offsets that are not known to lie below the floor of the
	// cursor.
	deliveredAbove map[string]map[uint64]bool
	// sequences are the newest sequences seen of each sender in ephemeral spaces, for sequenceMemory.
	sequences map[string]map[string]senderSequence
	// buffer and ephemeralBuffer are the copies that came while a subscription is being filled.
	buffer []RecordCopy
	// floors are where the backlog began that is being delivered, by partition; nil at other times.
	floors          map[string]uint64
	ephemeralBuffer []EphemeralCopy
	// pongAt is when the client last showed that it is alive, pingAt when it was last pinged.
	pongAt time.Time
	pingAt time.Time
	// movedAt is when the client was asked to move; nothing is delivered after that.
	movedAt time.Time
	// adapterPings is set where the adapter itself checks that the client is alive.
	adapterPings bool
}

// interests returns what a session subscribes to, in order.
func (c *session) interests() []Interest {
	interests := make([]Interest, 0, len(c.subscriptions))
	for interest := range c.subscriptions {
		interests = append(interests, interest)
	}
	slices.SortFunc(interests, compareInterests)
	return interests
}

// filling returns whether a subscription of the session is being filled.
func (c *session) filling() bool {
	for _, subscription := range c.subscriptions {
		if subscription.filling {
			return true
		}
	}
	return false
}

// catchingUp returns whether a subscription to a routed topic is being filled.
func (c *session) catchingUp() bool {
	for _, subscription := range c.routed {
		if subscription.filling {
			return true
		}
	}
	return false
}

// emit delivers an event to a session.
func (g *Gateway) emit(id uint64, event Event, effects *statemachine.Effects) {
	effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{Session: id, Event: event})
}

// emitLast delivers the last event of a session: why it ends and the cursor with which its client
// may resume.
func (g *Gateway) emitLast(now time.Time, id uint64, session *session, code string, effects *statemachine.Effects) {
	effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{
		Session: id, Event: Event{Event: "gone", Code: code, Cursor: g.cursor(now, session)}, Close: true,
	})
}

// openSession handles a new connection.
func (g *Gateway) openSession(now time.Time, request OpenSession, effects *statemachine.Effects) {
	g.Counts.Requests++
	if request.AdapterPings && !g.stopping && !g.Confirmed(now) {
		// The first update of the control state, or the next, may be on the way: one
		// refresh spares a client that connects right after a start the backoff after
		// a rejection.
		g.refreshThen(now, func(now time.Time, effects *statemachine.Effects) { g.admitSession(now, request, effects) })
		return
	}
	g.admitSession(now, request, effects)
}

// admitSession opens a session, or rejects it or redirects its client.
func (g *Gateway) admitSession(now time.Time, request OpenSession, effects *statemachine.Effects) {
	if request.AdapterPings && g.draining() && g.Confirmed(now) {
		if targets := g.targets(); len(targets) > 0 {
			g.redirectClient(now, request, targets, effects)
			return
		}
	}
	switch {
	case g.stopping:
		effects.Respond(request.Request, rejectedReply(503, "stopping", "this daemon is stopping", retryShortDelay))
		return
	case !g.Confirmed(now):
		effects.Respond(
			request.Request,
			rejectedReply(503, "unconfirmed", "this daemon can't confirm its configuration", retryLongDelay),
		)
		return
	case request.AdapterPings && !g.admits(now):
		effects.Respond(
			request.Request,
			rejectedReply(503, "busy", "this daemon's link can't serve more callers at once", retryShortDelay),
		)
		return
	case len(g.sessions) >= g.settings.MaxClients:
		effects.Respond(
			request.Request,
			rejectedReply(503, "full", "this daemon holds all the channels it may", retryShortDelay),
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

// draining returns whether this gateway is being emptied while others are not. One that is only
// full or unconfirmed redirects nobody, since the others may be so too and would redirect the
// clients back.
func (g *Gateway) draining() bool {
	return g.stopping || g.viewClient.Directives.Rest || slices.Contains(g.config.Draining, g.settings.Self.Name)
}

// redirectClient opens a session only to move its client to another gateway. A rejected client would
// have to search for one, which takes longer.
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
	if g.newest[session.client] == request.Session {
		delete(g.newest, session.client)
	}
	delete(g.sessions, request.Session)
	number := logevent.SessionClosed
	if request.Reason == "slow" {
		number = logevent.SessionTooSlow
	}
	effects.Emit(number, "client", session.client, "reason", request.Reason)
	g.ring.Record(now, "", "", session.client, "channel-closed", "why", request.Reason)
}

// checkSession forgets old deliveries of a session, pings its client, and closes it if the client
// has moved or is silent.
func (g *Gateway) checkSession(now time.Time, id uint64, session *session, effects *statemachine.Effects) {
	for _, got := range session.delivered {
		for offset, at := range got {
			if now.Sub(at) > deliveredMemory {
				delete(got, offset)
			}
		}
	}
	for _, marks := range session.sequences {
		for sender, mark := range marks {
			if now.Sub(mark.at) > sequenceMemory {
				delete(marks, sender)
			}
		}
	}
	if !session.movedAt.IsZero() {
		if now.Sub(session.movedAt) > moveLinger {
			effects.Deliveries = append(effects.Deliveries, statemachine.Delivery{
				Session: id,
				Event:   Event{Event: "gone", Code: "moved"},
				Close:   true,
			})
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

// pong handles the answer to a ping.
func (g *Gateway) pong(now time.Time, request Pong, effects *statemachine.Effects) {
	session, found := g.sessions[request.Session]
	if !found || session.client != request.Client {
		effects.Respond(request.Request, rejectedReply(404, "no-such-channel", "this channel is not open here", 0))
		return
	}
	session.pongAt = now
	effects.Respond(request.Request, acceptedReply(nil))
}
