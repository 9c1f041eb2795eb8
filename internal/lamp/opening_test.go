package lamp_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
)

// begun is a lantern that has no news yet.
func begun() *harbour {
	harbour := &harbour{now: time.Unix(1000, 0), lantern: lamp.New(lamp.Props{
		Self:   beacon.Member{Name: "lantern-1", Kind: beacon.KindLantern, Address: "10.0.0.1:1", Caller: "10.0.0.1:8000", Locality: "east", Incarnation: 1},
		Tender: "10.0.0.1:2",
	})}
	var effects helm.Effects
	harbour.lantern.Start(harbour.now, &effects)
	return harbour
}

func TestACallerRightAfterAStartWaitsForTheFirstNews(t *testing.T) {
	harbour := begun()
	assert.Equal(t, len(harbour.greet(t, 1, "u1").Returns), 0)
	harbour.pass(300 * time.Millisecond)
	assert.Equal(t, harbour.lantern.Version(), uint64(1))
	assert.Equal(t, outcome(t, harbour.heard).Outcome, lamp.OutcomeAccepted)
}

func TestACallerIsRefusedOnceTheLookIsOver(t *testing.T) {
	harbour := begun()
	// No news ever: nothing answers what the lantern asks.
	assert.Equal(t, len(harbour.greet(t, 1, "u1").Returns), 0)
	var refused helm.Effects
	from := harbour.now
	for len(refused.Returns) == 0 && harbour.now.Sub(from) < 5*time.Second {
		harbour.now = harbour.lantern.NextDue()
		harbour.lantern.Due(harbour.now, &refused)
	}
	answer := outcome(t, refused)
	assert.Equal(t, answer.Outcome, lamp.OutcomeRefused)
	assert.Assert(t, answer.RetryAfter > 0)
	assert.Assert(t, harbour.now.Sub(from) <= 600*time.Millisecond, "after %s", harbour.now.Sub(from))
}

func TestALanternServesNoLongerUnconfirmedThanItsBoundsAllow(t *testing.T) {
	for given, wanted := range map[time.Duration]time.Duration{0: 2500 * time.Millisecond, time.Second: time.Second, time.Minute: 2500 * time.Millisecond} {
		harbour := &harbour{now: time.Unix(1000, 0), lantern: lamp.New(lamp.Props{
			Self:   beacon.Member{Name: "lantern-1", Kind: beacon.KindLantern, Address: "10.0.0.1:1", Caller: "10.0.0.1:8000", Locality: "east", Incarnation: 1},
			Tender: "10.0.0.1:2", ConfirmedFor: given,
		})}
		var effects helm.Effects
		harbour.lantern.Start(harbour.now, &effects)
		harbour.pass(time.Millisecond)
		from := harbour.lantern.Follower().Confirmed
		assert.Assert(t, harbour.lantern.Confirmed(from.Add(min(wanted, 1900*time.Millisecond))), "%s", given)
		assert.Assert(t, !harbour.lantern.Confirmed(from.Add(wanted+time.Millisecond)), "%s", given)
	}
}
