package gateway

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/decisionlog"
	"dahlialock/internal/logevent"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// handleRecordCopy adds a record to the pending records and delivers all that are deliverable. It reports
// whether this gateway has subscriptions to the record's topic.
func (g *Gateway) handleRecordCopy(now time.Time, recordCopy RecordCopy, effects *statemachine.Effects) bool {
	tracker, found := g.trackers[recordCopy.Partition]
	if !found {
		return false
	}
	offset := recordCopy.Record.Offset
	if _, delivered := tracker.delivered[offset]; delivered || tracker.started && offset <= tracker.verified {
		return true
	}
	if _, tracked := tracker.startOf(recordCopy.Record.Topic); !tracked {
		return false
	}
	if len(tracker.pending) < maxPendingRecords {
		tracker.pending[offset] = recordCopy.Record
	}
	tracker.highWatermark = max(tracker.highWatermark, offset)
	if g.deferDelivery(now) {
		return true
	}
	g.deliverReady(now, effects)
	if _, stillPending := tracker.pending[offset]; stillPending && tracker.started {
		g.Counts.Gaps++
		effects.Emit(logevent.GapFound,
			"partition", recordCopy.Partition,
			"offset", offset,
			"prior", recordCopy.Record.PreviousInTopic,
		)
		g.ring.Record(now, "", decisionlog.MessageName(
			tracker.space,
			recordCopy.Record.Sender,
			recordCopy.Record.Seq,
		), "", "waits",
			"partition", recordCopy.Partition,
			"offset", offset,
			"prior", recordCopy.Record.PreviousInTopic,
			"before", recordCopy.Record.Dependencies.Messages,
			"verified", tracker.verified,
		)
		tracker.verifyNeeded = true
		g.timers.ArmSooner(timerVerify, now.Add(gapTimeout))
		g.requestDependencies(tracker, recordCopy.Record)
	}
	return true
}

// requestDependencies requests a verification of the partitions in which a dependency of a record is
// missing.
func (g *Gateway) requestDependencies(tracker *tracker, record partition.Record) {
	for _, message := range record.Dependencies.Messages {
		other, found := g.trackers[partitionName(tracker.spaceName, int(message.Partition))]
		if found && !other.resolved(message.Topic, message.Offset) {
			other.verifyNeeded = true
		}
	}
	for _, floor := range record.Dependencies.Floor {
		other, found := g.trackers[partitionName(tracker.spaceName, int(floor.Partition))]
		if found && !other.resolvedUpTo(floor.Offset) {
			other.verifyNeeded = true
		}
	}
}

// deliverable reports whether a pending record may be delivered.
func (g *Gateway) deliverable(now time.Time, tracker *tracker, record partition.Record) bool {
	since, tracked := tracker.startOf(record.Topic)
	if tracked && since == maxOffset || !tracker.started {
		return false
	}
	if statemachine.Mutated("no-order") {
		return true
	}
	if tracker.spaceOrdered {
		return record.Offset <= 1 || tracker.resolved(record.Topic, record.Offset-1)
	}
	if !tracker.resolved(record.Topic, record.PreviousInTopic) {
		return false
	}
	// If all partitions were verified recently no record can be missing for long. A record
	// that still waits was published through two gateways by a sender that did not keep the
	// order of its sequences.
	pendingSince, waiting := tracker.pendingSince[record.Offset]
	if waiting && now.Sub(pendingSince) > cycleTimeout && g.recentlyVerified(now, tracker.spaceName) {
		return true
	}
	return g.dependenciesResolved(tracker, record) && g.recentlyVerified(now, tracker.spaceName)
}

// dependenciesResolved reports whether all dependencies of a record, which are earlier messages of its
// sender, are resolved: they were delivered, or no subscription here needs them.
func (g *Gateway) dependenciesResolved(tracker *tracker, record partition.Record) bool {
	for _, message := range record.Dependencies.Messages {
		other, found := g.trackers[partitionName(tracker.spaceName, int(message.Partition))]
		if found && (other != tracker || message.Offset < record.Offset) && !other.resolved(message.Topic, message.Offset) {
			return false
		}
	}
	for _, floor := range record.Dependencies.Floor {
		other, found := g.trackers[partitionName(tracker.spaceName, int(floor.Partition))]
		if found && (other != tracker || floor.Offset < record.Offset) && !other.resolvedUpTo(floor.Offset) {
			return false
		}
	}
	return true
}

