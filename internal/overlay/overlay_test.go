// Tests the overlay against a brute-force checker. After random joins, leaves and
// faults, the destinations of each publishing peer must be exactly the daemons that
// subscribe to an area covering its area, and the number of signals must stay small.
package overlay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// net is a simulated, seeded network of overlays in virtual time.
type net struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	parts   map[string]*Overlay
	lives   map[string]uint64
	queue   []letter
	loss    float64
	signals int
	// cut has the directed links on which all frames are lost, frozen the daemons that
	// make no steps, and held the frames that arrived at frozen daemons.
	cut    map[[2]string]bool
	frozen map[string]bool
	held   []letter
	// rate is the bandwidth of a daemon's link in bytes per second, 0 for unlimited;
	// free is when each link has transferred all of its frames, and bytes the total of
	// all links.
	rate  int
	free  map[string]time.Time
	bytes int
}

type letter struct {
	at      time.Time
	from    string
	to      string
	signals Signals
	order   int
}

func newNet(t *testing.T, seed uint64) *net {
	return &net{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), parts: map[string]*Overlay{}, lives: map[string]uint64{}, free: map[string]time.Time{},
	}
}

func (n *net) carry(from string, effects *statemachine.Effects) {
	for _, send := range effects.Sends {
		n.signals += len(send.Message.(Signals).Signals)
		if n.random.Float64() < n.loss || n.cut[[2]string{from, send.To}] {
			continue
		}
		delay := time.Duration(1+n.random.IntN(3)) * time.Millisecond
		at := n.passed(from, send.Message).Add(delay)
		for _, earlier := range n.queue {
			if earlier.from == from && earlier.to == send.To && earlier.at.After(at) {
				at = earlier.at
			}
		}
		n.queue = append(n.queue, letter{at: at, from: from, to: send.To, signals: send.Message.(Signals), order: len(n.queue)})
	}
}

// passed returns when a daemon's link has transferred a message.
func (n *net) passed(from string, message any) time.Time {
	if n.rate == 0 {
		return n.now
	}
	size := len(transport.MustMarshal(message))
	n.bytes += size
	begin := n.now
	if n.free[from].After(begin) {
		begin = n.free[from]
	}
	n.free[from] = begin.Add(time.Duration(size) * time.Second / time.Duration(n.rate))
	return n.free[from]
}

// run advances the virtual time.
func (n *net) run(length time.Duration) {
	until := n.now.Add(length)
	for {
		next := until
		pick := -1
		for position, each := range n.queue {
			if each.at.Before(next) || pick >= 0 && each.at.Equal(next) && position < pick {
				next, pick = each.at, position
			}
		}
		due := ""
		for name, part := range statemachine.Sorted(n.parts) {
			if at := part.NextTick(); !n.frozen[name] && !at.IsZero() && at.Before(next) {
				next, due, pick = at, name, -1
			}
		}
		if pick < 0 && due == "" {
			n.now = until
			return
		}
		if next.After(n.now) {
			n.now = next
		}
		var effects statemachine.Effects
		if pick >= 0 {
			taken := n.queue[pick]
			n.queue = slices.Delete(n.queue, pick, pick+1)
			part, alive := n.parts[taken.to]
			if !alive {
				continue
			}
			if n.frozen[taken.to] {
				n.held = append(n.held, taken)
				continue
			}
			part.HandleSignals(n.now, taken.signals, &effects)
			n.carry(taken.to, &effects)
			continue
		}
		n.parts[due].Tick(n.now, &effects)
		n.carry(due, &effects)
	}
}

// thaw delivers the frames that arrived while a daemon was frozen.
func (n *net) thaw(name string) {
	held := n.held
	n.held = nil
	for _, each := range held {
		if each.to != name {
			n.held = append(n.held, each)
			continue
		}
		each.at = n.now
		n.queue = append(n.queue, each)
	}
}

// view sets the current view on every daemon.
func (n *net) view() {
	for name, part := range statemachine.Sorted(n.parts) {
		others := map[string]Gateway{}
		for other, incarnation := range n.lives {
			if other != name && n.parts[other] != nil {
				others[other] = Gateway{Name: other, Address: other, Joined: incarnation}
			}
		}
		var effects statemachine.Effects
		part.SetView(n.now, others, &effects)
		part.SetIncarnation(n.now, n.lives[name], &effects)
		n.carry(name, &effects)
	}
}

func (n *net) come(name string, incarnation uint64) {
	n.parts[name] = New(name)
	n.lives[name] = incarnation
}

type checker struct {
	subscribed map[string]map[Area]int
	published  map[string]map[Area]bool
}

func (n *net) check(seed uint64, truth *checker) {
	for _, line := range n.wrongRegions("space") {
		assert.Check(n.t, false, "seed %d: %s", seed, line)
	}
	for name := range statemachine.Sorted(n.parts) {
		for area := range truth.published[name] {
			var wanted []string
			for other, areas := range statemachine.Sorted(truth.subscribed) {
				covers := false
				for held, count := range areas {
					covers = covers || count > 0 && held.Covers(area)
				}
				if other != name && covers && n.parts[other] != nil {
					wanted = append(wanted, other)
				}
			}
			got := n.parts[name].Destinations("space", area)
			assert.Check(n.t, slices.Equal(got, wanted), "seed %d: from %s at %v: got %v, wanted %v", seed, name, area, got, wanted)
		}
	}
}

func topicOf(random *rand.Rand) string {
	return fmt.Sprintf("p%d/b%d", random.IntN(4), random.IntN(6))
}

