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
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Spans of the watch bill. The lease is the longest wait in a takeover.
const (
	LeaseLength   = 1800 * time.Millisecond
	renewEvery    = 300 * time.Millisecond
	lostAfter     = 1200 * time.Millisecond
	helloEvery    = 300 * time.Millisecond
	retryEvery    = 400 * time.Millisecond
	waitMargin    = 5 * time.Millisecond
	confirmLimit  = time.Second
	partAfter     = 2 * time.Second
	tellFor       = time.Second
	frameLogLimit = 4 << 20
)

// Ledger is the control state that is copied. Apply and Restore are
// deterministic.
type Ledger interface {
	Apply(now time.Time, command []byte)
	Frame() []byte
	Restore(state []byte) error
}

// Settings are a controller's own settings. With a Count, so many controllers found; without,
// the controllers at the addresses of the seeds do, where they are told Founding.
// Tolerance is how many controllers may be lost at a time. NewDisk names the disk if
// it is blank. Life names this run of the process.
type Settings struct {
	Self      Controller
	Count     int
	Seeds     []string
	Founding  bool
	Tolerance int
	NewDisk   string
	Life      statemachine.Life
}

// Outcome of a submitted command or a confirmation.
type Outcome int

// The outcomes: it lasts; it surely did not happen; nobody can tell yet.
const (
	Committed Outcome = iota
	Refused
	Unsettled
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

type duty struct {
	holder string
	until  time.Time
}

// Watch is the state machine.
type Watch struct {
	settings Settings
	ledger   Ledger
	durable  Durable
	index    uint64
	frames   map[string]*spareFrame
	blank    bool
	timers   *statemachine.Timers

	token     uint64
	synced    map[uint64]continuation
	logBytes  int
	diskIndex uint64
	restoring int

	diskComplete uint64
	passedOver   []string
	forgetful    time.Time
	met          map[string]meeting
	heardOf      map[string]bool
	told         Record
	turn         int
	recalling    statemachine.RequestID
	recalls      map[string]Durable
	grantedUntil time.Time
	grantedTo    string
	// grantedFor is the renewal that the lease was granted for last.
	grantedFor  statemachine.RequestID
	actingSince time.Time

	requests     statemachine.Requests
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
	duties      map[string]duty
	leases      map[string]*Lease
}

// New makes a watch from what its disk held.
func New(settings Settings, ledger Ledger, frame []byte, entries [][]byte) (*Watch, error) {
	watch := &Watch{
		settings: settings, ledger: ledger, requests: statemachine.NewRequests(settings.Life), timers: statemachine.NewTimers(),
		synced: map[uint64]continuation{}, met: map[string]meeting{}, heardOf: map[string]bool{}, recalls: map[string]Durable{},
		renewals: map[uint64]time.Time{}, grants: map[uint64]map[string]bool{},
		frames: map[string]*spareFrame{}, copies: map[string]*copied{}, spares: map[string]*asked{},
		lastGrant: map[string]time.Time{}, confirms: map[uint64]confirmation{}, duties: map[string]duty{}, leases: map[string]*Lease{},
	}
	if len(frame) > 0 {
		var held diskFrame
		if err := transport.Unmarshal(frame, &held); err != nil {
			return nil, err
		}
		watch.durable, watch.index = held.Durable, held.Index
		for _, spare := range held.Spares {
			watch.frames[spare.From] = &spare
		}
		if len(held.State) > 0 {
			if err := ledger.Restore(held.State); err != nil {
				return nil, err
			}
		}
	}
	for _, packed := range entries {
		var entry diskEntry
		if err := transport.Unmarshal(packed, &entry); err != nil {
			return nil, err
		}
		switch {
		case entry.Durable != nil:
			watch.durable = *entry.Durable
		case entry.Spare != nil:
			watch.frames[entry.Spare.From] = entry.Spare
		case entry.State != nil:
			if err := ledger.Restore(entry.State); err != nil {
				return nil, err
			}
			watch.index = entry.Index
		case entry.Index == watch.index+1:
			ledger.Apply(time.Time{}, entry.Command)
			watch.index = entry.Index
		}
	}
	watch.diskIndex, watch.diskComplete = watch.index, watch.durable.Complete
	watch.blank = watch.durable.Record.Epoch == 0
	if watch.blank && watch.durable.Disk == "" {
		watch.durable.Disk = settings.NewDisk
	}
	watch.told = watch.durable.Record
	watch.watchCopies(time.Time{})
	return watch, nil
}

// Record is the newest decided epoch this controller knows.
func (w *Watch) Record() Record { return w.durable.Record }

// Index is how many commands the state holds.
func (w *Watch) Index() uint64 { return w.index }

// Blank tells whether no epoch is known yet.
func (w *Watch) Blank() bool { return w.blank }

// Complete is the epoch for which this controller's state is known to be whole.
func (w *Watch) Complete() uint64 { return w.durable.Complete }

// Known lists the controllers met so far, and the voters.
func (w *Watch) Known() []Controller {
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
func (w *Watch) Primary() (Controller, bool) {
	return w.durable.Record.Find(w.durable.Record.Primary)
}

// IsPrimary tells whether this controller is the recorded primary.
func (w *Watch) IsPrimary() bool {
	return w.durable.Record.Primary == w.settings.Self.Name && w.member()
}

func (w *Watch) isBackup() bool {
	return slices.Contains(w.durable.Record.Backups, w.settings.Self.Name) && w.member()
}

// HoldsLease tells whether this controller may act as primary at this moment.
func (w *Watch) HoldsLease(now time.Time) bool {
	return w.IsPrimary() && (now.Before(w.leaseUntil) || statemachine.Mutated("lease-for-ever")) && w.durable.Complete == w.durable.Record.Epoch
}

// Serving tells whether it may also answer: its backups are level and alive.
func (w *Watch) Serving(now time.Time) bool {
	if statemachine.Mutated("lease-for-ever") {
		return w.HoldsLease(now)
	}
	if !w.HoldsLease(now) || !w.level() || w.replacing || w.frozen() {
		return false
	}
	lost, _ := w.failing(now)
	return len(lost) == 0
}

// Speaking tells whether what this controller's state holds was acknowledged by all
// copies, so that it may be told on even while a backup is being replaced.
func (w *Watch) Speaking(now time.Time) bool {
	return w.HoldsLease(now) && w.whole
}

// LeaseLeft is how long the lease still runs.
func (w *Watch) LeaseLeft(now time.Time) time.Duration {
	if !w.HoldsLease(now) {
		return 0
	}
	return w.leaseUntil.Sub(now)
}

// NextDue is when the watch wants to run again.
func (w *Watch) NextDue() time.Time { return w.timers.Next() }

// Start begins the watch; a controller that was restarted waits out a whole lease
// before it lets anybody but the primary have an epoch.
func (w *Watch) Start(now time.Time, effects *statemachine.Effects) {
	w.grantedUntil, w.grantedTo = now.Add(LeaseLength), w.durable.Record.Primary
	w.forgetful = now.Add(LeaseLength)
	w.primaryHeard, w.decidedAt, w.actingSince = now, now, now
	w.watchCopies(now)
	w.enlist(effects)
	w.timers.Arm("hello", now)
	w.timers.Arm("renew", now)
}

// Persistence.

func (w *Watch) write(effects *statemachine.Effects, entry diskEntry, then continuation) {
	w.token++
	w.synced[w.token] = then
	packed := transport.MustMarshal(entry)
	w.logBytes += len(packed)
	effects.Writes = append(effects.Writes, statemachine.Write{Token: w.token, Entries: [][]byte{packed}})
}

func (w *Watch) saveDurable(effects *statemachine.Effects, then continuation) {
	copied := w.durable
	w.write(effects, diskEntry{Durable: &copied}, func(now time.Time, effects *statemachine.Effects) {
		w.diskComplete = copied.Complete
		if then != nil {
			then(now, effects)
		}
	})
}

// writeState puts the whole state on the disk. No command is put after it before
// it is there.
func (w *Watch) writeState(state []byte, effects *statemachine.Effects) {
	index := w.index
	w.restoring++
	w.write(effects, diskEntry{Index: index, State: state}, func(time.Time, *statemachine.Effects) {
		w.restoring--
		w.diskIndex = index
	})
}

// Synced goes on with what waited for the disk.
func (w *Watch) Synced(now time.Time, token uint64, effects *statemachine.Effects) {
	then, found := w.synced[token]
	if !found {
		return
	}
	delete(w.synced, token)
	if then != nil {
		then(now, effects)
	}
	if w.logBytes > frameLogLimit && len(w.synced) == 0 && len(w.queue) == 0 {
		w.logBytes = 0
		w.token++
		w.synced[w.token] = nil
		effects.Writes = append(effects.Writes, statemachine.Write{Token: w.token, Frame: transport.MustMarshal(diskFrame{
			Durable: w.durable, Index: w.index, State: w.ledger.Frame(), Spares: w.heldFrames(),
		})})
	}
}

func (w *Watch) heldFrames() []spareFrame {
	var held []spareFrame
	for _, frame := range statemachine.Sorted(w.frames) {
		held = append(held, *frame)
	}
	return held
}

// Due runs the timers that expired.
func (w *Watch) Due(now time.Time, effects *statemachine.Effects) {
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
		case "limits":
			w.limits(now, effects)
		}
	}
}

