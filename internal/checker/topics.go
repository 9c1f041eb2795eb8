// Checks of routed topics. A subscription is that of one client to one topic. It spans all
// connections of the client, until the client ends it, its cursor is rejected as expired, or
// a configuration is sent that removes its route. Every message that was first sent after
// the subscription was first confirmed, and accepted before it ended, must be delivered.

package checker

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
)

// Time limits and tolerances of the promises for routed topics.
const (
	PresenceFor      = 5 * time.Second
	PresenceFraction = 0.05
	PresenceSlack    = 2
	DeliverWithin    = 150 * time.Millisecond
)

// Kinds of violations that only occur with routed topics.
const (
	Skipped    = "skipped"
	WrongRoute = "wrong-route"
	Presence   = "presence"
	LateInCalm = "late-in-calm"
	// BrokenPromise is a message that was delivered although a gateway had confirmed to its sender
	// that it never would be.
	BrokenPromise = "broken-promise"
)

// Post identifies a message of a routed topic. The sequence numbers of a sender increase over
// all of its topics.
type Post struct {
	Sender string
	Seq    uint64
}

type post struct {
	name         Post
	topic        string
	body         string
	requestedAt  time.Time
	firstAttempt time.Time
	attempts     int
	refused      int
	accepted     bool
	acceptedAt   time.Time
	// deniedAt is when a gateway first confirmed that the message never will be delivered; zero if
	// none did.
	deniedAt time.Time
}

type route struct {
	prefix  string
	durable bool
	holding time.Duration
}

// routing is the routes of one version of the configuration.
type routing struct {
	version    uint64
	prefixes   []string
	sent       time.Time
	acceptedAt time.Time
}

func (r *routing) matches(topic string) bool {
	return slices.ContainsFunc(r.prefixes, func(prefix string) bool { return strings.HasPrefix(topic, prefix) })
}

// span is the time of a connection on which a subscription was present. A client that became
// unreachable without closing may be counted as present until countedUntil.
type span struct{ from, until, countedUntil time.Time }

// SavedCursor is a cursor that a client received: the position after a message, or the position of
// a subscription that had not received any message.
type SavedCursor struct {
	Topic  string
	Cursor string
	After  Post
	At     time.Time
}

// Subscription is the subscription of one client to a routed topic.
type Subscription struct {
	checker        *Checker
	name           string
	topic          string
	firstConfirmed time.Time
	ended          time.Time
	saved          *SavedCursor
	present        []span
	received       map[Post]time.Time
	order          []Post
	position       map[Post]int
	last           map[string]uint64
	opened         time.Time
	connected      bool
	missed         map[Post]bool
}

// Topics holds the observations on routed topics.
type Topics struct {
	routes         []route
	routings       []*routing
	posts          map[Post]*post
	byTopic        map[string][]*post
	subscriptions  map[string][]*Subscription
	CorrectCounts  int
	WrongCounts    int
	JoinTimes      []time.Duration
	DeliveryDelays []time.Duration
	Expired        int
}

func newTopics() *Topics {
	return &Topics{posts: map[Post]*post{}, byTopic: map[string][]*post{}, subscriptions: map[string][]*Subscription{}}
}

// DefineRoute records a prefix that some or all versions of the configuration route to a space.
func (c *Checker) DefineRoute(prefix string, durable bool, holding time.Duration) {
	c.Topics.routes = append(c.Topics.routes, route{prefix: prefix, durable: durable, holding: holding})
}

// routeOf returns the route of a topic: the one with the longest matching prefix.
func (t *Topics) routeOf(topic string) route {
	var best route
	for _, each := range t.routes {
		if strings.HasPrefix(topic, each.prefix) && len(each.prefix) >= len(best.prefix) {
			best = each
		}
	}
	return best
}

// RoutesSent records that a configuration with these prefixes is sent. Subscriptions to topics
// that it does not route end.
func (c *Checker) RoutesSent(version uint64, prefixes []string, at time.Time) {
	sent := &routing{version: version, prefixes: prefixes, sent: at}
	c.Topics.routings = append(c.Topics.routings, sent)
	for topic, subscriptions := range c.Topics.subscriptions {
		if sent.matches(topic) {
			continue
		}
		for _, each := range subscriptions {
			each.End(at)
		}
	}
}

