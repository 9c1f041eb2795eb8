package partition

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/config"
)

const (
	// dedupWindow is the minimum time for which a sequence number is recognised as a duplicate.
	dedupWindow = 60 * time.Second
	// senderStateRetention is how long the last sequence number of an inactive sender is kept.
	senderStateRetention = 10 * time.Minute
)

// dedupEntry is an appended message in the deduplication window of its sender.
type dedupEntry struct {
	_          struct{} `cbor:",toarray"`
	Seq        uint64
	Offset     uint64
	Digest     uint64
	AppendedAt time.Time
}

// senderState is the deduplication state of a sender; in a shared partition, of one topic of a
// sender.
type senderState struct {
	_            struct{} `cbor:",toarray"`
	LastSeq      uint64
	LastAppendAt time.Time
	// Window holds the newest appends. Their sequence numbers and offsets are in ascending order,
	// since lower sequence numbers are rejected.
	Window []dedupEntry
}

// add adds a record that was appended.
func (s *senderState) add(record Record) {
	s.LastSeq = max(s.LastSeq, record.Seq)
	s.LastAppendAt = record.AppendedAt
	s.Window = append(s.Window, dedupEntry{
		Seq:        record.Seq,
		Offset:     record.Offset,
		Digest:     MessageDigest(record.Topic, record.Data),
		AppendedAt: record.AppendedAt,
	})
}

// find returns the entry of a sequence number, if it is in the window.
func (s *senderState) find(seq uint64) (dedupEntry, bool) {
	position, found := slices.BinarySearchFunc(s.Window, seq, func(entry dedupEntry, seq uint64) int {
		return cmp.Compare(entry.Seq, seq)
	})
	if !found {
		return dedupEntry{}, false
	}
	return s.Window[position], true
}

// expire removes the oldest entries that are older than the window and whose records were dropped
// from the log.
func (s *senderState) expire(now time.Time, window time.Duration, baseOffset uint64) {
	count := 0
	for count < len(s.Window) {
		entry := s.Window[count]
		if now.Sub(entry.AppendedAt) <= window || entry.Offset > baseOffset {
			break
		}
		count++
	}
	s.Window = slices.Delete(s.Window, 0, count)
}

// senderKey returns the key of a sender's state in Senders. In a shared partition, each topic of
// a sender has a separate state.
func (l *log) senderKey(topic, sender string) string {
	if config.IsShared(l.Name) {
		return topic + "\n" + sender
	}
	return sender
}

// sender returns the state of a sender, or an empty state if the sender is unknown.
func (l *log) sender(topic, name string) *senderState {
	if state, known := l.Senders[l.senderKey(topic, name)]; known {
		return state
	}
	return &senderState{}
}

// MessageDigest returns a hash of a message's topic and data. It distinguishes a duplicate from
// another message with the same sequence number.
func MessageDigest(topic string, data []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write(data)
	return sum.Sum64()
}
