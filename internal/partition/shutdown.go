package partition

import (
	"slices"
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	// defaultShutdownGrace is for how long a daemon that was asked to stop is left running if
	// the settings don't say.
	defaultShutdownGrace = 6 * time.Second
	// drainInterval is how often a store that shuts down asks to be drained.
	drainInterval = 100 * time.Millisecond
)

// beginShutdown begins a graceful shutdown. The machine, and its disk with it, may be lost
// once the store has stopped. So the store first has the primary controller move its
// partitions elsewhere, as those of a slow disk, and stops once nothing on its disk is needed
// or its time is up.
func (s *Store) beginShutdown(now time.Time, effects *statemachine.Effects) {
	if s.stopping {
		return
	}
	s.stopping = true
	grace := s.settings.ShutdownGrace
	if grace == 0 {
		grace = defaultShutdownGrace
	}
	// A quarter of the grace is left for the daemon to end.
	s.stopDeadline = now.Add(grace * 3 / 4)
	s.drain(now, effects)
}

// drain asks again for the store's partitions to be moved, or stops it.
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

// isNeeded tells whether a placement of the newest view still needs this store's disk.
func (s *Store) isNeeded() bool {
	for _, placement := range s.view.Placements {
		inSync := slices.Contains(placement.InSync, s.replicaID())
		if placement.HasReplica(s.settings.Self.Name) || !placement.Complete && inSync {
			return true
		}
	}
	return false
}

// finishShutdown takes leave of the controllers and stops.
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
