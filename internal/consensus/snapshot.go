// Spares and snapshots: whoever begins a next epoch readies others with the whole
// state, and a copy that is not level is sent it anew.

package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// chooseSpare picks a controller of the voters that holds no copy yet: not one of the
// kept, nor of those to be left out, nor asked already, nor passed over.
func (w *Node) chooseSpare(now time.Time, keep, without []string) (Controller, bool) {
	var several []Controller
	taken := slices.Clone(keep)
	for name := range statemachine.Sorted(w.spares) {
		taken = append(taken, name)
	}
	for _, controller := range w.durable.Record.Voters {
		if controller.SameAs(w.settings.Self) || slices.Contains(taken, controller.Name) || slices.Contains(without, controller.Name) || slices.Contains(w.passedOver, controller.Name) {
			continue
		}
		if heard, found := w.lastGrant[controller.Name]; w.IsPrimary() && !w.takingOver && (!found || now.Sub(heard) > lostAfter || w.departing(now, controller)) {
			continue
		}
		several = append(several, controller)
	}
	if len(several) == 0 {
		return Controller{}, false
	}
	return w.farthest(w.durable.Record.Voters, several, taken), true
}

// gather readies spares for the next epoch: each gets the whole state first, and
// only then is a majority asked. The primary asks as many as it lacks; who takes
// over asks all at once, since it can't know who lives.
func (w *Node) gather(now time.Time, keep, without []string, effects *statemachine.Effects) {
	if w.trying != nil || w.gathered {
		return
	}
	for name, spare := range statemachine.Sorted(w.spares) {
		if !spare.ready && now.Sub(spare.at) >= spareLimit {
			w.passedOver = append(w.passedOver, name)
			delete(w.spares, name)
		}
	}
	wanted := w.wantedBackups() - len(keep)
	if w.takingOver {
		wanted = len(w.durable.Record.Voters)
	}
	for len(w.spares) < wanted {
		chosen, found := w.chooseSpare(now, keep, without)
		if !found {
			// All were asked; those that were passed over are asked again.
			w.passedOver = nil
			break
		}
		w.spares[chosen.Name] = &asked{at: now, ready: statemachine.Mutated("copy-counts-at-once")}
		effects.Send(chosen.Address, InstallSnapshot{
			Epoch: w.durable.Record.Epoch, TargetEpoch: w.durable.Record.Epoch + 1, Index: w.index, State: w.stateMachine.Snapshot(),
		})
	}
	w.keep = keep
	w.conclude(now, effects)
	w.timers.ArmSooner("follow", now.Add(gatherFor))
}

// conclude asks for the next epoch once enough spares are ready.
func (w *Node) conclude(now time.Time, effects *statemachine.Effects) {
	var ready, leaving []Controller
	pending := 0
	oldest := now
	for name, spare := range statemachine.Sorted(w.spares) {
		if spare.at.Before(oldest) {
			oldest = spare.at
		}
		if !spare.ready {
			pending++
			continue
		}
		if controller, found := w.durable.Record.VoterNamed(name); found && spare.leaving {
			leaving = append(leaving, controller)
		} else if found {
			ready = append(ready, controller)
		}
	}
	record := w.durable.Record
	backups := slices.Clone(w.keep)
	missing := w.wantedBackups() - len(backups) - len(ready) - len(leaving)
	if pending > 0 && (missing > 0 || w.takingOver && now.Sub(oldest) < gatherFor) {
		return
	}
	// Who is about to leave gets a copy only where nobody else can have it.
	for _, several := range [][]Controller{ready, leaving} {
		for len(several) > 0 && len(backups) < w.wantedBackups() {
			best := w.farthest(record.Voters, several, backups)
			backups = append(backups, best.Name)
			several = slices.DeleteFunc(several, func(controller Controller) bool { return controller.SameAs(best) })
		}
	}
	if len(backups) < w.neededBackups() || !w.takingOver && slices.Equal(backups, record.Backups) {
		return
	}
	w.gathered = true
	w.begin(now, Record{Epoch: record.Epoch + 1, Primary: w.settings.Self.Name, Backups: backups, Voters: record.Voters}, effects)
}

func (w *Node) onFrame(_ time.Time, from string, frame InstallSnapshot, effects *statemachine.Effects) {
	record := w.durable.Record
	if w.blank {
		return
	}
	if frame.Epoch != record.Epoch {
		if frame.Epoch < record.Epoch {
			effects.Send(from, Decided{Record: record})
		} else {
			w.askRecord(from, effects)
		}
		return
	}
	returned := InstallSnapshotResponse{Epoch: frame.Epoch, TargetEpoch: frame.TargetEpoch, Index: frame.Index, Leaving: w.leaving}
	sender := w.nameOf(from, record.Voters)
	if frame.TargetEpoch == record.Epoch+1 && w.member() && (sender == record.Primary || slices.Contains(record.Backups, sender)) {
		held := &spareFrame{From: sender, For: frame.TargetEpoch, Index: frame.Index, State: frame.State}
		w.frames[sender] = held
		w.write(effects, diskEntry{Spare: held}, func(_ time.Time, effects *statemachine.Effects) {
			effects.Send(from, returned)
		})
		return
	}
	if frame.TargetEpoch != record.Epoch || sender != record.Primary || !w.isBackup() || w.takingOver || w.frozen() {
		return
	}
	if w.durable.CompleteEpoch == record.Epoch && frame.Index < w.index {
		// An older frame that came late; what was acknowledged since stays.
		return
	}
	if err := w.stateMachine.Restore(frame.State); err != nil {
		return
	}
	w.index = frame.Index
	w.writeState(frame.State, effects)
	w.durable.CompleteEpoch = record.Epoch
	w.saveDurable(effects, func(_ time.Time, effects *statemachine.Effects) {
		effects.Send(from, returned)
	})
}

func (w *Node) onFrameResponse(now time.Time, from string, returned InstallSnapshotResponse, effects *statemachine.Effects) {
	record := w.durable.Record
	if returned.Epoch != record.Epoch {
		return
	}
	name := w.nameOf(from, record.Voters)
	if returned.TargetEpoch == record.Epoch+1 {
		spare, found := w.spares[name]
		if !found || returned.Index != w.index || w.gathered || w.trying != nil {
			return
		}
		if !w.takingOver && (!w.replacing || !w.HoldsLease(now)) {
			return
		}
		spare.ready, spare.leaving = true, returned.Leaving
		w.conclude(now, effects)
		return
	}
	if copied, named := w.copies[name]; named && w.IsPrimary() && returned.Index == w.index && !w.gathered {
		copied.heard = now
		w.copyLevel(now, name, effects)
	}
}
