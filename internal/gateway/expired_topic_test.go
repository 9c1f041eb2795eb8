package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/partition"
)

// laggingTopic returns a gateway with a live subscription to a topic of which it has the copy of a record
// at offset 20, but not the one at offset 9 before it. The leader knows of no others. The client with
// number 102, if it subscribes, does so behind the missing record, at offset 12.
func laggingTopic(t *testing.T, another bool) *topicFixture {
	t.Helper()
	fixture := newTopicFixture(1)
	fixture.answerAt(t, 5)
	if another {
		fixture.now = fixture.now.Add(partition.MaxOffsetAge)
		topic := fixture.gateway.routed.topics["topic-0"]
		fixture.gateway.routed.leaderOffsets[topic.partition] = leaderOffset{offset: 12, requestedAt: fixture.now}
		assert.Equal(t, fixture.subscribeAgain(102), formatTopicCursor(12))
	}
	fixture.takeSentBatches()
	fixture.gateway.handleRoutedCopy(fixture.now, partition.Record{
		Topic: "topic-0", Sender: "s", Seq: 8, Offset: 20, PreviousInTopic: 9,
	}, &fixture.effects)
	fixture.now = fixture.now.Add(gapTimeout)
	fixture.gateway.tickRouted(fixture.now, &fixture.effects)
	return fixture
}

// rejectExpired answers the only batch that was sent like a store that has discarded the topic's record
// at offset 9, and returns the offset after which records were requested.
func (f *topicFixture) rejectExpired(t *testing.T) uint64 {
	t.Helper()
	batches := f.takeSentBatches()
	assert.Equal(t, len(batches), 1)
	name := f.gateway.routed.topics["topic-0"].partition
	f.gateway.handleTopicsFetched(f.now, partition.FetchTopicsResponse{
		RequestID:  batches[0].RequestID,
		Partitions: []partition.PartitionState{{Partition: name, Epoch: 1, HighWatermark: 30}},
		Topics:     []partition.TopicRecords{{Until: 30, Expired: true}},
	}, &f.effects)
	return batches[0].Topics[0].After
}

// goneSessions returns the sessions that were closed because records have expired.
func (f *topicFixture) goneSessions() (sessions []uint64) {
	for _, deliver := range f.effects.Deliveries {
		if event := deliver.Event.(Event); event.Event == "gone" && event.Code == CodeCursorExpired && deliver.Close {
			sessions = append(sessions, deliver.Session)
		}
	}
	return sessions
}

// A subscriber that stays must not wait for ever for a record that no store has any more, with all later
// ones behind it: its session is closed, and it subscribes again with its cursor.
func TestSubscriberIsToldThatMissingRecordHasExpired(t *testing.T) {
	fixture := laggingTopic(t, false)
	assert.Equal(t, fixture.rejectExpired(t), uint64(5))
	assert.DeepEqual(t, fixture.goneSessions(), []uint64{1})
	assert.Equal(t, len(fixture.gateway.sessions), 0)
	assert.Equal(t, len(fixture.gateway.routed.topics), 0)
}

// A subscription that began behind the missing record continues: whether it lacks anything is judged by its
// own cursor.
func TestLaterSubscriptionOutlivesExpiredRecord(t *testing.T) {
	fixture := laggingTopic(t, true)
	assert.Equal(t, fixture.rejectExpired(t), uint64(5))
	assert.DeepEqual(t, fixture.goneSessions(), []uint64{1})
	batches := fixture.takeSentBatches()
	assert.Equal(t, len(batches), 1)
	assert.DeepEqual(t, batches[0].Topics, []partition.TopicCursor{{Topic: "topic-0", After: 12}})
	topic := fixture.gateway.routed.topics["topic-0"]
	fixture.gateway.handleTopicsFetched(fixture.now, partition.FetchTopicsResponse{
		RequestID:  batches[0].RequestID,
		Partitions: []partition.PartitionState{{Partition: topic.partition, Epoch: 1, HighWatermark: 30}},
		Topics: []partition.TopicRecords{{Until: 30, Records: []partition.Record{
			{Topic: "topic-0", Sender: "s", Seq: 8, Offset: 20, PreviousInTopic: 9},
		}}},
	}, &fixture.effects)
	assert.Equal(t, len(fixture.effects.Responses), 0, "it has its answer")
	assert.Equal(t, len(fixture.effects.Deliveries), 1)
	assert.Equal(t, fixture.effects.Deliveries[0].Session, uint64(102))
	assert.Equal(t, fixture.effects.Deliveries[0].Event.(Event).Seq, uint64(8))
	fixture.gateway.handleRoutedCopy(fixture.now, partition.Record{
		Topic: "topic-0", Sender: "s", Seq: 9, Offset: 31, PreviousInTopic: 20,
	}, &fixture.effects)
	assert.Equal(t, len(fixture.effects.Deliveries), 2)
}

// The session of a later subscription whose own cursor has expired is closed as well.
func TestLaterSubscriptionIsToldThatItsPlaceHasExpired(t *testing.T) {
	fixture := laggingTopic(t, true)
	fixture.rejectExpired(t)
	assert.Equal(t, fixture.rejectExpired(t), uint64(12))
	assert.DeepEqual(t, fixture.goneSessions(), []uint64{102})
	assert.Equal(t, len(fixture.gateway.routed.topics), 0)
}
