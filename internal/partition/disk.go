package partition

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// minCheckpointBytes is the minimum size by which the log on disk grows before a snapshot
// replaces it.
const minCheckpointBytes = 8 << 20

// diskEntry is one entry of the log on disk: the name of the disk, or a change of one partition,
// which is an appended record, a snapshot that replaces its log, or its removal.
type diskEntry struct {
	_         struct{} `cbor:",toarray"`
	Disk      string
	Partition string
	Record    *Record
	Snapshot  []byte
	Drop      bool
}

// diskSnapshot is the complete state of a store. It replaces all earlier entries.
type diskSnapshot struct {
	Disk       string          `cbor:"Disk"`
	Partitions map[string]*log `cbor:"Partitions"`
}

// syncCallback is called once all preceding writes are synced.
type syncCallback func(now time.Time, effects *statemachine.Effects)

// pendingWrite is a write that isn't synced yet, with the callbacks that wait for it.
type pendingWrite struct {
	// startedAt is when the write was started; for a write behind a checkpoint, when the
	// checkpoint was synced (see excludeCheckpointTime).
	startedAt time.Time
	// checkpoint is set for the write of a snapshot, which is as large as all logs of the store.
	checkpoint bool
	callbacks  []syncCallback
}

// writeQueue is the state of the store's writes to disk.
type writeQueue struct {
	// entries and callbacks are those of the current step; flush clears them.
	entries   [][]byte
	callbacks []syncCallback
	// token is the token of the newest write. pending holds the writes that aren't synced, by
	// token. The disk syncs them in order.
	token   uint64
	pending map[uint64]*pendingWrite
	// syncedStartedAt is when the newest synced write was started, or the time of a later flush
	// that had no write to wait for.
	syncedStartedAt time.Time
	// unavailable is set while the disk rejects writes.
	unavailable bool
	// logBytes is the size of the entries logged since the last checkpoint. The next checkpoint
	// starts once it exceeds checkpointBytes.
	logBytes        int
	checkpointBytes int
}

func newWriteQueue() writeQueue {
	return writeQueue{pending: map[uint64]*pendingWrite{}, checkpointBytes: minCheckpointBytes}
}

// restore rebuilds the replicas from the snapshot on disk and the entries after it.
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

// logEntry adds an entry to the write of the current step.
func (s *Store) logEntry(entry diskEntry) {
	packed := transport.MustMarshal(entry)
	s.writes.entries = append(s.writes.entries, packed)
	s.writes.logBytes += len(packed)
}

// afterSync registers a callback to be called once all entries logged so far are synced.
func (s *Store) afterSync(callback syncCallback) {
	s.writes.callbacks = append(s.writes.callbacks, callback)
}

// flush passes the entries logged in the current step to the disk as one write. If there are
// none, the callbacks of the step wait for the newest write, or run at once if that is synced.
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

// write starts a write. The store receives a Synced command with the write's token once it is
// synced.
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
// snapshot is encoded outside the store's steps, so it refers to clones of the logs.
func (s *Store) checkpoint(now time.Time, effects *statemachine.Effects) {
	s.writes.logBytes = 0
	snapshot := diskSnapshot{Disk: s.disk, Partitions: map[string]*log{}}
	size := 0
	for name, partition := range s.replicas {
		snapshot.Partitions[name] = partition.log.clone()
		size += partition.log.dataBytes()
	}
	// The next checkpoint starts once the log is as large as the snapshot that would replace it.
	s.writes.checkpointBytes = max(minCheckpointBytes, size)
	build := func() []byte { return transport.MustMarshal(snapshot) }
	s.write(now, nil, statemachine.Write{BuildSnapshot: build}, effects)
}

// handleSynced updates the disk's delay after a write was synced, and runs the callbacks that
// waited for it.
func (s *Store) handleSynced(now time.Time, token uint64, effects *statemachine.Effects) {
	written, found := s.writes.pending[token]
	if !found {
		return
	}
	delete(s.writes.pending, token)
	s.writes.unavailable = false
	if written.checkpoint && !statemachine.Mutated("checkpoints-lag") {
		s.excludeCheckpointTime(now, written)
	} else {
		s.diskTimes.own = smooth(s.diskTimes.own, now.Sub(written.startedAt))
		s.writes.syncedStartedAt = written.startedAt
	}
	for _, callback := range written.callbacks {
		callback(now, effects)
	}
}

// excludeCheckpointTime measures the time of the writes behind a checkpoint from the end of the
// checkpoint. How long a checkpoint takes depends on the size of the logs and doesn't indicate a
// slow disk, unless it takes longer than maxCheckpointTime.
func (s *Store) excludeCheckpointTime(now time.Time, checkpoint *pendingWrite) {
	if now.Sub(checkpoint.startedAt) > maxCheckpointTime {
		return
	}
	s.writes.syncedStartedAt = now
	for _, waiting := range s.writes.pending {
		waiting.startedAt = now
	}
}

// handleDiskUnavailable is called repeatedly while the disk rejects writes. Nothing on the disk
// is lost, but this store can't accept any records.
func (s *Store) handleDiskUnavailable(now time.Time, effects *statemachine.Effects) {
	s.writes.unavailable = true
	for _, partition := range statemachine.Sorted(s.replicas) {
		if s.isLeader(partition) {
			s.failPending(partition, CodeDiskUnavailable, effects)
		}
	}
	s.reportSlowDisks(now, effects)
}

// oldestWriteAge returns the age of the oldest write that isn't synced. For a checkpoint and the
// writes behind it, only the time beyond maxCheckpointTime counts.
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

// behindCheckpoint reports whether a write is a checkpoint or is queued behind one.
func (s *Store) behindCheckpoint(token uint64) bool {
	for earlier, written := range s.writes.pending {
		if written.checkpoint && earlier <= token {
			return true
		}
	}
	return false
}
