package consensus

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// recovery is the progress of the recovery of a voter whose disk was lost.
type recovery struct {
	// request is the ID of the newest RecoveryRequest.
	request statemachine.RequestID
	// responses are the hard states of other voters, by address.
	responses map[string]HardState
}

func newRecovery() recovery {
	return recovery{responses: map[string]HardState{}}
}

// requestRecovery asks the other voters for their hard states if the newest record that this
// blank controller received lists it as a voter.
func (n *Node) requestRecovery(effects *statemachine.Effects) {
	if _, listed := n.discovery.newestRecord.Voter(n.settings.Self); !listed {
		return
	}
	n.recovery.request = n.requests.Next()
	for _, voter := range n.discovery.newestRecord.Voters {
		if !voter.SameAs(n.settings.Self) {
			effects.Send(voter.Address, RecoveryRequest{Request: n.recovery.request})
		}
	}
}

func (n *Node) handleRecoveryRequest(from string, request RecoveryRequest, effects *statemachine.Effects) {
	if !n.blank {
		effects.Send(from, RecoveryResponse{Request: request.Request, HardState: n.hardState})
	}
}

// handleRecoveryResponse collects hard states until they are sufficient to replace the lost one.
// A promise or acceptance of this controller before the loss mattered only if a majority that
// includes it did the same. The voters that responded must therefore include at least one other
// member of every such majority.
func (n *Node) handleRecoveryResponse(
	now time.Time, from string, response RecoveryResponse, effects *statemachine.Effects,
) {
	if !n.blank || response.Request != n.recovery.request || response.HardState.Record.Epoch == 0 {
		return
	}
	n.recovery.responses[from] = response.HardState
	n.learn(now, response.HardState.Record, effects)
	entry, listed := n.discovery.newestRecord.Voter(n.settings.Self)
	if !n.blank || !listed {
		return
	}
	recovered, answered := n.recoveredHardState(entry)
	if answered <= len(recovered.Record.Voters)-recovered.Record.Majority() {
		return
	}
	n.hardState = recovered
	n.blank = false
	n.election.attempt = nil
	// It is unknown which leases this controller granted before the loss of its disk.
	n.voter.grantedUntil, n.voter.grantedTo = now.Add(LeaseDuration), ""
	n.voter.uncertainUntil = now.Add(LeaseDuration)
	n.replication.primaryLastContact, n.election.decidedAt = now, now
	n.resetProgress(now)
	effects.Emit(logevent.EpochRecovered, "epoch", recovered.Record.Epoch)
	n.persistHardState(effects, nil)
}

// recoveredHardState combines the collected hard states of the other voters, and returns how
// many there were. The result has the highest ballots that any of them promised and accepted.
func (n *Node) recoveredHardState(entry Controller) (recovered HardState, answered int) {
	recovered = HardState{
		DiskID:    entry.DiskID,
		Record:    n.discovery.newestRecord,
		Recovered: true,
	}
	for _, voter := range recovered.Record.Voters {
		known, found := n.recovery.responses[voter.Address]
		if !found || voter.SameAs(n.settings.Self) {
			continue
		}
		answered++
		if known.Record.Epoch != recovered.Record.Epoch {
			continue
		}
		if recovered.Promised.Before(known.Promised) {
			recovered.Promised = known.Promised
		}
		if recovered.AcceptedBallot.Before(known.AcceptedBallot) {
			recovered.AcceptedBallot, recovered.Accepted = known.AcceptedBallot, known.Accepted
		}
	}
	return recovered, answered
}

// resetToBlank turns a learner into a blank controller that recovers from the others, because a
// decided record lists it as a voter with a disk that it has lost.
func (n *Node) resetToBlank(now time.Time) {
	n.hardState = HardState{DiskID: n.hardState.DiskID}
	n.blank, n.election.attempt = true, nil
	n.recovery.responses = map[string]HardState{}
	n.timers.ArmSooner(helloTimer, now)
}
