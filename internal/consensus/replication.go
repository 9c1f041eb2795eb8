// The copies of the control state: the primary's and one on each backup that
// the epoch's record names, as many as machines may be lost. The primary syncs a
// command and sends it to all backups, and answers once each of them has synced
// it. A backup that is lost, or slow with one command, is replaced by a next
// epoch; any backup can take over. Whoever begins a next epoch first readies
// spares with the whole state, and takes the record itself, on its disk, before
// it asks others to: from then on neither it nor any backup that took such a
// record adds to the state of the present epoch, so that a spare's copy is never
// older than what was answered.

package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// Spans of copying. A spare that is silent is passed over; one that takes over
// waits a little for more spares to choose from.
const (
	slowAfter   = 700 * time.Millisecond
	ownSlow     = time.Second
	spareLimit  = 600 * time.Millisecond
	gatherFor   = 150 * time.Millisecond
	followEvery = 300 * time.Millisecond
)

// copied is what the primary knows of one backup's copy.
type copied struct {
	heard time.Time
	level bool
	acked uint64
}

// asked is a spare that was sent the state.
type asked struct {
	at      time.Time
	ready   bool
	leaving bool
}

// SetTolerance takes another tolerance from changed settings; the voters and the
// backups follow.
func (w *Node) SetTolerance(tolerance int) { w.settings.Tolerance = tolerance }

// neededBackups is how many backups must have synced what is answered, and
// wantedBackups how many there should be: one at least, so that another controller
// can take over.
func (w *Node) neededBackups() int {
	if w.settings.ClusterSize > 0 {
		return max(1, w.settings.Tolerance)
	}
	if statemachine.Mutated("one-backup") {
		return min(1, w.settings.Tolerance)
	}
	return w.settings.Tolerance
}

func (w *Node) wantedBackups() int {
	return min(max(1, w.neededBackups()), len(w.durable.Record.Voters)-1)
}

// chooseBackups names backups of a voters without a past, in different
// zones where possible.
func (w *Node) chooseBackups(voters []Controller) []string {
	var chosen []string
	for len(chosen) < min(max(1, w.neededBackups()), len(voters)-1) {
		var others []Controller
		for _, controller := range voters {
			if !controller.SameAs(w.settings.Self) && !slices.Contains(chosen, controller.Name) {
				others = append(others, controller)
			}
		}
		chosen = append(chosen, w.farthest(voters, others, chosen).Name)
	}
	return chosen
}

// farthest is the one of several controllers whose zone has the fewest copies:
// this controller's own, and those of the named.
func (w *Node) farthest(voters, several []Controller, named []string) Controller {
	copies := map[string]int{w.settings.Self.Zone: 1}
	for _, controller := range voters {
		if slices.Contains(named, controller.Name) {
			copies[controller.Zone]++
		}
	}
	best := several[0]
	for _, controller := range several[1:] {
		if copies[controller.Zone] < copies[best.Zone] {
			best = controller
		}
	}
	return best
}

// frozen tells whether this controller has taken a next epoch with another primary or
// other backups: nothing is added to the present one any more.
func (w *Node) frozen() bool {
	record, accepted := w.durable.Record, w.durable.Accepted
	return accepted.Epoch == record.Epoch+1 && (accepted.Primary != record.Primary || !slices.Equal(accepted.Backups, record.Backups))
}

// watchCopies begins to look after the backups that the record names.
func (w *Node) watchCopies(now time.Time) {
	w.copies = map[string]*copied{}
	for _, name := range w.durable.Record.Backups {
		w.copies[name] = &copied{heard: now}
	}
}

// level tells whether all copies that are needed are there and whole.
func (w *Node) level() bool {
	for _, name := range w.durable.Record.Backups {
		if !w.copies[name].level {
			return false
		}
	}
	return len(w.durable.Record.Backups) >= w.neededBackups()
}

// Commands.

