package consensus

import (
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

const (
	// voterReplaceTimeout is how long a voter may grant nothing before it is replaced. It
	// lets the backups be replaced first. With a takeover before it, a lost voter is
	// replaced before a new machine counts as one that may be lost again.
	voterReplaceTimeout = failureTimeout + renewInterval
	// successorTimeout is the same for a voter whose name a learner at another address has.
	successorTimeout = time.Second
	// voterChangeDelay is how long an epoch lasts at least before the voters are changed,
	// and zoneBalanceDelay before a voter is replaced to balance the zones.
	voterChangeDelay = 500 * time.Millisecond
	zoneBalanceDelay = 3 * time.Second
	minVoters        = 3
)

// wantedVoters is how many voters there should be.
func (n *Node) wantedVoters() int {
	if n.settings.ClusterSize > 0 {
		return n.settings.ClusterSize
	}
	return max(minVoters, 2*n.settings.Tolerance+1)
}

// mayShrinkVoters reports whether the voters are as safe with one fewer: an even number
// survives the loss of no more voters than the odd number below it.
func mayShrinkVoters(record Record) bool {
	return len(record.Voters)%2 == 0
}

// sinceLastGrant is how long a voter has granted the primary nothing.
func (n *Node) sinceLastGrant(now time.Time, name string) time.Duration {
	return now.Sub(later(n.lease.lastGrant[name], n.lease.primarySince))
}

// reconcileVoters promotes one learner if there are too few voters, or in place of a voter
// that is lost or leaves.
func (n *Node) reconcileVoters(now time.Time, effects *statemachine.Effects) {
	if !n.mayChangeVoters() {
		return
	}
	if n.acceptedNext() {
		// A ballot that was begun is finished before anything else.
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

// mayChangeVoters reports whether this primary has no other change in progress.
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

// nextVoters returns a record of the next epoch with one voter added, replaced or removed.
func (n *Node) nextVoters(now time.Time) (Record, bool) {
	next := n.hardState.Record
	removed, removes := n.voterToRemove(now)
	if !removes && len(next.Voters) >= n.wantedVoters() {
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

// voterToRemove returns a voter that leaves or is lost. A backup is replaced as such first.
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

// voterToRebalance returns a voter that makes room for a learner of another zone: its own
// has two voters more. It holds no replica.
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

// learnerToPromote returns a learner that knows the present epoch, in the zone that has
// the fewest of the voters that stay.
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

// emitVotersChanged logs which voters were added and removed. It also forgets what is known of
// the added ones from before: that they were leaving, and when they last granted the lease.
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
