package partition

import (
	"time"

	"dahlialock/internal/transport"
)

// The messages between gateways and stores, and among stores. They are encoded as arrays
// where they say so: the order of fields is the format, and new fields come last.

const (
	// DependencyWindow is for how long a message counts as a dependency of its sender's next
	// ones. Older ones need not be named: a gateway that is verified has them.
	DependencyWindow = 6 * time.Second
	// VerificationWindow is for how long a gateway counts as verified for a space: it had all
	// records of the space's partitions at a moment within the window. It must be less than
	// DependencyWindow.
	VerificationWindow = 5 * time.Second
	// MaxDependencies is how many messages Dependencies names one by one.
	MaxDependencies = 12
)

// MessagePosition is where a message of a space lies: the number of its partition, its offset
// and its topic.
type MessagePosition struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Offset    uint64
	Topic     string
}

// PartitionOffset is an offset in one partition of a space.
type PartitionOffset struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Offset    uint64
}

// Dependencies are the messages of the same sender and space within DependencyWindow before a
// message. A reader that lacks one of them waits for it or fetches it. Where there are more
// than MaxDependencies, Floor says for each partition how far the older ones reach.
type Dependencies struct {
	_        struct{} `cbor:",toarray"`
	Messages []MessagePosition
	Floor    []PartitionOffset
}

// Record is one message in the log. With OffsetOnly it gives an ephemeral message its offset
// and recognises duplicates; its data was never stored.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	Epoch  uint64
	Topic  string
	Sender string
	Seq    uint64
	Data   []byte
	// AppendedAt is by the clock of the store that holds the record.
	AppendedAt time.Time
	// PreviousInTopic is the offset of the topic's record before this one; 0 if none is known.
	// By it, and by Dependencies, a reader notices every gap.
	PreviousInTopic uint64
	Dependencies    Dependencies
	OffsetOnly      bool
}

// Append is a gateway's request to a partition's leader to store a message.
type Append struct {
	_            struct{} `cbor:",toarray"`
	Partition    string
	RequestID    uint64
	Topic        string
	Sender       string
	Seq          uint64
	Data         []byte
	Dependencies Dependencies
	// DuplicateOnly asks to acknowledge the message if it is stored, but not to store it now:
	// the sender has a later one somewhere.
	DuplicateOnly bool
	// OffsetOnly asks for an offset for an ephemeral message, whose data isn't stored.
	OffsetOnly bool
}

// LinkClass is transient for an ephemeral message, which is of use now or never.
func (a Append) LinkClass() transport.Class {
	if a.OffsetOnly {
		return transport.ClassTransient
	}
	return transport.ClassLive
}

// AppendResponse is the response to Append. Code says why a message wasn't accepted: one of
// the constants that begin with Code. RetryAfter is after how long to send it again; zero if
// that is of no use. Of a shared partition's Record the data, names and time are left out, since whoever
// sent the request has them.
type AppendResponse struct {
	_          struct{} `cbor:",toarray"`
	Partition  string
	RequestID  uint64
	Outcome    Outcome
	Code       string
	RetryAfter time.Duration
	Epoch      uint64
	// Duplicate says that the message was stored by an earlier request.
	Duplicate bool
	Record    Record
}

// Replicate carries records from the leader to a follower. They follow the record at
// PreviousOffset, which is of PreviousEpoch; a follower whose log has no such record appends
// nothing. Without records it asks how far the follower's log reaches.
//
// Clocks of two stores need not agree. So the records have no times, and Ages holds their
// ages in milliseconds; zeros at the end are left out.
type Replicate struct {
	_              struct{} `cbor:",toarray"`
	Partition      string
	Epoch          uint64
	PreviousOffset uint64
	PreviousEpoch  uint64
	Records        []Record
	Ages           []uint32
}

// ReplicateResponse is the response to Replicate and InstallSnapshot: the follower has synced
// its log up to LastOffset, whose record is of LastEpoch.
type ReplicateResponse struct {
	_          struct{} `cbor:",toarray"`
	Partition  string
	Epoch      uint64
	LastOffset uint64
	LastEpoch  uint64
	// Mismatch says that nothing was appended, since the logs differ. LastOffset may not be
	// synced then.
	Mismatch bool
	// CurrentEpoch is set if the request's epoch is outdated.
	CurrentEpoch uint64
	// ReplicaHash is a short hash of the follower's name and disk.
	ReplicaHash uint32
	// DiskMilliseconds is how long the follower's disk took.
	DiskMilliseconds uint32
}

// InstallSnapshot carries the leader's complete log to a follower. Its times are by the
// leader's clock, which showed SentAt.
type InstallSnapshot struct {
	SentAt    time.Time `cbor:"Now"`
	Partition string    `cbor:"Partition"`
	Epoch     uint64    `cbor:"Epoch"`
	Log       []byte    `cbor:"State"`
}

