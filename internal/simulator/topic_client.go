// Simulated clients of routed topics. They behave as the users' clients do on TCP
// connections: requests and responses on the one connection keep their order; each
// connection subscribes to every topic again, with the cursor of the last message
// received; a publication with an unknown outcome is retried with the same sequence
// number until its deadline; a publication that was certainly not applied is retried a
// few times with a new sequence number.

package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Delays, timeouts and limits of a client of routed topics.
const (
	lineDelay         = time.Millisecond
	pingEvery         = 2 * time.Second
	silenceTimeout    = 5 * time.Second
	sessionTimeout    = 7 * time.Second
	dialTimeout       = time.Second
	responseTimeout   = 1200 * time.Millisecond
	topicDeadline     = 1200 * time.Millisecond
	retryDelay        = 60 * time.Millisecond
	subscribeTimeout  = 500 * time.Millisecond
	maxRenewals       = 2
	deduplicationSpan = 10 * time.Second
)

// TopicClient is a simulated client of routed topics.
type TopicClient struct {
	simulation       *Simulation
	Name             string
	Zone             int
	fixedGateway     *Node
	node             *Node
	incarnation      uint64
	channel          uint64
	line             *clientConnection
	turn             int
	connected        bool
	receivedAt       time.Time
	sentAt           time.Time
	connectStartedAt time.Time
	absentUntil      time.Time
	failures         int
	moveTo           string
	Closed           bool
	stopped          bool
	ignoreRejections bool

	topics   map[string]*topicSubscription
	seq      uint64
	pipeline int
	outbox   map[string][]*pendingPost
}

// topicSubscription is a topic to which a client wants to be subscribed.
type topicSubscription struct {
	topic         string
	cursor        string
	after         checker.Post
	entry         *checker.Subscription
	requested     bool
	confirmed     bool
	unsubscribing bool
	unrouted      bool
	requestedAt   time.Time
	// confirmedAt is when the subscription was first confirmed.
	confirmedAt time.Time
}

// pendingPost is a publication whose outcome is not known.
type pendingPost struct {
	name        checker.Post
	topic       string
	body        string
	requestedAt time.Time
	renewals    int
	attempts    int
	inFlight    bool
	inBackoff   bool
	// acceptedAt, if not nil, receives the time at which the publication was accepted, under
	// any of its sequence numbers.
	acceptedAt *time.Time
}

// AddTopicClient adds a client that subscribes to topics. It connects within 400 ms.
func (s *Simulation) AddTopicClient(name string, zone int, topics ...string) *TopicClient {
	client := &TopicClient{simulation: s, Name: name, Zone: zone, topics: map[string]*topicSubscription{}, outbox: map[string][]*pendingPost{}, pipeline: 1}
	s.topicClients = append(s.topicClients, client)
	for _, topic := range topics {
		client.topics[topic] = &topicSubscription{topic: topic}
	}
	turn := client.turn
	s.After(s.between(0, 400*time.Millisecond), func() { client.connect(turn) })
	s.After(s.between(0, pingEvery), client.watch)
	return client
}

// probeState is the load balancer's state of a gateway: whether it receives new clients, and
// how many readiness probes in a row it failed.
type probeState struct {
	healthy      bool
	failedProbes int
}

// probe checks the readiness of every gateway once a second. A gateway that fails two probes
// in a row receives no new clients until a probe succeeds.
func (s *Simulation) probe() {
	s.After(time.Second, s.probe)
	for _, node := range s.Nodes(membership.KindGateway) {
		known, found := s.probed[node.Name]
		if !found {
			known = &probeState{}
			s.probed[node.Name] = known
		}
		if node.Ready() {
			known.healthy, known.failedProbes = true, 0
			continue
		}
		if known.failedProbes++; known.failedProbes >= 2 {
			known.healthy = false
		}
	}
}

// pick chooses a gateway as the platform's load balancer does: among the gateways of the
// client's zone that pass the readiness probe, or among all gateways of the zone if fewer
// than half pass it. If none of the zone passes, it chooses among those of other zones that
// do. A fixed gateway or the target of a requested move comes before these rules.
func (tc *TopicClient) pick() *Node {
	simulation := tc.simulation
	if tc.fixedGateway != nil {
		return tc.fixedGateway
	}
	if target := simulation.byAddress[tc.moveTo]; target != nil {
		tc.moveTo = ""
		return target
	}
	var zone, in, elsewhere []*Node
	for _, node := range simulation.Nodes(membership.KindGateway) {
		known, found := simulation.probed[node.Name]
		switch {
		case node.Zone == tc.Zone:
			zone = append(zone, node)
			if found && known.healthy {
				in = append(in, node)
			}
		case found && known.healthy:
			elsewhere = append(elsewhere, node)
		}
	}
	switch {
	case len(in) == 0 && len(elsewhere) > 0:
		in = elsewhere
	case len(in)*2 < len(zone):
		in = zone
	}
	if len(in) == 0 {
		return nil
	}
	return in[simulation.Random.IntN(len(in))]
}

