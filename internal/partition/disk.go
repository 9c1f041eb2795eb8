package partition

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// minCheckpointBytes is how long the log on disk grows at least before a snapshot replaces it.
const minCheckpointBytes = 8 << 20

// diskEntry is one entry of the log on disk: the name of the disk, or a change to one
// partition, which is an appended record, a snapshot in place of its log, or its removal.
type diskEntry struct {
	_         struct{} `cbor:",toarray"`
	Disk      string
	Partition string
	Record    *Record
	Snapshot  []byte
	Drop      bool
}

// diskSnapshot is the complete state of a store. It replaces the entries before it.
type diskSnapshot struct {
	Disk       string          `cbor:"Disk"`
	Partitions map[string]*log `cbor:"Partitions"`
}

// syncCallback is run once the writes before it are synced.
type syncCallback func(now time.Time, effects *statemachine.Effects)

// pendingWrite is a write that isn't synced yet, and what waits for it.
type pendingWrite struct {
	// startedAt counts from the end of a checkpoint before it: see excuseCheckpoint.
	startedAt time.Time
	// checkpoint is set for a snapshot, which is as large as all the store's logs.
	checkpoint bool
	callbacks  []syncCallback
}

// writeQueue is the state of the store's writes to disk.
type writeQueue struct {
	// entries and callbacks are those of the present step; flush empties them.
	entries   [][]byte
	callbacks []syncCallback
	// token is that of the newest write, and pending are the writes that aren't synced, by
	// token. The disk syncs them in order.
	token   uint64
	pending map[uint64]*pendingWrite
	// syncedStartedAt is when the newest synced write was started, or when there was nothing
	// to wait for.
	syncedStartedAt time.Time
	// unavailable is set while the disk takes no writes.
	unavailable bool
	// logBytes is the length of the log since the last checkpoint; the next one follows once
	// it exceeds checkpointBytes.
	logBytes        int
	checkpointBytes int
}

func newWriteQueue() writeQueue {
	return writeQueue{pending: map[uint64]*pendingWrite{}, checkpointBytes: minCheckpointBytes}
}

// restore rebuilds the replicas from the disk's snapshot and the entries after it.
func (s *Store) restore(snapshot []byte, entries [][]byte) error {
	if len(snapshot) > 0 {
		var stored diskSnapshot
		if err := transport.Unmarshal(snapshot, &stored); err != nil {
			return ErrorUnreadable.Wrap(err, "decode the snapshot of the store's disk")
		}
		s.disk = stored.Disk
		for name, log := range stored.Partitions {
			s.replicas[name] = newReplica(log)
		}
	}
	for position, packed := range entries {
		if err := s.replay(packed); err != nil {
			return ErrorUnreadable.Wrap(err, "decode entry %d of the store's disk", position)
		}
	}
	for _, partition := range s.replicas {
		partition.syncedOffset, _ = partition.log.end()
	}
	return nil
}

// replay applies one entry that was read from disk.
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
		partition = s.addReplica(entry.Partition)
	}
	if entry.Snapshot != nil {
		return transport.Unmarshal(entry.Snapshot, partition.resetLog())
	}
	lastOffset, _ := partition.log.end()
	if entry.Record != nil && entry.Record.Offset == lastOffset+1 {
		partition.log.append(*entry.Record)
	}
	return nil
}

// logEntry adds an entry to the write of the present step.
func (s *Store) logEntry(entry diskEntry) {
	packed := transport.MustMarshal(entry)
	s.writes.entries = append(s.writes.entries, packed)
	s.writes.logBytes += len(packed)
}

// afterSync has a callback run once all that was logged so far is synced.
func (s *Store) afterSync(callback syncCallback) {
	s.writes.callbacks = append(s.writes.callbacks, callback)
}

// flush gives whatever the step logged to the disk as one write. Where it logged nothing, its
// callbacks wait for the newest write, or run at once if that is synced.
func (s *Store) flush(now time.Time, effects *statemachine.Effects) {
	entries, callbacks := s.writes.entries, s.writes.callbacks
	s.writes.entries, s.writes.callbacks = nil, nil
	if len(entries) > 0 {
		s.write(now, callbacks, statemachine.Write{Entries: entries}, effects)
		if s.writes.logBytes > s.writes.checkpointBytes {
			s.checkpoint(now, effects)
		}
		return
	}
	if newest, found := s.writes.pending[s.writes.token]; found {
		newest.callbacks = append(newest.callbacks, callbacks...)
		return
	}
	s.writes.syncedStartedAt = now
	for _, callback := range callbacks {
		callback(now, effects)
	}
}

