package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

const (
	leaveInterval = 100 * time.Millisecond
	// departureValidity is how long a controller counts as leaving after its last Leave, and
	// departureRetention how long the Leave of a controller that is not a voter is kept.
	departureValidity  = time.Second
	departureRetention = 10 * time.Second
	// learnerDiscoveryTime is how long a new primary waits before it assumes that all learners
	// have sent it a Hello.
	learnerDiscoveryTime = learnerHelloInterval + 200*time.Millisecond
	// leaseReclaimTimeout is how long a primary that leaves waits after it has released the lease
	// before it requests the lease again: if no backup has taken over by then, the primary may
	// hold the only replica.
	leaseReclaimTimeout = failureTimeout
)

// departure is the state of this controller's graceful leave, and what other controllers have
// announced about theirs.
type departure struct {
	// requested is set once this controller was asked to leave, and completed once it may stop.
	requested, completed bool
	// acknowledged holds the addresses of the voters that have synced the current record, in
	// which this controller is not a voter.
	acknowledged map[string]bool
	// announced is when the last Leave of each controller arrived, by address.
	announced map[string]time.Time
}

func newDeparture() departure {
	return departure{acknowledged: map[string]bool{}, announced: map[string]time.Time{}}
}

// Leave starts the removal of this controller from the voters and the backups. The controller
// keeps working until LeaveCompleted reports true, and may then stop.
//
// After a stop the controller may never be started again, and its disk may be lost. Therefore
// it hands over the lease once its backups are in sync, the primary replaces it as a backup
// and as a voter, and it may stop once a majority of the voters of a record without it have
// synced that record. Even if then as many other disks are lost as are tolerated, and all
// controllers lose power, enough voters know the record. If there is no controller to replace
// it, it may stop at once.
func (n *Node) Leave(now time.Time, effects *statemachine.Effects) {
	if n.departure.requested {
		return
	}
	n.departure.requested = true
	n.continueLeaving(now, effects)
}

// LeaveCompleted reports whether this controller was asked to leave and may now stop.
func (n *Node) LeaveCompleted() bool {
	return n.departure.completed ||
		statemachine.Mutated("leave-when-out") && n.departure.requested && !n.blank && !n.isVoter()
}

// continueLeaving asks the other voters to replace this controller, once per leaveInterval until
// the leave is completed.
func (n *Node) continueLeaving(now time.Time, effects *statemachine.Effects) {
	if statemachine.Mutated("leave-at-once") {
		n.ReleaseLease(now, effects)
		n.departure.completed = true
	}
	others := n.otherVoters()
	if n.blank || len(others) == 0 && len(n.Learners(now)) == 0 {
		n.departure.completed = true
	}
	if n.departure.completed {
		return
	}
	n.timers.Arm(leaveTimer, now.Add(leaveInterval))
	n.handOverLease(now, effects)
	leave := Leave{Epoch: n.hardState.Record.Epoch, Request: n.requests.Next()}
	for _, voter := range others {
		effects.Send(voter.Address, leave)
	}
}

// handOverLease releases the lease once there is a backup that is in sync and is not leaving.
func (n *Node) handOverLease(now time.Time, effects *statemachine.Effects) {
	if !n.Serving(now) || n.election.attempt != nil {
		return
	}
	record := n.hardState.Record
	if slices.ContainsFunc(record.Backups, func(name string) bool {
		backup, _ := record.VoterNamed(name)
		return !n.announcedDeparture(now, backup.Address)
	}) {
		n.ReleaseLease(now, effects)
	}
}

