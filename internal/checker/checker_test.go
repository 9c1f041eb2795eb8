// For each kind of violation, one is planted in a correct run, and the checker must report
// that kind and no other. The correct run itself must pass.
package checker

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func correctRun(at func(seconds float64) time.Time) *Checker {
	checker := New()
	checker.DefineSpace("kept", true, false)
	checker.DefineSpace("one", true, true)
	checker.DefineSpace("pass", false, false)
	for _, name := range []string{"ada", "bob"} {
		for _, space := range []string{"kept", "one", "pass"} {
			checker.SubscribeRequested(name, Interest{Space: space, Prefix: true}, at(0))
			checker.Subscribed(name, Interest{Space: space, Prefix: true}, at(0.1))
		}
	}
	for seq := uint64(1); seq <= 4; seq++ {
		for _, space := range []string{"kept", "one", "pass"} {
			message := Message{Space: space, Sender: "cy", Seq: seq}
			began := at(float64(seq))
			checker.Attempt(message, "a/b", "data", began)
			checker.Answered(message, "accepted", began, began.Add(time.Millisecond))
			for _, name := range []string{"ada", "bob"} {
				checker.Received(name, message, "a/b", "data", began.Add(2*time.Millisecond))
			}
		}
	}
	checker.ConfigurationAccepted(1, "one", at(0), at(0))
	checker.InForce("gateway", 1, true, at(0), at(5))
	checker.ReadBack(1, "one", at(5), at(5))
	return checker
}

func TestEachPlantedViolationIsNamed(t *testing.T) {
	start := time.Unix(5000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	fresh := Message{Space: "kept", Sender: "cy", Seq: 9}
	try := func(checker *Checker, message Message, outcome string) {
		checker.Attempt(message, "a/b", "data", at(9))
		checker.Answered(message, outcome, at(9), at(9.1))
	}
	plants := map[string]func(checker *Checker){
		"": func(*Checker) {},
		NotInForce: func(checker *Checker) {
			checker.ConfigurationAccepted(2, "two", at(6), at(6))
			checker.InForce("gateway", 1, true, at(0), at(9.5))
		},
		VersionWentBack: func(checker *Checker) { checker.InForce("gateway", 0, true, at(0), at(1)) },
		StaleRead: func(checker *Checker) {
			checker.ConfigurationAccepted(2, "two", at(6), at(6))
			checker.ReadBack(1, "one", at(7), at(7))
		},
		NotLinearizable: func(checker *Checker) {
			checker.Register.Put(1, "one", at(1)).End(Acknowledged, at(2))
			checker.Register.Put(1, "other", at(1)).End(Acknowledged, at(2))
		},
		InvalidAccepted: func(checker *Checker) { checker.InvalidConfigurationAccepted("a broken one") },
		Lost: func(checker *Checker) {
			try(checker, fresh, "accepted")
			checker.Received("ada", fresh, "a/b", "data", at(9.2))
		},
		Duplicate: func(checker *Checker) {
			checker.Received("ada", Message{Space: "kept", Sender: "cy", Seq: 2}, "a/b", "data", at(9))
		},
		OutOfOrder: func(checker *Checker) {
			late := Message{Space: "pass", Sender: "cy", Seq: 0}
			try(checker, late, "accepted")
			checker.Received("ada", late, "a/b", "data", at(9))
		},
		CursorRejected: func(checker *Checker) { checker.CursorExpired("ada", at(5), at(39)) },
		Unsolicited: func(checker *Checker) {
			checker.Received("eve", Message{Space: "kept", Sender: "cy", Seq: 2}, "a/b", "data", at(9))
		},
		AllRejected: func(checker *Checker) {
			message := Message{Space: "pass", Sender: "cy", Seq: 9}
			try(checker, message, "refused")
			checker.Received("ada", message, "a/b", "data", at(9))
		},
		AfterRemoval: func(checker *Checker) {
			message := Message{Space: "pass", Sender: "cy", Seq: 9}
			try(checker, message, "accepted")
			checker.SpaceRemoved("pass", at(6))
			checker.Received("ada", message, "a/b", "data", at(9.1))
		},
		NotRecovered: func(checker *Checker) { checker.Recovered("a zone lost", 13*time.Second) },
		OrderMismatch: func(checker *Checker) {
			left, right := Message{Space: "one", Sender: "dan", Seq: 1}, Message{Space: "one", Sender: "eve", Seq: 1}
			try(checker, left, "accepted")
			try(checker, right, "accepted")
			checker.Received("ada", left, "a/b", "data", at(9.2))
			checker.Received("ada", right, "a/b", "data", at(9.2))
			checker.Received("bob", right, "a/b", "data", at(9.2))
			checker.Received("bob", left, "a/b", "data", at(9.2))
		},
	}
	for kind, plant := range plants {
		checker := correctRun(at)
		plant(checker)
		checker.Close(at(20))
		if kind == "" {
			assert.Equal(t, len(checker.Violations()), 0, "%v", checker.Violations())
			continue
		}
		assert.Assert(t, len(checker.Violations()) > 0, "%s was not caught", kind)
		for _, line := range checker.Violations() {
			assert.Assert(t, strings.HasPrefix(line, kind+": "), "planted %s, but the checker reported %s", kind, line)
		}
	}
}

func TestLateAnswersAreCounted(t *testing.T) {
	start := time.Unix(5000, 0)
	checker := New()
	checker.DefineSpace("urgent", true, false)
	checker.AnswerWithin("urgent", time.Second)
	for seq, took := range []time.Duration{time.Millisecond, time.Second, 1001 * time.Millisecond} {
		message := Message{Space: "urgent", Sender: "cy", Seq: uint64(seq + 1)}
		checker.Attempt(message, "a", "data", start)
		checker.Answered(message, "accepted", start, start.Add(took))
	}
	assert.Equal(t, checker.Late, 1)
}
