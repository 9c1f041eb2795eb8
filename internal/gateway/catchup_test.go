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
type topicFixture struct {
	now      time.Time
	gateway  *Gateway
	effects  statemachine.Effects
	sessions []*session
}

func newTopicFixture(count int) *topicFixture {
	fixture := &topicFixture{now: time.Unix(1000, 0)}
	fixture.gateway = New(Settings{
		Self:  membership.Member{Name: "gateway-1", Kind: membership.KindGateway, Address: "a:1"},
		Agent: "a:2",
	})
	fixture.gateway.viewClient.Members["store-1"] = membership.Member{
		Name:    "store-1",
		Kind:    membership.KindStore,
		Address: "k:1",
		Alive:   true,
	}
	fixture.gateway.spaces["boards"] = &spaceState{
		space: config.Space{Name: "boards", Retention: config.Durable, Order: config.OrderTopic, Subscribers: []string{"*"}},
		name:  "boards~0",
	}
	for number := range count {
		name := fmt.Sprintf("topic-%d", number)
		partition := config.SharedPartition(name)
		fixture.gateway.viewClient.Placements[partition] = membership.Placement{
			Partition: partition,
			Epoch:     1,
			Leader:    "store-1",
			Complete:  true,
		}
		subscription := &topicSubscription{
			session:    uint64(number + 1),
			catchingUp: true,
			request:    Subscribe{Request: uint64(number + 1)},
			deadline:   fixture.now.Add(time.Second),
		}
		opened := &session{client: name, routed: map[string]*topicSubscription{name: subscription}}
		fixture.gateway.sessions[subscription.session] = opened
		fixture.sessions = append(fixture.sessions, opened)
		topic := fixture.gateway.addTopicSubscription(fixture.now, name, "boards", subscription, &fixture.effects)
		fixture.gateway.fetchTopic(fixture.now, topic, &fixture.effects)
	}
	return fixture
}

// takeSentBatches returns the batches that were sent since the previous call.
func (f *topicFixture) takeSentBatches() []partition.FetchTopics {
	var batches []partition.FetchTopics
	for _, send := range f.effects.Sends {
		if fetch, is := send.Message.(partition.FetchTopics); is {
			batches = append(batches, fetch)
		}
	}
	f.effects = statemachine.Effects{}
	return batches
}

// respond answers a batch like a store that has no records of the topics, with the high watermark 5.
func (f *topicFixture) respond(fetch partition.FetchTopics) {
	answer := partition.FetchTopicsResponse{RequestID: fetch.RequestID}
	reported := map[string]bool{}
	for _, each := range fetch.Topics {
		if name := config.SharedPartition(each.Topic); !reported[name] {
			reported[name] = true
			answer.Partitions = append(answer.Partitions, partition.PartitionState{Partition: name, Epoch: 1, HighWatermark: 5})
		}
		answer.Topics = append(answer.Topics, partition.TopicRecords{Until: 5})
	}
	f.gateway.handleTopicsFetched(f.now, answer, &f.effects)
}

const fixtureTopics = 24

func TestBatchCarriesAllWaitingTopics(t *testing.T) {
	fixture := newTopicFixture(fixtureTopics)
	first := fixture.takeSentBatches()
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(first[0].Topics), 1)
	fixture.respond(first[0])
	second := fixture.takeSentBatches()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, len(second[0].Topics), fixtureTopics-1)
	fixture.respond(second[0])
	assert.Equal(t, len(fixture.takeSentBatches()), 0)
	for _, opened := range fixture.sessions {
		assert.Assert(t, !opened.routed[opened.client].catchingUp, opened.client)
	}
}

func TestBatchWithoutWaitersKeepsCreditUntilResponse(t *testing.T) {
	fixture := newTopicFixture(2)
	batches := fixture.takeSentBatches()
	fixture.gateway.dropTopicSubscription(fixture.now, fixture.sessions[0], batches[0].Topics[0].Topic, &fixture.effects)
	assert.Equal(t, len(fixture.takeSentBatches()), 0)
	fixture.respond(batches[0])
	next := fixture.takeSentBatches()
	assert.Equal(t, len(next), 1)
	// A batch without a response for which no topic waits is not sent again.
	fixture.gateway.dropTopicSubscription(fixture.now, fixture.sessions[1], next[0].Topics[0].Topic, &fixture.effects)
	fixture.now = fixture.now.Add(batchTimeout)
	fixture.gateway.retryBatches(fixture.now, &fixture.effects)
	assert.Equal(t, len(fixture.takeSentBatches()), 0)
	assert.Equal(t, len(fixture.gateway.routed.batchInFlight), 0)
}

