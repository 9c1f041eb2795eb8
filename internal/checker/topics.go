// Routed topics. Here a subscription is a caller's to one topic, and lasts over
// all of its connections until the caller ends it, is told that its place is
// lost, or a configuration is sent that takes its route away. It is owed what was
// first sent after it was first confirmed and was accepted before it ended.

package checker

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
)

// Spans and bounds that the promises of routed topics name.
const (
	PresenceFor      = 5 * time.Second
	PresenceFraction = 0.05
	PresenceSlack    = 2
	DeliverWithin    = 150 * time.Millisecond
)

// Kinds of violations that only routed topics know.
const (
	Skipped    = "skipped"
	WrongRoute = "wrong-route"
	Presence   = "presence"
	LateInCalm = "late-in-calm"
)

// Post names a message of a routed topic: a sender's seq rises over all of its
// topics.
type Post struct {
	Sender string
	Seq    uint64
}

type post struct {
	name       Post
	topic      string
	body       string
	wanted     time.Time
	firstTry   time.Time
	tries      int
	refused    int
	accepted   bool
	acceptedAt time.Time
}

type route struct {
	prefix  string
	durable bool
	holding time.Duration
}

// routing is a configuration as far as it leads topics.
type routing struct {
	version  uint64
	prefixes []string
	sent     time.Time
	taken    time.Time
}

func (r *routing) leads(topic string) bool {
	return slices.ContainsFunc(r.prefixes, func(prefix string) bool { return strings.HasPrefix(topic, prefix) })
}

// span is a connection on which a subscription was present. Who falls silent may
// be taken to be there until lingers.
type span struct{ from, until, lingers time.Time }

// Saved is a cursor that somebody was given: the place after a message, or the
// place of a subscription that nothing had come to.
type Saved struct {
	Topic  string
	Cursor string
	After  Post
	At     time.Time
}

// Subscription is one caller's subscription to a routed topic.
type Subscription struct {
	checker   *Checker
	name      string
	topic     string
	firstOK   time.Time
	ended     time.Time
	saved     *Saved
	present   []span
	got       map[Post]time.Time
	order     []Post
	place     map[Post]int
	last      map[string]uint64
	opened    time.Time
	connected bool
	missed    map[Post]bool
}

// Topics is the part of the book that is about routed topics.
type Topics struct {
	routes        []route
	routings      []*routing
	posts         map[Post]*post
	byTopic       map[string][]*post
	subscriptions map[string][]*Subscription
	CountsRight   int
	CountsWrong   int
	Joins         []time.Duration
	Delays        []time.Duration
	Expired       int
}

func newTopics() *Topics {
	return &Topics{posts: map[Post]*post{}, byTopic: map[string][]*post{}, subscriptions: map[string][]*Subscription{}}
}

// Route tells of a prefix that configurations lead to a space, in some or all
// versions.
func (c *Checker) Route(prefix string, durable bool, holding time.Duration) {
	c.Topics.routes = append(c.Topics.routes, route{prefix: prefix, durable: durable, holding: holding})
}

// routeOf is the route of a topic: the longest prefix wins.
func (t *Topics) routeOf(topic string) route {
	var best route
	for _, each := range t.routes {
		if strings.HasPrefix(topic, each.prefix) && len(each.prefix) >= len(best.prefix) {
			best = each
		}
	}
	return best
}

// RoutesSent tells that a configuration is put, with all its prefixes: whatever
// it no longer leads anywhere ends.
func (c *Checker) RoutesSent(version uint64, prefixes []string, at time.Time) {
	sent := &routing{version: version, prefixes: prefixes, sent: at}
	c.Topics.routings = append(c.Topics.routings, sent)
	for topic, subscriptions := range c.Topics.subscriptions {
		if sent.leads(topic) {
			continue
		}
		for _, each := range subscriptions {
			each.End(at)
		}
	}
}

// RoutesAccepted tells that it was acknowledged.
func (c *Checker) RoutesAccepted(version uint64, at time.Time) {
	for _, each := range c.Topics.routings {
		if each.version == version && each.taken.IsZero() {
			each.taken = at
		}
	}
}

// mayLead tells whether a request for a topic that was sent at one moment and
// answered at another may have been handled as one with, or without, a route.
func (t *Topics) mayLead(topic string, leads bool, sent, at time.Time) bool {
	newest := uint64(0)
	for _, each := range t.routings {
		if !each.taken.IsZero() && sent.Sub(each.taken) > ForceWithin {
			newest = max(newest, each.version)
		}
	}
	if newest == 0 {
		return true
	}
	return slices.ContainsFunc(t.routings, func(each *routing) bool {
		return each.version >= newest && !each.sent.After(at) && each.leads(topic) == leads
	})
}

