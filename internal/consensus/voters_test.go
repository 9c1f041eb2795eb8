// Founding by the seeds, and the voters's changes: on the bench of watch_test,
// with the model that looks at every moment, the failures are brought about one
// by one, and then at random.
package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
	"dahlialock/internal/wal"
)

// newFleet lays out controllers of which the first ones are the seeds; at the first
// start everybody is told Founding.
func newFleet(t trial, seed uint64, controllers, seeds, tolerance int) *watchBench {
	bench := &watchBench{t: t, random: rand.New(rand.NewPCG(seed, 0xf1ee7)), tolerance: tolerance, founded: map[string]bool{}}
	for number := range controllers {
		controller := bench.add(fmt.Sprintf("controller-%d", number), fmt.Sprintf("controller-%d", number), fmt.Sprint(number%3))
		controller.founding = true
		if number < seeds {
			bench.seeds = append(bench.seeds, controller.self.Address)
		}
	}
	return bench
}

func (wb *watchBench) add(name, address, zone string) *controller {
	added := &controller{
		disk:  wal.NewMemoryFolder(),
		bench: wb, self: Controller{Name: name, Address: address, Zone: zone}, rate: 1 + (wb.random.Float64()-0.5)*0.08,
	}
	wb.controllers = append(wb.controllers, added)
	return added
}

func (wb *watchBench) startAll() {
	for _, controller := range wb.controllers {
		wb.after(time.Duration(wb.random.IntN(500))*time.Millisecond, controller.start)
	}
}

// until runs on until a condition holds, and fails after the limit.
func (wb *watchBench) until(limit time.Duration, what string, holds func() bool) time.Duration {
	wb.t.Helper()
	began := wb.now
	for !holds() {
		if wb.now-began > limit {
			wb.t.Fatalf("after %s still not: %s", limit, what)
		}
		wb.run(20 * time.Millisecond)
	}
	return wb.now - began
}

// serving is the controller that may answer now.
func (wb *watchBench) serving() *controller {
	for _, controller := range wb.controllers {
		if controller.up && !controller.frozen && !controller.cut && controller.watch.Serving(controller.local()) {
			return controller
		}
	}
	return nil
}

func (wb *watchBench) named(name string) *controller {
	for _, controller := range wb.controllers {
		if controller.self.Name == name && !controller.gone {
			return controller
		}
	}
	return nil
}

// wipe takes a controller's disk.
func (c *controller) wipe() {
	c.kill()
	c.disk.Wipe()
}

// votersed tells whether the voters has so many members, all of them up and
// taking part.
func (wb *watchBench) votersed(size int) bool {
	primary := wb.serving()
	if primary == nil {
		return false
	}
	voters := primary.watch.Record().Voters
	if len(voters) != size {
		return false
	}
	for _, each := range voters {
		if !slices.ContainsFunc(wb.controllers, func(controller *controller) bool {
			return controller.self.SameAs(each) && controller.up && controller.watch.isVoter() && controller.watch.Record().Epoch == primary.watch.Record().Epoch
		}) {
			return false
		}
	}
	return true
}

func voters(record Record) []string {
	var names []string
	for _, controller := range record.Voters {
		names = append(names, controller.Name)
	}
	return names
}

func TestTheSeedsFoundAndTheVotersGrows(t *testing.T) {
	for _, each := range []struct{ controllers, seeds, tolerance, voters int }{
		{3, 3, 1, 3}, {5, 3, 1, 3}, {9, 3, 2, 5}, {9, 3, 3, 7}, {3, 2, 1, 3}, {2, 2, 1, 2}, {5, 1, 1, 3}, {4, 1, 2, 4},
	} {
		t.Run(fmt.Sprint(each), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				bench := newFleet(t, seed, each.controllers, each.seeds, each.tolerance)
				bench.startAll()
				bench.after(time.Second, bench.busy)
				first := bench.until(8*time.Second, "somebody serves", func() bool { return bench.serving() != nil })
				whole := bench.until(12*time.Second, "the voters is whole", func() bool { return bench.votersed(each.voters) })
				t.Logf("seed %d: served after %s, whole %s later", seed, first, whole)
				bench.until(10*time.Second, "the voters is spread over the zones", func() bool {
					zones := map[string]int{}
					for _, controller := range bench.controllers[0].watch.Record().Voters {
						zones[controller.Zone]++
					}
					return slices.Max(slices.Collect(maps.Values(zones))) <= (each.voters+2)/3
				})
				bench.run(10 * time.Second)
				assert.Assert(t, len(bench.committed) > 10)
				for _, controller := range bench.controllers {
					assert.Assert(t, !controller.watch.Blank(), "%s knows nothing", controller.self.Name)
				}
			}
		})
	}
}

