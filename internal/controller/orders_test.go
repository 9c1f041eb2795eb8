// Concurrent orders must be decided in log order, not by the time at which each was received. The
// tests use a single controller whose disk can be paused, so that several commands are pending at
// once.
package controller

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/transport"
)

// Of two retirements that would each leave enough stores, but together too few, the later one in
// the log must be rejected.
func TestRetirementLeavesEnoughStores(t *testing.T) { checkConcurrentRetirements(t) }

func checkConcurrentRetirements(t assert.TestingT) {
	single := newSingleController(t, true)
	single.join(membership.KindStore, "store-1", "store-2")
	var first, second uint64
	single.withSyncPaused(func() {
		first = single.retire("store-1")
		second = single.retire("store-2")
	})
	assert.Equal(t, single.status(first), http.StatusAccepted)
	assert.Equal(t, single.status(second), http.StatusConflict)
	assert.Assert(t, single.member("store-1").Retiring && !single.member("store-2").Retiring)
	again := single.finalStatus(single.retire("store-1"))
	assert.Equal(t, again, http.StatusAccepted, "a retry of an accepted order was not acknowledged")
	assert.Equal(t, single.finalStatus(single.retire("store-2")), http.StatusConflict)
}

// A configuration whose drains would leave no live gateway must be rejected, even if the last
// other gateway leaves while the configuration is pending.
func TestDrainsAreCheckedWhereApplied(t *testing.T) { checkDrainsWithConcurrentLeave(t) }

func checkDrainsWithConcurrentLeave(t assert.TestingT) {
	single := newSingleController(t, true)
	single.join(membership.KindGateway, "gateway-1", "gateway-2")
	var put uint64
	single.withSyncPaused(func() {
		single.deliver("gateway-2", membership.GracefulLeave{Name: "gateway-2", Incarnation: 1})
		single.advance(50 * time.Millisecond)
		put = single.putConfiguration(`{"version": 1, "spaces": [], "drains": ["gateway-1"]}`)
	})
	assert.Equal(t, single.status(put), http.StatusBadRequest, "%s", single.responses[put].Body)
	assert.Equal(t, single.controller.state.Version, uint64(0))
}

// A retirement that is pending while another incarnation of the store joins must not revert the
// join.
func TestRetirementKeepsNewIncarnation(t *testing.T) {
	single := newSingleController(t, true)
	single.join(membership.KindStore, "store-1", "store-2", "store-3")
	var retirement uint64
	single.withSyncPaused(func() {
		// The join of the next incarnation is pending when the order is received.
		single.poll(memberNamed(membership.KindStore, "store-1", 2, "disk-store-1"))
		single.advance(150 * time.Millisecond)
		retirement = single.retire("store-1")
	})
	assert.Equal(t, single.status(retirement), http.StatusAccepted)
	member := single.member("store-1")
	assert.Equal(t, member.Incarnation, uint64(2), "the order restored an earlier incarnation")
	assert.Assert(t, member.Retiring && member.Alive)
}

// A store's leave that is applied after a retirement must not revert the retirement.
func TestLeaveKeepsRetirement(t *testing.T) {
	single := newSingleController(t, true)
	single.join(membership.KindStore, "store-1", "store-2", "store-3")
	var retirement uint64
	single.withSyncPaused(func() {
		// Another command is being written, so that both are queued behind it.
		single.putConfiguration(`{"version": 1, "spaces": []}`)
		retirement = single.retire("store-1")
		single.deliver("store-1", membership.GracefulLeave{Name: "store-1", Incarnation: 1})
		single.advance(50 * time.Millisecond)
	})
	assert.Equal(t, single.status(retirement), http.StatusAccepted)
	member := single.member("store-1")
	assert.Assert(t, member.Retiring, "the leave overwrote the order")
	assert.Assert(t, !member.Alive)
}

