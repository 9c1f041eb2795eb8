package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

const (
	// slowBackupTimeout is how long a backup may take to sync a command.
	slowBackupTimeout = 700 * time.Millisecond
	// spareTimeout is how long a spare may take to sync a snapshot.
	spareTimeout = 600 * time.Millisecond
	// spareWindow is how long a controller that takes over waits for more spares to become ready.
	spareWindow = 150 * time.Millisecond
	// takeoverStagger is the additional delay before each further backup takes over.
	takeoverStagger = 300 * time.Millisecond
	// zoneSpreadDelay is the minimum age of an epoch before a backup is moved to another zone.
	zoneSpreadDelay = 2 * time.Second
)

// reconfiguration is the preparation of a next epoch with other backups or another primary.
type reconfiguration struct {
	// replacing is set while this primary replaces backups, or proposes a next epoch after it
	// lost the lease. takingOver is set while this backup tries to become the primary, or this
	// primary, which has lost the lease and a backup, tries to remain the primary (see
	// reclaimEpoch).
	replacing, takingOver bool
	// proposed is set once a ballot for the next epoch was started. From then on spares and
	// backups are not changed.
	proposed bool
	// spares are the voters that were sent the state, by name, and skipped the names of those
	// that did not sync it within spareTimeout.
	spares  map[string]*spare
	skipped []string
	// retained are the backups that stay, and replaced the backups that are removed.
	retained, replaced []string
}

// spare is a voter that was sent the state, so that it can become a backup in the next epoch.
type spare struct {
	sentAt time.Time
	// ready is set once the spare has synced the state, and leaving if it was asked to leave.
	ready   bool
	leaving bool
}

func newReconfiguration() reconfiguration {
	return reconfiguration{spares: map[string]*spare{}}
}

func (r *reconfiguration) active() bool { return r.takingOver || r.replacing }

// without returns the names that are not among the excluded ones.
func without(names []string, excluded ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return slices.Contains(excluded, name)
	})
}

// monitor checks the replicas for failures: the primary monitors its backups, and each backup
// monitors the primary.
func (n *Node) monitor(now time.Time, effects *statemachine.Effects) {
	if !n.isComplete() {
		return
	}
	switch {
	case n.IsPrimary():
		n.monitorBackups(now, effects)
	case n.isBackup():
		n.monitorPrimary(now, effects)
	}
}

// failedBackups lists the backups that were not in contact within failureTimeout as lost, and
// those that have not synced the pending command within slowBackupTimeout as slow.
func (n *Node) failedBackups(now time.Time) (lost, slow []string) {
	for _, name := range n.hardState.Record.Backups {
		backup := n.replication.progress[name]
		switch {
		case now.Sub(backup.lastContact) >= failureTimeout:
			lost = append(lost, name)
		case n.isSlow(now, backup):
			slow = append(slow, name)
		}
	}
	return lost, slow
}

func (n *Node) isSlow(now time.Time, backup *progress) bool {
	head, found := n.pendingProposal()
	return found && head.synced && backup.ackedIndex < head.index &&
		now.Sub(head.appendedAt) >= slowBackupTimeout && !statemachine.Mutated("patient-primary")
}

// backupInSharedZone returns a backup in a zone that has another replica, if there is a spare
// in a zone without a replica. The loss of a shared zone would lose both replicas.
func (n *Node) backupInSharedZone(now time.Time) (string, bool) {
	if !n.backupsInSync() || len(n.replication.proposals) > 0 || now.Sub(n.election.decidedAt) < zoneSpreadDelay {
		return "", false
	}
	record := n.hardState.Record
	seen := map[string]bool{n.settings.Self.Zone: true}
	for _, name := range record.Backups {
		backup, _ := record.VoterNamed(name)
		if seen[backup.Zone] {
			chosen, found := n.chooseSpare(now, without(record.Backups, name), record.Backups)
			if found && !n.zoneHasReplica(chosen.Zone) {
				return name, true
			}
		}
		seen[backup.Zone] = true
	}
	return "", false
}

func (n *Node) zoneHasReplica(zone string) bool {
	return zone == n.settings.Self.Zone || slices.ContainsFunc(n.hardState.Record.Backups, func(name string) bool {
		backup, _ := n.hardState.Record.VoterNamed(name)
		return backup.Zone == zone
	})
}

