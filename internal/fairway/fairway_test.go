// The overlay against a brute-force oracle: whatever joins, leaves, comes and
// goes, each publishing peer's destinations are in the end exactly the daemons
// that subscribe to an area over it, and the signals it takes stay few.
package fairway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/helm"
)

// net is a tiny seeded network of overlay parts, each a step at a time.
type net struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	parts   map[string]*Fairway
	lives   map[string]uint64
	queue   []letter
	loss    float64
	signals int
	// cut names ways on which nothing arrives, frozen the parts that stand still.
	cut    map[[2]string]bool
	frozen map[string]bool
	held   []letter
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
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), parts: map[string]*Fairway{}, lives: map[string]uint64{},
	}
}

func (net *net) carry(from string, effects *helm.Effects) {
	for _, send := range effects.Sends {
		net.signals += len(send.Message.(Signals).Signals)
		if net.random.Float64() < net.loss || net.cut[[2]string{from, send.To}] {
			continue
		}
		delay := time.Duration(1+net.random.IntN(3)) * time.Millisecond
		at := net.now.Add(delay)
		for _, earlier := range net.queue {
			if earlier.from == from && earlier.to == send.To && earlier.at.After(at) {
				at = earlier.at
			}
		}
		net.queue = append(net.queue, letter{at: at, from: from, to: send.To, signals: send.Message.(Signals), order: len(net.queue)})
	}
}

// run lets virtual time pass.
func (net *net) run(length time.Duration) {
	until := net.now.Add(length)
	for {
		next := until
		pick := -1
		for position, each := range net.queue {
			if each.at.Before(next) || pick >= 0 && each.at.Equal(next) && position < pick {
				next, pick = each.at, position
			}
		}
		due := ""
		for name, part := range helm.Sorted(net.parts) {
			if at := part.NextDue(); !net.frozen[name] && !at.IsZero() && at.Before(next) {
				next, due, pick = at, name, -1
			}
		}
		if pick < 0 && due == "" {
			net.now = until
			return
		}
		if next.After(net.now) {
			net.now = next
		}
		var effects helm.Effects
		if pick >= 0 {
			taken := net.queue[pick]
			net.queue = slices.Delete(net.queue, pick, pick+1)
			part, alive := net.parts[taken.to]
			if !alive {
				continue
			}
			if net.frozen[taken.to] {
				net.held = append(net.held, taken)
				continue
			}
			part.Take(net.now, taken.signals, &effects)
			net.carry(taken.to, &effects)
			continue
		}
		net.parts[due].Due(net.now, &effects)
		net.carry(due, &effects)
	}
}

// thaw lets a part take what came for it while it stood still.
func (net *net) thaw(name string) {
	held := net.held
	net.held = nil
	for _, each := range held {
		if each.to != name {
			net.held = append(net.held, each)
			continue
		}
		each.at = net.now
		net.queue = append(net.queue, each)
	}
}

// view tells every part who is there.
func (net *net) view() {
	for name, part := range helm.Sorted(net.parts) {
		others := map[string]Lantern{}
		for other, life := range net.lives {
			if other != name && net.parts[other] != nil {
				others[other] = Lantern{Name: other, Address: other, Joined: life}
			}
		}
		var effects helm.Effects
		part.View(net.now, others, &effects)
		part.Live(net.now, net.lives[name], &effects)
		net.carry(name, &effects)
	}
}

func (net *net) come(name string, life uint64) {
	net.parts[name] = New(name)
	net.lives[name] = life
}

type oracle struct {
	subscribed map[string]map[Area]int
	published  map[string]map[Area]bool
}

func (net *net) check(seed uint64, truth *oracle) {
	for _, line := range net.wrongRegions("space") {
		assert.Check(net.t, false, "seed %d: %s", seed, line)
	}
	for name := range helm.Sorted(net.parts) {
		for area := range truth.published[name] {
			var wanted []string
			for other, areas := range helm.Sorted(truth.subscribed) {
				covers := false
				for held, count := range areas {
					covers = covers || count > 0 && held.Covers(area)
				}
				if other != name && covers && net.parts[other] != nil {
					wanted = append(wanted, other)
				}
			}
			got := net.parts[name].Destinations("space", area)
			assert.Check(net.t, slices.Equal(got, wanted), "seed %d: from %s at %v: got %v, wanted %v", seed, name, area, got, wanted)
		}
	}
}

func topicOf(random *rand.Rand) string {
	return fmt.Sprintf("p%d/b%d", random.IntN(4), random.IntN(6))
}

func act(net *net, truth *oracle, name string) {
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
	var effects helm.Effects
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

// use keeps the publishing peers in use, so that they don't leave.
func (net *net) use(truth *oracle) {
	for name, areas := range helm.Sorted(truth.published) {
		for area := range areas {
			var effects helm.Effects
			net.parts[name].Publish(net.now, "space", area, nil, &effects)
			net.carry(name, &effects)
		}
	}
}

func newOracle(names ...string) *oracle {
	truth := &oracle{subscribed: map[string]map[Area]int{}, published: map[string]map[Area]bool{}}
	for _, name := range names {
		truth.subscribed[name], truth.published[name] = map[Area]int{}, map[Area]bool{}
	}
	return truth
}

func TestDestinationsMatchTheOracle(t *testing.T) {
	for seed := range uint64(40) {
		net := newNet(t, seed)
		names := []string{"a", "b", "c", "d", "e"}
		truth := newOracle(names...)
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
		truth := newOracle(names...)
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
		// It comes back empty, and subscribes again.
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
		truth := newOracle(names...)
		for position, name := range names {
			net.come(name, uint64(position+1))
		}
		net.view()
		for range 80 {
			act(net, truth, names[net.random.IntN(len(names))])
			net.run(time.Duration(net.random.IntN(6)) * time.Millisecond)
		}
		net.run(3 * time.Second)
		settled := false
		area := AreaOf("p1")
		var effects helm.Effects
		net.parts["a"].Subscribe(net.now, "space", area, func(_ time.Time, _ *helm.Effects, well bool) { settled = well }, &effects)
		truth.subscribed["a"][area]++
		net.carry("a", &effects)
		for range 1000 {
			if settled {
				break
			}
			net.run(time.Millisecond)
		}
		assert.Assert(t, settled, "seed %d", seed)
		net.check(seed, truth)
		if t.Failed() {
			return
		}
	}
}

func TestQuietOverlayStaysQuiet(t *testing.T) {
	net := newNet(t, 1)
	names := []string{"a", "b", "c"}
	truth := newOracle(names...)
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
		truth := newOracle(names...)
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
