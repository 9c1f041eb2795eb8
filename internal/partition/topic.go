package partition

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// Matches reports whether a topic is one of the topics or is under one of the prefixes.
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

// HasTopicPrefix reports whether a topic is under a prefix, which must end at a complete segment
// of the topic's path. The empty prefix matches every topic.
func HasTopicPrefix(topic, prefix string) bool {
	return prefix == "" || topic == prefix || strings.HasPrefix(topic, prefix) && topic[len(prefix)] == '/'
}

// ForTopic returns the number of the partition, among those of a space, that stores a topic.
// Placements and stored cursors depend on it, so it must never change.
func ForTopic(topic string, partitions int) int {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	// The second half of MurmurHash3's finalizer mixes the bits, since the modulus depends only
	// on the low ones.
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return int(mixed % uint64(partitions))
}

// NumberOf returns the number at the end of a partition's name. It panics if there is none.
func NumberOf(name string) uint8 {
	_, text, _ := strings.Cut(name, "/")
	number, err := strconv.ParseUint(text, 10, 8)
	if err != nil {
		panic("partition name without a number: " + name)
	}
	return uint8(number)
}
