// Package checker judges a run by what callers and operators saw, and by nothing
// else: it knows the promises and no protocol. The simulator and the trials
// with real processes feed the same checker, and its own test plants each kind
// of violation to show that it is caught.
package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Spans that the promises name.
const (
	ForceWithin   = 3 * time.Second
	RemovalWithin = 3 * time.Second
	Holding       = 35 * time.Second
	BackWithin    = 12 * time.Second
)

// Message names one message.
type Message struct {
	Space  string
	Sender string
	Seq    uint64
}

func (m Message) String() string {
	return fmt.Sprintf("%s/%s/%d", m.Space, m.Sender, m.Seq)
}

type published struct {
	topic      string
	data       string
	firstTry   time.Time
	tries      int
	refused    int
	accepted   bool
	acceptedAt time.Time
	doneAt     time.Time
}

// Interest is one subscription: a topic, or a prefix.
type Interest struct {
	Space string
	Path  string
	Wide  bool
}

func (i Interest) covers(space, topic string) bool {
	if i.Space != space {
		return false
	}
	if !i.Wide {
		return i.Path == topic
	}
	return i.Path == "" || topic == i.Path || strings.HasPrefix(topic, i.Path+"/")
}

type held struct {
	interest Interest
	from     time.Time
	until    time.Time
}

type subscriber struct {
	name      string
	interests []held
	got       map[Message]time.Time
	order     map[string][]Message
	lastSeq   map[string]uint64
	dropped   bool
}

type space struct {
	durable bool
	channel bool
	removed time.Time
	within  time.Duration
}

type put struct {
	version  uint64
	document string
	began    time.Time
	taken    time.Time
}

type shown struct {
	version uint64
	at      time.Time
}

// Checker is the book of a run.
type Checker struct {
	spaces      map[string]*space
	messages    map[Message]*published
	subscribers map[string]*subscriber
	puts        []put
	asked       map[uint64]string
	forced      map[string]uint64
	violations  []string
	counts      map[string]int
	Delivered   int
	Accepted    int
	Refused     int
	Unsettled   int
	Answers     []time.Duration
	Late        int
	// EphemeralOwed holds passing messages to what kept ones are: each accepted
	// one is owed to whoever subscribes and is never away for long.
	EphemeralOwed bool
	Codes         map[string]int
	showed        map[string][]shown
	Topics        *Topics
	// Register is what operators saw of the configuration.
	Register Register
}

// New makes an empty book.
func New() *Checker {
	return &Checker{
		spaces: map[string]*space{}, messages: map[Message]*published{}, subscribers: map[string]*subscriber{},
		asked: map[uint64]string{}, forced: map[string]uint64{}, counts: map[string]int{}, Codes: map[string]int{}, showed: map[string][]shown{},
		Topics: newTopics(),
	}
}

// Kinds of violations, each a promise of the brief.
const (
	NotInForce     = "not-in-force"
	WentBack       = "went-back"
	StaleRead      = "stale-read"
	BrokenAccepted = "broken-taken"
	Lost           = "lost"
	Twice          = "twice"
	OutOfOrder     = "out-of-order"
	Disagree       = "channel-order"
	CursorRejected = "place-refused"
	NeverAsked     = "never-asked"
	AllRefused     = "all-refused"
	AfterRemoval   = "after-removal"
	NotBack        = "not-back"
	Unready        = "unready"
	RefusedCalm    = "refused-in-calm"
	NotLinear      = "not-linearizable"
	TooFewLeft     = "too-few-left"
	RefusedAgain   = "refused-again"
)

// FaultSettleTime is how long after the end of a fault daemons may still be unready
// and requests refused.
const FaultSettleTime = 12 * time.Second

// Violate records a violation.
func (c *Checker) Violate(kind, text string, values ...any) {
	c.counts[kind]++
	if c.counts[kind] <= 20 {
		c.violations = append(c.violations, kind+": "+fmt.Sprintf(text, values...))
	}
}

