// The control state while machines are replaced for ever: it does not grow, nothing that
// counts is forgotten, and who comes back late is a newcomer.

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

// churn is a control state whose machines are replaced one by one.
type churn struct {
	t      assert.TestingT
	random *rand.Rand
	state  *State
	life   uint64
}

func newChurn(t assert.TestingT, seed uint64) *churn {
	made := &churn{t: t, random: rand.New(rand.NewPCG(seed, 0xc0ffee)), state: newState()}
	made.apply(Command{Configuration: configured(1, `{"version": 1, "spaces": [{"name": "a", "promise": "kept", "order": "topic"}]}`)})
	for number := range 5 {
		made.join(membership.KindStore, fmt.Sprint("store-", number))
		made.join(membership.KindGateway, fmt.Sprint("gateway-", number))
	}
	made.settle()
	return made
}

func (c *churn) apply(command Command) { c.state.Apply(time.Time{}, mustPack(command)) }

func (c *churn) join(kind, name string) {
	c.life++
	self := membership.Member{Name: name, Kind: kind, Address: fmt.Sprint(name, ":", c.life), Zone: fmt.Sprint("zone-", c.life%3), Incarnation: c.life, Disk: fmt.Sprint("disk-", c.life)}
	c.apply(Command{Joins: []Join{{Self: self}}})
}

func (c *churn) lose(name string) {
	c.apply(Command{Departures: []Departure{{Name: name, Incarnation: c.state.Members[name].Incarnation}}})
}

// settle places and completes until nothing changes any more, and forgets all that may
// be forgotten.
func (c *churn) settle() {
	configuration, _ := config.Read(c.state.Document)
	for range 20 {
		command := Command{Places: c.state.plan(configuration)}
		moved := len(command.Places) > 0
		for name, place := range statemachine.Sorted(c.state.Places) {
			settled := membership.PartitionReplicated{Partition: name, Epoch: place.Epoch, Replicas: []string{c.state.Members[place.Leader].ReplicaID()}}
			for _, follower := range place.Followers {
				settled.Replicas = append(settled.Replicas, c.state.Members[follower].ReplicaID())
			}
			if !place.Complete {
				moved = true
				command.Settled = append(command.Settled, settled)
			}
		}
		for name, member := range statemachine.Sorted(c.state.Members) {
			if member.Retiring && !member.Retired && !c.state.refers(name) {
				moved = true
				command.Emptied = append(command.Emptied, name)
			}
			if !member.Alive {
				command.Forgotten = append(command.Forgotten, Departure{Name: name, Incarnation: member.Incarnation})
			}
		}
		c.apply(command)
		c.judge()
		if !moved {
			return
		}
	}
}

// judge looks at what must never be forgotten.
func (c *churn) judge() {
	for _, place := range c.state.Places {
		for _, name := range append([]string{place.Leader}, place.Followers...) {
			_, found := c.state.Members[name]
			assert.Assert(c.t, found, "%s is a copy of %s and was forgotten", name, place.Partition)
		}
		assert.Assert(c.t, len(place.InSync) > 0, "%s has no holders", place.Partition)
		for _, holder := range place.InSync {
			name, _, _ := strings.Cut(holder, "@")
			_, found := c.state.Members[name]
			assert.Assert(c.t, found, "%s holds %s and was forgotten", holder, place.Partition)
		}
	}
	assert.Assert(c.t, len(c.state.Tombstones) <= max(tombstoneFloor, len(c.state.Members)+1), "%d tombstones", len(c.state.Tombstones))
}

// replaceMachines replaces so many machines, each by one of another name, stores in good
// order or after a loss, and gives the size of the state at each quarter.
func replaceMachines(t assert.TestingT, seed uint64, replacements int) []int {
	run := newChurn(t, seed)
	var sizes []int
	for number := range replacements {
		kind := []string{membership.KindGateway, membership.KindAgent, membership.KindController}[run.random.IntN(3)]
		if number%12 == 0 {
			kind = membership.KindStore
		}
		var living []string
		for name, member := range statemachine.Sorted(run.state.Members) {
			if member.Kind == kind && member.Alive && !member.Retiring {
				living = append(living, name)
			}
		}
		if len(living) > 4 {
			leaving := living[run.random.IntN(len(living))]
			if kind == membership.KindStore && run.random.IntN(2) == 0 {
				run.apply(Command{Retirement: &Retirement{Store: leaving, Retiring: true}})
				run.settle()
			}
			run.lose(leaving)
		}
		run.join(kind, fmt.Sprint(kind, "-again-", number))
		if run.random.IntN(3) == 0 {
			run.settle()
		}
		run.judge()
		if (number+1)%(replacements/4) == 0 {
			run.settle()
			sizes = append(sizes, len(run.state.Snapshot()))
		}
	}
	return sizes
}

