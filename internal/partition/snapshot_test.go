package partition

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// thinLink carries a machine's messages a few bytes at a time.
type thinLink struct {
	waiting []carried
	perStep int
	spare   int
	lost    int
	most    int
}

// hold keeps what goes to the thin link's end.
func (l *thinLink) hold(item carried) {
	if l.lost > 0 {
		l.lost--
		return
	}
	l.waiting = append(l.waiting, item)
	held := 0
	for _, waiting := range l.waiting {
		held += len(waiting.frame)
	}
	l.most = max(l.most, held)
}

// pass gives what came through in one step.
func (l *thinLink) pass() []carried {
	l.spare += l.perStep
	count := 0
	for count < len(l.waiting) && len(l.waiting[count].frame) <= l.spare {
		l.spare -= len(l.waiting[count].frame)
		count++
	}
	if count == len(l.waiting) {
		l.spare = 0
	}
	passed := l.waiting[:count]
	l.waiting = l.waiting[count:]
	return passed
}

// replaceFollower names a store that has nothing as the follower of everything.
func (b *bench) replaceFollower(t *testing.T, link *thinLink) {
	t.Helper()
	fresh := membership.Member{Name: "store-fresh", Kind: membership.KindStore, Address: "store-fresh", Disk: "disk", Alive: true}
	first := b.machines["store-0"]
	news := membership.ViewUpdate{Nonce: 1, Epoch: 1, Primary: "controller", Index: 2, Version: 1, Changed: true, Document: first.view.Document}
	news.Members = []membership.Member{first.settings.Self, fresh}
	for number := range config.SharedPartitions {
		news.Placements = append(news.Placements, membership.Placement{
			Partition: config.SharedPartitionName(number), Epoch: 2, Leader: "store-0",
			Followers: []string{fresh.Name}, InSync: []string{first.replicaID()},
		})
	}
	machine, err := New(Settings{Self: fresh, Seeds: []string{"controller"}, NewDisk: "disk"}, nil, nil)
	assert.NilError(t, err)
	b.machines[fresh.Name] = machine
	b.thin = map[string]*thinLink{fresh.Name: link}
	b.step(fresh.Name, func(effects *statemachine.Effects) { machine.Start(b.now, effects) })
	b.step(fresh.Name, func(effects *statemachine.Effects) { machine.Tick(b.now, effects) })
	for _, name := range []string{fresh.Name, "store-0"} {
		b.step(name, func(effects *statemachine.Effects) {
			b.machines[name].HandleMessage(b.now, statemachine.Meta{From: "controller"}, news, effects)
		})
	}
	b.settle()
}

// copied tells how many partitions the fresh store has as far as the first.
func (b *bench) copiedWhole() int {
	count := 0
	for _, partition := range b.machines["store-0"].replicas {
		if b.machines["store-0"].caughtUp(partition) {
			count++
		}
	}
	return count
}

// catchUp publishes on while a fresh follower is brought up over a thin link, and
// gives how long that took.
func (b *bench) catchUp(t *testing.T, link *thinLink, most time.Duration) time.Duration {
	t.Helper()
	for seq := range uint64(1000) {
		b.publish(seq, 1)
	}
	for _, partition := range statemachine.Sorted(b.machines["store-0"].replicas) {
		// Whoever has nothing needs the whole, since the oldest record is gone.
		partition.log.dropOldest(b.now, 1)
	}
	b.replaceFollower(t, link)
	began := b.now
	for seq := uint64(1000); b.copiedWhole() < config.SharedPartitions; seq++ {
		b.publish(seq, 1)
		for _, item := range link.pass() {
			b.frames = append(b.frames, [2]any{item.to, item})
			b.arrived = true
			b.settle()
		}
		assert.Assert(t, b.now.Sub(began) < most, "%d of %d copied after %s", b.copiedWhole(), config.SharedPartitions, most)
	}
	return b.now.Sub(began)
}

func TestAFollowerIsSentEachPartitionOnce(t *testing.T) {
	run, link := newBench(t, 2), &thinLink{perStep: 1 << 10}
	took := run.catchUp(t, link, 5*time.Second)
	frames := run.machines["store-0"].Counts.SnapshotsSent
	assert.Equal(t, frames, uint64(config.SharedPartitions), fmt.Sprint("after ", took))
	assert.Assert(t, link.most <= maxSnapshotBytesInFlight+64<<10, "%d bytes waited for the link", link.most)
}

func TestAPartitionThatWasLostOnItsWayIsSentAgain(t *testing.T) {
	run, link := newBench(t, 2), &thinLink{perStep: 64 << 10, lost: 3 * config.SharedPartitions / 2}
	run.catchUp(t, link, 5*time.Second)
	frames := run.machines["store-0"].Counts.SnapshotsSent
	assert.Assert(t, frames >= config.SharedPartitions && frames <= 3*config.SharedPartitions, "%d", frames)
}
