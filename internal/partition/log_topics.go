package partition

import (
	"cmp"
	"slices"
)

// lastOffsetOf is the offset of a topic's newest record, held or not.
func (l *log) lastOffsetOf(topic string) uint64 {
	if offset, found := l.LastOffsets[topic]; found {
		return offset
	}
	return l.ExpiredTopics[topic].LastOffset
}

// hasExpired tells whether a kept record of the asked topics after an offset is no
// longer held.
func (l *log) hasExpired(after uint64, topics, prefixes []string) bool {
	if after >= l.BaseOffset {
		return false
	}
	if len(prefixes) > 0 {
		if after < l.ForgottenOffset {
			return true
		}
		for topic, last := range l.ExpiredTopics {
			if last.LastOffset > after && Matches(topic, topics, prefixes) {
				return true
			}
		}
		return false
	}
	for _, topic := range topics {
		if last, found := l.ExpiredTopics[topic]; found && last.LastOffset > after || !found && after < l.ForgottenOffset {
			return true
		}
	}
	return false
}

// recordsOf gives the kept records of some topics after one offset and up to another,
// by going back from each topic's newest.
func (l *log) recordsOf(topics []string, after, until uint64) []Record {
	after = max(after, l.BaseOffset)
	var found []Record
	for _, topic := range topics {
		for offset := l.LastOffsets[topic]; offset > after; {
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

// changedTopics gives the newest offset of each topic that has a kept record after one
// offset and up to another.
func (l *log) changedTopics(from, until uint64) map[string]uint64 {
	topics := map[string]uint64{}
	if from < l.BaseOffset {
		for topic, last := range l.ExpiredTopics {
			if last.LastOffset > from {
				topics[topic] = last.LastOffset
			}
		}
	}
	for _, record := range l.recordsAfter(from) {
		if record.Offset > until {
			break
		}
		if !record.OffsetOnly {
			topics[record.Topic] = record.Offset
		}
	}
	return topics
}
