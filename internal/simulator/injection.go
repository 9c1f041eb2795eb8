// Fault schedules in the simulator. Each fault that package faults names has an
// injector, which injects it for its length. A run of a schedule consists of the faults,
// alone or overlapping, a time without faults after which the fleet must have recovered
// completely, and one last fault that remains. Each injector reverts only its own
// changes, so that any faults may overlap.

package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dahlialock/internal/checker"
	"dahlialock/internal/controller"
	"dahlialock/internal/faults"
	"dahlialock/internal/gateway"
	"dahlialock/internal/logevent"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// FaultSchedule lists the faults of a run, and the last fault, with which the run ends.
type FaultSchedule struct {
	Faults []faults.Fault
	Last   string
	// ClockSkew is the maximum deviation of the machines' wall clocks.
	ClockSkew time.Duration
}

// faultPeriod is the time within which the faults of a schedule start.
const faultPeriod = 24 * time.Second

// drawSchedule draws the schedule of a seed. It has a random generator that is separate
// from the simulation's, so that a run with a shortened schedule stays the same in all
// other respects.
func drawSchedule(seed uint64, names []string, count int) FaultSchedule {
	random := rand.New(rand.NewPCG(seed, 0x5707))
	schedule := FaultSchedule{Faults: faults.Draw(random, names, faultPeriod, count), Last: faults.Closing[random.IntN(len(faults.Closing))]}
	if random.IntN(3) == 0 {
		schedule.ClockSkew = 3 * time.Hour
	}
	return schedule
}

// drawPairSchedule draws a schedule of two kinds of faults, which are repeated and may
// overlap.
func drawPairSchedule(seed uint64) FaultSchedule {
	pair := drawPair(rand.New(rand.NewPCG(seed, 0x9a13)))
	return drawSchedule(seed, pair[:], 4)
}

// drawPair draws two kinds of faults that may occur at the same time.
func drawPair(random *rand.Rand) [2]string {
	left := faults.Names[random.IntN(len(faults.Names))]
	right := faults.Names[random.IntN(len(faults.Names))]
	for right == left || faults.Clashes(left, right) {
		right = faults.Names[random.IntN(len(faults.Names))]
	}
	return [2]string{left, right}
}

// RunSchedule runs a fault schedule with a seed.
func RunSchedule(seed uint64, size Shape, schedule FaultSchedule, trace func(line string)) *Simulation {
	simulation, operator := prepare(seed, size, schedule.ClockSkew, trace)
	simulation.AddDefaultClients(size.Clients)
	simulation.Run(3 * time.Second)
	operator.runUntil(simulation.Now.Add(faultPeriod + 40*time.Second))
	simulation.lastFaultAt = simulation.Now.Add(-checker.FaultSettleTime)
	simulation.trace("storm: %s; last %s", faults.Format(schedule.Faults), schedule.Last)
	for _, fault := range schedule.Faults {
		simulation.After(fault.Start, func() { simulation.inject(fault) })
	}
	simulation.Run(faultPeriod)
	if !simulation.RunUntil(120*time.Second, func() bool { return simulation.activeFaults == 0 }) {
		simulation.Checker.Violate(checker.NotRecovered, "a fault has not ended after two minutes")
	}
	simulation.Run(checker.FaultSettleTime + 3*time.Second)
	if schedule.Last != "" {
		simulation.trace("last fault: %s", schedule.Last)
		simulation.activeFaults++
		simulation.injectLast(schedule.Last)
		simulation.MeasureRecovery(schedule.Last)
		simulation.activeFaults--
		simulation.lastFaultAt = simulation.Now
		simulation.Run(checker.FaultSettleTime + 3*time.Second)
	}
	simulation.finish(8 * time.Second)
	return simulation
}

// calmSince returns the time since which no fault is active.
func (s *Simulation) calmSince() time.Time {
	if s.activeFaults > 0 {
		return s.Now
	}
	return s.lastFaultAt
}

// faultEnds records the end of a fault.
func (s *Simulation) faultEnds(name string) {
	s.activeFaults--
	s.lastFaultAt = s.Now
	s.trace("fault ends: %s", name)
}