// A founder whose disk is lost, soon or late after the founding, and whatever it
// is told at the next start, learns from the others and founds nothing.
func TestAFounderWhoseDiskIsLostDoesNotFoundAgain(t *testing.T) {
	for _, founding := range []bool{false, true} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprint(founding, seed), func(t *testing.T) {
				t.Parallel()
				loseFounder(t, seed, founding)
			})
		}
	}
}

func loseFounder(t trial, seed uint64, founding bool) {
	t.Helper()
	bench := newFleet(t, seed, 5, 3, 1)
	bench.startAll()
	bench.after(time.Second, bench.busy)
	bench.run(time.Duration(300+seed*60) * time.Millisecond)
	lost := bench.controllers[seed%3]
	lost.wipe()
	lost.founding = founding
	if seed%2 == 0 {
		// It hears nobody for a while.
		lost.cut = true
		bench.after(4*time.Second, func() { lost.cut = false })
	}
	bench.after(time.Duration(bench.random.IntN(1500))*time.Millisecond, lost.start)
	bench.run(8 * time.Second)
	bench.until(12*time.Second, "the voters is whole", func() bool { return bench.votersed(3) })
	before := len(bench.committed)
	bench.run(5 * time.Second)
	assert.Assert(t, len(bench.committed) > before+5)
	assert.Equal(t, len(bench.founded), 1)
}

// Founders that are started again in the midst of the founding, and told that it
// is not the first start any more, still found.
func TestFoundersThatAreStartedAgainGoOnFounding(t *testing.T) {
	for seed := range uint64(12) {
		bench := newFleet(t, seed, 4, 3, 1)
		for number, controller := range bench.controllers {
			bench.after(time.Duration(number)*100*time.Millisecond, controller.start)
		}
		bench.run(time.Duration(100+40*seed) * time.Millisecond)
		for _, controller := range bench.controllers {
			controller.kill()
			controller.founding = false
			bench.after(time.Second, controller.start)
		}
		bench.until(8*time.Second, "somebody serves", func() bool { return bench.serving() != nil })
	}
}

// Controllers that are not among the seeds, or are not told Founding, found nothing.
func TestNobodyElseFounds(t *testing.T) {
	bench := newFleet(t, 1, 5, 3, 1)
	for number, controller := range bench.controllers {
		controller.founding = number > 2
		controller.start()
	}
	bench.run(20 * time.Second)
	assert.Equal(t, len(bench.founded), 0)
	for _, controller := range bench.controllers {
		assert.Assert(t, controller.watch.Blank())
	}
}

// A controller that is lost for good is replaced by one that stands by, and a machine
// that is replaced by an empty one at another address within the time that the
// platform gives it.
func TestALostControllerIsReplaced(t *testing.T) {
	for seed := range uint64(12) {
		for _, role := range []string{"primary", "backup", "witness"} {
			replace(t, seed, role)
		}
	}
}

