// Simulated clients of spaces. A client holds one session: it answers pings, moves to
// another gateway on request, reconnects after a disconnect to a gateway that is ready,
// and resumes its subscription with its newest cursor. Its publishing side retries each
// sequence number until it has a final response.

package simulator

import (
	"fmt"
	"slices"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// clientTimeout is how long a client waits for a response.
const clientTimeout = 2 * time.Second

// Client is a simulated client that subscribes and publishes in spaces.
type Client struct {
	simulation     *Simulation
	Name           string
	Zone           int
	node           *Node
	channel        uint64
	turn           int
	connected      bool
	subscribed     bool
	cursor         string
	disconnectedAt time.Time
	absentUntil    time.Time
	interests      []gateway.Interest
	receivedAt     time.Time
	openedAt       time.Time
	moveTo         string
	Closed         bool
	brief          string

	publishes []PublishPlan
	seqs      map[string]uint64
	outbox    []*outgoing
	pipeline  int
	stopped   bool
	Resends   bool
}

// PublishPlan says in which space, on which topics and how often a client publishes.
type PublishPlan struct {
	Space  string
	Topics []string
	Every  time.Duration
}

// AddClient adds a client that subscribes to the interests. It connects within 400 ms.
func (s *Simulation) AddClient(name string, zone int, interests ...gateway.Interest) *Client {
	client := &Client{simulation: s, Name: name, Zone: zone, interests: interests, seqs: map[string]uint64{}, pipeline: 1}
	s.clients = append(s.clients, client)
	for _, interest := range interests {
		s.Checker.SubscribeRequested(name, checker.Interest{Space: interest.Space, Path: interest.Path, Prefix: interest.Prefix}, s.Now)
	}
	s.After(time.Duration(s.Random.IntN(400))*time.Millisecond, func() { client.connect() })
	return client
}

// pick chooses a gateway as the platform's load balancer does: the target of a requested
// move if it is up, otherwise a ready gateway in the client's zone, otherwise any ready
// gateway. It returns nil if no gateway is ready.
func (c *Client) pick() *Node {
	simulation := c.simulation
	if c.moveTo != "" {
		target := simulation.byAddress[c.moveTo]
		c.moveTo = ""
		if target != nil && target.Up {
			return target
		}
	}
	var near, far []*Node
	for _, node := range simulation.Nodes(membership.KindGateway) {
		if !node.Ready() {
			continue
		}
		if node.Zone == c.Zone {
			near = append(near, node)
		}
		far = append(far, node)
	}
	if len(near) > 0 {
		return near[simulation.Random.IntN(len(near))]
	}
	if len(far) > 0 {
		return far[simulation.Random.IntN(len(far))]
	}
	return nil
}

func (c *Client) schedule(wait time.Duration) {
	turn := c.turn
	c.simulation.After(wait, func() {
		if c.turn == turn && !c.connected {
			c.connect()
		}
	})
}

func (c *Client) connect() {
	if c.Closed {
		return
	}
	simulation := c.simulation
	c.turn++
	turn := c.turn
	node := c.pick()
	if node == nil {
		c.schedule(300 * time.Millisecond)
		return
	}
	c.node = node
	c.openedAt = simulation.Now
	simulation.counter++
	c.channel = simulation.counter
	incarnation := node.incarnation
	// The sink is attached before the session opens, as the HTTP server does.
	simulation.After(100*time.Microsecond, func() {
		if node.Up && node.incarnation == incarnation {
			node.sinks[c.channel] = func(deliver statemachine.Delivery) {
				simulation.After(200*time.Microsecond, func() { c.event(turn, deliver) })
			}
		}
	})
	answered := false
	simulation.Call(node, func(request uint64) any {
		return gateway.OpenSession{Request: request, Session: c.channel, Name: fmt.Sprint(c.channel), Client: c.Name}
	}, func(value any, alive bool) {
		answered = true
		if c.turn != turn {
			return
		}
		answer, matches := value.(gateway.Reply)
		if !alive || !matches || answer.Outcome != gateway.OutcomeAccepted {
			c.disconnect(turn, 50*time.Millisecond)
			return
		}
		c.connected = true
		c.receivedAt = simulation.Now
		c.subscribe(turn)
	})
	simulation.After(clientTimeout, func() {
		if !answered {
			c.disconnect(turn, 50*time.Millisecond)
		}
	})
}

// disconnect closes the connection, whichever side ended it, and reconnects after wait.
func (c *Client) disconnect(turn int, wait time.Duration) {
	if c.turn != turn {
		return
	}
	simulation := c.simulation
	if c.subscribed {
		c.disconnectedAt = simulation.Now
	}
	c.turn++
	c.connected, c.subscribed = false, false
	if node := c.node; node != nil && node.Up {
		channel := c.channel
		delete(node.sinks, channel)
		simulation.After(300*time.Microsecond, func() {
			node.enter(func() {
				node.step(func(now time.Time, effects *statemachine.Effects) {
					node.Machine.HandleCommand(now, gateway.CloseSession{Session: channel, Reason: "closed"}, effects)
				})
			})
		})
	}
	c.schedule(wait)
}

// leave ends the client permanently. The checker expects no further deliveries to it.
func (c *Client) leave() {
	c.Closed = true
	c.simulation.Checker.SubscriberEnded(c.Name)
	c.disconnect(c.turn, 0)
}

// Reset resets the client's connection, as a network fault does. The client reconnects after wait.
func (c *Client) Reset(wait time.Duration) {
	c.absentUntil = c.simulation.Now.Add(wait + 2*time.Second)
	c.disconnect(c.turn, wait)
}

func (c *Client) subscribe(turn int) {
	simulation := c.simulation
	if len(c.interests) == 0 {
		c.subscribed = true
		return
	}
	resumes := c.cursor != ""
	answered := false
	simulation.Call(c.node, func(request uint64) any {
		command := gateway.Subscribe{Request: request, Session: c.channel, Client: c.Name, Cursor: c.cursor}
		if !resumes {
			command.Interests = c.interests
		}
		return command
	}, func(value any, alive bool) {
		answered = true
		if c.turn != turn {
			return
		}
		answer, matches := value.(gateway.Reply)
		simulation.trace("%s at %s subscribes, resumes %v: %s %s %v", c.Name, c.node.Name, resumes, answer.Outcome, answer.Code, answer.Fields["missed"])
		switch {
		case !alive || !matches:
			c.disconnect(turn, 20*time.Millisecond)
		case answer.Outcome == gateway.OutcomeAccepted:
			c.subscribed = true
			c.takeCursor(answer.Fields["cursor"].(string))
			if !resumes {
				for _, interest := range c.interests {
					simulation.Checker.Subscribed(c.Name, checker.Interest{Space: interest.Space, Path: interest.Path, Prefix: interest.Prefix}, simulation.Now)
				}
			}
		case answer.Code == gateway.CodeCursorExpired:
			simulation.trace("%s: cursor expired, disconnected %s ago", c.Name, simulation.Now.Sub(c.disconnectedAt))
			simulation.Checker.CursorExpired(c.Name, c.disconnectedAt, simulation.Now)
			c.Closed = true
		case answer.Code == gateway.CodeNoSuchSession || answer.Code == gateway.CodeMoved:
			c.disconnect(turn, 20*time.Millisecond)
		case answer.Code == gateway.CodeNoSuchSpace && c.brief != "":
			c.leave()
		case answer.RetryAfter > 0:
			simulation.Checker.RequestRejected(answer.Code, c.Name+" subscribes", simulation.calmSince(), simulation.Now)
			simulation.After(answer.RetryAfter, func() {
				if c.turn == turn {
					c.subscribe(turn)
				}
			})
		default:
			simulation.Checker.Violate(checker.CursorRejected, "%s: %s %s", c.Name, answer.Code, answer.Text)
			c.Closed = true
		}
	})
	simulation.After(clientTimeout+time.Second, func() {
		if !answered {
			c.disconnect(turn, 20*time.Millisecond)
		}
	})
}

func (c *Client) takeCursor(cursor string) {
	if cursor != "" {
		c.cursor = cursor
	}
}

func (c *Client) event(turn int, deliver statemachine.Delivery) {
	if c.turn != turn {
		return
	}
	simulation := c.simulation
	c.receivedAt = simulation.Now
	event, matches := deliver.Event.(gateway.Event)
	if matches {
		c.takeCursor(event.Cursor)
		switch event.Event {
		case "message":
			simulation.trace("%s at %s gets %s/%s/%d on %s", c.Name, c.node.Name, event.Space, event.Sender, event.Seq, event.Topic)
			simulation.Checker.Received(c.Name, checker.Message{Space: event.Space, Sender: event.Sender, Seq: event.Seq}, event.Topic, string(event.Data), simulation.Now)
		case "hello":
			simulation.Checker.ServedVersion(event.Daemon, event.Version, c.openedAt, simulation.Now)
		case "ping":
			simulation.Call(c.node, func(request uint64) any {
				return gateway.Pong{Request: request, Session: c.channel, Client: c.Name}
			}, func(any, bool) {})
		case "move":
			c.moveTo = event.To
			c.disconnect(turn, time.Duration(simulation.Random.IntN(50))*time.Millisecond)
			return
		}
	}
	if deliver.Close {
		c.disconnect(turn, 20*time.Millisecond)
	}
}

// watch disconnects a client whose gateway has sent nothing for seven seconds.
func (c *Client) watch() {
	if c.connected && c.simulation.Now.Sub(c.receivedAt) > 7*time.Second {
		c.disconnect(c.turn, 10*time.Millisecond)
	}
}

// PublishPeriodically makes the client publish by the plans, with at most pipeline publications
// without a final response at a time.
func (c *Client) PublishPeriodically(pipeline int, plans ...PublishPlan) *Client {
	c.pipeline = pipeline
	c.publishes = append(c.publishes, plans...)
	for _, plan := range plans {
		c.simulation.After(time.Duration(c.simulation.Random.Int64N(int64(plan.Every)))+time.Second, func() { c.publishByPlan(plan) })
	}
	return c
}

// StopPublishing stops new publications. Pending ones are still retried.
func (c *Client) StopPublishing() { c.stopped = true }

func (c *Client) publishByPlan(plan PublishPlan) {
	simulation := c.simulation
	if c.stopped || c.Closed {
		return
	}
	simulation.After(plan.Every/2+time.Duration(simulation.Random.Int64N(int64(plan.Every))), func() { c.publishByPlan(plan) })
	if !c.connected || len(c.outbox) >= c.pipeline {
		return
	}
	c.seqs[plan.Space]++
	message := checker.Message{Space: plan.Space, Sender: c.Name, Seq: c.seqs[plan.Space]}
	c.outbox = append(c.outbox, &outgoing{
		message: message, topic: plan.Topics[simulation.Random.IntN(len(plan.Topics))], data: fmt.Sprintf("%q", message.String()),
	})
	c.sendNext()
}

// outgoing is a publication without a final response.
type outgoing struct {
	message   checker.Message
	topic     string
	data      string
	attempts  int
	inFlight  bool
	inBackoff bool
}

// sendNext sends the pending publications in order without waiting for responses. It stops
// at the first one that is being retried: its outcome is unknown, or it was rejected and
// waits for its backoff.
func (c *Client) sendNext() {
	if c.Closed || !c.connected || c.node == nil {
		if len(c.outbox) > 0 && !c.Closed {
			c.simulation.After(100*time.Millisecond, c.sendNext)
		}
		return
	}
	for _, item := range c.outbox {
		if !item.inFlight && !item.inBackoff {
			c.attempt(item)
		}
		if item.attempts > 1 || item.inBackoff {
			return
		}
	}
}

// expected lists the rejection codes that are caused by actions of clients and operators and
// not by a daemon that does not serve: the session was moved, an earlier sequence number is
// still being retried, or the space was removed.
var expected = []string{gateway.CodeMoved, gateway.CodeEarlierUnaccepted, gateway.CodeNoSuchSpace}

// attempt sends a publication once.
func (c *Client) attempt(item *outgoing) {
	simulation := c.simulation
	item.inFlight = true
	item.attempts++
	began, node := simulation.Now, c.node
	message := item.message
	simulation.Checker.Attempt(message, item.topic, item.data, began)
	done := false
	finish := func(outcome, code string, again time.Duration) {
		if done {
			return
		}
		done = true
		if outcome != "accepted" && c.brief == "" && !c.Closed && !slices.Contains(expected, code) {
			simulation.Checker.RequestRejected(code, message.String(), simulation.calmSince(), simulation.Now)
		}
		item.inFlight = false
		simulation.trace("%s try %d at %s on %s: %s", message, item.attempts, node.Name, item.topic, outcome)
		simulation.Checker.Answered(message, outcome, began, simulation.Now)
		if again < 0 || item.attempts > 60 {
			c.outbox = slices.DeleteFunc(c.outbox, func(other *outgoing) bool { return other == item })
			c.sendNext()
			return
		}
		item.inBackoff = true
		simulation.After(again, func() {
			item.inBackoff = false
			c.sendNext()
		})
	}
	simulation.Call(c.node, func(request uint64) any {
		return gateway.Publish{
			Request: request, RequestName: message.String(), Client: c.Name, Sender: c.Name, Space: message.Space, Topic: item.topic,
			Seq: message.Seq, Data: []byte(item.data),
		}
	}, func(value any, alive bool) {
		answer, matches := value.(gateway.Reply)
		switch {
		case !alive || !matches:
			finish("unsettled", "cut-off", 50*time.Millisecond)
		case answer.Outcome == gateway.OutcomeAccepted:
			finish("accepted", "", -1)
			if c.Resends && simulation.Random.IntN(6) == 0 {
				c.resend(item)
			}
		case answer.RetryAfter > 0:
			finish(string(answer.Outcome), answer.Code, answer.RetryAfter)
		default:
			finish(string(answer.Outcome), answer.Code, -1)
		}
	})
	simulation.After(clientTimeout, func() { finish("unsettled", "silent", 20*time.Millisecond) })
}

// resend sends an accepted publication again within three seconds. The gateway may
// acknowledge it again or leave the outcome unknown, but must not reject it.
func (c *Client) resend(item *outgoing) {
	simulation := c.simulation
	simulation.After(time.Duration(simulation.Random.IntN(3000))*time.Millisecond, func() {
		if !c.connected || c.Closed {
			return
		}
		simulation.Call(c.node, func(request uint64) any {
			return gateway.Publish{
				Request: request, RequestName: item.message.String(), Client: c.Name, Sender: c.Name, Space: item.message.Space,
				Topic: item.topic, Seq: item.message.Seq, Data: []byte(item.data),
			}
		}, func(value any, alive bool) {
			answer, matches := value.(gateway.Reply)
			if alive && matches && answer.Outcome == gateway.OutcomeRejected && answer.RetryAfter == 0 && answer.Code != gateway.CodeNoSuchSpace {
				simulation.Checker.Violate(checker.Duplicate, "%s was accepted, and its resend was rejected: %s", item.message, answer.Code)
			}
		})
	})
}
