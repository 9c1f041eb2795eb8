package gateway

import (
	"cmp"
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controller"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/overlay"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	// senderIdleTimeout is after what time an idle sender is forgotten, seqMemory how long its
	// ephemeral messages are remembered.
	senderIdleTimeout = 90 * time.Second
	seqMemory         = 30 * time.Second
	// maxSenderQueue bounds the publications of a sender that wait.
	maxSenderQueue = 64
	// blockFor is how long a publication that was not accepted holds off later ones.
	blockFor = 3 * time.Second
	// appendRetry is after what time an unanswered append is sent again.
	appendRetry = 150 * time.Millisecond
)

// senderKey names a sender within a space.
type senderKey struct {
	space  string
	sender string
}

// sentMemory is an ephemeral message of a sender that was accepted a moment ago.
type sentMemory struct {
	digest uint64
	at     time.Time
}

// sender is the state of one sender in one space.
type sender struct {
	// queue are the publications that wait for their turn; the first one is being processed.
	queue []*publication
	// lastSeq is the highest accepted sequence that is known here.
	lastSeq uint64
	// lookedUp is set once the stores have responded with lastSeq and the dependencies.
	lookedUp bool
	// dependencies are the messages that were accepted within the dependency window.
	dependencies []dependency
	// arrived is when the sender came here, or skipped a sequence, which may mean that it was
	// elsewhere.
	arrived time.Time
	// recent are the ephemeral messages of the last moments, by sequence.
	recent map[uint64]sentMemory
	// blocked is the sequence that was not accepted and must be sent again before later ones, 0 if
	// there is none; it lapses blockFor after blockedAt.
	blocked   uint64
	blockedAt time.Time
	// lastUse is when the sender last published; after senderIdleTimeout it is forgotten.
	lastUse time.Time
}

// dependency is a message of a sender that was accepted a moment ago: the sender's next messages
// depend on it.
type dependency struct {
	mark partition.MessagePosition
	seq  uint64
	at   time.Time
}

// currentDependencies returns the dependencies that go with a sender's next message.
func (s *sender) currentDependencies(now time.Time) partition.Dependencies {
	s.dependencies = slices.DeleteFunc(
		s.dependencies,
		func(each dependency) bool { return now.Sub(each.at) > partition.DependencyWindow },
	)
	var result partition.Dependencies
	older := max(0, len(s.dependencies)-partition.MaxDependencies)
	floors := map[uint8]uint64{}
	for _, each := range s.dependencies[:older] {
		floors[each.mark.Partition] = max(floors[each.mark.Partition], each.mark.Offset)
	}
	for number, offset := range statemachine.Sorted(floors) {
		result.Floor = append(result.Floor, partition.PartitionOffset{Partition: number, Offset: offset})
	}
	for _, each := range s.dependencies[older:] {
		result.Messages = append(result.Messages, each.mark)
	}
	return result
}

// publication is a message that a client published to a space whose topics are not routed.
type publication struct {
	request Publish
	key     senderKey
	// id is its number in appends, 0 before the first append.
	id uint64
	// partition is where it is appended.
	partition string
	// sentAt is when the append was last sent.
	sentAt time.Time
	// deadline is when it gets its final answer at the latest.
	deadline time.Time
	// unanswered are the numbers of the sends without a response; see routedPublication.
	unanswered map[uint64]bool
	// lookedUp is set once the sender was looked up for it, which is done once only.
	lookedUp bool
	// answered is set with the final answer.
	answered bool
}

// senderLookup asks the stores of a space for the newest messages of a sender.
type senderLookup struct {
	key senderKey
	// waiting is how many stores have not responded; answered has an entry for each store that was
	// asked.
	waiting  int
	answered map[string]bool
	// ready is set while all responses came from stores that lead their partitions.
	ready bool
	// lastSeq and recent gather what the stores responded.
	lastSeq uint64
	recent  []partition.RecentMessage
	// deadline is when the lookup is dropped.
	deadline time.Time
}

// messageName is the name of the message in recorded decisions.
func (p Publish) messageName() string { return decisionlog.MessageName(p.Space, p.Sender, p.Seq) }

// messageOf returns the name of the message in recorded decisions, empty if the request has none.
func (g *Gateway) messageOf(request *PolicyRequest) string {
	if request.Kind != RequestPublish {
		return ""
	}
	return decisionlog.MessageName(request.Space, request.Sender, request.Seq)
}

