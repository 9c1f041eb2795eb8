// One partition's log as a store holds it: the records in order, the last offset
// of each topic, and the memory of senders by which a resend is known. All of
// it follows from the records, so that a follower that has the records has
// the memory too. A shared partition holds the topics of all routed spaces: there a
// sender is remembered for each topic, and each topic's last offset outlives its
// records, so that whoever comes back is told whether it lost anything.

package partition

import (
	"maps"
	"slices"
	"time"
)

func (l *log) stillHolds(record Record) bool {
	epoch, found := l.epochAt(record.Offset)
	return !found || epoch == record.Epoch
}

type log struct {
	Name        string                  `cbor:"Name"`
	BaseOffset  uint64                  `cbor:"Base"`
	BaseEpoch   uint64                  `cbor:"BaseEpoch"`
	Records     []Record                `cbor:"Records"`
	LastOffsets map[string]uint64       `cbor:"Topics"`
	Senders     map[string]*senderState `cbor:"Senders"`
	// ExpiredTopics and Forgotten are kept for shared partitions only. Whatever lay at or
	// below Forgotten of a topic that is in neither table is not known.
	ExpiredTopics   map[string]expiredTopic `cbor:"Trimmed"`
	ForgottenOffset uint64                  `cbor:"Forgotten"`
}

func newLog(name string) *log {
	return &log{Name: name, LastOffsets: map[string]uint64{}, Senders: map[string]*senderState{}, ExpiredTopics: map[string]expiredTopic{}}
}

func (l *log) end() (offset, epoch uint64) {
	if len(l.Records) == 0 {
		return l.BaseOffset, l.BaseEpoch
	}
	last := l.Records[len(l.Records)-1]
	return last.Offset, last.Epoch
}

// isAheadOf tells whether a frame of an epoch's first is an old one: within an epoch its
// first's log only grows, and records of the epoch that lie here were in it.
func (l *log) isAheadOf(frame *log, epoch uint64) bool {
	here, newest := l.end()
	there, _ := frame.end()
	return newest == epoch && there < here
}

// epochAt is the epoch of the record at an offset, if it is still held.
func (l *log) epochAt(offset uint64) (uint64, bool) {
	if offset == l.BaseOffset {
		return l.BaseEpoch, true
	}
	if offset < l.BaseOffset || offset > l.BaseOffset+uint64(len(l.Records)) {
		return 0, false
	}
	return l.Records[offset-l.BaseOffset-1].Epoch, true
}

func (l *log) recordsAfter(offset uint64) []Record {
	if offset < l.BaseOffset {
		offset = l.BaseOffset
	}
	if offset >= l.BaseOffset+uint64(len(l.Records)) {
		return nil
	}
	return l.Records[offset-l.BaseOffset:]
}

func (l *log) append(record Record) {
	l.Records = append(l.Records, record)
	l.LastOffsets[record.Topic] = record.Offset
	key := l.senderKey(record.Topic, record.Sender)
	sender, found := l.Senders[key]
	if !found {
		sender = &senderState{}
		l.Senders[key] = sender
	}
	sender.LastSeq = max(sender.LastSeq, record.Seq)
	sender.LastAppendAt = record.AppendedAt
	sender.Window = append(sender.Window, dedupEntry{
		Seq: record.Seq, Offset: record.Offset, Digest: MessageDigest(record.Topic, record.Data), AppendedAt: record.AppendedAt,
	})
}

// clone is a log as it is now, of which nothing changes any more. Records are
// only ever appended or taken away as a whole.
func (l *log) clone() *log {
	taken := *l
	taken.Records = l.Records[:len(l.Records):len(l.Records)]
	taken.LastOffsets, taken.ExpiredTopics = maps.Clone(l.LastOffsets), maps.Clone(l.ExpiredTopics)
	taken.Senders = make(map[string]*senderState, len(l.Senders))
	for key, sender := range l.Senders {
		taken.Senders[key] = &senderState{LastSeq: sender.LastSeq, LastAppendAt: sender.LastAppendAt, Window: slices.Clone(sender.Window)}
	}
	return &taken
}

// mapTimes gives all times of a log anew.
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
	for topic, last := range l.ExpiredTopics {
		last.AppendedAt = change(last.AppendedAt)
		l.ExpiredTopics[topic] = last
	}
}

// shiftTimes moves all times of a log that came from another machine's clock.
func (l *log) shiftTimes(by time.Duration) {
	l.mapTimes(func(at time.Time) time.Time { return at.Add(by) })
}

// resetTimes makes all of a log that was read from disk as young as now: how long
// this machine was away, and by which settings of its clock the times on its
// disk were written, nobody knows. All is held for longer rather than too short.
func (l *log) resetTimes(now time.Time) {
	l.mapTimes(func(time.Time) time.Time { return now })
}
