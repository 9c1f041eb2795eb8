package partition

import (
	"maps"
	"slices"
	"time"
)

// log is one replica's log of a partition. All of its tables are derived from the records
// appended and dropped, so a follower that has the same records has the same tables.
//
// Its encoding is stored in snapshots on disk and sent in InstallSnapshot.
type log struct {
	Name string `cbor:"Name"`
	// BaseOffset and BaseEpoch are the offset and epoch of the newest dropped record. Records
	// starts after it.
	BaseOffset uint64 `cbor:"Base"`
	BaseEpoch  uint64 `cbor:"BaseEpoch"`
	// Records holds the records after BaseOffset, without gaps. Records are only ever appended,
	// or dropped from the front into a new slice, so clones may share them.
	Records []Record `cbor:"Records"`
	// LastOffsets maps each topic that has a record in Records to the offset of its newest one.
	LastOffsets map[string]uint64 `cbor:"Topics"`
	// Senders holds the deduplication state of each sender, by senderKey.
	Senders map[string]*senderState `cbor:"Senders"`
	// ExpiredTopics holds the newest dropped record of each topic. ForgottenOffset is the highest
	// offset that was removed from this table: whether a topic without an entry had records up to
	// that offset is unknown. Both are maintained for shared partitions only.
	ExpiredTopics   map[string]expiredTopic `cbor:"Trimmed"`
	ForgottenOffset uint64                  `cbor:"Forgotten"`
	// Tails holds the expired records that are still readable, by topic. The last record of a tail
	// is the topic's entry in ExpiredTopics. It is maintained for shared partitions only.
	Tails map[string]topicTail `cbor:"Tails,omitempty"`
}

func newLog(name string) *log {
	return &log{
		Name:          name,
		LastOffsets:   map[string]uint64{},
		Senders:       map[string]*senderState{},
		ExpiredTopics: map[string]expiredTopic{},
		Tails:         map[string]topicTail{},
	}
}

// end returns the offset and epoch of the newest record, or those of the base if there is none.
func (l *log) end() (offset, epoch uint64) {
	if len(l.Records) == 0 {
		return l.BaseOffset, l.BaseEpoch
	}
	last := l.Records[len(l.Records)-1]
	return last.Offset, last.Epoch
}

// epochAt returns the epoch of the record at an offset, if the record is retained or is the base.
func (l *log) epochAt(offset uint64) (uint64, bool) {
	if offset == l.BaseOffset {
		return l.BaseEpoch, true
	}
	if offset < l.BaseOffset || offset > l.BaseOffset+uint64(len(l.Records)) {
		return 0, false
	}
	return l.Records[offset-l.BaseOffset-1].Epoch, true
}

// notReplaced reports whether an appended record was not replaced by a record of another epoch,
// which happens when a snapshot is installed. An offset outside the log counts as not replaced.
func (l *log) notReplaced(record Record) bool {
	epoch, found := l.epochAt(record.Offset)
	return !found || epoch == record.Epoch
}

// isAheadOf reports whether a snapshot sent by the leader of an epoch is outdated. Within an
// epoch the leader's log only grows, and all records of that epoch in this log came from it.
func (l *log) isAheadOf(snapshot *log, epoch uint64) bool {
	ownOffset, ownEpoch := l.end()
	snapshotOffset, _ := snapshot.end()
	return ownEpoch == epoch && snapshotOffset < ownOffset
}

// recordsAfter returns the records after an offset, or all retained records if the offset is
// below the base. The slice shares memory with the log.
func (l *log) recordsAfter(offset uint64) []Record {
	if offset < l.BaseOffset {
		offset = l.BaseOffset
	}
	if offset >= l.BaseOffset+uint64(len(l.Records)) {
		return nil
	}
	return l.Records[offset-l.BaseOffset:]
}

// recordAt returns the record at an offset, if it is retained.
func (l *log) recordAt(offset uint64) (Record, bool) {
	if offset <= l.BaseOffset {
		return Record{}, false
	}
	records := l.recordsAfter(offset - 1)
	if len(records) == 0 {
		return Record{}, false
	}
	return records[0], true
}

// append adds a record, whose offset must be the next one, and updates the tables.
func (l *log) append(record Record) {
	l.Records = append(l.Records, record)
	l.LastOffsets[record.Topic] = record.Offset
	key := l.senderKey(record.Topic, record.Sender)
	sender, found := l.Senders[key]
	if !found {
		sender = &senderState{}
		l.Senders[key] = sender
	}
	sender.add(record)
}

// dataBytes returns the size of the data of all records, the expired ones included.
func (l *log) dataBytes() int {
	total := 0
	for position := range l.Records {
		total += len(l.Records[position].Data)
	}
	for _, tail := range l.Tails {
		for position := range tail.Records {
			total += len(tail.Records[position].Data)
		}
	}
	return total
}

// clone returns a copy of the log that later changes of the original don't affect, nor the
// reverse.
func (l *log) clone() *log {
	cloned := *l
	cloned.Records = l.Records[:len(l.Records):len(l.Records)]
	cloned.LastOffsets = maps.Clone(l.LastOffsets)
	cloned.ExpiredTopics = maps.Clone(l.ExpiredTopics)
	cloned.Tails = maps.Clone(l.Tails)
	cloned.Senders = make(map[string]*senderState, len(l.Senders))
	for key, sender := range l.Senders {
		cloned.Senders[key] = &senderState{
			LastSeq:      sender.LastSeq,
			LastAppendAt: sender.LastAppendAt,
			Window:       slices.Clone(sender.Window),
		}
	}
	return &cloned
}

// mapTimes replaces every time in the log with the result of a function.
func (l *log) mapTimes(change func(time.Time) time.Time) {
	for position := range l.Records {
		l.Records[position].AppendedAt = change(l.Records[position].AppendedAt)
	}
	for _, sender := range l.Senders {
		sender.LastAppendAt = change(sender.LastAppendAt)
		for position := range sender.Window {
			sender.Window[position].AppendedAt = change(sender.Window[position].AppendedAt)
		}
	}
	for topic, expired := range l.ExpiredTopics {
		expired.AppendedAt = change(expired.AppendedAt)
		l.ExpiredTopics[topic] = expired
	}
	for topic, tail := range l.Tails {
		tail.Discarded.AppendedAt = change(tail.Discarded.AppendedAt)
		l.Tails[topic] = tail
		for position := range tail.Records {
			tail.Records[position].AppendedAt = change(tail.Records[position].AppendedAt)
		}
	}
}

// shiftTimes shifts all times of a log that were set by another machine's clock.
func (l *log) shiftTimes(by time.Duration) {
	l.mapTimes(func(at time.Time) time.Time { return at.Add(by) })
}

// resetTimes sets all times of a log that was read from disk to now. It is unknown how long the
// process was down and whether the clock was correct when the times were written, so records are
// retained for too long rather than for too short a time.
func (l *log) resetTimes(now time.Time) {
	l.mapTimes(func(time.Time) time.Time { return now })
}
