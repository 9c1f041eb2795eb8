// The copies of the control state: what was answered outlasts as many lost disks
// as are tolerated, and a backup, or the primary itself, that is lost or slow
// holds nothing up for long.
package watchbill

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/helm"
)

// submit brings one command into whoever serves, again and again until it is
// committed, and tells how long that took.
func (bench *watchBench) submit(limit time.Duration) time.Duration {
	bench.t.Helper()
	began, committed := bench.now, false
	var try func()
	try = func() {
		if committed {
			return
		}
		bench.after(100*time.Millisecond, try)
		for _, pilot := range bench.pilots {
			if pilot.up && !pilot.frozen && !pilot.cut && pilot.watch.HoldsTenure(pilot.local()) && pilot.watch.Waiting() == 0 {
				bench.next++
				number := bench.next
				pilot.step(func(now time.Time, effects *helm.Effects) {
					pilot.watch.Submit(now, binary.BigEndian.AppendUint64(nil, number), 2*time.Second, func(_ time.Time, _ *helm.Effects, outcome Outcome) {
						if outcome == Committed {
							committed = true
							bench.committed = append([]uint64(nil), pilot.ledger.said...)
						}
					}, effects)
				})
				return
			}
		}
	}
	try()
	bench.until(limit, "a command is committed", func() bool { return committed })
	return bench.now - began
}

// settledFleet is a fleet whose roster is whole.
func settledFleet(t trial, seed uint64, tolerance int) *watchBench {
	bench := newFleet(t, seed, max(5, 2*tolerance+3), 3, tolerance)
	bench.startAll()
	bench.until(12*time.Second, "the roster is whole", func() bool { return bench.rostered(max(3, 2*tolerance+1)) && bench.serving() != nil })
	bench.run(4 * time.Second)
	for range 5 {
		bench.submit(4 * time.Second)
	}
	return bench
}

func TestBackupsAreInDifferentLocalities(t *testing.T) {
	for tolerance := range 4 {
		for seed := range uint64(5) {
			bench := settledFleet(t, seed, tolerance)
			record := bench.serving().watch.Record()
			assert.Equal(t, len(record.Backups), max(1, tolerance))
			localities := map[string]bool{}
			for _, name := range append([]string{record.Primary}, record.Backups...) {
				localities[bench.named(name).self.Locality] = true
			}
			assert.Equal(t, len(localities), min(3, len(record.Backups)+1))
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
	for _, pilot := range bench.pilots {
		pilot.kill()
	}
	spared := int(seed) % (tolerance + 1)
	lost := 0
	for number, name := range holders {
		if lost < tolerance && number != spared {
			bench.named(name).wipe()
			lost++
		}
	}
	for _, pilot := range bench.pilots {
		if lost < tolerance && !slices.Contains(holders, pilot.self.Name) {
			pilot.wipe()
			lost++
		}
	}
	for _, pilot := range bench.pilots {
		pilot.founding = false
		bench.after(time.Duration(bench.random.IntN(3000))*time.Millisecond, pilot.start)
	}
	before := len(bench.committed)
	bench.until(12*time.Second, "somebody serves", func() bool { return bench.serving() != nil })
	assert.Assert(t, len(bench.serving().ledger.said) >= before)
	bench.until(12*time.Second, "the roster is whole", func() bool { return bench.rostered(max(3, 2*tolerance+1)) })
	bench.submit(4 * time.Second)
	assert.Equal(t, len(bench.founded), 1)
}

// Whatever befalls the backups or the primary, a command is committed within two
// seconds, and after a primary that stops in good order within half a second.
func TestNobodyHoldsACommandUpForLong(t *testing.T) {
	for name, strike := range helm.Sorted(strikes) {
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

var strikes = map[string]func(pilot *pilot){
	"killed": func(pilot *pilot) { pilot.kill() },
	"frozen": func(pilot *pilot) { pilot.frozen = true },
	"cut":    func(pilot *pilot) { pilot.cut = true },
	"stopped": func(pilot *pilot) {
		pilot.step(func(now time.Time, effects *helm.Effects) { pilot.watch.Yield(now, effects) })
		pilot.kill()
	},
	"hanging": func(pilot *pilot) { pilot.hung = pilot.bench.now + time.Minute },
}

// strikeHolder strikes the primary or all backups and gives the longest time
// that a command then took.
func strikeHolder(t trial, seed uint64, tolerance int, role string, strike func(pilot *pilot)) time.Duration {
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

// A tolerance that changes while pilots run is followed.
func TestChangedToleranceIsFollowed(t *testing.T) {
	bench := settledFleet(t, 1, 1)
	for _, pilot := range bench.pilots {
		pilot.watch.SetTolerance(2)
	}
	bench.tolerance = 2
	bench.until(6*time.Second, "the roster has grown", func() bool { return bench.rostered(5) })
	bench.submit(2 * time.Second)
	assert.Equal(t, len(bench.serving().watch.Record().Backups), 2)
}
