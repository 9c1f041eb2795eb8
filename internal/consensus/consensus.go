// Package consensus decides who is primary of the control state, and replicates it.
//
// A Watch is one controller's part in the control state: epochs, lease, and what it
// keeps on its disk. Each epoch's record is decided once by a majority of the
// voters, by ballots, so that two controllers that ask at the same time can't both
// win; between epochs nothing is agreed by majority: the primary syncs a command,
// its backups sync it, and then it is answered. A witness grants a ballot to
// another than the primary only when the lease that it granted has run out on
// its own clock; the primary counts its lease from when it asked and takes a
// tenth off for clocks that run apart.
package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// Spans of the watch bill. The lease is the longest wait in a takeover.
const (
	LeaseDuration = 1800 * time.Millisecond
	renewEvery    = 300 * time.Millisecond
	lostAfter     = 1200 * time.Millisecond
	helloEvery    = 300 * time.Millisecond
	retryEvery    = 400 * time.Millisecond
	waitMargin    = 5 * time.Millisecond
	confirmLimit  = time.Second
	partAfter     = 2 * time.Second
	tellFor       = time.Second
	// quietFor is how long a primary that hears too few voters asks for no lease, so
	// that another can take over; then it asks again for lostAfter.
	quietFor = 3 * lostAfter
)

// StateMachine is the control state that is copied. Apply and Restore are
// deterministic.
type StateMachine interface {
	Apply(now time.Time, command []byte)
	Snapshot() []byte
	Restore(state []byte) error
}

// Settings are a controller's own settings. With a Count, so many controllers found; without,
// the controllers at the addresses of the seeds do, where they are told Founding.
// Tolerance is how many controllers may be lost at a time. NewDisk names the disk if
// it is blank. Life names this run of the process.
type Settings struct {
	Self        Controller
	ClusterSize int
	Seeds       []string
	Founding    bool
	Tolerance   int
	NewDiskID   string
	Incarnation statemachine.Incarnation
}

// Outcome of a submitted command or a confirmation.
type Outcome int

// The outcomes: it lasts; it surely did not happen; nobody can tell yet.
const (
	Committed Outcome = iota
	Rejected
	Indeterminate
)

type continuation func(now time.Time, effects *statemachine.Effects)

// Done is told the outcome of a command.
type Done func(now time.Time, effects *statemachine.Effects, outcome Outcome)

type submitted struct {
	command []byte
	done    Done
	index   uint64
	synced  bool
	begun   time.Time
	limit   time.Time
}

type confirmation struct {
	done   Done
	limit  time.Time
	givers map[string]bool
}

type attempt struct {
	ballot   Ballot
	epoch    uint64
	own      Record
	value    Record
	promises map[string]Promise
	accepts  map[string]bool
	phase    int
}

// Node is the state machine.
type Node struct {
	settings     Settings
	stateMachine StateMachine
	durable      HardState
	index        uint64
	frames       map[string]*spareFrame
	blank        bool
	timers       *statemachine.Timers[string]

	token  uint64
	synced map[uint64]continuation
	// logBytes is how much follows the newest snapshot, whose size is snapshotBytes.
	logBytes, snapshotBytes int
	diskIndex               uint64
	restoring               int

	diskComplete uint64
	diskEpoch    uint64
	passedOver   []string
	forgetful    time.Time
	met          map[string]meeting
	heardOf      map[string]bool
	told         Record
	turn         int
	recalling    statemachine.RequestID
	recalls      map[string]HardState
	grantedUntil time.Time
	grantedTo    string
	// grantedFor is the renewal that the lease was granted for last.
	grantedFor  statemachine.RequestID
	actingSince time.Time

	requests     statemachine.RequestSequence
	renewals     map[uint64]time.Time
	grants       map[uint64]map[string]bool
	leaseUntil   time.Time
	leaseHeld    bool
	yielded      bool
	copies       map[string]*copied
	whole        bool
	primaryHeard time.Time
	decidedAt    time.Time
	lastGrant    map[string]time.Time
	heardFrom    map[string]time.Time
	quietUntil   time.Time

	queue       []*submitted
	replacing   bool
	takingOver  bool
	gathered    bool
	spares      map[string]*asked
	keep        []string
	leave       []string
	trying      *attempt
	ballotCount uint64
	confirms    map[uint64]confirmation
	leaving     bool
	left        bool
	yieldedAt   time.Time
	releases    map[string]bool
	departs     map[string]time.Time
	duties      map[string]duty
	leases      map[string]*RoleLease
}

