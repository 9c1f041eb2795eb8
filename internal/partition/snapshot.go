package partition

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// A snapshot may be large, and its response takes as long as the link does. So each is sent
// once until there is a response or it must be taken for lost, and only a few are in flight
// to one follower.
const (
	// maxSnapshotBytesInFlight bounds the snapshots in flight to one follower, below what a
	// link buffers for a peer that doesn't read; a single snapshot may be larger.
	maxSnapshotBytesInFlight = 768 << 10
	// snapshotTimeout is when the first snapshot without a response is taken for lost. It
	// doubles with each further one, up to maxSnapshotTimeout.
	snapshotTimeout    = 3 * replicateInterval
	maxSnapshotTimeout = 8 * snapshotTimeout
)

// snapshotTransfer is the state of a follower's need for a snapshot of the log.
type snapshotTransfer struct {
	// needed is set from the follower's mismatch until its disk holds a snapshot.
	needed bool
	// bytes, sentAt and timeout are of the snapshot in flight; bytes is 0 if there is none.
	bytes   int
	sentAt  time.Time
	timeout time.Duration
}

// timedOut tells whether the snapshot in flight must be taken for lost. A response to one
// snapshot restarts the time of the others in flight to the follower, see snapshotInstalled.
func (t *snapshotTransfer) timedOut(now time.Time) bool { return now.Sub(t.sentAt) >= t.timeout }

// requireSnapshot notes that a follower needs a snapshot, and sends it when its turn comes.
// The follower may ask several times before the snapshot has arrived.
func (s *Store) requireSnapshot(
	now time.Time, partition *replica, follower *followerProgress, effects *statemachine.Effects,
) {
	follower.snapshot.needed = true
	s.sendSnapshot(now, partition, follower, effects)
}

// sendSnapshot sends a follower the complete log, unless it or too much else is in flight.
func (s *Store) sendSnapshot(
	now time.Time, partition *replica, follower *followerProgress, effects *statemachine.Effects,
) {
	transfer := &follower.snapshot
	if transfer.bytes > 0 && !transfer.timedOut(now) {
		return
	}
	if s.snapshotBytesInFlight(now, follower.name) >= maxSnapshotBytesInFlight {
		return
	}
	packed := transport.MustMarshal(partition.log)
	transfer.bytes = len(packed)
	transfer.sentAt = now
	transfer.timeout = min(max(2*transfer.timeout, snapshotTimeout), maxSnapshotTimeout)
	follower.sentAt = now
	s.Counts.SnapshotsSent++
	effects.Emit(logevent.PartitionSnapshotSent,
		"partition", partition.log.Name,
		"epoch", partition.placement.Epoch,
		"bytes", transfer.bytes,
	)
	effects.Send(s.view.Members[follower.name].Address, InstallSnapshot{
		SentAt:    now,
		Partition: partition.log.Name,
		Epoch:     partition.placement.Epoch,
		Log:       packed,
	})
}

// snapshotBytesInFlight is the size of the snapshots, of all partitions, to which a follower
// has not responded.
func (s *Store) snapshotBytesInFlight(now time.Time, name string) int {
	total := 0
	for _, partition := range s.replicas {
		for _, follower := range partition.followers {
			if follower.name == name && !follower.snapshot.timedOut(now) {
				total += follower.snapshot.bytes
			}
		}
	}
	return total
}

// snapshotInstalled notes that a follower's disk holds the log, which also says that its link
// makes progress, and sends the snapshots that waited for that.
func (s *Store) snapshotInstalled(now time.Time, installed *followerProgress, effects *statemachine.Effects) {
	if !installed.snapshot.needed {
		return
	}
	installed.snapshot = snapshotTransfer{}
	for _, partition := range s.replicas {
		for _, follower := range partition.followers {
			if follower.name == installed.name && !follower.snapshot.timedOut(now) {
				follower.snapshot.sentAt = now
			}
		}
	}
	s.sendSnapshots(now, installed.name, effects)
}

// sendSnapshots sends a follower the snapshots that it needs, as far as they may be in flight.
func (s *Store) sendSnapshots(now time.Time, name string, effects *statemachine.Effects) {
	for _, partition := range statemachine.Sorted(s.replicas) {
		for _, follower := range partition.followers {
			if follower.name == name && follower.snapshot.needed && s.isLeader(partition) {
				s.sendSnapshot(now, partition, follower, effects)
			}
		}
	}
}
