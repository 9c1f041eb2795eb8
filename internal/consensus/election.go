package consensus

import (
	"hash/fnv"
	"slices"
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

const (
	// A ballot is retried after ballotRetryInterval plus a jitter of less than
	// ballotRetryJitter milliseconds (see ballotTimeout).
	ballotRetryInterval = 400 * time.Millisecond
	ballotRetryJitter   = 300
	// leaseWaitMargin is added to the remaining time of an acceptor's lease before a retry.
	leaseWaitMargin = 5 * time.Millisecond
)

// election is this controller's state as a proposer of the next epoch.
type election struct {
	// attempt is the ballot in progress, or nil.
	attempt *attempt
	// ballotCount is at least the count of every ballot that this controller started or that
	// an acceptor reported as promised.
	ballotCount uint64
	// decidedAt is when this controller learned the current epoch.
	decidedAt time.Time
}

// ballotPhase is the phase of a ballot.
type ballotPhase int

const (
	preparing ballotPhase = iota + 1
	accepting
)

// attempt is one ballot to decide the record of an epoch.
type attempt struct {
	ballot Ballot
	epoch  uint64
	// proposed is the record that this controller proposes. chosen is the record that it asks
	// the voters to accept, which is another one if an earlier ballot may have decided that.
	proposed Record
	chosen   Record
	// promises and accepted are the responses by address.
	promises map[string]Promise
	accepted map[string]bool
	phase    ballotPhase
}

// startBallot starts a ballot for a record and replaces any ballot in progress.
func (n *Node) startBallot(now time.Time, proposed Record, effects *statemachine.Effects) {
	n.election.ballotCount = max(n.election.ballotCount, n.hardState.Promised.Count) + 1
	n.election.attempt = &attempt{
		ballot:   Ballot{Count: n.election.ballotCount, Name: n.settings.Self.Name},
		epoch:    proposed.Epoch,
		proposed: proposed,
		promises: map[string]Promise{},
		accepted: map[string]bool{},
		phase:    preparing,
	}
	// The timer is armed before the messages are delivered, because this controller's own
	// rejection may re-arm it for when a lease expires.
	n.timers.Arm(ballotTimer, now.Add(n.ballotTimeout()))
	prepare := Prepare{Epoch: proposed.Epoch, Ballot: n.election.attempt.ballot}
	for _, voter := range n.electorate(proposed) {
		n.deliver(now, voter.Address, prepare, effects)
	}
}

// ballotTimeout returns how long to wait before a ballot is retried. It differs between
// proposers and ballots, so that two proposers don't supersede each other repeatedly.
func (n *Node) ballotTimeout() time.Duration {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(n.settings.Self.Name))
	_, _ = sum.Write([]byte{byte(n.election.ballotCount)})
	return ballotRetryInterval + time.Duration(sum.Sum32()%ballotRetryJitter)*time.Millisecond
}

// electorate returns the controllers that decide a record: the voters of the epoch before it,
// or for the first epoch the voters of the record itself.
func (n *Node) electorate(record Record) []Controller {
	if record.Epoch == 1 {
		return record.Voters
	}
	return n.hardState.Record.Voters
}

// hasQuorum reports whether enough voters, by address, agreed to an epoch: a majority, or all
// of them for the first epoch. Callers that need a majority for a purpose other than a ballot
// pass the epoch after the current one, so that a majority suffices in the first epoch too.
func hasQuorum[Answer any](epoch uint64, voters []Controller, agreed map[string]Answer) bool {
	count := 0
	for _, voter := range voters {
		if _, found := agreed[voter.Address]; found {
			count++
		}
	}
	return count > len(voters)/2 && (epoch > 1 || count == len(voters))
}

