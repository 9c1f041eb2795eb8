// One answer for many topics: each is told whether its place is still held, and records
// go out within the credit.
package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
)

// asked gives the records of topics after offsets, within a credit, as an answer does.
func asked(log *log, credit int, topics ...TopicCursor) []TopicRecords {
	accepted, _ := log.end()
	partition := &replica{log: log, highWatermark: accepted}
	var found []TopicRecords
	for position, each := range topics {
		found = append(found, partition.fetchTopic(each, &credit, position == 0))
	}
	return found
}

func offsets(found TopicRecords) []uint64 {
	var all []uint64
	for _, record := range found.Records {
		all = append(all, record.Offset)
	}
	return all
}

func threeTopics() *log {
	data := make([]byte, 100)
	return filled(config.SharedPartitionName(3),
		Record{Topic: "a", Sender: "s", Seq: 1, Data: data}, Record{Topic: "b", Sender: "s", Seq: 2, Data: data},
		Record{Topic: "a", Sender: "s", Seq: 3, Data: data}, Record{Topic: "a", Sender: "s", Seq: 4, Data: data},
		Record{Topic: "c", Sender: "s", Seq: 5, OffsetOnly: true},
	)
}

func TestRecordsOfManyTopicsShareACredit(t *testing.T) {
	found := asked(threeTopics(), 250, TopicCursor{Topic: "a"}, TopicCursor{Topic: "b"}, TopicCursor{Topic: "quiet"}, TopicCursor{Topic: "c"})
	assert.DeepEqual(t, offsets(found[0]), []uint64{1, 3})
	assert.Equal(t, found[0].Until, uint64(3))
	assert.Equal(t, found[0].RemainingBytes, 100)
	// There is no room left; the place is confirmed all the same.
	assert.Equal(t, len(found[1].Records), 0)
	assert.Equal(t, found[1].Until, uint64(1))
	assert.Equal(t, found[1].RemainingBytes, 100)
	for _, complete := range found[2:] {
		assert.Equal(t, complete.Until, uint64(5))
		assert.Equal(t, complete.RemainingBytes, 0)
	}
}

func TestTheFirstRecordOfAnAnswerAlwaysFits(t *testing.T) {
	found := asked(threeTopics(), 10, TopicCursor{Topic: "a", After: 1}, TopicCursor{Topic: "b"})
	assert.DeepEqual(t, offsets(found[0]), []uint64{3})
	assert.Equal(t, found[0].Until, uint64(3))
	assert.Equal(t, len(found[1].Records), 0)
}

// Asking again from where each answer ends brings everything, once, whatever the credit.
func TestAnswersInARowBringEverythingOnce(t *testing.T) {
	for credit := range 400 {
		log := threeTopics()
		after, got := uint64(0), []uint64(nil)
		for round := 0; ; round++ {
			assert.Assert(t, round < 5, "credit %d", credit)
			found := asked(log, credit, TopicCursor{Topic: "a", After: after})[0]
			got = append(got, offsets(found)...)
			after = found.Until
			if found.RemainingBytes == 0 {
				break
			}
		}
		assert.DeepEqual(t, got, []uint64{1, 3, 4})
		assert.Equal(t, after, uint64(5))
	}
}

func TestAPlaceOfWhichSomethingIsGoneIsToldSo(t *testing.T) {
	log := threeTopics()
	log.ExpiredTopics = map[string]expiredTopic{"a": {LastOffset: 9}}
	log.BaseOffset = 3
	log.Records = log.Records[3:]
	found := asked(log, 1000, TopicCursor{Topic: "a", After: 1}, TopicCursor{Topic: "b", After: 4})
	assert.Assert(t, found[0].Expired && len(found[0].Records) == 0)
	assert.Assert(t, !found[1].Expired)
}