// Violations lists what was found so far.
func (c *Checker) Violations() []string { return c.violations }

// Space tells what operators promised.
func (c *Checker) Space(name string, durable, channel bool) {
	c.spaces[name] = &space{durable: durable, channel: channel}
}

// AnswerWithin tells how soon a space's publications are promised an answer.
func (c *Checker) AnswerWithin(name string, limit time.Duration) {
	c.spaces[name].within = limit
}

// Removed tells that the removal of a space was taken.
func (c *Checker) Removed(name string, at time.Time) {
	if here, found := c.spaces[name]; found {
		here.removed = at
	}
}

// Publishers.

// Attempt tells that a publication is being tried.
func (c *Checker) Attempt(message Message, topic, data string, at time.Time) {
	each, found := c.messages[message]
	if !found {
		each = &published{topic: topic, data: data, firstTry: at}
		c.messages[message] = each
	}
	each.tries++
}

// Answered tells how a try ended; unsettled too where no answer came.
func (c *Checker) Answered(message Message, outcome string, began, at time.Time) {
	each := c.messages[message]
	each.doneAt = at
	switch outcome {
	case "accepted":
		if !each.accepted {
			c.Accepted++
			each.accepted, each.acceptedAt = true, at
		}
		c.Answers = append(c.Answers, at.Sub(began))
		if here, found := c.spaces[message.Space]; found && here.within > 0 && at.Sub(began) > here.within {
			c.Late++
		}
	case "refused":
		c.Refused++
		each.refused++
	default:
		c.Unsettled++
	}
}

// Subscribers.

func (c *Checker) subscriber(name string) *subscriber {
	each, found := c.subscribers[name]
	if !found {
		each = &subscriber{name: name, got: map[Message]time.Time{}, order: map[string][]Message{}, lastSeq: map[string]uint64{}}
		c.subscribers[name] = each
	}
	return each
}

// Subscribed tells that a new subscription was accepted.
func (c *Checker) Subscribed(name string, interest Interest, at time.Time) {
	each := c.subscriber(name)
	each.interests = append(each.interests, held{interest: interest, from: at})
}

// Asked tells that a subscription was asked for; messages may come from then.
func (c *Checker) Asked(name string, interest Interest, at time.Time) {
	each := c.subscriber(name)
	each.interests = append(each.interests, held{interest: interest, from: time.Time{}, until: at})
}

// Unsubscribed tells that a subscription ended.
func (c *Checker) Unsubscribed(name string, interest Interest, at time.Time) {
	each := c.subscriber(name)
	for position := range each.interests {
		if each.interests[position].interest == interest && each.interests[position].until.IsZero() {
			each.interests[position].until = at
		}
	}
}

// Dropped tells that a subscriber lost its place with good reason, or its
// client ended; nothing more is owed to it.
func (c *Checker) Dropped(name string) { c.subscriber(name).dropped = true }

// CursorLost tells that a returning client was refused its place; the oldest
// message that it missed was sent at the given time.
func (c *Checker) CursorLost(name string, cutAt, at time.Time) {
	if at.Sub(cutAt) < Holding {
		c.Violate(CursorRejected, "%s came back after %s", name, at.Sub(cutAt))
	}
	c.Dropped(name)
}

