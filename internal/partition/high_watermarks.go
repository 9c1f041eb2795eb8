package partition

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

const (
	// subscriptionTimeout is when a subscription to high watermarks ends unless it is renewed.
	subscriptionTimeout = 6 * time.Second
	// highWatermarksInterval is the longest time from a high watermark's advance until it is sent
	// to subscribers, so that one message announces several advances.
	highWatermarksInterval = 400 * time.Millisecond
)

// subscriber is a gateway that is sent high watermarks.
type subscriber struct {
	partitions []string
	expiresAt  time.Time
	// sent is what the subscriber knows of each partition.
	sent map[string]sentPosition
}

// sentPosition is what a subscriber knows of a partition. In a shared partition an epoch of 0
// says that the offset is the subscriber's own word, in KnownOffsets, and that it was not yet
// sent anything in this subscription.
type sentPosition struct {
	epoch  uint64
	offset uint64
}

// handleSubscribe renews a gateway's subscription, and sends it the high watermark of every
// partition that it names.
func (s *Store) handleSubscribe(
	now time.Time, from string, request SubscribeHighWatermarks, effects *statemachine.Effects,
) {
	current, found := s.subscribers[from]
	if !found {
		current = &subscriber{}
		s.subscribers[from] = current
	}
	current.partitions = request.Partitions
	current.expiresAt = now.Add(subscriptionTimeout)
	current.sent = map[string]sentPosition{}
	for position, name := range request.Partitions {
		if config.IsShared(name) && position < len(request.KnownOffsets) {
			current.sent[name] = sentPosition{offset: request.KnownOffsets[position]}
		}
	}
	s.sendHighWatermarks(now, from, true, effects)
}

// sendHighWatermarks sends a subscriber the high watermarks that advanced since it was last
// sent them, or those of every partition.
func (s *Store) sendHighWatermarks(now time.Time, address string, every bool, effects *statemachine.Effects) {
	current, found := s.subscribers[address]
	if !found || now.After(current.expiresAt) || len(current.partitions) == 0 {
		delete(s.subscribers, address)
		return
	}
	var message HighWatermarks
	for _, name := range current.partitions {
		partition, found := s.replicas[name]
		if !found || !s.isLeader(partition) || !partition.established() {
			continue
		}
		sent, reached := current.sent[name], partition.reached()
		if sent == reached && !every {
			continue
		}
		watermark := partition.watermarkSince(sent)
		// Where no topic changed, only records without data were appended, and there is nothing
		// to fetch.
		nothingNew := config.IsShared(name) && len(watermark.Topics) == 0 && sent.epoch == reached.epoch
		if nothingNew && !every {
			continue
		}
		current.sent[name] = reached
		message.HighWatermarks = append(message.HighWatermarks, watermark)
	}
	if len(message.HighWatermarks) > 0 {
		s.Counts.HighWatermarksSent++
		effects.Send(address, message)
	}
}

// reached is the position of the high watermark.
func (r *replica) reached() sentPosition {
	return sentPosition{epoch: r.placement.Epoch, offset: r.highWatermark}
}

// watermarkSince gives the high watermark; for a shared partition also the newest offset of
// each topic that has a record after the position that was sent.
func (r *replica) watermarkSince(sent sentPosition) HighWatermark {
	watermark := HighWatermark{
		Partition: r.log.Name,
		Epoch:     r.placement.Epoch,
		Offset:    r.highWatermark,
	}
	if !config.IsShared(r.log.Name) {
		return watermark
	}
	watermark.From = min(sent.offset, r.highWatermark)
	for topic, offset := range statemachine.Sorted(r.log.changedTopics(watermark.From, r.highWatermark)) {
		watermark.Topics = append(watermark.Topics, TopicOffset{
			TopicHash: config.TopicHash(topic),
			Offset:    offset,
		})
	}
	return watermark
}