// publish handles the publication of a client.
func (g *Gateway) publish(now time.Time, request Publish, effects *statemachine.Effects) {
	g.Counts.Requests++
	if g.isRoutedTopic(request.Space) {
		g.publishRouted(now, request, false, effects)
		return
	}
	g.publishAttempt(now, request, false, effects)
}

// publishAttempt evaluates a publication and queues it; refreshed is set where the configuration
// was refreshed for it before.
func (g *Gateway) publishAttempt(now time.Time, request Publish, refreshed bool, effects *statemachine.Effects) {
	policyRequest := &PolicyRequest{
		Kind:      RequestPublish,
		Client:    request.Client,
		Sender:    request.Sender,
		Space:     request.Space,
		Topic:     request.Topic,
		Seq:       request.Seq,
		Data:      request.Data,
		Refreshed: refreshed,
	}
	item := &publication{request: request, key: senderKey{space: request.Space, sender: request.Sender}}
	answer := func(response Reply) { g.answerPublication(now, item, response, effects) }
	retry := func(now time.Time, effects *statemachine.Effects) { g.publishAttempt(now, request, true, effects) }
	if !g.authorize(now, policyRequest, request.RequestName, retry, answer) {
		return
	}
	from, found := g.senders[item.key]
	if !found {
		from = &sender{recent: map[uint64]sentMemory{}, arrived: now}
		g.senders[item.key] = from
	}
	from.lastUse = now
	if from.blocked > 0 && request.Seq > from.blocked {
		if now.Sub(from.blockedAt) < blockFor {
			answer(rejectedReply(
				503,
				"earlier-refused",
				"an earlier seq of this sender has no accepted answer; send that one first",
				retryLongDelay,
			))
			return
		}
		from.blocked = 0
	}
	if len(from.queue) >= maxSenderQueue {
		answer(rejectedReply(429, "queue-full", "too many publications of this sender wait", retryLongDelay))
		return
	}
	g.ring.Record(now, request.RequestName, g.messageOf(policyRequest), request.Client, "judged", "topic", request.Topic,
		"version", g.viewClient.Version, "queued", len(from.queue))
	item.deadline = now.Add(min(requestTimeout, g.spaces[request.Space].space.ResponseTimeout*7/10))
	from.queue = append(from.queue, item)
	g.timers.ArmSooner(timerDeadlines, item.deadline)
	if len(from.queue) == 1 {
		g.begin(now, from, effects)
	}
}

// countOutcome counts the final answer of a publication.
func (g *Gateway) countOutcome(answer Reply) {
	switch answer.Outcome {
	case OutcomeAccepted:
		g.Counts.Accepted++
	case OutcomeRejected:
		g.Counts.RejectedRequests++
	case OutcomeUnsettled:
		g.Counts.UnsettledRequests++
	}
}

// answerPublication gives a publication its final answer, once.
func (g *Gateway) answerPublication(now time.Time, item *publication, answer Reply, effects *statemachine.Effects) {
	if item.answered {
		return
	}
	item.answered = true
	g.countOutcome(answer)
	g.ring.Record(now, item.request.RequestName, item.request.messageName(),
		item.request.Client, "answered", "outcome", answer.Outcome, "code", answer.Code)
	effects.Respond(item.request.Request, answer)
}

// begin starts the publication at the front of a sender's queue.
func (g *Gateway) begin(now time.Time, from *sender, effects *statemachine.Effects) {
	for len(from.queue) > 0 {
		item := from.queue[0]
		state, found := g.spaces[item.request.Space]
		if !found {
			from.queue = from.queue[1:]
			g.answerPublication(now, item, rejectedReply(404, "no-such-space", "the space was removed", 0), effects)
			continue
		}
		if state.space.Retention == config.Durable {
			g.publishDurable(now, state, from, item, effects)
			return
		}
		g.publishEphemeral(now, state, from, item, effects)
		return
	}
}