// monitorBackups replaces backups that are lost, slow, leaving or in a shared zone, and adds
// backups if there are too few. If there is no spare, the primary continues once the failed
// backup has returned.
func (n *Node) monitorBackups(now time.Time, effects *statemachine.Effects) {
	if !n.HoldsLease(now) || n.election.attempt != nil || n.reconfig.proposed {
		return
	}
	record := n.hardState.Record
	lost, slow := n.failedBackups(now)
	replaced := n.backupsToReplace(now, append(slices.Clone(lost), slow...), effects)
	if len(replaced) == 0 && !n.needsMoreBackups(now) {
		if n.reconfig.replacing && len(n.reconfig.spares) == 0 {
			n.reconfig.replacing, n.reconfig.replaced = false, nil
			n.proposeNext(now, effects)
		}
		return
	}
	if !n.reconfig.replacing {
		n.reconfig.replacing = true
		for _, name := range lost {
			effects.Emit(logevent.BackupLost, "backup", name, "epoch", record.Epoch)
		}
		for _, name := range slow {
			index := n.replication.proposals[0].index
			effects.Emit(logevent.BackupSlow, "backup", name, "epoch", record.Epoch, "index", index)
		}
	}
	n.reconfig.replaced = replaced
	n.prepareSpares(now, without(record.Backups, replaced...), replaced, effects)
}

// backupsToReplace returns the failed backups and those that are replaced for other reasons.
func (n *Node) backupsToReplace(now time.Time, failed []string, effects *statemachine.Effects) []string {
	shared, isShared := n.backupInSharedZone(now)
	idle := len(failed) == 0 && !n.reconfig.replacing
	if isShared && idle {
		effects.Emit(logevent.BackupInSameZone, "backup", shared, "epoch", n.hardState.Record.Epoch)
		return []string{shared}
	}
	if leaving, found := n.departingBackup(now); found && idle {
		return []string{leaving}
	}
	if n.reconfig.replacing && len(n.reconfig.spares) > 0 {
		// A replacement that has begun is completed for the same backups.
		return append(failed, without(n.reconfig.replaced, failed...)...)
	}
	return failed
}

// needsMoreBackups reports whether there are too few backups and either a replacement is
// already in progress or there is a spare that can be added.
func (n *Node) needsMoreBackups(now time.Time) bool {
	record := n.hardState.Record
	if len(record.Backups) >= n.targetBackups() || len(record.Voters) <= n.requiredBackups() {
		return false
	}
	if n.reconfig.replacing {
		return true
	}
	_, found := n.chooseSpare(now, record.Backups, record.Backups)
	return found
}

// monitorPrimary takes over from a primary that was not in contact within failureTimeout. The
// backups take over in the order in which the record lists them.
func (n *Node) monitorPrimary(now time.Time, effects *statemachine.Effects) {
	if n.grantsUncertain(now) || statemachine.Mutated("no-takeover") {
		return
	}
	position := slices.Index(n.hardState.Record.Backups, n.settings.Self.Name)
	timeout := failureTimeout + time.Duration(position)*takeoverStagger
	if elapsed := now.Sub(n.replication.primaryLastContact); elapsed < timeout {
		n.timers.ArmSooner(monitorTimer, now.Add(timeout-elapsed))
		return
	}
	if !n.reconfig.takingOver {
		n.reconfig.takingOver = true
		record := n.hardState.Record
		effects.Emit(logevent.TakeoverStarted, "epoch", record.Epoch, "primary", record.Primary)
	}
	// The old primary is not excluded as a spare: it may have returned without being able to
	// continue as the primary.
	n.prepareSpares(now, nil, nil, effects)
}

// cancelTakeover cancels a takeover that was not proposed yet. It is called when a backup is in
// contact with the primary again, or the primary holds the lease.
func (n *Node) cancelTakeover() {
	if n.reconfig.takingOver && n.election.attempt == nil && !n.reconfig.proposed {
		n.reconfig.takingOver = false
		n.reconfig.spares, n.reconfig.skipped = map[string]*spare{}, nil
	}
}

// inEmptiestZone returns the candidate whose zone has the fewest replicas. It counts the
// replica of this controller and those of the named voters.
func (n *Node) inEmptiestZone(voters, candidates []Controller, named []string) Controller {
	replicas := map[string]int{n.settings.Self.Zone: 1}
	for _, voter := range voters {
		if slices.Contains(named, voter.Name) {
			replicas[voter.Zone]++
		}
	}
	best := candidates[0]
	for _, candidate := range candidates[1:] {
		if replicas[candidate.Zone] < replicas[best.Zone] {
			best = candidate
		}
	}
	return best
}

// chooseSpare selects a voter that can become a backup. It excludes this controller, the
// retained and excluded voters, the current spares, and the skipped voters. The primary selects
// only voters that pass mayBeSpare; a controller that takes over does not have that information.
func (n *Node) chooseSpare(now time.Time, retained, excluded []string) (Controller, bool) {
	var candidates []Controller
	chosen := slices.Clone(retained)
	for name := range statemachine.Sorted(n.reconfig.spares) {
		chosen = append(chosen, name)
	}
	for _, voter := range n.hardState.Record.Voters {
		if voter.SameAs(n.settings.Self) || slices.Contains(chosen, voter.Name) ||
			slices.Contains(excluded, voter.Name) || slices.Contains(n.reconfig.skipped, voter.Name) {
			continue
		}
		if n.IsPrimary() && !n.reconfig.takingOver && !n.mayBeSpare(now, voter) {
			continue
		}
		candidates = append(candidates, voter)
	}
	if len(candidates) == 0 {
		return Controller{}, false
	}
	return n.inEmptiestZone(n.hardState.Record.Voters, candidates, chosen), true
}

