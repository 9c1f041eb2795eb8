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
		delete(s.partitions, entry.Partition)
		return nil
	}
	partition, found := s.partitions[entry.Partition]
	if !found {
		partition = newHeld(newLog(entry.Partition))
		s.partitions[entry.Partition] = partition
	}
	if entry.Frame != nil {
		return transport.Unmarshal(entry.Frame, partition.reset())
	}
	if head, _ := partition.log.head(); entry.Record != nil && entry.Record.Offset == head+1 {
		partition.log.add(*entry.Record)
	}
	return nil
}

func (h *held) reset() *log {
	h.log = newLog(h.log.Name)
	return h.log
}

func (s *Store) log(entry diskEntry, after afterSync) {
	packed := transport.MustMarshal(entry)
	s.entries = append(s.entries, packed)
	s.logBytes += len(packed)
	if after != nil {
		s.afters = append(s.afters, after)
	}
}

// flush ends a step: what was logged goes to the disk as one write, and what
// was appended goes to the followers as one copy a partition.
func (s *Store) flush(now time.Time, effects *statemachine.Effects) {
	for name := range statemachine.Sorted(s.dirty) {
		if partition, found := s.partitions[name]; found {
			s.copy(now, partition, effects)
		}
	}
	clear(s.dirty)
	if len(s.entries) == 0 {
		afters := s.afters
		s.afters = nil
		if writing, found := s.pending[s.token]; found {
			writing.afters = append(writing.afters, afters...)
			return
		}
		s.since = now
		for _, after := range afters {
			after(now, effects)
		}
		return
	}
	s.write(now, s.afters, statemachine.Write{Entries: s.entries}, effects)
	s.entries, s.afters = nil, nil
	if s.logBytes > s.logLimit {
		s.checkpoint(now, effects)
	}
}

func (s *Store) write(now time.Time, afters []afterSync, write statemachine.Write, effects *statemachine.Effects) {
	s.token++
	s.Counts.Writes++
	s.pending[s.token] = &batch{since: now, checkpoint: write.BuildSnapshot != nil, afters: afters}
	write.Token = s.token
	effects.Writes = append(effects.Writes, write)
	s.timers.ArmSooner("copy", now.Add(copyEvery))
}

func (s *Store) checkpoint(now time.Time, effects *statemachine.Effects) {
	s.logBytes = 0
	frame := diskFrame{Disk: s.disk, Partitions: map[string]*log{}}
	size := 0
	for name, partition := range s.partitions {
		frame.Partitions[name] = partition.log.snapshot()
		for _, record := range partition.log.Records {
			size += len(record.Data)
		}
	}
	// The log may grow as long as the frame that would take its place.
	s.logLimit = max(frameLogLimit, size)
	s.write(now, nil, statemachine.Write{BuildSnapshot: func() []byte { return transport.MustMarshal(frame) }}, effects)
}

func (s *Store) onSynced(now time.Time, token uint64, effects *statemachine.Effects) {
	written, found := s.pending[token]
	if !found {
		return
	}
	delete(s.pending, token)
	s.refused = false
	if written.checkpoint && !statemachine.Mutated("checkpoints-lag") {
		s.checkpointed(now, written)
	} else {
		s.ownDelay = smooth(s.ownDelay, now.Sub(written.since))
		s.since = written.since
	}
	for _, after := range written.afters {
		after(now, effects)
	}
}

// checkpointed begins the time of the writes that waited behind a checkpoint anew: how
// long that took says how much the store holds, and not that its disk is slow.
func (s *Store) checkpointed(now time.Time, checkpoint *batch) {
	if now.Sub(checkpoint.since) > checkpointMost {
		return
	}
	s.since = now
	for _, waited := range s.pending {
		waited.since = now
	}
}

// onDiskRefused is told again and again while the disk takes no write: nothing
// is lost of what it has, but this store can accept nothing more.
func (s *Store) onDiskRefused(now time.Time, effects *statemachine.Effects) {
	s.refused = true
	for _, partition := range statemachine.Sorted(s.partitions) {
		if s.isFirst(partition) {
			s.giveUp(partition, "disk-refuses", effects)
		}
	}
	s.tellLagging(now, effects)
}

// probe writes a little while this store is taken for degraded, and so has no
// other writes to tell by whether its disk is well again.
func (s *Store) probe(now time.Time) {
	if !s.follower.Members[s.settings.Self.Name].Degraded {
		return
	}
	s.timers.Arm("probe", now.Add(probeEvery))
	if len(s.pending) == 0 {
		s.log(diskEntry{Disk: s.disk}, nil)
	}
}

// oldestWrite is for how long the disk has owed the oldest write. A checkpoint, and what
// waits behind it, may take checkpointMost before that counts.
func (s *Store) oldestWrite(now time.Time) time.Duration {
	var oldest time.Duration
	for token, written := range s.pending {
		owed := now.Sub(written.since)
		if s.behindCheckpoint(token) && !statemachine.Mutated("checkpoints-lag") {
			owed -= checkpointMost
		}
		oldest = max(oldest, owed)
	}
	return oldest
}

// behindCheckpoint tells whether a write is a checkpoint or waits for one.
func (s *Store) behindCheckpoint(token uint64) bool {
	for earlier, written := range s.pending {
		if written.checkpoint && earlier <= token {
			return true
		}
	}
	return false
}
