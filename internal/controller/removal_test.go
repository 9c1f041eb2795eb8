// These tests check the control state while machines are continually replaced: it must not grow,
// no member that is still needed may be removed, and a member that joins again after its
// tombstone was evicted is a new member.
package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// replacementRun applies the replacement of machines, one by one, to a control state.
type replacementRun struct {
	t           assert.TestingT
	random      *rand.Rand
	state       *State
	incarnation uint64
}

func newReplacementRun(t assert.TestingT, seed uint64) *replacementRun {
	run := &replacementRun{t: t, random: rand.New(rand.NewPCG(seed, 0xc0ffee)), state: newState()}
	const document = `{"version": 1, "spaces": [{"name": "a", "promise": "kept", "order": "topic"}]}`
	run.apply(Command{Configuration: configured(1, document)})
	for number := range 5 {
		run.join(membership.KindStore, fmt.Sprint("store-", number))
		run.join(membership.KindGateway, fmt.Sprint("gateway-", number))
	}
	run.stabilize()
	return run
}

func (r *replacementRun) apply(command Command) { r.state.Apply(time.Time{}, encodeCommand(command)) }

func (r *replacementRun) join(kind, name string) {
	r.incarnation++
	r.apply(Command{Joins: []Join{{Self: membership.Member{
		Name:        name,
		Kind:        kind,
		Address:     fmt.Sprint(name, ":", r.incarnation),
		Zone:        fmt.Sprint("zone-", r.incarnation%3),
		Incarnation: r.incarnation,
		Disk:        fmt.Sprint("disk-", r.incarnation),
	}}}})
}

func (r *replacementRun) leave(name string) {
	leave := MemberIncarnation{Name: name, Incarnation: r.state.Members[name].Incarnation}
	r.apply(Command{Leaves: []MemberIncarnation{leave}})
}

func (r *replacementRun) retire(store string) {
	r.apply(Command{Retirement: &Retirement{Store: store, Retiring: true}})
}

// stabilize plans and completes placements and completes retirements until there are no more
// changes, and removes all members that may be removed.
func (r *replacementRun) stabilize() {
	configuration, _ := config.Read(r.state.Document)
	for range 20 {
		command := Command{Placements: r.state.planPlacements(configuration)}
		for _, placement := range statemachine.Sorted(r.state.Placements) {
			if !placement.Complete {
				command.Replicated = append(command.Replicated, replicatedReport(r.state, placement))
			}
		}
		for name, member := range statemachine.Sorted(r.state.Members) {
			if member.Retiring && !member.Retired && !r.state.storeInUse(name) {
				command.RetiredStores = append(command.RetiredStores, name)
			}
			if !member.Alive {
				removal := MemberIncarnation{Name: name, Incarnation: member.Incarnation}
				command.Removals = append(command.Removals, removal)
			}
		}
		r.apply(command)
		r.assertNeededPresent()
		if len(command.Placements)+len(command.Replicated)+len(command.RetiredStores) == 0 {
			return
		}
	}
}

// assertNeededPresent checks that no member to which a placement refers was removed, and that the
// number of tombstones is limited.
func (r *replacementRun) assertNeededPresent() {
	for _, placement := range r.state.Placements {
		for _, name := range append([]string{placement.Leader}, placement.Followers...) {
			_, found := r.state.Members[name]
			assert.Assert(r.t, found, "%s has a replica of %s and was removed", name, placement.Partition)
		}
		assert.Assert(r.t, len(placement.InSync) > 0, "%s has no in-sync replica", placement.Partition)
		for _, replica := range placement.InSync {
			name, _, _ := strings.Cut(replica, "@")
			_, found := r.state.Members[name]
			assert.Assert(r.t, found, "%s is an in-sync replica of %s and was removed", replica, placement.Partition)
		}
	}
	tombstones, limit := len(r.state.Tombstones), max(minTombstones, len(r.state.Members)+1)
	assert.Assert(r.t, tombstones <= limit, "%d tombstones", tombstones)
}

// replaceRandomMachine replaces one machine by another with a different name. A store is either
// retired first or lost.
func (r *replacementRun) replaceRandomMachine(number int) {
	kinds := []string{membership.KindGateway, membership.KindAgent, membership.KindController}
	kind := kinds[r.random.IntN(3)]
	if number%12 == 0 {
		kind = membership.KindStore
	}
	var live []string
	for name, member := range statemachine.Sorted(r.state.Members) {
		if member.Kind == kind && member.Alive && !member.Retiring {
			live = append(live, name)
		}
	}
	if len(live) > 4 {
		replaced := live[r.random.IntN(len(live))]
		if kind == membership.KindStore && r.random.IntN(2) == 0 {
			r.retire(replaced)
			r.stabilize()
		}
		r.leave(replaced)
	}
	r.join(kind, fmt.Sprint(kind, "-again-", number))
	if r.random.IntN(3) == 0 {
		r.stabilize()
	}
	r.assertNeededPresent()
}

// addAndRemoveGateways makes count gateways join, leave and be removed, one after the other.
func (r *replacementRun) addAndRemoveGateways(count int) {
	for number := range count {
		name := fmt.Sprint("passing-", number)
		r.join(membership.KindGateway, name)
		r.leave(name)
		r.stabilize()
	}
}

