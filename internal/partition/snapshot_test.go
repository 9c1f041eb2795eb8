package partition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// slowLink delivers the messages to a store at a limited rate.
type slowLink struct {
	queue        []delivery
	bytesPerStep int
	// budget is the number of bytes that may currently pass.
	budget int
	// lost is the number of next messages to lose.
	lost int
	// maxQueued is the maximum number of bytes that were in the queue.
	maxQueued int
}

// enqueue adds a message to the end of the queue, or loses it.
func (l *slowLink) enqueue(message delivery) {
	if l.lost > 0 {
		l.lost--
		return
	}
	l.queue = append(l.queue, message)
	queued := 0
	for _, waiting := range l.queue {
		queued += len(waiting.frame)
	}
	l.maxQueued = max(l.maxQueued, queued)
}

// step returns the messages that pass the link in one step.
func (l *slowLink) step() []delivery {
	l.budget += l.bytesPerStep
	count := 0
	for count < len(l.queue) && len(l.queue[count].frame) <= l.budget {
		l.budget -= len(l.queue[count].frame)
		count++
	}
	if count == len(l.queue) {
		l.budget = 0
	}
	passed := l.queue[:count]
	l.queue = l.queue[count:]
	return passed
}

// replaceFollower assigns all partitions to store-0, with an empty store behind a slow link as
// the follower.
func (c *cluster) replaceFollower(t *testing.T, link *slowLink) {
	t.Helper()
	empty := storeMember("store-empty")
	leader := c.stores["store-0"]
	update := viewUpdate(2, leader.view.Document)
	update.Members = []membership.Member{leader.settings.Self, empty}
	for number := range config.SharedPartitions {
		update.Placements = append(update.Placements, membership.Placement{
			Partition: config.SharedPartitionName(number),
			Epoch:     2,
			Leader:    "store-0",
			Followers: []string{empty.Name},
			InSync:    []string{leader.replicaID()},
		})
	}
	c.slowLinks = map[string]*slowLink{empty.Name: link}
	c.startStore(t, empty)
	for _, name := range []string{empty.Name, "store-0"} {
		c.sendView(name, update)
	}
	c.deliverAll()
}

// catchUp publishes while an empty follower is brought up to date over a slow link, and returns
// how long that took.
func (c *cluster) catchUp(t *testing.T, link *slowLink, timeout time.Duration) time.Duration {
	t.Helper()
	for seq := range uint64(1000) {
		c.publish(seq, 1)
	}
	for _, partition := range statemachine.Sorted(c.stores["store-0"].replicas) {
		// The oldest record is dropped, so an empty store needs a snapshot.
		partition.log.dropOldest(c.now, 1, noTail)
	}
	c.replaceFollower(t, link)
	started := c.now
	for seq := uint64(1000); c.caughtUp() < config.SharedPartitions; seq++ {
		c.publish(seq, 1)
		for _, message := range link.step() {
			c.queue = append(c.queue, message)
			c.passedLink = true
			c.deliverAll()
		}
		assert.Assert(t, c.now.Sub(started) < timeout,
			"%d of %d partitions caught up after %s", c.caughtUp(), config.SharedPartitions, timeout)
	}
	return c.now.Sub(started)
}

func TestSnapshotIsSentOncePerPartition(t *testing.T) {
	cluster, link := newCluster(t, 2), &slowLink{bytesPerStep: 1 << 10}
	took := cluster.catchUp(t, link, 5*time.Second)
	sent := cluster.stores["store-0"].Counts.SnapshotsSent
	assert.Equal(t, sent, uint64(config.SharedPartitions), fmt.Sprint("after ", took))
	assert.Assert(t, link.maxQueued <= maxSnapshotBytesInFlight+64<<10, "%d bytes were queued", link.maxQueued)
}

func TestSnapshotThatWasLostIsSentAgain(t *testing.T) {
	cluster, link := newCluster(t, 2), &slowLink{bytesPerStep: 64 << 10, lost: 3 * config.SharedPartitions / 2}
	cluster.catchUp(t, link, 5*time.Second)
	sent := cluster.stores["store-0"].Counts.SnapshotsSent
	assert.Assert(t, sent >= config.SharedPartitions && sent <= 3*config.SharedPartitions, "%d snapshots were sent", sent)
}
