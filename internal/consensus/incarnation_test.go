package consensus

// Tests of messages that are delayed until a later incarnation of a controller runs. A response
// to a request of an earlier incarnation must not count, and a lease that an earlier incarnation
// released must not be taken from a later one.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// fiveControllers returns a cluster with a serving primary.
func fiveControllers(t trial, seed uint64) (*testCluster, *testController) {
	cluster := newCluster(t, seed, 5, 5, 2)
	cluster.startAll()
	cluster.until(20*time.Second, "a controller serves", func() bool { return cluster.serving() != nil })
	cluster.run(time.Second)
	return cluster, cluster.serving()
}

// delayedGrants delivers the grants for one incarnation of the primary to the next one, which
// receives nothing else, while the others choose another primary.
func delayedGrants(t trial, seed uint64) {
	cluster, primary := fiveControllers(t, seed)
	primary.kill()
	firstIncarnation := primary.incarnation + 1
	cluster.delayMessage = func(from, to *testController, message any) (time.Duration, bool) {
		if (from == primary || to == primary) && primary.incarnation > firstIncarnation {
			return 0, true
		}
		if _, isGrant := message.(LeaseGrant); isGrant && to == primary {
			return 1850 * time.Millisecond, false
		}
		return 0, false
	}
	primary.start()
	cluster.run(400 * time.Millisecond)
	primary.kill()
	cluster.run(1300 * time.Millisecond)
	primary.start()
	cluster.run(3 * time.Second)
	assert.Assert(t, cluster.serving() != nil && cluster.serving() != primary, "no other controller became the primary")
}

// delayedRelease delivers the ReleaseLease of one incarnation of the primary to the others after
// the next incarnation has obtained the lease again.
func delayedRelease(t trial, seed uint64) {
	cluster, primary := fiveControllers(t, seed)
	cluster.delayMessage = func(_, _ *testController, message any) (time.Duration, bool) {
		if _, isRelease := message.(ReleaseLease); isRelease {
			return 1500 * time.Millisecond, false
		}
		return 0, false
	}
	primary.step(func(now time.Time, effects *statemachine.Effects) { primary.node.ReleaseLease(now, effects) })
	primary.kill()
	primary.start()
	cluster.run(time.Second)
	assert.Assert(t, primary.node.HoldsLease(primary.local()), "the next incarnation does not hold the lease")
	cluster.run(2 * time.Second)
	assert.Assert(t, primary.node.HoldsLease(primary.local()), "the release of an earlier incarnation ended the lease")
}

// delayedRoleGrants delivers the grants of a role for one incarnation to the next one, while
// another controller obtains the role.
func delayedRoleGrants(t trial, seed uint64) {
	cluster, primary := fiveControllers(t, seed)
	holder := cluster.controllers[0]
	if holder == primary {
		holder = cluster.controllers[1]
	}
	other := cluster.controllers[4]
	if other == primary {
		other = cluster.controllers[3]
	}
	requestRole := func(requester *testController) {
		requester.step(func(now time.Time, effects *statemachine.Effects) {
			requester.node.RequestRoleLease(now, requester.roleLease, effects)
		})
	}
	holder.kill()
	firstIncarnation := holder.incarnation + 1
	cluster.delayMessage = func(from, to *testController, message any) (time.Duration, bool) {
		switch message.(type) {
		case RoleLeaseRequest:
			return 0, from == holder && holder.incarnation > firstIncarnation
		case RoleLeaseResponse:
			if to == holder {
				return 1900 * time.Millisecond, false
			}
		}
		return 0, false
	}
	holder.start()
	cluster.run(2 * time.Second)
	requestRole(holder)
	cluster.run(200 * time.Millisecond)
	holder.kill()
	cluster.run(1600 * time.Millisecond)
	holder.start()
	requestRole(holder)
	for range 20 {
		cluster.run(100 * time.Millisecond)
		requestRole(other)
	}
	assert.Assert(t, other.roleLease.Valid(other.local()), "the other controller does not hold the role")
}

// delayedLeaveResponse delivers the response to a Leave of an earlier incarnation of a controller
// to the next incarnation, while that one leaves too. The response of the primary says that the
// controller is irreplaceable.
func delayedLeaveResponse(t trial, seed uint64) {
	cluster, primary := fiveControllers(t, seed)
	leaving := cluster.controllers[0]
	if leaving == primary {
		leaving = cluster.controllers[1]
	}
	cluster.delayMessage = func(from, _ *testController, _ any) (time.Duration, bool) { return 0, from == leaving }
	earlier := statemachine.NewRequestSequence(leaving.node.settings.Incarnation)
	leaving.kill()
	leaving.start()
	leaving.step(func(now time.Time, effects *statemachine.Effects) { leaving.node.Leave(now, effects) })
	leaving.step(func(now time.Time, effects *statemachine.Effects) {
		leaving.node.HandleMessage(now, statemachine.Meta{From: primary.self.Address}, LeaveResponse{
			Epoch: leaving.node.Record().Epoch, Request: earlier.Next(), Irreplaceable: true,
		}, effects)
	})
	assert.Assert(t, !leaving.node.LeaveCompleted(), "a response to an earlier incarnation completed the leave")
}

// delaysAcrossRestarts delays random messages by up to two seconds, across restarts of sender and
// receiver, while controllers are restarted at random.
func delaysAcrossRestarts(t trial, seed uint64) {
	cluster := newCluster(t, seed, 5, 5, 2)
	cluster.startAll()
	cluster.until(20*time.Second, "a controller serves", func() bool { return cluster.serving() != nil })
	random := rand.New(rand.NewPCG(seed, 0x1d))
	cluster.delayMessage = func(_, _ *testController, _ any) (time.Duration, bool) {
		if cluster.faultsOver || random.IntN(6) > 0 {
			return 0, false
		}
		return time.Duration(random.IntN(2000)) * time.Millisecond, false
	}
	cluster.after(time.Second, cluster.generateLoad)
	cluster.after(2*time.Second, cluster.restartControllers)
	cluster.run(time.Minute)
	cluster.faultsOver = true
	for _, controller := range cluster.controllers {
		controller.start()
	}
	cluster.until(12*time.Second, "a controller serves after restarts", func() bool { return cluster.serving() != nil })
	before := len(cluster.committed)
	cluster.until(5*time.Second, "a command is committed after restarts", func() bool {
		return len(cluster.committed) > before
	})
}

var incarnationRuns = []struct {
	name  string
	seeds uint64
	run   func(t trial, seed uint64)
}{
	{"delayed grants", 10, delayedGrants},
	{"delayed release", 4, delayedRelease},
	{"delayed role grants", 4, delayedRoleGrants},
	{"delayed leave response", 2, delayedLeaveResponse},
	{"delays across restarts", 8, delaysAcrossRestarts},
}

func TestNodeIgnoresMessagesOfEarlierIncarnations(t *testing.T) {
	for _, each := range incarnationRuns {
		for seed := range each.seeds {
			t.Run(fmt.Sprintf("%s %d", each.name, seed), func(t *testing.T) {
				t.Parallel()
				each.run(t, seed)
			})
		}
	}
}
