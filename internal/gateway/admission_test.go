package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/gateway"
)

// slowLink is the link rate of the smallest known machines, in bytes per second.
const slowLink = 2_600_000 / 8

// admitAll connects clients at the same time and returns how many are admitted. It checks that the
// others are rejected at once as busy, with a retry delay.
func admitAll(t *testing.T, fixture *fixture, clients int) (count int) {
	t.Helper()
	for number := range clients {
		answer := outcome(t, fixture.openSession(
			t,
			uint64(1000*int(fixture.request)+number),
			fmt.Sprint("u", fixture.request),
		))
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
	fixture := newFixture(t)
	fixture.gateway.SetLinkBytesPerSecond(slowLink)
	first := admitAll(t, fixture, 300)
	assert.Assert(t, first >= 16 && first <= 32, "%d", first)
	fixture.advance(700 * time.Millisecond)
	assert.Equal(t, admitAll(t, fixture, 300), first, "unused admissions must accumulate only for the burst time")
	sum := 0
	for range 10 {
		fixture.advance(100 * time.Millisecond)
		sum += admitAll(t, fixture, 300)
	}
	assert.Assert(t, sum >= 70 && sum <= 85, "%d in 1 s", sum)
}

func TestAdmissionAdmitsAllOnFastLink(t *testing.T) {
	for _, link := range []int{0, 1_800_000_000 / 8} {
		fixture := newFixture(t)
		fixture.gateway.SetLinkBytesPerSecond(link)
		assert.Equal(t, admitAll(t, fixture, 1500), 1500)
	}
}