func TestTopicWithoutSubscriptionsIsNotFetched(t *testing.T) {
	fixture := newTopicFixture(3)
	batches := fixture.takeSentBatches()
	waiting := fixture.sessions[1]
	fixture.gateway.dropTopicSubscription(fixture.now, waiting, waiting.client, &fixture.effects)
	fixture.respond(batches[0])
	next := fixture.takeSentBatches()
	assert.Equal(t, len(next), 1)
	assert.Equal(t, len(next[0].Topics), 1)
	assert.Equal(t, next[0].Topics[0].Topic, fixture.sessions[2].client)
}

// batchAfterRejection rejects a subscription whose topic waits for the response to a slow batch. It returns
// how many topics the next batch fetches, and whether the client's retry is confirmed from the response.
func batchAfterRejection(t *testing.T) (topics int, confirmed bool) {
	t.Helper()
	fixture := newTopicFixture(2)
	slow := fixture.takeSentBatches()[0]
	behind := fixture.sessions[1].routed[fixture.sessions[1].client]
	behind.resumes, behind.deliveredUpTo = true, 3
	fixture.now = behind.deadline
	fixture.gateway.tickTopic(fixture.now, behind.topic, &fixture.effects)
	assert.Equal(t, len(fixture.effects.Responses), 1)
	assert.Equal(t, fixture.effects.Responses[0].Value.(Reply).Code, "no-answer")
	fixture.effects = statemachine.Effects{}
	fixture.respond(slow)
	next := fixture.takeSentBatches()
	if len(next) == 0 {
		return 0, false
	}
	fixture.respond(next[0])
	fixture.effects = statemachine.Effects{}
	retry := &topicSubscription{
		session:       behind.session,
		catchingUp:    true,
		resumes:       true,
		deliveredUpTo: 3,
		request:       Subscribe{Request: 99},
		deadline:      fixture.now.Add(time.Second),
	}
	fixture.gateway.addTopicSubscription(fixture.now, fixture.sessions[1].client, "boards", retry, &fixture.effects)
	return len(next[0].Topics), fixture.gateway.completeCatchUp(fixture.now, retry, &fixture.effects)
}

func TestTopicSubscriptionKeepsTurnWhenRejected(t *testing.T) {
	topics, confirmed := batchAfterRejection(t)
	assert.Equal(t, topics, 1)
	assert.Assert(t, confirmed, "the retry is confirmed from the records that were fetched after the rejection")
}

func TestTopicReservationExpires(t *testing.T) {
	fixture := newTopicFixture(1)
	subscription := fixture.sessions[0].routed[fixture.sessions[0].client]
	subscription.resumes, subscription.deliveredUpTo = true, 3
	fixture.now = subscription.deadline
	fixture.gateway.tickTopic(fixture.now, subscription.topic, &fixture.effects)
	assert.Equal(t, len(fixture.gateway.routed.topics), 1)
	fixture.now = fixture.now.Add(reservationTimeout)
	fixture.gateway.tickRouted(fixture.now, &fixture.effects)
	assert.Equal(t, len(fixture.gateway.routed.topics), 0)
	assert.Equal(t, len(fixture.gateway.routed.topicCounts), 0)
}

