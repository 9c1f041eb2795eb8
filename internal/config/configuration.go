package config

import (
	"strings"
	"time"
)

// Limits and defaults of a configuration.
const (
	// MaxDocumentBytes bounds the size of a document.
	MaxDocumentBytes = 2 << 20
	// MaxSpaces bounds the number of spaces and also the number of routes.
	MaxSpaces = 8192
	// MaxNameBytes bounds the length of the name of a space, client, zone or daemon.
	MaxNameBytes = 64
	// DefaultDataBytes and MaxDataBytes are the default and the maximum of the limit on the
	// data of one publication.
	DefaultDataBytes = 64 << 10
	MaxDataBytes     = 1 << 20
	// DefaultRetentionTime, MinRetentionTime and MaxRetentionTime are the default, minimum
	// and maximum of the time for which a durable space keeps its messages.
	DefaultRetentionTime = 35 * time.Second
	MinRetentionTime     = time.Second
	MaxRetentionTime     = time.Hour
	// PartitionsPerSpace is how many partitions a durable space ordered by sender has.
	PartitionsPerSpace = 8
	// MaxPrefixBytes bounds the length of the prefix of a route.
	MaxPrefixBytes = 256
	// MaxAnnotationBytes bounds the size of the annotation.
	MaxAnnotationBytes = 1 << 20
	// MaxPriority is the highest priority of a space; 0 is the lowest.
	MaxPriority = 1000
	// DefaultSubscriptionsPerSession and MaxSubscriptionsPerSession are the default and the
	// maximum of the limit on the subscriptions of one session.
	DefaultSubscriptionsPerSession = 256
	MaxSubscriptionsPerSession     = 1 << 16

	defaultResponseTimeout   = time.Second
	minResponseTimeout       = time.Millisecond
	maxResponseTimeout       = MaxRetentionTime
	defaultTolerance         = 1
	maxTolerance             = 1
	maxPublicationsPerSecond = 1 << 20
	// maxNames bounds the number of items in a list of names or patterns, maxLinks the
	// number of links.
	maxNames     = 4096
	maxLinks     = 4096
	maxLinkDelay = time.Minute
)

// Bounds and defaults of the settings for the consolidation of gateways.
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

// Retention determines whether a space's messages are stored.
type Retention string

// Kinds of retention; the values are those of the document.
const (
	// Durable messages are replicated on disk for the space's retention time, and
	// a subscriber that was disconnected catches up on them.
	Durable Retention = "kept"
	// Ephemeral messages are sent once, to the clients that are subscribed at that time.
	// Their data isn't stored.
	Ephemeral Retention = "passing"
)

// Order is the order in which all subscribers of a space receive its messages.
type Order string

// Orders of messages; the values are those of the document.
const (
	// OrderSender preserves the order of each sender's messages.
	OrderSender Order = "sender"
	// OrderSpace is one order for all messages of the space; it requires a durable space.
	OrderSpace Order = "channel"
	// OrderTopic is one order for each topic. Routes map topics to such a space.
	OrderTopic Order = "topic"
)

// Space is a group of topics with the same retention, order and limits.
type Space struct {
	Name      string
	Retention Retention
	Order     Order
	// RetentionTime is how long messages of a durable space are kept.
	RetentionTime time.Duration
	// Tolerance is how many replicas of a durable space may be lost at the same time. The
	// value is validated but has no effect: the number of replicas is derived from the
	// daemons' setting of the same name.
	Tolerance int
	// DataBytes bounds the size of the data of one publication.
	DataBytes int
	// PublicationsPerSecond is how many publications to the space each gateway accepts
	// from all clients together within one clock second; 0 for no limit.
	PublicationsPerSecond int
	// Publishers and Subscribers are the clients that may publish and subscribe:
	// names, or prefixes that end with "*".
	Publishers  []string
	Subscribers []string
	// ResponseTimeout is the time within which a gateway must respond to a publication.
	ResponseTimeout time.Duration
	// Priority ranks spaces: if work must be delayed, spaces of higher priority are to be
	// served first. The value is validated, but no daemon uses it.
	Priority int
}

// Partitions returns the number of partitions that belong to this space only. Topics of
// a space of OrderTopic are in the shared partitions, see SharedPartition.
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

// matchesAny reports whether a name equals one of the patterns, or has the prefix of a
// pattern that ends with the wildcard.
func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		prefix, wild := strings.CutSuffix(pattern, wildcard)
		if wild && strings.HasPrefix(name, prefix) || pattern == name {
			return true
		}
	}
	return false
}

// Consolidation configures how sessions are consolidated on fewer gateways under
// low load, so that the others can rest.
type Consolidation struct {
	Enabled bool
	// ProcessorWeight and TrafficWeight are the relative weights of the costs of a
	// gateway's processor time and of its traffic between zones.
	ProcessorWeight float64
	TrafficWeight   float64
	// SessionsPerGateway is how many sessions a gateway is planned to serve.
	SessionsPerGateway int
	// SpareGateways is how many gateways stay awake in addition to the required ones.
	SpareGateways int
	// StabilizationWindow is how long the load must have been low before
	// a gateway is put to rest.
	StabilizationWindow time.Duration
}

// Link is the network delay from one zone to another.
type Link struct {
	From, To string
	Delay    time.Duration
}

// Configuration is the parsed form of a document. It is read-only.
type Configuration struct {
	Version uint64
	// Spaces holds the spaces by name.
	Spaces        map[string]Space
	Consolidation Consolidation
	// Draining lists the names of the gateways that are to move their sessions to others.
	Draining []string
	Zones    []string
	Links    []Link
	// Routes map topics to spaces of OrderTopic, the longest prefix first.
	Routes []Route
	// Annotation is opaque text of the operators, which is returned to them unchanged.
	Annotation string
	// SubscriptionsPerSession is how many subscriptions one session may have.
	SubscriptionsPerSession int
}
