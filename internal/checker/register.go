// The linearizability of the configuration, judged by what operators saw alone.
//
// The configuration is a register with numbers. Each number is decided once, with
// one content; a read gives the highest number that was decided, and its content.
// An order to put a content under a number decides it if nothing was decided there,
// is acknowledged if the same was, and refused if something else was. Where lower
// numbers are refused, a number below the highest can no longer be decided, and an
// order for it is refused as older.
//
// A history is linearizable if each operation has a moment between its begin and
// its end (for one without a clear answer: at any time after its begin, or never)
// at which it takes effect as a whole, so that one after the other they do as said
// above. The moments of deciding and of reading only have to keep an order, which
// rises with the numbers: a read comes after the decision of what it gave, and
// before that of each higher number. Such an order has moments in given intervals
// just if the least moments that it allows, taken from the lowest number upwards,
// all lie in their intervals. So a run's history is judged in one pass.

package checker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// OrderAnswer is how an operator's order ended.
type OrderAnswer int

// The answers to orders.
const (
	// Unclear orders got no answer, or none from which their fate is known.
	Unclear OrderAnswer = iota
	// Acknowledged orders are said to be taken.
	Acknowledged
	// RefusedOther is told of a number that was decided with another content.
	RefusedOther
	// RefusedOlder is told of a number below the highest one.
	RefusedOlder
)

// AnswerOf tells how an order ended by the status and the body of its answer; status 0
// stands for none.
func AnswerOf(status int, body []byte) OrderAnswer {
	var told struct {
		Code string `json:"code"`
	}
	if status == 0 || json.Unmarshal(body, &told) != nil {
		return Unclear
	}
	switch {
	case status == http.StatusOK:
		return Acknowledged
	case status == http.StatusConflict && told.Code == "same-version":
		return RefusedOther
	case status == http.StatusConflict && told.Code == "older-version":
		return RefusedOlder
	}
	return Unclear
}

// Put is an operator's order to put a content under a number.
type Put struct {
	version uint64
	content string
	began   time.Time
	ended   time.Time
	answer  OrderAnswer
}

// End tells how the order ended; one that never does is unclear.
func (p *Put) End(answer OrderAnswer, at time.Time) { p.answer, p.ended = answer, at }

// read is what reading the configuration gave; version 0 stands for none.
type read struct {
	version uint64
	content string
	began   time.Time
	ended   time.Time
}

// Register is the history of the configuration as a register with numbers.
type Register struct {
	// Lax says that a number below the highest one is acknowledged, too, and decided
	// without coming into force; otherwise it is refused if it was not decided.
	Lax   bool
	puts  []*Put
	reads []read
}

// Put begins an order.
func (r *Register) Put(version uint64, content string, began time.Time) *Put {
	put := &Put{version: version, content: content, began: began}
	r.puts = append(r.puts, put)
	return put
}

// Read tells what a read gave; version 0 if nothing was taken yet.
func (r *Register) Read(version uint64, content string, began, ended time.Time) {
	r.reads = append(r.reads, read{version: version, content: content, began: began, ended: ended})
}

// Operations counts what the history holds.
func (r *Register) Operations() int { return len(r.puts) + len(r.reads) }

// number is all that is known of one number.
type number struct {
	version uint64
	puts    []*Put
	reads   []read
	// sure says that the number was decided for sure, and until when it was.
	sure    bool
	until   time.Time
	content string
	known   bool
	// least is the first moment at which it can have been decided, and possible
	// says that it can.
	least    time.Time
	possible bool
}

// Faults says why the history is not linearizable; nothing if it is.
func (r *Register) Faults() []string {
	numbers := r.byNumber()
	var faults []string
	complain := func(text string, values ...any) { faults = append(faults, fmt.Sprintf(text, values...)) }
	for _, each := range numbers {
		each.gather(complain)
	}
	var latest time.Time
	latestRead := "the begin"
	for _, read := range r.reads {
		if read.version == 0 && read.began.After(latest) {
			latest, latestRead = read.began, "a read that found none"
		}
	}
	for _, each := range numbers {
		each.place(latest, complain)
		if each.sure && each.possible && each.least.After(each.until) {
			complain("%d was decided by %s, but %s comes before it at %s or later", each.version, stamp(each.until), latestRead, stamp(each.least))
		}
		for _, read := range each.reads {
			minimum := later(read.began, each.least)
			if minimum.After(read.ended) {
				complain("%d was read by %s, but was decided at %s or later", each.version, stamp(read.ended), stamp(minimum))
			}
			if minimum.After(latest) {
				latest, latestRead = minimum, fmt.Sprintf("a read of %d", each.version)
			}
		}
		if !r.Lax && each.sure && each.least.After(latest) {
			latest, latestRead = each.least, fmt.Sprintf("the decision of %d", each.version)
		}
	}
	r.judgeOlder(numbers, complain)
	return faults
}

