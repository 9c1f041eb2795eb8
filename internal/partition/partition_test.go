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
		record.Prior = log.prior(record.Topic)
		log.add(record)
	}
	return log
}

func at(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }

func TestATopicThatLostNothingIsNotGone(t *testing.T) {
	log := filled(config.SharedPartitionName(3),
		Record{Topic: "quiet", Sender: "s", Seq: 1, At: at(0)},
		Record{Topic: "busy", Sender: "s", Seq: 2, At: at(1)},
		Record{Topic: "passing", Sender: "s", Seq: 3, At: at(2), Bare: true},
		Record{Topic: "busy", Sender: "s", Seq: 4, At: at(200)},
	)
	log.trim(at(201), 35*time.Second)
	assert.Equal(t, log.Base, uint64(3))
	for _, each := range []struct {
		after uint64
		topic string
		gone  bool
	}{
		{after: 0, topic: "quiet", gone: true}, {after: 1, topic: "quiet", gone: false},
		{after: 1, topic: "busy", gone: true}, {after: 2, topic: "busy", gone: false},
		{after: 0, topic: "passing", gone: false}, {after: 0, topic: "never", gone: false},
	} {
		assert.Equal(t, log.gone(each.after, []string{each.topic}, nil), each.gone, "%+v", each)
	}
	assert.DeepEqual(t, log.moved(1, 4), map[string]uint64{"busy": 4})
	assert.DeepEqual(t, log.moved(0, 3), map[string]uint64{"busy": 2, "quiet": 1})
	assert.Equal(t, log.prior("quiet"), uint64(1))
	assert.Equal(t, len(log.of([]string{"busy", "quiet"}, 0, 4)), 1)
	sender := log.Senders[log.memoryKey("quiet", "s")]
	assert.Equal(t, sender.LastSeq, uint64(1), "each topic of a sender stands for itself")
}

func TestTopicsThatWereSilentForLongAreForgottenTogether(t *testing.T) {
	log := newLog(config.SharedPartitionName(0))
	for number := range topicsMost + 2 {
		topic := fmt.Sprint("t", number)
		log.add(Record{Offset: uint64(number) + 1, Epoch: 1, Topic: topic, Sender: "s", Seq: 1, At: at(number / 100)})
	}
	log.trim(at(120), 35*time.Second)
	assert.Equal(t, len(log.Trimmed), topicsMost+2, "nothing was silent for long")
	log.add(Record{Offset: topicsMost + 3, Epoch: 1, Topic: "t1", Sender: "s", Seq: 2, At: at(120)})
	log.trim(at(720), 35*time.Second)
	assert.Assert(t, len(log.Trimmed) < 10, "%d topics are remembered", len(log.Trimmed))
	assert.Equal(t, log.Forgotten, uint64(topicsMost+2))
	assert.Assert(t, log.gone(5, []string{"t9"}, nil), "nobody can tell any more")
	assert.Assert(t, !log.gone(topicsMost+2, []string{"t9"}, nil))
	assert.Assert(t, log.gone(5, []string{"t1"}, nil))
	assert.Assert(t, !log.gone(topicsMost+3, []string{"t1"}, nil))
}

func TestAResendIsKnownForLongerThanItMayCome(t *testing.T) {
	log := filled(config.SharedPartitionName(0), Record{Topic: "a", Sender: "s", Seq: 7, At: at(0)}, Record{Topic: "a", Sender: "s", Seq: 9, At: at(1)})
	log.trim(at(59), time.Second)
	sender := log.Senders[log.memoryKey("a", "s")]
	memory, known := sender.find(7)
	assert.Assert(t, known && memory.Offset == 1)
	log.trim(at(70), time.Second)
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
		store.follower.Document = body
		store.takeConfiguration(now)
	}
	assert.Equal(t, store.sharedHolding(at(0)), config.DefaultRetentionTime)
	take(at(0), document(1, `{"name": "a", "promise": "kept", "order": "topic", "holding": "90s"}, {"name": "b", "promise": "kept", "order": "channel", "holding": "5m"}`))
	assert.Equal(t, store.sharedHolding(at(0)), 90*time.Second)
	take(at(10), document(2, `{"name": "a", "promise": "kept", "order": "topic", "holding": "20s"}`))
	assert.Equal(t, store.sharedHolding(at(11)), 90*time.Second, "shortened")
	take(at(20), document(3, ``))
	assert.Equal(t, store.sharedHolding(at(309)), 90*time.Second, "removed")
	assert.Equal(t, store.sharedHolding(at(311)), config.DefaultRetentionTime)
}

func TestSeqsAreRememberedForLongerThanTheyMayBeSentAgain(t *testing.T) {
	for memory, remembered := range map[time.Duration]bool{60 * time.Second: false, 300 * time.Second: true} {
		log := newLog("+~0/1")
		log.add(Record{Offset: 1, Topic: "a", Sender: "u", Seq: 1, At: at(0)})
		log.add(Record{Offset: 2, Topic: "a", Sender: "v", Seq: 1, At: at(200)})
		log.trimTo(at(201), 35*time.Second, memory)
		found := false
		for _, sender := range log.Senders {
			for _, each := range sender.Recent {
				found = found || each.Offset == 1
			}
		}
		assert.Equal(t, found, remembered, "a memory of %s", memory)
	}
}
