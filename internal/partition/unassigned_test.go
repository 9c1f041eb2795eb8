package partition

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// placeAnew tells all stores of a next epoch, in which store-0 is first and one
// other follows.
func (b *bench) placeAnew(index uint64, follower string, safe ...string) {
	first := b.machines["store-0"]
	news := membership.ViewUpdate{Nonce: 1, Epoch: 1, Primary: "controller", Index: index, Version: 1, Changed: true, Document: first.view.Document}
	for _, machine := range statemachine.Sorted(b.machines) {
		news.Members = append(news.Members, machine.settings.Self)
	}
	for number := range config.SharedPartitions {
		place := membership.Placement{Partition: config.SharedPartitionName(number), Epoch: index, Leader: "store-0", Followers: []string{follower}}
		for _, name := range safe {
			place.InSync = append(place.InSync, b.machines[name].replicaID())
		}
		news.Placements = append(news.Placements, place)
	}
	for name, machine := range statemachine.Sorted(b.machines) {
		b.step(name, func(effects *statemachine.Effects) {
			machine.HandleMessage(b.now, statemachine.Meta{From: "controller"}, news, effects)
		})
	}
	b.settle()
}

// publishAndCut publishes, and has the first forget its oldest record, so that
// whoever has nothing needs the whole.
func (b *bench) publishAndCut(from, until uint64) {
	for seq := from; seq < until; seq++ {
		b.publish(seq, 1)
	}
	for _, partition := range statemachine.Sorted(b.machines["store-0"].replicas) {
		if len(partition.log.Records) > 1 {
			partition.log.dropOldest(b.now, 1)
		}
	}
}

func TestAStoreThatIsNamedAgainNeedsOnlyWhatCameMeanwhile(t *testing.T) {
	run := newBench(t, 3)
	run.publishAndCut(0, 600)
	run.placeAnew(2, "store-2", "store-0", "store-2")
	run.publishAndCut(600, 700)
	before := run.machines["store-0"].Counts
	run.placeAnew(3, "store-1", "store-0", "store-2")
	run.publishAndCut(700, 800)
	after := run.machines["store-0"].Counts
	assert.Equal(t, run.copiedWhole(), config.SharedPartitions)
	assert.Equal(t, after.SnapshotsSent-before.SnapshotsSent, uint64(0))
	// The hundred that came meanwhile may go twice, since the store tells where it
	// stands on its own and when it is asked; the hundred after them go once.
	assert.Assert(t, after.ReplicatedRecords-before.ReplicatedRecords <= 300, "%d records", after.ReplicatedRecords-before.ReplicatedRecords)
}

func TestASpareLogIsDroppedInTheEnd(t *testing.T) {
	run := newBench(t, 3)
	run.publishAndCut(0, 300)
	run.placeAnew(2, "store-2", "store-0", "store-2")
	spare := run.machines["store-1"]
	assert.Equal(t, len(spare.replicas), config.SharedPartitions)
	run.now = run.now.Add(unassignedRetention + retentionInterval + time.Second)
	run.step("store-1", func(effects *statemachine.Effects) { spare.Tick(run.now, effects) })
	assert.Equal(t, len(spare.replicas), 0)
	run.settle()
	run.placeAnew(3, "store-1", "store-0", "store-2")
	assert.Equal(t, run.copiedWhole(), config.SharedPartitions)
}

func TestASpareLogThatWentAnotherWayIsNotGoneOnWith(t *testing.T) {
	run := newBench(t, 3)
	run.publishAndCut(0, 300)
	run.placeAnew(2, "store-2", "store-0", "store-2")
	for _, partition := range statemachine.Sorted(run.machines["store-1"].replicas) {
		// A record of the earlier epoch that nobody else has, and that was never accepted.
		head, epoch := partition.log.end()
		partition.log.append(Record{Offset: head + 1, Epoch: epoch, Topic: "stray", Sender: "stray", Seq: 1, AppendedAt: run.now})
	}
	run.publishAndCut(300, 500)
	run.placeAnew(3, "store-1", "store-0", "store-2")
	run.publishAndCut(500, 600)
	assert.Equal(t, run.copiedWhole(), config.SharedPartitions)
	for name, partition := range statemachine.Sorted(run.machines["store-1"].replicas) {
		theirs := run.machines["store-0"].replicas[name].log
		for _, record := range partition.log.Records {
			assert.Assert(t, record.Topic != "stray", name)
		}
		here, _ := partition.log.end()
		there, _ := theirs.end()
		assert.Equal(t, here, there, name)
	}
}
