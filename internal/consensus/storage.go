package consensus

import (
	"time"

	"github.com/joomcode/errorx"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

var namespace = errorx.NewNamespace("consensus")

// ErrStoredState is the type of errors in decoding the state on the disk.
var ErrStoredState = namespace.NewType("stored_state")

// The log may grow to logLimitFactor times the size of the snapshot before it, and at least to
// minLogLimit bytes, so that a small state is not written again at each change. The amount that
// a restart reads is thereby bounded by the size of the state, not by the number of changes.
const (
	minLogLimit    = 64 << 10
	logLimitFactor = 2
)

// continuation runs once a write is synced.
type continuation func(now time.Time, effects *statemachine.Effects)

// storage tracks the writes to this controller's disk.
type storage struct {
	// lastToken is the token of the newest write, and continuations are those of the writes that
	// are not synced yet, by token.
	lastToken     uint64
	continuations map[uint64]continuation
	// snapshotBytes is the size of the newest snapshot, and logBytes the size of the entries
	// after it.
	logBytes, snapshotBytes int
	// syncedIndex is the index up to which the disk has the commands or the state.
	syncedIndex uint64
	// syncedCompleteEpoch is the complete epoch of the hard state on the disk, and syncedEpoch
	// the epoch of its record.
	syncedCompleteEpoch, syncedEpoch uint64
	// pendingStates counts the installed states that are not synced yet. A backup accepts no
	// command before they are synced.
	pendingStates int
}

func newStorage() storage {
	return storage{continuations: map[uint64]continuation{}}
}

// write appends an entry to the log. It calls the continuation once the entry is synced.
func (n *Node) write(effects *statemachine.Effects, entry diskEntry, then continuation) {
	n.storage.lastToken++
	n.storage.continuations[n.storage.lastToken] = then
	packed := transport.MustMarshal(entry)
	n.storage.logBytes += len(packed)
	effects.Writes = append(effects.Writes, statemachine.Write{
		Token:   n.storage.lastToken,
		Entries: [][]byte{packed},
	})
}

// persistHardState writes the hard state. It calls the continuation, which may be nil, once the
// hard state is synced.
func (n *Node) persistHardState(effects *statemachine.Effects, then continuation) {
	written := n.hardState
	n.write(effects, diskEntry{HardState: &written}, func(now time.Time, effects *statemachine.Effects) {
		n.storage.syncedCompleteEpoch, n.storage.syncedEpoch = written.CompleteEpoch, written.Record.Epoch
		if then != nil {
			then(now, effects)
		}
	})
}

// persistState writes an installed state.
func (n *Node) persistState(state []byte, effects *statemachine.Effects) {
	index := n.appliedIndex
	n.storage.pendingStates++
	n.write(effects, diskEntry{Index: index, State: state}, func(time.Time, *statemachine.Effects) {
		n.storage.pendingStates--
		n.storage.syncedIndex = index
	})
}

// Synced is called by the owner once the write with this token is durable. Unknown tokens, and
// tokens that were reported before, are ignored.
func (n *Node) Synced(now time.Time, token uint64, effects *statemachine.Effects) {
	then, found := n.storage.continuations[token]
	if !found {
		return
	}
	delete(n.storage.continuations, token)
	if then != nil {
		then(now, effects)
	}
	n.compactLog(effects)
}

// logLimit returns how many bytes of entries may follow the newest snapshot.
func (n *Node) logLimit() int {
	if statemachine.Mutated("log-without-end") {
		return 1 << 40
	}
	return max(minLogLimit, logLimitFactor*n.storage.snapshotBytes)
}

// compactLog writes a snapshot once the log exceeds its limit. That can happen between any two
// steps, even while a command is pending: the snapshot replaces all entries that were written
// before it, including that of the pending command.
func (n *Node) compactLog(effects *statemachine.Effects) {
	if n.storage.logBytes <= n.logLimit() {
		return
	}
	packed := transport.MustMarshal(diskSnapshot{
		HardState: n.hardState,
		Index:     n.appliedIndex,
		State:     n.stateMachine.Snapshot(),
		Staged:    n.stagedSnapshots(),
		Pending:   n.pendingEntry(),
	})
	n.storage.logBytes, n.storage.snapshotBytes = 0, len(packed)
	n.storage.lastToken++
	n.storage.continuations[n.storage.lastToken] = nil
	effects.Writes = append(effects.Writes, statemachine.Write{
		Token:    n.storage.lastToken,
		Snapshot: packed,
	})
}

// pendingEntry returns the entry of the pending command if it was written, or nil. The snapshot
// must include it, because a backup may have synced the command already and the command is
// then committed on the assumption that it is on this controller's disk too.
func (n *Node) pendingEntry() *diskEntry {
	head, found := n.pendingProposal()
	if !found || head.index != n.appliedIndex+1 || statemachine.Mutated("snapshot-without-pending") {
		return nil
	}
	return &diskEntry{Index: head.index, Command: head.command}
}

func (n *Node) stagedSnapshots() []stagedSnapshot {
	var snapshots []stagedSnapshot
	for _, staged := range statemachine.Sorted(n.replication.staged) {
		snapshots = append(snapshots, *staged)
	}
	return snapshots
}

// restore restores the state from a snapshot and the entries after it.
func (n *Node) restore(snapshot []byte, entries [][]byte) error {
	n.storage.snapshotBytes = len(snapshot)
	if len(snapshot) > 0 {
		if err := n.restoreSnapshot(snapshot); err != nil {
			return err
		}
	}
	for position, packed := range entries {
		n.storage.logBytes += len(packed)
		var entry diskEntry
		if err := transport.Unmarshal(packed, &entry); err != nil {
			return ErrStoredState.Wrap(err, "decoding entry %d of the log", position)
		}
		if err := n.restoreEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) restoreSnapshot(packed []byte) error {
	var snapshot diskSnapshot
	if err := transport.Unmarshal(packed, &snapshot); err != nil {
		return ErrStoredState.Wrap(err, "decoding the snapshot")
	}
	n.hardState, n.appliedIndex = snapshot.HardState, snapshot.Index
	for _, staged := range snapshot.Staged {
		n.replication.staged[staged.From] = &staged
	}
	if len(snapshot.State) > 0 {
		if err := n.stateMachine.Restore(snapshot.State); err != nil {
			return ErrStoredState.Wrap(err, "restoring the state of the snapshot")
		}
	}
	if snapshot.Pending != nil {
		return n.restoreEntry(*snapshot.Pending)
	}
	return nil
}

func (n *Node) restoreEntry(entry diskEntry) error {
	switch {
	case entry.HardState != nil:
		n.hardState = *entry.HardState
	case entry.Staged != nil:
		n.replication.staged[entry.Staged.From] = entry.Staged
	case entry.State != nil:
		if err := n.stateMachine.Restore(entry.State); err != nil {
			return ErrStoredState.Wrap(err, "restoring the state at index %d", entry.Index)
		}
		n.appliedIndex = entry.Index
	case entry.Index == n.appliedIndex+1:
		n.stateMachine.Apply(time.Time{}, entry.Command)
		n.appliedIndex = entry.Index
	}
	return nil
}
