// Scenarios: the faults that are injected into a simulated fleet. Each is a name with a
// function that schedules its faults from the seed; all share the same clients, operators
// and checks. At the end every fault is healed, clients get time to reconnect, and the
// checker runs its final checks.

package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/controller"
	"dahlialock/internal/faults"
	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
)

// Scenario is one kind of run. At most one of Faults, Schedule and Topics is set.
type Scenario struct {
	Name string
	// Length is for how long Faults injects faults.
	Length   time.Duration
	Faults   func(simulation *Simulation, length time.Duration)
	Schedule func(seed uint64) FaultSchedule
	// Topics is set for runs with clients of routed topics.
	Topics func(seed uint64) TopicSchedule
}

const sampleEvery = 100 * time.Millisecond

// sampleVersions passes the configuration version in force and the readiness of every healthy
// gateway to the checker, and repeats itself every sampleEvery.
func (s *Simulation) sampleVersions() {
	s.After(sampleEvery, s.sampleVersions)
	for _, client := range s.clients {
		client.watch()
	}
	switch primary := s.Primary(); {
	case primary == nil:
		s.primarySince = time.Time{}
	case s.primarySince.IsZero():
		s.primarySince = s.Now
	}
	for _, node := range s.Nodes(membership.KindGateway) {
		if !node.Up || node.Frozen || node.Stopping {
			continue
		}
		healthy := node.HealthySince
		agent := s.agentOf(node)
		if !agent.Up || agent.Frozen {
			continue
		}
		if agent.HealthySince.After(healthy) {
			healthy = agent.HealthySince
		}
		if s.isolatedFromMajority(node) || s.isolatedFromMajority(agent) {
			continue
		}
		if directives := node.Gateway().ViewClient().Directives; !node.Ready() && !directives.Rest && !slices.Contains(node.Gateway().Configuration().Draining, node.Name) {
			s.unready[node.Name] += sampleEvery
			s.Checker.NotReady(node.Name, s.calmSince(), s.Now)
		}
		if s.primarySince.After(healthy) && !node.Ready() {
			healthy = s.primarySince
		}
		if node.Ready() || s.Now.Sub(healthy) > checker.InForceWithin && !s.primarySince.IsZero() {
			s.Checker.InForce(node.Name, node.Gateway().Configuration().Version, node.Ready(), healthy, s.Now)
		}
	}
}

// isolatedFromMajority reports whether a daemon is cut off from at least half of the
// controllers.
func (s *Simulation) isolatedFromMajority(node *Node) bool {
	cut, all := 0, 0
	for _, other := range s.Nodes(membership.KindController) {
		all++
		if s.cuts[linkName(node, other)]+s.cuts[linkName(other, node)] > 0 {
			cut++
		}
	}
	return cut*2 >= all
}

// Prepare starts a fleet, puts its first configuration, and waits until all gateways are
// ready.
func Prepare(seed uint64, size Shape, trace func(line string)) (*Simulation, *Operator) {
	return prepare(seed, size, 0, trace)
}

func prepare(seed uint64, size Shape, clockSkew time.Duration, trace func(line string)) (*Simulation, *Operator) {
	simulation := New(seed, size)
	return simulation, simulation.startFleet(clockSkew, trace)
}

// startFleet starts the daemons, puts the first configuration, and waits until all gateways
// are ready.
func (s *Simulation) startFleet(clockSkew time.Duration, trace func(line string)) *Operator {
	s.Trace = trace
	s.clockSkew = clockSkew
	s.StartAll()
	operator := newOperator(s)
	s.operator = operator
	s.Checker.DefineSpace("boards", true, false)
	s.Checker.DefineSpace("decisions", true, true)
	s.Checker.DefineSpace("cursors", false, false)
	accepted := false
	s.After(time.Second, func() { operator.putNext(func() { accepted = true }) })
	if !s.RunUntil(20*time.Second, func() bool { return accepted }) {
		s.Checker.Violate(checker.NotRecovered, "no configuration was accepted within 20 s")
	}
	s.RunUntil(10*time.Second, func() bool {
		for _, node := range s.Nodes(membership.KindGateway) {
			if !node.Ready() || node.Gateway().Configuration().Version == 0 {
				return false
			}
		}
		return true
	})
	s.lastFaultAt = s.Now
	s.sampleVersions()
	return operator
}

