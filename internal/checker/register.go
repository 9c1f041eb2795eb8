// The linearizability of the configuration, judged only by the operators' requests and
// responses.
//
// The configuration is a register with version numbers. Each number is decided once, with
// one content. A read returns the highest decided number and its content. An order puts a
// content under a number: it decides the number if it is undecided, is acknowledged if the
// number was decided with the same content, and is rejected if it was decided with another
// one. In the mode in which lower numbers are rejected, a number below the highest decided
// one can no longer be decided, and an order for it is rejected as older.
//
// A history is linearizable if each operation can be given a time between its begin and its
// end at which it takes effect atomically, such that the operations in the order of these
// times follow the rules above. An operation without a clear response may take effect at any
// time after its begin, or never. The decisions and reads only have to be ordered by their
// numbers: a read comes after the decision of the number that it returned, and before the
// decision of each higher number. Such an order fits into the given intervals if and only if
// the earliest times that it allows, computed from the lowest number upwards, all lie in
// their intervals. A history is therefore judged in one pass.

package checker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// OrderOutcome is the outcome of an operator's order.
type OrderOutcome int

// The outcomes of orders.
const (
	// Unclear orders got no response, or one that does not say whether they took effect.
	Unclear OrderOutcome = iota
	// Acknowledged orders were accepted.
	Acknowledged
	// RejectedConflict orders were rejected because the number was decided with another content.
	RejectedConflict
	// RejectedOlder orders were rejected because the number is below the highest decided one.
	RejectedOlder
)

// OutcomeOf returns the outcome of an order from the status and the body of its response.
// Status 0 means that there was no response.
func OutcomeOf(status int, body []byte) OrderOutcome {
	var response struct {
		Code string `json:"code"`
	}
	if status == 0 || json.Unmarshal(body, &response) != nil {
		return Unclear
	}
	switch {
	case status == http.StatusOK:
		return Acknowledged
	case status == http.StatusConflict && response.Code == "same-version":
		return RejectedConflict
	case status == http.StatusConflict && response.Code == "older-version":
		return RejectedOlder
	}
	return Unclear
}

// Put is an operator's order to put a content under a number.
type Put struct {
	version uint64
	content string
	began   time.Time
	ended   time.Time
	answer  OrderOutcome
}

// End records the outcome of the order. An order that never ends is unclear.
func (p *Put) End(answer OrderOutcome, at time.Time) { p.answer, p.ended = answer, at }

// read is the result of reading the configuration. Version 0 means that there was none.
type read struct {
	version uint64
	content string
	began   time.Time
	ended   time.Time
}

// Register is the history of the configuration as a register with version numbers.
type Register struct {
	// AcknowledgesOlder says that an order with an undecided number below the highest one is acknowledged
	// and decided without coming into force. Otherwise such an order is rejected.
	AcknowledgesOlder bool
	puts              []*Put
	reads             []read
}

// Put records the begin of an order.
func (r *Register) Put(version uint64, content string, began time.Time) *Put {
	put := &Put{version: version, content: content, began: began}
	r.puts = append(r.puts, put)
	return put
}

// Read records the result of a read. Version 0 means that there was no configuration yet.
func (r *Register) Read(version uint64, content string, began, ended time.Time) {
	r.reads = append(r.reads, read{version: version, content: content, began: began, ended: ended})
}

// Operations returns the number of operations in the history.
func (r *Register) Operations() int { return len(r.puts) + len(r.reads) }

// number collects the operations with one version number and what follows from them.
type number struct {
	version uint64
	puts    []*Put
	reads   []read
	// decided says that the number was certainly decided, and decidedBy is the latest possible time
	// of the decision. content is the decided content if known is set.
	decided   bool
	decidedBy time.Time
	content   string
	known     bool
	// earliest is the earliest time at which the number can have been decided. possible says
	// whether it can have been decided at all.
	earliest time.Time
	possible bool
}

