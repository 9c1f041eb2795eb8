package partition

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// testStart is the time at which tests start.
var testStart = time.Unix(1_700_000_000, 0)

// at returns the time a number of seconds after testStart.
func at(seconds int) time.Time { return testStart.Add(time.Duration(seconds) * time.Second) }

// document returns a configuration with the given spaces.
func document(version int, spaces string) []byte {
	return fmt.Appendf(nil, `{"version": %d, "spaces": [%s]}`, version, spaces)
}

// cluster runs stores whose disks and links have no delay. All stores host all shared partitions,
// which store-0 leads.
type cluster struct {
	now    time.Time
	stores map[string]*Store
	// queue holds the deliveries in flight, in order.
	queue []delivery
	// accepted counts the acknowledged appends, linkBytes the bytes of messages and diskBytes
	// those of writes. busyTime is the time for which each store ran.
	accepted  int
	linkBytes int
	diskBytes int
	busyTime  map[string]time.Duration
	// slowLinks delay the messages to some stores. passedLink is set if the next delivery has
	// already passed its link.
	slowLinks  map[string]*slowLink
	passedLink bool
}

// delivery is an encoded message to a store or, if frame is nil, the token of a synced write.
type delivery struct {
	to    string
	frame []byte
	token uint64
}

func newCluster(tb testing.TB, size int) *cluster {
	tb.Helper()
	cluster := &cluster{now: testStart, stores: map[string]*Store{}, busyTime: map[string]time.Duration{}}
	update := viewUpdate(1, document(1, `{"name": "a", "promise": "kept", "order": "topic"}`))
	for number := range size {
		update.Members = append(update.Members, storeMember(fmt.Sprint("store-", number)))
	}
	for number := range config.SharedPartitions {
		placement := membership.Placement{
			Partition: config.SharedPartitionName(number),
			Epoch:     1,
			Leader:    update.Members[0].Name,
			Complete:  true,
		}
		for position, member := range update.Members {
			placement.InSync = append(placement.InSync, member.ReplicaID())
			if position > 0 {
				placement.Followers = append(placement.Followers, member.Name)
			}
		}
		update.Placements = append(update.Placements, placement)
	}
	for _, member := range update.Members {
		cluster.startStore(tb, member)
		cluster.sendView(member.Name, update)
	}
	cluster.deliverAll()
	return cluster
}

func viewUpdate(index uint64, document []byte) membership.ViewUpdate {
	return membership.ViewUpdate{
		Nonce:    1,
		Epoch:    1,
		Primary:  "controller",
		Index:    index,
		Version:  1,
		Changed:  true,
		Document: document,
	}
}

func storeMember(name string) membership.Member {
	return membership.Member{Name: name, Kind: membership.KindStore, Address: name, Disk: "disk", Alive: true}
}

// startStore starts a store with an empty disk.
func (c *cluster) startStore(tb testing.TB, member membership.Member) {
	tb.Helper()
	store, err := New(Settings{Self: member, Seeds: []string{"controller"}, NewDisk: "disk"}, nil, nil)
	assert.NilError(tb, err)
	c.stores[member.Name] = store
	c.step(member.Name, func(effects *statemachine.Effects) { store.Start(c.now, effects) })
	c.step(member.Name, func(effects *statemachine.Effects) { store.Tick(c.now, effects) })
}

func (c *cluster) sendView(name string, update membership.ViewUpdate) {
	c.step(name, func(effects *statemachine.Effects) {
		c.stores[name].HandleMessage(c.now, statemachine.Meta{From: "controller"}, update, effects)
	})
}

// step runs one step of a store, and queues its messages and writes.
func (c *cluster) step(name string, act func(effects *statemachine.Effects)) {
	started := time.Now()
	var effects statemachine.Effects
	act(&effects)
	for _, send := range effects.Sends {
		c.send(name, send)
	}
	for _, write := range effects.Writes {
		for _, entry := range write.Entries {
			c.diskBytes += len(entry)
		}
		c.diskBytes += len(write.Snapshot)
		c.queue = append(c.queue, delivery{to: name, token: write.Token})
	}
	c.busyTime[name] += time.Since(started)
}

