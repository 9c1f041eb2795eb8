package partition

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// replicateInterval is how often a leader checks for unacknowledged requests.
	replicateInterval = 150 * time.Millisecond
	// maxReplicateBackoff limits the backoff between attempts, in multiples of replicateInterval,
	// and the count of attempts.
	maxReplicateBackoff = 8
	// maxReplicateRecords limits the records of one request.
	maxReplicateRecords = 512
)

// replicate sends each follower of a partition that this store leads the records that it has
// not acknowledged.
func (s *Store) replicate(now time.Time, partition *replica, effects *statemachine.Effects) {
	if !s.isLeader(partition) {
		return
	}
	lastOffset, _ := partition.log.end()
	if len(partition.followers) == 0 {
		s.checkProgress(now, partition, effects)
	}
	for _, follower := range partition.followers {
		if follower.positionKnown && follower.acknowledged >= lastOffset {
			continue
		}
		// Armed even if the follower isn't alive: it may return without a new epoch.
		s.timers.ArmSooner(timerReplicate, now.Add(replicateInterval))
		s.replicateTo(now, partition, follower, effects)
	}
}

// replicateTo sends a follower the records after those that were sent, or a snapshot if it needs
// one.
func (s *Store) replicateTo(
	now time.Time, partition *replica, follower *followerProgress, effects *statemachine.Effects,
) {
	member := s.view.Members[follower.name]
	lastOffset, _ := partition.log.end()
	if !member.Alive || follower.positionKnown && follower.sent >= lastOffset {
		return
	}
	if follower.snapshot.bytes > 0 && follower.snapshot.timedOut(now) {
		// If only the response was lost and not the snapshot, an empty request is enough.
		follower.snapshot = snapshotTransfer{timeout: follower.snapshot.timeout}
	}
	if follower.snapshot.needed {
		// The records after the snapshot are sent once it is installed.
		s.sendSnapshot(now, partition, follower, effects)
		return
	}
	request := replicateRequest(now, partition, follower)
	s.Counts.ReplicateRequests++
	s.Counts.ReplicatedRecords += uint64(len(request.Records))
	effects.Send(member.Address, request)
	if follower.positionKnown {
		follower.sent = request.PreviousOffset + uint64(len(request.Records))
		if partition.placement.Complete && partition.established() {
			batch := inFlightBatch{lastOffset: follower.sent, sentAt: now}
			follower.inFlight = append(follower.inFlight, batch)
		}
	}
	follower.sentAt = now
}

// replicateRequest builds the next request for a follower. If it is unknown up to which offset
// the follower's log matches the leader's, the request is empty and asks for that.
func replicateRequest(now time.Time, partition *replica, follower *followerProgress) Replicate {
	lastOffset, lastEpoch := partition.log.end()
	previousOffset := max(follower.sent, follower.acknowledged)
	if !follower.positionKnown {
		previousOffset = lastOffset
	}
	previousEpoch, found := partition.log.epochAt(previousOffset)
	if !found {
		previousOffset, previousEpoch = lastOffset, lastEpoch
	}
	records := partition.log.recordsAfter(previousOffset)
	records = slices.Clone(records[:min(len(records), maxReplicateRecords)])
	return Replicate{
		Partition:      partition.log.Name,
		Epoch:          partition.placement.Epoch,
		PreviousOffset: previousOffset,
		PreviousEpoch:  previousEpoch,
		Records:        records,
		Ages:           extractAges(now, records),
	}
}

// extractAges clears the times of records and returns their ages in milliseconds, without
// trailing zeros.
func extractAges(now time.Time, records []Record) []uint32 {
	var ages []uint32
	for position := range records {
		age := uint32(max(0, now.Sub(records[position].AppendedAt).Milliseconds()))
		records[position].AppendedAt = time.Time{}
		if age > 0 {
			ages = append(ages, make([]uint32, position-len(ages))...)
			ages = append(ages, age)
		}
	}
	return ages
}

// retryReplication sends unacknowledged records again, with exponential backoff, and answers the
// appends that have been pending for too long.
func (s *Store) retryReplication(now time.Time, effects *statemachine.Effects) {
	waiting := len(s.writes.pending) > 0
	for _, partition := range statemachine.Sorted(s.replicas) {
		if !s.isLeader(partition) {
			continue
		}
		lastOffset, _ := partition.log.end()
		for _, follower := range partition.followers {
			if follower.positionKnown && follower.acknowledged >= lastOffset {
				continue
			}
			waiting = true
			if follower.snapshot.needed || now.Sub(follower.sentAt) >= follower.backoff() {
				follower.attempts = min(follower.attempts+1, maxReplicateBackoff)
				follower.sent = follower.acknowledged
				s.replicateTo(now, partition, follower, effects)
			}
		}
		waiting = waiting || len(partition.pending) > 0
		s.expirePending(now, partition, effects)
	}
	s.reportSlowDisks(now, effects)
	if waiting {
		s.timers.ArmSooner(timerReplicate, now.Add(replicateInterval))
	}
}

// backoff returns how long a request may be unacknowledged before it is sent again.
func (f *followerProgress) backoff() time.Duration {
	return replicateInterval * time.Duration(min(1<<f.attempts, maxReplicateBackoff))
}

// handleReplicateResponse handles a follower's acknowledgement, or its report of a log that
// differs.
func (s *Store) handleReplicateResponse(
	now time.Time, from string, response ReplicateResponse, effects *statemachine.Effects,
) {
	partition, found := s.replicas[response.Partition]
	if !found || !s.isLeader(partition) || response.Epoch != partition.placement.Epoch {
		return
	}
	if response.CurrentEpoch > partition.placement.Epoch {
		s.failPending(partition, CodeLeaderChanged, effects)
		s.view.PollNow(now)
		return
	}
	follower := s.followerAt(partition, from, response.ReplicaHash)
	if follower == nil {
		return
	}
	follower.attempts = 0
	if response.Mismatch {
		s.handleMismatch(now, partition, follower, response, effects)
		return
	}
	s.handleSnapshotInstalled(now, follower, effects)
	follower.positionKnown = true
	follower.acknowledged = max(follower.acknowledged, response.LastOffset)
	follower.sent = max(follower.sent, follower.acknowledged)
	s.recordDiskTime(follower, time.Duration(response.DiskMilliseconds)*time.Millisecond)
	if lastOffset, _ := partition.log.end(); follower.sent < lastOffset {
		s.toReplicate[response.Partition] = true
	}
	s.checkProgress(now, partition, effects)
}

// handleMismatch determines where to continue a follower's log: at its end if the leader has the
// same record at that offset. Otherwise the follower needs a snapshot.
func (s *Store) handleMismatch(
	now time.Time, partition *replica, follower *followerProgress, response ReplicateResponse,
	effects *statemachine.Effects,
) {
	epoch, found := partition.log.epochAt(response.LastOffset)
	if !found || epoch != response.LastEpoch || response.LastOffset < partition.log.BaseOffset {
		s.requireSnapshot(now, partition, follower, effects)
		return
	}
	// The follower may not have synced its log up to this offset, so the offset doesn't count as
	// acknowledged; the next request continues after it. If there is nothing left to send, an
	// empty request asks for the acknowledgement.
	lastOffset, _ := partition.log.end()
	follower.positionKnown = response.LastOffset != lastOffset
	follower.snapshot = snapshotTransfer{}
	follower.sent = response.LastOffset
	s.toReplicate[response.Partition] = true
}
