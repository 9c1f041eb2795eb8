// Package config reads and checks the operators' configuration.
//
// The operators' configuration: one whole JSON document with a rising version.
// It is read through fastjson values and checked strictly, and every fault is
// told with its path: unknown and duplicate keys, wrong types, trailing bytes,
// names that nothing defines, numbers out of range. Nothing is taken in part.
package config

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
	MaxDocumentBytes     = 2 << 20
	MaxSpaces            = 8192
	MaxNameBytes         = 64
	MaxDataBytes         = 1 << 20
	MinRetentionTime     = time.Second
	MaxRetentionTime     = time.Hour
	DefaultRetentionTime = 35 * time.Second
	DefaultDataBytes     = 64 << 10
	PartitionsPerSpace   = 8
	MaxPrefixBytes       = 256
	MaxAnnotationBytes   = 1 << 20
	MaxPriority          = 1000
	// DefaultSubscriptionsPerSession is how many subscriptions one channel may hold.
	DefaultSubscriptionsPerSession = 256
	MaxSubscriptionsPerSession     = 1 << 16
)

// Retention is what becomes of a space's messages.
type Retention string

// The promises.
const (
	Durable   Retention = "kept"
	Ephemeral Retention = "passing"
)

// Order is which order subscribers of a space see.
type Order string

// The orders.
const (
	OrderSender Order = "sender"
	OrderSpace  Order = "channel"
	// OrderTopic is one order for each topic, the same for all its subscribers.
	// Its spaces are reached by routes.
	OrderTopic Order = "topic"
)

// Space is a family of topics with its own promise.
type Space struct {
	Name                  string
	Retention             Retention
	Order                 Order
	RetentionTime         time.Duration
	Tolerance             int
	DataBytes             int
	PublicationsPerSecond int
	Publishers            []string
	Subscribers           []string
	ResponseTimeout       time.Duration
	// Priority ranks spaces: where something must wait, the higher goes first.
	Priority int
}

// Partitions is how many partitions hold the space's topics.
func (s Space) Partitions() int {
	if s.Retention != Durable || s.Order == OrderTopic {
		return 0
	}
	if s.Order == OrderSpace {
		return 1
	}
	return PartitionsPerSpace
}

// MayPublish tells whether a sender may publish.
func (s Space) MayPublish(sender string) bool { return allowed(s.Publishers, sender) }

// MaySubscribe tells whether an origin may subscribe.
func (s Space) MaySubscribe(client string) bool { return allowed(s.Subscribers, client) }

func allowed(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if prefix, wild := strings.CutSuffix(pattern, "*"); wild && strings.HasPrefix(name, prefix) || pattern == name {
			return true
		}
	}
	return false
}

// Consolidation is how the fleet saves.
type Consolidation struct {
	Enabled             bool
	ProcessorWeight     float64
	TrafficWeight       float64
	SessionsPerGateway  int
	SpareGateways       int
	StabilizationWindow time.Duration
}

// Link is the delay of the way between two zones, for closeness.
type Link struct {
	From, To string
	Delay    time.Duration
}

// Configuration is a checked document.
type Configuration struct {
	Version       uint64
	Spaces        map[string]Space
	Consolidation Consolidation
	Draining      []string
	Zones         []string
	Links         []Link
	// Routes lead topics to spaces of order topic, the longest prefix first.
	Routes []Route
	// Annotation is a text that operators get back as they sent it.
	Annotation string
	// SubscriptionsPerSession is how many subscriptions one channel may hold.
	SubscriptionsPerSession int
}

// Fault is one thing wrong with a document.
type Fault struct {
	Path string `json:"path"`
	Code string `json:"code"`
	Text string `json:"text"`
}

func (f Fault) String() string { return f.Path + ": " + f.Text }

// Reader walks a JSON value strictly and gathers every fault with its path.
type Reader struct {
	Faults []Fault
}

// Report adds a fault.
func (r *Reader) Report(path, code, text string, values ...any) {
	r.Faults = append(r.Faults, Fault{Path: path, Code: code, Text: fmt.Sprintf(text, values...)})
}

