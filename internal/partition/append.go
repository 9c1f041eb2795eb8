package partition

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/statemachine"
)

const (
	// notLeaderRetryAfter is the retry delay sent with CodeNotLeader and CodeSequencePassed.
	notLeaderRetryAfter = 200 * time.Millisecond
	// maxCommitLag is the longest time that the oldest record above the high watermark may wait
	// for the followers before further appends are rejected. An incomplete partition queues
	// appends for at most the same time after its placement.
	maxCommitLag = 400 * time.Millisecond
	// appendTimeout is how long an append may be pending before it is answered with
	// OutcomeUnresolved.
	appendTimeout = 600 * time.Millisecond
)

// pendingAppend is an append whose record is not accepted yet.
type pendingAppend struct {
	from       string
	requestID  uint64
	receivedAt time.Time
}

// rejection is the reason why an append is rejected, and the delay after which it may be retried;
// zero if a retry is of no use.
type rejection struct {
	code       string
	retryAfter time.Duration
}

// handleAppend appends a message to the partition's log, or finds the record that it duplicates.
// A rejection is sent at once. Any other append is answered once its record is accepted, or with
// OutcomeUnresolved if that takes too long or this store will not learn whether it is accepted.
func (s *Store) handleAppend(now time.Time, from string, request Append, effects *statemachine.Effects) {
	s.Counts.Appends++
	partition, found := s.replicas[request.Partition]
	if !s.Ready() || !found || !s.isLeader(partition) {
		reason := rejection{code: CodeNotLeader, retryAfter: notLeaderRetryAfter}
		s.rejectAppend(now, from, request, reason, effects)
		return
	}
	if request.OffsetOnly {
		request.Data = nil
	}
	sender := partition.log.sender(request.Topic, request.Sender)
	if entry, known := sender.find(request.Seq); known && !statemachine.Mutated("no-resend-memory") {
		s.handleDuplicate(now, from, request, entry, effects)
		return
	}
	if reason, rejected := s.checkAppend(now, partition, sender, request); rejected {
		s.rejectAppend(now, from, request, reason, effects)
		return
	}
	s.appendRecord(now, from, request)
}

// handleDuplicate responds to a message that was appended before: at once if its record is
// accepted, and otherwise together with the earlier request.
func (s *Store) handleDuplicate(
	now time.Time, from string, request Append, entry dedupEntry, effects *statemachine.Effects,
) {
	partition := s.replicas[request.Partition]
	if entry.Digest != MessageDigest(request.Topic, request.Data) {
		s.rejectAppend(now, from, request, rejection{code: CodeSequenceReused}, effects)
		return
	}
	if entry.Offset > partition.highWatermark || !partition.placement.Complete {
		partition.addPending(entry.Offset, pendingAppend{from: from, requestID: request.RequestID, receivedAt: now})
		s.timers.ArmSooner(timerReplicate, now.Add(replicateInterval))
		return
	}
	s.Counts.Duplicates++
	response := AppendResponse{
		Partition: request.Partition,
		RequestID: request.RequestID,
		Outcome:   OutcomeAccepted,
		Epoch:     partition.placement.Epoch,
		Duplicate: true,
	}
	if record, retained := partition.log.recordAt(entry.Offset); retained {
		response.Record = responseRecord(request.Partition, record)
	} else {
		response.Record = Record{
			Offset: entry.Offset,
			Topic:  request.Topic,
			Sender: request.Sender,
			Seq:    request.Seq,
		}
	}
	effects.Send(from, response)
}

// checkAppend reports whether a message that isn't a duplicate must be rejected, and why.
func (s *Store) checkAppend(
	now time.Time, partition *replica, sender *senderState, request Append,
) (reason rejection, rejected bool) {
	stale := request.Seq <= sender.LastSeq || request.DuplicateOnly
	if stale && !statemachine.Mutated("no-resend-memory") {
		if !partition.newestAccepted(sender) {
			// The later message may still be lost, and then another leader may accept an earlier
			// attempt of this one.
			return rejection{code: CodeSequencePassed, retryAfter: notLeaderRetryAfter}, true
		}
		return rejection{code: CodeSequenceStale}, true
	}
	if s.writes.unavailable {
		return rejection{code: CodeDiskUnavailable, retryAfter: partition.retryAfter()}, true
	}
	// Appends to an incomplete partition wait for the followers to catch up, but for at most
	// maxCommitLag after the placement, and only while all followers are alive.
	late := now.Sub(partition.placedAt) > maxCommitLag
	if !partition.placement.Complete && (late || !s.followersAlive(partition)) {
		return rejection{code: CodeFollowerIncomplete, retryAfter: partition.retryAfter()}, true
	}
	if partition.commitLag(now) > maxCommitLag {
		return rejection{code: CodeFollowerSilent, retryAfter: partition.retryAfter()}, true
	}
	return rejection{}, false
}