// A rejected subscription without a cursor has no reservation. Its topic is removed, and subtracted from
// the topics of the partition once only.
func TestPartitionReportsEndWithLastTopic(t *testing.T) {
	fixture := newTopicFixture(1)
	rejected := fixture.sessions[0].routed[fixture.sessions[0].client]
	name := rejected.topic.partition
	other := 0
	for number := 1; other == 0; number++ {
		if topic := fmt.Sprintf("topic-%d", number); config.SharedPartition(topic) == name {
			fixture.gateway.addTopicSubscription(fixture.now, topic, "boards", &topicSubscription{
				session:  9,
				deadline: fixture.now.Add(time.Hour),
			}, &fixture.effects)
			other = number
		}
	}
	assert.Equal(t, fixture.gateway.routed.topicCounts[name], 2)
	fixture.now = rejected.deadline
	fixture.gateway.tickTopic(fixture.now, rejected.topic, &fixture.effects)
	assert.Equal(t, fixture.gateway.routed.topicCounts[name], 1)
}

func TestBatchCreditFollowsLink(t *testing.T) {
	fixture := newTopicFixture(1)
	assert.Equal(t, fixture.takeSentBatches()[0].MaxBytes, maxBatchBytes)
	fixture.gateway.SetLinkBytesPerSecond(3_250_000)
	assert.Equal(t, fixture.gateway.batchBytes(10), 65000)
	assert.Equal(t, fixture.gateway.batchBytes(4), 162500)
	assert.Equal(t, fixture.gateway.batchBytes(1), maxBatchBytes)
	fixture.gateway.SetLinkBytesPerSecond(1000)
	assert.Equal(t, fixture.gateway.batchBytes(1), minBatchBytes)
}

// A subscription is confirmed even if the response is too small for the missed records. They are fetched
// with later batches.
func TestTopicSubscriptionConfirmedBeforeRecords(t *testing.T) {
	fixture := newTopicFixture(1)
	subscription := fixture.sessions[0].routed["topic-0"]
	subscription.resumes, subscription.deliveredUpTo = true, 2
	fixture.gateway.routed.topics["topic-0"].fetch.after = 2
	fetch := fixture.takeSentBatches()[0]
	name := config.SharedPartition("topic-0")
	partitions := []partition.PartitionState{{Partition: name, Epoch: 1, HighWatermark: 9}}
	fixture.gateway.handleTopicsFetched(fixture.now, partition.FetchTopicsResponse{
		RequestID: fetch.RequestID, Partitions: partitions, Topics: []partition.TopicRecords{{Until: 2}},
	}, &fixture.effects)
	assert.Equal(t, len(fixture.effects.Responses), 1)
	assert.Equal(t, fixture.effects.Responses[0].Value.(Reply).Outcome, OutcomeAccepted)
	next := fixture.takeSentBatches()
	assert.Equal(t, len(next), 1)
	assert.DeepEqual(t, next[0].Topics, []partition.TopicCursor{{Topic: "topic-0", After: 2}})
	fixture.gateway.handleTopicsFetched(fixture.now, partition.FetchTopicsResponse{
		RequestID:  next[0].RequestID,
		Partitions: partitions,
		Topics: []partition.TopicRecords{
			{Until: 9, Records: []partition.Record{{Offset: 7, Topic: "topic-0", Sender: "u", Seq: 1}}},
		},
	}, &fixture.effects)
	assert.Equal(t, len(fixture.effects.Deliveries), 1)
	assert.Equal(t, len(fixture.effects.Responses), 0)
	assert.Assert(t, !subscription.catchingUp)
}

// A report that arrives while the topic is being fetched must not be lost, since the leader doesn't repeat
// it.
func TestTopicReportedDuringFetchIsFetched(t *testing.T) {
	fixture := newTopicFixture(1)
	fetch := fixture.takeSentBatches()[0]
	topic := fixture.gateway.routed.topics["topic-0"]
	fixture.gateway.routed.reportedUpTo[topic.partition] = 5
	fixture.gateway.handleTopicHighWatermarks(fixture.now, partition.HighWatermark{
		Partition: topic.partition,
		Epoch:     1,
		From:      5,
		Offset:    8,
		Topics:    []partition.TopicOffset{{TopicHash: topic.hash, Offset: 8}},
	})
	fixture.respond(fetch)
	fixture.now = fixture.now.Add(highWatermarkGrace)
	fixture.gateway.tickRouted(fixture.now, &fixture.effects)
	next := fixture.takeSentBatches()
	assert.Equal(t, len(next), 1)
	assert.DeepEqual(t, next[0].Topics, []partition.TopicCursor{{Topic: "topic-0", After: 5}})
	assert.Equal(t, fixture.gateway.routed.reportedUpTo[topic.partition], uint64(8))
}

