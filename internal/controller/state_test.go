// Incremental view updates must result in the same view as a complete update, from any index.
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

// viewRun applies random changes to a state while several view clients follow it.
type viewRun struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	state   *State
	clients []*membership.ViewClient
	version uint64
	// partial counts the incremental updates, removed the removed members that were listed in
	// updates.
	partial, removed int
}

func newViewRun(t *testing.T, seed uint64) *viewRun {
	t.Helper()
	run := &viewRun{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 0xde17a)),
		now:     time.Unix(1000, 0),
		state:   newState(),
		clients: make([]*membership.ViewClient, 4),
	}
	noLoad := func() membership.Load { return membership.Load{} }
	for number := range run.clients {
		client := membership.NewViewClient(
			membership.Member{Name: "gateway"}, 0, []string{controllerAddress}, noLoad)
		client.Start(run.now)
		client.Tick(run.now, &statemachine.Effects{})
		run.clients[number] = client
	}
	return run
}

// randomCommand returns a random command for a step.
func (r *viewRun) randomCommand(step int) Command {
	var command Command
	switch r.random.IntN(6) {
	case 0, 1:
		r.addRandomMembershipChange(step, &command)
	case 2:
		for _, placement := range statemachine.Sorted(r.state.Placements) {
			if r.random.IntN(2) == 0 {
				command.Replicated = append(command.Replicated, replicatedReport(r.state, placement))
			}
		}
	case 3:
		if step%7 == 0 {
			command.Configuration = r.randomConfiguration()
		}
	case 4:
		if r.version > 0 {
			configuration, _ := config.Read(r.state.Document)
			command.Placements = r.state.planPlacements(configuration)
		}
	case 5:
		for name, member := range statemachine.Sorted(r.state.Members) {
			removal := MemberIncarnation{Name: name, Incarnation: member.Incarnation}
			command.Removals = append(command.Removals, removal)
		}
	}
	return command
}

func (r *viewRun) addRandomMembershipChange(step int, command *Command) {
	name := fmt.Sprint("store-", r.random.IntN(6))
	if r.random.IntN(4) > 0 {
		self := membership.Member{
			Name:        name,
			Kind:        membership.KindStore,
			Incarnation: uint64(step),
			Disk:        "disk",
		}
		command.Joins = append(command.Joins, Join{Self: self})
		return
	}
	leave := MemberIncarnation{Name: name, Incarnation: r.state.Members[name].Incarnation}
	command.Leaves = append(command.Leaves, leave)
}

func (r *viewRun) randomConfiguration() *ConfigurationChange {
	r.version++
	const spaces = `{"name": "a", "promise": "kept", "order": "topic"}, ` +
		`{"name": "s%d", "promise": "kept", "order": "channel"}`
	document := fmt.Sprintf(`{"version": %d, "spaces": [`+spaces+`]}`, r.version, r.random.IntN(3))
	return configured(r.version, document)
}

// step applies a random command to the state, and updates one client.
func (r *viewRun) step(step int) {
	r.t.Helper()
	r.state.Apply(r.now, encodeCommand(r.randomCommand(step)))
	client := r.clients[r.random.IntN(len(r.clients))]
	update := membership.ViewUpdate{
		Nonce:    1,
		Epoch:    1,
		Primary:  controllerAddress,
		Index:    r.state.Index,
		Version:  r.state.Version,
		Document: r.state.Document,
	}
	r.state.fillView(&update, client.Index)
	if update.Since > 0 {
		r.partial++
	}
	r.removed += len(update.RemovedMembers)
	client.HandleUpdate(r.now.Add(time.Millisecond), update)
	assert.Equal(r.t, client.Index, r.state.Index)
	assert.DeepEqual(r.t, client.Members, r.state.Members)
	assert.DeepEqual(r.t, client.Placements, r.state.Placements)
	assert.DeepEqual(r.t, client.SpaceCreatedAt, r.state.SpaceCreatedAt)
}

func TestViewUpdatesGiveCompleteView(t *testing.T) {
	removed := 0
	for seed := range uint64(20) {
		run := newViewRun(t, seed)
		for step := range 300 {
			run.step(step)
		}
		assert.Assert(t, run.partial > 200, "only %d of 300 updates were incremental", run.partial)
		removed += run.removed
	}
	assert.Assert(t, removed > 100, "updates listed only %d removed members", removed)
}
