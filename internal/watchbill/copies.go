// The copies of the control state: the primary's and one on each backup that
// the epoch's record names, as many as machines may be lost. The primary syncs a
// command and sends it to all backups, and answers once each of them has synced
// it. A backup that is lost, or slow with one command, is replaced by a next
// epoch; any backup can take over. Whoever begins a next epoch first readies
// spares with the whole state, and takes the record itself, on its disk, before
// it asks others to: from then on neither it nor any backup that took such a
// record adds to the state of the present epoch, so that a spare's copy is never
// older than what was answered.
package watchbill

import (
	"slices"
	"time"

	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
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
	at    time.Time
	ready bool
}

// SetTolerance takes another tolerance from changed settings; the roster and the
// backups follow.
func (watch *Watch) SetTolerance(tolerance int) { watch.props.Tolerance = tolerance }

// neededBackups is how many backups must have synced what is answered, and
// wantedBackups how many there should be: one at least, so that another pilot
// can take over.
func (watch *Watch) neededBackups() int {
	if watch.props.Count > 0 {
		return max(1, watch.props.Tolerance)
	}
	if helm.Mutated("one-backup") {
		return min(1, watch.props.Tolerance)
	}
	return watch.props.Tolerance
}

func (watch *Watch) wantedBackups() int {
	return min(max(1, watch.neededBackups()), len(watch.durable.Record.Roster)-1)
}

// chooseBackups names backups of a roster without a past, in different
// localities where possible.
func (watch *Watch) chooseBackups(roster []Pilot) []string {
	var chosen []string
	for len(chosen) < min(max(1, watch.neededBackups()), len(roster)-1) {
		var others []Pilot
		for _, pilot := range roster {
			if !pilot.At(watch.props.Self) && !slices.Contains(chosen, pilot.Name) {
				others = append(others, pilot)
			}
		}
		chosen = append(chosen, watch.farthest(roster, others, chosen).Name)
	}
	return chosen
}

// farthest is the one of several pilots whose locality has the fewest copies:
// this pilot's own, and those of the named.
func (watch *Watch) farthest(roster, several []Pilot, named []string) Pilot {
	copies := map[string]int{watch.props.Self.Locality: 1}
	for _, pilot := range roster {
		if slices.Contains(named, pilot.Name) {
			copies[pilot.Locality]++
		}
	}
	best := several[0]
	for _, pilot := range several[1:] {
		if copies[pilot.Locality] < copies[best.Locality] {
			best = pilot
		}
	}
	return best
}

// frozen tells whether this pilot has taken a next epoch with another primary or
// other backups: nothing is added to the present one any more.
func (watch *Watch) frozen() bool {
	record, accepted := watch.durable.Record, watch.durable.Accepted
	return accepted.Epoch == record.Epoch+1 && (accepted.Primary != record.Primary || !slices.Equal(accepted.Backups, record.Backups))
}

// watchCopies begins to look after the backups that the record names.
func (watch *Watch) watchCopies(now time.Time) {
	watch.copies = map[string]*copied{}
	for _, name := range watch.durable.Record.Backups {
		watch.copies[name] = &copied{heard: now}
	}
}

// level tells whether all copies that are needed are there and whole.
func (watch *Watch) level() bool {
	for _, name := range watch.durable.Record.Backups {
		if !watch.copies[name].level {
			return false
		}
	}
	return len(watch.durable.Record.Backups) >= watch.neededBackups()
}

// Commands.

// Submit copies a command to all disks and then tells done. It is refused at
// once where this pilot may not act.
func (watch *Watch) Submit(now time.Time, command []byte, limit time.Duration, done Done, effects *helm.Effects) {
	if !watch.HoldsTenure(now) {
		done(now, effects, Refused)
		return
	}
	watch.queue = append(watch.queue, &submitted{command: command, done: done, limit: now.Add(limit)})
	watch.timers.ArmSooner("limits", now.Add(limit))
	if len(watch.queue) == 1 {
		watch.resumeQueue(now, effects)
	}
}

