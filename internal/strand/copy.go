// Copying: a first sends each understudy what it does not have yet, and knows of
// each how far its disk reaches.
package strand

import (
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/flare"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
)

// takeCopies follows the view: each understudy that was not known, or runs anew,
// is asked what it has.
func (keeper *Keeper) takeCopies(strand *held) {
	var copies []*copied
	for _, name := range strand.place.Understudies {
		member := keeper.follower.Members[name]
		present := &copied{name: name, holder: member.Holder(), incarnation: member.Incarnation}
		for _, earlier := range strand.copies {
			if earlier.name == name && earlier.holder == present.holder && earlier.incarnation == present.incarnation {
				present = earlier
			}
		}
		if !present.known {
			keeper.dirty[strand.log.Name] = true
		}
		copies = append(copies, present)
	}
	strand.copies = copies
	if len(copies) == 0 && !strand.place.Complete {
		keeper.dirty[strand.log.Name] = true
	}
}

// reachable tells whether all understudies are there.
func (keeper *Keeper) reachable(strand *held) bool {
	for _, name := range strand.place.Understudies {
		if !keeper.follower.Members[name].Alive {
			return false
		}
	}
	return true
}

// copy sends the understudies what they do not have yet.
func (keeper *Keeper) copy(now time.Time, strand *held, effects *helm.Effects) {
	if !keeper.isFirst(strand) {
		return
	}
	head, _ := strand.log.head()
	if len(strand.copies) == 0 {
		keeper.progress(now, strand, effects)
	}
	for _, copied := range strand.copies {
		if !copied.known || copied.acked < head {
			// Where the understudy is away, it may come back without a new epoch.
			keeper.timers.ArmSooner("copy", now.Add(copyEvery))
			keeper.copyTo(now, strand, copied, effects)
		}
	}
}

func (keeper *Keeper) copyTo(now time.Time, strand *held, copied *copied, effects *helm.Effects) {
	understudy := keeper.follower.Members[copied.name]
	head, headEpoch := strand.log.head()
	if !understudy.Alive || copied.known && copied.sent >= head {
		return
	}
	after := max(copied.sent, copied.acked)
	if !copied.known {
		// The understudy of a new epoch is asked first what it has.
		after = head
	}
	afterEpoch, held := strand.log.epochAt(after)
	if !held {
		after, afterEpoch = head, headEpoch
	}
	records := strand.log.after(after)
	records = slices.Clone(records[:min(len(records), copyLimit)])
	keeper.Counts.Copies++
	keeper.Counts.CopyRecords += uint64(len(records))
	effects.Send(understudy.Address, Copy{
		Strand: strand.log.Name, Epoch: strand.place.Epoch, After: after, AfterEpoch: afterEpoch, Records: records, Ages: takeAges(now, records),
	})
	if copied.known {
		copied.sent = after + uint64(len(records))
		if strand.place.Complete && strand.firstSince == strand.place.Epoch {
			copied.flights = append(copied.flights, flight{until: copied.sent, at: now})
		}
	}
	copied.sentAt = now
}

// takeAges takes the times off records, and gives their ages up to the oldest that
// is not new.
func takeAges(now time.Time, records []Record) []uint32 {
	var ages []uint32
	for position := range records {
		age := uint32(max(0, now.Sub(records[position].At).Milliseconds()))
		records[position].At = time.Time{}
		if age > 0 {
			ages = append(ages, make([]uint32, position-len(ages))...)
			ages = append(ages, age)
		}
	}
	return ages
}

// recopy sends again what was not acknowledged for a while, more and more
// seldom, and ends the waiting of those that have waited for long.
func (keeper *Keeper) recopy(now time.Time, effects *helm.Effects) {
	waits := len(keeper.pending) > 0
	for _, strand := range helm.Sorted(keeper.strands) {
		if !keeper.isFirst(strand) {
			continue
		}
		head, _ := strand.log.head()
		for _, copied := range strand.copies {
			if copied.known && copied.acked >= head {
				continue
			}
			waits = true
			if now.Sub(copied.sentAt) >= copyEvery*time.Duration(min(1<<copied.tries, copyWaitMost)) {
				copied.tries = min(copied.tries+1, copyWaitMost)
				copied.sent = copied.acked
				keeper.copyTo(now, strand, copied, effects)
			}
		}
		waits = waits || len(strand.waiting) > 0
		keeper.giveUpLate(now, strand, effects)
	}
	keeper.tellLagging(now, effects)
	if waits {
		keeper.timers.ArmSooner("copy", now.Add(copyEvery))
	}
}