// send sends a command of the given size on the connection. It calls done with the response
// if the response arrives before the connection ends.
func (tc *TopicClient) send(size int, command func(request uint64) any, done func(answer gateway.Reply)) {
	simulation, node, turn, incarnation, line := tc.simulation, tc.node, tc.turn, tc.incarnation, tc.line
	tc.sentAt = simulation.Now
	lost := func() {
		simulation.After(lineDelay, func() { tc.disconnect(turn, true, simulation.between(0, 50*time.Millisecond)) })
	}
	tc.toGateway(size, func() {
		if !node.Up || node.incarnation != incarnation {
			lost()
			return
		}
		node.enter(func() {
			if node.incarnation != incarnation {
				return
			}
			node.lastRequest++
			request := node.lastRequest
			node.pendingRequests[request] = func(value any, alive bool) {
				if !alive {
					lost()
					return
				}
				answer := value.(gateway.Reply)
				line.toClient(simulation, node, clientAnswerTraffic, len(answer.Cursor), func() {
					if tc.turn == turn {
						tc.receivedAt = simulation.Now
						done(answer)
					}
				})
			}
			node.step(func(now time.Time, effects *statemachine.Effects) {
				node.Machine.HandleCommand(now, command(request), effects)
			})
		})
	})
}

func (tc *TopicClient) schedule(wait time.Duration) {
	turn := tc.turn
	tc.simulation.After(wait, func() { tc.connect(turn) })
}

func (tc *TopicClient) connect(turn int) {
	simulation := tc.simulation
	if tc.Closed || tc.turn != turn || tc.connected {
		return
	}
	tc.turn++
	turn = tc.turn
	tc.node = tc.pick()
	if tc.node == nil {
		tc.schedule(300 * time.Millisecond)
		return
	}
	node := tc.node
	tc.incarnation = node.incarnation
	tc.connectStartedAt, tc.receivedAt = simulation.Now, simulation.Now
	simulation.counter++
	channel := simulation.counter
	tc.channel = channel
	if simulation.hasBandwidthLimits() {
		tc.line = simulation.openClientConnection(node)
	}
	line := tc.line
	tc.send(len(tc.Name), func(request uint64) any {
		// The connection's writer is registered before the session opens.
		node.sinks[channel] = func(deliver statemachine.Delivery) {
			line.toClient(simulation, node, clientEventTraffic, deliveredSize(deliver), func() { tc.event(turn, deliver) })
		}
		return gateway.OpenSession{Request: request, Session: channel, Name: fmt.Sprint(channel), Client: tc.Name, AdapterPings: true}
	}, func(answer gateway.Reply) {
		if answer.Outcome != gateway.OutcomeAccepted {
			simulation.trace("%s: session rejected by %s: %s", tc.Name, node.Name, answer.Code)
			tc.reportRejection(answer.Code, "hello of "+tc.Name)
			tc.disconnect(turn, false, simulation.between(50*time.Millisecond, 250*time.Millisecond))
			return
		}
		tc.connected, tc.failures = true, 0
		for _, each := range statemachine.Sorted(tc.topics) {
			tc.subscribe(each)
		}
		for topic := range statemachine.Sorted(tc.outbox) {
			tc.sendPending(topic)
		}
	})
	simulation.After(dialTimeout, func() {
		if tc.turn == turn && !tc.connected {
			tc.disconnect(turn, false, simulation.between(0, 200*time.Millisecond))
		}
	})
}

