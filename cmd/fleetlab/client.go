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
	for number := range tr.trial.clients {
		each := tr.newClient(fmt.Sprintf("origin-%d", number), number%tr.fleet.Deployment.Zones, uint64(number))
		each.urgent = number%10 == 0
		each.rate = tr.trial.durable / float64(tr.trial.clients)
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
func (tc *trialClient) probe() bool {
	daemon := tc.run.platform.pick(tc.random, *tc.zone.Load())
	if daemon == nil {
		return false
	}
	for number := range 24 {
		tc.seqs["boards"]++
		message := checker.Message{Space: "boards", Sender: tc.name, Seq: tc.seqs["boards"]}
		if outcome, _ := tc.attempt(daemon.Caller, message, durableTopic(number), fmt.Sprintf("%q", message.String())); outcome != "accepted" {
			return false
		}
	}
	return true
}

// leave stops the client permanently; the checker expects no further deliveries to it.
func (tc *trialClient) leave() {
	tc.record(func(checker *checker.Checker) { checker.SubscriberEnded(tc.name) })
	tc.cancel()
}

func (tc *trialClient) record(entry func(checker *checker.Checker)) { tc.run.log.record(entry) }

func (tc *trialClient) reset() {
	select {
	case tc.resets <- struct{}{}:
	default:
	}
}

func (tc *trialClient) trace(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	tc.lastTrace.Store(&text)
}

func (tc *trialClient) stop() { tc.cancel() }

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
func (tc *trialClient) keepConnected() {
	cursor, target := "", ""
	var disconnectedAt time.Time
	requested := false
	for tc.ctx.Err() == nil {
		if wait := time.Until(time.Unix(0, tc.absentUntil.Load())); wait > 0 {
			time.Sleep(min(wait, 100*time.Millisecond))
			continue
		}
		if target == "" {
			if daemon := tc.run.platform.pick(tc.random, *tc.zone.Load()); daemon != nil {
				target = daemon.Caller
			}
		}
		if target == "" {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		tc.trace("opening at %s", target)
		began := time.Now()
		channel, err := tc.caller.Open(tc.ctx, target)
		target = ""
		if err != nil {
			tc.trace("opening: %v", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		hello, at := channel.Hello, time.Now()
		tc.record(func(checker *checker.Checker) { checker.ServedVersion(hello.Daemon, hello.Version, began, at) })
		if !requested {
			requested = true
			at := time.Now()
			tc.record(func(checker *checker.Checker) {
				for _, interest := range tc.interests {
					checker.SubscribeRequested(tc.name, interest, at)
				}
			})
		}
		if !tc.subscribe(channel, &cursor, disconnectedAt) {
			channel.Close()
			continue
		}
		address := channel.Address
		tc.address.Store(&address)
		tc.subscribed.Store(true)
		target = tc.read(channel, &cursor)
		tc.subscribed.Store(false)
		tc.address.Store(nil)
		channel.Close()
		disconnectedAt = time.Now()
	}
}

func (tc *trialClient) subscribe(channel *client.Channel, cursor *string, disconnectedAt time.Time) bool {
	for tc.ctx.Err() == nil {
		tc.trace("subscribing at %s", channel.Address)
		within, cancel := context.WithTimeout(tc.ctx, 3*time.Second)
		wanted := subscriptions(tc.interests)
		resumes := *cursor != ""
		if resumes {
			wanted = nil
		}
		answer, err := tc.caller.Subscribe(within, channel, wanted, *cursor)
		cancel()
		tc.trace("subscribing at %s: %v %+v", channel.Address, err, answer)
		switch {
		case err != nil:
			return false
		case answer.Status == http.StatusOK:
			if answer.Cursor != "" {
				*cursor = answer.Cursor
			}
			if !resumes {
				at := time.Now()
				tc.record(func(checker *checker.Checker) {
					for _, interest := range tc.interests {
						checker.Subscribed(tc.name, interest, at)
					}
				})
			}
			return true
		case answer.Code == "no-such-channel" || answer.Code == "moved":
			return false
		case answer.Code == "no-such-space" && tc.temporarySpace != "":
			tc.leave()
			return false
		case answer.RetryAfterMs > 0:
			tc.rejected(answer.Code, tc.name+" subscribes")
			time.Sleep(time.Duration(answer.RetryAfterMs) * time.Millisecond)
		default:
			at := time.Now()
			tc.record(func(checker *checker.Checker) {
				checker.CursorExpired(tc.name, disconnectedAt, at)
				checker.Violate("place-refused", "%s: %s %s", tc.name, answer.Code, answer.Text)
			})
			tc.cancel()
			return false
		}
	}
	return false
}

// read handles events until the session ends. It returns the address of the gateway to
// reconnect to, or an empty string if the gateway named none.
func (tc *trialClient) read(channel *client.Channel, cursor *string) string {
	silent := time.NewTimer(8 * time.Second)
	defer silent.Stop()
	for {
		select {
		case <-tc.ctx.Done():
			return ""
		case <-tc.resets:
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
				tc.record(func(checker_ *checker.Checker) {
					checker_.Received(tc.name, checker.Message{Space: event.Space, Sender: event.Sender, Seq: event.Seq}, event.Topic, string(event.Data), at)
				})
			case "ping":
				go func() {
					within, cancel := context.WithTimeout(tc.ctx, 3*time.Second)
					defer cancel()
					_ = tc.caller.Pong(within, channel)
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
func (tc *trialClient) start() { go tc.publishAll() }

func (tc *trialClient) publishAll() {
	spaces := []struct {
		space string
		rate  float64
		topic func() string
	}{
		{"boards", tc.rate, func() string { return durableTopic(tc.random.IntN(durableTopics)) }},
		{"cursors", 0.05, func() string { return durableTopic(tc.random.IntN(50)) }},
		{"urgent", 0, func() string { return urgentTopic(tc.random.IntN(urgentTopics)) }},
		{"decisions", 0, func() string { return fmt.Sprintf("board%d", tc.random.IntN(5)) }},
	}
	if tc.urgent {
		fraction := float64(max(1, tc.run.trial.clients/10))
		spaces[2].rate, spaces[3].rate = tc.run.trial.urgent/fraction, 4/fraction
	}
	if tc.temporarySpace != "" {
		spaces = spaces[:1]
		spaces[0].space, spaces[0].rate, spaces[0].topic = tc.temporarySpace, 5, func() string { return "a/b" }
	}
	next := make([]time.Time, len(spaces))
	wait := func(rate float64) time.Duration {
		return time.Duration(tc.random.ExpFloat64() / rate * float64(time.Second))
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
		case <-tc.run.loadEnded:
			return
		case <-tc.ctx.Done():
			return
		case <-time.After(time.Until(next[earliest])):
		}
		chosen := spaces[earliest]
		next[earliest] = time.Now().Add(wait(chosen.rate))
		tc.seqs[chosen.space]++
		tc.publish(checker.Message{Space: chosen.space, Sender: tc.name, Seq: tc.seqs[chosen.space]}, chosen.topic())
	}
}

// publish retries one message until it is accepted or finally rejected.
func (tc *trialClient) publish(message checker.Message, topic string) {
	data := fmt.Sprintf("%q", message.String()+" with some text such as a note on a board would have")
	for tc.ctx.Err() == nil {
		address := tc.address.Load()
		if address == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		outcome, again := tc.attempt(*address, message, topic, data)
		if outcome == "accepted" || again == 0 {
			return
		}
		time.Sleep(again)
	}
}

// attempt sends one message once and returns its outcome and the delay before a retry;
// no delay means that the message must not be retried.
func (tc *trialClient) attempt(address string, message checker.Message, topic, data string) (string, time.Duration) {
	began := time.Now()
	tc.record(func(checker *checker.Checker) { checker.Attempt(message, topic, data, began) })
	within, cancel := context.WithTimeout(tc.ctx, 2500*time.Millisecond)
	answer, err := tc.caller.Publish(within, address, message.Space, topic, message.Seq, rawJSON(data))
	cancel()
	at := time.Now()
	outcome, code, again := "unsettled", "cut-off", 50*time.Millisecond
	if err == nil {
		outcome, code, again = answer.Outcome, answer.Code, time.Duration(answer.RetryAfterMs)*time.Millisecond
	}
	tc.record(func(checker *checker.Checker) { checker.Answered(message, outcome, began, at) })
	if outcome != "accepted" && tc.ctx.Err() == nil && tc.temporarySpace == "" && code != "earlier-refused" && code != "moved" {
		tc.rejected(code, message.String())
	}
	return outcome, again
}

func (tc *trialClient) rejected(code, what string) {
	calm, at := tc.run.stableSince(), time.Now()
	tc.record(func(checker *checker.Checker) { checker.RequestRejected(code, what, calm, at) })
}

type rawJSON string

// MarshalJSON returns the text unchanged.
//
//nolint:unparam // the interface json.Marshaler has an error
func (rj rawJSON) MarshalJSON() ([]byte, error) { return []byte(rj), nil }
