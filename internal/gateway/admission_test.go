// A gateway lets in as many callers as its link can serve soon. One that holds more than
// its share sends new callers on, as many as it was asked to hand on and no more.
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

// thinLink is the link of the smallest machines that are known of.
const thinLink = 2_600_000 / 8

// letIn counts how many of the callers that come at once are let in, and checks that the
// others are told at once when to come back.
func letIn(t *testing.T, fleetlab *fleetlab, callers int) (count int) {
	t.Helper()
	for number := range callers {
		answer := outcome(t, fleetlab.greet(t, uint64(1000*int(fleetlab.request)+number), fmt.Sprint("u", fleetlab.request)))
		if answer.Outcome == gateway.OutcomeAccepted {
			count++
			continue
		}
		assert.Equal(t, answer.Code, "busy")
		assert.Assert(t, answer.RetryAfter > 0)
	}
	return count
}

func TestACrowdIsLetInAtThePaceOfTheLink(t *testing.T) {
	fleetlab := open(t)
	fleetlab.gateway.SetLink(thinLink)
	first := letIn(t, fleetlab, 300)
	assert.Assert(t, first >= 16 && first <= 32, "%d", first)
	fleetlab.pass(700 * time.Millisecond)
	assert.Equal(t, letIn(t, fleetlab, 300), first, "no more are saved up than for a moment")
	sum := 0
	for range 10 {
		fleetlab.pass(100 * time.Millisecond)
		sum += letIn(t, fleetlab, 300)
	}
	assert.Assert(t, sum >= 70 && sum <= 85, "%d in 1 s", sum)
}

func TestAWideLinkLetsEverybodyIn(t *testing.T) {
	for _, link := range []int{0, 1_800_000_000 / 8} {
		fleetlab := open(t)
		fleetlab.gateway.SetLink(link)
		assert.Equal(t, letIn(t, fleetlab, 1500), 1500)
	}
}