// announcedSubscribers returns how many subscribers are announced while the only one is unconfirmed, and
// after it is confirmed.
func announcedSubscribers() (unconfirmed, confirmed int) {
	fixture := newTopicFixture(1)
	topic := fixture.gateway.routed.topics["topic-0"]
	unconfirmed = topic.announcedCount
	fixture.respond(fixture.takeSentBatches()[0])
	return unconfirmed, topic.announcedCount
}

func TestSubscriberCountLeavesOutUnconfirmed(t *testing.T) {
	unconfirmed, confirmed := announcedSubscribers()
	assert.Equal(t, unconfirmed, 0)
	assert.Equal(t, confirmed, 1)
}

// confirmedBeforeFetch reports whether a subscription that is resumed with a cursor is confirmed before the
// missed records are fetched.
func confirmedBeforeFetch(t *testing.T, cursor uint64) bool {
	t.Helper()
	fixture := newTopicFixture(1)
	fixture.respond(fixture.takeSentBatches()[0])
	gateway := fixture.gateway
	partition := config.SharedPartition("topic-0")
	gateway.routed.baseOffsets[partition] = 3
	gateway.viewClient.Index, gateway.viewClient.ConfirmedAt = 1, fixture.now
	gateway.detector.ReceiveFromPeer(fixture.now)
	gateway.config = testConfiguration(t)
	gateway.sessions[9] = &session{client: "late", routed: map[string]*topicSubscription{}}
	gateway.routed.topics["topic-0"].recentFrom, gateway.routed.topics["topic-0"].deliveredUpTo = 9, 9
	fixture.effects = statemachine.Effects{}
	gateway.subscribeRouted(fixture.now, Subscribe{
		Request:   77,
		Session:   9,
		Client:    "late",
		Interests: []Interest{{Path: "topic-0"}},
		Cursor:    formatTopicCursor(cursor),
	}, true, &fixture.effects)
	for _, response := range fixture.effects.Responses {
		if response.Request == 77 {
			answer := response.Value.(Reply)
			assert.Equal(t, answer.Outcome, OutcomeAccepted, "%v", answer)
			assert.Equal(t, answer.Cursor, formatTopicCursor(cursor))
			return true
		}
	}
	assert.Equal(t, len(fixture.takeSentBatches()), 1)
	return false
}

func testConfiguration(t *testing.T) config.Configuration {
	t.Helper()
	read, faults := config.Read([]byte(`{"version":1,
		"spaces":[{"name":"boards","promise":"kept","order":"topic"}],
		"routes":[{"prefix":"topic-","space":"boards"}]}`))
	assert.Equal(t, len(faults), 0, "%v", faults)
	return read
}

func TestTopicSubscriptionWithinRetentionConfirmedAtOnce(t *testing.T) {
	assert.Assert(t, confirmedBeforeFetch(t, 5))
	assert.Assert(t, !confirmedBeforeFetch(t, 2), "records below the base offset may have been removed")
}

// respondWithRemaining answers a batch without records. remaining is how many bytes of records the store
// reports as missing of each topic.
func (f *topicFixture) respondWithRemaining(fetch partition.FetchTopics, remaining map[string]int) {
	answer := partition.FetchTopicsResponse{RequestID: fetch.RequestID}
	for _, each := range fetch.Topics {
		answer.Partitions = append(answer.Partitions, partition.PartitionState{
			Partition:     config.SharedPartition(each.Topic),
			Epoch:         1,
			HighWatermark: 9,
		})
		records := partition.TopicRecords{Until: 9}
		if bytes := remaining[each.Topic]; bytes > 0 {
			records = partition.TopicRecords{Until: each.After, RemainingBytes: bytes}
		}
		answer.Topics = append(answer.Topics, records)
	}
	f.gateway.handleTopicsFetched(f.now, answer, &f.effects)
}

