// The words between gateways and stores, and between the two stores of a
// partition.

package partition

import (
	"time"

	"dahlialock/internal/transport"
)

// Mark points at a message of the same sender and space: the number of its
// partition, its offset and its topic.
type Mark struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Offset    uint64
	Topic     string
}

// Reach is how far a sender's earlier messages go in one partition.
type Reach struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Offset    uint64
}

// Trail is what a sender sent before: each message of the last moments, and
// where there were too many of them, how far the older ones of those go.
type Trail struct {
	_     struct{} `cbor:",toarray"`
	Marks []Mark
	Floor []Reach
}

// Spans of a trail: what is older than TrailFor is known to have been handed
// over by whoever verified within FreshFor.
const (
	TrailFor  = 6 * time.Second
	FreshFor  = 5 * time.Second
	TrailMost = 12
)

// Record is one kept message. Prior is the offset of the topic's message
// before it, and Before are the sender's messages before it, so that whoever
// receives it sees every hole. A Bare record gives a passing message its offset
// and is remembered for resends; its data was never here.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	Epoch  uint64
	Topic  string
	Sender string
	Seq    uint64
	Data   []byte
	At     time.Time
	Prior  uint64
	Before Trail
	Bare   bool
}

// Append asks the first to keep a message.
type Append struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Request   uint64
	Topic     string
	Sender    string
	Seq       uint64
	Data      []byte
	Before    Trail
	// OnlyAgain asks to acknowledge the message if it is kept, and not to keep
	// it anew: the sender has a later one somewhere.
	OnlyAgain bool
	// Bare asks for an offset and the memory of a passing message, of which
	// nothing is kept.
	Bare bool
}

// LinkClass tells that a passing message is of use now or never.
func (a Append) LinkClass() transport.Class {
	if a.Bare {
		return transport.ClassTransient
	}
	return transport.ClassLive
}

// Outcomes of an append.
const (
	Accepted uint8 = iota + 1
	Refused
	Unsettled
)

// AppendResponse answers it. In a shared partition its record carries neither data nor
// names, since whoever asked has them.
type AppendResponse struct {
	_          struct{} `cbor:",toarray"`
	Partition  string
	Request    uint64
	Outcome    uint8
	Code       string
	RetryAfter time.Duration
	Epoch      uint64
	Again      bool
	Record     Record
}

// Copy carries records from the first to the follower, after the record at
// After of epoch AfterEpoch. Its records have no times but ages in milliseconds,
// since no two machines' clocks need agree; what is left out at the end is new.
type Copy struct {
	_          struct{} `cbor:",toarray"`
	Partition  string
	Epoch      uint64
	After      uint64
	AfterEpoch uint64
	Records    []Record
	Ages       []uint32
}

// CopyResponse says how far the follower's disk reaches, or that it needs more.
type CopyResponse struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Epoch     uint64
	Have      uint64
	HaveEpoch uint64
	Mismatch  bool
	Older     uint64
	// Holder is a short sum of the follower's name with its disk, and Took is how
	// many milliseconds that disk took.
	Holder uint32
	Took   uint32
}

// Frame carries a whole partition, its times counted from Now.
type Frame struct {
	Now       time.Time `cbor:"Now"`
	Partition string    `cbor:"Partition"`
	Epoch     uint64    `cbor:"Epoch"`
	State     []byte    `cbor:"State"`
}

// Fetch asks for records after an offset that match an interest.
type Fetch struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Request   uint64
	After     uint64
	Topics    []string
	Prefixes  []string
	Skip      []uint64
}

// FetchResponse gives them, all up to Until. Gone tells, for a shared partition, that
// a record of the asked topics after the asked offset is no longer held.
type FetchResponse struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Request   uint64
	Epoch     uint64
	Base      uint64
	Head      uint64
	Until     uint64
	Records   []Record
	Ready     bool
	Gone      bool
}

// Follow asks to be told the heads of partitions. From is how far the asker was
// told of each shared partition already.
type Follow struct {
	_          struct{} `cbor:",toarray"`
	Partitions []string
	From       []uint64
}

// Head is how far a partition's accepted messages reach. For a shared partition it
// tells the newest kept message of every topic that has one after From.
type Head struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Epoch     uint64
	Offset    uint64
	From      uint64
	Topics    []TopicHead
}

// TopicHead is the newest offset of a topic, which is told by its number.
type TopicHead struct {
	_      struct{} `cbor:",toarray"`
	Topic  uint64
	Offset uint64
}

// Heads tells them.
type Heads struct {
	_     struct{} `cbor:",toarray"`
	Heads []Head
}

// SenderAsk asks where a sender's newest message is.
type SenderAsk struct {
	_          struct{} `cbor:",toarray"`
	Request    uint64
	Partitions []string
	Sender     string
}

// Recent is a mark with the time at which it was kept.
type Recent struct {
	_    struct{} `cbor:",toarray"`
	Mark Mark
	Seq  uint64
	Age  time.Duration
}

// SenderResponse tells it.
type SenderResponse struct {
	_       struct{} `cbor:",toarray"`
	Request uint64
	Ready   bool
	LastSeq uint64
	Recent  []Recent
}

func init() {
	transport.MustRegister(509, SenderAsk{})
	transport.MustRegister(510, SenderResponse{})
	transport.MustRegister(500, Append{})
	transport.MustRegister(501, AppendResponse{})
	transport.MustRegister(502, Copy{})
	transport.MustRegister(503, CopyResponse{})
	transport.MustRegister(504, Frame{})
	transport.MustRegister(505, Fetch{})
	transport.MustRegister(506, FetchResponse{})
	transport.MustRegister(507, Follow{})
	transport.MustRegister(508, Heads{})
	transport.MustRegister(511, FetchTopics{})
	transport.MustRegister(512, FetchTopicsResponse{})
}
