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
	RetentionMargin = 25 * time.Second
	seqMemory       = 60 * time.Second
	senderMemory    = 10 * time.Minute
	topicMemory     = 10 * time.Minute
	topicsMost      = 4096
)

type remembered struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Offset uint64
	Digest uint64
	At     time.Time
}

type senderState struct {
	_       struct{} `cbor:",toarray"`
	LastSeq uint64
	At      time.Time
	Recent  []remembered
}

// find looks for an accepted seq; they rise, since lower ones are refused.
func (ss *senderState) find(seq uint64) (remembered, bool) {
	place, found := slices.BinarySearchFunc(ss.Recent, seq, func(memory remembered, seq uint64) int { return cmp.Compare(memory.Seq, seq) })
	if !found {
		return remembered{}, false
	}
	return ss.Recent[place], true
}

// trimmed is where a topic's newest record lay that is no longer held.
type trimmed struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	At     time.Time
}

type log struct {
	Name      string                  `cbor:"Name"`
	Base      uint64                  `cbor:"Base"`
	BaseEpoch uint64                  `cbor:"BaseEpoch"`
	Records   []Record                `cbor:"Records"`
	Topics    map[string]uint64       `cbor:"Topics"`
	Senders   map[string]*senderState `cbor:"Senders"`
	// Trimmed and Forgotten are kept for shared partitions only. Whatever lay at or
	// below Forgotten of a topic that is in neither table is not known.
	Trimmed   map[string]trimmed `cbor:"Trimmed"`
	Forgotten uint64             `cbor:"Forgotten"`
}

func newLog(name string) *log {
	return &log{Name: name, Topics: map[string]uint64{}, Senders: map[string]*senderState{}, Trimmed: map[string]trimmed{}}
}

// memoryKey names whom a log remembers a seq for: in a shared partition each of a
// sender's topics stands for itself.
func (l *log) memoryKey(topic, sender string) string {
	if config.IsShared(l.Name) {
		return topic + "\n" + sender
	}
	return sender
}

// prior is the offset of a topic's newest record, held or not.
func (l *log) prior(topic string) uint64 {
	if offset, found := l.Topics[topic]; found {
		return offset
	}
	return l.Trimmed[topic].Offset
}

// gone tells whether a kept record of the asked topics after an offset is no
// longer held.
func (l *log) gone(after uint64, topics, prefixes []string) bool {
	if after >= l.Base {
		return false
	}
	if len(prefixes) > 0 {
		if after < l.Forgotten {
			return true
		}
		for topic, last := range l.Trimmed {
			if last.Offset > after && Matches(topic, topics, prefixes) {
				return true
			}
		}
		return false
	}
	for _, topic := range topics {
		if last, found := l.Trimmed[topic]; found && last.Offset > after || !found && after < l.Forgotten {
			return true
		}
	}
	return false
}

// of gives the kept records of some topics after one offset and up to another,
// by going back from each topic's newest.
func (l *log) of(topics []string, after, until uint64) []Record {
	after = max(after, l.Base)
	var found []Record
	for _, topic := range topics {
		for offset := l.Topics[topic]; offset > after; {
			record := &l.Records[offset-l.Base-1]
			if offset <= until && !record.OffsetOnly {
				found = append(found, *record)
			}
			offset = record.PreviousInTopic
		}
	}
	slices.SortFunc(found, func(left, right Record) int { return cmp.Compare(left.Offset, right.Offset) })
	return slices.CompactFunc(found, func(left, right Record) bool { return left.Offset == right.Offset })
}

// moved gives the newest offset of each topic that has a kept record after one
// offset and up to another.
func (l *log) moved(from, until uint64) map[string]uint64 {
	topics := map[string]uint64{}
	if from < l.Base {
		for topic, last := range l.Trimmed {
			if last.Offset > from {
				topics[topic] = last.Offset
			}
		}
	}
	for _, record := range l.after(from) {
		if record.Offset > until {
			break
		}
		if !record.OffsetOnly {
			topics[record.Topic] = record.Offset
		}
	}
	return topics
}

func (l *log) head() (offset, epoch uint64) {
	if len(l.Records) == 0 {
		return l.Base, l.BaseEpoch
	}
	last := l.Records[len(l.Records)-1]
	return last.Offset, last.Epoch
}

// passed tells whether a frame of an epoch's first is an old one: within an epoch its
// first's log only grows, and records of the epoch that lie here were in it.
func (l *log) passed(frame *log, epoch uint64) bool {
	here, newest := l.head()
	there, _ := frame.head()
	return newest == epoch && there < here
}

// epochAt is the epoch of the record at an offset, if it is still held.
func (l *log) epochAt(offset uint64) (uint64, bool) {
	if offset == l.Base {
		return l.BaseEpoch, true
	}
	if offset < l.Base || offset > l.Base+uint64(len(l.Records)) {
		return 0, false
	}
	return l.Records[offset-l.Base-1].Epoch, true
}

