// The words between gateways and stores, and between the two stores of a
// partition.

package partition

import (
	"time"

	"dahlialock/internal/transport"
)

// Spans of a trail: what is older than TrailFor is known to have been handed
// over by whoever verified within FreshFor.
const (
	DependencyWindow   = 6 * time.Second
	VerificationWindow = 5 * time.Second
	MaxDependencies    = 12
)

// Outcomes of an append.
const (
	OutcomeAccepted uint8 = iota + 1
	OutcomeRejected
	OutcomeUnresolved
)

// MessagePosition points at a message of the same sender and space: the number of its
// partition, its offset and its topic.
type MessagePosition struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Offset    uint64
	Topic     string
}

// PartitionOffset is how far a sender's earlier messages go in one partition.
type PartitionOffset struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Offset    uint64
}

// Dependencies is what a sender sent before: each message of the last moments, and
// where there were too many of them, how far the older ones of those go.
type Dependencies struct {
	_        struct{} `cbor:",toarray"`
	Messages []MessagePosition
	Floor    []PartitionOffset
}

// Record is one kept message. Prior is the offset of the topic's message
// before it, and Before are the sender's messages before it, so that whoever
// receives it sees every hole. A Bare record gives a passing message its offset
// and is remembered for resends; its data was never here.
type Record struct {
	_               struct{} `cbor:",toarray"`
	Offset          uint64
	Epoch           uint64
	Topic           string
	Sender          string
	Seq             uint64
	Data            []byte
	AppendedAt      time.Time
	PreviousInTopic uint64
	Dependencies    Dependencies
	OffsetOnly      bool
}

// Append asks the first to keep a message.
type Append struct {
	_            struct{} `cbor:",toarray"`
	Partition    string
	RequestID    uint64
	Topic        string
	Sender       string
	Seq          uint64
	Data         []byte
	Dependencies Dependencies
	// DuplicateOnly asks to acknowledge the message if it is kept, and not to keep
	// it anew: the sender has a later one somewhere.
	DuplicateOnly bool
	// OffsetOnly asks for an offset and the memory of a passing message, of which
	// nothing is kept.
	OffsetOnly bool
}

// LinkClass tells that a passing message is of use now or never.
func (a Append) LinkClass() transport.Class {
	if a.OffsetOnly {
		return transport.ClassUrgent
	}
	return transport.ClassLive
}

// AppendResponse answers it. In a shared partition its record carries neither data nor
// names, since whoever asked has them.
type AppendResponse struct {
	_          struct{} `cbor:",toarray"`
	Partition  string
	RequestID  uint64
	Outcome    uint8
	Code       string
	RetryAfter time.Duration
	Epoch      uint64
	Duplicate  bool
	Record     Record
}

// Replicate carries records from the first to the follower, after the record at
// After of epoch AfterEpoch. Its records have no times but ages in milliseconds,
// since no two machines' clocks need agree; what is left out at the end is new.
type Replicate struct {
	_              struct{} `cbor:",toarray"`
	Partition      string
	Epoch          uint64
	PreviousOffset uint64
	PreviousEpoch  uint64
	Records        []Record
	Ages           []uint32
}

// ReplicateResponse says how far the follower's disk reaches, or that it needs more.
type ReplicateResponse struct {
	_            struct{} `cbor:",toarray"`
	Partition    string
	Epoch        uint64
	LastOffset   uint64
	LastEpoch    uint64
	Mismatch     bool
	CurrentEpoch uint64
	// ReplicaHash is a short sum of the follower's name with its disk, and Took is how
	// many milliseconds that disk took.
	ReplicaHash      uint32
	DiskMilliseconds uint32
}

// InstallSnapshot carries a whole partition, its times counted from Now.
type InstallSnapshot struct {
	SentAt    time.Time `cbor:"Now"`
	Partition string    `cbor:"Partition"`
	Epoch     uint64    `cbor:"Epoch"`
	Log       []byte    `cbor:"State"`
}

// Fetch asks for records after an offset that match an interest.
type Fetch struct {
	_           struct{} `cbor:",toarray"`
	Partition   string
	RequestID   uint64
	After       uint64
	Topics      []string
	Prefixes    []string
	SkipOffsets []uint64
}

