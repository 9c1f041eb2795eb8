package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/logevent"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	// verifyEvery is the usual time between verifications, gapTimeout how long a missing record may
	// take to come before it is fetched.
	verifyEvery = time.Second
	gapTimeout  = 40 * time.Millisecond
	// followEvery is how often high watermarks are subscribed to again.
	followEvery = 2 * time.Second
	// maxSkippedOffsets bounds the offsets that a fetch names as present.
	maxSkippedOffsets = 2048
	// cycleTimeout is after what time a record is delivered although it depends on one that was not:
	// if all partitions are verified, only a cycle of dependencies can hold it back for so long.
	cycleTimeout = 8 * time.Second
	// maxImmediateScan is up to how many pending records each copy causes a scan of them; above it
	// there is one scan each deliverInterval.
	maxImmediateScan = 64
	deliverInterval  = 20 * time.Millisecond
)

// trackedInterest is an interest in the topics of a partition.
type trackedInterest struct {
	interest Interest
	// subscriptions is how many sessions have the interest; it is never 0.
	subscriptions int
	// since is the offset above which the interest is live, everything until it is.
	since uint64
}

// tracker follows one partition for all subscriptions here.
type tracker struct {
	// name is the name of the partition.
	name string
	// space is the name of the space, spaceName the same with the index at which it was created.
	space     string
	spaceName string
	// shared is set if all topics of the space have one shared order.
	shared    bool
	interests map[Interest]*trackedInterest
	// version rises with each new interest: a verification that began before does not cover it.
	version uint64
	// verified is the offset up to which all matching records were delivered. It never falls. It
	// holds only if started is set, which is when the first interest is live.
	verified uint64
	started  bool
	// highWatermark is the partition's highest offset that is known here.
	highWatermark uint64
	// delivered is when records were delivered; those up to verified are forgotten.
	delivered map[uint64]time.Time
	// pending are records that must wait, by offset, pendingSince is since when.
	pending      map[uint64]partition.Record
	pendingSince map[uint64]time.Time
	// verifying is set while a verification is under way, wanted if another is needed.
	verifying bool
	wanted    bool
	// verifiedAt is a moment up to which all records of the partition were here; requestedAt is when
	// the verification under way was sent.
	verifiedAt  time.Time
	requestedAt time.Time
}

// spaceOf splits a partition's name: the space, and the space with its creation index.
func spaceOf(name string) (space, full string) {
	full, _, _ = strings.Cut(name, "/")
	space, _, _ = strings.Cut(full, "~")
	return space, full
}

// trackerFor returns the tracker of a partition, which it creates if need be.
func (g *Gateway) trackerFor(now time.Time, name string) *tracker {
	present, found := g.trackers[name]
	if !found {
		space, full := spaceOf(name)
		present = &tracker{
			name:         name,
			space:        space,
			spaceName:    full,
			verifiedAt:   now,
			interests:    map[Interest]*trackedInterest{},
			delivered:    map[uint64]time.Time{},
			pending:      map[uint64]partition.Record{},
			pendingSince: map[uint64]time.Time{},
		}
		if state, known := g.spaces[space]; known {
			present.shared = state.space.Order == config.OrderSpace
		}
		g.trackers[name] = present
		g.timers.ArmSooner(timerFollow, now)
	}
	return present
}

// add adds a subscription with an interest.
func (t *tracker) add(interest Interest) {
	present, found := t.interests[interest]
	if !found {
		present = &trackedInterest{interest: interest, since: everything}
		t.interests[interest] = present
		t.version++
	}
	present.subscriptions++
}

// remove removes a subscription with an interest, and returns whether none is left.
func (t *tracker) remove(interest Interest) bool {
	present, found := t.interests[interest]
	if !found {
		return len(t.interests) == 0
	}
	present.subscriptions--
	if present.subscriptions == 0 {
		delete(t.interests, interest)
	}
	return len(t.interests) == 0
}

// begin notes the offset above which an interest is live.
func (t *tracker) begin(interest Interest, since uint64) {
	if present, found := t.interests[interest]; found && since < present.since {
		present.since = since
	}
	if !t.started {
		t.started = true
		t.verified = since
		t.highWatermark = max(t.highWatermark, since)
	}
}

// startOf returns the offset above which a topic is live here, everything if it is not yet, and
// whether any interest matches it.
func (t *tracker) startOf(topic string) (since uint64, tracked bool) {
	since = everything
	for interest, present := range t.interests {
		if t.shared || interest.matches(topic) {
			tracked = true
			since = min(since, present.since)
		}
	}
	return since, tracked
}

