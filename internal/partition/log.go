package partition

import (
	"maps"
	"slices"
	"time"
)

// log is one replica's log of a partition. All of its tables follow from the
// records appended and dropped, so a follower that has the same records has the same tables.
//
// Its encoding is stored in snapshots on disk and sent in InstallSnapshot.
type log struct {
	Name string `cbor:"Name"`
	// BaseOffset and BaseEpoch are of the newest record that was dropped; Records begins after it.
	BaseOffset uint64 `cbor:"Base"`
	BaseEpoch  uint64 `cbor:"BaseEpoch"`
	// Records are those of the offsets after BaseOffset, without gaps. They are only ever
	// appended, or dropped from the front into a new slice, so clones may share them.
	Records []Record `cbor:"Records"`
	// LastOffsets holds, for each topic with a record in Records, the offset of its newest.
	LastOffsets map[string]uint64 `cbor:"Topics"`
	// Senders is the deduplication window, by senderKey.
	Senders map[string]*senderState `cbor:"Senders"`
	// ExpiredTopics holds the newest dropped record of each topic, and ForgottenOffset the
	// highest offset that was taken out of that table: of a topic in neither table, nothing
	// is known at or below it. Both are kept for shared partitions only.
	ExpiredTopics   map[string]expiredTopic `cbor:"Trimmed"`
	ForgottenOffset uint64                  `cbor:"Forgotten"`
}

func newLog(name string) *log {
	return &log{
		Name:          name,
		LastOffsets:   map[string]uint64{},
		Senders:       map[string]*senderState{},
		ExpiredTopics: map[string]expiredTopic{},
	}
}

// end is the offset and epoch of the newest record; those of the base if there is none.
func (l *log) end() (offset, epoch uint64) {
	if len(l.Records) == 0 {
		return l.BaseOffset, l.BaseEpoch
	}
	last := l.Records[len(l.Records)-1]
	return last.Offset, last.Epoch
}

// epochAt is the epoch of the record at an offset, if the log still knows it.
func (l *log) epochAt(offset uint64) (uint64, bool) {
	if offset == l.BaseOffset {
		return l.BaseEpoch, true
	}
	if offset < l.BaseOffset || offset > l.BaseOffset+uint64(len(l.Records)) {
		return 0, false
	}
	return l.Records[offset-l.BaseOffset-1].Epoch, true
}

// stillHolds tells whether no record of another epoch has taken a record's offset, in a
// snapshot, since it was appended. An offset outside the log counts as held.
func (l *log) stillHolds(record Record) bool {
	epoch, found := l.epochAt(record.Offset)
	return !found || epoch == record.Epoch
}

// isAheadOf tells whether a snapshot by the leader of an epoch is outdated: within an epoch
// the leader's log only grows, and records of that epoch that lie here were in it.
func (l *log) isAheadOf(snapshot *log, epoch uint64) bool {
	ownOffset, ownEpoch := l.end()
	snapshotOffset, _ := snapshot.end()
	return ownEpoch == epoch && snapshotOffset < ownOffset
}

// recordsAfter gives the records after an offset, or from the oldest on if that was dropped.
// The slice is the log's own.
func (l *log) recordsAfter(offset uint64) []Record {
	if offset < l.BaseOffset {
		offset = l.BaseOffset
	}
	if offset >= l.BaseOffset+uint64(len(l.Records)) {
		return nil
	}
	return l.Records[offset-l.BaseOffset:]
}

// recordAt gives the record at an offset, if it was not dropped.
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

// clone is the log as it is now; later changes of either don't reach the other.
func (l *log) clone() *log {
	cloned := *l
	cloned.Records = l.Records[:len(l.Records):len(l.Records)]
	cloned.LastOffsets = maps.Clone(l.LastOffsets)
	cloned.ExpiredTopics = maps.Clone(l.ExpiredTopics)
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

// mapTimes replaces every time in the log.
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
}

// shiftTimes moves all times of a log that came from another machine's clock.
func (l *log) shiftTimes(by time.Duration) {
	l.mapTimes(func(at time.Time) time.Time { return at.Add(by) })
}

// resetTimes sets all times of a log that was read from disk to now. Nobody knows for how
// long the process was down, nor how its clock was set when the times were written, so
// everything is retained for too long rather than for too short a time.
func (l *log) resetTimes(now time.Time) {
	l.mapTimes(func(time.Time) time.Time { return now })
}
