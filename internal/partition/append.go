// Appending: a first gives a message its offset, and accepts it once every named
// copy lies on its disk.

package partition

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/statemachine"
)

// giveUp tells those that wait on a partition that this store can't say.
func (s *Store) giveUp(partition *held, code string, effects *statemachine.Effects) {
	for offset, waiters := range statemachine.Sorted(partition.waiting) {
		delete(partition.waiting, offset)
		for _, each := range waiters {
			effects.Send(each.from, AppendResponse{Partition: partition.log.Name, RequestID: each.request, Outcome: OutcomeUnresolved, Code: code, Epoch: partition.place.Epoch})
		}
	}
}

func (s *Store) onAppend(now time.Time, from string, request Append, effects *statemachine.Effects) {
	s.Counts.Appends++
	partition, found := s.partitions[request.Partition]
	refuse := func(code string, back time.Duration) {
		s.Counts.RefusedRequests++
		epoch := uint64(0)
		if found {
			epoch = partition.place.Epoch
		}
		s.ring.Record(now, "", decisionlog.MessageName(request.Partition, request.Sender, request.Seq), request.Sender, "not-kept", "partition", request.Partition, "code", code, "epoch", epoch)
		effects.Send(from, AppendResponse{Partition: request.Partition, RequestID: request.RequestID, Outcome: OutcomeRejected, Code: code, RetryAfter: back, Epoch: epoch})
	}
	if !s.Ready() || !found || !s.isFirst(partition) {
		refuse("not-first", 200*time.Millisecond)
		return
	}
	if request.OffsetOnly {
		request.Data = nil
	}
	sender, known := partition.log.Senders[partition.log.memoryKey(request.Topic, request.Sender)]
	if !known {
		sender = &senderState{}
	}
	if memory, known := sender.find(request.Seq); known && !statemachine.Mutated("no-resend-memory") {
		if memory.Digest != MessageDigest(request.Topic, request.Data) {
			refuse("seq-reused", 0)
			return
		}
		if memory.Offset <= partition.accepted && partition.place.Complete {
			s.Counts.Again++
			records := partition.log.after(memory.Offset - 1)
			answer := AppendResponse{Partition: request.Partition, RequestID: request.RequestID, Outcome: OutcomeAccepted, Epoch: partition.place.Epoch, Duplicate: true}
			if memory.Offset > partition.log.Base && len(records) > 0 {
				answer.Record = answered(request.Partition, records[0])
			} else {
				answer.Record = Record{Offset: memory.Offset, Topic: request.Topic, Sender: request.Sender, Seq: request.Seq}
			}
			effects.Send(from, answer)
			return
		}
		partition.waiting[memory.Offset] = append(partition.waiting[memory.Offset], waiter{from: from, request: request.RequestID, since: now})
		s.timers.ArmSooner("copy", now.Add(copyEvery))
		return
	}
	if (request.Seq <= sender.LastSeq || request.DuplicateOnly) && !statemachine.Mutated("no-resend-memory") {
		if config.IsShared(request.Partition) && !partition.passedBy(sender) {
			// The later one may still come to nothing, and then an earlier try of
			// this one may be accepted by another first.
			refuse("passed", 200*time.Millisecond)
			return
		}
		refuse("old-seq", 0)
		return
	}
	if s.refused {
		refuse("disk-refuses", partition.back())
		return
	}
	// What comes while the copies are being made waits for them, but not for
	// long, and not where they can't be made.
	if !partition.place.Complete && (now.Sub(partition.placedAt) > lateAfter || !s.reachable(partition)) {
		refuse("follower-incomplete", partition.back())
		return
	}
	if partition.overdue(now) > lateAfter {
		refuse("follower-silent", partition.back())
		return
	}
	head, _ := partition.log.head()
	record := Record{
		Offset: head + 1, Epoch: partition.place.Epoch, Topic: request.Topic, Sender: request.Sender, Seq: request.Seq,
		Data: request.Data, AppendedAt: now, PreviousInTopic: partition.log.prior(request.Topic), Dependencies: request.Dependencies, OffsetOnly: request.OffsetOnly,
	}
	partition.log.add(record)
	partition.waiting[record.Offset] = append(partition.waiting[record.Offset], waiter{from: from, request: request.RequestID, since: now})
	s.dirty[request.Partition] = true
	s.log(diskEntry{Partition: request.Partition, Record: &record}, func(now time.Time, effects *statemachine.Effects) {
		if partition.log.epochIs(record) {
			partition.synced = max(partition.synced, record.Offset)
			s.settle(now, partition, effects)
		}
	})
}