// Submit copies a command to all disks and then tells done. It is refused at
// once where this controller may not act.
func (w *Node) Submit(now time.Time, command []byte, limit time.Duration, done Done, effects *statemachine.Effects) {
	if !w.HoldsLease(now) {
		done(now, effects, Rejected)
		return
	}
	w.queue = append(w.queue, &submitted{command: command, done: done, limit: now.Add(limit)})
	w.timers.ArmSooner("limits", now.Add(limit))
	if len(w.queue) == 1 {
		w.resumeQueue(now, effects)
	}
}

// PendingProposals tells how many commands are not yet committed.
func (w *Node) PendingProposals() int { return len(w.queue) }

func (w *Node) resumeQueue(now time.Time, effects *statemachine.Effects) {
	if len(w.queue) == 0 {
		return
	}
	head := w.queue[0]
	if head.index > 0 {
		w.sendAppend(now, effects)
		w.settle(now, effects)
		return
	}
	if !w.level() || w.replacing || w.frozen() {
		return
	}
	head.index, head.begun = w.index+1, now
	epoch := w.durable.Record.Epoch
	w.write(effects, diskEntry{Index: head.index, Command: head.command}, func(now time.Time, effects *statemachine.Effects) {
		head.synced, head.begun = true, now
		if len(w.queue) == 0 || w.queue[0] != head || w.durable.Record.Epoch != epoch && !w.IsPrimary() {
			return
		}
		w.timers.ArmSooner("follow", now.Add(slowAfter))
		w.sendAppend(now, effects)
		w.settle(now, effects)
	})
}

// sendAppend sends the command under way to all backups that lack it.
func (w *Node) sendAppend(_ time.Time, effects *statemachine.Effects) {
	for _, name := range w.durable.Record.Backups {
		w.sendAppendTo(name, effects)
	}
}

func (w *Node) sendAppendTo(name string, effects *statemachine.Effects) {
	if len(w.queue) == 0 || w.replacing || !w.queue[0].synced || w.copies[name].acked >= w.queue[0].index || statemachine.Mutated("answer-before-backup") {
		return
	}
	head := w.queue[0]
	backup, _ := w.durable.Record.VoterNamed(name)
	effects.Send(backup.Address, Append{Epoch: w.durable.Record.Epoch, Index: head.index, Command: head.command})
}

func (w *Node) onAppend(now time.Time, from string, entry Append, effects *statemachine.Effects) {
	record := w.durable.Record
	if w.blank || entry.Epoch != record.Epoch {
		if !w.blank && entry.Epoch < record.Epoch {
			effects.Send(from, Decided{Record: record})
		}
		return
	}
	if !w.isBackup() || w.durable.CompleteEpoch != record.Epoch || w.takingOver || w.promisedAway() || w.frozen() ||
		w.nameOf(from, record.Voters) != record.Primary {
		return
	}
	w.primaryHeard = now
	returned := AppendResponse{Epoch: entry.Epoch, Index: entry.Index}
	if entry.Index == w.index+1 && w.restoring == 0 {
		w.stateMachine.Apply(now, entry.Command)
		w.index = entry.Index
		w.write(effects, diskEntry{Index: entry.Index, Command: entry.Command}, func(_ time.Time, effects *statemachine.Effects) {
			w.diskIndex = max(w.diskIndex, entry.Index)
			effects.Send(from, returned)
		})
		return
	}
	if entry.Index <= w.diskIndex {
		effects.Send(from, returned)
	}
}

func (w *Node) onAppendResponse(now time.Time, from string, returned AppendResponse, effects *statemachine.Effects) {
	copied, named := w.copies[w.nameOf(from, w.durable.Record.Voters)]
	if !named || !w.IsPrimary() || returned.Epoch != w.durable.Record.Epoch {
		return
	}
	copied.heard = now
	copied.acked = max(copied.acked, returned.Index)
	w.settle(now, effects)
}