// pickRunningNode returns a daemon of a kind that is up. While all daemons are up, the same pick
// always yields the same daemon.
func (s *Simulation) pickRunningNode(kind string, pick uint64) *Node {
	var up []*Node
	for _, node := range s.Nodes(kind) {
		if node.Up && !node.Frozen && !node.Stopping {
			up = append(up, node)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[pick%uint64(len(up))]
}

// inject injects one fault.
func (s *Simulation) inject(fault faults.Fault) {
	s.activeFaults++
	s.trace("fault: %s", fault)
	end := func() { s.faultEnds(fault.Name) }
	inject := injectors[fault.Name]
	if topicInject, found := topicInjectors[fault.Name]; found && s.world != nil {
		inject = topicInject
	}
	inject(s, fault, end)
}

// injector injects a fault, and calls end when the fault has ended.
type injector func(simulation *Simulation, fault faults.Fault, end func())

// onNode returns an injector that applies inject to one daemon of a kind, or to the
// controller in the role "primary" or "backup".
func onNode(kind string, inject func(simulation *Simulation, node *Node, fault faults.Fault, end func())) injector {
	return func(simulation *Simulation, fault faults.Fault, end func()) {
		var node *Node
		switch kind {
		case "primary", "backup":
			node = simulation.controllerIn(kind)
		default:
			node = simulation.pickRunningNode(kind, fault.Pick)
		}
		if node == nil || !node.Up || node.Frozen {
			end()
			return
		}
		inject(simulation, node, fault, end)
	}
}

func injectKill(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
	node.Kill()
	if faults.LosesDisk(fault.Name) {
		node.Wipe()
	}
	simulation.After(fault.Length, func() { node.Start(); end() })
}

func injectFreeze(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
	node.Freeze()
	incarnation := node.incarnation
	simulation.After(fault.Length, func() {
		if node.incarnation == incarnation {
			node.Thaw()
		}
		end()
	})
}

// restart restarts a daemon as the platform does: it waits for the graceful shutdown,
// then for wait, and calls then after the start.
func (s *Simulation) restart(node *Node, wait time.Duration, then func()) {
	if !node.Up {
		node.Start()
		then()
		return
	}
	node.Terminate()
	var poll func()
	poll = func() {
		if node.Up && node.Stopping {
			s.After(50*time.Millisecond, poll)
			return
		}
		s.After(wait, func() { node.Start(); then() })
	}
	poll()
}

func injectRestart(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
	simulation.restart(node, fault.Length/3, end)
}

// restartInTurn restarts daemons one after another, each when the previous one is ready
// or was not ready for eight seconds.
func (s *Simulation) restartInTurn(nodes []*Node, end func()) {
	if len(nodes) == 0 {
		end()
		return
	}
	node := nodes[0]
	s.restart(node, 300*time.Millisecond, func() {
		since := s.Now
		var poll func()
		poll = func() {
			if !node.Ready() && s.Now.Sub(since) < 8*time.Second {
				s.After(100*time.Millisecond, poll)
				return
			}
			s.restartInTurn(nodes[1:], end)
		}
		s.After(time.Second, poll)
	})
}

// partitionFor cuts the links that the predicate cut selects, for length.
func (s *Simulation) partitionFor(length time.Duration, cut func(from, to *Node) bool, end func()) {
	type link struct{ from, to *Node }
	var links []link
	for _, from := range s.Nodes("") {
		for _, to := range s.Nodes("") {
			if from != to && cut(from, to) {
				links = append(links, link{from, to})
				s.CutLink(from, to)
			}
		}
	}
	s.After(length, func() {
		for _, each := range links {
			s.HealLink(each.from, each.to)
		}
		end()
	})
}

// addNewDaemon adds and starts a daemon that is unknown to the fleet, on a new machine.
func (s *Simulation) addNewDaemon(kind string) {
	number := len(s.Nodes(kind))
	switch kind {
	case membership.KindStore:
		s.addStore(number).Start()
	case membership.KindController:
		s.addController(number).Start()
	case membership.KindGateway:
		gateway, agent := s.addGateway(number)
		gateway.Start()
		agent.Start()
	}
}

func join(kind string) injector {
	return func(simulation *Simulation, _ faults.Fault, end func()) {
		simulation.addNewDaemon(kind)
		simulation.After(2*time.Second, end)
	}
}

// undoAfter calls undo and end when the length of a fault has passed.
func undoAfter(fault faults.Fault, simulation *Simulation, end func(), undo func()) {
	simulation.After(fault.Length, func() { undo(); end() })
}

// resetNearlyAll closes the connections of nine in ten clients, chosen at random.
func (s *Simulation) resetNearlyAll(fault faults.Fault, end func()) {
	for _, client := range s.clients {
		if s.Random.IntN(10) > 0 {
			client.Reset(s.between(0, 400*time.Millisecond))
		}
	}
	undoAfter(fault, s, end, func() {})
}

func (s *Simulation) pickClient(pick uint64) *Client {
	return s.clients[pick%uint64(len(s.clients))]
}

// injectSlowProcess pauses and resumes a daemon's process in short intervals.
func injectSlowProcess(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
	until, incarnation := simulation.Now.Add(fault.Length), node.incarnation
	var turn func()
	turn = func() {
		if !node.Up || node.incarnation != incarnation || simulation.Now.After(until) {
			end()
			return
		}
		node.Freeze()
		simulation.After(simulation.between(60*time.Millisecond, 250*time.Millisecond), func() {
			if node.incarnation == incarnation {
				node.Thaw()
			}
			simulation.After(simulation.between(20*time.Millisecond, 100*time.Millisecond), turn)
		})
	}
	turn()
}

var injectors = map[string]injector{
	"kill-gateway":       onNode(membership.KindGateway, injectKill),
	"kill-agent":         onNode(membership.KindAgent, injectKill),
	"kill-store":         onNode(membership.KindStore, injectKill),
	"kill-controller":    onNode(membership.KindController, injectKill),
	"kill-primary":       onNode("primary", injectKill),
	"kill-backup":        onNode("backup", injectKill),
	"wipe-store":         onNode(membership.KindStore, injectKill),
	"wipe-controller":    onNode(membership.KindController, injectKill),
	"freeze-gateway":     onNode(membership.KindGateway, injectFreeze),
	"freeze-agent":       onNode(membership.KindAgent, injectFreeze),
	"freeze-store":       onNode(membership.KindStore, injectFreeze),
	"freeze-controller":  onNode(membership.KindController, injectFreeze),
	"freeze-primary":     onNode("primary", injectFreeze),
	"restart-gateway":    onNode(membership.KindGateway, injectRestart),
	"restart-store":      onNode(membership.KindStore, injectRestart),
	"restart-controller": onNode(membership.KindController, injectRestart),
	"slow-daemon":        onNode("", injectSlowProcess),
	"join-gateway":       join(membership.KindGateway),
	"join-store":         join(membership.KindStore),
	"join-controller":    join(membership.KindController),
	"restart-beside": onNode(membership.KindGateway, func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		// A gateway and its agent restart at the same time. In one of three cases the
		// agent is killed first.
		agent := simulation.agentOf(node)
		if fault.Pick%3 == 0 {
			agent.Kill()
		}
		simulation.restart(agent, fault.Length/4, func() {})
		simulation.restart(node, fault.Length/3, end)
	}),
	"restart-stores": func(simulation *Simulation, _ faults.Fault, end func()) {
		simulation.restartInTurn(simulation.Nodes(membership.KindStore), end)
	},
	"rolling": func(simulation *Simulation, fault faults.Fault, end func()) {
		kinds := []string{membership.KindController, membership.KindStore, membership.KindAgent, membership.KindGateway}
		simulation.restartInTurn(simulation.Nodes(kinds[fault.Pick%4]), end)
	},
	"slow-disk": func(simulation *Simulation, fault faults.Fault, end func()) {
		kind := membership.KindStore
		if fault.Pick%3 == 0 {
			kind = membership.KindController
		}
		node := simulation.pickRunningNode(kind, fault.Pick)
		if node == nil {
			end()
			return
		}
		node.diskSlowdown = 120
		undoAfter(fault, simulation, end, func() { node.diskSlowdown = 0 })
	},
	"power-loss": func(simulation *Simulation, fault faults.Fault, end func()) {
		// All stores lose power at the same time and keep their synced writes.
		for _, node := range simulation.Nodes(membership.KindStore) {
			if node.Up {
				node.Kill()
				simulation.After(fault.Length/2+simulation.between(0, fault.Length/2), node.Start)
			}
		}
		undoAfter(fault, simulation, end, func() {})
	},
	"lose-place": func(simulation *Simulation, fault faults.Fault, end func()) {
		zone := int(fault.Pick) % simulation.Shape.Zones
		for _, node := range simulation.Nodes("") {
			if node.Zone == zone && node.Up {
				node.Kill()
				simulation.After(fault.Length+simulation.between(0, time.Second), node.Start)
			}
		}
		simulation.After(fault.Length+time.Second, end)
	},
	"cut-daemon": onNode("", func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		inside := func(each *Node) bool { return each == node || onSameMachine(each, node) }
		simulation.partitionFor(fault.Length, func(from, to *Node) bool { return inside(from) != inside(to) }, end)
	}),
	"cut-one-way": onNode("", func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		simulation.partitionFor(fault.Length, func(from, to *Node) bool {
			if fault.Pick%2 == 0 {
				return from == node && !onSameMachine(from, to)
			}
			return to == node && !onSameMachine(from, to)
		}, end)
	}),
	"cut-place": func(simulation *Simulation, fault faults.Fault, end func()) {
		zone := int(fault.Pick) % simulation.Shape.Zones
		simulation.partitionFor(fault.Length, func(from, to *Node) bool { return (from.Zone == zone) != (to.Zone == zone) }, end)
	},
	"cut-primary": onNode("primary", func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		simulation.partitionFor(fault.Length+3*time.Second, func(from, to *Node) bool {
			return from.Kind == membership.KindController && to.Kind == membership.KindController && (from == node || to == node)
		}, end)
	}),
	"loss": func(simulation *Simulation, fault faults.Fault, end func()) {
		simulation.loss += 0.12
		undoAfter(fault, simulation, end, func() { simulation.loss = max(0, simulation.loss-0.12) })
	},
	"slow-links": func(simulation *Simulation, fault faults.Fault, end func()) {
		simulation.extraDelay += 80 * time.Millisecond
		undoAfter(fault, simulation, end, func() { simulation.extraDelay = max(0, simulation.extraDelay-80*time.Millisecond) })
	},
	"relink": func(simulation *Simulation, fault faults.Fault, end func()) {
		simulation.reconnects++
		undoAfter(fault, simulation, end, func() { simulation.reconnects = max(0, simulation.reconnects-1) })
	},
	"held-links": func(simulation *Simulation, fault faults.Fault, end func()) {
		restartsWithHeldLinks(simulation, fault.Length+2*time.Second)
		simulation.After(fault.Length+maxHeld, end)
	},
	"resets": func(simulation *Simulation, fault faults.Fault, end func()) { simulation.resetNearlyAll(fault, end) },
	"vanish": func(simulation *Simulation, fault faults.Fault, end func()) {
		simulation.pickClient(fault.Pick).Reset(fault.Length * 4)
		simulation.After(fault.Length*4, end)
	},
	"wander": func(simulation *Simulation, fault faults.Fault, end func()) {
		for turn := range 4 {
			client := simulation.pickClient(fault.Pick + uint64(turn))
			client.Zone = simulation.Random.IntN(simulation.Shape.Zones)
			client.Reset(simulation.between(0, 50*time.Millisecond))
		}
		undoAfter(fault, simulation, end, func() {})
	},
	"crowd": func(simulation *Simulation, fault faults.Fault, end func()) {
		var crowd []*Client
		for number := range 24 {
			zone := int(fault.Pick)
			if number%2 == 0 {
				zone = number
			}
			crowd = append(crowd, simulation.AddClient(fmt.Sprintf("crowd-%d-%d", fault.Pick, len(simulation.clients)), zone%simulation.Shape.Zones,
				gateway.Interest{Space: "boards", Path: fmt.Sprintf("p%d", number%3), Prefix: true}))
		}
		undoAfter(fault, simulation, end, func() {
			for _, client := range crowd {
				client.leave()
			}
		})
	},
	"operators": func(simulation *Simulation, fault faults.Fault, end func()) {
		// Two operators put the same version with different contents concurrently,
		// and a third one puts the next version at the same time.
		for range 3 {
			simulation.operator.race()
			simulation.operator.putNext(nil)
		}
		undoAfter(fault, simulation, end, func() {})
	},
	"space": func(simulation *Simulation, fault faults.Fault, end func()) { simulation.spaceFor(fault, end) },
	"drain": onNode(membership.KindGateway, func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		simulation.operator.drains = []string{node.Name}
		simulation.operator.putNext(nil)
		simulation.After(fault.Length+4*time.Second, func() {
			simulation.operator.drains = nil
			simulation.operator.putNext(nil)
			end()
		})
	}),
	"edit-settings": onNode(membership.KindGateway, func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		incarnation := node.incarnation
		node.Gateway().SetMaxClients(1)
		undoAfter(fault, simulation, end, func() {
			if node.Up && node.incarnation == incarnation {
				node.Gateway().SetMaxClients(2000)
			}
		})
	}),
	"retire": func(simulation *Simulation, fault faults.Fault, end func()) {
		node := simulation.pickRunningNode(membership.KindStore, fault.Pick)
		if node == nil {
			end()
			return
		}
		simulation.retire(node, func() {
			simulation.trace("%s was retired and is wiped", node.Name)
			if node.Up {
				node.Kill()
			}
			node.Wipe()
			simulation.After(fault.Length, func() { node.Start(); end() })
		}, end)
	},
}