// New makes a watch from what its disk held.
func New(settings Settings, stateMachine StateMachine, frame []byte, entries [][]byte) (*Node, error) {
	node := &Node{
		settings: settings, stateMachine: stateMachine, requests: statemachine.NewRequestSequence(settings.Incarnation), timers: statemachine.NewTimers[string](),
		synced: map[uint64]continuation{}, met: map[string]meeting{}, heardOf: map[string]bool{}, recalls: map[string]HardState{},
		renewals: map[uint64]time.Time{}, grants: map[uint64]map[string]bool{},
		frames: map[string]*spareFrame{}, copies: map[string]*copied{}, spares: map[string]*asked{},
		lastGrant: map[string]time.Time{}, heardFrom: map[string]time.Time{}, releases: map[string]bool{}, departs: map[string]time.Time{}, confirms: map[uint64]confirmation{}, duties: map[string]duty{}, leases: map[string]*RoleLease{},
	}
	if err := node.readDisk(frame, entries); err != nil {
		return nil, err
	}
	node.diskIndex, node.diskComplete, node.diskEpoch = node.index, node.durable.CompleteEpoch, node.durable.Record.Epoch
	node.blank = node.durable.Record.Epoch == 0
	if node.blank && node.durable.DiskID == "" {
		node.durable.DiskID = settings.NewDiskID
	}
	node.told = node.durable.Record
	node.watchCopies(time.Time{})
	return node, nil
}

// Record is the newest decided epoch this controller knows.
func (w *Node) Record() Record { return w.durable.Record }

// AppliedIndex is how many commands the state holds.
func (w *Node) AppliedIndex() uint64 { return w.index }

// Blank tells whether no epoch is known yet.
func (w *Node) Blank() bool { return w.blank }

// CompleteEpoch is the epoch for which this controller's state is known to be whole.
func (w *Node) CompleteEpoch() uint64 { return w.durable.CompleteEpoch }

// KnownControllers lists the controllers met so far, and the voters.
func (w *Node) KnownControllers() []Controller {
	if w.durable.Record.Epoch > 0 {
		return w.durable.Record.Voters
	}
	controllers := []Controller{w.self()}
	for _, met := range statemachine.Sorted(w.met) {
		controllers = append(controllers, met.hello.Self)
	}
	return controllers
}

// Primary tells who is primary in the newest known epoch.
func (w *Node) Primary() (Controller, bool) {
	return w.durable.Record.VoterNamed(w.durable.Record.Primary)
}

// IsPrimary tells whether this controller is the recorded primary.
func (w *Node) IsPrimary() bool {
	return w.durable.Record.Primary == w.settings.Self.Name && w.member()
}

func (w *Node) isBackup() bool {
	return slices.Contains(w.durable.Record.Backups, w.settings.Self.Name) && w.member()
}

// HoldsLease tells whether this controller may act as primary at this moment.
func (w *Node) HoldsLease(now time.Time) bool {
	return w.IsPrimary() && (now.Before(w.leaseUntil) || statemachine.Mutated("lease-for-ever")) && w.durable.CompleteEpoch == w.durable.Record.Epoch
}

// Serving tells whether it may also answer: its backups are level and alive.
func (w *Node) Serving(now time.Time) bool {
	if statemachine.Mutated("lease-for-ever") {
		return w.HoldsLease(now)
	}
	if !w.HoldsLease(now) || !w.level() || w.replacing || w.frozen() {
		return false
	}
	lost, _ := w.failing(now)
	return len(lost) == 0
}

