// The second loss: while a machine is replaced, retired or stopped, planned or not, or right
// after it, another machine is lost with its disk and all other machines lose power. The
// checker judges the runs, which have clients and operators.
package simulator

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/consensus"
	"dahlialock/internal/controller"
	"dahlialock/internal/membership"
)

// catchUpTime is how long a new machine counts as lost, because it has not caught up yet.
const catchUpTime = 4100 * time.Millisecond

// witness returns a voter that holds no copy of the state.
func (s *Simulation) witness() *Node {
	record := s.Primary().consensusNode().Record()
	for _, voter := range record.Voters {
		if voter.Name != record.Primary && !slices.Contains(record.Backups, voter.Name) {
			return s.nodes[voter.Name]
		}
	}
	return nil
}

func (s *Simulation) controllerAs(role string) *Node {
	if role == "witness" {
		return s.witness()
	}
	return s.controllerIn(role)
}

// remove removes a machine with its disk permanently.
func (s *Simulation) remove(node *Node) {
	if node.Up {
		node.Kill()
	}
	node.Wipe()
	delete(s.nodes, node.Name)
}

// addFresh starts an empty controller at another address.
func (s *Simulation) addFresh(number int) {
	fresh := s.addController(number)
	fresh.bootstrapped = true
	fresh.Start()
}

// injectSecondLoss wipes count controllers that hold a complete copy of the state, as many as may
// be lost in addition to those lost already, and makes all other machines with a disk lose
// power.
func (s *Simulation) injectSecondLoss(count int) {
	var wiped []string
	for _, node := range s.Nodes(membership.KindController) {
		if len(wiped) < count && node.Up && node.consensusNode().CompleteEpoch() > 0 {
			wiped = append(wiped, node.Name)
		}
	}
	for _, kind := range []string{membership.KindController, membership.KindStore} {
		for _, node := range s.Nodes(kind) {
			s.killFor(node, s.between(300*time.Millisecond, 900*time.Millisecond), slices.Contains(wiped, node.Name))
		}
	}
}

// stopController starts a successor, asks a controller to stop, and removes its machine if
// its process ends within strikeAfter.
func stopController(role string, strikeAfter time.Duration) func(t *testing.T, run *Simulation) {
	return func(_ *testing.T, run *Simulation) {
		run.addFresh(17)
		run.Run(catchUpTime)
		leaver := run.controllerAs(role)
		leaver.Terminate()
		// A controller that has not stopped by then loses power, restarts and remains a voter.
		if run.RunUntil(strikeAfter, func() bool { return !leaver.Up }) {
			run.remove(leaver)
		}
		run.injectSecondLoss(run.Shape.Tolerance)
	}
}

// replaceController removes a controller, starts another, and injects the second loss after wait. If
// wait is shorter than catchUpTime, the new controller still counts as lost.
func replaceController(role string, wait time.Duration) func(t *testing.T, run *Simulation) {
	return func(_ *testing.T, run *Simulation) {
		run.remove(run.controllerAs(role))
		run.Run(300 * time.Millisecond)
		run.addFresh(17)
		run.Run(wait)
		count := run.Shape.Tolerance
		if wait < catchUpTime {
			count--
		}
		run.injectSecondLoss(count)
	}
}

// retireStore retires a store, removes its machine as soon as it is retired, and wipes
// others.
func retireStore(t *testing.T, run *Simulation) {
	name := run.Nodes(membership.KindStore)[run.Seed%2].Name
	status := 0
	run.Control(run.Nodes(membership.KindGateway)[0], http.MethodPost, "/v1/stores/"+name+"/retire", nil, func(response membership.ControlResponse, _ bool) {
		status = response.Status
	})
	assert.Check(t, run.RunUntil(5*time.Second, func() bool {
		primary := run.Primary()
		return primary != nil && primary.Machine.(*controller.Controller).State().Members[name].Retired
	}), "status %d", status)
	run.remove(run.nodes[name])
	for number, node := range run.Nodes(membership.KindStore) {
		run.killFor(node, run.between(300*time.Millisecond, 900*time.Millisecond), number < run.Shape.Tolerance)
	}
}