// Waiting tells how many commands are not yet committed.
func (watch *Watch) Waiting() int { return len(watch.queue) }

func (watch *Watch) resumeQueue(now time.Time, effects *helm.Effects) {
	if len(watch.queue) == 0 {
		return
	}
	head := watch.queue[0]
	if head.index > 0 {
		watch.sendAppend(now, effects)
		watch.settle(now, effects)
		return
	}
	if !watch.level() || watch.replacing || watch.frozen() {
		return
	}
	head.index, head.begun = watch.index+1, now
	epoch := watch.durable.Record.Epoch
	watch.write(effects, diskEntry{Index: head.index, Command: head.command}, func(now time.Time, effects *helm.Effects) {
		head.synced, head.begun = true, now
		if len(watch.queue) == 0 || watch.queue[0] != head || watch.durable.Record.Epoch != epoch && !watch.IsPrimary() {
			return
		}
		watch.timers.ArmSooner("follow", now.Add(slowAfter))
		watch.sendAppend(now, effects)
		watch.settle(now, effects)
	})
}

// sendAppend sends the command under way to all backups that lack it.
func (watch *Watch) sendAppend(now time.Time, effects *helm.Effects) {
	for _, name := range watch.durable.Record.Backups {
		watch.sendAppendTo(name, effects)
	}
}

func (watch *Watch) sendAppendTo(name string, effects *helm.Effects) {
	if len(watch.queue) == 0 || watch.replacing || !watch.queue[0].synced || watch.copies[name].acked >= watch.queue[0].index || helm.Mutated("answer-before-backup") {
		return
	}
	head := watch.queue[0]
	backup, _ := watch.durable.Record.Find(name)
	effects.Send(backup.Address, Append{Epoch: watch.durable.Record.Epoch, Index: head.index, Command: head.command})
}

func (watch *Watch) onAppend(now time.Time, from string, entry Append, effects *helm.Effects) {
	record := watch.durable.Record
	if watch.blank || entry.Epoch != record.Epoch {
		if !watch.blank && entry.Epoch < record.Epoch {
			effects.Send(from, Decided{Record: record})
		}
		return
	}
	if !watch.isBackup() || watch.durable.Complete != record.Epoch || watch.takingOver || watch.promisedAway() || watch.frozen() ||
		watch.nameOf(from, record.Roster) != record.Primary {
		return
	}
	watch.primaryHeard = now
	returned := AppendReturn{Epoch: entry.Epoch, Index: entry.Index}
	if entry.Index == watch.index+1 && watch.restoring == 0 {
		watch.ledger.Apply(now, entry.Command)
		watch.index = entry.Index
		watch.write(effects, diskEntry{Index: entry.Index, Command: entry.Command}, func(_ time.Time, effects *helm.Effects) {
			watch.diskIndex = max(watch.diskIndex, entry.Index)
			effects.Send(from, returned)
		})
		return
	}
	if entry.Index <= watch.diskIndex {
		effects.Send(from, returned)
	}
}

func (watch *Watch) onAppendReturn(now time.Time, from string, returned AppendReturn, effects *helm.Effects) {
	copied, named := watch.copies[watch.nameOf(from, watch.durable.Record.Roster)]
	if !named || !watch.IsPrimary() || returned.Epoch != watch.durable.Record.Epoch {
		return
	}
	copied.heard = now
	copied.acked = max(copied.acked, returned.Index)
	watch.settle(now, effects)
}

