package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Hello lets controllers find each other through the seeds, and spreads the newest record.
// Known are the voters or, before the first epoch, all controllers that the sender has heard
// of. ClusterSize is that of its Settings. Blank is set if it knows no epoch, Founding if it
// recorded that it is a founder (see recordFounders).
type Hello struct {
	Self        Controller   `cbor:"Self"`
	ClusterSize int          `cbor:"Count"`
	Known       []Controller `cbor:"Known"`
	Blank       bool         `cbor:"Blank"`
	Founding    bool         `cbor:"Founding"`
	Record      Record       `cbor:"Record"`
}

// RecoveryRequest comes from a voter whose disk was lost, and asks another voter for its
// hard state.
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

// Promise answers Prepare. If it is not granted, RetryAfter is how long a lease still
// runs that the acceptor granted, and Promised a higher ballot that it promised.
type Promise struct {
	Epoch          uint64        `cbor:"Epoch"`
	Ballot         Ballot        `cbor:"Ballot"`
	Granted        bool          `cbor:"Given"`
	RetryAfter     time.Duration `cbor:"Wait"`
	Promised       Ballot        `cbor:"Promised"`
	AcceptedBallot Ballot        `cbor:"AcceptedBallot"`
	Accepted       Record        `cbor:"Accepted"`
}

// Accept is phase 2 of a ballot: it asks to accept a record.
type Accept struct {
	Epoch  uint64 `cbor:"Epoch"`
	Ballot Ballot `cbor:"Ballot"`
	Record Record `cbor:"Record"`
}

// Accepted answers Accept once the record is on the acceptor's disk. Granted is always set:
// an acceptor that refuses sends no Accepted.
type Accepted struct {
	Epoch   uint64 `cbor:"Epoch"`
	Ballot  Ballot `cbor:"Ballot"`
	Granted bool   `cbor:"Taken"`
}

// Decided spreads a decided record.
type Decided struct {
	Record Record `cbor:"Record"`
}

// RenewLease comes from the primary and asks a voter to extend its lease. Soon after an
// epoch was decided it carries the record too, in case Decided was lost; later Record is
// zero.
type RenewLease struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
	Record  Record                 `cbor:"Record"`
}

// LeaseGrant answers RenewLease. From a backup it also reports the progress of its replica:
// the index and the complete epoch that are on its disk. Without a request it does only that.
type LeaseGrant struct {
	Epoch         uint64                 `cbor:"Epoch"`
	Request       statemachine.RequestID `cbor:"Request"`
	Index         uint64                 `cbor:"Index"`
	CompleteEpoch uint64                 `cbor:"Complete"`
}

// ReleaseLease gives up the rest of the lease: the primary stops, or its disk hangs.
// Request is the newest renewal that it asked for.
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

// AppendResponse says that the backup has synced the command.
type AppendResponse struct {
	Epoch uint64 `cbor:"Epoch"`
	Index uint64 `cbor:"Index"`
}

// InstallSnapshot sends the complete state: to a backup that is not in sync, if TargetEpoch
// is Epoch, or to a spare that may become a backup in the next epoch, TargetEpoch.
type InstallSnapshot struct {
	Epoch       uint64 `cbor:"Epoch"`
	TargetEpoch uint64 `cbor:"For"`
	Index       uint64 `cbor:"Index"`
	State       []byte `cbor:"State"`
}

// InstallSnapshotResponse says that the snapshot is synced, and whether its receiver is
// about to leave.
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

// ConfirmResponse answers Confirm for the present epoch only.
type ConfirmResponse struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// RoleLeaseRequest asks a voter for the lease of a singleton role.
type RoleLeaseRequest struct {
	Role    string                 `cbor:"Duty"`
	Request statemachine.RequestID `cbor:"Request"`
}

// RoleLeaseResponse grants the lease, or names its present holder.
type RoleLeaseResponse struct {
	Role    string                 `cbor:"Duty"`
	Request statemachine.RequestID `cbor:"Request"`
	Granted bool                   `cbor:"Given"`
	Holder  string                 `cbor:"Holder"`
}

// Leave comes from a controller that shuts down, and asks to be taken out of the voters.
type Leave struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// LeaveResponse comes from a voter whose disk holds the record of the epoch, in which the
// leaver is no voter; or, with Irreplaceable, from the primary: nobody can replace the leaver.
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
