// These tests check shared partitions against a model: senders publish durable and ephemeral
// messages on several topics at once, with a few messages in flight on each, under the same faults
// as in the tests of a single partition. The offset of an accepted topic, sender and seq must never
// change; the message must not be appended twice, and a resend must be acknowledged. A message that
// was rejected, or superseded by a later message of the same sender and topic, must not be stored.
// A subscriber of the high watermarks must get the offset of each topic's newest message.
package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const (
	sharedConfig = `{
		"version": 1,
		"spaces": [
			{"name": "readings", "promise": "kept", "order": "topic"},
			{"name": "alarms", "promise": "passing", "order": "topic"}
		],
		"routes": [{"prefix": "reading.", "space": "readings"}, {"prefix": "alarm.", "space": "alarms"}]
	}`
	sharedSenders = 4
	sharedTopics  = 6
	maxInFlight   = 3
)

// publication is a message in flight.
type publication struct {
	seq        uint64
	attempts   int
	rejections int
	waiting    bool
}

// publisher is one sender's stream of messages on one topic.
type publisher struct {
	topic, sender string
	// ephemeral is set if the messages have no stored data, only an offset.
	ephemeral bool
	seq       uint64
	pending   []*publication
}

func (p *publisher) name(seq uint64) string {
	return fmt.Sprintf("%s %s/%d", p.topic, p.sender, seq)
}

// finish removes a publication whose outcome is known.
func (p *publisher) finish(finished *publication) {
	if position := slices.Index(p.pending, finished); position >= 0 {
		p.pending = append(p.pending[:position:position], p.pending[position+1:]...)
	}
}

// sharedCluster is a store cluster with publishers on shared partitions.
type sharedCluster struct {
	*storeCluster
	publishers []*publisher
	// awaiting holds the callback for the response to each append.
	awaiting map[uint64]func(partition.AppendResponse)
	// acceptedAt holds the offset of each accepted message, messageAt the message at each
	// offset of each partition, and mustNotBeStored the messages that were rejected on every
	// attempt or superseded.
	acceptedAt      map[string]uint64
	messageAt       map[string]string
	mustNotBeStored map[string]bool
	// highestSeq is the highest accepted seq of each topic and sender.
	highestSeq map[string]uint64
	fetches    map[uint64]partition.FetchResponse
	// highWatermarks holds the high watermark of each partition and topicOffsets the newest
	// offset of each topic, as a subscriber of the stores has received them.
	highWatermarks map[string]uint64
	topicOffsets   map[uint64]uint64
}

func (c *sharedCluster) append(publisher *publisher, seq uint64, then func(partition.AppendResponse)) {
	c.requests++
	c.awaiting[c.requests] = then
	name := config.SharedPartition(publisher.topic)
	request := partition.Append{
		Partition:  name,
		RequestID:  c.requests,
		Topic:      publisher.topic,
		Sender:     publisher.sender,
		Seq:        seq,
		OffsetOnly: publisher.ephemeral,
	}
	if !publisher.ephemeral {
		request.Data = []byte(publisher.name(seq))
	}
	c.send(gatewayAddress, statemachine.Send{To: c.state.Placements[name].Leader, Message: request})
}

func (c *sharedCluster) publish(publisher *publisher) {
	c.after(time.Duration(10+c.random.IntN(80))*time.Millisecond, func() { c.publish(publisher) })
	if c.quiet {
		return
	}
	if len(publisher.pending) < maxInFlight {
		publisher.seq += 1 + c.random.Uint64N(3)
		publisher.pending = append(publisher.pending, &publication{seq: publisher.seq})
	}
	for _, item := range publisher.pending {
		if !item.waiting {
			c.attempt(publisher, item)
		}
	}
}

func (c *sharedCluster) attempt(publisher *publisher, item *publication) {
	item.attempts++
	item.waiting = true
	attempt := item.attempts
	c.append(publisher, item.seq, func(response partition.AppendResponse) {
		c.handlePublished(publisher, item, response)
	})
	c.after(700*time.Millisecond, func() {
		if item.attempts == attempt {
			item.waiting = false
		}
	})
}

