// The copies of the control state: what was answered outlasts as many lost disks
// as are tolerated, and a backup, or the primary itself, that is lost or slow
// holds nothing up for long.
package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// submit brings one command into whoever serves, again and again until it is
// committed, and tells how long that took.
func (wb *watchBench) submit(limit time.Duration) time.Duration {
	wb.t.Helper()
	began, committed := wb.now, false
	var try func()
	try = func() {
		if committed {
			return
		}
		wb.after(100*time.Millisecond, try)
		for _, controller := range wb.controllers {
			if controller.up && !controller.frozen && !controller.cut && controller.watch.HoldsLease(controller.local()) && controller.watch.PendingProposals() == 0 {
				wb.next++
				number := wb.next
				controller.step(func(now time.Time, effects *statemachine.Effects) {
					controller.watch.Submit(now, said(number), 2*time.Second, func(_ time.Time, _ *statemachine.Effects, outcome Outcome) {
						if outcome == Committed {
							committed = true
							wb.committed = append([]uint64(nil), controller.ledger.said...)
						}
					}, effects)
				})
				return
			}
		}
	}
	try()
	wb.until(limit, "a command is committed", func() bool { return committed })
	return wb.now - began
}

// settledFleet is a fleet whose voters is whole.
func settledFleet(t trial, seed uint64, tolerance int) *watchBench {
	bench := newFleet(t, seed, max(5, 2*tolerance+3), 3, tolerance)
	bench.startAll()
	bench.until(12*time.Second, "the voters is whole", func() bool { return bench.votersed(max(3, 2*tolerance+1)) && bench.serving() != nil })
	bench.run(4 * time.Second)
	for range 5 {
		bench.submit(4 * time.Second)
	}
	return bench
}

func TestBackupsAreInDifferentZones(t *testing.T) {
	for tolerance := range 4 {
		for seed := range uint64(5) {
			bench := settledFleet(t, seed, tolerance)
			record := bench.serving().watch.Record()
			assert.Equal(t, len(record.Backups), max(1, tolerance))
			zones := map[string]bool{}
			for _, name := range append([]string{record.Primary}, record.Backups...) {
				zones[bench.named(name).self.Zone] = true
			}
			assert.Equal(t, len(zones), min(3, len(record.Backups)+1))
		}
	}
}

func TestWhatWasAnsweredOutlastsAsManyDisksAsAreTolerated(t *testing.T) {
	for tolerance := range 4 {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(tolerance, seed), func(t *testing.T) {
				t.Parallel()
				loseDisks(t, seed, tolerance)
			})
		}
	}
}

// loseDisks takes power from all and as many disks as are tolerated, right after
// an answer.
func loseDisks(t trial, seed uint64, tolerance int) {
	t.Helper()
	bench := settledFleet(t, seed, tolerance)
	record := bench.serving().watch.Record()
	bench.submit(4 * time.Second)
	// All lose power at once; the disks of the primary and of all
	// backups but one, or of some others, are lost with it.
	holders := append([]string{record.Primary}, record.Backups...)
	for _, controller := range bench.controllers {
		controller.kill()
	}
	spared := int(seed) % (tolerance + 1)
	lost := 0
	for number, name := range holders {
		if lost < tolerance && number != spared {
			bench.named(name).wipe()
			lost++
		}
	}
	for _, controller := range bench.controllers {
		if lost < tolerance && !slices.Contains(holders, controller.self.Name) {
			controller.wipe()
			lost++
		}
	}
	for _, controller := range bench.controllers {
		controller.founding = false
		bench.after(time.Duration(bench.random.IntN(3000))*time.Millisecond, controller.start)
	}
	before := len(bench.committed)
	bench.until(12*time.Second, "somebody serves", func() bool { return bench.serving() != nil })
	assert.Assert(t, len(bench.serving().ledger.said) >= before)
	bench.until(12*time.Second, "the voters is whole", func() bool { return bench.votersed(max(3, 2*tolerance+1)) })
	bench.submit(4 * time.Second)
	assert.Equal(t, len(bench.founded), 1)
}

// What was answered outlasts a lost disk and all power, also where it was under way
// while a snapshot was written.
func TestWhatWasUnderWayDuringASnapshotOutlastsALostDisk(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			loseDisksAfterSnapshots(t, seed)
		})
	}
}