// nextBatchOrder returns the topics of the batch that follows a response without records, in the order of
// the batch. Each topic lacks fewer bytes than the one before it in the first batch.
func nextBatchOrder(t *testing.T) []string {
	t.Helper()
	fixture := newTopicFixture(4)
	remaining := map[string]int{}
	for number, opened := range fixture.sessions {
		subscription := opened.routed[opened.client]
		subscription.resumes, subscription.deliveredUpTo = true, 1
		subscription.topic.fetch, subscription.topic.queued = nil, false
		remaining[opened.client] = 1000 * (len(fixture.sessions) - number)
	}
	clear(fixture.gateway.routed.batches)
	clear(fixture.gateway.routed.batchInFlight)
	fixture.gateway.routed.queue = nil
	fixture.takeSentBatches()
	for _, opened := range fixture.sessions {
		subscription := opened.routed[opened.client]
		subscription.topic.queued = true
		fixture.gateway.routed.queue = append(fixture.gateway.routed.queue, subscription.topic)
	}
	fixture.gateway.sendBatches(fixture.now, &fixture.effects)
	fixture.respondWithRemaining(fixture.takeSentBatches()[0], remaining)
	next := fixture.takeSentBatches()
	assert.Equal(t, len(next), 1)
	var order []string
	for _, each := range next[0].Topics {
		order = append(order, each.Topic)
	}
	return order
}

// A topic that lacks a single record must not wait for topics that lack hundreds.
func TestBatchFetchesShortBacklogsBeforeLongOnes(t *testing.T) {
	assert.DeepEqual(t, nextBatchOrder(t), []string{"topic-3", "topic-2", "topic-1", "topic-0"})
}

// No session is admitted while more bytes are missing than the link transfers in a second.
func TestAdmissionRejectsDuringBacklog(t *testing.T) {
	fixture := newTopicFixture(1)
	topic := fixture.gateway.routed.topics["topic-0"]
	fixture.gateway.SetLinkBytesPerSecond(lowLinkRate)
	assert.Assert(t, fixture.gateway.tryAdmit(fixture.now))
	fetch := fixture.takeSentBatches()[0]
	fixture.gateway.handleTopicsFetched(fixture.now, partition.FetchTopicsResponse{
		RequestID:  fetch.RequestID,
		Partitions: []partition.PartitionState{{Partition: topic.partition, Epoch: 1, HighWatermark: 9}},
		Topics:     []partition.TopicRecords{{Until: 0, RemainingBytes: lowLinkRate + 1}},
	}, &fixture.effects)
	assert.Assert(t, !fixture.gateway.tryAdmit(fixture.now))
	fixture.gateway.dropTopicSubscription(fixture.now, fixture.sessions[0], "topic-0", &fixture.effects)
	assert.Assert(t, fixture.gateway.tryAdmit(fixture.now), "no subscription lacks the records any more")
}

const lowLinkRate = 100_000

// The bytes that a removed subscription lacked don't count as backlog any more, even if other sessions
// subscribe to the topic and the response is still in flight.
func TestAdmissionForgetsBacklogOfClosedSessions(t *testing.T) {
	fixture := newTopicFixture(1)
	gateway, topic := fixture.gateway, fixture.gateway.routed.topics["topic-0"]
	fixture.respond(fixture.takeSentBatches()[0])
	gateway.SetLinkBytesPerSecond(lowLinkRate)
	resumed := &topicSubscription{
		session:    9,
		catchingUp: true,
		resumes:    true,
		request:    Subscribe{Request: 9},
		deadline:   fixture.now.Add(time.Second),
	}
	gateway.sessions[9] = &session{client: "late", routed: map[string]*topicSubscription{"topic-0": resumed}}
	gateway.addTopicSubscription(fixture.now, "topic-0", "boards", resumed, &fixture.effects)
	gateway.fetchTopic(fixture.now, topic, &fixture.effects)
	for range 2 {
		fetch := fixture.takeSentBatches()[0]
		gateway.handleTopicsFetched(fixture.now, partition.FetchTopicsResponse{
			RequestID:  fetch.RequestID,
			Partitions: []partition.PartitionState{{Partition: topic.partition, Epoch: 1, HighWatermark: 5}},
			Topics:     []partition.TopicRecords{{Until: 1, RemainingBytes: lowLinkRate + 1}},
		}, &fixture.effects)
		if _, subscribed := gateway.sessions[9].routed["topic-0"]; subscribed {
			assert.Assert(t, !gateway.tryAdmit(fixture.now))
			gateway.dropTopicSubscription(fixture.now, gateway.sessions[9], "topic-0", &fixture.effects)
		}
	}
	assert.Assert(t, gateway.tryAdmit(fixture.now))
}

