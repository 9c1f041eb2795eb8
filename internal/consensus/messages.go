// The words that controllers exchange about epochs, lease and the control state,
// and what each of them keeps on disk.

package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Controller is one coordinator: its name, where it is, and the name of the disk
// that it began with, so that one whose disk was lost is known to be another.
type Controller struct {
	Name    string `cbor:"Name"`
	Address string `cbor:"Address"`
	Zone    string `cbor:"Zone"`
	DiskID  string `cbor:"Disk"`
}

// SameAs tells whether both are the same controller at the same address, whatever disk
// it has.
func (c Controller) SameAs(other Controller) bool {
	return c.Name == other.Name && c.Address == other.Address
}

// Record is an epoch: who is primary, who are its backups, and who may grant.
type Record struct {
	Epoch   uint64       `cbor:"Epoch"`
	Primary string       `cbor:"Primary"`
	Backups []string     `cbor:"Backups"`
	Voters  []Controller `cbor:"Voters"`
}

// VoterNamed gives the voters's entry of a name.
func (r Record) VoterNamed(name string) (Controller, bool) {
	for _, controller := range r.Voters {
		if controller.Name == name {
			return controller, true
		}
	}
	return Controller{}, false
}

// Voter gives the voters's entry of a controller at its address.
func (r Record) Voter(self Controller) (Controller, bool) {
	for _, controller := range r.Voters {
		if controller.SameAs(self) {
			return controller, true
		}
	}
	return Controller{}, false
}

// Majority is how many of the voters must grant.
func (r Record) Majority() int {
	return len(r.Voters)/2 + 1
}

// Ballot orders the attempts to decide one epoch.
type Ballot struct {
	Count uint64 `cbor:"Count"`
	Name  string `cbor:"Name"`
}

// Before orders ballots.
func (b Ballot) Before(other Ballot) bool {
	if b.Count != other.Count {
		return b.Count < other.Count
	}
	return b.Name < other.Name
}

// HardState is what a controller must not forget: the newest decided epoch and its
// part in deciding the next one; the name of its disk; and, from its first start
// until the first epoch, the addresses of the founders that it is one of.
type HardState struct {
	DiskID         string   `cbor:"Disk"`
	Founders       []string `cbor:"Founders"`
	Record         Record   `cbor:"Record"`
	Promised       Ballot   `cbor:"Promised"`
	AcceptedBallot Ballot   `cbor:"AcceptedBallot"`
	Accepted       Record   `cbor:"Accepted"`
	CompleteEpoch  uint64   `cbor:"Complete"`
	Recovered      bool     `cbor:"Recalled"`
}

// Hello lets controllers find each other through the seeds.
type Hello struct {
	Self        Controller   `cbor:"Self"`
	ClusterSize int          `cbor:"Count"`
	Known       []Controller `cbor:"Known"`
	Blank       bool         `cbor:"Blank"`
	Founding    bool         `cbor:"Founding"`
	Record      Record       `cbor:"Record"`
}

// RecoveryRequest comes from a controller whose disk is blank.
type RecoveryRequest struct {
	Request statemachine.RequestID `cbor:"Request"`
}

// RecoveryResponse tells it what one other controller remembers.
type RecoveryResponse struct {
	Request   statemachine.RequestID `cbor:"Request"`
	HardState HardState              `cbor:"Durable"`
}

// Prepare asks for the right to decide an epoch.
type Prepare struct {
	Epoch  uint64 `cbor:"Epoch"`
	Ballot Ballot `cbor:"Ballot"`
}

// Promise answers Prepare.
type Promise struct {
	Epoch          uint64        `cbor:"Epoch"`
	Ballot         Ballot        `cbor:"Ballot"`
	Granted        bool          `cbor:"Given"`
	RetryAfter     time.Duration `cbor:"Wait"`
	Promised       Ballot        `cbor:"Promised"`
	AcceptedBallot Ballot        `cbor:"AcceptedBallot"`
	Accepted       Record        `cbor:"Accepted"`
}

// Accept asks to take a record for an epoch.
type Accept struct {
	Epoch  uint64 `cbor:"Epoch"`
	Ballot Ballot `cbor:"Ballot"`
	Record Record `cbor:"Record"`
}

