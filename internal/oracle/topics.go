// Routed topics. Here a subscription is a caller's to one topic, and lasts over
// all of its connections until the caller ends it, is told that its place is
// lost, or a configuration is sent that takes its route away. It is owed what was
// first sent after it was first confirmed and was accepted before it ended.
package oracle

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/helm"
)

// Spans and bounds that the promises of routed topics name.
const (
	PresenceFor   = 5 * time.Second
	PresenceShare = 0.05
	PresenceSlack = 2
	DeliverWithin = 150 * time.Millisecond
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
	kept    bool
	holding time.Duration
}

// routing is a configuration as far as it leads topics.
type routing struct {
	version  uint64
	prefixes []string
	sent     time.Time
	taken    time.Time
}

func (routing *routing) leads(topic string) bool {
	return slices.ContainsFunc(routing.prefixes, func(prefix string) bool { return strings.HasPrefix(topic, prefix) })
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
	oracle    *Oracle
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
func (oracle *Oracle) Route(prefix string, kept bool, holding time.Duration) {
	oracle.Topics.routes = append(oracle.Topics.routes, route{prefix: prefix, kept: kept, holding: holding})
}

// routeOf is the route of a topic: the longest prefix wins.
func (topics *Topics) routeOf(topic string) route {
	var best route
	for _, each := range topics.routes {
		if strings.HasPrefix(topic, each.prefix) && len(each.prefix) >= len(best.prefix) {
			best = each
		}
	}
	return best
}

// RoutesSent tells that a configuration is put, with all its prefixes: whatever
// it no longer leads anywhere ends.
func (oracle *Oracle) RoutesSent(version uint64, prefixes []string, at time.Time) {
	sent := &routing{version: version, prefixes: prefixes, sent: at}
	oracle.Topics.routings = append(oracle.Topics.routings, sent)
	for topic, subscriptions := range oracle.Topics.subscriptions {
		if sent.leads(topic) {
			continue
		}
		for _, each := range subscriptions {
			each.End(at)
		}
	}
}

// RoutesTaken tells that it was acknowledged.
func (oracle *Oracle) RoutesTaken(version uint64, at time.Time) {
	for _, each := range oracle.Topics.routings {
		if each.version == version && each.taken.IsZero() {
			each.taken = at
		}
	}
}

// mayLead tells whether a request for a topic that was sent at one moment and
// answered at another may have been handled as one with, or without, a route.
func (topics *Topics) mayLead(topic string, leads bool, sent, at time.Time) bool {
	newest := uint64(0)
	for _, each := range topics.routings {
		if !each.taken.IsZero() && sent.Sub(each.taken) > ForceWithin {
			newest = max(newest, each.version)
		}
	}
	if newest == 0 {
		return true
	}
	return slices.ContainsFunc(topics.routings, func(each *routing) bool {
		return each.version >= newest && !each.sent.After(at) && each.leads(topic) == leads
	})
}

// Handled tells that a request for a topic was answered as for one that has, or
// has not, a route.
func (oracle *Oracle) Handled(what, topic string, leads bool, sent, at time.Time) {
	if !oracle.Topics.mayLead(topic, leads, sent, at) {
		oracle.Violate(WrongRoute, "%s on %s was handled as if it had a route: %v", what, topic, leads)
	}
}

// Publishing.

// PostTried tells that a message is sent, once more or for the first time, and
// since when its sender wanted it to be.
func (oracle *Oracle) PostTried(name Post, topic, body string, wanted, at time.Time) {
	topics := oracle.Topics
	each, found := topics.posts[name]
	if !found {
		each = &post{name: name, topic: topic, body: body, wanted: wanted, firstTry: at}
		topics.posts[name] = each
		topics.byTopic[topic] = append(topics.byTopic[topic], each)
	}
	each.tries++
}

// PostAnswered tells how a try ended.
func (oracle *Oracle) PostAnswered(name Post, outcome string, at time.Time) {
	each := oracle.Topics.posts[name]
	switch outcome {
	case "accepted":
		if !each.accepted {
			oracle.Accepted++
			each.accepted, each.acceptedAt = true, at
			oracle.Answers = append(oracle.Answers, at.Sub(each.wanted))
		}
	case "refused":
		oracle.Refused++
		each.refused++
	default:
		oracle.Unsettled++
	}
}

// Subscribing.

// Subscribing tells that a caller begins to ask for a topic; a place that was
// saved before, by whomever, may be taken up.
func (oracle *Oracle) Subscribing(name, topic string, saved *Saved) *Subscription {
	made := &Subscription{oracle: oracle, name: name, topic: topic, saved: saved, got: map[Post]time.Time{}, place: map[Post]int{}, last: map[string]uint64{}, missed: map[Post]bool{}}
	oracle.Topics.subscriptions[topic] = append(oracle.Topics.subscriptions[topic], made)
	return made
}

// Confirmed tells that the subscription is confirmed, on a connection that was
// begun at a moment.
func (subscription *Subscription) Confirmed(opened, at time.Time) {
	if subscription.firstOK.IsZero() {
		subscription.firstOK = at
	}
	subscription.opened, subscription.connected = at, true
	subscription.present = append(subscription.present, span{from: at})
	subscription.oracle.Topics.Joins = append(subscription.oracle.Topics.Joins, at.Sub(opened))
	if !subscription.oracle.Topics.routeOf(subscription.topic).kept {
		clear(subscription.last)
	}
}

// Cut tells that the connection ended.
func (subscription *Subscription) Cut(at time.Time) {
	subscription.connected = false
	if count := len(subscription.present); count > 0 && subscription.present[count-1].until.IsZero() {
		subscription.present[count-1].until = at
	}
}

// Silenced tells that the caller fell silent instead of closing, and until when
// its connection may be held open for it.
func (subscription *Subscription) Silenced(at, until time.Time) {
	if count := len(subscription.present); count > 0 && subscription.present[count-1].until.IsZero() {
		subscription.present[count-1].lingers = until
	}
	subscription.Cut(at)
}

// End tells that the subscription ends.
func (subscription *Subscription) End(at time.Time) {
	if subscription.ended.IsZero() {
		subscription.ended = at
	}
	subscription.Cut(at)
}

// Ended tells whether it has.
func (subscription *Subscription) Ended() bool { return !subscription.ended.IsZero() }

// owed tells whether a message is owed, as far as it is known by now.
func (subscription *Subscription) owed(each *post) bool {
	if !each.accepted || !subscription.ended.IsZero() && each.acceptedAt.After(subscription.ended) {
		return false
	}
	if saved := subscription.saved; saved != nil {
		return each.firstTry.After(saved.At) || subscription.oracle.Topics.follows(subscription.topic, saved.After, each.name)
	}
	return !subscription.firstOK.IsZero() && each.firstTry.After(subscription.firstOK)
}

// follows tells whether any subscriber got one message after another.
func (topics *Topics) follows(topic string, earlier, later Post) bool {
	for _, each := range topics.subscriptions[topic] {
		first, got := each.place[earlier]
		second, both := each.place[later]
		if got && both && second > first {
			return true
		}
	}
	return false
}

// Expired tells that the place was refused as lost, which ends the subscription.
func (subscription *Subscription) Expired(at time.Time) {
	oracle := subscription.oracle
	oracle.Topics.Expired++
	route := oracle.Topics.routeOf(subscription.topic)
	excused := !route.kept
	lacks := 0
	for _, each := range oracle.Topics.byTopic[subscription.topic] {
		if _, got := subscription.got[each.name]; got || !subscription.owed(each) {
			continue
		}
		lacks++
		excused = excused || at.Sub(each.firstTry) >= route.holding
	}
	if !excused && !subscription.Ended() {
		oracle.Violate(PlaceRefused, "%s lost its place in %s, though all of %d messages that it lacks are held", subscription.name, subscription.topic, lacks)
	}
	subscription.End(at)
}

// Got tells that a message came, and since when nothing has gone wrong.
func (subscription *Subscription) Got(name Post, topic, body string, calmSince, at time.Time) {
	oracle := subscription.oracle
	topics := oracle.Topics
	oracle.Delivered++
	who := subscription.name
	sent, known := topics.posts[name]
	if !known || sent.topic != topic || sent.body != body || topic != subscription.topic {
		oracle.Violate(NeverAsked, "%s got %v on %s, which nobody sent so", who, name, topic)
		return
	}
	if earlier, twice := subscription.got[name]; twice {
		oracle.Violate(Twice, "%s got %v on %s and again %s later", who, name, topic, at.Sub(earlier))
		return
	}
	if last := subscription.last[name.Sender]; last > name.Seq {
		oracle.Violate(OutOfOrder, "%s got %v on %s after seq %d", who, name, topic, last)
	}
	if saved := subscription.saved; saved != nil && (saved.After == name || topics.follows(topic, name, saved.After)) {
		oracle.Violate(Twice, "%s got %v on %s, which lies before the place that it took up", who, name, topic)
	}
	subscription.got[name] = at
	subscription.place[name] = len(subscription.order)
	subscription.order = append(subscription.order, name)
	subscription.last[name.Sender] = max(subscription.last[name.Sender], name.Seq)
	if !topics.mayLead(topic, true, sent.firstTry, at) {
		oracle.Violate(AfterRemoval, "%s got %v on %s, first sent %s before", who, name, topic, at.Sub(sent.firstTry))
	}
	delay := at.Sub(sent.wanted)
	if subscription.opened.Before(sent.wanted) && subscription.connected {
		topics.Delays = append(topics.Delays, delay)
		if delay > DeliverWithin && sent.wanted.Sub(calmSince) > TroubleFor {
			oracle.Violate(LateInCalm, "%s got %v on %s after %s", who, name, topic, delay)
		}
	}
}

// Unasked tells that a message came on a connection that has not asked for its
// topic, or has left it.
func (oracle *Oracle) Unasked(who string, name Post, topic string) {
	oracle.Violate(NeverAsked, "%s got %v on %s without a subscription", who, name, topic)
}

// Resent tells how the resend of an accepted message was answered, within the
// time in which that must be acknowledged.
func (oracle *Oracle) Resent(name Post, code string) {
	oracle.Violate(Twice, "%v was accepted, and its resend refused: %s", name, code)
}

// Counted tells how many subscribers of a topic a caller was told of, and since
// when nothing has gone wrong.
func (oracle *Oracle) Counted(topic string, number int, calmSince, at time.Time) {
	from := at.Add(-PresenceFor)
	throughout, once := 0, 0
	for _, each := range oracle.Topics.subscriptions[topic] {
		touched, whole := false, false
		for _, present := range each.present {
			if present.lingers.After(from) && present.from.Before(at) {
				once++
				continue
			}
			reaches := present.until.IsZero() || !present.until.Before(from)
			touched = touched || reaches && !present.from.After(at)
			whole = whole || !present.from.After(from) && (present.until.IsZero() || !present.until.Before(at))
		}
		if touched {
			once++
		}
		if whole {
			throughout++
		}
	}
	if float64(number) >= float64(throughout)*(1-PresenceShare)-PresenceSlack && float64(number) <= float64(once)*(1+PresenceShare)+PresenceSlack {
		oracle.Topics.CountsRight++
		return
	}
	oracle.Topics.CountsWrong++
	if at.Sub(calmSince) > TroubleFor {
		oracle.Violate(Presence, "%d subscribers of %s were told, and %d to %d were there", number, topic, throughout, once)
	}
}

// closeTopics judges what is only known at the end.
func (oracle *Oracle) closeTopics(at time.Time) {
	oracle.AllBrought(at)
	for topic, subscriptions := range helm.Sorted(oracle.Topics.subscriptions) {
		for position, each := range subscriptions {
			for name := range each.got {
				if sent := oracle.Topics.posts[name]; sent.refused == sent.tries {
					oracle.Violate(AllRefused, "%s got %v on %s, though every try was refused", each.name, name, each.topic)
				}
			}
			for _, other := range subscriptions[position+1:] {
				oracle.compareOrders(topic, each, other)
			}
		}
	}
}

// AllBrought judges, at a moment at which nothing is under way, that every
// subscription to a kept topic has what it is owed.
func (oracle *Oracle) AllBrought(at time.Time) {
	for topic, subscriptions := range helm.Sorted(oracle.Topics.subscriptions) {
		if !oracle.Topics.routeOf(topic).kept {
			continue
		}
		for _, each := range subscriptions {
			oracle.brought(each, at)
		}
	}
}

func (oracle *Oracle) brought(each *Subscription, at time.Time) {
	for _, sent := range oracle.Topics.byTopic[each.topic] {
		if _, got := each.got[sent.name]; got || each.missed[sent.name] || !each.owed(sent) {
			continue
		}
		switch {
		case each.last[sent.name.Sender] > sent.name.Seq:
			oracle.Violate(Skipped, "%s got seq %d of %s on %s and never the owed %d", each.name, each.last[sent.name.Sender], sent.name.Sender, each.topic, sent.name.Seq)
		case !each.Ended():
			oracle.Violate(Lost, "%s never got %v on %s, accepted %s before", each.name, sent.name, each.topic, at.Sub(sent.acceptedAt))
		default:
			continue
		}
		each.missed[sent.name] = true
	}
}

// compareOrders checks that two subscribers saw what both saw in one order.
func (oracle *Oracle) compareOrders(topic string, left, right *Subscription) {
	last := -1
	for _, name := range left.order {
		position, both := right.place[name]
		if !both {
			continue
		}
		if position < last {
			oracle.Violate(Disagree, "%s and %s saw %v on %s in different orders", left.name, right.name, name, topic)
			return
		}
		last = position
	}
}
