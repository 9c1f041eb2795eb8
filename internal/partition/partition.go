// One partition's log as a store holds it: the records in order, the last offset
// of each topic, and the memory of senders by which a resend is known. All of
// it follows from the records, so that a follower that has the records has
// the memory too. A shared partition holds the topics of all routed spaces: there a
// sender is remembered for each topic, and each topic's last offset outlives its
// records, so that whoever comes back is told whether it lost anything.

package partition

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
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

type dedupEntry struct {
	_          struct{} `cbor:",toarray"`
	Seq        uint64
	Offset     uint64
	Digest     uint64
	AppendedAt time.Time
}

type senderState struct {
	_            struct{} `cbor:",toarray"`
	LastSeq      uint64
	LastAppendAt time.Time
	Window       []dedupEntry
}

// find looks for an accepted seq; they rise, since lower ones are refused.
func (ss *senderState) find(seq uint64) (dedupEntry, bool) {
	place, found := slices.BinarySearchFunc(ss.Window, seq, func(memory dedupEntry, seq uint64) int { return cmp.Compare(memory.Seq, seq) })
	if !found {
		return dedupEntry{}, false
	}
	return ss.Window[place], true
}

// expiredTopic is where a topic's newest record lay that is no longer held.
type expiredTopic struct {
	_          struct{} `cbor:",toarray"`
	LastOffset uint64
	AppendedAt time.Time
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

// senderKey names whom a log remembers a seq for: in a shared partition each of a
// sender's topics stands for itself.
func (l *log) senderKey(topic, sender string) string {
	if config.IsShared(l.Name) {
		return topic + "\n" + sender
	}
	return sender
}

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

// MessageDigest tells two messages of one seq apart.
func MessageDigest(topic string, data []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write(data)
	return sum.Sum64()
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

// Matches tells whether a topic is among the named topics or under a prefix.
func Matches(topic string, topics, prefixes []string) bool {
	for _, wanted := range topics {
		if wanted == topic {
			return true
		}
	}
	for _, prefix := range prefixes {
		if HasTopicPrefix(topic, prefix) {
			return true
		}
	}
	return false
}

// HasTopicPrefix tells whether a topic lies under a prefix, which ends at a whole part
// of the path.
func HasTopicPrefix(topic, prefix string) bool {
	return prefix == "" || topic == prefix || strings.HasPrefix(topic, prefix) && topic[len(prefix)] == '/'
}

// ForTopic is the partition of a space in which a topic's messages are kept.
func ForTopic(topic string, partitions int) int {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return int(mixed % uint64(partitions))
}

// NumberOf is the number at the end of a partition's name.
func NumberOf(name string) uint8 {
	_, text, _ := strings.Cut(name, "/")
	number, err := strconv.ParseUint(text, 10, 8)
	if err != nil {
		panic("a partition's name without a number: " + name)
	}
	return uint8(number)
}
