// Which keepers are taken for ailing, and where copies go.
package pilotage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
)

func stateOf(keepers, tolerance int) *State {
	state := newState()
	command := Command{Version: 1, Document: []byte(sharedChart), Tolerance: &tolerance}
	for number := range keepers {
		command.Members = append(command.Members, beacon.Member{
			Name: fmt.Sprint("keeper-", number), Kind: beacon.KindKeeper, Alive: true, Incarnation: 1, Disk: "disk", Locality: fmt.Sprint("zone-", number%3),
		})
	}
	state.Apply(time.Time{}, mustPack(command))
	return state
}

func TestAnAilingKeeperGivesWayToAWorseOne(t *testing.T) {
	now := time.Unix(1000, 0)
	state := stateOf(3, 1)
	lags := map[string]lag{"keeper-0": {at: now, incarnation: 1}}
	step := func(wait time.Duration) []string {
		now = now.Add(wait)
		var told []string
		for _, member := range state.ailments(now, lags) {
			told = append(told, fmt.Sprint(member.Name, " ", member.Ailing))
			state.Members[member.Name] = member
		}
		return told
	}
	assert.DeepEqual(t, step(0), []string{"keeper-0 true"})
	lags["keeper-1"] = lag{at: now, incarnation: 1}
	assert.Equal(t, len(step(0)), 0, "two must be left, and the first complaint is fresh")
	lags["keeper-1"] = lag{at: now.Add(laggingFresh), incarnation: 1}
	assert.DeepEqual(t, step(laggingFresh), []string{"keeper-0 false", "keeper-1 true"})
	lags["keeper-2"] = lag{at: now, incarnation: 2}
	assert.Equal(t, len(step(0)), 0, "another incarnation is meant")
	assert.DeepEqual(t, step(ailingFor+time.Second), []string{"keeper-1 false"})
}

func TestCopiesLieInDifferentLocalitiesAndMoveOnlyIfNeedBe(t *testing.T) {
	for tolerance := range 4 {
		state := stateOf(9, tolerance)
		configuration, _ := chart.Read(state.Document)
		state.Apply(time.Time{}, mustPack(Command{Places: state.plan(configuration)}))
		assert.Equal(t, len(state.Places), chart.SharedStrands)
		assert.Equal(t, len(state.plan(configuration)), 0)
		for _, place := range state.Places {
			localities := map[string]bool{state.Members[place.First].Locality: true}
			for _, name := range place.Understudies {
				localities[state.Members[name].Locality] = true
			}
			assert.Equal(t, len(place.Understudies), tolerance)
			assert.Equal(t, len(localities), min(3, tolerance+1), "%+v", place)
		}
		member := state.Members["keeper-4"]
		member.Ailing = true
		state.Apply(time.Time{}, mustPack(Command{Members: []beacon.Member{member}}))
		for _, next := range state.plan(configuration) {
			before := state.Places[next.Strand]
			assert.Assert(t, before.Names("keeper-4"))
			for _, name := range next.Understudies {
				assert.Assert(t, name != "keeper-4")
			}
			assert.Equal(t, next.First == "keeper-4", tolerance == 0, "one that holds it acts until another does")
		}
	}
}
