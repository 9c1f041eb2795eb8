package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// topicFixture is a gateway with unconfirmed subscriptions of several clients, each to a different durable
// topic.
type crowded struct {
	now      time.Time
	gateway  *Gateway
	effects  statemachine.Effects
	channels []*session
}

func newCrowded(count int) *crowded {
	made := &crowded{now: time.Unix(1000, 0)}
	made.gateway = New(Settings{
		Self:  membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "a:1"},
		Agent: "a:2",
	})
	made.gateway.viewClient.Members["store-1"] = membership.Member{
		Name:    "store-1",
		Kind:    membership.KindStore,
		Address: "k:1",
		Alive:   true,
	}
	made.gateway.spaces["boards"] = &spaceState{
		space: config.Space{Name: "boards", Retention: config.Durable, Order: config.OrderTopic, Subscribers: []string{"*"}},
		name:  "boards~0",
	}
	for number := range count {
		name := fmt.Sprintf("topic-%d", number)
		partition := config.SharedPartition(name)
		made.gateway.viewClient.Placements[partition] = membership.Placement{
			Partition: partition,
			Epoch:     1,
			Leader:    "store-1",
			Complete:  true,
		}
		subscription := &topicSubscription{
			session:    uint64(number + 1),
			catchingUp: true,
			request:    Subscribe{Request: uint64(number + 1)},
			deadline:   made.now.Add(time.Second),
		}
		opened := &session{client: name, routed: map[string]*topicSubscription{name: subscription}}
		made.gateway.sessions[subscription.session] = opened
		made.channels = append(made.channels, opened)
		topic := made.gateway.addTopicSubscription(made.now, name, "boards", subscription, &made.effects)
		made.gateway.fetchTopic(made.now, topic, &made.effects)
	}
	return made
}

// takeSentBatches returns the batches that were sent since the previous call.
func (c *crowded) sentBatches() []partition.FetchTopics {
	var batches []partition.FetchTopics
	for _, send := range c.effects.Sends {
		if fetch, is := send.Message.(partition.FetchTopics); is {
			batches = append(batches, fetch)
		}
	}
	c.effects = statemachine.Effects{}
	return batches
}

// respond answers a batch like a store that has no records of the topics, with the high watermark 5.
func (c *crowded) answer(fetch partition.FetchTopics) {
	answer := partition.FetchTopicsResponse{RequestID: fetch.RequestID}
	reported := map[string]bool{}
	for _, each := range fetch.Topics {
		if name := config.SharedPartition(each.Topic); !reported[name] {
			reported[name] = true
			answer.Partitions = append(answer.Partitions, partition.PartitionState{Partition: name, Epoch: 1, HighWatermark: 5})
		}
		answer.Topics = append(answer.Topics, partition.TopicRecords{Until: 5})
	}
	c.gateway.handleTopicsFetched(c.now, answer, &c.effects)
}

const crowdedTopics = 24

func TestBatchCarriesAllWaitingTopics(t *testing.T) {
	many := newCrowded(crowdedTopics)
	first := many.sentBatches()
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(first[0].Topics), 1)
	many.answer(first[0])
	second := many.sentBatches()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, len(second[0].Topics), crowdedTopics-1)
	many.answer(second[0])
	assert.Equal(t, len(many.sentBatches()), 0)
	for _, opened := range many.channels {
		assert.Assert(t, !opened.routed[opened.client].catchingUp, opened.client)
	}
}

func TestBatchWithoutWaitersKeepsCreditUntilResponse(t *testing.T) {
	many := newCrowded(2)
	batches := many.sentBatches()
	many.gateway.dropTopicSubscription(many.now, many.channels[0], batches[0].Topics[0].Topic, &many.effects)
	assert.Equal(t, len(many.sentBatches()), 0)
	many.answer(batches[0])
	next := many.sentBatches()
	assert.Equal(t, len(next), 1)
	// A batch without a response for which no topic waits is not sent again.
	many.gateway.dropTopicSubscription(many.now, many.channels[1], next[0].Topics[0].Topic, &many.effects)
	many.now = many.now.Add(batchTimeout)
	many.gateway.retryBatches(many.now, &many.effects)
	assert.Equal(t, len(many.sentBatches()), 0)
	assert.Equal(t, len(many.gateway.routed.batchInFlight), 0)
}

