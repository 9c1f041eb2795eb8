// A Watch is one pilot's part in the control state: epochs, tenure, and what it
// keeps on its disk. Each epoch's record is decided once by a majority of the
// roster, by ballots, so that two pilots that ask at the same time can't both
// win; between epochs nothing is agreed by majority: the primary syncs a command,
// its backups sync it, and then it is answered. A witness grants a ballot to
// another than the primary only when the tenure that it granted has run out on
// its own clock; the primary counts its tenure from when it asked and takes a
// tenth off for clocks that run apart.
package watchbill

import (
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/flare"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
)

// Spans of the watch bill. The tenure is the longest wait in a takeover.
const (
	TenureLength  = 1800 * time.Millisecond
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

// Props are a pilot's own settings. With a Count, so many pilots found; without,
// the pilots at the addresses of the seeds do, where they are told Founding.
// Tolerance is how many pilots may be lost at a time. NewDisk names the disk if
// it is blank.
type Props struct {
	Self      Pilot
	Count     int
	Seeds     []string
	Founding  bool
	Tolerance int
	NewDisk   string
}

// Outcome of a submitted command or a confirmation.
type Outcome int

// The outcomes: it lasts; it surely did not happen; nobody can tell yet.
const (
	Committed Outcome = iota
	Refused
	Unsettled
)

type continuation func(now time.Time, effects *helm.Effects)

// Done is told the outcome of a command.
type Done func(now time.Time, effects *helm.Effects, outcome Outcome)

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
	props   Props
	ledger  Ledger
	durable Durable
	index   uint64
	frames  map[string]*spareFrame
	blank   bool
	timers  *helm.Timers

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
	recallNonce  uint64
	recalls      map[string]Durable
	grantedUntil time.Time
	grantedTo    string
	actingSince  time.Time

	nonce        uint64
	renewals     map[uint64]time.Time
	grants       map[uint64]map[string]bool
	tenureUntil  time.Time
	tenureHeld   bool
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
	tenures     map[string]*Tenure
}

