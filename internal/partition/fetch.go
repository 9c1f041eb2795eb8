// Fetching many routed topics at once. A gateway asks one store for all the topics
// that it lacks there; the answer says of every topic whether its place is still
// held, and carries records for as many bytes as the gateway has room for.

package partition

import (
	"slices"

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

func (s *Store) handleFetchTopics(from string, asked FetchTopics, effects *statemachine.Effects) {
	s.Counts.Fetches++
	answer := FetchTopicsResponse{RequestID: asked.RequestID, Topics: make([]TopicRecords, len(asked.Topics))}
	told := map[string]bool{}
	credit := asked.MaxBytes
	for position, each := range asked.Topics {
		name := config.SharedPartition(each.Topic)
		partition, served := s.servingReplica(name)
		if !served {
			continue
		}
		if !told[name] {
			told[name] = true
			answer.Partitions = append(answer.Partitions, PartitionState{
				Partition: name, Epoch: partition.placement.Epoch, Base: partition.log.BaseOffset, HighWatermark: partition.highWatermark,
			})
		}
		answer.Topics[position] = partition.fetchTopic(each, &credit, position == 0)
		s.Counts.FetchRecords += uint64(len(answer.Topics[position].Records))
	}
	effects.Send(from, answer)
}

// servingReplica gives a partition that this store leads and can read for others.
func (s *Store) servingReplica(name string) (*replica, bool) {
	partition, found := s.replicas[name]
	if !found || !s.Ready() || !s.isLeader(partition) || partition.servingEpoch != partition.placement.Epoch {
		return nil, false
	}
	return partition, true
}

// fetchTopic gives a topic's accepted records within a credit of bytes, which it uses
// up. The first record of an answer is given whatever its size.
func (h *replica) fetchTopic(asked TopicCursor, credit *int, first bool) TopicRecords {
	found := TopicRecords{Until: h.highWatermark, Expired: h.log.hasExpired(asked.After, []string{asked.Topic}, nil)}
	if found.Expired {
		return found
	}
	for _, record := range h.log.recordsOf([]string{asked.Topic}, asked.After, h.highWatermark) {
		fits := len(record.Data) <= *credit && len(found.Records) < maxFetchRecords
		switch {
		case found.RemainingBytes == 0 && (fits || first && len(found.Records) == 0):
			*credit -= len(record.Data)
			found.Records = append(found.Records, record)
		case found.RemainingBytes == 0:
			found.Until = record.Offset - 1
			*credit = 0
			fallthrough
		default:
			// Left is above zero from here on, also where a record has no data.
			found.RemainingBytes += max(1, len(record.Data))
		}
	}
	return found
}