func replace(t trial, seed uint64, role string) {
	t.Helper()
	bench := newFleet(t, seed, 3, 3, 1)
	bench.startAll()
	bench.after(time.Second, bench.busy)
	bench.until(5*time.Second, "somebody serves", func() bool { return bench.serving() != nil })
	bench.run(3 * time.Second)
	record := bench.serving().watch.Record()
	lost := bench.named(record.Primary)
	switch role {
	case "backup":
		lost = bench.named(record.Backups[0])
	case "witness":
		for _, controller := range bench.controllers {
			if controller.self.Name != record.Primary && !slices.Contains(record.Backups, controller.self.Name) {
				lost = controller
			}
		}
	}
	lost.wipe()
	lost.gone = true
	name := lost.self.Name
	if seed%2 == 0 {
		name += "-again"
	}
	bench.run(time.Duration(bench.random.IntN(3000)) / 3 * time.Millisecond)
	fresh := bench.add(name, lost.self.Address+"-anew", lost.self.Zone)
	fresh.start()
	took := bench.until(8*time.Second, "the newcomer is in the voters", func() bool { return bench.votersed(3) })
	t.Logf("seed %d, %s: %s", seed, role, took)
	assert.Assert(t, took < catchUp, "seed %d, %s: %s", seed, role, took)
	assert.Assert(t, slices.Contains(voters(bench.serving().watch.Record()), name))
	before := len(bench.committed)
	bench.run(10 * time.Second)
	assert.Assert(t, len(bench.committed) > before+25)
}

// All that befell controllers before, with seeds that found, voters of three and
// five, controllers that stand by, lost disks and machines that are replaced.
func TestVotersAgainstAModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			allBefalls(t, seed)
		})
	}
}

func allBefalls(t trial, seed uint64) {
	t.Helper()
	tolerance := int(1 + seed%2)
	bench := newFleet(t, seed, 5+int(seed%3)*2, 3, tolerance)
	bench.startAll()
	bench.after(time.Second, bench.busy)
	bench.after(4*time.Second, bench.trouble)
	bench.after(4*time.Second, bench.removals)
	bench.after(4*time.Second, bench.hangs)
	bench.run(3 * time.Minute)
	assert.Assert(t, len(bench.committed) > 100 && bench.leases > 1000, "little happened: %d committed", len(bench.committed))
	bench.calm = true
	for _, controller := range bench.controllers {
		controller.cut = false
		controller.thaw()
		if !controller.gone {
			controller.start()
		}
	}
	bench.loss = 0
	bench.until(12*time.Second, "somebody serves", func() bool { return bench.serving() != nil })
	bench.until(15*time.Second, "the voters is whole", func() bool { return bench.votersed(2*tolerance + 1) })
}

// hangs lets a disk hang for a while now and then.
func (wb *watchBench) hangs() {
	if wb.calm {
		return
	}
	wb.after(time.Duration(3+wb.random.IntN(8))*time.Second, wb.hangs)
	wb.controllers[wb.random.IntN(len(wb.controllers))].hung = wb.now + time.Duration(wb.random.IntN(5000))*time.Millisecond
}

// removals replaces a machine by an empty one at another address now and then.
func (wb *watchBench) removals() {
	if wb.calm {
		return
	}
	wb.after(time.Duration(8+wb.random.IntN(20))*time.Second, wb.removals)
	if !wb.mayLoseADisk() {
		return
	}
	wb.wiped = wb.now
	lost := wb.controllers[wb.random.IntN(len(wb.controllers))]
	if lost.gone {
		return
	}
	lost.wipe()
	lost.gone = true
	name := lost.self.Name
	if wb.random.IntN(2) == 0 {
		name = fmt.Sprint("controller-", len(wb.controllers))
	}
	fresh := wb.add(name, fmt.Sprint("address-", len(wb.controllers)), lost.self.Zone)
	wb.after(time.Duration(wb.random.IntN(6000))*time.Millisecond, fresh.start)
}

// Controllers that were replaced are not remembered for ever by those that met them.
func TestControllersThatWentAreNotRemembered(t *testing.T) {
	bench := settledFleet(t, 1, 1)
	primary := bench.serving()
	before := len(primary.watch.discovery.peers)
	for number := range 500 {
		gone := Controller{Name: fmt.Sprint("gone-", number), Address: fmt.Sprint("gone-", number), Zone: "0"}
		primary.step(func(now time.Time, effects *statemachine.Effects) {
			primary.watch.HandleMessage(now, statemachine.Meta{From: gone.Address}, Hello{Self: gone, Blank: true}, effects)
		})
		bench.run(time.Second)
	}
	assert.Assert(t, len(primary.watch.discovery.peers) <= before+int(peerRetention/time.Second)+2, "%d are remembered", len(primary.watch.discovery.peers))
}
