package consensus

// Tests of a primary that receives no messages while the others receive its messages. It must
// let another controller take over, and must continue as the primary if none can.

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockInboundOfPrimary blocks all messages to the primary and returns how long it takes until
// another controller serves. The old primary then receives messages again and must learn the
// new epoch.
func blockInboundOfPrimary(t trial, seed uint64, tolerance int) time.Duration {
	t.Helper()
	cluster := stableCluster(t, seed, tolerance)
	primary := cluster.named(cluster.serving().node.Record().Primary)
	primary.inboundBlocked = true
	cluster.run(2 * time.Second)
	took := cluster.until(6*time.Second, "another controller serves", func() bool {
		return cluster.serving() != nil && cluster.serving() != primary
	})
	cluster.submit(4 * time.Second)
	primary.inboundBlocked = false
	cluster.until(8*time.Second, "the old primary learns the new epoch", func() bool {
		return primary.node.Record().Epoch == cluster.serving().node.Record().Epoch
	})
	cluster.submit(4 * time.Second)
	return took
}

func TestPrimaryWithoutInboundMessagesIsReplaced(t *testing.T) {
	for tolerance := 1; tolerance <= 2; tolerance++ {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(tolerance, "-", seed), func(t *testing.T) {
				t.Parallel()
				blockInboundOfPrimary(t, seed, tolerance)
			})
		}
	}
}

// TestPrimaryWithoutInboundMessagesResumesWithoutBackups stops all backups for longer than the
// primary pauses its lease renewals. The primary must not wait for a takeover, since no backup
// is left that could take over.
func TestPrimaryWithoutInboundMessagesResumesWithoutBackups(t *testing.T) {
	for seed := range uint64(8) {
		cluster := stableCluster(t, seed, 1)
		record := cluster.serving().node.Record()
		primary, backup := cluster.named(record.Primary), cluster.named(record.Backups[0])
		backup.kill()
		primary.inboundBlocked = true
		cluster.run(20 * time.Second)
		primary.inboundBlocked = false
		took := cluster.until(8*time.Second, "the primary serves again", func() bool { return cluster.serving() == primary })
		assert.Check(t, took < 6*time.Second, "seed %d: %s", seed, took)
		backup.start()
		cluster.submit(8 * time.Second)
	}
}
