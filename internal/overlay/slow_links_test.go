// Tests the start of all daemons at once on slow links, as after a power failure: they
// have more to announce than their links can transfer immediately.
package overlay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// startingDaemons is the number of daemons that start at once.
const startingDaemons = 10

// slowLinkRate is the bandwidth of a daemon's link in bytes per second.
const slowLinkRate = 4_000

// maxBytesPerDaemon bounds the bytes that a daemon may send until all daemons know all
// subscribers.
const maxBytesPerDaemon = 170_000

// startOnSlowLinks starts many daemons at once on slow links. It returns the time until
// all daemons know all subscribers, and the bytes sent until then.
func startOnSlowLinks(t *testing.T, seed uint64, limit time.Duration) (time.Duration, int) {
	names := gatewayNames(startingDaemons)
	network, expected := newFleet(t, seed, names)
	network.rate = slowLinkRate
	topics := someTopics(40)
	start := network.now
	for range 200 {
		network.setSubscribers(expected, names[network.random.IntN(len(names))], topics[network.random.IntN(len(topics))], 1+network.random.IntN(3))
		network.run(time.Millisecond)
	}
	for network.now.Sub(start) < limit {
		if network.run(200 * time.Millisecond); len(network.wrongCounts(expected, topics)) == 0 {
			break
		}
	}
	return network.now.Sub(start), network.bytes
}

func TestBytesSentAtStartOnSlowLinksAreBounded(t *testing.T) {
	for seed := range uint64(2) {
		took, bytes := startOnSlowLinks(t, seed, 60*time.Second)
		t.Logf("seed %d: all subscribers known after %v, %d bytes per daemon", seed, took, bytes/startingDaemons)
		assert.Assert(t, took < 60*time.Second && bytes/startingDaemons < maxBytesPerDaemon, "seed %d: %v, %d bytes", seed, took, bytes/startingDaemons)
	}
}

func TestSequencesAreSentRarelyOnceDigestsAreEqual(t *testing.T) {
	names := gatewayNames(7)
	network, expected := newFleet(t, 1, names)
	topics := someTopics(100)
	for _, name := range names {
		for _, topic := range topics {
			network.setSubscribers(expected, name, topic, 1)
		}
	}
	network.run(3 * checkInterval)
	before, digests := network.noticesSent(NoticeCheck), network.digestsSent()
	network.run(sequencesEveryChecks * checkInterval)
	// Each daemon sends its sequences to the six others once, and the digest of its
	// cells otherwise.
	assert.Assert(t, network.noticesSent(NoticeCheck)-before <= 7*6*CellCount, "%d", network.noticesSent(NoticeCheck)-before)
	assert.Equal(t, network.digestsSent()-digests, uint64(7*6*(sequencesEveryChecks-1)))
}

// noticesSent counts the notices of a kind that all daemons sent.
func (n *network) noticesSent(kind uint8) uint64 {
	sum := uint64(0)
	for _, overlay := range statemachine.Sorted(n.overlays) {
		sum += overlay.Counts.Notices[kind]
	}
	return sum
}

func (n *network) digestsSent() uint64 {
	sum := uint64(0)
	for _, overlay := range statemachine.Sorted(n.overlays) {
		sum += overlay.Counts.Levels
	}
	return sum
}
