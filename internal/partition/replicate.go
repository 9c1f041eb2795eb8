// Copying: a first sends each follower what it does not have yet, and knows of
// each how far its disk reaches.

package partition

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// replicate sends the followers what they do not have yet.
func (s *Store) replicate(now time.Time, partition *replica, effects *statemachine.Effects) {
	if !s.isLeader(partition) {
		return
	}
	head, _ := partition.log.end()
	if len(partition.followers) == 0 {
		s.checkProgress(now, partition, effects)
	}
	for _, copied := range partition.followers {
		if !copied.known || copied.acknowledged < head {
			// Where the follower is away, it may come back without a new epoch.
			s.timers.ArmSooner("copy", now.Add(replicateInterval))
			s.replicateTo(now, partition, copied, effects)
		}
	}
}

func (s *Store) replicateTo(now time.Time, partition *replica, copied *followerProgress, effects *statemachine.Effects) {
	follower := s.view.Members[copied.name]
	head, headEpoch := partition.log.end()
	if !follower.Alive || copied.known && copied.sent >= head {
		return
	}
	if copied.snapshot.bytes > 0 && copied.snapshot.timedOut(now) {
		// Where the answer was lost and not the snapshot, asking is enough.
		copied.snapshot = snapshotTransfer{timeout: copied.snapshot.timeout}
	}
	if copied.snapshot.needed {
		// Records after a snapshot go when that has arrived.
		s.sendSnapshot(now, partition, copied, effects)
		return
	}
	after := max(copied.sent, copied.acknowledged)
	if !copied.known {
		// The follower of a new epoch is asked first what it has.
		after = head
	}
	afterEpoch, held := partition.log.epochAt(after)
	if !held {
		after, afterEpoch = head, headEpoch
	}
	records := partition.log.recordsAfter(after)
	records = slices.Clone(records[:min(len(records), maxReplicateRecords)])
	s.Counts.ReplicateRequests++
	s.Counts.ReplicatedRecords += uint64(len(records))
	effects.Send(follower.Address, Replicate{
		Partition: partition.log.Name, Epoch: partition.placement.Epoch, PreviousOffset: after, PreviousEpoch: afterEpoch, Records: records, Ages: takeTimes(now, records),
	})
	if copied.known {
		copied.sent = after + uint64(len(records))
		if partition.placement.Complete && partition.servingEpoch == partition.placement.Epoch {
			copied.inFlight = append(copied.inFlight, inFlightBatch{lastOffset: copied.sent, sentAt: now})
		}
	}
	copied.sentAt = now
}

// takeTimes takes the times off records, and gives their ages up to the oldest that
// is not new.
func takeTimes(now time.Time, records []Record) []uint32 {
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

// retryReplication sends again what was not acknowledged for a while, more and more
// seldom, and ends the waiting of those that have waited for long.
func (s *Store) retryReplication(now time.Time, effects *statemachine.Effects) {
	waits := len(s.pendingWrites) > 0
	for _, partition := range statemachine.Sorted(s.replicas) {
		if !s.isLeader(partition) {
			continue
		}
		head, _ := partition.log.end()
		for _, copied := range partition.followers {
			if copied.known && copied.acknowledged >= head {
				continue
			}
			waits = true
			if copied.snapshot.needed || now.Sub(copied.sentAt) >= replicateInterval*time.Duration(min(1<<copied.attempts, maxReplicateBackoff)) {
				copied.attempts = min(copied.attempts+1, maxReplicateBackoff)
				copied.sent = copied.acknowledged
				s.replicateTo(now, partition, copied, effects)
			}
		}
		waits = waits || len(partition.pending) > 0
		s.expirePending(now, partition, effects)
	}
	s.reportSlowDisks(now, effects)
	if waits {
		s.timers.ArmSooner("copy", now.Add(replicateInterval))
	}
}

func (s *Store) handleReplicateResponse(now time.Time, from string, returned ReplicateResponse, effects *statemachine.Effects) {
	partition, found := s.replicas[returned.Partition]
	if !found || !s.isLeader(partition) || returned.Epoch != partition.placement.Epoch {
		return
	}
	if returned.CurrentEpoch > partition.placement.Epoch {
		s.failPending(partition, "moved", effects)
		s.view.PollNow(now)
		return
	}
	copied := s.followerAt(partition, from, returned.ReplicaHash)
	if copied == nil {
		return
	}
	copied.attempts = 0
	head, _ := partition.log.end()
	if returned.Mismatch {
		epoch, held := partition.log.epochAt(returned.LastOffset)
		if held && epoch == returned.LastEpoch && returned.LastOffset >= partition.log.BaseOffset {
			// What it has may not be synced yet, so it does not count as
			// acknowledged; the next copy goes on from there.
			copied.known, copied.snapshot = true, snapshotTransfer{}
			copied.sent = returned.LastOffset
			if returned.LastOffset == head {
				// An empty copy asks for the word that all of it is synced.
				copied.known = false
			}
			s.toReplicate[returned.Partition] = true
			return
		}
		s.requireSnapshot(now, partition, copied, effects)
		return
	}
	s.snapshotInstalled(now, copied, effects)
	copied.known = true
	copied.acknowledged = max(copied.acknowledged, returned.LastOffset)
	copied.sent = max(copied.sent, copied.acknowledged)
	s.recordDiskTime(copied, time.Duration(returned.DiskMilliseconds)*time.Millisecond)
	if copied.sent < head {
		s.toReplicate[returned.Partition] = true
	}
	s.checkProgress(now, partition, effects)
}