// passedBy tells whether a sender's newest message is accepted, so that nothing
// of it with a lower seq ever will be.
func (h *held) passedBy(sender *senderState) bool {
	if len(sender.Recent) == 0 {
		return true
	}
	return h.firstSince == h.place.Epoch && sender.Recent[len(sender.Recent)-1].Offset <= h.accepted
}

// answered is a record as whoever asked for it to be kept is told of it.
func answered(partition string, record Record) Record {
	if config.IsShared(partition) {
		record.Data, record.Topic, record.Sender, record.AppendedAt = nil, "", "", time.Time{}
	}
	return record
}

func (l *log) epochIs(record Record) bool {
	epoch, found := l.epochAt(record.Offset)
	return !found || epoch == record.Epoch
}

// lasting is how far all named copies reach, as far as that is known.
func (h *held) lasting() (uint64, bool) {
	all := h.synced
	for _, copied := range h.copies {
		if !copied.known {
			return 0, false
		}
		if !statemachine.Mutated("accept-on-one-disk") {
			all = min(all, copied.acked)
		}
	}
	return all, len(h.copies) == len(h.place.Followers)
}

// overdue is for how long the oldest message that is not accepted has waited.
func (h *held) overdue(now time.Time) time.Duration {
	if records := h.log.after(h.accepted); len(records) > 0 && h.firstSince == h.place.Epoch {
		return now.Sub(records[0].AppendedAt)
	}
	return 0
}

// settle accepts what is on the disks of all named copies.
func (s *Store) settle(now time.Time, partition *held, effects *statemachine.Effects) {
	if !s.isFirst(partition) {
		return
	}
	all, known := partition.lasting()
	if !known || !partition.place.Complete || all <= partition.accepted && partition.firstSince == partition.place.Epoch {
		return
	}
	// Whatever lay here when this epoch, or this process, began may have been
	// accepted: until all have it, nobody is told where the partition's head is.
	if partition.firstSince != partition.place.Epoch && all < partition.floor {
		return
	}
	partition.firstSince = partition.place.Epoch
	from := partition.accepted
	partition.accepted = max(partition.accepted, all)
	for offset, waiters := range statemachine.Sorted(partition.waiting) {
		if offset > partition.accepted {
			break
		}
		delete(partition.waiting, offset)
		records := partition.log.after(offset - 1)
		if offset <= partition.log.Base || len(records) == 0 {
			continue
		}
		s.Counts.Accepted++
		s.ring.Record(now, "", decisionlog.MessageName(partition.log.Name, records[0].Sender, records[0].Seq), records[0].Sender, "accepted",
			"partition", partition.log.Name, "epoch", partition.place.Epoch, "offset", offset, "first", partition.place.Leader, "followers", strings.Join(partition.place.Followers, " "))
		for _, each := range waiters {
			effects.Send(each.from, AppendResponse{
				Partition: partition.log.Name, RequestID: each.request, Outcome: OutcomeAccepted, Epoch: partition.place.Epoch, Record: answered(partition.log.Name, records[0]),
			})
		}
	}
	if partition.accepted > from {
		for address, watcher := range statemachine.Sorted(s.watchers) {
			if slices.Contains(watcher.partitions, partition.log.Name) {
				s.timers.ArmSooner("heads "+address, now.Add(headsEvery))
			}
		}
	}
}