// resolved returns whether a record was delivered here or need not be.
func (t *tracker) resolved(topic string, offset uint64) bool {
	if offset <= t.verified && t.started {
		return true
	}
	if _, delivered := t.delivered[offset]; delivered {
		return true
	}
	since, matters := t.startOf(topic)
	return !matters || offset <= since && since != everything
}

// prune forgets deliveries that the verified offset covers.
func (t *tracker) prune(now time.Time) {
	for offset := range t.pendingSince {
		if _, waits := t.pending[offset]; !waits {
			delete(t.pendingSince, offset)
		}
	}
	for offset, at := range t.delivered {
		if offset <= t.verified && now.Sub(at) > verifyEvery {
			delete(t.delivered, offset)
		}
	}
}

// handleRecordCopy buffers a record and delivers what is ready. It returns whether anybody here
// subscribes to its topic.
func (g *Gateway) handleRecordCopy(now time.Time, recordCopy RecordCopy, effects *statemachine.Effects) bool {
	tracker, found := g.trackers[recordCopy.Partition]
	if !found {
		return false
	}
	offset := recordCopy.Record.Offset
	if _, delivered := tracker.delivered[offset]; delivered || tracker.started && offset <= tracker.verified {
		return true
	}
	if _, matters := tracker.startOf(recordCopy.Record.Topic); !matters {
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
	if _, waits := tracker.pending[offset]; waits && tracker.started {
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
		tracker.wanted = true
		g.timers.ArmSooner(timerVerify, now.Add(gapTimeout))
		g.requestDependencies(tracker, recordCopy.Record)
	}
	return true
}

// requestDependencies marks the partitions that lack something a record depends on.
func (g *Gateway) requestDependencies(tracker *tracker, record partition.Record) {
	for _, mark := range record.Dependencies.Messages {
		other, found := g.trackers[partitionName(tracker.spaceName, int(mark.Partition))]
		if found && !other.resolved(mark.Topic, mark.Offset) {
			other.wanted = true
		}
	}
	for _, reach := range record.Dependencies.Floor {
		other, found := g.trackers[partitionName(tracker.spaceName, int(reach.Partition))]
		if found && !other.resolvedUpTo(reach.Offset) {
			other.wanted = true
		}
	}
}

// resolvedUpTo returns whether all records of the partition up to an offset are resolved.
func (t *tracker) resolvedUpTo(offset uint64) bool {
	if t.started && offset <= t.verified {
		return true
	}
	for _, present := range t.interests {
		if present.since == everything || present.since < offset {
			return false
		}
	}
	return true
}

// recentlyVerified returns whether all trackers of a space were verified lately, so that no record
// older than the dependency window can be missing.
func (g *Gateway) recentlyVerified(now time.Time, full string) bool {
	for _, other := range g.trackers {
		if other.spaceName == full && other.started && now.Sub(other.verifiedAt) > partition.VerificationWindow {
			return false
		}
	}
	return true
}

// deliverable returns whether a pending record may be delivered.
func (g *Gateway) deliverable(now time.Time, tracker *tracker, record partition.Record) bool {
	since, matters := tracker.startOf(record.Topic)
	if matters && since == everything || !tracker.started {
		return false
	}
	if statemachine.Mutated("no-order") {
		return true
	}
	if tracker.shared {
		return record.Offset <= 1 || tracker.resolved(record.Topic, record.Offset-1)
	}
	if !tracker.resolved(record.Topic, record.PreviousInTopic) {
		return false
	}
	// If all partitions were verified lately nothing can be missing for long; what
	// still waits is from a sender that published out of its own order through two
	// gateways.
	pendingSince, noted := tracker.pendingSince[record.Offset]
	if noted && now.Sub(pendingSince) > cycleTimeout && g.recentlyVerified(now, tracker.spaceName) {
		return true
	}
	return g.dependenciesResolved(tracker, record) && g.recentlyVerified(now, tracker.spaceName)
}

// dependenciesResolved returns whether all that a record names as earlier messages of
// its sender was delivered here or need not be.
func (g *Gateway) dependenciesResolved(tracker *tracker, record partition.Record) bool {
	for _, mark := range record.Dependencies.Messages {
		other, found := g.trackers[partitionName(tracker.spaceName, int(mark.Partition))]
		if found && (other != tracker || mark.Offset < record.Offset) && !other.resolved(mark.Topic, mark.Offset) {
			return false
		}
	}
	for _, reach := range record.Dependencies.Floor {
		other, found := g.trackers[partitionName(tracker.spaceName, int(reach.Partition))]
		if found && (other != tracker || reach.Offset < record.Offset) && !other.resolvedUpTo(reach.Offset) {
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

// deferDelivery arms a timer and returns true if so many records are pending that a scan of all of
// them for each copy would cost more than a short delay; one scan then serves all copies that come
// meanwhile.
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

// deliverAllReady is that scan; what is still pending after it is fetched.
func (g *Gateway) deliverAllReady(now time.Time, effects *statemachine.Effects) {
	g.deliverReady(now, effects)
	for _, tracker := range statemachine.Sorted(g.trackers) {
		if !tracker.started || len(tracker.pending) == 0 {
			continue
		}
		tracker.wanted = true
		g.timers.ArmSooner(timerVerify, now.Add(gapTimeout))
		for _, record := range statemachine.Sorted(tracker.pending) {
			g.requestDependencies(tracker, record)
		}
	}
}

// deliverReady delivers all pending records that are deliverable, until none is. Of each sender's
// pending records in a space only the one with the lowest sequence may be delivered.
func (g *Gateway) deliverReady(now time.Time, effects *statemachine.Effects) {
	bySender := map[string][]pendingRecord{}
	for _, tracker := range statemachine.Sorted(g.trackers) {
		for offset, record := range statemachine.Sorted(tracker.pending) {
			if _, delivered := tracker.delivered[offset]; delivered || tracker.started && offset <= tracker.verified {
				delete(tracker.pending, offset)
				continue
			}
			if _, noted := tracker.pendingSince[offset]; !noted {
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
	if tracker.shared && record.Offset == tracker.verified+1 {
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

// subscribedSessions returns the sessions with a subscription that matches a topic exactly,
// whatever else shares its area.
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

// handleEphemeralCopy delivers an ephemeral message, and returns whether anybody here subscribes to
// its topic.
func (g *Gateway) handleEphemeralCopy(now time.Time, message EphemeralCopy, effects *statemachine.Effects) bool {
	space, _ := spaceOf(message.Space + "/")
	state, found := g.spaces[space]
	if !found || state.name != message.Space {
		return false
	}
	if !message.Repeated {
		state.remember(now, message, false)
	}
	return g.deliverEphemeral(now, state, message, effects)
}

// deliverEphemeral delivers an ephemeral message to the sessions here, and returns whether there
// are any.
func (g *Gateway) deliverEphemeral(
	now time.Time,
	state *spaceState,
	message EphemeralCopy,
	effects *statemachine.Effects,
) bool {
	holders := state.subscribedSessions(message.Topic)
	for id := range statemachine.Sorted(holders) {
		if session, open := g.sessions[id]; open {
			g.deliverOrBufferEphemeral(now, id, session, message, effects)
		}
	}
	return len(holders) > 0
}

// handleHighWatermarks applies the reports of a store.
func (g *Gateway) handleHighWatermarks(
	now time.Time,
	highWatermarks partition.HighWatermarks,
	effects *statemachine.Effects,
) {
	for _, head := range highWatermarks.HighWatermarks {
		if config.IsShared(head.Partition) {
			g.handleTopicHighWatermarks(now, head)
			continue
		}
		tracker, found := g.trackers[head.Partition]
		if !found || head.Epoch < g.viewClient.Placements[head.Partition].Epoch {
			continue
		}
		tracker.highWatermark = max(tracker.highWatermark, head.Offset)
		if tracker.started && head.Offset > tracker.verified {
			tracker.wanted = true
			g.timers.ArmSooner(timerVerify, now.Add(verifyEvery/2))
		} else if tracker.started {
			tracker.advanceVerifiedAt(g.highWatermarksRequestedAt)
		}
	}
	g.deliverReady(now, effects)
}

// advanceVerifiedAt notes that all records of the partition were here at a moment.
func (t *tracker) advanceVerifiedAt(at time.Time) {
	if at.After(t.verifiedAt) {
		t.verifiedAt = at
	}
}

// verifyAll verifies the trackers that may lack a record.
func (g *Gateway) verifyAll(now time.Time, effects *statemachine.Effects) {
	for name, tracker := range statemachine.Sorted(g.trackers) {
		if !tracker.wanted || tracker.verifying || !tracker.started {
			continue
		}
		tracker.wanted = false
		g.verify(now, name, tracker, effects)
	}
}

// verify fetches the records of a partition that the tracker lacks.
func (g *Gateway) verify(now time.Time, name string, tracker *tracker, effects *statemachine.Effects) {
	if tracker.shared && tracker.highWatermark <= tracker.verified && len(tracker.pending) == 0 {
		return
	}
	g.Counts.Verifies++
	tracker.verifying = true
	tracker.requestedAt = now
	fetch := &partitionFetch{after: tracker.verified}
	for interest := range tracker.interests {
		if tracker.shared {
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
	g.nextRequest++
	operation := &fetchOperation{
		tracker:    name,
		version:    tracker.version,
		partitions: map[string]*partitionFetch{name: fetch},
		records:    map[string][]partition.Record{},
		deadline:   now.Add(defaultSubscribeTimeout),
	}
	g.fetches[g.nextRequest] = operation
	g.timers.ArmSooner(timerDeadlines, operation.deadline)
	g.sendFetch(now, g.nextRequest, name, fetch, effects)
}

// verified takes the answer to a verification. The missing records go the way of all
// others, and once they are delivered the partition is verified up to there.
func (g *Gateway) verified(now time.Time, operation *fetchOperation, effects *statemachine.Effects) {
	tracker, found := g.trackers[operation.tracker]
	if !found {
		return
	}
	tracker.verifying = false
	until := operation.partitions[operation.tracker].until
	g.addMissing(now, tracker, operation.records[operation.tracker], until, effects)
	// The answer holds all of this partition up to there, so nothing within it is
	// missing; only another partition may still hold a message back.
	g.deliverReady(now, effects)
	if tracker.version == operation.version {
		limit := until
		for offset := range tracker.pending {
			limit = min(limit, offset-1)
		}
		if limit > tracker.verified {
			tracker.verified = limit
		}
		// All up to there is here now, though some of it may have to wait.
		tracker.advanceVerifiedAt(tracker.requestedAt)
		g.deliverReady(now, effects)
	}
	outdated := tracker.version != operation.version
	if !outdated && len(tracker.pending) == 0 && tracker.highWatermark <= tracker.verified {
		return
	}
	tracker.wanted = true
	pause := verifyEvery
	if len(tracker.pending) > 0 || outdated {
		pause = gapTimeout
	}
	for _, record := range tracker.pending {
		g.requestDependencies(tracker, record)
	}
	g.timers.ArmSooner(timerVerify, now.Add(pause))
}

// addMissing adds fetched records to the pending ones of a tracker.
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

// followHighWatermarks subscribes to the high watermarks of the partitions in use here at their
// leaders, and again before the leaders forget it.
func (g *Gateway) followHighWatermarks(now time.Time, effects *statemachine.Effects) {
	byStore := map[string]partition.SubscribeHighWatermarks{}
	g.highWatermarksRequestedAt = now
	add := func(name string, from uint64) {
		if address, _, found := g.leaderOf(name); found {
			follow := byStore[address]
			follow.Partitions, follow.KnownOffsets = append(follow.Partitions, name), append(follow.KnownOffsets, from)
			byStore[address] = follow
		}
	}
	for name := range statemachine.Sorted(g.trackers) {
		add(name, 0)
	}
	for name := range statemachine.Sorted(g.routed.partitions) {
		if from, begun := g.routed.reportedUpTo[name]; begun {
			g.routed.followRoutes[name] = g.routeTo(name)
			add(name, from)
		}
	}
	for address, follow := range statemachine.Sorted(byStore) {
		effects.Send(address, follow)
	}
	if len(g.trackers)+len(g.routed.partitions) > 0 {
		g.timers.Arm(timerFollow, now.Add(followEvery))
	}
}

// placementsChanged sends what waits for a store to the new leaders of the partitions.
func (g *Gateway) placementsChanged(now time.Time, effects *statemachine.Effects) {
	for _, item := range statemachine.Sorted(g.appends) {
		if from, known := g.senders[item.key]; known && now.Sub(item.sentAt) > 50*time.Millisecond {
			g.sendAppend(now, from, item, effects)
		}
	}
	g.resendRouted(now, effects)
	if g.routesChanged() {
		g.timers.ArmSooner(timerFollow, now)
	}
}

// TrackerStatus is the state of one tracker. The JSON keys are part of the ctl interface.
type TrackerStatus struct {
	Verified    uint64        `json:"verified"`
	Head        uint64        `json:"head"`
	Pending     int           `json:"held"`
	Started     bool          `json:"began"`
	Verifying   bool          `json:"verifying"`
	Wanted      bool          `json:"wanted"`
	VerifiedAgo time.Duration `json:"fresh"`
	Interests   int           `json:"interests"`
}

// Trackers returns the state of all trackers by partition, for ctl and the simulator.
func (g *Gateway) Trackers(now time.Time) map[string]TrackerStatus {
	statuses := map[string]TrackerStatus{}
	for name, tracker := range g.trackers {
		statuses[name] = TrackerStatus{
			Verified:    tracker.verified,
			Head:        tracker.highWatermark,
			Pending:     len(tracker.pending),
			Started:     tracker.started,
			Verifying:   tracker.verifying,
			Wanted:      tracker.wanted,
			VerifiedAgo: now.Sub(tracker.verifiedAt),
			Interests:   len(tracker.interests),
		}
	}
	return statuses
}