// settle ends the command under way once all backups have synced it. While a
// backup is being replaced nothing ends: the spares hold the state before.
func (watch *Watch) settle(now time.Time, effects *helm.Effects) {
	if len(watch.queue) == 0 || !watch.IsPrimary() || watch.replacing || watch.frozen() {
		return
	}
	head := watch.queue[0]
	if !head.synced || head.index != watch.index+1 || len(watch.durable.Record.Backups) < watch.neededBackups() {
		return
	}
	for _, name := range watch.durable.Record.Backups {
		if watch.copies[name].acked < head.index && !helm.Mutated("answer-before-backup") {
			return
		}
	}
	watch.ledger.Apply(now, head.command)
	watch.index = head.index
	watch.queue = watch.queue[1:]
	outcome := Committed
	if !watch.HoldsTenure(now) {
		outcome = Unsettled
	}
	head.done(now, effects, outcome)
	watch.resumeQueue(now, effects)
}

// onGrantOfBackup looks how far a backup's copy reaches, and levels it.
func (watch *Watch) onGrantOfBackup(now time.Time, from, name string, grant Grant, effects *helm.Effects) {
	copied := watch.copies[name]
	copied.heard = now
	record := watch.durable.Record
	if watch.gathered || watch.durable.Complete != record.Epoch {
		return
	}
	inFlight := len(watch.queue) > 0 && watch.queue[0].index > 0
	ahead := inFlight && grant.Index == watch.queue[0].index
	// A backup that lost its disk can't go on from a command under way either.
	if grant.Complete != record.Epoch || grant.Index < watch.index || grant.Index > watch.index && !ahead {
		copied.level = false
		effects.Send(from, Frame{Epoch: record.Epoch, For: record.Epoch, Index: watch.index, State: watch.ledger.Frame()})
		return
	}
	watch.copyLevel(now, name, effects)
	watch.sendAppendTo(name, effects)
}

// copyLevel notes that one backup's copy is whole.
func (watch *Watch) copyLevel(now time.Time, name string, effects *helm.Effects) {
	if watch.copies[name].level {
		return
	}
	watch.copies[name].level = true
	effects.Note(foghorn.BackupComplete, "backup", name, "index", watch.index)
	if watch.level() {
		watch.whole = true
		watch.resumeQueue(now, effects)
	}
}

// Replacing backups, and taking over from a lost primary.

// follow looks after the copies: the primary after its backups, and they after
// the primary.
func (watch *Watch) follow(now time.Time, effects *helm.Effects) {
	if watch.durable.Complete != watch.durable.Record.Epoch {
		return
	}
	switch {
	case watch.IsPrimary():
		watch.watchBackups(now, effects)
	case watch.isBackup():
		watch.watchPrimary(now, effects)
	}
}

// failing lists the backups that are lost, or slow with the command under way.
func (watch *Watch) failing(now time.Time) (lost, slow []string) {
	for _, name := range watch.durable.Record.Backups {
		copied := watch.copies[name]
		switch {
		case now.Sub(copied.heard) >= lostAfter:
			lost = append(lost, name)
		case len(watch.queue) > 0 && watch.queue[0].synced && copied.acked < watch.queue[0].index && now.Sub(watch.queue[0].begun) >= slowAfter && !helm.Mutated("patient-primary"):
			slow = append(slow, name)
		}
	}
	return lost, slow
}

// near is a backup in a locality that already has a copy, where there is a
// spare in one that has none: both copies would be lost with it.
func (watch *Watch) near(now time.Time) (string, bool) {
	if !watch.level() || len(watch.queue) > 0 || now.Sub(watch.decidedAt) < partAfter {
		return "", false
	}
	record := watch.durable.Record
	seen := map[string]bool{watch.props.Self.Locality: true}
	for _, name := range record.Backups {
		backup, _ := record.Find(name)
		if seen[backup.Locality] {
			others := slices.DeleteFunc(slices.Clone(record.Backups), func(other string) bool { return other == name })
			if spare, found := watch.chooseSpare(now, others, record.Backups); found && !watch.hasCopy(spare.Locality) {
				return name, true
			}
		}
		seen[backup.Locality] = true
	}
	return "", false
}

func (watch *Watch) hasCopy(locality string) bool {
	return locality == watch.props.Self.Locality || slices.ContainsFunc(watch.durable.Record.Backups, func(name string) bool {
		backup, _ := watch.durable.Record.Find(name)
		return backup.Locality == locality
	})
}

