// Tests of the register's check on histories that are linearizable and on others that are
// not, and a comparison of its result with a search through all orders of small histories.
package checker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// operation is one operation of a history, with times in seconds. An order whose answer is
// Unclear has no end.
type operation struct {
	read    bool
	version uint64
	content string
	began   int
	ended   int
	answer  OrderOutcome
}

func ordered(version uint64, content string, began, ended int, answer OrderOutcome) operation {
	return operation{version: version, content: content, began: began, ended: ended, answer: answer}
}

func unanswered(version uint64, content string, began int) operation {
	return operation{version: version, content: content, began: began}
}

func reads(version uint64, content string, began, ended int) operation {
	return operation{read: true, version: version, content: content, began: began, ended: ended}
}

func registerOf(rising bool, operations []operation) *Register {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	register := &Register{AcknowledgesOlder: !rising}
	for _, each := range operations {
		if each.read {
			register.Read(each.version, each.content, at(each.began), at(each.ended))
			continue
		}
		made := register.Put(each.version, each.content, at(each.began))
		if each.answer != Unclear {
			made.End(each.answer, at(each.ended))
		}
	}
	return register
}

var histories = []struct {
	name         string
	rising       bool
	linearizable bool
	operations   []operation
}{
	{"sequential operations", true, true, []operation{ordered(1, "a", 0, 1, Acknowledged), reads(1, "a", 2, 3), ordered(2, "b", 4, 5, Acknowledged), reads(2, "b", 6, 7)}},
	{"a read before the first order", false, true, []operation{reads(0, "", 0, 5), ordered(1, "a", 1, 9, Acknowledged)}},
	{"two contents under one number", false, false, []operation{ordered(1, "a", 0, 9, Acknowledged), ordered(1, "b", 0, 9, Acknowledged)}},
	{"two contents under a number below the highest", false, false, []operation{
		ordered(5, "x", 0, 1, Acknowledged), ordered(4, "a", 2, 3, Acknowledged), ordered(4, "b", 4, 5, Acknowledged),
	}},
	{"one of two concurrent orders is rejected", false, true, []operation{ordered(1, "a", 0, 9, Acknowledged), ordered(1, "b", 0, 9, RejectedConflict)}},
	{"an accepted order is rejected", false, false, []operation{ordered(1, "a", 0, 1, Acknowledged), ordered(1, "a", 2, 3, RejectedConflict)}},
	{"an accepted order is rejected as older", true, false, []operation{
		ordered(1, "a", 0, 1, Acknowledged), ordered(2, "b", 2, 3, Acknowledged), ordered(1, "a", 4, 5, RejectedOlder),
	}},
	{"an accepted order is acknowledged again later", true, true, []operation{
		ordered(1, "a", 0, 1, Acknowledged), ordered(2, "b", 2, 3, Acknowledged), ordered(1, "a", 4, 5, Acknowledged),
	}},
	{"a read of an overwritten version", false, false, []operation{
		ordered(1, "a", 0, 1, Acknowledged), ordered(2, "b", 2, 3, Acknowledged), reads(1, "a", 4, 5),
	}},
	{"a read concurrent with the next order", false, true, []operation{
		ordered(1, "a", 0, 1, Acknowledged), ordered(2, "b", 2, 5, Acknowledged), reads(1, "a", 3, 4),
	}},
	{"a read that goes back", false, false, []operation{
		ordered(1, "a", 0, 1, Acknowledged), unanswered(2, "b", 2), reads(2, "b", 3, 4), reads(1, "a", 5, 6),
	}},
	{"an order without a response takes effect later", false, true, []operation{
		ordered(1, "a", 0, 1, Acknowledged), unanswered(2, "b", 2), reads(1, "a", 3, 4), reads(2, "b", 5, 6),
	}},
	{"a read of a version before its order began", false, false, []operation{reads(1, "a", 0, 1), ordered(1, "a", 2, 3, Acknowledged)}},
	{"a read of a version without an order", false, false, []operation{ordered(1, "a", 0, 1, Acknowledged), reads(2, "b", 2, 3)}},
	{"a read of other content than was accepted", false, false, []operation{ordered(1, "a", 0, 1, Acknowledged), unanswered(1, "b", 0), reads(1, "b", 2, 3)}},
	{"an empty read after an order was accepted", false, false, []operation{ordered(1, "a", 0, 1, Acknowledged), reads(0, "", 2, 3)}},
	{"rejected because of another content that was never put", false, false, []operation{ordered(1, "a", 0, 1, RejectedConflict)}},
	{"rejected before the other order began", false, false, []operation{ordered(1, "a", 0, 1, RejectedConflict), ordered(1, "b", 2, 3, Acknowledged)}},
	{"rejected because of an order whose response was lost", false, true, []operation{unanswered(1, "b", 0), ordered(1, "a", 1, 2, RejectedConflict)}},
	{"two orders are rejected because of each other", false, false, []operation{ordered(1, "a", 0, 5, RejectedConflict), ordered(1, "b", 0, 5, RejectedConflict)}},
	{"two orders are rejected because of a third whose response was lost", false, true, []operation{
		ordered(1, "a", 0, 5, RejectedConflict), ordered(1, "b", 0, 5, RejectedConflict), unanswered(1, "c", 4),
	}},
	{"a lower number is decided after a higher one", true, false, []operation{ordered(2, "b", 0, 1, Acknowledged), ordered(1, "a", 2, 3, Acknowledged)}},
	{"a lower number is acknowledged after a higher one", false, true, []operation{ordered(2, "b", 0, 1, Acknowledged), ordered(1, "a", 2, 3, Acknowledged)}},
	{"rejected as older without a higher number", true, false, []operation{ordered(1, "a", 0, 1, RejectedOlder), ordered(2, "b", 2, 3, Acknowledged)}},
	{"rejected as older than a concurrent order", true, true, []operation{ordered(1, "a", 0, 3, RejectedOlder), ordered(2, "b", 2, 5, Acknowledged)}},
}

