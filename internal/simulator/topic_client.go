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
	lineDelay       = time.Millisecond
	pingEvery       = 2 * time.Second
	silentFor       = 5 * time.Second
	droppedAfter    = 7 * time.Second
	dialTimeout     = time.Second
	responseTimeout = 1200 * time.Millisecond
	topicDeadline   = 1200 * time.Millisecond
	resendAgain     = 60 * time.Millisecond
	joinWithin      = 500 * time.Millisecond
	maxRenewals     = 2
	accountableSpan = 10 * time.Second
)

// TopicClient is a simulated client of routed topics.
type TopicClient struct {
	simulation  *Simulation
	Name        string
	Zone        int
	fixed       *Node
	node        *Node
	incarnation uint64
	channel     uint64
	line        *clientConnection
	turn        int
	connected   bool
	heardAt     time.Time
	saidAt      time.Time
	beganAt     time.Time
	absentUntil time.Time
	failures    int
	moveTo      string
	Closed      bool
	stopped     bool
	unjudged    bool

	topics   map[string]*heldSubscription
	seq      uint64
	pipeline int
	outbox   map[string][]*posting
}

// heldSubscription is a topic to which a client wants to be subscribed.
type heldSubscription struct {
	topic       string
	cursor      string
	after       checker.Post
	entry       *checker.Subscription
	requested   bool
	held        bool
	leaving     bool
	nowhere     bool
	requestedAt time.Time
	// heldAt is when the subscription was first confirmed.
	heldAt time.Time
}

// posting is a publication whose outcome is not known.
type posting struct {
	name     checker.Post
	topic    string
	body     string
	wanted   time.Time
	renewals int
	tries    int
	inFlight bool
	waits    bool
	// acceptedAt, if not nil, receives the time at which the publication was accepted, under
	// any of its sequence numbers.
	acceptedAt *time.Time
}

// AddTopicClient adds a client that subscribes to topics. It connects within 400 ms.
func (s *Simulation) AddTopicClient(name string, zone int, topics ...string) *TopicClient {
	client := &TopicClient{simulation: s, Name: name, Zone: zone, topics: map[string]*heldSubscription{}, outbox: map[string][]*posting{}, pipeline: 1}
	s.topicClients = append(s.topicClients, client)
	for _, topic := range topics {
		client.topics[topic] = &heldSubscription{topic: topic}
	}
	turn := client.turn
	s.After(s.between(0, 400*time.Millisecond), func() { client.connect(turn) })
	s.After(s.between(0, pingEvery), client.watch)
	return client
}

// platform is the load balancer's state of a gateway: whether it receives new clients, and
// how many readiness probes in a row it failed.
type platform struct {
	in     bool
	missed int
}

// probe checks the readiness of every gateway once a second. A gateway that fails two probes
// in a row receives no new clients until a probe succeeds.
func (s *Simulation) probe() {
	s.After(time.Second, s.probe)
	for _, node := range s.Nodes(membership.KindGateway) {
		known, found := s.probed[node.Name]
		if !found {
			known = &platform{}
			s.probed[node.Name] = known
		}
		if node.Ready() {
			known.in, known.missed = true, 0
			continue
		}
		if known.missed++; known.missed >= 2 {
			known.in = false
		}
	}
}

