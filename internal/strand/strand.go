// One strand's log as a keeper holds it: the records in order, the last offset
// of each topic, and the memory of senders by which a resend is known. All of
// it follows from the records, so that an understudy that has the records has
// the memory too.
package strand

import (
	"hash/fnv"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Spans for which a strand remembers.
const (
	HistoryMargin = 25 * time.Second
	seqMemory     = 60 * time.Second
	senderMemory  = 10 * time.Minute
)

type remembered struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	Digest uint64
	At     time.Time
}

type senderState struct {
	_       struct{} `cbor:",toarray"`
	LastSeq uint64
	At      time.Time
	Recent  map[uint64]remembered
}

type log struct {
	Name      string
	Base      uint64
	BaseEpoch uint64
	Records   []Record
	Topics    map[string]uint64
	Senders   map[string]senderState
}

func newLog(name string) *log {
	return &log{Name: name, Topics: map[string]uint64{}, Senders: map[string]senderState{}}
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
	sender, found := log.Senders[record.Sender]
	if !found {
		sender.Recent = map[uint64]remembered{}
	}
	sender.LastSeq = max(sender.LastSeq, record.Seq)
	sender.At = record.At
	sender.Recent[record.Seq] = remembered{Offset: record.Offset, Digest: Digest(record.Topic, record.Data), At: record.At}
	log.Senders[record.Sender] = sender
}

// shift moves all times of a log that came from another machine's clock, or
// from a disk that was written by an earlier one of this machine.
func (log *log) shift(by time.Duration) {
	for position := range log.Records {
		log.Records[position].At = log.Records[position].At.Add(by)
	}
	for name, sender := range log.Senders {
		sender.At = sender.At.Add(by)
		for seq, memory := range sender.Recent {
			memory.At = memory.At.Add(by)
			sender.Recent[seq] = memory
		}
		log.Senders[name] = sender
	}
}

// refresh makes all of a log that was read from disk as young as now: how long
// this machine was away, and by which settings of its clock the times on its
// disk were written, nobody knows. All is held for longer rather than too short.
func (log *log) refresh(now time.Time) {
	for position := range log.Records {
		log.Records[position].At = now
	}
	for name, sender := range log.Senders {
		sender.At = now
		for seq, memory := range sender.Recent {
			memory.At = now
			sender.Recent[seq] = memory
		}
		log.Senders[name] = sender
	}
}

// trim forgets what is older than the holding time and its margin.
func (log *log) trim(now time.Time, holding time.Duration) {
	limit := now.Add(-holding - HistoryMargin)
	count := sort.Search(len(log.Records), func(position int) bool { return log.Records[position].At.After(limit) })
	if count == 0 {
		return
	}
	last := log.Records[count-1]
	log.Base, log.BaseEpoch = last.Offset, last.Epoch
	log.Records = append([]Record(nil), log.Records[count:]...)
	for topic, offset := range log.Topics {
		if offset <= log.Base {
			delete(log.Topics, topic)
		}
	}
	for name, sender := range log.Senders {
		for seq, memory := range sender.Recent {
			if now.Sub(memory.At) > seqMemory && memory.Offset <= log.Base {
				delete(sender.Recent, seq)
			}
		}
		if len(sender.Recent) == 0 && now.Sub(sender.At) > senderMemory {
			delete(log.Senders, name)
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