// Accepted answers Accept.
type Accepted struct {
	Epoch   uint64 `cbor:"Epoch"`
	Ballot  Ballot `cbor:"Ballot"`
	Granted bool   `cbor:"Taken"`
}

// Decided spreads a decided record.
type Decided struct {
	Record Record `cbor:"Record"`
}

// RenewLease asks for more lease; soon after an epoch was decided it tells the record
// too, in case the word of it was lost.
type RenewLease struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
	Record  Record                 `cbor:"Record"`
}

// LeaseGrant gives lease and tells how far the granter's state reaches; without a
// request it only tells.
type LeaseGrant struct {
	Epoch         uint64                 `cbor:"Epoch"`
	Request       statemachine.RequestID `cbor:"Request"`
	Index         uint64                 `cbor:"Index"`
	CompleteEpoch uint64                 `cbor:"Complete"`
}

// ReleaseLease gives the rest of the lease back: the primary is stopping, or its disk
// hangs. Request is the newest renewal that it asked for.
type ReleaseLease struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// Append carries one command from the primary to each backup.
type Append struct {
	Epoch   uint64 `cbor:"Epoch"`
	Index   uint64 `cbor:"Index"`
	Command []byte `cbor:"Command"`
}

// AppendResponse says that the backup has synced it.
type AppendResponse struct {
	Epoch uint64 `cbor:"Epoch"`
	Index uint64 `cbor:"Index"`
}

// InstallSnapshot carries the whole state, either to level a backup at the present epoch
// or to ready a spare for the next.
type InstallSnapshot struct {
	Epoch       uint64 `cbor:"Epoch"`
	TargetEpoch uint64 `cbor:"For"`
	Index       uint64 `cbor:"Index"`
	State       []byte `cbor:"State"`
}

// InstallSnapshotResponse says that the frame is synced, and whether its holder is about to
// leave.
type InstallSnapshotResponse struct {
	Epoch       uint64 `cbor:"Epoch"`
	TargetEpoch uint64 `cbor:"For"`
	Index       uint64 `cbor:"Index"`
	Leaving     bool   `cbor:"Leaving"`
}

// Confirm asks the voters whether the epoch still stands.
type Confirm struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// ConfirmResponse answers for the present epoch only.
type ConfirmResponse struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// RoleLeaseRequest asks a majority for the lease of a single duty.
type RoleLeaseRequest struct {
	Role    string                 `cbor:"Duty"`
	Request statemachine.RequestID `cbor:"Request"`
}

// RoleLeaseResponse grants it or names who holds it.
type RoleLeaseResponse struct {
	Role    string                 `cbor:"Duty"`
	Request statemachine.RequestID `cbor:"Request"`
	Granted bool                   `cbor:"Given"`
	Holder  string                 `cbor:"Holder"`
}

// Leave asks the voters to let a controller go.
type Leave struct {
	Epoch   uint64                 `cbor:"Epoch"`
	Request statemachine.RequestID `cbor:"Request"`
}

// LeaveResponse says that the voters of the epoch, without the asker, last on this
// disk; or that nobody can take its place.
type LeaveResponse struct {
	Epoch         uint64                 `cbor:"Epoch"`
	Request       statemachine.RequestID `cbor:"Request"`
	Irreplaceable bool                   `cbor:"Irreplaceable"`
}

type spareFrame struct {
	From  string `cbor:"From"`
	For   uint64 `cbor:"For"`
	Index uint64 `cbor:"Index"`
	State []byte `cbor:"State"`
}

type diskEntry struct {
	Durable *HardState  `cbor:"Durable"`
	Index   uint64      `cbor:"Index"`
	Command []byte      `cbor:"Command"`
	State   []byte      `cbor:"State"`
	Spare   *spareFrame `cbor:"Spare"`
}

type diskFrame struct {
	Durable HardState    `cbor:"Durable"`
	Index   uint64       `cbor:"Index"`
	State   []byte       `cbor:"State"`
	Spares  []spareFrame `cbor:"Spares"`
	// Pending is the command that was under way when the snapshot was taken.
	Pending *diskEntry `cbor:"Pending"`
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
