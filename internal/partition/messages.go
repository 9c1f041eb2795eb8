package partition

import (
	"time"

	"dahlialock/internal/transport"
)

// The messages between gateways and stores, and between stores. Types with the option toarray
// are encoded as arrays: the order of their fields is the format, and new fields must be last.

const (
	// DependencyWindow is how long a message counts as a dependency of its sender's next
	// messages. Older messages need not be listed: a verified gateway has them.
	DependencyWindow = 6 * time.Second
	// VerificationWindow is how long a gateway counts as verified for a space: at some time
	// within the window it had all records of the space's partitions. It must be less than
	// DependencyWindow.
	VerificationWindow = 5 * time.Second
	// MaxDependencies is the maximum number of messages that Dependencies lists individually.
	MaxDependencies = 12
)

// MessagePosition is the position of a message in a space: the number of its partition, its
// offset and its topic.
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
// message. A reader that is missing one of them waits for it or fetches it. If there are more
// than MaxDependencies, Floor gives the highest offset of the older ones in each partition.
type Dependencies struct {
	_        struct{} `cbor:",toarray"`
	Messages []MessagePosition
	Floor    []PartitionOffset
}

// Record is one message in the log. With OffsetOnly, the record assigns an offset to an ephemeral
// message and serves to recognise duplicates; the message's data was never stored.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	Epoch  uint64
	Topic  string
	Sender string
	Seq    uint64
	Data   []byte
	// AppendedAt is the time of the append by the clock of the store that has the record.
	AppendedAt time.Time
	// PreviousInTopic is the offset of the topic's previous record; 0 if none is known. Together
	// with Dependencies it lets a reader detect every gap.
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
	// DuplicateOnly requests that the message be acknowledged if it is stored, but not be stored
	// now: the sender has already sent a later one.
	DuplicateOnly bool
	// OffsetOnly requests an offset for an ephemeral message, whose data isn't stored.
	OffsetOnly bool
}

// LinkClass returns ClassTransient for an ephemeral message, which is useless if it arrives late,
// and ClassLive otherwise.
func (a Append) LinkClass() transport.Class {
	if a.OffsetOnly {
		return transport.ClassTransient
	}
	return transport.ClassLive
}

// AppendResponse is the response to Append. Code is the reason why a message wasn't accepted: one
// of the constants that begin with Code. RetryAfter is the delay before a retry; zero if a retry
// is of no use. For a shared partition, the data, the names and the time of Record are omitted,
// since the gateway that sent the request has the message.
type AppendResponse struct {
	_          struct{} `cbor:",toarray"`
	Partition  string
	RequestID  uint64
	Outcome    Outcome
	Code       string
	RetryAfter time.Duration
	Epoch      uint64
	// Duplicate is set if the message was stored by an earlier request.
	Duplicate bool
	Record    Record
}

// Replicate sends records from the leader to a follower. They follow the record at
// PreviousOffset, which has PreviousEpoch; a follower whose log has no such record appends
// nothing. A request without records asks for the end of the follower's log.
//
// The clocks of two stores may differ. The records therefore have no times, and Ages holds their
// ages in milliseconds; trailing zeros are omitted.
type Replicate struct {
	_              struct{} `cbor:",toarray"`
	Partition      string
	Epoch          uint64
	PreviousOffset uint64
	PreviousEpoch  uint64
	Records        []Record
	Ages           []uint32
}

// ReplicateResponse is the response to Replicate and InstallSnapshot: the follower has synced its
// log up to LastOffset, whose record has LastEpoch.
type ReplicateResponse struct {
	_          struct{} `cbor:",toarray"`
	Partition  string
	Epoch      uint64
	LastOffset uint64
	LastEpoch  uint64
	// Mismatch is set if nothing was appended because the logs differ. In that case LastOffset
	// may not be synced.
	Mismatch bool
	// CurrentEpoch is the follower's epoch if that of the request is outdated, and 0 otherwise.
	CurrentEpoch uint64
	// ReplicaHash is a short hash of the follower's name and disk.
	ReplicaHash uint32
	// DiskMilliseconds is how long the follower's disk took to sync.
	DiskMilliseconds uint32
}

