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

type queuedFrame struct {
	at    time.Time
	order int
	from  string
	to    string
	frame []byte
}

type deliveryQueue []queuedFrame

func (q deliveryQueue) Len() int { return len(q) }
func (q deliveryQueue) Less(left, right int) bool {
	if !q[left].at.Equal(q[right].at) {
		return q[left].at.Before(q[right].at)
	}
	return q[left].order < q[right].order
}
func (q deliveryQueue) Swap(left, right int) { q[left], q[right] = q[right], q[left] }
func (q *deliveryQueue) Push(item any)       { *q = append(*q, item.(queuedFrame)) }
func (q *deliveryQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// benchNetwork simulates a fleet with a network latency of one millisecond. It measures
// the processor time of each step.
type benchNetwork struct {
	now           time.Time
	random        *rand.Rand
	names         []string
	overlays      map[string]*Overlay
	incarnations  map[string]uint64
	queue         deliveryQueue
	order         int
	bytes         int
	frames        int
	processorTime time.Duration
}

func newBenchNetwork(seed uint64, count int) *benchNetwork {
	network := &benchNetwork{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 11)), names: gatewayNames(count),
		overlays: map[string]*Overlay{}, incarnations: map[string]uint64{},
	}
	for position, name := range network.names {
		network.overlays[name], network.incarnations[name] = New(name), uint64(position+1)
	}
	return network
}

func (n *benchNetwork) step(name string, run func(overlay *Overlay, effects *statemachine.Effects)) {
	var effects statemachine.Effects
	began := time.Now()
	run(n.overlays[name], &effects)
	var frames [][]byte
	for _, send := range effects.Sends {
		frame, err := transport.Encode(statemachine.Meta{From: "10.0.0.1:7000"}, send.Message)
		if err != nil {
			panic(err)
		}
		frames = append(frames, frame)
	}
	n.processorTime += time.Since(began)
	for position, send := range effects.Sends {
		n.frames++
		n.bytes += len(frames[position])
		n.order++
		heap.Push(&n.queue, queuedFrame{at: n.now.Add(time.Millisecond), order: n.order, from: name, to: send.To, frame: frames[position]})
	}
}

func (n *benchNetwork) run(length time.Duration) {
	until := n.now.Add(length)
	for {
		next, due := until, ""
		for _, name := range n.names {
			if at := n.overlays[name].NextTick(); !at.IsZero() && at.Before(next) {
				next, due = at, name
			}
		}
		if len(n.queue) > 0 && n.queue[0].at.Before(next) {
			arrived := heap.Pop(&n.queue).(queuedFrame)
			if arrived.at.After(n.now) {
				n.now = arrived.at
			}
			n.step(arrived.to, func(overlay *Overlay, effects *statemachine.Effects) {
				_, message, err := transport.Decode(arrived.frame[4:])
				if err != nil {
					panic(err)
				}
				overlay.HandleSignals(n.now, message.(Signals), effects)
			})
			continue
		}
		if due == "" {
			n.now = until
			return
		}
		if next.After(n.now) {
			n.now = next
		}
		n.step(due, func(overlay *Overlay, effects *statemachine.Effects) { overlay.Tick(n.now, effects) })
	}
}

func (n *benchNetwork) setViews() {
	for _, name := range n.names {
		others := map[string]Gateway{}
		for _, other := range n.names {
			if other != name {
				others[other] = Gateway{Name: other, Address: other, Joined: n.incarnations[other]}
			}
		}
		n.step(name, func(overlay *Overlay, effects *statemachine.Effects) {
			overlay.SetView(n.now, others, effects)
			overlay.SetIncarnation(n.now, n.incarnations[name], effects)
		})
	}
}

// subscription is a subscription of a client.
type subscription struct{ gateway, topic string }

type benchFleet struct {
	*benchNetwork
	counts        map[subscription]int
	subscriptions []subscription
}

const (
	subscriptionsPerClient = 3
	clientCount            = 4950
	topicCount             = 1030
)

func (f *benchFleet) changeCount(name, topic string, step int) {
	at := subscription{name, topic}
	f.counts[at] += step
	f.step(name, func(overlay *Overlay, effects *statemachine.Effects) {
		overlay.SetSubscribers(f.now, testPlane, topic, f.counts[at], effects)
	})
}

