// Histories that are linearizable and others that are not, and the quick judgement
// compared with a search through all orders of small histories.
package checker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// operation is one line of a history in seconds; without an end it is unclear.
type operation struct {
	read    bool
	version uint64
	content string
	began   int
	ended   int
	answer  OrderAnswer
}

func ordered(version uint64, content string, began, ended int, answer OrderAnswer) operation {
	return operation{version: version, content: content, began: began, ended: ended, answer: answer}
}

func lost(version uint64, content string, began int) operation {
	return operation{version: version, content: content, began: began}
}

func reads(version uint64, content string, began, ended int) operation {
	return operation{read: true, version: version, content: content, began: began, ended: ended}
}

func registerOf(rising bool, operations []operation) *Register {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	register := &Register{Lax: !rising}
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
	name       string
	rising     bool
	holds      bool
	operations []operation
}{
	{"one after the other", true, true, []operation{ordered(1, "a", 0, 1, Acknowledged), reads(1, "a", 2, 3), ordered(2, "b", 4, 5, Acknowledged), reads(2, "b", 6, 7)}},
	{"nothing yet", false, true, []operation{reads(0, "", 0, 5), ordered(1, "a", 1, 9, Acknowledged)}},
	{"two contents under one number", false, false, []operation{ordered(1, "a", 0, 9, Acknowledged), ordered(1, "b", 0, 9, Acknowledged)}},
	{"two contents under a number that was overtaken", false, false, []operation{
		ordered(5, "x", 0, 1, Acknowledged), ordered(4, "a", 2, 3, Acknowledged), ordered(4, "b", 4, 5, Acknowledged),
	}},
	{"one of a pair is refused", false, true, []operation{ordered(1, "a", 0, 9, Acknowledged), ordered(1, "b", 0, 9, RefusedOther)}},
	{"what was taken is refused", false, false, []operation{ordered(1, "a", 0, 1, Acknowledged), ordered(1, "a", 2, 3, RefusedOther)}},
	{"what was taken is refused as older", true, false, []operation{
		ordered(1, "a", 0, 1, Acknowledged), ordered(2, "b", 2, 3, Acknowledged), ordered(1, "a", 4, 5, RefusedOlder),
	}},
	{"what was taken is acknowledged again later", true, true, []operation{
		ordered(1, "a", 0, 1, Acknowledged), ordered(2, "b", 2, 3, Acknowledged), ordered(1, "a", 4, 5, Acknowledged),
	}},
	{"a read of what was overtaken before", false, false, []operation{
		ordered(1, "a", 0, 1, Acknowledged), ordered(2, "b", 2, 3, Acknowledged), reads(1, "a", 4, 5),
	}},
	{"a read while the next is put", false, true, []operation{
		ordered(1, "a", 0, 1, Acknowledged), ordered(2, "b", 2, 5, Acknowledged), reads(1, "a", 3, 4),
	}},
	{"a read that goes back", false, false, []operation{
		ordered(1, "a", 0, 1, Acknowledged), lost(2, "b", 2), reads(2, "b", 3, 4), reads(1, "a", 5, 6),
	}},
	{"an order without an answer takes effect later", false, true, []operation{
		ordered(1, "a", 0, 1, Acknowledged), lost(2, "b", 2), reads(1, "a", 3, 4), reads(2, "b", 5, 6),
	}},
	{"a read of what nobody had put yet", false, false, []operation{reads(1, "a", 0, 1), ordered(1, "a", 2, 3, Acknowledged)}},
	{"a read of what nobody put", false, false, []operation{ordered(1, "a", 0, 1, Acknowledged), reads(2, "b", 2, 3)}},
	{"read back different from what was taken", false, false, []operation{ordered(1, "a", 0, 1, Acknowledged), lost(1, "b", 0), reads(1, "b", 2, 3)}},
	{"none is read after one was taken", false, false, []operation{ordered(1, "a", 0, 1, Acknowledged), reads(0, "", 2, 3)}},
	{"refused for another content that nobody put", false, false, []operation{ordered(1, "a", 0, 1, RefusedOther)}},
	{"refused before the other was put", false, false, []operation{ordered(1, "a", 0, 1, RefusedOther), ordered(1, "b", 2, 3, Acknowledged)}},
	{"refused for one whose answer was lost", false, true, []operation{lost(1, "b", 0), ordered(1, "a", 1, 2, RefusedOther)}},
	{"each refused for the other", false, false, []operation{ordered(1, "a", 0, 5, RefusedOther), ordered(1, "b", 0, 5, RefusedOther)}},
	{"refused for a third whose answer was lost", false, true, []operation{
		ordered(1, "a", 0, 5, RefusedOther), ordered(1, "b", 0, 5, RefusedOther), lost(1, "c", 4),
	}},
	{"a lower number is decided after a higher one", true, false, []operation{ordered(2, "b", 0, 1, Acknowledged), ordered(1, "a", 2, 3, Acknowledged)}},
	{"a lower number is acknowledged after a higher one", false, true, []operation{ordered(2, "b", 0, 1, Acknowledged), ordered(1, "a", 2, 3, Acknowledged)}},
	{"older than nothing", true, false, []operation{ordered(1, "a", 0, 1, RefusedOlder), ordered(2, "b", 2, 3, Acknowledged)}},
	{"older than one under way", true, true, []operation{ordered(1, "a", 0, 3, RefusedOlder), ordered(2, "b", 2, 5, Acknowledged)}},
}

