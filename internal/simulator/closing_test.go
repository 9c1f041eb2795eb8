// The fault that ends a run: as many stores and as many controllers as the tolerance
// allows lose their disks, and at the same moment every other machine loses power,
// including those without durable state (gateways and agents). Everything that was
// acknowledged before must be available when they are back.
//
// More seeds: go test -run AtTheEndOfARun ./internal/simulator -closing.seeds 20 -closing.from 20000
package simulator

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/checker"
	"dahlialock/internal/controller"
	"dahlialock/internal/faults"
	"dahlialock/internal/membership"
)

var (
	closingSeeds = flag.Uint64("closing.seeds", 1, "seeds of each row of TestDisksAndAllPowerLostAtTheEndOfARun")
	closingFrom  = flag.Uint64("closing.from", 1, "the first of these seeds")
)

// closingFault is one kind of fault that ends a run.
type closingFault struct {
	name string
	// faultCount is the number of faults that are drawn before the closing one.
	faultCount int
	// wiped chooses the machines of a kind whose disks are lost.
	wiped func(run *Simulation, kind string, count int) []*Node
	// delay is how long after the others the machines with lost disks come back, empty.
	delay time.Duration
}

var closingFaults = []closingFault{
	{name: "any disks", wiped: anyDisks},
	{name: "disks of leaders", wiped: disksOfLeaders},
	{name: "disks of followers", wiped: disksOfFollowers},
	{name: "disks of leaders, restarted late", wiped: disksOfLeaders, delay: 4 * time.Second},
	{name: "any disks after faults", wiped: anyDisks, faultCount: 4},
	{name: "disks of leaders after faults", wiped: disksOfLeaders, faultCount: 4},
}

// closingClients is a kind of clients, with how a run with them begins and ends.
type closingClients struct {
	name  string
	begin func(seed uint64, size Shape) (*Simulation, *Operator)
	close func(run *Simulation)
}

var closingClientKinds = []closingClients{
	{name: "routed topics", begin: beginRouted, close: (*Simulation).finishTopics},
	{name: "spaces", begin: beginSpaces, close: closeSpaces},
	{name: "both", begin: beginBoth, close: closeBoth},
}

func beginRouted(seed uint64, size Shape) (*Simulation, *Operator) {
	run, operator := prepareTopics(seed, size, 0, nil)
	run.AddTopicClients(size.Clients)
	return run, operator
}

func beginSpaces(seed uint64, size Shape) (*Simulation, *Operator) {
	run, operator := Prepare(seed, size, nil)
	run.AddDefaultClients(size.Clients)
	return run, operator
}

func beginBoth(seed uint64, size Shape) (*Simulation, *Operator) {
	run, operator := prepareTopics(seed, size, 0, nil)
	run.AddDefaultClients(size.Clients)
	run.AddTopicClients(size.Clients)
	return run, operator
}

func closeBoth(run *Simulation) {
	for _, client := range run.clients {
		client.StopPublishing()
	}
	run.Run(3 * time.Second)
	for _, client := range run.clients {
		if !client.subscribed && !client.Closed {
			run.Checker.Violate(checker.NotRecovered, "%s is not served at the end of the run", client.Name)
		}
	}
	run.finishTopics()
}

func closeSpaces(run *Simulation) {
	for range 4 {
		run.operator.read()
		run.Run(500 * time.Millisecond)
	}
	run.finish(6 * time.Second)
}

// closingShapes returns fleets whose controllers are bootstrapped through seed addresses,
// with the minimum number of machines for their tolerance and with spares, and the small
// fleet with a fixed number of controllers.
func closingShapes() map[string]Shape {
	shapes := map[string]Shape{}
	add := func(name string, size Shape, stores int) {
		size.Stores, size.Clients, size.Gateways = stores, 6, 3
		shapes[name] = size
	}
	add("fixed", Small, 3)
	add("seeded, one may be lost", seeded(3, 1), 3)
	add("seeded with spares, one may be lost", seeded(5, 1), 4)
	add("seeded, two may be lost", seeded(5, 2), 4)
	add("seeded with spares, two may be lost", seeded(9, 2), 5)
	return shapes
}

// tolerated is the number of machines of each kind with a disk that a shape may lose.
func tolerated(size Shape) int {
	if !size.Seeded {
		return controller.DefaultTolerance
	}
	return size.Tolerance
}

// anyDisks chooses randomly among all machines of a kind, including those that are down.
func anyDisks(run *Simulation, kind string, count int) []*Node {
	nodes := run.Nodes(kind)
	run.Random.Shuffle(len(nodes), func(left, right int) { nodes[left], nodes[right] = nodes[right], nodes[left] })
	return nodes[:count]
}

// disksOfLeaders chooses the primary and its backups, and the stores that lead the most
// partitions.
func disksOfLeaders(run *Simulation, kind string, count int) []*Node {
	return byRank(run, kind)[:count]
}