func (c *sharedCluster) handlePublished(publisher *publisher, item *publication, response partition.AppendResponse) {
	name := publisher.name(item.seq)
	item.waiting = false
	switch response.Outcome {
	case partition.OutcomeAccepted:
		c.recordAccepted(publisher, item.seq, response)
		publisher.finish(item)
	case partition.OutcomeRejected:
		if response.Code == codeOldSeq {
			_, accepted := c.acceptedAt[name]
			assert.Assert(c.t, !accepted, "%s was accepted and then rejected with old-seq", name)
			c.mustNotBeStored[name] = true
			publisher.finish(item)
			return
		}
		mayRetry := response.RetryAfter > 0 && response.Code != codeSeqReused
		assert.Assert(c.t, mayRetry, "%s was rejected with %s", name, response.Code)
		item.rejections++
		if item.rejections == item.attempts {
			c.mustNotBeStored[name] = true
			publisher.finish(item)
		}
	case partition.OutcomeUnresolved:
		// The sender retries.
	}
}

func (c *sharedCluster) recordAccepted(publisher *publisher, seq uint64, response partition.AppendResponse) {
	name, offset := publisher.name(seq), response.Record.Offset
	assert.Assert(c.t, !c.mustNotBeStored[name], "%s was rejected and is accepted", name)
	if earlier, found := c.acceptedAt[name]; found {
		assert.Assert(c.t, earlier == offset, "%s was accepted at %d and again at %d", name, earlier, offset)
	}
	position := fmt.Sprintf("%s %d", config.SharedPartition(publisher.topic), offset)
	other, found := c.messageAt[position]
	assert.Assert(c.t, !found || other == name, "offset %s was assigned to %s and to %s", position, other, name)
	c.acceptedAt[name], c.messageAt[position] = offset, name
	key := publisher.topic + publisher.sender
	c.highestSeq[key] = max(c.highestSeq[key], seq)
}

func (c *sharedCluster) handleAsGateway(_ string, message any) {
	switch body := message.(type) {
	case partition.AppendResponse:
		if then, found := c.awaiting[body.RequestID]; found {
			delete(c.awaiting, body.RequestID)
			then(body)
		}
	case partition.FetchResponse:
		if body.Ready {
			c.fetches[body.RequestID] = body
		}
	case partition.HighWatermarks:
		for _, update := range body.HighWatermarks {
			if update.From > c.highWatermarks[update.Partition] {
				continue
			}
			c.highWatermarks[update.Partition] = max(c.highWatermarks[update.Partition], update.Offset)
			for _, topic := range update.Topics {
				c.topicOffsets[topic.TopicHash] = max(c.topicOffsets[topic.TopicHash], topic.Offset)
			}
		}
	}
}

// subscribeHighWatermarks subscribes to the high watermarks of all partitions at their leaders.
func (c *sharedCluster) subscribeHighWatermarks() {
	c.after(2*time.Second, c.subscribeHighWatermarks)
	subscriptions := map[string]partition.SubscribeHighWatermarks{}
	for name, placement := range statemachine.Sorted(c.state.Placements) {
		subscription := subscriptions[placement.Leader]
		subscription.Partitions = append(subscription.Partitions, name)
		subscription.KnownOffsets = append(subscription.KnownOffsets, c.highWatermarks[name])
		subscriptions[placement.Leader] = subscription
	}
	for leader, subscription := range statemachine.Sorted(subscriptions) {
		c.send(gatewayAddress, statemachine.Send{To: leader, Message: subscription})
	}
}

// fetch reads all records of a topic from the leader of its partition.
func (c *sharedCluster) fetch(topic string) []partition.Record {
	c.t.Helper()
	var records []partition.Record
	name := config.SharedPartition(topic)
	for after := uint64(0); ; {
		c.requests++
		request := partition.Fetch{Partition: name, RequestID: c.requests, After: after, Topics: []string{topic}}
		c.send(gatewayAddress, statemachine.Send{To: c.state.Placements[name].Leader, Message: request})
		c.run(200 * time.Millisecond)
		response, found := c.fetches[c.requests]
		assert.Assert(c.t, found, "the leader of %s does not respond", name)
		assert.Assert(c.t, !response.Expired, "no record may be removed yet")
		records = append(records, response.Records...)
		if after = response.Until; after >= response.HighWatermark {
			return records
		}
	}
}

