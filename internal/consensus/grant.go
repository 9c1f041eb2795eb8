package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/statemachine"
)

// voterState is this controller's part as a voter: the lease that it granted.
type voterState struct {
	// grantedUntil is when the lease that was granted expires on this controller's clock.
	// Until then nobody but grantedTo gets a promise for the next epoch or a lease.
	grantedUntil time.Time
	grantedTo    string
	// grantedRequest is the renewal that the lease was last granted for.
	grantedRequest statemachine.RequestID
	// uncertainUntil is when the last lease expires that may have been granted without this
	// controller's knowledge: by it before its restart, or before it became a voter.
	uncertainUntil time.Time
}

// grantsUncertain reports whether this controller, which recovered what its lost disk held
// from other voters, may have granted something that they don't know of.
func (n *Node) grantsUncertain(now time.Time) bool {
	return n.hardState.Recovered && now.Before(n.voter.uncertainUntil)
}

// promisedOther reports whether this controller promised the next epoch to another than
// the primary.
func (n *Node) promisedOther() bool {
	promised := n.hardState.Promised
	return promised.Count > 0 && promised.Name != n.hardState.Record.Primary
}

// acceptedNext reports whether this controller accepted a record for the next epoch.
func (n *Node) acceptedNext() bool {
	return n.hardState.Accepted.Epoch == n.hardState.Record.Epoch+1
}

// acceptedSuccessor reports whether this controller accepted a next epoch with another
// primary or other voters. The present primary then gets no more lease from it, so that
// no two sets of voters grant leases at a time.
func (n *Node) acceptedSuccessor() bool {
	record, accepted := n.hardState.Record, n.hardState.Accepted
	return n.acceptedNext() &&
		(accepted.Primary != record.Primary || !slices.Equal(accepted.Voters, record.Voters))
}

// epochSealed reports whether this controller accepted a next epoch with another primary
// or other backups: it commits and replicates nothing more in the present one.
func (n *Node) epochSealed() bool {
	record, accepted := n.hardState.Record, n.hardState.Accepted
	return n.acceptedNext() &&
		(accepted.Primary != record.Primary || !slices.Equal(accepted.Backups, record.Backups))
}

// mayGrant reports whether the primary may have this controller's grant.
func (n *Node) mayGrant(now time.Time) bool {
	if !n.isVoter() || n.promisedOther() || n.acceptedSuccessor() {
		return false
	}
	return !now.Before(n.voter.grantedUntil) || n.voter.grantedTo == n.hardState.Record.Primary ||
		statemachine.Mutated("grant-at-once")
}

// leaseBlocks reports whether a lease that was granted still runs and keeps this
// controller from a promise.
func (n *Node) leaseBlocks(now time.Time, prepare Prepare) bool {
	return prepare.Epoch > 1 && prepare.Ballot.Name != n.hardState.Record.Primary &&
		now.Before(n.voter.grantedUntil) && !statemachine.Mutated("grant-at-once")
}

// withdrawOwnGrant ends what a primary granted itself, once it has had no lease for as
// long as one lasts: its own grant serves only itself, and two proposers might wait for
// each other's. None of its pending renewals can become a lease any more, and what it
// granted another in an earlier incarnation has expired.
func (n *Node) withdrawOwnGrant(now time.Time, prepare Prepare) {
	if !n.IsPrimary() || prepare.Ballot.Name == n.settings.Self.Name || statemachine.Mutated("no-way-given") {
		return
	}
	if now.Sub(n.leaseLostSince()) < LeaseDuration {
		return
	}
	n.voter.grantedUntil = now
	n.lease.dropRenewals()
}

// holdBackGrants keeps this controller, once it has learned a record, from promising the
// next epoch to another than the primary while leases may run that other voters granted:
// new voters have not granted them themselves.
func (n *Node) holdBackGrants(now time.Time, earlier, record Record) {
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
	n.replication.primaryHeard = now
	n.voter.grantedUntil, n.voter.grantedTo = now.Add(LeaseDuration), record.Primary
	n.voter.grantedRequest = renew.Request
	effects.Send(from, LeaseGrant{
		Epoch:         renew.Epoch,
		Request:       renew.Request,
		Index:         n.storage.syncedIndex,
		CompleteEpoch: n.storage.syncedCompleteEpoch,
	})
}

// releases reports whether the lease that was granted for a renewal is released: one of
// the same incarnation that was not requested after the release.
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
	n.replication.primaryHeard = now.Add(-failureTimeout)
	n.monitor(now, effects)
}