// RoutesAccepted records that the configuration was acknowledged.
func (c *Checker) RoutesAccepted(version uint64, at time.Time) {
	for _, each := range c.Topics.routings {
		if each.version == version && each.acceptedAt.IsZero() {
			each.acceptedAt = at
		}
	}
}

// mayBeRouted reports whether a request for a topic, sent at one time and answered at another,
// may have been handled with a route (routed) or without one.
func (t *Topics) mayBeRouted(topic string, routed bool, sent, at time.Time) bool {
	newest := uint64(0)
	for _, each := range t.routings {
		if !each.acceptedAt.IsZero() && sent.Sub(each.acceptedAt) > InForceWithin {
			newest = max(newest, each.version)
		}
	}
	if newest == 0 {
		return true
	}
	return slices.ContainsFunc(t.routings, func(each *routing) bool {
		return each.version >= newest && !each.sent.After(at) && each.matches(topic) == routed
	})
}

// Handled records that a request was handled as one for a topic with a route (routed) or
// without one.
func (c *Checker) Handled(what, topic string, routed bool, sent, at time.Time) {
	if !c.Topics.mayBeRouted(topic, routed, sent, at) {
		c.Violate(WrongRoute, "%s on %s was handled as if it had a route: %v", what, topic, routed)
	}
}

// Publishing.

// PostAttempted records an attempt to send a message, the first one or a retry. wanted is the time
// at which its sender requested the publication.
func (c *Checker) PostAttempted(name Post, topic, body string, wanted, at time.Time) {
	topics := c.Topics
	each, found := topics.posts[name]
	if !found {
		each = &post{name: name, topic: topic, body: body, requestedAt: wanted, firstAttempt: at}
		topics.posts[name] = each
		topics.byTopic[topic] = append(topics.byTopic[topic], each)
	}
	each.attempts++
}

// PostAnswered records the outcome of an attempt.
func (c *Checker) PostAnswered(name Post, outcome string, at time.Time) {
	each := c.Topics.posts[name]
	switch outcome {
	case "accepted":
		if !each.accepted {
			c.Accepted++
			each.accepted, each.acceptedAt = true, at
			c.ResponseTimes = append(c.ResponseTimes, at.Sub(each.requestedAt))
		}
	case "refused":
		c.Rejected++
		each.refused++
	default:
		c.Unsettled++
	}
}

// PostDenied records that a gateway confirmed that the message is not appended and never will be. The
// sender may then send the message under another sequence number, so the promise holds for all attempts:
// those through any gateway, before and after it.
func (c *Checker) PostDenied(name Post, at time.Time) {
	if each := c.Topics.posts[name]; each.deniedAt.IsZero() {
		each.deniedAt = at
	}
}

// Subscribing.

// Subscribing records that a client starts to subscribe to a topic. If saved is not nil, the
// client resumes from this cursor, which any client may have received.
func (c *Checker) Subscribing(name, topic string, saved *SavedCursor) *Subscription {
	made := &Subscription{checker: c, name: name, topic: topic, saved: saved, received: map[Post]time.Time{}, position: map[Post]int{}, last: map[string]uint64{}, missed: map[Post]bool{}}
	c.Topics.subscriptions[topic] = append(c.Topics.subscriptions[topic], made)
	return made
}

// Confirmed records that the subscription is confirmed, on a connection that was opened at
// opened.
func (s *Subscription) Confirmed(opened, at time.Time) {
	if s.firstConfirmed.IsZero() {
		s.firstConfirmed = at
	}
	s.opened, s.connected = at, true
	s.present = append(s.present, span{from: at})
	s.checker.Topics.JoinTimes = append(s.checker.Topics.JoinTimes, at.Sub(opened))
	if !s.checker.Topics.routeOf(s.topic).durable {
		clear(s.last)
	}
}

// Disconnected records that the connection ended.
func (s *Subscription) Disconnected(at time.Time) {
	s.connected = false
	if count := len(s.present); count > 0 && s.present[count-1].until.IsZero() {
		s.present[count-1].until = at
	}
}

