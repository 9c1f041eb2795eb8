// What a keeper observes of disks, its own and those of the copies that it sends:
// one that is far slower than the others, hangs or refuses is told to the
// primary, which gives its strands to others.
package strand

import (
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/helm"
)

// Spans by which a disk is told to be slow. A copy that is not answered for
// doubtAfter is told too, for the primary to look whether the keeper is there.
const (
	stalledAfter = 400 * time.Millisecond
	doubtAfter   = 250 * time.Millisecond
	slowFrom     = 60 * time.Millisecond
	slowTimes    = 4
	probeEvery   = time.Second
	lagEvery     = 300 * time.Millisecond
)

// smooth lets a new delay count an eighth.
func smooth(delay, latest time.Duration) time.Duration { return delay + (latest-delay)/8 }

// landed notes how long an understudy's disk took, by its own clock, so that the
// link between does not count.
func (keeper *Keeper) landed(copied *copied, took time.Duration) {
	count := 0
	for count < len(copied.flights) && copied.flights[count].until <= copied.acked {
		count++
	}
	if count > 0 {
		keeper.delays[copied.name] = smooth(keeper.delays[copied.name], took)
	}
	copied.flights = append(copied.flights[:0], copied.flights[count:]...)
}

// forgetDelays drops what was seen of keepers that nothing is copied to any more.
func (keeper *Keeper) forgetDelays() {
	copying := map[string]bool{}
	for _, strand := range keeper.strands {
		for _, copied := range strand.copies {
			copying[copied.name] = copying[copied.name] || keeper.isFirst(strand)
		}
	}
	for name := range keeper.delays {
		if !copying[name] {
			delete(keeper.delays, name)
		}
	}
}

// tellLagging reports the keepers whose disks are slow by what is seen here.
func (keeper *Keeper) tellLagging(now time.Time, effects *helm.Effects) {
	oldest := map[string]time.Duration{}
	for _, strand := range keeper.strands {
		for _, copied := range strand.copies {
			if keeper.isFirst(strand) && len(copied.flights) > 0 {
				oldest[copied.name] = max(oldest[copied.name], now.Sub(copied.flights[0].at))
			}
		}
	}
	fastest := keeper.ownDelay
	for _, delay := range keeper.delays {
		fastest = min(fastest, delay)
	}
	for name, delay := range helm.Sorted(keeper.delays) {
		keeper.tellIfSlow(now, name, delay, oldest[name], doubtAfter, fastest, effects)
	}
	owed := keeper.oldestWrite(now)
	if keeper.refused {
		owed = max(owed, stalledAfter+1)
	}
	keeper.tellIfSlow(now, keeper.props.Self.Name, keeper.ownDelay, owed, stalledAfter, fastest, effects)
}

func (keeper *Keeper) tellIfSlow(now time.Time, name string, delay, oldest, limit, fastest time.Duration, effects *helm.Effects) {
	slow := delay > slowFrom && delay > slowTimes*fastest
	member, found := keeper.follower.Members[name]
	if !found || !member.Alive || !slow && oldest <= limit || now.Sub(keeper.lagTold[name]) < lagEvery {
		return
	}
	keeper.lagTold[name] = now
	effects.Send(keeper.follower.Upstream(), beacon.Lagging{
		Reporter: keeper.props.Self.Name, Name: name, Incarnation: member.Incarnation, Delay: max(delay, oldest),
		Sure: slow || name == keeper.props.Self.Name,
	})
}