// disconnect ends the connection, whichever side ended it, and reconnects after wait. If closes
// is set, the gateway closes the session at once. Otherwise the client has only become
// unreachable, and the gateway keeps the session until sessionTimeout has passed.
func (tc *TopicClient) disconnect(turn int, closes bool, wait time.Duration) {
	if tc.turn != turn {
		return
	}
	simulation, node, incarnation, channel := tc.simulation, tc.node, tc.incarnation, tc.channel
	tc.turn++
	tc.line.close()
	tc.line = nil
	if !tc.connected {
		tc.failures++
		wait += time.Duration(min(tc.failures, 8)) * 50 * time.Millisecond
	}
	tc.connected = false
	for _, each := range statemachine.Sorted(tc.topics) {
		each.requested, each.confirmed = false, false
		switch {
		case each.entry == nil:
		case closes:
			each.entry.Disconnected(simulation.Now)
		default:
			each.entry.Unreachable(simulation.Now, simulation.Now.Add(sessionTimeout))
		}
		if each.unsubscribing {
			delete(tc.topics, each.topic)
		}
	}
	for _, queue := range statemachine.Sorted(tc.outbox) {
		for _, item := range queue {
			if item.inFlight {
				tc.recordOutcome(item, "unsettled", "cut-off")
			}
			item.inBackoff = false
		}
	}
	if node != nil {
		removed := sessionTimeout
		if closes {
			removed = lineDelay
		}
		simulation.After(removed, func() {
			if !node.Up || node.incarnation != incarnation {
				return
			}
			node.enter(func() {
				if _, open := node.sinks[channel]; !open || node.incarnation != incarnation {
					return
				}
				delete(node.sinks, channel)
				node.step(func(now time.Time, effects *statemachine.Effects) {
					node.Machine.HandleCommand(now, gateway.CloseSession{Session: channel, Reason: "closed"}, effects)
				})
			})
		})
	}
	tc.schedule(wait)
}

// leave ends the client permanently.
func (tc *TopicClient) leave() {
	tc.Closed = true
	for _, each := range statemachine.Sorted(tc.topics) {
		if each.entry != nil {
			each.entry.End(tc.simulation.Now)
		}
	}
	tc.disconnect(tc.turn, true, 0)
}

// DisconnectFor ends the connection, either by closing it or by becoming unreachable without a
// close. The client reconnects after wait.
func (tc *TopicClient) DisconnectFor(closes bool, wait time.Duration) {
	tc.absentUntil = tc.simulation.Now.Add(wait + 2*time.Second)
	tc.disconnect(tc.turn, closes, wait)
}

// watch sends a ping when nothing was sent for pingEvery, and closes a connection on which
// nothing was received for silenceTimeout.
func (tc *TopicClient) watch() {
	simulation := tc.simulation
	if tc.Closed {
		return
	}
	simulation.After(500*time.Millisecond, tc.watch)
	if !tc.connected {
		return
	}
	if simulation.Now.Sub(tc.receivedAt) > silenceTimeout {
		simulation.trace("%s: nothing received from %s, closing the connection", tc.Name, tc.node.Name)
		tc.disconnect(tc.turn, true, 0)
		return
	}
	if simulation.Now.Sub(tc.sentAt) < pingEvery {
		return
	}
	// Pings are answered by the connection's server and not by the gateway's state machine.
	tc.sentAt = simulation.Now
	node, incarnation, turn, channel := tc.node, tc.incarnation, tc.turn, tc.channel
	line := tc.line
	tc.toGateway(0, func() {
		if !node.Up || node.incarnation != incarnation {
			return
		}
		node.enter(func() {
			if node.incarnation != incarnation {
				return
			}
			node.step(func(now time.Time, effects *statemachine.Effects) {
				node.Machine.HandleCommand(now, gateway.ClientActive{Session: channel}, effects)
			})
			line.toClient(simulation, node, clientAnswerTraffic, 0, func() {
				if tc.turn == turn {
					tc.receivedAt = simulation.Now
				}
			})
		})
	})
}

// reportRejection reports a rejected request to the checker, unless the client is exempt from that or
// has left.
func (tc *TopicClient) reportRejection(code, what string) {
	if !tc.ignoreRejections && !tc.Closed {
		tc.simulation.Checker.RequestRejected(code, what, tc.simulation.calmSince(), tc.simulation.Now)
	}
}

// Topics.

// addTopic subscribes to a topic.
func (tc *TopicClient) addTopic(topic string) {
	if present, found := tc.topics[topic]; found && !present.unsubscribing || tc.Closed {
		return
	}
	tc.topics[topic] = &topicSubscription{topic: topic}
	if tc.connected {
		tc.subscribe(tc.topics[topic])
	}
}

