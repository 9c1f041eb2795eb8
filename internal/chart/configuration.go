// The operators' configuration: one whole JSON document with a rising version.
// It is read through fastjson values and checked strictly, and every fault is
// told with its path: unknown and duplicate keys, wrong types, trailing bytes,
// names that nothing defines, numbers out of range. Nothing is taken in part.
package chart

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Bounds of a configuration.
const (
	DocumentLimit   = 2 << 20
	SpaceLimit      = 8192
	NameLimit       = 64
	DataCeiling     = 1 << 20
	HoldingFloor    = time.Second
	HoldingCeiling  = time.Hour
	DefaultHolding  = 35 * time.Second
	DefaultData     = 64 << 10
	StrandsPerSpace = 8
	PrefixLimit     = 256
	AnnexLimit      = 1 << 20
	UrgencyCeiling  = 1000
	// DefaultSubscriptions is how many subscriptions one channel may hold.
	DefaultSubscriptions = 256
	SubscriptionsCeiling = 1 << 16
)

// Promise is what becomes of a space's messages.
type Promise string

// The promises.
const (
	Kept    Promise = "kept"
	Passing Promise = "passing"
)

// Order is which order subscribers of a space see.
type Order string

// The orders.
const (
	OrderSender  Order = "sender"
	OrderChannel Order = "channel"
	// OrderTopic is one order for each topic, the same for all its subscribers.
	// Its spaces are reached by routes.
	OrderTopic Order = "topic"
)

// Space is a family of topics with its own promise.
type Space struct {
	Name          string
	Promise       Promise
	Order         Order
	Holding       time.Duration
	Tolerance     int
	DataBytes     int
	PerSecond     int
	Publishers    []string
	Subscribers   []string
	AnswerWithin  time.Duration
	RememberSends time.Duration
	// Urgency ranks spaces: where something must wait, the higher goes first.
	Urgency int
}

// Strands is how many strands hold the space's topics.
func (space Space) Strands() int {
	if space.Promise != Kept || space.Order == OrderTopic {
		return 0
	}
	if space.Order == OrderChannel {
		return 1
	}
	return StrandsPerSpace
}

// MayPublish tells whether a sender may publish.
func (space Space) MayPublish(sender string) bool { return allowed(space.Publishers, sender) }

// MaySubscribe tells whether an origin may subscribe.
func (space Space) MaySubscribe(origin string) bool { return allowed(space.Subscribers, origin) }

func allowed(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if prefix, wild := strings.CutSuffix(pattern, "*"); wild && strings.HasPrefix(name, prefix) || pattern == name {
			return true
		}
	}
	return false
}

// Economy is how the fleet saves.
type Economy struct {
	Enabled         bool
	ProcessorWeight float64
	TrafficWeight   float64
	OriginsEach     int
	SpareLanterns   int
	QuietFor        time.Duration
}

// Locality is a place with its distances, for closeness.
type Link struct {
	From, To string
	Delay    time.Duration
}

// Configuration is a checked document.
type Configuration struct {
	Version    uint64
	Spaces     map[string]Space
	Economy    Economy
	Drains     []string
	Localities []string
	Links      []Link
	// Routes lead topics to spaces of order topic, the longest prefix first.
	Routes []Route
	// Annex is a text that operators get back as they sent it.
	Annex string
	// SubscriptionsEach is how many subscriptions one channel may hold.
	SubscriptionsEach int
}

// Fault is one thing wrong with a document.
type Fault struct {
	Path string `json:"path"`
	Code string `json:"code"`
	Text string `json:"text"`
}

func (fault Fault) String() string { return fault.Path + ": " + fault.Text }

// Reader walks a JSON value strictly and gathers every fault with its path.
type Reader struct {
	Faults []Fault
}

// Report adds a fault.
func (reader *Reader) Report(path, code, text string, values ...any) {
	reader.Faults = append(reader.Faults, Fault{Path: path, Code: code, Text: fmt.Sprintf(text, values...)})
}

// Object walks an object's members, reporting duplicates and unknown keys.
func (reader *Reader) Object(path string, value *fastjson.Value, known ...string) map[string]*fastjson.Value {
	members := map[string]*fastjson.Value{}
	table, fault := value.Object()
	if fault != nil {
		reader.Report(path, "wrong-type", "an object is wanted, not %s", value.Type())
		return members
	}
	table.Visit(func(key []byte, member *fastjson.Value) {
		name := string(key)
		switch {
		case !slices.Contains(known, name):
			reader.Report(path+"."+name, "unknown-key", "this key is not known")
		case members[name] != nil:
			reader.Report(path+"."+name, "duplicate-key", "this key stands twice")
		default:
			members[name] = member
		}
	})
	return members
}

