// Fleets whose controllers are bootstrapped through seed addresses. The checker judges runs
// with clients and operators while founding controllers lose their disks, machines are
// replaced, and the set of voters grows.
package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/consensus"
	"dahlialock/internal/controller"
	"dahlialock/internal/membership"
)

func seeded(controllers, tolerance int) Shape {
	size := Small
	size.Controllers, size.Seeded, size.Tolerance = controllers, true, tolerance
	return size
}

func (n *Node) consensusNode() *consensus.Node { return n.Machine.(*controller.Controller).Node() }

func (n *Node) controllerState() *controller.State { return n.Machine.(*controller.Controller).State() }

// voters returns the names of the voters in the record of the current primary.
func (s *Simulation) voters() []string {
	primary := s.Primary()
	if primary == nil {
		return nil
	}
	var names []string
	for _, controller := range primary.consensusNode().Record().Voters {
		names = append(names, controller.Name)
	}
	return names
}

var controllerFaults = []struct {
	name   string
	size   Shape
	voters int
	inject func(t *testing.T, simulation *Simulation)
}{
	{"calm", seeded(5, 1), 3, func(*testing.T, *Simulation) {}},
	{"three controllers", seeded(3, 1), 3, func(*testing.T, *Simulation) {}},
	{"grown", seeded(9, 2), 5, func(*testing.T, *Simulation) {}},
	{"a founder loses its disk at once", seeded(5, 1), 3, func(_ *testing.T, simulation *Simulation) {
		simulation.killFor(simulation.Node("controller-1"), time.Second, true)
	}},
	{"each founder loses its disk in turn", seeded(5, 1), 3, func(_ *testing.T, simulation *Simulation) {
		for number := range 3 {
			simulation.After(time.Duration(number)*8*time.Second, func() {
				simulation.killFor(simulation.Node(fmt.Sprintf("controller-%d", number+1)), time.Second, true)
			})
		}
	}},
	{"a machine is replaced by an empty one at another address", seeded(3, 1), 3, func(t *testing.T, simulation *Simulation) {
		lost := simulation.Node("controller-2")
		lost.Kill()
		delete(simulation.nodes, lost.Name)
		fresh := simulation.addController(7)
		fresh.bootstrapped = true
		simulation.After(2*time.Second, fresh.Start)
		simulation.After(6100*time.Millisecond, func() {
			assert.Check(t, slices.Contains(simulation.voters(), fresh.Name), "%v", simulation.voters())
		})
	}},
	{"controllers are added", seeded(3, 2), 5, func(_ *testing.T, simulation *Simulation) {
		for number := range 2 {
			fresh := simulation.addController(7 + number)
			fresh.bootstrapped = true
			simulation.After(time.Duration(number)*time.Second, fresh.Start)
		}
	}},
	{"power loss, with two of the three disks that hold the state", seeded(9, 2), 5, func(_ *testing.T, simulation *Simulation) {
		simulation.After(8*time.Second, func() {
			primary := simulation.Primary()
			if primary == nil {
				return
			}
			record := primary.consensusNode().Record()
			lost := []string{record.Primary, record.Backups[int(simulation.Seed)%2]}
			for _, node := range simulation.Nodes(membership.KindController) {
				simulation.killFor(node, simulation.between(time.Second, 3*time.Second), slices.Contains(lost, node.Name))
			}
		})
	}},
	{"a backup hangs, then another", seeded(9, 2), 5, func(_ *testing.T, simulation *Simulation) {
		for number := range 3 {
			simulation.After(time.Duration(2+6*number)*time.Second, func() { simulation.freezeFor(simulation.controllerIn("backup"), 4*time.Second) })
		}
	}},
	{"controllers are killed", seeded(9, 2), 5, func(_ *testing.T, simulation *Simulation) {
		kill(membership.KindController)(simulation, 20*time.Second)
	}},
	{"the primary is killed", seeded(5, 1), 3, func(_ *testing.T, simulation *Simulation) { killPrimary(simulation, 20*time.Second) }},
	{"controllers freeze", seeded(5, 1), 3, func(_ *testing.T, simulation *Simulation) {
		freeze(membership.KindController)(simulation, 20*time.Second)
	}},
}

func TestControllersFoundedByTheSeeds(t *testing.T) {
	for _, each := range controllerFaults {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				simulation, operator := Prepare(5000+seed, each.size, nil)
				simulation.AddDefaultClients(each.size.Clients)
				simulation.Run(time.Second)
				operator.runUntil(simulation.Now.Add(24 * time.Second))
				simulation.lastFaultAt = simulation.Now.Add(24 * time.Second)
				each.inject(t, simulation)
				simulation.Run(24 * time.Second)
				assert.Check(t, simulation.RunUntil(10*time.Second, func() bool { return len(simulation.voters()) == each.voters }), "%v", simulation.voters())
				simulation.HealAndClose(20 * time.Second)
				for _, line := range simulation.Checker.Violations() {
					t.Errorf("seed %d: %s", seed, line)
				}
				assert.Check(t, simulation.Checker.Accepted > 200, "%s", simulation.Checker.Summary())
			}
		})
	}
}