// watchBackups replaces backups that are lost, slow or near, and names more
// where there are too few. It goes on without, where no spare can be had and
// the backup comes back.
func (watch *Watch) watchBackups(now time.Time, effects *helm.Effects) {
	if !watch.HoldsTenure(now) || watch.trying != nil || watch.gathered {
		return
	}
	record := watch.durable.Record
	lost, slow := watch.failing(now)
	leave := append(lost, slow...)
	if name, found := watch.near(now); found && len(leave) == 0 && !watch.replacing {
		effects.Note(foghorn.BackupNear, "backup", name, "epoch", record.Epoch)
		leave = []string{name}
	} else if watch.replacing && len(watch.spares) > 0 {
		// Once begun it is brought to its end, for the same backups.
		leave = append(leave, slices.DeleteFunc(slices.Clone(watch.leave), func(name string) bool { return slices.Contains(leave, name) })...)
	}
	few := len(record.Backups) < watch.wantedBackups() && len(record.Roster) > watch.neededBackups()
	if few && len(leave) == 0 && !watch.replacing {
		_, found := watch.chooseSpare(now, record.Backups, record.Backups)
		few = found
	}
	if len(leave) == 0 && !few {
		if watch.replacing && len(watch.spares) == 0 {
			watch.replacing, watch.leave = false, nil
			watch.resumeQueue(now, effects)
		}
		return
	}
	if !watch.replacing {
		watch.replacing = true
		for _, name := range lost {
			effects.Note(foghorn.BackupLost, "backup", name, "epoch", record.Epoch)
		}
		for _, name := range slow {
			effects.Note(foghorn.BackupSlow, "backup", name, "epoch", record.Epoch, "index", watch.queue[0].index)
		}
	}
	watch.leave = leave
	watch.gather(now, slices.DeleteFunc(slices.Clone(record.Backups), func(name string) bool { return slices.Contains(leave, name) }), leave, effects)
}

// watchPrimary takes over from a primary that is silent; the backup that is
// named first goes first.
func (watch *Watch) watchPrimary(now time.Time, effects *helm.Effects) {
	if watch.unsure(now) || helm.Mutated("no-takeover") {
		return
	}
	patience := lostAfter + time.Duration(slices.Index(watch.durable.Record.Backups, watch.props.Self.Name))*followEvery
	if silence := now.Sub(watch.primaryHeard); silence < patience {
		watch.timers.ArmSooner("follow", now.Add(patience-silence))
		return
	}
	if !watch.takingOver {
		watch.takingOver = true
		effects.Note(foghorn.TakeoverBegun, "epoch", watch.durable.Record.Epoch, "primary", watch.durable.Record.Primary)
	}
	// The primary is asked as well: it may be back, and not be able to go on.
	watch.gather(now, nil, nil, effects)
}

// standDown gives a takeover up that has not been asked for yet, when the
// primary is heard again.
func (watch *Watch) standDown() {
	if watch.takingOver && watch.trying == nil && !watch.gathered {
		watch.takingOver = false
		watch.spares, watch.passedOver = map[string]*asked{}, nil
	}
}

// chooseSpare picks a pilot of the roster that holds no copy yet: not one of the
// kept, nor of those to be left out, nor asked already, nor passed over.
func (watch *Watch) chooseSpare(now time.Time, keep, without []string) (Pilot, bool) {
	var several []Pilot
	taken := slices.Clone(keep)
	for name := range helm.Sorted(watch.spares) {
		taken = append(taken, name)
	}
	for _, pilot := range watch.durable.Record.Roster {
		if pilot.At(watch.props.Self) || slices.Contains(taken, pilot.Name) || slices.Contains(without, pilot.Name) || slices.Contains(watch.passedOver, pilot.Name) {
			continue
		}
		if heard, found := watch.lastGrant[pilot.Name]; watch.IsPrimary() && (!found || now.Sub(heard) > lostAfter) {
			continue
		}
		several = append(several, pilot)
	}
	if len(several) == 0 {
		return Pilot{}, false
	}
	return watch.farthest(watch.durable.Record.Roster, several, taken), true
}

