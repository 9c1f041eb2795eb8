// Package oracle judges a run by what callers and operators saw, and by nothing
// else: it knows the promises and no protocol. The simulator and the trials
// with real processes feed the same oracle, and its own test plants each kind
// of violation to show that it is caught.
package oracle

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

func (message Message) String() string {
	return fmt.Sprintf("%s/%s/%d", message.Space, message.Sender, message.Seq)
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

func (interest Interest) covers(space, topic string) bool {
	if interest.Space != space {
		return false
	}
	if !interest.Wide {
		return interest.Path == topic
	}
	return interest.Path == "" || topic == interest.Path || strings.HasPrefix(topic, interest.Path+"/")
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
	kept    bool
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

// Oracle is the book of a run.
type Oracle struct {
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
	// PassingOwed holds passing messages to what kept ones are: each accepted
	// one is owed to whoever subscribes and is never away for long.
	PassingOwed bool
	Codes       map[string]int
	showed      map[string][]shown
	Topics      *Topics
}

// New makes an empty book.
func New() *Oracle {
	return &Oracle{
		spaces: map[string]*space{}, messages: map[Message]*published{}, subscribers: map[string]*subscriber{},
		asked: map[uint64]string{}, forced: map[string]uint64{}, counts: map[string]int{}, Codes: map[string]int{}, showed: map[string][]shown{},
		Topics: newTopics(),
	}
}

// Kinds of violations, each a promise of the brief.
const (
	NotInForce   = "not-in-force"
	WentBack     = "went-back"
	StaleRead    = "stale-read"
	BrokenTaken  = "broken-taken"
	Lost         = "lost"
	Twice        = "twice"
	OutOfOrder   = "out-of-order"
	Disagree     = "channel-order"
	PlaceRefused = "place-refused"
	NeverAsked   = "never-asked"
	AllRefused   = "all-refused"
	AfterRemoval = "after-removal"
	NotBack      = "not-back"
	Unready      = "unready"
	RefusedCalm  = "refused-in-calm"
)

// TroubleFor is how long after the end of a fault daemons may still be unready
// and visits refused.
const TroubleFor = 12 * time.Second

// Violate records a violation.
func (oracle *Oracle) Violate(kind, text string, values ...any) {
	oracle.counts[kind]++
	if oracle.counts[kind] <= 20 {
		oracle.violations = append(oracle.violations, kind+": "+fmt.Sprintf(text, values...))
	}
}

// Violations lists what was found so far.
func (oracle *Oracle) Violations() []string { return oracle.violations }

// Space tells what operators promised.
func (oracle *Oracle) Space(name string, kept, channel bool) {
	oracle.spaces[name] = &space{kept: kept, channel: channel}
}

// AnswerWithin tells how soon a space's publications are promised an answer.
func (oracle *Oracle) AnswerWithin(name string, limit time.Duration) {
	oracle.spaces[name].within = limit
}

// Removed tells that the removal of a space was taken.
func (oracle *Oracle) Removed(name string, at time.Time) {
	if here, found := oracle.spaces[name]; found {
		here.removed = at
	}
}

// Publishers.

// Try tells that a publication is being tried.
func (oracle *Oracle) Try(message Message, topic, data string, at time.Time) {
	each, found := oracle.messages[message]
	if !found {
		each = &published{topic: topic, data: data, firstTry: at}
		oracle.messages[message] = each
	}
	each.tries++
}

// Answered tells how a try ended; unsettled too where no answer came.
func (oracle *Oracle) Answered(message Message, outcome string, began, at time.Time) {
	each := oracle.messages[message]
	each.doneAt = at
	switch outcome {
	case "accepted":
		if !each.accepted {
			oracle.Accepted++
			each.accepted, each.acceptedAt = true, at
		}
		oracle.Answers = append(oracle.Answers, at.Sub(began))
		if here, found := oracle.spaces[message.Space]; found && here.within > 0 && at.Sub(began) > here.within {
			oracle.Late++
		}
	case "refused":
		oracle.Refused++
		each.refused++
	default:
		oracle.Unsettled++
	}
}

// Subscribers.

func (oracle *Oracle) subscriber(name string) *subscriber {
	each, found := oracle.subscribers[name]
	if !found {
		each = &subscriber{name: name, got: map[Message]time.Time{}, order: map[string][]Message{}, lastSeq: map[string]uint64{}}
		oracle.subscribers[name] = each
	}
	return each
}

// Subscribed tells that a new subscription was accepted.
func (oracle *Oracle) Subscribed(name string, interest Interest, at time.Time) {
	each := oracle.subscriber(name)
	each.interests = append(each.interests, held{interest: interest, from: at})
}

// Asked tells that a subscription was asked for; messages may come from then.
func (oracle *Oracle) Asked(name string, interest Interest, at time.Time) {
	each := oracle.subscriber(name)
	each.interests = append(each.interests, held{interest: interest, from: time.Time{}, until: at})
}

// Unsubscribed tells that a subscription ended.
func (oracle *Oracle) Unsubscribed(name string, interest Interest, at time.Time) {
	each := oracle.subscriber(name)
	for position := range each.interests {
		if each.interests[position].interest == interest && each.interests[position].until.IsZero() {
			each.interests[position].until = at
		}
	}
}

// Dropped tells that a subscriber lost its place with good reason, or its
// client ended; nothing more is owed to it.
func (oracle *Oracle) Dropped(name string) { oracle.subscriber(name).dropped = true }

// PlaceLost tells that a returning client was refused its place; the oldest
// message that it missed was sent at the given time.
func (oracle *Oracle) PlaceLost(name string, cutAt, at time.Time) {
	if at.Sub(cutAt) < Holding {
		oracle.Violate(PlaceRefused, "%s came back after %s", name, at.Sub(cutAt))
	}
	oracle.Dropped(name)
}

// Got tells that a message reached a subscriber.
func (oracle *Oracle) Got(name string, message Message, topic, data string, at time.Time) {
	oracle.Delivered++
	each := oracle.subscriber(name)
	if earlier, twice := each.got[message]; twice {
		oracle.Violate(Twice, "%s got %s at %s and again %s later", name, message, earlier.Format("05.000"), at.Sub(earlier))
		return
	}
	each.got[message] = at
	each.order[message.Space] = append(each.order[message.Space], message)
	key := message.Space + " " + message.Sender
	if last := each.lastSeq[key]; last > message.Seq {
		oracle.Violate(OutOfOrder, "%s got %s after seq %d", name, message, last)
	}
	each.lastSeq[key] = max(each.lastSeq[key], message.Seq)
	sent, known := oracle.messages[message]
	if !known || sent.topic != topic || sent.data != data {
		oracle.Violate(NeverAsked, "%s got %s on %s, which nobody sent so", name, message, topic)
		return
	}
	asked := false
	for _, interest := range each.interests {
		asked = asked || interest.interest.covers(message.Space, topic)
	}
	if !asked {
		oracle.Violate(NeverAsked, "%s got %s on %s without a subscription", name, message, topic)
	}
	if here, found := oracle.spaces[message.Space]; found && !here.removed.IsZero() && at.Sub(here.removed) > RemovalWithin {
		oracle.Violate(AfterRemoval, "%s got %s %s after the removal", name, message, at.Sub(here.removed))
	}
}

// Operators.

// PutTaken tells that a configuration was said to be taken.
func (oracle *Oracle) PutTaken(version uint64, document string, began, at time.Time) {
	if earlier, found := oracle.asked[version]; found && earlier != document {
		oracle.Violate(StaleRead, "version %d was taken twice with different content", version)
	}
	oracle.asked[version] = document
	oracle.puts = append(oracle.puts, put{version: version, document: document, began: began, taken: at})
}

// BrokenWasTaken tells that a broken configuration was accepted.
func (oracle *Oracle) BrokenWasTaken(text string) {
	oracle.Violate(BrokenTaken, "%s", text)
}

// ReadBack tells what reading the configuration back gave.
func (oracle *Oracle) ReadBack(version uint64, document string, began, at time.Time) {
	for _, each := range oracle.puts {
		if each.taken.Before(began) && each.version > version {
			oracle.Violate(StaleRead, "read %d, though %d had been taken %s before", version, each.version, began.Sub(each.taken))
		}
	}
	if known, found := oracle.asked[version]; found && known != document {
		oracle.Violate(StaleRead, "version %d was read back different from what was taken", version)
	}
	// A read is itself told: a later read may not be older.
	oracle.asked[version] = document
	oracle.puts = append(oracle.puts, put{version: version, document: document, began: began, taken: at})
}

// InForce tells which version a daemon has at a moment, since when it and what
// it needs have been healthy, and whether it serves; one that does not serve
// has nothing in force from which it could fall back.
func (oracle *Oracle) InForce(daemon string, version uint64, serves bool, healthySince, at time.Time) {
	if before := oracle.forced[daemon]; serves && version < before {
		oracle.Violate(WentBack, "%s fell from version %d to %d", daemon, before, version)
	}
	oracle.forced[daemon] = max(oracle.forced[daemon], version)
	for _, each := range oracle.puts {
		if each.version > version && at.Sub(each.taken) > ForceWithin && at.Sub(healthySince) > ForceWithin {
			oracle.Violate(NotInForce, "%s has version %d in force, %s after %d was taken", daemon, version, at.Sub(each.taken), each.version)
			return
		}
	}
}

// Showed tells which version a daemon had in force at a moment between two, in
// which it served; it is told at each change and not by sampling, and no fault
// excuses an older one.
func (oracle *Oracle) Showed(daemon string, version uint64, began, at time.Time) {
	before := uint64(0)
	for _, each := range oracle.showed[daemon] {
		if each.at.Before(began) {
			before = max(before, each.version)
		}
	}
	if version < before {
		oracle.Violate(WentBack, "%s served by version %d after %d, at %s", daemon, version, before, at.Format("05.000"))
	}
	if version > before {
		oracle.showed[daemon] = append(oracle.showed[daemon], shown{version: version, at: at})
	}
	for _, each := range oracle.puts {
		if each.version > version && began.Sub(each.taken) > ForceWithin {
			oracle.Violate(NotInForce, "%s served by version %d, %s after %d was taken", daemon, version, began.Sub(each.taken), each.version)
			return
		}
	}
}

// RefusedAs tells the code of a visit that was not accepted, and since when
// nothing has gone wrong; a code for which a daemon is to blame is a violation
// once all faults have been over for long enough.
func (oracle *Oracle) RefusedAs(code, what string, calmSince, at time.Time) {
	oracle.Codes[code]++
	if at.Sub(calmSince) > TroubleFor {
		oracle.Violate(RefusedCalm, "%s: %s, %s after the last fault", what, code, at.Sub(calmSince))
	}
}

// NotReady tells of a daemon that ought to serve and does not.
func (oracle *Oracle) NotReady(daemon string, calmSince, at time.Time) {
	if at.Sub(calmSince) > TroubleFor {
		oracle.Violate(Unready, "%s is not ready, %s after the last fault", daemon, at.Sub(calmSince))
	}
}

// Served tells that service was back so long after a major failure.
func (oracle *Oracle) Served(what string, after time.Duration) {
	if after > BackWithin {
		oracle.Violate(NotBack, "%s: service was back after %s", what, after)
	}
}

// Close judges what can only be judged at the end, when all callers have been
// connected for a while and nothing is under way.
func (oracle *Oracle) Close(at time.Time) {
	names := make([]string, 0, len(oracle.subscribers))
	for name := range oracle.subscribers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		oracle.closeSubscriber(oracle.subscribers[name], at)
	}
	oracle.closeTopics(at)
	for left, name := range names {
		for _, other := range names[left+1:] {
			oracle.compare(oracle.subscribers[name], oracle.subscribers[other])
		}
	}
}

func (oracle *Oracle) closeSubscriber(each *subscriber, at time.Time) {
	for message, when := range each.got {
		sent := oracle.messages[message]
		if sent != nil && sent.tries > 0 && sent.refused == sent.tries {
			oracle.Violate(AllRefused, "%s got %s at %s, though every try was refused", each.name, message, when.Format("05.000"))
		}
	}
	if each.dropped {
		return
	}
	for message, sent := range oracle.messages {
		here, found := oracle.spaces[message.Space]
		if !found || !here.kept && !oracle.PassingOwed || !sent.accepted || !here.removed.IsZero() {
			continue
		}
		if _, got := each.got[message]; got {
			continue
		}
		for _, interest := range each.interests {
			if !interest.from.IsZero() && interest.until.IsZero() && interest.from.Before(sent.firstTry) && interest.interest.covers(message.Space, sent.topic) {
				oracle.Violate(Lost, "%s never got %s on %s, accepted %s before the end", each.name, message, sent.topic, at.Sub(sent.acceptedAt))
				break
			}
		}
	}
}

// compare checks that two subscribers of a space with one shared order saw the
// same order in what they both saw.
func (oracle *Oracle) compare(left, right *subscriber) {
	for name, here := range oracle.spaces {
		if !here.channel {
			continue
		}
		place := map[Message]int{}
		for position, message := range right.order[name] {
			place[message] = position
		}
		last := -1
		for _, message := range left.order[name] {
			position, both := place[message]
			if !both {
				continue
			}
			if position < last {
				oracle.Violate(Disagree, "%s and %s saw %s in different orders", left.name, right.name, message)
				break
			}
			last = position
		}
	}
}

// Summary is a line of counts.
func (oracle *Oracle) Summary() string {
	slices.Sort(oracle.Answers)
	part := func(share float64) time.Duration {
		if len(oracle.Answers) == 0 {
			return 0
		}
		return oracle.Answers[min(len(oracle.Answers)-1, int(share*float64(len(oracle.Answers))))]
	}
	return fmt.Sprintf("accepted %d, refused %d, unsettled %d, delivered %d; answers half %s, most %s, slowest %s, late %d; violations %d",
		oracle.Accepted, oracle.Refused, oracle.Unsettled, oracle.Delivered,
		part(0.5).Round(100*time.Microsecond), part(0.99).Round(100*time.Microsecond), part(1).Round(100*time.Microsecond), oracle.Late, oracle.total())
}

func (oracle *Oracle) total() int {
	total := 0
	for _, count := range oracle.counts {
		total += count
	}
	return total
}
