// Publishing. The messages of one sender in one space go one after the other:
// the next begins when the one before has its answer, and a refusal or an
// unsettled fate holds off those behind it, so that none overtakes. A kept
// message goes to the first of its partition and is fanned out once it is
// accepted; a passing one is fanned out at once. The destinations come from the
// runOverlay peer at the topic's area, one copy for each daemon.

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
	senderIdleTimeout = 90 * time.Second
	seqMemory         = 30 * time.Second
	maxSenderQueue    = 64
	blockFor          = 3 * time.Second
	appendRetry       = 150 * time.Millisecond
	joinPatience      = 800 * time.Millisecond
)

type senderKey struct {
	space  string
	sender string
}

type sentMemory struct {
	digest uint64
	at     time.Time
}

type sender struct {
	queue        []*publication
	lastSeq      uint64
	lookedUp     bool
	dependencies []dependency
	arrived      time.Time
	recent       map[uint64]sentMemory
	blocked      uint64
	blockedAt    time.Time
	lastUse      time.Time
}

// dependency is a message of a sender that was accepted a moment ago.
type dependency struct {
	mark partition.MessagePosition
	seq  uint64
	at   time.Time
}

// trail tells the trail that goes with a sender's next message.
func (s *sender) trail(now time.Time) partition.Dependencies {
	s.dependencies = slices.DeleteFunc(s.dependencies, func(each dependency) bool { return now.Sub(each.at) > partition.DependencyWindow })
	var trail partition.Dependencies
	older := max(0, len(s.dependencies)-partition.MaxDependencies)
	floors := map[uint8]uint64{}
	for _, each := range s.dependencies[:older] {
		floors[each.mark.Partition] = max(floors[each.mark.Partition], each.mark.Offset)
	}
	for number, offset := range statemachine.Sorted(floors) {
		trail.Floor = append(trail.Floor, partition.PartitionOffset{Partition: number, Offset: offset})
	}
	for _, each := range s.dependencies[older:] {
		trail.Messages = append(trail.Messages, each.mark)
	}
	return trail
}

type publication struct {
	request   Publish
	key       senderKey
	id        uint64
	partition string
	sentAt    time.Time
	deadline  time.Time
	// unanswered are the numbers of the sends without an answer; see routedPublication.
	unanswered map[uint64]bool
	lookedUp   bool
	answered   bool
}

// senderLookup asks the stores where a sender's newest messages are; waiting is how many
// have not answered, and answered tells of each address that was asked whether it has.
type senderLookup struct {
	key      senderKey
	waiting  int
	answered map[string]bool
	ready    bool
	lastSeq  uint64
	recent   []partition.RecentMessage
	deadline time.Time
}

func (g *Gateway) messageOf(request *PolicyRequest) string {
	if request.Kind != "publish" {
		return ""
	}
	return decisionlog.MessageName(request.Space, request.Sender, request.Seq)
}

func (g *Gateway) publish(now time.Time, request Publish, effects *statemachine.Effects) {
	g.Counts.Requests++
	if g.isRoutedTopic(request.Space) {
		g.publishRouted(now, request, false, effects)
		return
	}
	g.publishAttempt(now, request, false, effects)
}

func (g *Gateway) publishAttempt(now time.Time, request Publish, refreshed bool, effects *statemachine.Effects) {
	policyRequest := &PolicyRequest{
		Kind: "publish", Client: request.Client, Sender: request.Sender, Space: request.Space, Topic: request.Topic,
		Seq: request.Seq, Data: request.Data, Refreshed: refreshed,
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
			answer(rejectedReply(503, "earlier-refused", "an earlier seq of this sender has no accepted answer; send that one first", retryLongDelay))
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

// answerPublication gives a publication its final answer.
func (g *Gateway) answerPublication(now time.Time, item *publication, answer Reply, effects *statemachine.Effects) {
	if item.answered {
		return
	}
	item.answered = true
	g.countOutcome(answer)
	g.ring.Record(now, item.request.RequestName, decisionlog.MessageName(item.request.Space, item.request.Sender, item.request.Seq),
		item.request.Client, "answered", "outcome", answer.Outcome, "code", answer.Code)
	effects.Respond(item.request.Request, answer)
}

// begin starts the publication at the head of a sender's queue.
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

// finish ends the head of a queue. Where it was not accepted, those behind it
// are refused, and later seqs are held off until this one is sent again.
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
			g.answerPublication(now, behind, rejectedReply(503, "earlier-refused", "an earlier seq of this sender was not accepted", retryLongDelay), effects)
		}
		return
	}
	g.begin(now, from, effects)
}

// Kept messages.

func (g *Gateway) partitionOf(state *spaceState, topic string) string {
	return partitionName(state.name, partition.ForTopic(topic, state.space.Partitions()))
}

func partitionName(space string, number int) string {
	name := controller.PartitionName("", 0, number)
	return space + name[len("~0"):]
}

