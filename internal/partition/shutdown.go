package partition

import (
	"slices"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// defaultShutdownGrace is how long a daemon that was asked to stop may keep running if
	// ShutdownGrace is zero.
	defaultShutdownGrace = 6 * time.Second
	// drainInterval is how often a store that is shutting down requests to be drained.
	drainInterval = 100 * time.Millisecond
)

// beginShutdown starts a graceful shutdown. The machine and its disk may be lost once the store
// has stopped. The store therefore first has the primary controller move its partitions to other
// stores, as it does for a slow disk, and stops once its disk isn't needed any more or the
// deadline has passed.
func (s *Store) beginShutdown(now time.Time, effects *statemachine.Effects) {
	if s.stopping {
		return
	}
	s.stopping = true
	grace := s.settings.ShutdownGrace
	if grace == 0 {
		grace = defaultShutdownGrace
	}
	// A quarter of the grace period is left for the daemon to exit.
	s.stopDeadline = now.Add(grace * 3 / 4)
	s.drain(now, effects)
}

// drain requests again that the store's partitions be moved, or stops the store.
func (s *Store) drain(now time.Time, effects *statemachine.Effects) {
	if !now.Before(s.stopDeadline) || !s.isNeeded() || statemachine.Mutated("store-ends-at-once") {
		s.finishShutdown(effects)
		return
	}
	s.timers.Arm(timerDrain, now.Add(drainInterval))
	effects.Send(s.view.Upstream(), membership.SlowDiskReport{
		Reporter:    s.settings.Self.Name,
		Name:        s.settings.Self.Name,
		Incarnation: s.settings.Self.Incarnation,
		Measured:    true,
	})
}

// isNeeded reports whether a placement of the newest view still needs this store's disk.
func (s *Store) isNeeded() bool {
	for _, placement := range s.view.Placements {
		inSync := slices.Contains(placement.InSync, s.replicaID())
		if placement.HasReplica(s.settings.Self.Name) || !placement.Complete && inSync {
			return true
		}
	}
	return false
}

// finishShutdown notifies the controllers that the store is leaving, and stops it.
func (s *Store) finishShutdown(effects *statemachine.Effects) {
	for _, member := range statemachine.Sorted(s.view.Members) {
		if member.Kind == membership.KindController {
			effects.Send(member.Address, membership.GracefulLeave{
				Name:        s.settings.Self.Name,
				Incarnation: s.settings.Self.Incarnation,
			})
		}
	}
	effects.Stop = true
}
