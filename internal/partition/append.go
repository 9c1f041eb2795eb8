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

// failPending tells those that wait on a partition that this store can't say.
func (s *Store) failPending(partition *replica, code string, effects *statemachine.Effects) {
	for offset, waiters := range statemachine.Sorted(partition.pending) {
		delete(partition.pending, offset)
		for _, each := range waiters {
			effects.Send(each.from, AppendResponse{Partition: partition.log.Name, RequestID: each.requestID, Outcome: OutcomeUnresolved, Code: code, Epoch: partition.placement.Epoch})
		}
	}
}

func (s *Store) handleAppend(now time.Time, from string, request Append, effects *statemachine.Effects) {
	s.Counts.Appends++
	partition, found := s.replicas[request.Partition]
	refuse := func(code string, back time.Duration) {
		s.Counts.Rejected++
		epoch := uint64(0)
		if found {
			epoch = partition.placement.Epoch
		}
		s.decisions.Record(now, "", decisionlog.MessageName(request.Partition, request.Sender, request.Seq), request.Sender, "not-kept", "partition", request.Partition, "code", code, "epoch", epoch)
		effects.Send(from, AppendResponse{Partition: request.Partition, RequestID: request.RequestID, Outcome: OutcomeRejected, Code: code, RetryAfter: back, Epoch: epoch})
	}
	if !s.Ready() || !found || !s.isLeader(partition) {
		refuse("not-first", 200*time.Millisecond)
		return
	}
	if request.OffsetOnly {
		request.Data = nil
	}
	sender, known := partition.log.Senders[partition.log.senderKey(request.Topic, request.Sender)]
	if !known {
		sender = &senderState{}
	}
	if memory, known := sender.find(request.Seq); known && !statemachine.Mutated("no-resend-memory") {
		if memory.Digest != MessageDigest(request.Topic, request.Data) {
			refuse("seq-reused", 0)
			return
		}
		if memory.Offset <= partition.highWatermark && partition.placement.Complete {
			s.Counts.Duplicates++
			records := partition.log.recordsAfter(memory.Offset - 1)
			answer := AppendResponse{Partition: request.Partition, RequestID: request.RequestID, Outcome: OutcomeAccepted, Epoch: partition.placement.Epoch, Duplicate: true}
			if memory.Offset > partition.log.BaseOffset && len(records) > 0 {
				answer.Record = responseRecord(request.Partition, records[0])
			} else {
				answer.Record = Record{Offset: memory.Offset, Topic: request.Topic, Sender: request.Sender, Seq: request.Seq}
			}
			effects.Send(from, answer)
			return
		}
		partition.pending[memory.Offset] = append(partition.pending[memory.Offset], pendingAppend{from: from, requestID: request.RequestID, receivedAt: now})
		s.timers.ArmSooner("copy", now.Add(replicateInterval))
		return
	}
	if (request.Seq <= sender.LastSeq || request.DuplicateOnly) && !statemachine.Mutated("no-resend-memory") {
		if config.IsShared(request.Partition) && !partition.committedAll(sender) {
			// The later one may still come to nothing, and then an earlier try of
			// this one may be accepted by another first.
			refuse("passed", 200*time.Millisecond)
			return
		}
		refuse("old-seq", 0)
		return
	}
	if s.diskUnavailable {
		refuse("disk-refuses", partition.retryAfter())
		return
	}
	// What comes while the copies are being made waits for them, but not for
	// long, and not where they can't be made.
	if !partition.placement.Complete && (now.Sub(partition.placedAt) > maxCommitLag || !s.followersAlive(partition)) {
		refuse("follower-incomplete", partition.retryAfter())
		return
	}
	if partition.commitLag(now) > maxCommitLag {
		refuse("follower-silent", partition.retryAfter())
		return
	}
	head, _ := partition.log.end()
	record := Record{
		Offset: head + 1, Epoch: partition.placement.Epoch, Topic: request.Topic, Sender: request.Sender, Seq: request.Seq,
		Data: request.Data, AppendedAt: now, PreviousInTopic: partition.log.lastOffsetOf(request.Topic), Dependencies: request.Dependencies, OffsetOnly: request.OffsetOnly,
	}
	partition.log.append(record)
	partition.pending[record.Offset] = append(partition.pending[record.Offset], pendingAppend{from: from, requestID: request.RequestID, receivedAt: now})
	s.toReplicate[request.Partition] = true
	s.logEntry(diskEntry{Partition: request.Partition, Record: &record}, func(now time.Time, effects *statemachine.Effects) {
		if partition.log.stillHolds(record) {
			partition.syncedOffset = max(partition.syncedOffset, record.Offset)
			s.advanceHighWatermark(now, partition, effects)
		}
	})
}

