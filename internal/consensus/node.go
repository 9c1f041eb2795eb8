package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// StateMachine is the replicated state. Apply and Restore must be deterministic.
type StateMachine interface {
	// Apply applies a command to the state.
	Apply(now time.Time, command []byte)
	// Snapshot encodes the state.
	Snapshot() []byte
	// Restore replaces the state with an encoded one.
	Restore(state []byte) error
}

// Settings configure a Node.
type Settings struct {
	// Self is this controller; its DiskID is ignored.
	Self Controller
	// ClusterSize, if not 0, is the number of controllers that bootstrap the cluster and are its
	// voters. Otherwise the controllers at the addresses of Seeds bootstrap it, if Bootstrap is
	// set at their first start, and Tolerance determines how many voters there should be. Seeds
	// are also the first addresses that a controller contacts to discover others.
	ClusterSize int
	Seeds       []string
	Bootstrap   bool
	// Tolerance is how many controllers may be lost at the same time, with their disks.
	Tolerance int
	// NewDiskID is the ID that a blank disk gets. It must differ from that of any earlier disk.
	NewDiskID string
	// Incarnation identifies this run of the process.
	Incarnation statemachine.Incarnation
}

// Outcome is the result of a submitted command or of a confirmation.
type Outcome int

const (
	// Committed means that the command is durable on all replicas, or that the epoch was
	// confirmed.
	Committed Outcome = iota
	// Rejected means that the command was not and will not be executed, or that this
	// controller may not serve reads.
	Rejected
	// Indeterminate means that the command may or may not be executed, or that no majority
	// confirmed the epoch in time.
	Indeterminate
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Committed:
		return "committed"
	case Rejected:
		return "rejected"
	case Indeterminate:
		return "indeterminate"
	default:
		return "unknown"
	}
}

// Done is called once with the outcome of a command or of a confirmation, on the owner's
// goroutine. It may be called before Submit or Confirm returns.
type Done func(now time.Time, effects *statemachine.Effects, outcome Outcome)

// timer identifies a timer of a Node. Of timers that expire at the same moment the one with the
// lowest value runs first; recorded runs depend on that order.
type timer int

const (
	monitorTimer timer = iota
	helloTimer
	leaveTimer
	deadlineTimer
	renewTimer
	ballotTimer
)

// Node is one controller's state machine for the replication of the control state.
type Node struct {
	settings     Settings
	stateMachine StateMachine
	timers       *statemachine.Timers[timer]
	requests     statemachine.RequestSequence

	// hardState may be ahead of the disk: messages that others may rely on are sent only after
	// the write is synced.
	hardState HardState
	// appliedIndex is the index of the last command that was applied to stateMachine.
	appliedIndex uint64
	// blank is set while this controller knows no epoch: before its first one, and after the
	// loss of its disk until it has recovered. A blank controller votes for the first epoch only.
	blank bool

	storage     storage
	discovery   discovery
	recovery    recovery
	election    election
	voter       voterState
	lease       leaseState
	replication replication
	reconfig    reconfiguration
	departure   departure
	roles       roles
	// confirmations are the pending calls of Confirm by request number.
	confirmations map[uint64]confirmation
}

// New returns a Node with the state that is restored from its disk: a snapshot and the entries
// after it, as they were written. It fails with ErrStoredState if they can't be decoded.
func New(settings Settings, stateMachine StateMachine, snapshot []byte, entries [][]byte) (*Node, error) {
	node := &Node{
		settings:      settings,
		stateMachine:  stateMachine,
		timers:        statemachine.NewTimers[timer](),
		requests:      statemachine.NewRequestSequence(settings.Incarnation),
		storage:       newStorage(),
		discovery:     newDiscovery(),
		recovery:      newRecovery(),
		lease:         newLeaseState(),
		replication:   newReplication(),
		reconfig:      newReconfiguration(),
		departure:     newDeparture(),
		roles:         newRoles(),
		confirmations: map[uint64]confirmation{},
	}
	if err := node.restore(snapshot, entries); err != nil {
		return nil, err
	}
	node.storage.syncedIndex = node.appliedIndex
	node.storage.syncedCompleteEpoch = node.hardState.CompleteEpoch
	node.storage.syncedEpoch = node.hardState.Record.Epoch
	node.blank = node.hardState.Record.Epoch == 0
	if node.blank && node.hardState.DiskID == "" {
		node.hardState.DiskID = settings.NewDiskID
	}
	node.discovery.newestRecord = node.hardState.Record
	node.resetProgress(time.Time{})
	return node, nil
}

