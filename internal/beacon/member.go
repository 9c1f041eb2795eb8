// Members of the cohort, and the ring that names each member's watchers. Every
// daemon computes the same ring from the same view, so that nobody has to be
// told whom it watches.
package beacon

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
)

// Kinds of daemons.
const (
	KindLantern = "lantern"
	KindTender  = "tender"
	KindKeeper  = "keeper"
	KindPilot   = "pilot"
)

// Member is one daemon as the cohort knows it.
type Member struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Address     string `json:"address"`
	Control     string `json:"ctl"`
	Caller      string `json:"caller,omitempty"`
	Locality    string `json:"locality"`
	Incarnation uint64 `json:"incarnation"`
	Disk        string `json:"disk,omitempty"`
	Alive       bool   `json:"alive"`
	Joined      uint64 `json:"joined"`
	Retiring    bool   `json:"retiring,omitempty"`
	Retired     bool   `json:"retired,omitempty"`
	Resting     bool   `json:"resting,omitempty"`
	// Ailing keepers are slow or refuse to write; their strands are given to
	// others as long as there are enough.
	Ailing bool `json:"ailing,omitempty"`
}

// Holder names a keeper together with its disk, so that a wiped keeper is not
// taken for a holder of what it lost.
func (member Member) Holder() string { return member.Name + "@" + member.Disk }

// Placement is where one strand lives in one of its epochs.
type Placement struct {
	Strand       string   `json:"strand"`
	Epoch        uint64   `json:"epoch"`
	First        string   `json:"first"`
	Understudies []string `json:"understudies"`
	Complete     bool     `json:"complete"`
	Safe         []string `json:"safe"`
}

// MarshalJSON tells the first of the understudies under its own name too, as it
// was told when there was one only.
func (place Placement) MarshalJSON() ([]byte, error) {
	type plain Placement
	understudy := ""
	if len(place.Understudies) > 0 {
		understudy = place.Understudies[0]
	}
	return json.Marshal(struct {
		plain
		Understudy string `json:"understudy"`
	}{plain: plain(place), Understudy: understudy})
}

// Names tells whether a keeper is the strand's first or one of its understudies.
func (place Placement) Names(keeper string) bool {
	return place.First == keeper || slices.Contains(place.Understudies, keeper)
}

// Load is what a daemon observes of itself; it is not kept, only reported.
type Load struct {
	_         struct{} `cbor:",toarray"`
	Origins   int
	Room      int
	Visits    uint64
	Delivered uint64
	Copies    uint64
	Processor time.Duration
	Ready     bool
	Resting   bool
	Strands   []string
	Delays    map[string]time.Duration
}

// Ask is a daemon's question with what it has, and from which epoch it has it; it
// is answered on news.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	Self    Member
	Nonce   uint64
	Index   uint64
	Version uint64
	Load    Load
	Patient bool
	// Urgent asks to be answered at once, news or not: the asker looks for the
	// primary, or a visit waits for what there is.
	Urgent bool
	Epoch  uint64
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
}

// Orders are what the economy asks of one lantern.
// Rest empties it and lets it rest; Keep, if above zero, asks it to hand on
// what it holds beyond.
type Orders struct {
	_       struct{} `cbor:",toarray"`
	Rest    bool
	Empty   bool
	Keep    int
	Pace    int
	Targets []string
}

// Redirect tells who is primary, as far as the sender knows.
type Redirect struct {
	_       struct{} `cbor:",toarray"`
	For     string
	Nonce   uint64
	Epoch   uint64
	Primary string
	Pilots  []string
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

// ChartAsk asks any daemon for a configuration newer than the asker's.
type ChartAsk struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// ChartReturn gives it.
type ChartReturn struct {
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

// StrandComplete comes from a first whose understudies have everything. Holders
// are the keepers with the disks on which it lies, the first's own among them.
type StrandComplete struct {
	Strand  string
	Epoch   uint64
	Holders []string
}

// Lagging comes from a keeper that sees another one's disk, or its own, take far
// longer than it should, or refuse.
type Lagging struct {
	Reporter    string
	Name        string
	Incarnation uint64
	Delay       time.Duration
	// Sure is set for what the disk itself took; else the link may be at fault.
	Sure bool
}

// ControlVisit carries an operator's request on to the primary.
type ControlVisit struct {
	Visit  uint64
	Method string
	Path   string
	Body   []byte
}

// ControlReturn is its answer.
type ControlReturn struct {
	Visit      uint64
	Status     int
	Body       []byte
	RetryAfter time.Duration
	Redirect   string
}

func init() {
	flare.MustRegister(307, Farewell{})
	flare.MustRegister(308, StrandComplete{})
	flare.MustRegister(311, Lagging{})
	flare.MustRegister(309, ControlVisit{})
	flare.MustRegister(310, ControlReturn{})
	flare.MustRegister(300, Ask{})
	flare.MustRegister(301, News{})
	flare.MustRegister(302, Redirect{})
	flare.MustRegister(303, Heartbeat{})
	flare.MustRegister(304, Suspicion{})
	flare.MustRegister(305, ChartAsk{})
	flare.MustRegister(306, ChartReturn{})
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

// NewRing makes the ring of a view. Tenders don't watch, and neither do
// resting lanterns, which are to do almost nothing.
func NewRing(members map[string]Member) Ring {
	var ring Ring
	for _, member := range helm.Sorted(members) {
		if member.Alive && !member.Resting && member.Kind != KindTender {
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
// ring, at least one of them in another locality where there is any.
func (ring Ring) WatchersOf(watched Member) []Member {
	place := ringPlace(watched.Name)
	start, _ := slices.BinarySearchFunc(ring.members, place, func(member Member, place uint64) int {
		if ringPlace(member.Name) <= place {
			return -1
		}
		return 1
	})
	// The ring is walked only as far as it takes: a view is taken by asking for the
	// watchers of everybody.
	chosen, passed := make([]Member, 0, Watchers), make([]Member, 0, Watchers)
	localities := map[string]int{}
	for step := range ring.members {
		member := ring.members[(start+step)%len(ring.members)]
		if member.Name == watched.Name {
			continue
		}
		if localities[member.Locality] < Watchers-1 {
			localities[member.Locality]++
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
func (orders Orders) Equal(other Orders) bool {
	return orders.Rest == other.Rest && orders.Empty == other.Empty && orders.Keep == other.Keep && orders.Pace == other.Pace &&
		slices.Equal(orders.Targets, other.Targets)
}
