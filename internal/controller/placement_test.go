// These tests check which stores are marked as degraded, and where replicas are placed.
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
	return &ConfigurationChange{
		Version:  version,
		Document: []byte(document),
		Digest:   config.DigestOf([]byte(document)),
	}
}

// stateOf returns a state with stores in three zones and shared partitions without placements.
func stateOf(stores, tolerance int) *State {
	state := newState()
	command := Command{Configuration: configured(1, sharedConfig), Tolerance: &tolerance}
	for number := range stores {
		command.Joins = append(command.Joins, Join{Self: membership.Member{
			Name:        fmt.Sprint("store-", number),
			Kind:        membership.KindStore,
			Incarnation: 1,
			Disk:        "disk",
			Zone:        fmt.Sprint("zone-", number%3),
		}})
	}
	state.Apply(time.Time{}, encodeCommand(command))
	return state
}

func TestDegradedStoreRecoversForAWorseOne(t *testing.T) {
	now := time.Unix(1000, 0)
	state := stateOf(3, 1)
	slowDisks := map[string]slowDisk{"store-0": {at: now, incarnation: 1}}
	step := func(wait time.Duration) []string {
		now = now.Add(wait)
		var described []string
		changes := state.planDegradations(now, slowDisks)
		for _, change := range changes {
			described = append(described, fmt.Sprint(change.Name, " ", change.Degraded))
		}
		state.Apply(now, encodeCommand(Command{Degradations: changes}))
		for _, change := range changes {
			assert.Equal(t, state.Members[change.Name].Degraded, change.Degraded)
		}
		return described
	}
	assert.DeepEqual(t, step(0), []string{"store-0 true"})
	slowDisks["store-1"] = slowDisk{at: now, incarnation: 1}
	assert.Equal(t, len(step(0)), 0, "two healthy stores must remain, and the report about store-0 is recent")
	slowDisks["store-1"] = slowDisk{at: now.Add(slowDiskTimeout), incarnation: 1}
	assert.DeepEqual(t, step(slowDiskTimeout), []string{"store-0 false", "store-1 true"})
	slowDisks["store-2"] = slowDisk{at: now, incarnation: 2}
	assert.Equal(t, len(step(0)), 0, "the report is about another incarnation")
	assert.DeepEqual(t, step(degradedPeriod+time.Second), []string{"store-1 false"})
}

func TestPlacementSpreadsZonesAndMovesOnlyIfNeeded(t *testing.T) {
	for tolerance := range 4 {
		state := stateOf(9, tolerance)
		configuration, _ := config.Read(state.Document)
		state.Apply(time.Time{}, encodeCommand(Command{Placements: state.planPlacements(configuration)}))
		assert.Equal(t, len(state.Placements), config.SharedPartitions)
		assert.Equal(t, len(state.planPlacements(configuration)), 0)
		for _, placement := range state.Placements {
			zones := map[string]bool{state.Members[placement.Leader].Zone: true}
			for _, name := range placement.Followers {
				zones[state.Members[name].Zone] = true
			}
			assert.Equal(t, len(placement.Followers), tolerance)
			assert.Equal(t, len(zones), min(3, tolerance+1), "%+v", placement)
		}
		degradation := Degradation{Name: "store-4", Incarnation: 1, Degraded: true}
		state.Apply(time.Time{}, encodeCommand(Command{Degradations: []Degradation{degradation}}))
		for _, next := range state.planPlacements(configuration) {
			before := state.Placements[next.Partition]
			assert.Assert(t, before.HasReplica("store-4"))
			for _, name := range next.Followers {
				assert.Assert(t, name != "store-4")
			}
			assert.Equal(t, next.Leader == "store-4", tolerance == 0, "a store must be in sync to become the leader")
		}
	}
}