// dropTopic unsubscribes from a topic.
func (tc *TopicClient) dropTopic(topic string) {
	present, found := tc.topics[topic]
	if !found || present.unsubscribing {
		return
	}
	simulation := tc.simulation
	if present.entry != nil {
		present.entry.End(simulation.Now)
	}
	if !tc.connected || !present.confirmed && !present.requested {
		delete(tc.topics, topic)
		return
	}
	present.unsubscribing = true
	turn := tc.turn
	tc.send(len(topic), func(request uint64) any {
		return gateway.Unsubscribe{Request: request, Session: tc.channel, Client: tc.Name, Interests: []gateway.Interest{{Path: topic}}}
	}, func(answer gateway.Reply) {
		if answer.Outcome != gateway.OutcomeAccepted {
			tc.disconnect(turn, true, 0)
			return
		}
		if tc.topics[topic] == present {
			delete(tc.topics, topic)
		}
	})
}

func (tc *TopicClient) subscribe(each *topicSubscription) {
	simulation, turn, topic := tc.simulation, tc.turn, each.topic
	if each.requested || each.confirmed || each.unsubscribing {
		return
	}
	if each.entry == nil || each.entry.Ended() && each.cursor == "" {
		each.entry = simulation.Checker.Subscribing(tc.Name, topic, nil)
	}
	each.requested, each.requestedAt = true, simulation.Now
	entry, sent := each.entry, simulation.Now
	tc.send(len(topic)+len(each.cursor), func(request uint64) any {
		return gateway.Subscribe{Request: request, Session: tc.channel, Client: tc.Name, Interests: []gateway.Interest{{Path: topic}}, Cursor: each.cursor}
	}, func(answer gateway.Reply) {
		if tc.topics[topic] != each {
			return
		}
		each.requested = false
		again := func(wait time.Duration) {
			simulation.After(wait, func() {
				if tc.turn == turn && tc.topics[topic] == each {
					tc.subscribe(each)
				}
			})
		}
		if answer.Outcome != gateway.OutcomeAccepted {
			simulation.trace("%s at %s subscribes to %s from %q: %s %s", tc.Name, tc.node.Name, topic, each.cursor, answer.Outcome, answer.Code)
		}
		each.unrouted = false
		switch {
		case answer.Outcome == gateway.OutcomeAccepted:
			simulation.Checker.Handled("a subscription", topic, true, sent, simulation.Now)
			each.confirmed = true
			if each.confirmedAt.IsZero() {
				each.confirmedAt = simulation.Now
			}
			if each.unsubscribing {
				return
			}
			entry.Confirmed(tc.connectStartedAt, simulation.Now)
			if each.cursor == "" {
				each.cursor = answer.Cursor
			}
			simulation.saveCursor(each)
		case answer.Code == gateway.CodeCursorExpired:
			entry.Expired(simulation.Now)
			each.cursor, each.after, each.entry = "", checker.Post{}, nil
			again(simulation.between(0, 100*time.Millisecond))
		case answer.Code == gateway.CodeNoSuchSpace:
			each.unrouted = true
			simulation.Checker.Handled("a subscription", topic, false, sent, simulation.Now)
			again(simulation.between(300*time.Millisecond, 900*time.Millisecond))
		case each.unsubscribing:
			// The client unsubscribed before the response arrived.
		case answer.Code == gateway.CodeMoved || answer.Code == gateway.CodeNoSuchSession:
			tc.reportUnlessMoved(answer.Code, "subscription of "+tc.Name)
			tc.disconnect(turn, true, simulation.between(0, 50*time.Millisecond))
		default:
			if answer.RetryAfter == 0 {
				simulation.Checker.Violate(checker.CursorRejected, "%s on %s: %s %s", tc.Name, topic, answer.Code, answer.Text)
			}
			tc.reportRejection(answer.Code, "subscription of "+tc.Name+" to "+topic)
			again(simulation.between(100*time.Millisecond, 900*time.Millisecond))
		}
	})
	simulation.After(responseTimeout+300*time.Millisecond, func() {
		if tc.turn == turn && each.requested && tc.topics[topic] == each && each.requestedAt.Equal(sent) {
			tc.reportRejection("silent", "subscription of "+tc.Name)
			tc.disconnect(turn, true, 0)
		}
	})
}

func (tc *TopicClient) reportUnlessMoved(code, what string) {
	if code != gateway.CodeMoved {
		tc.reportRejection(code, what)
	}
}

// allConfirmed reports whether the client is connected and all its subscriptions are confirmed.
func (tc *TopicClient) allConfirmed() bool {
	if !tc.connected {
		return false
	}
	for _, each := range tc.topics {
		// A recent request may still be in flight.
		inFlight := each.requested && tc.simulation.Now.Sub(each.requestedAt) < subscribeTimeout
		if !each.confirmed && !each.unsubscribing && !each.unrouted && !inFlight {
			return false
		}
	}
	return true
}

