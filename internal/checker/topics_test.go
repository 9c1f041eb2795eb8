// Each kind of violation that clients of routed topics can observe is planted in an otherwise
// correct run, and the checker must report that kind and no other.
package checker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var topicStart = time.Unix(5000, 0)

func moment(seconds float64) time.Time {
	return topicStart.Add(time.Duration(seconds * float64(time.Second)))
}

// topicRun is a run of two subscribers, ada and bob, of durable and ephemeral topics, on which
// cy and dan publish.
type topicRun struct {
	*Checker
	subscriptions map[string]*Subscription
}

const (
	keptTopic    = "board.a"
	passingTopic = "halt.a"
	guestTopic   = "guest.a"
)

func correctTopicRun() *topicRun {
	run := &topicRun{Checker: New(), subscriptions: map[string]*Subscription{}}
	run.DefineRoute("board.", true, HoldingTime)
	run.DefineRoute("halt.", false, 0)
	run.DefineRoute("guest.", true, HoldingTime)
	run.RoutesSent(1, []string{"board.", "halt.", "guest."}, moment(-10))
	run.RoutesAccepted(1, moment(-9.9))
	for _, name := range []string{"ada", "bob"} {
		for _, topic := range []string{keptTopic, passingTopic, guestTopic} {
			run.subscriptions[name+" "+topic] = run.Subscribing(name, topic, nil)
			run.subscriptions[name+" "+topic].Confirmed(moment(-0.1), moment(0))
		}
	}
	for number := range 4 {
		run.send("cy", uint64(3*number+1), keptTopic, float64(number+1))
		run.send("dan", uint64(3*number+2), passingTopic, float64(number)+1.2)
		run.send("cy", uint64(3*number+3), guestTopic, float64(number)+1.4)
	}
	run.Handled("a count", "nowhere.a", false, moment(5), moment(5.1))
	run.Handled("a publication", guestTopic, true, moment(5), moment(5.1))
	run.Counted(keptTopic, 2, moment(-60), moment(5.9))
	// Client eve resumes from the cursor that ada received with cy's second message.
	taker := run.Subscribing("eve", keptTopic, &SavedCursor{Topic: keptTopic, After: Post{"cy", 4}, At: moment(2.1)})
	taker.Confirmed(moment(6), moment(6.1))
	run.gets(taker, "cy", 7, 6.2)
	run.gets(taker, "cy", 10, 6.2)
	run.subscriptions["eve "+keptTopic] = taker
	return run
}

func bodyOf(sender string, seq uint64) string { return fmt.Sprintf("%s's %d", sender, seq) }

func (tr *topicRun) try(sender string, seq uint64, topic, outcome string, at float64) {
	name := Post{sender, seq}
	tr.PostAttempted(name, topic, bodyOf(sender, seq), moment(at), moment(at))
	tr.PostAnswered(name, outcome, moment(at+0.01))
}

// gets records the receipt of a message, with calmSince at the receipt, so that a late
// delivery is no violation.
func (tr *topicRun) gets(subscription *Subscription, sender string, seq uint64, at float64) {
	subscription.Received(Post{sender, seq}, subscription.topic, bodyOf(sender, seq), moment(at), moment(at))
}

func (tr *topicRun) send(sender string, seq uint64, topic string, at float64) {
	tr.try(sender, seq, topic, "accepted", at)
	tr.deliver(sender, seq, topic, at+0.02)
}

func (tr *topicRun) deliver(sender string, seq uint64, topic string, at float64) {
	for _, name := range []string{"ada", "bob", "eve"} {
		if subscription, found := tr.subscriptions[name+" "+topic]; found {
			tr.gets(subscription, sender, seq, at)
		}
	}
}