// write starts a write. It is synced once the store is given its token.
func (s *Store) write(
	now time.Time, callbacks []syncCallback, write statemachine.Write, effects *statemachine.Effects,
) {
	s.writes.token++
	s.Counts.Writes++
	s.writes.pending[s.writes.token] = &pendingWrite{
		startedAt:  now,
		checkpoint: write.BuildSnapshot != nil,
		callbacks:  callbacks,
	}
	write.Token = s.writes.token
	effects.Writes = append(effects.Writes, write)
	s.timers.ArmSooner(timerReplicate, now.Add(replicateInterval))
}

// checkpoint starts to write a snapshot of all replicas, which replaces the log on disk. The
// snapshot is encoded outside the store's steps, so it gets clones of the logs.
func (s *Store) checkpoint(now time.Time, effects *statemachine.Effects) {
	s.writes.logBytes = 0
	snapshot := diskSnapshot{Disk: s.disk, Partitions: map[string]*log{}}
	size := 0
	for name, partition := range s.replicas {
		snapshot.Partitions[name] = partition.log.clone()
		for _, record := range partition.log.Records {
			size += len(record.Data)
		}
	}
	// The log may grow as long as the snapshot that would replace it.
	s.writes.checkpointBytes = max(minCheckpointBytes, size)
	build := func() []byte { return transport.MustMarshal(snapshot) }
	s.write(now, nil, statemachine.Write{BuildSnapshot: build}, effects)
}

// handleSynced runs what waited for a write.
func (s *Store) handleSynced(now time.Time, token uint64, effects *statemachine.Effects) {
	written, found := s.writes.pending[token]
	if !found {
		return
	}
	delete(s.writes.pending, token)
	s.writes.unavailable = false
	if written.checkpoint && !statemachine.Mutated("checkpoints-lag") {
		s.excuseCheckpoint(now, written)
	} else {
		s.diskTimes.own = smooth(s.diskTimes.own, now.Sub(written.startedAt))
		s.writes.syncedStartedAt = written.startedAt
	}
	for _, callback := range written.callbacks {
		callback(now, effects)
	}
}

// excuseCheckpoint counts the time of the writes behind a checkpoint from its end on: how long
// it took follows from the size of the logs, and doesn't say that the disk is slow.
func (s *Store) excuseCheckpoint(now time.Time, checkpoint *pendingWrite) {
	if now.Sub(checkpoint.startedAt) > maxCheckpointTime {
		return
	}
	s.writes.syncedStartedAt = now
	for _, waiting := range s.writes.pending {
		waiting.startedAt = now
	}
}

// handleDiskUnavailable is called repeatedly while the disk takes no writes. Nothing on it is
// lost, but this store can accept nothing more.
func (s *Store) handleDiskUnavailable(now time.Time, effects *statemachine.Effects) {
	s.writes.unavailable = true
	for _, partition := range statemachine.Sorted(s.replicas) {
		if s.isLeader(partition) {
			s.failPending(partition, CodeDiskUnavailable, effects)
		}
	}
	s.reportSlowDisks(now, effects)
}

// oldestWriteAge is the age of the oldest write that isn't synced. Of a checkpoint, and of
// the writes behind it, only what exceeds maxCheckpointTime counts.
func (s *Store) oldestWriteAge(now time.Time) time.Duration {
	var oldest time.Duration
	for token, written := range s.writes.pending {
		age := now.Sub(written.startedAt)
		if s.behindCheckpoint(token) && !statemachine.Mutated("checkpoints-lag") {
			age -= maxCheckpointTime
		}
		oldest = max(oldest, age)
	}
	return oldest
}

// behindCheckpoint tells whether a write is a checkpoint or waits for one.
func (s *Store) behindCheckpoint(token uint64) bool {
	for earlier, written := range s.writes.pending {
		if written.checkpoint && earlier <= token {
			return true
		}
	}
	return false
}
