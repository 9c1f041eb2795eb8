package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

const (
	// voterReplaceTimeout is how long a voter may grant no lease before it is replaced. It is
	// long enough that a lost backup is first replaced as a backup. It is short enough that,
	// even after a takeover, a lost voter is replaced before its new machine counts as available
	// again and another loss has to be tolerated.
	voterReplaceTimeout = failureTimeout + renewInterval
	// successorTimeout is the same for a voter whose name is used by a learner at another
	// address.
	successorTimeout = time.Second
	// voterChangeDelay is the minimum age of an epoch before the voters are changed, and
	// zoneBalanceDelay before a voter is replaced to balance the zones.
	voterChangeDelay = 500 * time.Millisecond
	zoneBalanceDelay = 3 * time.Second
	minVoters        = 3
)

// targetVoters returns how many voters there should be.
func (n *Node) targetVoters() int {
	if n.settings.ClusterSize > 0 {
		return n.settings.ClusterSize
	}
	return max(minVoters, 2*n.settings.Tolerance+1)
}

// mayShrinkVoters reports whether removing one voter does not reduce the fault tolerance. An
// even number of voters tolerates the loss of no more voters than the odd number below it.
func mayShrinkVoters(record Record) bool {
	return len(record.Voters)%2 == 0
}

// sinceLastGrant returns how long a voter has not granted the primary a lease.
func (n *Node) sinceLastGrant(now time.Time, name string) time.Duration {
	return now.Sub(later(n.lease.lastGrant[name], n.lease.primarySince))
}

// reconcileVoters changes the voters by at most one learner and one voter at a time: it promotes
// a learner if there are too few voters, replaces a voter that is lost or leaves, or replaces
// one to balance the zones.
func (n *Node) reconcileVoters(now time.Time, effects *statemachine.Effects) {
	if !n.mayChangeVoters() {
		return
	}
	if n.acceptedNext() {
		// An accepted record may be decided, so its ballot is completed before any other change.
		next := n.hardState.Record
		next.Epoch++
		n.startBallot(now, next, effects)
		return
	}
	if !n.HoldsLease(now) || now.Sub(n.election.decidedAt) < voterChangeDelay {
		return
	}
	if next, changed := n.nextVoters(now); changed {
		n.startBallot(now, next, effects)
	}
}

// mayChangeVoters reports whether this controller is the primary and has no other
// reconfiguration in progress.
func (n *Node) mayChangeVoters() bool {
	if !n.IsPrimary() || n.election.attempt != nil || n.reconfig.takingOver || n.reconfig.proposed ||
		statemachine.Mutated("fixed-voters") {
		return false
	}
	for _, prepared := range n.reconfig.spares {
		if !prepared.ready {
			return false
		}
	}
	return true
}

// nextVoters returns a record for the next epoch with one voter added, replaced or removed, or
// false if no change is needed or possible.
func (n *Node) nextVoters(now time.Time) (Record, bool) {
	next := n.hardState.Record
	removed, removes := n.voterToRemove(now)
	if !removes && len(next.Voters) >= n.targetVoters() {
		if removed, removes = n.voterToRebalance(now); !removes {
			return Record{}, false
		}
	}
	var voters []Controller
	for _, voter := range next.Voters {
		if !removes || !voter.SameAs(removed) {
			voters = append(voters, voter)
		}
	}
	learner, found := n.learnerToPromote(now, voters)
	switch {
	case found:
		voters = append(voters, learner)
	case !removes || !mayShrinkVoters(next):
		return Record{}, false
	}
	next.Epoch++
	next.Voters = voters
	if removes {
		next.Backups = without(next.Backups, removed.Name)
	}
	sortByName(next.Voters)
	return next, true
}

// voterToRemove returns a voter that leaves or is lost. A voter that is a backup is replaced as a
// backup first.
func (n *Node) voterToRemove(now time.Time) (Controller, bool) {
	record := n.hardState.Record
	for _, voter := range record.Voters {
		if voter.SameAs(n.settings.Self) || slices.Contains(record.Backups, voter.Name) && !n.mayDropBackup(now, voter) {
			continue
		}
		if n.departing(now, voter) {
			return voter, true
		}
		hasSuccessor := slices.ContainsFunc(n.Learners(now), func(learner Controller) bool {
			return learner.Name == voter.Name
		})
		elapsed := n.sinceLastGrant(now, voter.Name)
		if elapsed > voterReplaceTimeout || hasSuccessor && elapsed > successorTimeout {
			return voter, true
		}
	}
	return Controller{}, false
}

// voterToRebalance returns a voter without a replica that can be replaced by a learner of
// another zone, because its zone has at least two voters more than the learner's.
func (n *Node) voterToRebalance(now time.Time) (Controller, bool) {
	record := n.hardState.Record
	if n.settings.ClusterSize > 0 || !n.Serving(now) || now.Sub(n.election.decidedAt) < zoneBalanceDelay {
		return Controller{}, false
	}
	counts := map[string]int{}
	for _, voter := range record.Voters {
		counts[voter.Zone]++
	}
	for _, learner := range n.Learners(now) {
		for _, voter := range record.Voters {
			if voter.Name != record.Primary && !slices.Contains(record.Backups, voter.Name) &&
				counts[voter.Zone] > counts[learner.Zone]+1 {
				return voter, true
			}
		}
	}
	return Controller{}, false
}

// learnerToPromote returns a learner that knows the current epoch, from the zone that has the
// fewest of the remaining voters.
func (n *Node) learnerToPromote(now time.Time, voters []Controller) (Controller, bool) {
	var best Controller
	found, fewest := false, 0
	for _, learner := range n.Learners(now) {
		hello := n.discovery.peers[learner.Address].hello
		if hello.Blank || hello.Record.Epoch != n.hardState.Record.Epoch || namesOrAddressesClash(voters, learner) {
			continue
		}
		count := 0
		for _, voter := range voters {
			if voter.Zone == learner.Zone {
				count++
			}
		}
		if !found || count < fewest {
			best, found, fewest = learner, true, count
		}
	}
	return best, found
}

func namesOrAddressesClash(voters []Controller, learner Controller) bool {
	return slices.ContainsFunc(voters, func(voter Controller) bool {
		return voter.Name == learner.Name || voter.Address == learner.Address
	})
}

// emitVotersChanged logs which voters were added and removed. For the added voters it also
// deletes the announced departure and the time of the last grant, which date from before they
// were added.
func (n *Node) emitVotersChanged(earlier, record Record, effects *statemachine.Effects) {
	var added, removed []string
	for _, voter := range record.Voters {
		if _, listed := earlier.Voter(voter); !listed {
			added = append(added, voter.Name)
			delete(n.departure.announced, voter.Address)
			delete(n.lease.lastGrant, voter.Name)
		}
	}
	for _, voter := range earlier.Voters {
		if _, listed := record.Voter(voter); !listed {
			removed = append(removed, voter.Name)
		}
	}
	effects.Emit(
		logevent.VotersChanged,
		"epoch", record.Epoch, "entered", added, "left", removed, "controllers", len(record.Voters),
	)
}
