package membership

// Kinds of daemons.
const (
	KindGateway    = "gateway"
	KindAgent      = "agent"
	KindStore      = "store"
	KindController = "controller"
)

// Member is one daemon as the cluster knows it. The primary controller owns the record;
// daemons hold copies. Its JSON is part of what operators are given.
type Member struct {
	Name string `json:"name"`
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// Address, Control and Caller are where links, operators and clients connect.
	Address string `json:"address"`
	Control string `json:"ctl"`
	Caller  string `json:"caller,omitempty"`
	// Zone is the failure domain.
	Zone string `json:"zone"`
	// Incarnation tells runs of the process apart; a later run has a higher one. Daemons
	// take the time of their start. It is not the random statemachine.Incarnation, which
	// names requests.
	Incarnation uint64 `json:"incarnation"`
	// Disk names the disk of a store or controller; a wiped one gets a new name.
	Disk  string `json:"disk,omitempty"`
	Alive bool   `json:"alive"`
	// Joined is the index of the control state at which this incarnation joined.
	Joined uint64 `json:"joined"`
	// Retiring stores are being emptied on an operator's request; Retired ones are empty.
	Retiring bool `json:"retiring,omitempty"`
	Retired  bool `json:"retired,omitempty"`
	// Resting gateways hold no sessions and do almost no work.
	Resting bool `json:"resting,omitempty"`
	// Degraded stores are slow or reject writes; their partitions are given to
	// others as long as there are enough.
	Degraded bool `json:"degraded,omitempty"`
}

// ReplicaID names a store together with its disk, so that a store whose disk was wiped
// does not count as a replica of what it lost.
func (m Member) ReplicaID() string { return m.Name + "@" + m.Disk }
