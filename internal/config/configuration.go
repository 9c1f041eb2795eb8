package config

import (
	"strings"
	"time"
)

// Limits and defaults of a configuration.
const (
	// MaxDocumentBytes bounds a document as sent.
	MaxDocumentBytes = 2 << 20
	// MaxSpaces bounds both the spaces and the routes.
	MaxSpaces = 8192
	// MaxNameBytes bounds the name of a space, client, zone or daemon.
	MaxNameBytes = 64
	// DefaultDataBytes and MaxDataBytes bound the data of one publication.
	DefaultDataBytes = 64 << 10
	MaxDataBytes     = 1 << 20
	// DefaultRetentionTime, MinRetentionTime and MaxRetentionTime are of how
	// long a durable space keeps its messages.
	DefaultRetentionTime = 35 * time.Second
	MinRetentionTime     = time.Second
	MaxRetentionTime     = time.Hour
	// PartitionsPerSpace is how many partitions a durable space ordered by sender has.
	PartitionsPerSpace = 8
	// MaxPrefixBytes bounds the prefix of a route.
	MaxPrefixBytes = 256
	// MaxAnnotationBytes bounds the annotation.
	MaxAnnotationBytes = 1 << 20
	// MaxPriority is the highest priority of a space; 0 is the lowest.
	MaxPriority = 1000
	// DefaultSubscriptionsPerSession and MaxSubscriptionsPerSession are of how
	// many subscriptions one session may have.
	DefaultSubscriptionsPerSession = 256
	MaxSubscriptionsPerSession     = 1 << 16

	defaultResponseTimeout   = time.Second
	minResponseTimeout       = time.Millisecond
	maxResponseTimeout       = MaxRetentionTime
	defaultTolerance         = 1
	maxTolerance             = 1
	maxPublicationsPerSecond = 1 << 20
	// maxNames bounds a list of names or patterns, maxLinks the list of links.
	maxNames     = 4096
	maxLinks     = 4096
	maxLinkDelay = time.Minute
)

// Bounds of the consolidation of gateways.
const (
	defaultWeight = 1
	maxWeight     = 1000

	defaultSessionsPerGateway = 200
	maxSessionsPerGateway     = 100_000

	defaultSpareGateways = 1
	maxSpareGateways     = 64

	defaultStabilizationWindow = 30 * time.Second
	minStabilizationWindow     = time.Second
	maxStabilizationWindow     = time.Hour
)

// Retention is what becomes of a space's messages once they are delivered.
type Retention string

// Kinds of retention; the values are those of the document.
const (
	// Durable messages are replicated on disk for the space's retention time,
	// and a subscriber that was away catches up on them.
	Durable Retention = "kept"
	// Ephemeral messages are sent once, to whoever is subscribed at the time; their data isn't
	// stored.
	Ephemeral Retention = "passing"
)

// Order is the order in which all subscribers of a space see its messages.
type Order string

// Orders of messages; the values are those of the document.
const (
	// OrderSender keeps the order of each sender.
	OrderSender Order = "sender"
	// OrderSpace is one order for the space; it needs a durable space.
	OrderSpace Order = "channel"
	// OrderTopic is one order for each topic. Topics reach such a space by routes.
	OrderTopic Order = "topic"
)

// Space is a family of topics with the same retention, order and limits.
type Space struct {
	Name      string
	Retention Retention
	Order     Order
	// RetentionTime is how long messages of a durable space are kept.
	RetentionTime time.Duration
	// Tolerance is how many replicas of a durable space may be lost at one time. It is only
	// checked: how many replicas there are follows from the daemons' setting of that name.
	Tolerance int
	// DataBytes bounds the data of one publication.
	DataBytes int
	// PublicationsPerSecond is how many publications to the space each gateway
	// accepts in a second of the clock, from all clients; 0 for no limit.
	PublicationsPerSecond int
	// Publishers and Subscribers are the clients that may publish and subscribe:
	// names, or prefixes that end with "*".
	Publishers  []string
	Subscribers []string
	// ResponseTimeout is within what time a publication is to be answered.
	ResponseTimeout time.Duration
	// Priority ranks spaces: where something must wait, the higher goes first.
	Priority int
}

// Partitions returns how many partitions of its own the space has. Topics of a
// space of OrderTopic are in the shared partitions, see SharedPartition.
func (s Space) Partitions() int {
	if s.Retention != Durable || s.Order == OrderTopic {
		return 0
	}
	if s.Order == OrderSpace {
		return 1
	}
	return PartitionsPerSpace
}

// MayPublish reports whether a client may publish to the space.
func (s Space) MayPublish(client string) bool { return matchesAny(s.Publishers, client) }

// MaySubscribe reports whether a client may subscribe to topics of the space.
func (s Space) MaySubscribe(client string) bool { return matchesAny(s.Subscribers, client) }

const wildcard = "*"

// matchesAny reports whether a name equals a pattern, or begins as one that
// ends with the wildcard.
func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		prefix, wild := strings.CutSuffix(pattern, wildcard)
		if wild && strings.HasPrefix(name, prefix) || pattern == name {
			return true
		}
	}
	return false
}

// Consolidation is how sessions are consolidated on fewer gateways under low
// load, so that the others can rest.
type Consolidation struct {
	Enabled bool
	// ProcessorWeight and TrafficWeight weigh the costs of a gateway's processor
	// time and of its traffic between zones against each other.
	ProcessorWeight float64
	TrafficWeight   float64
	// SessionsPerGateway is how many sessions a gateway is planned to serve.
	SessionsPerGateway int
	// SpareGateways is how many gateways stay awake beyond the need.
	SpareGateways int
	// StabilizationWindow is how long the load must have been low before
	// gateways are put to rest.
	StabilizationWindow time.Duration
}

// Link is the delay of the network from one zone to another.
type Link struct {
	From, To string
	Delay    time.Duration
}

// Configuration is a document that was checked. It is read-only.
type Configuration struct {
	Version uint64
	// Spaces are by name.
	Spaces        map[string]Space
	Consolidation Consolidation
	// Draining names the gateways that are to move their sessions to others.
	Draining []string
	Zones    []string
	Links    []Link
	// Routes map topics to spaces of OrderTopic, the longest prefix first.
	Routes []Route
	// Annotation is opaque text of the operators, which they get back as sent.
	Annotation string
	// SubscriptionsPerSession is how many subscriptions one session may have.
	SubscriptionsPerSession int
}