// Deciding an epoch.

func (w *Watch) begin(now time.Time, own Record, effects *statemachine.Effects) {
	w.ballotCount = max(w.ballotCount, w.durable.Promised.Count) + 1
	w.trying = &attempt{
		ballot: Ballot{Count: w.ballotCount, Name: w.settings.Self.Name}, epoch: own.Epoch, own: own,
		promises: map[string]Promise{}, accepts: map[string]bool{}, phase: 1,
	}
	// Armed first: its own answer may already tell a better moment.
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(w.settings.Self.Name))
	_, _ = sum.Write([]byte{byte(w.ballotCount)})
	w.timers.Arm("retry", now.Add(retryEvery+time.Duration(sum.Sum32()%300)*time.Millisecond))
	prepare := Prepare{Epoch: own.Epoch, Ballot: w.trying.ballot}
	for _, controller := range w.deciders(own) {
		w.reply(now, controller.Address, prepare, effects)
	}
}

// deciders are those whose majority decides what a record says: the voters
// before it, or for the first epoch its own.
func (w *Watch) deciders(record Record) []Controller {
	if record.Epoch == 1 {
		return record.Voters
	}
	return w.durable.Record.Voters
}

// enough tells whether so many of a voters agreed, by their addresses. The first
// epoch needs all.
func enough[Kind any](epoch uint64, voters []Controller, agreed map[string]Kind) bool {
	count := 0
	for _, controller := range voters {
		if _, found := agreed[controller.Address]; found {
			count++
		}
	}
	return count > len(voters)/2 && (epoch > 1 || count == len(voters))
}