// AddDefaultClients adds the clients that most scenarios have.
func (s *Simulation) AddDefaultClients(count int) {
	topics := []string{}
	for project := range 3 {
		for board := range 4 {
			topics = append(topics, fmt.Sprintf("p%d/b%d", project, board))
		}
	}
	for number := range count {
		zone := number % s.Shape.Zones
		random := s.Random
		interests := []gateway.Interest{
			{Space: "boards", Path: topics[random.IntN(len(topics))]}, {Space: "boards", Path: fmt.Sprintf("p%d", random.IntN(3)), Prefix: true},
			{Space: "cursors", Path: topics[random.IntN(len(topics))]}, {Space: "decisions", Path: "", Prefix: true},
		}
		switch number % 4 {
		case 1:
			interests = append(interests, gateway.Interest{Space: "boards", Prefix: true})
		case 2:
			interests = interests[:2]
		}
		client := s.AddClient(fmt.Sprintf("origin-%d", number), zone, interests...)
		if number%2 == 0 {
			client.Resends = true
			client.PublishPeriodically(1+number%3,
				PublishPlan{Space: "boards", Topics: topics, Every: 250 * time.Millisecond},
				PublishPlan{Space: "decisions", Topics: topics[:3], Every: 700 * time.Millisecond},
				PublishPlan{Space: "cursors", Topics: topics, Every: 400 * time.Millisecond})
		}
	}
}

// Run runs a scenario with a seed.
func Run(scenario Scenario, seed uint64, size Shape, trace func(line string)) *Simulation {
	if scenario.Topics != nil {
		return RunTopics(seed, size, scenario.Topics(seed), trace)
	}
	if scenario.Schedule != nil {
		return RunSchedule(seed, size, scenario.Schedule(seed), trace)
	}
	simulation, operator := Prepare(seed, size, trace)
	simulation.AddDefaultClients(size.Clients)
	simulation.Run(3 * time.Second)
	operator.runUntil(simulation.Now.Add(scenario.Length))
	simulation.lastFaultAt = simulation.Now.Add(-checker.FaultSettleTime)
	if scenario.Faults != nil {
		simulation.activeFaults++
		scenario.Faults(simulation, scenario.Length)
	}
	simulation.Run(scenario.Length)
	if scenario.Faults != nil {
		simulation.faultEnds(scenario.Name)
	}
	simulation.HealAndClose(20 * time.Second)
	return simulation
}

// HealAndClose heals all faults, gives clients time to reconnect and to continue, and
// ends the run with the checker's final checks.
func (s *Simulation) HealAndClose(wait time.Duration) {
	s.Heal()
	for _, node := range s.Nodes("") {
		if node.Frozen {
			node.Thaw()
			s.lastFaultAt = s.Now
		}
		if !node.Up {
			node.Start()
			s.lastFaultAt = s.Now
		}
	}
	s.Run(wait * 7 / 10)
	s.finish(wait * 3 / 10)
}

// finish stops new publications, waits for those in flight, and ends the run with the
// checker's final checks.
func (s *Simulation) finish(wait time.Duration) {
	for _, client := range s.clients {
		client.StopPublishing()
	}
	s.Run(wait)
	for _, client := range s.clients {
		if !client.subscribed && !client.Closed {
			s.Checker.Violate(checker.NotRecovered, "%s is still not served %s after the last fault", client.Name, wait)
		}
	}
	s.traceFinalState()
	s.Checker.Close(s.Now)
}

// traceFinalState writes the state of gateways, stores and clients at the end to the trace.
func (s *Simulation) traceFinalState() {
	if s.Trace == nil {
		return
	}
	for _, node := range s.Nodes(membership.KindGateway) {
		for name, status := range statemachine.Sorted(node.Gateway().Trackers(node.localTime())) {
			s.trace("%s ready %v %s: %+v", node.Name, node.Ready(), name, status)
		}
	}
	for _, node := range s.Nodes(membership.KindStore) {
		for name, status := range statemachine.Sorted(node.Machine.(*partition.Store).Partitions()) {
			s.trace("%s %s: %+v", node.Name, name, status)
		}
	}
	for _, client := range s.topicClients {
		for topic, each := range statemachine.Sorted(client.topics) {
			s.trace("%s connected %v holds %s from %q: %v", client.Name, client.connected, topic, each.cursor, each.confirmed)
		}
	}
	for _, client := range s.clients {
		s.trace("%s at %s connected %v subscribed %v outbox %d", client.Name, client.node.Name, client.connected, client.subscribed, len(client.outbox))
	}
}

