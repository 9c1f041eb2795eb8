// Tests the cells of routed topics against expected counts. Soon after the last change
// or fault, each daemon with a peer in a topic's cell must know which other daemons have
// subscribers of the topic, and how many.
package overlay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

const trialPlane = "+"

// crowd has the expected subscriber counts, by daemon and topic.
type crowd map[string]map[string]int

func newCrowd(names ...string) crowd {
	truth := crowd{}
	for _, name := range names {
		truth[name] = map[string]int{}
	}
	return truth
}

func topicNamed(number int) string { return fmt.Sprintf("turbine/%d", number) }

// tell sets a subscriber count on a daemon, and in the expected counts.
func (n *net) tell(truth crowd, name, topic string, count int) {
	truth[name][topic] = count
	var effects statemachine.Effects
	n.parts[name].SetSubscribers(n.now, trialPlane, topic, count, &effects)
	n.carry(name, &effects)
}

// wrongNotices lists the differences between the expected counts and those known to
// running daemons that have a peer in the cell of a topic.
func (n *net) wrongNotices(truth crowd, topics []string) []string {
	var wrong []string
	for name, part := range statemachine.Sorted(n.parts) {
		for _, topic := range topics {
			if part.cellAt(trialPlane, config.TopicHash(topic)) == nil {
				continue
			}
			var listeners []string
			present := 0
			for other, counts := range statemachine.Sorted(truth) {
				if other == name || n.parts[other] == nil || counts[topic] == 0 {
					continue
				}
				listeners = append(listeners, other)
				present += counts[topic]
			}
			if got := part.SubscribedDaemons(trialPlane, topic); !slices.Equal(got, listeners) {
				wrong = append(wrong, fmt.Sprintf("%s, listeners of %s: got %v, wanted %v", name, topic, got, listeners))
			}
			if got := part.Subscribers(trialPlane, topic); got != present {
				wrong = append(wrong, fmt.Sprintf("%s, presence of %s: got %d, wanted %d", name, topic, got, present))
			}
		}
	}
	return wrong
}

func gatewayNames(count int) []string {
	var names []string
	for number := range count {
		names = append(names, fmt.Sprintf("gateway-%02d", number))
	}
	return names
}

func newFleet(t *testing.T, seed uint64, names []string) (*net, crowd) {
	net := newNet(t, seed)
	for position, name := range names {
		net.come(name, uint64(position+1))
	}
	net.view()
	return net, newCrowd(names...)
}

func someTopics(count int) []string {
	var topics []string
	for number := range count {
		topics = append(topics, topicNamed(number))
	}
	return topics
}

func TestCellsKnowWhoListens(t *testing.T) {
	for seed := range uint64(30) {
		names := gatewayNames(7)
		net, truth := newFleet(t, seed, names)
		topics := someTopics(40)
		for range 400 {
			net.tell(truth, names[net.random.IntN(len(names))], topics[net.random.IntN(len(topics))], net.random.IntN(4))
			net.run(time.Duration(net.random.IntN(8)) * time.Millisecond)
		}
		net.run(400 * time.Millisecond)
		assert.DeepEqual(t, net.wrongNotices(truth, topics), []string(nil))
		assert.DeepEqual(t, net.wrongRegions(trialPlane), []string(nil))
	}
}

func TestFirstSubscriberIsKnownAtOnce(t *testing.T) {
	names := gatewayNames(7)
	net, truth := newFleet(t, 1, names)
	topics := someTopics(40)
	for _, name := range names {
		for _, topic := range topics[:20] {
			net.tell(truth, name, topic, 1)
		}
	}
	net.run(time.Second)
	for position, topic := range topics[20:] {
		net.tell(truth, names[position%len(names)], topic, 1)
		net.run(gatherFor + paceEach*time.Duration(len(names)) + 4*time.Millisecond)
		assert.DeepEqual(t, net.wrongNotices(truth, topics), []string(nil))
	}
}

func TestReachCallsOnceTheListenersAreKnown(t *testing.T) {
	for seed := range uint64(20) {
		names := gatewayNames(7)
		net, truth := newFleet(t, seed, names)
		topics := someTopics(10)
		for _, name := range names[1:] {
			for _, topic := range topics {
				net.tell(truth, name, topic, 1)
			}
		}
		net.run(time.Second)
		for _, topic := range topics {
			called := false
			var effects statemachine.Effects
			net.parts[names[0]].AwaitCell(net.now, trialPlane, topic, func(_ time.Time, _ *statemachine.Effects, done bool) {
				called = true
				assert.Assert(t, done)
				assert.DeepEqual(t, net.parts[names[0]].SubscribedDaemons(trialPlane, topic), names[1:])
			}, &effects)
			net.carry(names[0], &effects)
			for range 200 {
				if called {
					break
				}
				net.run(time.Millisecond)
			}
			assert.Assert(t, called, "seed %d, %s", seed, topic)
		}
	}
}

