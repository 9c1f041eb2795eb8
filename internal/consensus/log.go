// The log on a controller's disk, and the snapshots that cut it: the log between two of
// them is bounded by the size of the state, so that what a restart reads does not grow
// with the number of changes.

package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// The log may grow to logFactor times the bytes of the snapshot before it, and in any
// case to logFloor, so that a small state is not written again at each change.
const (
	logFloor  = 64 << 10
	logFactor = 2
)

// logLimit is how many bytes of entries may follow the present snapshot.
func (w *Node) logLimit() int {
	if statemachine.Mutated("log-without-end") {
		return 1 << 40
	}
	return max(logFloor, logFactor*w.snapshotBytes)
}

// keepLogShort writes a snapshot once the log is long enough. It may be written at any
// moment between two steps, also while a command is under way: all entries that were
// handed to the disk before are a part of it, and the command of a primary that is on
// its disk but not answered yet goes along.
func (w *Node) keepLogShort(effects *statemachine.Effects) {
	if w.logBytes <= w.logLimit() {
		return
	}
	packed := transport.MustMarshal(diskFrame{
		Durable: w.durable, Index: w.index, State: w.stateMachine.Snapshot(), Spares: w.heldFrames(), Pending: w.pending(),
	})
	w.logBytes, w.snapshotBytes = 0, len(packed)
	w.token++
	w.synced[w.token] = nil
	effects.Writes = append(effects.Writes, statemachine.Write{Token: w.token, Snapshot: packed})
}

// pending is the command under way, if its entry was handed to the disk: a backup may
// hold it already, and this controller's disk counts as holding it too.
func (w *Node) pending() *diskEntry {
	if len(w.queue) == 0 || w.queue[0].index != w.index+1 || statemachine.Mutated("snapshot-without-pending") {
		return nil
	}
	return &diskEntry{Index: w.queue[0].index, Command: w.queue[0].command}
}

func (w *Node) heldFrames() []spareFrame {
	var held []spareFrame
	for _, frame := range statemachine.Sorted(w.frames) {
		held = append(held, *frame)
	}
	return held
}

// readDisk takes what the disk held: a snapshot, and the entries after it.
func (w *Node) readDisk(snapshot []byte, entries [][]byte) error {
	w.snapshotBytes = len(snapshot)
	if len(snapshot) > 0 {
		if err := w.readSnapshot(snapshot); err != nil {
			return err
		}
	}
	for _, packed := range entries {
		w.logBytes += len(packed)
		var entry diskEntry
		if err := transport.Unmarshal(packed, &entry); err != nil {
			return err
		}
		if err := w.readEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (w *Node) readSnapshot(packed []byte) error {
	var held diskFrame
	if err := transport.Unmarshal(packed, &held); err != nil {
		return err
	}
	w.durable, w.index = held.Durable, held.Index
	for _, spare := range held.Spares {
		w.frames[spare.From] = &spare
	}
	if len(held.State) > 0 {
		if err := w.stateMachine.Restore(held.State); err != nil {
			return err
		}
	}
	if held.Pending != nil {
		return w.readEntry(*held.Pending)
	}
	return nil
}

func (w *Node) readEntry(entry diskEntry) error {
	switch {
	case entry.Durable != nil:
		w.durable = *entry.Durable
	case entry.Spare != nil:
		w.frames[entry.Spare.From] = entry.Spare
	case entry.State != nil:
		if err := w.stateMachine.Restore(entry.State); err != nil {
			return err
		}
		w.index = entry.Index
	case entry.Index == w.index+1:
		w.stateMachine.Apply(time.Time{}, entry.Command)
		w.index = entry.Index
	}
	return nil
}
