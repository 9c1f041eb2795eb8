// Stand-in callers of routed topics, as the users' clients behave on their lines:
// one connection, whose commands and answers keep their order; every topic is
// asked for anew on each connection, with the cursor of its last message; a
// publication of open fate is sent again under its number until its deadline, and
// one that was certainly not done gets a new number, a few times.
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

// Spans of a caller on a line.
const (
	lineDelay       = time.Millisecond
	pingEvery       = 2 * time.Second
	silentFor       = 5 * time.Second
	droppedAfter    = 7 * time.Second
	dialPatience    = time.Second
	answerPatience  = 1200 * time.Millisecond
	topicDeadline   = 1200 * time.Millisecond
	resendAgain     = 60 * time.Millisecond
	joinWithin      = 500 * time.Millisecond
	renewalsMost    = 2
	accountableSpan = 10 * time.Second
)

// TopicClient is one caller of routed topics.
type TopicClient struct {
	swell     *Swell
	Name      string
	Place     int
	fixed     *Node
	node      *Node
	life      uint64
	channel   uint64
	turn      int
	connected bool
	heardAt   time.Time
	saidAt    time.Time
	beganAt   time.Time
	awayUntil time.Time
	failures  int
	moveTo    string
	Gone      bool
	stopped   bool
	unjudged  bool

	topics   map[string]*taken
	seq      uint64
	pipeline int
	outbox   map[string][]*posting
}

// taken is a topic that a caller wants to hold.
type taken struct {
	topic   string
	cursor  string
	after   oracle.Post
	entry   *oracle.Subscription
	asked   bool
	held    bool
	leaving bool
	nowhere bool
	askedAt time.Time
}

// posting is a publication whose fate is not known.
type posting struct {
	name     oracle.Post
	topic    string
	body     string
	wanted   time.Time
	renewals int
	tries    int
	inFlight bool
	waits    bool
}

// AddTopicClient adds a caller that holds topics.
func (swell *Swell) AddTopicClient(name string, place int, topics ...string) *TopicClient {
	client := &TopicClient{swell: swell, Name: name, Place: place, topics: map[string]*taken{}, outbox: map[string][]*posting{}, pipeline: 1}
	swell.topicClients = append(swell.topicClients, client)
	for _, topic := range topics {
		client.topics[topic] = &taken{topic: topic}
	}
	turn := client.turn
	swell.After(swell.between(0, 400*time.Millisecond), func() { client.connect(turn) })
	swell.After(swell.between(0, pingEvery), client.watch)
	return client
}

// platform is what the platform knows of a lantern: whether it gets new callers,
// and how often in turn it did not answer as ready.
type platform struct {
	in     bool
	missed int
}

