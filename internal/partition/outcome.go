package partition

import "fmt"

// Outcome is what became of an append.
type Outcome uint8

const (
	// OutcomeAccepted says that the leader and all followers have synced the record.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeRejected says that this request appended nothing. An earlier request for the same
	// message may have.
	OutcomeRejected
	// OutcomeUnresolved says that this store can't tell: the record may be accepted or lost.
	// To send the message again with the same sequence number is safe.
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

// Codes of AppendResponse, with OutcomeRejected unless they say otherwise. Gateways pass some of
// them on to clients.
const (
	// CodeNotLeader rejects an append at a store that doesn't lead the partition.
	CodeNotLeader = "not-first"
	// CodeSequenceReused rejects another message under a sequence number that was used.
	CodeSequenceReused = "seq-reused"
	// CodeSequenceStale rejects a sequence number that isn't above the sender's last one, and a
	// message with DuplicateOnly that isn't stored.
	CodeSequenceStale = "old-seq"
	// CodeSequencePassed rejects a sequence number below one that isn't accepted yet. Another
	// leader may still accept an earlier attempt of the same message.
	CodeSequencePassed = "passed"
	// CodeDiskUnavailable says that the leader's disk takes no writes; also with
	// OutcomeUnresolved.
	CodeDiskUnavailable = "disk-refuses"
	// CodeFollowerIncomplete rejects an append while the followers are brought up to date.
	CodeFollowerIncomplete = "follower-incomplete"
	// CodeFollowerSilent says that a follower doesn't acknowledge; also with OutcomeUnresolved.
	CodeFollowerSilent = "follower-silent"
	// CodeLeaderChanged, with OutcomeUnresolved, says that the placement has a newer epoch, in
	// which another store may lead.
	CodeLeaderChanged = "moved"
	// CodeReplicaRemoved, with OutcomeUnresolved, says that no placement gives the store a
	// replica of the partition any more.
	CodeReplicaRemoved = "removed"
)