// send queues a message to a store. Of messages to any other address, only acknowledgements of
// appends are counted.
func (c *cluster) send(from string, send statemachine.Send) {
	if _, found := c.stores[send.To]; !found {
		response, matches := send.Message.(AppendResponse)
		if !matches || response.Outcome != OutcomeAccepted {
			return
		}
		c.accepted++
		c.linkBytes += len(mustEncode(from, send.Message))
		return
	}
	frame := mustEncode(from, send.Message)
	c.linkBytes += len(frame)
	c.queue = append(c.queue, delivery{to: send.To, frame: frame})
}

func mustEncode(from string, message any) []byte {
	frame, err := transport.Encode(statemachine.Meta{From: from, Version: 1}, message)
	if err != nil {
		panic(err)
	}
	return frame
}

// deliverAll delivers messages and synced writes until nothing is in flight except on slow links.
func (c *cluster) deliverAll() {
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		if link, slow := c.slowLinks[next.to]; slow && next.frame != nil && !c.passedLink {
			link.enqueue(next)
			continue
		}
		c.passedLink = false
		c.step(next.to, func(effects *statemachine.Effects) { c.deliver(next, effects) })
	}
}

func (c *cluster) deliver(next delivery, effects *statemachine.Effects) {
	store := c.stores[next.to]
	if next.frame == nil {
		store.HandleCommand(c.now, statemachine.Synced{Token: next.token}, effects)
		return
	}
	meta, message, err := transport.Decode(next.frame[4:])
	if err != nil {
		panic(err)
	}
	store.HandleMessage(c.now, meta, message, effects)
}

// publish appends a number of messages that arrive at the same time, and advances the clock by 3
// ms.
func (c *cluster) publish(seq uint64, batchSize int) {
	for number := range batchSize {
		topic := fmt.Sprintf("reading.%d", (seq*uint64(batchSize)+uint64(number))%1000)
		data := make([]byte, 200)
		binary.BigEndian.PutUint64(data, seq)
		frame := mustEncode("gateway", Append{
			Partition: config.SharedPartition(topic),
			RequestID: seq,
			Topic:     topic,
			Sender:    "u1fx3a9c",
			Seq:       seq + 1,
			Data:      data,
		})
		c.step("store-0", func(effects *statemachine.Effects) {
			c.deliver(delivery{to: "store-0", frame: frame}, effects)
		})
	}
	c.deliverAll()
	c.now = c.now.Add(3 * time.Millisecond)
	for name, store := range c.stores {
		if due := store.NextTick(); !due.After(c.now) {
			c.step(name, func(effects *statemachine.Effects) { store.Tick(c.now, effects) })
		}
	}
}

// publishAndDropOldest publishes, and drops the oldest record of each partition on the leader, so
// that a follower with an empty log needs a snapshot.
func (c *cluster) publishAndDropOldest(from, until uint64) {
	for seq := from; seq < until; seq++ {
		c.publish(seq, 1)
	}
	for _, partition := range statemachine.Sorted(c.stores["store-0"].replicas) {
		if len(partition.log.Records) > 1 {
			partition.log.dropOldest(c.now, 1, noTail)
		}
	}
}

// changePlacements starts the next epoch in all stores, with store-0 as the leader and one
// follower.
func (c *cluster) changePlacements(index uint64, follower string, inSync ...string) {
	update := viewUpdate(index, c.stores["store-0"].view.Document)
	for _, store := range statemachine.Sorted(c.stores) {
		update.Members = append(update.Members, store.settings.Self)
	}
	for number := range config.SharedPartitions {
		placement := membership.Placement{
			Partition: config.SharedPartitionName(number),
			Epoch:     index,
			Leader:    "store-0",
			Followers: []string{follower},
		}
		for _, name := range inSync {
			placement.InSync = append(placement.InSync, c.stores[name].replicaID())
		}
		update.Placements = append(update.Placements, placement)
	}
	for name := range statemachine.Sorted(c.stores) {
		c.sendView(name, update)
	}
	c.deliverAll()
}

// caughtUp returns the number of partitions whose follower has all records that the leader had in
// earlier epochs.
func (c *cluster) caughtUp() int {
	count := 0
	for _, partition := range c.stores["store-0"].replicas {
		if c.stores["store-0"].caughtUp(partition) {
			count++
		}
	}
	return count
}