// Record returns the record of the newest decided epoch that this controller knows.
func (n *Node) Record() Record { return n.hardState.Record }

// AppliedIndex returns the index of the last command that was applied.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// Blank reports whether this controller knows no epoch: none has been decided yet, or its disk
// was lost and it has not recovered.
func (n *Node) Blank() bool { return n.blank }

// CompleteEpoch returns the epoch as of which this controller's state is known to be complete,
// or 0.
func (n *Node) CompleteEpoch() uint64 { return n.hardState.CompleteEpoch }

// KnownControllers lists the voters or, before the first epoch, this controller and all those
// that sent it a Hello.
func (n *Node) KnownControllers() []Controller {
	if n.hardState.Record.Epoch > 0 {
		return n.hardState.Record.Voters
	}
	controllers := []Controller{n.identity()}
	for _, known := range statemachine.Sorted(n.discovery.peers) {
		controllers = append(controllers, known.hello.Self)
	}
	return controllers
}

// Primary returns the primary of the newest known epoch.
func (n *Node) Primary() (Controller, bool) {
	return n.hardState.Record.VoterNamed(n.hardState.Record.Primary)
}

// IsPrimary reports whether the newest known record names this controller as the primary. A
// primary may not serve without the lease.
func (n *Node) IsPrimary() bool {
	return n.hardState.Record.Primary == n.settings.Self.Name && n.isVoter()
}

func (n *Node) isBackup() bool {
	return slices.Contains(n.hardState.Record.Backups, n.settings.Self.Name) && n.isVoter()
}

// isComplete reports whether this controller's state is complete in the newest known epoch.
func (n *Node) isComplete() bool {
	return n.hardState.CompleteEpoch == n.hardState.Record.Epoch
}

// HoldsLease reports whether this controller may act as the primary at the given time.
func (n *Node) HoldsLease(now time.Time) bool {
	unexpired := now.Before(n.lease.until) || statemachine.Mutated("lease-for-ever")
	return n.IsPrimary() && unexpired && n.isComplete()
}

// Serving reports whether commands can be committed: this controller holds the lease, and all
// backups are in sync and have been in contact within failureTimeout.
func (n *Node) Serving(now time.Time) bool {
	if statemachine.Mutated("lease-for-ever") {
		return n.HoldsLease(now)
	}
	if !n.HoldsLease(now) || !n.backupsInSync() || n.reconfig.replacing || n.epochSealed() {
		return false
	}
	lost, _ := n.failedBackups(now)
	return len(lost) == 0
}

// CanServeReads reports whether this controller may answer reads from its state: it holds the
// lease, and all replicas have everything that its state contains. Reads remain possible while
// a backup is being replaced.
func (n *Node) CanServeReads(now time.Time) bool {
	return n.HoldsLease(now) && n.replication.stateReplicated
}

// LeaseEnd returns when the lease expires. Nothing that depends on the lease may be sent after
// that. The result is valid only if HoldsLease reports true: without a lease it may be the zero
// time, which Effects treat as no deadline.
func (n *Node) LeaseEnd() time.Time {
	if statemachine.Mutated("lease-for-ever") {
		return time.Time{}
	}
	return n.lease.until
}

// SetTolerance applies a tolerance from changed settings. The numbers of voters and backups
// are adjusted in later epochs.
func (n *Node) SetTolerance(tolerance int) { n.settings.Tolerance = tolerance }

// NextTick returns when Tick has to be called.
func (n *Node) NextTick() time.Time { return n.timers.Next() }

// Start starts the Node. It is called once, before any other method. A controller that was
// restarted waits for LeaseDuration before it promises the next epoch to any controller other
// than the primary.
func (n *Node) Start(now time.Time, effects *statemachine.Effects) {
	n.voter.grantedUntil, n.voter.grantedTo = now.Add(LeaseDuration), n.hardState.Record.Primary
	n.voter.uncertainUntil = now.Add(LeaseDuration)
	n.replication.primaryLastContact, n.election.decidedAt, n.lease.primarySince = now, now, now
	n.resetProgress(now)
	n.recordFounders(effects)
	n.timers.Arm(helloTimer, now)
	n.timers.Arm(renewTimer, now)
}