// loseDisksAfterSnapshots has commands come without a pause, and takes all power and the
// disk of one holder right after the primary's disk took a snapshot.
func loseDisksAfterSnapshots(t trial, seed uint64) {
	t.Helper()
	bench := settledFleet(t, seed, 1)
	record := bench.serving().watch.Record()
	primary, backup := bench.named(record.Primary), bench.named(record.Backups[0])
	var more func()
	more = func() {
		if !primary.up {
			return
		}
		bench.next++
		number := bench.next
		primary.step(func(now time.Time, effects *statemachine.Effects) {
			primary.watch.Submit(now, said(number), 2*time.Second, func(_ time.Time, _ *statemachine.Effects, outcome Outcome) {
				if outcome == Committed {
					bench.committed = append([]uint64(nil), primary.ledger.said...)
				}
			}, effects)
		})
		bench.after(2*time.Millisecond, more)
	}
	more()
	bench.run(time.Duration(bench.random.IntN(300)) * time.Millisecond)
	before := primary.snapshots
	bench.until(4*time.Second, "the primary writes a snapshot", func() bool { return primary.snapshots > before })
	bench.run(time.Duration(bench.random.IntN(6)) * time.Millisecond)
	for _, controller := range bench.controllers {
		controller.kill()
	}
	backup.wipe()
	for _, controller := range bench.controllers {
		controller.founding = false
		bench.after(time.Duration(bench.random.IntN(1000))*time.Millisecond, controller.start)
	}
	least := len(bench.committed)
	bench.until(12*time.Second, "somebody serves", func() bool { return bench.serving() != nil })
	assert.Assert(t, len(bench.serving().ledger.said) >= least)
}

// Whatever befalls the backups or the primary, a command is committed within two
// seconds, and after a primary that stops in good order within half a second.
func TestNobodyHoldsACommandUpForLong(t *testing.T) {
	for name, strike := range statemachine.Sorted(strikes) {
		for tolerance := 1; tolerance < 4; tolerance++ {
			for _, role := range []string{"backup", "primary"} {
				t.Run(fmt.Sprint(name, " ", role, " ", tolerance), func(t *testing.T) {
					t.Parallel()
					var longest time.Duration
					for seed := range uint64(12) {
						longest = max(longest, strikeHolder(t, seed, tolerance, role, strike))
					}
					t.Logf("%s %s, tolerance %d: longest %s", name, role, tolerance, longest)
					limit := 2 * time.Second
					if role == "primary" && name == "stopped" {
						limit = 500 * time.Millisecond
					}
					assert.Assert(t, longest < limit, "%s", longest)
				})
			}
		}
	}
}

var strikes = map[string]func(controller *controller){
	"killed": func(controller *controller) { controller.kill() },
	"frozen": func(controller *controller) { controller.frozen = true },
	"cut":    func(controller *controller) { controller.cut = true },
	"stopped": func(controller *controller) {
		controller.step(func(now time.Time, effects *statemachine.Effects) { controller.watch.ReleaseLease(now, effects) })
		controller.kill()
	},
	"hanging": func(controller *controller) { controller.hung = controller.bench.now + time.Minute },
}

// strikeHolder strikes the primary or all backups and gives the longest time
// that a command then took.
func strikeHolder(t trial, seed uint64, tolerance int, role string, strike func(controller *controller)) time.Duration {
	t.Helper()
	bench := settledFleet(t, seed, tolerance)
	record := bench.serving().watch.Record()
	if role == "backup" {
		for _, each := range record.Backups {
			strike(bench.named(each))
		}
	} else {
		strike(bench.named(record.Primary))
	}
	bench.run(time.Duration(bench.random.IntN(1500)) * time.Millisecond)
	longest := time.Duration(0)
	for range 21 {
		longest = max(longest, bench.submit(8*time.Second))
	}
	return longest
}

// A tolerance that changes while controllers run is followed.
func TestChangedToleranceIsFollowed(t *testing.T) {
	bench := settledFleet(t, 1, 1)
	for _, controller := range bench.controllers {
		controller.watch.SetTolerance(2)
	}
	bench.tolerance = 2
	bench.until(6*time.Second, "the voters has grown", func() bool { return bench.votersed(5) })
	bench.submit(2 * time.Second)
	assert.Equal(t, len(bench.serving().watch.Record().Backups), 2)
}