// An order to retire a store stays in force if the store joins with another disk before the order
// has been completed.
func TestRetirementOutlastsDisk(t *testing.T) {
	single := newSingleController(t, true)
	single.join(membership.KindStore, "store-1", "store-2", "store-3")
	single.putConfiguration(`{"version": 1, "spaces": [{"name": "a", "promise": "kept"}]}`)
	single.advance(4 * time.Second)
	single.join(membership.KindStore, "store-1", "store-2", "store-3")
	retiring := single.controller.state.Placements[PartitionName("a", 1, 0)].Leader
	assert.Equal(t, single.finalStatus(single.retire(retiring)), http.StatusAccepted)
	assert.Assert(t, !single.member(retiring).Retired, "its partitions have no other replica, so it must not be retired")
	single.poll(memberNamed(membership.KindStore, retiring, 2, "another disk"))
	single.advance(200 * time.Millisecond)
	assert.Equal(t, single.member(retiring).Incarnation, uint64(2))
	assert.Assert(t, single.member(retiring).Retiring, "an acknowledged order was lost")
}

func configurationOf(version int, answerWithin string) string {
	const space = `{"name": "a", "promise": "passing", "answer_within": %q}`
	return fmt.Sprintf(`{"version": %d, "spaces": [`+space+`]}`, version, answerWithin)
}

// At most one content may be acknowledged under a version, with and without HighestWins, and
// retries of an accepted configuration must always be acknowledged.
func TestVersionIsConfirmedWithOneContent(t *testing.T) { checkOneContentPerVersion(t) }

func checkOneContentPerVersion(t assert.TestingT) {
	for _, highestWins := range []bool{true, false} {
		single := newSingleController(t, highestWins)
		var left, right uint64
		single.withSyncPaused(func() {
			left = single.putConfiguration(configurationOf(5, "1s"))
			right = single.putConfiguration(configurationOf(5, "2s"))
		})
		assert.Equal(t, single.status(left), http.StatusOK)
		assert.Equal(t, single.status(right), http.StatusConflict, "one version was confirmed to two operators")
		assert.Equal(t, single.code(right), errorCode("same-version"))
		put := func(version int, content string) int {
			return single.finalStatus(single.putConfiguration(configurationOf(version, content)))
		}
		assert.Equal(t, put(5, "1s"), http.StatusOK)
		assert.Equal(t, put(5, "2s"), http.StatusConflict)
		assert.Equal(t, put(8, "3s"), http.StatusOK)
		assert.Equal(t, put(5, "1s"), http.StatusOK, "an accepted configuration was rejected")
		assert.Equal(t, put(5, "2s"), http.StatusConflict)
		superseded := put(7, "1s")
		if !highestWins {
			assert.Equal(t, superseded, http.StatusConflict)
			assert.Equal(t, put(7, "1s"), http.StatusConflict)
			continue
		}
		assert.Equal(t, superseded, http.StatusOK, "a version below the one in force was not acknowledged")
		assert.Equal(t, put(7, "2s"), http.StatusConflict, "a superseded version was acknowledged with two contents")
		assert.Equal(t, put(7, "1s"), http.StatusOK)
		assert.Equal(t, single.controller.state.Version, uint64(8))
	}
}

// The history must be bounded, and must always include the version in force.
func TestHistoryIsBounded(t *testing.T) {
	state := newState()
	at := time.Unix(1_700_000_000, 0)
	put := func(version uint64, content string) Outcome {
		change := configured(version, configurationOf(int(version), content))
		change.ReceivedAt, change.ForwardedBy, change.HighestWins = at, operatorAddress, true
		state.Apply(time.Time{}, encodeCommand(Command{Configuration: change}))
		return state.result.outcome
	}
	for version := range uint64(3 * maxHistory) {
		assert.Equal(t, put(version+1, "1s"), Accepted)
	}
	assert.Equal(t, len(state.History), maxHistory)
	newest := state.History[maxHistory-1]
	assert.Equal(t, newest.Version, uint64(3*maxHistory))
	assert.Equal(t, newest.ForwardedBy, operatorAddress)
	assert.Assert(t, newest.ReceivedAt.Equal(at))
	assert.Equal(t, put(1, "1s"), Superseded, "a version that was dropped from the history")
	assert.Equal(t, put(2*maxHistory+1, "1s"), Duplicate)
	assert.Equal(t, put(2*maxHistory+1, "2s"), ContentConflict)
	assert.Equal(t, put(3*maxHistory, "2s"), ContentConflict)
	encoded := state.Snapshot()
	restored := newState()
	assert.NilError(t, restored.Restore(encoded))
	assert.DeepEqual(t, transport.MustMarshal(restored.History), transport.MustMarshal(state.History))
	state.Document = nil
	assert.Assert(t, len(state.Snapshot()) < maxHistory*64, "%d bytes", len(state.Snapshot()))
}