func newSharedCluster(t *testing.T, seed uint64, stores, tolerance int) *sharedCluster {
	t.Helper()
	cluster := &sharedCluster{
		storeCluster:    newStoreCluster(t, rand.New(rand.NewPCG(seed, 0x5ea))),
		awaiting:        map[uint64]func(partition.AppendResponse){},
		acceptedAt:      map[string]uint64{},
		messageAt:       map[string]string{},
		mustNotBeStored: map[string]bool{},
		highestSeq:      map[string]uint64{},
		fetches:         map[uint64]partition.FetchResponse{},
		highWatermarks:  map[string]uint64{},
		topicOffsets:    map[uint64]uint64{},
	}
	cluster.lastArrival = map[string]time.Duration{}
	cluster.gatewayHandler, cluster.singleReplica = cluster.handleAsGateway, tolerance == 0
	cluster.apply(Command{Configuration: configured(1, sharedConfig), Tolerance: &tolerance})
	for number := range stores {
		store := cluster.addStore(number)
		cluster.after(time.Duration(cluster.random.IntN(200))*time.Millisecond, store.start)
	}
	cluster.after(time.Second, cluster.reconcile)
	for topic := range sharedTopics {
		for sender := range sharedSenders {
			cluster.addPublisher(topic, sender)
		}
	}
	cluster.after(2*time.Second, cluster.subscribeHighWatermarks)
	return cluster
}

// addPublisher adds a publisher. Every third topic is ephemeral.
func (c *sharedCluster) addPublisher(topic, sender int) {
	added := &publisher{topic: fmt.Sprintf("reading.%d", topic), sender: fmt.Sprintf("sender-%d", sender)}
	if topic%3 == 2 {
		added.topic, added.ephemeral = fmt.Sprintf("alarm.%d", topic), true
	}
	c.publishers = append(c.publishers, added)
	c.after(2*time.Second, func() { c.publish(added) })
}

// recoverAll ends all faults, restarts all stores at once and waits for the recovery.
func (c *sharedCluster) recoverAll() {
	c.t.Helper()
	c.quiet, c.lossRate = true, 0
	for _, store := range c.stores {
		store.kill()
	}
	c.run(500 * time.Millisecond)
	for _, store := range c.stores {
		store.start()
	}
	c.run(9 * time.Second)
	assert.Assert(c.t, c.allReplicated(), "not replicated after nine quiet seconds: %+v", c.state.Placements)
}

// assertConsistent checks the final records of the stores, and the responses to resends, against
// the earlier responses.
func (c *sharedCluster) assertConsistent() {
	c.t.Helper()
	stored := c.storedOffsets()
	c.awaiting = map[uint64]func(partition.AppendResponse){}
	for _, publisher := range c.publishers {
		for seq := range c.highestSeq[publisher.topic+publisher.sender] {
			name := publisher.name(seq)
			offset, accepted := c.acceptedAt[name]
			assert.Assert(c.t, !accepted || publisher.ephemeral || stored[name] == offset,
				"%s was accepted at %d and is at %d", name, offset, stored[name])
			if seq%7 == 0 || accepted {
				c.resend(publisher, seq)
			}
		}
	}
	c.run(time.Second)
	assert.Assert(c.t, len(c.awaiting) == 0, "%d resends got no response", len(c.awaiting))
	assert.Assert(c.t, len(c.acceptedAt) > 1000, "only %d were accepted", len(c.acceptedAt))
}

// storedOffsets reads and checks the records of all durable topics, and returns the offset of each
// message.
func (c *sharedCluster) storedOffsets() map[string]uint64 {
	c.t.Helper()
	stored := map[string]uint64{}
	seen := map[string]bool{}
	for _, publisher := range c.publishers {
		if seen[publisher.topic] || publisher.ephemeral {
			continue
		}
		seen[publisher.topic] = true
		lastSeq := map[string]uint64{}
		prior := uint64(0)
		for _, record := range c.fetch(publisher.topic) {
			name := fmt.Sprintf("%s %s/%d", record.Topic, record.Sender, record.Seq)
			assert.Assert(c.t, string(record.Data) == name, "%s has data %q", name, record.Data)
			assert.Assert(c.t, stored[name] == 0, "%s is stored twice", name)
			assert.Assert(c.t, !c.mustNotBeStored[name], "%s was rejected and is stored", name)
			assert.Assert(c.t, record.Seq > lastSeq[record.Sender], "%s after seq %d", name, lastSeq[record.Sender])
			assert.Assert(c.t, record.PreviousInTopic == prior,
				"%s has %d as the previous offset in its topic, not %d", name, record.PreviousInTopic, prior)
			stored[name], lastSeq[record.Sender], prior = record.Offset, record.Seq, record.Offset
		}
		known := c.topicOffsets[config.TopicHash(publisher.topic)]
		assert.Assert(c.t, known == prior, "subscribers got %d of %s, whose newest is %d", known, publisher.topic, prior)
	}
	return stored
}

