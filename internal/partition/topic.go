package partition

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// Matches tells whether a topic is among the named topics or under one of the prefixes.
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

// HasTopicPrefix tells whether a topic lies under a prefix, which ends at a complete segment
// of the topic's path. The empty prefix matches every topic.
func HasTopicPrefix(topic, prefix string) bool {
	return prefix == "" || topic == prefix || strings.HasPrefix(topic, prefix) && topic[len(prefix)] == '/'
}

// ForTopic is the number of the partition, among a space's, that stores a topic. Placements
// and stored cursors depend on it, so it must never change.
func ForTopic(topic string, partitions int) int {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	// Mixed by the second half of MurmurHash3's finalizer, since the modulus depends on the low
	// bits only.
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return int(mixed % uint64(partitions))
}

// NumberOf is the number at the end of a partition's name, which must have one.
func NumberOf(name string) uint8 {
	_, text, _ := strings.Cut(name, "/")
	number, err := strconv.ParseUint(text, 10, 8)
	if err != nil {
		panic("a partition's name without a number: " + name)
	}
	return uint8(number)
}
