// Appending: a first gives a message its offset, and accepts it once every named
// copy lies on its disk.
package strand

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/chart"
	"dahlialock/internal/helm"
	"dahlialock/internal/soundings"
)

// giveUp tells those that wait on a strand that this keeper can't say.
func (keeper *Keeper) giveUp(strand *held, code string, effects *helm.Effects) {
	for offset, waiters := range helm.Sorted(strand.waiting) {
		delete(strand.waiting, offset)
		for _, each := range waiters {
			effects.Send(each.from, AppendReturn{Strand: strand.log.Name, Visit: each.visit, Outcome: Unsettled, Code: code, Epoch: strand.place.Epoch})
		}
	}
}

func (keeper *Keeper) onAppend(now time.Time, from string, visit Append, effects *helm.Effects) {
	keeper.Counts.Appends++
	strand, found := keeper.strands[visit.Strand]
	refuse := func(code string, back time.Duration) {
		keeper.Counts.RefusedVisits++
		epoch := uint64(0)
		if found {
			epoch = strand.place.Epoch
		}
		keeper.ring.Record(now, "", soundings.MessageName(visit.Strand, visit.Sender, visit.Seq), visit.Sender, "not-kept", "strand", visit.Strand, "code", code, "epoch", epoch)
		effects.Send(from, AppendReturn{Strand: visit.Strand, Visit: visit.Visit, Outcome: Refused, Code: code, RetryAfter: back, Epoch: epoch})
	}
	if !keeper.Ready() || !found || !keeper.isFirst(strand) {
		refuse("not-first", 200*time.Millisecond)
		return
	}
	if visit.Bare {
		visit.Data = nil
	}
	sender, known := strand.log.Senders[strand.log.memoryKey(visit.Topic, visit.Sender)]
	if !known {
		sender = &senderState{}
	}
	if memory, known := sender.find(visit.Seq); known && !helm.Mutated("no-resend-memory") {
		if memory.Digest != Digest(visit.Topic, visit.Data) {
			refuse("seq-reused", 0)
			return
		}
		if memory.Offset <= strand.accepted && strand.place.Complete {
			keeper.Counts.Again++
			records := strand.log.after(memory.Offset - 1)
			answer := AppendReturn{Strand: visit.Strand, Visit: visit.Visit, Outcome: Accepted, Epoch: strand.place.Epoch, Again: true}
			if memory.Offset > strand.log.Base && len(records) > 0 {
				answer.Record = answered(visit.Strand, records[0])
			} else {
				answer.Record = Record{Offset: memory.Offset, Topic: visit.Topic, Sender: visit.Sender, Seq: visit.Seq}
			}
			effects.Send(from, answer)
			return
		}
		strand.waiting[memory.Offset] = append(strand.waiting[memory.Offset], waiter{from: from, visit: visit.Visit, since: now})
		keeper.timers.ArmSooner("copy", now.Add(copyEvery))
		return
	}
	if (visit.Seq <= sender.LastSeq || visit.OnlyAgain) && !helm.Mutated("no-resend-memory") {
		if chart.IsShared(visit.Strand) && !strand.passedBy(sender) {
			// The later one may still come to nothing, and then an earlier try of
			// this one may be accepted by another first.
			refuse("passed", 200*time.Millisecond)
			return
		}
		refuse("old-seq", 0)
		return
	}
	if keeper.refused {
		refuse("disk-refuses", strand.back())
		return
	}
	// What comes while the copies are being made waits for them, but not for
	// long, and not where they can't be made.
	if !strand.place.Complete && (now.Sub(strand.placedAt) > lateAfter || !keeper.reachable(strand)) {
		refuse("understudy-incomplete", strand.back())
		return
	}
	if strand.overdue(now) > lateAfter {
		refuse("understudy-silent", strand.back())
		return
	}
	head, _ := strand.log.head()
	record := Record{
		Offset: head + 1, Epoch: strand.place.Epoch, Topic: visit.Topic, Sender: visit.Sender, Seq: visit.Seq,
		Data: visit.Data, At: now, Prior: strand.log.prior(visit.Topic), Before: visit.Before, Bare: visit.Bare,
	}
	strand.log.add(record)
	strand.waiting[record.Offset] = append(strand.waiting[record.Offset], waiter{from: from, visit: visit.Visit, since: now})
	keeper.dirty[visit.Strand] = true
	keeper.log(diskEntry{Strand: visit.Strand, Record: &record}, func(now time.Time, effects *helm.Effects) {
		if strand.log.epochIs(record) {
			strand.synced = max(strand.synced, record.Offset)
			keeper.settle(now, strand, effects)
		}
	})
}

