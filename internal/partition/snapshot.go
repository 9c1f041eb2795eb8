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
	// snapshotBytes bounds what is under way to one follower, below what a link
	// keeps for a peer that does not read; one snapshot may be larger.
	snapshotBytes = 768 << 10
	// snapshotLost is when the first snapshot without an answer is taken for lost;
	// each further one waits for twice as long, up to snapshotPatience.
	snapshotLost     = 3 * copyEvery
	snapshotPatience = 8 * snapshotLost
)

// snapshot is the state of a follower's need for the whole of a partition.
type snapshot struct {
	// needed is set from the follower's word until its disk has the whole.
	needed bool
	// size and sentAt are of the one under way; there is none while size is 0.
	size   int
	sentAt time.Time
	wait   time.Duration
}

// expired tells whether the snapshot under way must be taken for lost: a link
// carries what it is given in order, so the answer to another one counts as well.
func (s *snapshot) expired(now time.Time) bool { return now.Sub(s.sentAt) >= s.wait }

// needSnapshot notes that a follower needs the whole, and sends it when its turn
// has come. Its word may come again and again before the whole has arrived.
func (s *Store) needSnapshot(now time.Time, partition *held, copied *copied, effects *statemachine.Effects) {
	copied.whole.needed = true
	s.sendSnapshot(now, partition, copied, effects)
}

// sendSnapshot sends a follower the whole, unless it is under way or others are.
func (s *Store) sendSnapshot(now time.Time, partition *held, copied *copied, effects *statemachine.Effects) {
	whole := &copied.whole
	if whole.size > 0 && !whole.expired(now) {
		return
	}
	if underWay := s.snapshotsUnderWay(now, copied.name); underWay >= snapshotBytes {
		return
	}
	state := transport.MustMarshal(partition.log)
	whole.size, whole.sentAt = len(state), now
	whole.wait = min(max(2*whole.wait, snapshotLost), snapshotPatience)
	copied.sentAt = now
	s.Counts.Frames++
	effects.Emit(logevent.PartitionSnapshotSent, "partition", partition.log.Name, "epoch", partition.place.Epoch, "bytes", whole.size)
	effects.Send(s.follower.Members[copied.name].Address, InstallSnapshot{
		SentAt: now, Partition: partition.log.Name, Epoch: partition.place.Epoch, Log: state,
	})
}

// snapshotsUnderWay gives how many bytes of snapshots one follower did not answer.
func (s *Store) snapshotsUnderWay(now time.Time, follower string) int {
	total := 0
	for _, partition := range s.partitions {
		for _, copied := range partition.copies {
			if copied.name == follower && !copied.whole.expired(now) {
				total += copied.whole.size
			}
		}
	}
	return total
}

// snapshotTaken notes that a follower's disk has the whole, and that its link gets
// on, and sends it what waits for that.
func (s *Store) snapshotTaken(now time.Time, taken *copied, effects *statemachine.Effects) {
	if !taken.whole.needed {
		return
	}
	taken.whole = snapshot{}
	for _, partition := range s.partitions {
		for _, copied := range partition.copies {
			if copied.name == taken.name && !copied.whole.expired(now) {
				copied.whole.sentAt = now
			}
		}
	}
	s.sendSnapshots(now, taken.name, effects)
}

// sendSnapshots sends a follower the snapshots that it needs, as far as they may be
// under way.
func (s *Store) sendSnapshots(now time.Time, follower string, effects *statemachine.Effects) {
	for _, partition := range statemachine.Sorted(s.partitions) {
		for _, copied := range partition.copies {
			if copied.name == follower && copied.whole.needed && s.isFirst(partition) {
				s.sendSnapshot(now, partition, copied, effects)
			}
		}
	}
}