func (tc *TopicClient) event(turn int, deliver statemachine.Delivery) {
	if tc.turn != turn {
		return
	}
	simulation := tc.simulation
	tc.receivedAt = simulation.Now
	if event, matches := deliver.Event.(gateway.Event); matches {
		switch event.Event {
		case "message":
			tc.message(event)
		case "move":
			tc.moveTo = event.To
			tc.disconnect(turn, true, simulation.between(0, 50*time.Millisecond))
			return
		}
	}
	if deliver.Close {
		tc.disconnect(turn, true, simulation.between(0, 100*time.Millisecond))
	}
}

// deliveredSize is the number of bytes that an event takes on the connection, without its
// header.
func deliveredSize(deliver statemachine.Delivery) int {
	event, matches := deliver.Event.(gateway.Event)
	if !matches {
		return 0
	}
	return len(event.Topic) + len(event.Sender) + len(event.Cursor) + len(event.Body)
}

func (tc *TopicClient) message(event gateway.Event) {
	simulation := tc.simulation
	name := checker.Post{Sender: event.Sender, Seq: event.Seq}
	each, found := tc.topics[event.Topic]
	simulation.trace("%s at %s gets %s/%d on %s, %s", tc.Name, tc.node.Name, event.Sender, event.Seq, event.Topic, event.Cursor)
	if !found || !each.requested && !each.confirmed || each.entry == nil {
		simulation.Checker.UnsolicitedPost(tc.Name, name, event.Topic)
		return
	}
	if each.unsubscribing {
		return
	}
	each.entry.Received(name, event.Topic, string(event.Body), simulation.calmSince(), simulation.Now)
	each.cursor, each.after = event.Cursor, name
	simulation.saveCursor(each)
}

// requestCount requests the number of subscribers of a topic.
func (tc *TopicClient) requestCount(topic string) {
	if !tc.connected {
		return
	}
	simulation, sent := tc.simulation, tc.simulation.Now
	tc.send(len(topic), func(request uint64) any {
		return gateway.CountSubscribers{Request: request, Session: tc.channel, Client: tc.Name, Topic: topic}
	}, func(answer gateway.Reply) {
		switch {
		case answer.Outcome == gateway.OutcomeAccepted:
			simulation.Checker.Handled("a count", topic, true, sent, simulation.Now)
			simulation.Checker.Counted(topic, answer.SubscriberCount, simulation.calmSince(), simulation.Now)
		case answer.Code == gateway.CodeNoSuchSpace:
			simulation.Checker.Handled("a count", topic, false, sent, simulation.Now)
		default:
			tc.reportRejection(answer.Code, "count by "+tc.Name)
		}
	})
}

// Publishing.

// publish sends a new publication on a topic, unless the pipeline is full.
func (tc *TopicClient) publish(topic string) {
	queue := tc.outbox[topic]
	if tc.Closed || tc.stopped || len(queue) >= tc.pipeline || !tc.connected {
		return
	}
	item := &pendingPost{topic: topic, requestedAt: tc.simulation.Now}
	tc.outbox[topic] = append(queue, item)
	tc.sendPending(topic)
}

func (tc *TopicClient) sendPending(topic string) {
	for _, item := range slices.Clone(tc.outbox[topic]) {
		if tc.connected && !item.inFlight && !item.inBackoff {
			tc.attempt(item)
		}
	}
}

// finish removes a publication from its queue.
func (tc *TopicClient) finish(item *pendingPost) {
	tc.outbox[item.topic] = slices.DeleteFunc(tc.outbox[item.topic], func(other *pendingPost) bool { return other == item })
	if len(tc.outbox[item.topic]) == 0 {
		delete(tc.outbox, item.topic)
	}
}

func (tc *TopicClient) recordOutcome(item *pendingPost, outcome, code string) {
	simulation := tc.simulation
	item.inFlight = false
	simulation.Checker.PostAnswered(item.name, outcome, simulation.Now)
	if outcome != string(gateway.OutcomeAccepted) && code != "cut-off" && code != gateway.CodeMoved && code != gateway.CodeNoSuchSpace {
		tc.reportRejection(code, fmt.Sprintf("%s/%d on %s", item.name.Sender, item.name.Seq, item.topic))
	}
}

