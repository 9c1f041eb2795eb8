package consensus

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestSeedsBootstrapClusterAndVotersGrow(t *testing.T) {
	for _, each := range []struct{ controllers, seeds, tolerance, voters int }{
		{3, 3, 1, 3}, {5, 3, 1, 3}, {9, 3, 2, 5}, {9, 3, 3, 7}, {3, 2, 1, 3}, {2, 2, 1, 2}, {5, 1, 1, 3}, {4, 1, 2, 4},
	} {
		t.Run(fmt.Sprint(each), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				cluster := newCluster(t, seed, each.controllers, each.seeds, each.tolerance)
				cluster.startAll()
				cluster.after(time.Second, cluster.generateLoad)
				first := cluster.until(8*time.Second, "a controller serves", func() bool { return cluster.serving() != nil })
				complete := cluster.until(12*time.Second, "all voters take part", func() bool {
					return cluster.hasVoters(each.voters)
				})
				t.Logf("seed %d: served after %s, all voters %s later", seed, first, complete)
				cluster.until(10*time.Second, "the voters are spread over the zones", func() bool {
					zones := map[string]int{}
					for _, controller := range cluster.controllers[0].node.Record().Voters {
						zones[controller.Zone]++
					}
					return slices.Max(slices.Collect(maps.Values(zones))) <= (each.voters+2)/3
				})
				cluster.run(10 * time.Second)
				assert.Assert(t, len(cluster.committed) > 10)
				for _, controller := range cluster.controllers {
					assert.Assert(t, !controller.node.Blank(), "%s is blank", controller.self.Name)
				}
			}
		})
	}
}

// TestFounderWithLostDiskDoesNotBootstrap wipes a founder's disk at different times during and
// after the bootstrap, and restarts the founder with and without Bootstrap. The founder must
// learn the existing cluster from the others instead of bootstrapping a second one.
func TestFounderWithLostDiskDoesNotBootstrap(t *testing.T) {
	for _, bootstrap := range []bool{false, true} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprint(bootstrap, seed), func(t *testing.T) {
				t.Parallel()
				wipeFounder(t, seed, bootstrap)
			})
		}
	}
}

func wipeFounder(t trial, seed uint64, bootstrap bool) {
	t.Helper()
	cluster := newCluster(t, seed, 5, 3, 1)
	cluster.startAll()
	cluster.after(time.Second, cluster.generateLoad)
	cluster.run(time.Duration(300+seed*60) * time.Millisecond)
	lost := cluster.controllers[seed%3]
	lost.wipe()
	lost.bootstrap = bootstrap
	if seed%2 == 0 {
		// The founder is partitioned from the others for four seconds.
		lost.partitioned = true
		cluster.after(4*time.Second, func() { lost.partitioned = false })
	}
	cluster.after(time.Duration(cluster.random.IntN(1500))*time.Millisecond, lost.start)
	cluster.run(8 * time.Second)
	cluster.until(12*time.Second, "all voters take part", func() bool { return cluster.hasVoters(3) })
	before := len(cluster.committed)
	cluster.run(5 * time.Second)
	assert.Assert(t, len(cluster.committed) > before+5)
	assert.Equal(t, len(cluster.bootstrapped), 1)
}

// TestRestartedFoundersBootstrap restarts the founders without Bootstrap while they bootstrap the
// cluster. They must still complete the bootstrap.
func TestRestartedFoundersBootstrap(t *testing.T) {
	for seed := range uint64(12) {
		cluster := newCluster(t, seed, 4, 3, 1)
		for number, controller := range cluster.controllers {
			cluster.after(time.Duration(number)*100*time.Millisecond, controller.start)
		}
		cluster.run(time.Duration(100+40*seed) * time.Millisecond)
		for _, controller := range cluster.controllers {
			controller.kill()
			controller.bootstrap = false
			cluster.after(time.Second, controller.start)
		}
		cluster.until(8*time.Second, "a controller serves", func() bool { return cluster.serving() != nil })
	}
}

// TestOnlyFoundersBootstrap sets Bootstrap only on controllers that are not seeds. No cluster may
// be bootstrapped.
func TestOnlyFoundersBootstrap(t *testing.T) {
	cluster := newCluster(t, 1, 5, 3, 1)
	for number, controller := range cluster.controllers {
		controller.bootstrap = number > 2
		controller.start()
	}
	cluster.run(20 * time.Second)
	assert.Equal(t, len(cluster.bootstrapped), 0)
	for _, controller := range cluster.controllers {
		assert.Assert(t, controller.node.Blank())
	}
}

