// What a gateway promises about a sequence number when it rejects a publication.

package simulator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

const (
	promiseSeeds = 4
	// quorumKills is how often all stores and controllers of a run are killed, and quorumRest the
	// time from one such kill to the next.
	quorumKills = 3
	quorumRest  = 12 * time.Second
	// storesBackAfter and controllersBackAfter are the times from a kill to the restarts. In between, a
	// gateway finds a store that leads nothing.
	storesBackAfter      = 400 * time.Millisecond
	controllersBackAfter = 1200 * time.Millisecond
)

// killStoresAndControllers kills the processes of all stores and controllers at once, and starts them
// again.
func (s *Simulation) killStoresAndControllers() {
	restart := func(kind string, after time.Duration) {
		for _, node := range s.Nodes(kind) {
			node.Crash()
			s.After(after, node.Start)
		}
	}
	restart(membership.KindStore, storesBackAfter)
	restart(membership.KindController, controllersBackAfter)
}

// publishThroughQuorumKills has many clients publish while all stores and controllers are killed again
// and again, and returns the violations of the run.
func publishThroughQuorumKills(seed uint64) []string {
	run, _ := prepareTopics(seed, Small, 0, nil)
	run.AddTopicClients(Small.Clients)
	run.Run(6 * time.Second)
	for range quorumKills {
		for _, client := range run.topicClients {
			for topic := range statemachine.Sorted(client.topics) {
				client.publish(topic)
			}
		}
		run.Run(run.between(2*time.Millisecond, 20*time.Millisecond))
		run.activeFaults++
		run.killStoresAndControllers()
		run.Run(quorumRest)
		run.activeFaults--
		run.lastFaultAt = run.Now
	}
	run.finishTopics()
	run.Checker.Close(run.Now)
	return run.Checker.Violations()
}

// A sequence number that was answered with an unsettled outcome, or with none, may be in the logs of the
// stores. No gateway may confirm that its message never will be appended unless a leader has decided that:
// the sender then publishes the message again under a new number, and it arrives twice.
func TestNumberThatMayBeAppendedIsNotDenied(t *testing.T) {
	for seed := range uint64(promiseSeeds) {
		assert.Equal(t, fmt.Sprint(publishThroughQuorumKills(seed)), "[]", "seed %d", seed)
	}
}