// gather readies spares for the next epoch: each gets the whole state first, and
// only then is a majority asked. The primary asks as many as it lacks; who takes
// over asks all at once, since it can't know who lives.
func (watch *Watch) gather(now time.Time, keep, without []string, effects *helm.Effects) {
	if watch.trying != nil || watch.gathered {
		return
	}
	for name, spare := range helm.Sorted(watch.spares) {
		if !spare.ready && now.Sub(spare.at) >= spareLimit {
			watch.passedOver = append(watch.passedOver, name)
			delete(watch.spares, name)
		}
	}
	wanted := watch.wantedBackups() - len(keep)
	if watch.takingOver {
		wanted = len(watch.durable.Record.Roster)
	}
	for len(watch.spares) < wanted {
		chosen, found := watch.chooseSpare(now, keep, without)
		if !found {
			// All were asked; those that were passed over are asked again.
			watch.passedOver = nil
			break
		}
		watch.spares[chosen.Name] = &asked{at: now}
		effects.Send(chosen.Address, Frame{
			Epoch: watch.durable.Record.Epoch, For: watch.durable.Record.Epoch + 1, Index: watch.index, State: watch.ledger.Frame(),
		})
	}
	watch.keep = keep
	watch.conclude(now, effects)
	watch.timers.ArmSooner("follow", now.Add(gatherFor))
}

// conclude asks for the next epoch once enough spares are ready.
func (watch *Watch) conclude(now time.Time, effects *helm.Effects) {
	var ready []Pilot
	pending := 0
	oldest := now
	for name, spare := range helm.Sorted(watch.spares) {
		if spare.at.Before(oldest) {
			oldest = spare.at
		}
		if !spare.ready {
			pending++
			continue
		}
		if pilot, found := watch.durable.Record.Find(name); found {
			ready = append(ready, pilot)
		}
	}
	record := watch.durable.Record
	backups := slices.Clone(watch.keep)
	missing := watch.wantedBackups() - len(backups) - len(ready)
	if pending > 0 && (missing > 0 || watch.takingOver && now.Sub(oldest) < gatherFor) {
		return
	}
	for len(ready) > 0 && len(backups) < watch.wantedBackups() {
		best := watch.farthest(record.Roster, ready, backups)
		backups = append(backups, best.Name)
		ready = slices.DeleteFunc(ready, func(pilot Pilot) bool { return pilot.At(best) })
	}
	if len(backups) < watch.neededBackups() || !watch.takingOver && slices.Equal(backups, record.Backups) {
		return
	}
	watch.gathered = true
	watch.begin(now, Record{Epoch: record.Epoch + 1, Primary: watch.props.Self.Name, Backups: backups, Roster: record.Roster}, effects)
}

func (watch *Watch) onFrame(now time.Time, from string, frame Frame, effects *helm.Effects) {
	record := watch.durable.Record
	if watch.blank {
		return
	}
	if frame.Epoch != record.Epoch {
		if frame.Epoch < record.Epoch {
			effects.Send(from, Decided{Record: record})
		} else {
			watch.askRecord(from, effects)
		}
		return
	}
	returned := FrameReturn{Epoch: frame.Epoch, For: frame.For, Index: frame.Index}
	sender := watch.nameOf(from, record.Roster)
	if frame.For == record.Epoch+1 && watch.member() && (sender == record.Primary || slices.Contains(record.Backups, sender)) {
		held := &spareFrame{From: sender, For: frame.For, Index: frame.Index, State: frame.State}
		watch.frames[sender] = held
		watch.write(effects, diskEntry{Spare: held}, func(_ time.Time, effects *helm.Effects) {
			effects.Send(from, returned)
		})
		return
	}
	if frame.For != record.Epoch || sender != record.Primary || !watch.isBackup() || watch.takingOver || watch.frozen() {
		return
	}
	if watch.durable.Complete == record.Epoch && frame.Index < watch.index {
		// An older frame that came late; what was acknowledged since stays.
		return
	}
	if fault := watch.ledger.Restore(frame.State); fault != nil {
		return
	}
	watch.index = frame.Index
	watch.writeState(frame.State, effects)
	watch.durable.Complete = record.Epoch
	watch.saveDurable(effects, func(_ time.Time, effects *helm.Effects) {
		effects.Send(from, returned)
	})
}