func (w *Watch) nameOf(address string, voters []Controller) string {
	for _, controller := range voters {
		if controller.Address == address {
			return controller.Name
		}
	}
	return ""
}

func (w *Watch) onPrepare(now time.Time, from string, prepare Prepare, effects *statemachine.Effects) {
	if prepare.Epoch <= w.durable.Record.Epoch {
		w.reply(now, from, Decided{Record: w.durable.Record}, effects)
		return
	}
	if prepare.Epoch != w.durable.Record.Epoch+1 || (w.blank && prepare.Epoch != 1) {
		w.askRecord(from, effects)
		return
	}
	if prepare.Epoch > 1 && (!w.member() || w.nameOf(from, w.durable.Record.Voters) == "" || w.unsure(now)) {
		return
	}
	refusal := Promise{Epoch: prepare.Epoch, Ballot: prepare.Ballot, Promised: w.durable.Promised}
	if !w.durable.Promised.Before(prepare.Ballot) {
		w.reply(now, from, refusal, effects)
		return
	}
	if prepare.Epoch > 1 && prepare.Ballot.Name != w.durable.Record.Primary && now.Before(w.grantedUntil) {
		refusal.Wait = w.grantedUntil.Sub(now)
		w.reply(now, from, refusal, effects)
		return
	}
	w.durable.Promised = prepare.Ballot
	given := Promise{
		Epoch: prepare.Epoch, Ballot: prepare.Ballot, Given: true,
		AcceptedBallot: w.durable.AcceptedBallot, Accepted: w.durable.Accepted,
	}
	w.saveDurable(effects, func(now time.Time, effects *statemachine.Effects) {
		w.reply(now, from, given, effects)
	})
}

