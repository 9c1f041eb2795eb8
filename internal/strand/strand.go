// One strand's log as a keeper holds it: the records in order, the last offset
// of each topic, and the memory of senders by which a resend is known. All of
// it follows from the records, so that an understudy that has the records has
// the memory too. A shared strand holds the topics of all routed spaces: there a
// sender is remembered for each topic, and each topic's last offset outlives its
// records, so that whoever comes back is told whether it lost anything.
package strand

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"dahlialock/internal/chart"
)

// Spans for which a strand remembers.
const (
	HistoryMargin = 25 * time.Second
	seqMemory     = 60 * time.Second
	senderMemory  = 10 * time.Minute
	topicMemory   = 10 * time.Minute
	topicsMost    = 4096
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
func (sender *senderState) find(seq uint64) (remembered, bool) {
	place, found := slices.BinarySearchFunc(sender.Recent, seq, func(memory remembered, seq uint64) int { return cmp.Compare(memory.Seq, seq) })
	if !found {
		return remembered{}, false
	}
	return sender.Recent[place], true
}

// trimmed is where a topic's newest record lay that is no longer held.
type trimmed struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	At     time.Time
}

type log struct {
	Name      string
	Base      uint64
	BaseEpoch uint64
	Records   []Record
	Topics    map[string]uint64
	Senders   map[string]*senderState
	// Trimmed and Forgotten are kept for shared strands only. Whatever lay at or
	// below Forgotten of a topic that is in neither table is not known.
	Trimmed   map[string]trimmed
	Forgotten uint64
}

func newLog(name string) *log {
	return &log{Name: name, Topics: map[string]uint64{}, Senders: map[string]*senderState{}, Trimmed: map[string]trimmed{}}
}

// memoryKey names whom a log remembers a seq for: in a shared strand each of a
// sender's topics stands for itself.
func (log *log) memoryKey(topic, sender string) string {
	if chart.IsShared(log.Name) {
		return topic + "\n" + sender
	}
	return sender
}

// prior is the offset of a topic's newest record, held or not.
func (log *log) prior(topic string) uint64 {
	if offset, found := log.Topics[topic]; found {
		return offset
	}
	return log.Trimmed[topic].Offset
}

// gone tells whether a kept record of the asked topics after an offset is no
// longer held.
func (log *log) gone(after uint64, topics, prefixes []string) bool {
	if after >= log.Base {
		return false
	}
	if len(prefixes) > 0 {
		if after < log.Forgotten {
			return true
		}
		for topic, last := range log.Trimmed {
			if last.Offset > after && Matches(topic, topics, prefixes) {
				return true
			}
		}
		return false
	}
	for _, topic := range topics {
		if last, found := log.Trimmed[topic]; found && last.Offset > after || !found && after < log.Forgotten {
			return true
		}
	}
	return false
}

// of gives the kept records of some topics after one offset and up to another,
// by going back from each topic's newest.
func (log *log) of(topics []string, after, until uint64) []Record {
	after = max(after, log.Base)
	var found []Record
	for _, topic := range topics {
		for offset := log.Topics[topic]; offset > after; {
			record := &log.Records[offset-log.Base-1]
			if offset <= until && !record.Bare {
				found = append(found, *record)
			}
			offset = record.Prior
		}
	}
	slices.SortFunc(found, func(left, right Record) int { return cmp.Compare(left.Offset, right.Offset) })
	return slices.CompactFunc(found, func(left, right Record) bool { return left.Offset == right.Offset })
}

// moved gives the newest offset of each topic that has a kept record after one
// offset and up to another.
func (log *log) moved(from, until uint64) map[string]uint64 {
	topics := map[string]uint64{}
	if from < log.Base {
		for topic, last := range log.Trimmed {
			if last.Offset > from {
				topics[topic] = last.Offset
			}
		}
	}
	for _, record := range log.after(from) {
		if record.Offset > until {
			break
		}
		if !record.Bare {
			topics[record.Topic] = record.Offset
		}
	}
	return topics
}

func (log *log) head() (offset, epoch uint64) {
	if len(log.Records) == 0 {
		return log.Base, log.BaseEpoch
	}
	last := log.Records[len(log.Records)-1]
	return last.Offset, last.Epoch
}

// epochAt is the epoch of the record at an offset, if it is still held.
func (log *log) epochAt(offset uint64) (uint64, bool) {
	if offset == log.Base {
		return log.BaseEpoch, true
	}
	if offset < log.Base || offset > log.Base+uint64(len(log.Records)) {
		return 0, false
	}
	return log.Records[offset-log.Base-1].Epoch, true
}

func (log *log) after(offset uint64) []Record {
	if offset < log.Base {
		offset = log.Base
	}
	if offset >= log.Base+uint64(len(log.Records)) {
		return nil
	}
	return log.Records[offset-log.Base:]
}

// Digest tells two messages of one seq apart.
func Digest(topic string, data []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write(data)
	return sum.Sum64()
}