func TestTopicWithoutSubscriptionsIsNotFetched(t *testing.T) {
	many := newCrowded(3)
	batches := many.sentBatches()
	waiting := many.channels[1]
	many.gateway.dropTopicSubscription(many.now, waiting, waiting.client, &many.effects)
	many.answer(batches[0])
	next := many.sentBatches()
	assert.Equal(t, len(next), 1)
	assert.Equal(t, len(next[0].Topics), 1)
	assert.Equal(t, next[0].Topics[0].Topic, many.channels[2].client)
}

// batchAfterRejection rejects a subscription whose topic waits for the response to a slow batch. It returns
// how many topics the next batch fetches, and whether the client's retry is confirmed from the response.
func rejectedTurn(t *testing.T) (topics int, confirmed bool) {
	t.Helper()
	many := newCrowded(2)
	slow := many.sentBatches()[0]
	behind := many.channels[1].routed[many.channels[1].client]
	behind.resumes, behind.deliveredUpTo = true, 3
	many.now = behind.deadline
	many.gateway.tickTopic(many.now, behind.topic, &many.effects)
	assert.Equal(t, len(many.effects.Responses), 1)
	assert.Equal(t, many.effects.Responses[0].Value.(Reply).Code, "no-answer")
	many.effects = statemachine.Effects{}
	many.answer(slow)
	next := many.sentBatches()
	if len(next) == 0 {
		return 0, false
	}
	many.answer(next[0])
	many.effects = statemachine.Effects{}
	again := &topicSubscription{
		session:       behind.session,
		catchingUp:    true,
		resumes:       true,
		deliveredUpTo: 3,
		request:       Subscribe{Request: 99},
		deadline:      many.now.Add(time.Second),
	}
	many.gateway.addTopicSubscription(many.now, many.channels[1].client, "boards", again, &many.effects)
	return len(next[0].Topics), many.gateway.completeCatchUp(many.now, again, &many.effects)
}

func TestTopicSubscriptionKeepsTurnWhenRejected(t *testing.T) {
	topics, confirmed := rejectedTurn(t)
	assert.Equal(t, topics, 1)
	assert.Assert(t, confirmed, "the retry is confirmed from the records that were fetched after the rejection")
}

func TestTopicReservationExpires(t *testing.T) {
	many := newCrowded(1)
	subscription := many.channels[0].routed[many.channels[0].client]
	subscription.resumes, subscription.deliveredUpTo = true, 3
	many.now = subscription.deadline
	many.gateway.tickTopic(many.now, subscription.topic, &many.effects)
	assert.Equal(t, len(many.gateway.routed.topics), 1)
	many.now = many.now.Add(reservationTimeout)
	many.gateway.tickRouted(many.now, &many.effects)
	assert.Equal(t, len(many.gateway.routed.topics), 0)
	assert.Equal(t, len(many.gateway.routed.topicCounts), 0)
}

// A rejected subscription without a cursor has no reservation. Its topic is removed, and subtracted from
// the topics of the partition once only.
func TestPartitionReportsEndWithLastTopic(t *testing.T) {
	many := newCrowded(1)
	refused := many.channels[0].routed[many.channels[0].client]
	name := refused.topic.partition
	kept := 0
	for number := 1; kept == 0; number++ {
		if topic := fmt.Sprintf("topic-%d", number); config.SharedPartition(topic) == name {
			many.gateway.addTopicSubscription(many.now, topic, "boards", &topicSubscription{
				session:  9,
				deadline: many.now.Add(time.Hour),
			}, &many.effects)
			kept = number
		}
	}
	assert.Equal(t, many.gateway.routed.topicCounts[name], 2)
	many.now = refused.deadline
	many.gateway.tickTopic(many.now, refused.topic, &many.effects)
	assert.Equal(t, many.gateway.routed.topicCounts[name], 1)
}

