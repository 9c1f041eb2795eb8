package partition

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/transport"
)

// tailRetention is the policy of a space with a retention of 35 s and a response timeout of 1.5 s.
var tailRetention = boardRetention()

func boardRetention() retentionPolicy {
	return retentionPolicy{records: 35 * time.Second, tailSpan: tailSpan(1500 * time.Millisecond)}
}

// readableAfter returns the offsets of the topic's records after an offset as a fetch returns them,
// and whether the fetch is rejected because some have expired.
func readableAfter(log *log, after uint64) (offsets []uint64, expired bool) {
	found := fetchTopics(log, 1<<20, TopicCursor{Topic: "t", After: after})[0]
	return offsetsOf(found), found.Expired
}

func logsOf(logs ...*log) []*log { return logs }

// discardSuperseded discards all superseded records of the log and no others.
func discardSuperseded(now time.Time, log *log) {
	total, superseded := log.tailBytes(tailRetention.tailSpan)
	discardExcess(now, logsOf(log), tailRetention.tailSpan, tailLimits{total: total - superseded})
}

// silentTopic returns the log of a topic in which a second message follows the first after 57 s, 5 s
// after the first has left the log.
func silentTopic() *log {
	log := filledLog(config.SharedPartitionName(3),
		Record{Topic: "t", Sender: "s", Seq: 1, AppendedAt: at(0)},
		Record{Topic: "t", Sender: "s", Seq: 2, AppendedAt: at(57)},
		Record{Topic: "other", Sender: "s", Seq: 3, AppendedAt: at(58)},
	)
	log.expire(at(65), boardRetention(), dedupWindow)
	return log
}

// A cursor must not be rejected as expired because of an older message that its subscription need not
// receive: one that was accepted before the subscription, or first sent before its OK and accepted
// after it.
func TestCursorIsNotRejectedForMessageSentBeforeSubscription(t *testing.T) {
	log := silentTopic()
	assert.Equal(t, log.BaseOffset, uint64(1), "the first message has left the log")
	for second := 65; second < 115; second += 5 {
		log.expire(at(second), boardRetention(), dedupWindow)
		offsets, expired := readableAfter(log, 0)
		assert.Assert(t, !expired, "after %d s", second)
		assert.DeepEqual(t, offsets, []uint64{1, 2})
	}
	log.expire(at(120), boardRetention(), dedupWindow)
	assert.Equal(t, log.BaseOffset, uint64(3))
	_, expired := readableAfter(log, 0)
	assert.Assert(t, !expired, "the second message may not be acknowledged")
	discardSuperseded(at(120), log)
	_, expired = readableAfter(log, 0)
	assert.Assert(t, expired)
	offsets, expired := readableAfter(log, 1)
	assert.Assert(t, !expired)
	assert.DeepEqual(t, offsets, []uint64{2})
}

// Messages that follow each other quickly may all have been sent before the subscription. They are not
// superseded by each other.
func TestTailKeepsRecordsWithinSpanOfNewest(t *testing.T) {
	log := filledLog(config.SharedPartitionName(3),
		Record{Topic: "t", Sender: "s", Seq: 1, AppendedAt: at(0)},
		Record{Topic: "t", Sender: "s", Seq: 2, AppendedAt: at(20)},
		Record{Topic: "t", Sender: "s", Seq: 3, AppendedAt: at(25)},
		Record{Topic: "t", Sender: "s", Seq: 4, AppendedAt: at(30), OffsetOnly: true},
		Record{Topic: "t", Sender: "s", Seq: 5, AppendedAt: at(31)},
	)
	log.expire(at(200), tailRetention, dedupWindow)
	assert.Equal(t, len(log.Records), 0)
	discardSuperseded(at(200), log)
	offsets, expired := readableAfter(log, 1)
	assert.Assert(t, !expired)
	assert.DeepEqual(t, offsets, []uint64{2, 3, 5})
	_, expired = readableAfter(log, 0)
	assert.Assert(t, expired)
	// A later record is found by its predecessor, which was dropped.
	previous := log.lastOffsetOf("t")
	log.append(Record{Offset: 6, Topic: "t", Sender: "s", Seq: 6, AppendedAt: at(201), PreviousInTopic: previous})
	assert.Equal(t, log.Records[0].PreviousInTopic, uint64(5))
	offsets, _ = readableAfter(log, 2)
	assert.DeepEqual(t, offsets, []uint64{3, 5, 6})
}

