// Fetching and following: what gateways lack, and how they learn that they lack
// it.

package partition

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

func (s *Store) handleFetch(from string, fetch Fetch, effects *statemachine.Effects) {
	s.Counts.Fetches++
	answer := FetchResponse{Partition: fetch.Partition, RequestID: fetch.RequestID}
	partition, served := s.servingReplica(fetch.Partition)
	if !served {
		effects.Send(from, answer)
		return
	}
	answer.Ready = true
	answer.Epoch, answer.Base, answer.HighWatermark = partition.placement.Epoch, partition.log.BaseOffset, partition.highWatermark
	answer.Until = partition.highWatermark
	var candidates []Record
	if config.IsShared(fetch.Partition) {
		answer.Expired = partition.log.hasExpired(fetch.After, fetch.Topics, fetch.Prefixes)
	}
	if len(fetch.Prefixes) == 0 && config.IsShared(fetch.Partition) {
		candidates = partition.log.recordsOf(fetch.Topics, fetch.After, partition.highWatermark)
	} else {
		candidates = partition.log.recordsAfter(fetch.After)
	}
	size := 0
	for _, record := range candidates {
		if record.Offset > partition.highWatermark {
			break
		}
		if record.OffsetOnly || !Matches(record.Topic, fetch.Topics, fetch.Prefixes) || slices.Contains(fetch.SkipOffsets, record.Offset) {
			continue
		}
		if len(answer.Records) == maxFetchRecords || size > maxFetchBytes {
			answer.Until = record.Offset - 1
			break
		}
		size += len(record.Data)
		answer.Records = append(answer.Records, record)
	}
	s.Counts.FetchRecords += uint64(len(answer.Records))
	effects.Send(from, answer)
}

// handleSenderStateRequest tells where a sender's newest messages are among the partitions that
// this store is first for, so that a sender that moved keeps its order.
func (s *Store) handleSenderStateRequest(now time.Time, from string, ask SenderStateRequest, effects *statemachine.Effects) {
	answer := SenderStateResponse{RequestID: ask.RequestID, Ready: s.Ready()}
	for _, name := range ask.Partitions {
		partition, found := s.replicas[name]
		if !found || !s.isLeader(partition) || partition.servingEpoch != partition.placement.Epoch {
			answer.Ready = false
			continue
		}
		sender, known := partition.log.Senders[ask.Sender]
		if !known {
			continue
		}
		answer.LastSeq = max(answer.LastSeq, sender.LastSeq)
		for _, memory := range sender.Window {
			age := now.Sub(memory.AppendedAt)
			records := partition.log.recordsAfter(memory.Offset - 1)
			if age > 2*DependencyWindow || memory.Offset <= partition.log.BaseOffset || len(records) == 0 {
				continue
			}
			answer.RecentMessages = append(answer.RecentMessages, RecentMessage{
				Position: MessagePosition{Partition: NumberOf(name), Offset: memory.Offset, Topic: records[0].Topic}, Seq: memory.Seq, Age: age,
			})
		}
	}
	effects.Send(from, answer)
}

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

func (s *Store) applyRetention(now time.Time) {
	s.timers.Arm("trim", now.Add(retentionInterval))
	for name, partition := range statemachine.Sorted(s.replicas) {
		space, _, _ := strings.Cut(name, "~")
		holding := s.configuration.Spaces[space].Holding
		if config.IsShared(name) {
			holding = s.sharedRetention(now)
		}
		if statemachine.Mutated("short-history") {
			partition.log.expireDefault(now, -RetentionMargin+time.Second)
			continue
		}
		partition.log.expire(now, max(holding, config.DefaultHolding), max(dedupWindow, 3*s.settings.RedeliveryWindow))
	}
}