func TestBatchCreditFollowsLink(t *testing.T) {
	many := newCrowded(1)
	assert.Equal(t, many.sentBatches()[0].MaxBytes, maxBatchBytes)
	many.gateway.SetLinkBytesPerSecond(3_250_000)
	assert.Equal(t, many.gateway.batchBytes(10), 65000)
	assert.Equal(t, many.gateway.batchBytes(4), 162500)
	assert.Equal(t, many.gateway.batchBytes(1), maxBatchBytes)
	many.gateway.SetLinkBytesPerSecond(1000)
	assert.Equal(t, many.gateway.batchBytes(1), minBatchBytes)
}

// A subscription is confirmed even if the response is too small for the missed records. They are fetched
// with later batches.
func TestTopicSubscriptionConfirmedBeforeRecords(t *testing.T) {
	one := newCrowded(1)
	subscription := one.channels[0].routed["topic-0"]
	subscription.resumes, subscription.deliveredUpTo = true, 2
	one.gateway.routed.topics["topic-0"].fetch.after = 2
	fetch := one.sentBatches()[0]
	name := config.SharedPartition("topic-0")
	partitions := []partition.PartitionState{{Partition: name, Epoch: 1, HighWatermark: 9}}
	one.gateway.handleTopicsFetched(one.now, partition.FetchTopicsResponse{
		RequestID: fetch.RequestID, Partitions: partitions, Topics: []partition.TopicRecords{{Until: 2}},
	}, &one.effects)
	assert.Equal(t, len(one.effects.Responses), 1)
	assert.Equal(t, one.effects.Responses[0].Value.(Reply).Outcome, OutcomeAccepted)
	next := one.sentBatches()
	assert.Equal(t, len(next), 1)
	assert.DeepEqual(t, next[0].Topics, []partition.TopicCursor{{Topic: "topic-0", After: 2}})
	one.gateway.handleTopicsFetched(one.now, partition.FetchTopicsResponse{
		RequestID:  next[0].RequestID,
		Partitions: partitions,
		Topics: []partition.TopicRecords{
			{Until: 9, Records: []partition.Record{{Offset: 7, Topic: "topic-0", Sender: "u", Seq: 1}}},
		},
	}, &one.effects)
	assert.Equal(t, len(one.effects.Deliveries), 1)
	assert.Equal(t, len(one.effects.Responses), 0)
	assert.Assert(t, !subscription.catchingUp)
}

// A report that arrives while the topic is being fetched must not be lost, since the leader doesn't repeat
// it.
func TestTopicReportedDuringFetchIsFetched(t *testing.T) {
	one := newCrowded(1)
	fetch := one.sentBatches()[0]
	topic := one.gateway.routed.topics["topic-0"]
	one.gateway.routed.reportedUpTo[topic.partition] = 5
	one.gateway.handleTopicHighWatermarks(one.now, partition.HighWatermark{
		Partition: topic.partition,
		Epoch:     1,
		From:      5,
		Offset:    8,
		Topics:    []partition.TopicOffset{{TopicHash: topic.hash, Offset: 8}},
	})
	one.answer(fetch)
	one.now = one.now.Add(highWatermarkGrace)
	one.gateway.tickRouted(one.now, &one.effects)
	next := one.sentBatches()
	assert.Equal(t, len(next), 1)
	assert.DeepEqual(t, next[0].Topics, []partition.TopicCursor{{Topic: "topic-0", After: 5}})
	assert.Equal(t, one.gateway.routed.reportedUpTo[topic.partition], uint64(8))
}

