package membership

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Load is a daemon's report about itself. It is sent with every ViewRequest and never stored.
// Counters start at zero when the process starts.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Sessions is the number of open client sessions, and FreeCapacity the number of sessions
	// that can still be opened.
	Sessions     int `json:"Origins"`
	FreeCapacity int `json:"Room"`
	// Requests counts the requests of clients, and Delivered the messages delivered to them.
	Requests  uint64 `json:"Requests"`
	Delivered uint64 `json:"Delivered"`
	// ForwardedMessages counts the messages that other gateways forwarded to this one.
	ForwardedMessages uint64 `json:"Copies"`
	// ProcessorTime is the processor time that the process has used.
	ProcessorTime time.Duration `json:"Processor"`
	Ready         bool          `json:"Ready"`
	Resting       bool          `json:"Resting"`
	// Partitions is unused. It is kept because the message is encoded as an array.
	Partitions []string `json:"Partitions"`
	// RoundTripTimes are the measured round-trip times to other daemons, by name.
	RoundTripTimes map[string]time.Duration `json:"Delays"`
}

// ViewRequest is a long poll: a daemon requests everything that is newer than its copy of the
// view and of the configuration. The primary responds as soon as there is something newer, and
// after LongPollTimeout at the latest.
type ViewRequest struct {
	_    struct{} `cbor:",toarray"`
	Self Member
	// Nonce numbers the requests of one incarnation.
	Nonce uint64
	// Index is the index of the daemon's view, and Version the version of its configuration.
	Index   uint64
	Version uint64
	Load    Load
	// LowPriority requests the longer LowPriorityLongPollTimeout.
	LowPriority bool
	// Urgent requests an immediate response, whether or not there is something newer. It is set
	// while the daemon searches for the primary, or if a request waits for the newest state.
	Urgent bool
	// Epoch is the epoch of the controllers in which the daemon's view was sent.
	Epoch uint64
	// LastAnswered is the newest nonce to which the daemon received a response.
	LastAnswered uint64
}

// ViewUpdate is the response to a ViewRequest. It contains the changes after the index Since,
// or the complete view if Since is zero.
type ViewUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Recipient is the name of the requesting daemon. An agent relays updates to its gateway.
	Recipient string
	Nonce     uint64
	Epoch     uint64
	// Primary is the primary controller's address.
	Primary string
	Index   uint64
	Version uint64
	// Document is the configuration if the recipient's is older, or nil.
	Document []byte
	// Changed is set if the view fields apply: Since, Members, Placements, SpaceCreatedAt and
	// RemovedMembers.
	Changed    bool
	Since      uint64
	Members    []Member
	Placements []Placement
	// SpaceCreatedAt is the configuration version that created each space, by the space's name, or
	// nil if it is unchanged.
	SpaceCreatedAt map[string]uint64
	Directives     Directives
	// RemovedMembers are the names of members that were lost long ago and removed from the view.
	RemovedMembers []string
}

// Directives are a controller's instructions to one gateway. They consolidate the sessions on
// few gateways or balance them.
type Directives struct {
	_ struct{} `cbor:",toarray"`
	// Rest lets a gateway without sessions become idle. Drain makes a gateway move all its
	// sessions to others first.
	Rest  bool `json:"Rest"`
	Drain bool `json:"Empty"`
	// KeepSessions, if above zero, is the number of sessions above which the gateway moves its
	// sessions to others.
	KeepSessions   int `json:"Keep"`
	MovesPerSecond int `json:"Pace"`
	// Targets are the gateways to move sessions to.
	Targets []string `json:"Targets"`
}

// Equal reports whether two directives are the same.
func (d Directives) Equal(other Directives) bool {
	return d.Rest == other.Rest &&
		d.Drain == other.Drain &&
		d.KeepSessions == other.KeepSessions &&
		d.MovesPerSecond == other.MovesPerSecond &&
		slices.Equal(d.Targets, other.Targets)
}

