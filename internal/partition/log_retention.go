package partition

import (
	"sort"
	"time"

	"dahlialock/internal/config"
)

const (
	// retentionMargin is how much longer than the configured retention a record is kept.
	retentionMargin = 25 * time.Second
	// expiredTopicRetention is how long the last offset of a topic without records is kept.
	// maxExpiredTopics is the number of such topics up to which none is removed.
	expiredTopicRetention = 10 * time.Minute
	maxExpiredTopics      = 4096
)

// expiredTopic is the position of a topic's newest record that was dropped.
type expiredTopic struct {
	_          struct{} `cbor:",toarray"`
	LastOffset uint64
	AppendedAt time.Time
}

// expire moves the records that are older than the retention and its margin to the tails of their
// topics, and removes the senders' sequence numbers that are older than the
// deduplication window.
func (l *log) expire(now time.Time, retention retentionPolicy, window time.Duration) {
	limit := now.Add(-retention.records - retentionMargin)
	count := sort.Search(len(l.Records), func(position int) bool {
		return l.Records[position].AppendedAt.After(limit)
	})
	if count > 0 {
		l.dropOldest(now, count, retention.tailSpan)
	}
	for key, sender := range l.Senders {
		sender.expire(now, window, l.BaseOffset)
		if len(sender.Window) == 0 && now.Sub(sender.LastAppendAt) > senderStateRetention {
			delete(l.Senders, key)
		}
	}
}

// dropOldest drops the given number of oldest records, which stay in Tails unless tailSpan is noTail.
// The log must have at least as many.
func (l *log) dropOldest(now time.Time, count int, tailSpan time.Duration) {
	if config.IsShared(l.Name) {
		for _, record := range l.Records[:count] {
			if !record.OffsetOnly {
				l.retainInTail(record, tailSpan)
				l.ExpiredTopics[record.Topic] = positionOf(record)
			}
		}
		l.pruneExpiredTopics(now)
	}
	last := l.Records[count-1]
	l.BaseOffset, l.BaseEpoch = last.Offset, last.Epoch
	// Copied into a new slice, since clones may still read the old one and its memory is to be
	// freed.
	l.Records = append([]Record(nil), l.Records[count:]...)
	for topic, offset := range l.LastOffsets {
		if offset <= l.BaseOffset {
			delete(l.LastOffsets, topic)
		}
	}
}

// pruneExpiredTopics removes old entries from the table of expired topics if it is too large.
func (l *log) pruneExpiredTopics(now time.Time) {
	if len(l.ExpiredTopics) <= maxExpiredTopics {
		return
	}
	for topic, expired := range l.ExpiredTopics {
		if now.Sub(expired.AppendedAt) > expiredTopicRetention {
			l.ForgottenOffset = max(l.ForgottenOffset, expired.LastOffset)
			delete(l.ExpiredTopics, topic)
			delete(l.Tails, topic)
		}
	}
}
