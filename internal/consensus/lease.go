package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

const (
	// LeaseDuration is how long a voter's grant lasts. A takeover waits at most this long for
	// the lease of the previous primary to expire.
	LeaseDuration = 1800 * time.Millisecond
	// usableLease is how long the primary uses a lease: clocks may differ in rate by a tenth.
	usableLease   = LeaseDuration * 9 / 10
	renewInterval = 300 * time.Millisecond
	// maxPendingRenewals is how many of the newest renewals may still be granted.
	maxPendingRenewals = 16
	// failureTimeout is how long a controller counts as alive after the last contact with it.
	failureTimeout = 1200 * time.Millisecond
	// announceDuration is how long renewals include the record of a new epoch.
	announceDuration = time.Second
	// renewalPause is how long a primary that receives messages from too few voters requests no
	// lease, so that another controller can take over. It then requests leases again for
	// failureTimeout before the next pause.
	renewalPause = 3 * failureTimeout
	// ownDiskTimeout is how long the primary's own disk may take to sync a command before the
	// primary releases the lease.
	ownDiskTimeout = time.Second
)

// leaseState is the primary's state: the lease that it holds from the voters.
type leaseState struct {
	// renewals holds when each of the newest renewals was requested, and grants the names of the
	// voters that granted it, by request number.
	renewals map[uint64]time.Time
	grants   map[uint64]map[string]bool
	// until is when the lease expires, measured from when it was requested. It is the zero time
	// if there is no lease.
	until time.Time
	// held is set from when the lease is gained until its expiry is detected.
	held bool
	// released is set from ReleaseLease, which was called at releasedAt, until the lease is
	// requested again.
	released   bool
	releasedAt time.Time
	// primarySince is when the current primary became the primary, or this controller started.
	primarySince time.Time
	// lastGrant is when each voter, by name, last granted the lease.
	lastGrant map[string]time.Time
	// lastContact is when the last message of each voter arrived, by address.
	lastContact map[string]time.Time
	// renewalsPausedUntil is the end of the newest pause in which no lease is requested (see
	// pausesRenewals).
	renewalsPausedUntil time.Time
}

func newLeaseState() leaseState {
	return leaseState{
		renewals:    map[uint64]time.Time{},
		grants:      map[uint64]map[string]bool{},
		lastGrant:   map[string]time.Time{},
		lastContact: map[string]time.Time{},
	}
}

// dropRenewals discards all pending renewals, so that none of them can become a lease.
func (ls *leaseState) dropRenewals() {
	ls.renewals, ls.grants = map[uint64]time.Time{}, map[uint64]map[string]bool{}
}

// reset prepares for another epoch. If the primary stays the same, its lease stays valid.
func (ls *leaseState) reset() {
	ls.released = false
	ls.dropRenewals()
}

// later returns the later of two times.
func later(left, right time.Time) time.Time {
	if left.Before(right) {
		return right
	}
	return left
}

// leaseLostSince returns since when this primary has held no lease.
func (n *Node) leaseLostSince() time.Time {
	return later(n.lease.until, n.lease.primarySince)
}

// renewLease runs once per renewInterval on every controller. On a controller that is not the
// primary it only monitors the primary.
func (n *Node) renewLease(now time.Time, effects *statemachine.Effects) {
	n.timers.Arm(renewTimer, now.Add(renewInterval))
	if n.blank {
		return
	}
	if !n.IsPrimary() || !n.isComplete() {
		n.monitor(now, effects)
		return
	}
	n.checkLease(now, effects)
	if n.ownDiskStalled(now) {
		if !n.lease.released {
			n.ReleaseLease(now, effects)
		}
		return
	}
	if n.pausesRenewals(now, effects) {
		return
	}
	if n.lease.released && n.departure.requested && now.Sub(n.lease.releasedAt) < leaseReclaimTimeout {
		n.monitor(now, effects)
		return
	}
	n.requestLease(now, effects)
	n.monitor(now, effects)
	n.reconcileVoters(now, effects)
}

// requestLease asks all voters to grant or extend the lease.
func (n *Node) requestLease(now time.Time, effects *statemachine.Effects) {
	n.lease.released = false
	renew := RenewLease{Epoch: n.hardState.Record.Epoch, Request: n.requests.Next()}
	number := renew.Request.Number
	n.lease.renewals[number] = now
	n.lease.grants[number] = map[string]bool{}
	delete(n.lease.renewals, number-maxPendingRenewals)
	delete(n.lease.grants, number-maxPendingRenewals)
	if now.Sub(n.election.decidedAt) < announceDuration {
		renew.Record = n.hardState.Record
	}
	for _, voter := range n.otherVoters() {
		effects.Send(voter.Address, renew)
	}
	n.grantSelf(now, number, effects)
}

// ownDiskStalled reports whether this primary's disk has not synced the pending command within
// ownDiskTimeout.
func (n *Node) ownDiskStalled(now time.Time) bool {
	head, found := n.pendingProposal()
	return found && head.index > 0 && !head.synced && now.Sub(head.appendedAt) > ownDiskTimeout &&
		!statemachine.Mutated("patient-primary")
}