// giveUpLate tells those that have waited for long that it is unsettled, as soon
// as this keeper stops hoping.
func (keeper *Keeper) giveUpLate(now time.Time, strand *held, effects *helm.Effects) {
	for offset, waiters := range helm.Sorted(strand.waiting) {
		var patient []waiter
		for _, each := range waiters {
			if now.Sub(each.since) < silentFirst {
				patient = append(patient, each)
				continue
			}
			effects.Send(each.from, AppendReturn{Strand: strand.log.Name, Visit: each.visit, Outcome: Unsettled, Code: "understudy-silent", Epoch: strand.place.Epoch})
		}
		strand.waiting[offset] = patient
		if len(patient) == 0 {
			delete(strand.waiting, offset)
		}
	}
}

func (keeper *Keeper) onCopy(now time.Time, from string, copied Copy, effects *helm.Effects) {
	strand, found := keeper.strands[copied.Strand]
	if !keeper.Ready() {
		return
	}
	if !found {
		if _, placed := keeper.follower.Places[copied.Strand]; !placed || keeper.follower.Places[copied.Strand].Epoch >= copied.Epoch {
			keeper.follower.Hurry(now)
			return
		}
		strand = newHeld(newLog(copied.Strand))
		keeper.strands[copied.Strand] = strand
	}
	if copied.Epoch < strand.place.Epoch {
		effects.Note(foghorn.StrandOlderEpoch, "strand", copied.Strand, "epoch", copied.Epoch, "present", strand.place.Epoch)
		effects.Send(from, CopyReturn{Strand: copied.Strand, Epoch: copied.Epoch, Older: strand.place.Epoch})
		return
	}
	if copied.Epoch > strand.place.Epoch || !slices.Contains(strand.place.Understudies, keeper.props.Self.Name) {
		// News of this epoch is on its way; the first will send again.
		keeper.follower.Hurry(now)
		return
	}
	epoch, held := strand.log.epochAt(copied.After)
	if !held || epoch != copied.AfterEpoch {
		keeper.tellHave(strand, from, true, effects)
		return
	}
	for position, record := range copied.Records {
		present, known := strand.log.epochAt(record.Offset)
		if known && record.Offset > strand.log.Base {
			if present != record.Epoch {
				keeper.tellHave(strand, from, true, effects)
				return
			}
			continue
		}
		record.At = now
		if position < len(copied.Ages) {
			record.At = now.Add(-time.Duration(copied.Ages[position]) * time.Millisecond)
		}
		strand.log.add(record)
		keeper.log(diskEntry{Strand: copied.Strand, Record: &record}, nil)
	}
	if head, _ := strand.log.head(); len(copied.Records) == 0 && head > copied.After {
		// More is here than the first knows of: its log and this one differ.
		keeper.tellHave(strand, from, true, effects)
		return
	}
	keeper.confirm(strand, from, copied.Epoch)
}

// confirm answers once the disk has what the log has.
func (keeper *Keeper) confirm(strand *held, from string, epoch uint64) {
	head, headEpoch := strand.log.head()
	answer := func(now time.Time, effects *helm.Effects) {
		strand.synced = max(strand.synced, head)
		took := uint32(max(0, now.Sub(keeper.since).Milliseconds()))
		effects.Send(from, CopyReturn{Strand: strand.log.Name, Epoch: epoch, Have: head, HaveEpoch: headEpoch, Holder: sumOf(keeper.holder()), Took: took})
	}
	keeper.afters = append(keeper.afters, answer)
}

func (keeper *Keeper) tellHave(strand *held, to string, mismatch bool, effects *helm.Effects) {
	head, epoch := strand.log.head()
	effects.Send(to, CopyReturn{Strand: strand.log.Name, Epoch: strand.place.Epoch, Have: head, HaveEpoch: epoch, Mismatch: mismatch, Holder: sumOf(keeper.holder())})
}

