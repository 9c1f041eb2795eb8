// Package checker judges a run only by what clients and operators observed. It checks the
// promises of the service and depends on none of its protocols. The simulator and the
// trials with real processes use the same checker. Its tests plant each kind of violation
// and require that the checker reports it.
package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Time limits of the promises.
const (
	InForceWithin  = 3 * time.Second
	RemovalWithin  = 3 * time.Second
	HoldingTime    = 35 * time.Second
	RecoveryWithin = 12 * time.Second
)

// Message identifies a message.
type Message struct {
	Space  string
	Sender string
	Seq    uint64
}

func (m Message) String() string {
	return fmt.Sprintf("%s/%s/%d", m.Space, m.Sender, m.Seq)
}

type published struct {
	topic        string
	data         string
	firstAttempt time.Time
	attempts     int
	refused      int
	accepted     bool
	acceptedAt   time.Time
	doneAt       time.Time
}

// Interest is one subscription: a topic, or a prefix.
type Interest struct {
	Space  string
	Path   string
	Prefix bool
}

func (i Interest) covers(space, topic string) bool {
	if i.Space != space {
		return false
	}
	if !i.Prefix {
		return i.Path == topic
	}
	return i.Path == "" || topic == i.Path || strings.HasPrefix(topic, i.Path+"/")
}

type activeInterest struct {
	interest Interest
	from     time.Time
	until    time.Time
}

type subscriber struct {
	name      string
	interests []activeInterest
	received  map[Message]time.Time
	order     map[string][]Message
	lastSeq   map[string]uint64
	ended     bool
}

type space struct {
	durable     bool
	sharedOrder bool
	removed     time.Time
	within      time.Duration
}

type put struct {
	version    uint64
	document   string
	began      time.Time
	acceptedAt time.Time
}

type servedAt struct {
	version uint64
	at      time.Time
}

// Checker records the observations of a run and the violations found in them.
type Checker struct {
	spaces        map[string]*space
	messages      map[Message]*published
	subscribers   map[string]*subscriber
	puts          []put
	documents     map[uint64]string
	inForce       map[string]uint64
	violations    []string
	counts        map[string]int
	Delivered     int
	Accepted      int
	Rejected      int
	Unsettled     int
	ResponseTimes []time.Duration
	Late          int
	// RequireEphemeral applies the promise of durable messages to ephemeral ones, too: each
	// accepted message must reach every subscriber. It is for runs in which no subscriber is
	// disconnected for long.
	RequireEphemeral bool
	Codes            map[string]int
	servedVersions   map[string][]servedAt
	Topics           *Topics
	// Register is the history of the operators' reads and writes of the configuration.
	Register Register
}

// New returns a checker without observations.
func New() *Checker {
	return &Checker{
		spaces: map[string]*space{}, messages: map[Message]*published{}, subscribers: map[string]*subscriber{},
		documents: map[uint64]string{}, inForce: map[string]uint64{}, counts: map[string]int{}, Codes: map[string]int{}, servedVersions: map[string][]servedAt{},
		Topics: newTopics(),
	}
}

// Kinds of violations, one for each promise.
const (
	NotInForce      = "not-in-force"
	VersionWentBack = "went-back"
	StaleRead       = "stale-read"
	InvalidAccepted = "broken-taken"
	Lost            = "lost"
	Duplicate       = "twice"
	OutOfOrder      = "out-of-order"
	OrderMismatch   = "channel-order"
	CursorRejected  = "place-refused"
	Unsolicited     = "never-asked"
	AllRejected     = "all-refused"
	AfterRemoval    = "after-removal"
	NotRecovered    = "not-back"
	Unready         = "unready"
	RejectedInCalm  = "refused-in-calm"
	NotLinearizable = "not-linearizable"
	TooFewStores    = "too-few-left"
	RetryRejected   = "refused-again"
)

// FaultSettleTime is how long after the end of a fault daemons may still be unready
// and requests may be rejected.
const FaultSettleTime = 12 * time.Second