// settle ends the command under way once all backups have synced it. While a
// backup is being replaced nothing ends: the spares hold the state before.
func (w *Node) settle(now time.Time, effects *statemachine.Effects) {
	if len(w.queue) == 0 || !w.IsPrimary() || w.replacing || w.frozen() {
		return
	}
	head := w.queue[0]
	if !head.synced || head.index != w.index+1 || len(w.durable.Record.Backups) < w.neededBackups() {
		return
	}
	for _, name := range w.durable.Record.Backups {
		if w.copies[name].acked < head.index && !statemachine.Mutated("answer-before-backup") {
			return
		}
	}
	w.stateMachine.Apply(now, head.command)
	w.index = head.index
	w.queue = w.queue[1:]
	outcome := Committed
	if !w.HoldsLease(now) {
		outcome = Indeterminate
	}
	head.done(now, effects, outcome)
	w.resumeQueue(now, effects)
}

// onGrantOfBackup looks how far a backup's copy reaches, and levels it.
func (w *Node) onGrantOfBackup(now time.Time, from, name string, grant LeaseGrant, effects *statemachine.Effects) {
	copied := w.copies[name]
	copied.heard = now
	record := w.durable.Record
	if w.gathered || w.durable.CompleteEpoch != record.Epoch {
		return
	}
	inFlight := len(w.queue) > 0 && w.queue[0].index > 0
	ahead := inFlight && grant.Index == w.queue[0].index
	// A backup that lost its disk can't go on from a command under way either.
	if grant.CompleteEpoch != record.Epoch || grant.Index < w.index || grant.Index > w.index && !ahead {
		copied.level = false
		effects.Send(from, InstallSnapshot{Epoch: record.Epoch, TargetEpoch: record.Epoch, Index: w.index, State: w.stateMachine.Snapshot()})
		return
	}
	w.copyLevel(now, name, effects)
	w.sendAppendTo(name, effects)
}

// copyLevel notes that one backup's copy is whole.
func (w *Node) copyLevel(now time.Time, name string, effects *statemachine.Effects) {
	if w.copies[name].level {
		return
	}
	w.copies[name].level = true
	effects.Emit(logevent.BackupSynchronized, "backup", name, "index", w.index)
	if w.level() {
		w.whole = true
		w.resumeQueue(now, effects)
	}
}

// Replacing backups, and taking over from a lost primary.

// follow looks after the copies: the primary after its backups, and they after
// the primary.
func (w *Node) follow(now time.Time, effects *statemachine.Effects) {
	if w.durable.CompleteEpoch != w.durable.Record.Epoch {
		return
	}
	switch {
	case w.IsPrimary():
		w.watchBackups(now, effects)
	case w.isBackup():
		w.watchPrimary(now, effects)
	}
}

// failing lists the backups that are lost, or slow with the command under way.
func (w *Node) failing(now time.Time) (lost, slow []string) {
	for _, name := range w.durable.Record.Backups {
		copied := w.copies[name]
		switch {
		case now.Sub(copied.heard) >= lostAfter:
			lost = append(lost, name)
		case len(w.queue) > 0 && w.queue[0].synced && copied.acked < w.queue[0].index && now.Sub(w.queue[0].begun) >= slowAfter && !statemachine.Mutated("patient-primary"):
			slow = append(slow, name)
		}
	}
	return lost, slow
}

// near is a backup in a zone that already has a copy, where there is a
// spare in one that has none: both copies would be lost with it.
func (w *Node) near(now time.Time) (string, bool) {
	if !w.level() || len(w.queue) > 0 || now.Sub(w.decidedAt) < partAfter {
		return "", false
	}
	record := w.durable.Record
	seen := map[string]bool{w.settings.Self.Zone: true}
	for _, name := range record.Backups {
		backup, _ := record.VoterNamed(name)
		if seen[backup.Zone] {
			others := slices.DeleteFunc(slices.Clone(record.Backups), func(other string) bool { return other == name })
			if spare, found := w.chooseSpare(now, others, record.Backups); found && !w.hasCopy(spare.Zone) {
				return name, true
			}
		}
		seen[backup.Zone] = true
	}
	return "", false
}

