package tender_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/helm"
	"dahlialock/internal/tender"
)

const lantern = "10.0.0.1:1"

func started(at time.Time) *tender.Tender {
	made := tender.New(tender.Props{Self: beacon.Member{Name: "tender-1", Kind: beacon.KindTender}, Seeds: []string{"10.0.0.9:1"}, Lantern: lantern})
	var effects helm.Effects
	made.Start(at, &effects)
	return made
}

func stop(made *tender.Tender, at time.Time) bool {
	var effects helm.Effects
	made.Command(at, tender.Stop{}, &effects)
	return effects.Stop
}

func TestATenderWithoutALanternStopsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Assert(t, stop(started(now), now))
}

func TestATenderOutlivesItsLantern(t *testing.T) {
	now := time.Unix(1000, 0)
	made := started(now)
	var effects helm.Effects
	made.Message(now, helm.Meta{From: lantern}, beacon.Ask{Nonce: 1}, &effects)
	now = now.Add(time.Second)
	assert.Assert(t, !stop(made, now))
	// Someone else's farewell means nothing.
	effects = helm.Effects{}
	made.Message(now, helm.Meta{From: "10.0.0.5:1"}, beacon.Farewell{Name: "other"}, &effects)
	assert.Assert(t, !effects.Stop)
	made.Message(now, helm.Meta{From: lantern}, beacon.Farewell{Name: "lantern-1"}, &effects)
	assert.Assert(t, effects.Stop)
}

func TestATenderDoesNotWaitForEver(t *testing.T) {
	now := time.Unix(1000, 0)
	made := started(now)
	var effects helm.Effects
	made.Message(now, helm.Meta{From: lantern}, beacon.Ask{Nonce: 1}, &effects)
	assert.Assert(t, !stop(made, now))
	for until := now.Add(4 * time.Second); !effects.Stop && !now.After(until); now = now.Add(100 * time.Millisecond) {
		made.Due(now, &effects)
	}
	assert.Assert(t, effects.Stop)
}
