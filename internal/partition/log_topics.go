package partition

import (
	"cmp"
	"slices"
)

// lastOffsetOf returns the offset of a topic's newest record, even if that was dropped; 0 if none
// is known.
func (l *log) lastOffsetOf(topic string) uint64 {
	if offset, found := l.LastOffsets[topic]; found {
		return offset
	}
	return l.ExpiredTopics[topic].LastOffset
}

// hasExpired reports whether a record after an offset that matches the topics or prefixes may no
// longer be readable. The result is exact for offsets from ForgottenOffset on; below that it may
// be true although all matching records are readable. With prefixes, records in Tails count as not
// readable.
func (l *log) hasExpired(after uint64, topics, prefixes []string) bool {
	if after >= l.BaseOffset {
		return false
	}
	if len(prefixes) == 0 {
		return slices.ContainsFunc(topics, func(topic string) bool {
			return l.discarded(topic).LastOffset > after
		})
	}
	if after < l.ForgottenOffset {
		return true
	}
	for topic, expired := range l.ExpiredTopics {
		if expired.LastOffset > after && Matches(topic, topics, prefixes) {
			return true
		}
	}
	return false
}

// recordsOf returns the readable records of topics after one offset and up to another, in order.
// It follows PreviousInTopic from each topic's newest record, so its cost depends on the number
// of the topics' records and not on the length of the log.
func (l *log) recordsOf(topics []string, after, until uint64) []Record {
	var found []Record
	for _, topic := range topics {
		for _, record := range l.Tails[topic].Records {
			if record.Offset > after && record.Offset <= until {
				found = append(found, record)
			}
		}
		for offset := l.LastOffsets[topic]; offset > max(after, l.BaseOffset); {
			record := &l.Records[offset-l.BaseOffset-1]
			if offset <= until && !record.OffsetOnly {
				found = append(found, *record)
			}
			offset = record.PreviousInTopic
		}
	}
	slices.SortFunc(found, func(left, right Record) int { return cmp.Compare(left.Offset, right.Offset) })
	return slices.CompactFunc(found, func(left, right Record) bool { return left.Offset == right.Offset })
}

// changedTopics returns the newest offset of each topic that has a durable record after one
// offset and up to another.
func (l *log) changedTopics(after, until uint64) map[string]uint64 {
	topics := map[string]uint64{}
	if after < l.BaseOffset {
		for topic, expired := range l.ExpiredTopics {
			if expired.LastOffset > after {
				topics[topic] = expired.LastOffset
			}
		}
	}
	for _, record := range l.recordsAfter(after) {
		if record.Offset > until {
			break
		}
		if !record.OffsetOnly {
			topics[record.Topic] = record.Offset
		}
	}
	return topics
}
