// Counting by kind of message: what crosses a daemon's links, so that whatever
// fills a link has a name. Bytes are those of the frames, before a turn is packed.

package transport

import (
	"maps"
	"reflect"
	"slices"
	"sync/atomic"
)

// KindCount is how many messages of a kind crossed links, and their bytes.
type KindCount struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// kindCounters are running sums, one for each registered number.
type kindCounters struct {
	indexes map[uint16]int
	counters   []kindCounter
}

type kindCounter struct{ messages, bytes atomic.Int64 }

func newKindCounters() kindCounters {
	made := kindCounters{indexes: map[uint16]int{}, counters: make([]kindCounter, len(typeOfNumber))}
	for place, number := range slices.Sorted(maps.Keys(typeOfNumber)) {
		made.indexes[number] = place
	}
	return made
}

func (ks *kindCounters) add(message any, size int) {
	place, found := ks.indexes[numberOfType[reflect.TypeOf(message)]]
	if !found {
		return
	}
	ks.counters[place].messages.Add(1)
	ks.counters[place].bytes.Add(int64(size))
}

// counts gives the sums of the kinds that occurred, by their names.
func (ks *kindCounters) counts() map[string]KindCount {
	counts := map[string]KindCount{}
	for number, place := range ks.indexes {
		count := KindCount{Messages: ks.counters[place].messages.Load(), Bytes: ks.counters[place].bytes.Load()}
		if count.Messages > 0 {
			counts[KindName(number)] = count
		}
	}
	return counts
}

// Sent tells what the owner sent, by kind; whether it arrived is another matter.
func (t *Transport) Sent() map[string]KindCount { return t.sent.counts() }

// Received tells what came in, by kind.
func (t *Transport) Received() map[string]KindCount { return t.received.counts() }
