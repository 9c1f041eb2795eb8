package partition

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

const (
	// subscriptionTimeout is how long a subscription to high watermarks lasts unless it is
	// renewed.
	subscriptionTimeout = 6 * time.Second
	// highWatermarksInterval is the maximum delay between the advance of a high watermark and the
	// message to subscribers, so that one message announces several advances.
	highWatermarksInterval = 400 * time.Millisecond
)

// subscriber is a gateway that subscribes to high watermarks.
type subscriber struct {
	partitions []string
	expiresAt  time.Time
	// sent holds, for each partition, the newest position that the subscriber has.
	sent map[string]sentPosition
}

// sentPosition is the position of a partition that a subscriber has. In a shared partition, epoch
// 0 means that the subscriber reported the offset in KnownOffsets, and that nothing was sent in
// this subscription yet.
type sentPosition struct {
	epoch  uint64
	offset uint64
}

// handleSubscribe starts or renews a gateway's subscription, and sends it the high watermark of
// every partition in the request.
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

// sendHighWatermarks sends a subscriber the high watermarks that have advanced since the last
// message, or those of all its partitions. It removes a subscription that has expired.
func (s *Store) sendHighWatermarks(now time.Time, address string, all bool, effects *statemachine.Effects) {
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
		sent, position := current.sent[name], partition.watermarkPosition()
		if sent == position && !all {
			continue
		}
		watermark := partition.watermarkSince(sent)
		// If no topic changed, only records without data were appended, and there is nothing to
		// fetch.
		nothingNew := config.IsShared(name) && len(watermark.Topics) == 0 && sent.epoch == position.epoch
		if nothingNew && !all {
			continue
		}
		current.sent[name] = position
		message.HighWatermarks = append(message.HighWatermarks, watermark)
	}
	if len(message.HighWatermarks) > 0 {
		s.Counts.HighWatermarksSent++
		effects.Send(address, message)
	}
}

// watermarkPosition returns the position of the high watermark.
func (r *replica) watermarkPosition() sentPosition {
	return sentPosition{epoch: r.placement.Epoch, offset: r.highWatermark}
}

// watermarkSince returns the high watermark; for a shared partition also the newest offset of
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