// Object walks an object's members, reporting duplicates and unknown keys.
func (r *Reader) Object(path string, value *fastjson.Value, known ...string) map[string]*fastjson.Value {
	members := map[string]*fastjson.Value{}
	table, err := value.Object()
	if err != nil {
		r.Report(path, "wrong-type", "an object is wanted, not %s", value.Type())
		return members
	}
	table.Visit(func(key []byte, member *fastjson.Value) {
		name := string(key)
		switch {
		case !slices.Contains(known, name):
			r.Report(path+"."+name, "unknown-key", "this key is not known")
		case members[name] != nil:
			r.Report(path+"."+name, "duplicate-key", "this key stands twice")
		default:
			members[name] = member
		}
	})
	return members
}

// Text reads a string.
func (r *Reader) Text(path string, value *fastjson.Value, otherwise string) string {
	if value == nil {
		return otherwise
	}
	text, err := value.StringBytes()
	if err != nil {
		r.Report(path, "wrong-type", "a string is wanted, not %s", value.Type())
		return otherwise
	}
	return string(text)
}

// Integer reads a whole number within bounds.
func (r *Reader) Integer(path string, value *fastjson.Value, otherwise, least, most int64) int64 {
	if value == nil {
		return otherwise
	}
	number, err := value.Int64()
	if value.Type() != fastjson.TypeNumber || err != nil || strings.ContainsAny(value.String(), ".eE") {
		r.Report(path, "wrong-type", "a whole number is wanted, not %s", value.String())
		return otherwise
	}
	if number < least || number > most {
		r.Report(path, "out-of-range", "%d is not between %d and %d", number, least, most)
		return otherwise
	}
	return number
}

// Float reads a number within bounds.
func (r *Reader) Float(path string, value *fastjson.Value, otherwise, least, most float64) float64 {
	if value == nil {
		return otherwise
	}
	number, err := value.Float64()
	if value.Type() != fastjson.TypeNumber || err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		r.Report(path, "wrong-type", "a number is wanted, not %s", value.String())
		return otherwise
	}
	if number < least || number > most {
		r.Report(path, "out-of-range", "%v is not between %v and %v", number, least, most)
		return otherwise
	}
	return number
}

// Duration reads a duration within bounds.
func (r *Reader) Duration(path string, value *fastjson.Value, otherwise, least, most time.Duration) time.Duration {
	if value == nil {
		return otherwise
	}
	text, err := value.StringBytes()
	if err != nil {
		r.Report(path, "wrong-type", "a duration such as \"35s\" is wanted, not %s", value.Type())
		return otherwise
	}
	length, err := time.ParseDuration(string(text))
	if err != nil {
		r.Report(path, "wrong-type", "%q is not a duration such as \"35s\"", text)
		return otherwise
	}
	if length < least || length > most {
		r.Report(path, "out-of-range", "%s is not between %s and %s", length, least, most)
		return otherwise
	}
	return length
}

// Bool reads true or false.
func (r *Reader) Bool(path string, value *fastjson.Value, otherwise bool) bool {
	if value == nil {
		return otherwise
	}
	answer, err := value.Bool()
	if err != nil {
		r.Report(path, "wrong-type", "true or false is wanted, not %s", value.Type())
		return otherwise
	}
	return answer
}

// Choice reads one of several words.
func (r *Reader) Choice(path string, value *fastjson.Value, otherwise string, choices ...string) string {
	text := r.Text(path, value, otherwise)
	if !slices.Contains(choices, text) {
		r.Report(path, "out-of-range", "%q is not one of %s", text, strings.Join(choices, ", "))
		return otherwise
	}
	return text
}

// List reads an array.
func (r *Reader) List(path string, value *fastjson.Value, most int) []*fastjson.Value {
	if value == nil {
		return nil
	}
	items, err := value.Array()
	if err != nil {
		r.Report(path, "wrong-type", "an array is wanted, not %s", value.Type())
		return nil
	}
	if len(items) > most {
		r.Report(path, "out-of-range", "%d items are more than %d", len(items), most)
		return nil
	}
	return items
}

