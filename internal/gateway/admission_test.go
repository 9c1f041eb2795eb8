package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/gateway"
)

// thinLink is the link of the smallest machines that are known of.
const thinLink = 2_600_000 / 8

// letIn returns how many clients that connect at once are admitted, and checks that the
// others are rejected at once with a time after which to retry.
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

func TestAdmissionFollowsLinkRate(t *testing.T) {
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

func TestAdmissionAdmitsAllOnFastLink(t *testing.T) {
	for _, link := range []int{0, 1_800_000_000 / 8} {
		fleetlab := open(t)
		fleetlab.gateway.SetLink(link)
		assert.Equal(t, letIn(t, fleetlab, 1500), 1500)
	}
}