// handleLeave responds to a controller that leaves. A controller that is not a voter any more
// gets an acknowledgment once this voter has synced the record without it.
func (n *Node) handleLeave(now time.Time, from string, leave Leave, effects *statemachine.Effects) {
	record := n.hardState.Record
	switch {
	case n.blank:
		return
	case leave.Epoch < record.Epoch:
		effects.Send(from, Decided{Record: record})
	case leave.Epoch > record.Epoch:
		n.requestRecord(from, effects)
		return
	}
	n.recordDeparture(now, from)
	name := record.nameAt(from)
	if name == "" {
		if n.isVoter() && n.storage.syncedEpoch == record.Epoch {
			effects.Send(from, LeaveResponse{Epoch: record.Epoch, Request: leave.Request})
		}
		return
	}
	if !n.HoldsLease(now) {
		return
	}
	n.monitor(now, effects)
	n.reconcileVoters(now, effects)
	if n.irreplaceable(now, name) {
		effects.Send(from, LeaveResponse{Epoch: record.Epoch, Request: leave.Request, Irreplaceable: true})
	}
}

// recordDeparture records that a controller leaves. The entries of voters are kept, and those
// of others for departureRetention.
func (n *Node) recordDeparture(now time.Time, from string) {
	n.departure.announced[from] = now
	for address, announced := range statemachine.Sorted(n.departure.announced) {
		if now.Sub(announced) > departureRetention && n.voterNameAt(address) == "" {
			delete(n.departure.announced, address)
		}
	}
}

func (n *Node) handleLeaveResponse(from string, response LeaveResponse) {
	record := n.hardState.Record
	_, own := n.requests.NumberOf(response.Request)
	if !own || !n.departure.requested || response.Epoch < record.Epoch || record.nameAt(from) == "" {
		return
	}
	if response.Irreplaceable {
		n.departure.completed = n.departure.completed || record.nameAt(from) == record.Primary
		return
	}
	if _, listed := record.Voter(n.settings.Self); listed {
		return
	}
	n.departure.acknowledged[from] = true
	n.departure.completed = n.departure.completed ||
		hasQuorum(record.Epoch+1, record.Voters, n.departure.acknowledged)
}

// announcedDeparture reports whether a Leave of a controller arrived within departureValidity.
func (n *Node) announcedDeparture(now time.Time, address string) bool {
	announced, found := n.departure.announced[address]
	return found && now.Sub(announced) < departureValidity
}

// departing reports whether a voter has announced that it leaves and has not returned since. It
// has returned if it granted a lease at least departureValidity after its last Leave.
func (n *Node) departing(now time.Time, voter Controller) bool {
	announced, found := n.departure.announced[voter.Address]
	return found && (now.Sub(announced) < departureValidity ||
		n.lease.lastGrant[voter.Name].Before(announced.Add(departureValidity)))
}

// departingBackup returns a backup that is leaving, if there is a spare to replace it.
func (n *Node) departingBackup(now time.Time) (string, bool) {
	record := n.hardState.Record
	if !n.backupsInSync() {
		return "", false
	}
	for _, name := range record.Backups {
		if backup, _ := record.VoterNamed(name); !n.departing(now, backup) {
			continue
		}
		if _, found := n.chooseSpare(now, without(record.Backups, name), record.Backups); found {
			return name, true
		}
	}
	return "", false
}

// mayDropBackup reports whether a backup that leaves can be removed without a replacement:
// there is no spare, and there are enough backups without it.
func (n *Node) mayDropBackup(now time.Time, backup Controller) bool {
	if !n.departing(now, backup) || len(n.hardState.Record.Backups) <= n.requiredBackups() {
		return false
	}
	_, found := n.departingBackup(now)
	return !found
}

// irreplaceable reports whether there is no controller to replace a voter that leaves.
func (n *Node) irreplaceable(now time.Time, name string) bool {
	record := n.hardState.Record
	if n.election.attempt != nil || n.reconfig.replacing || n.reconfig.proposed ||
		!n.backupsInSync() || len(n.Learners(now)) > 0 || mayShrinkVoters(record) {
		return false
	}
	if now.Sub(n.lease.primarySince) < learnerDiscoveryTime && !statemachine.Mutated("irreplaceable-unheard") {
		return false
	}
	replaceable, found := n.departingBackup(now)
	return !found || replaceable != name
}
