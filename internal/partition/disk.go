// The disk of a store: what a step logs goes out as one write, and a frame that
// stands for all of it when the log has grown long.

package partition

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

func (s *Store) replay(packed []byte) error {
	var entry diskEntry
	if err := transport.Unmarshal(packed, &entry); err != nil {
		return err
	}
	if entry.Disk != "" {
		s.disk = entry.Disk
	}
	if entry.Partition == "" {
		return nil
	}
	if entry.Drop {
		delete(s.replicas, entry.Partition)
		return nil
	}
	partition, found := s.replicas[entry.Partition]
	if !found {
		partition = newReplica(newLog(entry.Partition))
		s.replicas[entry.Partition] = partition
	}
	if entry.Snapshot != nil {
		return transport.Unmarshal(entry.Snapshot, partition.resetLog())
	}
	if head, _ := partition.log.end(); entry.Record != nil && entry.Record.Offset == head+1 {
		partition.log.append(*entry.Record)
	}
	return nil
}

func (s *Store) logEntry(entry diskEntry, after syncCallback) {
	packed := transport.MustMarshal(entry)
	s.entries = append(s.entries, packed)
	s.logBytes += len(packed)
	if after != nil {
		s.callbacks = append(s.callbacks, after)
	}
}

// flush ends a step: what was logged goes to the disk as one write, and what
// was appended goes to the followers as one copy a partition.
func (s *Store) flush(now time.Time, effects *statemachine.Effects) {
	for name := range statemachine.Sorted(s.toReplicate) {
		if partition, found := s.replicas[name]; found {
			s.replicate(now, partition, effects)
		}
	}
	clear(s.toReplicate)
	if len(s.entries) == 0 {
		afters := s.callbacks
		s.callbacks = nil
		if writing, found := s.pendingWrites[s.writeToken]; found {
			writing.callbacks = append(writing.callbacks, afters...)
			return
		}
		s.syncedWriteStart = now
		for _, after := range afters {
			after(now, effects)
		}
		return
	}
	s.write(now, s.callbacks, statemachine.Write{Entries: s.entries}, effects)
	s.entries, s.callbacks = nil, nil
	if s.logBytes > s.checkpointBytes {
		s.checkpoint(now, effects)
	}
}

func (s *Store) write(now time.Time, afters []syncCallback, write statemachine.Write, effects *statemachine.Effects) {
	s.writeToken++
	s.Counts.Writes++
	s.pendingWrites[s.writeToken] = &pendingWrite{startedAt: now, checkpoint: write.BuildSnapshot != nil, callbacks: afters}
	write.Token = s.writeToken
	effects.Writes = append(effects.Writes, write)
	s.timers.ArmSooner("copy", now.Add(replicateInterval))
}

func (s *Store) checkpoint(now time.Time, effects *statemachine.Effects) {
	s.logBytes = 0
	frame := diskSnapshot{Disk: s.disk, Partitions: map[string]*log{}}
	size := 0
	for name, partition := range s.replicas {
		frame.Partitions[name] = partition.log.clone()
		for _, record := range partition.log.Records {
			size += len(record.Data)
		}
	}
	// The log may grow as long as the frame that would take its place.
	s.checkpointBytes = max(minCheckpointBytes, size)
	s.write(now, nil, statemachine.Write{BuildSnapshot: func() []byte { return transport.MustMarshal(frame) }}, effects)
}

func (s *Store) handleSynced(now time.Time, token uint64, effects *statemachine.Effects) {
	written, found := s.pendingWrites[token]
	if !found {
		return
	}
	delete(s.pendingWrites, token)
	s.diskUnavailable = false
	if written.checkpoint && !statemachine.Mutated("checkpoints-lag") {
		s.excuseCheckpoint(now, written)
	} else {
		s.diskDelay = smooth(s.diskDelay, now.Sub(written.startedAt))
		s.syncedWriteStart = written.startedAt
	}
	for _, after := range written.callbacks {
		after(now, effects)
	}
}

// excuseCheckpoint begins the time of the writes that waited behind a checkpoint anew: how
// long that took says how much the store holds, and not that its disk is slow.
func (s *Store) excuseCheckpoint(now time.Time, checkpoint *pendingWrite) {
	if now.Sub(checkpoint.startedAt) > maxCheckpointTime {
		return
	}
	s.syncedWriteStart = now
	for _, waited := range s.pendingWrites {
		waited.startedAt = now
	}
}

// handleDiskUnavailable is told again and again while the disk takes no write: nothing
// is lost of what it has, but this store can accept nothing more.
func (s *Store) handleDiskUnavailable(now time.Time, effects *statemachine.Effects) {
	s.diskUnavailable = true
	for _, partition := range statemachine.Sorted(s.replicas) {
		if s.isLeader(partition) {
			s.failPending(partition, "disk-refuses", effects)
		}
	}
	s.reportSlowDisks(now, effects)
}

// oldestPendingWrite is for how long the disk has owed the oldest write. A checkpoint, and what
// waits behind it, may take checkpointMost before that counts.
func (s *Store) oldestPendingWrite(now time.Time) time.Duration {
	var oldest time.Duration
	for token, written := range s.pendingWrites {
		owed := now.Sub(written.startedAt)
		if s.behindCheckpoint(token) && !statemachine.Mutated("checkpoints-lag") {
			owed -= maxCheckpointTime
		}
		oldest = max(oldest, owed)
	}
	return oldest
}

// behindCheckpoint tells whether a write is a checkpoint or waits for one.
func (s *Store) behindCheckpoint(token uint64) bool {
	for earlier, written := range s.pendingWrites {
		if written.checkpoint && earlier <= token {
			return true
		}
	}
	return false
}

type diskEntry struct {
	_         struct{} `cbor:",toarray"`
	Disk      string
	Partition string
	Record    *Record
	Snapshot  []byte
	Drop      bool
}

type diskSnapshot struct {
	Disk       string          `cbor:"Disk"`
	Partitions map[string]*log `cbor:"Partitions"`
}

type syncCallback func(now time.Time, effects *statemachine.Effects)

// pendingWrite is a write that was not said to last yet, and what waits for it. A checkpoint
// is as large as all that the store holds.
type pendingWrite struct {
	startedAt  time.Time
	checkpoint bool
	callbacks  []syncCallback
}
