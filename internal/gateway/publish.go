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
	senderIdle   = 90 * time.Second
	seqMemory    = 30 * time.Second
	queueMost    = 64
	blockFor     = 3 * time.Second
	appendRetry  = 150 * time.Millisecond
	joinPatience = 800 * time.Millisecond
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
	queue     []*publication
	lastSeq   uint64
	recalled  bool
	trail     []trailed
	arrived   time.Time
	recent    map[uint64]sentMemory
	blocked   uint64
	blockedAt time.Time
	lastUse   time.Time
}

// trailed is a message of a sender that was accepted a moment ago.
type trailed struct {
	mark partition.MessagePosition
	seq  uint64
	at   time.Time
}

// before tells the trail that goes with a sender's next message.
func (s *sender) before(now time.Time) partition.Dependencies {
	s.trail = slices.DeleteFunc(s.trail, func(each trailed) bool { return now.Sub(each.at) > partition.DependencyWindow })
	var trail partition.Dependencies
	older := max(0, len(s.trail)-partition.MaxDependencies)
	floors := map[uint8]uint64{}
	for _, each := range s.trail[:older] {
		floors[each.mark.Partition] = max(floors[each.mark.Partition], each.mark.Offset)
	}
	for number, offset := range statemachine.Sorted(floors) {
		trail.Floor = append(trail.Floor, partition.PartitionOffset{Partition: number, Offset: offset})
	}
	for _, each := range s.trail[older:] {
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
	limit     time.Time
	// open are the numbers of the sends without an answer; see routedPublication.
	open     map[uint64]bool
	recalled bool
	answered bool
}

// recall asks the stores where a sender's newest messages are; waiting is how many
// have not answered, and answered tells of each address that was asked whether it has.
type recall struct {
	key      senderKey
	waiting  int
	answered map[string]bool
	ready    bool
	lastSeq  uint64
	recent   []partition.RecentMessage
	limit    time.Time
}

func (g *Gateway) messageOf(request *PolicyRequest) string {
	if request.Kind != "publish" {
		return ""
	}
	return decisionlog.MessageName(request.Space, request.Sender, request.Seq)
}

func (g *Gateway) publish(now time.Time, request Publish, effects *statemachine.Effects) {
	g.Counts.Requests++
	if g.routedTopic(request.Space) {
		g.publishRouted(now, request, false, effects)
		return
	}
	g.tryPublish(now, request, false, effects)
}

func (g *Gateway) tryPublish(now time.Time, request Publish, looked bool, effects *statemachine.Effects) {
	judged := &PolicyRequest{
		Kind: "publish", Client: request.Client, Sender: request.Sender, Space: request.Space, Topic: request.Topic,
		Seq: request.Seq, Data: request.Data, Refreshed: looked,
	}
	item := &publication{request: request, key: senderKey{space: request.Space, sender: request.Sender}}
	answer := func(response Reply) { g.settlePublication(now, item, response, effects) }
	retry := func(now time.Time, effects *statemachine.Effects) { g.tryPublish(now, request, true, effects) }
	if !g.authorize(now, judged, request.RequestName, retry, answer) {
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
			answer(rejectedReply(503, "earlier-refused", "an earlier seq of this sender has no accepted answer; send that one first", retryLater))
			return
		}
		from.blocked = 0
	}
	if len(from.queue) >= queueMost {
		answer(rejectedReply(429, "queue-full", "too many publications of this sender wait", retryLater))
		return
	}
	g.ring.Record(now, request.RequestName, g.messageOf(judged), request.Client, "judged", "topic", request.Topic,
		"version", g.viewClient.Version, "queued", len(from.queue))
	item.limit = now.Add(min(requestTimeout, g.spaces[request.Space].space.ResponseTimeout*7/10))
	from.queue = append(from.queue, item)
	g.timers.ArmSooner("limits", item.limit)
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

// settlePublication gives a publication its final answer.
func (g *Gateway) settlePublication(now time.Time, item *publication, answer Reply, effects *statemachine.Effects) {
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
			g.settlePublication(now, item, rejectedReply(404, "no-such-space", "the space was removed", 0), effects)
			continue
		}
		if state.space.Retention == config.Durable {
			g.keep(now, state, from, item, effects)
			return
		}
		g.passOn(now, state, from, item, effects)
		return
	}
}

