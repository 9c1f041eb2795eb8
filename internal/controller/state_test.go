// Whoever follows the state by what changed sees the same as whoever is told all
// of it, wherever it begins.
package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

func TestNewsOfWhatChangedGiveTheWholeView(t *testing.T) {
	forgotten := 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0xde17a))
		state := newState()
		now := time.Unix(1000, 0)
		followers := make([]*membership.ViewClient, 4)
		for number := range followers {
			followers[number] = membership.NewViewClient(membership.Member{Name: "gateway"}, 0, []string{"controller"}, func() membership.Load { return membership.Load{} })
			followers[number].Start(now)
			followers[number].Tick(now, &statemachine.Effects{})
		}
		version := uint64(0)
		partial := 0
		for step := range 300 {
			var command Command
			switch random.IntN(6) {
			case 0, 1:
				name := fmt.Sprint("store-", random.IntN(6))
				if random.IntN(4) > 0 {
					command.Joins = append(command.Joins, Join{Self: membership.Member{Name: name, Kind: membership.KindStore, Incarnation: uint64(step), Disk: "disk"}})
				} else {
					command.Departures = append(command.Departures, Departure{Name: name, Incarnation: state.Members[name].Incarnation})
				}
			case 2:
				for name, place := range statemachine.Sorted(state.Places) {
					settled := membership.PartitionReplicated{Partition: name, Epoch: place.Epoch, Replicas: []string{state.Members[place.Leader].ReplicaID()}}
					for _, follower := range place.Followers {
						settled.Replicas = append(settled.Replicas, state.Members[follower].ReplicaID())
					}
					if random.IntN(2) == 0 {
						command.Settled = append(command.Settled, settled)
					}
				}
			case 3:
				if step%7 == 0 {
					version++
					spaces := fmt.Sprintf(`{"name": "a", "promise": "kept", "order": "topic"}, {"name": "s%d", "promise": "kept", "order": "channel"}`, random.IntN(3))
					command.Configuration = configured(version, fmt.Sprintf(`{"version": %d, "spaces": [%s]}`, version, spaces))
				}
			case 5:
				for name, member := range statemachine.Sorted(state.Members) {
					command.Forgotten = append(command.Forgotten, Departure{Name: name, Incarnation: member.Incarnation})
				}
			case 4:
				if version > 0 {
					configuration, _ := config.Read(state.Document)
					command.Places = state.plan(configuration)
				}
			}
			state.Apply(now, mustPack(command))
			follower := followers[random.IntN(len(followers))]
			news := membership.ViewUpdate{Nonce: 1, Epoch: 1, Primary: "controller", Index: state.Index, Version: state.Version, Document: state.Document}
			state.view(&news, follower.Index)
			if news.Since > 0 {
				partial++
			}
			forgotten += len(news.RemovedMembers)
			follower.HandleUpdate(now.Add(time.Millisecond), news)
			assert.Equal(t, follower.Index, state.Index)
			assert.DeepEqual(t, follower.Members, state.Members)
			assert.DeepEqual(t, follower.Placements, state.Places)
			assert.DeepEqual(t, follower.SpaceCreatedAt, state.Births)
		}
		assert.Assert(t, partial > 200, "only %d of 300 were told what changed alone", partial)
	}
	assert.Assert(t, forgotten > 100, "only %d were told to be gone", forgotten)
}