// mayBeSpare reports whether a voter granted the primary a lease within failureTimeout and is
// not leaving.
func (n *Node) mayBeSpare(now time.Time, voter Controller) bool {
	granted, found := n.lease.lastGrant[voter.Name]
	return found && now.Sub(granted) <= failureTimeout && !n.departing(now, voter)
}

// prepareSpares sends the state to spares for the next epoch, which is proposed once enough of
// them have synced it. The primary sends it to as many as are missing. A controller that takes
// over sends it to all voters at once, since it does not know which of them are alive.
func (n *Node) prepareSpares(now time.Time, retained, excluded []string, effects *statemachine.Effects) {
	if n.election.attempt != nil || n.reconfig.proposed {
		return
	}
	for name, prepared := range statemachine.Sorted(n.reconfig.spares) {
		if !prepared.ready && now.Sub(prepared.sentAt) >= spareTimeout {
			n.reconfig.skipped = append(n.reconfig.skipped, name)
			delete(n.reconfig.spares, name)
		}
	}
	wanted := n.targetBackups() - len(retained)
	if n.reconfig.takingOver {
		wanted = len(n.hardState.Record.Voters)
	}
	for len(n.reconfig.spares) < wanted {
		chosen, found := n.chooseSpare(now, retained, excluded)
		if !found {
			// All voters have been tried, so the skipped ones are tried again.
			n.reconfig.skipped = nil
			break
		}
		n.reconfig.spares[chosen.Name] = &spare{sentAt: now, ready: statemachine.Mutated("copy-counts-at-once")}
		effects.Send(chosen.Address, n.newSnapshot(n.hardState.Record.Epoch+1))
	}
	n.reconfig.retained = retained
	n.proposeNextEpoch(now, effects)
	n.timers.ArmSooner(monitorTimer, now.Add(spareWindow))
}

// markSpareReady records that a spare has synced the current state.
func (n *Node) markSpareReady(
	now time.Time, name string, response InstallSnapshotResponse, effects *statemachine.Effects,
) {
	prepared, found := n.reconfig.spares[name]
	if !found || response.Index != n.appliedIndex || n.reconfig.proposed || n.election.attempt != nil {
		return
	}
	if !n.reconfig.takingOver && (!n.reconfig.replacing || !n.HoldsLease(now)) {
		return
	}
	prepared.ready, prepared.leaving = true, response.Leaving
	n.proposeNextEpoch(now, effects)
}

// proposeNextEpoch starts a ballot for the next epoch if enough spares are ready.
func (n *Node) proposeNextEpoch(now time.Time, effects *statemachine.Effects) {
	record := n.hardState.Record
	ready, leaving, pending := n.readySpares()
	missing := n.targetBackups() - len(n.reconfig.retained) - len(ready) - len(leaving)
	if pending > 0 && (missing > 0 || n.reconfig.takingOver && now.Sub(n.oldestSpareSentAt(now)) < spareWindow) {
		return
	}
	backups := slices.Clone(n.reconfig.retained)
	// A spare that is leaving becomes a backup only if there are not enough others.
	for _, candidates := range [][]Controller{ready, leaving} {
		for len(candidates) > 0 && len(backups) < n.targetBackups() {
			best := n.inEmptiestZone(record.Voters, candidates, backups)
			backups = append(backups, best.Name)
			candidates = slices.DeleteFunc(candidates, func(candidate Controller) bool { return candidate.SameAs(best) })
		}
	}
	if len(backups) < n.requiredBackups() || !n.reconfig.takingOver && slices.Equal(backups, record.Backups) {
		return
	}
	n.reconfig.proposed = true
	n.startBallot(now, Record{
		Epoch:   record.Epoch + 1,
		Primary: n.settings.Self.Name,
		Backups: backups,
		Voters:  record.Voters,
	}, effects)
}

// readySpares returns the spares that have synced the state, with those that are leaving listed
// separately, and the number of spares that have not synced it.
func (n *Node) readySpares() (ready, leaving []Controller, pending int) {
	for name, prepared := range statemachine.Sorted(n.reconfig.spares) {
		if !prepared.ready {
			pending++
			continue
		}
		voter, found := n.hardState.Record.VoterNamed(name)
		switch {
		case !found:
		case prepared.leaving:
			leaving = append(leaving, voter)
		default:
			ready = append(ready, voter)
		}
	}
	return ready, leaving, pending
}

// oldestSpareSentAt returns when the state was sent to the first of the current spares, or now
// if there are none.
func (n *Node) oldestSpareSentAt(now time.Time) time.Time {
	oldest := now
	for _, prepared := range n.reconfig.spares {
		if prepared.sentAt.Before(oldest) {
			oldest = prepared.sentAt
		}
	}
	return oldest
}
