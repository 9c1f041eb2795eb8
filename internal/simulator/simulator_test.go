// Tests that run every scenario with a few fixed seeds and let the checker verify the
// results, and a test that runs are reproducible: the same seed gives the same trace.
package simulator

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSeedsAreReproducible(t *testing.T) {
	scenario, found := Find("pairs")
	assert.Assert(t, found)
	var sums [2]uint64
	var lines [2][]string
	for round := range 2 {
		sum := fnv.New64a()
		Run(scenario, 3, Small, func(line string) {
			_, _ = fmt.Fprintln(sum, line)
			lines[round] = append(lines[round], line)
		})
		sums[round] = sum.Sum64()
	}
	for position := range lines[0] {
		if position >= len(lines[1]) || lines[0][position] != lines[1][position] {
			t.Fatalf("the traces differ at line %d: %q and %q", position, lines[0][position], lines[1][position])
		}
	}
	assert.Equal(t, sums[0], sums[1])
}

// regressionSeeds lists runs that failed in the past, with the fault that they showed.
var regressionSeeds = []struct {
	scenario string
	seed     uint64
	showed   string
}{
	{"wipe-store", 3, "a wiped store acted as the leader with an empty log"},
	{"kill-gateway", 1, "a ping contained a cursor without interests"},
	{"kill-gateway", 2, "a join was abandoned while its route led through a lost daemon"},
	{"lose-place", 24, "followers tried the controllers one after another"},
	{"calm", 15, "a fill ended below the verified offset of its partition"},
	{"resets", 70, "a sender returned to a gateway that had outdated records of its publications"},
	{"freeze-gateway", 0, "held messages prevented a partition from being up to date"},
	{"vanish", 0, "the sequence of a sender's messages was broken at a message without interest"},
	{"resets", 5, "a retry after a move was rejected in an ephemeral space"},
	{"pairs", 1, "stores trimmed records that they had just taken over, by the clock of another machine"},
	{"pairs", 2, "a gateway without its agent kept its clients and rejected their requests"},
	{"storm", 0, "joins were routed to a lost gateway by a gateway that follows nothing"},
	{"storm-retire", 5, "the same, with a store retired before"},
	{"last-restart-all", 3123, "a leader reported a head below what it had accepted before a restart"},
	{"last-restart-all", 3187, "the same"},
	{"storm-wipe-controller", 1, "a backup that lost its disk during a command never caught up"},
	{"storm-cut-place", 1000, "primary and backup stayed in the same zone after a cut, and were lost together with it"},
	{"storm-wipe-controller", 3, "the same; after that no lost store was replaced"},
	{"topics-hot", 5, "the end of one page of missed messages was taken for the end of the topic"},
	{"held-links", 143, "a late join of an earlier incarnation of a gateway; a topic accepted no publications for 15 s"},
	{"topics-steady", 4006, "a duplicate answer completed another publication, and a durable message was rejected"},
}

func checkSeed(t *testing.T, scenario Scenario, seed uint64) {
	t.Helper()
	run := Run(scenario, seed, Small, nil)
	for _, line := range run.Checker.Violations() {
		t.Errorf("fleetlab simulate -scenario %s -from %d -seeds 1 -trace: %s", scenario.Name, seed, line)
	}
	assert.Check(t, run.Checker.Accepted > 200 && run.Checker.Delivered > 1000, "seed %d did little: %s", seed, run.Checker.Summary())
}

func TestScenariosKeepThePromises(t *testing.T) {
	for _, scenario := range Scenarios() {
		if scenario.Topics != nil {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				checkSeed(t, scenario, 1000+seed)
			}
		})
	}
}

// topicRuns lists runs with routed topics. The faults that affect these topics most are injected
// alone, the others in pairs and storms, and several of the runs end with a last fault.
var topicRuns = []struct {
	scenario string
	seeds    uint64
}{
	{"topics-calm", 1}, {"topics-configurations", 1}, {"topics-steady", 1}, {"topics-hot", 1}, {"topics-pairs", 2}, {"topics-storm", 1},
	{"topics-kill-gateway", 1}, {"topics-kill-store", 1}, {"topics-wipe-store", 1}, {"topics-freeze-store", 1},
	{"topics-rolling", 1}, {"topics-restart-stores", 1}, {"topics-join-gateway", 1}, {"topics-resets", 1}, {"topics-wander", 1},
	{"topics-cut-daemon", 1}, {"topics-relink", 1}, {"topics-slow-daemon", 1}, {"topics-space", 1}, {"topics-operators", 1},
	{"topics-last-power-off", 1}, {"topics-last-power-off-and-wipe", 1}, {"topics-last-kill-all", 1}, {"topics-last-lose-place", 1},
}

func TestRoutedTopicsKeepThePromises(t *testing.T) {
	for _, each := range topicRuns {
		t.Run(each.scenario, func(t *testing.T) {
			t.Parallel()
			scenario, found := Find(each.scenario)
			assert.Assert(t, found)
			for seed := range each.seeds {
				checkSeed(t, scenario, 1000+seed)
			}
		})
	}
}

func TestRegressionSeeds(t *testing.T) {
	for _, each := range regressionSeeds {
		t.Run(fmt.Sprintf("%s-%d", each.scenario, each.seed), func(t *testing.T) {
			t.Parallel()
			scenario, found := Find(each.scenario)
			assert.Assert(t, found)
			checkSeed(t, scenario, each.seed)
		})
	}
}

// A client that is away for longer than the retention time plus all margins gets its cursor
// rejected; one that returns within the retention time does not.
func TestACursorIsValidForTheRetentionTimeAndIsThenRejected(t *testing.T) {
	for _, each := range []struct {
		away time.Duration
		lost bool
	}{{34 * time.Second, false}, {100 * time.Second, true}} {
		run, _ := Prepare(7, Small, nil)
		run.AddDefaultClients(6)
		run.Run(6 * time.Second)
		client := run.clients[1]
		assert.Assert(t, client.subscribed)
		client.Reset(each.away)
		run.Run(each.away + 3*time.Second)
		assert.Equal(t, client.Closed, each.lost, "after %s", each.away)
		run.HealAndClose(10 * time.Second)
		assert.Equal(t, len(run.Checker.Violations()), 0, "%v", run.Checker.Violations())
	}
}

// The shapes of both deployments, each in a storm with one last fault.
func TestBothDeploymentsInAStorm(t *testing.T) {
	scenario, found := Find("storm")
	assert.Assert(t, found)
	for _, name := range []string{"fjordlys", "qureshi"} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				run := Run(scenario, 2000+seed, Shapes[name], nil)
				for _, line := range run.Checker.Violations() {
					t.Errorf("fleetlab simulate -scenario storm -size %s -from %d -seeds 1 -trace: %s", name, 2000+seed, line)
				}
				assert.Check(t, run.Checker.Delivered > 10000, "%s", run.Checker.Summary())
			})
		}
	}
}

// Routed topics on the shapes of both deployments and on one with four zones.
func TestRoutedTopicsInLargerFleets(t *testing.T) {
	for name, scenarioName := range map[string]string{"fjordlys": "topics-pairs", "qureshi": "topics-calm", "four": "topics-lose-place"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario, found := Find(scenarioName)
			assert.Assert(t, found)
			run := Run(scenario, 2000, Shapes[name], nil)
			for _, line := range run.Checker.Violations() {
				t.Errorf("fleetlab simulate -scenario %s -size %s -from 2000 -seeds 1 -trace: %s", scenarioName, name, line)
			}
			assert.Check(t, run.Checker.Delivered > 10000, "%s", run.Checker.Summary())
		})
	}
}
