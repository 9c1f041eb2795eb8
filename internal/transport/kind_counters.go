package transport

import (
	"maps"
	"slices"
	"sync/atomic"
)

// KindCount is the number of messages of one kind that were sent or received, and the
// size of their frames before compression.
type KindCount struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// kindCounters has totals by the number of the message type. They may be read at any
// time while one goroutine adds.
type kindCounters struct {
	// indexes has the index into counters of each number. It doesn't change after
	// newKindCounters.
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

// counts returns the totals by KindName, without those that are zero.
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

// Sent returns the totals of messages that the owner passed to Send or SendBefore, by
// kind, whether or not they were delivered.
func (t *Transport) Sent() map[string]KindCount { return t.sent.counts() }

// Received returns the totals of received messages by kind.
func (t *Transport) Received() map[string]KindCount { return t.received.counts() }
