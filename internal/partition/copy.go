// Copying: a first sends each follower what it does not have yet, and knows of
// each how far its disk reaches.

package partition

import (
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// takeCopies follows the view: each follower that was not known, or runs anew,
// is asked what it has.
func (s *Store) takeCopies(partition *held) {
	var copies []*copied
	for _, name := range partition.place.Followers {
		member := s.follower.Members[name]
		present := &copied{name: name, holder: member.ReplicaID(), incarnation: member.Incarnation}
		for _, earlier := range partition.copies {
			if earlier.name == name && earlier.holder == present.holder && earlier.incarnation == present.incarnation {
				present = earlier
			}
		}
		if !present.known {
			s.dirty[partition.log.Name] = true
		}
		copies = append(copies, present)
	}
	partition.copies = copies
	if len(copies) == 0 && !partition.place.Complete {
		s.dirty[partition.log.Name] = true
	}
}

// reachable tells whether all followers are there.
func (s *Store) reachable(partition *held) bool {
	for _, name := range partition.place.Followers {
		if !s.follower.Members[name].Alive {
			return false
		}
	}
	return true
}

// copy sends the followers what they do not have yet.
func (s *Store) copy(now time.Time, partition *held, effects *statemachine.Effects) {
	if !s.isFirst(partition) {
		return
	}
	head, _ := partition.log.head()
	if len(partition.copies) == 0 {
		s.progress(now, partition, effects)
	}
	for _, copied := range partition.copies {
		if !copied.known || copied.acked < head {
			// Where the follower is away, it may come back without a new epoch.
			s.timers.ArmSooner("copy", now.Add(copyEvery))
			s.copyTo(now, partition, copied, effects)
		}
	}
}

func (s *Store) copyTo(now time.Time, partition *held, copied *copied, effects *statemachine.Effects) {
	follower := s.follower.Members[copied.name]
	head, headEpoch := partition.log.head()
	if !follower.Alive || copied.known && copied.sent >= head {
		return
	}
	if copied.whole.size > 0 && copied.whole.expired(now) {
		// Where the answer was lost and not the snapshot, asking is enough.
		copied.whole = snapshot{wait: copied.whole.wait}
	}
	if copied.whole.needed {
		// Records after a snapshot go when that has arrived.
		s.sendSnapshot(now, partition, copied, effects)
		return
	}
	after := max(copied.sent, copied.acked)
	if !copied.known {
		// The follower of a new epoch is asked first what it has.
		after = head
	}
	afterEpoch, held := partition.log.epochAt(after)
	if !held {
		after, afterEpoch = head, headEpoch
	}
	records := partition.log.after(after)
	records = slices.Clone(records[:min(len(records), copyLimit)])
	s.Counts.Copies++
	s.Counts.CopyRecords += uint64(len(records))
	effects.Send(follower.Address, Copy{
		Partition: partition.log.Name, Epoch: partition.place.Epoch, After: after, AfterEpoch: afterEpoch, Records: records, Ages: takeAges(now, records),
	})
	if copied.known {
		copied.sent = after + uint64(len(records))
		if partition.place.Complete && partition.firstSince == partition.place.Epoch {
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
func (s *Store) recopy(now time.Time, effects *statemachine.Effects) {
	waits := len(s.pending) > 0
	for _, partition := range statemachine.Sorted(s.partitions) {
		if !s.isFirst(partition) {
			continue
		}
		head, _ := partition.log.head()
		for _, copied := range partition.copies {
			if copied.known && copied.acked >= head {
				continue
			}
			waits = true
			if copied.whole.needed || now.Sub(copied.sentAt) >= copyEvery*time.Duration(min(1<<copied.tries, copyWaitMost)) {
				copied.tries = min(copied.tries+1, copyWaitMost)
				copied.sent = copied.acked
				s.copyTo(now, partition, copied, effects)
			}
		}
		waits = waits || len(partition.waiting) > 0
		s.giveUpLate(now, partition, effects)
	}
	s.tellLagging(now, effects)
	if waits {
		s.timers.ArmSooner("copy", now.Add(copyEvery))
	}
}

// giveUpLate tells those that have waited for long that it is unsettled, as soon
// as this store stops hoping.
func (s *Store) giveUpLate(now time.Time, partition *held, effects *statemachine.Effects) {
	for offset, waiters := range statemachine.Sorted(partition.waiting) {
		var patient []waiter
		for _, each := range waiters {
			if now.Sub(each.since) < silentFirst {
				patient = append(patient, each)
				continue
			}
			effects.Send(each.from, AppendResponse{Partition: partition.log.Name, Request: each.request, Outcome: Unsettled, Code: "follower-silent", Epoch: partition.place.Epoch})
		}
		partition.waiting[offset] = patient
		if len(patient) == 0 {
			delete(partition.waiting, offset)
		}
	}
}

func (s *Store) onCopy(now time.Time, from string, copied Copy, effects *statemachine.Effects) {
	partition, found := s.partitions[copied.Partition]
	if !s.Ready() {
		return
	}
	if !found {
		if _, placed := s.follower.Placements[copied.Partition]; !placed || s.follower.Placements[copied.Partition].Epoch >= copied.Epoch {
			s.follower.PollNow(now)
			return
		}
		partition = newHeld(newLog(copied.Partition))
		s.partitions[copied.Partition] = partition
	}
	if copied.Epoch < partition.place.Epoch {
		effects.Emit(logevent.PartitionStaleEpoch, "partition", copied.Partition, "epoch", copied.Epoch, "present", partition.place.Epoch)
		effects.Send(from, CopyResponse{Partition: copied.Partition, Epoch: copied.Epoch, Older: partition.place.Epoch})
		return
	}
	if copied.Epoch > partition.place.Epoch || !slices.Contains(partition.place.Followers, s.settings.Self.Name) {
		// News of this epoch is on its way; the first will send again.
		s.follower.PollNow(now)
		return
	}
	epoch, held := partition.log.epochAt(copied.After)
	if !held || epoch != copied.AfterEpoch {
		s.tellHave(partition, from, effects)
		return
	}
	for position, record := range copied.Records {
		present, known := partition.log.epochAt(record.Offset)
		if known && record.Offset > partition.log.Base {
			if present != record.Epoch {
				s.tellHave(partition, from, effects)
				return
			}
			continue
		}
		record.At = now
		if position < len(copied.Ages) {
			record.At = now.Add(-time.Duration(copied.Ages[position]) * time.Millisecond)
		}
		partition.log.add(record)
		s.log(diskEntry{Partition: copied.Partition, Record: &record}, nil)
	}
	if head, _ := partition.log.head(); len(copied.Records) == 0 && head > copied.After {
		// More is here than the first knows of: its log and this one differ.
		s.tellHave(partition, from, effects)
		return
	}
	s.confirm(partition, from, copied.Epoch)
}

// confirm answers once the disk has what the log has.
func (s *Store) confirm(partition *held, from string, epoch uint64) {
	head, headEpoch := partition.log.head()
	answer := func(now time.Time, effects *statemachine.Effects) {
		partition.synced = max(partition.synced, head)
		took := uint32(max(0, now.Sub(s.since).Milliseconds()))
		effects.Send(from, CopyResponse{Partition: partition.log.Name, Epoch: epoch, Have: head, HaveEpoch: headEpoch, Holder: sumOf(s.holder()), Took: took})
	}
	s.afters = append(s.afters, answer)
}

func (s *Store) tellHave(partition *held, to string, effects *statemachine.Effects) {
	head, epoch := partition.log.head()
	effects.Send(to, CopyResponse{Partition: partition.log.Name, Epoch: partition.place.Epoch, Have: head, HaveEpoch: epoch, Mismatch: true, Holder: sumOf(s.holder())})
}

func (s *Store) onCopyResponse(now time.Time, from string, returned CopyResponse, effects *statemachine.Effects) {
	partition, found := s.partitions[returned.Partition]
	if !found || !s.isFirst(partition) || returned.Epoch != partition.place.Epoch {
		return
	}
	if returned.Older > partition.place.Epoch {
		s.giveUp(partition, "moved", effects)
		s.follower.PollNow(now)
		return
	}
	copied := s.copyAt(partition, from, returned.Holder)
	if copied == nil {
		return
	}
	copied.tries = 0
	head, _ := partition.log.head()
	if returned.Mismatch {
		epoch, held := partition.log.epochAt(returned.Have)
		if held && epoch == returned.HaveEpoch && returned.Have >= partition.log.Base {
			// What it has may not be synced yet, so it does not count as
			// acknowledged; the next copy goes on from there.
			copied.known, copied.whole = true, snapshot{}
			copied.sent = returned.Have
			if returned.Have == head {
				// An empty copy asks for the word that all of it is synced.
				copied.known = false
			}
			s.dirty[returned.Partition] = true
			return
		}
		s.needSnapshot(now, partition, copied, effects)
		return
	}
	s.snapshotTaken(now, copied, effects)
	copied.known = true
	copied.acked = max(copied.acked, returned.Have)
	copied.sent = max(copied.sent, copied.acked)
	s.landed(copied, time.Duration(returned.Took)*time.Millisecond)
	if copied.sent < head {
		s.dirty[returned.Partition] = true
	}
	s.progress(now, partition, effects)
}

// copyAt finds the follower that an answer came from, with the disk that the
// view names: what another disk of it held does not count.
func (s *Store) copyAt(partition *held, from string, holder uint32) *copied {
	for _, copied := range partition.copies {
		if member := s.follower.Members[copied.name]; member.Alive && member.Address == from && sumOf(copied.holder) == holder {
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
func (s *Store) progress(now time.Time, partition *held, effects *statemachine.Effects) {
	if s.whole(partition) {
		s.timers.ArmSooner("tell", now)
	}
	s.settle(now, partition, effects)
}

// whole tells whether an incomplete partition's copies have all that may have been
// accepted before its epoch.
func (s *Store) whole(partition *held) bool {
	all, known := partition.lasting()
	return s.isFirst(partition) && !partition.place.Complete && known && all >= partition.floor
}

// tell reports the partitions whose copies are whole, until that is recorded.
func (s *Store) tell(now time.Time, effects *statemachine.Effects) {
	waits := false
	for name, partition := range statemachine.Sorted(s.partitions) {
		if !s.whole(partition) {
			continue
		}
		waits = true
		holders := []string{s.holder()}
		for _, copied := range partition.copies {
			holders = append(holders, copied.holder)
		}
		effects.Send(s.follower.Upstream(), membership.PartitionReplicated{Partition: name, Epoch: partition.place.Epoch, Replicas: holders})
	}
	if waits {
		s.timers.ArmSooner("tell", now.Add(tellEvery))
	}
}

func (s *Store) onFrame(now time.Time, from string, frame Frame, effects *statemachine.Effects) {
	partition, found := s.partitions[frame.Partition]
	if !s.Ready() || !found || frame.Epoch != partition.place.Epoch || !slices.Contains(partition.place.Followers, s.settings.Self.Name) {
		return
	}
	log := newLog(frame.Partition)
	if err := transport.Unmarshal(frame.State, log); err != nil || log.Name != frame.Partition {
		effects.Emit(logevent.MalformedFrame, "remote", from, "partition", frame.Partition)
		return
	}
	if partition.log.passed(log, frame.Epoch) && !statemachine.Mutated("any-frame") {
		return
	}
	log.shift(now.Sub(frame.Now))
	partition.log = log
	partition.synced = 0
	effects.Emit(logevent.PartitionSnapshotInstalled, "partition", frame.Partition, "epoch", frame.Epoch, "records", len(log.Records))
	s.log(diskEntry{Partition: frame.Partition, Frame: transport.MustMarshal(log)}, nil)
	s.confirm(partition, from, frame.Epoch)
}
