package partition

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// handleReplicate appends the records of a leader's request to a follower's log.
func (s *Store) handleReplicate(now time.Time, from string, request Replicate, effects *statemachine.Effects) {
	if !s.Ready() {
		return
	}
	partition, found := s.replicaOfEpoch(now, request)
	if !found {
		return
	}
	if request.Epoch < partition.placement.Epoch {
		effects.Emit(logevent.PartitionStaleEpoch,
			"partition", request.Partition,
			"epoch", request.Epoch,
			"current", partition.placement.Epoch,
		)
		effects.Send(from, ReplicateResponse{
			Partition:    request.Partition,
			Epoch:        request.Epoch,
			CurrentEpoch: partition.placement.Epoch,
		})
		return
	}
	if request.Epoch > partition.placement.Epoch || !s.isFollower(partition) {
		// This store hasn't received the view of this epoch yet; the leader will retry.
		s.view.PollNow(now)
		return
	}
	epoch, known := partition.log.epochAt(request.PreviousOffset)
	if !known || epoch != request.PreviousEpoch {
		s.sendMismatch(partition, from, effects)
		return
	}
	if !s.appendReplicated(now, partition, request) {
		s.sendMismatch(partition, from, effects)
		return
	}
	lastOffset, _ := partition.log.end()
	if len(request.Records) == 0 && lastOffset > request.PreviousOffset {
		// This log has records after PreviousOffset that the leader didn't send: the logs differ.
		s.sendMismatch(partition, from, effects)
		return
	}
	s.acknowledgeAfterSync(partition, from, request.Epoch)
}

// replicaOfEpoch returns the replica that a request is for. A leader whose view is newer than
// this store's may send a request for a replica that has not been added yet.
func (s *Store) replicaOfEpoch(now time.Time, request Replicate) (*replica, bool) {
	if partition, found := s.replicas[request.Partition]; found {
		return partition, true
	}
	placement, placed := s.view.Placements[request.Partition]
	if !placed || placement.Epoch >= request.Epoch {
		s.view.PollNow(now)
		return nil, false
	}
	return s.addReplica(request.Partition), true
}

// appendReplicated appends those records of a request that are not in the log yet. It stops and
// returns false at an offset where the log has a record of another epoch.
func (s *Store) appendReplicated(now time.Time, partition *replica, request Replicate) (matches bool) {
	for position, record := range request.Records {
		epoch, known := partition.log.epochAt(record.Offset)
		if known && record.Offset > partition.log.BaseOffset {
			if epoch != record.Epoch {
				return false
			}
			continue
		}
		record.AppendedAt = now
		if position < len(request.Ages) {
			record.AppendedAt = now.Add(-time.Duration(request.Ages[position]) * time.Millisecond)
		}
		partition.log.append(record)
		s.logEntry(diskEntry{Partition: request.Partition, Record: &record})
	}
	return true
}

// acknowledgeAfterSync sends the leader an acknowledgement once the disk has synced the log up to
// its current end.
func (s *Store) acknowledgeAfterSync(partition *replica, leader string, epoch uint64) {
	lastOffset, lastEpoch := partition.log.end()
	s.afterSync(func(now time.Time, effects *statemachine.Effects) {
		partition.syncedOffset = max(partition.syncedOffset, lastOffset)
		diskTime := now.Sub(s.writes.syncedStartedAt)
		effects.Send(leader, ReplicateResponse{
			Partition:        partition.log.Name,
			Epoch:            epoch,
			LastOffset:       lastOffset,
			LastEpoch:        lastEpoch,
			ReplicaHash:      replicaHash(s.replicaID()),
			DiskMilliseconds: uint32(max(0, diskTime.Milliseconds())),
		})
	})
}

// sendMismatch reports the end of this follower's log to a leader whose request doesn't match the
// log or may have been missed by this store.
func (s *Store) sendMismatch(partition *replica, leader string, effects *statemachine.Effects) {
	lastOffset, lastEpoch := partition.log.end()
	effects.Send(leader, ReplicateResponse{
		Partition:   partition.log.Name,
		Epoch:       partition.placement.Epoch,
		LastOffset:  lastOffset,
		LastEpoch:   lastEpoch,
		Mismatch:    true,
		ReplicaHash: replicaHash(s.replicaID()),
	})
}

// handleInstallSnapshot replaces a follower's log with the leader's.
func (s *Store) handleInstallSnapshot(
	now time.Time, from string, request InstallSnapshot, effects *statemachine.Effects,
) {
	partition, found := s.replicas[request.Partition]
	if !s.Ready() || !found || request.Epoch != partition.placement.Epoch || !s.isFollower(partition) {
		return
	}
	snapshot := newLog(request.Partition)
	err := transport.Unmarshal(request.Log, snapshot)
	if err != nil || snapshot.Name != request.Partition {
		effects.Emit(logevent.MalformedFrame, "remote", from, "partition", request.Partition)
		return
	}
	if partition.log.isAheadOf(snapshot, request.Epoch) && !statemachine.Mutated("any-frame") {
		return
	}
	snapshot.shiftTimes(now.Sub(request.SentAt))
	partition.log = snapshot
	partition.syncedOffset = 0
	effects.Emit(logevent.PartitionSnapshotInstalled,
		"partition", request.Partition,
		"epoch", request.Epoch,
		"records", len(snapshot.Records),
	)
	s.logEntry(diskEntry{Partition: request.Partition, Snapshot: transport.MustMarshal(snapshot)})
	s.acknowledgeAfterSync(partition, from, request.Epoch)
}