func (watch *Watch) onFrameReturn(now time.Time, from string, returned FrameReturn, effects *helm.Effects) {
	record := watch.durable.Record
	if returned.Epoch != record.Epoch {
		return
	}
	name := watch.nameOf(from, record.Roster)
	if returned.For == record.Epoch+1 {
		spare, found := watch.spares[name]
		if !found || returned.Index != watch.index || watch.gathered || watch.trying != nil {
			return
		}
		if !watch.takingOver && !(watch.replacing && watch.HoldsTenure(now)) {
			return
		}
		spare.ready = true
		watch.conclude(now, effects)
		return
	}
	if copied, named := watch.copies[name]; named && watch.IsPrimary() && returned.Index == watch.index && !watch.gathered {
		copied.heard = now
		watch.copyLevel(now, name, effects)
	}
}

// Confirm asks a majority whether the present epoch still stands, so that an
// answer read from the primary's state can't be an old one.
func (watch *Watch) Confirm(now time.Time, done Done, effects *helm.Effects) {
	if !watch.Speaking(now) || !watch.stands() {
		done(now, effects, Refused)
		return
	}
	if helm.Mutated("tenure-for-ever") {
		done(now, effects, Committed)
		return
	}
	watch.nonce++
	waiting := confirmation{done: done, limit: now.Add(confirmLimit), givers: map[string]bool{watch.props.Self.Address: true}}
	watch.confirms[watch.nonce] = waiting
	watch.timers.ArmSooner("limits", now.Add(confirmLimit))
	for _, pilot := range watch.durable.Record.Roster {
		if !pilot.At(watch.props.Self) {
			effects.Send(pilot.Address, Confirm{Epoch: watch.durable.Record.Epoch, Nonce: watch.nonce})
		}
	}
	watch.confirmed(now, watch.nonce, effects)
}

// stands tells whether this pilot has let nobody else have the next epoch.
func (watch *Watch) stands() bool {
	return watch.member() && !watch.promisedAway() && !watch.acceptedAway() && !watch.takingOver
}

func (watch *Watch) onConfirm(now time.Time, from string, confirm Confirm, effects *helm.Effects) {
	if confirm.Epoch != watch.durable.Record.Epoch || !watch.stands() || watch.unsure(now) {
		return
	}
	effects.Send(from, ConfirmReturn{Epoch: confirm.Epoch, Nonce: confirm.Nonce})
}

func (watch *Watch) onConfirmReturn(now time.Time, from string, returned ConfirmReturn, effects *helm.Effects) {
	waiting, found := watch.confirms[returned.Nonce]
	if !found || returned.Epoch != watch.durable.Record.Epoch {
		return
	}
	waiting.givers[from] = true
	watch.confirmed(now, returned.Nonce, effects)
}

func (watch *Watch) confirmed(now time.Time, nonce uint64, effects *helm.Effects) {
	waiting := watch.confirms[nonce]
	if !enough(watch.durable.Record.Epoch+1, watch.durable.Record.Roster, waiting.givers) {
		return
	}
	delete(watch.confirms, nonce)
	if !watch.Speaking(now) || now.After(waiting.limit) {
		waiting.done(now, effects, Unsettled)
		return
	}
	waiting.done(now, effects, Committed)
}