// Violate records a violation.
func (c *Checker) Violate(kind, text string, values ...any) {
	c.counts[kind]++
	if c.counts[kind] <= 20 {
		c.violations = append(c.violations, kind+": "+fmt.Sprintf(text, values...))
	}
}

// Violations returns the violations found so far, at most 20 of each kind.
func (c *Checker) Violations() []string { return c.violations }

// DefineSpace records the durability and the order that operators configured for a space. With
// sharedOrder, all subscribers receive the messages of the space in one order.
func (c *Checker) DefineSpace(name string, durable, sharedOrder bool) {
	c.spaces[name] = &space{durable: durable, sharedOrder: sharedOrder}
}

// AnswerWithin records the time within which a space promises to respond to publications.
func (c *Checker) AnswerWithin(name string, limit time.Duration) {
	c.spaces[name].within = limit
}

// SpaceRemoved records that the removal of a space was accepted.
func (c *Checker) SpaceRemoved(name string, at time.Time) {
	if here, found := c.spaces[name]; found {
		here.removed = at
	}
}

// Publishers.

// Attempt records that a client sends a publication, for the first time or again.
func (c *Checker) Attempt(message Message, topic, data string, at time.Time) {
	each, found := c.messages[message]
	if !found {
		each = &published{topic: topic, data: data, firstAttempt: at}
		c.messages[message] = each
	}
	each.attempts++
}

// Answered records the outcome of an attempt. An attempt without a response is unsettled.
func (c *Checker) Answered(message Message, outcome string, began, at time.Time) {
	each := c.messages[message]
	each.doneAt = at
	switch outcome {
	case "accepted":
		if !each.accepted {
			c.Accepted++
			each.accepted, each.acceptedAt = true, at
		}
		c.ResponseTimes = append(c.ResponseTimes, at.Sub(began))
		if here, found := c.spaces[message.Space]; found && here.within > 0 && at.Sub(began) > here.within {
			c.Late++
		}
	case "refused":
		c.Rejected++
		each.refused++
	default:
		c.Unsettled++
	}
}

// Subscribers.

func (c *Checker) subscriber(name string) *subscriber {
	each, found := c.subscribers[name]
	if !found {
		each = &subscriber{name: name, received: map[Message]time.Time{}, order: map[string][]Message{}, lastSeq: map[string]uint64{}}
		c.subscribers[name] = each
	}
	return each
}

// Subscribed records that a new subscription was accepted.
func (c *Checker) Subscribed(name string, interest Interest, at time.Time) {
	each := c.subscriber(name)
	each.interests = append(each.interests, activeInterest{interest: interest, from: at})
}

// SubscribeRequested records that a subscription was requested. Its messages may arrive from then on.
func (c *Checker) SubscribeRequested(name string, interest Interest, at time.Time) {
	each := c.subscriber(name)
	each.interests = append(each.interests, activeInterest{interest: interest, from: time.Time{}, until: at})
}

// Unsubscribed records that a subscription ended.
func (c *Checker) Unsubscribed(name string, interest Interest, at time.Time) {
	each := c.subscriber(name)
	for position := range each.interests {
		if each.interests[position].interest == interest && each.interests[position].until.IsZero() {
			each.interests[position].until = at
		}
	}
}

// SubscriberEnded records that a subscriber's cursor was rejected legitimately, or that its client
// ended. The checker expects no further deliveries to it.
func (c *Checker) SubscriberEnded(name string) { c.subscriber(name).ended = true }

// CursorExpired records that a client was disconnected at cutAt, returned, and its cursor was
// rejected as expired.
func (c *Checker) CursorExpired(name string, cutAt, at time.Time) {
	if at.Sub(cutAt) < HoldingTime {
		c.Violate(CursorRejected, "%s returned after %s", name, at.Sub(cutAt))
	}
	c.SubscriberEnded(name)
}

