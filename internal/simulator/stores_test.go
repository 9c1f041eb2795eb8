// How long partitions are without a serving leader, measured in virtual time on complete
// fleets: after a store's process ended, after its machine was lost, and while a store is
// drained of its replicas.
package simulator

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/controller"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

const routedDocument = `{"version": 1, "spaces": [{"name": "readings", "promise": "kept", "order": "topic"}], "routes": [{"prefix": "reading.", "space": "readings"}]}`

// servedPartitions returns the number of shared partitions that have a serving store.
func servedPartitions(run *Simulation) int {
	serving := map[string]bool{}
	for _, node := range run.Nodes(membership.KindStore) {
		if !node.Up || node.Frozen {
			continue
		}
		for name, status := range node.Machine.(*partition.Store).Partitions() {
			serving[name] = serving[name] || status.Serving && config.IsShared(name)
		}
	}
	count := 0
	for _, serves := range serving {
		if serves {
			count++
		}
	}
	return count
}

// startRoutedFleet starts a fleet with routes and waits until all shared partitions are served.
func startRoutedFleet(t *testing.T, seed uint64, size Shape) *Simulation {
	run := New(seed, size)
	run.StartAll()
	assert.Assert(t, run.RunUntil(6*time.Second, func() bool { return run.Primary() != nil }))
	run.Run(2 * time.Second)
	taken := false
	run.Control(run.Nodes(membership.KindController)[0], http.MethodPut, "/v1/configuration", []byte(routedDocument), func(response membership.ControlResponse, _ bool) {
		taken = response.Status == http.StatusOK
	})
	assert.Assert(t, run.RunUntil(3*time.Second, func() bool { return taken && servedPartitions(run) == config.SharedPartitions }), "%d partitions are served", servedPartitions(run))
	run.Run(time.Second)
	return run
}

// waitUntilServed waits until all shared partitions are served and returns how long that took.
func waitUntilServed(t *testing.T, run *Simulation) time.Duration {
	began := run.Now
	assert.Assert(t, run.RunUntil(10*time.Second, func() bool { return servedPartitions(run) == config.SharedPartitions }), "%d partitions are served", servedPartitions(run))
	return run.Now.Sub(began)
}

func TestAStoreWhoseProcessEndedIsReplacedAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := startRoutedFleet(t, seed, Shapes["qureshi"])
			run.Nodes(membership.KindStore)[seed%3].Crash()
			length := waitUntilServed(t, run)
			t.Logf("after a crash: %s", length)
			assert.Assert(t, length < 400*time.Millisecond, "after %s", length)
		})
	}
}

func TestAStoreThatIsLostSilentlyIsReplaced(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := startRoutedFleet(t, seed, Shapes["qureshi"])
			run.Nodes(membership.KindStore)[seed%3].Kill()
			length := waitUntilServed(t, run)
			t.Logf("after a loss of power: %s", length)
			assert.Assert(t, length < 4*time.Second, "after %s", length)
		})
	}
}

// appendEvery is the interval between two messages of traffic.
const appendEvery = 3 * time.Millisecond

// startTraffic makes a gateway append to partitions, at the leaders that the primary has placed.
func startTraffic(run *Simulation) {
	seq := uint64(0)
	var next func()
	next = func() {
		run.After(appendEvery, next)
		primary := run.Primary()
		if primary == nil {
			return
		}
		seq++
		topic := fmt.Sprintf("reading.%d", seq%200)
		placement := primary.Machine.(*controller.Controller).State().Placements[config.SharedPartition(topic)]
		gateway := run.Nodes(membership.KindGateway)[0]
		for _, node := range run.Nodes(membership.KindStore) {
			if node.Name == placement.Leader {
				run.send(gateway, statemachine.Send{To: node.Address, Message: partition.Append{
					Partition: placement.Partition, RequestID: 1_000_000 + seq, Topic: topic, Sender: "sender", Seq: seq, Data: make([]byte, 200),
				}}, 1)
			}
		}
	}
	next()
}

// With traffic, the other stores detect the missing replication messages of a lost store long
// before the failure detector detects its missing heartbeats.
func TestStoresDetectLostStoreBeforeFailureDetector(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := startRoutedFleet(t, seed, Shapes["qureshi"])
			startTraffic(run)
			run.Run(5 * time.Second)
			assert.Equal(t, servedPartitions(run), config.SharedPartitions)
			run.Nodes(membership.KindStore)[seed%3].Kill()
			length := waitUntilServed(t, run)
			t.Logf("after a loss of power: %s", length)
			assert.Assert(t, length < time.Second, "after %s", length)
		})
	}
}