// FetchResponse gives them, all up to Until. Gone tells, for a shared partition, that
// a record of the asked topics after the asked offset is no longer held.
type FetchResponse struct {
	_             struct{} `cbor:",toarray"`
	Partition     string
	RequestID     uint64
	Epoch         uint64
	Base          uint64
	HighWatermark uint64
	Until         uint64
	Records       []Record
	Ready         bool
	Expired       bool
}

// SubscribeHighWatermarks asks to be told the heads of partitions. From is how far the asker was
// told of each shared partition already.
type SubscribeHighWatermarks struct {
	_            struct{} `cbor:",toarray"`
	Partitions   []string
	KnownOffsets []uint64
}

// HighWatermark is how far a partition's accepted messages reach. For a shared partition it
// tells the newest kept message of every topic that has one after From.
type HighWatermark struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Epoch     uint64
	Offset    uint64
	From      uint64
	Topics    []TopicOffset
}

// TopicOffset is the newest offset of a topic, which is told by its number.
type TopicOffset struct {
	_           struct{} `cbor:",toarray"`
	TopicNumber uint64
	Offset      uint64
}

// HighWatermarks tells them.
type HighWatermarks struct {
	_              struct{} `cbor:",toarray"`
	HighWatermarks []HighWatermark
}

// SenderStateRequest asks where a sender's newest message is.
type SenderStateRequest struct {
	_          struct{} `cbor:",toarray"`
	RequestID  uint64
	Partitions []string
	Sender     string
}

// RecentMessage is a mark with the time at which it was kept.
type RecentMessage struct {
	_        struct{} `cbor:",toarray"`
	Position MessagePosition
	Seq      uint64
	Age      time.Duration
}

// SenderStateResponse tells it.
type SenderStateResponse struct {
	_              struct{} `cbor:",toarray"`
	RequestID      uint64
	Ready          bool
	LastSeq        uint64
	RecentMessages []RecentMessage
}

func init() {
	transport.MustRegister(509, SenderStateRequest{})
	transport.MustRegister(510, SenderStateResponse{})
	transport.MustRegister(500, Append{})
	transport.MustRegister(501, AppendResponse{})
	transport.MustRegister(502, Replicate{})
	transport.MustRegister(503, ReplicateResponse{})
	transport.MustRegister(504, InstallSnapshot{})
	transport.MustRegister(505, Fetch{})
	transport.MustRegister(506, FetchResponse{})
	transport.MustRegister(507, SubscribeHighWatermarks{})
	transport.MustRegister(508, HighWatermarks{})
	transport.MustRegister(511, FetchTopics{})
	transport.MustRegister(512, FetchTopicsResponse{})
}

// FetchTopics asks a store for the records of routed topics, each after an offset.
// Bytes bounds the records of the answer; one record always fits.
type FetchTopics struct {
	_         struct{} `cbor:",toarray"`
	RequestID uint64
	MaxBytes  int
	Topics    []TopicCursor
}

// TopicCursor is a topic and the offset after which its records are wanted.
type TopicCursor struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	After uint64
}

// FetchTopicsResponse answers with one entry for each topic, in the order in which
// they were asked for, and with the state of the partitions that serve here.
type FetchTopicsResponse struct {
	_          struct{} `cbor:",toarray"`
	RequestID  uint64
	Partitions []PartitionState
	Topics     []TopicRecords
}

// PartitionState is what a store tells of a shared partition that it leads.
type PartitionState struct {
	_             struct{} `cbor:",toarray"`
	Partition     string
	Epoch         uint64
	Base          uint64
	HighWatermark uint64
}

// TopicRecords are all records of a topic up to Until. Gone tells that a record
// after the asked offset is no longer held, and Left how many bytes of records there
// are that found no room in the answer.
type TopicRecords struct {
	_              struct{} `cbor:",toarray"`
	Until          uint64
	Expired        bool
	RemainingBytes int
	Records        []Record
}

// State finds the state of a partition in the answer.
func (r FetchTopicsResponse) State(partition string) (PartitionState, bool) {
	for _, state := range r.Partitions {
		if state.Partition == partition {
			return state, true
		}
	}
	return PartitionState{}, false
}
