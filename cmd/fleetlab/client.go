// The simulated client of a trial: it keeps one long-lived session open, publishes
// messages, and reports to the checker what it sent and received.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/client"
	"dahlialock/internal/httpapi"
	"dahlialock/internal/testfleet"
)

const (
	durableTopics = 1000
	urgentTopics  = 30
)

type trialClient struct {
	run            *trialRun
	name           string
	zone           atomic.Pointer[string]
	absentUntil    atomic.Int64
	temporarySpace string
	caller         *client.Client
	random         *rand.Rand
	interests      []checker.Interest
	subscribed     atomic.Bool
	address        atomic.Pointer[string]
	lastTrace      atomic.Pointer[string]
	resets         chan struct{}
	cancel         context.CancelFunc
	ctx            context.Context
	seqs           map[string]uint64
	rate           float64
	urgent         bool
}

func durableTopic(number int) string { return fmt.Sprintf("project%d/board%d", number/10, number%10) }

func urgentTopic(number int) string { return fmt.Sprintf("farm%d/halt%d", number/10, number%10) }

func (tr *trialRun) newClient(name string, zoneNumber int, seed uint64) *trialClient {
	ctx, cancel := context.WithCancel(context.Background())
	each := &trialClient{
		run: tr, name: name, random: rand.New(rand.NewPCG(tr.trial.seed, seed)), resets: make(chan struct{}, 1),
		ctx: ctx, cancel: cancel, seqs: map[string]uint64{},
	}
	zone := testfleet.ZoneName(zoneNumber)
	each.zone.Store(&zone)
	// Each client connects from a loopback address of its zone.
	each.caller = &client.Client{Token: httpapi.Token([]byte(testfleet.Key), each.name), HTTP: client.NewHTTPClient(testfleet.Prefix(zoneNumber) + "2")}
	each.trace("begins")
	return each
}

func (tr *trialRun) startClients() {
	for number := range tr.trial.origins {
		each := tr.newClient(fmt.Sprintf("origin-%d", number), number%tr.fleet.Deployment.Zones, uint64(number))
		each.urgent = number%10 == 0
		each.rate = tr.trial.durable / float64(tr.trial.origins)
		for range 2 {
			each.interests = append(each.interests, checker.Interest{Space: "boards", Path: durableTopic(each.random.IntN(durableTopics))})
		}
		each.interests = append(each.interests,
			checker.Interest{Space: "urgent", Path: urgentTopic(each.random.IntN(urgentTopics))},
			checker.Interest{Space: "cursors", Path: durableTopic(each.random.IntN(50))})
		if number%40 == 0 {
			each.interests = append(each.interests, checker.Interest{Space: "boards", Path: fmt.Sprintf("project%d", each.random.IntN(100)), Prefix: true})
		}
		if number%60 == 0 {
			each.interests = append(each.interests, checker.Interest{Space: "decisions", Prefix: true})
		}
		if number%120 == 7 {
			each.interests = append(each.interests, checker.Interest{Space: "boards", Prefix: true})
		}
		tr.clients = append(tr.clients, each)
		go each.keepConnected()
	}
}

// probe publishes once to topics of every partition, through any ready gateway, and
// reports whether all publications were accepted.
func (to *trialClient) probe() bool {
	daemon := to.run.platform.pick(to.random, *to.zone.Load())
	if daemon == nil {
		return false
	}
	for number := range 24 {
		to.seqs["boards"]++
		message := checker.Message{Space: "boards", Sender: to.name, Seq: to.seqs["boards"]}
		if outcome, _ := to.attempt(daemon.Caller, message, durableTopic(number), fmt.Sprintf("%q", message.String())); outcome != "accepted" {
			return false
		}
	}
	return true
}

// leave stops the client permanently; the checker expects no further deliveries to it.
func (to *trialClient) leave() {
	to.record(func(checker *checker.Checker) { checker.SubscriberEnded(to.name) })
	to.cancel()
}

func (to *trialClient) record(entry func(checker *checker.Checker)) { to.run.log.record(entry) }

func (to *trialClient) reset() {
	select {
	case to.resets <- struct{}{}:
	default:
	}
}

func (to *trialClient) trace(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	to.lastTrace.Store(&text)
}

func (to *trialClient) stop() { to.cancel() }

