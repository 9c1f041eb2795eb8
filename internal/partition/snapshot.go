package partition

import (
	"time"

	"dahlialock/internal/logevent"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// A snapshot may be large, and the time until its response depends on the link. Each snapshot is
// therefore sent again only after a timeout, and only a few are in flight to one follower.
const (
	// maxSnapshotBytesInFlight limits the total size of the snapshots in flight to one follower.
	// It is less than what a link buffers for a peer that doesn't read. A single snapshot may be
	// larger.
	maxSnapshotBytesInFlight = 768 << 10
	// snapshotTimeout is how long the first snapshot may be unacknowledged before it counts as
	// lost. The timeout doubles with each retry, up to maxSnapshotTimeout.
	snapshotTimeout    = 3 * replicateInterval
	maxSnapshotTimeout = 8 * snapshotTimeout
)

// snapshotTransfer is the state of sending a snapshot of the log to a follower.
type snapshotTransfer struct {
	// needed is set from the follower's mismatch until its disk has synced a snapshot or the
	// snapshot counts as lost.
	needed bool
	// bytes, sentAt and timeout describe the snapshot in flight; bytes is 0 if there is none.
	bytes   int
	sentAt  time.Time
	timeout time.Duration
}

// timedOut reports whether the snapshot in flight counts as lost. A response to one snapshot
// restarts the timeouts of the others in flight to the follower (see handleSnapshotInstalled).
func (t *snapshotTransfer) timedOut(now time.Time) bool { return now.Sub(t.sentAt) >= t.timeout }

// requireSnapshot marks a follower as needing a snapshot, and sends it unless too many bytes are
// in flight. The follower may report several mismatches before the snapshot arrives.
func (s *Store) requireSnapshot(
	now time.Time, partition *replica, follower *followerProgress, effects *statemachine.Effects,
) {
	follower.snapshot.needed = true
	s.sendSnapshot(now, partition, follower, effects)
}

// sendSnapshot sends a follower the complete log, unless it is already in flight or too many
// bytes of other snapshots are.
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

// snapshotBytesInFlight returns the total size of the snapshots in flight to a follower, for all
// partitions.
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

// handleSnapshotInstalled handles a follower's acknowledgement of a snapshot. It shows that the
// follower's link makes progress, so the timeouts of its other snapshots are restarted, and the
// snapshots that waited are sent.
func (s *Store) handleSnapshotInstalled(now time.Time, installed *followerProgress, effects *statemachine.Effects) {
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

// sendSnapshots sends a follower the snapshots that it needs, up to maxSnapshotBytesInFlight.
func (s *Store) sendSnapshots(now time.Time, name string, effects *statemachine.Effects) {
	for _, partition := range statemachine.Sorted(s.replicas) {
		for _, follower := range partition.followers {
			if follower.name == name && follower.snapshot.needed && s.isLeader(partition) {
				s.sendSnapshot(now, partition, follower, effects)
			}
		}
	}
}