// Got tells that a message reached a subscriber.
func (c *Checker) Got(name string, message Message, topic, data string, at time.Time) {
	c.Delivered++
	each := c.subscriber(name)
	if earlier, twice := each.got[message]; twice {
		c.Violate(Twice, "%s got %s at %s and again %s later", name, message, earlier.Format("05.000"), at.Sub(earlier))
		return
	}
	each.got[message] = at
	each.order[message.Space] = append(each.order[message.Space], message)
	key := message.Space + " " + message.Sender
	if last := each.lastSeq[key]; last > message.Seq {
		c.Violate(OutOfOrder, "%s got %s after seq %d", name, message, last)
	}
	each.lastSeq[key] = max(each.lastSeq[key], message.Seq)
	sent, known := c.messages[message]
	if !known || sent.topic != topic || sent.data != data {
		c.Violate(NeverAsked, "%s got %s on %s, which nobody sent so", name, message, topic)
		return
	}
	asked := false
	for _, interest := range each.interests {
		asked = asked || interest.interest.covers(message.Space, topic)
	}
	if !asked {
		c.Violate(NeverAsked, "%s got %s on %s without a subscription", name, message, topic)
	}
	if here, found := c.spaces[message.Space]; found && !here.removed.IsZero() && at.Sub(here.removed) > RemovalWithin {
		c.Violate(AfterRemoval, "%s got %s %s after the removal", name, message, at.Sub(here.removed))
	}
}

// Operators.

// ConfigurationAccepted tells that a configuration was said to be taken.
func (c *Checker) ConfigurationAccepted(version uint64, document string, began, at time.Time) {
	if earlier, found := c.asked[version]; found && earlier != document {
		c.Violate(StaleRead, "version %d was taken twice with different content", version)
	}
	c.asked[version] = document
	c.puts = append(c.puts, put{version: version, document: document, began: began, taken: at})
}

// BrokenAccepted tells that a broken configuration was accepted.
func (c *Checker) BrokenAccepted(text string) {
	c.Violate(BrokenAccepted, "%s", text)
}

// ReadBack tells what reading the configuration back gave.
func (c *Checker) ReadBack(version uint64, document string, began, at time.Time) {
	for _, each := range c.puts {
		if each.taken.Before(began) && each.version > version {
			c.Violate(StaleRead, "read %d, though %d had been taken %s before", version, each.version, began.Sub(each.taken))
		}
	}
	if known, found := c.asked[version]; found && known != document {
		c.Violate(StaleRead, "version %d was read back different from what was taken", version)
	}
	// A read is itself told: a later read may not be older.
	c.asked[version] = document
	c.puts = append(c.puts, put{version: version, document: document, began: began, taken: at})
}

// InForce tells which version a daemon has at a moment, since when it and what
// it needs have been healthy, and whether it serves; one that does not serve
// has nothing in force from which it could fall back.
func (c *Checker) InForce(daemon string, version uint64, serves bool, healthySince, at time.Time) {
	if before := c.forced[daemon]; serves && version < before {
		c.Violate(WentBack, "%s fell from version %d to %d", daemon, before, version)
	}
	c.forced[daemon] = max(c.forced[daemon], version)
	for _, each := range c.puts {
		if each.version > version && at.Sub(each.taken) > ForceWithin && at.Sub(healthySince) > ForceWithin {
			c.Violate(NotInForce, "%s has version %d in force, %s after %d was taken", daemon, version, at.Sub(each.taken), each.version)
			return
		}
	}
}

// Showed tells which version a daemon had in force at a moment between two, in
// which it served; it is told at each change and not by sampling, and no fault
// excuses an older one.
func (c *Checker) Showed(daemon string, version uint64, began, at time.Time) {
	before := uint64(0)
	for _, each := range c.showed[daemon] {
		if each.at.Before(began) {
			before = max(before, each.version)
		}
	}
	if version < before {
		c.Violate(WentBack, "%s served by version %d after %d, at %s", daemon, version, before, at.Format("05.000"))
	}
	if version > before {
		c.showed[daemon] = append(c.showed[daemon], shown{version: version, at: at})
	}
	for _, each := range c.puts {
		if each.version > version && began.Sub(each.taken) > ForceWithin {
			c.Violate(NotInForce, "%s served by version %d, %s after %d was taken", daemon, version, began.Sub(each.taken), each.version)
			return
		}
	}
}

