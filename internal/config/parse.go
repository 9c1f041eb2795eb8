package config

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// annotationKey is the key of the annotation in the document.
const annotationKey = "annex"

// Read parses a document. The faults are sorted by path. If there are any, the
// document must not take effect, and the configuration has defaults or zero values
// in place of the faulty values.
func Read(document []byte) (Configuration, []Fault) {
	var reader Reader
	if len(document) > MaxDocumentBytes {
		reader.Report("$", FaultTooLarge, "%d bytes are more than %d", len(document), MaxDocumentBytes)
		return Configuration{}, reader.Faults
	}
	value, valid := reader.Parse(document)
	if !valid {
		return Configuration{}, reader.Faults
	}
	configuration := reader.configuration(value)
	slices.SortFunc(reader.Faults, func(left, right Fault) int { return cmp.Compare(left.Path, right.Path) })
	return configuration, reader.Faults
}

// ValidName reports whether a name is valid for a space, client, zone or daemon: 1 to
// MaxNameBytes of the letters a to z and A to Z, digits, '-', '_' and '.'.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for _, char := range name {
		if !isNameChar(char) {
			return false
		}
	}
	return true
}

func isNameChar(char rune) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	}
	return char == '-' || char == '_' || char == '.'
}

// validPattern reports whether a text is a name, a prefix of names followed by the
// wildcard, or the wildcard alone.
func validPattern(pattern string) bool {
	prefix, wild := strings.CutSuffix(pattern, wildcard)
	return wild && prefix == "" || ValidName(prefix)
}

func (r *Reader) configuration(value *fastjson.Value) Configuration {
	members := r.Object("$", value, "version", "spaces", "economy", "drains", "zones", "links", "routes",
		annotationKey, "subscriptions_each")
	var configuration Configuration
	if members["version"] == nil {
		r.Report("$.version", FaultMissing, "a version is required")
	}
	configuration.Version = uint64(r.Integer("$.version", members["version"], 1, 1, math.MaxInt64))
	if members["spaces"] == nil {
		r.Report("$.spaces", FaultMissing, "spaces are required; the array may be empty")
	}
	configuration.Spaces = r.spaces("$.spaces", members["spaces"])
	configuration.Consolidation = r.consolidation("$.economy", members["economy"])
	configuration.Draining = r.Names("$.drains", members["drains"], nil, ValidName)
	configuration.Zones = r.Names("$.zones", members["zones"], nil, ValidName)
	configuration.Links = r.links("$.links", members["links"], configuration.Zones)
	configuration.Routes = r.routes("$.routes", members["routes"], configuration.Spaces)
	configuration.Annotation = r.Text("$."+annotationKey, members[annotationKey], "")
	if size := len(configuration.Annotation); size > MaxAnnotationBytes {
		r.Report("$."+annotationKey, FaultTooLarge, "%d bytes are more than %d", size, MaxAnnotationBytes)
	}
	configuration.SubscriptionsPerSession = int(r.Integer("$.subscriptions_each", members["subscriptions_each"],
		DefaultSubscriptionsPerSession, 1, MaxSubscriptionsPerSession))
	return configuration
}

func (r *Reader) spaces(path string, value *fastjson.Value) map[string]Space {
	spaces := map[string]Space{}
	for index, item := range r.List(path, value, MaxSpaces) {
		itemPath := indexed(path, index)
		space := r.space(itemPath, item)
		if _, duplicate := spaces[space.Name]; duplicate {
			r.Report(itemPath+".name", FaultDuplicateName, "the space %q appears twice", space.Name)
		}
		spaces[space.Name] = space
	}
	return spaces
}

