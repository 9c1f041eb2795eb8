package consensus

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// replication is the state of the replication of commands and snapshots in the current epoch.
type replication struct {
	// proposals are the submitted commands that are not committed yet. Only the first one may be
	// pending, which means that it is written and sent to the backups. The others are queued.
	proposals []*proposal
	// progress is the known progress of each backup's replica, by name.
	progress map[string]*progress
	// stateReplicated is set while all replicas have everything that this primary has applied.
	stateReplicated bool
	// primaryLastContact is when this backup last received a message from the primary.
	primaryLastContact time.Time
	// staged are the snapshots for the next epoch, by the name of the sender.
	staged map[string]*stagedSnapshot
}

// proposal is a submitted command.
type proposal struct {
	command []byte
	done    Done
	// index is the index of the command once it is pending, and 0 before.
	index uint64
	// synced is set once the command is synced on the primary's own disk.
	synced bool
	// appendedAt is when the command was written or, once it is synced, when it was sent.
	appendedAt time.Time
	// deadline is when done is called with the outcome that is known by then. It is the zero
	// time after that call.
	deadline time.Time
}

// progress is what the primary knows about a backup's replica.
type progress struct {
	lastContact time.Time
	// inSync is set once the replica is known to have everything that was committed.
	inSync bool
	// ackedIndex is the highest index that the backup has acknowledged as synced.
	ackedIndex uint64
}

func newReplication() replication {
	return replication{
		progress: map[string]*progress{},
		staged:   map[string]*stagedSnapshot{},
	}
}

// requiredBackups returns the minimum number of backups with which an epoch commits commands.
// Every backup of the epoch must sync a command, even if there are more.
func (n *Node) requiredBackups() int {
	if n.settings.ClusterSize > 0 {
		return max(1, n.settings.Tolerance)
	}
	if statemachine.Mutated("one-backup") {
		return min(1, n.settings.Tolerance)
	}
	return n.settings.Tolerance
}

// targetBackups returns how many backups there should be. It is at least one, so that another
// controller can take over, but limited by the number of voters.
func (n *Node) targetBackups() int {
	return min(max(1, n.requiredBackups()), len(n.hardState.Record.Voters)-1)
}

// resetProgress starts to track the progress of the backups of the current record.
func (n *Node) resetProgress(now time.Time) {
	n.replication.progress = map[string]*progress{}
	for _, name := range n.hardState.Record.Backups {
		n.replication.progress[name] = &progress{lastContact: now}
	}
}

// backupsInSync reports whether there are enough backups and all of them are in sync.
func (n *Node) backupsInSync() bool {
	for _, name := range n.hardState.Record.Backups {
		if !n.replication.progress[name].inSync {
			return false
		}
	}
	return len(n.hardState.Record.Backups) >= n.requiredBackups()
}

// pendingProposal returns the first proposal, or false if there is none. Its index is 0 until it
// is written.
func (n *Node) pendingProposal() (*proposal, bool) {
	if len(n.replication.proposals) == 0 {
		return nil, false
	}
	return n.replication.proposals[0], true
}

// PendingProposals returns how many submitted commands are not committed yet.
func (n *Node) PendingProposals() int { return len(n.replication.proposals) }

// Submit replicates a command and calls done with the outcome. The outcome is Committed once
// this primary and all backups have synced the command and the primary has applied it while it
// holds the lease. It is Rejected if this controller does not hold the lease or did not write
// the command within the timeout, and Indeterminate otherwise. Commands are replicated one at a
// time, in the order of their submission.
func (n *Node) Submit(
	now time.Time, command []byte, timeout time.Duration, done Done, effects *statemachine.Effects,
) {
	if !n.HoldsLease(now) {
		done(now, effects, Rejected)
		return
	}
	submitted := &proposal{command: command, done: done, deadline: now.Add(timeout)}
	n.replication.proposals = append(n.replication.proposals, submitted)
	n.timers.ArmSooner(deadlineTimer, submitted.deadline)
	if len(n.replication.proposals) == 1 {
		n.proposeNext(now, effects)
	}
}