// New makes a watch from what its disk held.
func New(props Props, ledger Ledger, frame []byte, entries [][]byte) (*Watch, error) {
	watch := &Watch{
		props: props, ledger: ledger, timers: helm.NewTimers(),
		synced: map[uint64]continuation{}, met: map[string]meeting{}, heardOf: map[string]bool{}, recalls: map[string]Durable{},
		renewals: map[uint64]time.Time{}, grants: map[uint64]map[string]bool{},
		frames: map[string]*spareFrame{}, copies: map[string]*copied{}, spares: map[string]*asked{},
		lastGrant: map[string]time.Time{}, confirms: map[uint64]confirmation{}, duties: map[string]duty{}, tenures: map[string]*Tenure{},
	}
	if len(frame) > 0 {
		var held diskFrame
		if fault := flare.Unmarshal(frame, &held); fault != nil {
			return nil, fault
		}
		watch.durable, watch.index = held.Durable, held.Index
		for _, spare := range held.Spares {
			watch.frames[spare.From] = &spare
		}
		if len(held.State) > 0 {
			if fault := ledger.Restore(held.State); fault != nil {
				return nil, fault
			}
		}
	}
	for _, packed := range entries {
		var entry diskEntry
		if fault := flare.Unmarshal(packed, &entry); fault != nil {
			return nil, fault
		}
		switch {
		case entry.Durable != nil:
			watch.durable = *entry.Durable
		case entry.Spare != nil:
			watch.frames[entry.Spare.From] = entry.Spare
		case entry.State != nil:
			if fault := ledger.Restore(entry.State); fault != nil {
				return nil, fault
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
		watch.durable.Disk = props.NewDisk
	}
	watch.told = watch.durable.Record
	watch.watchCopies(time.Time{})
	return watch, nil
}

// Record is the newest decided epoch this pilot knows.
func (watch *Watch) Record() Record { return watch.durable.Record }

// Index is how many commands the state holds.
func (watch *Watch) Index() uint64 { return watch.index }

// Blank tells whether no epoch is known yet.
func (watch *Watch) Blank() bool { return watch.blank }

// Complete is the epoch for which this pilot's state is known to be whole.
func (watch *Watch) Complete() uint64 { return watch.durable.Complete }

// Known lists the pilots met so far, and the roster.
func (watch *Watch) Known() []Pilot {
	if watch.durable.Record.Epoch > 0 {
		return watch.durable.Record.Roster
	}
	pilots := []Pilot{watch.self()}
	for _, met := range helm.Sorted(watch.met) {
		pilots = append(pilots, met.hello.Self)
	}
	return pilots
}

// Primary tells who is primary in the newest known epoch.
func (watch *Watch) Primary() (Pilot, bool) {
	return watch.durable.Record.Find(watch.durable.Record.Primary)
}

// IsPrimary tells whether this pilot is the recorded primary.
func (watch *Watch) IsPrimary() bool {
	return watch.durable.Record.Primary == watch.props.Self.Name && watch.member()
}

func (watch *Watch) isBackup() bool {
	return slices.Contains(watch.durable.Record.Backups, watch.props.Self.Name) && watch.member()
}

// HoldsTenure tells whether this pilot may act as primary at this moment.
func (watch *Watch) HoldsTenure(now time.Time) bool {
	return watch.IsPrimary() && (now.Before(watch.tenureUntil) || helm.Mutated("tenure-for-ever")) && watch.durable.Complete == watch.durable.Record.Epoch
}

// Serving tells whether it may also answer: its backups are level and alive.
func (watch *Watch) Serving(now time.Time) bool {
	if helm.Mutated("tenure-for-ever") {
		return watch.HoldsTenure(now)
	}
	if !watch.HoldsTenure(now) || !watch.level() || watch.replacing || watch.frozen() {
		return false
	}
	lost, _ := watch.failing(now)
	return len(lost) == 0
}

// Speaking tells whether what this pilot's state holds was acknowledged by all
// copies, so that it may be told on even while a backup is being replaced.
func (watch *Watch) Speaking(now time.Time) bool {
	return watch.HoldsTenure(now) && watch.whole
}

// TenureLeft is how long the tenure still runs.
func (watch *Watch) TenureLeft(now time.Time) time.Duration {
	if !watch.HoldsTenure(now) {
		return 0
	}
	return watch.tenureUntil.Sub(now)
}

// NextDue is when the watch wants to run again.
func (watch *Watch) NextDue() time.Time { return watch.timers.Next() }

// Start begins the watch; a pilot that was restarted waits out a whole tenure
// before it lets anybody but the primary have an epoch.
func (watch *Watch) Start(now time.Time, effects *helm.Effects) {
	watch.grantedUntil, watch.grantedTo = now.Add(TenureLength), watch.durable.Record.Primary
	watch.forgetful = now.Add(TenureLength)
	watch.primaryHeard, watch.decidedAt, watch.actingSince = now, now, now
	watch.watchCopies(now)
	watch.enlist(effects)
	watch.timers.Arm("hello", now)
	watch.timers.Arm("renew", now)
}

// Persistence.

func (watch *Watch) write(effects *helm.Effects, entry diskEntry, then continuation) {
	watch.token++
	watch.synced[watch.token] = then
	packed := flare.MustMarshal(entry)
	watch.logBytes += len(packed)
	effects.Writes = append(effects.Writes, helm.Write{Token: watch.token, Entries: [][]byte{packed}})
}

func (watch *Watch) saveDurable(effects *helm.Effects, then continuation) {
	copied := watch.durable
	watch.write(effects, diskEntry{Durable: &copied}, func(now time.Time, effects *helm.Effects) {
		watch.diskComplete = copied.Complete
		if then != nil {
			then(now, effects)
		}
	})
}

// writeState puts the whole state on the disk. No command is put after it before
// it is there.
func (watch *Watch) writeState(state []byte, effects *helm.Effects) {
	index := watch.index
	watch.restoring++
	watch.write(effects, diskEntry{Index: index, State: state}, func(time.Time, *helm.Effects) {
		watch.restoring--
		watch.diskIndex = index
	})
}

// Synced goes on with what waited for the disk.
func (watch *Watch) Synced(now time.Time, token uint64, effects *helm.Effects) {
	then, found := watch.synced[token]
	if !found {
		return
	}
	delete(watch.synced, token)
	if then != nil {
		then(now, effects)
	}
	if watch.logBytes > frameLogLimit && len(watch.synced) == 0 && len(watch.queue) == 0 {
		watch.logBytes = 0
		watch.token++
		watch.synced[watch.token] = nil
		effects.Writes = append(effects.Writes, helm.Write{Token: watch.token, Frame: flare.MustMarshal(diskFrame{
			Durable: watch.durable, Index: watch.index, State: watch.ledger.Frame(), Spares: watch.heldFrames(),
		})})
	}
}

func (watch *Watch) heldFrames() []spareFrame {
	var held []spareFrame
	for _, frame := range helm.Sorted(watch.frames) {
		held = append(held, *frame)
	}
	return held
}

// Due runs the timers that expired.
func (watch *Watch) Due(now time.Time, effects *helm.Effects) {
	for _, key := range watch.timers.Expired(now) {
		switch key {
		case "hello":
			watch.hello(now, effects)
		case "renew":
			watch.renew(now, effects)
		case "retry":
			watch.retry(now, effects)
		case "follow":
			watch.follow(now, effects)
		case "limits":
			watch.limits(now, effects)
		}
	}
}

// Deciding an epoch.

func (watch *Watch) begin(now time.Time, own Record, effects *helm.Effects) {
	watch.ballotCount = max(watch.ballotCount, watch.durable.Promised.Count) + 1
	watch.trying = &attempt{
		ballot: Ballot{Count: watch.ballotCount, Name: watch.props.Self.Name}, epoch: own.Epoch, own: own,
		promises: map[string]Promise{}, accepts: map[string]bool{}, phase: 1,
	}
	// Armed first: its own answer may already tell a better moment.
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(watch.props.Self.Name))
	_, _ = sum.Write([]byte{byte(watch.ballotCount)})
	watch.timers.Arm("retry", now.Add(retryEvery+time.Duration(sum.Sum32()%300)*time.Millisecond))
	prepare := Prepare{Epoch: own.Epoch, Ballot: watch.trying.ballot}
	for _, pilot := range watch.deciders(own) {
		watch.reply(now, pilot.Address, prepare, effects)
	}
}

// deciders are those whose majority decides what a record says: the roster
// before it, or for the first epoch its own.
func (watch *Watch) deciders(record Record) []Pilot {
	if record.Epoch == 1 {
		return record.Roster
	}
	return watch.durable.Record.Roster
}

// enough tells whether so many of a roster agreed, by their addresses. The first
// epoch needs all.
func enough[Kind any](epoch uint64, roster []Pilot, agreed map[string]Kind) bool {
	count := 0
	for _, pilot := range roster {
		if _, found := agreed[pilot.Address]; found {
			count++
		}
	}
	return count > len(roster)/2 && (epoch > 1 || count == len(roster))
}

func (watch *Watch) nameOf(address string, roster []Pilot) string {
	for _, pilot := range roster {
		if pilot.Address == address {
			return pilot.Name
		}
	}
	return ""
}

func (watch *Watch) onPrepare(now time.Time, from string, prepare Prepare, effects *helm.Effects) {
	if prepare.Epoch <= watch.durable.Record.Epoch {
		watch.reply(now, from, Decided{Record: watch.durable.Record}, effects)
		return
	}
	if prepare.Epoch != watch.durable.Record.Epoch+1 || (watch.blank && prepare.Epoch != 1) {
		watch.askRecord(from, effects)
		return
	}
	if prepare.Epoch > 1 && (!watch.member() || watch.nameOf(from, watch.durable.Record.Roster) == "" || watch.unsure(now)) {
		return
	}
	refusal := Promise{Epoch: prepare.Epoch, Ballot: prepare.Ballot, Promised: watch.durable.Promised}
	if !watch.durable.Promised.Before(prepare.Ballot) {
		watch.reply(now, from, refusal, effects)
		return
	}
	if prepare.Epoch > 1 && prepare.Ballot.Name != watch.durable.Record.Primary && now.Before(watch.grantedUntil) {
		refusal.Wait = watch.grantedUntil.Sub(now)
		watch.reply(now, from, refusal, effects)
		return
	}
	watch.durable.Promised = prepare.Ballot
	given := Promise{
		Epoch: prepare.Epoch, Ballot: prepare.Ballot, Given: true,
		AcceptedBallot: watch.durable.AcceptedBallot, Accepted: watch.durable.Accepted,
	}
	watch.saveDurable(effects, func(now time.Time, effects *helm.Effects) {
		watch.reply(now, from, given, effects)
	})
}

// reply sends an answer, or takes it at once where a pilot asked itself.
func (watch *Watch) reply(now time.Time, to string, message any, effects *helm.Effects) {
	if to != watch.props.Self.Address {
		effects.Send(to, message)
		return
	}
	watch.Message(now, helm.Meta{From: to}, message, effects)
}

func (watch *Watch) askRecord(from string, effects *helm.Effects) {
	effects.Send(from, watch.greeting())
}

func (watch *Watch) onPromise(now time.Time, from string, promise Promise, effects *helm.Effects) {
	trying := watch.trying
	if trying == nil || trying.phase != 1 || promise.Ballot != trying.ballot || promise.Epoch != trying.epoch {
		return
	}
	if !promise.Given {
		watch.ballotCount = max(watch.ballotCount, promise.Promised.Count)
		if promise.Wait > 0 {
			watch.timers.Arm("retry", now.Add(promise.Wait+waitMargin))
		}
		return
	}
	trying.promises[from] = promise
	if !enough(trying.epoch, watch.deciders(trying.own), trying.promises) {
		return
	}
	trying.phase = 2
	trying.value = trying.own
	best := Ballot{}
	for _, held := range helm.Sorted(trying.promises) {
		if held.Accepted.Epoch == trying.epoch && best.Before(held.AcceptedBallot) {
			best, trying.value = held.AcceptedBallot, held.Accepted
		}
	}
	// Its own disk takes the record first: see frozen.
	watch.onAccept(now, watch.props.Self.Address, Accept{Epoch: trying.epoch, Ballot: trying.ballot, Record: trying.value}, effects)
}

// concerned are the addresses of all that a next record concerns: the present
// roster and the next one.
func (watch *Watch) concerned(record Record) map[string]bool {
	addresses := map[string]bool{}
	for _, pilot := range append(slices.Clone(watch.durable.Record.Roster), record.Roster...) {
		addresses[pilot.Address] = true
	}
	return addresses
}

// unsure tells whether this pilot, which has learned from the others what its
// lost disk held, may still have granted something that they don't know of.
func (watch *Watch) unsure(now time.Time) bool {
	return watch.durable.Recalled && now.Before(watch.forgetful)
}

// mayAccept tells whether this pilot has a say on a next record: it is in the
// present roster, or comes into the next one with the disk that it has.
func (watch *Watch) mayAccept(now time.Time, record Record) bool {
	entry, listed := record.Entry(watch.props.Self)
	if record.Epoch == 1 {
		addresses := []string{}
		for _, pilot := range record.Roster {
			addresses = append(addresses, pilot.Address)
		}
		return listed && (len(watch.durable.Founders) == 0 || slices.Equal(watch.durable.Founders, slices.Sorted(slices.Values(addresses))))
	}
	if watch.member() {
		return !watch.unsure(now)
	}
	return !watch.blank && listed && entry.Disk == watch.durable.Disk
}

func (watch *Watch) onAccept(now time.Time, from string, accept Accept, effects *helm.Effects) {
	if accept.Epoch <= watch.durable.Record.Epoch {
		watch.reply(now, from, Decided{Record: watch.durable.Record}, effects)
		return
	}
	if accept.Epoch != watch.durable.Record.Epoch+1 {
		watch.askRecord(from, effects)
		return
	}
	if accept.Ballot.Before(watch.durable.Promised) || !watch.mayAccept(now, accept.Record) {
		return
	}
	watch.durable.Promised = accept.Ballot
	watch.durable.AcceptedBallot, watch.durable.Accepted = accept.Ballot, accept.Record
	taken := Accepted{Epoch: accept.Epoch, Ballot: accept.Ballot, Taken: true}
	watch.saveDurable(effects, func(now time.Time, effects *helm.Effects) {
		watch.reply(now, from, taken, effects)
	})
}

func (watch *Watch) onAccepted(now time.Time, from string, accepted Accepted, effects *helm.Effects) {
	trying := watch.trying
	if trying == nil || trying.phase != 2 || accepted.Ballot != trying.ballot || accepted.Epoch != trying.epoch {
		return
	}
	if len(trying.accepts) == 0 && from == watch.props.Self.Address {
		for address := range helm.Sorted(watch.concerned(trying.value)) {
			if address != from {
				effects.Send(address, Accept{Epoch: trying.epoch, Ballot: trying.ballot, Record: trying.value})
			}
		}
	}
	trying.accepts[from] = true
	record := trying.value
	if !enough(trying.epoch, watch.deciders(record), trying.accepts) || !enough(trying.epoch, record.Roster, trying.accepts) {
		return
	}
	watch.trying = nil
	tell := watch.concerned(record)
	for _, standby := range watch.Standbys(now) {
		tell[standby.Address] = true
	}
	delete(tell, watch.props.Self.Address)
	for address := range helm.Sorted(tell) {
		effects.Send(address, Decided{Record: record})
	}
	watch.learn(now, record, effects)
}

// learn takes a decided record that is newer than the present one.
func (watch *Watch) learn(now time.Time, record Record, effects *helm.Effects) {
	if record.Epoch > watch.told.Epoch {
		watch.told = record
	}
	if record.Epoch <= watch.durable.Record.Epoch {
		return
	}
	entry, listed := record.Entry(watch.props.Self)
	if listed && !watch.mayEnter(record, entry) {
		if !watch.blank {
			watch.forget(now)
		}
		return
	}
	earlier := watch.durable
	self := watch.props.Self.Name
	complete := uint64(0)
	switch {
	case !listed:
		if watch.blank || watch.member() {
			effects.Note(foghorn.StandsBy, "epoch", record.Epoch, "primary", record.Primary)
		}
	case record.Epoch == 1:
		complete = 1
	case record.Primary != self && !slices.Contains(record.Backups, self):
	case record.Primary != self && watch.frames[record.Primary] != nil && watch.frames[record.Primary].For == record.Epoch:
		spare := watch.frames[record.Primary]
		if fault := watch.ledger.Restore(spare.State); fault == nil {
			watch.index = spare.Index
			complete = record.Epoch
			watch.writeState(spare.State, effects)
		}
	case record.Epoch == earlier.Record.Epoch+1 && earlier.Complete == earlier.Record.Epoch && earlier.Record.Epoch > 0 &&
		(earlier.Record.Primary == self || slices.Contains(earlier.Record.Backups, self)):
		complete = record.Epoch
	}
	if record.Epoch > 1 && !slices.Equal(earlier.Record.Roster, record.Roster) {
		watch.noteRoster(earlier.Record, record, effects)
	}
	if !helm.Mutated("no-hold-back") {
		watch.holdBack(now, earlier.Record, record)
	}
	watch.durable = Durable{Disk: earlier.Disk, Record: record, Complete: complete}
	watch.blank = false
	watch.frames = map[string]*spareFrame{}
	watch.trying = nil
	// Whoever begins an epoch has readied its backups, or they were level before.
	watch.whole = record.Epoch == 1 || record.Primary == self && complete == record.Epoch && (watch.whole || earlier.Record.Primary != self)
	watch.takingOver, watch.replacing, watch.gathered, watch.yielded = false, false, false, false
	watch.spares, watch.passedOver, watch.keep, watch.leave = map[string]*asked{}, nil, nil, nil
	watch.watchCopies(now)
	watch.decidedAt = now
	if record.Primary != earlier.Record.Primary {
		watch.primaryHeard, watch.actingSince = now, now
	}
	watch.renewals, watch.grants = map[uint64]time.Time{}, map[uint64]map[string]bool{}
	watch.timers.Disarm("retry")
	if record.Epoch == 1 {
		effects.Note(foghorn.Founded, "primary", record.Primary, "backups", record.Backups)
	}
	effects.Note(foghorn.EpochDecided, "epoch", record.Epoch, "primary", record.Primary, "backups", record.Backups, "complete", complete)
	watch.saveDurable(effects, func(_ time.Time, effects *helm.Effects) {
		// The primary need not ask how far this copy reaches.
		if primary, _ := watch.Primary(); watch.isBackup() && complete > 0 && watch.durable.Record.Epoch == record.Epoch {
			effects.Send(primary.Address, Grant{Epoch: record.Epoch, Index: watch.diskIndex, Complete: watch.diskComplete})
		}
	})
	if !watch.IsPrimary() {
		watch.tenureUntil = time.Time{}
		watch.dropQueue(now, effects)
	} else {
		if len(watch.queue) > 0 && watch.queue[0].synced {
			watch.queue[0].begun = now
			watch.timers.ArmSooner("follow", now.Add(slowAfter))
		}
		watch.resumeQueue(now, effects)
		watch.timers.Arm("renew", now)
	}
}

// holdBack sees to it that this pilot lets nobody but the primary have the next
// epoch while tenure that others granted may still run: a new roster's members
// have not granted it themselves.
func (watch *Watch) holdBack(now time.Time, earlier, record Record) {
	if record.Epoch == 1 || !now.Before(watch.grantedUntil) || watch.grantedTo == record.Primary {
		watch.grantedTo = record.Primary
	}
	if record.Epoch == 1 || slices.Equal(earlier.Roster, record.Roster) {
		return
	}
	watch.grantedUntil = now.Add(TenureLength)
	if _, listed := earlier.Entry(watch.props.Self); !listed {
		watch.forgetful = now.Add(TenureLength)
	}
}

func (watch *Watch) dropQueue(now time.Time, effects *helm.Effects) {
	queue := watch.queue
	watch.queue = nil
	for _, waiting := range queue {
		waiting.done(now, effects, Unsettled)
	}
	confirms := watch.confirms
	watch.confirms = map[uint64]confirmation{}
	for _, waiting := range helm.Sorted(confirms) {
		waiting.done(now, effects, Unsettled)
	}
}

// retry starts an attempt over after it got stuck, or gives it up.
func (watch *Watch) retry(now time.Time, effects *helm.Effects) {
	if watch.trying == nil {
		return
	}
	own := watch.trying.own
	if own.Epoch <= watch.durable.Record.Epoch {
		watch.trying = nil
		return
	}
	watch.trying = nil
	if watch.blank {
		return
	}
	if (watch.takingOver || watch.replacing) && slices.Equal(own.Roster, watch.durable.Record.Roster) {
		watch.begin(now, own, effects)
	}
}

// Tenure.

func (watch *Watch) renew(now time.Time, effects *helm.Effects) {
	watch.timers.Arm("renew", now.Add(renewEvery))
	if watch.blank {
		return
	}
	if watch.IsPrimary() && watch.durable.Complete == watch.durable.Record.Epoch {
		watch.watchTenure(now, effects)
		if len(watch.queue) > 0 && watch.queue[0].index > 0 && !watch.queue[0].synced && now.Sub(watch.queue[0].begun) > ownSlow && !helm.Mutated("patient-primary") {
			if !watch.yielded {
				watch.Yield(now, effects)
			}
			return
		}
		watch.yielded = false
		watch.nonce++
		watch.renewals[watch.nonce] = now
		watch.grants[watch.nonce] = map[string]bool{}
		delete(watch.renewals, watch.nonce-16)
		delete(watch.grants, watch.nonce-16)
		renew := Renew{Epoch: watch.durable.Record.Epoch, Nonce: watch.nonce}
		if now.Sub(watch.decidedAt) < tellFor {
			renew.Record = watch.durable.Record
		}
		for _, pilot := range watch.durable.Record.Roster {
			if !pilot.At(watch.props.Self) {
				effects.Send(pilot.Address, renew)
			}
		}
		watch.grantOwn(now, effects)
		watch.follow(now, effects)
		watch.watchRoster(now, effects)
		return
	}
	watch.follow(now, effects)
}

// grantOwn counts the primary's own vote, unless it has promised a ballot away.
func (watch *Watch) grantOwn(now time.Time, effects *helm.Effects) {
	if !watch.mayGrant(now) {
		return
	}
	watch.grantedUntil, watch.grantedTo = now.Add(TenureLength), watch.durable.Record.Primary
	watch.countGrant(now, watch.props.Self.Name, watch.nonce, effects)
}

func (watch *Watch) promisedAway() bool {
	promised := watch.durable.Promised
	return promised.Count > 0 && promised.Name != watch.durable.Record.Primary
}

func (watch *Watch) countGrant(now time.Time, name string, nonce uint64, effects *helm.Effects) {
	asked, found := watch.renewals[nonce]
	if !found {
		return
	}
	watch.grants[nonce][name] = true
	if len(watch.grants[nonce]) < watch.durable.Record.Majority() {
		return
	}
	until := asked.Add(TenureLength * 9 / 10)
	if until.After(watch.tenureUntil) {
		watch.tenureUntil = until
	}
	if !watch.tenureHeld && now.Before(watch.tenureUntil) {
		watch.tenureHeld = true
		effects.Note(foghorn.TenureGained, "epoch", watch.durable.Record.Epoch)
	}
}

func (watch *Watch) watchTenure(now time.Time, effects *helm.Effects) {
	if now.Before(watch.tenureUntil) {
		return
	}
	if watch.tenureHeld {
		watch.tenureHeld = false
		effects.Note(foghorn.TenureLost, "epoch", watch.durable.Record.Epoch)
	}
	// Witnesses that promised a ballot away grant nothing more in this epoch;
	// if that candidate is gone, the primary asks for the next epoch itself.
	since := watch.tenureUntil
	if since.Before(watch.actingSince) {
		since = watch.actingSince
	}
	if watch.yielded || now.Sub(since) < lostAfter || watch.trying != nil || watch.gathered {
		return
	}
	if lost, _ := watch.failing(now); len(lost) == 0 {
		record := watch.durable.Record
		record.Epoch++
		watch.replacing, watch.gathered = true, true
		watch.begin(now, record, effects)
	}
}

func (watch *Watch) onRenew(now time.Time, from string, renew Renew, effects *helm.Effects) {
	watch.learn(now, renew.Record, effects)
	record := watch.durable.Record
	if watch.blank || renew.Epoch < record.Epoch {
		if !watch.blank {
			effects.Send(from, Decided{Record: record})
		}
		return
	}
	if renew.Epoch > record.Epoch {
		watch.askRecord(from, effects)
		return
	}
	if watch.nameOf(from, record.Roster) != record.Primary || !watch.mayGrant(now) {
		return
	}
	if watch.standDown(); watch.takingOver {
		return
	}
	watch.primaryHeard = now
	watch.grantedUntil, watch.grantedTo = now.Add(TenureLength), record.Primary
	effects.Send(from, Grant{Epoch: renew.Epoch, Nonce: renew.Nonce, Index: watch.diskIndex, Complete: watch.diskComplete})
}

// Yield gives the tenure back, so that a backup need not wait for its end.
func (watch *Watch) Yield(now time.Time, effects *helm.Effects) {
	if !watch.IsPrimary() {
		return
	}
	watch.yielded = true
	watch.tenureUntil = time.Time{}
	watch.renewals, watch.grants = map[uint64]time.Time{}, map[uint64]map[string]bool{}
	effects.Note(foghorn.TenureYielded, "epoch", watch.durable.Record.Epoch)
	for _, pilot := range watch.durable.Record.Roster {
		if !pilot.At(watch.props.Self) {
			effects.Send(pilot.Address, Yield{Epoch: watch.durable.Record.Epoch})
		}
	}
}

func (watch *Watch) onYield(now time.Time, from string, yield Yield, effects *helm.Effects) {
	record := watch.durable.Record
	if yield.Epoch != record.Epoch || !watch.member() || watch.nameOf(from, record.Roster) != record.Primary || watch.grantedTo != record.Primary {
		return
	}
	watch.grantedUntil = now
	watch.primaryHeard = now.Add(-lostAfter)
	watch.follow(now, effects)
}

func (watch *Watch) onGrant(now time.Time, from string, grant Grant, effects *helm.Effects) {
	record := watch.durable.Record
	if !watch.IsPrimary() || grant.Epoch != record.Epoch {
		return
	}
	name := watch.nameOf(from, record.Roster)
	if name == "" {
		return
	}
	if grant.Nonce > 0 {
		watch.lastGrant[name] = now
		watch.countGrant(now, name, grant.Nonce, effects)
	}
	if slices.Contains(record.Backups, name) {
		watch.onGrantOfBackup(now, from, name, grant, effects)
	}
}

// limits gives up on what waited too long; a command that may already be on a
// disk is unsettled, one that was never begun is refused.
func (watch *Watch) limits(now time.Time, effects *helm.Effects) {
	var next time.Time
	for nonce, waiting := range helm.Sorted(watch.confirms) {
		if !waiting.limit.After(now) {
			delete(watch.confirms, nonce)
			waiting.done(now, effects, Unsettled)
		} else if next.IsZero() || waiting.limit.Before(next) {
			next = waiting.limit
		}
	}
	var kept []*submitted
	for position, waiting := range watch.queue {
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
			waiting.done = func(time.Time, *helm.Effects, Outcome) {}
			waiting.limit = time.Time{}
			kept = append(kept, waiting)
			continue
		}
		waiting.done(now, effects, Refused)
	}
	watch.queue = kept
	if !next.IsZero() {
		watch.timers.Arm("limits", next)
	}
}

