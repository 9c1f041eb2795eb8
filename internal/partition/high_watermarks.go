// Fetching and following: what gateways lack, and how they learn that they lack
// it.

package partition

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

func (s *Store) handleSubscribe(now time.Time, from string, follow SubscribeHighWatermarks, effects *statemachine.Effects) {
	present, found := s.subscribers[from]
	if !found {
		present = &subscriber{}
		s.subscribers[from] = present
	}
	present.partitions, present.expiresAt = follow.Partitions, now.Add(subscriptionTimeout)
	present.reported = map[string]reportedOffset{}
	for position, name := range follow.Partitions {
		if config.IsShared(name) && position < len(follow.KnownOffsets) {
			present.reported[name] = reportedOffset{offset: follow.KnownOffsets[position]}
		}
	}
	s.sendHighWatermarks(now, from, true, effects)
}

// sendHighWatermarks tells a watcher what moved since it was told; one that just asked
// is told of every partition.
func (s *Store) sendHighWatermarks(now time.Time, address string, every bool, effects *statemachine.Effects) {
	present, found := s.subscribers[address]
	if !found || now.After(present.expiresAt) || len(present.partitions) == 0 {
		delete(s.subscribers, address)
		return
	}
	var heads HighWatermarks
	for _, name := range present.partitions {
		partition, held := s.replicas[name]
		if !held || !s.isLeader(partition) || partition.servingEpoch != partition.placement.Epoch {
			continue
		}
		earlier := present.reported[name]
		latest := reportedOffset{epoch: partition.placement.Epoch, offset: partition.highWatermark}
		head := HighWatermark{Partition: name, Epoch: latest.epoch, Offset: latest.offset}
		if earlier == latest && !every {
			continue
		}
		if config.IsShared(name) {
			head.From = min(earlier.offset, partition.highWatermark)
			for topic, offset := range statemachine.Sorted(partition.log.changedTopics(head.From, partition.highWatermark)) {
				head.Topics = append(head.Topics, TopicOffset{TopicNumber: config.TopicNumber(topic), Offset: offset})
			}
			if len(head.Topics) == 0 && earlier.epoch == latest.epoch && !every {
				// Passing messages only, of which nothing can be fetched.
				continue
			}
		}
		present.reported[name] = latest
		heads.HighWatermarks = append(heads.HighWatermarks, head)
	}
	if len(heads.HighWatermarks) > 0 {
		s.Counts.HighWatermarksSent++
		effects.Send(address, heads)
	}
}

type subscriber struct {
	partitions []string
	expiresAt  time.Time
	reported   map[string]reportedOffset
}

// reportedOffset is what a head watcher knows of one partition; From counts for shared partitions,
// where a watcher that was told of an epoch may have missed what lay before.
type reportedOffset struct {
	epoch  uint64
	offset uint64
}