// pendingRecord is a pending record with its tracker.
type pendingRecord struct {
	tracker *tracker
	record  partition.Record
}

// deferDelivery arms a timer and returns true if so many records are pending that a scan of all of them
// for each copy would cost more than a short delay. One scan then handles all copies that arrive before
// the timer expires.
func (g *Gateway) deferDelivery(now time.Time) bool {
	pending := 0
	for _, tracker := range g.trackers {
		pending += len(tracker.pending)
	}
	if pending <= maxImmediateScan {
		return false
	}
	g.timers.ArmSooner(timerDeliver, now.Add(deliverInterval))
	return true
}

// deliverAllReady delivers all deliverable records of all trackers after deferDelivery, and requests the
// verification of the partitions with records that are still pending.
func (g *Gateway) deliverAllReady(now time.Time, effects *statemachine.Effects) {
	g.deliverReady(now, effects)
	for _, tracker := range statemachine.Sorted(g.trackers) {
		if !tracker.started || len(tracker.pending) == 0 {
			continue
		}
		tracker.verifyNeeded = true
		g.timers.ArmSooner(timerVerify, now.Add(gapTimeout))
		for _, record := range statemachine.Sorted(tracker.pending) {
			g.requestDependencies(tracker, record)
		}
	}
}

// deliverReady delivers pending records until none is deliverable. Of the pending records of a sender in a
// space, only the one with the lowest sequence may be delivered.
func (g *Gateway) deliverReady(now time.Time, effects *statemachine.Effects) {
	bySender := map[string][]pendingRecord{}
	for _, tracker := range statemachine.Sorted(g.trackers) {
		for offset, record := range statemachine.Sorted(tracker.pending) {
			if _, delivered := tracker.delivered[offset]; delivered || tracker.started && offset <= tracker.verified {
				delete(tracker.pending, offset)
				continue
			}
			if _, waiting := tracker.pendingSince[offset]; !waiting {
				tracker.pendingSince[offset] = now
			}
			key := tracker.spaceName + " " + record.Sender
			bySender[key] = append(bySender[key], pendingRecord{tracker: tracker, record: record})
		}
	}
	for key := range bySender {
		slices.SortStableFunc(
			bySender[key],
			func(left, right pendingRecord) int { return cmp.Compare(left.record.Seq, right.record.Seq) },
		)
	}
	for progress := len(bySender) > 0; progress; {
		progress = false
		for key, queue := range statemachine.Sorted(bySender) {
			for len(queue) > 0 && g.deliverable(now, queue[0].tracker, queue[0].record) {
				next := queue[0]
				queue = queue[1:]
				delete(next.tracker.pending, next.record.Offset)
				progress = true
				g.deliver(now, next.tracker, next.record, effects)
			}
			bySender[key] = queue
		}
	}
}

// deliver delivers a record to all sessions with a matching subscription.
func (g *Gateway) deliver(now time.Time, tracker *tracker, record partition.Record, effects *statemachine.Effects) {
	tracker.delivered[record.Offset] = now
	if tracker.spaceOrdered && record.Offset == tracker.verified+1 {
		tracker.verified = record.Offset
	}
	state, found := g.spaces[tracker.space]
	if !found {
		return
	}
	for id := range statemachine.Sorted(state.subscribedSessions(record.Topic)) {
		if session, open := g.sessions[id]; open {
			g.deliverOrBuffer(now, id, session, RecordCopy{Partition: tracker.name, Record: record}, effects)
		}
	}
}

// subscribedSessions returns the sessions with a subscription that matches a topic. Sessions whose
// interests are only in the same overlay area are not included.
func (ss *spaceState) subscribedSessions(topic string) map[uint64]bool {
	found := map[uint64]bool{}
	if statemachine.Mutated("no-exact-match") {
		for _, ids := range ss.topics {
			for id := range ids {
				found[id] = true
			}
		}
	}
	for id := range ss.topics[topic] {
		found[id] = true
	}
	if len(ss.prefixes) == 0 {
		return found
	}
	for end := len(topic); end >= 0; end-- {
		if end == len(topic) || end == 0 || topic[end] == '/' {
			for id := range ss.prefixes[topic[:end]] {
				found[id] = true
			}
		}
	}
	return found
}