// reply sends an answer, or takes it at once where a controller asked itself.
func (w *Watch) reply(now time.Time, to string, message any, effects *statemachine.Effects) {
	if to != w.settings.Self.Address {
		effects.Send(to, message)
		return
	}
	w.Message(now, statemachine.Meta{From: to}, message, effects)
}

func (w *Watch) askRecord(from string, effects *statemachine.Effects) {
	effects.Send(from, w.greeting())
}

func (w *Watch) onPromise(now time.Time, from string, promise Promise, effects *statemachine.Effects) {
	trying := w.trying
	if trying == nil || trying.phase != 1 || promise.Ballot != trying.ballot || promise.Epoch != trying.epoch {
		return
	}
	if !promise.Given {
		w.ballotCount = max(w.ballotCount, promise.Promised.Count)
		if promise.Wait > 0 {
			w.timers.Arm("retry", now.Add(promise.Wait+waitMargin))
		}
		return
	}
	trying.promises[from] = promise
	if !enough(trying.epoch, w.deciders(trying.own), trying.promises) {
		return
	}
	trying.phase = 2
	trying.value = trying.own
	best := Ballot{}
	for _, held := range statemachine.Sorted(trying.promises) {
		if held.Accepted.Epoch == trying.epoch && best.Before(held.AcceptedBallot) {
			best, trying.value = held.AcceptedBallot, held.Accepted
		}
	}
	// Its own disk takes the record first: see frozen.
	w.onAccept(now, w.settings.Self.Address, Accept{Epoch: trying.epoch, Ballot: trying.ballot, Record: trying.value}, effects)
}

// concerned are the addresses of all that a next record concerns: the present
// voters and the next one.
func (w *Watch) concerned(record Record) map[string]bool {
	addresses := map[string]bool{}
	for _, controller := range append(slices.Clone(w.durable.Record.Voters), record.Voters...) {
		addresses[controller.Address] = true
	}
	return addresses
}

// unsure tells whether this controller, which has learned from the others what its
// lost disk held, may still have granted something that they don't know of.
func (w *Watch) unsure(now time.Time) bool {
	return w.durable.Recalled && now.Before(w.forgetful)
}

// mayAccept tells whether this controller has a say on a next record: it is in the
// present voters, or comes into the next one with the disk that it has.
func (w *Watch) mayAccept(now time.Time, record Record) bool {
	entry, listed := record.Entry(w.settings.Self)
	if record.Epoch == 1 {
		addresses := []string{}
		for _, controller := range record.Voters {
			addresses = append(addresses, controller.Address)
		}
		return listed && (len(w.durable.Founders) == 0 || slices.Equal(w.durable.Founders, slices.Sorted(slices.Values(addresses))))
	}
	if w.member() {
		return !w.unsure(now)
	}
	return !w.blank && listed && entry.Disk == w.durable.Disk
}

func (w *Watch) onAccept(now time.Time, from string, accept Accept, effects *statemachine.Effects) {
	if accept.Epoch <= w.durable.Record.Epoch {
		w.reply(now, from, Decided{Record: w.durable.Record}, effects)
		return
	}
	if accept.Epoch != w.durable.Record.Epoch+1 {
		w.askRecord(from, effects)
		return
	}
	if accept.Ballot.Before(w.durable.Promised) || !w.mayAccept(now, accept.Record) {
		return
	}
	w.durable.Promised = accept.Ballot
	w.durable.AcceptedBallot, w.durable.Accepted = accept.Ballot, accept.Record
	taken := Accepted{Epoch: accept.Epoch, Ballot: accept.Ballot, Taken: true}
	w.saveDurable(effects, func(now time.Time, effects *statemachine.Effects) {
		w.reply(now, from, taken, effects)
	})
}

