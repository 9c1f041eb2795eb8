// A store whose process is restarted at once still leads its partitions, and reuses offsets that
// its earlier incarnation assigned to messages that were never written to its disk. Messages from
// the earlier incarnation, and responses to it, may arrive seconds later. They must not be
// applied to the new incarnation's messages.
package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// replicaPair is the leader and the follower of a partition, with a gateway that collects
// their responses.
type replicaPair struct {
	*storeCluster
	leader, follower *storeNode
	responses        map[uint64]partition.AppendResponse
	records          []partition.Record
}

func newReplicaPair(t *testing.T, seed uint64) *replicaPair {
	t.Helper()
	pair := &replicaPair{
		storeCluster: newStoreCluster(t, rand.New(rand.NewPCG(seed, 0x1de))),
		responses:    map[uint64]partition.AppendResponse{},
	}
	pair.gatewayHandler = func(_ string, message any) {
		switch body := message.(type) {
		case partition.AppendResponse:
			pair.responses[body.RequestID] = body
		case partition.FetchResponse:
			if body.Ready {
				pair.records = body.Records
			}
		}
	}
	pair.apply(Command{Configuration: configured(1, testConfig)})
	for number := range 3 {
		pair.addStore(number).start()
	}
	pair.run(500 * time.Millisecond)
	pair.apply(Command{Placements: pair.state.planPlacements(pair.configuration())})
	pair.run(3 * time.Second)
	placement := pair.state.Placements[testPartition]
	for _, store := range pair.stores {
		switch store.name {
		case placement.Leader:
			pair.leader = store
		case placement.Followers[0]:
			pair.follower = store
		}
	}
	return pair
}

// publish sends a message to the leader, from a different sender for each request.
func (p *replicaPair) publish(request uint64) {
	p.send(gatewayAddress, statemachine.Send{To: p.leader.name, Message: partition.Append{
		Partition: testPartition,
		RequestID: request,
		Topic:     "a",
		Sender:    fmt.Sprint("sender-", request),
		Seq:       1,
		Data:      fmt.Append(nil, request),
	}})
}

// restartUnsynced publishes a message while the leader's disk hangs, and then restarts the
// leader's process.
func (p *replicaPair) restartUnsynced() {
	p.leader.diskHungUntil = p.now + time.Hour
	p.publish(1)
	p.run(20 * time.Millisecond)
	p.leader.kill()
	p.run(30 * time.Millisecond)
	p.leader.diskHungUntil, p.leader.lastWriteEnd = 0, 0
	p.leader.start()
}

// wasAccepted reports whether a message was acknowledged as accepted.
func (p *replicaPair) wasAccepted(request uint64) bool {
	return p.responses[request].Outcome == partition.OutcomeAccepted
}

// loseLeader kills the leader and wipes its disk, and then checks that the new leader has all
// accepted messages of a range.
func (p *replicaPair) loseLeader(from, to uint64) (violation string) {
	p.leader.kill()
	p.leader.wipe()
	p.after(0, p.reconcile)
	p.run(4 * time.Second)
	p.send(gatewayAddress, statemachine.Send{
		To:      p.state.Placements[testPartition].Leader,
		Message: partition.Fetch{Partition: testPartition, RequestID: 1, Prefixes: []string{""}},
	})
	p.run(time.Second)
	stored, anyAccepted := map[string]bool{}, false
	for _, record := range p.records {
		stored[string(record.Data)] = true
	}
	for request := from; request < to; request++ {
		anyAccepted = anyAccepted || p.wasAccepted(request)
		if p.wasAccepted(request) && !stored[fmt.Sprint(request)] {
			return fmt.Sprintf("message %d was accepted and is lost with the leader's disk", request)
		}
	}
	if !anyAccepted {
		return "nothing was accepted"
	}
	return ""
}

// sameOffset lets the leader's new incarnation accept messages while its follower still has the
// earlier incarnation's message at the same offset, which the leader does not know yet. No message
// is delayed. Then the leader is lost together with its disk.
func sameOffset(t *testing.T, seed uint64) (violation string) {
	t.Helper()
	pair := newReplicaPair(t, seed)
	pair.restartUnsynced()
	for request := uint64(2); request < 250; request++ {
		pair.after(time.Duration(request)*3*time.Millisecond, func() { pair.publish(request) })
	}
	pair.run(time.Second)
	return pair.loseLeader(1, 250)
}

