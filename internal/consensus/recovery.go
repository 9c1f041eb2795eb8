package consensus

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
)

// recovery is the progress of a voter whose disk was lost.
type recovery struct {
	// request is that of the newest RecoveryRequest.
	request statemachine.RequestID
	// responses are the hard states of other voters, by address.
	responses map[string]HardState
}

func newRecovery() recovery {
	return recovery{responses: map[string]HardState{}}
}

// requestRecovery asks the other voters for their hard states if this blank controller
// has heard that it is a voter.
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

// handleRecoveryResponse collects hard states until they make up for the lost one.
// Whatever this controller promised or accepted before had an effect only if a majority
// with it did so; the voters that answered must include another one of each such majority.
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
	// Nobody knows whom it granted a lease before.
	n.voter.grantedUntil, n.voter.grantedTo = now.Add(LeaseDuration), ""
	n.voter.uncertainUntil = now.Add(LeaseDuration)
	n.replication.primaryHeard, n.election.decidedAt = now, now
	n.resetProgress(now)
	effects.Emit(logevent.EpochRecovered, "epoch", recovered.Record.Epoch)
	n.persistHardState(effects, nil)
}

// recoveredHardState combines the hard states that were collected, and counts those that
// were: it has the highest ballots that anybody promised and accepted.
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

// resetToBlank turns a learner into a blank controller that recovers from the others: an
// epoch has it as a voter with a disk that it lost.
func (n *Node) resetToBlank(now time.Time) {
	n.hardState = HardState{DiskID: n.hardState.DiskID}
	n.blank, n.election.attempt = true, nil
	n.recovery.responses = map[string]HardState{}
	n.timers.ArmSooner(helloTimer, now)
}