// Unreachable records that the client became unreachable without closing the connection, and
// until when a gateway may keep the connection open.
func (s *Subscription) Unreachable(at, until time.Time) {
	if count := len(s.present); count > 0 && s.present[count-1].until.IsZero() {
		s.present[count-1].countedUntil = until
	}
	s.Disconnected(at)
}

// End records that the subscription ends.
func (s *Subscription) End(at time.Time) {
	if s.ended.IsZero() {
		s.ended = at
	}
	s.Disconnected(at)
}

// Ended reports whether the subscription has ended.
func (s *Subscription) Ended() bool { return !s.ended.IsZero() }

// mustReceive reports whether a message must be delivered to the subscription, by the observations
// so far.
func (s *Subscription) mustReceive(each *post) bool {
	if !each.accepted || !s.ended.IsZero() && each.acceptedAt.After(s.ended) {
		return false
	}
	if saved := s.saved; saved != nil {
		return each.firstAttempt.After(saved.At) || s.checker.Topics.follows(s.topic, saved.After, each.name)
	}
	return !s.firstConfirmed.IsZero() && each.firstAttempt.After(s.firstConfirmed)
}

// follows reports whether any subscriber received both messages, and received the one named
// later after the one named earlier.
func (t *Topics) follows(topic string, earlier, later Post) bool {
	for _, each := range t.subscriptions[topic] {
		first, hasEarlier := each.position[earlier]
		second, hasLater := each.position[later]
		if hasEarlier && hasLater && second > first {
			return true
		}
	}
	return false
}

// Expired records that the cursor was rejected as expired, which ends the subscription. This
// is a violation if the topic is durable and all missing messages are still retained.
func (s *Subscription) Expired(at time.Time) {
	checker := s.checker
	checker.Topics.Expired++
	route := checker.Topics.routeOf(s.topic)
	excused := !route.durable
	missing := 0
	for _, each := range checker.Topics.byTopic[s.topic] {
		if _, received := s.received[each.name]; received || !s.mustReceive(each) {
			continue
		}
		missing++
		excused = excused || at.Sub(each.firstAttempt) >= route.holding
	}
	if !excused && !s.Ended() {
		checker.Violate(CursorRejected, "the cursor of %s in %s was rejected, though all %d missing messages are within the holding time", s.name, s.topic, missing)
	}
	s.End(at)
}

// Received records that the client received a message. calmSince is the end of the last fault.
func (s *Subscription) Received(name Post, topic, body string, calmSince, at time.Time) {
	checker := s.checker
	topics := checker.Topics
	checker.Delivered++
	who := s.name
	sent, known := topics.posts[name]
	if !known || sent.topic != topic || sent.body != body || topic != s.topic {
		checker.Violate(Unsolicited, "%s got %v on %s, which was not sent with this topic and body", who, name, topic)
		return
	}
	if earlier, twice := s.received[name]; twice {
		checker.Violate(Duplicate, "%s got %v on %s and again %s later", who, name, topic, at.Sub(earlier))
		return
	}
	if last := s.last[name.Sender]; last > name.Seq {
		checker.Violate(OutOfOrder, "%s got %v on %s after seq %d", who, name, topic, last)
	}
	if saved := s.saved; saved != nil && (saved.After == name || topics.follows(topic, name, saved.After)) {
		checker.Violate(Duplicate, "%s got %v on %s, which precedes the cursor from which it resumed", who, name, topic)
	}
	s.received[name] = at
	s.position[name] = len(s.order)
	s.order = append(s.order, name)
	s.last[name.Sender] = max(s.last[name.Sender], name.Seq)
	if !topics.mayBeRouted(topic, true, sent.firstAttempt, at) {
		checker.Violate(AfterRemoval, "%s got %v on %s, first sent %s before", who, name, topic, at.Sub(sent.firstAttempt))
	}
	delay := at.Sub(sent.requestedAt)
	if s.opened.Before(sent.requestedAt) && s.connected {
		topics.DeliveryDelays = append(topics.DeliveryDelays, delay)
		if delay > DeliverWithin && sent.requestedAt.Sub(calmSince) > FaultSettleTime {
			checker.Violate(LateInCalm, "%s got %v on %s after %s", who, name, topic, delay)
		}
	}
}

