package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

const (
	// LeaseDuration is how long a voter's grant lasts. It is the longest wait in a takeover.
	LeaseDuration = 1800 * time.Millisecond
	// usableLease is how long the primary uses a lease: clocks may differ by a tenth.
	usableLease   = LeaseDuration * 9 / 10
	renewInterval = 300 * time.Millisecond
	// rememberedRenewals is how many renewals are waited for at a time.
	rememberedRenewals = 16
	// failureTimeout is how long a controller that is not heard counts as alive.
	failureTimeout = 1200 * time.Millisecond
	// announceDuration is how long renewals have the record of a new epoch.
	announceDuration = time.Second
	// quietDuration is how long a primary that hears too few voters requests no lease, so
	// that another can take over; then it requests leases again for failureTimeout.
	quietDuration = 3 * failureTimeout
	// ownDiskTimeout is how long the primary's own disk may take to sync a command before
	// it releases the lease.
	ownDiskTimeout = time.Second
)

// leaseState is the primary's part: the lease that it has from the voters.
type leaseState struct {
	// renewals are the times of the newest requests, by their numbers, and grants the names
	// of the voters that granted each.
	renewals map[uint64]time.Time
	grants   map[uint64]map[string]bool
	// until is when the lease expires, counted from when it was requested; the zero time if
	// there is none.
	until time.Time
	// held is set from when the lease was gained until it was seen to have expired.
	held bool
	// released is set after ReleaseLease, at releasedAt, until the lease is requested again.
	released   bool
	releasedAt time.Time
	// primarySince is when the present primary became so, or this controller was started.
	primarySince time.Time
	// lastGrant is when each voter, by name, last granted the lease.
	lastGrant map[string]time.Time
	// lastHeard is when anything was last heard from each voter, by address.
	lastHeard map[string]time.Time
	// quietUntil is the end of the newest period in which no lease is requested (see
	// staysQuiet).
	quietUntil time.Time
}

func newLeaseState() leaseState {
	return leaseState{
		renewals:  map[uint64]time.Time{},
		grants:    map[uint64]map[string]bool{},
		lastGrant: map[string]time.Time{},
		lastHeard: map[string]time.Time{},
	}
}

// dropRenewals makes sure that no pending renewal becomes a lease.
func (ls *leaseState) dropRenewals() {
	ls.renewals, ls.grants = map[uint64]time.Time{}, map[uint64]map[string]bool{}
}

// reset prepares for another epoch. A lease of the same primary goes on.
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

// leaseLostSince is since when this primary has had no lease.
func (n *Node) leaseLostSince() time.Time {
	return later(n.lease.until, n.lease.primarySince)
}

// renewLease is run in each renewInterval, also by controllers that are no primary.
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
	if n.ownDiskHangs(now) {
		if !n.lease.released {
			n.ReleaseLease(now, effects)
		}
		return
	}
	if n.staysQuiet(now, effects) {
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

// requestLease asks all voters for the lease, or to extend it.
func (n *Node) requestLease(now time.Time, effects *statemachine.Effects) {
	n.lease.released = false
	renew := RenewLease{Epoch: n.hardState.Record.Epoch, Request: n.requests.Next()}
	number := renew.Request.Number
	n.lease.renewals[number] = now
	n.lease.grants[number] = map[string]bool{}
	delete(n.lease.renewals, number-rememberedRenewals)
	delete(n.lease.grants, number-rememberedRenewals)
	if now.Sub(n.election.decidedAt) < announceDuration {
		renew.Record = n.hardState.Record
	}
	for _, voter := range n.otherVoters() {
		effects.Send(voter.Address, renew)
	}
	n.grantSelf(now, number, effects)
}

// ownDiskHangs reports whether this primary's disk has not synced the pending command for
// too long.
func (n *Node) ownDiskHangs(now time.Time) bool {
	head, found := n.pendingProposal()
	return found && head.index > 0 && !head.synced && now.Sub(head.appendedAt) > ownDiskTimeout &&
		!statemachine.Mutated("patient-primary")
}

// staysQuiet releases the lease if this primary hears no quorum, and then requests none
// for a while. The voters may hear it all the same: if it went on, they would grant what
// never arrives, and nobody could take over. Since nobody may be able to, it requests the
// lease again now and then.
func (n *Node) staysQuiet(now time.Time, effects *statemachine.Effects) bool {
	if !n.hearsNoQuorum(now) || statemachine.Mutated("deaf-primary") {
		n.lease.quietUntil = time.Time{}
		return false
	}
	if now.Sub(n.lease.quietUntil) >= failureTimeout {
		n.lease.quietUntil = now.Add(quietDuration)
		n.ReleaseLease(now, effects)
	}
	return now.Before(n.lease.quietUntil)
}

// hearsNoQuorum reports whether this primary lost its lease and hears too few voters: it
// has requested the lease and the next epoch, which some would have answered.
func (n *Node) hearsNoQuorum(now time.Time) bool {
	if now.Sub(n.leaseLostSince()) < failureTimeout+renewInterval {
		return false
	}
	heard := 0
	for _, voter := range n.hardState.Record.Voters {
		at, found := n.lease.lastHeard[voter.Address]
		if voter.SameAs(n.settings.Self) || found && now.Sub(at) < failureTimeout {
			heard++
		}
	}
	return heard < n.hardState.Record.Majority()
}

// grantSelf counts the primary's own grant, if it may give it.
func (n *Node) grantSelf(now time.Time, number uint64, effects *statemachine.Effects) {
	if !n.mayGrant(now) {
		return
	}
	n.voter.grantedUntil, n.voter.grantedTo = now.Add(LeaseDuration), n.hardState.Record.Primary
	n.countGrant(now, n.settings.Self.Name, number, effects)
}

// countGrant counts a voter's grant for a renewal; a majority makes a lease.
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

// checkLease notices that the lease has expired. If it stays so, the primary proposes the
// next epoch: voters that promised it to another grant nothing more in this one, and
// that proposer may have failed.
func (n *Node) checkLease(now time.Time, effects *statemachine.Effects) {
	if now.Before(n.lease.until) {
		n.cancelTakeover()
		return
	}
	if n.lease.held {
		n.lease.held = false
		effects.Emit(logevent.LeaseLost, "epoch", n.hardState.Record.Epoch)
	}
	// A new epoch ends all promises, so it is given time first.
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

// reclaimEpoch prepares the next epoch as a backup does that takes over: the proposer
// that the voters promised may be the backup that failed, and a backup whose disk was lost
// does not get in sync while nobody may grant a lease.
func (n *Node) reclaimEpoch(now time.Time, effects *statemachine.Effects) {
	if statemachine.Mutated("primary-waits-for-backup") {
		return
	}
	n.reconfig.replacing, n.reconfig.takingOver = true, true
	n.prepareSpares(now, nil, nil, effects)
}

// ReleaseLease gives up the lease, so that a backup need not wait for its end.
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