// Received records that a subscriber received a message.
func (c *Checker) Received(name string, message Message, topic, data string, at time.Time) {
	c.Delivered++
	each := c.subscriber(name)
	if earlier, twice := each.received[message]; twice {
		c.Violate(Duplicate, "%s got %s at %s and again %s later", name, message, earlier.Format("05.000"), at.Sub(earlier))
		return
	}
	each.received[message] = at
	each.order[message.Space] = append(each.order[message.Space], message)
	key := message.Space + " " + message.Sender
	if last := each.lastSeq[key]; last > message.Seq {
		c.Violate(OutOfOrder, "%s got %s after seq %d", name, message, last)
	}
	each.lastSeq[key] = max(each.lastSeq[key], message.Seq)
	sent, known := c.messages[message]
	if !known || sent.topic != topic || sent.data != data {
		c.Violate(Unsolicited, "%s got %s on %s, which was not sent with this topic and body", name, message, topic)
		return
	}
	subscribed := false
	for _, interest := range each.interests {
		subscribed = subscribed || interest.interest.covers(message.Space, topic)
	}
	if !subscribed {
		c.Violate(Unsolicited, "%s got %s on %s without a subscription", name, message, topic)
	}
	if here, found := c.spaces[message.Space]; found && !here.removed.IsZero() && at.Sub(here.removed) > RemovalWithin {
		c.Violate(AfterRemoval, "%s got %s %s after the removal", name, message, at.Sub(here.removed))
	}
}

// Operators.

// ConfigurationAccepted records that a configuration was acknowledged.
func (c *Checker) ConfigurationAccepted(version uint64, document string, began, at time.Time) {
	if earlier, found := c.documents[version]; found && earlier != document {
		c.Violate(StaleRead, "version %d was accepted twice with different content", version)
	}
	c.documents[version] = document
	c.puts = append(c.puts, put{version: version, document: document, began: began, acceptedAt: at})
}

// InvalidConfigurationAccepted records that an invalid configuration was accepted.
func (c *Checker) InvalidConfigurationAccepted(text string) {
	c.Violate(InvalidAccepted, "%s", text)
}

// ReadBack records the result of reading the configuration.
func (c *Checker) ReadBack(version uint64, document string, began, at time.Time) {
	for _, each := range c.puts {
		if each.acceptedAt.Before(began) && each.version > version {
			c.Violate(StaleRead, "read %d, though %d had been accepted %s before", version, each.version, began.Sub(each.acceptedAt))
		}
	}
	if known, found := c.documents[version]; found && known != document {
		c.Violate(StaleRead, "version %d was read with other content than was accepted", version)
	}
	// A read counts as an acknowledgment: a later read must not return an older version.
	c.documents[version] = document
	c.puts = append(c.puts, put{version: version, document: document, began: began, acceptedAt: at})
}

// InForce records which configuration version a daemon has in force, whether it serves, and
// since when it and its dependencies have been healthy. A daemon that does not serve has no
// version in force, so its version may go back.
func (c *Checker) InForce(daemon string, version uint64, serves bool, healthySince, at time.Time) {
	if before := c.inForce[daemon]; serves && version < before {
		c.Violate(VersionWentBack, "%s went back from version %d to %d", daemon, before, version)
	}
	c.inForce[daemon] = max(c.inForce[daemon], version)
	for _, each := range c.puts {
		if each.version > version && at.Sub(each.acceptedAt) > InForceWithin && at.Sub(healthySince) > InForceWithin {
			c.Violate(NotInForce, "%s has version %d in force, %s after %d was accepted", daemon, version, at.Sub(each.acceptedAt), each.version)
			return
		}
	}
}

// ServedVersion records which version a daemon had in force at some time between began and at, while
// it served. It is called at each change and not by sampling, and no fault excuses an older
// version.
func (c *Checker) ServedVersion(daemon string, version uint64, began, at time.Time) {
	before := uint64(0)
	for _, each := range c.servedVersions[daemon] {
		if each.at.Before(began) {
			before = max(before, each.version)
		}
	}
	if version < before {
		c.Violate(VersionWentBack, "%s served with version %d after %d, at %s", daemon, version, before, at.Format("05.000"))
	}
	if version > before {
		c.servedVersions[daemon] = append(c.servedVersions[daemon], servedAt{version: version, at: at})
	}
	for _, each := range c.puts {
		if each.version > version && began.Sub(each.acceptedAt) > InForceWithin {
			c.Violate(NotInForce, "%s served with version %d, %s after %d was accepted", daemon, version, began.Sub(each.acceptedAt), each.version)
			return
		}
	}
}