func (w *Watch) onAccepted(now time.Time, from string, accepted Accepted, effects *statemachine.Effects) {
	trying := w.trying
	if trying == nil || trying.phase != 2 || accepted.Ballot != trying.ballot || accepted.Epoch != trying.epoch {
		return
	}
	if len(trying.accepts) == 0 && from == w.settings.Self.Address {
		for address := range statemachine.Sorted(w.concerned(trying.value)) {
			if address != from {
				effects.Send(address, Accept{Epoch: trying.epoch, Ballot: trying.ballot, Record: trying.value})
			}
		}
	}
	trying.accepts[from] = true
	record := trying.value
	if !enough(trying.epoch, w.deciders(record), trying.accepts) || !enough(trying.epoch, record.Voters, trying.accepts) {
		return
	}
	w.trying = nil
	tell := w.concerned(record)
	for _, standby := range w.Standbys(now) {
		tell[standby.Address] = true
	}
	delete(tell, w.settings.Self.Address)
	for address := range statemachine.Sorted(tell) {
		effects.Send(address, Decided{Record: record})
	}
	w.learn(now, record, effects)
}

// learn takes a decided record that is newer than the present one.
func (w *Watch) learn(now time.Time, record Record, effects *statemachine.Effects) {
	if record.Epoch > w.told.Epoch {
		w.told = record
	}
	if record.Epoch <= w.durable.Record.Epoch {
		return
	}
	entry, listed := record.Entry(w.settings.Self)
	if listed && !w.mayEnter(record, entry) {
		if !w.blank {
			w.forget(now)
		}
		return
	}
	earlier := w.durable
	self := w.settings.Self.Name
	complete := uint64(0)
	switch {
	case !listed:
		if w.blank || w.member() {
			effects.Note(logevent.StandsBy, "epoch", record.Epoch, "primary", record.Primary)
		}
	case record.Epoch == 1:
		complete = 1
	case record.Primary != self && !slices.Contains(record.Backups, self):
	case record.Primary != self && w.frames[record.Primary] != nil && w.frames[record.Primary].For == record.Epoch:
		spare := w.frames[record.Primary]
		if err := w.ledger.Restore(spare.State); err == nil {
			w.index = spare.Index
			complete = record.Epoch
			w.writeState(spare.State, effects)
		}
	case record.Epoch == earlier.Record.Epoch+1 && earlier.Complete == earlier.Record.Epoch && earlier.Record.Epoch > 0 &&
		(earlier.Record.Primary == self || slices.Contains(earlier.Record.Backups, self)):
		complete = record.Epoch
	}
	if record.Epoch > 1 && !slices.Equal(earlier.Record.Voters, record.Voters) {
		w.noteVoters(earlier.Record, record, effects)
	}
	if !statemachine.Mutated("no-hold-back") {
		w.holdBack(now, earlier.Record, record)
	}
	w.durable = Durable{Disk: earlier.Disk, Record: record, Complete: complete}
	w.blank = false
	w.frames = map[string]*spareFrame{}
	w.trying = nil
	// Whoever begins an epoch has readied its backups, or they were level before.
	w.whole = record.Epoch == 1 || record.Primary == self && complete == record.Epoch && (w.whole || earlier.Record.Primary != self)
	w.takingOver, w.replacing, w.gathered, w.yielded = false, false, false, false
	w.spares, w.passedOver, w.keep, w.leave = map[string]*asked{}, nil, nil, nil
	w.watchCopies(now)
	w.decidedAt = now
	if record.Primary != earlier.Record.Primary {
		w.primaryHeard, w.actingSince = now, now
	}
	w.renewals, w.grants = map[uint64]time.Time{}, map[uint64]map[string]bool{}
	w.timers.Disarm("retry")
	if record.Epoch == 1 {
		effects.Note(logevent.Founded, "primary", record.Primary, "backups", record.Backups)
	}
	effects.Note(logevent.EpochDecided, "epoch", record.Epoch, "primary", record.Primary, "backups", record.Backups, "complete", complete)
	w.saveDurable(effects, func(_ time.Time, effects *statemachine.Effects) {
		// The primary need not ask how far this copy reaches.
		if primary, _ := w.Primary(); w.isBackup() && complete > 0 && w.durable.Record.Epoch == record.Epoch {
			effects.Send(primary.Address, Grant{Epoch: record.Epoch, Index: w.diskIndex, Complete: w.diskComplete})
		}
	})
	if !w.IsPrimary() {
		w.leaseUntil = time.Time{}
		w.dropQueue(now, effects)
	} else {
		if len(w.queue) > 0 && w.queue[0].synced {
			w.queue[0].begun = now
			w.timers.ArmSooner("follow", now.Add(slowAfter))
		}
		w.resumeQueue(now, effects)
		w.timers.Arm("renew", now)
	}
}

