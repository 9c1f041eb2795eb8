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

func (s *Store) onFetch(from string, fetch Fetch, effects *statemachine.Effects) {
	s.Counts.Fetches++
	answer := FetchResponse{Partition: fetch.Partition, Request: fetch.Request}
	partition, served := s.serves(fetch.Partition)
	if !served {
		effects.Send(from, answer)
		return
	}
	answer.Ready = true
	answer.Epoch, answer.Base, answer.Head = partition.place.Epoch, partition.log.Base, partition.accepted
	answer.Until = partition.accepted
	var candidates []Record
	if config.IsShared(fetch.Partition) {
		answer.Gone = partition.log.gone(fetch.After, fetch.Topics, fetch.Prefixes)
	}
	if len(fetch.Prefixes) == 0 && config.IsShared(fetch.Partition) {
		candidates = partition.log.of(fetch.Topics, fetch.After, partition.accepted)
	} else {
		candidates = partition.log.after(fetch.After)
	}
	size := 0
	for _, record := range candidates {
		if record.Offset > partition.accepted {
			break
		}
		if record.Bare || !Matches(record.Topic, fetch.Topics, fetch.Prefixes) || slices.Contains(fetch.Skip, record.Offset) {
			continue
		}
		if len(answer.Records) == fetchLimit || size > fetchBytes {
			answer.Until = record.Offset - 1
			break
		}
		size += len(record.Data)
		answer.Records = append(answer.Records, record)
	}
	s.Counts.FetchRecords += uint64(len(answer.Records))
	effects.Send(from, answer)
}

// onSenderAsk tells where a sender's newest messages are among the partitions that
// this store is first for, so that a sender that moved keeps its order.
func (s *Store) onSenderAsk(now time.Time, from string, ask SenderAsk, effects *statemachine.Effects) {
	answer := SenderResponse{Request: ask.Request, Ready: s.Ready()}
	for _, name := range ask.Partitions {
		partition, found := s.partitions[name]
		if !found || !s.isFirst(partition) || partition.firstSince != partition.place.Epoch {
			answer.Ready = false
			continue
		}
		sender, known := partition.log.Senders[ask.Sender]
		if !known {
			continue
		}
		answer.LastSeq = max(answer.LastSeq, sender.LastSeq)
		for _, memory := range sender.Recent {
			age := now.Sub(memory.At)
			records := partition.log.after(memory.Offset - 1)
			if age > 2*TrailFor || memory.Offset <= partition.log.Base || len(records) == 0 {
				continue
			}
			answer.Recent = append(answer.Recent, Recent{
				Mark: Mark{Partition: NumberIn(name), Offset: memory.Offset, Topic: records[0].Topic}, Seq: memory.Seq, Age: age,
			})
		}
	}
	effects.Send(from, answer)
}

func (s *Store) onFollow(now time.Time, from string, follow Follow, effects *statemachine.Effects) {
	present, found := s.watchers[from]
	if !found {
		present = &headWatcher{}
		s.watchers[from] = present
	}
	present.partitions, present.until = follow.Partitions, now.Add(followFor)
	present.told = map[string]told{}
	for position, name := range follow.Partitions {
		if config.IsShared(name) && position < len(follow.From) {
			present.told[name] = told{offset: follow.From[position]}
		}
	}
	s.tellHeads(now, from, true, effects)
}

// tellHeads tells a watcher what moved since it was told; one that just asked
// is told of every partition.
func (s *Store) tellHeads(now time.Time, address string, every bool, effects *statemachine.Effects) {
	present, found := s.watchers[address]
	if !found || now.After(present.until) || len(present.partitions) == 0 {
		delete(s.watchers, address)
		return
	}
	var heads Heads
	for _, name := range present.partitions {
		partition, held := s.partitions[name]
		if !held || !s.isFirst(partition) || partition.firstSince != partition.place.Epoch {
			continue
		}
		earlier := present.told[name]
		latest := told{epoch: partition.place.Epoch, offset: partition.accepted}
		head := Head{Partition: name, Epoch: latest.epoch, Offset: latest.offset}
		if earlier == latest && !every {
			continue
		}
		if config.IsShared(name) {
			head.From = min(earlier.offset, partition.accepted)
			for topic, offset := range statemachine.Sorted(partition.log.moved(head.From, partition.accepted)) {
				head.Topics = append(head.Topics, TopicHead{Topic: config.TopicHash(topic), Offset: offset})
			}
			if len(head.Topics) == 0 && earlier.epoch == latest.epoch && !every {
				// Passing messages only, of which nothing can be fetched.
				continue
			}
		}
		present.told[name] = latest
		heads.Heads = append(heads.Heads, head)
	}
	if len(heads.Heads) > 0 {
		s.Counts.HeadsOut++
		effects.Send(address, heads)
	}
}

func (s *Store) trim(now time.Time) {
	s.timers.Arm("trim", now.Add(trimEvery))
	for name, partition := range statemachine.Sorted(s.partitions) {
		space, _, _ := strings.Cut(name, "~")
		holding := s.config.Spaces[space].RetentionTime
		if config.IsShared(name) {
			holding = s.sharedHolding(now)
		}
		if statemachine.Mutated("short-history") {
			partition.log.trim(now, -HistoryMargin+time.Second)
			continue
		}
		partition.log.trimTo(now, max(holding, config.DefaultRetentionTime), max(seqMemory, 3*s.settings.Redeliver))
	}
}