// Duties.

func (watch *Watch) onDutyAsk(now time.Time, from string, ask DutyAsk, effects *helm.Effects) {
	name := watch.nameOf(from, watch.durable.Record.Roster)
	if !watch.member() || name == "" || watch.acceptedAway() {
		return
	}
	held := watch.duties[ask.Duty]
	if ask.Leave {
		if held.holder == name {
			delete(watch.duties, ask.Duty)
		}
		return
	}
	// A witness that was restarted has forgotten whom it granted a duty to, and
	// one that came into the roster does not know whom others did.
	if now.Before(watch.forgetful) || held.holder != name && now.Before(held.until) {
		watch.reply(now, from, DutyReturn{Duty: ask.Duty, Nonce: ask.Nonce, Holder: held.holder}, effects)
		return
	}
	watch.duties[ask.Duty] = duty{holder: name, until: now.Add(TenureLength)}
	watch.reply(now, from, DutyReturn{Duty: ask.Duty, Nonce: ask.Nonce, Given: true, Holder: name}, effects)
}

// AskDuty asks the roster for a duty's tenure; the answers go to Tenure.
func (watch *Watch) AskDuty(now time.Time, tenure *Tenure, effects *helm.Effects) {
	if !watch.member() {
		return
	}
	ask := tenure.ask(now, watch.durable.Record.Majority())
	for _, pilot := range watch.durable.Record.Roster {
		if pilot.Name == watch.props.Self.Name {
			watch.onDutyAsk(now, pilot.Address, ask, effects)
		} else {
			effects.Send(pilot.Address, ask)
		}
	}
}

