// The tests run the planner on a simulated fleet whose gateways execute its directives.
// They check that, under changing and noisy load, the fleet survives the loss of one zone
// while any gateway rests, that the set of resting gateways does not oscillate, that
// nothing is decided on outdated reports, and that the weights decide which gateway rests.
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

// modelFleet simulates a fleet in steps of one second.
type modelFleet struct {
	random      *rand.Rand
	now         time.Time
	observation Observation
	planner     *Planner
	balancer    *balancing.Balancer
	// names holds the names of the gateways in the order in which they are simulated.
	names []string
	// changes counts how often a gateway started or stopped resting.
	changes int
}

// consolidationSettings returns settings for gateways that serve a hundred sessions each.
func consolidationSettings(stabilizationWindow time.Duration) config.Consolidation {
	return config.Consolidation{
		Enabled:             true,
		ProcessorWeight:     1,
		TrafficWeight:       1,
		SessionsPerGateway:  100,
		SpareGateways:       1,
		StabilizationWindow: stabilizationWindow,
	}
}

func newModelFleet(seed uint64, gateways int, settings config.Consolidation) *modelFleet {
	model := &modelFleet{
		random:   rand.New(rand.NewPCG(seed, 0xec0)),
		now:      time.Unix(1_700_000_000, 0),
		planner:  New(),
		balancer: balancing.New(),
		observation: Observation{
			Configuration: config.Configuration{Consolidation: settings},
			Members:       map[string]membership.Member{},
			Loads:         map[string]membership.Load{},
			LastReported:  map[string]time.Time{},
		},
	}
	for number := range gateways {
		name := fmt.Sprintf("gateway-%d", number)
		model.names = append(model.names, name)
		model.observation.Members[name] = membership.Member{
			Name:  name,
			Kind:  membership.KindGateway,
			Zone:  fmt.Sprint(number % 3),
			Alive: true,
		}
		model.observation.Loads[name] = membership.Load{Ready: true, FreeCapacity: 2000}
	}
	return model
}

func (m *modelFleet) addSessions(name string, count int) {
	load := m.observation.Loads[name]
	load.Sessions += count
	load.FreeCapacity -= count
	m.observation.Loads[name] = load
}

// step simulates the traffic of one second and the execution of the new directives.
func (m *modelFleet) step(noise float64) map[string]membership.Directives {
	m.now = m.now.Add(time.Second)
	for _, name := range m.names {
		m.work(name, noise)
	}
	directives := m.planner.Plan(m.now, m.observation)
	m.balance(directives)
	for _, name := range m.names {
		m.move(name, directives[name])
		m.rest(name, directives[name])
	}
	return directives
}

// work advances the counters of a gateway by a second of traffic and reports them.
func (m *modelFleet) work(name string, noise float64) {
	load := m.observation.Loads[name]
	factor := 1 + noise*(m.random.Float64()-0.5)
	load.Delivered += uint64(float64(load.Sessions) * 4 * factor)
	load.ForwardedMessages += uint64(float64(load.Sessions) * factor)
	load.ProcessorTime += time.Duration(float64(load.Sessions)*factor*0.5) * time.Millisecond
	m.observation.Loads[name] = load
	m.observation.LastReported[name] = m.now
}

// move moves the sessions that a gateway moves in one second to its targets.
func (m *modelFleet) move(name string, directives membership.Directives) {
	load := m.observation.Loads[name]
	count := 0
	switch {
	case directives.Drain:
		count = min(directives.MovesPerSecond, load.Sessions)
	case directives.KeepSessions > 0:
		count = min(directives.MovesPerSecond, max(0, load.Sessions-directives.KeepSessions))
	}
	for range count {
		if len(directives.Targets) > 0 {
			m.addSessions(name, -1)
			m.addSessions(directives.Targets[m.random.IntN(min(3, len(directives.Targets)))], 1)
		}
	}
}

// rest makes a gateway rest once it has no sessions, or wakes it.
func (m *modelFleet) rest(name string, directives membership.Directives) {
	load, member := m.observation.Loads[name], m.observation.Members[name]
	if resting := directives.Rest && load.Sessions == 0; resting != member.Resting {
		m.changes++
		member.Resting, load.Ready = resting, !directives.Rest
		m.observation.Members[name], m.observation.Loads[name] = member, load
	}
}