// lateAcknowledgement delivers the follower's acknowledgement of a message of the leader's earlier
// incarnation to the next incarnation, whose own copies to the follower are lost. The new
// incarnation must not accept its message.
func lateAcknowledgement(t *testing.T, seed uint64) (violation string) {
	t.Helper()
	pair := newReplicaPair(t, seed)
	pair.linkFault = func(from, to string, message any) (time.Duration, bool) {
		if _, acknowledges := message.(partition.ReplicateResponse); acknowledges &&
			from == pair.follower.name && to == pair.leader.name {
			return 1500 * time.Millisecond, false
		}
		return 0, false
	}
	began := pair.now
	pair.restartUnsynced()
	pair.linkFault = nil
	pair.run(1400*time.Millisecond - (pair.now - began))
	pair.linkFault = func(from, _ string, message any) (time.Duration, bool) {
		_, copies := message.(partition.Replicate)
		return 0, copies && from == pair.leader.name
	}
	pair.publish(2)
	pair.run(time.Second)
	if pair.wasAccepted(2) {
		return "accepted with one replica only"
	}
	return ""
}

// lateCopy delivers a copy from the leader's earlier incarnation to the follower after the next
// incarnation has brought the follower up to date. Then the leader is lost together with its
// disk.
func lateCopy(t *testing.T, seed uint64) (violation string) {
	t.Helper()
	pair := newReplicaPair(t, seed)
	pair.linkFault = func(from, _ string, message any) (time.Duration, bool) {
		if _, copies := message.(partition.Replicate); copies && from == pair.leader.name {
			return 1200 * time.Millisecond, false
		}
		return 0, false
	}
	pair.restartUnsynced()
	pair.linkFault = nil
	pair.run(1500 * time.Millisecond)
	pair.publish(2)
	pair.run(500 * time.Millisecond)
	return pair.loseLeader(1, 3)
}

// duplicateSnapshot delivers the leader's snapshot of the partition to the follower a second time,
// after more messages were accepted. Then the leader is lost together with its disk.
func duplicateSnapshot(t *testing.T, seed uint64) (violation string) {
	t.Helper()
	pair := newReplicaPair(t, seed)
	snapshots := 0
	pair.linkFault = func(from, to string, message any) (time.Duration, bool) {
		if _, snapshot := message.(partition.InstallSnapshot); snapshot {
			snapshots++
			packed, err := transport.Encode(statemachine.Meta{From: from, Version: 1}, message)
			assert.NilError(t, err)
			pair.after(1500*time.Millisecond, func() { pair.deliver(from, to, packed) })
		}
		return 0, false
	}
	pair.restartUnsynced()
	pair.run(time.Second)
	for request := uint64(2); request < 10; request++ {
		pair.publish(request)
	}
	pair.run(time.Second)
	if snapshots == 0 {
		return "no snapshot was sent"
	}
	return pair.loseLeader(1, 10)
}

// retiresAfterRepeatedOrder reports whether a store is being retired after three orders: an order
// to retire it, an order to return it to use, and a retry of the first order by a daemon that
// received no response. The first two are accepted.
func retiresAfterRepeatedOrder() bool {
	state := newState()
	apply := func(command Command) { state.Apply(time.Time{}, encodeCommand(command)) }
	for _, name := range []string{"store-0", "store-1", "store-2"} {
		self := membership.Member{Name: name, Kind: membership.KindStore, Alive: true, Incarnation: 1}
		apply(Command{Joins: []Join{{Self: self}}})
	}
	retire := Retirement{Order: statemachine.RequestID{Incarnation: 7, Number: 3}, Store: "store-0", Retiring: true}
	useAgain := Retirement{Order: statemachine.RequestID{Incarnation: 9, Number: 3}, Store: "store-0"}
	apply(Command{Retirement: &retire})
	apply(Command{Retirement: &useAgain})
	apply(Command{Retirement: &retire})
	return state.Members["store-0"].Retiring
}

func TestStateRecognizesRepeatedOrder(t *testing.T) {
	assert.Assert(t, !retiresAfterRepeatedOrder())
}

var leaderRestarts = []struct {
	name string
	run  func(t *testing.T, seed uint64) (violation string)
}{
	{"late acknowledgement", lateAcknowledgement},
	{"late copy", lateCopy},
	{"same offset", sameOffset},
	{"duplicate snapshot", duplicateSnapshot},
}

func TestRestartedLeaderIgnoresItsEarlierIncarnation(t *testing.T) {
	for _, each := range leaderRestarts {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s %d", each.name, seed), func(t *testing.T) {
				t.Parallel()
				assert.Equal(t, each.run(t, seed), "")
			})
		}
	}
}
