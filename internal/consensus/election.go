// Deciding an epoch: a record is promised and accepted by ballots of a majority
// of the voters, on their disks, and learned by all that it concerns.

package consensus

import (
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

func (w *Node) begin(now time.Time, own Record, effects *statemachine.Effects) {
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
func (w *Node) deciders(record Record) []Controller {
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

func (w *Node) nameOf(address string, voters []Controller) string {
	for _, controller := range voters {
		if controller.Address == address {
			return controller.Name
		}
	}
	return ""
}

func (w *Node) onPrepare(now time.Time, from string, prepare Prepare, effects *statemachine.Effects) {
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
	w.giveWay(now, prepare)
	if prepare.Epoch > 1 && prepare.Ballot.Name != w.durable.Record.Primary && now.Before(w.grantedUntil) && !statemachine.Mutated("grant-at-once") {
		refusal.RetryAfter = w.grantedUntil.Sub(now)
		w.reply(now, from, refusal, effects)
		return
	}
	w.durable.Promised = prepare.Ballot
	given := Promise{
		Epoch: prepare.Epoch, Ballot: prepare.Ballot, Granted: true,
		AcceptedBallot: w.durable.AcceptedBallot, Accepted: w.durable.Accepted,
	}
	w.saveDurable(effects, func(now time.Time, effects *statemachine.Effects) {
		w.reply(now, from, given, effects)
	})
}

// giveWay takes back what a primary granted itself, once it has had no lease for as long
// as one lasts: its own vote serves nobody but itself, and the others may wait for it as
// it does for theirs. What it still asks for can become no lease any more, and what it
// granted somebody in an earlier life has run out.
func (w *Node) giveWay(now time.Time, prepare Prepare) {
	if !w.IsPrimary() || prepare.Ballot.Name == w.settings.Self.Name || statemachine.Mutated("no-way-given") {
		return
	}
	since := w.leaseUntil
	if since.Before(w.actingSince) {
		since = w.actingSince
	}
	if now.Sub(since) < LeaseDuration {
		return
	}
	w.grantedUntil = now
	w.renewals, w.grants = map[uint64]time.Time{}, map[uint64]map[string]bool{}
}

// reply sends an answer, or takes it at once where a controller asked itself.
func (w *Node) reply(now time.Time, to string, message any, effects *statemachine.Effects) {
	if to != w.settings.Self.Address {
		effects.Send(to, message)
		return
	}
	w.HandleMessage(now, statemachine.Meta{From: to}, message, effects)
}

func (w *Node) askRecord(from string, effects *statemachine.Effects) {
	effects.Send(from, w.greeting())
}

func (w *Node) onPromise(now time.Time, from string, promise Promise, effects *statemachine.Effects) {
	trying := w.trying
	if trying == nil || trying.phase != 1 || promise.Ballot != trying.ballot || promise.Epoch != trying.epoch {
		return
	}
	if !promise.Granted {
		w.ballotCount = max(w.ballotCount, promise.Promised.Count)
		if promise.RetryAfter > 0 {
			w.timers.Arm("retry", now.Add(promise.RetryAfter+waitMargin))
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
func (w *Node) concerned(record Record) map[string]bool {
	addresses := map[string]bool{}
	for _, controller := range append(slices.Clone(w.durable.Record.Voters), record.Voters...) {
		addresses[controller.Address] = true
	}
	return addresses
}

// unsure tells whether this controller, which has learned from the others what its
// lost disk held, may still have granted something that they don't know of.
func (w *Node) unsure(now time.Time) bool {
	return w.durable.Recovered && now.Before(w.forgetful)
}

// mayAccept tells whether this controller has a say on a next record: it is in the
// present voters, or comes into the next one with the disk that it has.
func (w *Node) mayAccept(now time.Time, record Record) bool {
	entry, listed := record.Voter(w.settings.Self)
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
	return !w.blank && listed && entry.DiskID == w.durable.DiskID
}

func (w *Node) onAccept(now time.Time, from string, accept Accept, effects *statemachine.Effects) {
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
	taken := Accepted{Epoch: accept.Epoch, Ballot: accept.Ballot, Granted: true}
	w.saveDurable(effects, func(now time.Time, effects *statemachine.Effects) {
		w.reply(now, from, taken, effects)
	})
}

func (w *Node) onAccepted(now time.Time, from string, accepted Accepted, effects *statemachine.Effects) {
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
	if !enough(trying.epoch, w.deciders(record), trying.accepts) {
		return
	}
	if !enough(trying.epoch, record.Voters, trying.accepts) && !statemachine.Mutated("old-majority-alone") {
		return
	}
	w.trying = nil
	tell := w.concerned(record)
	for _, standby := range w.Learners(now) {
		tell[standby.Address] = true
	}
	delete(tell, w.settings.Self.Address)
	for address := range statemachine.Sorted(tell) {
		effects.Send(address, Decided{Record: record})
	}
	w.learn(now, record, effects)
}

// learn takes a decided record that is newer than the present one.
func (w *Node) learn(now time.Time, record Record, effects *statemachine.Effects) {
	if record.Epoch > w.told.Epoch {
		w.told = record
	}
	if record.Epoch <= w.durable.Record.Epoch {
		return
	}
	entry, listed := record.Voter(w.settings.Self)
	if listed && !w.mayEnter(record, entry) {
		if !w.blank {
			w.forget(now)
		}
		return
	}
	earlier, self := w.durable, w.settings.Self.Name
	complete := w.completeUnder(record, listed, effects)
	if record.Epoch > 1 && !slices.Equal(earlier.Record.Voters, record.Voters) {
		w.noteVoters(earlier.Record, record, effects)
	}
	if !statemachine.Mutated("no-hold-back") {
		w.holdBack(now, earlier.Record, record)
	}
	w.durable = HardState{DiskID: earlier.DiskID, Record: record, CompleteEpoch: complete}
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
	w.releases = map[string]bool{}
	if !listed {
		// The primary takes in only whoever it knows to be at the present epoch.
		w.timers.ArmSooner("hello", now)
	}
	w.timers.Disarm("retry")
	if record.Epoch == 1 {
		effects.Emit(logevent.Founded, "primary", record.Primary, "backups", record.Backups)
	}
	effects.Emit(logevent.EpochDecided, "epoch", record.Epoch, "primary", record.Primary, "backups", record.Backups, "complete", complete)
	w.saveDurable(effects, func(_ time.Time, effects *statemachine.Effects) {
		// The primary need not ask how far this copy reaches.
		if primary, _ := w.Primary(); w.isBackup() && complete > 0 && w.durable.Record.Epoch == record.Epoch {
			effects.Send(primary.Address, LeaseGrant{Epoch: record.Epoch, Index: w.diskIndex, CompleteEpoch: w.diskComplete})
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

// completeUnder gives the epoch for which the state here is whole once a record is
// learnt, 0 if it is whole for none: whoever was level with the epoch before stays
// level, and a spare takes the snapshot that it got for this record.
func (w *Node) completeUnder(record Record, listed bool, effects *statemachine.Effects) uint64 {
	earlier := w.durable
	self := w.settings.Self.Name
	switch {
	case !listed:
		if w.blank || w.member() {
			effects.Emit(logevent.LearnerStarted, "epoch", record.Epoch, "primary", record.Primary)
		}
	case record.Epoch == 1:
		return 1
	case record.Primary != self && !slices.Contains(record.Backups, self):
	case record.Primary != self && w.frames[record.Primary] != nil && w.frames[record.Primary].For == record.Epoch:
		spare := w.frames[record.Primary]
		if err := w.stateMachine.Restore(spare.State); err == nil {
			w.index = spare.Index
			w.writeState(spare.State, effects)
			return record.Epoch
		}
	case statemachine.Mutated("copy-counts-at-once"):
		return record.Epoch
	case record.Epoch == earlier.Record.Epoch+1 && earlier.CompleteEpoch == earlier.Record.Epoch && earlier.Record.Epoch > 0 &&
		(earlier.Record.Primary == self || slices.Contains(earlier.Record.Backups, self)):
		return record.Epoch
	}
	return 0
}

// holdBack sees to it that this controller lets nobody but the primary have the next
// epoch while lease that others granted may still run: a new voters's members
// have not granted it themselves.
func (w *Node) holdBack(now time.Time, earlier, record Record) {
	if record.Epoch == 1 || !now.Before(w.grantedUntil) || w.grantedTo == record.Primary {
		w.grantedTo = record.Primary
	}
	if record.Epoch == 1 || slices.Equal(earlier.Voters, record.Voters) {
		return
	}
	w.grantedUntil = now.Add(LeaseDuration)
	if _, listed := earlier.Voter(w.settings.Self); !listed {
		w.forgetful = now.Add(LeaseDuration)
	}
}

func (w *Node) dropQueue(now time.Time, effects *statemachine.Effects) {
	queue := w.queue
	w.queue = nil
	for _, waiting := range queue {
		waiting.done(now, effects, Indeterminate)
	}
	confirms := w.confirms
	w.confirms = map[uint64]confirmation{}
	for _, waiting := range statemachine.Sorted(confirms) {
		waiting.done(now, effects, Indeterminate)
	}
}

// retry starts an attempt over after it got stuck, or gives it up.
func (w *Node) retry(now time.Time, effects *statemachine.Effects) {
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