// answerAt answers the only batch that was sent like a store with a high watermark, and returns the
// topics that it requested.
func (f *topicFixture) answerAt(t *testing.T, highWatermark uint64) []partition.TopicCursor {
	t.Helper()
	batches := f.takeSentBatches()
	assert.Equal(t, len(batches), 1)
	response := partition.FetchTopicsResponse{RequestID: batches[0].RequestID}
	for _, each := range batches[0].Topics {
		response.Partitions = append(response.Partitions, partition.PartitionState{
			Partition: config.SharedPartition(each.Topic), Epoch: 1, HighWatermark: highWatermark,
		})
		response.Topics = append(response.Topics, partition.TopicRecords{Until: highWatermark})
	}
	f.gateway.handleTopicsFetched(f.now, response, &f.effects)
	return batches[0].Topics
}

// subscribeAgain subscribes a further client, without a cursor, to the first topic. It returns the
// cursor that the client is given, empty if it is not answered at once.
func (f *topicFixture) subscribeAgain(number uint64) string {
	f.gateway.sessions[number] = &session{client: fmt.Sprint("client-", number), routed: map[string]*topicSubscription{}}
	request := Subscribe{Request: number, Session: number, Client: fmt.Sprint("client-", number)}
	interest := Interest{Space: "boards", Path: "topic-0"}
	f.gateway.startRouted(f.now, f.gateway.sessions[number], request, interest, &f.effects)
	return f.cursorOf(number)
}

// cursorOf returns the cursor in the response to a request, empty if there is none yet.
func (f *topicFixture) cursorOf(request uint64) string {
	for _, response := range f.effects.Responses {
		if response.Request == request {
			return response.Value.(Reply).Cursor
		}
	}
	return ""
}

// A subscription without a cursor must begin behind all messages that were accepted long before it,
// also if the leader's reports of them were lost.
func TestSubscriptionBeginsAtRecentOffsetOfLeader(t *testing.T) {
	fixture := newTopicFixture(1)
	fixture.answerAt(t, 5)
	assert.Equal(t, fixture.subscribeAgain(101), formatTopicCursor(5), "right after the leader answered")
	fixture.now = fixture.now.Add(partition.MaxOffsetAge + time.Millisecond)
	fixture.takeSentBatches()
	assert.Equal(t, fixture.subscribeAgain(102), "", "the offset is too old")
	asked := fixture.answerAt(t, 9)
	assert.DeepEqual(t, asked, []partition.TopicCursor{{Topic: "topic-0", After: maxOffset}})
	assert.Equal(t, fixture.cursorOf(102), formatTopicCursor(9))
	assert.Equal(t, fixture.subscribeAgain(103), formatTopicCursor(9))
}

// The age of an offset counts from the first attempt: a response to it may have been under way since.
func TestOffsetOfLateResponseIsNotRecent(t *testing.T) {
	fixture := newTopicFixture(1)
	fixture.gateway.subscribeTimeout = time.Minute
	fixture.answerAt(t, 5)
	fixture.now = fixture.now.Add(time.Minute)
	assert.Equal(t, fixture.subscribeAgain(101), "")
	sentAt := fixture.now
	for _, sent := range fixture.gateway.routed.batches {
		for range 4 {
			fixture.now = sent.due()
			fixture.gateway.retryBatches(fixture.now, &fixture.effects)
		}
	}
	assert.Assert(t, fixture.now.Sub(sentAt) > partition.MaxOffsetAge)
	fixture.respond(fixture.takeSentBatches()[0])
	assert.Equal(t, fixture.cursorOf(101), "", "the response may be as old as the first attempt")
	fixture.answerAt(t, 9)
	assert.Equal(t, fixture.cursorOf(101), formatTopicCursor(9))
}
