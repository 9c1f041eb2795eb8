package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Hello lets controllers discover each other through the seeds, and spreads the newest record.
// Known are the voters or, before the first epoch, all controllers that the sender knows.
// ClusterSize is that of the sender's Settings. Blank is set if the sender knows no epoch, and
// Founder if it has recorded that it is a founder (see recordFounders).
type Hello struct {
	Self        Controller   `cbor:"Self"`
	ClusterSize int          `cbor:"Count"`
	Known       []Controller `cbor:"Known"`
	Blank       bool         `cbor:"Blank"`
	Founder     bool         `cbor:"Founding"`
	Record      Record       `cbor:"Record"`
}

// RecoveryRequest asks another voter for its hard state. It is sent by a voter whose disk was
// lost.
type RecoveryRequest struct {
	Request statemachine.RequestID `cbor:"Request"`
}

// RecoveryResponse answers RecoveryRequest.
type RecoveryResponse struct {
	Request   statemachine.RequestID `cbor:"Request"`
	HardState HardState              `cbor:"Durable"`
}

// Prepare is phase 1 of a ballot: it asks for a promise.
type Prepare struct {
	Epoch  uint64 `cbor:"Epoch"`
	Ballot Ballot `cbor:"Ballot"`
}

// Promise answers Prepare. If the promise is not granted, RetryAfter is the remaining time of a
// lease that the acceptor granted, and Promised a higher ballot that the acceptor promised.
type Promise struct {
	Epoch          uint64        `cbor:"Epoch"`
	Ballot         Ballot        `cbor:"Ballot"`
	Granted        bool          `cbor:"Given"`
	RetryAfter     time.Duration `cbor:"Wait"`
	Promised       Ballot        `cbor:"Promised"`
	AcceptedBallot Ballot        `cbor:"AcceptedBallot"`
	Accepted       Record        `cbor:"Accepted"`
}

// Accept is phase 2 of a ballot: it asks an acceptor to accept a record.
type Accept struct {
	Epoch  uint64 `cbor:"Epoch"`
	Ballot Ballot `cbor:"Ballot"`
	Record Record `cbor:"Record"`
}

// Accepted answers Accept once the acceptor has synced the record. Granted is always set: an
// acceptor that rejects the record sends no response.
type Accepted struct {
	Epoch   uint64 `cbor:"Epoch"`
	Ballot  Ballot `cbor:"Ballot"`
	Granted bool   `cbor:"Taken"`
}

// Decided spreads a decided record.
type Decided struct {
	Record Record `cbor:"Record"`
}

// RenewLease asks a voter to grant or extend the primary's lease. For announceDuration after an
// epoch was decided it includes the record, in case Decided was lost; later Record is zero.
type RenewLease struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
	Record  Record                 `cbor:"Record"`
}

// LeaseGrant answers RenewLease. It also reports the progress of the sender's replica: the
// synced index and the synced complete epoch. A message without a request is not a grant and
// reports only the progress.
type LeaseGrant struct {
	Epoch         uint64                 `cbor:"Epoch"`
	Request       statemachine.RequestID `cbor:"Request"`
	Index         uint64                 `cbor:"Index"`
	CompleteEpoch uint64                 `cbor:"Complete"`
}

// ReleaseLease gives up the remaining lease, for example because the primary stops or its disk
// has stalled. Request is the primary's newest request.
type ReleaseLease struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// Append replicates one command from the primary to a backup.
type Append struct {
	Epoch   uint64 `cbor:"Epoch"`
	Index   uint64 `cbor:"Index"`
	Command []byte `cbor:"Command"`
}

// AppendResponse acknowledges that the backup has synced the command.
type AppendResponse struct {
	Epoch uint64 `cbor:"Epoch"`
	Index uint64 `cbor:"Index"`
}

// InstallSnapshot transfers the complete state. If TargetEpoch is Epoch, the receiver is a
// backup that is not in sync. Otherwise TargetEpoch is the next epoch, and the receiver is a
// spare that may become a backup in it.
type InstallSnapshot struct {
	Epoch       uint64 `cbor:"Epoch"`
	TargetEpoch uint64 `cbor:"For"`
	Index       uint64 `cbor:"Index"`
	State       []byte `cbor:"State"`
}

// InstallSnapshotResponse acknowledges that the snapshot is synced. Leaving is set if the
// sender was asked to leave.
type InstallSnapshotResponse struct {
	Epoch       uint64 `cbor:"Epoch"`
	TargetEpoch uint64 `cbor:"For"`
	Index       uint64 `cbor:"Index"`
	Leaving     bool   `cbor:"Leaving"`
}

// Confirm asks a voter whether the epoch is still the newest, as ReadIndex does in Raft.
type Confirm struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// ConfirmResponse answers Confirm if the epoch is the newest that the voter knows.
type ConfirmResponse struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// RoleLeaseRequest asks a voter for the lease of a singleton role.
type RoleLeaseRequest struct {
	Role    string                 `cbor:"Duty"`
	Request statemachine.RequestID `cbor:"Request"`
}

// RoleLeaseResponse grants the lease of a role, or names its current holder.
type RoleLeaseResponse struct {
	Role    string                 `cbor:"Duty"`
	Request statemachine.RequestID `cbor:"Request"`
	Granted bool                   `cbor:"Given"`
	Holder  string                 `cbor:"Holder"`
}

// Leave asks for the removal of its sender, which shuts down, from the voters.
type Leave struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// LeaveResponse acknowledges that a voter has synced the record of the epoch, in which the
// leaving controller is not a voter. With Irreplaceable it comes from the primary instead and
// says that no controller can replace the leaving one.
type LeaveResponse struct {
	Epoch         uint64                 `cbor:"Epoch"`
	Request       statemachine.RequestID `cbor:"Request"`
	Irreplaceable bool                   `cbor:"Irreplaceable"`
}

func init() {
	transport.MustRegister(100, Hello{})
	transport.MustRegister(101, RecoveryRequest{})
	transport.MustRegister(102, RecoveryResponse{})
	transport.MustRegister(103, Prepare{})
	transport.MustRegister(104, Promise{})
	transport.MustRegister(105, Accept{})
	transport.MustRegister(106, Accepted{})
	transport.MustRegister(107, Decided{})
	transport.MustRegister(108, RenewLease{})
	transport.MustRegister(109, LeaseGrant{})
	transport.MustRegister(110, Append{})
	transport.MustRegister(111, AppendResponse{})
	transport.MustRegister(112, InstallSnapshot{})
	transport.MustRegister(113, InstallSnapshotResponse{})
	transport.MustRegister(114, Confirm{})
	transport.MustRegister(115, ConfirmResponse{})
	transport.MustRegister(116, RoleLeaseRequest{})
	transport.MustRegister(117, RoleLeaseResponse{})
	transport.MustRegister(118, ReleaseLease{})
	transport.MustRegister(119, Leave{})
	transport.MustRegister(120, LeaveResponse{})
}