// resend publishes a message again after its sender has published later ones.
func (c *sharedCluster) resend(publisher *publisher, seq uint64) {
	name := publisher.name(seq)
	offset, accepted := c.acceptedAt[name]
	c.append(publisher, seq, func(response partition.AppendResponse) {
		switch {
		case accepted:
			again := response.Outcome == partition.OutcomeAccepted && response.Duplicate
			assert.Assert(c.t, again, "%s was accepted at %d, but the response to its resend is %+v", name, offset, response)
			c.recordAccepted(publisher, seq, response)
		case response.Outcome == partition.OutcomeAccepted:
			// The message was in flight during the faults, and its sender received no response.
			assert.Assert(c.t, response.Duplicate && !c.mustNotBeStored[name], "%s was appended after a later message", name)
		default:
			old := response.Outcome == partition.OutcomeRejected && response.Code == codeOldSeq
			assert.Assert(c.t, old, "the response to the resend of %s is %+v", name, response)
		}
	})
}

// injectDiskFault makes one disk slow, hang or reject writes for a while.
func (c *sharedCluster) injectDiskFault() {
	c.after(time.Duration(3000+c.random.IntN(5000))*time.Millisecond, c.injectDiskFault)
	if c.quiet {
		return
	}
	store := c.stores[c.random.IntN(len(c.stores))]
	duration := time.Duration(500+c.random.IntN(4000)) * time.Millisecond
	switch c.random.IntN(3) {
	case 0:
		store.writeDelay = time.Duration(20+c.random.IntN(200)) * time.Millisecond
	case 1:
		store.diskHungUntil = c.now + duration
	case 2:
		store.diskHungUntil, store.diskFull = c.now+duration, true
		c.after(0, store.reportFullDisk)
	}
	c.after(duration, func() { store.writeDelay, store.diskFull = 0, false })
}

func TestSharedPartitionsAgainstModel(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			tolerance := int(seed % 4)
			cluster := newSharedCluster(t, seed, tolerance+3, tolerance)
			cluster.after(4*time.Second, cluster.injectFault)
			if seed%8 < 4 {
				cluster.after(5*time.Second, cluster.injectDiskFault)
			}
			cluster.run(40 * time.Second)
			cluster.recoverAll()
			cluster.assertConsistent()
		})
	}
}

// The machine and disk of a store may be removed as soon as the store is retired. This must not
// count as a loss: as many other disks as tolerated may be lost right afterwards.
func TestRetiredStoreIsNotNeeded(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			tolerance := 1 + int(seed%3)
			cluster := newSharedCluster(t, 100+seed, tolerance+3, tolerance)
			cluster.run(15 * time.Second)
			retiring := cluster.stores[seed%uint64(len(cluster.stores))]
			cluster.apply(Command{Retirement: &Retirement{Store: retiring.name, Retiring: true}})
			assert.Equal(t, cluster.state.result.outcome, Accepted)
			began := cluster.now
			for !cluster.state.Members[retiring.name].Retired {
				cluster.run(10 * time.Millisecond)
				assert.Assert(t, cluster.now-began < 3*time.Second, "not retired after three seconds")
			}
			t.Logf("retired after %s", cluster.now-began)
			retiring.kill()
			retiring.wipe()
			for step := range tolerance {
				lost := cluster.stores[(seed+1+uint64(step))%uint64(len(cluster.stores))]
				lost.kill()
				lost.wipe()
			}
			cluster.run(2 * time.Second)
			cluster.quiet = true
			cluster.stores = slices.DeleteFunc(cluster.stores, func(store *storeNode) bool { return store == retiring })
			for _, store := range cluster.stores {
				store.start()
			}
			cluster.run(8 * time.Second)
			assert.Assert(t, cluster.allReplicated(), "not replicated after eight quiet seconds: %+v", cluster.state.Placements)
			cluster.assertConsistent()
		})
	}
}