// pick chooses a gateway as the platform's load balancer does: among the gateways of the
// client's zone that pass the readiness probe, or among all gateways of the zone if fewer
// than half pass it. If none of the zone passes, it chooses among those of other zones that
// do. A fixed gateway or the target of a requested move comes before these rules.
func (tc *TopicClient) pick() *Node {
	simulation := tc.simulation
	if tc.fixed != nil {
		return tc.fixed
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
			if found && known.in {
				in = append(in, node)
			}
		case found && known.in:
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

// say sends a command of the given size on the connection. It calls done with the response
// if the response arrives before the connection ends.
func (tc *TopicClient) say(size int, command func(request uint64) any, done func(answer gateway.Reply)) {
	simulation, node, turn, incarnation, line := tc.simulation, tc.node, tc.turn, tc.incarnation, tc.line
	tc.saidAt = simulation.Now
	lost := func() {
		simulation.After(lineDelay, func() { tc.cut(turn, true, simulation.between(0, 50*time.Millisecond)) })
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
						tc.heardAt = simulation.Now
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
	tc.beganAt, tc.heardAt = simulation.Now, simulation.Now
	simulation.counter++
	channel := simulation.counter
	tc.channel = channel
	if simulation.hasBandwidthLimits() {
		tc.line = simulation.openClientConnection(node)
	}
	line := tc.line
	tc.say(len(tc.Name), func(request uint64) any {
		// The connection's writer is registered before the session opens.
		node.sinks[channel] = func(deliver statemachine.Delivery) {
			line.toClient(simulation, node, clientEventTraffic, deliveredSize(deliver), func() { tc.event(turn, deliver) })
		}
		return gateway.OpenSession{Request: request, Session: channel, Name: fmt.Sprint(channel), Client: tc.Name, AdapterPings: true}
	}, func(answer gateway.Reply) {
		if answer.Outcome != gateway.OutcomeAccepted {
			simulation.trace("%s: session rejected by %s: %s", tc.Name, node.Name, answer.Code)
			tc.blame(answer.Code, "hello of "+tc.Name)
			tc.cut(turn, false, simulation.between(50*time.Millisecond, 250*time.Millisecond))
			return
		}
		tc.connected, tc.failures = true, 0
		for _, each := range statemachine.Sorted(tc.topics) {
			tc.subscribe(each)
		}
		for topic := range statemachine.Sorted(tc.outbox) {
			tc.pump(topic)
		}
	})
	simulation.After(dialTimeout, func() {
		if tc.turn == turn && !tc.connected {
			tc.cut(turn, false, simulation.between(0, 200*time.Millisecond))
		}
	})
}

// cut ends the connection, whichever side ended it, and reconnects after wait. With tells
// the gateway closes the session at once; without it the client has only become
// unreachable, and the gateway keeps the session until droppedAfter has passed.
func (tc *TopicClient) cut(turn int, tells bool, wait time.Duration) {
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
		each.requested, each.held = false, false
		switch {
		case each.entry == nil:
		case tells:
			each.entry.Disconnected(simulation.Now)
		default:
			each.entry.Unreachable(simulation.Now, simulation.Now.Add(droppedAfter))
		}
		if each.leaving {
			delete(tc.topics, each.topic)
		}
	}
	for _, queue := range statemachine.Sorted(tc.outbox) {
		for _, item := range queue {
			if item.inFlight {
				tc.settled(item, "unsettled", "cut-off")
			}
			item.waits = false
		}
	}
	if node != nil {
		removed := droppedAfter
		if tells {
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
	tc.cut(tc.turn, true, 0)
}

// DisconnectFor ends the connection, either by closing it or by becoming unreachable without a
// close. The client reconnects after wait.
func (tc *TopicClient) DisconnectFor(closes bool, wait time.Duration) {
	tc.absentUntil = tc.simulation.Now.Add(wait + 2*time.Second)
	tc.cut(tc.turn, closes, wait)
}

// watch sends a ping when nothing was sent for pingEvery, and closes a connection on which
// nothing was received for silentFor.
func (tc *TopicClient) watch() {
	simulation := tc.simulation
	if tc.Closed {
		return
	}
	simulation.After(500*time.Millisecond, tc.watch)
	if !tc.connected {
		return
	}
	if simulation.Now.Sub(tc.heardAt) > silentFor {
		simulation.trace("%s: nothing received from %s, closing the connection", tc.Name, tc.node.Name)
		tc.cut(tc.turn, true, 0)
		return
	}
	if simulation.Now.Sub(tc.saidAt) < pingEvery {
		return
	}
	// Pings are answered by the connection's server and not by the gateway's state machine.
	tc.saidAt = simulation.Now
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
					tc.heardAt = simulation.Now
				}
			})
		})
	})
}

