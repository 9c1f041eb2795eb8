// A stand-in origin of a trial: one client program with a long channel and a
// publishing side, honest about what it saw.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"dahlialock/internal/caller"
	"dahlialock/internal/fleet"
	"dahlialock/internal/mooring"
	"dahlialock/internal/oracle"
)

const (
	keptTopics   = 1000
	urgentTopics = 30
)

type trialOrigin struct {
	run       *trialRun
	name      string
	locality  atomic.Pointer[string]
	awayUntil atomic.Int64
	brief     string
	caller    *caller.Caller
	random    *rand.Rand
	interests []oracle.Interest
	served    atomic.Bool
	address   atomic.Pointer[string]
	last      atomic.Pointer[string]
	resets    chan struct{}
	cancel    context.CancelFunc
	living    context.Context
	seqs      map[string]uint64
	rate      float64
	urgent    bool
}

func keptTopic(number int) string { return fmt.Sprintf("project%d/board%d", number/10, number%10) }

func urgentTopic(number int) string { return fmt.Sprintf("farm%d/halt%d", number/10, number%10) }

func (run *trialRun) newOrigin(name string, place int, seed uint64) *trialOrigin {
	living, cancel := context.WithCancel(context.Background())
	each := &trialOrigin{
		run: run, name: name, random: rand.New(rand.NewPCG(run.trial.seed, seed)), resets: make(chan struct{}, 1),
		living: living, cancel: cancel, seqs: map[string]uint64{},
	}
	locality := fleet.Place(place)
	each.locality.Store(&locality)
	// Each caller comes from an address of its own locality.
	each.caller = &caller.Caller{Token: mooring.Token([]byte(fleet.Key), each.name), HTTP: caller.NewClient(fleet.Prefix(place) + "2")}
	each.tell("begins")
	return each
}

func (run *trialRun) startOrigins() {
	for number := range run.trial.origins {
		each := run.newOrigin(fmt.Sprintf("origin-%d", number), number%run.fleet.Deployment.Places, uint64(number))
		each.urgent = number%10 == 0
		each.rate = run.trial.kept / float64(run.trial.origins)
		for range 2 {
			each.interests = append(each.interests, oracle.Interest{Space: "boards", Path: keptTopic(each.random.IntN(keptTopics))})
		}
		each.interests = append(each.interests,
			oracle.Interest{Space: "urgent", Path: urgentTopic(each.random.IntN(urgentTopics))},
			oracle.Interest{Space: "cursors", Path: keptTopic(each.random.IntN(50))})
		if number%40 == 0 {
			each.interests = append(each.interests, oracle.Interest{Space: "boards", Path: fmt.Sprintf("project%d", each.random.IntN(100)), Wide: true})
		}
		if number%60 == 0 {
			each.interests = append(each.interests, oracle.Interest{Space: "decisions", Wide: true})
		}
		if number%120 == 7 {
			each.interests = append(each.interests, oracle.Interest{Space: "boards", Wide: true})
		}
		run.origins = append(run.origins, each)
		go each.live()
	}
}

// probe publishes once to topics of every strand, through any ready lantern, and
// tells whether all were accepted.
func (origin *trialOrigin) probe() bool {
	daemon := origin.run.platform.pick(origin.random, *origin.locality.Load())
	if daemon == nil {
		return false
	}
	for number := range 24 {
		origin.seqs["boards"]++
		message := oracle.Message{Space: "boards", Sender: origin.name, Seq: origin.seqs["boards"]}
		if outcome, _ := origin.try(daemon.Caller, message, keptTopic(number), fmt.Sprintf("%q", message.String())); outcome != "accepted" {
			return false
		}
	}
	return true
}

// leave ends an origin for good; nothing more is owed to it.
func (origin *trialOrigin) leave() {
	origin.note(func(oracle *oracle.Oracle) { oracle.Dropped(origin.name) })
	origin.cancel()
}

func (origin *trialOrigin) note(entry func(oracle *oracle.Oracle)) { origin.run.book.note(entry) }

func (origin *trialOrigin) reset() {
	select {
	case origin.resets <- struct{}{}:
	default:
	}
}