// spaceFor adds a space with clients that use it immediately, and removes it again.
func (s *Simulation) spaceFor(fault faults.Fault, end func()) {
	operator := s.operator
	s.counter++
	name := fmt.Sprintf("brief-%d", s.counter)
	s.Checker.DefineSpace(name, false, false)
	operator.extras[name] = true
	var users []*Client
	operator.putNext(func() {
		for number := range 4 {
			client := s.AddClient(fmt.Sprintf("%s-%d", name, number), number%s.Shape.Zones, gateway.Interest{Space: name, Prefix: true})
			client.brief = name
			client.PublishPeriodically(1, PublishPlan{Space: name, Topics: []string{"a/b", "c"}, Every: 150 * time.Millisecond})
			users = append(users, client)
		}
	})
	s.After(3*time.Second+fault.Length, func() {
		delete(operator.extras, name)
		operator.putNext(func() { s.Checker.SpaceRemoved(name, s.Now) })
		s.After(6*time.Second, func() {
			for _, client := range users {
				client.leave()
			}
			end()
		})
	})
}

// injectLast injects the last fault of a run. Its daemons stay down, except that
// restart-all starts them again.
func (s *Simulation) injectLast(name string) {
	kill := func(node *Node) {
		if node != nil && node.Up {
			node.Kill()
		}
	}
	switch name {
	case "kill-gateway":
		kill(s.randomRunningNode(membership.KindGateway))
	case "kill-store":
		kill(s.randomRunningNode(membership.KindStore))
	case "kill-agent":
		kill(s.randomRunningNode(membership.KindAgent))
	case "kill-primary":
		kill(s.controllerIn("primary"))
	case "kill-backup":
		kill(s.controllerIn("backup"))
	case "lose-place":
		zone := s.Random.IntN(s.Shape.Zones)
		for _, node := range s.Nodes("") {
			if node.Zone == zone {
				kill(node)
			}
		}
	case "lose-two":
		kinds := []string{membership.KindGateway, membership.KindStore, membership.KindController, membership.KindAgent}
		first := s.Random.IntN(len(kinds))
		kill(s.randomRunningNode(kinds[first]))
		kill(s.randomRunningNode(kinds[(first+1+s.Random.IntN(len(kinds)-1))%len(kinds)]))
	case "restart-all":
		for _, node := range s.Nodes("") {
			if node.Up {
				node.Kill()
				s.After(s.between(300*time.Millisecond, 1500*time.Millisecond), node.Start)
			}
		}
	default:
		panic("unknown last fault " + name)
	}
}