func (n *Node) handlePrepare(now time.Time, from string, prepare Prepare, effects *statemachine.Effects) {
	if prepare.Epoch <= n.hardState.Record.Epoch {
		n.deliver(now, from, Decided{Record: n.hardState.Record}, effects)
		return
	}
	if prepare.Epoch != n.hardState.Record.Epoch+1 || (n.blank && prepare.Epoch != 1) {
		n.requestRecord(from, effects)
		return
	}
	if prepare.Epoch > 1 && (!n.isVoter() || n.voterNameAt(from) == "" || n.grantsUncertain(now)) {
		return
	}
	rejection := Promise{Epoch: prepare.Epoch, Ballot: prepare.Ballot, Promised: n.hardState.Promised}
	if !n.hardState.Promised.Before(prepare.Ballot) {
		n.deliver(now, from, rejection, effects)
		return
	}
	n.revokeOwnGrant(now, prepare)
	if n.leaseBlocks(now, prepare) {
		rejection.RetryAfter = n.voter.grantedUntil.Sub(now)
		n.deliver(now, from, rejection, effects)
		return
	}
	n.hardState.Promised = prepare.Ballot
	promise := Promise{
		Epoch:          prepare.Epoch,
		Ballot:         prepare.Ballot,
		Granted:        true,
		AcceptedBallot: n.hardState.AcceptedBallot,
		Accepted:       n.hardState.Accepted,
	}
	n.persistHardState(effects, func(now time.Time, effects *statemachine.Effects) {
		n.deliver(now, from, promise, effects)
	})
}

func (n *Node) handlePromise(now time.Time, from string, promise Promise, effects *statemachine.Effects) {
	attempt := n.election.attempt
	if attempt == nil || attempt.phase != preparing ||
		promise.Ballot != attempt.ballot || promise.Epoch != attempt.epoch {
		return
	}
	if !promise.Granted {
		n.election.ballotCount = max(n.election.ballotCount, promise.Promised.Count)
		if promise.RetryAfter > 0 {
			n.timers.Arm(ballotTimer, now.Add(promise.RetryAfter+leaseWaitMargin))
		}
		return
	}
	attempt.promises[from] = promise
	if !hasQuorum(attempt.epoch, n.electorate(attempt.proposed), attempt.promises) {
		return
	}
	attempt.phase = accepting
	attempt.choose()
	// This controller accepts the record on its own disk before it asks others to, which seals
	// the current epoch.
	accept := Accept{Epoch: attempt.epoch, Ballot: attempt.ballot, Record: attempt.chosen}
	n.handleAccept(now, n.settings.Self.Address, accept, effects)
}

// choose selects the accepted record of the highest ballot, since it may already have been
// decided, or the proposed record if none was accepted.
func (a *attempt) choose() {
	a.chosen = a.proposed
	highest := Ballot{}
	for _, promise := range statemachine.Sorted(a.promises) {
		if promise.Accepted.Epoch == a.epoch && highest.Before(promise.AcceptedBallot) {
			highest, a.chosen = promise.AcceptedBallot, promise.Accepted
		}
	}
}

// addressesOf returns the addresses of the current voters and of the voters of a record.
func (n *Node) addressesOf(record Record) map[string]bool {
	addresses := map[string]bool{}
	for _, voter := range n.hardState.Record.Voters {
		addresses[voter.Address] = true
	}
	for _, voter := range record.Voters {
		addresses[voter.Address] = true
	}
	return addresses
}

// mayAccept reports whether this controller may accept a record for the next epoch: it is a
// current voter, or the record makes it a voter with its current disk.
func (n *Node) mayAccept(now time.Time, record Record) bool {
	entry, listed := record.Voter(n.settings.Self)
	if record.Epoch == 1 {
		return listed && n.matchesFounders(record.Voters)
	}
	if n.isVoter() {
		return !n.grantsUncertain(now)
	}
	return !n.blank && listed && entry.DiskID == n.hardState.DiskID
}

// matchesFounders reports whether the voters of a first epoch are the founders that this
// controller recorded. It reports true if there are none recorded.
func (n *Node) matchesFounders(voters []Controller) bool {
	if len(n.hardState.Founders) == 0 {
		return true
	}
	addresses := []string{}
	for _, voter := range voters {
		addresses = append(addresses, voter.Address)
	}
	slices.Sort(addresses)
	return slices.Equal(n.hardState.Founders, addresses)
}