// finish ends the head of a queue. Where it was not accepted, those behind it
// are refused, and later seqs are held off until this one is sent again.
func (g *Gateway) finish(now time.Time, item *publication, answer Reply, effects *statemachine.Effects) {
	delete(g.appends, item.id)
	for send := range item.open {
		delete(g.sends, send)
	}
	g.settlePublication(now, item, answer, effects)
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
			g.settlePublication(now, behind, rejectedReply(503, "earlier-refused", "an earlier seq of this sender was not accepted", retryLater), effects)
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

func (g *Gateway) keep(now time.Time, state *spaceState, from *sender, item *publication, effects *statemachine.Effects) {
	// A seq that does not follow the newest one known here may come from a
	// sender that was elsewhere meanwhile; its trail is learned anew.
	follows := from.recalled && item.request.Seq <= from.lastSeq+1
	if !follows && !item.recalled && state.space.Partitions() > 1 {
		item.recalled = true
		g.recallSender(now, state, item, effects)
		return
	}
	item.partition = g.partitionOf(state, item.request.Topic)
	g.nextRequest++
	item.id = g.nextRequest
	g.appends[item.id] = item
	g.overlay.Publish(now, state.name, areaOf(state.space, item.request.Topic), nil, effects)
	g.sendAppend(now, from, item, effects)
}

func (g *Gateway) firstOf(name string) (address, store string, found bool) {
	place, placed := g.viewClient.Placements[name]
	if !placed {
		return "", "", false
	}
	member, known := g.viewClient.Members[place.Leader]
	return member.Address, place.Leader, known
}

func (g *Gateway) sendAppend(now time.Time, from *sender, item *publication, effects *statemachine.Effects) {
	item.sentAt = now
	g.timers.ArmSooner("limits", now.Add(appendRetry))
	address, store, found := g.firstOf(item.partition)
	if !found {
		g.viewClient.PollNow(now)
		return
	}
	var before partition.Dependencies
	if state, known := g.spaces[item.request.Space]; known && state.space.Partitions() > 1 {
		before = from.before(now)
	}
	g.nextRequest++
	send := g.nextRequest
	if item.open == nil {
		item.open = map[uint64]bool{}
	}
	item.open[send] = true
	g.sends[send] = item
	g.ring.Record(now, item.request.RequestName, decisionlog.MessageName(item.request.Space, item.request.Sender, item.request.Seq),
		item.request.Client, "append", "partition", item.partition, "store", store, "epoch", g.viewClient.Placements[item.partition].Epoch)
	effects.Send(address, partition.Append{
		Partition: item.partition, RequestID: send, Topic: item.request.Topic, Sender: item.request.Sender, Seq: item.request.Seq,
		Data: item.request.Data, Dependencies: before, DuplicateOnly: item.request.Seq <= from.lastSeq,
	})
}

func (g *Gateway) onAppendResponse(now time.Time, response partition.AppendResponse, effects *statemachine.Effects) {
	if item, routed := g.routed.sends[response.RequestID]; routed && item.partition == response.Partition {
		g.handleRoutedResponse(now, item, response, effects)
		return
	}
	item, found := g.sends[response.RequestID]
	if !found || item.partition != response.Partition {
		return
	}
	delete(item.open, response.RequestID)
	delete(g.sends, response.RequestID)
	message := decisionlog.MessageName(item.request.Space, item.request.Sender, item.request.Seq)
	g.ring.Record(now, item.request.RequestName, message, item.request.Client, "kept", "outcome", response.Outcome,
		"code", response.Code, "partition", response.Partition, "epoch", response.Epoch, "offset", response.Record.Offset, "again", response.Duplicate)
	switch response.Outcome {
	case partition.OutcomeAccepted:
		if from, known := g.senders[item.key]; known {
			from.lastSeq = max(from.lastSeq, item.request.Seq)
			from.trail = append(from.trail, trailed{
				mark: partition.MessagePosition{Partition: partition.NumberOf(response.Partition), Offset: response.Record.Offset, Topic: item.request.Topic},
				seq:  item.request.Seq, at: now,
			})
		}
		if state, present := g.spaces[item.request.Space]; present && !response.Duplicate {
			g.fanOutKept(now, state, response.Partition, response.Record, item, effects)
		}
		g.finish(now, item, acceptedReply(map[string]any{"again": response.Duplicate}), effects)
	case partition.OutcomeRejected:
		switch response.Code {
		case "not-first":
			// The store or this gateway lacks news; the limit decides.
			g.viewClient.PollNow(now)
			item.sentAt = now
			g.timers.ArmSooner("limits", now.Add(appendRetry))
		case "old-seq", "seq-reused":
			g.finish(now, item, rejectedReply(409, response.Code, "this seq is not above the sender's newest", 0), effects)
		default:
			if len(item.open) > 0 {
				// An earlier try has no answer; it may yet be kept.
				g.finish(now, item, unsettledReply(response.Code, "send the same seq again", response.RetryAfter), effects)
				return
			}
			g.finish(now, item, rejectedReply(503, response.Code, "the partition can't keep two copies at this moment", response.RetryAfter), effects)
		}
	default:
		g.finish(now, item, unsettledReply(response.Code, "send the same seq again", retryLater), effects)
	}
}

func (g *Gateway) recallSender(now time.Time, state *spaceState, item *publication, effects *statemachine.Effects) {
	byStore := map[string][]string{}
	for number := range state.space.Partitions() {
		name := partitionName(state.name, number)
		address, _, found := g.firstOf(name)
		if !found {
			g.viewClient.PollNow(now)
			g.finish(now, item, rejectedReply(503, "not-placed", "the space's partitions are not placed yet", retryLater), effects)
			return
		}
		byStore[address] = append(byStore[address], name)
	}
	g.nextRequest++
	asked := &recall{key: item.key, waiting: len(byStore), answered: map[string]bool{}, ready: true, limit: item.limit}
	g.recalls[g.nextRequest] = asked
	for address, names := range statemachine.Sorted(byStore) {
		asked.answered[address] = false
		effects.Send(address, partition.SenderStateRequest{RequestID: g.nextRequest, Partitions: names, Sender: item.request.Sender})
	}
}

// onSenderResponse counts one answer of each store that was asked.
func (g *Gateway) onSenderResponse(now time.Time, store string, response partition.SenderStateResponse, effects *statemachine.Effects) {
	asked, found := g.recalls[response.RequestID]
	if !found {
		return
	}
	if answered, wasAsked := asked.answered[store]; (!wasAsked || answered) && !statemachine.Mutated("any-answer") {
		return
	}
	asked.answered[store] = true
	asked.waiting--
	asked.ready = asked.ready && response.Ready
	asked.lastSeq = max(asked.lastSeq, response.LastSeq)
	asked.recent = append(asked.recent, response.RecentMessages...)
	if asked.waiting > 0 {
		return
	}
	delete(g.recalls, response.RequestID)
	from, known := g.senders[asked.key]
	if !known || len(from.queue) == 0 {
		return
	}
	if !asked.ready {
		g.viewClient.PollNow(now)
		g.finish(now, from.queue[0], rejectedReply(503, "partition-moving", "a partition of the space is being taken over", retryLater), effects)
		return
	}
	from.recalled, from.lastSeq, from.trail = true, asked.lastSeq, nil
	slices.SortFunc(asked.recent, func(left, right partition.RecentMessage) int { return cmp.Compare(left.Seq, right.Seq) })
	for _, each := range asked.recent {
		from.trail = append(from.trail, trailed{mark: each.Position, seq: each.Seq, at: now.Add(-each.Age / 2)})
	}
	g.begin(now, from, effects)
}

// fanOutKept sends one copy to each destination daemon, and hands the message
// to this daemon's own subscribers.
func (g *Gateway) fanOutKept(now time.Time, state *spaceState, name string, record partition.Record, item *publication, effects *statemachine.Effects) {
	area := areaOf(state.space, record.Topic)
	recordCopy := RecordCopy{Partition: name, Record: record}
	spread := func(now time.Time, effects *statemachine.Effects, settled bool) {
		destinations := g.overlay.Destinations(state.name, area)
		g.spread(now, item, destinations, settled, recordCopy, effects)
	}
	if _, topic := g.trackers[name]; topic {
		g.onCarry(now, recordCopy, effects)
	}
	if g.overlay.Joined(state.name, area) {
		spread(now, effects, true)
		return
	}
	g.overlay.Publish(now, state.name, area, spread, effects)
}

func (g *Gateway) spread(now time.Time, item *publication, destinations []string, settled bool, message any, effects *statemachine.Effects) {
	for _, name := range destinations {
		if member, found := g.viewClient.Members[name]; found {
			g.Counts.CopiesOut++
			effects.Send(member.Address, message)
		}
	}
	g.ring.Record(now, item.request.RequestName, decisionlog.MessageName(item.request.Space, item.request.Sender, item.request.Seq),
		item.request.Client, "fanned-out", "destinations", destinations, "why", "subscriber list of the peer at the topic's area", "settled", settled)
}

// Passing messages.

func (g *Gateway) passOn(now time.Time, state *spaceState, from *sender, item *publication, effects *statemachine.Effects) {
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
	g.overlay.Publish(now, state.name, area, func(now time.Time, effects *statemachine.Effects, settled bool) {
		if item.answered {
			return
		}
		if !settled {
			g.finish(now, item, rejectedReply(503, "no-neighbours", "the overlay is being mended", retrySoon), effects)
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

// limits resends appends that stayed without an answer and gives up on those
// whose time is up.
func (g *Gateway) limits(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for id, asked := range statemachine.Sorted(g.recalls) {
		if !asked.limit.After(now) {
			delete(g.recalls, id)
		} else {
			next = statemachine.Earliest(next, asked.limit)
		}
	}
	for _, item := range statemachine.Sorted(g.appends) {
		from, known := g.senders[item.key]
		if known && item.limit.After(now) && !item.sentAt.Add(appendRetry).After(now) {
			g.sendAppend(now, from, item, effects)
		}
		if item.limit.After(now) {
			next = statemachine.Earliest(next, item.sentAt.Add(appendRetry), item.limit)
		}
	}
	for _, from := range g.sortedSenders() {
		for len(from.queue) > 0 && !from.queue[0].limit.After(now) {
			item := from.queue[0]
			if statemachine.Mutated("refuse-what-is-open") {
				g.finish(now, item, rejectedReply(503, "no-answer", "", 0), effects)
			} else if len(item.open) > 0 {
				g.finish(now, item, unsettledReply("no-answer", "the store did not answer; send the same seq again", retryLater), effects)
			} else {
				g.finish(now, item, rejectedReply(503, "no-answer", "the message was not kept", retryLater), effects)
			}
		}
		if len(from.queue) > 0 {
			next = statemachine.Earliest(next, from.queue[0].limit)
		}
	}
	for id, fetch := range statemachine.Sorted(g.fetches) {
		next = statemachine.Earliest(next, g.retryFetch(now, id, fetch, effects))
	}
	if !next.IsZero() {
		g.timers.ArmSooner("limits", next)
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