// MeasureRecovery measures how long from now it takes until every client is subscribed again
// and can publish, and when each part of the recovery was observed.
func (s *Simulation) MeasureRecovery(failure string) {
	from := s.Now
	recovery := &Recovery{What: failure}
	s.recovery, s.recoveryStart = recovery, from
	var check func()
	check = func() {
		after := s.Now.Sub(from)
		primary, partitions, clients := s.serving()
		for _, part := range []struct {
			available bool
			since     *time.Duration
		}{{primary, &recovery.TakeoverDone}, {partitions, &recovery.PartitionsComplete}, {clients, &recovery.ClientsBack}} {
			if !part.available {
				*part.since = 0
			} else if *part.since == 0 {
				*part.since = after
			}
		}
		// The failure may be detected only after a time in which everything still
		// appears healthy, so service counts as back once it lasted for four seconds.
		if back := max(recovery.TakeoverDone, recovery.PartitionsComplete, recovery.ClientsBack); primary && partitions && clients && after-back > 4*time.Second || after > 2*checker.RecoveryWithin {
			if !primary || !partitions || !clients {
				back = after
			}
			s.Checker.Recovered(failure, back)
			s.trace("service is back %s after %s: %+v", back, failure, *recovery)
			s.Recoveries = append(s.Recoveries, *recovery)
			s.recovery = nil
			return
		}
		s.After(50*time.Millisecond, check)
	}
	s.After(50*time.Millisecond, check)
}

// Faults.

// randomRunningNode picks a random daemon of a kind that is up and not frozen, or nil.
func (s *Simulation) randomRunningNode(kind string) *Node {
	var up []*Node
	for _, node := range s.Nodes(kind) {
		if node.Up && !node.Frozen {
			up = append(up, node)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.Random.IntN(len(up))]
}

// between draws a random duration.
func (s *Simulation) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.Random.Int64N(int64(maximum-minimum)+1))
}

// killFor kills a daemon, wipes its disk if requested, and restarts it after length.
func (s *Simulation) killFor(node *Node, length time.Duration, wipe bool) {
	if node == nil || !node.Up {
		return
	}
	node.Kill()
	if wipe {
		node.Wipe()
	}
	s.After(length, node.Start)
}

func (s *Simulation) freezeFor(node *Node, length time.Duration) {
	if node == nil {
		return
	}
	node.Freeze()
	s.After(length, node.Thaw)
}

func (s *Simulation) restartFor(node *Node, length time.Duration) {
	if node == nil || !node.Up {
		return
	}
	node.Terminate()
	s.After(6*time.Second+length, node.Start)
}

// every injects a fault again and again, at random intervals, until shortly before length
// has passed.
func (s *Simulation) every(length, minimum, maximum time.Duration, fault func()) {
	until := s.Now.Add(length - 2*time.Second)
	var inject func()
	inject = func() {
		if s.Now.After(until) {
			return
		}
		fault()
		s.After(s.between(minimum, maximum), inject)
	}
	s.After(s.between(0, minimum), inject)
}

// controllerIn returns the controller in a role, "primary" or "backup", or nil.
func (s *Simulation) controllerIn(role string) *Node {
	primary := s.Primary()
	if primary == nil {
		return nil
	}
	record := primary.Machine.(*controller.Controller).Node().Record()
	if role == "backup" {
		if len(record.Backups) == 0 {
			return nil
		}
		return s.nodes[record.Backups[0]]
	}
	return s.nodes[record.Primary]
}

func kill(kind string) func(simulation *Simulation, length time.Duration) {
	return func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 6*time.Second, 10*time.Second, func() {
			simulation.killFor(simulation.randomRunningNode(kind), simulation.between(200*time.Millisecond, 5*time.Second), false)
		})
	}
}