// holdBack sees to it that this controller lets nobody but the primary have the next
// epoch while lease that others granted may still run: a new voters's members
// have not granted it themselves.
func (w *Watch) holdBack(now time.Time, earlier, record Record) {
	if record.Epoch == 1 || !now.Before(w.grantedUntil) || w.grantedTo == record.Primary {
		w.grantedTo = record.Primary
	}
	if record.Epoch == 1 || slices.Equal(earlier.Voters, record.Voters) {
		return
	}
	w.grantedUntil = now.Add(LeaseLength)
	if _, listed := earlier.Entry(w.settings.Self); !listed {
		w.forgetful = now.Add(LeaseLength)
	}
}

func (w *Watch) dropQueue(now time.Time, effects *statemachine.Effects) {
	queue := w.queue
	w.queue = nil
	for _, waiting := range queue {
		waiting.done(now, effects, Unsettled)
	}
	confirms := w.confirms
	w.confirms = map[uint64]confirmation{}
	for _, waiting := range statemachine.Sorted(confirms) {
		waiting.done(now, effects, Unsettled)
	}
}

// retry starts an attempt over after it got stuck, or gives it up.
func (w *Watch) retry(now time.Time, effects *statemachine.Effects) {
	if w.trying == nil {
		return
	}
	own := w.trying.own
	if own.Epoch <= w.durable.Record.Epoch {
		w.trying = nil
		return
	}
	w.trying = nil
	if w.blank {
		return
	}
	if (w.takingOver || w.replacing) && slices.Equal(own.Voters, w.durable.Record.Voters) {
		w.begin(now, own, effects)
	}
}

// Lease.

func (w *Watch) renew(now time.Time, effects *statemachine.Effects) {
	w.timers.Arm("renew", now.Add(renewEvery))
	if w.blank {
		return
	}
	if w.IsPrimary() && w.durable.Complete == w.durable.Record.Epoch {
		w.watchLease(now, effects)
		if len(w.queue) > 0 && w.queue[0].index > 0 && !w.queue[0].synced && now.Sub(w.queue[0].begun) > ownSlow && !statemachine.Mutated("patient-primary") {
			if !w.yielded {
				w.Yield(now, effects)
			}
			return
		}
		w.yielded = false
		renew := Renew{Epoch: w.durable.Record.Epoch, Request: w.requests.Next()}
		number := renew.Request.Number
		w.renewals[number] = now
		w.grants[number] = map[string]bool{}
		delete(w.renewals, number-16)
		delete(w.grants, number-16)
		if now.Sub(w.decidedAt) < tellFor {
			renew.Record = w.durable.Record
		}
		for _, controller := range w.durable.Record.Voters {
			if !controller.At(w.settings.Self) {
				effects.Send(controller.Address, renew)
			}
		}
		w.grantOwn(now, number, effects)
		w.follow(now, effects)
		w.watchVoters(now, effects)
		return
	}
	w.follow(now, effects)
}

// grantOwn counts the primary's own vote, unless it has promised a ballot away.
func (w *Watch) grantOwn(now time.Time, number uint64, effects *statemachine.Effects) {
	if !w.mayGrant(now) {
		return
	}
	w.grantedUntil, w.grantedTo = now.Add(LeaseLength), w.durable.Record.Primary
	w.countGrant(now, w.settings.Self.Name, number, effects)
}

func (w *Watch) promisedAway() bool {
	promised := w.durable.Promised
	return promised.Count > 0 && promised.Name != w.durable.Record.Primary
}

