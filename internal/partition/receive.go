package partition

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

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