// Redirect is a controller's response to a ViewRequest when it is not the primary.
type Redirect struct {
	_         struct{} `cbor:",toarray"`
	Recipient string
	Nonce     uint64
	Epoch     uint64
	// Primary is the address of the primary that the sender knows, or empty.
	Primary string
	// Controllers are the addresses of all controllers that the sender knows.
	Controllers []string
}

// Heartbeat is sent by a member to its watchers.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	// Index is the index of the sender's view.
	Index uint64
}

// Suspicion reports to the controllers the members from which a watcher receives no heartbeats.
type Suspicion struct {
	_        struct{} `cbor:",toarray"`
	Reporter string
	Silent   []Suspect
}

// Suspect is one member that sends no heartbeats.
type Suspect struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	SilentFor   time.Duration
}

// ConfigurationRequest requests a configuration newer than Version from any daemon.
type ConfigurationRequest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// ConfigurationResponse contains a configuration newer than the requester's. A daemon that has
// no newer one does not respond.
type ConfigurationResponse struct {
	_              struct{} `cbor:",toarray"`
	Version        uint64
	Document       []byte
	SpaceCreatedAt map[string]uint64
}

// GracefulLeave announces that its sender stops on purpose. A daemon sends it to the
// controllers, and a gateway also to its agent.
type GracefulLeave struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// PartitionReplicated is sent by the leader of a partition once its followers have every record
// that it has.
type PartitionReplicated struct {
	Partition string `cbor:"Partition"`
	Epoch     uint64 `cbor:"Epoch"`
	// Replicas are the in-sync replicas, including the leader's (see Member.ReplicaID).
	Replicas []string `cbor:"Holders"`
}

// SlowDiskReport is sent by a store that finds its own disk or another store's much too slow, or
// finds that the disk rejects writes.
type SlowDiskReport struct {
	Reporter    string        `cbor:"Reporter"`
	Name        string        `cbor:"Name"`
	Incarnation uint64        `cbor:"Incarnation"`
	Delay       time.Duration `cbor:"Delay"`
	// Measured is set if the delay of the disk itself was measured. Otherwise the link may be
	// the cause.
	Measured bool `cbor:"Sure"`
}

// ControlRequest forwards an operator's request to the primary.
type ControlRequest struct {
	// Request identifies the request between two daemons.
	Request statemachine.RequestID `cbor:"Request"`
	// OriginalRequest identifies the operator's request end to end. It is assigned by the
	// daemon that received the request from the operator. The primary uses it to recognize a
	// request that arrives by more than one path.
	OriginalRequest statemachine.RequestID `cbor:"Order"`
	Method          string                 `cbor:"Method"`
	Path            string                 `cbor:"Path"`
	Body            []byte                 `cbor:"Body"`
	// Relayed is set on a request to a relay (see package controlclient), which forwards the
	// request to controllers only.
	Relayed bool `cbor:"Relayed"`
}

// ControlResponse is the response to a ControlRequest.
type ControlResponse struct {
	Request statemachine.RequestID `cbor:"Request"`
	// Status is an HTTP status code.
	Status     int           `cbor:"Status"`
	Body       []byte        `cbor:"Body"`
	RetryAfter time.Duration `cbor:"RetryAfter"`
	// Redirect is the address of the primary if the sender is not the primary and knows it.
	Redirect string `cbor:"Redirect"`
}

func init() {
	transport.MustRegister(300, ViewRequest{})
	transport.MustRegister(301, ViewUpdate{})
	transport.MustRegister(302, Redirect{})
	transport.MustRegister(303, Heartbeat{})
	transport.MustRegister(304, Suspicion{})
	transport.MustRegister(305, ConfigurationRequest{})
	transport.MustRegister(306, ConfigurationResponse{})
	transport.MustRegister(307, GracefulLeave{})
	transport.MustRegister(308, PartitionReplicated{})
	transport.MustRegister(309, ControlRequest{})
	transport.MustRegister(310, ControlResponse{})
	transport.MustRegister(311, SlowDiskReport{})
}
