package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// voterState is this controller's state as a voter: the lease that it granted.
type voterState struct {
	// grantedUntil is when the granted lease expires on this controller's clock. Until then
	// only grantedTo gets a lease or a promise for the next epoch.
	grantedUntil time.Time
	grantedTo    string
	// grantedRequest is the RenewLease request that was last granted.
	grantedRequest statemachine.RequestID
	// uncertainUntil is when every lease has expired that this controller may not know of:
	// leases that it granted before a restart, or that others granted before it became a
	// voter.
	uncertainUntil time.Time
}

// grantsUncertain reports whether this controller has recovered its hard state from other
// voters and may, before the loss of its disk, have granted a lease that has not expired yet.
func (n *Node) grantsUncertain(now time.Time) bool {
	return n.hardState.Recovered && now.Before(n.voter.uncertainUntil)
}

// promisedOther reports whether this controller promised the next epoch to a controller other
// than the primary.
func (n *Node) promisedOther() bool {
	promised := n.hardState.Promised
	return promised.Count > 0 && promised.Name != n.hardState.Record.Primary
}

// acceptedNext reports whether this controller accepted a record for the next epoch.
func (n *Node) acceptedNext() bool {
	return n.hardState.Accepted.Epoch == n.hardState.Record.Epoch+1
}

// acceptedSuccessor reports whether this controller accepted a next epoch with another
// primary or other voters. It then grants the current primary no further lease, so that two
// sets of voters never grant leases at the same time.
func (n *Node) acceptedSuccessor() bool {
	record, accepted := n.hardState.Record, n.hardState.Accepted
	return n.acceptedNext() &&
		(accepted.Primary != record.Primary || !slices.Equal(accepted.Voters, record.Voters))
}

// epochSealed reports whether this controller accepted a next epoch with another primary
// or other backups. It then commits and replicates nothing more in the current epoch.
func (n *Node) epochSealed() bool {
	record, accepted := n.hardState.Record, n.hardState.Accepted
	return n.acceptedNext() &&
		(accepted.Primary != record.Primary || !slices.Equal(accepted.Backups, record.Backups))
}

// mayGrant reports whether this controller may grant the primary a lease.
func (n *Node) mayGrant(now time.Time) bool {
	if !n.isVoter() || n.promisedOther() || n.acceptedSuccessor() {
		return false
	}
	return !now.Before(n.voter.grantedUntil) || n.voter.grantedTo == n.hardState.Record.Primary ||
		statemachine.Mutated("grant-at-once")
}

// leaseBlocks reports whether a granted lease that has not expired prevents this controller
// from promising a ballot.
func (n *Node) leaseBlocks(now time.Time, prepare Prepare) bool {
	return prepare.Epoch > 1 && prepare.Ballot.Name != n.hardState.Record.Primary &&
		now.Before(n.voter.grantedUntil) && !statemachine.Mutated("grant-at-once")
}

// revokeOwnGrant revokes the grant that a primary gave itself, once it has held no lease for
// LeaseDuration. Without this, two proposers might each wait for the other's own grant to
// expire. It is safe: the primary drops its pending renewals, so that none of them can become
// a lease, and anything that it granted to another controller in an earlier incarnation has
// expired by then.
func (n *Node) revokeOwnGrant(now time.Time, prepare Prepare) {
	if !n.IsPrimary() || prepare.Ballot.Name == n.settings.Self.Name || statemachine.Mutated("no-way-given") {
		return
	}
	if now.Sub(n.leaseLostSince()) < LeaseDuration {
		return
	}
	n.voter.grantedUntil = now
	n.lease.dropRenewals()
}

// reserveGrantForPrimary keeps this controller, when it learns a record with other voters, from
// promising the next epoch to anyone but the primary until the leases that other voters granted
// have expired. It is needed because a new voter has not granted those leases itself.
func (n *Node) reserveGrantForPrimary(now time.Time, earlier, record Record) {
	if record.Epoch == 1 || !now.Before(n.voter.grantedUntil) || n.voter.grantedTo == record.Primary {
		n.voter.grantedTo = record.Primary
	}
	if record.Epoch == 1 || slices.Equal(earlier.Voters, record.Voters) {
		return
	}
	n.voter.grantedUntil = now.Add(LeaseDuration)
	if _, listed := earlier.Voter(n.settings.Self); !listed {
		n.voter.uncertainUntil = now.Add(LeaseDuration)
	}
}

func (n *Node) handleRenewLease(now time.Time, from string, renew RenewLease, effects *statemachine.Effects) {
	n.learn(now, renew.Record, effects)
	record := n.hardState.Record
	switch {
	case n.blank:
		return
	case renew.Epoch < record.Epoch:
		effects.Send(from, Decided{Record: record})
		return
	case renew.Epoch > record.Epoch:
		n.requestRecord(from, effects)
		return
	}
	if record.nameAt(from) != record.Primary || !n.mayGrant(now) {
		return
	}
	n.cancelTakeover()
	if n.reconfig.takingOver {
		return
	}
	n.replication.primaryLastContact = now
	n.voter.grantedUntil, n.voter.grantedTo = now.Add(LeaseDuration), record.Primary
	n.voter.grantedRequest = renew.Request
	effects.Send(from, LeaseGrant{
		Epoch:         renew.Epoch,
		Request:       renew.Request,
		Index:         n.storage.syncedIndex,
		CompleteEpoch: n.storage.syncedCompleteEpoch,
	})
}

// releases reports whether the message releases a granted lease: the lease was requested by
// the same incarnation and not after the release.
func (rl ReleaseLease) releases(granted statemachine.RequestID) bool {
	if statemachine.Mutated("lives-alike") {
		return true
	}
	return rl.Request.Incarnation == granted.Incarnation && rl.Request.Number >= granted.Number
}

func (n *Node) handleReleaseLease(now time.Time, from string, release ReleaseLease, effects *statemachine.Effects) {
	record := n.hardState.Record
	if release.Epoch != record.Epoch || !n.isVoter() ||
		record.nameAt(from) != record.Primary || n.voter.grantedTo != record.Primary {
		return
	}
	if !release.releases(n.voter.grantedRequest) {
		return
	}
	n.voter.grantedUntil = now
	n.replication.primaryLastContact = now.Add(-failureTimeout)
	n.monitor(now, effects)
}
