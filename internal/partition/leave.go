// Ending in good order: a store that is asked to end may lose its machine with it,
// so it has its partitions given to others first, as one whose disk lags does, and ends
// once nothing of its disk is needed, or when its time is up.

package partition

import (
	"slices"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Stop asks the store to end in good order.
type Stop struct{}

const (
	// defaultGrace is how long a daemon that was asked to end is let run if nobody says.
	defaultGrace = 6 * time.Second
	leaveEvery   = 100 * time.Millisecond
)

// beginStop asks the primary to empty this store.
func (s *Store) beginStop(now time.Time, effects *statemachine.Effects) {
	if s.stopping {
		return
	}
	s.stopping = true
	grace := s.settings.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	// A quarter of the grace is left for the end itself.
	s.stopBy = now.Add(grace * 3 / 4)
	s.leave(now, effects)
}

// leave asks again and again, and ends the store once it may go.
func (s *Store) leave(now time.Time, effects *statemachine.Effects) {
	if !now.Before(s.stopBy) || !s.needed() || statemachine.Mutated("store-ends-at-once") {
		s.endStop(effects)
		return
	}
	s.timers.Arm("leave", now.Add(leaveEvery))
	effects.Send(s.follower.Upstream(), membership.SlowDiskReport{
		Reporter: s.settings.Self.Name, Name: s.settings.Self.Name, Incarnation: s.settings.Self.Incarnation, Measured: true,
	})
}

// needed tells whether a partition still needs this store, by the newest view.
func (s *Store) needed() bool {
	self := s.settings.Self
	self.Disk = s.disk
	for _, place := range s.follower.Placements {
		if place.HasReplica(self.Name) || !place.Complete && slices.Contains(place.InSync, self.ReplicaID()) {
			return true
		}
	}
	return false
}

func (s *Store) endStop(effects *statemachine.Effects) {
	for _, member := range statemachine.Sorted(s.follower.Members) {
		if member.Kind == membership.KindController {
			effects.Send(member.Address, membership.GracefulLeave{Name: s.settings.Self.Name, Incarnation: s.settings.Self.Incarnation})
		}
	}
	effects.Stop = true
}
