// Appending: a first gives a message its offset, and accepts it once every named
// copy lies on its disk.

package partition

import (
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

// responseRecord is a record as whoever asked for it to be kept is told of it.
func responseRecord(partition string, record Record) Record {
	if config.IsShared(partition) {
		record.Data, record.Topic, record.Sender, record.AppendedAt = nil, "", "", time.Time{}
	}
	return record
}

// expirePending tells those that have waited for long that it is unsettled, as soon
// as this store stops hoping.
func (s *Store) expirePending(now time.Time, partition *replica, effects *statemachine.Effects) {
	for offset, waiters := range statemachine.Sorted(partition.pending) {
		var patient []pendingAppend
		for _, each := range waiters {
			if now.Sub(each.receivedAt) < appendTimeout {
				patient = append(patient, each)
				continue
			}
			effects.Send(each.from, AppendResponse{Partition: partition.log.Name, RequestID: each.requestID, Outcome: OutcomeUnresolved, Code: "follower-silent", Epoch: partition.placement.Epoch})
		}
		partition.pending[offset] = patient
		if len(patient) == 0 {
			delete(partition.pending, offset)
		}
	}
}

type pendingAppend struct {
	from       string
	requestID  uint64
	receivedAt time.Time
}
