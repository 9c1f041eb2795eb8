// The primary's lease: voters grant it against the asking moment, and an answer
// that is read from the primary's state is confirmed by a majority first.

package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

func (w *Node) renew(now time.Time, effects *statemachine.Effects) {
	w.timers.Arm("renew", now.Add(renewEvery))
	if w.blank {
		return
	}
	if w.IsPrimary() && w.durable.CompleteEpoch == w.durable.Record.Epoch {
		w.watchLease(now, effects)
		if len(w.queue) > 0 && w.queue[0].index > 0 && !w.queue[0].synced && now.Sub(w.queue[0].begun) > ownSlow && !statemachine.Mutated("patient-primary") {
			if !w.yielded {
				w.ReleaseLease(now, effects)
			}
			return
		}
		if w.keepsQuiet(now, effects) {
			return
		}
		if w.yielded && w.leaving && now.Sub(w.yieldedAt) < takeBackAfter {
			w.follow(now, effects)
			return
		}
		w.yielded = false
		renew := RenewLease{Epoch: w.durable.Record.Epoch, Request: w.requests.Next()}
		number := renew.Request.Number
		w.renewals[number] = now
		w.grants[number] = map[string]bool{}
		delete(w.renewals, number-16)
		delete(w.grants, number-16)
		if now.Sub(w.decidedAt) < tellFor {
			renew.Record = w.durable.Record
		}
		for _, controller := range w.durable.Record.Voters {
			if !controller.SameAs(w.settings.Self) {
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

// keepsQuiet gives the lease back where this primary is deaf, and asks for none for a
// while. The voters may hear it all the same: if it went on, they would grant what
// never arrives, and nobody would take over. Since nobody may be able to, it asks
// again now and then.
func (w *Node) keepsQuiet(now time.Time, effects *statemachine.Effects) bool {
	if !w.deaf(now) || statemachine.Mutated("deaf-primary") {
		w.quietUntil = time.Time{}
		return false
	}
	if now.Sub(w.quietUntil) >= lostAfter {
		w.quietUntil = now.Add(quietFor)
		w.ReleaseLease(now, effects)
	}
	return now.Before(w.quietUntil)
}

// deaf tells whether this primary lost its lease and hears too few of the voters: it
// has asked them for lease and for the next epoch, which some would have answered.
func (w *Node) deaf(now time.Time) bool {
	since := w.leaseUntil
	if since.Before(w.actingSince) {
		since = w.actingSince
	}
	if now.Sub(since) < lostAfter+renewEvery {
		return false
	}
	heard := 0
	for _, controller := range w.durable.Record.Voters {
		if at, found := w.heardFrom[controller.Address]; controller.SameAs(w.settings.Self) || found && now.Sub(at) < lostAfter {
			heard++
		}
	}
	return heard < w.durable.Record.Majority()
}

// grantOwn counts the primary's own vote, unless it has promised a ballot away.
func (w *Node) grantOwn(now time.Time, number uint64, effects *statemachine.Effects) {
	if !w.mayGrant(now) {
		return
	}
	w.grantedUntil, w.grantedTo = now.Add(LeaseDuration), w.durable.Record.Primary
	w.countGrant(now, w.settings.Self.Name, number, effects)
}

func (w *Node) promisedAway() bool {
	promised := w.durable.Promised
	return promised.Count > 0 && promised.Name != w.durable.Record.Primary
}

func (w *Node) countGrant(now time.Time, name string, number uint64, effects *statemachine.Effects) {
	asked, found := w.renewals[number]
	if !found {
		return
	}
	w.grants[number][name] = true
	if len(w.grants[number]) < w.durable.Record.Majority() {
		return
	}
	until := asked.Add(LeaseDuration * 9 / 10)
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
	if !w.leaseHeld && now.Before(w.leaseUntil) {
		w.leaseHeld = true
		effects.Emit(logevent.LeaseGained, "epoch", w.durable.Record.Epoch)
	}
}

func (w *Node) watchLease(now time.Time, effects *statemachine.Effects) {
	if now.Before(w.leaseUntil) {
		w.standDown()
		return
	}
	if w.leaseHeld {
		w.leaseHeld = false
		effects.Emit(logevent.LeaseLost, "epoch", w.durable.Record.Epoch)
	}
	// Witnesses that promised a ballot away grant nothing more in this epoch;
	// if that candidate is gone, the primary asks for the next epoch itself.
	// A new epoch frees what was promised, so it is given time first.
	since := w.leaseUntil
	if since.Before(w.decidedAt) && !statemachine.Mutated("epochs-without-pause") {
		since = w.decidedAt
	}
	if since.Before(w.actingSince) {
		since = w.actingSince
	}
	if w.yielded || now.Sub(since) < lostAfter || w.trying != nil || w.gathered {
		return
	}
	if lost, _ := w.failing(now); len(lost) > 0 {
		w.takeBack(now, effects)
		return
	}
	record := w.durable.Record
	record.Epoch++
	w.replacing, w.gathered = true, true
	w.begin(now, record, effects)
}

// takeBack goes for the next epoch as who takes over does. The candidate that the
// voters promised may be the backup that is lost, and a backup that lost its disk does
// not come back level as long as nobody may grant.
func (w *Node) takeBack(now time.Time, effects *statemachine.Effects) {
	if statemachine.Mutated("primary-waits-for-backup") {
		return
	}
	w.replacing, w.takingOver = true, true
	w.gather(now, nil, nil, effects)
}

func (w *Node) onRenew(now time.Time, from string, renew RenewLease, effects *statemachine.Effects) {
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
	w.grantedUntil, w.grantedTo, w.grantedFor = now.Add(LeaseDuration), record.Primary, renew.Request
	effects.Send(from, LeaseGrant{Epoch: renew.Epoch, Request: renew.Request, Index: w.diskIndex, CompleteEpoch: w.diskComplete})
}

// gives tells whether it gives the lease back that was granted for a renewal: one
// of the same life, and none that was asked for later.
func (y ReleaseLease) gives(granted statemachine.RequestID) bool {
	if statemachine.Mutated("lives-alike") {
		return true
	}
	return y.Request.Incarnation == granted.Incarnation && y.Request.Number >= granted.Number
}

// ReleaseLease gives the lease back, so that a backup need not wait for its end.
func (w *Node) ReleaseLease(now time.Time, effects *statemachine.Effects) {
	if !w.IsPrimary() {
		return
	}
	w.yielded, w.yieldedAt = true, now
	w.leaseUntil = time.Time{}
	if w.grantedTo == w.settings.Self.Name {
		w.grantedUntil = now
	}
	w.renewals, w.grants = map[uint64]time.Time{}, map[uint64]map[string]bool{}
	effects.Emit(logevent.LeaseReleased, "epoch", w.durable.Record.Epoch)
	for _, controller := range w.durable.Record.Voters {
		if !controller.SameAs(w.settings.Self) {
			effects.Send(controller.Address, ReleaseLease{Epoch: w.durable.Record.Epoch, Request: w.requests.Last()})
		}
	}
}

func (w *Node) onYield(now time.Time, from string, yield ReleaseLease, effects *statemachine.Effects) {
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

func (w *Node) onGrant(now time.Time, from string, grant LeaseGrant, effects *statemachine.Effects) {
	record := w.durable.Record
	if !w.IsPrimary() || grant.Epoch != record.Epoch {
		return
	}
	name := w.nameOf(from, record.Voters)
	if name == "" {
		return
	}
	if grant.Request.IsSet() {
		number, own := w.requests.NumberOf(grant.Request)
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

// Confirm asks a majority whether the present epoch still stands, so that an
// answer read from the primary's state can't be an old one.
func (w *Node) Confirm(now time.Time, done Done, effects *statemachine.Effects) {
	if !w.CanServeReads(now) || !w.stands() {
		done(now, effects, Rejected)
		return
	}
	if statemachine.Mutated("lease-for-ever") {
		done(now, effects, Committed)
		return
	}
	request := w.requests.Next()
	waiting := confirmation{done: done, limit: now.Add(confirmLimit), givers: map[string]bool{w.settings.Self.Address: true}}
	w.confirms[request.Number] = waiting
	w.timers.ArmSooner("limits", now.Add(confirmLimit))
	for _, controller := range w.durable.Record.Voters {
		if !controller.SameAs(w.settings.Self) {
			effects.Send(controller.Address, Confirm{Epoch: w.durable.Record.Epoch, Request: request})
		}
	}
	w.confirmed(now, request.Number, effects)
}

// stands tells whether this controller has let nobody else have the next epoch.
func (w *Node) stands() bool {
	return w.member() && !w.promisedAway() && !w.acceptedAway() && !w.takingOver
}

func (w *Node) onConfirm(now time.Time, from string, confirm Confirm, effects *statemachine.Effects) {
	if confirm.Epoch != w.durable.Record.Epoch || !w.stands() || w.unsure(now) {
		return
	}
	effects.Send(from, ConfirmResponse(confirm))
}

func (w *Node) onConfirmResponse(now time.Time, from string, returned ConfirmResponse, effects *statemachine.Effects) {
	number, own := w.requests.NumberOf(returned.Request)
	waiting, found := w.confirms[number]
	if !own || !found || returned.Epoch != w.durable.Record.Epoch {
		return
	}
	waiting.givers[from] = true
	w.confirmed(now, number, effects)
}

func (w *Node) confirmed(now time.Time, number uint64, effects *statemachine.Effects) {
	waiting := w.confirms[number]
	if !enough(w.durable.Record.Epoch+1, w.durable.Record.Voters, waiting.givers) {
		return
	}
	delete(w.confirms, number)
	if !w.CanServeReads(now) || now.After(waiting.limit) {
		waiting.done(now, effects, Indeterminate)
		return
	}
	waiting.done(now, effects, Committed)
}
