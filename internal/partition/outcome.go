package partition

import "fmt"

// Outcome is the result of an append.
type Outcome uint8

const (
	// OutcomeAccepted means that the leader and all followers have synced the record.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeRejected means that this request appended nothing. An earlier request for the same
	// message may have appended it.
	OutcomeRejected
	// OutcomeUnresolved means that the result is unknown to this store: the record may be
	// accepted or lost. It is safe to send the message again with the same sequence number.
	OutcomeUnresolved
)

// String names the outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeAccepted:
		return "accepted"
	case OutcomeRejected:
		return "rejected"
	case OutcomeUnresolved:
		return "unresolved"
	default:
		return fmt.Sprintf("outcome %d", uint8(o))
	}
}

// Codes of AppendResponse. They come with OutcomeRejected unless stated otherwise. Gateways
// forward some of them to clients.
const (
	// CodeNotLeader rejects an append at a store that doesn't lead the partition.
	CodeNotLeader = "not-first"
	// CodeSequenceReused rejects a message whose sequence number was used for another message.
	CodeSequenceReused = "seq-reused"
	// CodeSequenceStale rejects a sequence number that isn't above the sender's last one, and a
	// message with DuplicateOnly that isn't stored.
	CodeSequenceStale = "old-seq"
	// CodeSequencePassed rejects a sequence number below that of a later message which isn't
	// accepted yet. Another leader may still accept an earlier attempt of the same message.
	CodeSequencePassed = "passed"
	// CodeDiskUnavailable means that the leader's disk rejects writes; also with
	// OutcomeUnresolved.
	CodeDiskUnavailable = "disk-refuses"
	// CodeFollowerIncomplete rejects an append while the followers are catching up.
	CodeFollowerIncomplete = "follower-incomplete"
	// CodeFollowerSilent means that a follower doesn't acknowledge; also with OutcomeUnresolved.
	CodeFollowerSilent = "follower-silent"
	// CodeLeaderChanged, with OutcomeUnresolved, means that the placement has a newer epoch, in
	// which another store may be the leader.
	CodeLeaderChanged = "moved"
	// CodeReplicaRemoved, with OutcomeUnresolved, means that no placement assigns a replica of
	// the partition to the store any more.
	CodeReplicaRemoved = "removed"
)