// passedBy tells whether a sender's newest message is accepted, so that nothing
// of it with a lower seq ever will be.
func (strand *held) passedBy(sender *senderState) bool {
	if len(sender.Recent) == 0 {
		return true
	}
	return strand.firstSince == strand.place.Epoch && sender.Recent[len(sender.Recent)-1].Offset <= strand.accepted
}

// answered is a record as whoever asked for it to be kept is told of it.
func answered(strand string, record Record) Record {
	if chart.IsShared(strand) {
		record.Data, record.Topic, record.Sender, record.At = nil, "", "", time.Time{}
	}
	return record
}

func (log *log) epochIs(record Record) bool {
	epoch, found := log.epochAt(record.Offset)
	return !found || epoch == record.Epoch
}

// lasting is how far all named copies reach, as far as that is known.
func (strand *held) lasting() (uint64, bool) {
	all := strand.synced
	for _, copied := range strand.copies {
		if !copied.known {
			return 0, false
		}
		if !helm.Mutated("accept-on-one-disk") {
			all = min(all, copied.acked)
		}
	}
	return all, len(strand.copies) == len(strand.place.Understudies)
}

// overdue is for how long the oldest message that is not accepted has waited.
func (strand *held) overdue(now time.Time) time.Duration {
	if records := strand.log.after(strand.accepted); len(records) > 0 && strand.firstSince == strand.place.Epoch {
		return now.Sub(records[0].At)
	}
	return 0
}

// settle accepts what is on the disks of all named copies.
func (keeper *Keeper) settle(now time.Time, strand *held, effects *helm.Effects) {
	if !keeper.isFirst(strand) {
		return
	}
	all, known := strand.lasting()
	if !known || !strand.place.Complete || all <= strand.accepted && strand.firstSince == strand.place.Epoch {
		return
	}
	// Whatever lay here when this epoch, or this process, began may have been
	// accepted: until all have it, nobody is told where the strand's head is.
	if strand.firstSince != strand.place.Epoch && all < strand.floor {
		return
	}
	strand.firstSince = strand.place.Epoch
	from := strand.accepted
	strand.accepted = max(strand.accepted, all)
	for offset, waiters := range helm.Sorted(strand.waiting) {
		if offset > strand.accepted {
			break
		}
		delete(strand.waiting, offset)
		records := strand.log.after(offset - 1)
		if offset <= strand.log.Base || len(records) == 0 {
			continue
		}
		keeper.Counts.Accepted++
		keeper.ring.Record(now, "", soundings.MessageName(strand.log.Name, records[0].Sender, records[0].Seq), records[0].Sender, "accepted",
			"strand", strand.log.Name, "epoch", strand.place.Epoch, "offset", offset, "first", strand.place.First, "understudies", strings.Join(strand.place.Understudies, " "))
		for _, each := range waiters {
			effects.Send(each.from, AppendReturn{
				Strand: strand.log.Name, Visit: each.visit, Outcome: Accepted, Epoch: strand.place.Epoch, Record: answered(strand.log.Name, records[0]),
			})
		}
	}
	if strand.accepted > from {
		for address, follower := range helm.Sorted(keeper.followers) {
			if slices.Contains(follower.strands, strand.log.Name) {
				keeper.timers.ArmSooner("heads "+address, now.Add(headsEvery))
			}
		}
	}
}