// finish answers the publication at the front of a queue. Where it was not accepted, those behind
// it are rejected, and later sequences are held off until this one is sent again.
func (g *Gateway) finish(now time.Time, item *publication, answer Reply, effects *statemachine.Effects) {
	delete(g.appends, item.id)
	for send := range item.unanswered {
		delete(g.sends, send)
	}
	g.answerPublication(now, item, answer, effects)
	from, found := g.senders[item.key]
	if !found || len(from.queue) == 0 || from.queue[0] != item {
		return
	}
	from.queue = from.queue[1:]
	if answer.Outcome == OutcomeAccepted {
		if item.request.Seq >= from.blocked {
			from.blocked = 0
		}
		g.begin(now, from, effects)
		return
	}
	if answer.RetryAfter > 0 {
		from.blocked, from.blockedAt = item.request.Seq, now
		waiting := from.queue
		from.queue = nil
		for _, behind := range waiting {
			g.answerPublication(
				now,
				behind,
				rejectedReply(503, "earlier-refused", "an earlier seq of this sender was not accepted", retryLongDelay),
				effects,
			)
		}
		return
	}
	g.begin(now, from, effects)
}

// partitionOf returns the partition of a topic.
func (g *Gateway) partitionOf(state *spaceState, topic string) string {
	return partitionName(state.name, partition.ForTopic(topic, state.space.Partitions()))
}

// partitionName returns the name of the partition with a number in a space.
func partitionName(space string, number int) string {
	name := controller.PartitionName("", 0, number)
	return space + name[len("~0"):]
}

// areaOf returns where a topic lies in the overlay: a space with one shared order is one area, so
// that all gateways that have a part of it receive all of it.
func areaOf(space config.Space, path string) overlay.Area {
	if space.Order == config.OrderSpace {
		return overlay.WholeSquare
	}
	return overlay.AreaOf(path)
}

// publishDurable sends a publication to the leader of its partition, after a lookup of the sender
// where its newest messages are not known here.
func (g *Gateway) publishDurable(
	now time.Time,
	state *spaceState,
	from *sender,
	item *publication,
	effects *statemachine.Effects,
) {
	// A seq that does not follow the newest one known here may come from a
	// sender that was elsewhere meanwhile; its dependencies are looked up anew.
	follows := from.lookedUp && item.request.Seq <= from.lastSeq+1
	if !follows && !item.lookedUp && state.space.Partitions() > 1 {
		item.lookedUp = true
		g.lookUpSender(now, state, item, effects)
		return
	}
	item.partition = g.partitionOf(state, item.request.Topic)
	g.nextRequest++
	item.id = g.nextRequest
	g.appends[item.id] = item
	g.overlay.Publish(now, state.name, areaOf(state.space, item.request.Topic), nil, effects)
	g.sendAppend(now, from, item, effects)
}

// leaderOf returns the address and the name of the store that leads a partition.
func (g *Gateway) leaderOf(name string) (address, store string, found bool) {
	placement, placed := g.viewClient.Placements[name]
	if !placed {
		return "", "", false
	}
	member, known := g.viewClient.Members[placement.Leader]
	return member.Address, placement.Leader, known
}

// sendAppend sends an append, or sends it again under a new request number.
func (g *Gateway) sendAppend(now time.Time, from *sender, item *publication, effects *statemachine.Effects) {
	item.sentAt = now
	g.timers.ArmSooner(timerDeadlines, now.Add(appendRetry))
	address, store, found := g.leaderOf(item.partition)
	if !found {
		g.viewClient.PollNow(now)
		return
	}
	var before partition.Dependencies
	if state, known := g.spaces[item.request.Space]; known && state.space.Partitions() > 1 {
		before = from.currentDependencies(now)
	}
	g.nextRequest++
	send := g.nextRequest
	if item.unanswered == nil {
		item.unanswered = map[uint64]bool{}
	}
	item.unanswered[send] = true
	g.sends[send] = item
	g.ring.Record(now, item.request.RequestName, item.request.messageName(),
		item.request.Client, "append",
		"partition", item.partition,
		"store", store,
		"epoch", g.viewClient.Placements[item.partition].Epoch,
	)
	effects.Send(address, partition.Append{
		Partition:     item.partition,
		RequestID:     send,
		Topic:         item.request.Topic,
		Sender:        item.request.Sender,
		Seq:           item.request.Seq,
		Data:          item.request.Data,
		Dependencies:  before,
		DuplicateOnly: item.request.Seq <= from.lastSeq,
	})
}

