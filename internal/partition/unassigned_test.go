package partition

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

func TestUnassignedReplicaThatIsNamedAgainNeedsOnlyMissedRecords(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.publishAndDropOldest(0, 600)
	cluster.changePlacements(2, "store-2", "store-0", "store-2")
	cluster.publishAndDropOldest(600, 700)
	before := cluster.stores["store-0"].Counts
	cluster.changePlacements(3, "store-1", "store-0", "store-2")
	cluster.publishAndDropOldest(700, 800)
	after := cluster.stores["store-0"].Counts
	assert.Equal(t, cluster.caughtUp(), config.SharedPartitions)
	assert.Equal(t, after.SnapshotsSent-before.SnapshotsSent, uint64(0))
	// The 100 missed records may be sent twice, since the store reports the end of its log both
	// when it receives the placement and in response to a request. The 100 records after them are
	// sent once.
	replicated := after.ReplicatedRecords - before.ReplicatedRecords
	assert.Assert(t, replicated <= 300, "%d records", replicated)
}

func TestUnassignedReplicaIsDroppedInTheEnd(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.publishAndDropOldest(0, 300)
	cluster.changePlacements(2, "store-2", "store-0", "store-2")
	unassigned := cluster.stores["store-1"]
	assert.Equal(t, len(unassigned.replicas), config.SharedPartitions)
	cluster.now = cluster.now.Add(unassignedRetention + retentionInterval + time.Second)
	cluster.step("store-1", func(effects *statemachine.Effects) { unassigned.Tick(cluster.now, effects) })
	assert.Equal(t, len(unassigned.replicas), 0)
	cluster.deliverAll()
	cluster.changePlacements(3, "store-1", "store-0", "store-2")
	assert.Equal(t, cluster.caughtUp(), config.SharedPartitions)
}

func TestUnassignedReplicaThatDivergedIsReplaced(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.publishAndDropOldest(0, 300)
	cluster.changePlacements(2, "store-2", "store-0", "store-2")
	for _, partition := range statemachine.Sorted(cluster.stores["store-1"].replicas) {
		// A record of the earlier epoch that no other store has and that was never accepted.
		lastOffset, epoch := partition.log.end()
		partition.log.append(Record{
			Offset:     lastOffset + 1,
			Epoch:      epoch,
			Topic:      "stray",
			Sender:     "stray",
			Seq:        1,
			AppendedAt: cluster.now,
		})
	}
	cluster.publishAndDropOldest(300, 500)
	cluster.changePlacements(3, "store-1", "store-0", "store-2")
	cluster.publishAndDropOldest(500, 600)
	assert.Equal(t, cluster.caughtUp(), config.SharedPartitions)
	for name, partition := range statemachine.Sorted(cluster.stores["store-1"].replicas) {
		for _, record := range partition.log.Records {
			assert.Assert(t, record.Topic != "stray", name)
		}
		followerEnd, _ := partition.log.end()
		leaderEnd, _ := cluster.stores["store-0"].replicas[name].log.end()
		assert.Equal(t, followerEnd, leaderEnd, name)
	}
}