func (n *Node) handleAccept(now time.Time, from string, accept Accept, effects *statemachine.Effects) {
	if accept.Epoch <= n.hardState.Record.Epoch {
		n.deliver(now, from, Decided{Record: n.hardState.Record}, effects)
		return
	}
	if accept.Epoch != n.hardState.Record.Epoch+1 {
		n.requestRecord(from, effects)
		return
	}
	if accept.Ballot.Before(n.hardState.Promised) || !n.mayAccept(now, accept.Record) {
		return
	}
	n.hardState.Promised = accept.Ballot
	n.hardState.AcceptedBallot, n.hardState.Accepted = accept.Ballot, accept.Record
	accepted := Accepted{Epoch: accept.Epoch, Ballot: accept.Ballot, Granted: true}
	n.persistHardState(effects, func(now time.Time, effects *statemachine.Effects) {
		n.deliver(now, from, accepted, effects)
	})
}

func (n *Node) handleAccepted(now time.Time, from string, accepted Accepted, effects *statemachine.Effects) {
	attempt := n.election.attempt
	if attempt == nil || attempt.phase != accepting ||
		accepted.Ballot != attempt.ballot || accepted.Epoch != attempt.epoch {
		return
	}
	record := attempt.chosen
	if len(attempt.accepted) == 0 && from == n.settings.Self.Address {
		accept := Accept{Epoch: attempt.epoch, Ballot: attempt.ballot, Record: record}
		for address := range statemachine.Sorted(n.addressesOf(record)) {
			if address != from {
				effects.Send(address, accept)
			}
		}
	}
	attempt.accepted[from] = true
	if !hasQuorum(attempt.epoch, n.electorate(record), attempt.accepted) {
		return
	}
	if !hasQuorum(attempt.epoch, record.Voters, attempt.accepted) && !statemachine.Mutated("old-majority-alone") {
		return
	}
	n.election.attempt = nil
	n.announceDecided(now, record, effects)
	n.learn(now, record, effects)
}

// announceDecided sends a decided record to the current voters, to the voters of the record,
// and to the learners.
func (n *Node) announceDecided(now time.Time, record Record, effects *statemachine.Effects) {
	targets := n.addressesOf(record)
	for _, learner := range n.Learners(now) {
		targets[learner.Address] = true
	}
	delete(targets, n.settings.Self.Address)
	for address := range statemachine.Sorted(targets) {
		effects.Send(address, Decided{Record: record})
	}
}

// mayJoin reports whether this controller may take part in a decided epoch at once. That
// requires that everything it has promised is on its current disk.
func (n *Node) mayJoin(record Record, entry Controller) bool {
	if statemachine.Mutated("trust-lost-disk") {
		return true
	}
	sameDisk := entry.DiskID == n.hardState.DiskID
	if !n.blank {
		return sameDisk
	}
	return n.hardState.DiskID != "" && sameDisk || record.Epoch == 1 && n.hardState.Accepted.Epoch == 1
}

// learn adopts a decided record if it is newer than the current one. If the record lists this
// controller with a disk that it has lost, the controller becomes blank instead and recovers.
func (n *Node) learn(now time.Time, record Record, effects *statemachine.Effects) {
	if record.Epoch > n.discovery.newestRecord.Epoch {
		n.discovery.newestRecord = record
	}
	if record.Epoch <= n.hardState.Record.Epoch {
		return
	}
	entry, listed := record.Voter(n.settings.Self)
	if listed && !n.mayJoin(record, entry) {
		if !n.blank {
			n.resetToBlank(now)
		}
		return
	}
	earlier := n.hardState
	complete := n.completeEpochUnder(record, listed, effects)
	if record.Epoch > 1 && !slices.Equal(earlier.Record.Voters, record.Voters) {
		n.emitVotersChanged(earlier.Record, record, effects)
	}
	if !statemachine.Mutated("no-hold-back") {
		n.reserveGrantForPrimary(now, earlier.Record, record)
	}
	n.hardState = HardState{DiskID: earlier.DiskID, Record: record, CompleteEpoch: complete}
	n.blank = false
	n.beginEpoch(now, earlier.Record)
	if !listed {
		// The primary promotes only learners whose last Hello has the current epoch.
		n.timers.ArmSooner(helloTimer, now)
	}
	n.timers.Disarm(ballotTimer)
	if record.Epoch == 1 {
		effects.Emit(logevent.FirstEpochDecided, "primary", record.Primary, "backups", record.Backups)
	}
	effects.Emit(
		logevent.EpochDecided,
		"epoch", record.Epoch, "primary", record.Primary, "backups", record.Backups, "complete", complete,
	)
	n.persistHardState(effects, func(_ time.Time, effects *statemachine.Effects) {
		if complete > 0 {
			n.reportProgress(record.Epoch, effects)
		}
	})
	n.continueProposals(now, effects)
}

