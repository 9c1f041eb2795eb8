// A gateway that holds more than its share sends new callers on, as many as it was asked
// to hand on and no more.
package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
)

// newcomersSentOn tells how many of three callers are sent on who come to a gateway that
// holds ten and is asked to keep eight, and how many callers it tells to move in all.
func newcomersSentOn(t *testing.T) (newcomers, all int) {
	t.Helper()
	fleetlab := open(t)
	for number := range uint64(10) {
		assert.Equal(t, outcome(t, fleetlab.greet(t, number+1, fmt.Sprint("u", number))).Outcome, gateway.OutcomeAccepted)
	}
	fleetlab.orders = membership.Orders{Keep: 8, Pace: 5, Targets: []string{"gateway-2"}}
	for fleetlab.gateway.Follower().Orders.Keep == 0 {
		all += moves(fleetlab.pass(time.Millisecond))
	}
	for number := range uint64(3) {
		effects := fleetlab.greet(t, number+20, fmt.Sprint("late-", number))
		assert.Equal(t, outcome(t, effects).Outcome, gateway.OutcomeAccepted)
		newcomers += moves(effects)
	}
	fleetlab.orders = membership.Orders{}
	return newcomers, all + newcomers + moves(fleetlab.pass(250*time.Millisecond))
}

func TestNewcomersAreSentOnInPlaceOfThoseWhoAreHere(t *testing.T) {
	newcomers, all := newcomersSentOn(t)
	// One of those who are here is told at once.
	assert.Equal(t, newcomers, 1)
	assert.Equal(t, all, 2)
}