// Names reads an array of names.
func (r *Reader) Names(path string, value *fastjson.Value, otherwise []string, check func(string) bool) []string {
	if value == nil {
		return otherwise
	}
	names := []string{}
	for position, item := range r.List(path, value, 4096) {
		here := fmt.Sprintf("%s[%d]", path, position)
		name := r.Text(here, item, "")
		if item.Type() == fastjson.TypeString && !check(name) {
			r.Report(here, "bad-name", "%q is not a fit name", name)
		}
		if slices.Contains(names, name) {
			r.Report(here, "duplicate-name", "%q stands twice", name)
		}
		names = append(names, name)
	}
	return names
}

// ValidName tells whether a name may stand for a space, origin or daemon.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for _, letter := range name {
		if (letter < 'a' || letter > 'z') && (letter < 'A' || letter > 'Z') && (letter < '0' || letter > '9') &&
			letter != '-' && letter != '_' && letter != '.' {
			return false
		}
	}
	return true
}

func fitPattern(pattern string) bool {
	prefix, wild := strings.CutSuffix(pattern, "*")
	return wild && prefix == "" || ValidName(prefix)
}

// Read checks a document; faults are empty only if it may be taken.
func Read(document []byte) (Configuration, []Fault) {
	var walk Reader
	if len(document) > MaxDocumentBytes {
		walk.Report("$", "too-large", "%d bytes are more than %d", len(document), MaxDocumentBytes)
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
func (r *Reader) Parse(document []byte) (*fastjson.Value, bool) {
	if !json.Valid(document) {
		// fastjson is lenient about some bytes that no JSON text may hold.
		r.Report("$", "malformed", "%s", malformed(document))
		return nil, false
	}
	value, err := fastjson.ParseBytes(document)
	if err != nil {
		r.Report("$", "malformed", "%s", err.Error())
		return nil, false
	}
	return value, true
}

func malformed(document []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(document))
	var ignored json.RawMessage
	if err := decoder.Decode(&ignored); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("bytes after the document, from byte %d on", decoder.InputOffset())
}

func (r *Reader) configuration(value *fastjson.Value) Configuration {
	members := r.Object("$", value, "version", "spaces", "economy", "drains", "zones", "links", "routes", "annex", "subscriptions_each")
	configuration := Configuration{Spaces: map[string]Space{}}
	if members["version"] == nil {
		r.Report("$.version", "missing", "a version is wanted")
	}
	configuration.Version = uint64(r.Integer("$.version", members["version"], 1, 1, math.MaxInt64))
	if members["spaces"] == nil {
		r.Report("$.spaces", "missing", "spaces are wanted, if only an empty array")
	}
	for position, item := range r.List("$.spaces", members["spaces"], MaxSpaces) {
		path := fmt.Sprintf("$.spaces[%d]", position)
		space := r.space(path, item)
		if _, twice := configuration.Spaces[space.Name]; twice {
			r.Report(path+".name", "duplicate-name", "the space %q stands twice", space.Name)
		}
		configuration.Spaces[space.Name] = space
	}
	configuration.Consolidation = r.economy("$.economy", members["economy"])
	configuration.Draining = r.Names("$.drains", members["drains"], nil, ValidName)
	configuration.Zones = r.Names("$.zones", members["zones"], nil, ValidName)
	configuration.Links = r.links("$.links", members["links"], configuration.Zones)
	configuration.Routes = r.routes("$.routes", members["routes"], configuration.Spaces)
	configuration.Annotation = r.Text("$.annex", members["annex"], "")
	if len(configuration.Annotation) > MaxAnnotationBytes {
		r.Report("$.annex", "too-large", "%d bytes are more than %d", len(configuration.Annotation), MaxAnnotationBytes)
	}
	configuration.SubscriptionsPerSession = int(r.Integer("$.subscriptions_each", members["subscriptions_each"], DefaultSubscriptionsPerSession, 1, MaxSubscriptionsPerSession))
	return configuration
}

func (r *Reader) space(path string, value *fastjson.Value) Space {
	members := r.Object(path, value, "name", "promise", "order", "holding", "tolerance", "limits",
		"publishers", "subscribers", "answer_within", "urgency")
	everyone := []string{"*"}
	space := Space{Name: r.Text(path+".name", members["name"], "")}
	if members["name"] == nil {
		r.Report(path+".name", "missing", "a name is wanted")
	} else if members["name"].Type() == fastjson.TypeString && !ValidName(space.Name) {
		r.Report(path+".name", "bad-name", "%q is not a fit name", space.Name)
	}
	if members["promise"] == nil {
		r.Report(path+".promise", "missing", "a promise is wanted: kept or passing")
	}
	space.Retention = Retention(r.Choice(path+".promise", members["promise"], string(Ephemeral), string(Durable), string(Ephemeral)))
	space.Order = Order(r.Choice(path+".order", members["order"], string(OrderSender), string(OrderSender), string(OrderSpace), string(OrderTopic)))
	if space.Order == OrderSpace && space.Retention != Durable {
		r.Report(path+".order", "clash", "one shared order needs the promise kept")
	}
	space.RetentionTime = r.Duration(path+".holding", members["holding"], DefaultRetentionTime, MinRetentionTime, MaxRetentionTime)
	if members["holding"] != nil && space.Retention != Durable {
		r.Report(path+".holding", "clash", "only kept spaces have a holding time")
	}
	space.Tolerance = int(r.Integer(path+".tolerance", members["tolerance"], 1, 1, 1))
	if members["tolerance"] != nil && space.Retention != Durable {
		r.Report(path+".tolerance", "clash", "only kept spaces have a tolerance")
	}
	limits := map[string]*fastjson.Value{}
	if members["limits"] != nil {
		limits = r.Object(path+".limits", members["limits"], "data_bytes", "publications_per_second")
	}
	space.DataBytes = int(r.Integer(path+".limits.data_bytes", limits["data_bytes"], DefaultDataBytes, 1, MaxDataBytes))
	space.PublicationsPerSecond = int(r.Integer(path+".limits.publications_per_second", limits["publications_per_second"], 0, 1, 1<<20))
	space.Publishers = r.Names(path+".publishers", members["publishers"], everyone, fitPattern)
	space.Subscribers = r.Names(path+".subscribers", members["subscribers"], everyone, fitPattern)
	space.ResponseTimeout = r.Duration(path+".answer_within", members["answer_within"], time.Second, time.Millisecond, MaxRetentionTime)
	space.Priority = int(r.Integer(path+".urgency", members["urgency"], 0, 0, MaxPriority))
	return space
}

func (r *Reader) economy(path string, value *fastjson.Value) Consolidation {
	members := map[string]*fastjson.Value{}
	if value != nil {
		members = r.Object(path, value, "enabled", "processor_weight", "traffic_weight", "origins_each", "spare_gateways", "quiet_for")
	}
	return Consolidation{
		Enabled:             r.Bool(path+".enabled", members["enabled"], false),
		ProcessorWeight:     r.Float(path+".processor_weight", members["processor_weight"], 1, 0, 1000),
		TrafficWeight:       r.Float(path+".traffic_weight", members["traffic_weight"], 1, 0, 1000),
		SessionsPerGateway:  int(r.Integer(path+".origins_each", members["origins_each"], 200, 1, 100000)),
		SpareGateways:       int(r.Integer(path+".spare_gateways", members["spare_gateways"], 1, 1, 64)),
		StabilizationWindow: r.Duration(path+".quiet_for", members["quiet_for"], 30*time.Second, time.Second, time.Hour),
	}
}

func (r *Reader) links(path string, value *fastjson.Value, zones []string) []Link {
	var links []Link
	for position, item := range r.List(path, value, 4096) {
		here := fmt.Sprintf("%s[%d]", path, position)
		members := r.Object(here, item, "from", "to", "delay")
		for _, needed := range []string{"from", "to", "delay"} {
			if members[needed] == nil {
				r.Report(here+"."+needed, "missing", "%s is wanted", needed)
			}
		}
		link := Link{
			From:  r.Text(here+".from", members["from"], ""),
			To:    r.Text(here+".to", members["to"], ""),
			Delay: r.Duration(here+".delay", members["delay"], 0, 0, time.Minute),
		}
		for name, place := range map[string]string{"from": link.From, "to": link.To} {
			if members[name] != nil && !slices.Contains(zones, place) {
				r.Report(here+"."+name, "dangling-name", "no zone is named %q", place)
			}
		}
		links = append(links, link)
	}
	return links
}