// Handled tells that a request for a topic was answered as for one that has, or
// has not, a route.
func (c *Checker) Handled(what, topic string, leads bool, sent, at time.Time) {
	if !c.Topics.mayLead(topic, leads, sent, at) {
		c.Violate(WrongRoute, "%s on %s was handled as if it had a route: %v", what, topic, leads)
	}
}

// Publishing.

// PostTried tells that a message is sent, once more or for the first time, and
// since when its sender wanted it to be.
func (c *Checker) PostTried(name Post, topic, body string, wanted, at time.Time) {
	topics := c.Topics
	each, found := topics.posts[name]
	if !found {
		each = &post{name: name, topic: topic, body: body, wanted: wanted, firstTry: at}
		topics.posts[name] = each
		topics.byTopic[topic] = append(topics.byTopic[topic], each)
	}
	each.tries++
}

// PostAnswered tells how a try ended.
func (c *Checker) PostAnswered(name Post, outcome string, at time.Time) {
	each := c.Topics.posts[name]
	switch outcome {
	case "accepted":
		if !each.accepted {
			c.Accepted++
			each.accepted, each.acceptedAt = true, at
			c.Answers = append(c.Answers, at.Sub(each.wanted))
		}
	case "refused":
		c.Refused++
		each.refused++
	default:
		c.Unsettled++
	}
}

// Subscribing.

// Subscribing tells that a caller begins to ask for a topic; a place that was
// saved before, by whomever, may be taken up.
func (c *Checker) Subscribing(name, topic string, saved *Saved) *Subscription {
	made := &Subscription{checker: c, name: name, topic: topic, saved: saved, got: map[Post]time.Time{}, place: map[Post]int{}, last: map[string]uint64{}, missed: map[Post]bool{}}
	c.Topics.subscriptions[topic] = append(c.Topics.subscriptions[topic], made)
	return made
}

// Confirmed tells that the subscription is confirmed, on a connection that was
// begun at a moment.
func (s *Subscription) Confirmed(opened, at time.Time) {
	if s.firstOK.IsZero() {
		s.firstOK = at
	}
	s.opened, s.connected = at, true
	s.present = append(s.present, span{from: at})
	s.checker.Topics.Joins = append(s.checker.Topics.Joins, at.Sub(opened))
	if !s.checker.Topics.routeOf(s.topic).durable {
		clear(s.last)
	}
}

// Cut tells that the connection ended.
func (s *Subscription) Cut(at time.Time) {
	s.connected = false
	if count := len(s.present); count > 0 && s.present[count-1].until.IsZero() {
		s.present[count-1].until = at
	}
}

// Silenced tells that the caller fell silent instead of closing, and until when
// its connection may be held open for it.
func (s *Subscription) Silenced(at, until time.Time) {
	if count := len(s.present); count > 0 && s.present[count-1].until.IsZero() {
		s.present[count-1].lingers = until
	}
	s.Cut(at)
}

// End tells that the subscription ends.
func (s *Subscription) End(at time.Time) {
	if s.ended.IsZero() {
		s.ended = at
	}
	s.Cut(at)
}

// Ended tells whether it has.
func (s *Subscription) Ended() bool { return !s.ended.IsZero() }

// owed tells whether a message is owed, as far as it is known by now.
func (s *Subscription) owed(each *post) bool {
	if !each.accepted || !s.ended.IsZero() && each.acceptedAt.After(s.ended) {
		return false
	}
	if saved := s.saved; saved != nil {
		return each.firstTry.After(saved.At) || s.checker.Topics.follows(s.topic, saved.After, each.name)
	}
	return !s.firstOK.IsZero() && each.firstTry.After(s.firstOK)
}

// follows tells whether any subscriber got one message after another.
func (t *Topics) follows(topic string, earlier, later Post) bool {
	for _, each := range t.subscriptions[topic] {
		first, got := each.place[earlier]
		second, both := each.place[later]
		if got && both && second > first {
			return true
		}
	}
	return false
}

// Expired tells that the place was refused as lost, which ends the subscription.
func (s *Subscription) Expired(at time.Time) {
	checker := s.checker
	checker.Topics.Expired++
	route := checker.Topics.routeOf(s.topic)
	excused := !route.durable
	missing := 0
	for _, each := range checker.Topics.byTopic[s.topic] {
		if _, got := s.got[each.name]; got || !s.owed(each) {
			continue
		}
		missing++
		excused = excused || at.Sub(each.firstTry) >= route.holding
	}
	if !excused && !s.Ended() {
		checker.Violate(CursorRejected, "%s lost its place in %s, though all of %d messages that it lacks are held", s.name, s.topic, missing)
	}
	s.End(at)
}

