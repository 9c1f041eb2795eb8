package membership

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Load is what a daemon observes of itself. It is reported with every ViewRequest and
// never stored. Counters run from the start of the process.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Sessions is how many client sessions are open, FreeCapacity how many more may be.
	Sessions     int `json:"Origins"`
	FreeCapacity int `json:"Room"`
	// Requests counts the requests of clients, Delivered the messages given to them.
	Requests  uint64 `json:"Requests"`
	Delivered uint64 `json:"Delivered"`
	// Copies counts the messages that other gateways forwarded to this one.
	Copies uint64 `json:"Copies"`
	// Processor is the processor time used.
	Processor time.Duration `json:"Processor"`
	Ready     bool          `json:"Ready"`
	Resting   bool          `json:"Resting"`
	// Partitions is not filled in any more; it keeps its position in the message.
	Partitions []string `json:"Partitions"`
	// Delays are observed round trips to other daemons, by name.
	Delays map[string]time.Duration `json:"Delays"`
}

// ViewRequest is a long poll: a daemon asks the primary for what is newer than what
// it has. The response comes as soon as there is something newer, at the latest after
// LongPollTimeout.
type ViewRequest struct {
	_    struct{} `cbor:",toarray"`
	Self Member
	// Nonce numbers the requests of one incarnation.
	Nonce uint64
	// Index and Version are of the view and of the configuration that the daemon has.
	Index   uint64
	Version uint64
	Load    Load
	// LowPriority asks for the longer LowPriorityLongPollTimeout.
	LowPriority bool
	// Urgent asks for a response at once, whether or not there is something newer: the
	// daemon looks for the primary, or a request waits for the newest state.
	Urgent bool
	// Epoch is that of the controllers from which the daemon has its view.
	Epoch uint64
	// LastAnswered is the newest nonce to which the daemon got a response.
	LastAnswered uint64
}

// ViewUpdate is the response to a ViewRequest. It holds what changed after the index
// Since, or the complete view if Since is zero.
type ViewUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Recipient is the name of the daemon that asked: an agent relays for its gateway.
	Recipient string
	Nonce     uint64
	Epoch     uint64
	// Primary is the primary controller's address.
	Primary string
	Index   uint64
	Version uint64
	// Document is the configuration, if the recipient's is older.
	Document []byte
	// Changed is set if the view fields below are to be applied.
	Changed    bool
	Since      uint64
	Members    []Member
	Placements []Placement
	// SpaceCreatedAt gives the index at which each space was created; nil if unchanged.
	SpaceCreatedAt map[string]uint64
	Directives     Directives
	// RemovedMembers are members that were lost long ago and left the view.
	RemovedMembers []string
}

// Directives are what the controller asks of one gateway in order to consolidate
// sessions on few gateways or to balance them.
type Directives struct {
	_ struct{} `cbor:",toarray"`
	// Rest lets an empty gateway rest; Drain empties it first.
	Rest  bool `json:"Rest"`
	Drain bool `json:"Empty"`
	// KeepSessions, if above zero, asks it to move its sessions beyond that number.
	KeepSessions   int `json:"Keep"`
	MovesPerSecond int `json:"Pace"`
	// Targets are the gateways to move sessions to.
	Targets []string `json:"Targets"`
}

// Equal reports whether two directives ask the same.
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
	// Primary is the primary's address as far as the sender knows, or empty.
	Primary string
	// Controllers are the addresses of all controllers that the sender knows.
	Controllers []string
}

// Heartbeat goes to a member's watchers.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	// Index is that of the sender's view.
	Index uint64
}

// Suspicion reports to the controllers the members that a watcher no longer hears.
type Suspicion struct {
	_        struct{} `cbor:",toarray"`
	Reporter string
	Silent   []Suspect
}

// Suspect is one silent member.
type Suspect struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	SilentFor   time.Duration
}

// ConfigurationRequest asks any daemon for a configuration newer than Version.
type ConfigurationRequest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// ConfigurationResponse holds a configuration newer than the requester's. A daemon
// that has none does not respond.
type ConfigurationResponse struct {
	_              struct{} `cbor:",toarray"`
	Version        uint64
	Document       []byte
	SpaceCreatedAt map[string]uint64
}

// GracefulLeave comes from a daemon that stops on purpose. It goes to the controllers, and
// from a gateway to its agent, too.
type GracefulLeave struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// PartitionReplicated comes from a leader whose followers have everything that it has.
type PartitionReplicated struct {
	Partition string `cbor:"Partition"`
	Epoch     uint64 `cbor:"Epoch"`
	// Replicas are the in-sync replicas (see Member.ReplicaID), the leader's among them.
	Replicas []string `cbor:"Holders"`
}

// SlowDiskReport comes from a store that sees another store's disk, or its own, take
// far longer than it should, or reject writes.
type SlowDiskReport struct {
	Reporter    string        `cbor:"Reporter"`
	Name        string        `cbor:"Name"`
	Incarnation uint64        `cbor:"Incarnation"`
	Delay       time.Duration `cbor:"Delay"`
	// Measured is set if the disk itself was timed; otherwise the link may be at fault.
	Measured bool `cbor:"Sure"`
}

// ControlRequest forwards an operator's request to the primary.
type ControlRequest struct {
	// Request identifies the request between two daemons.
	Request statemachine.RequestID `cbor:"Request"`
	// Order identifies it on its whole way, and is given by the daemon that the operator
	// asked. By it the primary recognizes a request that arrives by more than one path.
	Order  statemachine.RequestID `cbor:"Order"`
	Method string                 `cbor:"Method"`
	Path   string                 `cbor:"Path"`
	Body   []byte                 `cbor:"Body"`
	// Relayed is set on a request that goes to a relay (see package controlclient), which
	// forwards it to controllers only.
	Relayed bool `cbor:"Relayed"`
}

// ControlResponse is the response to a ControlRequest.
type ControlResponse struct {
	Request statemachine.RequestID `cbor:"Request"`
	// Status is an HTTP status.
	Status     int           `cbor:"Status"`
	Body       []byte        `cbor:"Body"`
	RetryAfter time.Duration `cbor:"RetryAfter"`
	// Redirect is the address of the primary, if the sender knows a better one.
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
