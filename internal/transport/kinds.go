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

// kindSums are running sums, one for each registered number.
type kindSums struct {
	places map[uint16]int
	sums   []kindSum
}

type kindSum struct{ messages, bytes atomic.Int64 }

func newKindSums() kindSums {
	made := kindSums{places: map[uint16]int{}, sums: make([]kindSum, len(typeOfNumber))}
	for place, number := range slices.Sorted(maps.Keys(typeOfNumber)) {
		made.places[number] = place
	}
	return made
}

func (ks *kindSums) add(message any, size int) {
	place, found := ks.places[numberOfType[reflect.TypeOf(message)]]
	if !found {
		return
	}
	ks.sums[place].messages.Add(1)
	ks.sums[place].bytes.Add(int64(size))
}

// counts gives the sums of the kinds that occurred, by their names.
func (ks *kindSums) counts() map[string]KindCount {
	counts := map[string]KindCount{}
	for number, place := range ks.places {
		count := KindCount{Messages: ks.sums[place].messages.Load(), Bytes: ks.sums[place].bytes.Load()}
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
