// A primary that is suspended between a step of its state machine and the sending of the
// step's effects. Effects that depend on its lease must not be sent after the lease expired.
package simulator

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// requiresLease reports whether only the holder of the lease may send a message.
func requiresLease(message any) bool {
	switch body := message.(type) {
	case membership.ViewUpdate:
		return true
	case membership.ControlResponse:
		return body.Status != http.StatusServiceUnavailable
	}
	return false
}

// recordSendsWithoutLease records the messages that a primary sends after its lease has expired. A
// response of another controller that it forwards to an operator does not count.
func (s *Simulation) recordSendsWithoutLease() *[]string {
	old := &[]string{}
	own := map[statemachine.RequestID]bool{}
	s.OnSend = func(from *Node, to string, message any) {
		if from.Kind != membership.KindController || !requiresLease(message) {
			return
		}
		if answer, matches := message.(membership.ControlResponse); matches {
			own[answer.Request] = own[answer.Request] || to == from.Address
			if to == "" && !own[answer.Request] {
				return
			}
		}
		if from.consensusNode().IsPrimary() && !from.consensusNode().HoldsLease(from.localTime()) {
			*old = append(*old, fmt.Sprintf("%s sent %T at %s without the lease", from.Name, message, s.Now.Sub(s.started)))
		}
	}
	return old
}

func sendsMatching(matches func(message any) bool) func(effects *statemachine.Effects) bool {
	return func(effects *statemachine.Effects) bool {
		for _, send := range effects.Sends {
			if matches(send.Message) {
				return true
			}
		}
		return false
	}
}

func isViewUpdate(message any) bool {
	_, news := message.(membership.ViewUpdate)
	return news
}

func isSuccessResponse(message any) bool {
	answer, matches := message.(membership.ControlResponse)
	return matches && answer.Status == http.StatusOK
}

// suspensions lists the steps after which the primary is suspended. With own, the operator
// sends its request to the primary itself.
var suspensions = []struct {
	name    string
	matches func(effects *statemachine.Effects) bool
	method  string
	own     bool
}{
	{"a view update to daemons", sendsMatching(isViewUpdate), "", false},
	{"a response to a read, to another daemon", sendsMatching(isSuccessResponse), http.MethodGet, false},
	{"a response to an order, to another daemon", sendsMatching(isSuccessResponse), http.MethodPut, false},
	{"a response to a read, to its own operator", sendsMatching(isSuccessResponse), http.MethodGet, true},
	{"a response to an order, to its own operator", sendsMatching(isSuccessResponse), http.MethodPut, true},
	{"a response returned to its own operator", func(effects *statemachine.Effects) bool {
		for _, response := range effects.Responses {
			if isSuccessResponse(response.Value) {
				return true
			}
		}
		return false
	}, http.MethodGet, true},
}

// suspendPrimary suspends the primary for 20 s after a step and before the step's effects are
// sent. It returns what was sent without the lease, and the statuses of the responses to the
// operator.
func suspendPrimary(t trial, seed uint64, number int) (withoutLease []string, statuses []int) {
	t.Helper()
	each := suspensions[number]
	simulation, operator := Prepare(7000+seed, Small, nil)
	simulation.AddDefaultClients(4)
	simulation.Run(2 * time.Second)
	primary := simulation.Primary()
	assert.Assert(t, primary != nil)
	left := simulation.recordSendsWithoutLease()
	froze := false
	primary.FreezeAfterStep(20*time.Second, func(effects *statemachine.Effects) bool {
		froze = froze || each.matches(effects)
		return froze
	})
	asked := simulation.Node("agent-1")
	if each.own {
		asked = primary
	}
	if each.method != "" {
		operator.version++
		body := operator.document()
		simulation.Control(asked, each.method, "/v1/configuration", body, func(response membership.ControlResponse, alive bool) {
			assert.Check(t, alive)
			statuses = append(statuses, response.Status)
		})
	}
	simulation.Run(10 * time.Second)
	assert.Check(t, froze, "the step of %q did not occur", each.name)
	assert.Check(t, simulation.Primary() != nil && simulation.Primary() != primary, "no other controller took over")
	simulation.Run(14 * time.Second)
	if each.method != "" {
		assert.Check(t, len(statuses) == 1, "the operator received %v", statuses)
	}
	simulation.HealAndClose(10 * time.Second)
	for _, line := range simulation.Checker.Violations() {
		assert.Check(t, false, "%s, seed %d: %s", each.name, seed, line)
	}
	return *left, statuses
}

type trial interface {
	assert.TestingT
	Helper()
}

func TestNothingThatRestsOnTheLeaseLeavesAfterIt(t *testing.T) {
	for number, each := range suspensions {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				old, told := suspendPrimary(t, seed, number)
				assert.Check(t, len(old) == 0, "seed %d: %v", seed, old)
				for _, status := range told {
					// The order may have been accepted, and another daemon then responds.
					assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "seed %d: %d", seed, status)
				}
			}
		})
	}
}
