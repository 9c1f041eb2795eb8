// Benchmarks of the cells: the start of a fleet, a daemon that joins a running fleet, a
// reset of most connections, and single calls. Frames are encoded and decoded as on a
// network link. The benchmarks report, for each daemon, the signals, frames and bytes
// sent and the processor time spent in the overlay and the codec.
package overlay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

type parcel struct {
	at    time.Time
	order int
	from  string
	to    string
	frame []byte
}

type parcels []parcel

func (p parcels) Len() int { return len(p) }
func (p parcels) Less(left, right int) bool {
	if !p[left].at.Equal(p[right].at) {
		return p[left].at.Before(p[right].at)
	}
	return p[left].order < p[right].order
}
func (p parcels) Swap(left, right int) { p[left], p[right] = p[right], p[left] }
func (p *parcels) Push(item any)       { *p = append(*p, item.(parcel)) }
func (p *parcels) Pop() any {
	last := len(*p) - 1
	item := (*p)[last]
	*p = (*p)[:last]
	return item
}

// yard simulates a fleet with a network latency of one millisecond. It measures the
// processor time of each step.
type yard struct {
	now       time.Time
	random    *rand.Rand
	names     []string
	parts     map[string]*Overlay
	lives     map[string]uint64
	queue     parcels
	order     int
	bytes     int
	frames    int
	processor time.Duration
}

func newYard(seed uint64, count int) *yard {
	yard := &yard{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 11)), names: gatewayNames(count),
		parts: map[string]*Overlay{}, lives: map[string]uint64{},
	}
	for position, name := range yard.names {
		yard.parts[name], yard.lives[name] = New(name), uint64(position+1)
	}
	return yard
}

func (y *yard) step(name string, run func(part *Overlay, effects *statemachine.Effects)) {
	var effects statemachine.Effects
	began := time.Now()
	run(y.parts[name], &effects)
	var frames [][]byte
	for _, send := range effects.Sends {
		frame, err := transport.Encode(statemachine.Meta{From: "10.0.0.1:7000"}, send.Message)
		if err != nil {
			panic(err)
		}
		frames = append(frames, frame)
	}
	y.processor += time.Since(began)
	for position, send := range effects.Sends {
		y.frames++
		y.bytes += len(frames[position])
		y.order++
		heap.Push(&y.queue, parcel{at: y.now.Add(time.Millisecond), order: y.order, from: name, to: send.To, frame: frames[position]})
	}
}

func (y *yard) run(length time.Duration) {
	until := y.now.Add(length)
	for {
		next, due := until, ""
		for _, name := range y.names {
			if at := y.parts[name].NextTick(); !at.IsZero() && at.Before(next) {
				next, due = at, name
			}
		}
		if len(y.queue) > 0 && y.queue[0].at.Before(next) {
			taken := heap.Pop(&y.queue).(parcel)
			if taken.at.After(y.now) {
				y.now = taken.at
			}
			y.step(taken.to, func(part *Overlay, effects *statemachine.Effects) {
				_, message, err := transport.Decode(taken.frame[4:])
				if err != nil {
					panic(err)
				}
				part.HandleSignals(y.now, message.(Signals), effects)
			})
			continue
		}
		if due == "" {
			y.now = until
			return
		}
		if next.After(y.now) {
			y.now = next
		}
		y.step(due, func(part *Overlay, effects *statemachine.Effects) { part.Tick(y.now, effects) })
	}
}

func (y *yard) view() {
	for _, name := range y.names {
		others := map[string]Gateway{}
		for _, other := range y.names {
			if other != name {
				others[other] = Gateway{Name: other, Address: other, Joined: y.lives[other]}
			}
		}
		y.step(name, func(part *Overlay, effects *statemachine.Effects) {
			part.SetView(y.now, others, effects)
			part.SetIncarnation(y.now, y.lives[name], effects)
		})
	}
}

// seat is a subscription of a client.
type seat struct{ gateway, topic string }

type house struct {
	*yard
	counts map[seat]int
	seats  []seat
}

const (
	seatsEach  = 3
	callersAll = 4950
	topicsAll  = 1030
)

