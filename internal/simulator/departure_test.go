// A controller that stands still between a step and the moment at which the step's
// effects leave: what rests on its lease must not leave once the lease is over.
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

// restsOnLease tells whether what a controller says may only be said by the one
// that holds the lease.
func restsOnLease(message any) bool {
	switch body := message.(type) {
	case membership.ViewUpdate:
		return true
	case membership.ControlResponse:
		return body.Status != http.StatusServiceUnavailable
	}
	return false
}

// watchDepartures notes what leaves a controller that may not say it any more. What a
// controller passes on to an operator, of another's answer, is not its own.
func (s *Simulation) watchDepartures() *[]string {
	old := &[]string{}
	own := map[statemachine.RequestID]bool{}
	s.OnDepart = func(from *Node, to string, message any) {
		if from.Kind != membership.KindController || !restsOnLease(message) {
			return
		}
		if answer, matches := message.(membership.ControlResponse); matches {
			own[answer.Request] = own[answer.Request] || to == from.Address
			if to == "" && !own[answer.Request] {
				return
			}
		}
		if from.watch().IsPrimary() && !from.watch().HoldsLease(from.local()) {
			*old = append(*old, fmt.Sprintf("%s said %T at %s, without the lease", from.Name, message, s.Now.Sub(s.started)))
		}
	}
	return old
}

func sendsOf(matches func(message any) bool) func(effects *statemachine.Effects) bool {
	return func(effects *statemachine.Effects) bool {
		for _, send := range effects.Sends {
			if matches(send.Message) {
				return true
			}
		}
		return false
	}
}

func isNews(message any) bool {
	_, news := message.(membership.ViewUpdate)
	return news
}

func isAnswer(message any) bool {
	answer, matches := message.(membership.ControlResponse)
	return matches && answer.Status == http.StatusOK
}

// standstills are the steps after which the primary is stopped.
var standstills = []struct {
	name    string
	matches func(effects *statemachine.Effects) bool
	method  string
	own     bool
}{
	{"News to daemons", sendsOf(isNews), "", false},
	{"a read answered to another daemon", sendsOf(isAnswer), http.MethodGet, false},
	{"an order answered to another daemon", sendsOf(isAnswer), http.MethodPut, false},
	{"a read answered to its own operator", sendsOf(isAnswer), http.MethodGet, true},
	{"an order answered to its own operator", sendsOf(isAnswer), http.MethodPut, true},
	{"an answer that is given to its own operator", func(effects *statemachine.Effects) bool {
		for _, response := range effects.Responses {
			if isAnswer(response.Value) {
				return true
			}
		}
		return false
	}, http.MethodGet, true},
}

// standStill stops the primary for 20 s after a step and before what follows from
// it leaves; it gives what left without the lease, and what the operator was told.
func standStill(t trial, seed uint64, number int) (old []string, told []int) {
	t.Helper()
	each := standstills[number]
	simulation, operator := Prepare(7000+seed, Small, nil)
	simulation.Crowd(4)
	simulation.Run(2 * time.Second)
	primary := simulation.Primary()
	assert.Assert(t, primary != nil)
	left := simulation.watchDepartures()
	froze := false
	primary.FreezeMidway(20*time.Second, func(effects *statemachine.Effects) bool {
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
			told = append(told, response.Status)
		})
	}
	simulation.Run(10 * time.Second)
	assert.Check(t, froze, "%s was not provoked", each.name)
	assert.Check(t, simulation.Primary() != nil && simulation.Primary() != primary, "nobody took over")
	simulation.Run(14 * time.Second)
	if each.method != "" {
		assert.Check(t, len(told) == 1, "the operator was told %v", told)
	}
	simulation.WaitUntilStable(10 * time.Second)
	for _, line := range simulation.Checker.Violations() {
		assert.Check(t, false, "%s, seed %d: %s", each.name, seed, line)
	}
	return *left, told
}

type trial interface {
	assert.TestingT
	Helper()
}

func TestNothingThatRestsOnTheLeaseLeavesAfterIt(t *testing.T) {
	for number, each := range standstills {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				old, told := standStill(t, seed, number)
				assert.Check(t, len(old) == 0, "seed %d: %v", seed, old)
				for _, status := range told {
					// It may have been taken, and another daemon then says so.
					assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "seed %d: %d", seed, status)
				}
			}
		})
	}
}