// Text reads a string.
func (reader *Reader) Text(path string, value *fastjson.Value, otherwise string) string {
	if value == nil {
		return otherwise
	}
	text, fault := value.StringBytes()
	if fault != nil {
		reader.Report(path, "wrong-type", "a string is wanted, not %s", value.Type())
		return otherwise
	}
	return string(text)
}

// Whole reads a whole number within bounds.
func (reader *Reader) Whole(path string, value *fastjson.Value, otherwise, least, most int64) int64 {
	if value == nil {
		return otherwise
	}
	number, fault := value.Int64()
	if value.Type() != fastjson.TypeNumber || fault != nil || strings.ContainsAny(value.String(), ".eE") {
		reader.Report(path, "wrong-type", "a whole number is wanted, not %s", value.String())
		return otherwise
	}
	if number < least || number > most {
		reader.Report(path, "out-of-range", "%d is not between %d and %d", number, least, most)
		return otherwise
	}
	return number
}

// Fraction reads a number within bounds.
func (reader *Reader) Fraction(path string, value *fastjson.Value, otherwise, least, most float64) float64 {
	if value == nil {
		return otherwise
	}
	number, fault := value.Float64()
	if value.Type() != fastjson.TypeNumber || fault != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		reader.Report(path, "wrong-type", "a number is wanted, not %s", value.String())
		return otherwise
	}
	if number < least || number > most {
		reader.Report(path, "out-of-range", "%v is not between %v and %v", number, least, most)
		return otherwise
	}
	return number
}

// Duration reads a duration within bounds.
func (reader *Reader) Duration(path string, value *fastjson.Value, otherwise, least, most time.Duration) time.Duration {
	if value == nil {
		return otherwise
	}
	text, fault := value.StringBytes()
	if fault != nil {
		reader.Report(path, "wrong-type", "a duration such as \"35s\" is wanted, not %s", value.Type())
		return otherwise
	}
	length, fault := time.ParseDuration(string(text))
	if fault != nil {
		reader.Report(path, "wrong-type", "%q is not a duration such as \"35s\"", text)
		return otherwise
	}
	if length < least || length > most {
		reader.Report(path, "out-of-range", "%s is not between %s and %s", length, least, most)
		return otherwise
	}
	return length
}

// Truth reads true or false.
func (reader *Reader) Truth(path string, value *fastjson.Value, otherwise bool) bool {
	if value == nil {
		return otherwise
	}
	answer, fault := value.Bool()
	if fault != nil {
		reader.Report(path, "wrong-type", "true or false is wanted, not %s", value.Type())
		return otherwise
	}
	return answer
}

// Choice reads one of several words.
func (reader *Reader) Choice(path string, value *fastjson.Value, otherwise string, choices ...string) string {
	text := reader.Text(path, value, otherwise)
	if !slices.Contains(choices, text) {
		reader.Report(path, "out-of-range", "%q is not one of %s", text, strings.Join(choices, ", "))
		return otherwise
	}
	return text
}

// List reads an array.
func (reader *Reader) List(path string, value *fastjson.Value, most int) []*fastjson.Value {
	if value == nil {
		return nil
	}
	items, fault := value.Array()
	if fault != nil {
		reader.Report(path, "wrong-type", "an array is wanted, not %s", value.Type())
		return nil
	}
	if len(items) > most {
		reader.Report(path, "out-of-range", "%d items are more than %d", len(items), most)
		return nil
	}
	return items
}

// Names reads an array of names.
func (reader *Reader) Names(path string, value *fastjson.Value, otherwise []string, check func(string) bool) []string {
	if value == nil {
		return otherwise
	}
	names := []string{}
	for position, item := range reader.List(path, value, 4096) {
		here := fmt.Sprintf("%s[%d]", path, position)
		name := reader.Text(here, item, "")
		if item.Type() == fastjson.TypeString && !check(name) {
			reader.Report(here, "bad-name", "%q is not a fit name", name)
		}
		if slices.Contains(names, name) {
			reader.Report(here, "duplicate-name", "%q stands twice", name)
		}
		names = append(names, name)
	}
	return names
}

