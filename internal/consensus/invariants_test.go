package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNodeKeepsLeaseAndStateInvariants(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cluster := &testCluster{
				t:            t,
				random:       rand.New(rand.NewPCG(seed, 0x7e)),
				count:        5,
				seeds:        []string{"controller-0", "controller-1", "controller-2"},
				bootstrapped: map[string]bool{},
			}
			for number := range 5 {
				name := fmt.Sprintf("controller-%d", number)
				cluster.add(name, name, fmt.Sprint(number%3))
			}
			for _, controller := range cluster.controllers {
				cluster.after(time.Duration(cluster.random.IntN(500))*time.Millisecond, controller.start)
			}
			cluster.after(time.Second, cluster.generateLoad)
			cluster.after(4*time.Second, cluster.injectFaults)
			cluster.run(3 * time.Minute)
			busy := len(cluster.committed) > 200 && cluster.leaseObservations > 1000 && cluster.snapshots > 20
			assert.Assert(
				t, busy, "too little activity: %d committed, %d snapshots", len(cluster.committed), cluster.snapshots,
			)
			// Within twelve seconds after the last fault a controller must serve again.
			cluster.faultsOver = true
			for _, controller := range cluster.controllers {
				controller.partitioned = false
				controller.unfreeze()
				controller.start()
			}
			cluster.loss = 0
			before := len(cluster.committed)
			lastFault := cluster.now
			for cluster.now-lastFault < 12*time.Second && !cluster.anyServing() {
				cluster.run(50 * time.Millisecond)
			}
			recovered := cluster.anyServing() || len(cluster.committed) > before
			assert.Assert(t, recovered, "no controller serves %s after the last fault", cluster.now-lastFault)
		})
	}
}
