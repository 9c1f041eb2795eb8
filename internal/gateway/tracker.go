// A tracker follows one partition for all the subscribers here. It hands messages
// over only when what they follow was handed over: the topic's message before,
// and the sender's message before wherever it is kept. What is missing is
// fetched from the partition's first. The first tells the head of the partition as it
// moves, and the tracker then verifies that it missed nothing up to there, so
// that a lost last message shows too.

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
	verifyEvery       = time.Second
	gapTimeout        = 40 * time.Millisecond
	followEvery       = 2 * time.Second
	maxSkippedOffsets = 2048
	cycleTimeout      = 8 * time.Second
	maxImmediateScan  = 64
	deliverInterval   = 20 * time.Millisecond
)

type trackedInterest struct {
	interest      Interest
	subscriptions int
	since         uint64
}

type tracker struct {
	name          string
	space         string
	shared        bool
	interests     map[Interest]*trackedInterest
	version       uint64
	verified      uint64
	started       bool
	highWatermark uint64
	delivered     map[uint64]time.Time
	pending       map[uint64]partition.Record
	pendingSince  map[uint64]time.Time
	verifying     bool
	wanted        bool
	verifiedAt    time.Time
	requestedAt   time.Time
	spaceName     string
}

// spaceOf takes a partition's name apart.
func spaceOf(name string) (space, full string) {
	full, _, _ = strings.Cut(name, "/")
	space, _, _ = strings.Cut(full, "~")
	return space, full
}

func (g *Gateway) trackerFor(now time.Time, name string) *tracker {
	present, found := g.trackers[name]
	if !found {
		space, full := spaceOf(name)
		present = &tracker{
			name: name, space: space, spaceName: full, verifiedAt: now, interests: map[Interest]*trackedInterest{}, delivered: map[uint64]time.Time{}, pending: map[uint64]partition.Record{}, pendingSince: map[uint64]time.Time{},
		}
		if state, known := g.spaces[space]; known {
			present.shared = state.space.Order == config.OrderSpace
		}
		g.trackers[name] = present
		g.timers.ArmSooner(timerFollow, now)
	}
	return present
}

func (t *tracker) add(interest Interest) {
	present, found := t.interests[interest]
	if !found {
		present = &trackedInterest{interest: interest, since: everything}
		t.interests[interest] = present
		t.version++
	}
	present.subscriptions++
}

// remove takes one holder away and tells whether nobody is left.
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

// begin notes from where on an interest is live.
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

// startOf is from where on a topic is followed live; everything if not yet.
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

// resolved tells whether a message was handed over here or need not be.
func (t *tracker) resolved(topic string, offset uint64) bool {
	if offset <= t.verified && t.started {
		return true
	}
	if _, had := t.delivered[offset]; had {
		return true
	}
	since, matters := t.startOf(topic)
	return !matters || offset <= since && since != everything
}

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

// handleRecordCopy takes a kept message, and tells whether anybody here wants it.
func (g *Gateway) handleRecordCopy(now time.Time, recordCopy RecordCopy, effects *statemachine.Effects) bool {
	tracker, found := g.trackers[recordCopy.Partition]
	if !found {
		return false
	}
	offset := recordCopy.Record.Offset
	if _, had := tracker.delivered[offset]; had || tracker.started && offset <= tracker.verified {
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
		effects.Emit(logevent.GapFound, "partition", recordCopy.Partition, "offset", offset, "prior", recordCopy.Record.PreviousInTopic)
		g.ring.Record(now, "", decisionlog.MessageName(tracker.space, recordCopy.Record.Sender, recordCopy.Record.Seq), "", "waits",
			"partition", recordCopy.Partition, "offset", offset, "prior", recordCopy.Record.PreviousInTopic, "before", recordCopy.Record.Dependencies.Messages, "verified", tracker.verified)
		tracker.wanted = true
		g.timers.ArmSooner(timerVerify, now.Add(gapTimeout))
		g.requestDependencies(tracker, recordCopy.Record)
	}
	return true
}

// requestDependencies marks the partitions in which something before a message is missing.
func (g *Gateway) requestDependencies(tracker *tracker, record partition.Record) {
	for _, mark := range record.Dependencies.Messages {
		if other, found := g.trackers[partitionName(tracker.spaceName, int(mark.Partition))]; found && !other.resolved(mark.Topic, mark.Offset) {
			other.wanted = true
		}
	}
	for _, reach := range record.Dependencies.Floor {
		if other, found := g.trackers[partitionName(tracker.spaceName, int(reach.Partition))]; found && !other.resolvedUpTo(reach.Offset) {
			other.wanted = true
		}
	}
}

// resolvedUpTo tells whether all of a partition up to an offset is settled here.
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

// recentlyVerified tells whether every partition of a space that is followed here was
// verified lately, so that nothing older than a trail can be missing.
func (g *Gateway) recentlyVerified(now time.Time, full string) bool {
	for _, other := range g.trackers {
		if other.spaceName == full && other.started && now.Sub(other.verifiedAt) > partition.VerificationWindow {
			return false
		}
	}
	return true
}

// deliverable tells whether a held message may be handed over.
func (g *Gateway) deliverable(now time.Time, tracker *tracker, record partition.Record) bool {
	since, matters := tracker.startOf(record.Topic)
	if matters && since == everything || !tracker.started {
		return false
	}
	if statemachine.Mutated("no-order") {
		return true
	}
	if tracker.shared && record.Offset > 1 && !tracker.resolved(record.Topic, record.Offset-1) {
		return false
	}
	if !tracker.shared && !tracker.resolved(record.Topic, record.PreviousInTopic) {
		return false
	}
	if tracker.shared {
		return true
	}
	// Where all is fresh nothing can be missing for long; what still waits is
	// from a sender that published out of its own order through two gateways.
	if since, noted := tracker.pendingSince[record.Offset]; noted && now.Sub(since) > cycleTimeout && g.recentlyVerified(now, tracker.spaceName) {
		return true
	}
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
	return g.recentlyVerified(now, tracker.spaceName)
}

