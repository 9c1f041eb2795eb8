package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// newStartedFixture returns a started gateway that has not received a view update yet.
func newStartedFixture() *fixture {
	fixture := &fixture{now: time.Unix(1000, 0), gateway: gateway.New(gateway.Settings{
		Self: membership.Member{
			Name:          "gateway-1",
			Kind:          membership.KindGateway,
			Address:       "10.0.0.1:1",
			ClientAddress: "10.0.0.1:8000",
			Zone:          "east",
			Incarnation:   1,
		},
		Agent: "10.0.0.1:2",
	})}
	var effects statemachine.Effects
	fixture.gateway.Start(fixture.now, &effects)
	return fixture
}

func TestOpenSessionWaitsForFirstViewUpdate(t *testing.T) {
	fixture := newStartedFixture()
	assert.Equal(t, len(fixture.openSession(t, 1, "u1").Responses), 0)
	fixture.advance(300 * time.Millisecond)
	assert.Equal(t, fixture.gateway.ConfigurationVersion(), uint64(1))
	assert.Equal(t, outcome(t, fixture.updateEffects).Outcome, gateway.OutcomeAccepted)
}

func TestOpenSessionRejectedAfterRefreshTimeout(t *testing.T) {
	fixture := newStartedFixture()
	// The agent never responds.
	assert.Equal(t, len(fixture.openSession(t, 1, "u1").Responses), 0)
	var effects statemachine.Effects
	from := fixture.now
	for len(effects.Responses) == 0 && fixture.now.Sub(from) < 5*time.Second {
		fixture.now = fixture.gateway.NextTick()
		fixture.gateway.Tick(fixture.now, &effects)
	}
	answer := outcome(t, effects)
	assert.Equal(t, answer.Outcome, gateway.OutcomeRejected)
	assert.Assert(t, answer.RetryAfter > 0)
	assert.Assert(t, fixture.now.Sub(from) <= 600*time.Millisecond, "after %s", fixture.now.Sub(from))
}

func TestGatewayConfirmedForIsBounded(t *testing.T) {
	for given, wanted := range map[time.Duration]time.Duration{
		0:           2500 * time.Millisecond,
		time.Second: time.Second,
		time.Minute: 2500 * time.Millisecond,
	} {
		fixture := &fixture{now: time.Unix(1000, 0), gateway: gateway.New(gateway.Settings{
			Self: membership.Member{
				Name:          "gateway-1",
				Kind:          membership.KindGateway,
				Address:       "10.0.0.1:1",
				ClientAddress: "10.0.0.1:8000",
				Zone:          "east",
				Incarnation:   1,
			},
			Agent:        "10.0.0.1:2",
			ConfirmedFor: given,
		})}
		var effects statemachine.Effects
		fixture.gateway.Start(fixture.now, &effects)
		fixture.advance(time.Millisecond)
		from := fixture.gateway.ViewClient().ConfirmedAt
		assert.Assert(t, fixture.gateway.Confirmed(from.Add(min(wanted, 1900*time.Millisecond))), "%s", given)
		assert.Assert(t, !fixture.gateway.Confirmed(from.Add(wanted+time.Millisecond)), "%s", given)
	}
}