func (tc *TopicClient) attempt(item *pendingPost) {
	simulation, turn := tc.simulation, tc.turn
	late := func() bool { return simulation.Now.Sub(item.requestedAt) > topicDeadline }
	if late() {
		tc.finish(item)
		return
	}
	if item.name.Seq == 0 {
		tc.seq++
		item.name = checker.Post{Sender: tc.Name, Seq: tc.seq}
		item.body = fmt.Sprintf("%s's message %d on %s", tc.Name, tc.seq, item.topic)
		if missing := simulation.world.minBodySize - len(item.body); missing > 0 {
			item.body += strings.Repeat(".", missing)
		}
	}
	item.inFlight = true
	item.attempts++
	name, attempts, sent := item.name, item.attempts, simulation.Now
	simulation.Checker.PostAttempted(name, item.topic, item.body, item.requestedAt, sent)
	node := tc.node
	again := func(wait time.Duration) {
		item.inBackoff = true
		simulation.After(wait, func() {
			if item.inBackoff {
				item.inBackoff = false
				if tc.connected && !item.inFlight {
					tc.attempt(item)
				}
			}
		})
	}
	tc.post(item, func(answer gateway.Reply) {
		simulation.trace("%s/%d try %d at %s on %s: %s %s", name.Sender, name.Seq, attempts, node.Name, item.topic, answer.Outcome, answer.Code)
		tc.recordOutcome(item, string(answer.Outcome), answer.Code)
		switch {
		case answer.Outcome == gateway.OutcomeAccepted:
			simulation.Checker.Handled("a publication", item.topic, true, sent, simulation.Now)
			if item.acceptedAt != nil {
				*item.acceptedAt = simulation.Now
			}
			tc.finish(item)
			if simulation.Random.IntN(8) == 0 {
				tc.resend(item)
			}
		case answer.Outcome == gateway.OutcomeUnsettled:
			again(simulation.between(retryDelay/2, 2*retryDelay))
		case answer.Code == gateway.CodeNoSuchSpace:
			simulation.Checker.Handled("a publication", item.topic, false, sent, simulation.Now)
			tc.finish(item)
		case answer.RetryAfter > 0 || answer.Code == gateway.CodeSequenceStale:
			simulation.Checker.PostDenied(name, simulation.Now)
			if item.renewals++; item.renewals > maxRenewals || late() {
				tc.finish(item)
				break
			}
			// A publication that was certainly not applied is retried under a new sequence number.
			tc.finish(item)
			renewed := &pendingPost{topic: item.topic, requestedAt: item.requestedAt, renewals: item.renewals, inBackoff: true, acceptedAt: item.acceptedAt}
			tc.outbox[item.topic] = append(tc.outbox[item.topic], renewed)
			item = renewed
			again(max(answer.RetryAfter, simulation.between(retryDelay/2, 2*retryDelay)))
		default:
			simulation.Checker.Violate(checker.RejectedInCalm, "%s/%d on %s: %s %s", name.Sender, name.Seq, item.topic, answer.Code, answer.Text)
			tc.finish(item)
		}
		tc.sendPending(item.topic)
	})
	simulation.After(responseTimeout, func() {
		if tc.turn == turn && item.inFlight && item.name == name && item.attempts == attempts {
			tc.reportRejection("silent", fmt.Sprintf("%s/%d on %s", name.Sender, name.Seq, item.topic))
			tc.disconnect(turn, true, 0)
		}
	})
}

func (tc *TopicClient) post(item *pendingPost, done func(answer gateway.Reply)) {
	name, topic, body := item.name, item.topic, item.body
	tc.send(len(topic)+len(body), func(request uint64) any {
		return gateway.Publish{
			Request: request, RequestName: fmt.Sprintf("%s/%d", name.Sender, name.Seq), Client: tc.Name, Sender: tc.Name,
			Topic: topic, Seq: name.Seq, Data: []byte(body),
		}
	}, done)
}

// resend sends an accepted publication again within the span in which the gateway must
// acknowledge it.
func (tc *TopicClient) resend(item *pendingPost) {
	simulation, accepted := tc.simulation, tc.simulation.Now
	simulation.After(simulation.between(0, deduplicationSpan*8/10), func() {
		if !tc.connected || tc.Closed {
			return
		}
		tc.post(item, func(answer gateway.Reply) {
			if answer.Outcome == gateway.OutcomeRejected && answer.RetryAfter == 0 && answer.Code != gateway.CodeNoSuchSpace && simulation.Now.Sub(accepted) < deduplicationSpan {
				simulation.Checker.ResendRejected(item.name, answer.Code)
			}
		})
	})
}