// blame reports a rejected request to the checker, unless the client is exempt from that or
// has left.
func (tc *TopicClient) blame(code, what string) {
	if !tc.unjudged && !tc.Closed {
		tc.simulation.Checker.RequestRejected(code, what, tc.simulation.calmSince(), tc.simulation.Now)
	}
}

// Topics.

// take subscribes to a topic.
func (tc *TopicClient) take(topic string) {
	if present, found := tc.topics[topic]; found && !present.leaving || tc.Closed {
		return
	}
	tc.topics[topic] = &heldSubscription{topic: topic}
	if tc.connected {
		tc.subscribe(tc.topics[topic])
	}
}

// drop unsubscribes from a topic.
func (tc *TopicClient) drop(topic string) {
	present, found := tc.topics[topic]
	if !found || present.leaving {
		return
	}
	simulation := tc.simulation
	if present.entry != nil {
		present.entry.End(simulation.Now)
	}
	if !tc.connected || !present.held && !present.requested {
		delete(tc.topics, topic)
		return
	}
	present.leaving = true
	turn := tc.turn
	tc.say(len(topic), func(request uint64) any {
		return gateway.Unsubscribe{Request: request, Session: tc.channel, Client: tc.Name, Interests: []gateway.Interest{{Path: topic}}}
	}, func(answer gateway.Reply) {
		if answer.Outcome != gateway.OutcomeAccepted {
			tc.cut(turn, true, 0)
			return
		}
		if tc.topics[topic] == present {
			delete(tc.topics, topic)
		}
	})
}

func (tc *TopicClient) subscribe(each *heldSubscription) {
	simulation, turn, topic := tc.simulation, tc.turn, each.topic
	if each.requested || each.held || each.leaving {
		return
	}
	if each.entry == nil || each.entry.Ended() && each.cursor == "" {
		each.entry = simulation.Checker.Subscribing(tc.Name, topic, nil)
	}
	each.requested, each.requestedAt = true, simulation.Now
	entry, sent := each.entry, simulation.Now
	tc.say(len(topic)+len(each.cursor), func(request uint64) any {
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
		each.nowhere = false
		switch {
		case answer.Outcome == gateway.OutcomeAccepted:
			simulation.Checker.Handled("a subscription", topic, true, sent, simulation.Now)
			each.held = true
			if each.heldAt.IsZero() {
				each.heldAt = simulation.Now
			}
			if each.leaving {
				return
			}
			entry.Confirmed(tc.beganAt, simulation.Now)
			if each.cursor == "" {
				each.cursor = answer.Cursor
			}
			simulation.save(each)
		case answer.Code == "place-lost":
			entry.Expired(simulation.Now)
			each.cursor, each.after, each.entry = "", checker.Post{}, nil
			again(simulation.between(0, 100*time.Millisecond))
		case answer.Code == "no-such-space":
			each.nowhere = true
			simulation.Checker.Handled("a subscription", topic, false, sent, simulation.Now)
			again(simulation.between(300*time.Millisecond, 900*time.Millisecond))
		case each.leaving:
			// The client unsubscribed before the response arrived.
		case answer.Code == "moved" || answer.Code == "no-such-channel":
			tc.violateUnlessMoved(answer.Code, "subscription of "+tc.Name)
			tc.cut(turn, true, simulation.between(0, 50*time.Millisecond))
		default:
			if answer.RetryAfter == 0 {
				simulation.Checker.Violate(checker.CursorRejected, "%s on %s: %s %s", tc.Name, topic, answer.Code, answer.Text)
			}
			tc.blame(answer.Code, "subscription of "+tc.Name+" to "+topic)
			again(simulation.between(100*time.Millisecond, 900*time.Millisecond))
		}
	})
	simulation.After(responseTimeout+300*time.Millisecond, func() {
		if tc.turn == turn && each.requested && tc.topics[topic] == each && each.requestedAt.Equal(sent) {
			tc.blame("silent", "subscription of "+tc.Name)
			tc.cut(turn, true, 0)
		}
	})
}