// Message takes what other pilots say; it tells whether it was for the watch.
func (watch *Watch) Message(now time.Time, meta helm.Meta, message any, effects *helm.Effects) bool {
	switch body := message.(type) {
	case Hello:
		watch.onHello(now, meta.From, body, effects)
	case RecallAsk:
		if !watch.blank {
			effects.Send(meta.From, RecallReturn{Nonce: body.Nonce, Durable: watch.durable})
		}
	case RecallReturn:
		watch.onRecallReturn(now, meta.From, body, effects)
	case Prepare:
		watch.onPrepare(now, meta.From, body, effects)
	case Promise:
		watch.onPromise(now, meta.From, body, effects)
	case Accept:
		watch.onAccept(now, meta.From, body, effects)
	case Accepted:
		watch.onAccepted(now, meta.From, body, effects)
	case Decided:
		watch.learn(now, body.Record, effects)
	case Renew:
		watch.onRenew(now, meta.From, body, effects)
	case Grant:
		watch.onGrant(now, meta.From, body, effects)
	case Yield:
		watch.onYield(now, meta.From, body, effects)
	case Append:
		watch.onAppend(now, meta.From, body, effects)
	case AppendReturn:
		watch.onAppendReturn(now, meta.From, body, effects)
	case Frame:
		watch.onFrame(now, meta.From, body, effects)
	case FrameReturn:
		watch.onFrameReturn(now, meta.From, body, effects)
	case Confirm:
		watch.onConfirm(now, meta.From, body, effects)
	case ConfirmReturn:
		watch.onConfirmReturn(now, meta.From, body, effects)
	case DutyAsk:
		watch.onDutyAsk(now, meta.From, body, effects)
	case DutyReturn:
		if tenure, found := watch.tenures[body.Duty]; found && body.Given {
			tenure.given(watch.nameOf(meta.From, watch.durable.Record.Roster), body.Nonce)
		}
	default:
		return false
	}
	return true
}