// appendRecord appends a message to the leader's log and writes it to disk.
func (s *Store) appendRecord(now time.Time, from string, request Append) {
	partition := s.replicas[request.Partition]
	lastOffset, _ := partition.log.end()
	record := Record{
		Offset:          lastOffset + 1,
		Epoch:           partition.placement.Epoch,
		Topic:           request.Topic,
		Sender:          request.Sender,
		Seq:             request.Seq,
		Data:            request.Data,
		AppendedAt:      now,
		PreviousInTopic: partition.log.lastOffsetOf(request.Topic),
		Dependencies:    request.Dependencies,
		OffsetOnly:      request.OffsetOnly,
	}
	partition.log.append(record)
	partition.addPending(record.Offset, pendingAppend{from: from, requestID: request.RequestID, receivedAt: now})
	s.toReplicate[request.Partition] = true
	s.logEntry(diskEntry{Partition: request.Partition, Record: &record})
	s.afterSync(func(now time.Time, effects *statemachine.Effects) {
		if partition.log.notReplaced(record) {
			partition.syncedOffset = max(partition.syncedOffset, record.Offset)
			s.advanceHighWatermark(now, partition, effects)
		}
	})
}

// rejectAppend responds that an append was rejected, and adds that to the decision log.
func (s *Store) rejectAppend(
	now time.Time, from string, request Append, reason rejection, effects *statemachine.Effects,
) {
	s.Counts.Rejected++
	epoch := uint64(0)
	if partition, found := s.replicas[request.Partition]; found {
		epoch = partition.placement.Epoch
	}
	message := decisionlog.MessageName(request.Partition, request.Sender, request.Seq)
	s.decisions.Record(now, "", message, request.Sender, "not-kept",
		"partition", request.Partition,
		"code", reason.code,
		"epoch", epoch,
	)
	effects.Send(from, AppendResponse{
		Partition:  request.Partition,
		RequestID:  request.RequestID,
		Outcome:    OutcomeRejected,
		Code:       reason.code,
		RetryAfter: reason.retryAfter,
		Epoch:      epoch,
	})
}

// responseRecord returns a record as it is sent in a response. For a shared partition, the data,
// the names and the time are omitted, since the gateway that sent the request has the message.
func responseRecord(partition string, record Record) Record {
	if config.IsShared(partition) {
		record.Data, record.Topic, record.Sender, record.AppendedAt = nil, "", "", time.Time{}
	}
	return record
}

// addPending registers an append that is to be answered once the record at an offset is accepted.
func (r *replica) addPending(offset uint64, waiting pendingAppend) {
	r.pending[offset] = append(r.pending[offset], waiting)
}

// unresolvedResponse returns the response to an append whose record may be accepted or lost.
func (r *replica) unresolvedResponse(waiting pendingAppend, code string) AppendResponse {
	return AppendResponse{
		Partition: r.log.Name,
		RequestID: waiting.requestID,
		Outcome:   OutcomeUnresolved,
		Code:      code,
		Epoch:     r.placement.Epoch,
	}
}

// failPending answers all pending appends of a partition with OutcomeUnresolved, because this
// store will not learn whether their records are accepted.
func (s *Store) failPending(partition *replica, code string, effects *statemachine.Effects) {
	for offset, waiting := range statemachine.Sorted(partition.pending) {
		delete(partition.pending, offset)
		for _, each := range waiting {
			effects.Send(each.from, partition.unresolvedResponse(each, code))
		}
	}
}

// expirePending answers the appends that have been pending for appendTimeout with
// OutcomeUnresolved.
func (s *Store) expirePending(now time.Time, partition *replica, effects *statemachine.Effects) {
	for offset, waiting := range statemachine.Sorted(partition.pending) {
		var remaining []pendingAppend
		for _, each := range waiting {
			if now.Sub(each.receivedAt) < appendTimeout {
				remaining = append(remaining, each)
				continue
			}
			effects.Send(each.from, partition.unresolvedResponse(each, CodeFollowerSilent))
		}
		partition.pending[offset] = remaining
		if len(remaining) == 0 {
			delete(partition.pending, offset)
		}
	}
}