func freeze(kind string) func(simulation *Simulation, length time.Duration) {
	return func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 6*time.Second, 9*time.Second, func() {
			simulation.freezeFor(simulation.randomRunningNode(kind), simulation.between(300*time.Millisecond, 6*time.Second))
		})
	}
}

func killPrimary(simulation *Simulation, length time.Duration) {
	simulation.every(length, 9*time.Second, 13*time.Second, func() {
		simulation.killFor(simulation.controllerIn("primary"), simulation.between(time.Second, 8*time.Second), false)
	})
}

// faultFunctions lists the scenarios whose faults are injected by a function, by name.
var faultFunctions = map[string]func(simulation *Simulation, length time.Duration){
	"calm":              func(*Simulation, time.Duration) {},
	"kill-gateway":      kill(membership.KindGateway),
	"kill-agent":        kill(membership.KindAgent),
	"kill-store":        kill(membership.KindStore),
	"kill-controller":   kill(membership.KindController),
	"freeze-gateway":    freeze(membership.KindGateway),
	"freeze-store":      freeze(membership.KindStore),
	"freeze-controller": freeze(membership.KindController),
	"kill-primary":      killPrimary,
	"held-links":        restartsWithHeldLinks,
	"kill-backup": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 9*time.Second, 13*time.Second, func() {
			simulation.killFor(simulation.controllerIn("backup"), simulation.between(time.Second, 8*time.Second), false)
		})
	},
	"freeze-primary": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 9*time.Second, 13*time.Second, func() {
			simulation.freezeFor(simulation.controllerIn("primary"), simulation.between(time.Second, 8*time.Second))
		})
	},
	"wipe-controller": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 14*time.Second, 18*time.Second, func() {
			simulation.killFor(simulation.randomRunningNode(membership.KindController), simulation.between(time.Second, 5*time.Second), true)
		})
	},
	"wipe-store": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 14*time.Second, 18*time.Second, func() {
			simulation.killFor(simulation.randomRunningNode(membership.KindStore), simulation.between(time.Second, 5*time.Second), true)
		})
	},
	"restart-gateways": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 8*time.Second, 10*time.Second, func() {
			simulation.restartFor(simulation.randomRunningNode(membership.KindGateway), simulation.between(0, time.Second))
		})
	},
	"restart-stores": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 11*time.Second, 13*time.Second, func() {
			simulation.restartFor(simulation.randomRunningNode(membership.KindStore), simulation.between(0, time.Second))
		})
	},
	"resets": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 2*time.Second, 6*time.Second, func() {
			for _, client := range simulation.clients {
				if simulation.Random.IntN(10) > 0 {
					client.Reset(simulation.between(0, 400*time.Millisecond))
				}
			}
		})
	},
	"vanish": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 2*time.Second, 5*time.Second, func() {
			client := simulation.clients[simulation.Random.IntN(len(simulation.clients))]
			client.Reset(simulation.between(time.Second, 20*time.Second))
		})
	},
	"wander": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 500*time.Millisecond, 2*time.Second, func() {
			client := simulation.clients[simulation.Random.IntN(len(simulation.clients))]
			client.Zone = simulation.Random.IntN(simulation.Shape.Zones)
			client.Reset(simulation.between(0, 50*time.Millisecond))
		})
	},
	"loss": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 5*time.Second, 9*time.Second, func() {
			simulation.loss = 0.05 + simulation.Random.Float64()*0.15
			simulation.After(simulation.between(time.Second, 4*time.Second), simulation.Heal)
		})
	},
	"cut-links": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 5*time.Second, 9*time.Second, func() {
			nodes := simulation.Nodes("")
			for range 8 {
				from, to := nodes[simulation.Random.IntN(len(nodes))], nodes[simulation.Random.IntN(len(nodes))]
				if from != to && !onSameMachine(from, to) {
					simulation.CutLink(from, to)
				}
			}
			simulation.After(simulation.between(500*time.Millisecond, 5*time.Second), simulation.Heal)
		})
	},
	"cut-daemon": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 9*time.Second, 12*time.Second, func() {
			chosen := simulation.randomRunningNode("")
			simulation.trace("%s is cut off", chosen.Name)
			simulation.Isolate(func(node *Node) bool { return node == chosen || onSameMachine(node, chosen) })
			simulation.After(simulation.between(500*time.Millisecond, 7*time.Second), simulation.Heal)
		})
	},
	"cut-place": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 14*time.Second, 18*time.Second, func() {
			zone := simulation.Random.IntN(simulation.Shape.Zones)
			simulation.trace("zone %d is cut off", zone)
			simulation.Isolate(func(node *Node) bool { return node.Zone == zone })
			simulation.After(simulation.between(500*time.Millisecond, 8*time.Second), simulation.Heal)
		})
	},
	"lose-place": func(simulation *Simulation, _ time.Duration) {
		simulation.After(3*time.Second, func() {
			zone := simulation.Random.IntN(simulation.Shape.Zones)
			for _, node := range simulation.Nodes("") {
				if node.Zone == zone {
					node.Kill()
					simulation.After(simulation.between(14*time.Second, 16*time.Second), node.Start)
				}
			}
			simulation.MeasureRecovery("a zone lost")
		})
	},
	"lose-primary": func(simulation *Simulation, _ time.Duration) {
		simulation.After(3*time.Second, func() {
			if node := simulation.controllerIn("primary"); node != nil {
				simulation.killFor(node, 20*time.Second, false)
				simulation.MeasureRecovery("the primary lost")
			}
		})
	},
	"lose-two": func(simulation *Simulation, _ time.Duration) {
		simulation.After(3*time.Second, func() {
			kinds := [][2]string{{membership.KindGateway, membership.KindStore}, {membership.KindController, membership.KindStore}, {membership.KindGateway, membership.KindController}}
			pair := kinds[simulation.Random.IntN(len(kinds))]
			for _, kind := range pair {
				simulation.killFor(simulation.randomRunningNode(kind), 20*time.Second, false)
			}
			simulation.MeasureRecovery("two daemons of different kinds lost")
		})
	},
	"cut-primary": func(simulation *Simulation, length time.Duration) {
		simulation.every(length, 12*time.Second, 15*time.Second, func() {
			chosen := simulation.controllerIn("primary")
			if chosen == nil {
				return
			}
			simulation.trace("%s is cut off from the other controllers", chosen.Name)
			for _, other := range simulation.Nodes(membership.KindController) {
				if other != chosen {
					simulation.CutLink(chosen, other)
					simulation.CutLink(other, chosen)
				}
			}
			simulation.After(simulation.between(6*time.Second, 9*time.Second), simulation.Heal)
		})
	},
	"lose-disk-in-turn": func(simulation *Simulation, length time.Duration) {
		// One store is down for a short time, and another loses its disk just as the
		// first one returns. Publications that were accepted in between must have
		// been replicated elsewhere.
		simulation.every(length, 16*time.Second, 18*time.Second, func() {
			stores := simulation.Nodes(membership.KindStore)
			absent := simulation.Random.IntN(len(stores))
			wait := simulation.between(400*time.Millisecond, 1500*time.Millisecond)
			simulation.killFor(stores[absent], wait, false)
			lost := stores[(absent+1+simulation.Random.IntN(len(stores)-1))%len(stores)]
			simulation.After(wait, func() { simulation.killFor(lost, 3*time.Second, true) })
		})
	},
	"rest-and-crowd": func(simulation *Simulation, length time.Duration) {
		// A fleet with little load drains gateways and lets them rest. Then many clients
		// connect within a second, half of them in one zone.
		simulation.enableEconomy()
		simulation.After(length*6/10, func() {
			simulation.trace("a crowd connects; %d gateways are resting", simulation.countResting())
			for number := range 24 {
				zone := number % simulation.Shape.Zones
				if number%2 == 0 {
					zone = 0
				}
				simulation.AddClient(fmt.Sprintf("crowd-%d", number), zone, gateway.Interest{Space: "boards", Path: "p1", Prefix: true})
			}
			simulation.MeasureRecovery("a crowd on a rested fleet")
		})
	},
	"rest-and-fail": func(simulation *Simulation, length time.Duration) {
		// The same fleet with little load, while the primary controller, which lets
		// gateways rest, and other daemons are lost.
		simulation.enableEconomy()
		simulation.every(length, 7*time.Second, 10*time.Second, func() {
			kinds := []string{membership.KindGateway, membership.KindController, membership.KindStore, membership.KindAgent}
			if simulation.Random.IntN(2) == 0 {
				simulation.killFor(simulation.controllerIn("primary"), simulation.between(time.Second, 6*time.Second), false)
				return
			}
			simulation.killFor(simulation.randomRunningNode(kinds[simulation.Random.IntN(len(kinds))]), simulation.between(200*time.Millisecond, 5*time.Second), false)
		})
	},
	"busy-operators": func(simulation *Simulation, length time.Duration) {
		// Configurations are put and read back continuously while primaries are lost.
		simulation.every(length, 250*time.Millisecond, 400*time.Millisecond, func() { simulation.operator.putNext(nil) })
		simulation.every(length, 80*time.Millisecond, 150*time.Millisecond, simulation.operator.read)
		killPrimary(simulation, length)
	},
	"drain": func(simulation *Simulation, _ time.Duration) {
		// An operator drains a gateway; ten seconds later it must have no clients.
		simulation.After(2*time.Second, func() {
			node := simulation.randomRunningNode(membership.KindGateway)
			simulation.operator.drains = []string{node.Name}
			simulation.operator.putNext(func() {
				simulation.After(10*time.Second, func() {
					if node.Up && node.Gateway().Load().Sessions > 0 && len(simulation.operator.drains) > 0 {
						simulation.Checker.Violate("drain", "%s still has %d clients", node.Name, node.Gateway().Load().Sessions)
					}
				})
			})
		})
	},
	"moves": func(simulation *Simulation, length time.Duration) {
		// Gateways are drained in turn, and clients move and reconnect continuously, but
		// no daemon and no link fails. Then not even an ephemeral message may be lost.
		simulation.Checker.RequireEphemeral = true
		gateways := simulation.Nodes(membership.KindGateway)
		turn := 0
		simulation.every(length, 3*time.Second, 4*time.Second, func() {
			simulation.operator.drains = []string{gateways[turn%len(gateways)].Name}
			turn++
			simulation.operator.putNext(nil)
		})
		simulation.every(length, 400*time.Millisecond, 900*time.Millisecond, func() {
			client := simulation.clients[simulation.Random.IntN(len(simulation.clients))]
			client.Zone = simulation.Random.IntN(simulation.Shape.Zones)
			client.Reset(simulation.between(0, 50*time.Millisecond))
		})
	},
	"retire": func(simulation *Simulation, _ time.Duration) {
		simulation.After(2*time.Second, func() {
			node := simulation.randomRunningNode(membership.KindStore)
			simulation.retire(node, func() {
				simulation.trace("%s was retired and is wiped", node.Name)
				simulation.killFor(node, 5*time.Second, true)
			}, func() {})
		})
	},
	"orders-pairs":  ordersOfPairs,
	"orders-eight":  ordersOfEight,
	"orders-retire": ordersToRetire,
	"remove-space": func(simulation *Simulation, length time.Duration) {
		simulation.briefSpace(length)
	},
}