// handleAppendResponse applies the response of a store to a publication.
func (g *Gateway) handleAppendResponse(
	now time.Time,
	response partition.AppendResponse,
	effects *statemachine.Effects,
) {
	if item, routed := g.routed.sends[response.RequestID]; routed && item.partition == response.Partition {
		g.handleRoutedResponse(now, item, response, effects)
		return
	}
	item, found := g.sends[response.RequestID]
	if !found || item.partition != response.Partition {
		return
	}
	delete(item.unanswered, response.RequestID)
	delete(g.sends, response.RequestID)
	g.ring.Record(now, item.request.RequestName, item.request.messageName(), item.request.Client, "kept",
		"outcome", response.Outcome,
		"code", response.Code,
		"partition", response.Partition,
		"epoch", response.Epoch,
		"offset", response.Record.Offset,
		"again", response.Duplicate,
	)
	switch response.Outcome {
	case partition.OutcomeAccepted:
		g.applyAppended(now, item, response, effects)
	case partition.OutcomeRejected:
		g.applyAppendRejected(now, item, response, effects)
	default:
		g.finish(now, item, unsettledReply(response.Code, "send the same seq again", retryLongDelay), effects)
	}
}

// applyAppended fans out a message that was appended and accepts its publication.
func (g *Gateway) applyAppended(
	now time.Time,
	item *publication,
	response partition.AppendResponse,
	effects *statemachine.Effects,
) {
	if from, known := g.senders[item.key]; known {
		from.lastSeq = max(from.lastSeq, item.request.Seq)
		from.dependencies = append(from.dependencies, dependency{
			mark: partition.MessagePosition{
				Partition: partition.NumberOf(response.Partition),
				Offset:    response.Record.Offset,
				Topic:     item.request.Topic,
			},
			seq: item.request.Seq,
			at:  now,
		})
	}
	if state, present := g.spaces[item.request.Space]; present && !response.Duplicate {
		g.fanOutRecord(now, state, response.Partition, response.Record, item, effects)
	}
	g.finish(now, item, acceptedReply(map[string]any{"again": response.Duplicate}), effects)
}

// applyAppendRejected answers a publication that a store rejected, unless it can still
// succeed within its deadline.
func (g *Gateway) applyAppendRejected(
	now time.Time,
	item *publication,
	response partition.AppendResponse,
	effects *statemachine.Effects,
) {
	switch response.Code {
	case "not-first":
		// The view of the store or of this gateway is old; the deadline decides.
		g.viewClient.PollNow(now)
		item.sentAt = now
		g.timers.ArmSooner(timerDeadlines, now.Add(appendRetry))
	case "old-seq", "seq-reused":
		g.finish(now, item, rejectedReply(409, response.Code, "this seq is not above the sender's newest", 0), effects)
	default:
		answer := rejectedReply(
			503,
			response.Code,
			"the partition can't keep two copies at this moment",
			response.RetryAfter,
		)
		if len(item.unanswered) > 0 {
			// An earlier attempt has no response; it may yet be appended.
			answer = unsettledReply(response.Code, "send the same seq again", response.RetryAfter)
		}
		g.finish(now, item, answer, effects)
	}
}

// lookUpSender asks all stores of a space for the newest messages of a sender.
func (g *Gateway) lookUpSender(now time.Time, state *spaceState, item *publication, effects *statemachine.Effects) {
	byStore := map[string][]string{}
	for number := range state.space.Partitions() {
		name := partitionName(state.name, number)
		address, _, found := g.leaderOf(name)
		if !found {
			g.viewClient.PollNow(now)
			g.finish(
				now,
				item,
				rejectedReply(503, "not-placed", "the space's partitions are not placed yet", retryLongDelay),
				effects,
			)
			return
		}
		byStore[address] = append(byStore[address], name)
	}
	g.nextRequest++
	lookup := &senderLookup{
		key:      item.key,
		waiting:  len(byStore),
		answered: map[string]bool{},
		ready:    true,
		deadline: item.deadline,
	}
	g.senderLookups[g.nextRequest] = lookup
	for address, names := range statemachine.Sorted(byStore) {
		lookup.answered[address] = false
		effects.Send(address, partition.SenderStateRequest{
			RequestID:  g.nextRequest,
			Partitions: names,
			Sender:     item.request.Sender,
		})
	}
}

