// Fetching many routed topics at once. A gateway asks one store for all the topics
// that it lacks there; the answer says of every topic whether its place is still
// held, and carries records for as many bytes as the gateway has room for.

package partition

import (
	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// FetchTopics asks a store for the records of routed topics, each after an offset.
// Bytes bounds the records of the answer; one record always fits.
type FetchTopics struct {
	_         struct{} `cbor:",toarray"`
	RequestID uint64
	MaxBytes  int
	Topics    []TopicCursor
}

// TopicCursor is a topic and the offset after which its records are wanted.
type TopicCursor struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	After uint64
}

// FetchTopicsResponse answers with one entry for each topic, in the order in which
// they were asked for, and with the state of the partitions that serve here.
type FetchTopicsResponse struct {
	_          struct{} `cbor:",toarray"`
	RequestID  uint64
	Partitions []PartitionState
	Topics     []TopicRecords
}

// PartitionState is what a store tells of a shared partition that it leads.
type PartitionState struct {
	_             struct{} `cbor:",toarray"`
	Partition     string
	Epoch         uint64
	Base          uint64
	HighWatermark uint64
}

// TopicRecords are all records of a topic up to Until. Gone tells that a record
// after the asked offset is no longer held, and Left how many bytes of records there
// are that found no room in the answer.
type TopicRecords struct {
	_              struct{} `cbor:",toarray"`
	Until          uint64
	Expired        bool
	RemainingBytes int
	Records        []Record
}

// State finds the state of a partition in the answer.
func (r FetchTopicsResponse) State(partition string) (PartitionState, bool) {
	for _, state := range r.Partitions {
		if state.Partition == partition {
			return state, true
		}
	}
	return PartitionState{}, false
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