// enableEconomy enables the economy setting, which lets gateways rest while there is little
// load, with a short quiet_for.
func (s *Simulation) enableEconomy() {
	s.operator.economy = map[string]any{"enabled": true, "origins_each": 8, "spare_gateways": 1, "quiet_for": "2s"}
	s.operator.putNext(nil)
}

// countResting counts the gateways that are resting.
func (s *Simulation) countResting() int {
	count := 0
	for _, node := range s.Nodes(membership.KindGateway) {
		if node.Up && node.Gateway().Resting() {
			count++
		}
	}
	return count
}

// onSameMachine reports whether two daemons are a gateway and the agent of the same machine.
func onSameMachine(left, right *Node) bool {
	pair := []string{left.Kind, right.Kind}
	slices.Sort(pair)
	return pair[0] == membership.KindGateway && pair[1] == membership.KindAgent && left.Name[len(left.Kind):] == right.Name[len(right.Kind):]
}

// retire retires a store and calls done when it is retired, or rejected if the request is
// rejected with a conflict because too few stores would be left.
func (s *Simulation) retire(node *Node, done, rejected func()) {
	var poll func()
	request := func(method, path string) {
		at := s.randomRunningNode("")
		if at == nil {
			s.After(500*time.Millisecond, func() { s.retire(node, done, rejected) })
			return
		}
		s.Control(at, method, path, nil, func(response membership.ControlResponse, alive bool) {
			var value struct {
				Retired bool `json:"retired"`
			}
			if alive && response.Status < 300 {
				must(json.Unmarshal(response.Body, &value))
			}
			switch {
			case value.Retired:
				done()
			case alive && response.Status == http.StatusConflict:
				rejected()
			case alive && response.Status < 300:
				s.After(200*time.Millisecond, poll)
			default:
				s.After(500*time.Millisecond, func() { s.retire(node, done, rejected) })
			}
		})
	}
	poll = func() { request(http.MethodGet, "/v1/stores/"+node.Name) }
	request(http.MethodPost, "/v1/stores/"+node.Name+"/retire")
}