func TestEachViolationOfRoutedTopicsIsNamed(t *testing.T) {
	plants := []struct {
		kind  string
		what  string
		plant func(run *topicRun, ada, bob *Subscription)
	}{
		{"", "a correct run", func(*topicRun, *Subscription, *Subscription) {}},
		{Duplicate, "a duplicate message", func(run *topicRun, ada, _ *Subscription) { run.gets(ada, "cy", 10, 9) }},
		{Duplicate, "a duplicate message after a reconnect", func(run *topicRun, ada, _ *Subscription) {
			ada.Disconnected(moment(7))
			ada.Confirmed(moment(8), moment(8.1))
			run.gets(ada, "cy", 10, 9)
		}},
		{Duplicate, "the message before a saved cursor", func(run *topicRun, _, _ *Subscription) {
			taker := run.Subscribing("fay", keptTopic, &SavedCursor{Topic: keptTopic, After: Post{"cy", 4}, At: moment(2.1)})
			taker.Confirmed(moment(7), moment(7.1))
			for _, seq := range []uint64{4, 7, 10} {
				run.gets(taker, "cy", seq, 7.2)
			}
		}},
		{Duplicate, "an accepted sequence number is rejected", func(run *topicRun, _, _ *Subscription) { run.ResendRejected(Post{"cy", 10}, "old-seq") }},
		{OutOfOrder, "an earlier message of a sender, on one connection", func(run *topicRun, _, _ *Subscription) {
			run.try("dan", 20, passingTopic, "unsettled", 7)
			run.try("dan", 21, passingTopic, "accepted", 7.1)
			run.deliver("dan", 21, passingTopic, 7.2)
			run.gets(run.subscriptions["bob "+passingTopic], "dan", 20, 7.3)
		}},
		{OutOfOrder, "an earlier message of a sender, on a later connection", func(run *topicRun, _, bob *Subscription) {
			run.try("cy", 20, keptTopic, "unsettled", 7)
			run.try("cy", 21, keptTopic, "accepted", 7.1)
			run.deliver("cy", 21, keptTopic, 7.2)
			bob.Disconnected(moment(7.3))
			bob.Confirmed(moment(8), moment(8.1))
			run.gets(bob, "cy", 20, 8.2)
		}},
		{Skipped, "a later message of a sender arrives without an earlier one", func(run *topicRun, ada, _ *Subscription) {
			run.try("cy", 20, keptTopic, "accepted", 7)
			run.gets(run.subscriptions["bob "+keptTopic], "cy", 20, 7.1)
			run.gets(run.subscriptions["eve "+keptTopic], "cy", 20, 7.1)
			run.send("cy", 21, keptTopic, 7.2)
		}},
		{OrderMismatch, "two subscribers receive different orders", func(run *topicRun, ada, bob *Subscription) {
			run.try("cy", 20, keptTopic, "accepted", 7)
			run.try("dan", 20, keptTopic, "accepted", 7)
			for _, each := range []*Subscription{ada, run.subscriptions["eve "+keptTopic]} {
				run.gets(each, "cy", 20, 7.1)
				run.gets(each, "dan", 20, 7.2)
			}
			run.gets(bob, "dan", 20, 7.1)
			run.gets(bob, "cy", 20, 7.2)
		}},
		{CursorRejected, "a cursor is rejected, though no message is missing", func(_ *topicRun, ada, _ *Subscription) { ada.Expired(moment(60)) }},
		{CursorRejected, "a cursor is rejected, though all missing messages are within the holding time", func(run *topicRun, ada, _ *Subscription) {
			ada.Disconnected(moment(6))
			run.try("cy", 20, keptTopic, "accepted", 26)
			run.gets(run.subscriptions["bob "+keptTopic], "cy", 20, 26.1)
			run.gets(run.subscriptions["eve "+keptTopic], "cy", 20, 26.1)
			ada.Expired(moment(60))
		}},
		{CursorRejected, "a saved cursor is rejected", func(run *topicRun, _, _ *Subscription) {
			run.Subscribing("fay", keptTopic, &SavedCursor{Topic: keptTopic, After: Post{"cy", 4}, At: moment(2.1)}).Expired(moment(20))
		}},
		{Lost, "a message after a saved cursor is not delivered", func(run *topicRun, _, _ *Subscription) {
			taker := run.Subscribing("fay", keptTopic, &SavedCursor{Topic: keptTopic, After: Post{"cy", 4}, At: moment(2.1)})
			taker.Confirmed(moment(7), moment(7.1))
			run.gets(taker, "cy", 7, 7.2)
		}},
		{Lost, "a message is not delivered to a subscriber", func(run *topicRun, ada, _ *Subscription) {
			run.try("cy", 20, keptTopic, "accepted", 7)
			run.gets(run.subscriptions["bob "+keptTopic], "cy", 20, 7.1)
			run.gets(run.subscriptions["eve "+keptTopic], "cy", 20, 7.1)
		}},
		{Unsolicited, "a message that was never sent", func(run *topicRun, ada, _ *Subscription) { run.gets(ada, "cy", 99, 7) }},
		{Unsolicited, "a message with another body", func(run *topicRun, ada, _ *Subscription) {
			run.try("dan", 20, passingTopic, "accepted", 7)
			run.subscriptions["ada "+passingTopic].Received(Post{"dan", 20}, passingTopic, "other", moment(7), moment(7.1))
		}},
		{Unsolicited, "a message on another topic", func(run *topicRun, ada, _ *Subscription) {
			run.try("dan", 20, passingTopic, "accepted", 7)
			ada.Received(Post{"dan", 20}, passingTopic, bodyOf("dan", 20), moment(7), moment(7.1))
		}},
		{Unsolicited, "a message on a topic after unsubscribing", func(run *topicRun, _, _ *Subscription) { run.UnsolicitedPost("ada", Post{"cy", 10}, keptTopic) }},
		{BrokenPromise, "a message that was denied for good after an attempt without an answer", func(run *topicRun, _, _ *Subscription) {
			run.try("cy", 11, keptTopic, "unsettled", 8)
			run.PostDenied(Post{"cy", 11}, moment(8.5))
			run.deliver("cy", 11, keptTopic, 9)
		}},
		{AllRejected, "a message of which every attempt was rejected", func(run *topicRun, _, _ *Subscription) {
			run.try("dan", 20, passingTopic, "refused", 7)
			run.deliver("dan", 20, passingTopic, 7.1)
		}},
		{AfterRemoval, "a message after its route was removed", func(run *topicRun, _, _ *Subscription) {
			run.RoutesSent(2, []string{"board.", "halt."}, moment(7))
			run.RoutesAccepted(2, moment(7.1))
			run.try("cy", 20, guestTopic, "unsettled", 10.2)
			run.deliver("cy", 20, guestTopic, 10.3)
		}},
		{WrongRoute, "a removed route is still handled", func(run *topicRun, _, _ *Subscription) {
			run.RoutesSent(2, []string{"board.", "halt."}, moment(7))
			run.RoutesAccepted(2, moment(7.1))
			run.Handled("a publication", guestTopic, true, moment(10.2), moment(10.3))
		}},
		{WrongRoute, "an existing route is rejected", func(run *topicRun, _, _ *Subscription) {
			run.Handled("a subscription", guestTopic, false, moment(7), moment(7.1))
		}},
		{VersionWentBack, "a version goes back", func(run *topicRun, _, _ *Subscription) {
			run.ServedVersion("gateway", 2, moment(1), moment(1))
			run.ServedVersion("gateway", 1, moment(2), moment(2))
		}},
		{Presence, "too few are counted", func(run *topicRun, _, _ *Subscription) {
			for number := range 4 {
				run.Subscribing(fmt.Sprint(number), passingTopic, nil).Confirmed(moment(0), moment(0.1))
			}
			run.Counted(passingTopic, 3, moment(-60), moment(6))
		}},
		{Presence, "too many are counted", func(run *topicRun, ada, _ *Subscription) {
			ada.Disconnected(moment(5))
			run.Counted(keptTopic, 5, moment(-60), moment(11))
		}},
		{LateInCalm, "a message is late without faults", func(run *topicRun, _, _ *Subscription) {
			run.try("dan", 20, passingTopic, "accepted", 7)
			run.subscriptions["ada "+passingTopic].Received(Post{"dan", 20}, passingTopic, bodyOf("dan", 20), moment(-60), moment(7.16))
		}},
		{RejectedInCalm, "a request is rejected without faults", func(run *topicRun, _, _ *Subscription) {
			run.RequestRejected("unconfirmed", "a publication", moment(-60), moment(7))
		}},
	}
	for _, each := range plants {
		run := correctTopicRun()
		each.plant(run, run.subscriptions["ada "+keptTopic], run.subscriptions["bob "+keptTopic])
		run.Close(moment(70))
		if each.kind == "" {
			assert.Equal(t, len(run.Violations()), 0, "%v", run.Violations())
			continue
		}
		assert.Check(t, len(run.Violations()) > 0, "%s: %s was not caught", each.kind, each.what)
		for _, line := range run.Violations() {
			assert.Check(t, strings.HasPrefix(line, each.kind+": "), "%s: %s was planted, but the checker reported %s", each.kind, each.what, line)
		}
	}
}