func TestHistoriesAreJudged(t *testing.T) {
	for _, each := range histories {
		t.Run(each.name, func(t *testing.T) {
			faults := registerOf(each.rising, each.operations).Violations()
			assert.Equal(t, len(faults) == 0, each.linearizable, "%v", faults)
			assert.Equal(t, search(each.rising, each.operations), each.linearizable, "the search through all orders")
		})
	}
}

// search tries all orders of a history's operations and reports whether one is valid. It is
// the reference for the check in one pass.
func search(rising bool, operations []operation) bool {
	type state struct {
		done    uint
		decided string
	}
	failed := map[state]bool{}
	var from func(done uint, decided map[uint64]string) bool
	from = func(done uint, decided map[uint64]string) bool {
		key := state{done: done, decided: fmt.Sprint(decided)}
		if failed[key] {
			return false
		}
		open := false
		for position, each := range operations {
			if done&(1<<position) == 0 && !each.unclear() {
				open = true
			}
		}
		if !open {
			return true
		}
		for position, each := range operations {
			if done&(1<<position) != 0 || !mayBeNext(operations, done, each) {
				continue
			}
			if next, holds := each.apply(rising, decided); holds && from(done|1<<position, next) {
				return true
			}
		}
		failed[key] = true
		return false
	}
	return from(0, map[uint64]string{})
}

func (o operation) unclear() bool { return !o.read && o.answer == Unclear }

// mayBeNext reports whether no other remaining operation ended before an operation began.
func mayBeNext(operations []operation, done uint, next operation) bool {
	for position, each := range operations {
		if done&(1<<position) == 0 && !each.unclear() && each.ended < next.began {
			return false
		}
	}
	return true
}

// apply returns the decided contents after an operation, and whether its response is correct.
func (o operation) apply(rising bool, decided map[uint64]string) (map[uint64]string, bool) {
	highest := uint64(0)
	for version := range decided {
		highest = max(highest, version)
	}
	if o.read {
		return decided, o.version == highest && o.content == decided[highest]
	}
	content, found := decided[o.version]
	switch {
	case found && content == o.content:
		return decided, o.answer == Acknowledged || o.answer == Unclear
	case found:
		return decided, o.answer == RejectedConflict || o.answer == Unclear
	case rising && o.version < highest:
		return decided, o.answer == RejectedOlder || o.answer == Unclear
	}
	next := map[uint64]string{o.version: o.content}
	for version, content := range decided {
		next[version] = content
	}
	return next, o.answer == Acknowledged || o.answer == Unclear
}

// The check in one pass must agree with the search on small random histories: responses of a
// correct register, some of them altered afterwards.
func TestOnePassCheckAgreesWithSearch(t *testing.T) {
	linear, broken := 0, 0
	for seed := range uint64(6000) {
		random := rand.New(rand.NewPCG(seed, 0x4e6))
		rising := seed%2 == 0
		operations := drawHistory(random, rising)
		faults := registerOf(rising, operations).Violations()
		holds := search(rising, operations)
		assert.Equal(t, len(faults) == 0, holds, "seed %d: %+v: %v", seed, operations, faults)
		if holds {
			linear++
		} else {
			broken++
		}
	}
	t.Logf("%d linearizable, %d not", linear, broken)
	assert.Assert(t, linear > 1000 && broken > 1000)
}

func drawHistory(random *rand.Rand, rising bool) []operation {
	operations := make([]operation, 3+random.IntN(5))
	decided := map[uint64]string{}
	for position := range operations {
		at := 2 * position
		each := operation{
			read: random.IntN(3) == 0, version: 1 + random.Uint64N(3), content: string(rune('a' + random.IntN(2))),
			began: at - random.IntN(6), ended: at + random.IntN(6),
		}
		each.answerOf(rising, decided)
		next, _ := each.apply(rising, decided)
		decided = next
		if !each.read && random.IntN(4) == 0 {
			each.answer = Unclear
		}
		if random.IntN(12) == 0 {
			each.alter(random)
		}
		operations[position] = each
	}
	return operations
}

// answerOf sets the response that a register with these decided numbers gives to an operation.
func (o *operation) answerOf(rising bool, decided map[uint64]string) {
	if o.read {
		o.version = 0
		for version := range decided {
			o.version = max(o.version, version)
		}
		o.content = decided[o.version]
		return
	}
	for _, answer := range []OrderOutcome{Acknowledged, RejectedConflict, RejectedOlder} {
		o.answer = answer
		if _, holds := o.apply(rising, decided); holds {
			return
		}
	}
}

func (o *operation) alter(random *rand.Rand) {
	switch {
	case o.read && (o.version == 0 || random.IntN(2) == 0):
		o.version, o.content = 1+random.Uint64N(3), "a"
	case o.read:
		o.content = "b"
	default:
		o.answer = OrderOutcome(random.IntN(4))
	}
}
