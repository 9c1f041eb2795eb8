// Stand-in callers of the simulator: a client with a long channel that pings
// back, moves when asked, reconnects after a cut to a daemon that the platform
// held ready, and resumes with its newest cursor; and its publishing side, which
// sends an unanswered seq again until it has an answer.

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

const clientPatience = 2 * time.Second

// Client is one caller.
type Client struct {
	simulation *Simulation
	Name       string
	Place      int
	node       *Node
	channel    uint64
	turn       int
	connected  bool
	subscribed bool
	cursor     string
	cutAt      time.Time
	awayUntil  time.Time
	interests  []gateway.Interest
	heardAt    time.Time
	openedAt   time.Time
	moveTo     string
	Gone       bool
	brief      string

	publishes []Plan
	seqs      map[string]uint64
	outbox    []*outgoing
	pipeline  int
	stopped   bool
	Resends   bool
}

// Plan is what a client publishes.
type Plan struct {
	Space  string
	Topics []string
	Every  time.Duration
}

// AddClient adds a caller with its interests.
func (s *Simulation) AddClient(name string, zone int, interests ...gateway.Interest) *Client {
	client := &Client{simulation: s, Name: name, Place: zone, interests: interests, seqs: map[string]uint64{}, pipeline: 1}
	s.clients = append(s.clients, client)
	for _, interest := range interests {
		s.Checker.Asked(name, checker.Interest{Space: interest.Space, Path: interest.Path, Wide: interest.Prefix}, s.Now)
	}
	s.After(time.Duration(s.Random.IntN(400))*time.Millisecond, func() { client.connect() })
	return client
}

// pick chooses as the platform does: a ready gateway in the client's zone, as
// far as it knew a moment ago, or any.
func (c *Client) pick() *Node {
	simulation := c.simulation
	if c.moveTo != "" {
		target := simulation.byPort[c.moveTo]
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
		if node.Zone == c.Place {
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

func (c *Client) later(wait time.Duration) {
	turn := c.turn
	c.simulation.After(wait, func() {
		if c.turn == turn && !c.connected {
			c.connect()
		}
	})
}

func (c *Client) connect() {
	if c.Gone {
		return
	}
	simulation := c.simulation
	c.turn++
	turn := c.turn
	node := c.pick()
	if node == nil {
		c.later(300 * time.Millisecond)
		return
	}
	c.node = node
	c.openedAt = simulation.Now
	simulation.number++
	c.channel = simulation.number
	incarnation := node.incarnation
	// The sink is attached first, as the HTTP side does.
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
			c.cut(turn, 50*time.Millisecond)
			return
		}
		c.connected = true
		c.heardAt = simulation.Now
		c.subscribe(turn)
	})
	simulation.After(clientPatience, func() {
		if !answered {
			c.cut(turn, 50*time.Millisecond)
		}
	})
}

