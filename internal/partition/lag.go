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
	stalledAfter = 400 * time.Millisecond
	doubtAfter   = 250 * time.Millisecond
	slowFrom     = 60 * time.Millisecond
	slowTimes    = 4
	probeEvery   = time.Second
	lagEvery     = 300 * time.Millisecond
	// checkpointMost is how long a checkpoint may take before the disk counts as slow.
	checkpointMost = 2 * time.Second
)

// smooth lets a new delay count an eighth.
func smooth(delay, latest time.Duration) time.Duration { return delay + (latest-delay)/8 }

// landed notes how long a follower's disk took, by its own clock, so that the
// link between does not count.
func (s *Store) landed(copied *copied, took time.Duration) {
	count := 0
	for count < len(copied.flights) && copied.flights[count].until <= copied.acked {
		count++
	}
	if count > 0 {
		s.delays[copied.name] = smooth(s.delays[copied.name], took)
	}
	copied.flights = append(copied.flights[:0], copied.flights[count:]...)
}

// forgetDelays drops what was seen of stores that nothing is copied to any more.
func (s *Store) forgetDelays() {
	copying := map[string]bool{}
	for _, partition := range s.partitions {
		for _, copied := range partition.copies {
			copying[copied.name] = copying[copied.name] || s.isFirst(partition)
		}
	}
	for name := range s.delays {
		if !copying[name] {
			delete(s.delays, name)
		}
	}
}

// tellLagging reports the stores whose disks are slow by what is seen here.
func (s *Store) tellLagging(now time.Time, effects *statemachine.Effects) {
	oldest := map[string]time.Duration{}
	for _, partition := range s.partitions {
		for _, copied := range partition.copies {
			if s.isFirst(partition) && len(copied.flights) > 0 {
				oldest[copied.name] = max(oldest[copied.name], now.Sub(copied.flights[0].at))
			}
		}
	}
	fastest := s.ownDelay
	for _, delay := range s.delays {
		fastest = min(fastest, delay)
	}
	for name, delay := range statemachine.Sorted(s.delays) {
		s.tellIfSlow(now, name, delay, oldest[name], doubtAfter, fastest, effects)
	}
	owed := s.oldestWrite(now)
	if s.refused {
		owed = max(owed, stalledAfter+1)
	}
	s.tellIfSlow(now, s.settings.Self.Name, s.ownDelay, owed, stalledAfter, fastest, effects)
}

func (s *Store) tellIfSlow(now time.Time, name string, delay, oldest, limit, fastest time.Duration, effects *statemachine.Effects) {
	slow := delay > slowFrom && delay > slowTimes*fastest
	member, found := s.follower.Members[name]
	if !found || !member.Alive || !slow && oldest <= limit || now.Sub(s.lagTold[name]) < lagEvery {
		return
	}
	s.lagTold[name] = now
	effects.Send(s.follower.Upstream(), membership.SlowDiskReport{
		Reporter: s.settings.Self.Name, Name: name, Incarnation: member.Incarnation, Delay: max(delay, oldest),
		Measured: slow || name == s.settings.Self.Name,
	})
}