// FitName tells whether a name may stand for a space, origin or daemon.
func FitName(name string) bool {
	if name == "" || len(name) > NameLimit {
		return false
	}
	for _, letter := range name {
		if !(letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' || letter >= '0' && letter <= '9' ||
			letter == '-' || letter == '_' || letter == '.') {
			return false
		}
	}
	return true
}

func fitPattern(pattern string) bool {
	prefix, wild := strings.CutSuffix(pattern, "*")
	return wild && prefix == "" || FitName(prefix)
}

// Read checks a document; faults are empty only if it may be taken.
func Read(document []byte) (Configuration, []Fault) {
	var walk Reader
	if len(document) > DocumentLimit {
		walk.Report("$", "too-large", "%d bytes are more than %d", len(document), DocumentLimit)
		return Configuration{}, walk.Faults
	}
	value, whole := walk.Parse(document)
	if !whole {
		return Configuration{}, walk.Faults
	}
	configuration := walk.configuration(value)
	slices.SortFunc(walk.Faults, func(left, right Fault) int { return cmp.Compare(left.Path, right.Path) })
	return configuration, walk.Faults
}

// Parse reads a document into a value; a fault is reported at its root.
func (reader *Reader) Parse(document []byte) (*fastjson.Value, bool) {
	if !json.Valid(document) {
		// fastjson is lenient about some bytes that no JSON text may hold.
		reader.Report("$", "malformed", "%s", malformed(document))
		return nil, false
	}
	value, fault := fastjson.ParseBytes(document)
	if fault != nil {
		reader.Report("$", "malformed", "%s", fault.Error())
		return nil, false
	}
	return value, true
}

func malformed(document []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(document))
	var ignored json.RawMessage
	if fault := decoder.Decode(&ignored); fault != nil {
		return fault.Error()
	}
	return fmt.Sprintf("bytes after the document, from byte %d on", decoder.InputOffset())
}

func (reader *Reader) configuration(value *fastjson.Value) Configuration {
	members := reader.Object("$", value, "version", "spaces", "economy", "drains", "localities", "links", "routes", "annex", "subscriptions_each")
	configuration := Configuration{Spaces: map[string]Space{}}
	if members["version"] == nil {
		reader.Report("$.version", "missing", "a version is wanted")
	}
	configuration.Version = uint64(reader.Whole("$.version", members["version"], 1, 1, math.MaxInt64))
	if members["spaces"] == nil {
		reader.Report("$.spaces", "missing", "spaces are wanted, if only an empty array")
	}
	for position, item := range reader.List("$.spaces", members["spaces"], SpaceLimit) {
		path := fmt.Sprintf("$.spaces[%d]", position)
		space := reader.space(path, item)
		if _, twice := configuration.Spaces[space.Name]; twice {
			reader.Report(path+".name", "duplicate-name", "the space %q stands twice", space.Name)
		}
		configuration.Spaces[space.Name] = space
	}
	configuration.Economy = reader.economy("$.economy", members["economy"])
	configuration.Drains = reader.Names("$.drains", members["drains"], nil, FitName)
	configuration.Localities = reader.Names("$.localities", members["localities"], nil, FitName)
	configuration.Links = reader.links("$.links", members["links"], configuration.Localities)
	configuration.Routes = reader.routes("$.routes", members["routes"], configuration.Spaces)
	configuration.Annex = reader.Text("$.annex", members["annex"], "")
	if len(configuration.Annex) > AnnexLimit {
		reader.Report("$.annex", "too-large", "%d bytes are more than %d", len(configuration.Annex), AnnexLimit)
	}
	configuration.SubscriptionsEach = int(reader.Whole("$.subscriptions_each", members["subscriptions_each"], DefaultSubscriptions, 1, SubscriptionsCeiling))
	return configuration
}