func (log *log) add(record Record) {
	log.Records = append(log.Records, record)
	log.Topics[record.Topic] = record.Offset
	key := log.memoryKey(record.Topic, record.Sender)
	sender, found := log.Senders[key]
	if !found {
		sender = &senderState{}
		log.Senders[key] = sender
	}
	sender.LastSeq = max(sender.LastSeq, record.Seq)
	sender.At = record.At
	sender.Recent = append(sender.Recent, remembered{
		Seq: record.Seq, Offset: record.Offset, Digest: Digest(record.Topic, record.Data), At: record.At,
	})
}

// snapshot is a log as it is now, of which nothing changes any more. Records are
// only ever appended or taken away as a whole.
func (log *log) snapshot() *log {
	taken := *log
	taken.Records = log.Records[:len(log.Records):len(log.Records)]
	taken.Topics, taken.Trimmed = maps.Clone(log.Topics), maps.Clone(log.Trimmed)
	taken.Senders = make(map[string]*senderState, len(log.Senders))
	for key, sender := range log.Senders {
		taken.Senders[key] = &senderState{LastSeq: sender.LastSeq, At: sender.At, Recent: slices.Clone(sender.Recent)}
	}
	return &taken
}

// retime gives all times of a log anew.
func (log *log) retime(change func(time.Time) time.Time) {
	for position := range log.Records {
		log.Records[position].At = change(log.Records[position].At)
	}
	for _, sender := range log.Senders {
		sender.At = change(sender.At)
		for position := range sender.Recent {
			sender.Recent[position].At = change(sender.Recent[position].At)
		}
	}
	for topic, last := range log.Trimmed {
		last.At = change(last.At)
		log.Trimmed[topic] = last
	}
}

// shift moves all times of a log that came from another machine's clock.
func (log *log) shift(by time.Duration) {
	log.retime(func(at time.Time) time.Time { return at.Add(by) })
}

// refresh makes all of a log that was read from disk as young as now: how long
// this machine was away, and by which settings of its clock the times on its
// disk were written, nobody knows. All is held for longer rather than too short.
func (log *log) refresh(now time.Time) {
	log.retime(func(time.Time) time.Time { return now })
}

// trim forgets what is older than the holding time and its margin.
func (log *log) trim(now time.Time, holding time.Duration) { log.trimTo(now, holding, seqMemory) }

// trimTo forgets records after the holding time and its margin, and the seqs of
// senders after a memory of their own.
func (log *log) trimTo(now time.Time, holding, memory time.Duration) {
	limit := now.Add(-holding - HistoryMargin)
	count := sort.Search(len(log.Records), func(position int) bool { return log.Records[position].At.After(limit) })
	if count > 0 {
		log.cut(now, count)
	}
	for key, sender := range log.Senders {
		kept := 0
		for kept < len(sender.Recent) && now.Sub(sender.Recent[kept].At) > memory && sender.Recent[kept].Offset <= log.Base {
			kept++
		}
		sender.Recent = slices.Delete(sender.Recent, 0, kept)
		if len(sender.Recent) == 0 && now.Sub(sender.At) > senderMemory {
			delete(log.Senders, key)
		}
	}
}

// cut drops the oldest records.
func (log *log) cut(now time.Time, count int) {
	if chart.IsShared(log.Name) {
		for _, record := range log.Records[:count] {
			if !record.Bare {
				log.Trimmed[record.Topic] = trimmed{Offset: record.Offset, At: record.At}
			}
		}
		log.forgetTopics(now)
	}
	last := log.Records[count-1]
	log.Base, log.BaseEpoch = last.Offset, last.Epoch
	log.Records = append([]Record(nil), log.Records[count:]...)
	for topic, offset := range log.Topics {
		if offset <= log.Base {
			delete(log.Topics, topic)
		}
	}
}

// forgetTopics keeps the table of trimmed topics from growing for ever.
func (log *log) forgetTopics(now time.Time) {
	if len(log.Trimmed) <= topicsMost {
		return
	}
	for topic, last := range log.Trimmed {
		if now.Sub(last.At) > topicMemory {
			log.Forgotten = max(log.Forgotten, last.Offset)
			delete(log.Trimmed, topic)
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
		if Under(topic, prefix) {
			return true
		}
	}
	return false
}

// Under tells whether a topic lies under a prefix, which ends at a whole part
// of the path.
func Under(topic, prefix string) bool {
	return prefix == "" || topic == prefix || strings.HasPrefix(topic, prefix) && topic[len(prefix)] == '/'
}

// Number is the strand of a space in which a topic's messages are kept.
func Number(topic string, strands int) int {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return int(mixed % uint64(strands))
}

// NumberIn is the number at the end of a strand's name.
func NumberIn(name string) uint8 {
	_, text, _ := strings.Cut(name, "/")
	number, fault := strconv.ParseUint(text, 10, 8)
	if fault != nil {
		panic("a strand's name without a number: " + name)
	}
	return uint8(number)
}
