// Snapshots of partitions: a follower whose log does not meet the first's is sent
// the whole. A whole is large, and its answer takes as long as the link does, so
// each is sent once until it is answered or must be taken for lost, and no more
// than a few are under way to one follower at a time.

package partition

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Bounds of snapshots under way.
const (
	// maxSnapshotBytesInFlight bounds what is under way to one follower, below what a link
	// keeps for a peer that does not read; one snapshot may be larger.
	maxSnapshotBytesInFlight = 768 << 10
	// snapshotTimeout is when the first snapshot without an answer is taken for lost;
	// each further one waits for twice as long, up to snapshotPatience.
	snapshotTimeout    = 3 * replicateInterval
	maxSnapshotTimeout = 8 * snapshotTimeout
)

// snapshotTransfer is the state of a follower's need for the whole of a partition.
type snapshotTransfer struct {
	// needed is set from the follower's word until its disk has the whole.
	needed bool
	// bytes and sentAt are of the one under way; there is none while size is 0.
	bytes   int
	sentAt  time.Time
	timeout time.Duration
}

// timedOut tells whether the snapshot under way must be taken for lost: a link
// carries what it is given in order, so the answer to another one counts as well.
func (s *snapshotTransfer) timedOut(now time.Time) bool { return now.Sub(s.sentAt) >= s.timeout }

// requireSnapshot notes that a follower needs the whole, and sends it when its turn
// has come. Its word may come again and again before the whole has arrived.
func (s *Store) requireSnapshot(now time.Time, partition *replica, copied *followerProgress, effects *statemachine.Effects) {
	copied.snapshot.needed = true
	s.sendSnapshot(now, partition, copied, effects)
}

// sendSnapshot sends a follower the whole, unless it is under way or others are.
func (s *Store) sendSnapshot(now time.Time, partition *replica, copied *followerProgress, effects *statemachine.Effects) {
	whole := &copied.snapshot
	if whole.bytes > 0 && !whole.timedOut(now) {
		return
	}
	if underWay := s.snapshotBytesInFlight(now, copied.name); underWay >= maxSnapshotBytesInFlight {
		return
	}
	state := transport.MustMarshal(partition.log)
	whole.bytes, whole.sentAt = len(state), now
	whole.timeout = min(max(2*whole.timeout, snapshotTimeout), maxSnapshotTimeout)
	copied.sentAt = now
	s.Counts.SnapshotsSent++
	effects.Emit(logevent.PartitionSnapshotSent, "partition", partition.log.Name, "epoch", partition.placement.Epoch, "bytes", whole.bytes)
	effects.Send(s.view.Members[copied.name].Address, InstallSnapshot{
		SentAt: now, Partition: partition.log.Name, Epoch: partition.placement.Epoch, Log: state,
	})
}

// snapshotBytesInFlight gives how many bytes of snapshots one follower did not answer.
func (s *Store) snapshotBytesInFlight(now time.Time, follower string) int {
	total := 0
	for _, partition := range s.replicas {
		for _, copied := range partition.followers {
			if copied.name == follower && !copied.snapshot.timedOut(now) {
				total += copied.snapshot.bytes
			}
		}
	}
	return total
}

// snapshotInstalled notes that a follower's disk has the whole, and that its link gets
// on, and sends it what waits for that.
func (s *Store) snapshotInstalled(now time.Time, taken *followerProgress, effects *statemachine.Effects) {
	if !taken.snapshot.needed {
		return
	}
	taken.snapshot = snapshotTransfer{}
	for _, partition := range s.replicas {
		for _, copied := range partition.followers {
			if copied.name == taken.name && !copied.snapshot.timedOut(now) {
				copied.snapshot.sentAt = now
			}
		}
	}
	s.sendSnapshots(now, taken.name, effects)
}

// sendSnapshots sends a follower the snapshots that it needs, as far as they may be
// under way.
func (s *Store) sendSnapshots(now time.Time, follower string, effects *statemachine.Effects) {
	for _, partition := range statemachine.Sorted(s.replicas) {
		for _, copied := range partition.followers {
			if copied.name == follower && copied.snapshot.needed && s.isLeader(partition) {
				s.sendSnapshot(now, partition, copied, effects)
			}
		}
	}
}