// A disk that becomes slow or hangs interrupts the store's partitions only briefly: the
// primary moves them to other stores.
func TestAStoreWhoseDiskIsSlowIsEmptied(t *testing.T) {
	for _, times := range []int{100, 3000} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d-%d", times, seed), func(t *testing.T) {
				t.Parallel()
				run := startRoutedFleet(t, seed, Shapes["qureshi"])
				startTraffic(run)
				run.Run(5 * time.Second)
				store := run.Nodes(membership.KindStore)[seed%3]
				store.diskSlowdown = times
				began := run.Now
				assert.Assert(t, run.RunUntil(5*time.Second, func() bool {
					for _, placement := range run.Primary().Machine.(*controller.Controller).State().Placements {
						if placement.HasReplica(store.Name) || !placement.Complete {
							return false
						}
					}
					return servedPartitions(run) == config.SharedPartitions
				}))
				t.Logf("no replicas left after %s", run.Now.Sub(began))
				assert.Assert(t, run.Now.Sub(began) < 2500*time.Millisecond)
				store.diskSlowdown = 0
				assert.Assert(t, run.RunUntil(20*time.Second, func() bool {
					return !run.Primary().Machine.(*controller.Controller).State().Members[store.Name].Degraded
				}))
			})
		}
	}
}

// Packet loss on the links must not make stores count as degraded, as a slow disk does.
func TestNoStoreIsEmptiedBecauseOfLostPackets(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := startRoutedFleet(t, seed, Shapes["qureshi"])
			startTraffic(run)
			run.Run(3 * time.Second)
			run.loss = 0.02
			for range 200 {
				run.Run(50 * time.Millisecond)
				for _, member := range run.Primary().Machine.(*controller.Controller).State().Members {
					assert.Assert(t, !member.Degraded, "%s is marked as degraded", member.Name)
				}
			}
		})
	}
}

// A restarted store must not be declared lost because of the missed heartbeats of its earlier
// process.
func TestAStoreThatComesBackStays(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := startRoutedFleet(t, seed, Shapes["qureshi"])
			startTraffic(run)
			run.Run(3 * time.Second)
			store := run.Nodes(membership.KindStore)[seed%3]
			store.Kill()
			run.Run(1650 * time.Millisecond)
			store.Start()
			run.Run(500 * time.Millisecond)
			for range 60 {
				run.Run(50 * time.Millisecond)
				assert.Assert(t, run.Primary().Machine.(*controller.Controller).State().Members[store.Name].Alive, "the store was declared lost again")
			}
		})
	}
}

// A store is retired well within the ten seconds that operators wait, and its partitions are
// served except for short interruptions.
func TestARetiredStoreIsEmptiedQuickly(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := startRoutedFleet(t, seed, Shapes["qureshi"])
			name := run.Nodes(membership.KindStore)[seed%3].Name
			asked := func(method, path string) int {
				var status int
				run.Control(run.Nodes(membership.KindGateway)[0], method, path, nil, func(response membership.ControlResponse, _ bool) {
					status = response.Status
				})
				run.RunUntil(2*time.Second, func() bool { return status != 0 })
				return status
			}
			status := asked(http.MethodPost, "/v1/stores/nobody/retire")
			assert.Equal(t, status, http.StatusNotFound)
			began := run.Now
			status = asked(http.MethodPost, "/v1/stores/"+name+"/retire")
			assert.Equal(t, status, http.StatusAccepted)
			done, unserved := false, time.Duration(0)
			for !done && run.Now.Sub(began) < 10*time.Second {
				run.Run(10 * time.Millisecond)
				if servedPartitions(run) < config.SharedPartitions {
					unserved += 10 * time.Millisecond
				}
				done = run.Primary() != nil && run.Primary().Machine.(*controller.Controller).State().Members[name].Retired
			}
			t.Logf("retired after %s, not all served for %s", run.Now.Sub(began), unserved)
			assert.Assert(t, done && run.Now.Sub(began) < 2*time.Second && unserved < 500*time.Millisecond)
			other := run.Nodes(membership.KindStore)[(seed+1)%3].Name
			status = asked(http.MethodPost, "/v1/stores/"+other+"/retire")
			assert.Equal(t, status, http.StatusConflict, "two stores must remain")
		})
	}
}

// All machines lose power and one store loses its disk. As soon as a primary and the other
// stores are back, the partitions of that store get new replicas.
func TestAWipedStoreIsReplacedAtOnceAfterAllCameBack(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := startRoutedFleet(t, seed, Shapes["qureshi"])
			for _, node := range run.Nodes("") {
				node.Kill()
			}
			run.Nodes(membership.KindStore)[seed%3].Wipe()
			run.Run(time.Second)
			run.StartAll()
			assert.Assert(t, run.RunUntil(10*time.Second, func() bool { return run.Primary() != nil }))
			length := waitUntilServed(t, run)
			t.Logf("after the election of a primary: %s", length)
			assert.Assert(t, length < 900*time.Millisecond, "after %s", length)
		})
	}
}
