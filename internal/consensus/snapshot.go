package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// newSnapshot returns the current state for a backup in the target epoch, which is either the
// current or the next epoch.
func (n *Node) newSnapshot(targetEpoch uint64) InstallSnapshot {
	return InstallSnapshot{
		Epoch:       n.hardState.Record.Epoch,
		TargetEpoch: targetEpoch,
		Index:       n.appliedIndex,
		State:       n.stateMachine.Snapshot(),
	}
}

// installState replaces the state, and reports whether the new state could be decoded.
func (n *Node) installState(index uint64, state []byte, effects *statemachine.Effects) bool {
	if err := n.stateMachine.Restore(state); err != nil {
		return false
	}
	n.appliedIndex = index
	n.persistState(state, effects)
	return true
}

func (n *Node) handleInstallSnapshot(from string, snapshot InstallSnapshot, effects *statemachine.Effects) {
	record := n.hardState.Record
	switch {
	case n.blank:
		return
	case snapshot.Epoch < record.Epoch:
		effects.Send(from, Decided{Record: record})
		return
	case snapshot.Epoch > record.Epoch:
		n.requestRecord(from, effects)
		return
	}
	sender := record.nameAt(from)
	switch {
	case n.mayStage(sender, snapshot):
		n.stageSnapshot(from, sender, snapshot, effects)
	case n.mayInstall(sender, snapshot):
		n.installSnapshot(from, snapshot, effects)
	}
}

// mayStage reports whether a snapshot is for the next epoch and comes from a controller that has
// a replica.
func (n *Node) mayStage(sender string, snapshot InstallSnapshot) bool {
	record := n.hardState.Record
	senderHasReplica := sender == record.Primary || slices.Contains(record.Backups, sender)
	return snapshot.TargetEpoch == record.Epoch+1 && n.isVoter() && senderHasReplica
}

// mayInstall reports whether a snapshot is for this backup in the current epoch. A delayed
// snapshot that is older than the commands that this backup has applied since is ignored.
func (n *Node) mayInstall(sender string, snapshot InstallSnapshot) bool {
	record := n.hardState.Record
	if snapshot.TargetEpoch != record.Epoch || sender != record.Primary ||
		!n.isBackup() || n.reconfig.takingOver || n.epochSealed() {
		return false
	}
	return !n.isComplete() || snapshot.Index >= n.appliedIndex
}

// installSnapshot replaces the state of this backup, which is complete from then on.
func (n *Node) installSnapshot(from string, snapshot InstallSnapshot, effects *statemachine.Effects) {
	if !n.installState(snapshot.Index, snapshot.State, effects) {
		return
	}
	n.hardState.CompleteEpoch = n.hardState.Record.Epoch
	response := n.responseTo(snapshot)
	n.persistHardState(effects, func(_ time.Time, effects *statemachine.Effects) {
		effects.Send(from, response)
	})
}

// stageSnapshot persists a snapshot for the next epoch.
func (n *Node) stageSnapshot(from, sender string, snapshot InstallSnapshot, effects *statemachine.Effects) {
	staged := &stagedSnapshot{
		From:        sender,
		TargetEpoch: snapshot.TargetEpoch,
		Index:       snapshot.Index,
		State:       snapshot.State,
	}
	n.replication.staged[sender] = staged
	response := n.responseTo(snapshot)
	n.write(effects, diskEntry{Staged: staged}, func(_ time.Time, effects *statemachine.Effects) {
		effects.Send(from, response)
	})
}

func (n *Node) responseTo(snapshot InstallSnapshot) InstallSnapshotResponse {
	return InstallSnapshotResponse{
		Epoch:       snapshot.Epoch,
		TargetEpoch: snapshot.TargetEpoch,
		Index:       snapshot.Index,
		Leaving:     n.departure.requested,
	}
}

func (n *Node) handleInstallSnapshotResponse(
	now time.Time, from string, response InstallSnapshotResponse, effects *statemachine.Effects,
) {
	record := n.hardState.Record
	if response.Epoch != record.Epoch {
		return
	}
	name := record.nameAt(from)
	if response.TargetEpoch == record.Epoch+1 {
		n.markSpareReady(now, name, response, effects)
		return
	}
	backup, named := n.replication.progress[name]
	if named && n.IsPrimary() && response.Index == n.appliedIndex && !n.reconfig.proposed {
		backup.lastContact = now
		n.markInSync(now, name, effects)
	}
}
