package partition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
)

// withoutTails is a policy under which a record can't be read any more once it is dropped.
var withoutTails = retentionPolicy{records: 35 * time.Second, tailSpan: noTail}

// filledLog returns a log with the given records, at offsets from 1 on.
func filledLog(name string, records ...Record) *log {
	log := newLog(name)
	for position, record := range records {
		record.Offset = uint64(position) + 1
		record.Epoch = 1
		record.PreviousInTopic = log.lastOffsetOf(record.Topic)
		log.append(record)
	}
	return log
}

func TestLogReportsTopicsWithExpiredRecords(t *testing.T) {
	log := filledLog(config.SharedPartitionName(3),
		Record{Topic: "quiet", Sender: "s", Seq: 1, AppendedAt: at(0)},
		Record{Topic: "busy", Sender: "s", Seq: 2, AppendedAt: at(1)},
		Record{Topic: "ephemeral", Sender: "s", Seq: 3, AppendedAt: at(2), OffsetOnly: true},
		Record{Topic: "busy", Sender: "s", Seq: 4, AppendedAt: at(200)},
	)
	log.expire(at(201), withoutTails, dedupWindow)
	assert.Equal(t, log.BaseOffset, uint64(3))
	for _, each := range []struct {
		after   uint64
		topic   string
		expired bool
	}{
		{after: 0, topic: "quiet", expired: true},
		{after: 1, topic: "quiet", expired: false},
		{after: 1, topic: "busy", expired: true},
		{after: 2, topic: "busy", expired: false},
		{after: 0, topic: "ephemeral", expired: false},
		{after: 0, topic: "never", expired: false},
	} {
		assert.Equal(t, log.hasExpired(each.after, []string{each.topic}, nil), each.expired, "%+v", each)
	}
	assert.DeepEqual(t, log.changedTopics(1, 4), map[string]uint64{"busy": 4})
	assert.DeepEqual(t, log.changedTopics(0, 3), map[string]uint64{"busy": 2, "quiet": 1})
	assert.Equal(t, log.lastOffsetOf("quiet"), uint64(1))
	assert.Equal(t, len(log.recordsOf([]string{"busy", "quiet"}, 0, 4)), 1)
	sender := log.Senders[log.senderKey("quiet", "s")]
	assert.Equal(t, sender.LastSeq, uint64(1), "each topic of a sender has a separate state")
}

func TestLogBoundsExpiredTopics(t *testing.T) {
	log := newLog(config.SharedPartitionName(0))
	for number := range maxExpiredTopics + 2 {
		log.append(Record{
			Offset:     uint64(number) + 1,
			Epoch:      1,
			Topic:      fmt.Sprint("t", number),
			Sender:     "s",
			Seq:        1,
			AppendedAt: at(number / 100),
		})
	}
	log.expire(at(120), withoutTails, dedupWindow)
	assert.Equal(t, len(log.ExpiredTopics), maxExpiredTopics+2, "no topic is older than expiredTopicRetention")
	log.append(Record{
		Offset:     maxExpiredTopics + 3,
		Epoch:      1,
		Topic:      "t1",
		Sender:     "s",
		Seq:        2,
		AppendedAt: at(120),
	})
	log.expire(at(720), withoutTails, dedupWindow)
	assert.Assert(t, len(log.ExpiredTopics) < 10, "%d expired topics are kept", len(log.ExpiredTopics))
	assert.Equal(t, log.ForgottenOffset, uint64(maxExpiredTopics+2))
	assert.Assert(t, log.hasExpired(5, []string{"t9"}, nil), "an offset below ForgottenOffset counts as expired")
	assert.Assert(t, !log.hasExpired(maxExpiredTopics+2, []string{"t9"}, nil))
	assert.Assert(t, log.hasExpired(5, []string{"t1"}, nil))
	assert.Assert(t, !log.hasExpired(maxExpiredTopics+3, []string{"t1"}, nil))
}

func TestSenderStateFindsDuplicatesWithinWindow(t *testing.T) {
	log := filledLog(config.SharedPartitionName(0),
		Record{Topic: "a", Sender: "s", Seq: 7, AppendedAt: at(0)},
		Record{Topic: "a", Sender: "s", Seq: 9, AppendedAt: at(1)},
	)
	log.expire(at(59), retentionPolicy{records: time.Second}, dedupWindow)
	sender := log.Senders[log.senderKey("a", "s")]
	entry, known := sender.find(7)
	assert.Assert(t, known && entry.Offset == 1)
	log.expire(at(70), retentionPolicy{records: time.Second}, dedupWindow)
	_, known = sender.find(7)
	assert.Assert(t, !known)
	assert.Equal(t, sender.LastSeq, uint64(9), "lower sequence numbers are still rejected")
}

func TestLogKeepsSequenceNumbersForDedupWindow(t *testing.T) {
	for window, retained := range map[time.Duration]bool{60 * time.Second: false, 300 * time.Second: true} {
		log := newLog("+~0/1")
		log.append(Record{Offset: 1, Topic: "a", Sender: "u", Seq: 1, AppendedAt: at(0)})
		log.append(Record{Offset: 2, Topic: "a", Sender: "v", Seq: 1, AppendedAt: at(200)})
		log.expire(at(201), withoutTails, window)
		found := false
		for _, sender := range log.Senders {
			for _, entry := range sender.Window {
				found = found || entry.Offset == 1
			}
		}
		assert.Equal(t, found, retained, "a window of %s", window)
	}
}
