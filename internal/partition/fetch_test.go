package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// fetchTopics returns the records of topics as in a response with a maximum number of bytes.
func fetchTopics(log *log, maxBytes int, topics ...TopicCursor) []TopicRecords {
	highWatermark, _ := log.end()
	partition := &replica{log: log, highWatermark: highWatermark}
	var found []TopicRecords
	for position, cursor := range topics {
		found = append(found, partition.fetchTopic(cursor, &maxBytes, position == 0))
	}
	return found
}

func offsetsOf(found TopicRecords) []uint64 {
	var offsets []uint64
	for _, record := range found.Records {
		offsets = append(offsets, record.Offset)
	}
	return offsets
}

func threeTopics() *log {
	data := make([]byte, 100)
	return filledLog(config.SharedPartitionName(3),
		Record{Topic: "a", Sender: "s", Seq: 1, Data: data},
		Record{Topic: "b", Sender: "s", Seq: 2, Data: data},
		Record{Topic: "a", Sender: "s", Seq: 3, Data: data},
		Record{Topic: "a", Sender: "s", Seq: 4, Data: data},
		Record{Topic: "c", Sender: "s", Seq: 5, OffsetOnly: true},
	)
}

func TestFetchTopicsShareMaxBytes(t *testing.T) {
	found := fetchTopics(threeTopics(), 250,
		TopicCursor{Topic: "a"},
		TopicCursor{Topic: "b"},
		TopicCursor{Topic: "quiet"},
		TopicCursor{Topic: "c"},
	)
	assert.DeepEqual(t, offsetsOf(found[0]), []uint64{1, 3})
	assert.Equal(t, found[0].Until, uint64(3))
	assert.Equal(t, found[0].RemainingBytes, 100)
	// No bytes remain, but the response still covers the topic up to its next record.
	assert.Equal(t, len(found[1].Records), 0)
	assert.Equal(t, found[1].Until, uint64(1))
	assert.Equal(t, found[1].RemainingBytes, 100)
	for _, complete := range found[2:] {
		assert.Equal(t, complete.Until, uint64(5))
		assert.Equal(t, complete.RemainingBytes, 0)
	}
}

func TestFetchTopicsAlwaysHasFirstRecord(t *testing.T) {
	found := fetchTopics(threeTopics(), 10, TopicCursor{Topic: "a", After: 1}, TopicCursor{Topic: "b"})
	assert.DeepEqual(t, offsetsOf(found[0]), []uint64{3})
	assert.Equal(t, found[0].Until, uint64(3))
	assert.Equal(t, len(found[1].Records), 0)
}

// Requests that continue after Until return each record once, whatever the size of each response.
func TestFetchTopicsInSequenceHasEachRecordOnce(t *testing.T) {
	for maxBytes := range 400 {
		log := threeTopics()
		after, got := uint64(0), []uint64(nil)
		for round := 0; ; round++ {
			assert.Assert(t, round < 5, "%d bytes", maxBytes)
			found := fetchTopics(log, maxBytes, TopicCursor{Topic: "a", After: after})[0]
			got = append(got, offsetsOf(found)...)
			after = found.Until
			if found.RemainingBytes == 0 {
				break
			}
		}
		assert.DeepEqual(t, got, []uint64{1, 3, 4})
		assert.Equal(t, after, uint64(5))
	}
}

func TestFetchTopicsReportsExpiredRecords(t *testing.T) {
	log := threeTopics()
	log.ExpiredTopics = map[string]expiredTopic{"a": {LastOffset: 9}}
	log.BaseOffset = 3
	log.Records = log.Records[3:]
	found := fetchTopics(log, 1000, TopicCursor{Topic: "a", After: 1}, TopicCursor{Topic: "b", After: 4})
	assert.Assert(t, found[0].Expired && len(found[0].Records) == 0)
	assert.Assert(t, !found[1].Expired)
}

// An operator sees from the event which record was the reason why a cursor was rejected.
func TestStoreLogsFetchOfExpiredRecords(t *testing.T) {
	cluster := newCluster(t, 1)
	store := cluster.stores["store-0"]
	partition := config.SharedPartition("topic")
	store.replicas[partition].log = filledLog(partition,
		Record{Topic: "topic", Sender: "s", Seq: 1, AppendedAt: at(-100)},
		Record{Topic: "topic", Sender: "s", Seq: 2, AppendedAt: at(-70)},
	)
	store.replicas[partition].highWatermark = 2
	store.replicas[partition].log.dropOldest(cluster.now, 2, noTail)
	var effects statemachine.Effects
	request := FetchTopics{RequestID: 1, Topics: []TopicCursor{{Topic: "topic", After: 0}, {Topic: "topic", After: 2}}}
	store.HandleMessage(cluster.now, statemachine.Meta{From: "gateway"}, request, &effects)
	assert.DeepEqual(t, effects.LogEvents, []statemachine.LogEvent{{
		Number: logevent.PartitionRecordsExpired,
		Fields: map[string]any{
			"partition": partition, "topic": "topic", "after": uint64(0), "offset": uint64(2), "age": "1m10s",
		},
	}})
}