func (h *house) take(name, topic string, step int) {
	at := seat{name, topic}
	h.counts[at] += step
	h.step(name, func(part *Overlay, effects *statemachine.Effects) {
		part.SetSubscribers(h.now, trialPlane, topic, h.counts[at], effects)
	})
}

// arrive connects clients to random gateways, one after another within some time, each
// with its subscriptions.
func (h *house) arrive(callers int, within time.Duration) {
	for range callers {
		name := h.names[h.random.IntN(len(h.names))]
		for range seatsEach {
			topic := topicNamed(h.random.IntN(topicsAll))
			h.take(name, topic, 1)
			h.seats = append(h.seats, seat{name, topic})
		}
		h.run(within / time.Duration(callers))
	}
}

func (h *house) reset(fraction float64) int {
	var kept []seat
	gone := 0
	for _, at := range h.seats {
		if h.random.Float64() < fraction {
			h.take(at.gateway, at.topic, -1)
			gone++
		} else {
			kept = append(kept, at)
		}
	}
	h.seats = kept
	return gone
}

func newHouse(count int) *house {
	house := &house{yard: newYard(1, count), counts: map[seat]int{}}
	house.view()
	return house
}

func (y *yard) sum() (signals uint64) {
	for _, part := range y.parts {
		signals += part.Counts.SignalsOut
	}
	return signals
}

// report reports the cost per daemon since the last call of clear, which returned before.
func (y *yard) report(b *testing.B, before uint64) {
	each := float64(len(y.names) * b.N)
	signals := y.sum()
	b.ReportMetric(float64(signals-before)/each, "signals/daemon")
	b.ReportMetric(float64(y.frames)/each, "frames/daemon")
	b.ReportMetric(float64(y.bytes)/each, "bytes/daemon")
	b.ReportMetric(float64(y.processor.Microseconds())/1000/each, "ms/daemon")
	b.ReportMetric(0, "ns/op")
}

func (y *yard) clear() uint64 {
	y.frames, y.bytes, y.processor = 0, 0, 0
	signals := y.sum()
	return signals
}

var fleets = []int{7, 50}

// BenchmarkStart measures the start of a fleet: all daemons join all cells at once, and
// checks follow.
func BenchmarkStart(b *testing.B) {
	for _, count := range fleets {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var spent yard
			var signals uint64
			for range b.N {
				house := newHouse(count)
				house.clear()
				for _, name := range house.names {
					for topic := range 100 {
						house.take(name, topicNamed(topic), 1)
					}
				}
				house.run(1500 * time.Millisecond)
				spent.frames, spent.bytes, spent.processor = spent.frames+house.frames, spent.bytes+house.bytes, spent.processor+house.processor
				spent.names = house.names
				sum := house.sum()
				signals += sum
			}
			spent.report(b, -signals)
		})
	}
}

// BenchmarkArrival measures 4950 clients with three subscriptions each that connect
// within two seconds. KiB/daemon is the heap that each overlay uses afterwards.
func BenchmarkArrival(b *testing.B) {
	for _, count := range fleets {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var spent yard
			var signals uint64
			var held float64
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				house := newHouse(count)
				house.clear()
				house.arrive(callersAll, 2*time.Second)
				house.run(500 * time.Millisecond)
				spent.frames, spent.bytes, spent.processor = spent.frames+house.frames, spent.bytes+house.bytes, spent.processor+house.processor
				spent.names = house.names
				sum := house.sum()
				signals += sum
				house.counts, house.seats, house.queue = nil, nil, nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				held += float64(after.HeapAlloc) - float64(before.HeapAlloc)
				runtime.KeepAlive(house)
			}
			spent.report(b, -signals)
			b.ReportMetric(held/1024/float64(count*b.N), "KiB/daemon")
		})
	}
}

// BenchmarkReset measures a reset of four fifths of all connections; the clients
// reconnect to random gateways within a second.
func BenchmarkReset(b *testing.B) {
	for _, count := range fleets {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			house := newHouse(count)
			house.arrive(callersAll, 2*time.Second)
			house.run(3 * time.Second)
			before := house.clear()
			for range b.N {
				gone := house.reset(0.8)
				house.arrive(gone/seatsEach, time.Second)
				house.run(500 * time.Millisecond)
			}
			house.report(b, before)
		})
	}
}