// connectClients connects clients to random gateways, one after another within some
// time, each with its subscriptions.
func (f *benchFleet) connectClients(clients int, within time.Duration) {
	for range clients {
		name := f.names[f.random.IntN(len(f.names))]
		for range subscriptionsPerClient {
			topic := topicNamed(f.random.IntN(topicCount))
			f.changeCount(name, topic, 1)
			f.subscriptions = append(f.subscriptions, subscription{name, topic})
		}
		f.run(within / time.Duration(clients))
	}
}

func (f *benchFleet) disconnect(fraction float64) int {
	var kept []subscription
	disconnected := 0
	for _, at := range f.subscriptions {
		if f.random.Float64() < fraction {
			f.changeCount(at.gateway, at.topic, -1)
			disconnected++
		} else {
			kept = append(kept, at)
		}
	}
	f.subscriptions = kept
	return disconnected
}

func newBenchFleet(count int) *benchFleet {
	fleet := &benchFleet{benchNetwork: newBenchNetwork(1, count), counts: map[subscription]int{}}
	fleet.setViews()
	return fleet
}

func (n *benchNetwork) signalsSent() (signals uint64) {
	for _, overlay := range n.overlays {
		signals += overlay.Counts.SignalsOut
	}
	return signals
}

// report reports the cost per daemon since the last call of resetCosts. The parameter
// before is the result of that call: the number of signals that were sent until then.
func (n *benchNetwork) report(b *testing.B, before uint64) {
	each := float64(len(n.names) * b.N)
	signals := n.signalsSent()
	b.ReportMetric(float64(signals-before)/each, "signals/daemon")
	b.ReportMetric(float64(n.frames)/each, "frames/daemon")
	b.ReportMetric(float64(n.bytes)/each, "bytes/daemon")
	b.ReportMetric(float64(n.processorTime.Microseconds())/1000/each, "ms/daemon")
	b.ReportMetric(0, "ns/op")
}

func (n *benchNetwork) resetCosts() uint64 {
	n.frames, n.bytes, n.processorTime = 0, 0, 0
	signals := n.signalsSent()
	return signals
}

var fleetSizes = []int{7, 50}

// BenchmarkStart measures the start of a fleet: all daemons join all cells at once, and
// checks follow.
func BenchmarkStart(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var spent benchNetwork
			var signals uint64
			for range b.N {
				fleet := newBenchFleet(count)
				fleet.resetCosts()
				for _, name := range fleet.names {
					for topic := range 100 {
						fleet.changeCount(name, topicNamed(topic), 1)
					}
				}
				fleet.run(1500 * time.Millisecond)
				spent.frames, spent.bytes, spent.processorTime = spent.frames+fleet.frames, spent.bytes+fleet.bytes, spent.processorTime+fleet.processorTime
				spent.names = fleet.names
				sum := fleet.signalsSent()
				signals += sum
			}
			spent.report(b, -signals)
		})
	}
}

// BenchmarkArrival measures 4950 clients with three subscriptions each that connect
// within two seconds. KiB/daemon is the heap that each overlay uses afterwards.
func BenchmarkArrival(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var spent benchNetwork
			var signals uint64
			var heapUsed float64
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				fleet := newBenchFleet(count)
				fleet.resetCosts()
				fleet.connectClients(clientCount, 2*time.Second)
				fleet.run(500 * time.Millisecond)
				spent.frames, spent.bytes, spent.processorTime = spent.frames+fleet.frames, spent.bytes+fleet.bytes, spent.processorTime+fleet.processorTime
				spent.names = fleet.names
				sum := fleet.signalsSent()
				signals += sum
				fleet.counts, fleet.subscriptions, fleet.queue = nil, nil, nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				heapUsed += float64(after.HeapAlloc) - float64(before.HeapAlloc)
				runtime.KeepAlive(fleet)
			}
			spent.report(b, -signals)
			b.ReportMetric(heapUsed/1024/float64(count*b.N), "KiB/daemon")
		})
	}
}

// BenchmarkReset measures a reset of four fifths of all connections; the clients
// reconnect to random gateways within a second.
func BenchmarkReset(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			fleet := newBenchFleet(count)
			fleet.connectClients(clientCount, 2*time.Second)
			fleet.run(3 * time.Second)
			before := fleet.resetCosts()
			for range b.N {
				disconnected := fleet.disconnect(0.8)
				fleet.connectClients(disconnected/subscriptionsPerClient, time.Second)
				fleet.run(500 * time.Millisecond)
			}
			fleet.report(b, before)
		})
	}
}

