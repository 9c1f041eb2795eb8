package partition

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// A store observes its own disk and, by their acknowledgements, those of its followers. One
// that is far slower than the others, hangs or takes no writes is reported to the primary
// controller, which moves its partitions to other stores.
const (
	// diskStallTimeout is when a write to the own disk that isn't synced is reported.
	diskStallTimeout = 400 * time.Millisecond
	// followerDoubtTimeout is when a replicate request without acknowledgement is reported, for
	// the controller to check whether the follower is there.
	followerDoubtTimeout = 250 * time.Millisecond
	// A disk is slow if its smoothed delay exceeds slowDiskMinDelay, and slowDiskRatio times
	// that of the fastest.
	slowDiskMinDelay = 60 * time.Millisecond
	slowDiskRatio    = 4
	// slowDiskReportInterval is the least time between two reports of one store.
	slowDiskReportInterval = 300 * time.Millisecond
	// diskProbeInterval is how often a degraded store writes if it has nothing else to write.
	diskProbeInterval = time.Second
	// maxCheckpointTime is how long a checkpoint may take before the disk counts as slow.
	maxCheckpointTime = 2 * time.Second
)

// diskTimes are the delays of disks as this store observes them.
type diskTimes struct {
	// own is the smoothed time of a write to this store's disk, and followers that of each
	// store which a leader here replicates to, by its own clock.
	own       time.Duration
	followers map[string]time.Duration
	// reportedAt is when a store was last reported.
	reportedAt map[string]time.Time
}

func newDiskTimes() diskTimes {
	return diskTimes{followers: map[string]time.Duration{}, reportedAt: map[string]time.Time{}}
}

// fastest is the least delay that is known.
func (t *diskTimes) fastest() time.Duration {
	fastest := t.own
	for _, delay := range t.followers {
		fastest = min(fastest, delay)
	}
	return fastest
}

// smooth gives a new delay a weight of one eighth.
func smooth(delay, latest time.Duration) time.Duration { return delay + (latest-delay)/8 }

// recordDiskTime records how long a follower's disk took for the requests that it acknowledged,
// and takes these out of those in flight. The follower measures the time, so that the link
// between doesn't count.
func (s *Store) recordDiskTime(follower *followerProgress, diskTime time.Duration) {
	count := 0
	for count < len(follower.inFlight) && follower.inFlight[count].lastOffset <= follower.acknowledged {
		count++
	}
	if count > 0 {
		s.diskTimes.followers[follower.name] = smooth(s.diskTimes.followers[follower.name], diskTime)
	}
	follower.inFlight = append(follower.inFlight[:0], follower.inFlight[count:]...)
}

// pruneFollowerDelays drops the delays of stores that no leader here replicates to any more.
func (s *Store) pruneFollowerDelays() {
	replicating := map[string]bool{}
	for _, partition := range s.replicas {
		for _, follower := range partition.followers {
			replicating[follower.name] = replicating[follower.name] || s.isLeader(partition)
		}
	}
	for name := range s.diskTimes.followers {
		if !replicating[name] {
			delete(s.diskTimes.followers, name)
		}
	}
}

// reportSlowDisks reports the stores whose disks are slow by what is observed here.
func (s *Store) reportSlowDisks(now time.Time, effects *statemachine.Effects) {
	oldest := s.oldestInFlight(now)
	fastest := s.diskTimes.fastest()
	for name, delay := range statemachine.Sorted(s.diskTimes.followers) {
		observed := diskObservation{delay: delay, oldest: oldest[name], timeout: followerDoubtTimeout}
		s.reportIfSlow(now, name, observed, fastest, effects)
	}
	own := diskObservation{delay: s.diskTimes.own, oldest: s.oldestWriteAge(now), timeout: diskStallTimeout}
	if s.writes.unavailable {
		own.oldest = max(own.oldest, diskStallTimeout+1)
	}
	s.reportIfSlow(now, s.settings.Self.Name, own, fastest, effects)
}

// oldestInFlight gives, for each follower with requests in flight, the age of the oldest.
func (s *Store) oldestInFlight(now time.Time) map[string]time.Duration {
	oldest := map[string]time.Duration{}
	for _, partition := range s.replicas {
		for _, follower := range partition.followers {
			if s.isLeader(partition) && len(follower.inFlight) > 0 {
				oldest[follower.name] = max(oldest[follower.name], now.Sub(follower.inFlight[0].sentAt))
			}
		}
	}
	return oldest
}

// diskObservation is what is observed of one disk: the smoothed delay of writes, the age of
// the oldest without acknowledgement, and above which age that is reported.
type diskObservation struct {
	delay   time.Duration
	oldest  time.Duration
	timeout time.Duration
}

func (s *Store) reportIfSlow(
	now time.Time, name string, observed diskObservation, fastest time.Duration, effects *statemachine.Effects,
) {
	slow := observed.delay > slowDiskMinDelay && observed.delay > slowDiskRatio*fastest
	if !slow && observed.oldest <= observed.timeout {
		return
	}
	member, found := s.view.Members[name]
	if !found || !member.Alive || now.Sub(s.diskTimes.reportedAt[name]) < slowDiskReportInterval {
		return
	}
	s.diskTimes.reportedAt[name] = now
	effects.Send(s.view.Upstream(), membership.SlowDiskReport{
		Reporter:    s.settings.Self.Name,
		Name:        name,
		Incarnation: member.Incarnation,
		Delay:       max(observed.delay, observed.oldest),
		Measured:    slow || name == s.settings.Self.Name,
	})
}

// probeDisk writes a little while this store counts as degraded, since it has no other writes
// then that show whether its disk is well again.
func (s *Store) probeDisk(now time.Time) {
	if !s.view.Members[s.settings.Self.Name].Degraded {
		return
	}
	s.timers.Arm(timerProbeDisk, now.Add(diskProbeInterval))
	if len(s.writes.pending) == 0 {
		s.logEntry(diskEntry{Disk: s.disk})
	}
}