func (origin *trialOrigin) tell(text string, values ...any) {
	line := fmt.Sprintf(text, values...)
	origin.last.Store(&line)
}

func (origin *trialOrigin) stop() { origin.cancel() }

func subscriptions(interests []oracle.Interest) []caller.Subscription {
	var wanted []caller.Subscription
	for _, interest := range interests {
		path := interest.Path
		if interest.Wide {
			wanted = append(wanted, caller.Subscription{Space: interest.Space, Prefix: &path})
		} else {
			wanted = append(wanted, caller.Subscription{Space: interest.Space, Topic: &path})
		}
	}
	return wanted
}

// live keeps the channel open, again and again, until it is stopped.
func (origin *trialOrigin) live() {
	cursor, target := "", ""
	var cutAt time.Time
	asked := false
	for origin.living.Err() == nil {
		if wait := time.Until(time.Unix(0, origin.awayUntil.Load())); wait > 0 {
			time.Sleep(min(wait, 100*time.Millisecond))
			continue
		}
		if target == "" {
			if daemon := origin.run.platform.pick(origin.random, *origin.locality.Load()); daemon != nil {
				target = daemon.Caller
			}
		}
		if target == "" {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		origin.tell("opening at %s", target)
		began := time.Now()
		channel, fault := origin.caller.Open(origin.living, target)
		target = ""
		if fault != nil {
			origin.tell("opening: %v", fault)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		shown, at := channel.Hello, time.Now()
		origin.note(func(oracle *oracle.Oracle) { oracle.Showed(shown.Daemon, shown.Version, began, at) })
		if !asked {
			asked = true
			at := time.Now()
			origin.note(func(oracle *oracle.Oracle) {
				for _, interest := range origin.interests {
					oracle.Asked(origin.name, interest, at)
				}
			})
		}
		if !origin.subscribe(channel, &cursor, cutAt) {
			channel.Close()
			continue
		}
		address := channel.Address
		origin.address.Store(&address)
		origin.served.Store(true)
		target = origin.read(channel, &cursor)
		origin.served.Store(false)
		origin.address.Store(nil)
		channel.Close()
		cutAt = time.Now()
	}
}

func (origin *trialOrigin) subscribe(channel *caller.Channel, cursor *string, cutAt time.Time) bool {
	for origin.living.Err() == nil {
		origin.tell("subscribing at %s", channel.Address)
		within, cancel := context.WithTimeout(origin.living, 3*time.Second)
		wanted := subscriptions(origin.interests)
		resumes := *cursor != ""
		if resumes {
			wanted = nil
		}
		answer, fault := origin.caller.Subscribe(within, channel, wanted, *cursor)
		cancel()
		origin.tell("subscribing at %s: %v %+v", channel.Address, fault, answer)
		switch {
		case fault != nil:
			return false
		case answer.Status == http.StatusOK:
			if answer.Cursor != "" {
				*cursor = answer.Cursor
			}
			if !resumes {
				at := time.Now()
				origin.note(func(oracle *oracle.Oracle) {
					for _, interest := range origin.interests {
						oracle.Subscribed(origin.name, interest, at)
					}
				})
			}
			return true
		case answer.Code == "no-such-channel" || answer.Code == "moved":
			return false
		case answer.Code == "no-such-space" && origin.brief != "":
			origin.leave()
			return false
		case answer.RetryAfterMs > 0:
			origin.refused(answer.Code, origin.name+" subscribes")
			time.Sleep(time.Duration(answer.RetryAfterMs) * time.Millisecond)
		default:
			at := time.Now()
			origin.note(func(oracle *oracle.Oracle) {
				oracle.PlaceLost(origin.name, cutAt, at)
				oracle.Violate("place-refused", "%s: %s %s", origin.name, answer.Code, answer.Text)
			})
			origin.cancel()
			return false
		}
	}
	return false
}

// read takes events until the channel ends, and tells where to move to.
func (origin *trialOrigin) read(channel *caller.Channel, cursor *string) string {
	silent := time.NewTimer(8 * time.Second)
	defer silent.Stop()
	for {
		select {
		case <-origin.living.Done():
			return ""
		case <-origin.resets:
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
				origin.note(func(oracle_ *oracle.Oracle) {
					oracle_.Got(origin.name, oracle.Message{Space: event.Space, Sender: event.Sender, Seq: event.Seq}, event.Topic, string(event.Data), at)
				})
			case "ping":
				go func() {
					within, cancel := context.WithTimeout(origin.living, 3*time.Second)
					defer cancel()
					_ = origin.caller.Pong(within, channel)
				}()
			case "move":
				return event.To
			case "gone":
				return ""
			}
		}
	}
}

// start begins to publish: kept messages at the origin's share of the load, a
// few urgent ones from every tenth, and some passing and shared-order ones.
func (origin *trialOrigin) start() { go origin.publishAll() }

func (origin *trialOrigin) publishAll() {
	spaces := []struct {
		space string
		rate  float64
		topic func() string
	}{
		{"boards", origin.rate, func() string { return keptTopic(origin.random.IntN(keptTopics)) }},
		{"cursors", 0.05, func() string { return keptTopic(origin.random.IntN(50)) }},
		{"urgent", 0, func() string { return urgentTopic(origin.random.IntN(urgentTopics)) }},
		{"decisions", 0, func() string { return fmt.Sprintf("board%d", origin.random.IntN(5)) }},
	}
	if origin.urgent {
		share := float64(max(1, origin.run.trial.origins/10))
		spaces[2].rate, spaces[3].rate = origin.run.trial.urgent/share, 4/share
	}
	if origin.brief != "" {
		spaces = spaces[:1]
		spaces[0].space, spaces[0].rate, spaces[0].topic = origin.brief, 5, func() string { return "a/b" }
	}
	next := make([]time.Time, len(spaces))
	wait := func(rate float64) time.Duration {
		return time.Duration(origin.random.ExpFloat64() / rate * float64(time.Second))
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
		case <-origin.run.quiet:
			return
		case <-origin.living.Done():
			return
		case <-time.After(time.Until(next[earliest])):
		}
		chosen := spaces[earliest]
		next[earliest] = time.Now().Add(wait(chosen.rate))
		origin.seqs[chosen.space]++
		origin.publish(oracle.Message{Space: chosen.space, Sender: origin.name, Seq: origin.seqs[chosen.space]}, chosen.topic())
	}
}

