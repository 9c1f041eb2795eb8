// A watcher tells of a silent keeper sooner than of anybody else, and of nobody
// while it was silent itself.
package beacon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/helm"
)

// watching is a pulse that watches one member of a kind, and when it first told.
func watching(kind string) (*Pulse, time.Time) {
	now := time.Unix(1000, 0)
	self := Member{Name: "lantern-1", Kind: KindLantern, Address: "a:1", Locality: "east", Alive: true, Incarnation: 1}
	pulse := NewPulse(self)
	pulse.Start(now)
	pulse.Take(now, map[string]Member{
		self.Name: self,
		"other":   {Name: "other", Kind: kind, Address: "b:1", Locality: "west", Alive: true, Incarnation: 1},
		"pilot-1": {Name: "pilot-1", Kind: KindPilot, Address: "c:1", Locality: "west", Alive: true, Incarnation: 1},
	}, "c:1", 1)
	return pulse, now
}

// told runs the pulse's own steps until it tells of the other, or a limit.
func told(pulse *Pulse, from time.Time, limit time.Duration, hear func(now time.Time)) time.Duration {
	for now := pulse.NextDue(); now.Sub(from) <= limit; now = pulse.NextDue() {
		hear(now)
		var effects helm.Effects
		pulse.Due(now, &effects)
		for _, send := range effects.Sends {
			if suspicion, matches := send.Message.(Suspicion); matches && suspicion.Silent[0].Name == "other" {
				return now.Sub(from)
			}
		}
	}
	return 0
}

func TestASilentKeeperIsNoticedSooner(t *testing.T) {
	for kind, span := range map[string][2]time.Duration{
		KindKeeper:  {KeeperSilent, KeeperSilent + 2*KeeperBeat},
		KindLantern: {SilentAfter, SilentAfter + 2*BeatEvery},
	} {
		pulse, now := watching(kind)
		pulse.Beat(now, Heartbeat{Name: "pilot-1"})
		after := told(pulse, now, 5*time.Second, func(now time.Time) { pulse.Beat(now, Heartbeat{Name: "pilot-1"}) })
		assert.Assert(t, after > span[0] && after <= span[1], "%s: %s", kind, after)
	}
}

func TestABeatingKeeperIsNotSuspected(t *testing.T) {
	pulse, now := watching(KindKeeper)
	after := told(pulse, now, 10*time.Second, func(now time.Time) {
		pulse.Beat(now, Heartbeat{Name: "pilot-1"})
		pulse.Beat(now, Heartbeat{Name: "other"})
	})
	assert.Equal(t, after, time.Duration(0))
}

func TestAWatcherThatWasStalledBlamesNobody(t *testing.T) {
	pulse, now := watching(KindKeeper)
	var effects helm.Effects
	pulse.Due(now, &effects)
	for stall := KeeperBeat + KeeperSilent/3 + time.Millisecond; stall < 3*time.Second; stall += 100 * time.Millisecond {
		now = now.Add(stall)
		effects = helm.Effects{}
		pulse.Due(now, &effects)
		for _, send := range effects.Sends {
			_, blames := send.Message.(Suspicion)
			assert.Assert(t, !blames, "after a stall of %s", stall)
		}
	}
}

func TestAKeeperBeatsOftener(t *testing.T) {
	for kind, wanted := range map[string]int{KindKeeper: 10, KindLantern: 4} {
		now := time.Unix(1000, 0)
		pulse := NewPulse(Member{Name: "self", Kind: kind, Address: "a:1", Locality: "east", Alive: true})
		pulse.Start(now)
		pulse.Take(now, map[string]Member{"self": pulse.self, "pilot-1": {Name: "pilot-1", Kind: KindPilot, Address: "c:1", Locality: "west", Alive: true}}, "c:1", 1)
		beats := 0
		for due := pulse.NextDue(); due.Sub(now) < 2*time.Second; due = pulse.NextDue() {
			var effects helm.Effects
			pulse.Due(due, &effects)
			for _, send := range effects.Sends {
				if _, matches := send.Message.(Heartbeat); matches {
					beats++
				}
			}
		}
		assert.Equal(t, beats, wanted, kind)
	}
}