// RequestRejected records the code of a request that was not accepted. Callers report only codes
// for which a daemon is responsible. calmSince is the end of the last fault: a rejection
// more than FaultSettleTime after it is a violation.
func (c *Checker) RequestRejected(code, what string, calmSince, at time.Time) {
	c.Codes[code]++
	if at.Sub(calmSince) > FaultSettleTime {
		c.Violate(RejectedInCalm, "%s: %s, %s after the last fault", what, code, at.Sub(calmSince))
	}
}

// NotReady records that a daemon that should serve is not ready.
func (c *Checker) NotReady(daemon string, calmSince, at time.Time) {
	if at.Sub(calmSince) > FaultSettleTime {
		c.Violate(Unready, "%s is not ready, %s after the last fault", daemon, at.Sub(calmSince))
	}
}

// Recovered records how long after a major failure the service had recovered.
func (c *Checker) Recovered(what string, after time.Duration) {
	if after > RecoveryWithin {
		c.Violate(NotRecovered, "%s: service was back after %s", what, after)
	}
}

// Close runs the checks that are only possible at the end of a run, when all clients have
// been connected for a while and nothing is in flight.
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
	for _, fault := range c.Register.Violations() {
		c.Violate(NotLinearizable, "%s", fault)
	}
	for left, name := range names {
		for _, other := range names[left+1:] {
			c.compare(c.subscribers[name], c.subscribers[other])
		}
	}
}

func (c *Checker) closeSubscriber(each *subscriber, at time.Time) {
	for message, when := range each.received {
		sent := c.messages[message]
		if sent != nil && sent.attempts > 0 && sent.refused == sent.attempts {
			c.Violate(AllRejected, "%s got %s at %s, though every attempt was rejected", each.name, message, when.Format("05.000"))
		}
	}
	if each.ended {
		return
	}
	for message, sent := range c.messages {
		here, found := c.spaces[message.Space]
		if !found || !here.durable && !c.RequireEphemeral || !sent.accepted || !here.removed.IsZero() {
			continue
		}
		if _, received := each.received[message]; received {
			continue
		}
		for _, interest := range each.interests {
			if !interest.from.IsZero() && interest.until.IsZero() && interest.from.Before(sent.firstAttempt) && interest.interest.covers(message.Space, sent.topic) {
				c.Violate(Lost, "%s never got %s on %s, accepted %s before the end", each.name, message, sent.topic, at.Sub(sent.acceptedAt))
				break
			}
		}
	}
}

// compare checks, for spaces with one order for all subscribers, that two subscribers
// received the messages that both received in the same order.
func (c *Checker) compare(left, right *subscriber) {
	for name, here := range c.spaces {
		if !here.sharedOrder {
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
				c.Violate(OrderMismatch, "%s and %s received %s in different orders", left.name, right.name, message)
				break
			}
			last = position
		}
	}
}

// Summary returns the counts and response times of the run in one line.
func (c *Checker) Summary() string {
	slices.Sort(c.ResponseTimes)
	part := func(fraction float64) time.Duration {
		if len(c.ResponseTimes) == 0 {
			return 0
		}
		return c.ResponseTimes[min(len(c.ResponseTimes)-1, int(fraction*float64(len(c.ResponseTimes))))]
	}
	return fmt.Sprintf("accepted %d, refused %d, unsettled %d, delivered %d; answers half %s, most %s, slowest %s, late %d; violations %d",
		c.Accepted, c.Rejected, c.Unsettled, c.Delivered,
		part(0.5).Round(100*time.Microsecond), part(0.99).Round(100*time.Microsecond), part(1).Round(100*time.Microsecond), c.Late, c.total())
}

func (c *Checker) total() int {
	total := 0
	for _, count := range c.counts {
		total += count
	}
	return total
}