// balance adds the balancer's directives to the planner's, as controllers do.
func (m *modelFleet) balance(directives map[string]membership.Directives) {
	var gateways []balancing.Gateway
	for _, name := range m.names {
		load := m.observation.Loads[name]
		gateways = append(gateways, balancing.Gateway{
			Name:         name,
			Zone:         m.observation.Members[name].Zone,
			Sessions:     load.Sessions,
			FreeCapacity: load.FreeCapacity,
			Accepting:    load.Ready && !directives[name].Rest,
		})
	}
	for name, directive := range m.balancer.Plan(gateways) {
		merged := directives[name]
		merged.KeepSessions = directive.KeepSessions
		merged.MovesPerSecond = directive.MovesPerSecond
		merged.Targets = directive.Targets
		directives[name] = merged
	}
}

func (m *modelFleet) sessions() (total int) {
	for _, load := range m.observation.Loads {
		total += load.Sessions
	}
	return total
}

func (m *modelFleet) resting() (count int) {
	for _, member := range m.observation.Members {
		if member.Resting {
			count++
		}
	}
	return count
}

// assertSurvivesZoneLoss checks that, while any gateway rests, the awake gateways can
// serve all sessions after the loss of any zone, where each has the given capacity.
func (m *modelFleet) assertSurvivesZoneLoss(t *testing.T, directives map[string]membership.Directives, capacity int) {
	t.Helper()
	awakeByZone, awake, resting := map[string]int{}, 0, 0
	for name, directive := range directives {
		if directive.Rest {
			resting++
			continue
		}
		awake++
		awakeByZone[m.observation.Members[name].Zone]++
	}
	if resting == 0 {
		return
	}
	assert.Assert(t, awake >= 2 && len(awakeByZone) >= 2, "%d awake in %v", awake, awakeByZone)
	for zone, count := range awakeByZone {
		remaining := awake - count
		assert.Assert(t, remaining*capacity >= m.sessions(),
			"without zone %s, %d gateways remain for %d sessions", zone, remaining, m.sessions())
	}
}

// churn opens and closes sessions at random gateways.
func (m *modelFleet) churn() {
	for range m.random.IntN(80) {
		name := m.names[m.random.IntN(len(m.names))]
		if !m.planner.resting[name] && m.observation.Loads[name].Ready {
			m.addSessions(name, 1)
		}
	}
	for _, name := range m.names {
		if m.random.IntN(3) == 0 {
			m.addSessions(name, -m.observation.Loads[name].Sessions*m.random.IntN(100)/150)
		}
	}
}

func TestPlannerSurvivesZoneLossAndDoesNotOscillate(t *testing.T) {
	for seed := range uint64(60) {
		model := newModelFleet(seed, 5+int(seed%5), consolidationSettings(5*time.Second))
		for range 120 {
			model.churn()
			model.assertSurvivesZoneLoss(t, model.step(0.2), 100)
		}
		// With noise but no change of load, the fleet becomes stable and stays stable.
		for range 120 {
			model.step(0.3)
		}
		changesBefore := model.changes
		for range 200 {
			model.assertSurvivesZoneLoss(t, model.step(0.3), 100)
		}
		assert.Assert(t, model.changes == changesBefore,
			"seed %d: %d changes without a change of load", seed, model.changes-changesBefore)
	}
}

func TestPlannerIgnoresOutdatedReports(t *testing.T) {
	model := newModelFleet(1, 6, consolidationSettings(time.Second))
	for range 3 {
		model.step(0)
	}
	size := len(model.planner.resting)
	model.now = model.now.Add(reportTimeout)
	for range 60 {
		model.now = model.now.Add(time.Second)
		model.planner.Plan(model.now, model.observation)
	}
	assert.Equal(t, len(model.planner.resting), size)
}

// Seven gateways are in three zones. If processor time has the higher weight, the last
// gateway of a zone rests too; if traffic has, each zone keeps an awake gateway.
func TestPlannerFollowsWeights(t *testing.T) {
	for _, weights := range []struct {
		processor, traffic float64
		allZonesAwake      bool
	}{
		{processor: 100, traffic: 0.01, allZonesAwake: false},
		{processor: 0.01, traffic: 100, allZonesAwake: true},
	} {
		settings := consolidationSettings(time.Second)
		settings.ProcessorWeight, settings.TrafficWeight = weights.processor, weights.traffic
		model := newModelFleet(3, 7, settings)
		for _, name := range model.names {
			model.addSessions(name, 12)
		}
		for range 60 {
			model.step(0)
		}
		awakeByZone := map[string]int{}
		for name, member := range model.observation.Members {
			if !model.planner.resting[name] {
				awakeByZone[member.Zone]++
			}
		}
		assert.Assert(t, model.resting() >= 2, "%d rest", model.resting())
		assert.Equal(t, len(awakeByZone) == 3, weights.allZonesAwake, "awake by zone: %v", awakeByZone)
	}
}
