// Which stores are taken for degraded, and where copies go.
package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
)

func configured(version uint64, document string) *ConfigurationChange {
	return &ConfigurationChange{Version: version, Document: []byte(document), Digest: config.DigestOf([]byte(document))}
}

func stateOf(stores, tolerance int) *State {
	state := newState()
	command := Command{Configuration: configured(1, sharedConfig), Tolerance: &tolerance}
	for number := range stores {
		command.Joins = append(command.Joins, Join{Self: membership.Member{
			Name: fmt.Sprint("store-", number), Kind: membership.KindStore, Incarnation: 1, Disk: "disk", Zone: fmt.Sprint("zone-", number%3),
		}})
	}
	state.Apply(time.Time{}, mustPack(command))
	return state
}

func TestAnDegradedStoreGivesWayToAWorseOne(t *testing.T) {
	now := time.Unix(1000, 0)
	state := stateOf(3, 1)
	lags := map[string]lag{"store-0": {at: now, incarnation: 1}}
	step := func(wait time.Duration) []string {
		now = now.Add(wait)
		var told []string
		changes := state.degradations(now, lags)
		for _, change := range changes {
			told = append(told, fmt.Sprint(change.Name, " ", change.Degraded))
		}
		state.Apply(now, mustPack(Command{Degradations: changes}))
		for _, change := range changes {
			assert.Equal(t, state.Members[change.Name].Degraded, change.Degraded)
		}
		return told
	}
	assert.DeepEqual(t, step(0), []string{"store-0 true"})
	lags["store-1"] = lag{at: now, incarnation: 1}
	assert.Equal(t, len(step(0)), 0, "two must be left, and the first complaint is fresh")
	lags["store-1"] = lag{at: now.Add(laggingFresh), incarnation: 1}
	assert.DeepEqual(t, step(laggingFresh), []string{"store-0 false", "store-1 true"})
	lags["store-2"] = lag{at: now, incarnation: 2}
	assert.Equal(t, len(step(0)), 0, "another incarnation is meant")
	assert.DeepEqual(t, step(degradedFor+time.Second), []string{"store-1 false"})
}

func TestCopiesLieInDifferentZonesAndMoveOnlyIfNeedBe(t *testing.T) {
	for tolerance := range 4 {
		state := stateOf(9, tolerance)
		configuration, _ := config.Read(state.Document)
		state.Apply(time.Time{}, mustPack(Command{Places: state.plan(configuration)}))
		assert.Equal(t, len(state.Places), config.SharedPartitions)
		assert.Equal(t, len(state.plan(configuration)), 0)
		for _, place := range state.Places {
			zones := map[string]bool{state.Members[place.Leader].Zone: true}
			for _, name := range place.Followers {
				zones[state.Members[name].Zone] = true
			}
			assert.Equal(t, len(place.Followers), tolerance)
			assert.Equal(t, len(zones), min(3, tolerance+1), "%+v", place)
		}
		state.Apply(time.Time{}, mustPack(Command{Degradations: []Degradation{{Name: "store-4", Incarnation: 1, Degraded: true}}}))
		for _, next := range state.plan(configuration) {
			before := state.Places[next.Partition]
			assert.Assert(t, before.HasReplica("store-4"))
			for _, name := range next.Followers {
				assert.Assert(t, name != "store-4")
			}
			assert.Equal(t, next.Leader == "store-4", tolerance == 0, "one that holds it acts until another does")
		}
	}
}