func (w *Node) hasCopy(zone string) bool {
	return zone == w.settings.Self.Zone || slices.ContainsFunc(w.durable.Record.Backups, func(name string) bool {
		backup, _ := w.durable.Record.VoterNamed(name)
		return backup.Zone == zone
	})
}

// watchBackups replaces backups that are lost, slow or near, and names more
// where there are too few. It goes on without, where no spare can be had and
// the backup comes back.
func (w *Node) watchBackups(now time.Time, effects *statemachine.Effects) {
	if !w.HoldsLease(now) || w.trying != nil || w.gathered {
		return
	}
	record := w.durable.Record
	lost, slow := w.failing(now)
	leave := append(lost, slow...)
	if name, found := w.near(now); found && len(leave) == 0 && !w.replacing {
		effects.Emit(logevent.BackupInSameZone, "backup", name, "epoch", record.Epoch)
		leave = []string{name}
	} else if name, found := w.departingBackup(now); found && len(leave) == 0 && !w.replacing {
		leave = []string{name}
	} else if w.replacing && len(w.spares) > 0 {
		// Once begun it is brought to its end, for the same backups.
		leave = append(leave, slices.DeleteFunc(slices.Clone(w.leave), func(name string) bool { return slices.Contains(leave, name) })...)
	}
	few := len(record.Backups) < w.wantedBackups() && len(record.Voters) > w.neededBackups()
	if few && len(leave) == 0 && !w.replacing {
		_, found := w.chooseSpare(now, record.Backups, record.Backups)
		few = found
	}
	if len(leave) == 0 && !few {
		if w.replacing && len(w.spares) == 0 {
			w.replacing, w.leave = false, nil
			w.resumeQueue(now, effects)
		}
		return
	}
	if !w.replacing {
		w.replacing = true
		for _, name := range lost {
			effects.Emit(logevent.BackupLost, "backup", name, "epoch", record.Epoch)
		}
		for _, name := range slow {
			effects.Emit(logevent.BackupSlow, "backup", name, "epoch", record.Epoch, "index", w.queue[0].index)
		}
	}
	w.leave = leave
	w.gather(now, slices.DeleteFunc(slices.Clone(record.Backups), func(name string) bool { return slices.Contains(leave, name) }), leave, effects)
}

// watchPrimary takes over from a primary that is silent; the backup that is
// named first goes first.
func (w *Node) watchPrimary(now time.Time, effects *statemachine.Effects) {
	if w.unsure(now) || statemachine.Mutated("no-takeover") {
		return
	}
	patience := lostAfter + time.Duration(slices.Index(w.durable.Record.Backups, w.settings.Self.Name))*followEvery
	if silence := now.Sub(w.primaryHeard); silence < patience {
		w.timers.ArmSooner("follow", now.Add(patience-silence))
		return
	}
	if !w.takingOver {
		w.takingOver = true
		effects.Emit(logevent.TakeoverStarted, "epoch", w.durable.Record.Epoch, "primary", w.durable.Record.Primary)
	}
	// The primary is asked as well: it may be back, and not be able to go on.
	w.gather(now, nil, nil, effects)
}

// standDown gives a takeover up that has not been asked for yet, when the
// primary is heard again.
func (w *Node) standDown() {
	if w.takingOver && w.trying == nil && !w.gathered {
		w.takingOver = false
		w.spares, w.passedOver = map[string]*asked{}, nil
	}
}

// limits gives up on what waited too long; a command that may already be on a
// disk is unsettled, one that was never begun is refused.
func (w *Node) limits(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for number, waiting := range statemachine.Sorted(w.confirms) {
		if !waiting.limit.After(now) {
			delete(w.confirms, number)
			waiting.done(now, effects, Indeterminate)
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
			waiting.done(now, effects, Indeterminate)
			waiting.done = func(time.Time, *statemachine.Effects, Outcome) {}
			waiting.limit = time.Time{}
			kept = append(kept, waiting)
			continue
		}
		waiting.done(now, effects, Rejected)
	}
	w.queue = kept
	if !next.IsZero() {
		w.timers.Arm("limits", next)
	}
}
