// Fleets whose pilots are founded by the seeds: the whole fleet with callers and
// operators, judged by the oracle, while founders lose their disks, machines are
// replaced, and the roster grows.
package swell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/pilotage"
	"dahlialock/internal/watchbill"
)

func seeded(pilots, tolerance int) Size {
	size := Small
	size.Pilots, size.Seeded, size.Tolerance = pilots, true, tolerance
	return size
}

func (node *Node) watch() *watchbill.Watch { return node.Machine.(*pilotage.Pilot).Watch() }

// roster gives the names in the serving primary's roster.
func (swell *Swell) roster() []string {
	primary := swell.Primary()
	if primary == nil {
		return nil
	}
	var names []string
	for _, pilot := range primary.watch().Record().Roster {
		names = append(names, pilot.Name)
	}
	return names
}

var pilotTroubles = []struct {
	name   string
	size   Size
	roster int
	strike func(t *testing.T, swell *Swell)
}{
	{"calm", seeded(5, 1), 3, func(*testing.T, *Swell) {}},
	{"three pilots", seeded(3, 1), 3, func(*testing.T, *Swell) {}},
	{"grown", seeded(9, 2), 5, func(*testing.T, *Swell) {}},
	{"a founder loses its disk at once", seeded(5, 1), 3, func(_ *testing.T, swell *Swell) {
		swell.killFor(swell.Node("pilot-1"), time.Second, true)
	}},
	{"each founder loses its disk in turn", seeded(5, 1), 3, func(_ *testing.T, swell *Swell) {
		for number := range 3 {
			swell.After(time.Duration(number)*8*time.Second, func() {
				swell.killFor(swell.Node(fmt.Sprintf("pilot-%d", number+1)), time.Second, true)
			})
		}
	}},
	{"a machine is replaced by an empty one at another address", seeded(3, 1), 3, func(t *testing.T, swell *Swell) {
		lost := swell.Node("pilot-2")
		lost.Kill()
		delete(swell.nodes, lost.Name)
		fresh := swell.addPilot(7)
		fresh.founded = true
		swell.After(2*time.Second, fresh.Start)
		swell.After(6100*time.Millisecond, func() {
			assert.Check(t, slices.Contains(swell.roster(), fresh.Name), "%v", swell.roster())
		})
	}},
	{"pilots are added", seeded(3, 2), 5, func(_ *testing.T, swell *Swell) {
		for number := range 2 {
			fresh := swell.addPilot(7 + number)
			fresh.founded = true
			swell.After(time.Duration(number)*time.Second, fresh.Start)
		}
	}},
	{"power is lost, and two disks of three with the state", seeded(9, 2), 5, func(_ *testing.T, swell *Swell) {
		swell.After(8*time.Second, func() {
			primary := swell.Primary()
			if primary == nil {
				return
			}
			record := primary.watch().Record()
			lost := []string{record.Primary, record.Backups[int(swell.Seed)%2]}
			for _, node := range swell.Nodes(beacon.KindPilot) {
				swell.killFor(node, swell.between(time.Second, 3*time.Second), slices.Contains(lost, node.Name))
			}
		})
	}},
	{"a backup hangs, then another", seeded(9, 2), 5, func(_ *testing.T, swell *Swell) {
		for number := range 3 {
			swell.After(time.Duration(2+6*number)*time.Second, func() { swell.freezeFor(swell.pilotIn("backup"), 4*time.Second) })
		}
	}},
	{"pilots are killed", seeded(9, 2), 5, func(_ *testing.T, swell *Swell) { kill(beacon.KindPilot)(swell, 20*time.Second) }},
	{"the primary is killed", seeded(5, 1), 3, func(_ *testing.T, swell *Swell) { killPrimary(swell, 20*time.Second) }},
	{"pilots freeze", seeded(5, 1), 3, func(_ *testing.T, swell *Swell) { freeze(beacon.KindPilot)(swell, 20*time.Second) }},
}

func TestPilotsFoundedByTheSeeds(t *testing.T) {
	for _, each := range pilotTroubles {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				swell, operator := Prepare(5000+seed, each.size, nil)
				swell.Crowd(each.size.Callers)
				swell.Run(time.Second)
				operator.work(swell.Now.Add(24 * time.Second))
				swell.trouble = swell.Now.Add(24 * time.Second)
				each.strike(t, swell)
				swell.Run(24 * time.Second)
				assert.Check(t, swell.RunUntil(10*time.Second, func() bool { return len(swell.roster()) == each.roster }), "%v", swell.roster())
				swell.Settle(20 * time.Second)
				for _, line := range swell.Oracle.Violations() {
					t.Errorf("seed %d: %s", seed, line)
				}
				assert.Check(t, swell.Oracle.Accepted > 200, "%s", swell.Oracle.Summary())
			}
		})
	}
}