// Got tells that a message came, and since when nothing has gone wrong.
func (s *Subscription) Got(name Post, topic, body string, calmSince, at time.Time) {
	checker := s.checker
	topics := checker.Topics
	checker.Delivered++
	who := s.name
	sent, known := topics.posts[name]
	if !known || sent.topic != topic || sent.body != body || topic != s.topic {
		checker.Violate(NeverAsked, "%s got %v on %s, which nobody sent so", who, name, topic)
		return
	}
	if earlier, twice := s.got[name]; twice {
		checker.Violate(Twice, "%s got %v on %s and again %s later", who, name, topic, at.Sub(earlier))
		return
	}
	if last := s.last[name.Sender]; last > name.Seq {
		checker.Violate(OutOfOrder, "%s got %v on %s after seq %d", who, name, topic, last)
	}
	if saved := s.saved; saved != nil && (saved.After == name || topics.follows(topic, name, saved.After)) {
		checker.Violate(Twice, "%s got %v on %s, which lies before the place that it took up", who, name, topic)
	}
	s.got[name] = at
	s.place[name] = len(s.order)
	s.order = append(s.order, name)
	s.last[name.Sender] = max(s.last[name.Sender], name.Seq)
	if !topics.mayLead(topic, true, sent.firstTry, at) {
		checker.Violate(AfterRemoval, "%s got %v on %s, first sent %s before", who, name, topic, at.Sub(sent.firstTry))
	}
	delay := at.Sub(sent.wanted)
	if s.opened.Before(sent.wanted) && s.connected {
		topics.Delays = append(topics.Delays, delay)
		if delay > DeliverWithin && sent.wanted.Sub(calmSince) > FaultSettleTime {
			checker.Violate(LateInCalm, "%s got %v on %s after %s", who, name, topic, delay)
		}
	}
}

// Unasked tells that a message came on a connection that has not asked for its
// topic, or has left it.
func (c *Checker) Unasked(who string, name Post, topic string) {
	c.Violate(NeverAsked, "%s got %v on %s without a subscription", who, name, topic)
}

// Resent tells how the resend of an accepted message was answered, within the
// time in which that must be acknowledged.
func (c *Checker) Resent(name Post, code string) {
	c.Violate(Twice, "%v was accepted, and its resend refused: %s", name, code)
}

// Counted tells how many subscribers of a topic a caller was told of, and since
// when nothing has gone wrong.
func (c *Checker) Counted(topic string, number int, calmSince, at time.Time) {
	from := at.Add(-PresenceFor)
	throughout, once := 0, 0
	for _, each := range c.Topics.subscriptions[topic] {
		touched, complete := false, false
		for _, present := range each.present {
			if present.lingers.After(from) && present.from.Before(at) {
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
		c.Topics.CountsRight++
		return
	}
	c.Topics.CountsWrong++
	if at.Sub(calmSince) > FaultSettleTime {
		c.Violate(Presence, "%d subscribers of %s were told, and %d to %d were there", number, topic, throughout, once)
	}
}

// closeTopics judges what is only known at the end.
func (c *Checker) closeTopics(at time.Time) {
	c.AllBrought(at)
	for topic, subscriptions := range statemachine.Sorted(c.Topics.subscriptions) {
		for position, each := range subscriptions {
			for name := range each.got {
				if sent := c.Topics.posts[name]; sent.refused == sent.tries {
					c.Violate(AllRefused, "%s got %v on %s, though every try was refused", each.name, name, each.topic)
				}
			}
			for _, other := range subscriptions[position+1:] {
				c.compareOrders(topic, each, other)
			}
		}
	}
}

// AllBrought judges, at a moment at which nothing is under way, that every
// subscription to a kept topic has what it is owed.
func (c *Checker) AllBrought(at time.Time) {
	for topic, subscriptions := range statemachine.Sorted(c.Topics.subscriptions) {
		if !c.Topics.routeOf(topic).durable {
			continue
		}
		for _, each := range subscriptions {
			c.brought(each, at)
		}
	}
}

func (c *Checker) brought(each *Subscription, at time.Time) {
	for _, sent := range c.Topics.byTopic[each.topic] {
		if _, got := each.got[sent.name]; got || each.missed[sent.name] || !each.owed(sent) {
			continue
		}
		switch {
		case each.last[sent.name.Sender] > sent.name.Seq:
			c.Violate(Skipped, "%s got seq %d of %s on %s and never the owed %d", each.name, each.last[sent.name.Sender], sent.name.Sender, each.topic, sent.name.Seq)
		case !each.Ended():
			c.Violate(Lost, "%s never got %v on %s, accepted %s before", each.name, sent.name, each.topic, at.Sub(sent.acceptedAt))
		default:
			continue
		}
		each.missed[sent.name] = true
	}
}

// compareOrders checks that two subscribers saw what both saw in one order.
func (c *Checker) compareOrders(topic string, left, right *Subscription) {
	last := -1
	for _, name := range left.order {
		position, both := right.place[name]
		if !both {
			continue
		}
		if position < last {
			c.Violate(Disagree, "%s and %s saw %v on %s in different orders", left.name, right.name, name, topic)
			return
		}
		last = position
	}
}