func stamp(at time.Time) string { return at.Format("05.0000") }

func later(left, right time.Time) time.Time {
	if right.After(left) {
		return right
	}
	return left
}

// byNumber sorts the history, the lowest number first.
func (r *Register) byNumber() []*number {
	found := map[uint64]*number{}
	at := func(version uint64) *number {
		if found[version] == nil {
			found[version] = &number{version: version}
		}
		return found[version]
	}
	for _, put := range r.puts {
		each := at(put.version)
		each.puts = append(each.puts, put)
	}
	for _, read := range r.reads {
		if read.version > 0 {
			each := at(read.version)
			each.reads = append(each.reads, read)
		}
	}
	numbers := make([]*number, 0, len(found))
	for _, each := range found {
		numbers = append(numbers, each)
	}
	slices.SortFunc(numbers, func(left, right *number) int {
		if left.version < right.version {
			return -1
		}
		return 1
	})
	return numbers
}

// gather finds the one content that was told of a number, and until when it was
// decided for sure.
func (n *number) gather(complain func(text string, values ...any)) {
	decided := func(at time.Time) {
		if !n.sure || at.Before(n.until) {
			n.sure, n.until = true, at
		}
	}
	told := func(content, how string) {
		if n.known && n.content != content {
			complain("%d was told with two contents, one of them %s", n.version, how)
		}
		if !n.known {
			n.known, n.content = true, content
		}
	}
	for _, put := range n.puts {
		switch put.answer {
		case Acknowledged:
			told(put.content, "acknowledged by "+stamp(put.ended))
			decided(put.ended)
		case RefusedOther:
			decided(put.ended)
		}
	}
	for _, read := range n.reads {
		told(read.content, "read by "+stamp(read.ended))
		decided(read.ended)
	}
}

// place finds the least moment at which the number can have been decided, which is
// after all that comes before it: by an order with the content that was told of it
// or, if none was, with any that was not refused.
func (n *number) place(after time.Time, complain func(text string, values ...any)) {
	for _, put := range n.puts {
		if put.answer == RefusedOlder || !n.mayBe(put.content) {
			continue
		}
		if !n.possible || put.began.Before(n.least) {
			n.least, n.possible = put.began, true
		}
	}
	if n.sure && !n.possible {
		complain("%d is said to be decided, but nobody can have put what it is", n.version)
	}
	n.least = later(n.least, after)
	for _, put := range n.puts {
		if put.answer == RefusedOther && n.known && put.content == n.content {
			complain("%d was refused by %s for another content, but it is the same", n.version, stamp(put.ended))
		}
		if put.answer == RefusedOlder {
			// It was not decided then, and can't be any more.
			n.possible = false
			if n.sure {
				complain("%d was refused by %s as older and not decided, but it was decided", n.version, stamp(put.ended))
			}
		}
	}
}

// mayBe tells whether a content may be the one that was decided.
func (n *number) mayBe(content string) bool {
	if n.known {
		return content == n.content
	}
	return !slices.ContainsFunc(n.puts, func(put *Put) bool { return put.answer == RefusedOther && put.content == content })
}

// judgeOlder looks that a higher number was there wherever one was refused as older.
func (r *Register) judgeOlder(numbers []*number, complain func(text string, values ...any)) {
	for _, put := range r.puts {
		if put.answer != RefusedOlder {
			continue
		}
		if r.Lax {
			complain("%d was refused as older where that is acknowledged", put.version)
			continue
		}
		if !slices.ContainsFunc(numbers, func(each *number) bool {
			return each.version > put.version && each.possible && !each.least.After(put.ended)
		}) {
			complain("%d was refused as older by %s, and nothing higher was there", put.version, stamp(put.ended))
		}
	}
}