// handleSenderResponse applies the response of a store to a sender lookup; each store counts once.
func (g *Gateway) handleSenderResponse(
	now time.Time,
	store string,
	response partition.SenderStateResponse,
	effects *statemachine.Effects,
) {
	lookup, found := g.senderLookups[response.RequestID]
	if !found {
		return
	}
	if answered, requested := lookup.answered[store]; (!requested || answered) && !statemachine.Mutated("any-answer") {
		return
	}
	lookup.answered[store] = true
	lookup.waiting--
	lookup.ready = lookup.ready && response.Ready
	lookup.lastSeq = max(lookup.lastSeq, response.LastSeq)
	lookup.recent = append(lookup.recent, response.RecentMessages...)
	if lookup.waiting > 0 {
		return
	}
	delete(g.senderLookups, response.RequestID)
	from, known := g.senders[lookup.key]
	if !known || len(from.queue) == 0 {
		return
	}
	if !lookup.ready {
		g.viewClient.PollNow(now)
		g.finish(
			now,
			from.queue[0],
			rejectedReply(503, "partition-moving", "a partition of the space is being taken over", retryLongDelay),
			effects,
		)
		return
	}
	from.lookedUp, from.lastSeq, from.dependencies = true, lookup.lastSeq, nil
	slices.SortFunc(
		lookup.recent,
		func(left, right partition.RecentMessage) int { return cmp.Compare(left.Seq, right.Seq) },
	)
	for _, each := range lookup.recent {
		from.dependencies = append(from.dependencies, dependency{
			mark: each.Position,
			seq:  each.Seq,
			at:   now.Add(-each.Age / 2),
		})
	}
	g.begin(now, from, effects)
}

// fanOutRecord sends one copy of a record to each destination gateway, and delivers it to the
// subscribers here.
func (g *Gateway) fanOutRecord(
	now time.Time,
	state *spaceState,
	name string,
	record partition.Record,
	item *publication,
	effects *statemachine.Effects,
) {
	area := areaOf(state.space, record.Topic)
	recordCopy := RecordCopy{Partition: name, Record: record}
	spread := func(now time.Time, effects *statemachine.Effects, stable bool) {
		destinations := g.overlay.Destinations(state.name, area)
		g.spread(now, item, destinations, stable, recordCopy, effects)
	}
	if _, topic := g.trackers[name]; topic {
		g.handleRecordCopy(now, recordCopy, effects)
	}
	if g.overlay.Joined(state.name, area) {
		spread(now, effects, true)
		return
	}
	g.overlay.Publish(now, state.name, area, spread, effects)
}

// spread sends one copy to each destination gateway.
func (g *Gateway) spread(
	now time.Time,
	item *publication,
	destinations []string,
	stable bool,
	message any,
	effects *statemachine.Effects,
) {
	for _, name := range destinations {
		if member, found := g.viewClient.Members[name]; found {
			g.Counts.CopiesOut++
			effects.Send(member.Address, message)
		}
	}
	g.ring.Record(now, item.request.RequestName, item.request.messageName(),
		item.request.Client, "fanned-out",
		"destinations", destinations,
		"why", "subscriber list of the peer at the topic's area",
		"settled", stable,
	)
}

// publishEphemeral fans out an ephemeral message once the overlay is stable.
func (g *Gateway) publishEphemeral(
	now time.Time,
	state *spaceState,
	from *sender,
	item *publication,
	effects *statemachine.Effects,
) {
	request := item.request
	if memory, known := from.recent[request.Seq]; known {
		if memory.digest != partition.MessageDigest(request.Topic, request.Data) {
			g.finish(now, item, rejectedReply(409, "seq-reused", "this seq was used for another message", 0), effects)
			return
		}
		g.finish(now, item, acceptedReply(map[string]any{"again": true}), effects)
		return
	}
	if request.Seq <= from.lastSeq && now.Sub(from.arrived) > seqMemory {
		g.finish(now, item, rejectedReply(409, "old-seq", "this seq is not above the sender's newest", 0), effects)
		return
	}
	// A sender that came here a moment ago may retry what another gateway fanned out.
	// It is fanned out once more; a session that has had it, or a later one, ignores it.
	area := areaOf(state.space, request.Topic)
	g.overlay.Publish(now, state.name, area, func(now time.Time, effects *statemachine.Effects, stable bool) {
		if item.answered {
			return
		}
		if !stable {
			g.finish(now, item, rejectedReply(503, "no-neighbours", "the overlay is being mended", retryShortDelay), effects)
			return
		}
		if request.Seq > from.lastSeq+1 {
			from.arrived = now
		}
		from.lastSeq = max(from.lastSeq, request.Seq)
		from.recent[request.Seq] = sentMemory{digest: partition.MessageDigest(request.Topic, request.Data), at: now}
		for seq, memory := range from.recent {
			if now.Sub(memory.at) > seqMemory {
				delete(from.recent, seq)
			}
		}
		message := EphemeralCopy{
			Space:  state.name,
			Topic:  request.Topic,
			Sender: request.Sender,
			Seq:    request.Seq,
			Data:   request.Data,
		}
		state.remember(now, message, true)
		g.deliverEphemeral(now, state, message, effects)
		g.spread(now, item, g.overlay.Destinations(state.name, area), true, message, effects)
		g.finish(now, item, acceptedReply(map[string]any{"again": false}), effects)
	}, effects)
}

