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

const testPlane = "+"

// subscriberCounts has the expected subscriber counts, by daemon and topic.
type subscriberCounts map[string]map[string]int

func newSubscriberCounts(names ...string) subscriberCounts {
	expected := subscriberCounts{}
	for _, name := range names {
		expected[name] = map[string]int{}
	}
	return expected
}

func topicNamed(number int) string { return fmt.Sprintf("turbine/%d", number) }

// setSubscribers sets a subscriber count on a daemon, and in the expected counts.
func (n *network) setSubscribers(expected subscriberCounts, name, topic string, count int) {
	expected[name][topic] = count
	var effects statemachine.Effects
	n.overlays[name].SetSubscribers(n.now, testPlane, topic, count, &effects)
	n.send(name, &effects)
}

// wrongCounts lists the differences between the expected counts and those known to
// running daemons that have a peer in the cell of a topic.
func (n *network) wrongCounts(expected subscriberCounts, topics []string) []string {
	var wrong []string
	for name, overlay := range statemachine.Sorted(n.overlays) {
		for _, topic := range topics {
			if overlay.cellAt(testPlane, config.TopicHash(topic)) == nil {
				continue
			}
			var subscribed []string
			total := 0
			for other, counts := range statemachine.Sorted(expected) {
				if other == name || n.overlays[other] == nil || counts[topic] == 0 {
					continue
				}
				subscribed = append(subscribed, other)
				total += counts[topic]
			}
			if got := overlay.SubscribedDaemons(testPlane, topic); !slices.Equal(got, subscribed) {
				wrong = append(wrong, fmt.Sprintf("%s, daemons with subscribers of %s: got %v, want %v", name, topic, got, subscribed))
			}
			if got := overlay.Subscribers(testPlane, topic); got != total {
				wrong = append(wrong, fmt.Sprintf("%s, subscribers of %s: got %d, want %d", name, topic, got, total))
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

func newFleet(t *testing.T, seed uint64, names []string) (*network, subscriberCounts) {
	network := newNetwork(t, seed)
	for position, name := range names {
		network.start(name, uint64(position+1))
	}
	network.setViews()
	return network, newSubscriberCounts(names...)
}

func someTopics(count int) []string {
	var topics []string
	for number := range count {
		topics = append(topics, topicNamed(number))
	}
	return topics
}

func TestCellsKnowSubscribedDaemons(t *testing.T) {
	for seed := range uint64(30) {
		names := gatewayNames(7)
		network, expected := newFleet(t, seed, names)
		topics := someTopics(40)
		for range 400 {
			network.setSubscribers(expected, names[network.random.IntN(len(names))], topics[network.random.IntN(len(topics))], network.random.IntN(4))
			network.run(time.Duration(network.random.IntN(8)) * time.Millisecond)
		}
		network.run(400 * time.Millisecond)
		assert.DeepEqual(t, network.wrongCounts(expected, topics), []string(nil))
		assert.DeepEqual(t, network.wrongRegions(testPlane), []string(nil))
	}
}

func TestFirstSubscriberIsKnownAtOnce(t *testing.T) {
	names := gatewayNames(7)
	network, expected := newFleet(t, 1, names)
	topics := someTopics(40)
	for _, name := range names {
		for _, topic := range topics[:20] {
			network.setSubscribers(expected, name, topic, 1)
		}
	}
	network.run(time.Second)
	for position, topic := range topics[20:] {
		network.setSubscribers(expected, names[position%len(names)], topic, 1)
		network.run(gatherDelay + pausePerGateway*time.Duration(len(names)) + 4*time.Millisecond)
		assert.DeepEqual(t, network.wrongCounts(expected, topics), []string(nil))
	}
}

func TestAwaitCellCompletesOnceSubscribersAreKnown(t *testing.T) {
	for seed := range uint64(20) {
		names := gatewayNames(7)
		network, expected := newFleet(t, seed, names)
		topics := someTopics(10)
		for _, name := range names[1:] {
			for _, topic := range topics {
				network.setSubscribers(expected, name, topic, 1)
			}
		}
		network.run(time.Second)
		for _, topic := range topics {
			called := false
			var effects statemachine.Effects
			network.overlays[names[0]].AwaitCell(network.now, testPlane, topic, func(_ time.Time, _ *statemachine.Effects, done bool) {
				called = true
				assert.Assert(t, done)
				assert.DeepEqual(t, network.overlays[names[0]].SubscribedDaemons(testPlane, topic), names[1:])
			}, &effects)
			network.send(names[0], &effects)
			for range 200 {
				if called {
					break
				}
				network.run(time.Millisecond)
			}
			assert.Assert(t, called, "seed %d, %s", seed, topic)
		}
	}
}

func TestResetOfMostConnectionsCausesNoJoins(t *testing.T) {
	names := gatewayNames(7)
	network, expected := newFleet(t, 3, names)
	topics := someTopics(300)
	for range 1500 {
		network.setSubscribers(expected, names[network.random.IntN(len(names))], topics[network.random.IntN(len(topics))], 1+network.random.IntN(3))
	}
	network.run(3 * time.Second)
	assert.DeepEqual(t, network.wrongCounts(expected, topics), []string(nil))
	before := network.sum()
	for _, name := range names {
		for _, topic := range topics {
			if expected[name][topic] > 0 && network.random.IntN(5) > 0 {
				network.setSubscribers(expected, name, topic, 0)
			}
		}
	}
	network.run(50 * time.Millisecond)
	for range 1200 {
		network.setSubscribers(expected, names[network.random.IntN(len(names))], topics[network.random.IntN(len(topics))], 1+network.random.IntN(3))
		if network.random.IntN(4) == 0 {
			network.run(time.Millisecond)
		}
	}
	network.run(400 * time.Millisecond)
	assert.DeepEqual(t, network.wrongCounts(expected, topics), []string(nil))
	after := network.sum()
	assert.Equal(t, after.Joins, before.Joins)
	assert.Equal(t, after.SignalsOut, before.SignalsOut)
	t.Logf("%d frames", after.BatchesOut-before.BatchesOut)
	assert.Assert(t, after.BatchesOut-before.BatchesOut < 7*6*100)
}

// sum adds up the counters of all daemons.
func (n *network) sum() Counts {
	var sum Counts
	for _, overlay := range n.overlays {
		sum.Joins += overlay.Counts.Joins
		sum.Hops += overlay.Counts.Hops
		sum.Greets += overlay.Counts.Greets
		sum.SignalsOut += overlay.Counts.SignalsOut
		sum.BatchesOut += overlay.Counts.BatchesOut
		sum.Probes += overlay.Counts.Probes
		for kind, count := range overlay.Counts.ByKind {
			sum.ByKind[kind] += count
		}
	}
	return sum
}

func TestLostNoticesHeal(t *testing.T) {
	for seed := range uint64(20) {
		names := gatewayNames(6)
		network, expected := newFleet(t, seed, names)
		topics := someTopics(40)
		network.loss = 0.2
		for range 300 {
			network.setSubscribers(expected, names[network.random.IntN(len(names))], topics[network.random.IntN(len(topics))], network.random.IntN(4))
			network.run(time.Duration(network.random.IntN(20)) * time.Millisecond)
		}
		network.loss = 0
		network.run(countsDelay + checkInterval + 100*time.Millisecond)
		assert.DeepEqual(t, network.wrongCounts(expected, topics), []string(nil))
	}
}

func TestCellsDropALostDaemonAndAcceptItsNextIncarnation(t *testing.T) {
	for seed := range uint64(20) {
		names := gatewayNames(6)
		network, expected := newFleet(t, seed, names)
		topics := someTopics(40)
		changeCounts := func(names ...string) {
			for range 200 {
				network.setSubscribers(expected, names[network.random.IntN(len(names))], topics[network.random.IntN(len(topics))], network.random.IntN(4))
				network.run(time.Duration(network.random.IntN(6)) * time.Millisecond)
			}
		}
		changeCounts(names...)
		lost := names[network.random.IntN(len(names))]
		delete(network.overlays, lost)
		network.run(time.Second)
		network.setViews()
		network.run(50 * time.Millisecond)
		assert.DeepEqual(t, network.wrongCounts(expected, topics), []string(nil))
		network.start(lost, 100)
		expected[lost] = map[string]int{}
		network.setViews()
		changeCounts(lost)
		network.run(400 * time.Millisecond)
		assert.DeepEqual(t, network.wrongCounts(expected, topics), []string(nil))
		// Its next incarnation begins without a restart: the others had declared it lost.
		network.incarnations[lost] = 200
		network.setViews()
		network.run(400 * time.Millisecond)
		assert.DeepEqual(t, network.wrongCounts(expected, topics), []string(nil))
	}
}