func TestTheStateDoesNotGrowWithTheMachinesThatWereReplaced(t *testing.T) {
	sizes := replaceMachines(t, 1, 10_000)
	t.Logf("bytes after each quarter of 10,000 replacements: %v", sizes)
	assert.Assert(t, slices.Max(sizes) < slices.Min(sizes)*11/10, "%v", sizes)
}

// An order that was done is known for as long as its tombstone stays, and those of
// stores that were emptied by order go last.
func TestAnOrderThatWasDoneIsKnownAfterTheStoreWasForgotten(t *testing.T) {
	run := newChurn(t, 2)
	run.apply(Command{Retirement: &Retirement{Store: "store-0", Retiring: true}})
	run.settle()
	run.lose("store-0")
	run.settle()
	_, there := run.state.Members["store-0"]
	assert.Assert(t, !there)
	for number := range 3 * tombstoneFloor {
		run.join(membership.KindGateway, fmt.Sprint("passing-", number))
		run.lose(fmt.Sprint("passing-", number))
		run.settle()
	}
	run.apply(Command{Retirement: &Retirement{Store: "store-0", Retiring: true}})
	assert.Equal(t, run.state.result.outcome, Repeated)
	left, found := run.state.member("store-0")
	assert.Assert(t, found && left.Retired && left.Retiring && !left.Alive)
	// The same disk stays emptied, another machine of the name is a new one.
	run.apply(Command{Joins: []Join{{Self: membership.Member{Name: "store-0", Kind: membership.KindStore, Incarnation: 1 << 40, Disk: left.Disk}}}})
	assert.Assert(t, run.state.Members["store-0"].Retired)
	run.lose("store-0")
	run.settle()
	run.apply(Command{Joins: []Join{{Self: membership.Member{Name: "store-0", Kind: membership.KindStore, Incarnation: 1 << 41, Disk: "other"}}}})
	assert.Assert(t, !run.state.Members["store-0"].Retired && run.state.tombstone("store-0") < 0)
}

// An old life that comes back after its tombstone went is a newcomer: it is told all
// anew, holds nothing that counts, and its epochs are over.
func TestAnOldLifeThatComesBackLateIsANewcomer(t *testing.T) {
	run := newChurn(t, 3)
	old, index := run.state.Members["store-1"], run.state.Index
	run.lose("store-1")
	run.settle()
	for number := range 2 * tombstoneFloor {
		run.join(membership.KindGateway, fmt.Sprint("passing-", number))
		run.lose(fmt.Sprint("passing-", number))
		run.settle()
	}
	_, known := run.state.member("store-1")
	assert.Assert(t, !known)
	var news membership.ViewUpdate
	run.state.view(&news, index)
	assert.Equal(t, news.Since, uint64(0))
	before := run.state.Index
	run.apply(Command{Joins: []Join{{Self: old}}})
	assert.Equal(t, run.state.Members["store-1"].Joined, before+1)
	for _, place := range run.state.Places {
		assert.Assert(t, !place.HasReplica("store-1") && !slices.Contains(place.InSync, old.ReplicaID()))
	}
	run.settle()
	for _, place := range run.state.Places {
		assert.Assert(t, !place.HasReplica("store-1") || place.Epoch > before, "an epoch of its earlier time names it")
	}
	run.judge()
}

// The primary forgets who was dead for a minute, and drops what it held of them.
func TestThePrimaryForgetsWhoIsGone(t *testing.T) {
	c := newCouncil(t, 3)
	c.put([]byte(`{"version": 1, "spaces": []}`))
	ask := func(name string, life uint64) {
		primary := c.primary()
		primary.step(func(now time.Time, effects *statemachine.Effects) {
			self := membership.Member{Name: name, Kind: membership.KindGateway, Address: name, Incarnation: life, Alive: true}
			primary.machine.HandleMessage(now, statemachine.Meta{From: name}, membership.ViewRequest{Self: self, Urgent: true}, effects)
		})
	}
	for number := range 20 {
		ask(fmt.Sprint("gateway-", number), uint64(number+1))
	}
	c.run(time.Second)
	assert.Equal(t, len(c.primary().machine.state.Members), 23)
	// Nobody asks any more: all are lost, and then forgotten.
	c.run(70 * time.Second)
	machine := c.primary().machine
	assert.Equal(t, len(machine.state.Members), 3)
	assert.Equal(t, len(machine.state.Tombstones), 20)
	c.run(forgetAfter)
	assert.Equal(t, len(machine.heard)+len(machine.loads), 2*3)
	ask("gateway-7", 100)
	c.run(time.Second)
	assert.Assert(t, machine.state.Members["gateway-7"].Alive)
	assert.Equal(t, len(machine.state.Tombstones), 19)
}