func (r *Reader) space(path string, value *fastjson.Value) Space {
	members := r.Object(path, value, "name", "promise", "order", "holding", "tolerance", "limits",
		"publishers", "subscribers", "answer_within", "urgency")
	var space Space
	space.Name = r.spaceName(path+".name", members["name"])
	space.Retention = r.retention(path+".promise", members["promise"])
	space.Order = Order(r.Choice(path+".order", members["order"],
		string(OrderSender), string(OrderSender), string(OrderSpace), string(OrderTopic)))
	if space.Order == OrderSpace && space.Retention != Durable {
		r.Report(path+".order", FaultConflict, "the order channel requires the promise kept")
	}
	space.RetentionTime = r.Duration(path+".holding", members["holding"],
		DefaultRetentionTime, MinRetentionTime, MaxRetentionTime)
	if members["holding"] != nil && space.Retention != Durable {
		r.Report(path+".holding", FaultConflict, "only a space with the promise kept may have a holding time")
	}
	space.Tolerance = int(r.Integer(path+".tolerance", members["tolerance"], defaultTolerance, 1, maxTolerance))
	if members["tolerance"] != nil && space.Retention != Durable {
		r.Report(path+".tolerance", FaultConflict, "only a space with the promise kept may have a tolerance")
	}
	space.DataBytes, space.PublicationsPerSecond = r.limits(path+".limits", members["limits"])
	everyone := []string{wildcard}
	space.Publishers = r.Names(path+".publishers", members["publishers"], everyone, validPattern)
	space.Subscribers = r.Names(path+".subscribers", members["subscribers"], everyone, validPattern)
	space.ResponseTimeout = r.Duration(path+".answer_within", members["answer_within"],
		defaultResponseTimeout, minResponseTimeout, maxResponseTimeout)
	space.Priority = int(r.Integer(path+".urgency", members["urgency"], 0, 0, MaxPriority))
	return space
}

func (r *Reader) spaceName(path string, value *fastjson.Value) string {
	name := r.Text(path, value, "")
	switch {
	case value == nil:
		r.Report(path, FaultMissing, "a name is required")
	case value.Type() == fastjson.TypeString && !ValidName(name):
		r.Report(path, FaultBadName, "%q is not a valid name", name)
	}
	return name
}

func (r *Reader) retention(path string, value *fastjson.Value) Retention {
	if value == nil {
		r.Report(path, FaultMissing, "a promise is wanted: kept or passing")
	}
	return Retention(r.Choice(path, value, string(Ephemeral), string(Durable), string(Ephemeral)))
}

// limits reads the limits on a space's publications.
func (r *Reader) limits(path string, value *fastjson.Value) (dataBytes, publicationsPerSecond int) {
	members := map[string]*fastjson.Value{}
	if value != nil {
		members = r.Object(path, value, "data_bytes", "publications_per_second")
	}
	dataBytes = int(r.Integer(path+".data_bytes", members["data_bytes"], DefaultDataBytes, 1, MaxDataBytes))
	publicationsPerSecond = int(r.Integer(path+".publications_per_second", members["publications_per_second"],
		0, 1, maxPublicationsPerSecond))
	return dataBytes, publicationsPerSecond
}

func (r *Reader) consolidation(path string, value *fastjson.Value) Consolidation {
	members := map[string]*fastjson.Value{}
	if value != nil {
		members = r.Object(path, value, "enabled", "processor_weight", "traffic_weight", "origins_each",
			"spare_gateways", "quiet_for")
	}
	weight := func(key string) float64 {
		return r.Float(path+"."+key, members[key], defaultWeight, 0, maxWeight)
	}
	count := func(key string, fallback, maximum int64) int {
		return int(r.Integer(path+"."+key, members[key], fallback, 1, maximum))
	}
	return Consolidation{
		Enabled:            r.Bool(path+".enabled", members["enabled"], false),
		ProcessorWeight:    weight("processor_weight"),
		TrafficWeight:      weight("traffic_weight"),
		SessionsPerGateway: count("origins_each", defaultSessionsPerGateway, maxSessionsPerGateway),
		SpareGateways:      count("spare_gateways", defaultSpareGateways, maxSpareGateways),
		StabilizationWindow: r.Duration(path+".quiet_for", members["quiet_for"],
			defaultStabilizationWindow, minStabilizationWindow, maxStabilizationWindow),
	}
}

func (r *Reader) links(path string, value *fastjson.Value, zones []string) []Link {
	var links []Link
	for index, item := range r.List(path, value, maxLinks) {
		itemPath := indexed(path, index)
		members := r.Object(itemPath, item, "from", "to", "delay")
		r.require(itemPath, members, "from", "to", "delay")
		zone := func(key string) string {
			name := r.Text(itemPath+"."+key, members[key], "")
			if members[key] != nil && !slices.Contains(zones, name) {
				r.Report(itemPath+"."+key, FaultDanglingName, "no zone is named %q", name)
			}
			return name
		}
		links = append(links, Link{
			From:  zone("from"),
			To:    zone("to"),
			Delay: r.Duration(itemPath+".delay", members["delay"], 0, 0, maxLinkDelay),
		})
	}
	return links
}