// disksOfFollowers chooses as disksOfLeaders does, but without the primary and without the
// store that leads the most partitions.
func disksOfFollowers(run *Simulation, kind string, count int) []*Node {
	return byRank(run, kind)[1 : count+1]
}

// byRank sorts the machines of a kind by role: the primary before the backups before all
// other controllers, and the stores by the number of partitions that they lead.
func byRank(run *Simulation, kind string) []*Node {
	rank := map[string]int{}
	if primary := run.Primary(); primary != nil {
		record := primary.consensusNode().Record()
		rank[record.Primary] = 2
		for _, backup := range record.Backups {
			rank[backup] = 1
		}
		for _, placement := range primary.controllerState().Placements {
			rank[placement.Leader]++
		}
	}
	nodes := run.Nodes(kind)
	slices.SortStableFunc(nodes, func(left, right *Node) int { return rank[right.Name] - rank[left.Name] })
	return nodes
}

// losePowerAndDisks kills every process at the same moment and wipes some disks.
func (s *Simulation) losePowerAndDisks(wiped []*Node, delay time.Duration) {
	for _, node := range s.Nodes("") {
		late := time.Duration(0)
		if node.Up {
			node.Kill()
		}
		if slices.Contains(wiped, node) {
			node.Wipe()
			late = delay
		}
		s.After(late+s.between(300*time.Millisecond, 1500*time.Millisecond), node.Start)
	}
}

func TestDisksAndAllPowerLostAtTheEndOfARun(t *testing.T) {
	for shape, size := range closingShapes() {
		for _, fault := range closingFaults {
			for _, callers := range closingClientKinds {
				t.Run(shape+"/"+callers.name+"/"+fault.name, func(t *testing.T) {
					t.Parallel()
					for seed := range *closingSeeds {
						runClosingFault(t, *closingFrom+seed, size, callers, fault)
					}
				})
			}
		}
	}
}

// runClosingFault runs a fleet with clients, ends the run with a fault, and checks the result.
func runClosingFault(t *testing.T, seed uint64, size Shape, callers closingClients, fault closingFault) {
	t.Helper()
	run, operator := callers.begin(seed, size)
	run.Run(2 * time.Second)
	operator.runUntil(run.Now.Add(topicScenarioLength + 40*time.Second))
	run.lastFaultAt = run.Now.Add(-checker.FaultSettleTime)
	if fault.faultCount > 0 {
		run.injectAndSettle(t, faults.Draw(rand.New(rand.NewPCG(seed, 0xc105)), faults.Names, topicScenarioLength, fault.faultCount))
	}

	acknowledged := run.acknowledgeMore(t, seed)
	accepted := run.Checker.Accepted
	count := tolerated(size)
	wiped := append(fault.wiped(run, membership.KindStore, count), fault.wiped(run, membership.KindController, count)...)
	run.activeFaults++
	run.losePowerAndDisks(wiped, fault.delay)
	run.Run(fault.delay + 1500*time.Millisecond)
	run.activeFaults--
	run.lastFaultAt = run.Now
	run.Run(checker.FaultSettleTime + 2*time.Second)

	primary := run.Primary()
	if primary == nil {
		t.Fatalf("seed %d: no primary: %s", seed, controllerRecords(run))
	}
	version := primary.controllerState().Version
	assert.Check(t, version >= acknowledged, "seed %d: configuration %d is in force, but %d was acknowledged", seed, version, acknowledged)
	callers.close(run)
	for _, line := range run.Checker.Violations() {
		t.Errorf("seed %d: %s", seed, line)
	}
	enough := run.Checker.Accepted > accepted+50
	assert.Check(t, enough, "seed %d: too few messages were accepted after the fault: %s", seed, run.Checker.Summary())
}

// injectAndSettle injects faults and waits until they have ended and their effects have settled.
func (s *Simulation) injectAndSettle(t *testing.T, schedule []faults.Fault) {
	t.Helper()
	for _, fault := range schedule {
		s.After(fault.Start, func() { s.inject(fault) })
	}
	s.Run(topicScenarioLength)
	ended := s.RunUntil(time.Minute, func() bool { return s.activeFaults == 0 })
	assert.Check(t, ended, "a fault has not ended: %s", faults.Format(schedule))
	s.Run(checker.FaultSettleTime + 4*time.Second)
}

// acknowledgeMore waits until a configuration and a message after it are acknowledged,
// and returns the version of the configuration.
func (s *Simulation) acknowledgeMore(t *testing.T, seed uint64) uint64 {
	t.Helper()
	taken := false
	s.operator.putNext(func() { taken = true })
	version := s.operator.version
	assert.Check(t, s.RunUntil(10*time.Second, func() bool { return taken }), "seed %d: the configuration was not accepted", seed)
	accepted := s.Checker.Accepted
	more := s.RunUntil(2*time.Second, func() bool { return s.Checker.Accepted > accepted })
	assert.Check(t, more, "seed %d: no message was accepted", seed)
	return version
}
