package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// newWatchingDetector returns a detector that watches one member of the given kind, named
// "other", and the time at which the detector was started.
func newWatchingDetector(kind string) (*FailureDetector, time.Time) {
	now := time.Unix(1000, 0)
	self := Member{Name: "gateway-1", Kind: KindGateway, Address: "a:1", Zone: "east", Alive: true, Incarnation: 1}
	controller := Member{
		Name: "controller-1", Kind: KindController, Address: "c:1", Zone: "west", Alive: true, Incarnation: 1,
	}
	detector := NewFailureDetector(self)
	detector.Start(now)
	detector.SetView(now, map[string]Member{
		self.Name:       self,
		"other":         {Name: "other", Kind: kind, Address: "b:1", Zone: "west", Alive: true, Incarnation: 1},
		controller.Name: controller,
	}, 1)
	return detector, now
}

// suspectedAfter ticks the detector until it reports the member "other", and returns how long
// that took, or zero if it takes longer than the timeout. It calls receive before each tick.
func suspectedAfter(
	detector *FailureDetector,
	from time.Time,
	timeout time.Duration,
	receive func(now time.Time),
) time.Duration {
	for now := detector.NextTick(); now.Sub(from) <= timeout; now = detector.NextTick() {
		receive(now)
		var effects statemachine.Effects
		detector.Tick(now, &effects)
		for _, send := range effects.Sends {
			if suspicion, matches := send.Message.(Suspicion); matches && suspicion.Silent[0].Name == "other" {
				return now.Sub(from)
			}
		}
	}
	return 0
}

func TestFailureDetectorSuspectsSilentStoreSooner(t *testing.T) {
	for kind, span := range map[string][2]time.Duration{
		KindStore:   {StoreSuspectTimeout, StoreSuspectTimeout + 2*StoreHeartbeatInterval},
		KindGateway: {SuspectTimeout, SuspectTimeout + 2*HeartbeatInterval},
	} {
		detector, now := newWatchingDetector(kind)
		detector.ReceiveHeartbeat(now, Heartbeat{Name: "controller-1"})
		after := suspectedAfter(detector, now, 5*time.Second, func(now time.Time) {
			detector.ReceiveHeartbeat(now, Heartbeat{Name: "controller-1"})
		})
		assert.Assert(t, after > span[0] && after <= span[1], "%s: %s", kind, after)
	}
}

func TestFailureDetectorTrustsStoreThatSendsHeartbeats(t *testing.T) {
	detector, now := newWatchingDetector(KindStore)
	after := suspectedAfter(detector, now, 10*time.Second, func(now time.Time) {
		detector.ReceiveHeartbeat(now, Heartbeat{Name: "controller-1"})
		detector.ReceiveHeartbeat(now, Heartbeat{Name: "other"})
	})
	assert.Equal(t, after, time.Duration(0))
}

func TestFailureDetectorSuspectsNobodyAfterOwnPause(t *testing.T) {
	detector, now := newWatchingDetector(KindStore)
	var effects statemachine.Effects
	detector.Tick(now, &effects)
	shortest := StoreHeartbeatInterval + StoreSuspectTimeout/3 + time.Millisecond
	for pause := shortest; pause < 3*time.Second; pause += 100 * time.Millisecond {
		now = now.Add(pause)
		effects = statemachine.Effects{}
		detector.Tick(now, &effects)
		for _, send := range effects.Sends {
			_, isSuspicion := send.Message.(Suspicion)
			assert.Assert(t, !isSuspicion, "after a pause of %s", pause)
		}
	}
}

func TestFailureDetectorOfStoreSendsHeartbeatsMoreOften(t *testing.T) {
	for kind, wanted := range map[string]int{KindStore: 10, KindGateway: 4} {
		now := time.Unix(1000, 0)
		detector := NewFailureDetector(Member{Name: "self", Kind: kind, Address: "a:1", Zone: "east", Alive: true})
		detector.Start(now)
		detector.SetView(now, map[string]Member{
			"self":         detector.self,
			"controller-1": {Name: "controller-1", Kind: KindController, Address: "c:1", Zone: "west", Alive: true},
		}, 1)
		heartbeats := 0
		for due := detector.NextTick(); due.Sub(now) < 2*time.Second; due = detector.NextTick() {
			var effects statemachine.Effects
			detector.Tick(due, &effects)
			for _, send := range effects.Sends {
				if _, matches := send.Message.(Heartbeat); matches {
					heartbeats++
				}
			}
		}
		assert.Equal(t, heartbeats, wanted, kind)
	}
}
