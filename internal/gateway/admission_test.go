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

// admitAll returns how many clients that connect at once are admitted, and checks that the
// others are rejected at once with a time after which to retry.
func admitAll(t *testing.T, fixture *fixture, callers int) (count int) {
	t.Helper()
	for number := range callers {
		answer := outcome(t, fixture.greet(t, uint64(1000*int(fixture.request)+number), fmt.Sprint("u", fixture.request)))
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
	fixture := open(t)
	fixture.gateway.SetLink(thinLink)
	first := admitAll(t, fixture, 300)
	assert.Assert(t, first >= 16 && first <= 32, "%d", first)
	fixture.pass(700 * time.Millisecond)
	assert.Equal(t, admitAll(t, fixture, 300), first, "no more are saved up than for a moment")
	sum := 0
	for range 10 {
		fixture.pass(100 * time.Millisecond)
		sum += admitAll(t, fixture, 300)
	}
	assert.Assert(t, sum >= 70 && sum <= 85, "%d in 1 s", sum)
}

func TestAdmissionAdmitsAllOnFastLink(t *testing.T) {
	for _, link := range []int{0, 1_800_000_000 / 8} {
		fixture := open(t)
		fixture.gateway.SetLink(link)
		assert.Equal(t, admitAll(t, fixture, 1500), 1500)
	}
}