// Violations returns the reasons why the history is not linearizable, or nothing if it is.
func (r *Register) Violations() []string {
	numbers := r.byNumber()
	var faults []string
	complain := func(text string, values ...any) { faults = append(faults, fmt.Sprintf(text, values...)) }
	for _, each := range numbers {
		each.collectResponses(complain)
	}
	var latest time.Time
	latestRead := "the begin"
	for _, read := range r.reads {
		if read.version == 0 && read.began.After(latest) {
			latest, latestRead = read.began, "a read that returned no configuration"
		}
	}
	for _, each := range numbers {
		each.findEarliest(latest, complain)
		if each.decided && each.possible && each.earliest.After(each.decidedBy) {
			complain("%d was decided by %s, but %s precedes it at %s or later", each.version, stamp(each.decidedBy), latestRead, stamp(each.earliest))
		}
		for _, read := range each.reads {
			minimum := later(read.began, each.earliest)
			if minimum.After(read.ended) {
				complain("%d was read by %s, but was decided at %s or later", each.version, stamp(read.ended), stamp(minimum))
			}
			if minimum.After(latest) {
				latest, latestRead = minimum, fmt.Sprintf("a read of %d", each.version)
			}
		}
		if !r.AcknowledgesOlder && each.decided && each.earliest.After(latest) {
			latest, latestRead = each.earliest, fmt.Sprintf("the decision of %d", each.version)
		}
	}
	r.checkOlder(numbers, complain)
	return faults
}

func stamp(at time.Time) string { return at.Format("05.0000") }

func later(left, right time.Time) time.Time {
	if right.After(left) {
		return right
	}
	return left
}

// byNumber groups the history by number and sorts the groups, the lowest number first.
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

// collectResponses finds the decided content of a number and the latest possible time of its decision,
// from the responses. It reports responses that contradict each other.
func (n *number) collectResponses(complain func(text string, values ...any)) {
	decided := func(at time.Time) {
		if !n.decided || at.Before(n.decidedBy) {
			n.decided, n.decidedBy = true, at
		}
	}
	setContent := func(content, how string) {
		if n.known && n.content != content {
			complain("two contents of %d were reported, one of them %s", n.version, how)
		}
		if !n.known {
			n.known, n.content = true, content
		}
	}
	for _, put := range n.puts {
		switch put.answer {
		case Acknowledged:
			setContent(put.content, "acknowledged by "+stamp(put.ended))
			decided(put.ended)
		case RejectedConflict:
			decided(put.ended)
		}
	}
	for _, read := range n.reads {
		setContent(read.content, "read by "+stamp(read.ended))
		decided(read.ended)
	}
}

// findEarliest finds the earliest time at which the number can have been decided. This is not before
// after, the earliest time for everything that precedes the decision, and not before the
// begin of an order that can have decided it: one with the known content or, if the content
// is not known, with any content that was not rejected.
func (n *number) findEarliest(after time.Time, complain func(text string, values ...any)) {
	for _, put := range n.puts {
		if put.answer == RejectedOlder || !n.mayHaveContent(put.content) {
			continue
		}
		if !n.possible || put.began.Before(n.earliest) {
			n.earliest, n.possible = put.began, true
		}
	}
	if n.decided && !n.possible {
		complain("%d was reported as decided, but no order can have decided it", n.version)
	}
	n.earliest = later(n.earliest, after)
	for _, put := range n.puts {
		if put.answer == RejectedConflict && n.known && put.content == n.content {
			complain("%d was rejected by %s because of another content, but the decided content is the same", n.version, stamp(put.ended))
		}
		if put.answer == RejectedOlder {
			// It was undecided at that time and can't be decided any more.
			n.possible = false
			if n.decided {
				complain("%d was rejected by %s as older and undecided, but it was decided", n.version, stamp(put.ended))
			}
		}
	}
}

// mayHaveContent reports whether the number may have been decided with a content.
func (n *number) mayHaveContent(content string) bool {
	if n.known {
		return content == n.content
	}
	return !slices.ContainsFunc(n.puts, func(put *Put) bool { return put.answer == RejectedConflict && put.content == content })
}

// checkOlder checks that, whenever an order was rejected as older, a higher number can have
// been decided before.
func (r *Register) checkOlder(numbers []*number, complain func(text string, values ...any)) {
	for _, put := range r.puts {
		if put.answer != RejectedOlder {
			continue
		}
		if r.AcknowledgesOlder {
			complain("%d was rejected as older in the mode in which older numbers are acknowledged", put.version)
			continue
		}
		if !slices.ContainsFunc(numbers, func(each *number) bool {
			return each.version > put.version && each.possible && !each.earliest.After(put.ended)
		}) {
			complain("%d was rejected as older by %s, but no higher number was decided", put.version, stamp(put.ended))
		}
	}
}
