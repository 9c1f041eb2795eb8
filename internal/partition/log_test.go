// What a shared partition's log remembers when its records are gone, and for how
// long a store holds them.
package partition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
)

var began = time.Unix(1_700_000_000, 0)

func filled(name string, records ...Record) *log {
	log := newLog(name)
	for position, record := range records {
		record.Offset = uint64(position) + 1
		record.Epoch = 1
		record.PreviousInTopic = log.lastOffsetOf(record.Topic)
		log.append(record)
	}
	return log
}

func at(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }

func TestATopicThatLostNothingIsNotGone(t *testing.T) {
	log := filled(config.SharedPartitionName(3),
		Record{Topic: "quiet", Sender: "s", Seq: 1, AppendedAt: at(0)},
		Record{Topic: "busy", Sender: "s", Seq: 2, AppendedAt: at(1)},
		Record{Topic: "passing", Sender: "s", Seq: 3, AppendedAt: at(2), OffsetOnly: true},
		Record{Topic: "busy", Sender: "s", Seq: 4, AppendedAt: at(200)},
	)
	log.expire(at(201), 35*time.Second, dedupWindow)
	assert.Equal(t, log.BaseOffset, uint64(3))
	for _, each := range []struct {
		after uint64
		topic string
		gone  bool
	}{
		{after: 0, topic: "quiet", gone: true}, {after: 1, topic: "quiet", gone: false},
		{after: 1, topic: "busy", gone: true}, {after: 2, topic: "busy", gone: false},
		{after: 0, topic: "passing", gone: false}, {after: 0, topic: "never", gone: false},
	} {
		assert.Equal(t, log.hasExpired(each.after, []string{each.topic}, nil), each.gone, "%+v", each)
	}
	assert.DeepEqual(t, log.changedTopics(1, 4), map[string]uint64{"busy": 4})
	assert.DeepEqual(t, log.changedTopics(0, 3), map[string]uint64{"busy": 2, "quiet": 1})
	assert.Equal(t, log.lastOffsetOf("quiet"), uint64(1))
	assert.Equal(t, len(log.recordsOf([]string{"busy", "quiet"}, 0, 4)), 1)
	sender := log.Senders[log.senderKey("quiet", "s")]
	assert.Equal(t, sender.LastSeq, uint64(1), "each topic of a sender stands for itself")
}

func TestTopicsThatWereSilentForLongAreForgottenTogether(t *testing.T) {
	log := newLog(config.SharedPartitionName(0))
	for number := range maxExpiredTopics + 2 {
		topic := fmt.Sprint("t", number)
		log.append(Record{Offset: uint64(number) + 1, Epoch: 1, Topic: topic, Sender: "s", Seq: 1, AppendedAt: at(number / 100)})
	}
	log.expire(at(120), 35*time.Second, dedupWindow)
	assert.Equal(t, len(log.ExpiredTopics), maxExpiredTopics+2, "nothing was silent for long")
	log.append(Record{Offset: maxExpiredTopics + 3, Epoch: 1, Topic: "t1", Sender: "s", Seq: 2, AppendedAt: at(120)})
	log.expire(at(720), 35*time.Second, dedupWindow)
	assert.Assert(t, len(log.ExpiredTopics) < 10, "%d topics are remembered", len(log.ExpiredTopics))
	assert.Equal(t, log.ForgottenOffset, uint64(maxExpiredTopics+2))
	assert.Assert(t, log.hasExpired(5, []string{"t9"}, nil), "nobody can tell any more")
	assert.Assert(t, !log.hasExpired(maxExpiredTopics+2, []string{"t9"}, nil))
	assert.Assert(t, log.hasExpired(5, []string{"t1"}, nil))
	assert.Assert(t, !log.hasExpired(maxExpiredTopics+3, []string{"t1"}, nil))
}

func TestAResendIsKnownForLongerThanItMayCome(t *testing.T) {
	log := filled(config.SharedPartitionName(0), Record{Topic: "a", Sender: "s", Seq: 7, AppendedAt: at(0)}, Record{Topic: "a", Sender: "s", Seq: 9, AppendedAt: at(1)})
	log.expire(at(59), time.Second, dedupWindow)
	sender := log.Senders[log.senderKey("a", "s")]
	memory, known := sender.find(7)
	assert.Assert(t, known && memory.Offset == 1)
	log.expire(at(70), time.Second, dedupWindow)
	_, known = sender.find(7)
	assert.Assert(t, !known)
	assert.Equal(t, sender.LastSeq, uint64(9), "a lower one is still turned away")
}

func document(version int, spaces string) []byte {
	return fmt.Appendf(nil, `{"version": %d, "spaces": [%s]}`, version, spaces)
}

func TestAHoldingThatWasTakenBackCountsOn(t *testing.T) {
	store, err := New(Settings{Self: membership.Member{Name: "store", Kind: membership.KindStore, Address: "store"}, Seeds: []string{"controller"}, NewDisk: "disk"}, nil, nil)
	assert.NilError(t, err)
	take := func(now time.Time, body []byte) {
		store.view.Document = body
		store.applyConfiguration(now)
	}
	assert.Equal(t, store.sharedRetention(at(0)), config.DefaultHolding)
	take(at(0), document(1, `{"name": "a", "promise": "kept", "order": "topic", "holding": "90s"}, {"name": "b", "promise": "kept", "order": "channel", "holding": "5m"}`))
	assert.Equal(t, store.sharedRetention(at(0)), 90*time.Second)
	take(at(10), document(2, `{"name": "a", "promise": "kept", "order": "topic", "holding": "20s"}`))
	assert.Equal(t, store.sharedRetention(at(11)), 90*time.Second, "shortened")
	take(at(20), document(3, ``))
	assert.Equal(t, store.sharedRetention(at(309)), 90*time.Second, "removed")
	assert.Equal(t, store.sharedRetention(at(311)), config.DefaultHolding)
}

func TestSeqsAreRememberedForLongerThanTheyMayBeSentAgain(t *testing.T) {
	for memory, remembered := range map[time.Duration]bool{60 * time.Second: false, 300 * time.Second: true} {
		log := newLog("+~0/1")
		log.append(Record{Offset: 1, Topic: "a", Sender: "u", Seq: 1, AppendedAt: at(0)})
		log.append(Record{Offset: 2, Topic: "a", Sender: "v", Seq: 1, AppendedAt: at(200)})
		log.expire(at(201), 35*time.Second, memory)
		found := false
		for _, sender := range log.Senders {
			for _, each := range sender.Window {
				found = found || each.Offset == 1
			}
		}
		assert.Equal(t, found, remembered, "a memory of %s", memory)
	}
}
