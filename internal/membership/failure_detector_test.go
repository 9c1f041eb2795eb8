// A watcher tells of a silent store sooner than of anybody else, and of nobody
// while it was silent itself.
package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// watching is a pulse that watches one member of a kind, and when it first told.
func watching(kind string) (*FailureDetector, time.Time) {
	now := time.Unix(1000, 0)
	self := Member{Name: "gateway-1", Kind: KindGateway, Address: "a:1", Zone: "east", Alive: true, Incarnation: 1}
	pulse := NewFailureDetector(self)
	pulse.Start(now)
	pulse.SetView(now, map[string]Member{
		self.Name:      self,
		"other":        {Name: "other", Kind: kind, Address: "b:1", Zone: "west", Alive: true, Incarnation: 1},
		"controller-1": {Name: "controller-1", Kind: KindController, Address: "c:1", Zone: "west", Alive: true, Incarnation: 1},
	}, "c:1", 1)
	return pulse, now
}

// told runs the pulse's own steps until it tells of the other, or a limit.
func told(pulse *FailureDetector, from time.Time, limit time.Duration, hear func(now time.Time)) time.Duration {
	for now := pulse.NextTick(); now.Sub(from) <= limit; now = pulse.NextTick() {
		hear(now)
		var effects statemachine.Effects
		pulse.Tick(now, &effects)
		for _, send := range effects.Sends {
			if suspicion, matches := send.Message.(Suspicion); matches && suspicion.Silent[0].Name == "other" {
				return now.Sub(from)
			}
		}
	}
	return 0
}

func TestASilentStoreIsNoticedSooner(t *testing.T) {
	for kind, span := range map[string][2]time.Duration{
		KindStore:   {StoreSuspectTimeout, StoreSuspectTimeout + 2*StoreHeartbeatInterval},
		KindGateway: {SuspectTimeout, SuspectTimeout + 2*HeartbeatInterval},
	} {
		pulse, now := watching(kind)
		pulse.ReceiveHeartbeat(now, Heartbeat{Name: "controller-1"})
		after := told(pulse, now, 5*time.Second, func(now time.Time) { pulse.ReceiveHeartbeat(now, Heartbeat{Name: "controller-1"}) })
		assert.Assert(t, after > span[0] && after <= span[1], "%s: %s", kind, after)
	}
}

func TestABeatingStoreIsNotSuspected(t *testing.T) {
	pulse, now := watching(KindStore)
	after := told(pulse, now, 10*time.Second, func(now time.Time) {
		pulse.ReceiveHeartbeat(now, Heartbeat{Name: "controller-1"})
		pulse.ReceiveHeartbeat(now, Heartbeat{Name: "other"})
	})
	assert.Equal(t, after, time.Duration(0))
}

func TestAWatcherThatWasStalledBlamesNobody(t *testing.T) {
	pulse, now := watching(KindStore)
	var effects statemachine.Effects
	pulse.Tick(now, &effects)
	for stall := StoreHeartbeatInterval + StoreSuspectTimeout/3 + time.Millisecond; stall < 3*time.Second; stall += 100 * time.Millisecond {
		now = now.Add(stall)
		effects = statemachine.Effects{}
		pulse.Tick(now, &effects)
		for _, send := range effects.Sends {
			_, blames := send.Message.(Suspicion)
			assert.Assert(t, !blames, "after a stall of %s", stall)
		}
	}
}

func TestAStoreBeatsOftener(t *testing.T) {
	for kind, wanted := range map[string]int{KindStore: 10, KindGateway: 4} {
		now := time.Unix(1000, 0)
		pulse := NewFailureDetector(Member{Name: "self", Kind: kind, Address: "a:1", Zone: "east", Alive: true})
		pulse.Start(now)
		pulse.SetView(now, map[string]Member{"self": pulse.self, "controller-1": {Name: "controller-1", Kind: KindController, Address: "c:1", Zone: "west", Alive: true}}, "c:1", 1)
		beats := 0
		for due := pulse.NextTick(); due.Sub(now) < 2*time.Second; due = pulse.NextTick() {
			var effects statemachine.Effects
			pulse.Tick(due, &effects)
			for _, send := range effects.Sends {
				if _, matches := send.Message.(Heartbeat); matches {
					beats++
				}
			}
		}
		assert.Equal(t, beats, wanted, kind)
	}
}