func (tc *TopicClient) violateUnlessMoved(code, what string) {
	if code != "moved" {
		tc.blame(code, what)
	}
}

// holds reports whether the client is connected and all its subscriptions are confirmed.
func (tc *TopicClient) holds() bool {
	if !tc.connected {
		return false
	}
	for _, each := range tc.topics {
		// A recent request may still be in flight.
		underway := each.requested && tc.simulation.Now.Sub(each.requestedAt) < joinWithin
		if !each.held && !each.leaving && !each.nowhere && !underway {
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
	tc.heardAt = simulation.Now
	if event, matches := deliver.Event.(gateway.Event); matches {
		switch event.Event {
		case "message":
			tc.message(event)
		case "move":
			tc.moveTo = event.To
			tc.cut(turn, true, simulation.between(0, 50*time.Millisecond))
			return
		}
	}
	if deliver.Close {
		tc.cut(turn, true, simulation.between(0, 100*time.Millisecond))
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
	if !found || !each.requested && !each.held || each.entry == nil {
		simulation.Checker.UnsolicitedPost(tc.Name, name, event.Topic)
		return
	}
	if each.leaving {
		return
	}
	each.entry.Received(name, event.Topic, string(event.Body), simulation.calmSince(), simulation.Now)
	each.cursor, each.after = event.Cursor, name
	simulation.save(each)
}

// count requests the number of subscribers of a topic.
func (tc *TopicClient) count(topic string) {
	if !tc.connected {
		return
	}
	simulation, sent := tc.simulation, tc.simulation.Now
	tc.say(len(topic), func(request uint64) any {
		return gateway.CountSubscribers{Request: request, Session: tc.channel, Client: tc.Name, Topic: topic}
	}, func(answer gateway.Reply) {
		switch {
		case answer.Outcome == gateway.OutcomeAccepted:
			simulation.Checker.Handled("a count", topic, true, sent, simulation.Now)
			simulation.Checker.Counted(topic, answer.SubscriberCount, simulation.calmSince(), simulation.Now)
		case answer.Code == "no-such-space":
			simulation.Checker.Handled("a count", topic, false, sent, simulation.Now)
		default:
			tc.blame(answer.Code, "count by "+tc.Name)
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
	item := &posting{topic: topic, wanted: tc.simulation.Now}
	tc.outbox[topic] = append(queue, item)
	tc.pump(topic)
}

func (tc *TopicClient) pump(topic string) {
	for _, item := range slices.Clone(tc.outbox[topic]) {
		if tc.connected && !item.inFlight && !item.waits {
			tc.try(item)
		}
	}
}

// finish removes a publication from its queue.
func (tc *TopicClient) finish(item *posting) {
	tc.outbox[item.topic] = slices.DeleteFunc(tc.outbox[item.topic], func(other *posting) bool { return other == item })
	if len(tc.outbox[item.topic]) == 0 {
		delete(tc.outbox, item.topic)
	}
}

func (tc *TopicClient) settled(item *posting, outcome, code string) {
	simulation := tc.simulation
	item.inFlight = false
	simulation.Checker.PostAnswered(item.name, outcome, simulation.Now)
	if outcome != string(gateway.OutcomeAccepted) && code != "cut-off" && code != "moved" && code != "no-such-space" {
		tc.blame(code, fmt.Sprintf("%s/%d on %s", item.name.Sender, item.name.Seq, item.topic))
	}
}

func (tc *TopicClient) try(item *posting) {
	simulation, turn := tc.simulation, tc.turn
	late := func() bool { return simulation.Now.Sub(item.wanted) > topicDeadline }
	if late() {
		tc.finish(item)
		return
	}
	if item.name.Seq == 0 {
		tc.seq++
		item.name = checker.Post{Sender: tc.Name, Seq: tc.seq}
		item.body = fmt.Sprintf("%s's message %d on %s", tc.Name, tc.seq, item.topic)
		if missing := simulation.world.body - len(item.body); missing > 0 {
			item.body += strings.Repeat(".", missing)
		}
	}
	item.inFlight = true
	item.tries++
	name, attempts, sent := item.name, item.tries, simulation.Now
	simulation.Checker.PostAttempted(name, item.topic, item.body, item.wanted, sent)
	node := tc.node
	again := func(wait time.Duration) {
		item.waits = true
		simulation.After(wait, func() {
			if item.waits {
				item.waits = false
				if tc.connected && !item.inFlight {
					tc.try(item)
				}
			}
		})
	}
	tc.post(item, func(answer gateway.Reply) {
		simulation.trace("%s/%d try %d at %s on %s: %s %s", name.Sender, name.Seq, attempts, node.Name, item.topic, answer.Outcome, answer.Code)
		tc.settled(item, string(answer.Outcome), answer.Code)
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
			again(simulation.between(resendAgain/2, 2*resendAgain))
		case answer.Code == "no-such-space":
			simulation.Checker.Handled("a publication", item.topic, false, sent, simulation.Now)
			tc.finish(item)
		case answer.RetryAfter > 0 || answer.Code == "old-seq":
			if item.renewals++; item.renewals > maxRenewals || late() {
				tc.finish(item)
				break
			}
			// A publication that was certainly not applied is retried under a new sequence number.
			tc.finish(item)
			renewed := &posting{topic: item.topic, wanted: item.wanted, renewals: item.renewals, waits: true, acceptedAt: item.acceptedAt}
			tc.outbox[item.topic] = append(tc.outbox[item.topic], renewed)
			item = renewed
			again(max(answer.RetryAfter, simulation.between(resendAgain/2, 2*resendAgain)))
		default:
			simulation.Checker.Violate(checker.RejectedInCalm, "%s/%d on %s: %s %s", name.Sender, name.Seq, item.topic, answer.Code, answer.Text)
			tc.finish(item)
		}
		tc.pump(item.topic)
	})
	simulation.After(responseTimeout, func() {
		if tc.turn == turn && item.inFlight && item.name == name && item.tries == attempts {
			tc.blame("silent", fmt.Sprintf("%s/%d on %s", name.Sender, name.Seq, item.topic))
			tc.cut(turn, true, 0)
		}
	})
}

func (tc *TopicClient) post(item *posting, done func(answer gateway.Reply)) {
	name, topic, body := item.name, item.topic, item.body
	tc.say(len(topic)+len(body), func(request uint64) any {
		return gateway.Publish{
			Request: request, RequestName: fmt.Sprintf("%s/%d", name.Sender, name.Seq), Client: tc.Name, Sender: tc.Name,
			Topic: topic, Seq: name.Seq, Data: []byte(body),
		}
	}, done)
}

// resend sends an accepted publication again within the span in which the gateway must
// acknowledge it.
func (tc *TopicClient) resend(item *posting) {
	simulation, accepted := tc.simulation, tc.simulation.Now
	simulation.After(simulation.between(0, accountableSpan*8/10), func() {
		if !tc.connected || tc.Closed {
			return
		}
		tc.post(item, func(answer gateway.Reply) {
			if answer.Outcome == gateway.OutcomeRejected && answer.RetryAfter == 0 && answer.Code != "no-such-space" && simulation.Now.Sub(accepted) < accountableSpan {
				simulation.Checker.ResendRejected(item.name, answer.Code)
			}
		})
	})
}