func (keeper *Keeper) onCopyReturn(now time.Time, from string, returned CopyReturn, effects *helm.Effects) {
	strand, found := keeper.strands[returned.Strand]
	if !found || !keeper.isFirst(strand) || returned.Epoch != strand.place.Epoch {
		return
	}
	if returned.Older > strand.place.Epoch {
		keeper.giveUp(strand, "moved", effects)
		keeper.follower.Hurry(now)
		return
	}
	copied := keeper.copyAt(strand, from, returned.Holder)
	if copied == nil {
		return
	}
	copied.tries = 0
	head, _ := strand.log.head()
	if returned.Mismatch {
		epoch, held := strand.log.epochAt(returned.Have)
		if held && epoch == returned.HaveEpoch && returned.Have >= strand.log.Base {
			// What it has may not be synced yet, so it does not count as
			// acknowledged; the next copy goes on from there.
			copied.known = true
			copied.sent = returned.Have
			if returned.Have == head {
				// An empty copy asks for the word that all of it is synced.
				copied.known = false
			}
			keeper.dirty[returned.Strand] = true
			return
		}
		keeper.Counts.Frames++
		effects.Note(foghorn.StrandFrameSent, "strand", returned.Strand, "epoch", strand.place.Epoch, "have", returned.Have)
		effects.Send(from, Frame{Now: now, Strand: returned.Strand, Epoch: strand.place.Epoch, State: flare.MustMarshal(strand.log)})
		copied.sentAt = now
		return
	}
	copied.known = true
	copied.acked = max(copied.acked, returned.Have)
	copied.sent = max(copied.sent, copied.acked)
	keeper.landed(copied, time.Duration(returned.Took)*time.Millisecond)
	if copied.sent < head {
		keeper.dirty[returned.Strand] = true
	}
	keeper.progress(now, strand, effects)
}

// copyAt finds the understudy that an answer came from, with the disk that the
// view names: what another disk of it held does not count.
func (keeper *Keeper) copyAt(strand *held, from string, holder uint32) *copied {
	for _, copied := range strand.copies {
		if member := keeper.follower.Members[copied.name]; member.Alive && member.Address == from && sumOf(copied.holder) == holder {
			return copied
		}
	}
	return nil
}

func sumOf(holder string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(holder))
	return sum.Sum32()
}

// progress accepts what all copies have, and tells the primary once they have
// all that lay here when the epoch began.
func (keeper *Keeper) progress(now time.Time, strand *held, effects *helm.Effects) {
	if keeper.whole(strand) {
		keeper.timers.ArmSooner("tell", now)
	}
	keeper.settle(now, strand, effects)
}

// whole tells whether an incomplete strand's copies have all that may have been
// accepted before its epoch.
func (keeper *Keeper) whole(strand *held) bool {
	all, known := strand.lasting()
	return keeper.isFirst(strand) && !strand.place.Complete && known && all >= strand.floor
}

// tell reports the strands whose copies are whole, until that is recorded.
func (keeper *Keeper) tell(now time.Time, effects *helm.Effects) {
	waits := false
	for name, strand := range helm.Sorted(keeper.strands) {
		if !keeper.whole(strand) {
			continue
		}
		waits = true
		holders := []string{keeper.holder()}
		for _, copied := range strand.copies {
			holders = append(holders, copied.holder)
		}
		effects.Send(keeper.follower.Upstream(), beacon.StrandComplete{Strand: name, Epoch: strand.place.Epoch, Holders: holders})
	}
	if waits {
		keeper.timers.ArmSooner("tell", now.Add(tellEvery))
	}
}

func (keeper *Keeper) onFrame(now time.Time, from string, frame Frame, effects *helm.Effects) {
	strand, found := keeper.strands[frame.Strand]
	if !keeper.Ready() || !found || frame.Epoch != strand.place.Epoch || !slices.Contains(strand.place.Understudies, keeper.props.Self.Name) {
		return
	}
	log := newLog(frame.Strand)
	if fault := flare.Unmarshal(frame.State, log); fault != nil || log.Name != frame.Strand {
		effects.Note(foghorn.LinkGarbage, "remote", from, "strand", frame.Strand)
		return
	}
	log.shift(now.Sub(frame.Now))
	strand.log = log
	strand.synced = 0
	effects.Note(foghorn.StrandFrameTaken, "strand", frame.Strand, "epoch", frame.Epoch, "records", len(log.Records))
	keeper.log(diskEntry{Strand: frame.Strand, Frame: flare.MustMarshal(log)}, nil)
	keeper.confirm(strand, from, frame.Epoch)
}