// announcedSubscribers returns how many subscribers are announced while the only one is unconfirmed, and
// after it is confirmed.
func announcedWhileWaiting() (waiting, filled int) {
	one := newCrowded(1)
	topic := one.gateway.routed.topics["topic-0"]
	waiting = topic.announcedCount
	one.answer(one.sentBatches()[0])
	return waiting, topic.announcedCount
}

func TestSubscriberCountLeavesOutUnconfirmed(t *testing.T) {
	waiting, filled := announcedWhileWaiting()
	assert.Equal(t, waiting, 0)
	assert.Equal(t, filled, 1)
}

// confirmedBeforeFetch reports whether a subscription that is resumed with a cursor is confirmed before the
// missed records are fetched.
func confirmed(t *testing.T, cursor uint64) bool {
	t.Helper()
	one := newCrowded(1)
	one.answer(one.sentBatches()[0])
	gateway := one.gateway
	partition := config.SharedPartition("topic-0")
	gateway.routed.baseOffsets[partition] = 3
	gateway.viewClient.Index, gateway.viewClient.ConfirmedAt = 1, one.now
	gateway.detector.ReceiveFromPeer(one.now)
	gateway.config = configOf(t)
	gateway.sessions[9] = &session{client: "late", routed: map[string]*topicSubscription{}}
	gateway.routed.topics["topic-0"].recentFrom, gateway.routed.topics["topic-0"].deliveredUpTo = 9, 9
	one.effects = statemachine.Effects{}
	gateway.subscribeRouted(one.now, Subscribe{
		Request:   77,
		Session:   9,
		Client:    "late",
		Interests: []Interest{{Path: "topic-0"}},
		Cursor:    formatTopicCursor(cursor),
	}, true, &one.effects)
	for _, response := range one.effects.Responses {
		if response.Request == 77 {
			answer := response.Value.(Reply)
			assert.Equal(t, answer.Outcome, OutcomeAccepted, "%v", answer)
			assert.Equal(t, answer.Cursor, formatTopicCursor(cursor))
			return true
		}
	}
	assert.Equal(t, len(one.sentBatches()), 1)
	return false
}

func configOf(t *testing.T) config.Configuration {
	t.Helper()
	read, faults := config.Read([]byte(`{"version":1,
		"spaces":[{"name":"boards","promise":"kept","order":"topic"}],
		"routes":[{"prefix":"topic-","space":"boards"}]}`))
	assert.Equal(t, len(faults), 0, "%v", faults)
	return read
}

func TestTopicSubscriptionWithinRetentionConfirmedAtOnce(t *testing.T) {
	assert.Assert(t, confirmed(t, 5))
	assert.Assert(t, !confirmed(t, 2), "records below the base offset may have been removed")
}

// respondWithRemaining answers a batch without records. remaining is how many bytes of records the store
// reports as missing of each topic.
func (c *crowded) answerLeft(fetch partition.FetchTopics, left map[string]int) {
	answer := partition.FetchTopicsResponse{RequestID: fetch.RequestID}
	for _, each := range fetch.Topics {
		answer.Partitions = append(answer.Partitions, partition.PartitionState{
			Partition:     config.SharedPartition(each.Topic),
			Epoch:         1,
			HighWatermark: 9,
		})
		records := partition.TopicRecords{Until: 9}
		if bytes := left[each.Topic]; bytes > 0 {
			records = partition.TopicRecords{Until: each.After, RemainingBytes: bytes}
		}
		answer.Topics = append(answer.Topics, records)
	}
	c.gateway.handleTopicsFetched(c.now, answer, &c.effects)
}

