// Package membership knows the members of the cluster and follows the control state.
//
// Members of the cluster, and the ring that names each member's watchers. Every
// daemon computes the same ring from the same view, so that nobody has to be
// told whom it watches.
package membership

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Kinds of daemons.
const (
	KindGateway    = "gateway"
	KindAgent      = "agent"
	KindStore      = "store"
	KindController = "controller"
)

// Member is one daemon as the cluster knows it.
type Member struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Address     string `json:"address"`
	Control     string `json:"ctl"`
	Caller      string `json:"caller,omitempty"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	Disk        string `json:"disk,omitempty"`
	Alive       bool   `json:"alive"`
	Joined      uint64 `json:"joined"`
	Retiring    bool   `json:"retiring,omitempty"`
	Retired     bool   `json:"retired,omitempty"`
	Resting     bool   `json:"resting,omitempty"`
	// Degraded stores are slow or refuse to write; their partitions are given to
	// others as long as there are enough.
	Degraded bool `json:"degraded,omitempty"`
}

// Holder names a store together with its disk, so that a wiped store is not
// taken for a holder of what it lost.
func (m Member) Holder() string { return m.Name + "@" + m.Disk }

// Placement is where one partition lives in one of its epochs.
type Placement struct {
	Partition string   `json:"partition"`
	Epoch     uint64   `json:"epoch"`
	First     string   `json:"first"`
	Followers []string `json:"followers"`
	Complete  bool     `json:"complete"`
	Safe      []string `json:"safe"`
}

// MarshalJSON tells the first of the followers under its own name too, as it
// was told when there was one only.
func (p Placement) MarshalJSON() ([]byte, error) {
	type plain Placement
	follower := ""
	if len(p.Followers) > 0 {
		follower = p.Followers[0]
	}
	return json.Marshal(struct {
		plain
		Follower string `json:"follower"`
	}{plain: plain(p), Follower: follower})
}

// Names tells whether a store is the partition's first or one of its followers.
func (p Placement) Names(store string) bool {
	return p.First == store || slices.Contains(p.Followers, store)
}

// Load is what a daemon observes of itself; it is not kept, only reported.
type Load struct {
	_          struct{}                 `cbor:",toarray"`
	Origins    int                      `json:"Origins"`
	Room       int                      `json:"Room"`
	Requests   uint64                   `json:"Requests"`
	Delivered  uint64                   `json:"Delivered"`
	Copies     uint64                   `json:"Copies"`
	Processor  time.Duration            `json:"Processor"`
	Ready      bool                     `json:"Ready"`
	Resting    bool                     `json:"Resting"`
	Partitions []string                 `json:"Partitions"`
	Delays     map[string]time.Duration `json:"Delays"`
}

// Ask is a daemon's question with what it has, and from which epoch it has it; it
// is answered on news. Nonce numbers the questions of one life of the asker.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	Self    Member
	Nonce   uint64
	Index   uint64
	Version uint64
	Load    Load
	Patient bool
	// Urgent asks to be answered at once, news or not: the asker looks for the
	// primary, or a request waits for what there is.
	Urgent bool
	Epoch  uint64
	// Heard is the newest of the asker's nonces to which it has heard an answer.
	Heard uint64
}

// News answers an Ask. What changed after Since is told, and the rest is as the
// asker has it; without Since it is everything.
type News struct {
	_          struct{} `cbor:",toarray"`
	For        string
	Nonce      uint64
	Epoch      uint64
	Primary    string
	Index      uint64
	Version    uint64
	Document   []byte
	Changed    bool
	Since      uint64
	Members    []Member
	Placements []Placement
	Births     map[string]uint64
	Orders     Orders
	// Gone are the members that were forgotten.
	Gone []string
}

// Orders are what the economy asks of one gateway.
// Rest empties it and lets it rest; Keep, if above zero, asks it to hand on
// what it holds beyond.
type Orders struct {
	_       struct{} `cbor:",toarray"`
	Rest    bool     `json:"Rest"`
	Empty   bool     `json:"Empty"`
	Keep    int      `json:"Keep"`
	Pace    int      `json:"Pace"`
	Targets []string `json:"Targets"`
}

// Redirect tells who is primary, as far as the sender knows.
type Redirect struct {
	_           struct{} `cbor:",toarray"`
	For         string
	Nonce       uint64
	Epoch       uint64
	Primary     string
	Controllers []string
}

// Heartbeat goes to a few watchers.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Index       uint64
}

// Suspicion tells the primary whom a watcher does not hear.
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
	Silence     time.Duration
}

// ConfigAsk asks any daemon for a configuration newer than the asker's.
type ConfigAsk struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// ConfigResponse gives it.
type ConfigResponse struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Document []byte
	Births   map[string]uint64
}

// Farewell comes from a daemon that is stopping on purpose.
type Farewell struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// PartitionComplete comes from a first whose followers have everything. Holders
// are the stores with the disks on which it lies, the first's own among them.
type PartitionComplete struct {
	Partition string   `cbor:"Partition"`
	Epoch     uint64   `cbor:"Epoch"`
	Holders   []string `cbor:"Holders"`
}

// Lagging comes from a store that sees another one's disk, or its own, take far
// longer than it should, or refuse.
type Lagging struct {
	Reporter    string        `cbor:"Reporter"`
	Name        string        `cbor:"Name"`
	Incarnation uint64        `cbor:"Incarnation"`
	Delay       time.Duration `cbor:"Delay"`
	// Sure is set for what the disk itself took; else the link may be at fault.
	Sure bool `cbor:"Sure"`
}

// ControlRequest carries an operator's request on to the primary. Request names it
// between two daemons; Order names it from the daemon that the operator asked on, so
// that it is known again whichever way it comes.
type ControlRequest struct {
	Request statemachine.RequestID `cbor:"Request"`
	Order   statemachine.RequestID `cbor:"Order"`
	Method  string                 `cbor:"Method"`
	Path    string                 `cbor:"Path"`
	Body    []byte                 `cbor:"Body"`
	// Relayed is set on what a daemon that is not a controller is to carry.
	Relayed bool `cbor:"Relayed"`
}

// ControlResponse is its answer.
type ControlResponse struct {
	Request    statemachine.RequestID `cbor:"Request"`
	Status     int                    `cbor:"Status"`
	Body       []byte                 `cbor:"Body"`
	RetryAfter time.Duration          `cbor:"RetryAfter"`
	Redirect   string                 `cbor:"Redirect"`
}

func init() {
	transport.MustRegister(307, Farewell{})
	transport.MustRegister(308, PartitionComplete{})
	transport.MustRegister(311, Lagging{})
	transport.MustRegister(309, ControlRequest{})
	transport.MustRegister(310, ControlResponse{})
	transport.MustRegister(300, Ask{})
	transport.MustRegister(301, News{})
	transport.MustRegister(302, Redirect{})
	transport.MustRegister(303, Heartbeat{})
	transport.MustRegister(304, Suspicion{})
	transport.MustRegister(305, ConfigAsk{})
	transport.MustRegister(306, ConfigResponse{})
}

// Watchers is how many members watch each.
const Watchers = 3

func ringPlace(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// Ring is the order of the living members by the hash of their names.
type Ring struct {
	members []Member
}

// NewRing makes the ring of a view. Agents don't watch, and neither do
// resting gateways, which are to do almost nothing.
func NewRing(members map[string]Member) Ring {
	var ring Ring
	for _, member := range statemachine.Sorted(members) {
		if member.Alive && !member.Resting && member.Kind != KindAgent {
			ring.members = append(ring.members, member)
		}
	}
	slices.SortFunc(ring.members, func(left, right Member) int {
		leftPlace, rightPlace := ringPlace(left.Name), ringPlace(right.Name)
		switch {
		case leftPlace < rightPlace:
			return -1
		case leftPlace > rightPlace:
			return 1
		}
		return strings.Compare(left.Name, right.Name)
	})
	return ring
}

// WatchersOf names the members that watch one: those that follow it on the
// ring, at least one of them in another zone where there is any.
func (r Ring) WatchersOf(watched Member) []Member {
	place := ringPlace(watched.Name)
	start, _ := slices.BinarySearchFunc(r.members, place, func(member Member, place uint64) int {
		if ringPlace(member.Name) <= place {
			return -1
		}
		return 1
	})
	// The ring is walked only as far as it takes: a view is taken by asking for the
	// watchers of everybody.
	chosen, passed := make([]Member, 0, Watchers), make([]Member, 0, Watchers)
	zones := map[string]int{}
	for step := range r.members {
		member := r.members[(start+step)%len(r.members)]
		if member.Name == watched.Name {
			continue
		}
		if zones[member.Zone] < Watchers-1 {
			zones[member.Zone]++
			if chosen = append(chosen, member); len(chosen) == Watchers {
				return chosen
			}
		} else if len(passed) < Watchers {
			passed = append(passed, member)
		}
	}
	for _, member := range passed {
		if len(chosen) >= Watchers {
			break
		}
		chosen = append(chosen, member)
	}
	return chosen
}

// Equal compares orders.
func (o Orders) Equal(other Orders) bool {
	return o.Rest == other.Rest && o.Empty == other.Empty && o.Keep == other.Keep && o.Pace == other.Pace &&
		slices.Equal(o.Targets, other.Targets)
}