// replaceMachines replaces machines, and returns the size of the state after each quarter of the
// replacements.
func replaceMachines(t assert.TestingT, seed uint64, replacements int) []int {
	run := newReplacementRun(t, seed)
	var sizes []int
	for number := range replacements {
		run.replaceRandomMachine(number)
		if (number+1)%(replacements/4) == 0 {
			run.stabilize()
			sizes = append(sizes, len(run.state.Snapshot()))
		}
	}
	return sizes
}

func TestStateDoesNotGrowWithReplacedMachines(t *testing.T) {
	sizes := replaceMachines(t, 1, 10_000)
	t.Logf("bytes after each quarter of 10,000 replacements: %v", sizes)
	assert.Assert(t, slices.Max(sizes) < slices.Min(sizes)*11/10, "%v", sizes)
}

// A completed retirement order must be recognized as long as the store's tombstone exists, and the
// tombstones of retired stores must be evicted last.
func TestRetirementIsRecognizedAfterRemoval(t *testing.T) {
	run := newReplacementRun(t, 2)
	run.retire("store-0")
	run.stabilize()
	run.leave("store-0")
	run.stabilize()
	_, found := run.state.Members["store-0"]
	assert.Assert(t, !found)
	run.addAndRemoveGateways(3 * minTombstones)
	run.retire("store-0")
	assert.Equal(t, run.state.result.outcome, Duplicate)
	removed, found := run.state.memberOrTombstone("store-0")
	assert.Assert(t, found && removed.Retired && removed.Retiring && !removed.Alive)
	// A store that joins with the same disk remains retired. With another disk it is a new store.
	rejoin := func(incarnation uint64, disk string) {
		run.apply(Command{Joins: []Join{{Self: membership.Member{
			Name:        "store-0",
			Kind:        membership.KindStore,
			Incarnation: incarnation,
			Disk:        disk,
		}}}})
	}
	rejoin(1<<40, removed.Disk)
	assert.Assert(t, run.state.Members["store-0"].Retired)
	run.leave("store-0")
	run.stabilize()
	rejoin(1<<41, "other")
	assert.Assert(t, !run.state.Members["store-0"].Retired && run.state.tombstoneIndex("store-0") < 0)
}

// An old incarnation that joins after its tombstone was evicted must be treated as a new member:
// it gets the complete view, it has no replica when it joins, and each later placement that refers
// to it has a new epoch.
func TestOldIncarnationComesBackAsNewMember(t *testing.T) {
	run := newReplacementRun(t, 3)
	old, index := run.state.Members["store-1"], run.state.Index
	run.leave("store-1")
	run.stabilize()
	run.addAndRemoveGateways(2 * minTombstones)
	_, known := run.state.memberOrTombstone("store-1")
	assert.Assert(t, !known)
	var update membership.ViewUpdate
	run.state.fillView(&update, index)
	assert.Equal(t, update.Since, uint64(0))
	before := run.state.Index
	run.apply(Command{Joins: []Join{{Self: old}}})
	assert.Equal(t, run.state.Members["store-1"].Joined, before+1)
	for _, placement := range run.state.Placements {
		hasReplica := placement.HasReplica("store-1") || slices.Contains(placement.InSync, old.ReplicaID())
		assert.Assert(t, !hasReplica)
	}
	run.stabilize()
	for _, placement := range run.state.Placements {
		hasReplica := placement.HasReplica("store-1")
		assert.Assert(t, !hasReplica || placement.Epoch > before, "a placement from before the join refers to it")
	}
	run.assertNeededPresent()
}

// The primary must remove members that have been dead for removalDelay, and drop its observations
// of them.
func TestPrimaryRemovesDeadMembers(t *testing.T) {
	cluster := newControllerCluster(t, 3)
	cluster.putConfiguration([]byte(`{"version": 1, "spaces": []}`))
	poll := func(name string, incarnation uint64) {
		primary := cluster.primary()
		primary.step(func(now time.Time, effects *statemachine.Effects) {
			self := membership.Member{
				Name:        name,
				Kind:        membership.KindGateway,
				Address:     name,
				Incarnation: incarnation,
				Alive:       true,
			}
			request := membership.ViewRequest{Self: self, Urgent: true}
			primary.machine.HandleMessage(now, statemachine.Meta{From: name}, request, effects)
		})
	}
	for number := range 20 {
		poll(fmt.Sprint("gateway-", number), uint64(number+1))
	}
	cluster.run(time.Second)
	assert.Equal(t, len(cluster.primary().machine.state.Members), 23)
	// The gateways do not poll any more, so all are detected as failed and later removed.
	cluster.run(70 * time.Second)
	machine := cluster.primary().machine
	assert.Equal(t, len(machine.state.Members), 3)
	assert.Equal(t, len(machine.state.Tombstones), 20)
	cluster.run(removalDelay)
	assert.Equal(t, len(machine.lastPolled)+len(machine.loads), 2*3)
	poll("gateway-7", 100)
	cluster.run(time.Second)
	assert.Assert(t, machine.state.Members["gateway-7"].Alive)
	assert.Equal(t, len(machine.state.Tombstones), 19)
}