func (w *Watch) countGrant(now time.Time, name string, number uint64, effects *statemachine.Effects) {
	asked, found := w.renewals[number]
	if !found {
		return
	}
	w.grants[number][name] = true
	if len(w.grants[number]) < w.durable.Record.Majority() {
		return
	}
	until := asked.Add(LeaseLength * 9 / 10)
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
	if !w.leaseHeld && now.Before(w.leaseUntil) {
		w.leaseHeld = true
		effects.Note(logevent.LeaseGained, "epoch", w.durable.Record.Epoch)
	}
}

func (w *Watch) watchLease(now time.Time, effects *statemachine.Effects) {
	if now.Before(w.leaseUntil) {
		return
	}
	if w.leaseHeld {
		w.leaseHeld = false
		effects.Note(logevent.LeaseLost, "epoch", w.durable.Record.Epoch)
	}
	// Witnesses that promised a ballot away grant nothing more in this epoch;
	// if that candidate is gone, the primary asks for the next epoch itself.
	since := w.leaseUntil
	if since.Before(w.actingSince) {
		since = w.actingSince
	}
	if w.yielded || now.Sub(since) < lostAfter || w.trying != nil || w.gathered {
		return
	}
	if lost, _ := w.failing(now); len(lost) == 0 {
		record := w.durable.Record
		record.Epoch++
		w.replacing, w.gathered = true, true
		w.begin(now, record, effects)
	}
}

func (w *Watch) onRenew(now time.Time, from string, renew Renew, effects *statemachine.Effects) {
	w.learn(now, renew.Record, effects)
	record := w.durable.Record
	if w.blank || renew.Epoch < record.Epoch {
		if !w.blank {
			effects.Send(from, Decided{Record: record})
		}
		return
	}
	if renew.Epoch > record.Epoch {
		w.askRecord(from, effects)
		return
	}
	if w.nameOf(from, record.Voters) != record.Primary || !w.mayGrant(now) {
		return
	}
	if w.standDown(); w.takingOver {
		return
	}
	w.primaryHeard = now
	w.grantedUntil, w.grantedTo, w.grantedFor = now.Add(LeaseLength), record.Primary, renew.Request
	effects.Send(from, Grant{Epoch: renew.Epoch, Request: renew.Request, Index: w.diskIndex, Complete: w.diskComplete})
}

// gives tells whether it gives the lease back that was granted for a renewal: one
// of the same life, and none that was asked for later.
func (y Yield) gives(granted statemachine.RequestID) bool {
	if statemachine.Mutated("lives-alike") {
		return true
	}
	return y.Request.Life == granted.Life && y.Request.Number >= granted.Number
}

// Yield gives the lease back, so that a backup need not wait for its end.
func (w *Watch) Yield(now time.Time, effects *statemachine.Effects) {
	if !w.IsPrimary() {
		return
	}
	w.yielded = true
	w.leaseUntil = time.Time{}
	w.renewals, w.grants = map[uint64]time.Time{}, map[uint64]map[string]bool{}
	effects.Note(logevent.LeaseYielded, "epoch", w.durable.Record.Epoch)
	for _, controller := range w.durable.Record.Voters {
		if !controller.At(w.settings.Self) {
			effects.Send(controller.Address, Yield{Epoch: w.durable.Record.Epoch, Request: w.requests.Last()})
		}
	}
}

func (w *Watch) onYield(now time.Time, from string, yield Yield, effects *statemachine.Effects) {
	record := w.durable.Record
	if yield.Epoch != record.Epoch || !w.member() || w.nameOf(from, record.Voters) != record.Primary || w.grantedTo != record.Primary {
		return
	}
	if !yield.gives(w.grantedFor) {
		return
	}
	w.grantedUntil = now
	w.primaryHeard = now.Add(-lostAfter)
	w.follow(now, effects)
}

func (w *Watch) onGrant(now time.Time, from string, grant Grant, effects *statemachine.Effects) {
	record := w.durable.Record
	if !w.IsPrimary() || grant.Epoch != record.Epoch {
		return
	}
	name := w.nameOf(from, record.Voters)
	if name == "" {
		return
	}
	if grant.Request.Named() {
		number, own := w.requests.Own(grant.Request)
		if !own {
			return
		}
		w.lastGrant[name] = now
		w.countGrant(now, name, number, effects)
	}
	if slices.Contains(record.Backups, name) {
		w.onGrantOfBackup(now, from, name, grant, effects)
	}
}

