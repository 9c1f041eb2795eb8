package transport

import (
	"maps"
	"slices"
	"sync/atomic"
)

// KindCount is how many messages of one kind crossed the links, and the bytes
// of their frames before compression.
type KindCount struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// kindCounters are running sums by registered number. They may be read at any
// time while one goroutine adds.
type kindCounters struct {
	// indexes are those of counters by number; they are fixed from the start.
	indexes  map[uint16]int
	counters []kindCounter
}

type kindCounter struct{ messages, bytes atomic.Int64 }

func newKindCounters() kindCounters {
	made := kindCounters{
		indexes:  map[uint16]int{},
		counters: make([]kindCounter, len(typeOfNumber)),
	}
	for index, number := range slices.Sorted(maps.Keys(typeOfNumber)) {
		made.indexes[number] = index
	}
	return made
}

// add counts one message, unless its type isn't registered.
func (kc *kindCounters) add(message any, size int) {
	index, found := kc.indexes[numberOf(message)]
	if !found {
		return
	}
	kc.counters[index].messages.Add(1)
	kc.counters[index].bytes.Add(int64(size))
}

// counts returns the sums of the kinds that occurred, by KindName.
func (kc *kindCounters) counts() map[string]KindCount {
	counts := map[string]KindCount{}
	for number, index := range kc.indexes {
		counter := &kc.counters[index]
		count := KindCount{Messages: counter.messages.Load(), Bytes: counter.bytes.Load()}
		if count.Messages > 0 {
			counts[KindName(number)] = count
		}
	}
	return counts
}

// Sent returns what the owner sent, by kind, whether or not it arrived.
func (t *Transport) Sent() map[string]KindCount { return t.sent.counts() }

// Received returns what was received, by kind.
func (t *Transport) Received() map[string]KindCount { return t.received.counts() }
