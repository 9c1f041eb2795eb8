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
	cluster := newCluster(t, 3)
	cluster.publishAndDropOldest(0, 600)
	cluster.changePlacements(2, "store-2", "store-0", "store-2")
	cluster.publishAndDropOldest(600, 700)
	before := cluster.stores["store-0"].Counts.SnapshotsSent
	cluster.changePlacements(3, "store-1", "store-0", "store-2")
	assert.Equal(t, cluster.stores["store-0"].Counts.SnapshotsSent-before, uint64(config.SharedPartitions))
}