func TestResetOfMostConnectionsJoinsNothingAnew(t *testing.T) {
	names := gatewayNames(7)
	net, truth := newFleet(t, 3, names)
	topics := someTopics(300)
	for range 1500 {
		net.tell(truth, names[net.random.IntN(len(names))], topics[net.random.IntN(len(topics))], 1+net.random.IntN(3))
	}
	net.run(3 * time.Second)
	assert.DeepEqual(t, net.wrongNotices(truth, topics), []string(nil))
	before := net.sum()
	for _, name := range names {
		for _, topic := range topics {
			if truth[name][topic] > 0 && net.random.IntN(5) > 0 {
				net.tell(truth, name, topic, 0)
			}
		}
	}
	net.run(50 * time.Millisecond)
	for range 1200 {
		net.tell(truth, names[net.random.IntN(len(names))], topics[net.random.IntN(len(topics))], 1+net.random.IntN(3))
		if net.random.IntN(4) == 0 {
			net.run(time.Millisecond)
		}
	}
	net.run(400 * time.Millisecond)
	assert.DeepEqual(t, net.wrongNotices(truth, topics), []string(nil))
	after := net.sum()
	assert.Equal(t, after.Joins, before.Joins)
	assert.Equal(t, after.SignalsOut, before.SignalsOut)
	t.Logf("%d frames", after.BatchesOut-before.BatchesOut)
	assert.Assert(t, after.BatchesOut-before.BatchesOut < 7*6*100)
}

// sum adds up the counters of all daemons.
func (n *net) sum() Counts {
	var sum Counts
	for _, part := range n.parts {
		sum.Joins += part.Counts.Joins
		sum.Hops += part.Counts.Hops
		sum.Greets += part.Counts.Greets
		sum.SignalsOut += part.Counts.SignalsOut
		sum.BatchesOut += part.Counts.BatchesOut
		sum.Probes += part.Counts.Probes
		for kind, count := range part.Counts.ByKind {
			sum.ByKind[kind] += count
		}
	}
	return sum
}

func TestLostNoticesHeal(t *testing.T) {
	for seed := range uint64(20) {
		names := gatewayNames(6)
		net, truth := newFleet(t, seed, names)
		topics := someTopics(40)
		net.loss = 0.2
		for range 300 {
			net.tell(truth, names[net.random.IntN(len(names))], topics[net.random.IntN(len(topics))], net.random.IntN(4))
			net.run(time.Duration(net.random.IntN(20)) * time.Millisecond)
		}
		net.loss = 0
		net.run(countsDelay + checkInterval + 100*time.Millisecond)
		assert.DeepEqual(t, net.wrongNotices(truth, topics), []string(nil))
	}
}

func TestCellsForgetALostDaemonAndTakeItsNextLife(t *testing.T) {
	for seed := range uint64(20) {
		names := gatewayNames(6)
		net, truth := newFleet(t, seed, names)
		topics := someTopics(40)
		storm := func(names ...string) {
			for range 200 {
				net.tell(truth, names[net.random.IntN(len(names))], topics[net.random.IntN(len(topics))], net.random.IntN(4))
				net.run(time.Duration(net.random.IntN(6)) * time.Millisecond)
			}
		}
		storm(names...)
		lost := names[net.random.IntN(len(names))]
		delete(net.parts, lost)
		net.run(time.Second)
		net.view()
		net.run(50 * time.Millisecond)
		assert.DeepEqual(t, net.wrongNotices(truth, topics), []string(nil))
		net.come(lost, 100)
		truth[lost] = map[string]int{}
		net.view()
		storm(lost)
		net.run(400 * time.Millisecond)
		assert.DeepEqual(t, net.wrongNotices(truth, topics), []string(nil))
		// Its next incarnation begins without a restart: the others had declared it lost.
		net.lives[lost] = 200
		net.view()
		net.run(400 * time.Millisecond)
		assert.DeepEqual(t, net.wrongNotices(truth, topics), []string(nil))
	}
}