// checkDeadlines sends again what stayed without an answer, and ends what has passed
// its deadline.
func (g *Gateway) checkDeadlines(now time.Time, effects *statemachine.Effects) {
	next := g.endOverdueLookups(now)
	next = statemachine.Earliest(next, g.retryAppends(now, effects))
	next = statemachine.Earliest(next, g.endOverduePublications(now, effects))
	for id, fetch := range statemachine.Sorted(g.fetches) {
		next = statemachine.Earliest(next, g.retryFetch(now, id, fetch, effects))
	}
	if !next.IsZero() {
		g.timers.ArmSooner(timerDeadlines, next)
	}
}

// endOverdueLookups drops the sender lookups that have passed their deadline, and
// returns the next deadline of the others.
func (g *Gateway) endOverdueLookups(now time.Time) time.Time {
	var next time.Time
	for id, lookup := range statemachine.Sorted(g.senderLookups) {
		if !lookup.deadline.After(now) {
			delete(g.senderLookups, id)
		} else {
			next = statemachine.Earliest(next, lookup.deadline)
		}
	}
	return next
}

// retryAppends sends unanswered appends again, and returns when to look next.
func (g *Gateway) retryAppends(now time.Time, effects *statemachine.Effects) time.Time {
	var next time.Time
	for _, item := range statemachine.Sorted(g.appends) {
		from, known := g.senders[item.key]
		if known && item.deadline.After(now) && !item.sentAt.Add(appendRetry).After(now) {
			g.sendAppend(now, from, item, effects)
		}
		if item.deadline.After(now) {
			next = statemachine.Earliest(next, item.sentAt.Add(appendRetry), item.deadline)
		}
	}
	return next
}

// endOverduePublications answers the publications that have passed their deadline,
// and returns the next deadline of the others.
func (g *Gateway) endOverduePublications(now time.Time, effects *statemachine.Effects) time.Time {
	var next time.Time
	for _, from := range g.sortedSenders() {
		for len(from.queue) > 0 && !from.queue[0].deadline.After(now) {
			item := from.queue[0]
			g.finish(now, item, overdueReply(item), effects)
		}
		if len(from.queue) > 0 {
			next = statemachine.Earliest(next, from.queue[0].deadline)
		}
	}
	return next
}

// overdueReply is the final answer of a publication that has passed its deadline. It
// is unsettled if a store may still append the message.
func overdueReply(item *publication) Reply {
	switch {
	case statemachine.Mutated("refuse-what-is-open"):
		return rejectedReply(503, "no-answer", "", 0)
	case len(item.unanswered) > 0:
		return unsettledReply("no-answer", "the store did not answer; send the same seq again", retryLongDelay)
	default:
		return rejectedReply(503, "no-answer", "the message was not kept", retryLongDelay)
	}
}

// sortedSenders walks the senders with a queue in the order of their space and name.
func (g *Gateway) sortedSenders() func(yield func(senderKey, *sender) bool) {
	return func(yield func(senderKey, *sender) bool) {
		byName := map[string]senderKey{}
		for key, from := range g.senders {
			if len(from.queue) > 0 {
				byName[key.space+" "+key.sender] = key
			}
		}
		for _, key := range statemachine.Sorted(byName) {
			if from, found := g.senders[key]; found && !yield(key, from) {
				return
			}
		}
	}
}