// nextBatchOrder returns the topics of the batch that follows a response without records, in the order of
// the batch. Each topic lacks fewer bytes than the one before it in the first batch.
func orderOfRest(t *testing.T) []string {
	t.Helper()
	many := newCrowded(4)
	left := map[string]int{}
	for number, opened := range many.channels {
		subscription := opened.routed[opened.client]
		subscription.resumes, subscription.deliveredUpTo = true, 1
		subscription.topic.fetch, subscription.topic.queued = nil, false
		left[opened.client] = 1000 * (len(many.channels) - number)
	}
	clear(many.gateway.routed.batches)
	clear(many.gateway.routed.batchInFlight)
	many.gateway.routed.queue = nil
	many.sentBatches()
	for _, opened := range many.channels {
		subscription := opened.routed[opened.client]
		subscription.topic.queued = true
		many.gateway.routed.queue = append(many.gateway.routed.queue, subscription.topic)
	}
	many.gateway.sendBatches(many.now, &many.effects)
	many.answerLeft(many.sentBatches()[0], left)
	next := many.sentBatches()
	assert.Equal(t, len(next), 1)
	var order []string
	for _, each := range next[0].Topics {
		order = append(order, each.Topic)
	}
	return order
}

// A topic that lacks a single record must not wait for topics that lack hundreds.
func TestBatchFetchesShortBacklogsBeforeLongOnes(t *testing.T) {
	assert.DeepEqual(t, orderOfRest(t), []string{"topic-3", "topic-2", "topic-1", "topic-0"})
}

// No session is admitted while more bytes are missing than the link transfers in a second.
func TestAdmissionRejectsDuringBacklog(t *testing.T) {
	one := newCrowded(1)
	topic := one.gateway.routed.topics["topic-0"]
	one.gateway.SetLinkBytesPerSecond(thinRate)
	assert.Assert(t, one.gateway.admits(one.now))
	fetch := one.sentBatches()[0]
	one.gateway.handleTopicsFetched(one.now, partition.FetchTopicsResponse{
		RequestID:  fetch.RequestID,
		Partitions: []partition.PartitionState{{Partition: topic.partition, Epoch: 1, HighWatermark: 9}},
		Topics:     []partition.TopicRecords{{Until: 0, RemainingBytes: thinRate + 1}},
	}, &one.effects)
	assert.Assert(t, !one.gateway.admits(one.now))
	one.gateway.dropTopicSubscription(one.now, one.channels[0], "topic-0", &one.effects)
	assert.Assert(t, one.gateway.admits(one.now), "no subscription lacks the records any more")
}

const thinRate = 100_000

// The bytes that a removed subscription lacked don't count as backlog any more, even if other sessions
// subscribe to the topic and the response is still in flight.
func TestAdmissionForgetsBacklogOfClosedSessions(t *testing.T) {
	one := newCrowded(1)
	gateway, topic := one.gateway, one.gateway.routed.topics["topic-0"]
	one.answer(one.sentBatches()[0])
	gateway.SetLinkBytesPerSecond(thinRate)
	late := &topicSubscription{
		session:    9,
		catchingUp: true,
		resumes:    true,
		request:    Subscribe{Request: 9},
		deadline:   one.now.Add(time.Second),
	}
	gateway.sessions[9] = &session{client: "late", routed: map[string]*topicSubscription{"topic-0": late}}
	gateway.addTopicSubscription(one.now, "topic-0", "boards", late, &one.effects)
	gateway.fetchTopic(one.now, topic, &one.effects)
	for range 2 {
		fetch := one.sentBatches()[0]
		gateway.handleTopicsFetched(one.now, partition.FetchTopicsResponse{
			RequestID:  fetch.RequestID,
			Partitions: []partition.PartitionState{{Partition: topic.partition, Epoch: 1, HighWatermark: 5}},
			Topics:     []partition.TopicRecords{{Until: 1, RemainingBytes: thinRate + 1}},
		}, &one.effects)
		if _, held := gateway.sessions[9].routed["topic-0"]; held {
			assert.Assert(t, !gateway.admits(one.now))
			gateway.dropTopicSubscription(one.now, gateway.sessions[9], "topic-0", &one.effects)
		}
	}
	assert.Assert(t, gateway.admits(one.now))
}