// beginEpoch resets the state that belongs to the previous epoch.
func (n *Node) beginEpoch(now time.Time, earlier Record) {
	record, self := n.hardState.Record, n.settings.Self.Name
	// The proposer of an epoch has sent the state to its new backups; the others were in sync.
	n.replication.stateReplicated = record.Epoch == 1 ||
		record.Primary == self && n.isComplete() && (n.replication.stateReplicated || earlier.Primary != self)
	n.replication.staged = map[string]*stagedSnapshot{}
	n.resetProgress(now)
	n.election.attempt = nil
	n.election.decidedAt = now
	n.reconfig = newReconfiguration()
	n.lease.reset()
	if record.Primary != earlier.Primary {
		n.replication.primaryLastContact, n.lease.primarySince = now, now
	}
	n.departure.acknowledged = map[string]bool{}
}

// reportProgress reports the progress of this backup's replica to the primary of an epoch, so
// that the primary need not wait for the response to its next lease renewal.
func (n *Node) reportProgress(epoch uint64, effects *statemachine.Effects) {
	if !n.isBackup() || n.hardState.Record.Epoch != epoch {
		return
	}
	primary, _ := n.Primary()
	effects.Send(primary.Address, LeaseGrant{
		Epoch:         epoch,
		Index:         n.storage.syncedIndex,
		CompleteEpoch: n.storage.syncedCompleteEpoch,
	})
}

// completeEpochUnder returns the epoch as of which this controller's state is complete once a
// record is learned, or 0. A replica that was complete in the previous epoch stays complete,
// and a spare installs the snapshot that it received for this record.
func (n *Node) completeEpochUnder(record Record, listed bool, effects *statemachine.Effects) uint64 {
	self := n.settings.Self.Name
	staged := n.replication.staged[record.Primary]
	switch {
	case !listed:
		if n.blank || n.isVoter() {
			effects.Emit(logevent.LearnerStarted, "epoch", record.Epoch, "primary", record.Primary)
		}
	case record.Epoch == 1:
		return 1
	case record.Primary != self && !slices.Contains(record.Backups, self):
	case record.Primary != self && staged != nil && staged.TargetEpoch == record.Epoch:
		if n.installState(staged.Index, staged.State, effects) {
			return record.Epoch
		}
	case statemachine.Mutated("copy-counts-at-once"):
		return record.Epoch
	case n.wasReplicaBefore(record):
		return record.Epoch
	}
	return 0
}

// wasReplicaBefore reports whether this controller held a complete replica in the epoch
// directly before that of a record.
func (n *Node) wasReplicaBefore(record Record) bool {
	present, self := n.hardState.Record, n.settings.Self.Name
	return record.Epoch == present.Epoch+1 && n.isComplete() && present.Epoch > 0 &&
		(present.Primary == self || slices.Contains(present.Backups, self))
}

// retryBallot restarts a ballot that timed out, or abandons it if it is no longer needed.
// Ballots for the first epoch or for a change of voters are always abandoned, since
// tryBootstrap and reconcileVoters start them again.
func (n *Node) retryBallot(now time.Time, effects *statemachine.Effects) {
	if n.election.attempt == nil {
		return
	}
	proposed := n.election.attempt.proposed
	n.election.attempt = nil
	if proposed.Epoch <= n.hardState.Record.Epoch || n.blank {
		return
	}
	if n.reconfig.active() && slices.Equal(proposed.Voters, n.hardState.Record.Voters) {
		n.startBallot(now, proposed, effects)
	}
}
