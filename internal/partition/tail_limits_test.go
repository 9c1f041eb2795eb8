package partition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
)

const largeMessage = 16 << 10

// expiredLog returns a log in which one message of the given size on each of a number of topics has
// expired. The messages are a second apart.
func expiredLog(number, topics, size int) *log {
	log := newLog(config.SharedPartitionName(number))
	for topic := range topics {
		log.append(Record{
			Offset: uint64(topic) + 1, Topic: fmt.Sprint("t", number, "-", topic), Sender: "s", Seq: 1, AppendedAt: at(topic),
			Data: make([]byte, size),
		})
	}
	log.expire(at(1000), tailRetention, dedupWindow)
	return log
}

// A topic's tail must not be displaced by messages that others send to other topics.
func TestSmallMessagesOutlastLargeOnesOfOtherTopics(t *testing.T) {
	const topics, smallMessage = 200, 230
	small, large := expiredLog(0, topics, smallMessage), expiredLog(1, topics, largeMessage)
	limit := topics * largeMessage / 2
	discardExcess(at(1000), logsOf(small, large), tailRetention.tailSpan, tailLimits{superseded: limit, total: limit})
	assert.Equal(t, len(small.Tails), topics)
	roomForLarge := limit - topics*(smallMessage+recordOverheadBytes)
	assert.Equal(t, len(large.Tails), roomForLarge/(largeMessage+recordOverheadBytes))
	assert.Equal(t, len(large.ExpiredTopics), topics)
	for topic := range topics {
		_, kept := large.Tails[fmt.Sprint("t1-", topic)]
		assert.Equal(t, kept, topic >= topics-len(large.Tails), "the oldest are discarded, not %d", topic)
		assert.Equal(t, large.hasExpired(0, []string{fmt.Sprint("t1-", topic)}, nil), !kept)
		assert.Assert(t, !large.hasExpired(uint64(topic)+1, []string{fmt.Sprint("t1-", topic)}, nil))
	}
}

// The tails of all partitions of a store stay within its limits, whatever the messages.
func TestTailsAreWithinLimits(t *testing.T) {
	logs := logsOf(expiredLog(0, 300, 230), expiredLog(1, 200, largeMessage), expiredLog(2, 5, 2<<20))
	for _, limit := range []int{12 << 20, 1 << 20, 40 << 10, 0} {
		discardExcess(at(1000), logs, tailRetention.tailSpan, tailLimits{superseded: limit, total: limit})
		total := 0
		for _, each := range logs {
			bytes, _ := each.tailBytes(tailRetention.tailSpan)
			total += bytes
		}
		assert.Assert(t, total <= limit, "%d bytes", total)
		assert.Assert(t, total > limit-(2<<20)-largeMessage || limit == 0, "%d of %d bytes", total, limit)
	}
	for _, each := range logs {
		assert.Equal(t, len(each.Tails), 0)
		assert.Assert(t, each.hasExpired(0, []string{"t0-0", "t1-0", "t2-0"}, nil))
	}
}