// BenchmarkIdle measures ten seconds without changes.
func BenchmarkIdle(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			fleet := newBenchFleet(count)
			fleet.connectClients(clientCount, 2*time.Second)
			fleet.run(3 * time.Second)
			before := fleet.resetCosts()
			for range b.N {
				fleet.run(10 * time.Second)
			}
			fleet.report(b, before)
		})
	}
}

// BenchmarkJoin measures a daemon that joins a running fleet and all its cells. It
// reports the total cost of all daemons.
func BenchmarkJoin(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var spent benchNetwork
			var signals uint64
			for range b.N {
				fleet := newBenchFleet(count)
				fleet.connectClients(1000, time.Second)
				fleet.run(3 * time.Second)
				fleet.names = append(fleet.names, "newcomer")
				fleet.overlays["newcomer"], fleet.incarnations["newcomer"] = New("newcomer"), 1000
				before := fleet.resetCosts()
				fleet.setViews()
				for topic := range 100 {
					fleet.changeCount("newcomer", topicNamed(topic), 1)
				}
				fleet.run(300 * time.Millisecond)
				spent.frames, spent.bytes, spent.processorTime = spent.frames+fleet.frames, spent.bytes+fleet.bytes, spent.processorTime+fleet.processorTime
				sum := fleet.signalsSent()
				signals += sum - before
			}
			spent.names = []string{"all"}
			spent.report(b, -signals)
		})
	}
}

// BenchmarkSetSubscribers measures a call of SetSubscribers on a daemon that has joined
// all cells.
func BenchmarkSetSubscribers(b *testing.B) {
	fleet := newBenchFleet(50)
	fleet.connectClients(clientCount, 2*time.Second)
	overlay := fleet.overlays[fleet.names[0]]
	topics := someTopics(topicCount)
	b.ResetTimer()
	for turn := range b.N {
		var effects statemachine.Effects
		overlay.SetSubscribers(fleet.now, testPlane, topics[turn%topicCount], turn/topicCount%3, &effects)
	}
}

// BenchmarkSubscribedDaemons measures the lookup of the destinations of a publication.
func BenchmarkSubscribedDaemons(b *testing.B) {
	fleet := newBenchFleet(50)
	fleet.connectClients(clientCount, 2*time.Second)
	fleet.run(time.Second)
	overlay := fleet.overlays[fleet.names[0]]
	topics := someTopics(topicCount)
	b.ResetTimer()
	for turn := range b.N {
		overlay.SubscribedDaemons(testPlane, topics[turn%topicCount])
	}
}

// BenchmarkSpaceJoins measures clients that subscribe and publish to topics of a space
// without routes. It reports the signals per daemon and per join.
func BenchmarkSpaceJoins(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var spent benchNetwork
			var signals, joins, announcements, greets uint64
			for range b.N {
				fleet := newBenchFleet(count)
				fleet.resetCosts()
				for range 600 {
					name := fleet.names[fleet.random.IntN(len(fleet.names))]
					for range 2 {
						area := AreaOf(fmt.Sprintf("board/%d", fleet.random.IntN(1000)))
						fleet.step(name, func(overlay *Overlay, effects *statemachine.Effects) {
							overlay.Subscribe(fleet.now, "space", area, nil, effects)
						})
					}
					area := AreaOf(fmt.Sprintf("board/%d", fleet.random.IntN(1000)))
					fleet.step(name, func(overlay *Overlay, effects *statemachine.Effects) {
						overlay.Publish(fleet.now, "space", area, nil, effects)
					})
					fleet.run(5 * time.Millisecond)
				}
				fleet.run(500 * time.Millisecond)
				spent.frames, spent.bytes, spent.processorTime = spent.frames+fleet.frames, spent.bytes+fleet.bytes, spent.processorTime+fleet.processorTime
				spent.names = fleet.names
				for _, overlay := range fleet.overlays {
					signals += overlay.Counts.SignalsOut
					announcements += overlay.Counts.ByKind[SignalAnnounce]
					greets += overlay.Counts.ByKind[SignalGreet]
				}
			}
			spent.report(b, -signals)
			b.ReportMetric(float64(signals)/float64(joins), "signals/join")
			b.ReportMetric(float64(greets)/float64(joins), "greets/join")
			b.ReportMetric(float64(announcements)/float64(joins), "tells/join")
		})
	}
}