// pendingRecord is a held message of a sender, with its partition.
type pendingRecord struct {
	tracker *tracker
	record  partition.Record
}

// deferDelivery tells whether so much is held that looking through all of it for
// each message would cost more than a moment's wait; then one look serves all
// that come meanwhile.
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

// deliverAllReady is that look; what still waits then is asked for.
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

// deliverReady hands over all that has become ripe, until nothing more does. Of each
// sender's held messages in a space only the one with the lowest seq may go.
func (g *Gateway) deliverReady(now time.Time, effects *statemachine.Effects) {
	bySender := map[string][]pendingRecord{}
	for _, tracker := range statemachine.Sorted(g.trackers) {
		for offset, record := range statemachine.Sorted(tracker.pending) {
			if _, had := tracker.delivered[offset]; had || tracker.started && offset <= tracker.verified {
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
		slices.SortStableFunc(bySender[key], func(left, right pendingRecord) int { return cmp.Compare(left.record.Seq, right.record.Seq) })
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

// subscribedSessions lists the channels with a subscription that matches a topic exactly,
// whatever else shares the topic's square.
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

// handleEphemeralCopy takes a passing message, and tells whether anybody here wants it.
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

// deliverEphemeral hands a passing message to this gateway's own channels.
func (g *Gateway) deliverEphemeral(now time.Time, state *spaceState, message EphemeralCopy, effects *statemachine.Effects) bool {
	holders := state.subscribedSessions(message.Topic)
	for id := range statemachine.Sorted(holders) {
		if session, open := g.sessions[id]; open {
			g.deliverOrBufferEphemeral(now, id, session, message, effects)
		}
	}
	return len(holders) > 0
}

// Verifying.

func (g *Gateway) handleHighWatermarks(now time.Time, highWatermarks partition.HighWatermarks, effects *statemachine.Effects) {
	for _, head := range highWatermarks.HighWatermarks {
		if config.IsShared(head.Partition) {
			g.handleTopicHighWatermarks(now, head, effects)
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

func (t *tracker) advanceVerifiedAt(at time.Time) {
	if at.After(t.verifiedAt) {
		t.verifiedAt = at
	}
}

func (g *Gateway) verifyAll(now time.Time, effects *statemachine.Effects) {
	for name, tracker := range statemachine.Sorted(g.trackers) {
		if !tracker.wanted || tracker.verifying || !tracker.started {
			continue
		}
		tracker.wanted = false
		g.verify(now, name, tracker, effects)
	}
}

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
		tracker: name, version: tracker.version, partitions: map[string]*partitionFetch{name: fetch}, records: map[string][]partition.Record{},
		deadline: now.Add(defaultSubscribeTimeout),
	}
	g.fetches[g.nextRequest] = operation
	g.timers.ArmSooner(timerDeadlines, operation.deadline)
	g.sendFetch(now, g.nextRequest, name, fetch, effects)
}

// verified takes the answer to a verification: the missing messages go the way
// of all others, and once they were handed over the partition is verified so far.
func (g *Gateway) verified(now time.Time, operation *fetchOperation, effects *statemachine.Effects) {
	tracker, found := g.trackers[operation.tracker]
	if !found {
		return
	}
	tracker.verifying = false
	until := operation.partitions[operation.tracker].until
	records := operation.records[operation.tracker]
	for _, record := range records {
		if _, had := tracker.delivered[record.Offset]; !had && record.Offset > tracker.verified {
			tracker.pending[record.Offset] = record
		}
	}
	if len(records) > 0 {
		effects.Emit(logevent.GapFilled, "partition", operation.tracker, "records", len(records), "until", until)
		for _, record := range records {
			g.ring.Record(now, "", decisionlog.MessageName(tracker.space, record.Sender, record.Seq), "", "repaired", "partition", operation.tracker, "offset", record.Offset)
		}
	}
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
	if tracker.version != operation.version || len(tracker.pending) > 0 || tracker.highWatermark > tracker.verified {
		tracker.wanted = true
		pause := verifyEvery
		if len(tracker.pending) > 0 || tracker.version != operation.version {
			pause = gapTimeout
		}
		for _, record := range tracker.pending {
			g.requestDependencies(tracker, record)
		}
		g.timers.ArmSooner(timerVerify, now.Add(pause))
	}
}

// followHighWatermarks asks the stores that are first for the partitions followed here to
// tell their heads, and asks again before they forget.
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

// placementsChanged sends what waits for a store to the partition's new first.
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

// TrackerStatus is one partition as it is followed here.
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

// Trackers tells of every partition followed here, for ctl and the simulator.
func (g *Gateway) Trackers(now time.Time) map[string]TrackerStatus {
	statuses := map[string]TrackerStatus{}
	for name, tracker := range g.trackers {
		statuses[name] = TrackerStatus{
			Verified: tracker.verified, Head: tracker.highWatermark, Pending: len(tracker.pending), Started: tracker.started, Verifying: tracker.verifying,
			Wanted: tracker.wanted, VerifiedAgo: now.Sub(tracker.verifiedAt), Interests: len(tracker.interests),
		}
	}
	return statuses
}