// probe asks every lantern once a second whether it is ready.
func (swell *Swell) probe() {
	swell.After(time.Second, swell.probe)
	for _, node := range swell.Nodes(beacon.KindLantern) {
		known, found := swell.probed[node.Name]
		if !found {
			known = &platform{}
			swell.probed[node.Name] = known
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

// pick chooses as the platform does: in the caller's zone, of those that are in,
// or of all where fewer than half are; with none in, of those elsewhere.
func (client *TopicClient) pick() *Node {
	swell := client.swell
	if client.fixed != nil {
		return client.fixed
	}
	if target := swell.byPort[client.moveTo]; target != nil {
		client.moveTo = ""
		return target
	}
	var zone, in, elsewhere []*Node
	for _, node := range swell.Nodes(beacon.KindLantern) {
		known, found := swell.probed[node.Name]
		switch {
		case node.Place == client.Place:
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
	return in[swell.Random.IntN(len(in))]
}

// say sends a command on the line; done is called with its answer if that comes
// while the connection lasts.
func (client *TopicClient) say(command func(visit uint64) any, done func(answer lamp.Answer)) {
	swell, node, turn, life := client.swell, client.node, client.turn, client.life
	client.saidAt = swell.Now
	lost := func() {
		swell.After(lineDelay, func() { client.cut(turn, true, swell.between(0, 50*time.Millisecond)) })
	}
	swell.After(lineDelay, func() {
		if !node.Up || node.life != life {
			lost()
			return
		}
		node.enter(func() {
			if node.life != life {
				return
			}
			node.visit++
			visit := node.visit
			node.returns[visit] = func(value any, alive bool) {
				if !alive {
					lost()
					return
				}
				swell.After(lineDelay, func() {
					if client.turn == turn {
						client.heardAt = swell.Now
						done(value.(lamp.Answer))
					}
				})
			}
			node.step(func(now time.Time, effects *helm.Effects) { node.Machine.Command(now, command(visit), effects) })
		})
	})
}

func (client *TopicClient) later(wait time.Duration) {
	turn := client.turn
	client.swell.After(wait, func() { client.connect(turn) })
}

func (client *TopicClient) connect(turn int) {
	swell := client.swell
	if client.Gone || client.turn != turn || client.connected {
		return
	}
	client.turn++
	turn = client.turn
	client.node = client.pick()
	if client.node == nil {
		client.later(300 * time.Millisecond)
		return
	}
	node := client.node
	client.life = node.life
	client.beganAt, client.heardAt = swell.Now, swell.Now
	swell.number++
	channel := swell.number
	client.channel = channel
	client.say(func(visit uint64) any {
		// The line's writer stands before the channel does.
		node.sinks[channel] = func(deliver helm.Deliver) {
			swell.After(lineDelay, func() { client.event(turn, deliver) })
		}
		return lamp.OpenChannel{Visit: visit, Channel: channel, Name: fmt.Sprint(channel), Origin: client.Name, Lines: true}
	}, func(answer lamp.Answer) {
		if answer.Outcome != lamp.OutcomeAccepted {
			swell.trace("%s is not let in by %s: %s", client.Name, node.Name, answer.Code)
			client.blame(answer.Code, "hello of "+client.Name)
			client.cut(turn, false, swell.between(50*time.Millisecond, 250*time.Millisecond))
			return
		}
		client.connected, client.failures = true, 0
		for _, each := range helm.Sorted(client.topics) {
			client.subscribe(each)
		}
		for topic := range helm.Sorted(client.outbox) {
			client.pump(topic)
		}
	})
	swell.After(dialPatience, func() {
		if client.turn == turn && !client.connected {
			client.cut(turn, false, swell.between(0, 200*time.Millisecond))
		}
	})
}

// cut ends the connection, from either side, and comes back after a while. One
// that only falls silent leaves its channel behind for a time.
func (client *TopicClient) cut(turn int, tells bool, wait time.Duration) {
	if client.turn != turn {
		return
	}
	swell, node, life, channel := client.swell, client.node, client.life, client.channel
	client.turn++
	if !client.connected {
		client.failures++
		wait += time.Duration(min(client.failures, 8)) * 50 * time.Millisecond
	}
	client.connected = false
	for _, each := range helm.Sorted(client.topics) {
		each.asked, each.held = false, false
		switch {
		case each.entry == nil:
		case tells:
			each.entry.Cut(swell.Now)
		default:
			each.entry.Silenced(swell.Now, swell.Now.Add(droppedAfter))
		}
		if each.leaving {
			delete(client.topics, each.topic)
		}
	}
	for _, queue := range helm.Sorted(client.outbox) {
		for _, item := range queue {
			if item.inFlight {
				client.settled(item, "unsettled", "cut-off")
			}
			item.waits = false
		}
	}
	if node != nil {
		gone := droppedAfter
		if tells {
			gone = lineDelay
		}
		swell.After(gone, func() {
			if !node.Up || node.life != life {
				return
			}
			node.enter(func() {
				if _, open := node.sinks[channel]; !open || node.life != life {
					return
				}
				delete(node.sinks, channel)
				node.step(func(now time.Time, effects *helm.Effects) {
					node.Machine.Command(now, lamp.CloseChannel{Channel: channel, Why: "closed"}, effects)
				})
			})
		})
	}
	client.later(wait)
}

// leave ends a caller for good.
func (client *TopicClient) leave() {
	client.Gone = true
	for _, each := range helm.Sorted(client.topics) {
		if each.entry != nil {
			each.entry.End(client.swell.Now)
		}
	}
	client.cut(client.turn, true, 0)
}

// Away cuts the connection, by closing it or by falling silent.
func (client *TopicClient) Away(closes bool, wait time.Duration) {
	client.awayUntil = client.swell.Now.Add(wait + 2*time.Second)
	client.cut(client.turn, closes, wait)
}

// watch says something now and then, and resets a connection that is silent.
func (client *TopicClient) watch() {
	swell := client.swell
	if client.Gone {
		return
	}
	swell.After(500*time.Millisecond, client.watch)
	if !client.connected {
		return
	}
	if swell.Now.Sub(client.heardAt) > silentFor {
		swell.trace("%s hears nothing of %s", client.Name, client.node.Name)
		client.cut(client.turn, true, 0)
		return
	}
	if swell.Now.Sub(client.saidAt) < pingEvery {
		return
	}
	// Signs of life are answered by the line itself.
	client.saidAt = swell.Now
	node, life, turn, channel := client.node, client.life, client.turn, client.channel
	swell.After(lineDelay, func() {
		if !node.Up || node.life != life {
			return
		}
		node.enter(func() {
			if node.life != life {
				return
			}
			node.step(func(now time.Time, effects *helm.Effects) {
				node.Machine.Command(now, lamp.Heard{Channel: channel}, effects)
			})
			swell.After(lineDelay, func() {
				if client.turn == turn {
					client.heardAt = swell.Now
				}
			})
		})
	})
}

// blame tells the oracle of a visit that a daemon refused.
func (client *TopicClient) blame(code, what string) {
	if !client.unjudged && !client.Gone {
		client.swell.Oracle.RefusedAs(code, what, client.swell.calmSince(), client.swell.Now)
	}
}

// Topics.

// take begins to hold a topic.
func (client *TopicClient) take(topic string) {
	if present, found := client.topics[topic]; found && !present.leaving || client.Gone {
		return
	}
	client.topics[topic] = &taken{topic: topic}
	if client.connected {
		client.subscribe(client.topics[topic])
	}
}

// drop ends holding a topic.
func (client *TopicClient) drop(topic string) {
	present, found := client.topics[topic]
	if !found || present.leaving {
		return
	}
	swell := client.swell
	if present.entry != nil {
		present.entry.End(swell.Now)
	}
	if !client.connected || !present.held && !present.asked {
		delete(client.topics, topic)
		return
	}
	present.leaving = true
	turn := client.turn
	client.say(func(visit uint64) any {
		return lamp.Unsubscribe{Visit: visit, Channel: client.channel, Origin: client.Name, Interests: []lamp.Interest{{Path: topic}}}
	}, func(answer lamp.Answer) {
		if answer.Outcome != lamp.OutcomeAccepted {
			client.cut(turn, true, 0)
			return
		}
		if client.topics[topic] == present {
			delete(client.topics, topic)
		}
	})
}

func (client *TopicClient) subscribe(each *taken) {
	swell, turn, topic := client.swell, client.turn, each.topic
	if each.asked || each.held || each.leaving {
		return
	}
	if each.entry == nil || each.entry.Ended() && each.cursor == "" {
		each.entry = swell.Oracle.Subscribing(client.Name, topic, nil)
	}
	each.asked, each.askedAt = true, swell.Now
	entry, sent := each.entry, swell.Now
	client.say(func(visit uint64) any {
		return lamp.Subscribe{Visit: visit, Channel: client.channel, Origin: client.Name, Interests: []lamp.Interest{{Path: topic}}, Cursor: each.cursor}
	}, func(answer lamp.Answer) {
		if client.topics[topic] != each {
			return
		}
		each.asked = false
		again := func(wait time.Duration) {
			swell.After(wait, func() {
				if client.turn == turn && client.topics[topic] == each {
					client.subscribe(each)
				}
			})
		}
		if answer.Outcome != lamp.OutcomeAccepted {
			swell.trace("%s at %s subscribes to %s from %q: %s %s", client.Name, client.node.Name, topic, each.cursor, answer.Outcome, answer.Code)
		}
		each.nowhere = false
		switch {
		case answer.Outcome == lamp.OutcomeAccepted:
			swell.Oracle.Handled("a subscription", topic, true, sent, swell.Now)
			each.held = true
			if each.leaving {
				return
			}
			entry.Confirmed(client.beganAt, swell.Now)
			if each.cursor == "" {
				each.cursor = answer.Cursor
			}
			swell.save(each)
		case answer.Code == "place-lost":
			entry.Expired(swell.Now)
			each.cursor, each.after, each.entry = "", oracle.Post{}, nil
			again(swell.between(0, 100*time.Millisecond))
		case answer.Code == "no-such-space":
			each.nowhere = true
			swell.Oracle.Handled("a subscription", topic, false, sent, swell.Now)
			again(swell.between(300*time.Millisecond, 900*time.Millisecond))
		case each.leaving:
			// It was taken back before it was answered.
		case answer.Code == "moved" || answer.Code == "no-such-channel":
			client.blameUnlessMoved(answer.Code, "subscription of "+client.Name)
			client.cut(turn, true, swell.between(0, 50*time.Millisecond))
		default:
			if answer.RetryAfter == 0 {
				swell.Oracle.Violate(oracle.PlaceRefused, "%s on %s: %s %s", client.Name, topic, answer.Code, answer.Text)
			}
			client.blame(answer.Code, "subscription of "+client.Name+" to "+topic)
			again(swell.between(100*time.Millisecond, 900*time.Millisecond))
		}
	})
	swell.After(answerPatience+300*time.Millisecond, func() {
		if client.turn == turn && each.asked && client.topics[topic] == each && each.askedAt.Equal(sent) {
			client.blame("silent", "subscription of "+client.Name)
			client.cut(turn, true, 0)
		}
	})
}

func (client *TopicClient) blameUnlessMoved(code, what string) {
	if code != "moved" {
		client.blame(code, what)
	}
}

// holds tells whether all that the caller wants is there.
func (client *TopicClient) holds() bool {
	if !client.connected {
		return false
	}
	for _, each := range client.topics {
		// One that was just taken up is still under way.
		underway := each.asked && client.swell.Now.Sub(each.askedAt) < joinWithin
		if !each.held && !each.leaving && !each.nowhere && !underway {
			return false
		}
	}
	return true
}

func (client *TopicClient) event(turn int, deliver helm.Deliver) {
	if client.turn != turn {
		return
	}
	swell := client.swell
	client.heardAt = swell.Now
	if event, matches := deliver.Event.(lamp.Event); matches {
		switch event.Event {
		case "message":
			client.message(event)
		case "move":
			client.moveTo = event.To
			client.cut(turn, true, swell.between(0, 50*time.Millisecond))
			return
		}
	}
	if deliver.Close {
		client.cut(turn, true, swell.between(0, 100*time.Millisecond))
	}
}

func (client *TopicClient) message(event lamp.Event) {
	swell := client.swell
	name := oracle.Post{Sender: event.Sender, Seq: event.Seq}
	each, found := client.topics[event.Topic]
	swell.trace("%s at %s gets %s/%d on %s, %s", client.Name, client.node.Name, event.Sender, event.Seq, event.Topic, event.Cursor)
	if !found || !each.asked && !each.held || each.entry == nil {
		swell.Oracle.Unasked(client.Name, name, event.Topic)
		return
	}
	if each.leaving {
		return
	}
	each.entry.Got(name, event.Topic, string(event.Body), swell.calmSince(), swell.Now)
	each.cursor, each.after = event.Cursor, name
	swell.save(each)
}

// count asks how many subscribe to a topic.
func (client *TopicClient) count(topic string) {
	if !client.connected {
		return
	}
	swell, sent := client.swell, client.swell.Now
	client.say(func(visit uint64) any {
		return lamp.Count{Visit: visit, Channel: client.channel, Origin: client.Name, Topic: topic}
	}, func(answer lamp.Answer) {
		switch {
		case answer.Outcome == lamp.OutcomeAccepted:
			swell.Oracle.Handled("a count", topic, true, sent, swell.Now)
			swell.Oracle.Counted(topic, answer.Number, swell.calmSince(), swell.Now)
		case answer.Code == "no-such-space":
			swell.Oracle.Handled("a count", topic, false, sent, swell.Now)
		default:
			client.blame(answer.Code, "count by "+client.Name)
		}
	})
}

// Publishing.

// publish sends something new on a topic, if its earlier ones leave room.
func (client *TopicClient) publish(topic string) {
	queue := client.outbox[topic]
	if client.Gone || client.stopped || len(queue) >= client.pipeline || !client.connected {
		return
	}
	item := &posting{topic: topic, wanted: client.swell.Now}
	client.outbox[topic] = append(queue, item)
	client.pump(topic)
}

func (client *TopicClient) pump(topic string) {
	for _, item := range slices.Clone(client.outbox[topic]) {
		if client.connected && !item.inFlight && !item.waits {
			client.try(item)
		}
	}
}

// finish takes a publication from its queue.
func (client *TopicClient) finish(item *posting) {
	client.outbox[item.topic] = slices.DeleteFunc(client.outbox[item.topic], func(other *posting) bool { return other == item })
	if len(client.outbox[item.topic]) == 0 {
		delete(client.outbox, item.topic)
	}
}

func (client *TopicClient) settled(item *posting, outcome, code string) {
	swell := client.swell
	item.inFlight = false
	swell.Oracle.PostAnswered(item.name, outcome, swell.Now)
	if outcome != lamp.OutcomeAccepted && code != "cut-off" && code != "moved" && code != "no-such-space" {
		client.blame(code, fmt.Sprintf("%s/%d on %s", item.name.Sender, item.name.Seq, item.topic))
	}
}

func (client *TopicClient) try(item *posting) {
	swell, turn := client.swell, client.turn
	late := func() bool { return swell.Now.Sub(item.wanted) > topicDeadline }
	if late() {
		client.finish(item)
		return
	}
	if item.name.Seq == 0 {
		client.seq++
		item.name = oracle.Post{Sender: client.Name, Seq: client.seq}
		item.body = fmt.Sprintf("%s's message %d on %s", client.Name, client.seq, item.topic)
	}
	item.inFlight = true
	item.tries++
	name, tries, sent := item.name, item.tries, swell.Now
	swell.Oracle.PostTried(name, item.topic, item.body, item.wanted, sent)
	node := client.node
	again := func(wait time.Duration) {
		item.waits = true
		swell.After(wait, func() {
			if item.waits {
				item.waits = false
				if client.connected && !item.inFlight {
					client.try(item)
				}
			}
		})
	}
	client.post(item, func(answer lamp.Answer) {
		swell.trace("%s/%d try %d at %s on %s: %s %s", name.Sender, name.Seq, tries, node.Name, item.topic, answer.Outcome, answer.Code)
		client.settled(item, answer.Outcome, answer.Code)
		switch {
		case answer.Outcome == lamp.OutcomeAccepted:
			swell.Oracle.Handled("a publication", item.topic, true, sent, swell.Now)
			client.finish(item)
			if swell.Random.IntN(8) == 0 {
				client.resend(item)
			}
		case answer.Outcome == lamp.OutcomeUnsettled:
			again(swell.between(resendAgain/2, 2*resendAgain))
		case answer.Code == "no-such-space":
			swell.Oracle.Handled("a publication", item.topic, false, sent, swell.Now)
			client.finish(item)
		case answer.RetryAfter > 0 || answer.Code == "old-seq":
			if item.renewals++; item.renewals > renewalsMost || late() {
				client.finish(item)
				break
			}
			// What was certainly not done is sent under a new number.
			client.finish(item)
			renewed := &posting{topic: item.topic, wanted: item.wanted, renewals: item.renewals, waits: true}
			client.outbox[item.topic] = append(client.outbox[item.topic], renewed)
			item = renewed
			again(max(answer.RetryAfter, swell.between(resendAgain/2, 2*resendAgain)))
		default:
			swell.Oracle.Violate(oracle.RefusedCalm, "%s/%d on %s: %s %s", name.Sender, name.Seq, item.topic, answer.Code, answer.Text)
			client.finish(item)
		}
		client.pump(item.topic)
	})
	swell.After(answerPatience, func() {
		if client.turn == turn && item.inFlight && item.name == name && item.tries == tries {
			client.blame("silent", fmt.Sprintf("%s/%d on %s", name.Sender, name.Seq, item.topic))
			client.cut(turn, true, 0)
		}
	})
}

func (client *TopicClient) post(item *posting, done func(answer lamp.Answer)) {
	name, topic, body := item.name, item.topic, item.body
	client.say(func(visit uint64) any {
		return lamp.Publish{
			Visit: visit, VisitName: fmt.Sprintf("%s/%d", name.Sender, name.Seq), Origin: client.Name, Sender: client.Name,
			Topic: topic, Seq: name.Seq, Data: []byte(body),
		}
	}, done)
}

// resend sends an accepted number again while that must be acknowledged.
func (client *TopicClient) resend(item *posting) {
	swell, accepted := client.swell, client.swell.Now
	swell.After(swell.between(0, accountableSpan*8/10), func() {
		if !client.connected || client.Gone {
			return
		}
		client.post(item, func(answer lamp.Answer) {
			if answer.Outcome == lamp.OutcomeRefused && answer.RetryAfter == 0 && answer.Code != "no-such-space" && swell.Now.Sub(accepted) < accountableSpan {
				swell.Oracle.Resent(item.name, answer.Code)
			}
		})
	})
}
