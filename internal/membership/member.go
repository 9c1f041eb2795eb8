package membership

// The kinds of daemons.
const (
	KindGateway    = "gateway"
	KindAgent      = "agent"
	KindStore      = "store"
	KindController = "controller"
)

// Member describes one daemon in the view. The primary controller owns the entry; daemons have
// copies. Its JSON encoding is part of the answers to operators.
type Member struct {
	Name string `json:"name"`
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// Address, ControlAddress and ClientAddress are the addresses to which other daemons,
	// operators and clients connect.
	Address        string `json:"address"`
	ControlAddress string `json:"ctl"`
	ClientAddress  string `json:"caller,omitempty"`
	// Zone is the failure domain.
	Zone string `json:"zone"`
	// Incarnation identifies a run of the process; a later run has a higher one. Daemons use
	// the time of their start. It is distinct from the random statemachine.Incarnation, which
	// is part of request IDs.
	Incarnation uint64 `json:"incarnation"`
	// Disk is the ID of the disk of a store or controller. A wiped disk gets a new ID.
	Disk  string `json:"disk,omitempty"`
	Alive bool   `json:"alive"`
	// Joined is the index of the control state at which this incarnation joined the cluster.
	Joined uint64 `json:"joined"`
	// Retiring is set while the partitions of a store are moved away on an operator's request,
	// and Retired once it has none left.
	Retiring bool `json:"retiring,omitempty"`
	Retired  bool `json:"retired,omitempty"`
	// Resting is set for a gateway that has no sessions and is idle.
	Resting bool `json:"resting,omitempty"`
	// Degraded is set for a store that is slow or rejects writes. Its partitions are placed on
	// other stores as long as there are enough of them.
	Degraded bool `json:"degraded,omitempty"`
}

// ReplicaID identifies a store together with its disk, so that a store whose disk was wiped
// does not count as a replica of the data that it lost.
func (m Member) ReplicaID() string { return m.Name + "@" + m.Disk }
