package consensus

import (
	"time"

	"dahlialock/internal/statemachine"
)

// confirmTimeout is how long Confirm waits for a majority of the voters.
const confirmTimeout = time.Second

// confirmation is a pending call of Confirm.
type confirmation struct {
	done     Done
	deadline time.Time
	// acknowledged holds the addresses of the voters that confirmed the epoch.
	acknowledged map[string]bool
}

// Confirm asks a majority of the voters whether the current epoch is still the newest. A
// read from the primary's state after a confirmation is linearizable, independently of the
// accuracy of the clocks. Confirm calls done with Committed once the epoch is confirmed, with
// Rejected at once if this controller may not serve reads, and with Indeterminate if the
// outcome is unknown, after confirmTimeout at the latest.
func (n *Node) Confirm(now time.Time, done Done, effects *statemachine.Effects) {
	if !n.CanServeReads(now) || !n.mayConfirm() {
		done(now, effects, Rejected)
		return
	}
	if statemachine.Mutated("lease-for-ever") {
		done(now, effects, Committed)
		return
	}
	request := n.requests.Next()
	n.confirmations[request.Number] = confirmation{
		done:         done,
		deadline:     now.Add(confirmTimeout),
		acknowledged: map[string]bool{n.settings.Self.Address: true},
	}
	n.timers.ArmSooner(deadlineTimer, now.Add(confirmTimeout))
	for _, voter := range n.otherVoters() {
		effects.Send(voter.Address, Confirm{Epoch: n.hardState.Record.Epoch, Request: request})
	}
	n.completeConfirmation(now, request.Number, effects)
}

// mayConfirm reports whether this controller is a voter that has neither promised nor accepted
// anything that may end the current epoch.
func (n *Node) mayConfirm() bool {
	return n.isVoter() && !n.promisedOther() && !n.acceptedSuccessor() && !n.reconfig.takingOver
}

func (n *Node) handleConfirm(now time.Time, from string, confirm Confirm, effects *statemachine.Effects) {
	if confirm.Epoch != n.hardState.Record.Epoch || !n.mayConfirm() || n.grantsUncertain(now) {
		return
	}
	effects.Send(from, ConfirmResponse(confirm))
}

func (n *Node) handleConfirmResponse(
	now time.Time, from string, response ConfirmResponse, effects *statemachine.Effects,
) {
	number, own := n.requests.NumberOf(response.Request)
	pending, found := n.confirmations[number]
	if !own || !found || response.Epoch != n.hardState.Record.Epoch {
		return
	}
	pending.acknowledged[from] = true
	n.completeConfirmation(now, number, effects)
}

// completeConfirmation completes a confirmation once a majority has responded.
func (n *Node) completeConfirmation(now time.Time, number uint64, effects *statemachine.Effects) {
	pending := n.confirmations[number]
	if !hasQuorum(n.hardState.Record.Epoch+1, n.hardState.Record.Voters, pending.acknowledged) {
		return
	}
	delete(n.confirmations, number)
	if !n.CanServeReads(now) || now.After(pending.deadline) {
		pending.done(now, effects, Indeterminate)
		return
	}
	pending.done(now, effects, Committed)
}