// committedAll tells whether a sender's newest message is accepted, so that nothing
// of it with a lower seq ever will be.
func (h *replica) committedAll(sender *senderState) bool {
	if len(sender.Window) == 0 {
		return true
	}
	return h.servingEpoch == h.placement.Epoch && sender.Window[len(sender.Window)-1].Offset <= h.highWatermark
}

// responseRecord is a record as whoever asked for it to be kept is told of it.
func responseRecord(partition string, record Record) Record {
	if config.IsShared(partition) {
		record.Data, record.Topic, record.Sender, record.AppendedAt = nil, "", "", time.Time{}
	}
	return record
}

func (l *log) stillHolds(record Record) bool {
	epoch, found := l.epochAt(record.Offset)
	return !found || epoch == record.Epoch
}

// replicatedOffset is how far all named copies reach, as far as that is known.
func (h *replica) replicatedOffset() (uint64, bool) {
	all := h.syncedOffset
	for _, copied := range h.followers {
		if !copied.known {
			return 0, false
		}
		if !statemachine.Mutated("accept-on-one-disk") {
			all = min(all, copied.acknowledged)
		}
	}
	return all, len(h.followers) == len(h.placement.Followers)
}

// commitLag is for how long the oldest message that is not accepted has waited.
func (h *replica) commitLag(now time.Time) time.Duration {
	if records := h.log.recordsAfter(h.highWatermark); len(records) > 0 && h.servingEpoch == h.placement.Epoch {
		return now.Sub(records[0].AppendedAt)
	}
	return 0
}

// advanceHighWatermark accepts what is on the disks of all named copies.
func (s *Store) advanceHighWatermark(now time.Time, partition *replica, effects *statemachine.Effects) {
	if !s.isLeader(partition) {
		return
	}
	all, known := partition.replicatedOffset()
	if !known || !partition.placement.Complete || all <= partition.highWatermark && partition.servingEpoch == partition.placement.Epoch {
		return
	}
	// Whatever lay here when this epoch, or this process, began may have been
	// accepted: until all have it, nobody is told where the partition's head is.
	if partition.servingEpoch != partition.placement.Epoch && all < partition.epochStart {
		return
	}
	partition.servingEpoch = partition.placement.Epoch
	from := partition.highWatermark
	partition.highWatermark = max(partition.highWatermark, all)
	for offset, waiters := range statemachine.Sorted(partition.pending) {
		if offset > partition.highWatermark {
			break
		}
		delete(partition.pending, offset)
		records := partition.log.recordsAfter(offset - 1)
		if offset <= partition.log.BaseOffset || len(records) == 0 {
			continue
		}
		s.Counts.Accepted++
		s.decisions.Record(now, "", decisionlog.MessageName(partition.log.Name, records[0].Sender, records[0].Seq), records[0].Sender, "accepted",
			"partition", partition.log.Name, "epoch", partition.placement.Epoch, "offset", offset, "first", partition.placement.Leader, "followers", strings.Join(partition.placement.Followers, " "))
		for _, each := range waiters {
			effects.Send(each.from, AppendResponse{
				Partition: partition.log.Name, RequestID: each.requestID, Outcome: OutcomeAccepted, Epoch: partition.placement.Epoch, Record: responseRecord(partition.log.Name, records[0]),
			})
		}
	}
	if partition.highWatermark > from {
		for address, watcher := range statemachine.Sorted(s.subscribers) {
			if slices.Contains(watcher.partitions, partition.log.Name) {
				s.timers.ArmSooner("heads "+address, now.Add(highWatermarkInterval))
			}
		}
	}
}
