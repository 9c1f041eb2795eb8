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

// updateFollowers follows the view: each follower that was not known, or runs anew,
// is asked what it has.
func (s *Store) updateFollowers(partition *replica) {
	var copies []*followerProgress
	for _, name := range partition.placement.Followers {
		member := s.view.Members[name]
		present := &followerProgress{name: name, replicaID: member.ReplicaID(), incarnation: member.Incarnation}
		for _, earlier := range partition.followers {
			if earlier.name == name && earlier.replicaID == present.replicaID && earlier.incarnation == present.incarnation {
				present = earlier
			}
		}
		if !present.known {
			s.toReplicate[partition.log.Name] = true
		}
		copies = append(copies, present)
	}
	partition.followers = copies
	if len(copies) == 0 && !partition.placement.Complete {
		s.toReplicate[partition.log.Name] = true
	}
}

// followersAlive tells whether all followers are there.
func (s *Store) followersAlive(partition *replica) bool {
	for _, name := range partition.placement.Followers {
		if !s.view.Members[name].Alive {
			return false
		}
	}
	return true
}

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

func (s *Store) handleReplicate(now time.Time, from string, copied Replicate, effects *statemachine.Effects) {
	partition, found := s.replicas[copied.Partition]
	if !s.Ready() {
		return
	}
	if !found {
		if _, placed := s.view.Placements[copied.Partition]; !placed || s.view.Placements[copied.Partition].Epoch >= copied.Epoch {
			s.view.PollNow(now)
			return
		}
		partition = newReplica(newLog(copied.Partition))
		s.replicas[copied.Partition] = partition
	}
	if copied.Epoch < partition.placement.Epoch {
		effects.Emit(logevent.PartitionStaleEpoch, "partition", copied.Partition, "epoch", copied.Epoch, "present", partition.placement.Epoch)
		effects.Send(from, ReplicateResponse{Partition: copied.Partition, Epoch: copied.Epoch, CurrentEpoch: partition.placement.Epoch})
		return
	}
	if copied.Epoch > partition.placement.Epoch || !slices.Contains(partition.placement.Followers, s.settings.Self.Name) {
		// News of this epoch is on its way; the first will send again.
		s.view.PollNow(now)
		return
	}
	epoch, held := partition.log.epochAt(copied.PreviousOffset)
	if !held || epoch != copied.PreviousEpoch {
		s.sendMismatch(partition, from, effects)
		return
	}
	for position, record := range copied.Records {
		present, known := partition.log.epochAt(record.Offset)
		if known && record.Offset > partition.log.BaseOffset {
			if present != record.Epoch {
				s.sendMismatch(partition, from, effects)
				return
			}
			continue
		}
		record.AppendedAt = now
		if position < len(copied.Ages) {
			record.AppendedAt = now.Add(-time.Duration(copied.Ages[position]) * time.Millisecond)
		}
		partition.log.append(record)
		s.logEntry(diskEntry{Partition: copied.Partition, Record: &record}, nil)
	}
	if head, _ := partition.log.end(); len(copied.Records) == 0 && head > copied.PreviousOffset {
		// More is here than the first knows of: its log and this one differ.
		s.sendMismatch(partition, from, effects)
		return
	}
	s.acknowledgeAfterSync(partition, from, copied.Epoch)
}

// acknowledgeAfterSync answers once the disk has what the log has.
func (s *Store) acknowledgeAfterSync(partition *replica, from string, epoch uint64) {
	head, headEpoch := partition.log.end()
	answer := func(now time.Time, effects *statemachine.Effects) {
		partition.syncedOffset = max(partition.syncedOffset, head)
		took := uint32(max(0, now.Sub(s.syncedWriteStart).Milliseconds()))
		effects.Send(from, ReplicateResponse{Partition: partition.log.Name, Epoch: epoch, LastOffset: head, LastEpoch: headEpoch, ReplicaHash: replicaHash(s.replicaID()), DiskMilliseconds: took})
	}
	s.callbacks = append(s.callbacks, answer)
}

func (s *Store) sendMismatch(partition *replica, to string, effects *statemachine.Effects) {
	head, epoch := partition.log.end()
	effects.Send(to, ReplicateResponse{Partition: partition.log.Name, Epoch: partition.placement.Epoch, LastOffset: head, LastEpoch: epoch, Mismatch: true, ReplicaHash: replicaHash(s.replicaID())})
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

// followerAt finds the follower that an answer came from, with the disk that the
// view names: what another disk of it held does not count.
func (s *Store) followerAt(partition *replica, from string, holder uint32) *followerProgress {
	for _, copied := range partition.followers {
		if member := s.view.Members[copied.name]; member.Alive && member.Address == from && replicaHash(copied.replicaID) == holder {
			return copied
		}
	}
	return nil
}

func replicaHash(holder string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(holder))
	return sum.Sum32()
}

// checkProgress accepts what all copies have, and tells the primary once they have
// all that lay here when the epoch began.
func (s *Store) checkProgress(now time.Time, partition *replica, effects *statemachine.Effects) {
	if s.caughtUp(partition) {
		s.timers.ArmSooner("tell", now)
	}
	s.advanceHighWatermark(now, partition, effects)
}

// caughtUp tells whether an incomplete partition's copies have all that may have been
// accepted before its epoch.
func (s *Store) caughtUp(partition *replica) bool {
	all, known := partition.replicatedOffset()
	return s.isLeader(partition) && !partition.placement.Complete && known && all >= partition.epochStart
}

// reportReplicated reports the partitions whose copies are whole, until that is recorded.
func (s *Store) reportReplicated(now time.Time, effects *statemachine.Effects) {
	waits := false
	for name, partition := range statemachine.Sorted(s.replicas) {
		if !s.caughtUp(partition) {
			continue
		}
		waits = true
		holders := []string{s.replicaID()}
		for _, copied := range partition.followers {
			holders = append(holders, copied.replicaID)
		}
		effects.Send(s.view.Upstream(), membership.PartitionReplicated{Partition: name, Epoch: partition.placement.Epoch, Holders: holders})
	}
	if waits {
		s.timers.ArmSooner("tell", now.Add(reportInterval))
	}
}

func (s *Store) handleInstallSnapshot(now time.Time, from string, frame InstallSnapshot, effects *statemachine.Effects) {
	partition, found := s.replicas[frame.Partition]
	if !s.Ready() || !found || frame.Epoch != partition.placement.Epoch || !slices.Contains(partition.placement.Followers, s.settings.Self.Name) {
		return
	}
	log := newLog(frame.Partition)
	if err := transport.Unmarshal(frame.Log, log); err != nil || log.Name != frame.Partition {
		effects.Emit(logevent.MalformedFrame, "remote", from, "partition", frame.Partition)
		return
	}
	if partition.log.isAheadOf(log, frame.Epoch) && !statemachine.Mutated("any-frame") {
		return
	}
	log.shiftTimes(now.Sub(frame.SentAt))
	partition.log = log
	partition.syncedOffset = 0
	effects.Emit(logevent.PartitionSnapshotInstalled, "partition", frame.Partition, "epoch", frame.Epoch, "records", len(log.Records))
	s.logEntry(diskEntry{Partition: frame.Partition, Snapshot: transport.MustMarshal(log)}, nil)
	s.acknowledgeAfterSync(partition, from, frame.Epoch)
}
