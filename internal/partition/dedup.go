package partition

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/config"
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

// senderKey names whom a log remembers a seq for: in a shared partition each of a
// sender's topics stands for itself.
func (l *log) senderKey(topic, sender string) string {
	if config.IsShared(l.Name) {
		return topic + "\n" + sender
	}
	return sender
}

// MessageDigest tells two messages of one seq apart.
func MessageDigest(topic string, data []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write(data)
	return sum.Sum64()
}
