package partition

import (
	"slices"
	"sort"
	"time"

	"dahlialock/internal/config"
)

// Spans for which a partition remembers.
const (
	RetentionMargin       = 25 * time.Second
	dedupWindow           = 60 * time.Second
	senderStateRetention  = 10 * time.Minute
	expiredTopicRetention = 10 * time.Minute
	maxExpiredTopics      = 4096
)

// expiredTopic is where a topic's newest record lay that is no longer held.
type expiredTopic struct {
	_          struct{} `cbor:",toarray"`
	LastOffset uint64
	AppendedAt time.Time
}

// expireDefault forgets what is older than the holding time and its margin.
func (l *log) expireDefault(now time.Time, holding time.Duration) {
	l.expire(now, holding, dedupWindow)
}

// expire forgets records after the holding time and its margin, and the seqs of
// senders after a memory of their own.
func (l *log) expire(now time.Time, holding, memory time.Duration) {
	limit := now.Add(-holding - RetentionMargin)
	count := sort.Search(len(l.Records), func(position int) bool { return l.Records[position].AppendedAt.After(limit) })
	if count > 0 {
		l.dropOldest(now, count)
	}
	for key, sender := range l.Senders {
		kept := 0
		for kept < len(sender.Window) && now.Sub(sender.Window[kept].AppendedAt) > memory && sender.Window[kept].Offset <= l.BaseOffset {
			kept++
		}
		sender.Window = slices.Delete(sender.Window, 0, kept)
		if len(sender.Window) == 0 && now.Sub(sender.LastAppendAt) > senderStateRetention {
			delete(l.Senders, key)
		}
	}
}

// dropOldest drops the oldest records.
func (l *log) dropOldest(now time.Time, count int) {
	if config.IsShared(l.Name) {
		for _, record := range l.Records[:count] {
			if !record.OffsetOnly {
				l.ExpiredTopics[record.Topic] = expiredTopic{LastOffset: record.Offset, AppendedAt: record.AppendedAt}
			}
		}
		l.forgetExpiredTopics(now)
	}
	last := l.Records[count-1]
	l.BaseOffset, l.BaseEpoch = last.Offset, last.Epoch
	l.Records = append([]Record(nil), l.Records[count:]...)
	for topic, offset := range l.LastOffsets {
		if offset <= l.BaseOffset {
			delete(l.LastOffsets, topic)
		}
	}
}

// forgetExpiredTopics keeps the table of trimmed topics from growing for ever.
func (l *log) forgetExpiredTopics(now time.Time) {
	if len(l.ExpiredTopics) <= maxExpiredTopics {
		return
	}
	for topic, last := range l.ExpiredTopics {
		if now.Sub(last.AppendedAt) > expiredTopicRetention {
			l.ForgottenOffset = max(l.ForgottenOffset, last.LastOffset)
			delete(l.ExpiredTopics, topic)
		}
	}
}
