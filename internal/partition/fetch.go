package partition

import (
	"slices"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

const (
	// maxFetchRecords limits the records in a response to Fetch, and those of one topic in a
	// response to FetchTopics.
	maxFetchRecords = 512
	// maxFetchBytes is the number of data bytes after which a response to Fetch ends. The last
	// record may exceed it.
	maxFetchBytes = 1 << 20
)

// servingReplica returns the replica of a partition that this store leads and whose records may
// be read.
func (s *Store) servingReplica(name string) (*replica, bool) {
	partition, found := s.replicas[name]
	if !found || !s.Ready() || !s.isLeader(partition) || !partition.established() {
		return nil, false
	}
	return partition, true
}

// handleFetch answers a gateway with the accepted records after an offset that match its request.
func (s *Store) handleFetch(from string, request Fetch, effects *statemachine.Effects) {
	s.Counts.Fetches++
	response := FetchResponse{Partition: request.Partition, RequestID: request.RequestID}
	if partition, serving := s.servingReplica(request.Partition); serving {
		partition.fetch(request, &response)
		s.Counts.FetchRecords += uint64(len(response.Records))
	}
	effects.Send(from, response)
}

// fetch fills in a response from the replica's log.
func (r *replica) fetch(request Fetch, response *FetchResponse) {
	response.Ready = true
	response.Epoch = r.placement.Epoch
	response.Base = r.log.BaseOffset
	response.HighWatermark = r.highWatermark
	response.Until = r.highWatermark
	if config.IsShared(request.Partition) {
		response.Expired = r.log.hasExpired(request.After, request.Topics, request.Prefixes)
	}
	bytes := 0
	for _, record := range r.candidates(request) {
		if record.Offset > r.highWatermark {
			return
		}
		if !request.matches(record) {
			continue
		}
		if len(response.Records) == maxFetchRecords || bytes > maxFetchBytes {
			response.Until = record.Offset - 1
			return
		}
		bytes += len(record.Data)
		response.Records = append(response.Records, record)
	}
}

// candidates returns a superset of the records that match a request. A shared partition holds
// many topics, so only the records of the named topics are visited if the request has no
// prefixes.
func (r *replica) candidates(request Fetch) []Record {
	if len(request.Prefixes) == 0 && config.IsShared(request.Partition) {
		return r.log.recordsOf(request.Topics, request.After, r.highWatermark)
	}
	return r.log.recordsAfter(request.After)
}

// matches reports whether a record matches a request.
func (f Fetch) matches(record Record) bool {
	return !record.OffsetOnly &&
		Matches(record.Topic, f.Topics, f.Prefixes) &&
		!slices.Contains(f.SkipOffsets, record.Offset)
}

// handleFetchTopics answers a gateway with the records of many topics, each after a separate
// offset.
func (s *Store) handleFetchTopics(
	now time.Time, from string, request FetchTopics, effects *statemachine.Effects,
) {
	s.Counts.Fetches++
	response := FetchTopicsResponse{
		RequestID: request.RequestID,
		Topics:    make([]TopicRecords, len(request.Topics)),
	}
	described := map[string]bool{}
	remaining := request.MaxBytes
	for position, cursor := range request.Topics {
		name := config.SharedPartition(cursor.Topic)
		partition, serving := s.servingReplica(name)
		if !serving {
			continue
		}
		if !described[name] {
			described[name] = true
			response.Partitions = append(response.Partitions, partition.state())
		}
		response.Topics[position] = partition.fetchTopic(cursor, &remaining, position == 0)
		if response.Topics[position].Expired {
			partition.emitExpired(now, cursor, effects)
		}
		s.Counts.FetchRecords += uint64(len(response.Topics[position].Records))
	}
	effects.Send(from, response)
}

// emitExpired emits a log event about a fetch that was rejected because records have expired. The
// event shows the newest of them.
func (r *replica) emitExpired(now time.Time, cursor TopicCursor, effects *statemachine.Effects) {
	discarded := r.log.discarded(cursor.Topic)
	details := []any{"partition", r.log.Name, "topic", cursor.Topic, "after", cursor.After}
	if discarded.AppendedAt.IsZero() {
		details = append(details, "forgotten", discarded.LastOffset)
	} else {
		details = append(details, "offset", discarded.LastOffset, "age", now.Sub(discarded.AppendedAt).String())
	}
	effects.Emit(logevent.PartitionRecordsExpired, details...)
}

// state returns the state of the partition for a gateway.
func (r *replica) state() PartitionState {
	return PartitionState{
		Partition:     r.log.Name,
		Epoch:         r.placement.Epoch,
		Base:          r.log.BaseOffset,
		HighWatermark: r.highWatermark,
	}
}

// fetchTopic returns the accepted records of a topic that fit into the remaining bytes, and
// reduces remaining by their size. The first record of the request's first topic is returned
// whatever its size.
func (r *replica) fetchTopic(cursor TopicCursor, remaining *int, firstTopic bool) TopicRecords {
	found := TopicRecords{
		Until:   r.highWatermark,
		Expired: r.log.hasExpired(cursor.After, []string{cursor.Topic}, nil),
	}
	if found.Expired {
		return found
	}
	for _, record := range r.log.recordsOf([]string{cursor.Topic}, cursor.After, r.highWatermark) {
		fits := len(record.Data) <= *remaining && len(found.Records) < maxFetchRecords
		guaranteed := firstTopic && len(found.Records) == 0
		if found.RemainingBytes == 0 && (fits || guaranteed) {
			*remaining -= len(record.Data)
			found.Records = append(found.Records, record)
			continue
		}
		if found.RemainingBytes == 0 {
			found.Until = record.Offset - 1
			*remaining = 0
		}
		// At least 1, so that RemainingBytes is above zero from now on even if the record has no
		// data.
		found.RemainingBytes += max(1, len(record.Data))
	}
	return found
}