// publish sends one message until its fate is settled.
func (origin *trialOrigin) publish(message oracle.Message, topic string) {
	data := fmt.Sprintf("%q", message.String()+" with some text such as a note on a board would have")
	for origin.living.Err() == nil {
		address := origin.address.Load()
		if address == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		outcome, again := origin.try(*address, message, topic, data)
		if outcome == "accepted" || again == 0 {
			return
		}
		time.Sleep(again)
	}
}

// try sends one seq once, and tells how it ended and when to try again.
func (origin *trialOrigin) try(address string, message oracle.Message, topic, data string) (string, time.Duration) {
	began := time.Now()
	origin.note(func(oracle *oracle.Oracle) { oracle.Try(message, topic, data, began) })
	within, cancel := context.WithTimeout(origin.living, 2500*time.Millisecond)
	answer, fault := origin.caller.Publish(within, address, message.Space, topic, message.Seq, rawJSON(data))
	cancel()
	at := time.Now()
	outcome, code, again := "unsettled", "cut-off", 50*time.Millisecond
	if fault == nil {
		outcome, code, again = answer.Outcome, answer.Code, time.Duration(answer.RetryAfterMs)*time.Millisecond
	}
	origin.note(func(oracle *oracle.Oracle) { oracle.Answered(message, outcome, began, at) })
	if outcome != "accepted" && origin.living.Err() == nil && origin.brief == "" && code != "earlier-refused" && code != "moved" {
		origin.refused(code, message.String())
	}
	return outcome, again
}

func (origin *trialOrigin) refused(code, what string) {
	calm, at := origin.run.calmSince(), time.Now()
	origin.note(func(oracle *oracle.Oracle) { oracle.RefusedAs(code, what, calm, at) })
}

type rawJSON string

// MarshalJSON gives the text as it is.
func (raw rawJSON) MarshalJSON() ([]byte, error) { return []byte(raw), nil }