func (reader *Reader) space(path string, value *fastjson.Value) Space {
	members := reader.Object(path, value, "name", "promise", "order", "holding", "tolerance", "limits",
		"publishers", "subscribers", "answer_within", "urgency")
	everyone := []string{"*"}
	space := Space{Name: reader.Text(path+".name", members["name"], "")}
	if members["name"] == nil {
		reader.Report(path+".name", "missing", "a name is wanted")
	} else if members["name"].Type() == fastjson.TypeString && !FitName(space.Name) {
		reader.Report(path+".name", "bad-name", "%q is not a fit name", space.Name)
	}
	if members["promise"] == nil {
		reader.Report(path+".promise", "missing", "a promise is wanted: kept or passing")
	}
	space.Promise = Promise(reader.Choice(path+".promise", members["promise"], string(Passing), string(Kept), string(Passing)))
	space.Order = Order(reader.Choice(path+".order", members["order"], string(OrderSender), string(OrderSender), string(OrderChannel), string(OrderTopic)))
	if space.Order == OrderChannel && space.Promise != Kept {
		reader.Report(path+".order", "clash", "one shared order needs the promise kept")
	}
	space.Holding = reader.Duration(path+".holding", members["holding"], DefaultHolding, HoldingFloor, HoldingCeiling)
	if members["holding"] != nil && space.Promise != Kept {
		reader.Report(path+".holding", "clash", "only kept spaces have a holding time")
	}
	space.Tolerance = int(reader.Whole(path+".tolerance", members["tolerance"], 1, 1, 1))
	if members["tolerance"] != nil && space.Promise != Kept {
		reader.Report(path+".tolerance", "clash", "only kept spaces have a tolerance")
	}
	limits := map[string]*fastjson.Value{}
	if members["limits"] != nil {
		limits = reader.Object(path+".limits", members["limits"], "data_bytes", "publications_per_second")
	}
	space.DataBytes = int(reader.Whole(path+".limits.data_bytes", limits["data_bytes"], DefaultData, 1, DataCeiling))
	space.PerSecond = int(reader.Whole(path+".limits.publications_per_second", limits["publications_per_second"], 0, 1, 1<<20))
	space.Publishers = reader.Names(path+".publishers", members["publishers"], everyone, fitPattern)
	space.Subscribers = reader.Names(path+".subscribers", members["subscribers"], everyone, fitPattern)
	space.AnswerWithin = reader.Duration(path+".answer_within", members["answer_within"], time.Second, time.Millisecond, HoldingCeiling)
	space.Urgency = int(reader.Whole(path+".urgency", members["urgency"], 0, 0, UrgencyCeiling))
	return space
}

func (reader *Reader) economy(path string, value *fastjson.Value) Economy {
	members := map[string]*fastjson.Value{}
	if value != nil {
		members = reader.Object(path, value, "enabled", "processor_weight", "traffic_weight", "origins_each", "spare_lanterns", "quiet_for")
	}
	return Economy{
		Enabled:         reader.Truth(path+".enabled", members["enabled"], false),
		ProcessorWeight: reader.Fraction(path+".processor_weight", members["processor_weight"], 1, 0, 1000),
		TrafficWeight:   reader.Fraction(path+".traffic_weight", members["traffic_weight"], 1, 0, 1000),
		OriginsEach:     int(reader.Whole(path+".origins_each", members["origins_each"], 200, 1, 100000)),
		SpareLanterns:   int(reader.Whole(path+".spare_lanterns", members["spare_lanterns"], 1, 1, 64)),
		QuietFor:        reader.Duration(path+".quiet_for", members["quiet_for"], 30*time.Second, time.Second, time.Hour),
	}
}

func (reader *Reader) links(path string, value *fastjson.Value, localities []string) []Link {
	var links []Link
	for position, item := range reader.List(path, value, 4096) {
		here := fmt.Sprintf("%s[%d]", path, position)
		members := reader.Object(here, item, "from", "to", "delay")
		for _, needed := range []string{"from", "to", "delay"} {
			if members[needed] == nil {
				reader.Report(here+"."+needed, "missing", "%s is wanted", needed)
			}
		}
		link := Link{
			From:  reader.Text(here+".from", members["from"], ""),
			To:    reader.Text(here+".to", members["to"], ""),
			Delay: reader.Duration(here+".delay", members["delay"], 0, 0, time.Minute),
		}
		for name, place := range map[string]string{"from": link.From, "to": link.To} {
			if members[name] != nil && !slices.Contains(localities, place) {
				reader.Report(here+"."+name, "dangling-name", "no locality is named %q", place)
			}
		}
		links = append(links, link)
	}
	return links
}

// SameContent tells whether two documents say the same, whatever their white
// space and the order of their keys.
func SameContent(left, right []byte) bool {
	leftBytes, leftWhole := canonical(left)
	rightBytes, rightWhole := canonical(right)
	return leftWhole && rightWhole && bytes.Equal(leftBytes, rightBytes)
}

func canonical(document []byte) ([]byte, bool) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var value any
	if fault := decoder.Decode(&value); fault != nil {
		return nil, false
	}
	packed, fault := json.Marshal(value)
	return packed, fault == nil
}
