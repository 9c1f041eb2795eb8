// The second loss: while a machine is replaced, retired or leaves, planned or not, and
// right after, another is lost with its disk, and all others lose power, with callers
// and operators judged by the checker.
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

// catchUp is how long a machine that is new counts as lost.
const catchUp = 4100 * time.Millisecond

// witness gives a voter that holds no copy.
func (s *Simulation) witness() *Node {
	record := s.Primary().watch().Record()
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

// remove takes a machine away for good.
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
	fresh.founded = true
	fresh.Start()
}

// strikeAgain wipes as many controllers as may be lost beside those lost already,
// one with the state among them, and takes the power of all other machines with
// a disk.
func (s *Simulation) strikeAgain(count int) {
	var wiped []string
	for _, node := range s.Nodes(membership.KindController) {
		if len(wiped) < count && node.Up && node.watch().CompleteEpoch() > 0 {
			wiped = append(wiped, node.Name)
		}
	}
	for _, kind := range []string{membership.KindController, membership.KindStore} {
		for _, node := range s.Nodes(kind) {
			s.killFor(node, s.between(300*time.Millisecond, 900*time.Millisecond), slices.Contains(wiped, node.Name))
		}
	}
}

// leavePlanned starts a successor, asks a controller to stop and takes its machine away
// once it has ended.
func leavePlanned(role string, strikeAfter time.Duration) func(t *testing.T, run *Simulation) {
	return func(_ *testing.T, run *Simulation) {
		run.addFresh(17)
		run.Run(catchUp)
		leaver := run.controllerAs(role)
		leaver.Terminate()
		// What has not ended by then loses power, comes back and goes on as a voter.
		if run.RunUntil(strikeAfter, func() bool { return !leaver.Up }) {
			run.remove(leaver)
		}
		run.strikeAgain(run.Shape.Tolerance)
	}
}

// replaced takes a controller away and starts another, and strikes as soon as that
// one counts.
func replaced(role string, wait time.Duration) func(t *testing.T, run *Simulation) {
	return func(_ *testing.T, run *Simulation) {
		run.remove(run.controllerAs(role))
		run.Run(300 * time.Millisecond)
		run.addFresh(17)
		run.Run(wait)
		count := run.Shape.Tolerance
		if wait < catchUp {
			count--
		}
		run.strikeAgain(count)
	}
}

// retiredStore empties a store, takes it away at once when it is done, and wipes
// others.
func retiredStore(t *testing.T, run *Simulation) {
	name := run.Nodes(membership.KindStore)[run.Seed%2].Name
	status := 0
	run.Control(run.Nodes(membership.KindGateway)[0], http.MethodPost, "/v1/stores/"+name+"/retire", nil, func(response membership.ControlResponse, _ bool) {
		status = response.Status
	})
	assert.Check(t, run.RunUntil(5*time.Second, func() bool {
		primary := run.Primary()
		return primary != nil && primary.Machine.(*controller.Controller).State().Members[name].Retired
	}), "answered %d", status)
	run.remove(run.nodes[name])
	for number, node := range run.Nodes(membership.KindStore) {
		run.killFor(node, run.between(300*time.Millisecond, 900*time.Millisecond), number < run.Shape.Tolerance)
	}
}

// stoppedStore asks a store to end, takes its machine away with it, and wipes others.
func stoppedStore(t *testing.T, run *Simulation) {
	leaver := run.Nodes(membership.KindStore)[run.Seed%2]
	leaver.Terminate()
	assert.Check(t, run.RunUntil(5*time.Second, func() bool { return !leaver.Up }))
	run.remove(leaver)
	for number, node := range run.Nodes(membership.KindStore) {
		run.killFor(node, run.between(300*time.Millisecond, 900*time.Millisecond), number < run.Shape.Tolerance)
	}
}

// afterEachAck wipes the primary right after it has acknowledged something, twice.
func afterEachAck(t *testing.T, run *Simulation) {
	for range 2 {
		version := func() uint64 {
			if primary := run.Primary(); primary != nil {
				return primary.Machine.(*controller.Controller).State().Version
			}
			return 0
		}
		before := version()
		run.operator.next(nil)
		assert.Check(t, run.RunUntil(6*time.Second, func() bool { return version() > before }))
		if run.Primary() != nil {
			run.killFor(run.Primary(), 500*time.Millisecond, true)
		}
		run.Run(catchUp + time.Second)
	}
}

var secondLosses = []struct {
	name      string
	tolerance int
	strike    func(t *testing.T, run *Simulation)
}{
	{"the primary leaves by plan and has gone", 1, leavePlanned("primary", 3*time.Second)},
	{"the primary leaves by plan and goes", 1, leavePlanned("primary", 250*time.Millisecond)},
	{"a backup leaves by plan and has gone", 1, leavePlanned("backup", 3*time.Second)},
	{"a backup leaves by plan and has gone, two may be lost", 2, leavePlanned("backup", 3*time.Second)},
	{"a witness leaves by plan and goes", 1, leavePlanned("witness", 550*time.Millisecond)},
	{"the primary is replaced", 1, replaced("primary", catchUp)},
	{"a witness is replaced", 1, replaced("witness", catchUp)},
	{"a backup is being replaced, two may be lost", 2, replaced("backup", 1300*time.Millisecond)},
	{"a voter change is open, all lose power", 1, replaced("witness", 1400*time.Millisecond)},
	{"a store is retired", 1, retiredStore},
	{"a store is retired, two may be lost", 2, retiredStore},
	{"a store leaves by plan", 1, stoppedStore},
	{"a store leaves by plan, two may be lost", 2, stoppedStore},
	{"right after acknowledgements", 1, afterEachAck},
}

const secondLossSeeds = 4

func TestTheSecondLoss(t *testing.T) {
	for _, each := range secondLosses {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(secondLossSeeds) {
				secondLoss(t, 7100+seed, each.tolerance, each.strike)
			}
		})
	}
}

func secondLoss(t *testing.T, seed uint64, tolerance int, inject func(t *testing.T, run *Simulation)) {
	t.Helper()
	size := seeded(2*tolerance+1, tolerance)
	size.Stores, size.Clients, size.Gateways = tolerance+2, 4, 3
	run, operator := Prepare(seed, size, nil)
	run.Crowd(size.Clients)
	run.Run(time.Second)
	operator.work(run.Now.Add(16 * time.Second))
	run.lastFaultAt = run.Now.Add(16 * time.Second)
	inject(t, run)
	assert.Check(t, run.RunUntil(12*time.Second, func() bool { return run.Primary() != nil }), "seed %d, nobody serves: %s", seed, records(run))
	assert.Check(t, run.RunUntil(15*time.Second, func() bool { return len(run.voters()) == 2*tolerance+1 }), "%v", run.voters())
	run.WaitUntilStable(10 * time.Second)
	for _, line := range run.Checker.Violations() {
		t.Errorf("seed %d: %s", seed, line)
	}
	assert.Check(t, run.Checker.Accepted > 20, "%s", run.Checker.Summary())
}

// records tells what each controller knows.
func records(run *Simulation) string {
	known := map[string]consensus.Record{}
	for _, node := range run.Nodes(membership.KindController) {
		if node.Up {
			known[node.Name] = node.watch().Record()
		}
	}
	return fmt.Sprint(known)
}
