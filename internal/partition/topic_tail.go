package partition

import (
	"time"

	"dahlialock/internal/statemachine"
)

const (
	// MaxOffsetAge is the maximum age of an offset at which a gateway may begin a subscription: the
	// time since it asked the partition's leader for the high watermark.
	MaxOffsetAge = 5 * time.Second
	// maxAcceptLag is the time between the append of a record and the advance of the high watermark
	// to it that a tail span allows for. It covers a change of leader.
	maxAcceptLag = 5 * time.Second
	// minResponseTimeout is the minimum response timeout for which tails are kept.
	minResponseTimeout = time.Second
	// noTail is the tail span with which all records are discarded when they expire.
	noTail time.Duration = 0
)

// tailSpan returns the time that must lie between the appends of two records of a topic so that
// every subscription that lacks the first must receive the second if that was acknowledged. The
// subscription's offset is older than the response to the client by at most MaxOffsetAge and the time
// that the client waits for the response; the first record may have been appended maxAcceptLag before
// that offset was read; and the second was appended within the response timeout after it was first
// sent, since a publisher waits no longer.
func tailSpan(responseTimeout time.Duration) time.Duration {
	if statemachine.Mutated("no-topic-tails") {
		return noTail
	}
	return MaxOffsetAge + maxAcceptLag + 2*responseTimeout
}

// topicTail holds the newest expired records of a topic, which stay readable after the retention.
//
// A subscription must receive the records that were first sent after it was confirmed and that were
// acknowledged to their publisher. A store knows neither: only when a record was appended and accepted.
// A record after a subscription's offset may have been sent before the subscription was confirmed, if
// its publisher or a gateway was slow, and an acknowledgement may never have reached its publisher. Such a
// record must not be a reason to reject the subscription. Expired records are therefore kept as long as
// the memory of the store allows (tailLimits).
type topicTail struct {
	_ struct{} `cbor:",toarray"`
	// Discarded is the topic's newest record that is no longer readable; zero if there is none.
	Discarded expiredTopic
	// Records are the readable expired records of the topic, in order. There is at least one.
	Records []Record
}

// retainInTail adds a record that expires to the tail of its topic.
func (l *log) retainInTail(record Record, span time.Duration) {
	if span == noTail {
		return
	}
	tail, found := l.Tails[record.Topic]
	if !found {
		tail.Discarded = l.discarded(record.Topic)
	}
	tail.Records = append(tail.Records, record)
	if l.Tails == nil {
		// The log was encoded without tails.
		l.Tails = map[string]topicTail{}
	}
	l.Tails[record.Topic] = tail
}

// discarded returns a topic's newest record that is no longer readable; zero if there is none. For
// a topic that was forgotten its offset is the highest that it may be, and its time is zero.
func (l *log) discarded(topic string) expiredTopic {
	if tail, found := l.Tails[topic]; found {
		return tail.Discarded
	}
	if expired, found := l.ExpiredTopics[topic]; found {
		return expired
	}
	return expiredTopic{LastOffset: l.ForgottenOffset}
}

// positionOf returns the position of a record that expires.
func positionOf(record Record) expiredTopic {
	return expiredTopic{LastOffset: record.Offset, AppendedAt: record.AppendedAt}
}