// Fetch is a gateway's request to a partition's leader for the records after an offset that
// are of one of Topics or under one of Prefixes, but for those at SkipOffsets.
type Fetch struct {
	_           struct{} `cbor:",toarray"`
	Partition   string
	RequestID   uint64
	After       uint64
	Topics      []string
	Prefixes    []string
	SkipOffsets []uint64
}

// FetchResponse is the response to Fetch: all matching records up to Until. Without Ready
// this store doesn't serve the partition, and nothing else is set.
type FetchResponse struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	RequestID uint64
	Epoch     uint64
	// Base is the offset up to which records have been dropped.
	Base          uint64
	HighWatermark uint64
	Until         uint64
	Records       []Record
	Ready         bool
	// Expired says, for a shared partition, that a matching record has been dropped.
	Expired bool
}

// FetchTopics is a gateway's request to a store for the records of topics in shared
// partitions, each after an offset of its own. The data of all records of the response is
// within MaxBytes, except that the first topic gets its first record in any case.
type FetchTopics struct {
	_         struct{} `cbor:",toarray"`
	RequestID uint64
	MaxBytes  int
	Topics    []TopicCursor
}

// TopicCursor is a topic, and the offset after which its records are wanted.
type TopicCursor struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	After uint64
}

// FetchTopicsResponse is the response to FetchTopics. Topics has an entry for each topic of
// the request, in the same order. Partitions are those of them that this store serves; the
// entry of a topic in another partition is empty.
type FetchTopicsResponse struct {
	_          struct{} `cbor:",toarray"`
	RequestID  uint64
	Partitions []PartitionState
	Topics     []TopicRecords
}

// State finds the state of a partition in the response.
func (r FetchTopicsResponse) State(partition string) (PartitionState, bool) {
	for _, state := range r.Partitions {
		if state.Partition == partition {
			return state, true
		}
	}
	return PartitionState{}, false
}

// PartitionState is the state of a shared partition at its leader.
type PartitionState struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Epoch     uint64
	// Base is the offset up to which records have been dropped.
	Base          uint64
	HighWatermark uint64
}

// TopicRecords are all records of a topic up to Until.
type TopicRecords struct {
	_     struct{} `cbor:",toarray"`
	Until uint64
	// Expired says that a record after the cursor has been dropped; then there are no records.
	Expired bool
	// RemainingBytes is the size of the records that the response had no capacity for, at
	// least 1 if there are any.
	RemainingBytes int
	Records        []Record
}

// SubscribeHighWatermarks asks a store to send HighWatermarks of partitions that it leads,
// for subscriptionTimeout. It takes the place of an earlier subscription. KnownOffsets says
// of each shared partition how far the gateway knows it already.
type SubscribeHighWatermarks struct {
	_            struct{} `cbor:",toarray"`
	Partitions   []string
	KnownOffsets []uint64
}

// HighWatermark is the offset up to which a partition's records are accepted. Of a shared
// partition, Topics are those with a record after From.
type HighWatermark struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Epoch     uint64
	Offset    uint64
	From      uint64
	Topics    []TopicOffset
}

// TopicOffset is the newest offset of a topic. The topic is named by config.TopicHash, which
// is shorter.
type TopicOffset struct {
	_         struct{} `cbor:",toarray"`
	TopicHash uint64
	Offset    uint64
}

// HighWatermarks are the high watermarks that advanced.
type HighWatermarks struct {
	_              struct{} `cbor:",toarray"`
	HighWatermarks []HighWatermark
}

// SenderStateRequest asks a store for the newest messages of a sender in partitions of a
// space that it leads.
type SenderStateRequest struct {
	_          struct{} `cbor:",toarray"`
	RequestID  uint64
	Partitions []string
	Sender     string
}

// RecentMessage is a message of a sender, and for how long it has been stored.
type RecentMessage struct {
	_        struct{} `cbor:",toarray"`
	Position MessagePosition
	Seq      uint64
	Age      time.Duration
}

// SenderStateResponse is the response to SenderStateRequest. Without Ready this store doesn't
// serve all of the partitions, and the response is incomplete.
type SenderStateResponse struct {
	_              struct{} `cbor:",toarray"`
	RequestID      uint64
	Ready          bool
	LastSeq        uint64
	RecentMessages []RecentMessage
}

func init() {
	transport.MustRegister(500, Append{})
	transport.MustRegister(501, AppendResponse{})
	transport.MustRegister(502, Replicate{})
	transport.MustRegister(503, ReplicateResponse{})
	transport.MustRegister(504, InstallSnapshot{})
	transport.MustRegister(505, Fetch{})
	transport.MustRegister(506, FetchResponse{})
	transport.MustRegister(507, SubscribeHighWatermarks{})
	transport.MustRegister(508, HighWatermarks{})
	transport.MustRegister(509, SenderStateRequest{})
	transport.MustRegister(510, SenderStateResponse{})
	transport.MustRegister(511, FetchTopics{})
	transport.MustRegister(512, FetchTopicsResponse{})
}