func act(net *net, truth *checker, name string) {
	part := net.parts[name]
	random := net.random
	path := topicOf(random)
	switch random.IntN(8) {
	case 0:
		path = path[:2]
	case 1:
		path = ""
	}
	area := AreaOf(path)
	var effects statemachine.Effects
	switch random.IntN(5) {
	case 0, 1:
		part.Subscribe(net.now, "space", area, nil, &effects)
		truth.subscribed[name][area]++
	case 2:
		if truth.subscribed[name][area] > 0 {
			part.Unsubscribe(net.now, "space", area, &effects)
			truth.subscribed[name][area]--
		}
	default:
		area = AreaOf(topicOf(random))
		part.Publish(net.now, "space", area, nil, &effects)
		truth.published[name][area] = true
	}
	net.carry(name, &effects)
}

// use publishes at all publishing peers, so that they don't leave.
func (n *net) use(truth *checker) {
	for name, areas := range statemachine.Sorted(truth.published) {
		for area := range areas {
			var effects statemachine.Effects
			n.parts[name].Publish(n.now, "space", area, nil, &effects)
			n.carry(name, &effects)
		}
	}
}

func newChecker(names ...string) *checker {
	truth := &checker{subscribed: map[string]map[Area]int{}, published: map[string]map[Area]bool{}}
	for _, name := range names {
		truth.subscribed[name], truth.published[name] = map[Area]int{}, map[Area]bool{}
	}
	return truth
}

func TestDestinationsMatchTheChecker(t *testing.T) {
	for seed := range uint64(40) {
		net := newNet(t, seed)
		names := []string{"a", "b", "c", "d", "e"}
		truth := newChecker(names...)
		for position, name := range names {
			net.come(name, uint64(position+1))
		}
		net.view()
		for range 120 {
			act(net, truth, names[net.random.IntN(len(names))])
			net.run(time.Duration(net.random.IntN(12)) * time.Millisecond)
		}
		net.run(3 * time.Second)
		net.check(seed, truth)
		if t.Failed() {
			return
		}
	}
}

func TestDestinationsHealAfterADaemonIsLost(t *testing.T) {
	for seed := range uint64(30) {
		net := newNet(t, seed)
		names := []string{"a", "b", "c", "d", "e", "f"}
		truth := newChecker(names...)
		for position, name := range names {
			net.come(name, uint64(position+1))
		}
		net.view()
		for range 150 {
			act(net, truth, names[net.random.IntN(len(names))])
			net.run(time.Duration(net.random.IntN(6)) * time.Millisecond)
		}
		lost := names[net.random.IntN(len(names))]
		delete(net.parts, lost)
		net.run(time.Second)
		net.view()
		net.run(4 * time.Second)
		net.check(seed, truth)
		// The lost daemon restarts without subscriptions and subscribes again.
		net.come(lost, 100)
		truth.subscribed[lost], truth.published[lost] = map[Area]int{}, map[Area]bool{}
		net.view()
		for range 40 {
			act(net, truth, lost)
			net.run(time.Duration(net.random.IntN(6)) * time.Millisecond)
		}
		net.run(4 * time.Second)
		net.check(seed, truth)
		if t.Failed() {
			return
		}
	}
}

func TestSettledSubscriptionIsKnownToEveryPublisher(t *testing.T) {
	for seed := range uint64(40) {
		net := newNet(t, seed)
		names := []string{"a", "b", "c", "d"}
		truth := newChecker(names...)
		for position, name := range names {
			net.come(name, uint64(position+1))
		}
		net.view()
		for range 80 {
			act(net, truth, names[net.random.IntN(len(names))])
			net.run(time.Duration(net.random.IntN(6)) * time.Millisecond)
		}
		net.run(3 * time.Second)
		done := false
		area := AreaOf("p1")
		var effects statemachine.Effects
		net.parts["a"].Subscribe(net.now, "space", area, func(_ time.Time, _ *statemachine.Effects, well bool) { done = well }, &effects)
		truth.subscribed["a"][area]++
		net.carry("a", &effects)
		for range 1000 {
			if done {
				break
			}
			net.run(time.Millisecond)
		}
		assert.Assert(t, done, "seed %d", seed)
		net.check(seed, truth)
		if t.Failed() {
			return
		}
	}
}

func TestQuietOverlayStaysQuiet(t *testing.T) {
	net := newNet(t, 1)
	names := []string{"a", "b", "c"}
	truth := newChecker(names...)
	for position, name := range names {
		net.come(name, uint64(position+1))
	}
	net.view()
	for range 60 {
		act(net, truth, names[net.random.IntN(len(names))])
		net.run(5 * time.Millisecond)
	}
	net.run(3 * time.Second)
	before := net.signals
	net.run(40 * time.Second)
	assert.Assert(t, net.signals-before < 40*3*20, "%d signals in 40 quiet seconds", net.signals-before)
}

func TestLostSignalsHeal(t *testing.T) {
	for seed := range uint64(12) {
		net := newNet(t, seed)
		net.loss = 0.15
		names := []string{"a", "b", "c", "d", "e"}
		truth := newChecker(names...)
		for position, name := range names {
			net.come(name, uint64(position+1))
		}
		net.view()
		for range 100 {
			act(net, truth, names[net.random.IntN(len(names))])
			net.run(time.Duration(net.random.IntN(20)) * time.Millisecond)
		}
		net.loss = 0
		for range 12 {
			net.use(truth)
			net.run(20 * time.Second)
		}
		net.check(seed, truth)
		if t.Failed() {
			return
		}
	}
}
