package partition

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/decisionlog"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// reportInterval is how often a partition whose followers have caught up is reported, until the
// view lists it as complete.
const reportInterval = 400 * time.Millisecond

// checkProgress is called when a follower has acknowledged records, and for a partition without
// followers. It schedules the report of an incomplete partition whose followers have caught up,
// and advances the high watermark of a complete one.
func (s *Store) checkProgress(now time.Time, partition *replica, effects *statemachine.Effects) {
	if s.caughtUp(partition) {
		s.timers.ArmSooner(timerReportReplicated, now)
	}
	s.advanceHighWatermark(now, partition, effects)
}

// caughtUp reports whether the followers of an incomplete partition have synced all records that
// may have been accepted before its epoch.
func (s *Store) caughtUp(partition *replica) bool {
	replicated, known := partition.replicatedOffset()
	return s.isLeader(partition) && !partition.placement.Complete && known && replicated >= partition.epochStart
}

// reportReplicated reports the partitions whose followers have caught up to the controllers. It
// repeats the report every reportInterval until a view lists the partitions as complete.
func (s *Store) reportReplicated(now time.Time, effects *statemachine.Effects) {
	reported := false
	for name, partition := range statemachine.Sorted(s.replicas) {
		if !s.caughtUp(partition) {
			continue
		}
		reported = true
		replicaIDs := []string{s.replicaID()}
		for _, follower := range partition.followers {
			replicaIDs = append(replicaIDs, follower.replicaID)
		}
		effects.Send(s.view.Upstream(), membership.PartitionReplicated{
			Partition: name,
			Epoch:     partition.placement.Epoch,
			Replicas:  replicaIDs,
		})
	}
	if reported {
		s.timers.ArmSooner(timerReportReplicated, now.Add(reportInterval))
	}
}

// advanceHighWatermark advances the high watermark to the offset that the leader and all
// followers have synced. It answers the appends up to it and schedules the messages to
// subscribers.
func (s *Store) advanceHighWatermark(now time.Time, partition *replica, effects *statemachine.Effects) {
	if !s.isLeader(partition) || !partition.placement.Complete {
		return
	}
	replicated, known := partition.replicatedOffset()
	if !known || partition.established() && replicated <= partition.highWatermark {
		return
	}
	// Any record that existed when this epoch, or this process, began may have been accepted.
	// Until all followers have synced these records, the high watermark is unknown.
	if !partition.established() && replicated < partition.epochStart {
		return
	}
	partition.servingEpoch = partition.placement.Epoch
	advanced := replicated > partition.highWatermark
	partition.highWatermark = max(partition.highWatermark, replicated)
	s.answerAccepted(now, partition, effects)
	if !advanced {
		return
	}
	for address, subscriber := range statemachine.Sorted(s.subscribers) {
		if slices.Contains(subscriber.partitions, partition.log.Name) {
			s.timers.ArmSooner(highWatermarksTimer(address), now.Add(highWatermarksInterval))
		}
	}
}

// answerAccepted answers the pending appends up to the high watermark.
func (s *Store) answerAccepted(now time.Time, partition *replica, effects *statemachine.Effects) {
	for offset, waiting := range statemachine.Sorted(partition.pending) {
		if offset > partition.highWatermark {
			break
		}
		delete(partition.pending, offset)
		record, retained := partition.log.recordAt(offset)
		if !retained {
			continue
		}
		s.Counts.Accepted++
		message := decisionlog.MessageName(partition.log.Name, record.Sender, record.Seq)
		s.decisions.Record(now, "", message, record.Sender, "accepted",
			"partition", partition.log.Name,
			"epoch", partition.placement.Epoch,
			"offset", offset,
			"first", partition.placement.Leader,
			"followers", strings.Join(partition.placement.Followers, " "),
		)
		for _, each := range waiting {
			effects.Send(each.from, AppendResponse{
				Partition: partition.log.Name,
				RequestID: each.requestID,
				Outcome:   OutcomeAccepted,
				Epoch:     partition.placement.Epoch,
				Record:    responseRecord(partition.log.Name, record),
			})
		}
	}
}