func (l *log) after(offset uint64) []Record {
	if offset < l.Base {
		offset = l.Base
	}
	if offset >= l.Base+uint64(len(l.Records)) {
		return nil
	}
	return l.Records[offset-l.Base:]
}

// MessageDigest tells two messages of one seq apart.
func MessageDigest(topic string, data []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write(data)
	return sum.Sum64()
}

func (l *log) add(record Record) {
	l.Records = append(l.Records, record)
	l.Topics[record.Topic] = record.Offset
	key := l.memoryKey(record.Topic, record.Sender)
	sender, found := l.Senders[key]
	if !found {
		sender = &senderState{}
		l.Senders[key] = sender
	}
	sender.LastSeq = max(sender.LastSeq, record.Seq)
	sender.At = record.AppendedAt
	sender.Recent = append(sender.Recent, remembered{
		Seq: record.Seq, Offset: record.Offset, Digest: MessageDigest(record.Topic, record.Data), At: record.AppendedAt,
	})
}

// snapshot is a log as it is now, of which nothing changes any more. Records are
// only ever appended or taken away as a whole.
func (l *log) snapshot() *log {
	taken := *l
	taken.Records = l.Records[:len(l.Records):len(l.Records)]
	taken.Topics, taken.Trimmed = maps.Clone(l.Topics), maps.Clone(l.Trimmed)
	taken.Senders = make(map[string]*senderState, len(l.Senders))
	for key, sender := range l.Senders {
		taken.Senders[key] = &senderState{LastSeq: sender.LastSeq, At: sender.At, Recent: slices.Clone(sender.Recent)}
	}
	return &taken
}

// retime gives all times of a log anew.
func (l *log) retime(change func(time.Time) time.Time) {
	for position := range l.Records {
		l.Records[position].AppendedAt = change(l.Records[position].AppendedAt)
	}
	for _, sender := range l.Senders {
		sender.At = change(sender.At)
		for position := range sender.Recent {
			sender.Recent[position].At = change(sender.Recent[position].At)
		}
	}
	for topic, last := range l.Trimmed {
		last.At = change(last.At)
		l.Trimmed[topic] = last
	}
}

// shift moves all times of a log that came from another machine's clock.
func (l *log) shift(by time.Duration) {
	l.retime(func(at time.Time) time.Time { return at.Add(by) })
}

// refresh makes all of a log that was read from disk as young as now: how long
// this machine was away, and by which settings of its clock the times on its
// disk were written, nobody knows. All is held for longer rather than too short.
func (l *log) refresh(now time.Time) {
	l.retime(func(time.Time) time.Time { return now })
}

// trim forgets what is older than the holding time and its margin.
func (l *log) trim(now time.Time, holding time.Duration) { l.trimTo(now, holding, seqMemory) }

// trimTo forgets records after the holding time and its margin, and the seqs of
// senders after a memory of their own.
func (l *log) trimTo(now time.Time, holding, memory time.Duration) {
	limit := now.Add(-holding - RetentionMargin)
	count := sort.Search(len(l.Records), func(position int) bool { return l.Records[position].AppendedAt.After(limit) })
	if count > 0 {
		l.cut(now, count)
	}
	for key, sender := range l.Senders {
		kept := 0
		for kept < len(sender.Recent) && now.Sub(sender.Recent[kept].At) > memory && sender.Recent[kept].Offset <= l.Base {
			kept++
		}
		sender.Recent = slices.Delete(sender.Recent, 0, kept)
		if len(sender.Recent) == 0 && now.Sub(sender.At) > senderMemory {
			delete(l.Senders, key)
		}
	}
}

// cut drops the oldest records.
func (l *log) cut(now time.Time, count int) {
	if config.IsShared(l.Name) {
		for _, record := range l.Records[:count] {
			if !record.OffsetOnly {
				l.Trimmed[record.Topic] = trimmed{Offset: record.Offset, At: record.AppendedAt}
			}
		}
		l.forgetTopics(now)
	}
	last := l.Records[count-1]
	l.Base, l.BaseEpoch = last.Offset, last.Epoch
	l.Records = append([]Record(nil), l.Records[count:]...)
	for topic, offset := range l.Topics {
		if offset <= l.Base {
			delete(l.Topics, topic)
		}
	}
}

// forgetTopics keeps the table of trimmed topics from growing for ever.
func (l *log) forgetTopics(now time.Time) {
	if len(l.Trimmed) <= topicsMost {
		return
	}
	for topic, last := range l.Trimmed {
		if now.Sub(last.At) > topicMemory {
			l.Forgotten = max(l.Forgotten, last.Offset)
			delete(l.Trimmed, topic)
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