// RefusedAs tells the code of a request that was not accepted, and since when
// nothing has gone wrong; a code for which a daemon is to blame is a violation
// once all faults have been over for long enough.
func (c *Checker) RefusedAs(code, what string, calmSince, at time.Time) {
	c.Codes[code]++
	if at.Sub(calmSince) > FaultSettleTime {
		c.Violate(RefusedCalm, "%s: %s, %s after the last fault", what, code, at.Sub(calmSince))
	}
}

// NotReady tells of a daemon that ought to serve and does not.
func (c *Checker) NotReady(daemon string, calmSince, at time.Time) {
	if at.Sub(calmSince) > FaultSettleTime {
		c.Violate(Unready, "%s is not ready, %s after the last fault", daemon, at.Sub(calmSince))
	}
}

// Served tells that service was back so long after a major failure.
func (c *Checker) Served(what string, after time.Duration) {
	if after > BackWithin {
		c.Violate(NotBack, "%s: service was back after %s", what, after)
	}
}

// Close judges what can only be judged at the end, when all callers have been
// connected for a while and nothing is under way.
func (c *Checker) Close(at time.Time) {
	names := make([]string, 0, len(c.subscribers))
	for name := range c.subscribers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.closeSubscriber(c.subscribers[name], at)
	}
	c.closeTopics(at)
	for _, fault := range c.Register.Faults() {
		c.Violate(NotLinear, "%s", fault)
	}
	for left, name := range names {
		for _, other := range names[left+1:] {
			c.compare(c.subscribers[name], c.subscribers[other])
		}
	}
}

func (c *Checker) closeSubscriber(each *subscriber, at time.Time) {
	for message, when := range each.got {
		sent := c.messages[message]
		if sent != nil && sent.tries > 0 && sent.refused == sent.tries {
			c.Violate(AllRefused, "%s got %s at %s, though every try was refused", each.name, message, when.Format("05.000"))
		}
	}
	if each.dropped {
		return
	}
	for message, sent := range c.messages {
		here, found := c.spaces[message.Space]
		if !found || !here.durable && !c.EphemeralOwed || !sent.accepted || !here.removed.IsZero() {
			continue
		}
		if _, got := each.got[message]; got {
			continue
		}
		for _, interest := range each.interests {
			if !interest.from.IsZero() && interest.until.IsZero() && interest.from.Before(sent.firstTry) && interest.interest.covers(message.Space, sent.topic) {
				c.Violate(Lost, "%s never got %s on %s, accepted %s before the end", each.name, message, sent.topic, at.Sub(sent.acceptedAt))
				break
			}
		}
	}
}

// compare checks that two subscribers of a space with one shared order saw the
// same order in what they both saw.
func (c *Checker) compare(left, right *subscriber) {
	for name, here := range c.spaces {
		if !here.channel {
			continue
		}
		cursor := map[Message]int{}
		for position, message := range right.order[name] {
			cursor[message] = position
		}
		last := -1
		for _, message := range left.order[name] {
			position, both := cursor[message]
			if !both {
				continue
			}
			if position < last {
				c.Violate(Disagree, "%s and %s saw %s in different orders", left.name, right.name, message)
				break
			}
			last = position
		}
	}
}

// Summary is a line of counts.
func (c *Checker) Summary() string {
	slices.Sort(c.Answers)
	part := func(fraction float64) time.Duration {
		if len(c.Answers) == 0 {
			return 0
		}
		return c.Answers[min(len(c.Answers)-1, int(fraction*float64(len(c.Answers))))]
	}
	return fmt.Sprintf("accepted %d, refused %d, unsettled %d, delivered %d; answers half %s, most %s, slowest %s, late %d; violations %d",
		c.Accepted, c.Refused, c.Unsettled, c.Delivered,
		part(0.5).Round(100*time.Microsecond), part(0.99).Round(100*time.Microsecond), part(1).Round(100*time.Microsecond), c.Late, c.total())
}

func (c *Checker) total() int {
	total := 0
	for _, count := range c.counts {
		total += count
	}
	return total
}