// limits gives up on what waited too long; a command that may already be on a
// disk is unsettled, one that was never begun is refused.
func (w *Watch) limits(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for number, waiting := range statemachine.Sorted(w.confirms) {
		if !waiting.limit.After(now) {
			delete(w.confirms, number)
			waiting.done(now, effects, Unsettled)
		} else if next.IsZero() || waiting.limit.Before(next) {
			next = waiting.limit
		}
	}
	var kept []*submitted
	for position, waiting := range w.queue {
		if waiting.limit.IsZero() || waiting.limit.After(now) {
			kept = append(kept, waiting)
			if !waiting.limit.IsZero() && (next.IsZero() || waiting.limit.Before(next)) {
				next = waiting.limit
			}
			continue
		}
		if position == 0 && waiting.index > 0 {
			// It stays at the head until it settles, but its caller is told.
			waiting.done(now, effects, Unsettled)
			waiting.done = func(time.Time, *statemachine.Effects, Outcome) {}
			waiting.limit = time.Time{}
			kept = append(kept, waiting)
			continue
		}
		waiting.done(now, effects, Refused)
	}
	w.queue = kept
	if !next.IsZero() {
		w.timers.Arm("limits", next)
	}
}

// Duties.

func (w *Watch) onDutyAsk(now time.Time, from string, ask DutyAsk, effects *statemachine.Effects) {
	name := w.nameOf(from, w.durable.Record.Voters)
	if !w.member() || name == "" || w.acceptedAway() {
		return
	}
	held := w.duties[ask.Duty]
	// A witness that was restarted has forgotten whom it granted a duty to, and
	// one that came into the voters does not know whom others did.
	if now.Before(w.forgetful) || held.holder != name && now.Before(held.until) {
		w.reply(now, from, DutyResponse{Duty: ask.Duty, Request: ask.Request, Holder: held.holder}, effects)
		return
	}
	w.duties[ask.Duty] = duty{holder: name, until: now.Add(LeaseLength)}
	w.reply(now, from, DutyResponse{Duty: ask.Duty, Request: ask.Request, Given: true, Holder: name}, effects)
}

// AskDuty asks the voters for a duty's lease; the answers go to Lease.
func (w *Watch) AskDuty(now time.Time, lease *Lease, effects *statemachine.Effects) {
	if !w.member() {
		return
	}
	ask := lease.ask(now, w.requests.Next(), w.durable.Record.Majority())
	for _, controller := range w.durable.Record.Voters {
		if controller.Name == w.settings.Self.Name {
			w.onDutyAsk(now, controller.Address, ask, effects)
		} else {
			effects.Send(controller.Address, ask)
		}
	}
}

// Message takes what other controllers say; it tells whether it was for the watch.
func (w *Watch) Message(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) bool {
	switch body := message.(type) {
	case Hello:
		w.onHello(now, meta.From, body, effects)
	case RecallAsk:
		if !w.blank {
			effects.Send(meta.From, RecallResponse{Request: body.Request, Durable: w.durable})
		}
	case RecallResponse:
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
	case Renew:
		w.onRenew(now, meta.From, body, effects)
	case Grant:
		w.onGrant(now, meta.From, body, effects)
	case Yield:
		w.onYield(now, meta.From, body, effects)
	case Append:
		w.onAppend(now, meta.From, body, effects)
	case AppendResponse:
		w.onAppendResponse(now, meta.From, body, effects)
	case Frame:
		w.onFrame(now, meta.From, body, effects)
	case FrameResponse:
		w.onFrameResponse(now, meta.From, body, effects)
	case Confirm:
		w.onConfirm(now, meta.From, body, effects)
	case ConfirmResponse:
		w.onConfirmResponse(now, meta.From, body, effects)
	case DutyAsk:
		w.onDutyAsk(now, meta.From, body, effects)
	case DutyResponse:
		if lease, found := w.leases[body.Duty]; found && body.Given {
			lease.given(w.nameOf(meta.From, w.durable.Record.Voters), body.Request)
		}
	default:
		return false
	}
	return true
}
