package gateway

import (
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/logevent"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// handleHighWatermarks applies the high watermarks that a store reports.
func (g *Gateway) handleHighWatermarks(
	now time.Time,
	highWatermarks partition.HighWatermarks,
	effects *statemachine.Effects,
) {
	for _, report := range highWatermarks.HighWatermarks {
		if config.IsShared(report.Partition) {
			g.handleTopicHighWatermarks(now, report)
			continue
		}
		tracker, found := g.trackers[report.Partition]
		if !found || report.Epoch < g.viewClient.Placements[report.Partition].Epoch {
			continue
		}
		tracker.highWatermark = max(tracker.highWatermark, report.Offset)
		if tracker.started && report.Offset > tracker.verified {
			tracker.verifyNeeded = true
			g.timers.ArmSooner(timerVerify, now.Add(verifyInterval/2))
		} else if tracker.started {
			tracker.advanceVerifiedAt(g.highWatermarksRequestedAt)
		}
	}
	g.deliverReady(now, effects)
}

// advanceVerifiedAt records that all records of the partition up to the given time were received.
func (t *tracker) advanceVerifiedAt(at time.Time) {
	if at.After(t.verifiedAt) {
		t.verifiedAt = at
	}
}

// verifyAll starts the verification of the trackers that need one.
func (g *Gateway) verifyAll(now time.Time, effects *statemachine.Effects) {
	for name, tracker := range statemachine.Sorted(g.trackers) {
		if !tracker.verifyNeeded || tracker.verifying || !tracker.started {
			continue
		}
		tracker.verifyNeeded = false
		g.verify(now, name, tracker, effects)
	}
}

// verify fetches the records of a partition that the tracker has not received.
func (g *Gateway) verify(now time.Time, name string, tracker *tracker, effects *statemachine.Effects) {
	if tracker.spaceOrdered && tracker.highWatermark <= tracker.verified && len(tracker.pending) == 0 {
		return
	}
	g.Counts.Verifies++
	tracker.verifying = true
	tracker.requestedAt = now
	fetch := &partitionFetch{after: tracker.verified}
	for interest := range tracker.interests {
		if tracker.spaceOrdered {
			fetch.prefixes = []string{""}
			break
		}
		if interest.Prefix {
			fetch.prefixes = append(fetch.prefixes, interest.Path)
		} else {
			fetch.topics = append(fetch.topics, interest.Path)
		}
	}
	slices.Sort(fetch.topics)
	slices.Sort(fetch.prefixes)
	for offset := range tracker.delivered {
		if offset > tracker.verified && len(fetch.skip) < maxSkippedOffsets {
			fetch.skip = append(fetch.skip, offset)
		}
	}
	for offset := range tracker.pending {
		if len(fetch.skip) < maxSkippedOffsets {
			fetch.skip = append(fetch.skip, offset)
		}
	}
	slices.Sort(fetch.skip)
	g.lastRequest++
	operation := &fetchOperation{
		tracker:    name,
		version:    tracker.version,
		partitions: map[string]*partitionFetch{name: fetch},
		records:    map[string][]partition.Record{},
		deadline:   now.Add(defaultSubscribeTimeout),
	}
	g.fetches[g.lastRequest] = operation
	g.timers.ArmSooner(timerDeadlines, operation.deadline)
	g.sendFetch(now, g.lastRequest, name, fetch, effects)
}

// applyVerification applies the result of a verification. The fetched records become pending, as if their
// copies had arrived. The partition is verified up to the first record that remains pending.
func (g *Gateway) applyVerification(now time.Time, operation *fetchOperation, effects *statemachine.Effects) {
	tracker, found := g.trackers[operation.tracker]
	if !found {
		return
	}
	tracker.verifying = false
	until := operation.partitions[operation.tracker].until
	g.addMissing(now, tracker, operation.records[operation.tracker], until, effects)
	// The fetch covers all records of this partition up to until, so a record that is still pending
	// can only wait for a record of another partition.
	g.deliverReady(now, effects)
	if tracker.version == operation.version {
		limit := until
		for offset := range tracker.pending {
			limit = min(limit, offset-1)
		}
		if limit > tracker.verified {
			tracker.verified = limit
		}
		// All records up to until were received, though some may still be pending.
		tracker.advanceVerifiedAt(tracker.requestedAt)
		g.deliverReady(now, effects)
	}
	outdated := tracker.version != operation.version
	if !outdated && len(tracker.pending) == 0 && tracker.highWatermark <= tracker.verified {
		return
	}
	tracker.verifyNeeded = true
	delay := verifyInterval
	if len(tracker.pending) > 0 || outdated {
		delay = gapTimeout
	}
	for _, record := range tracker.pending {
		g.requestDependencies(tracker, record)
	}
	g.timers.ArmSooner(timerVerify, now.Add(delay))
}

// addMissing adds fetched records to the pending records of a tracker.
func (g *Gateway) addMissing(
	now time.Time,
	tracker *tracker,
	records []partition.Record,
	until uint64,
	effects *statemachine.Effects,
) {
	for _, record := range records {
		if _, delivered := tracker.delivered[record.Offset]; !delivered && record.Offset > tracker.verified {
			tracker.pending[record.Offset] = record
		}
	}
	if len(records) == 0 {
		return
	}
	effects.Emit(logevent.GapFilled, "partition", tracker.name, "records", len(records), "until", until)
	for _, record := range records {
		message := decisionlog.MessageName(tracker.space, record.Sender, record.Seq)
		g.ring.Record(now, "", message, "", "repaired",
			"partition", tracker.name,
			"offset", record.Offset,
		)
	}
}

// subscribeToHighWatermarks subscribes, at the leaders, to the high watermarks of the partitions that this
// gateway reads. The subscriptions are renewed before they expire at the leaders.
func (g *Gateway) subscribeToHighWatermarks(now time.Time, effects *statemachine.Effects) {
	byStore := map[string]partition.SubscribeHighWatermarks{}
	g.highWatermarksRequestedAt = now
	add := func(name string, from uint64) {
		if address, _, found := g.leaderOf(name); found {
			request := byStore[address]
			request.Partitions, request.KnownOffsets = append(request.Partitions, name), append(request.KnownOffsets, from)
			byStore[address] = request
		}
	}
	for name := range statemachine.Sorted(g.trackers) {
		add(name, 0)
	}
	for name := range statemachine.Sorted(g.routed.topicCounts) {
		if from, started := g.routed.reportedUpTo[name]; started {
			g.routed.highWatermarkRoutes[name] = g.routeTo(name)
			add(name, from)
		}
	}
	for address, request := range statemachine.Sorted(byStore) {
		effects.Send(address, request)
	}
	if len(g.trackers)+len(g.routed.topicCounts) > 0 {
		g.timers.Arm(timerHighWatermarks, now.Add(highWatermarkRenewal))
	}
}

// recentlyVerified reports whether all trackers of a space were verified within the verification window,
// so that no record older than the dependency window can be missing.
func (g *Gateway) recentlyVerified(now time.Time, spaceName string) bool {
	for _, other := range g.trackers {
		if other.spaceName == spaceName && other.started && now.Sub(other.verifiedAt) > partition.VerificationWindow {
			return false
		}
	}
	return true
}
