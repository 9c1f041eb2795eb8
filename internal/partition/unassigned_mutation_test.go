//go:build mutation

package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// Without unassigned replicas, a store that is assigned its partitions again needs a snapshot of
// every one.
func TestUnassignedReplicaIsNeeded(t *testing.T) {
	defer statemachine.Mutate("no-spare-logs")()
	run := newCluster(t, 3)
	run.publishAndDropOldest(0, 600)
	run.changePlacements(2, "store-2", "store-0", "store-2")
	run.publishAndDropOldest(600, 700)
	before := run.stores["store-0"].Counts.SnapshotsSent
	run.changePlacements(3, "store-1", "store-0", "store-2")
	assert.Equal(t, run.stores["store-0"].Counts.SnapshotsSent-before, uint64(config.SharedPartitions))
}