// briefSpace adds a space with clients that use it and removes it again. From just before the
// removal until six seconds after it was accepted, a gateway may be cut off from all other
// machines or from the controllers, or its zone from all other zones.
func (s *Simulation) briefSpace(_ time.Duration) {
	operator := newOperator(s)
	operator.version, operator.extra = 1000, true
	s.Checker.DefineSpace("brief", false, false)
	operator.putNext(func() {
		var users []*Client
		for number := range 4 {
			client := s.AddClient(fmt.Sprintf("brief-%d", number), number%s.Shape.Zones, gateway.Interest{Space: "brief", Prefix: true})
			client.PublishPeriodically(1, PublishPlan{Space: "brief", Topics: []string{"a/b", "c"}, Every: 150 * time.Millisecond})
			users = append(users, client)
		}
		s.After(4*time.Second, func() {
			chosen := s.randomRunningNode(membership.KindGateway)
			switch s.Random.IntN(4) {
			case 0:
				s.trace("%s is cut off", chosen.Name)
				s.Isolate(func(node *Node) bool { return node == chosen || onSameMachine(node, chosen) })
			case 1:
				for _, controller := range s.Nodes(membership.KindController) {
					for _, node := range s.Nodes("") {
						if node == chosen || onSameMachine(node, chosen) {
							s.CutLink(node, controller)
							s.CutLink(controller, node)
						}
					}
				}
			case 2:
				s.trace("zone %d is cut off", chosen.Zone)
				s.Isolate(func(node *Node) bool { return node.Zone == chosen.Zone })
			}
			operator.extra = false
			operator.putNext(func() {
				s.Checker.SpaceRemoved("brief", s.Now)
				s.After(6*time.Second, func() {
					for _, client := range users {
						client.Closed = true
						s.Checker.SubscriberEnded(client.Name)
					}
					s.Heal()
				})
			})
		})
	})
}

// Scenarios lists all scenarios: one for each of faultFunctions, schedules of one kind of
// fault ("storm-" and its name), each closing fault alone ("last-" and its name), schedules
// of two kinds ("pairs") and of all kinds ("storm"), and those with routed topics.
func Scenarios() []Scenario {
	var found []Scenario
	var names []string
	for name := range faultFunctions {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		found = append(found, Scenario{Name: name, Length: 25 * time.Second, Faults: faultFunctions[name]})
	}
	for _, name := range faults.Names {
		found = append(found, Scenario{Name: "storm-" + name, Schedule: func(seed uint64) FaultSchedule { return drawSchedule(seed, []string{name}, 3) }})
	}
	for _, name := range faults.Closing {
		found = append(found, Scenario{Name: "last-" + name, Schedule: func(uint64) FaultSchedule { return FaultSchedule{Last: name} }})
	}
	found = append(found,
		Scenario{Name: "pairs", Schedule: drawPairSchedule},
		Scenario{Name: "storm", Schedule: func(seed uint64) FaultSchedule { return drawSchedule(seed, faults.Names, 9) }})
	return append(found, topicScenarios()...)
}

// Find returns the scenario with a name; false if there is none.
func Find(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}