// TestLostControllerIsReplaced replaces a machine with an empty one at another address, which must
// become a voter within newMachineDelay.
func TestLostControllerIsReplaced(t *testing.T) {
	for seed := range uint64(12) {
		for _, role := range []string{"primary", "backup", "witness"} {
			replaceLostController(t, seed, role)
		}
	}
}

func replaceLostController(t trial, seed uint64, role string) {
	t.Helper()
	cluster := newCluster(t, seed, 3, 3, 1)
	cluster.startAll()
	cluster.after(time.Second, cluster.generateLoad)
	cluster.until(5*time.Second, "a controller serves", func() bool { return cluster.serving() != nil })
	cluster.run(3 * time.Second)
	record := cluster.serving().node.Record()
	lost := cluster.named(record.Primary)
	switch role {
	case "backup":
		lost = cluster.named(record.Backups[0])
	case "witness":
		for _, controller := range cluster.controllers {
			if controller.self.Name != record.Primary && !slices.Contains(record.Backups, controller.self.Name) {
				lost = controller
			}
		}
	}
	lost.wipe()
	lost.removed = true
	name := lost.self.Name
	if seed%2 == 0 {
		name += "-again"
	}
	cluster.run(time.Duration(cluster.random.IntN(3000)) / 3 * time.Millisecond)
	replacement := cluster.add(name, lost.self.Address+"-anew", lost.self.Zone)
	replacement.start()
	took := cluster.until(8*time.Second, "the replacement is a voter", func() bool { return cluster.hasVoters(3) })
	t.Logf("seed %d, %s: %s", seed, role, took)
	assert.Assert(t, took < newMachineDelay, "seed %d, %s: %s", seed, role, took)
	assert.Assert(t, slices.Contains(voterNames(cluster.serving().node.Record()), name))
	before := len(cluster.committed)
	cluster.run(10 * time.Second)
	assert.Assert(t, len(cluster.committed) > before+25)
}

// TestNodeKeepsInvariantsUnderVoterChanges injects all faults at random into clusters that are
// bootstrapped by seeds, with three and five voters, learners, lost disks and replaced machines.
func TestNodeKeepsInvariantsUnderVoterChanges(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			allFaults(t, seed)
		})
	}
}

func allFaults(t trial, seed uint64) {
	t.Helper()
	tolerance := int(1 + seed%2)
	cluster := newCluster(t, seed, 5+int(seed%3)*2, 3, tolerance)
	cluster.startAll()
	cluster.after(time.Second, cluster.generateLoad)
	cluster.after(4*time.Second, cluster.injectFaults)
	cluster.after(4*time.Second, cluster.replaceMachines)
	cluster.after(4*time.Second, cluster.hangDisks)
	cluster.run(3 * time.Minute)
	busy := len(cluster.committed) > 100 && cluster.leaseObservations > 1000
	assert.Assert(t, busy, "too little activity: %d committed", len(cluster.committed))
	cluster.faultsOver = true
	for _, controller := range cluster.controllers {
		controller.partitioned = false
		controller.unfreeze()
		if !controller.removed {
			controller.start()
		}
	}
	cluster.loss = 0
	cluster.until(12*time.Second, "a controller serves", func() bool { return cluster.serving() != nil })
	cluster.until(15*time.Second, "all voters take part", func() bool { return cluster.hasVoters(2*tolerance + 1) })
}

// TestReplacedPeersExpire has many controllers send one Hello each. Their entries must expire,
// or the table of peers would grow without bound.
func TestReplacedPeersExpire(t *testing.T) {
	cluster := stableCluster(t, 1, 1)
	primary := cluster.serving()
	before := len(primary.node.discovery.peers)
	for number := range 500 {
		name := fmt.Sprint("replaced-", number)
		replaced := Controller{Name: name, Address: name, Zone: "0"}
		primary.step(func(now time.Time, effects *statemachine.Effects) {
			hello := Hello{Self: replaced, Blank: true}
			primary.node.HandleMessage(now, statemachine.Meta{From: replaced.Address}, hello, effects)
		})
		cluster.run(time.Second)
	}
	remaining := len(primary.node.discovery.peers)
	assert.Assert(t, remaining <= before+int(peerRetention/time.Second)+2, "%d peers remain", remaining)
}