// proposeNext continues with the first proposal: it writes a proposal that is not written yet,
// and sends a pending one again to the backups that have not acknowledged it.
func (n *Node) proposeNext(now time.Time, effects *statemachine.Effects) {
	head, found := n.pendingProposal()
	if !found {
		return
	}
	if head.index > 0 {
		n.broadcastAppend(effects)
		n.maybeCommit(now, effects)
		return
	}
	if !n.backupsInSync() || n.reconfig.replacing || n.epochSealed() {
		return
	}
	head.index, head.appendedAt = n.appliedIndex+1, now
	epoch := n.hardState.Record.Epoch
	entry := diskEntry{Index: head.index, Command: head.command}
	n.write(effects, entry, func(now time.Time, effects *statemachine.Effects) {
		head.synced, head.appendedAt = true, now
		present, found := n.pendingProposal()
		if !found || present != head || n.hardState.Record.Epoch != epoch && !n.IsPrimary() {
			return
		}
		n.timers.ArmSooner(monitorTimer, now.Add(slowBackupTimeout))
		n.broadcastAppend(effects)
		n.maybeCommit(now, effects)
	})
}

// broadcastAppend sends the pending command to all backups that have not acknowledged it.
func (n *Node) broadcastAppend(effects *statemachine.Effects) {
	for _, name := range n.hardState.Record.Backups {
		n.sendAppend(name, effects)
	}
}

// sendAppend sends the pending command to a backup that has not acknowledged it, once the
// command is synced on the primary's own disk.
func (n *Node) sendAppend(name string, effects *statemachine.Effects) {
	head, found := n.pendingProposal()
	if !found || n.reconfig.replacing || !head.synced || statemachine.Mutated("answer-before-backup") {
		return
	}
	if n.replication.progress[name].ackedIndex >= head.index {
		return
	}
	backup, _ := n.hardState.Record.VoterNamed(name)
	effects.Send(backup.Address, Append{
		Epoch:   n.hardState.Record.Epoch,
		Index:   head.index,
		Command: head.command,
	})
}

// mayAppend reports whether this backup accepts commands of the current epoch. It accepts none
// once it takes over, has promised the next epoch to a controller other than the primary, or
// has accepted a next epoch with another primary or other backups.
func (n *Node) mayAppend() bool {
	return n.isBackup() && n.isComplete() && !n.reconfig.takingOver && !n.promisedOther() && !n.epochSealed()
}

func (n *Node) handleAppend(now time.Time, from string, entry Append, effects *statemachine.Effects) {
	record := n.hardState.Record
	if n.blank || entry.Epoch != record.Epoch {
		if !n.blank && entry.Epoch < record.Epoch {
			effects.Send(from, Decided{Record: record})
		}
		return
	}
	if !n.mayAppend() || record.nameAt(from) != record.Primary {
		return
	}
	n.replication.primaryLastContact = now
	response := AppendResponse{Epoch: entry.Epoch, Index: entry.Index}
	if entry.Index == n.appliedIndex+1 && n.storage.pendingStates == 0 {
		n.stateMachine.Apply(now, entry.Command)
		n.appliedIndex = entry.Index
		written := diskEntry{Index: entry.Index, Command: entry.Command}
		n.write(effects, written, func(_ time.Time, effects *statemachine.Effects) {
			n.storage.syncedIndex = max(n.storage.syncedIndex, entry.Index)
			effects.Send(from, response)
		})
		return
	}
	if entry.Index <= n.storage.syncedIndex {
		effects.Send(from, response)
	}
}

func (n *Node) handleAppendResponse(
	now time.Time, from string, response AppendResponse, effects *statemachine.Effects,
) {
	backup, named := n.replication.progress[n.voterNameAt(from)]
	if !named || !n.IsPrimary() || response.Epoch != n.hardState.Record.Epoch {
		return
	}
	backup.lastContact = now
	backup.ackedIndex = max(backup.ackedIndex, response.Index)
	n.maybeCommit(now, effects)
}

// maybeCommit commits the pending command once all backups have synced it. Nothing is committed
// while a backup is being replaced, because the spares were sent the state without the command.
func (n *Node) maybeCommit(now time.Time, effects *statemachine.Effects) {
	head, found := n.pendingProposal()
	if !found || !n.IsPrimary() || n.reconfig.replacing || n.epochSealed() {
		return
	}
	if !head.synced || head.index != n.appliedIndex+1 || len(n.hardState.Record.Backups) < n.requiredBackups() {
		return
	}
	for _, name := range n.hardState.Record.Backups {
		acked := n.replication.progress[name].ackedIndex >= head.index
		if !acked && !statemachine.Mutated("answer-before-backup") {
			return
		}
	}
	n.stateMachine.Apply(now, head.command)
	n.appliedIndex = head.index
	n.replication.proposals = n.replication.proposals[1:]
	outcome := Committed
	if !n.HoldsLease(now) {
		outcome = Indeterminate
	}
	head.done(now, effects, outcome)
	n.proposeNext(now, effects)
}