// Tick runs the timers that expired.
func (n *Node) Tick(now time.Time, effects *statemachine.Effects) {
	for _, expired := range n.timers.Expired(now) {
		switch expired {
		case monitorTimer:
			n.monitor(now, effects)
		case helloTimer:
			n.sendHello(now, effects)
		case leaveTimer:
			n.continueLeaving(now, effects)
		case deadlineTimer:
			n.expireDeadlines(now, effects)
		case renewTimer:
			n.renewLease(now, effects)
		case ballotTimer:
			n.retryBallot(now, effects)
		}
	}
}

// HandleMessage handles a message from another controller. It returns false if the message is
// not one of this package.
func (n *Node) HandleMessage(
	now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects,
) bool {
	if n.voterNameAt(meta.From) != "" {
		n.lease.lastContact[meta.From] = now
	}
	return n.handleElectionMessage(now, meta.From, message, effects) ||
		n.handleLeaseMessage(now, meta.From, message, effects) ||
		n.handleReplicationMessage(now, meta.From, message, effects) ||
		n.handleMembershipMessage(now, meta.From, message, effects)
}

func (n *Node) handleElectionMessage(now time.Time, from string, message any, effects *statemachine.Effects) bool {
	switch message := message.(type) {
	case Prepare:
		n.handlePrepare(now, from, message, effects)
	case Promise:
		n.handlePromise(now, from, message, effects)
	case Accept:
		n.handleAccept(now, from, message, effects)
	case Accepted:
		n.handleAccepted(now, from, message, effects)
	case Decided:
		n.learn(now, message.Record, effects)
	default:
		return false
	}
	return true
}

func (n *Node) handleLeaseMessage(now time.Time, from string, message any, effects *statemachine.Effects) bool {
	switch message := message.(type) {
	case RenewLease:
		n.handleRenewLease(now, from, message, effects)
	case LeaseGrant:
		n.handleLeaseGrant(now, from, message, effects)
	case ReleaseLease:
		n.handleReleaseLease(now, from, message, effects)
	case Confirm:
		n.handleConfirm(now, from, message, effects)
	case ConfirmResponse:
		n.handleConfirmResponse(now, from, message, effects)
	case RoleLeaseRequest:
		n.handleRoleLeaseRequest(now, from, message, effects)
	case RoleLeaseResponse:
		n.handleRoleLeaseResponse(from, message)
	default:
		return false
	}
	return true
}

func (n *Node) handleReplicationMessage(now time.Time, from string, message any, effects *statemachine.Effects) bool {
	switch message := message.(type) {
	case Append:
		n.handleAppend(now, from, message, effects)
	case AppendResponse:
		n.handleAppendResponse(now, from, message, effects)
	case InstallSnapshot:
		n.handleInstallSnapshot(from, message, effects)
	case InstallSnapshotResponse:
		n.handleInstallSnapshotResponse(now, from, message, effects)
	default:
		return false
	}
	return true
}

func (n *Node) handleMembershipMessage(now time.Time, from string, message any, effects *statemachine.Effects) bool {
	switch message := message.(type) {
	case Hello:
		n.handleHello(now, from, message, effects)
	case RecoveryRequest:
		n.handleRecoveryRequest(from, message, effects)
	case RecoveryResponse:
		n.handleRecoveryResponse(now, from, message, effects)
	case Leave:
		n.handleLeave(now, from, message, effects)
	case LeaveResponse:
		n.handleLeaveResponse(from, message)
	default:
		return false
	}
	return true
}

// deliver sends a message, or handles it at once if it is addressed to this controller.
func (n *Node) deliver(now time.Time, to string, message any, effects *statemachine.Effects) {
	if to != n.settings.Self.Address {
		effects.Send(to, message)
		return
	}
	n.HandleMessage(now, statemachine.Meta{From: to}, message, effects)
}

// identity returns this controller with the ID of its disk.
func (n *Node) identity() Controller {
	self := n.settings.Self
	self.DiskID = n.hardState.DiskID
	return self
}

// isVoter reports whether this controller is a voter of the newest epoch that it knows, with
// the disk that the record lists.
func (n *Node) isVoter() bool {
	entry, listed := n.hardState.Record.Voter(n.settings.Self)
	return !n.blank && listed && entry.DiskID == n.hardState.DiskID
}

// voterNameAt returns the name of the current voter at an address, or "" if there is none.
func (n *Node) voterNameAt(address string) string {
	return n.hardState.Record.nameAt(address)
}

// otherVoters returns the current voters without this controller.
func (n *Node) otherVoters() []Controller {
	return slices.DeleteFunc(slices.Clone(n.hardState.Record.Voters), func(voter Controller) bool {
		return voter.SameAs(n.settings.Self)
	})
}
