package partition

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/decisionlog"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

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