// agentOf returns the agent on the machine of a gateway.
func (s *Simulation) agentOf(gateway *Node) *Node {
	return s.nodes[membership.KindAgent+gateway.Name[len(membership.KindGateway):]]
}

// Recovery holds the times from a failure to each part of the recovery: a failure
// detector or the backup noticed it, the controllers decided, a primary could act again,
// every partition had both of its replicas, and the last client was back.
type Recovery struct {
	// What names the failure.
	What                                                            string
	Noticed, Decided, TakeoverDone, PartitionsComplete, ClientsBack time.Duration
}

// record derives the first two parts of a recovery from the events that daemons log.
func (c *Recovery) record(number statemachine.EventNumber, after time.Duration) {
	switch number {
	case logevent.MemberSuspected, logevent.TakeoverStarted, logevent.BackupLost, logevent.EpochRecovered:
		if c.Noticed == 0 {
			c.Noticed = after
		}
	case logevent.MemberLost, logevent.EpochDecided, logevent.PlacementChanged:
		c.Decided = after
	}
}

// serving reports which parts of the service are available: a primary, all partitions
// with both replicas and a running leader, and all clients.
func (s *Simulation) serving() (primary, partitions, clients bool) {
	acting := s.Primary()
	if acting == nil {
		return false, false, s.clientsServed()
	}
	partitions = true
	for _, placement := range acting.Machine.(*controller.Controller).State().Placements {
		leader := s.nodes[placement.Leader]
		partitions = partitions && placement.Complete && leader.Up && !leader.Frozen
	}
	return true, partitions, s.clientsServed()
}

// clientsServed reports whether all clients, except those that are away on purpose, are
// served.
func (s *Simulation) clientsServed() bool {
	for _, client := range s.topicClients {
		if !client.Closed && client.fixedGateway == nil && !client.allConfirmed() && !s.Now.Before(client.absentUntil) {
			return false
		}
	}
	for _, client := range s.clients {
		if !client.Closed && !client.subscribed && !s.Now.Before(client.absentUntil) {
			return false
		}
	}
	return true
}
