package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestBackupsAreInDifferentZones(t *testing.T) {
	for tolerance := range 4 {
		for seed := range uint64(5) {
			cluster := stableCluster(t, seed, tolerance)
			record := cluster.serving().node.Record()
			assert.Equal(t, len(record.Backups), max(1, tolerance))
			zones := map[string]bool{}
			for _, name := range append([]string{record.Primary}, record.Backups...) {
				zones[cluster.named(name).self.Zone] = true
			}
			assert.Equal(t, len(zones), min(3, len(record.Backups)+1))
		}
	}
}

func TestCommittedCommandsSurviveLostDisks(t *testing.T) {
	for tolerance := range 4 {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(tolerance, seed), func(t *testing.T) {
				t.Parallel()
				loseDisks(t, seed, tolerance)
			})
		}
	}
}

// loseDisks cuts the power of all controllers and wipes as many disks as are tolerated, right
// after a command was committed.
func loseDisks(t trial, seed uint64, tolerance int) {
	t.Helper()
	cluster := stableCluster(t, seed, tolerance)
	record := cluster.serving().node.Record()
	cluster.submit(4 * time.Second)
	// All controllers lose power at once, and as many disks as are tolerated are lost: first those
	// of the replicas (the primary and the backups) except one, then those of other controllers.
	replicas := append([]string{record.Primary}, record.Backups...)
	for _, controller := range cluster.controllers {
		controller.kill()
	}
	keptReplica := int(seed) % (tolerance + 1)
	lost := 0
	for number, name := range replicas {
		if lost < tolerance && number != keptReplica {
			cluster.named(name).wipe()
			lost++
		}
	}
	for _, controller := range cluster.controllers {
		if lost < tolerance && !slices.Contains(replicas, controller.self.Name) {
			controller.wipe()
			lost++
		}
	}
	for _, controller := range cluster.controllers {
		controller.bootstrap = false
		cluster.after(time.Duration(cluster.random.IntN(3000))*time.Millisecond, controller.start)
	}
	before := len(cluster.committed)
	cluster.until(12*time.Second, "a controller serves", func() bool { return cluster.serving() != nil })
	assert.Assert(t, len(cluster.serving().state.numbers) >= before)
	cluster.until(12*time.Second, "all voters take part", func() bool { return cluster.hasVoters(max(3, 2*tolerance+1)) })
	cluster.submit(4 * time.Second)
	assert.Equal(t, len(cluster.bootstrapped), 1)
}

// TestPendingCommandSurvivesSnapshotAndLostDisk commits a command that was pending while a
// snapshot was written, and then cuts the power of all controllers and wipes a disk.
func TestPendingCommandSurvivesSnapshotAndLostDisk(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			loseDisksAfterSnapshots(t, seed)
		})
	}
}

// loseDisksAfterSnapshots submits commands continuously. Right after the primary wrote a snapshot,
// it cuts the power of all controllers and wipes the disk of the backup.
func loseDisksAfterSnapshots(t trial, seed uint64) {
	t.Helper()
	cluster := stableCluster(t, seed, 1)
	record := cluster.serving().node.Record()
	primary, backup := cluster.named(record.Primary), cluster.named(record.Backups[0])
	var submitNext func()
	submitNext = func() {
		if !primary.up {
			return
		}
		cluster.submitTo(primary, func(uint64) {
			cluster.committed = append([]uint64(nil), primary.state.numbers...)
		})
		cluster.after(2*time.Millisecond, submitNext)
	}
	submitNext()
	cluster.run(time.Duration(cluster.random.IntN(300)) * time.Millisecond)
	before := primary.snapshots
	cluster.until(4*time.Second, "the primary writes a snapshot", func() bool { return primary.snapshots > before })
	cluster.run(time.Duration(cluster.random.IntN(6)) * time.Millisecond)
	for _, controller := range cluster.controllers {
		controller.kill()
	}
	backup.wipe()
	for _, controller := range cluster.controllers {
		controller.bootstrap = false
		cluster.after(time.Duration(cluster.random.IntN(1000))*time.Millisecond, controller.start)
	}
	committed := len(cluster.committed)
	cluster.until(12*time.Second, "a controller serves", func() bool { return cluster.serving() != nil })
	assert.Assert(t, len(cluster.serving().state.numbers) >= committed)
}

// TestFaultsDelayCommandsBriefly injects each fault into the backups or the primary. Each command
// must be committed within two seconds, and within half a second if the primary releases its
// lease before it stops.
func TestFaultsDelayCommandsBriefly(t *testing.T) {
	for name, fault := range statemachine.Sorted(replicaFaults) {
		for tolerance := 1; tolerance < 4; tolerance++ {
			for _, role := range []string{"backup", "primary"} {
				t.Run(fmt.Sprint(name, " ", role, " ", tolerance), func(t *testing.T) {
					t.Parallel()
					var longest time.Duration
					for seed := range uint64(12) {
						longest = max(longest, longestCommandUnder(t, seed, tolerance, role, fault))
					}
					t.Logf("%s %s, tolerance %d: longest %s", name, role, tolerance, longest)
					maximum := 2 * time.Second
					if role == "primary" && name == "stopped" {
						maximum = 500 * time.Millisecond
					}
					assert.Assert(t, longest < maximum, "%s", longest)
				})
			}
		}
	}
}

var replicaFaults = map[string]func(controller *testController){
	"killed": func(controller *testController) { controller.kill() },
	"frozen": func(controller *testController) { controller.frozen = true },
	"cut":    func(controller *testController) { controller.partitioned = true },
	"stopped": func(controller *testController) {
		controller.step(func(now time.Time, effects *statemachine.Effects) { controller.node.ReleaseLease(now, effects) })
		controller.kill()
	},
	"hanging": func(controller *testController) { controller.diskHangsUntil = controller.cluster.now + time.Minute },
}

// longestCommandUnder injects a fault into the primary or into all backups, and returns the
// longest time that a command took after it.
func longestCommandUnder(
	t trial, seed uint64, tolerance int, role string, fault func(controller *testController),
) time.Duration {
	t.Helper()
	cluster := stableCluster(t, seed, tolerance)
	record := cluster.serving().node.Record()
	if role == "backup" {
		for _, each := range record.Backups {
			fault(cluster.named(each))
		}
	} else {
		fault(cluster.named(record.Primary))
	}
	cluster.run(time.Duration(cluster.random.IntN(1500)) * time.Millisecond)
	longest := time.Duration(0)
	for range 21 {
		longest = max(longest, cluster.submit(8*time.Second))
	}
	return longest
}

// TestToleranceCanBeChanged changes the tolerance while the controllers run.
func TestToleranceCanBeChanged(t *testing.T) {
	cluster := stableCluster(t, 1, 1)
	for _, controller := range cluster.controllers {
		controller.node.SetTolerance(2)
	}
	cluster.tolerance = 2
	cluster.until(6*time.Second, "there are more voters", func() bool { return cluster.hasVoters(5) })
	cluster.submit(2 * time.Second)
	assert.Equal(t, len(cluster.serving().node.Record().Backups), 2)
}