// handleBackupProgress compares a backup's replica with the primary's, and sends a snapshot if
// the backup is behind or has a command that was not committed.
func (n *Node) handleBackupProgress(
	now time.Time, from, name string, grant LeaseGrant, effects *statemachine.Effects,
) {
	backup := n.replication.progress[name]
	backup.lastContact = now
	record := n.hardState.Record
	if n.reconfig.proposed || !n.isComplete() {
		return
	}
	head, found := n.pendingProposal()
	hasPending := found && head.index > 0 && grant.Index == head.index
	// A backup that lost its disk has no complete state and needs a snapshot too.
	if grant.CompleteEpoch != record.Epoch || grant.Index < n.appliedIndex ||
		grant.Index > n.appliedIndex && !hasPending {
		backup.inSync = false
		effects.Send(from, n.newSnapshot(record.Epoch))
		return
	}
	n.markInSync(now, name, effects)
	n.sendAppend(name, effects)
}

// markInSync records that a backup's replica is in sync.
func (n *Node) markInSync(now time.Time, name string, effects *statemachine.Effects) {
	if n.replication.progress[name].inSync {
		return
	}
	n.replication.progress[name].inSync = true
	effects.Emit(logevent.BackupSynchronized, "backup", name, "index", n.appliedIndex)
	if n.backupsInSync() {
		n.replication.stateReplicated = true
		n.proposeNext(now, effects)
	}
}

// continueProposals continues with the proposals in a new epoch, or aborts them if this
// controller is not its primary.
func (n *Node) continueProposals(now time.Time, effects *statemachine.Effects) {
	if !n.IsPrimary() {
		n.lease.until = time.Time{}
		n.abortPending(now, effects)
		return
	}
	if head, found := n.pendingProposal(); found && head.synced {
		head.appendedAt = now
		n.timers.ArmSooner(monitorTimer, now.Add(slowBackupTimeout))
	}
	n.proposeNext(now, effects)
	n.timers.Arm(renewTimer, now)
}

// abortPending completes all proposals and confirmations as Indeterminate: the next primary
// determines the outcome of a proposal.
func (n *Node) abortPending(now time.Time, effects *statemachine.Effects) {
	proposals := n.replication.proposals
	n.replication.proposals = nil
	for _, aborted := range proposals {
		aborted.done(now, effects, Indeterminate)
	}
	confirmations := n.confirmations
	n.confirmations = map[uint64]confirmation{}
	for _, aborted := range statemachine.Sorted(confirmations) {
		aborted.done(now, effects, Indeterminate)
	}
}

// expireDeadlines completes the confirmations and proposals whose deadline has passed. The
// outcome of a command that may already be on a disk is Indeterminate, that of a command that
// was never written is Rejected.
func (n *Node) expireDeadlines(now time.Time, effects *statemachine.Effects) {
	var next time.Time
	for number, pending := range statemachine.Sorted(n.confirmations) {
		if pending.deadline.After(now) {
			next = statemachine.Earliest(next, pending.deadline)
			continue
		}
		delete(n.confirmations, number)
		pending.done(now, effects, Indeterminate)
	}
	var remaining []*proposal
	for position, pending := range n.replication.proposals {
		switch {
		case pending.deadline.IsZero() || pending.deadline.After(now):
			next = statemachine.Earliest(next, pending.deadline)
		case position == 0 && pending.index > 0:
			// The proposal remains the first until it is committed or aborted.
			pending.done(now, effects, Indeterminate)
			pending.done = func(time.Time, *statemachine.Effects, Outcome) {}
			pending.deadline = time.Time{}
		default:
			pending.done(now, effects, Rejected)
			continue
		}
		remaining = append(remaining, pending)
	}
	n.replication.proposals = remaining
	if !next.IsZero() {
		n.timers.Arm(deadlineTimer, next)
	}
}