func subscriptions(interests []checker.Interest) []client.Subscription {
	var wanted []client.Subscription
	for _, interest := range interests {
		path := interest.Path
		if interest.Prefix {
			wanted = append(wanted, client.Subscription{Space: interest.Space, Prefix: &path})
		} else {
			wanted = append(wanted, client.Subscription{Space: interest.Space, Topic: &path})
		}
	}
	return wanted
}

// keepConnected opens a session and reopens it whenever it ends, until the client is stopped.
func (to *trialClient) keepConnected() {
	cursor, target := "", ""
	var disconnectedAt time.Time
	requested := false
	for to.ctx.Err() == nil {
		if wait := time.Until(time.Unix(0, to.absentUntil.Load())); wait > 0 {
			time.Sleep(min(wait, 100*time.Millisecond))
			continue
		}
		if target == "" {
			if daemon := to.run.platform.pick(to.random, *to.zone.Load()); daemon != nil {
				target = daemon.Caller
			}
		}
		if target == "" {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		to.trace("opening at %s", target)
		began := time.Now()
		channel, err := to.caller.Open(to.ctx, target)
		target = ""
		if err != nil {
			to.trace("opening: %v", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		shown, at := channel.Hello, time.Now()
		to.record(func(checker *checker.Checker) { checker.ServedVersion(shown.Daemon, shown.Version, began, at) })
		if !requested {
			requested = true
			at := time.Now()
			to.record(func(checker *checker.Checker) {
				for _, interest := range to.interests {
					checker.SubscribeRequested(to.name, interest, at)
				}
			})
		}
		if !to.subscribe(channel, &cursor, disconnectedAt) {
			channel.Close()
			continue
		}
		address := channel.Address
		to.address.Store(&address)
		to.subscribed.Store(true)
		target = to.read(channel, &cursor)
		to.subscribed.Store(false)
		to.address.Store(nil)
		channel.Close()
		disconnectedAt = time.Now()
	}
}

func (to *trialClient) subscribe(channel *client.Channel, cursor *string, disconnectedAt time.Time) bool {
	for to.ctx.Err() == nil {
		to.trace("subscribing at %s", channel.Address)
		within, cancel := context.WithTimeout(to.ctx, 3*time.Second)
		wanted := subscriptions(to.interests)
		resumes := *cursor != ""
		if resumes {
			wanted = nil
		}
		answer, err := to.caller.Subscribe(within, channel, wanted, *cursor)
		cancel()
		to.trace("subscribing at %s: %v %+v", channel.Address, err, answer)
		switch {
		case err != nil:
			return false
		case answer.Status == http.StatusOK:
			if answer.Cursor != "" {
				*cursor = answer.Cursor
			}
			if !resumes {
				at := time.Now()
				to.record(func(checker *checker.Checker) {
					for _, interest := range to.interests {
						checker.Subscribed(to.name, interest, at)
					}
				})
			}
			return true
		case answer.Code == "no-such-channel" || answer.Code == "moved":
			return false
		case answer.Code == "no-such-space" && to.temporarySpace != "":
			to.leave()
			return false
		case answer.RetryAfterMs > 0:
			to.rejected(answer.Code, to.name+" subscribes")
			time.Sleep(time.Duration(answer.RetryAfterMs) * time.Millisecond)
		default:
			at := time.Now()
			to.record(func(checker *checker.Checker) {
				checker.CursorExpired(to.name, disconnectedAt, at)
				checker.Violate("place-refused", "%s: %s %s", to.name, answer.Code, answer.Text)
			})
			to.cancel()
			return false
		}
	}
	return false
}

// read handles events until the session ends. It returns the address of the gateway to
// reconnect to, or an empty string if the gateway named none.
func (to *trialClient) read(channel *client.Channel, cursor *string) string {
	silent := time.NewTimer(8 * time.Second)
	defer silent.Stop()
	for {
		select {
		case <-to.ctx.Done():
			return ""
		case <-to.resets:
			return ""
		case <-silent.C:
			return ""
		case event, open := <-channel.Events:
			if !open {
				return ""
			}
			silent.Reset(8 * time.Second)
			if event.Cursor != "" {
				*cursor = event.Cursor
			}
			switch event.Event {
			case "message":
				at := time.Now()
				to.record(func(checker_ *checker.Checker) {
					checker_.Received(to.name, checker.Message{Space: event.Space, Sender: event.Sender, Seq: event.Seq}, event.Topic, string(event.Data), at)
				})
			case "ping":
				go func() {
					within, cancel := context.WithTimeout(to.ctx, 3*time.Second)
					defer cancel()
					_ = to.caller.Pong(within, channel)
				}()
			case "move":
				return event.To
			case "gone":
				return ""
			}
		}
	}
}

// start begins to publish: durable messages at the client's share of the load and a few
// ephemeral ones; every tenth client also publishes urgent messages and messages in a shared order.
func (to *trialClient) start() { go to.publishAll() }

func (to *trialClient) publishAll() {
	spaces := []struct {
		space string
		rate  float64
		topic func() string
	}{
		{"boards", to.rate, func() string { return durableTopic(to.random.IntN(durableTopics)) }},
		{"cursors", 0.05, func() string { return durableTopic(to.random.IntN(50)) }},
		{"urgent", 0, func() string { return urgentTopic(to.random.IntN(urgentTopics)) }},
		{"decisions", 0, func() string { return fmt.Sprintf("board%d", to.random.IntN(5)) }},
	}
	if to.urgent {
		fraction := float64(max(1, to.run.trial.origins/10))
		spaces[2].rate, spaces[3].rate = to.run.trial.urgent/fraction, 4/fraction
	}
	if to.temporarySpace != "" {
		spaces = spaces[:1]
		spaces[0].space, spaces[0].rate, spaces[0].topic = to.temporarySpace, 5, func() string { return "a/b" }
	}
	next := make([]time.Time, len(spaces))
	wait := func(rate float64) time.Duration {
		return time.Duration(to.random.ExpFloat64() / rate * float64(time.Second))
	}
	for position := range spaces {
		if spaces[position].rate > 0 {
			next[position] = time.Now().Add(wait(spaces[position].rate))
		}
	}
	for {
		earliest := -1
		for position := range spaces {
			if !next[position].IsZero() && (earliest < 0 || next[position].Before(next[earliest])) {
				earliest = position
			}
		}
		select {
		case <-to.run.loadEnded:
			return
		case <-to.ctx.Done():
			return
		case <-time.After(time.Until(next[earliest])):
		}
		chosen := spaces[earliest]
		next[earliest] = time.Now().Add(wait(chosen.rate))
		to.seqs[chosen.space]++
		to.publish(checker.Message{Space: chosen.space, Sender: to.name, Seq: to.seqs[chosen.space]}, chosen.topic())
	}
}

// publish retries one message until it is accepted or finally rejected.
func (to *trialClient) publish(message checker.Message, topic string) {
	data := fmt.Sprintf("%q", message.String()+" with some text such as a note on a board would have")
	for to.ctx.Err() == nil {
		address := to.address.Load()
		if address == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		outcome, again := to.attempt(*address, message, topic, data)
		if outcome == "accepted" || again == 0 {
			return
		}
		time.Sleep(again)
	}
}

// attempt sends one message once and returns its outcome and the delay before a retry;
// no delay means that the message must not be retried.
func (to *trialClient) attempt(address string, message checker.Message, topic, data string) (string, time.Duration) {
	began := time.Now()
	to.record(func(checker *checker.Checker) { checker.Attempt(message, topic, data, began) })
	within, cancel := context.WithTimeout(to.ctx, 2500*time.Millisecond)
	answer, err := to.caller.Publish(within, address, message.Space, topic, message.Seq, rawJSON(data))
	cancel()
	at := time.Now()
	outcome, code, again := "unsettled", "cut-off", 50*time.Millisecond
	if err == nil {
		outcome, code, again = answer.Outcome, answer.Code, time.Duration(answer.RetryAfterMs)*time.Millisecond
	}
	to.record(func(checker *checker.Checker) { checker.Answered(message, outcome, began, at) })
	if outcome != "accepted" && to.ctx.Err() == nil && to.temporarySpace == "" && code != "earlier-refused" && code != "moved" {
		to.rejected(code, message.String())
	}
	return outcome, again
}

func (to *trialClient) rejected(code, what string) {
	calm, at := to.run.stableSince(), time.Now()
	to.record(func(checker *checker.Checker) { checker.RequestRejected(code, what, calm, at) })
}

type rawJSON string

// MarshalJSON returns the text unchanged.
//
//nolint:unparam // the interface json.Marshaler has an error
func (rj rawJSON) MarshalJSON() ([]byte, error) { return []byte(rj), nil }
