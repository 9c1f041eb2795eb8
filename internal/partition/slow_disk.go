// What a store observes of disks, its own and those of the copies that it sends:
// one that is far slower than the others, hangs or refuses is told to the
// primary, which gives its partitions to others.

package partition

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Spans by which a disk is told to be slow. A copy that is not answered for
// doubtAfter is told too, for the primary to look whether the store is there.
const (
	diskStallTimeout       = 400 * time.Millisecond
	followerDoubtTimeout   = 250 * time.Millisecond
	slowDiskMinDelay       = 60 * time.Millisecond
	slowDiskRatio          = 4
	diskProbeInterval      = time.Second
	slowDiskReportInterval = 300 * time.Millisecond
	// maxCheckpointTime is how long a checkpoint may take before the disk counts as slow.
	maxCheckpointTime = 2 * time.Second
)

// probeDisk writes a little while this store is taken for degraded, and so has no
// other writes to tell by whether its disk is well again.
func (s *Store) probeDisk(now time.Time) {
	if !s.view.Members[s.settings.Self.Name].Degraded {
		return
	}
	s.timers.Arm("probe", now.Add(diskProbeInterval))
	if len(s.pendingWrites) == 0 {
		s.logEntry(diskEntry{Disk: s.disk}, nil)
	}
}

// smooth lets a new delay count an eighth.
func smooth(delay, latest time.Duration) time.Duration { return delay + (latest-delay)/8 }

// recordDiskTime notes how long a follower's disk took, by its own clock, so that the
// link between does not count.
func (s *Store) recordDiskTime(copied *followerProgress, took time.Duration) {
	count := 0
	for count < len(copied.inFlight) && copied.inFlight[count].lastOffset <= copied.acknowledged {
		count++
	}
	if count > 0 {
		s.followerDelays[copied.name] = smooth(s.followerDelays[copied.name], took)
	}
	copied.inFlight = append(copied.inFlight[:0], copied.inFlight[count:]...)
}

// pruneDelays drops what was seen of stores that nothing is copied to any more.
func (s *Store) pruneDelays() {
	copying := map[string]bool{}
	for _, partition := range s.replicas {
		for _, copied := range partition.followers {
			copying[copied.name] = copying[copied.name] || s.isLeader(partition)
		}
	}
	for name := range s.followerDelays {
		if !copying[name] {
			delete(s.followerDelays, name)
		}
	}
}

// reportSlowDisks reports the stores whose disks are slow by what is seen here.
func (s *Store) reportSlowDisks(now time.Time, effects *statemachine.Effects) {
	oldest := map[string]time.Duration{}
	for _, partition := range s.replicas {
		for _, copied := range partition.followers {
			if s.isLeader(partition) && len(copied.inFlight) > 0 {
				oldest[copied.name] = max(oldest[copied.name], now.Sub(copied.inFlight[0].sentAt))
			}
		}
	}
	fastest := s.diskDelay
	for _, delay := range s.followerDelays {
		fastest = min(fastest, delay)
	}
	for name, delay := range statemachine.Sorted(s.followerDelays) {
		s.reportIfSlow(now, name, delay, oldest[name], followerDoubtTimeout, fastest, effects)
	}
	owed := s.oldestPendingWrite(now)
	if s.diskUnavailable {
		owed = max(owed, diskStallTimeout+1)
	}
	s.reportIfSlow(now, s.settings.Self.Name, s.diskDelay, owed, diskStallTimeout, fastest, effects)
}

func (s *Store) reportIfSlow(now time.Time, name string, delay, oldest, limit, fastest time.Duration, effects *statemachine.Effects) {
	slow := delay > slowDiskMinDelay && delay > slowDiskRatio*fastest
	member, found := s.view.Members[name]
	if !found || !member.Alive || !slow && oldest <= limit || now.Sub(s.slowDiskReportedAt[name]) < slowDiskReportInterval {
		return
	}
	s.slowDiskReportedAt[name] = now
	effects.Send(s.view.Upstream(), membership.SlowDiskReport{
		Reporter: s.settings.Self.Name, Name: name, Incarnation: member.Incarnation, Delay: max(delay, oldest),
		Sure: slow || name == s.settings.Self.Name,
	})
}