// Superseded records are discarded before any other, and have a limit of their own.
func TestSupersededRecordsAreDiscardedFirst(t *testing.T) {
	log := filledLog(config.SharedPartitionName(0),
		Record{Topic: "t", Sender: "s", Seq: 1, AppendedAt: at(0)},
		Record{Topic: "t", Sender: "s", Seq: 2, AppendedAt: at(20)},
		Record{Topic: "old", Sender: "s", Seq: 3, AppendedAt: at(21), Data: make([]byte, largeMessage)},
		Record{Topic: "t", Sender: "s", Seq: 4, AppendedAt: at(25)},
	)
	log.expire(at(200), tailRetention, dedupWindow)
	total, superseded := log.tailBytes(tailRetention.tailSpan)
	assert.Equal(t, superseded, recordOverheadBytes)
	discardExcess(at(200), logsOf(log), tailRetention.tailSpan, tailLimits{superseded: superseded, total: total})
	assert.Assert(t, !log.hasExpired(0, []string{"t", "old"}, nil))
	discardExcess(at(200), logsOf(log), tailRetention.tailSpan, tailLimits{total: total})
	assert.Assert(t, log.hasExpired(0, []string{"t"}, nil))
	assert.Assert(t, !log.hasExpired(1, []string{"t", "old"}, nil))
	// A topic whose tail is discarded gets one again.
	discardExcess(at(200), logsOf(log), tailRetention.tailSpan, tailLimits{})
	assert.Equal(t, len(log.Tails), 0)
	log.append(Record{Offset: 5, Topic: "t", Sender: "s", Seq: 5, AppendedAt: at(201), PreviousInTopic: 4})
	log.expire(at(300), tailRetention, dedupWindow)
	offsets, expired := readableAfter(log, 4)
	assert.Assert(t, !expired)
	assert.DeepEqual(t, offsets, []uint64{5})
	_, expired = readableAfter(log, 3)
	assert.Assert(t, expired)
}

func TestTailLimitsFollowFromMemory(t *testing.T) {
	const memory = 320 << 20
	assert.Equal(t, tailLimitsOf(memory, 0), tailLimits{superseded: 10 << 20, total: 80 << 20})
	assert.Equal(t, tailLimitsOf(memory, 50<<20), tailLimits{superseded: 10 << 20, total: 30 << 20})
	assert.Equal(t, tailLimitsOf(memory, 90<<20), tailLimits{superseded: 10 << 20, total: 10 << 20})
	assert.Equal(t, tailLimitsOf(0, 0), tailLimitsOf(defaultMemoryBytes, 0))
}

// A store applies the limits whenever it removes old records.
func TestStoreLimitsTails(t *testing.T) {
	cluster := newCluster(t, 1)
	store := cluster.stores["store-0"]
	store.settings.MemoryBytes = 32 << 20
	log := store.replicas[config.SharedPartitionName(0)].log
	for offset := range uint64(200) {
		log.append(Record{
			Offset: offset + 1, Topic: fmt.Sprint("t", offset), Sender: "s", Seq: 1, AppendedAt: cluster.now,
			Data: make([]byte, largeMessage),
		})
	}
	store.applyRetention(cluster.now.Add(2 * time.Minute))
	total, _ := log.tailBytes(tailRetention.tailSpan)
	assert.Assert(t, total > 0 && len(log.Tails) == 200, "%d bytes in %d tails", total, len(log.Tails))
	store.SetMemoryBytes(8 << 20)
	store.applyRetention(cluster.now.Add(3 * time.Minute))
	total, _ = log.tailBytes(tailRetention.tailSpan)
	assert.Assert(t, total > 0 && total <= 2<<20, "%d bytes", total)
}

// A cursor must not be rejected for an older message that its subscription need not receive because large
// messages on other topics have expired.
func TestCursorIsNotRejectedAfterLargeMessagesOnOtherTopics(t *testing.T) {
	const small, large = 100, 300
	cluster := newCluster(t, 1)
	store := cluster.stores["store-0"]
	log := store.replicas[config.SharedPartitionName(0)].log
	for number := range uint64(small + large) {
		record := Record{
			Offset: number + 1, Topic: fmt.Sprint("t", number), Sender: "s", Seq: 1, Data: make([]byte, 230),
			AppendedAt: cluster.now.Add(time.Duration(number) * 10 * time.Millisecond),
		}
		if number >= small {
			record.Data = make([]byte, largeMessage)
		}
		log.append(record)
	}
	store.applyRetention(cluster.now.Add(2 * time.Minute))
	assert.Equal(t, len(log.Records), 0)
	for number := range small {
		assert.Assert(t, !log.hasExpired(0, []string{fmt.Sprint("t", number)}, nil), "topic %d", number)
	}
}