// areaOf is where a topic lies: a space with one shared order is one area, so
// that all who hold a part of it receive the whole of it.
func areaOf(space config.Space, path string) overlay.Area {
	if space.Order == config.OrderSpace {
		return overlay.WholeSquare
	}
	return overlay.AreaOf(path)
}

func (g *Gateway) publishDurable(now time.Time, state *spaceState, from *sender, item *publication, effects *statemachine.Effects) {
	// A seq that does not follow the newest one known here may come from a
	// sender that was elsewhere meanwhile; its trail is learned anew.
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

func (g *Gateway) leaderOf(name string) (address, store string, found bool) {
	placement, placed := g.viewClient.Placements[name]
	if !placed {
		return "", "", false
	}
	member, known := g.viewClient.Members[placement.Leader]
	return member.Address, placement.Leader, known
}

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
		before = from.trail(now)
	}
	g.nextRequest++
	send := g.nextRequest
	if item.unanswered == nil {
		item.unanswered = map[uint64]bool{}
	}
	item.unanswered[send] = true
	g.sends[send] = item
	g.ring.Record(now, item.request.RequestName, decisionlog.MessageName(item.request.Space, item.request.Sender, item.request.Seq),
		item.request.Client, "append", "partition", item.partition, "store", store, "epoch", g.viewClient.Placements[item.partition].Epoch)
	effects.Send(address, partition.Append{
		Partition: item.partition, RequestID: send, Topic: item.request.Topic, Sender: item.request.Sender, Seq: item.request.Seq,
		Data: item.request.Data, Dependencies: before, DuplicateOnly: item.request.Seq <= from.lastSeq,
	})
}

func (g *Gateway) handleAppendResponse(now time.Time, response partition.AppendResponse, effects *statemachine.Effects) {
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
	message := decisionlog.MessageName(item.request.Space, item.request.Sender, item.request.Seq)
	g.ring.Record(now, item.request.RequestName, message, item.request.Client, "kept", "outcome", response.Outcome,
		"code", response.Code, "partition", response.Partition, "epoch", response.Epoch, "offset", response.Record.Offset, "again", response.Duplicate)
	switch response.Outcome {
	case partition.OutcomeAccepted:
		if from, known := g.senders[item.key]; known {
			from.lastSeq = max(from.lastSeq, item.request.Seq)
			from.dependencies = append(from.dependencies, dependency{
				mark: partition.MessagePosition{Partition: partition.NumberOf(response.Partition), Offset: response.Record.Offset, Topic: item.request.Topic},
				seq:  item.request.Seq, at: now,
			})
		}
		if state, present := g.spaces[item.request.Space]; present && !response.Duplicate {
			g.fanOutRecord(now, state, response.Partition, response.Record, item, effects)
		}
		g.finish(now, item, acceptedReply(map[string]any{"again": response.Duplicate}), effects)
	case partition.OutcomeRejected:
		switch response.Code {
		case "not-first":
			// The store or this gateway lacks news; the limit decides.
			g.viewClient.PollNow(now)
			item.sentAt = now
			g.timers.ArmSooner(timerDeadlines, now.Add(appendRetry))
		case "old-seq", "seq-reused":
			g.finish(now, item, rejectedReply(409, response.Code, "this seq is not above the sender's newest", 0), effects)
		default:
			if len(item.unanswered) > 0 {
				// An earlier try has no answer; it may yet be kept.
				g.finish(now, item, unsettledReply(response.Code, "send the same seq again", response.RetryAfter), effects)
				return
			}
			g.finish(now, item, rejectedReply(503, response.Code, "the partition can't keep two copies at this moment", response.RetryAfter), effects)
		}
	default:
		g.finish(now, item, unsettledReply(response.Code, "send the same seq again", retryLongDelay), effects)
	}
}

func (g *Gateway) lookUpSender(now time.Time, state *spaceState, item *publication, effects *statemachine.Effects) {
	byStore := map[string][]string{}
	for number := range state.space.Partitions() {
		name := partitionName(state.name, number)
		address, _, found := g.leaderOf(name)
		if !found {
			g.viewClient.PollNow(now)
			g.finish(now, item, rejectedReply(503, "not-placed", "the space's partitions are not placed yet", retryLongDelay), effects)
			return
		}
		byStore[address] = append(byStore[address], name)
	}
	g.nextRequest++
	fetch := &senderLookup{key: item.key, waiting: len(byStore), answered: map[string]bool{}, ready: true, deadline: item.deadline}
	g.senderLookups[g.nextRequest] = fetch
	for address, names := range statemachine.Sorted(byStore) {
		fetch.answered[address] = false
		effects.Send(address, partition.SenderStateRequest{RequestID: g.nextRequest, Partitions: names, Sender: item.request.Sender})
	}
}