// BenchmarkQuiet measures ten seconds without changes.
func BenchmarkQuiet(b *testing.B) {
	for _, count := range fleets {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			house := newHouse(count)
			house.arrive(callersAll, 2*time.Second)
			house.run(3 * time.Second)
			before := house.clear()
			for range b.N {
				house.run(10 * time.Second)
			}
			house.report(b, before)
		})
	}
}

// BenchmarkJoin measures a daemon that joins a running fleet and all its cells. It
// reports the total cost of all daemons.
func BenchmarkJoin(b *testing.B) {
	for _, count := range fleets {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var spent yard
			var signals uint64
			for range b.N {
				house := newHouse(count)
				house.arrive(1000, time.Second)
				house.run(3 * time.Second)
				house.names = append(house.names, "newcomer")
				house.parts["newcomer"], house.lives["newcomer"] = New("newcomer"), 1000
				before := house.clear()
				house.view()
				for topic := range 100 {
					house.take("newcomer", topicNamed(topic), 1)
				}
				house.run(300 * time.Millisecond)
				spent.frames, spent.bytes, spent.processor = spent.frames+house.frames, spent.bytes+house.bytes, spent.processor+house.processor
				sum := house.sum()
				signals += sum - before
			}
			spent.names = []string{"all"}
			spent.report(b, -signals)
		})
	}
}

// BenchmarkTell measures a call of SetSubscribers on a daemon that has joined all cells.
func BenchmarkTell(b *testing.B) {
	house := newHouse(50)
	house.arrive(callersAll, 2*time.Second)
	part := house.parts[house.names[0]]
	topics := someTopics(topicsAll)
	b.ResetTimer()
	for turn := range b.N {
		var effects statemachine.Effects
		part.SetSubscribers(house.now, trialPlane, topics[turn%topicsAll], turn/topicsAll%3, &effects)
	}
}

// BenchmarkListeners measures the lookup of the destinations of a publication.
func BenchmarkListeners(b *testing.B) {
	house := newHouse(50)
	house.arrive(callersAll, 2*time.Second)
	house.run(time.Second)
	part := house.parts[house.names[0]]
	topics := someTopics(topicsAll)
	b.ResetTimer()
	for turn := range b.N {
		part.SubscribedDaemons(trialPlane, topics[turn%topicsAll])
	}
}

// BenchmarkSpaceJoins measures clients that subscribe and publish to topics of a space
// without routes. It reports the signals per daemon and per join.
func BenchmarkSpaceJoins(b *testing.B) {
	for _, count := range fleets {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var spent yard
			var signals, joins, tells, greets uint64
			for range b.N {
				house := newHouse(count)
				house.clear()
				for range 600 {
					name := house.names[house.random.IntN(len(house.names))]
					for range 2 {
						area := AreaOf(fmt.Sprintf("board/%d", house.random.IntN(1000)))
						house.step(name, func(part *Overlay, effects *statemachine.Effects) {
							part.Subscribe(house.now, "space", area, nil, effects)
						})
					}
					area := AreaOf(fmt.Sprintf("board/%d", house.random.IntN(1000)))
					house.step(name, func(part *Overlay, effects *statemachine.Effects) {
						part.Publish(house.now, "space", area, nil, effects)
					})
					house.run(5 * time.Millisecond)
				}
				house.run(500 * time.Millisecond)
				spent.frames, spent.bytes, spent.processor = spent.frames+house.frames, spent.bytes+house.bytes, spent.processor+house.processor
				spent.names = house.names
				for _, part := range house.parts {
					signals += part.Counts.SignalsOut
					tells += part.Counts.ByKind[SignalAnnounce]
					greets += part.Counts.ByKind[SignalGreet]
				}
			}
			spent.report(b, -signals)
			b.ReportMetric(float64(signals)/float64(joins), "signals/join")
			b.ReportMetric(float64(greets)/float64(joins), "greets/join")
			b.ReportMetric(float64(tells)/float64(joins), "tells/join")
		})
	}
}