// A log that was written before there were tails rejects what that version had dropped.
func TestTailBeginsInLogOfEarlierVersion(t *testing.T) {
	log := filledLog(config.SharedPartitionName(3),
		Record{Topic: "t", Sender: "s", Seq: 1, AppendedAt: at(0)},
		Record{Topic: "t", Sender: "s", Seq: 2, AppendedAt: at(100)},
	)
	log.dropOldest(at(70), 1, noTail)
	read := newLog("")
	read.Tails = nil
	assert.NilError(t, transport.Unmarshal(transport.MustMarshal(log), read))
	read.expire(at(170), tailRetention, dedupWindow)
	discardSuperseded(at(170), read)
	_, expired := readableAfter(read, 0)
	assert.Assert(t, expired)
	offsets, expired := readableAfter(read, 1)
	assert.Assert(t, !expired)
	assert.DeepEqual(t, offsets, []uint64{2})
}

// A store of an earlier version may be sent a snapshot with tails, or find one on its disk. It ignores
// them.
func TestLogWithTailsIsReadableWithoutThem(t *testing.T) {
	log := silentTopic()
	assert.Equal(t, len(log.Tails), 1)
	var earlier struct {
		BaseOffset    uint64                  `cbor:"Base"`
		Records       []Record                `cbor:"Records"`
		ExpiredTopics map[string]expiredTopic `cbor:"Trimmed"`
	}
	assert.NilError(t, transport.Unmarshal(transport.MustMarshal(log), &earlier))
	assert.Equal(t, earlier.BaseOffset, uint64(1))
	assert.Equal(t, len(earlier.Records), 2)
	assert.Equal(t, earlier.ExpiredTopics["t"].LastOffset, uint64(1))
}

func TestTailIsPartOfSnapshotAndClone(t *testing.T) {
	log := filledLog(config.SharedPartitionName(3),
		Record{Topic: "t", Sender: "s", Seq: 1, AppendedAt: at(0)},
		Record{Topic: "t", Sender: "s", Seq: 2, AppendedAt: at(5)},
		Record{Topic: "t", Sender: "s", Seq: 3, AppendedAt: at(40)},
	)
	log.expire(at(70), tailRetention, dedupWindow)
	clone := log.clone()
	log.expire(at(200), tailRetention, dedupWindow)
	discardSuperseded(at(200), log)
	offsets, expired := readableAfter(clone, 0)
	assert.Assert(t, !expired)
	assert.DeepEqual(t, offsets, []uint64{1, 2, 3})
	_, expired = readableAfter(log, 1)
	assert.Assert(t, expired)
	installed := newLog("")
	assert.NilError(t, transport.Unmarshal(transport.MustMarshal(clone), installed))
	installed.shiftTimes(time.Hour)
	offsets, _ = readableAfter(installed, 0)
	assert.DeepEqual(t, offsets, []uint64{1, 2, 3})
	assert.Assert(t, installed.Tails["t"].Records[1].AppendedAt.Equal(at(3605)))
}

