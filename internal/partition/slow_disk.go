package partition

import (
	"time"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// A store measures the delay of its own disk and, from their acknowledgements, of its followers'
// disks. A disk that is far slower than the others, stalls or rejects writes is reported to the
// primary controller, which moves the store's partitions to other stores.
const (
	// diskStallTimeout is how long a write to the store's own disk may be unsynced before it is
	// reported.
	diskStallTimeout = 400 * time.Millisecond
	// followerAckTimeout is how long a replicate request may be unacknowledged before it is
	// reported, so that the controller checks whether the follower is reachable.
	followerAckTimeout = 250 * time.Millisecond
	// A disk is slow if its smoothed delay exceeds slowDiskMinDelay and is more than
	// slowDiskRatio times that of the fastest disk.
	slowDiskMinDelay = 60 * time.Millisecond
	slowDiskRatio    = 4
	// slowDiskReportInterval is the minimum time between two reports of the same store.
	slowDiskReportInterval = 300 * time.Millisecond
	// diskProbeInterval is how often a degraded store writes to its disk if there are no other
	// writes.
	diskProbeInterval = time.Second
	// maxCheckpointTime is how long a checkpoint may take before its time counts as a delay of
	// the disk.
	maxCheckpointTime = 2 * time.Second
)

// diskTimes holds the delays of disks as this store observes them.
type diskTimes struct {
	// own is the smoothed time of a write to this store's disk. followers holds the smoothed time
	// of writes of each store that this store replicates to as a leader, by that store's clock.
	own       time.Duration
	followers map[string]time.Duration
	// reportedAt is when each store was last reported.
	reportedAt map[string]time.Time
}

func newDiskTimes() diskTimes {
	return diskTimes{followers: map[string]time.Duration{}, reportedAt: map[string]time.Time{}}
}

// fastest returns the lowest known delay.
func (t *diskTimes) fastest() time.Duration {
	fastest := t.own
	for _, delay := range t.followers {
		fastest = min(fastest, delay)
	}
	return fastest
}

// smooth returns a moving average in which the latest delay has a weight of one eighth.
func smooth(delay, latest time.Duration) time.Duration { return delay + (latest-delay)/8 }

// recordDiskTime records how long a follower's disk took for the requests that it acknowledged,
// and removes these from the requests in flight. The follower measures the time, so the delay of
// the link is not included.
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

// pruneFollowerDelays removes the delays of stores that this store doesn't replicate to any more
// as a leader.
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

// reportSlowDisks reports the stores whose disks appear slow to this store.
func (s *Store) reportSlowDisks(now time.Time, effects *statemachine.Effects) {
	oldest := s.oldestInFlight(now)
	fastest := s.diskTimes.fastest()
	for name, delay := range statemachine.Sorted(s.diskTimes.followers) {
		observed := diskObservation{delay: delay, oldest: oldest[name], timeout: followerAckTimeout}
		s.reportIfSlow(now, name, observed, fastest, effects)
	}
	own := diskObservation{delay: s.diskTimes.own, oldest: s.oldestWriteAge(now), timeout: diskStallTimeout}
	if s.writes.unavailable {
		own.oldest = max(own.oldest, diskStallTimeout+1)
	}
	s.reportIfSlow(now, s.settings.Self.Name, own, fastest, effects)
}

// oldestInFlight returns, for each follower with requests in flight, the age of the oldest.
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

// diskObservation is what this store observes of one disk: the smoothed delay of writes, the age
// of the oldest unacknowledged write, and the age above which that is reported.
type diskObservation struct {
	delay   time.Duration
	oldest  time.Duration
	timeout time.Duration
}

// reportIfSlow reports a disk that is slow or stalled, at most once per slowDiskReportInterval.
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

// probeDisk writes a small entry while this store is degraded, since it then has no other writes
// that show whether its disk has recovered.
func (s *Store) probeDisk(now time.Time) {
	if !s.view.Members[s.settings.Self.Name].Degraded {
		return
	}
	s.timers.Arm(timerProbeDisk, now.Add(diskProbeInterval))
	if len(s.writes.pending) == 0 {
		s.logEntry(diskEntry{Disk: s.disk})
	}
}
