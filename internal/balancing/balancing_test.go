// The tests run the balancer on a simulated fleet and check that sessions are evened out
// for any order of arrival, at a bounded rate and without oscillation, although the
// reports are a second old.
package balancing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// fleet simulates gateways whose reports and whose execution of directives are both
// delayed by a second.
type fleet struct {
	random   *rand.Rand
	balancer *Balancer
	gateways []Gateway
	// reported is what the balancer sees: the gateways as of the previous second.
	reported   []Gateway
	directives map[string]Directive
	moves      int
}

func newFleet(seed uint64, gateways, zones, sessions int) *fleet {
	model := &fleet{random: rand.New(rand.NewPCG(seed, 7)), balancer: New()}
	for number := range gateways {
		model.addGateway(fmt.Sprintf("gateway-%d", number), fmt.Sprint(number%zones))
	}
	model.connect(sessions, gateways)
	return model
}

func (f *fleet) addGateway(name, zone string) {
	f.gateways = append(f.gateways, Gateway{Name: name, Zone: zone, FreeCapacity: 2000, Accepting: true})
}

// connect opens sessions at random among the first gateways, whose number is given, as a
// platform does that has not discovered the other gateways yet.
func (f *fleet) connect(sessions, among int) {
	for range sessions {
		f.addSessions(f.random.IntN(among), 1)
	}
}

func (f *fleet) addSessions(position, count int) {
	f.gateways[position].Sessions += count
	f.gateways[position].FreeCapacity -= count
}

// run simulates a number of seconds.
func (f *fleet) run(seconds int) {
	for range seconds {
		f.step()
	}
}

// step simulates one second.
func (f *fleet) step() {
	directives := f.directives
	f.directives = f.balancer.Plan(f.reported)
	f.reported = append([]Gateway{}, f.gateways...)
	for position := range f.gateways {
		if directive, found := directives[f.gateways[position].Name]; found {
			f.move(position, directive)
		}
	}
}

// move executes a directive for one second.
func (f *fleet) move(source int, directive Directive) {
	for range min(directive.MovesPerSecond, f.gateways[source].Sessions-directive.KeepSessions) {
		f.moves++
		f.addSessions(source, -1)
		target := directive.Targets[f.random.IntN(len(directive.Targets))]
		for other := range f.gateways {
			if f.gateways[other].Name == target {
				f.addSessions(other, 1)
			}
		}
	}
}

// maxLoadRatio is the largest ratio of a gateway's sessions to the mean of its zone.
func (f *fleet) maxLoadRatio() float64 {
	sums, counts, worst := map[string]int{}, map[string]int{}, 0.0
	for _, gateway := range f.gateways {
		sums[gateway.Zone] += gateway.Sessions
		counts[gateway.Zone]++
	}
	for _, gateway := range f.gateways {
		worst = max(worst, float64(gateway.Sessions*counts[gateway.Zone])/float64(sums[gateway.Zone]))
	}
	return worst
}

func TestBalancerEvensOutUnevenArrival(t *testing.T) {
	for seed := range uint64(40) {
		for _, times := range []int{2, 3, 5} {
			model := newFleet(seed, 15, 3, 0)
			model.connect(1600, 15/times)
			model.run(20)
			ratio := model.maxLoadRatio()
			assert.Assert(t, ratio <= 1.25, "seed %d, %d times the mean: %.2f", seed, times, ratio)
			model.run(10)
			movesBefore := model.moves
			model.run(20)
			assert.Equal(t, model.moves, movesBefore, "seed %d: sessions are still moved after 30 s", seed)
		}
	}
}

func TestBalancerLeavesEvenFleetAlone(t *testing.T) {
	for seed := range uint64(40) {
		model := newFleet(seed, 12, 3, 12*300)
		model.run(10)
		assert.Equal(t, model.moves, 0, "seed %d", seed)
	}
}

func TestBalancerFillsAddedGateways(t *testing.T) {
	model := newFleet(3, 6, 1, 900)
	for number := range 2 {
		model.addGateway(fmt.Sprintf("added-%d", number), "0")
	}
	model.run(25)
	assert.Assert(t, model.maxLoadRatio() <= 1.25, "%.2f", model.maxLoadRatio())
}

func TestBalancerSkipsGatewaysThatAcceptNone(t *testing.T) {
	model := newFleet(4, 4, 1, 0)
	model.connect(400, 1)
	model.gateways[3].Accepting = false
	model.run(30)
	assert.Equal(t, model.gateways[3].Sessions, 0)
	assert.Assert(t, model.gateways[0].Sessions < 200)
}

// A gateway with three times the capacity gets three times the sessions.
func TestBalancerFollowsCapacity(t *testing.T) {
	model := newFleet(5, 4, 1, 0)
	model.gateways[1].FreeCapacity = 6000
	model.connect(1200, 1)
	model.run(60)
	assert.Assert(t, model.gateways[1].Sessions > 2*model.gateways[2].Sessions, "%v", model.gateways)
}

func TestBalancerSpreadsFullZoneOverOthers(t *testing.T) {
	model := newFleet(6, 4, 2, 0)
	for position := range model.gateways {
		model.gateways[position].FreeCapacity = 100
	}
	model.addSessions(0, 98)
	model.addSessions(2, 95)
	model.run(30)
	assert.Assert(t, model.gateways[1].Sessions > 20 && model.gateways[3].Sessions > 20, "%v", model.gateways)
}

// Excess sessions in one zone are evened out within that zone; no other zone changes.
func TestBalancerKeepsSessionsInZone(t *testing.T) {
	model := newFleet(8, 6, 3, 0)
	for position := range model.gateways {
		model.addSessions(position, 20)
	}
	model.addSessions(0, 200)
	model.run(30)
	assert.Assert(t, model.gateways[0].Sessions-model.gateways[3].Sessions < 60, "%v", model.gateways)
	for _, other := range []int{1, 2, 4, 5} {
		assert.Equal(t, model.gateways[other].Sessions, 20)
	}
}
