// Stand-in callers of the simulator: a client with a long channel that pings
// back, moves when asked, reconnects after a cut to a daemon that the platform
// held ready, and resumes with its newest cursor; and its publishing side, which
// sends an unanswered seq again until it has an answer.
package swell

import (
	"fmt"
	"slices"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
	"dahlialock/internal/oracle"
)

const clientPatience = 2 * time.Second

// Client is one caller.
type Client struct {
	swell      *Swell
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
	interests  []lamp.Interest
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
func (swell *Swell) AddClient(name string, place int, interests ...lamp.Interest) *Client {
	client := &Client{swell: swell, Name: name, Place: place, interests: interests, seqs: map[string]uint64{}, pipeline: 1}
	swell.clients = append(swell.clients, client)
	for _, interest := range interests {
		swell.Oracle.Asked(name, oracle.Interest{Space: interest.Space, Path: interest.Path, Wide: interest.Wide}, swell.Now)
	}
	swell.After(time.Duration(swell.Random.IntN(400))*time.Millisecond, func() { client.connect() })
	return client
}

// pick chooses as the platform does: a ready lantern in the client's zone, as
// far as it knew a moment ago, or any.
func (client *Client) pick() *Node {
	swell := client.swell
	if client.moveTo != "" {
		target := swell.byPort[client.moveTo]
		client.moveTo = ""
		if target != nil && target.Up {
			return target
		}
	}
	var near, far []*Node
	for _, node := range swell.Nodes(beacon.KindLantern) {
		if !node.Ready() {
			continue
		}
		if node.Place == client.Place {
			near = append(near, node)
		}
		far = append(far, node)
	}
	if len(near) > 0 {
		return near[swell.Random.IntN(len(near))]
	}
	if len(far) > 0 {
		return far[swell.Random.IntN(len(far))]
	}
	return nil
}

func (client *Client) later(wait time.Duration) {
	turn := client.turn
	client.swell.After(wait, func() {
		if client.turn == turn && !client.connected {
			client.connect()
		}
	})
}

func (client *Client) connect() {
	if client.Gone {
		return
	}
	swell := client.swell
	client.turn++
	turn := client.turn
	node := client.pick()
	if node == nil {
		client.later(300 * time.Millisecond)
		return
	}
	client.node = node
	client.openedAt = swell.Now
	swell.number++
	client.channel = swell.number
	life := node.life
	// The sink is attached first, as the HTTP side does.
	swell.After(100*time.Microsecond, func() {
		if node.Up && node.life == life {
			node.sinks[client.channel] = func(deliver helm.Deliver) {
				swell.After(200*time.Microsecond, func() { client.event(turn, deliver) })
			}
		}
	})
	answered := false
	swell.Call(node, func(visit uint64) any {
		return lamp.OpenChannel{Visit: visit, Channel: client.channel, Name: fmt.Sprint(client.channel), Origin: client.Name}
	}, func(value any, alive bool) {
		answered = true
		if client.turn != turn {
			return
		}
		answer, matches := value.(lamp.Answer)
		if !alive || !matches || answer.Outcome != lamp.OutcomeAccepted {
			client.cut(turn, 50*time.Millisecond)
			return
		}
		client.connected = true
		client.heardAt = swell.Now
		client.subscribe(turn)
	})
	swell.After(clientPatience, func() {
		if !answered {
			client.cut(turn, 50*time.Millisecond)
		}
	})
}

// cut ends a connection, from either side, and comes back after a while.
func (client *Client) cut(turn int, wait time.Duration) {
	if client.turn != turn {
		return
	}
	swell := client.swell
	if client.subscribed {
		client.cutAt = swell.Now
	}
	client.turn++
	client.connected, client.subscribed = false, false
	if node := client.node; node != nil && node.Up {
		channel := client.channel
		delete(node.sinks, channel)
		swell.After(300*time.Microsecond, func() {
			node.enter(func() {
				node.step(func(now time.Time, effects *helm.Effects) {
					node.Machine.Command(now, lamp.CloseChannel{Channel: channel, Why: "closed"}, effects)
				})
			})
		})
	}
	client.later(wait)
}

// leave ends a client for good; nothing more is owed to it.
func (client *Client) leave() {
	client.Gone = true
	client.swell.Oracle.Dropped(client.Name)
	client.cut(client.turn, 0)
}

// Reset cuts the client's connection from outside.
func (client *Client) Reset(wait time.Duration) {
	client.awayUntil = client.swell.Now.Add(wait + 2*time.Second)
	client.cut(client.turn, wait)
}

func (client *Client) subscribe(turn int) {
	swell := client.swell
	if len(client.interests) == 0 {
		client.subscribed = true
		return
	}
	resumes := client.cursor != ""
	answered := false
	swell.Call(client.node, func(visit uint64) any {
		command := lamp.Subscribe{Visit: visit, Channel: client.channel, Origin: client.Name, Cursor: client.cursor}
		if !resumes {
			command.Interests = client.interests
		}
		return command
	}, func(value any, alive bool) {
		answered = true
		if client.turn != turn {
			return
		}
		answer, matches := value.(lamp.Answer)
		swell.trace("%s at %s subscribes, resumes %v: %s %s %v", client.Name, client.node.Name, resumes, answer.Outcome, answer.Code, answer.Fields["missed"])
		switch {
		case !alive || !matches:
			client.cut(turn, 20*time.Millisecond)
		case answer.Outcome == lamp.OutcomeAccepted:
			client.subscribed = true
			client.takeCursor(answer.Fields["cursor"].(string))
			if !resumes {
				for _, interest := range client.interests {
					swell.Oracle.Subscribed(client.Name, oracle.Interest{Space: interest.Space, Path: interest.Path, Wide: interest.Wide}, swell.Now)
				}
			}
		case answer.Code == "place-lost":
			swell.trace("%s lost its place, cut %s ago", client.Name, swell.Now.Sub(client.cutAt))
			swell.Oracle.PlaceLost(client.Name, client.cutAt, swell.Now)
			client.Gone = true
		case answer.Code == "no-such-channel" || answer.Code == "moved":
			client.cut(turn, 20*time.Millisecond)
		case answer.Code == "no-such-space" && client.brief != "":
			client.leave()
		case answer.RetryAfter > 0:
			swell.Oracle.RefusedAs(answer.Code, client.Name+" subscribes", swell.calmSince(), swell.Now)
			swell.After(answer.RetryAfter, func() {
				if client.turn == turn {
					client.subscribe(turn)
				}
			})
		default:
			swell.Oracle.Violate(oracle.PlaceRefused, "%s: %s %s", client.Name, answer.Code, answer.Text)
			client.Gone = true
		}
	})
	swell.After(clientPatience+time.Second, func() {
		if !answered {
			client.cut(turn, 20*time.Millisecond)
		}
	})
}

func (client *Client) takeCursor(cursor string) {
	if cursor != "" {
		client.cursor = cursor
	}
}

func (client *Client) event(turn int, deliver helm.Deliver) {
	if client.turn != turn {
		return
	}
	swell := client.swell
	client.heardAt = swell.Now
	event, matches := deliver.Event.(lamp.Event)
	if matches {
		client.takeCursor(event.Cursor)
		switch event.Event {
		case "message":
			swell.trace("%s at %s gets %s/%s/%d on %s", client.Name, client.node.Name, event.Space, event.Sender, event.Seq, event.Topic)
			swell.Oracle.Got(client.Name, oracle.Message{Space: event.Space, Sender: event.Sender, Seq: event.Seq}, event.Topic, string(event.Data), swell.Now)
		case "hello":
			swell.Oracle.Showed(event.Daemon, event.Version, client.openedAt, swell.Now)
		case "ping":
			swell.Call(client.node, func(visit uint64) any {
				return lamp.Pong{Visit: visit, Channel: client.channel, Origin: client.Name}
			}, func(any, bool) {})
		case "move":
			client.moveTo = event.To
			client.cut(turn, time.Duration(swell.Random.IntN(50))*time.Millisecond)
			return
		}
	}
	if deliver.Close {
		client.cut(turn, 20*time.Millisecond)
	}
}

// watch lets a client notice a daemon that has gone silent.
func (client *Client) watch() {
	if client.connected && client.swell.Now.Sub(client.heardAt) > 7*time.Second {
		client.cut(client.turn, 10*time.Millisecond)
	}
}

// Publishes lets a client publish by a plan, some of it ahead of answers.
func (client *Client) Publishes(pipeline int, plans ...Plan) *Client {
	client.pipeline = pipeline
	client.publishes = append(client.publishes, plans...)
	for _, plan := range plans {
		client.swell.After(time.Duration(client.swell.Random.Int64N(int64(plan.Every)))+time.Second, func() { client.tick(plan) })
	}
	return client
}

// Quiet ends new publications.
func (client *Client) Quiet() { client.stopped = true }

func (client *Client) tick(plan Plan) {
	swell := client.swell
	if client.stopped || client.Gone {
		return
	}
	swell.After(plan.Every/2+time.Duration(swell.Random.Int64N(int64(plan.Every))), func() { client.tick(plan) })
	if !client.connected || len(client.outbox) >= client.pipeline {
		return
	}
	client.seqs[plan.Space]++
	message := oracle.Message{Space: plan.Space, Sender: client.Name, Seq: client.seqs[plan.Space]}
	client.outbox = append(client.outbox, &outgoing{
		message: message, topic: plan.Topics[swell.Random.IntN(len(plan.Topics))], data: fmt.Sprintf("%q", message.String()),
	})
	client.pump()
}

// outgoing is a publication without a final answer.
type outgoing struct {
	message  oracle.Message
	topic    string
	data     string
	tries    int
	inFlight bool
	again    bool
}

// pump sends what may be sent: ahead of answers, but never past one whose fate
// is open or that was refused for a while.
func (client *Client) pump() {
	if client.Gone || !client.connected || client.node == nil {
		if len(client.outbox) > 0 && !client.Gone {
			client.swell.After(100*time.Millisecond, client.pump)
		}
		return
	}
	for _, item := range client.outbox {
		if !item.inFlight && !item.again {
			client.try(item)
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
func (client *Client) try(item *outgoing) {
	swell := client.swell
	item.inFlight = true
	item.tries++
	began, node := swell.Now, client.node
	message := item.message
	swell.Oracle.Try(message, item.topic, item.data, began)
	settled := false
	finish := func(outcome, code string, again time.Duration) {
		if settled {
			return
		}
		settled = true
		if outcome != "accepted" && client.brief == "" && !client.Gone && !slices.Contains(expected, code) {
			swell.Oracle.RefusedAs(code, message.String(), swell.calmSince(), swell.Now)
		}
		item.inFlight = false
		swell.trace("%s try %d at %s on %s: %s", message, item.tries, node.Name, item.topic, outcome)
		swell.Oracle.Answered(message, outcome, began, swell.Now)
		if again < 0 || item.tries > 60 {
			client.outbox = slices.DeleteFunc(client.outbox, func(other *outgoing) bool { return other == item })
			client.pump()
			return
		}
		item.again = true
		swell.After(again, func() {
			item.again = false
			client.pump()
		})
	}
	swell.Call(client.node, func(visit uint64) any {
		return lamp.Publish{
			Visit: visit, VisitName: message.String(), Origin: client.Name, Sender: client.Name, Space: message.Space, Topic: item.topic,
			Seq: message.Seq, Data: []byte(item.data),
		}
	}, func(value any, alive bool) {
		answer, matches := value.(lamp.Answer)
		switch {
		case !alive || !matches:
			finish("unsettled", "cut-off", 50*time.Millisecond)
		case answer.Outcome == lamp.OutcomeAccepted:
			finish("accepted", "", -1)
			if client.Resends && swell.Random.IntN(6) == 0 {
				client.resend(item)
			}
		case answer.RetryAfter > 0:
			finish(answer.Outcome, answer.Code, answer.RetryAfter)
		default:
			finish(answer.Outcome, answer.Code, -1)
		}
	})
	swell.After(clientPatience, func() { finish("unsettled", "silent", 20*time.Millisecond) })
}

// resend sends an accepted seq again within ten seconds: it must be
// acknowledged again, or be of open fate, but never refused.
func (client *Client) resend(item *outgoing) {
	swell := client.swell
	swell.After(time.Duration(swell.Random.IntN(3000))*time.Millisecond, func() {
		if !client.connected || client.Gone {
			return
		}
		swell.Call(client.node, func(visit uint64) any {
			return lamp.Publish{
				Visit: visit, VisitName: item.message.String(), Origin: client.Name, Sender: client.Name, Space: item.message.Space,
				Topic: item.topic, Seq: item.message.Seq, Data: []byte(item.data),
			}
		}, func(value any, alive bool) {
			answer, matches := value.(lamp.Answer)
			if alive && matches && answer.Outcome == lamp.OutcomeRefused && answer.RetryAfter == 0 && answer.Code != "no-such-space" {
				swell.Oracle.Violate(oracle.Twice, "%s was accepted, and its resend refused: %s", item.message, answer.Code)
			}
		})
	})
}
