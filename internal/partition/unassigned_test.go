package partition

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

func TestUnassignedReplicaThatIsNamedAgainNeedsOnlyMissedRecords(t *testing.T) {
	run := newCluster(t, 3)
	run.publishAndDropOldest(0, 600)
	run.changePlacements(2, "store-2", "store-0", "store-2")
	run.publishAndDropOldest(600, 700)
	before := run.stores["store-0"].Counts
	run.changePlacements(3, "store-1", "store-0", "store-2")
	run.publishAndDropOldest(700, 800)
	after := run.stores["store-0"].Counts
	assert.Equal(t, run.caughtUp(), config.SharedPartitions)
	assert.Equal(t, after.SnapshotsSent-before.SnapshotsSent, uint64(0))
	// The 100 missed records may be sent twice, since the store reports the end of its log both
	// unasked and in response to a request; the 100 records after them are sent once.
	replicated := after.ReplicatedRecords - before.ReplicatedRecords
	assert.Assert(t, replicated <= 300, "%d records", replicated)
}

func TestUnassignedReplicaIsDroppedInTheEnd(t *testing.T) {
	run := newCluster(t, 3)
	run.publishAndDropOldest(0, 300)
	run.changePlacements(2, "store-2", "store-0", "store-2")
	unassigned := run.stores["store-1"]
	assert.Equal(t, len(unassigned.replicas), config.SharedPartitions)
	run.now = run.now.Add(unassignedRetention + retentionInterval + time.Second)
	run.step("store-1", func(effects *statemachine.Effects) { unassigned.Tick(run.now, effects) })
	assert.Equal(t, len(unassigned.replicas), 0)
	run.deliverAll()
	run.changePlacements(3, "store-1", "store-0", "store-2")
	assert.Equal(t, run.caughtUp(), config.SharedPartitions)
}

func TestUnassignedReplicaThatDivergedIsReplaced(t *testing.T) {
	run := newCluster(t, 3)
	run.publishAndDropOldest(0, 300)
	run.changePlacements(2, "store-2", "store-0", "store-2")
	for _, partition := range statemachine.Sorted(run.stores["store-1"].replicas) {
		// A record of the earlier epoch that no other store has and that was never accepted.
		lastOffset, epoch := partition.log.end()
		partition.log.append(Record{
			Offset:     lastOffset + 1,
			Epoch:      epoch,
			Topic:      "stray",
			Sender:     "stray",
			Seq:        1,
			AppendedAt: run.now,
		})
	}
	run.publishAndDropOldest(300, 500)
	run.changePlacements(3, "store-1", "store-0", "store-2")
	run.publishAndDropOldest(500, 600)
	assert.Equal(t, run.caughtUp(), config.SharedPartitions)
	for name, partition := range statemachine.Sorted(run.stores["store-1"].replicas) {
		for _, record := range partition.log.Records {
			assert.Assert(t, record.Topic != "stray", name)
		}
		followerEnd, _ := partition.log.end()
		leaderEnd, _ := run.stores["store-0"].replicas[name].log.end()
		assert.Equal(t, followerEnd, leaderEnd, name)
	}
}
