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

// network is a simulated, seeded network of overlays in virtual time.
type network struct {
	t            *testing.T
	now          time.Time
	random       *rand.Rand
	overlays     map[string]*Overlay
	incarnations map[string]uint64
	queue        []delivery
	loss         float64
	signals      int
	// cut has the directed links on which all frames are lost, frozen the daemons that
	// make no steps, and undelivered the frames that arrived at frozen daemons.
	cut         map[[2]string]bool
	frozen      map[string]bool
	undelivered []delivery
	// rate is the bandwidth of a daemon's link in bytes per second, 0 for unlimited;
	// freeAt is when each link has transferred all of its frames, and bytes the total of
	// all links.
	rate   int
	freeAt map[string]time.Time
	bytes  int
}

// delivery is a frame in flight.
type delivery struct {
	at      time.Time
	from    string
	to      string
	signals Signals
	order   int
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), overlays: map[string]*Overlay{}, incarnations: map[string]uint64{}, freeAt: map[string]time.Time{},
	}
}

// send puts the messages of a step in flight, unless they are lost.
func (n *network) send(from string, effects *statemachine.Effects) {
	for _, send := range effects.Sends {
		n.signals += len(send.Message.(Signals).Signals)
		if n.random.Float64() < n.loss || n.cut[[2]string{from, send.To}] {
			continue
		}
		delay := time.Duration(1+n.random.IntN(3)) * time.Millisecond
		at := n.transferredAt(from, send.Message).Add(delay)
		for _, earlier := range n.queue {
			if earlier.from == from && earlier.to == send.To && earlier.at.After(at) {
				at = earlier.at
			}
		}
		n.queue = append(n.queue, delivery{at: at, from: from, to: send.To, signals: send.Message.(Signals), order: len(n.queue)})
	}
}

// transferredAt returns when a daemon's link has transferred a message.
func (n *network) transferredAt(from string, message any) time.Time {
	if n.rate == 0 {
		return n.now
	}
	size := len(transport.MustMarshal(message))
	n.bytes += size
	begin := n.now
	if n.freeAt[from].After(begin) {
		begin = n.freeAt[from]
	}
	n.freeAt[from] = begin.Add(time.Duration(size) * time.Second / time.Duration(n.rate))
	return n.freeAt[from]
}

// run advances the virtual time.
func (n *network) run(length time.Duration) {
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
		for name, overlay := range statemachine.Sorted(n.overlays) {
			if at := overlay.NextTick(); !n.frozen[name] && !at.IsZero() && at.Before(next) {
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
			arrived := n.queue[pick]
			n.queue = slices.Delete(n.queue, pick, pick+1)
			overlay, alive := n.overlays[arrived.to]
			if !alive {
				continue
			}
			if n.frozen[arrived.to] {
				n.undelivered = append(n.undelivered, arrived)
				continue
			}
			overlay.HandleSignals(n.now, arrived.signals, &effects)
			n.send(arrived.to, &effects)
			continue
		}
		n.overlays[due].Tick(n.now, &effects)
		n.send(due, &effects)
	}
}

// unfreeze delivers the frames that arrived while a daemon was frozen.
func (n *network) unfreeze(name string) {
	undelivered := n.undelivered
	n.undelivered = nil
	for _, each := range undelivered {
		if each.to != name {
			n.undelivered = append(n.undelivered, each)
			continue
		}
		each.at = n.now
		n.queue = append(n.queue, each)
	}
}

// setViews sets the current view on every daemon.
func (n *network) setViews() {
	for name, overlay := range statemachine.Sorted(n.overlays) {
		others := map[string]Gateway{}
		for other, incarnation := range n.incarnations {
			if other != name && n.overlays[other] != nil {
				others[other] = Gateway{Name: other, Address: other, Joined: incarnation}
			}
		}
		var effects statemachine.Effects
		overlay.SetView(n.now, others, &effects)
		overlay.SetIncarnation(n.now, n.incarnations[name], &effects)
		n.send(name, &effects)
	}
}

// start starts or restarts a daemon.
func (n *network) start(name string, incarnation uint64) {
	n.overlays[name] = New(name)
	n.incarnations[name] = incarnation
}

// checker has the expected subscriptions and the publishing areas, by daemon.
type checker struct {
	subscribed map[string]map[Area]int
	published  map[string]map[Area]bool
}

func (n *network) checkDestinations(seed uint64, expected *checker) {
	for _, line := range n.wrongRegions("space") {
		assert.Check(n.t, false, "seed %d: %s", seed, line)
	}
	for name := range statemachine.Sorted(n.overlays) {
		for area := range expected.published[name] {
			var want []string
			for other, areas := range statemachine.Sorted(expected.subscribed) {
				covers := false
				for subscribed, count := range areas {
					covers = covers || count > 0 && subscribed.Covers(area)
				}
				if other != name && covers && n.overlays[other] != nil {
					want = append(want, other)
				}
			}
			got := n.overlays[name].Destinations("space", area)
			assert.Check(n.t, slices.Equal(got, want), "seed %d: from %s at %v: got %v, want %v", seed, name, area, got, want)
		}
	}
}

func topicOf(random *rand.Rand) string {
	return fmt.Sprintf("p%d/b%d", random.IntN(4), random.IntN(6))
}