// cut ends a connection, from either side, and comes back after a while.
func (c *Client) cut(turn int, wait time.Duration) {
	if c.turn != turn {
		return
	}
	simulation := c.simulation
	if c.subscribed {
		c.cutAt = simulation.Now
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
	c.later(wait)
}

// leave ends a client for good; nothing more is owed to it.
func (c *Client) leave() {
	c.Gone = true
	c.simulation.Checker.Dropped(c.Name)
	c.cut(c.turn, 0)
}

// Reset cuts the client's connection from outside.
func (c *Client) Reset(wait time.Duration) {
	c.awayUntil = c.simulation.Now.Add(wait + 2*time.Second)
	c.cut(c.turn, wait)
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
			c.cut(turn, 20*time.Millisecond)
		case answer.Outcome == gateway.OutcomeAccepted:
			c.subscribed = true
			c.takeCursor(answer.Fields["cursor"].(string))
			if !resumes {
				for _, interest := range c.interests {
					simulation.Checker.Subscribed(c.Name, checker.Interest{Space: interest.Space, Path: interest.Path, Wide: interest.Prefix}, simulation.Now)
				}
			}
		case answer.Code == "place-lost":
			simulation.trace("%s lost its place, cut %s ago", c.Name, simulation.Now.Sub(c.cutAt))
			simulation.Checker.CursorLost(c.Name, c.cutAt, simulation.Now)
			c.Gone = true
		case answer.Code == "no-such-channel" || answer.Code == "moved":
			c.cut(turn, 20*time.Millisecond)
		case answer.Code == "no-such-space" && c.brief != "":
			c.leave()
		case answer.RetryAfter > 0:
			simulation.Checker.RefusedAs(answer.Code, c.Name+" subscribes", simulation.calmSince(), simulation.Now)
			simulation.After(answer.RetryAfter, func() {
				if c.turn == turn {
					c.subscribe(turn)
				}
			})
		default:
			simulation.Checker.Violate(checker.CursorRejected, "%s: %s %s", c.Name, answer.Code, answer.Text)
			c.Gone = true
		}
	})
	simulation.After(clientPatience+time.Second, func() {
		if !answered {
			c.cut(turn, 20*time.Millisecond)
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
	c.heardAt = simulation.Now
	event, matches := deliver.Event.(gateway.Event)
	if matches {
		c.takeCursor(event.Cursor)
		switch event.Event {
		case "message":
			simulation.trace("%s at %s gets %s/%s/%d on %s", c.Name, c.node.Name, event.Space, event.Sender, event.Seq, event.Topic)
			simulation.Checker.Got(c.Name, checker.Message{Space: event.Space, Sender: event.Sender, Seq: event.Seq}, event.Topic, string(event.Data), simulation.Now)
		case "hello":
			simulation.Checker.Showed(event.Daemon, event.Version, c.openedAt, simulation.Now)
		case "ping":
			simulation.Call(c.node, func(request uint64) any {
				return gateway.Pong{Request: request, Session: c.channel, Client: c.Name}
			}, func(any, bool) {})
		case "move":
			c.moveTo = event.To
			c.cut(turn, time.Duration(simulation.Random.IntN(50))*time.Millisecond)
			return
		}
	}
	if deliver.Close {
		c.cut(turn, 20*time.Millisecond)
	}
}

// watch lets a client notice a daemon that has gone silent.
func (c *Client) watch() {
	if c.connected && c.simulation.Now.Sub(c.heardAt) > 7*time.Second {
		c.cut(c.turn, 10*time.Millisecond)
	}
}

// Publishes lets a client publish by a plan, some of it ahead of answers.
func (c *Client) Publishes(pipeline int, plans ...Plan) *Client {
	c.pipeline = pipeline
	c.publishes = append(c.publishes, plans...)
	for _, plan := range plans {
		c.simulation.After(time.Duration(c.simulation.Random.Int64N(int64(plan.Every)))+time.Second, func() { c.tick(plan) })
	}
	return c
}

// Quiet ends new publications.
func (c *Client) Quiet() { c.stopped = true }

func (c *Client) tick(plan Plan) {
	simulation := c.simulation
	if c.stopped || c.Gone {
		return
	}
	simulation.After(plan.Every/2+time.Duration(simulation.Random.Int64N(int64(plan.Every))), func() { c.tick(plan) })
	if !c.connected || len(c.outbox) >= c.pipeline {
		return
	}
	c.seqs[plan.Space]++
	message := checker.Message{Space: plan.Space, Sender: c.Name, Seq: c.seqs[plan.Space]}
	c.outbox = append(c.outbox, &outgoing{
		message: message, topic: plan.Topics[simulation.Random.IntN(len(plan.Topics))], data: fmt.Sprintf("%q", message.String()),
	})
	c.pump()
}

// outgoing is a publication without a final answer.
type outgoing struct {
	message  checker.Message
	topic    string
	data     string
	tries    int
	inFlight bool
	again    bool
}

// pump sends what may be sent: ahead of answers, but never past one whose fate
// is open or that was refused for a while.
func (c *Client) pump() {
	if c.Gone || !c.connected || c.node == nil {
		if len(c.outbox) > 0 && !c.Gone {
			c.simulation.After(100*time.Millisecond, c.pump)
		}
		return
	}
	for _, item := range c.outbox {
		if !item.inFlight && !item.again {
			c.try(item)
		}
		if item.tries > 1 || item.again {
			return
		}
	}
}

// expected are the codes that follow from what a caller or an operator did, not
// from a daemon that does not serve: the move of a channel, and what waits for
// an earlier seq that is on its way again.
var expected = []string{"moved", "earlier-refused", "no-such-space"}

// try sends one seq once.
func (c *Client) try(item *outgoing) {
	simulation := c.simulation
	item.inFlight = true
	item.tries++
	began, node := simulation.Now, c.node
	message := item.message
	simulation.Checker.Attempt(message, item.topic, item.data, began)
	settled := false
	finish := func(outcome, code string, again time.Duration) {
		if settled {
			return
		}
		settled = true
		if outcome != "accepted" && c.brief == "" && !c.Gone && !slices.Contains(expected, code) {
			simulation.Checker.RefusedAs(code, message.String(), simulation.calmSince(), simulation.Now)
		}
		item.inFlight = false
		simulation.trace("%s try %d at %s on %s: %s", message, item.tries, node.Name, item.topic, outcome)
		simulation.Checker.Answered(message, outcome, began, simulation.Now)
		if again < 0 || item.tries > 60 {
			c.outbox = slices.DeleteFunc(c.outbox, func(other *outgoing) bool { return other == item })
			c.pump()
			return
		}
		item.again = true
		simulation.After(again, func() {
			item.again = false
			c.pump()
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
	simulation.After(clientPatience, func() { finish("unsettled", "silent", 20*time.Millisecond) })
}

// resend sends an accepted seq again within ten seconds: it must be
// acknowledged again, or be of open fate, but never refused.
func (c *Client) resend(item *outgoing) {
	simulation := c.simulation
	simulation.After(time.Duration(simulation.Random.IntN(3000))*time.Millisecond, func() {
		if !c.connected || c.Gone {
			return
		}
		simulation.Call(c.node, func(request uint64) any {
			return gateway.Publish{
				Request: request, RequestName: item.message.String(), Client: c.Name, Sender: c.Name, Space: item.message.Space,
				Topic: item.topic, Seq: item.message.Seq, Data: []byte(item.data),
			}
		}, func(value any, alive bool) {
			answer, matches := value.(gateway.Reply)
			if alive && matches && answer.Outcome == gateway.OutcomeRejected && answer.RetryAfter == 0 && answer.Code != "no-such-space" {
				simulation.Checker.Violate(checker.Twice, "%s was accepted, and its resend refused: %s", item.message, answer.Code)
			}
		})
	})
}