// A topic whose entry is forgotten has no tail either, so tails don't grow without bound.
func TestTailsAreForgottenWithTheirTopics(t *testing.T) {
	log := newLog(config.SharedPartitionName(0))
	for number := range maxExpiredTopics + 2 {
		log.append(Record{
			Offset: uint64(number) + 1, Topic: fmt.Sprint("t", number), Sender: "s", Seq: 1, AppendedAt: at(number / 100),
		})
	}
	log.expire(at(120), tailRetention, dedupWindow)
	assert.Equal(t, len(log.Tails), maxExpiredTopics+2)
	last := uint64(maxExpiredTopics + 3)
	log.append(Record{Offset: last, Topic: "t1", Sender: "s", Seq: 2, AppendedAt: at(120), PreviousInTopic: 2})
	log.expire(at(720), tailRetention, dedupWindow)
	assert.Assert(t, !log.hasExpired(1, []string{"t1"}, nil))
	discardSuperseded(at(720), log)
	assert.Equal(t, len(log.Tails), len(log.ExpiredTopics))
	assert.Assert(t, len(log.Tails) < 10)
	assert.Assert(t, log.hasExpired(1, []string{"t1"}, nil))
	assert.Assert(t, !log.hasExpired(2, []string{"t1"}, nil))
	assert.Equal(t, len(log.recordsOf([]string{"t1"}, 2, last)), 1)
	assert.Equal(t, len(log.recordsOf([]string{"t9"}, 0, last)), 0)
	assert.Assert(t, log.hasExpired(5, []string{"t9"}, nil))
}

// A message must not be a reason to reject a cursor if its acknowledgement may have been lost: then no
// subscription has to receive it. Neither must two such messages in succession.
func TestCursorIsNotRejectedForUnacknowledgedMessages(t *testing.T) {
	log := filledLog(config.SharedPartitionName(3),
		Record{Topic: "t", Sender: "s", Seq: 1, AppendedAt: at(0)},
		Record{Topic: "t", Sender: "s", Seq: 2, AppendedAt: at(17)},
		Record{Topic: "t", Sender: "s", Seq: 3, AppendedAt: at(80)},
	)
	for second := 60; second <= 114; second += 2 {
		log.expire(at(second), tailRetention, dedupWindow)
		offsets, expired := readableAfter(log, 0)
		assert.Assert(t, !expired, "after %d s", second)
		assert.DeepEqual(t, offsets, []uint64{1, 2, 3})
	}
}

// modelMessage is a message as its publisher saw it, and the record that the partition has of it.
type modelMessage struct {
	firstSent  time.Duration
	appendedAt time.Duration
	acceptedAt time.Duration
	offset     uint64
	// unacknowledged is set if the publisher never received the acknowledgement.
	unacknowledged bool
}

// record returns the record of the message that follows those in a log.
func (m modelMessage) record(log *log) Record {
	return Record{
		Offset:          m.offset,
		Topic:           "t",
		Sender:          "s",
		Seq:             m.offset,
		AppendedAt:      testStart.Add(m.appendedAt),
		PreviousInTopic: log.lastOffsetOf("t"),
	}
}

// modelCursor is a cursor of a subscription, and when that was first confirmed.
type modelCursor struct {
	after   uint64
	firstOK time.Duration
}

// modelTopic draws the messages of one topic, silent for long at times, and cursors of subscriptions
// whose offset is as old as a gateway may use it and whose answer is as late as a client waits.
func modelTopic(random *rand.Rand) (messages []modelMessage, cursors []modelCursor) {
	const responseTimeout = 1500 * time.Millisecond
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit) + 1)) }
	pauses := []time.Duration{10 * time.Millisecond, time.Second, 12 * time.Second, 40 * time.Second, 90 * time.Second}
	at, accepted := time.Duration(0), time.Duration(0)
	for number := range 12 {
		at += upTo(pauses[random.IntN(len(pauses))])
		each := modelMessage{appendedAt: at, firstSent: at - upTo(responseTimeout), offset: uint64(number) + 1}
		each.acceptedAt = max(accepted, at+upTo(maxAcceptLag))
		accepted = each.acceptedAt
		messages = append(messages, each)
	}
	for range 20 {
		readAt := upTo(at)
		cursor := modelCursor{firstOK: readAt + upTo(MaxOffsetAge) + upTo(responseTimeout)}
		for _, each := range messages {
			if each.acceptedAt <= readAt {
				cursor.after = each.offset
			}
		}
		cursors = append(cursors, cursor)
	}
	return messages, cursors
}