func TestHistoriesAreJudged(t *testing.T) {
	for _, each := range histories {
		t.Run(each.name, func(t *testing.T) {
			faults := registerOf(each.rising, each.operations).Faults()
			assert.Equal(t, len(faults) == 0, each.holds, "%v", faults)
			assert.Equal(t, search(each.rising, each.operations), each.holds, "the search through all orders")
		})
	}
}

// search looks through all orders of a history for one that holds.
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

// mayBeNext tells whether nothing else that is left ended before an operation began.
func mayBeNext(operations []operation, done uint, next operation) bool {
	for position, each := range operations {
		if done&(1<<position) == 0 && !each.unclear() && each.ended < next.began {
			return false
		}
	}
	return true
}

// apply gives what is decided after an operation, and whether its answer is right.
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
		return decided, o.answer == RefusedOther || o.answer == Unclear
	case rising && o.version < highest:
		return decided, o.answer == RefusedOlder || o.answer == Unclear
	}
	next := map[uint64]string{o.version: o.content}
	for version, content := range decided {
		next[version] = content
	}
	return next, o.answer == Acknowledged || o.answer == Unclear
}

// Small histories drawn by lot: what a real register answered, and then in part
// spoiled.
func TestTheQuickJudgementAgreesWithTheSearch(t *testing.T) {
	linear, broken := 0, 0
	for seed := range uint64(6000) {
		random := rand.New(rand.NewPCG(seed, 0x4e6))
		rising := seed%2 == 0
		operations := drawHistory(random, rising)
		faults := registerOf(rising, operations).Faults()
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
			each.spoil(random)
		}
		operations[position] = each
	}
	return operations
}

// answerOf gives an operation the answer of a register with these numbers.
func (o *operation) answerOf(rising bool, decided map[uint64]string) {
	if o.read {
		o.version = 0
		for version := range decided {
			o.version = max(o.version, version)
		}
		o.content = decided[o.version]
		return
	}
	for _, answer := range []OrderAnswer{Acknowledged, RefusedOther, RefusedOlder} {
		o.answer = answer
		if _, holds := o.apply(rising, decided); holds {
			return
		}
	}
}

func (o *operation) spoil(random *rand.Rand) {
	switch {
	case o.read && (o.version == 0 || random.IntN(2) == 0):
		o.version, o.content = 1+random.Uint64N(3), "a"
	case o.read:
		o.content = "b"
	default:
		o.answer = OrderAnswer(random.IntN(4))
	}
}
