package partition

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/config"
)

const (
	// dedupWindow is the least time for which a sequence number is recognised as a duplicate.
	dedupWindow = 60 * time.Second
	// senderStateRetention is for how long the last sequence number of a silent sender is known.
	senderStateRetention = 10 * time.Minute
)

// dedupEntry is one appended message of a sender's deduplication window.
type dedupEntry struct {
	_          struct{} `cbor:",toarray"`
	Seq        uint64
	Offset     uint64
	Digest     uint64
	AppendedAt time.Time
}

// senderState is what a log knows of a sender; in a shared partition, of a sender's topic.
type senderState struct {
	_            struct{} `cbor:",toarray"`
	LastSeq      uint64
	LastAppendAt time.Time
	// Window holds the newest appends. Their sequence numbers and offsets rise, since lower
	// sequence numbers are rejected.
	Window []dedupEntry
}

// add enters a record that was appended.
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

// find looks up an appended sequence number.
func (s *senderState) find(seq uint64) (dedupEntry, bool) {
	position, found := slices.BinarySearchFunc(s.Window, seq, func(entry dedupEntry, seq uint64) int {
		return cmp.Compare(entry.Seq, seq)
	})
	if !found {
		return dedupEntry{}, false
	}
	return s.Window[position], true
}

// expire drops the oldest entries that are older than the window and whose records were
// dropped, too.
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

// senderKey is the key of Senders: in a shared partition each of a sender's topics has a
// state of its own.
func (l *log) senderKey(topic, sender string) string {
	if config.IsShared(l.Name) {
		return topic + "\n" + sender
	}
	return sender
}

// sender gives the state of a sender, empty if it is not known.
func (l *log) sender(topic, name string) *senderState {
	if state, known := l.Senders[l.senderKey(topic, name)]; known {
		return state
	}
	return &senderState{}
}

// MessageDigest is a hash of a message's topic and data, which differs between two messages
// under the same sequence number.
func MessageDigest(topic string, data []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write(data)
	return sum.Sum64()
}