// stopStore asks a store to stop, removes its machine once it has, and wipes others.
func stopStore(t *testing.T, run *Simulation) {
	leaver := run.Nodes(membership.KindStore)[run.Seed%2]
	leaver.Terminate()
	assert.Check(t, run.RunUntil(5*time.Second, func() bool { return !leaver.Up }))
	run.remove(leaver)
	for number, node := range run.Nodes(membership.KindStore) {
		run.killFor(node, run.between(300*time.Millisecond, 900*time.Millisecond), number < run.Shape.Tolerance)
	}
}

// wipePrimaryAfterOrders wipes the primary right after it has applied an order, twice.
func wipePrimaryAfterOrders(t *testing.T, run *Simulation) {
	for range 2 {
		version := func() uint64 {
			if primary := run.Primary(); primary != nil {
				return primary.Machine.(*controller.Controller).State().Version
			}
			return 0
		}
		before := version()
		run.operator.putNext(nil)
		assert.Check(t, run.RunUntil(6*time.Second, func() bool { return version() > before }))
		if run.Primary() != nil {
			run.killFor(run.Primary(), 500*time.Millisecond, true)
		}
		run.Run(catchUpTime + time.Second)
	}
}

var secondLosses = []struct {
	name      string
	tolerance int
	inject    func(t *testing.T, run *Simulation)
}{
	{"the primary was stopped by plan", 1, stopController("primary", 3*time.Second)},
	{"the primary is being stopped by plan", 1, stopController("primary", 250*time.Millisecond)},
	{"a backup was stopped by plan", 1, stopController("backup", 3*time.Second)},
	{"a backup was stopped by plan, two may be lost", 2, stopController("backup", 3*time.Second)},
	{"a witness is being stopped by plan", 1, stopController("witness", 550*time.Millisecond)},
	{"the primary is replaced", 1, replaceController("primary", catchUpTime)},
	{"a witness is replaced", 1, replaceController("witness", catchUpTime)},
	{"a backup is being replaced, two may be lost", 2, replaceController("backup", 1300*time.Millisecond)},
	{"a voter change is in progress, all lose power", 1, replaceController("witness", 1400*time.Millisecond)},
	{"a store is retired", 1, retireStore},
	{"a store is retired, two may be lost", 2, retireStore},
	{"a store was stopped by plan", 1, stopStore},
	{"a store was stopped by plan, two may be lost", 2, stopStore},
	{"right after acknowledgements", 1, wipePrimaryAfterOrders},
}

const secondLossSeeds = 4

func TestTheSecondLoss(t *testing.T) {
	for _, each := range secondLosses {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(secondLossSeeds) {
				secondLoss(t, 7100+seed, each.tolerance, each.inject)
			}
		})
	}
}

func secondLoss(t *testing.T, seed uint64, tolerance int, inject func(t *testing.T, run *Simulation)) {
	t.Helper()
	size := seeded(2*tolerance+1, tolerance)
	size.Stores, size.Clients, size.Gateways = tolerance+2, 4, 3
	run, operator := Prepare(seed, size, nil)
	run.AddDefaultClients(size.Clients)
	run.Run(time.Second)
	operator.runUntil(run.Now.Add(16 * time.Second))
	run.lastFaultAt = run.Now.Add(16 * time.Second)
	inject(t, run)
	assert.Check(t, run.RunUntil(12*time.Second, func() bool { return run.Primary() != nil }), "seed %d: no primary: %s", seed, controllerRecords(run))
	assert.Check(t, run.RunUntil(15*time.Second, func() bool { return len(run.voters()) == 2*tolerance+1 }), "%v", run.voters())
	run.HealAndClose(10 * time.Second)
	for _, line := range run.Checker.Violations() {
		t.Errorf("seed %d: %s", seed, line)
	}
	assert.Check(t, run.Checker.Accepted > 20, "%s", run.Checker.Summary())
}

// controllerRecords formats the record that each running controller holds.
func controllerRecords(run *Simulation) string {
	known := map[string]consensus.Record{}
	for _, node := range run.Nodes(membership.KindController) {
		if node.Up {
			known[node.Name] = node.consensusNode().Record()
		}
	}
	return fmt.Sprint(known)
}