// The checker must not report missing messages, cursors, counts and routes that the promises
// excuse.
func TestExcusedObservationsAreNotReported(t *testing.T) {
	run := correctTopicRun()
	ada := run.subscriptions["ada "+keptTopic]
	// A cursor may expire if a missed message is older than the holding time.
	ada.Disconnected(moment(6))
	run.try("cy", 20, keptTopic, "accepted", 7)
	run.gets(run.subscriptions["bob "+keptTopic], "cy", 20, 7.1)
	run.gets(run.subscriptions["eve "+keptTopic], "cy", 20, 7.1)
	ada.Expired(moment(43))
	// A later message may arrive without an earlier one whose outcome is unknown.
	run.try("cy", 21, keptTopic, "unsettled", 44)
	run.sendTo("cy", 22, keptTopic, 45, "bob", "eve")
	// No delivery is due after a client unsubscribed or a route was removed.
	run.subscriptions["bob "+keptTopic].End(moment(46))
	run.sendTo("cy", 23, keptTopic, 47, "eve")
	run.RoutesSent(2, []string{"board.", "halt."}, moment(48))
	run.try("cy", 24, guestTopic, "accepted", 48.1)
	run.RoutesAccepted(2, moment(49))
	// The connection of an unreachable client may be counted for a while, in addition to its
	// new connection.
	silent := run.Subscribing("gus", passingTopic, nil)
	silent.Confirmed(moment(48), moment(48.1))
	for number := range 4 {
		silent.Unreachable(moment(50+float64(number)), moment(57+float64(number)))
		silent.Confirmed(moment(50.2), moment(50.3+float64(number)))
	}
	run.Counted(passingTopic, 9, moment(-60), moment(56))
	// Both outcomes are correct while a change of the configuration is in progress.
	run.Handled("a publication", guestTopic, true, moment(48.1), moment(48.2))
	run.Handled("a publication", guestTopic, false, moment(48.1), moment(48.2))
	run.Handled("a publication", guestTopic, false, moment(55), moment(55.1))
	run.Close(moment(70))
	assert.Equal(t, len(run.Violations()), 0, "%v", run.Violations())
}

// sendTo sends a message that only the named subscribers receive.
func (tr *topicRun) sendTo(sender string, seq uint64, topic string, at float64, names ...string) {
	tr.try(sender, seq, topic, "accepted", at)
	for _, name := range names {
		tr.gets(tr.subscriptions[name+" "+topic], sender, seq, at+0.02)
	}
}