// CanServeReads tells whether what this controller's state holds was acknowledged by all
// copies, so that it may be told on even while a backup is being replaced.
func (w *Node) CanServeReads(now time.Time) bool {
	return w.HoldsLease(now) && w.whole
}

// LeaseRemaining is how long the lease still runs.
func (w *Node) LeaseRemaining(now time.Time) time.Duration {
	if !w.HoldsLease(now) {
		return 0
	}
	return w.leaseUntil.Sub(now)
}

// LeaseEnd is the moment after which nothing that rests on the lease may leave;
// it is in the past where the lease is not held.
func (w *Node) LeaseEnd() time.Time {
	if statemachine.Mutated("lease-for-ever") {
		return time.Time{}
	}
	return w.leaseUntil
}

// NextTick is when the watch wants to run again.
func (w *Node) NextTick() time.Time { return w.timers.Next() }

// Start begins the watch; a controller that was restarted waits out a whole lease
// before it lets anybody but the primary have an epoch.
func (w *Node) Start(now time.Time, effects *statemachine.Effects) {
	w.grantedUntil, w.grantedTo = now.Add(LeaseDuration), w.durable.Record.Primary
	w.forgetful = now.Add(LeaseDuration)
	w.primaryHeard, w.decidedAt, w.actingSince = now, now, now
	w.watchCopies(now)
	w.enlist(effects)
	w.timers.Arm("hello", now)
	w.timers.Arm("renew", now)
}

// Tick runs the timers that expired.
func (w *Node) Tick(now time.Time, effects *statemachine.Effects) {
	for _, key := range w.timers.Expired(now) {
		switch key {
		case "hello":
			w.hello(now, effects)
		case "renew":
			w.renew(now, effects)
		case "retry":
			w.retry(now, effects)
		case "follow":
			w.follow(now, effects)
		case "leave":
			w.leaveOn(now, effects)
		case "limits":
			w.limits(now, effects)
		}
	}
}

// HandleMessage takes what other controllers say; it tells whether it was for the watch.
func (w *Node) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) bool {
	if w.nameOf(meta.From, w.durable.Record.Voters) != "" {
		w.heardFrom[meta.From] = now
	}
	switch body := message.(type) {
	case Hello:
		w.onHello(now, meta.From, body, effects)
	case RecoveryRequest:
		if !w.blank {
			effects.Send(meta.From, RecoveryResponse{Request: body.Request, HardState: w.durable})
		}
	case RecoveryResponse:
		w.onRecallResponse(now, meta.From, body, effects)
	case Prepare:
		w.onPrepare(now, meta.From, body, effects)
	case Promise:
		w.onPromise(now, meta.From, body, effects)
	case Accept:
		w.onAccept(now, meta.From, body, effects)
	case Accepted:
		w.onAccepted(now, meta.From, body, effects)
	case Decided:
		w.learn(now, body.Record, effects)
	case RenewLease:
		w.onRenew(now, meta.From, body, effects)
	case LeaseGrant:
		w.onGrant(now, meta.From, body, effects)
	case ReleaseLease:
		w.onYield(now, meta.From, body, effects)
	case Append:
		w.onAppend(now, meta.From, body, effects)
	case AppendResponse:
		w.onAppendResponse(now, meta.From, body, effects)
	case InstallSnapshot:
		w.onFrame(now, meta.From, body, effects)
	case InstallSnapshotResponse:
		w.onFrameResponse(now, meta.From, body, effects)
	case Confirm:
		w.onConfirm(now, meta.From, body, effects)
	case ConfirmResponse:
		w.onConfirmResponse(now, meta.From, body, effects)
	case Leave:
		w.onLeave(now, meta.From, body, effects)
	case LeaveResponse:
		w.onLeaveResponse(meta.From, body)
	case RoleLeaseRequest:
		w.onDutyAsk(now, meta.From, body, effects)
	case RoleLeaseResponse:
		if lease, found := w.leases[body.Role]; found && body.Granted {
			lease.given(w.nameOf(meta.From, w.durable.Record.Voters), body.Request)
		}
	default:
		return false
	}
	return true
}