// randomAction has a daemon subscribe, unsubscribe or publish at a random area.
func randomAction(network *network, expected *checker, name string) {
	overlay := network.overlays[name]
	random := network.random
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
		overlay.Subscribe(network.now, "space", area, nil, &effects)
		expected.subscribed[name][area]++
	case 2:
		if expected.subscribed[name][area] > 0 {
			overlay.Unsubscribe(network.now, "space", area, &effects)
			expected.subscribed[name][area]--
		}
	default:
		area = AreaOf(topicOf(random))
		overlay.Publish(network.now, "space", area, nil, &effects)
		expected.published[name][area] = true
	}
	network.send(name, &effects)
}

// publishAll publishes at all publishing peers, so that they don't leave.
func (n *network) publishAll(expected *checker) {
	for name, areas := range statemachine.Sorted(expected.published) {
		for area := range areas {
			var effects statemachine.Effects
			n.overlays[name].Publish(n.now, "space", area, nil, &effects)
			n.send(name, &effects)
		}
	}
}

func newChecker(names ...string) *checker {
	expected := &checker{subscribed: map[string]map[Area]int{}, published: map[string]map[Area]bool{}}
	for _, name := range names {
		expected.subscribed[name], expected.published[name] = map[Area]int{}, map[Area]bool{}
	}
	return expected
}

func TestDestinationsMatchTheChecker(t *testing.T) {
	for seed := range uint64(40) {
		network := newNetwork(t, seed)
		names := []string{"a", "b", "c", "d", "e"}
		expected := newChecker(names...)
		for position, name := range names {
			network.start(name, uint64(position+1))
		}
		network.setViews()
		for range 120 {
			randomAction(network, expected, names[network.random.IntN(len(names))])
			network.run(time.Duration(network.random.IntN(12)) * time.Millisecond)
		}
		network.run(3 * time.Second)
		network.checkDestinations(seed, expected)
		if t.Failed() {
			return
		}
	}
}

func TestDestinationsHealAfterADaemonIsLost(t *testing.T) {
	for seed := range uint64(30) {
		network := newNetwork(t, seed)
		names := []string{"a", "b", "c", "d", "e", "f"}
		expected := newChecker(names...)
		for position, name := range names {
			network.start(name, uint64(position+1))
		}
		network.setViews()
		for range 150 {
			randomAction(network, expected, names[network.random.IntN(len(names))])
			network.run(time.Duration(network.random.IntN(6)) * time.Millisecond)
		}
		lost := names[network.random.IntN(len(names))]
		delete(network.overlays, lost)
		network.run(time.Second)
		network.setViews()
		network.run(4 * time.Second)
		network.checkDestinations(seed, expected)
		// The lost daemon restarts without subscriptions and subscribes again.
		network.start(lost, 100)
		expected.subscribed[lost], expected.published[lost] = map[Area]int{}, map[Area]bool{}
		network.setViews()
		for range 40 {
			randomAction(network, expected, lost)
			network.run(time.Duration(network.random.IntN(6)) * time.Millisecond)
		}
		network.run(4 * time.Second)
		network.checkDestinations(seed, expected)
		if t.Failed() {
			return
		}
	}
}

func TestSettledSubscriptionIsKnownToEveryPublisher(t *testing.T) {
	for seed := range uint64(40) {
		network := newNetwork(t, seed)
		names := []string{"a", "b", "c", "d"}
		expected := newChecker(names...)
		for position, name := range names {
			network.start(name, uint64(position+1))
		}
		network.setViews()
		for range 80 {
			randomAction(network, expected, names[network.random.IntN(len(names))])
			network.run(time.Duration(network.random.IntN(6)) * time.Millisecond)
		}
		network.run(3 * time.Second)
		done := false
		area := AreaOf("p1")
		var effects statemachine.Effects
		network.overlays["a"].Subscribe(network.now, "space", area, func(_ time.Time, _ *statemachine.Effects, joined bool) { done = joined }, &effects)
		expected.subscribed["a"][area]++
		network.send("a", &effects)
		for range 1000 {
			if done {
				break
			}
			network.run(time.Millisecond)
		}
		assert.Assert(t, done, "seed %d", seed)
		network.checkDestinations(seed, expected)
		if t.Failed() {
			return
		}
	}
}

func TestIdleOverlaySendsFewSignals(t *testing.T) {
	network := newNetwork(t, 1)
	names := []string{"a", "b", "c"}
	expected := newChecker(names...)
	for position, name := range names {
		network.start(name, uint64(position+1))
	}
	network.setViews()
	for range 60 {
		randomAction(network, expected, names[network.random.IntN(len(names))])
		network.run(5 * time.Millisecond)
	}
	network.run(3 * time.Second)
	before := network.signals
	network.run(40 * time.Second)
	assert.Assert(t, network.signals-before < 40*3*20, "%d signals in 40 idle seconds", network.signals-before)
}

func TestLostSignalsHeal(t *testing.T) {
	for seed := range uint64(12) {
		network := newNetwork(t, seed)
		network.loss = 0.15
		names := []string{"a", "b", "c", "d", "e"}
		expected := newChecker(names...)
		for position, name := range names {
			network.start(name, uint64(position+1))
		}
		network.setViews()
		for range 100 {
			randomAction(network, expected, names[network.random.IntN(len(names))])
			network.run(time.Duration(network.random.IntN(20)) * time.Millisecond)
		}
		network.loss = 0
		for range 12 {
			network.publishAll(expected)
			network.run(20 * time.Second)
		}
		network.checkDestinations(seed, expected)
		if t.Failed() {
			return
		}
	}
}
