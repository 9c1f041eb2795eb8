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

const (
	// defaultGrace is how long a daemon that was asked to end is let run if nobody says.
	defaultGrace  = 6 * time.Second
	drainInterval = 100 * time.Millisecond
)

// beginShutdown asks the primary to empty this store.
func (s *Store) beginShutdown(now time.Time, effects *statemachine.Effects) {
	if s.stopping {
		return
	}
	s.stopping = true
	grace := s.settings.ShutdownGrace
	if grace == 0 {
		grace = defaultGrace
	}
	// A quarter of the grace is left for the end itself.
	s.stopDeadline = now.Add(grace * 3 / 4)
	s.drain(now, effects)
}

// drain asks again and again, and ends the store once it may go.
func (s *Store) drain(now time.Time, effects *statemachine.Effects) {
	if !now.Before(s.stopDeadline) || !s.isNeeded() || statemachine.Mutated("store-ends-at-once") {
		s.finishShutdown(effects)
		return
	}
	s.timers.Arm("leave", now.Add(drainInterval))
	effects.Send(s.view.Upstream(), membership.SlowDiskReport{
		Reporter: s.settings.Self.Name, Name: s.settings.Self.Name, Incarnation: s.settings.Self.Incarnation, Sure: true,
	})
}

// isNeeded tells whether a partition still needs this store, by the newest view.
func (s *Store) isNeeded() bool {
	self := s.settings.Self
	self.Disk = s.disk
	for _, place := range s.view.Placements {
		if place.HasReplica(self.Name) || !place.Complete && slices.Contains(place.InSync, self.ReplicaID()) {
			return true
		}
	}
	return false
}

func (s *Store) finishShutdown(effects *statemachine.Effects) {
	for _, member := range statemachine.Sorted(s.view.Members) {
		if member.Kind == membership.KindController {
			effects.Send(member.Address, membership.GracefulLeave{Name: s.settings.Self.Name, Incarnation: s.settings.Self.Incarnation})
		}
	}
	effects.Stop = true
}