// InstallSnapshot sends the leader's complete log to a follower. Its times are those of the
// leader's clock, which showed SentAt.
type InstallSnapshot struct {
	SentAt    time.Time `cbor:"Now"`
	Partition string    `cbor:"Partition"`
	Epoch     uint64    `cbor:"Epoch"`
	Log       []byte    `cbor:"State"`
}

// Fetch is a gateway's request to a partition's leader for the records after an offset that
// belong to one of Topics or match one of Prefixes, except those at SkipOffsets.
type Fetch struct {
	_           struct{} `cbor:",toarray"`
	Partition   string
	RequestID   uint64
	After       uint64
	Topics      []string
	Prefixes    []string
	SkipOffsets []uint64
}

// FetchResponse is the response to Fetch: all matching records up to Until. If Ready is false,
// this store doesn't serve the partition, and only Partition and RequestID are set.
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
	// Expired is set if a matching record of a shared partition may have been dropped.
	Expired bool
}

// FetchTopics is a gateway's request to a store for the records of topics in shared partitions,
// each after a separate offset. The data of all records in the response is limited to MaxBytes,
// except that the first topic always gets its first record.
type FetchTopics struct {
	_         struct{} `cbor:",toarray"`
	RequestID uint64
	MaxBytes  int
	Topics    []TopicCursor
}

// TopicCursor is a topic, and the offset after which its records are requested.
type TopicCursor struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	After uint64
}

// FetchTopicsResponse is the response to FetchTopics. Topics has an entry for each topic of the
// request, in the same order. Partitions lists those of the topics' partitions that this store
// serves; the entry of a topic in any other partition is empty.
type FetchTopicsResponse struct {
	_          struct{} `cbor:",toarray"`
	RequestID  uint64
	Partitions []PartitionState
	Topics     []TopicRecords
}

// State returns the state of a partition in the response.
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
	// Expired is set if a record after the cursor may have been dropped; Records is empty then.
	Expired bool
	// RemainingBytes is the size of the records that didn't fit into the response, at least 1 if
	// there are any.
	RemainingBytes int
	Records        []Record
}

// SubscribeHighWatermarks asks a store to send HighWatermarks of partitions that it leads, for
// subscriptionTimeout. It replaces an earlier subscription. KnownOffsets holds the high watermark
// that the gateway already has of each shared partition, at the partition's index in Partitions.
type SubscribeHighWatermarks struct {
	_            struct{} `cbor:",toarray"`
	Partitions   []string
	KnownOffsets []uint64
}

// HighWatermark is the offset up to which a partition's records are accepted. For a shared
// partition, Topics lists the topics with a record after From.
type HighWatermark struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Epoch     uint64
	Offset    uint64
	From      uint64
	Topics    []TopicOffset
}

// TopicOffset is the newest offset of a topic. The topic is identified by config.TopicHash, which
// is shorter than its name.
type TopicOffset struct {
	_         struct{} `cbor:",toarray"`
	TopicHash uint64
	Offset    uint64
}

// HighWatermarks announces high watermarks to a subscriber.
type HighWatermarks struct {
	_              struct{} `cbor:",toarray"`
	HighWatermarks []HighWatermark
}

// SenderStateRequest asks a store for the newest messages of a sender in those partitions of a
// space that the store leads.
type SenderStateRequest struct {
	_          struct{} `cbor:",toarray"`
	RequestID  uint64
	Partitions []string
	Sender     string
}

// RecentMessage is a message of a sender. Age is the time since it was stored.
type RecentMessage struct {
	_        struct{} `cbor:",toarray"`
	Position MessagePosition
	Seq      uint64
	Age      time.Duration
}

// SenderStateResponse is the response to SenderStateRequest. If Ready is false, this store
// doesn't serve all of the partitions, and the response is incomplete.
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
