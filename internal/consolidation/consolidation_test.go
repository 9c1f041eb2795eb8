// The economy against a small model of a fleet whose gateways obey: whatever the
// crowds, losses and noise, there is room to lose one zone as long as anybody
// still rests, nobody flaps, nothing is done on old reports, and what costs most
// decides who rests.
package consolidation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/balancing"
	"dahlialock/internal/config"
	"dahlialock/internal/membership"
)

type town struct {
	random    *rand.Rand
	now       time.Time
	seen      Observation
	economist *Economist
	balancer  *balancing.Balancer
	order     []string
	changes   int
}

func newTown(seed uint64, gateways int, settings config.Consolidation) *town {
	town := &town{
		random: rand.New(rand.NewPCG(seed, 0xec0)), now: time.Unix(1_700_000_000, 0), economist: New(), balancer: balancing.New(),
		seen: Observation{
			Configuration: config.Configuration{Consolidation: settings},
			Members:       map[string]membership.Member{}, Loads: map[string]membership.Load{}, Heard: map[string]time.Time{},
		},
	}
	for number := range gateways {
		name := fmt.Sprintf("gateway-%d", number)
		town.order = append(town.order, name)
		town.seen.Members[name] = membership.Member{Name: name, Kind: membership.KindGateway, Zone: fmt.Sprint(number % 3), Alive: true}
		town.seen.Loads[name] = membership.Load{Ready: true, FreeCapacity: 2000}
	}
	return town
}

func (t *town) arrive(name string, count int) {
	load := t.seen.Loads[name]
	load.Sessions += count
	load.FreeCapacity -= count
	t.seen.Loads[name] = load
}

// second lets the fleet obey for a second: work is done, origins move.
func (t *town) second(noise float64) map[string]membership.Directives {
	t.now = t.now.Add(time.Second)
	for _, name := range t.order {
		load := t.seen.Loads[name]
		wobble := 1 + noise*(t.random.Float64()-0.5)
		load.Delivered += uint64(float64(load.Sessions) * 4 * wobble)
		load.Copies += uint64(float64(load.Sessions) * wobble)
		load.Processor += time.Duration(float64(load.Sessions)*wobble*0.5) * time.Millisecond
		t.seen.Loads[name] = load
		t.seen.Heard[name] = t.now
	}
	orders := t.economist.Decide(t.now, t.seen)
	t.balance(orders)
	for _, name := range t.order {
		order, load, member := orders[name], t.seen.Loads[name], t.seen.Members[name]
		moving := 0
		switch {
		case order.Drain:
			moving = min(order.MovesPerSecond, load.Sessions)
		case order.KeepSessions > 0:
			moving = min(order.MovesPerSecond, max(0, load.Sessions-order.KeepSessions))
		}
		for range moving {
			if len(order.Targets) > 0 {
				t.arrive(name, -1)
				t.arrive(order.Targets[t.random.IntN(min(3, len(order.Targets)))], 1)
			}
		}
		load = t.seen.Loads[name]
		if rests := order.Rest && load.Sessions == 0; rests != member.Resting {
			t.changes++
			member.Resting, load.Ready = rests, !order.Rest
			t.seen.Members[name], t.seen.Loads[name] = member, load
		}
	}
	return orders
}

// balance adds the orders that spread callers evenly, which controllers give besides.
func (t *town) balance(orders map[string]membership.Directives) {
	var gateways []balancing.Gateway
	for _, name := range t.order {
		load := t.seen.Loads[name]
		gateways = append(gateways, balancing.Gateway{
			Name: name, Zone: t.seen.Members[name].Zone, Origins: load.Sessions, Room: load.FreeCapacity, Accepts: load.Ready && !orders[name].Rest,
		})
	}
	for name, order := range t.balancer.Plan(gateways) {
		present := orders[name]
		present.KeepSessions, present.MovesPerSecond, present.Targets = order.Keep, order.Pace, order.Targets
		orders[name] = present
	}
}