// Without HighestWins, a version that is superseded while it is pending must be rejected and leave
// no decision in the history: other content under this version is later rejected as older, not
// as a conflict.
func TestRefusedVersionDecidesNothing(t *testing.T) {
	single := newSingleController(t, false)
	var higher, lower uint64
	single.withSyncPaused(func() {
		higher = single.putConfiguration(configurationOf(9, "1s"))
		lower = single.putConfiguration(configurationOf(8, "1s"))
	})
	assert.Equal(t, single.status(higher), http.StatusOK)
	assert.Equal(t, single.code(lower), errorCode("older-version"))
	for _, content := range []string{"1s", "2s"} {
		lower = single.putConfiguration(configurationOf(8, content))
		single.advance(300 * time.Millisecond)
		assert.Equal(t, single.code(lower), errorCode("older-version"))
	}
}

// A command that was decided for one incarnation of a member, or for one placement, must not
// change another incarnation or a newer placement.
func TestCommandsHoldForWhatTheyWereDecidedOn(t *testing.T) {
	state := stateOf(5, 1)
	apply := func(command Command) { state.Apply(time.Time{}, encodeCommand(command)) }
	configuration, _ := config.Read(state.Document)
	apply(Command{Placements: state.planPlacements(configuration)})
	earlier := state.Members["store-0"]
	next := earlier
	next.Incarnation, next.Alive = 2, false
	apply(Command{Joins: []Join{{Self: next}}})
	apply(Command{
		Leaves:       []MemberIncarnation{{Name: "store-0", Incarnation: 1}},
		Joins:        []Join{{Self: earlier}},
		Degradations: []Degradation{{Name: "store-0", Incarnation: 1, Degraded: true}},
		RestChanges:  []RestChange{{Name: "store-0", Incarnation: 1, Resting: true}},
	})
	member := state.Members["store-0"]
	assert.Assert(t, member.Alive && !member.Degraded && !member.Resting)
	assert.Equal(t, member.Incarnation, uint64(2))
	apply(Command{Joins: []Join{{Self: earlier, Replaces: 2}}})
	// This is the join after a clock was set back and the higher incarnation stopped polling.
	assert.Equal(t, state.Members["store-0"].Incarnation, uint64(1))

	// A store is ordered to retire while a plan that assigns replicas to it is pending.
	apply(Command{Leaves: []MemberIncarnation{{Name: "store-0", Incarnation: 1}}})
	planned := state.planPlacements(configuration)
	assert.Assert(t, len(planned) > 0)
	chosen := planned[0].Followers[0]
	apply(Command{Retirement: &Retirement{Store: chosen, Retiring: true}})
	assert.Equal(t, state.result.outcome, Accepted)
	apply(Command{Placements: planned, RetiredStores: []string{chosen}})
	placement := state.Placements[planned[0].Partition]
	assert.Assert(t, !slices.Contains(placement.Followers, chosen) || placement.Epoch < planned[0].Epoch)
	assert.Assert(t, !state.Members[chosen].Retired, "partitions still have replicas on the store")

	// A configuration removes a space while a plan for the space's partitions is pending.
	apply(Command{Configuration: configured(2, `{"version": 2, "spaces": [{"name": "s", "promise": "kept"}]}`)})
	configuration, _ = config.Read(state.Document)
	shared := func(placement membership.Placement) bool { return config.IsShared(placement.Partition) }
	planned = slices.DeleteFunc(state.planPlacements(configuration), shared)
	assert.Assert(t, len(planned) > 0)
	apply(Command{Configuration: configured(3, `{"version": 3, "spaces": []}`)})
	apply(Command{Placements: planned})
	for _, placement := range planned {
		_, placed := state.Placements[placement.Partition]
		assert.Assert(t, !placed, "%s was placed after its space was removed", placement.Partition)
	}
}