// pausesRenewals reports whether this primary requests no lease at the moment. If the primary
// receives messages from fewer than a quorum, it releases the lease and pauses its renewals.
// The voters may still receive its requests: if it went on, they would send grants that never
// arrive, and no other controller could take over. Since there may be no controller that can
// take over, the primary requests the lease again for failureTimeout between two pauses.
func (n *Node) pausesRenewals(now time.Time, effects *statemachine.Effects) bool {
	if !n.lostQuorumContact(now) || statemachine.Mutated("deaf-primary") {
		n.lease.renewalsPausedUntil = time.Time{}
		return false
	}
	if now.Sub(n.lease.renewalsPausedUntil) >= failureTimeout {
		n.lease.renewalsPausedUntil = now.Add(renewalPause)
		n.ReleaseLease(now, effects)
	}
	return now.Before(n.lease.renewalsPausedUntil)
}

// lostQuorumContact reports whether this primary has lost its lease and receives messages from
// fewer than a quorum of the voters. By then it has requested both the lease and the next
// epoch, and a voter that it can reach and that can reach it would have responded.
func (n *Node) lostQuorumContact(now time.Time) bool {
	if now.Sub(n.leaseLostSince()) < failureTimeout+renewInterval {
		return false
	}
	inContact := 0
	for _, voter := range n.hardState.Record.Voters {
		at, found := n.lease.lastContact[voter.Address]
		if voter.SameAs(n.settings.Self) || found && now.Sub(at) < failureTimeout {
			inContact++
		}
	}
	return inContact < n.hardState.Record.Majority()
}

// grantSelf counts the primary's own grant if it may give one.
func (n *Node) grantSelf(now time.Time, number uint64, effects *statemachine.Effects) {
	if !n.mayGrant(now) {
		return
	}
	n.voter.grantedUntil, n.voter.grantedTo = now.Add(LeaseDuration), n.hardState.Record.Primary
	n.countGrant(now, n.settings.Self.Name, number, effects)
}

// countGrant counts a voter's grant for a renewal. Grants of a majority extend the lease.
func (n *Node) countGrant(now time.Time, name string, number uint64, effects *statemachine.Effects) {
	requestedAt, found := n.lease.renewals[number]
	if !found {
		return
	}
	n.lease.grants[number][name] = true
	if len(n.lease.grants[number]) < n.hardState.Record.Majority() {
		return
	}
	n.lease.until = later(n.lease.until, requestedAt.Add(usableLease))
	if !n.lease.held && now.Before(n.lease.until) {
		n.lease.held = true
		effects.Emit(logevent.LeaseGained, "epoch", n.hardState.Record.Epoch)
	}
}

// checkLease detects that the lease has expired. If the primary has not regained it within
// failureTimeout, it proposes the next epoch: voters that promised the next epoch to another
// proposer grant no more leases in this one, and that proposer may have failed.
func (n *Node) checkLease(now time.Time, effects *statemachine.Effects) {
	if now.Before(n.lease.until) {
		n.cancelTakeover()
		return
	}
	if n.lease.held {
		n.lease.held = false
		effects.Emit(logevent.LeaseLost, "epoch", n.hardState.Record.Epoch)
	}
	// A new epoch discards all promises, so the primary first waits to regain the lease in it.
	since := n.leaseLostSince()
	if !statemachine.Mutated("epochs-without-pause") {
		since = later(since, n.election.decidedAt)
	}
	if n.lease.released || now.Sub(since) < failureTimeout || n.election.attempt != nil || n.reconfig.proposed {
		return
	}
	if lost, _ := n.failedBackups(now); len(lost) > 0 {
		n.reclaimEpoch(now, effects)
		return
	}
	next := n.hardState.Record
	next.Epoch++
	n.reconfig.replacing, n.reconfig.proposed = true, true
	n.startBallot(now, next, effects)
}

// reclaimEpoch prepares the next epoch in the same way as a backup that takes over. The
// proposer that the voters promised may be the backup that failed, and a backup whose disk was
// lost can't get in sync while no voter may grant a lease.
func (n *Node) reclaimEpoch(now time.Time, effects *statemachine.Effects) {
	if statemachine.Mutated("primary-waits-for-backup") {
		return
	}
	n.reconfig.replacing, n.reconfig.takingOver = true, true
	n.prepareSpares(now, nil, nil, effects)
}

// ReleaseLease gives up the lease, so that a backup can take over before it expires.
func (n *Node) ReleaseLease(now time.Time, effects *statemachine.Effects) {
	if !n.IsPrimary() {
		return
	}
	n.lease.released, n.lease.releasedAt = true, now
	n.lease.until = time.Time{}
	if n.voter.grantedTo == n.settings.Self.Name {
		n.voter.grantedUntil = now
	}
	n.lease.dropRenewals()
	effects.Emit(logevent.LeaseReleased, "epoch", n.hardState.Record.Epoch)
	for _, voter := range n.otherVoters() {
		effects.Send(voter.Address, ReleaseLease{
			Epoch:   n.hardState.Record.Epoch,
			Request: n.requests.Last(),
		})
	}
}

func (n *Node) handleLeaseGrant(now time.Time, from string, grant LeaseGrant, effects *statemachine.Effects) {
	record := n.hardState.Record
	name := record.nameAt(from)
	if !n.IsPrimary() || grant.Epoch != record.Epoch || name == "" {
		return
	}
	if grant.Request.IsSet() {
		number, own := n.requests.NumberOf(grant.Request)
		if !own {
			return
		}
		n.lease.lastGrant[name] = now
		n.countGrant(now, name, number, effects)
	}
	if slices.Contains(record.Backups, name) {
		n.handleBackupProgress(now, from, name, grant, effects)
	}
}