// requiredOf returns the offsets of the messages that the cursor's subscription must receive, and
// whether one of them is older than the retention.
func (c modelCursor) requiredOf(messages []modelMessage, now time.Duration) (required []uint64, older bool) {
	for _, each := range messages {
		if each.firstSent > c.firstOK && !each.unacknowledged {
			required = append(required, each.offset)
			older = older || now-each.firstSent > tailRetention.records
		}
	}
	return required, older
}

// modelRun checks, against the rule, what a log answers to the cursors of one topic while the messages
// are appended and expire. It counts the cursors that are rejected and served.
type modelRun struct {
	seed     uint64
	messages []modelMessage
	cursors  []modelCursor
	rejected int
	served   int
}

// walk runs until all messages have expired, and calls afterExpiry after each removal of old records.
func (m *modelRun) walk(t *testing.T, afterExpiry func(now time.Time, log *log)) {
	t.Helper()
	log := newLog(config.SharedPartitionName(3))
	end := m.messages[len(m.messages)-1].acceptedAt + 100*time.Second
	appended := 0
	for now := time.Duration(0); now < end; now += retentionInterval {
		for ; appended < len(m.messages) && m.messages[appended].appendedAt <= now; appended++ {
			log.append(m.messages[appended].record(log))
		}
		log.expire(testStart.Add(now), tailRetention, dedupWindow)
		afterExpiry(testStart.Add(now), log)
		for _, cursor := range m.cursors {
			m.checkCursor(t, log, cursor, appended, now)
		}
	}
}

func (m *modelRun) checkCursor(t *testing.T, log *log, cursor modelCursor, appended int, now time.Duration) {
	t.Helper()
	required, older := cursor.requiredOf(m.messages[:appended], now)
	offsets, expired := readableAfter(log, cursor.after)
	if expired {
		m.rejected++
		assert.Assert(t, older, "seed %d: %+v is rejected at %s, messages %+v", m.seed, cursor, now, m.messages)
		return
	}
	m.served++
	for _, offset := range required {
		found := offset <= cursor.after || slices.Contains(offsets, offset)
		assert.Assert(t, found, "seed %d: %+v lacks %d at %s", m.seed, cursor, offset, now)
	}
}

const modelSeeds = 400

// Whatever the messages of a topic and the cursors in it, a cursor that is rejected lacks a message that
// its subscription must receive and that is older than the retention; one that isn't rejected is
// returned all such messages. So it is although superseded records are discarded at once, as long as all
// messages were acknowledged.
func TestCursorIsRejectedOnlyForRequiredMessages(t *testing.T) {
	rejected, served := 0, 0
	for seed := range uint64(modelSeeds) {
		run := &modelRun{seed: seed}
		run.messages, run.cursors = modelTopic(rand.New(rand.NewPCG(seed, 1)))
		run.walk(t, discardSuperseded)
		rejected += run.rejected
		served += run.served
	}
	assert.Assert(t, rejected > 1000 && served > 1000, "%d cursors rejected, %d served", rejected, served)
}

// The same holds if the publishers of some messages never received an acknowledgement, as long as the
// tails are within their limits.
func TestCursorIsRejectedOnlyForAcknowledgedMessages(t *testing.T) {
	served := 0
	for seed := range uint64(modelSeeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		run := &modelRun{seed: seed}
		run.messages, run.cursors = modelTopic(random)
		for number := range run.messages {
			run.messages[number].unacknowledged = random.IntN(3) == 0
		}
		run.walk(t, func(now time.Time, log *log) {
			discardExcess(now, logsOf(log), tailRetention.tailSpan, tailLimitsOf(0, log.retainedBytes()))
		})
		served += run.served
	}
	assert.Assert(t, served > 1000, "%d cursors served", served)
}