// handleSenderResponse counts one answer of each store that was asked.
func (g *Gateway) handleSenderResponse(now time.Time, store string, response partition.SenderStateResponse, effects *statemachine.Effects) {
	fetch, found := g.senderLookups[response.RequestID]
	if !found {
		return
	}
	if answered, requested := fetch.answered[store]; (!requested || answered) && !statemachine.Mutated("any-answer") {
		return
	}
	fetch.answered[store] = true
	fetch.waiting--
	fetch.ready = fetch.ready && response.Ready
	fetch.lastSeq = max(fetch.lastSeq, response.LastSeq)
	fetch.recent = append(fetch.recent, response.RecentMessages...)
	if fetch.waiting > 0 {
		return
	}
	delete(g.senderLookups, response.RequestID)
	from, known := g.senders[fetch.key]
	if !known || len(from.queue) == 0 {
		return
	}
	if !fetch.ready {
		g.viewClient.PollNow(now)
		g.finish(now, from.queue[0], rejectedReply(503, "partition-moving", "a partition of the space is being taken over", retryLongDelay), effects)
		return
	}
	from.lookedUp, from.lastSeq, from.dependencies = true, fetch.lastSeq, nil
	slices.SortFunc(fetch.recent, func(left, right partition.RecentMessage) int { return cmp.Compare(left.Seq, right.Seq) })
	for _, each := range fetch.recent {
		from.dependencies = append(from.dependencies, dependency{mark: each.Position, seq: each.Seq, at: now.Add(-each.Age / 2)})
	}
	g.begin(now, from, effects)
}

// fanOutRecord sends one copy to each destination daemon, and hands the message
// to this daemon's own subscribers.
func (g *Gateway) fanOutRecord(now time.Time, state *spaceState, name string, record partition.Record, item *publication, effects *statemachine.Effects) {
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

func (g *Gateway) spread(now time.Time, item *publication, destinations []string, stable bool, message any, effects *statemachine.Effects) {
	for _, name := range destinations {
		if member, found := g.viewClient.Members[name]; found {
			g.Counts.CopiesOut++
			effects.Send(member.Address, message)
		}
	}
	g.ring.Record(now, item.request.RequestName, decisionlog.MessageName(item.request.Space, item.request.Sender, item.request.Seq),
		item.request.Client, "fanned-out", "destinations", destinations, "why", "subscriber list of the peer at the topic's area", "settled", stable)
}

// Passing messages.

func (g *Gateway) publishEphemeral(now time.Time, state *spaceState, from *sender, item *publication, effects *statemachine.Effects) {
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
	// A sender that came here a moment ago may send again what another gateway
	// passed on. It is passed on once more, and whoever had it, or a later one,
	// lets it fall.
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
		message := EphemeralCopy{Space: state.name, Topic: request.Topic, Sender: request.Sender, Seq: request.Seq, Data: request.Data}
		state.remember(now, message, true)
		g.deliverEphemeral(now, state, message, effects)
		g.spread(now, item, g.overlay.Destinations(state.name, area), true, message, effects)
		g.finish(now, item, acceptedReply(map[string]any{"again": false}), effects)
	}, effects)
}

// checkDeadlines resends appends that stayed without an answer and gives up on those
// whose time is up.
func (g *Gateway) checkDeadlines(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for id, fetch := range statemachine.Sorted(g.senderLookups) {
		if !fetch.deadline.After(now) {
			delete(g.senderLookups, id)
		} else {
			next = statemachine.Earliest(next, fetch.deadline)
		}
	}
	for _, item := range statemachine.Sorted(g.appends) {
		from, known := g.senders[item.key]
		if known && item.deadline.After(now) && !item.sentAt.Add(appendRetry).After(now) {
			g.sendAppend(now, from, item, effects)
		}
		if item.deadline.After(now) {
			next = statemachine.Earliest(next, item.sentAt.Add(appendRetry), item.deadline)
		}
	}
	for _, from := range g.sortedSenders() {
		for len(from.queue) > 0 && !from.queue[0].deadline.After(now) {
			item := from.queue[0]
			if statemachine.Mutated("refuse-what-is-open") {
				g.finish(now, item, rejectedReply(503, "no-answer", "", 0), effects)
			} else if len(item.unanswered) > 0 {
				g.finish(now, item, unsettledReply("no-answer", "the store did not answer; send the same seq again", retryLongDelay), effects)
			} else {
				g.finish(now, item, rejectedReply(503, "no-answer", "the message was not kept", retryLongDelay), effects)
			}
		}
		if len(from.queue) > 0 {
			next = statemachine.Earliest(next, from.queue[0].deadline)
		}
	}
	for id, fetch := range statemachine.Sorted(g.fetches) {
		next = statemachine.Earliest(next, g.retryFetch(now, id, fetch, effects))
	}
	if !next.IsZero() {
		g.timers.ArmSooner(timerDeadlines, next)
	}
}

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