func (t *town) total() (total int) {
	for _, load := range t.seen.Loads {
		total += load.Sessions
	}
	return total
}

func (t *town) resting() (count int) {
	for _, member := range t.seen.Members {
		if member.Resting {
			count++
		}
	}
	return count
}

func (t *town) check(tb testing.TB, orders map[string]membership.Directives, each int) {
	tb.Helper()
	places, awake, rests := map[string]int{}, 0, 0
	for name, order := range orders {
		if order.Rest {
			rests++
			continue
		}
		awake++
		places[t.seen.Members[name].Zone]++
	}
	if rests == 0 {
		return
	}
	assert.Assert(tb, awake >= 2 && len(places) >= 2, "%d awake in %v", awake, places)
	for place, count := range places {
		assert.Assert(tb, (awake-count)*each >= t.total(), "without %s %d gateways are left for %d origins", place, awake-count, t.total())
	}
}

func TestThereIsAlwaysRoomAndNobodyFlaps(t *testing.T) {
	for seed := range uint64(60) {
		gateways := 5 + int(seed%5)
		town := newTown(seed, gateways, config.Consolidation{Enabled: true, ProcessorWeight: 1, TrafficWeight: 1, SessionsPerGateway: 100, SpareGateways: 1, StabilizationWindow: 5 * time.Second})
		for range 120 {
			// A crowd or a calm, wherever the platform sends it.
			for range town.random.IntN(80) {
				name := town.order[town.random.IntN(len(town.order))]
				if !town.economist.resting[name] && town.seen.Loads[name].Ready {
					town.arrive(name, 1)
				}
			}
			for _, name := range town.order {
				if town.random.IntN(3) == 0 {
					town.arrive(name, -town.seen.Loads[name].Sessions*town.random.IntN(100)/150)
				}
			}
			town.check(t, town.second(0.2), 100)
		}
		// Left alone with noise only, the fleet settles and stays.
		for range 120 {
			town.second(0.3)
		}
		settled := town.changes
		for range 200 {
			town.check(t, town.second(0.3), 100)
		}
		assert.Assert(t, town.changes == settled, "seed %d: %d changes in a calm", seed, town.changes-settled)
	}
}

func TestOldReportsAreNeverActedOn(t *testing.T) {
	town := newTown(1, 6, config.Consolidation{Enabled: true, ProcessorWeight: 1, TrafficWeight: 1, SessionsPerGateway: 100, SpareGateways: 1, StabilizationWindow: time.Second})
	for range 3 {
		town.second(0)
	}
	size := len(town.economist.resting)
	town.now = town.now.Add(staleAfter)
	for range 60 {
		town.now = town.now.Add(time.Second)
		town.economist.Decide(town.now, town.seen)
	}
	assert.Equal(t, len(town.economist.resting), size)
}

// Two zones hold two gateways each and one holds one. Where processor time
// costs most that one rests too; where traffic does it stays awake for its own.
func TestWeightsDecideWhoRests(t *testing.T) {
	for _, each := range []struct {
		processor, traffic float64
		stays              bool
	}{{100, 0.01, false}, {0.01, 100, true}} {
		town := newTown(3, 7, config.Consolidation{
			Enabled: true, ProcessorWeight: each.processor, TrafficWeight: each.traffic, SessionsPerGateway: 100, SpareGateways: 1, StabilizationWindow: time.Second,
		})
		for _, name := range town.order {
			town.arrive(name, 12)
		}
		for range 60 {
			town.second(0)
		}
		places := map[string]int{}
		for name, member := range town.seen.Members {
			if !town.economist.resting[name] {
				places[member.Zone]++
			}
		}
		assert.Assert(t, town.resting() >= 2, "%d rest", town.resting())
		assert.Equal(t, len(places) == 3, each.stays, "awake by zone: %v", places)
	}
}