// UnsolicitedPost records a message on a connection that is not subscribed to its topic, or that has
// unsubscribed from it.
func (c *Checker) UnsolicitedPost(who string, name Post, topic string) {
	c.Violate(Unsolicited, "%s got %v on %s without a subscription", who, name, topic)
}

// ResendRejected records that the resend of an accepted message was rejected within the time in which
// it must be acknowledged.
func (c *Checker) ResendRejected(name Post, code string) {
	c.Violate(Duplicate, "%v was accepted, and its resend was rejected: %s", name, code)
}

// Counted records the number of subscribers of a topic that a gateway returned to a client.
// calmSince is the end of the last fault.
func (c *Checker) Counted(topic string, number int, calmSince, at time.Time) {
	from := at.Add(-PresenceFor)
	throughout, once := 0, 0
	for _, each := range c.Topics.subscriptions[topic] {
		touched, complete := false, false
		for _, present := range each.present {
			if present.countedUntil.After(from) && present.from.Before(at) {
				once++
				continue
			}
			reaches := present.until.IsZero() || !present.until.Before(from)
			touched = touched || reaches && !present.from.After(at)
			complete = complete || !present.from.After(from) && (present.until.IsZero() || !present.until.Before(at))
		}
		if touched {
			once++
		}
		if complete {
			throughout++
		}
	}
	if float64(number) >= float64(throughout)*(1-PresenceFraction)-PresenceSlack && float64(number) <= float64(once)*(1+PresenceFraction)+PresenceSlack {
		c.Topics.CorrectCounts++
		return
	}
	c.Topics.WrongCounts++
	if at.Sub(calmSince) > FaultSettleTime {
		c.Violate(Presence, "a count of %d subscribers of %s was returned, but %d to %d were present", number, topic, throughout, once)
	}
}

// closeTopics runs the checks that are only possible at the end of a run.
func (c *Checker) closeTopics(at time.Time) {
	c.CheckAllDelivered(at)
	for topic, subscriptions := range statemachine.Sorted(c.Topics.subscriptions) {
		for position, each := range subscriptions {
			for name := range each.received {
				sent := c.Topics.posts[name]
				if sent.refused == sent.attempts {
					c.Violate(AllRejected, "%s got %v on %s, though every attempt was rejected", each.name, name, each.topic)
				}
				if !sent.deniedAt.IsZero() {
					c.Violate(BrokenPromise, "%s got %v on %s, though a gateway had confirmed that it never would be delivered",
						each.name, name, each.topic)
				}
			}
			for _, other := range subscriptions[position+1:] {
				c.compareOrders(topic, each, other)
			}
		}
	}
}

// CheckAllDelivered checks, at a time at which nothing is in flight, that every subscription to a
// durable topic has received the messages that must be delivered to it.
func (c *Checker) CheckAllDelivered(at time.Time) {
	for topic, subscriptions := range statemachine.Sorted(c.Topics.subscriptions) {
		if !c.Topics.routeOf(topic).durable {
			continue
		}
		for _, each := range subscriptions {
			c.checkDelivered(each, at)
		}
	}
}

func (c *Checker) checkDelivered(each *Subscription, at time.Time) {
	for _, sent := range c.Topics.byTopic[each.topic] {
		if _, received := each.received[sent.name]; received || each.missed[sent.name] || !each.mustReceive(sent) {
			continue
		}
		switch {
		case each.last[sent.name.Sender] > sent.name.Seq:
			c.Violate(Skipped, "%s got seq %d of %s on %s, but never the missing %d", each.name, each.last[sent.name.Sender], sent.name.Sender, each.topic, sent.name.Seq)
		case !each.Ended():
			c.Violate(Lost, "%s never got %v on %s, accepted %s before", each.name, sent.name, each.topic, at.Sub(sent.acceptedAt))
		default:
			continue
		}
		each.missed[sent.name] = true
	}
}

// compareOrders checks that two subscribers received the messages that both received in the
// same order.
func (c *Checker) compareOrders(topic string, left, right *Subscription) {
	last := -1
	for _, name := range left.order {
		position, both := right.position[name]
		if !both {
			continue
		}
		if position < last {
			c.Violate(OrderMismatch, "%s and %s received %v on %s in different orders", left.name, right.name, name, topic)
			return
		}
		last = position
	}
}
