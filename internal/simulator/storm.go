// Storms in the simulator: every fault of the list in squall brought about for
// its length, and a run that is made of one: faults alone or together, a calm
// in which everything must be as if nothing had been, and one last fault that
// stays. Each fault undoes only what it did, so that any of them may overlap.

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

// Plot is what befalls a run: a storm, and the fault that ends it.
type Plot struct {
	Storm []faults.Fault
	Last  string
	Apart time.Duration
}

const stormLength = 24 * time.Second

// drawPlot draws the plot of a seed; its own random numbers keep a shortened
// list the same run in all else.
func drawPlot(seed uint64, names []string, count int) Plot {
	random := rand.New(rand.NewPCG(seed, 0x5707))
	plot := Plot{Storm: faults.Draw(random, names, stormLength, count), Last: faults.Last[random.IntN(len(faults.Last))]}
	if random.IntN(3) == 0 {
		plot.Apart = 3 * time.Hour
	}
	return plot
}

// pairPlot draws two faults that come again and again over each other.
func pairPlot(seed uint64) Plot {
	pair := pairOf(rand.New(rand.NewPCG(seed, 0x9a13)))
	return drawPlot(seed, pair[:], 4)
}

// pairOf draws two faults that may come at once.
func pairOf(random *rand.Rand) [2]string {
	left := faults.Names[random.IntN(len(faults.Names))]
	right := faults.Names[random.IntN(len(faults.Names))]
	for right == left || faults.Clashes(left, right) {
		right = faults.Names[random.IntN(len(faults.Names))]
	}
	return [2]string{left, right}
}

// RunPlot runs a plot under a seed.
func RunPlot(seed uint64, size Size, plot Plot, trace func(line string)) *Simulation {
	simulation, operator := prepare(seed, size, plot.Apart, trace)
	simulation.Crowd(size.Callers)
	simulation.Run(3 * time.Second)
	operator.work(simulation.Now.Add(stormLength + 40*time.Second))
	simulation.trouble = simulation.Now.Add(-checker.TroubleFor)
	simulation.trace("storm: %s; last %s", faults.Format(plot.Storm), plot.Last)
	for _, fault := range plot.Storm {
		simulation.After(fault.Start, func() { simulation.bring(fault) })
	}
	simulation.Run(stormLength)
	if !simulation.RunUntil(120*time.Second, func() bool { return simulation.open == 0 }) {
		simulation.Checker.Violate(checker.NotBack, "a fault has not come to its end after two minutes")
	}
	simulation.Run(checker.TroubleFor + 3*time.Second)
	if plot.Last != "" {
		simulation.trace("last fault: %s", plot.Last)
		simulation.open++
		simulation.strikeLast(plot.Last)
		simulation.ServiceBack(plot.Last)
		simulation.open--
		simulation.trouble = simulation.Now
		simulation.Run(checker.TroubleFor + 3*time.Second)
	}
	simulation.close(8 * time.Second)
	return simulation
}

// calmSince is the moment from which nothing goes wrong.
func (s *Simulation) calmSince() time.Time {
	if s.open > 0 {
		return s.Now
	}
	return s.trouble
}

// ends closes a fault.
func (s *Simulation) ends(name string) {
	s.open--
	s.trouble = s.Now
	s.trace("fault ends: %s", name)
}

// choose picks a daemon of a kind that is up; the same pick names the same
// daemon while the fleet is whole.
func (s *Simulation) choose(kind string, pick uint64) *Node {
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

// bring brings one fault about.
func (s *Simulation) bring(fault faults.Fault) {
	s.open++
	s.trace("fault: %s", fault)
	end := func() { s.ends(fault.Name) }
	strike := brought[fault.Name]
	if callers, found := topicBrought[fault.Name]; found && s.world != nil {
		strike = callers
	}
	strike(s, fault, end)
}

type bringer func(simulation *Simulation, fault faults.Fault, end func())

// on makes a fault of what is done to one daemon of a kind.
func on(kind string, strike func(simulation *Simulation, node *Node, fault faults.Fault, end func())) bringer {
	return func(simulation *Simulation, fault faults.Fault, end func()) {
		var node *Node
		switch kind {
		case "primary", "backup":
			node = simulation.controllerIn(kind)
		default:
			node = simulation.choose(kind, fault.Pick)
		}
		if node == nil || !node.Up || node.Frozen {
			end()
			return
		}
		strike(simulation, node, fault, end)
	}
}

func strikeDead(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
	node.Kill()
	if faults.Wiping(fault.Name) {
		node.Wipe()
	}
	simulation.After(fault.Length, func() { node.Start(); end() })
}

func strikeFrozen(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
	node.Freeze()
	life := node.life
	simulation.After(fault.Length, func() {
		if node.life == life {
			node.Thaw()
		}
		end()
	})
}

// again restarts a daemon as the platform does, and tells when it has.
func (s *Simulation) again(node *Node, wait time.Duration, then func()) {
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

func strikeAgain(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
	simulation.again(node, fault.Length/3, end)
}

// inTurn restarts daemons one after another, each once the one before is ready.
func (s *Simulation) inTurn(nodes []*Node, end func()) {
	if len(nodes) == 0 {
		end()
		return
	}
	node := nodes[0]
	s.again(node, 300*time.Millisecond, func() {
		since := s.Now
		var poll func()
		poll = func() {
			if !node.Ready() && s.Now.Sub(since) < 8*time.Second {
				s.After(100*time.Millisecond, poll)
				return
			}
			s.inTurn(nodes[1:], end)
		}
		s.After(time.Second, poll)
	})
}

// apartFor cuts the ways that a test names for a while, and only those.
func (s *Simulation) apartFor(length time.Duration, cut func(from, to *Node) bool, end func()) {
	type way struct{ from, to *Node }
	var ways []way
	for _, from := range s.Nodes("") {
		for _, to := range s.Nodes("") {
			if from != to && cut(from, to) {
				ways = append(ways, way{from, to})
				s.Cut(from, to)
			}
		}
	}
	s.After(length, func() {
		for _, each := range ways {
			s.Mend(each.from, each.to)
		}
		end()
	})
}

// newcomer adds a machine that nobody has heard of.
func (s *Simulation) newcomer(kind string) {
	number := len(s.Nodes(kind))
	switch kind {
	case membership.KindStore:
		s.addStore(number).Start()
	case membership.KindController:
		s.addController(number).Start()
	case membership.KindGateway:
		gateway, beside := s.addGateway(number)
		gateway.Start()
		beside.Start()
	}
}

func join(kind string) bringer {
	return func(simulation *Simulation, _ faults.Fault, end func()) {
		simulation.newcomer(kind)
		simulation.After(2*time.Second, end)
	}
}

func over(fault faults.Fault, simulation *Simulation, end func(), undo func()) {
	simulation.After(fault.Length, func() { undo(); end() })
}

// resetMost cuts the channels of nearly all callers, or of one.
func (s *Simulation) resetMost(fault faults.Fault, end func()) {
	for _, client := range s.clients {
		if s.Random.IntN(10) > 0 {
			client.Reset(s.between(0, 400*time.Millisecond))
		}
	}
	over(fault, s, end, func() {})
}

func (s *Simulation) someClient(pick uint64) *Client {
	return s.clients[pick%uint64(len(s.clients))]
}

// strikeSlow stops and continues a daemon in short turns.
func strikeSlow(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
	until, life := simulation.Now.Add(fault.Length), node.life
	var turn func()
	turn = func() {
		if !node.Up || node.life != life || simulation.Now.After(until) {
			end()
			return
		}
		node.Freeze()
		simulation.After(simulation.between(60*time.Millisecond, 250*time.Millisecond), func() {
			if node.life == life {
				node.Thaw()
			}
			simulation.After(simulation.between(20*time.Millisecond, 100*time.Millisecond), turn)
		})
	}
	turn()
}

var brought = map[string]bringer{
	"kill-gateway":       on(membership.KindGateway, strikeDead),
	"kill-agent":         on(membership.KindAgent, strikeDead),
	"kill-store":         on(membership.KindStore, strikeDead),
	"kill-controller":    on(membership.KindController, strikeDead),
	"kill-primary":       on("primary", strikeDead),
	"kill-backup":        on("backup", strikeDead),
	"wipe-store":         on(membership.KindStore, strikeDead),
	"wipe-controller":    on(membership.KindController, strikeDead),
	"freeze-gateway":     on(membership.KindGateway, strikeFrozen),
	"freeze-agent":       on(membership.KindAgent, strikeFrozen),
	"freeze-store":       on(membership.KindStore, strikeFrozen),
	"freeze-controller":  on(membership.KindController, strikeFrozen),
	"freeze-primary":     on("primary", strikeFrozen),
	"restart-gateway":    on(membership.KindGateway, strikeAgain),
	"restart-store":      on(membership.KindStore, strikeAgain),
	"restart-controller": on(membership.KindController, strikeAgain),
	"slow-daemon":        on("", strikeSlow),
	"join-gateway":       join(membership.KindGateway),
	"join-store":         join(membership.KindStore),
	"join-controller":    join(membership.KindController),
	"restart-beside": on(membership.KindGateway, func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		// A gateway and its agent at once, and now and then the agent first.
		agent := simulation.besideOf(node)
		if fault.Pick%3 == 0 {
			agent.Kill()
		}
		simulation.again(agent, fault.Length/4, func() {})
		simulation.again(node, fault.Length/3, end)
	}),
	"restart-stores": func(simulation *Simulation, _ faults.Fault, end func()) {
		simulation.inTurn(simulation.Nodes(membership.KindStore), end)
	},
	"rolling": func(simulation *Simulation, fault faults.Fault, end func()) {
		kinds := []string{membership.KindController, membership.KindStore, membership.KindAgent, membership.KindGateway}
		simulation.inTurn(simulation.Nodes(kinds[fault.Pick%4]), end)
	},
	"slow-disk": func(simulation *Simulation, fault faults.Fault, end func()) {
		kind := membership.KindStore
		if fault.Pick%3 == 0 {
			kind = membership.KindController
		}
		node := simulation.choose(kind, fault.Pick)
		if node == nil {
			end()
			return
		}
		node.slowDisk = 120
		over(fault, simulation, end, func() { node.slowDisk = 0 })
	},
	"power-loss": func(simulation *Simulation, fault faults.Fault, end func()) {
		// All stores lose power at the same moment and keep what was synced.
		for _, node := range simulation.Nodes(membership.KindStore) {
			if node.Up {
				node.Kill()
				simulation.After(fault.Length/2+simulation.between(0, fault.Length/2), node.Start)
			}
		}
		over(fault, simulation, end, func() {})
	},
	"lose-place": func(simulation *Simulation, fault faults.Fault, end func()) {
		place := int(fault.Pick) % simulation.Size.Places
		for _, node := range simulation.Nodes("") {
			if node.Place == place && node.Up {
				node.Kill()
				simulation.After(fault.Length+simulation.between(0, time.Second), node.Start)
			}
		}
		simulation.After(fault.Length+time.Second, end)
	},
	"cut-daemon": on("", func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		inside := func(each *Node) bool { return each == node || beside(each, node) }
		simulation.apartFor(fault.Length, func(from, to *Node) bool { return inside(from) != inside(to) }, end)
	}),
	"cut-one-way": on("", func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		simulation.apartFor(fault.Length, func(from, to *Node) bool {
			if fault.Pick%2 == 0 {
				return from == node && !beside(from, to)
			}
			return to == node && !beside(from, to)
		}, end)
	}),
	"cut-place": func(simulation *Simulation, fault faults.Fault, end func()) {
		place := int(fault.Pick) % simulation.Size.Places
		simulation.apartFor(fault.Length, func(from, to *Node) bool { return (from.Place == place) != (to.Place == place) }, end)
	},
	"cut-primary": on("primary", func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		simulation.apartFor(fault.Length+3*time.Second, func(from, to *Node) bool {
			return from.Kind == membership.KindController && to.Kind == membership.KindController && (from == node || to == node)
		}, end)
	}),
	"loss": func(simulation *Simulation, fault faults.Fault, end func()) {
		simulation.loss += 0.12
		over(fault, simulation, end, func() { simulation.loss = max(0, simulation.loss-0.12) })
	},
	"slow-links": func(simulation *Simulation, fault faults.Fault, end func()) {
		simulation.lag += 80 * time.Millisecond
		over(fault, simulation, end, func() { simulation.lag = max(0, simulation.lag-80*time.Millisecond) })
	},
	"relink": func(simulation *Simulation, fault faults.Fault, end func()) {
		simulation.relinks++
		over(fault, simulation, end, func() { simulation.relinks = max(0, simulation.relinks-1) })
	},
	"held-links": func(simulation *Simulation, fault faults.Fault, end func()) {
		restartsOverHeldLinks(simulation, fault.Length+2*time.Second)
		simulation.After(fault.Length+heldMost, end)
	},
	"resets": func(simulation *Simulation, fault faults.Fault, end func()) { simulation.resetMost(fault, end) },
	"vanish": func(simulation *Simulation, fault faults.Fault, end func()) {
		simulation.someClient(fault.Pick).Reset(fault.Length * 4)
		simulation.After(fault.Length*4, end)
	},
	"wander": func(simulation *Simulation, fault faults.Fault, end func()) {
		for turn := range 4 {
			client := simulation.someClient(fault.Pick + uint64(turn))
			client.Place = simulation.Random.IntN(simulation.Size.Places)
			client.Reset(simulation.between(0, 50*time.Millisecond))
		}
		over(fault, simulation, end, func() {})
	},
	"crowd": func(simulation *Simulation, fault faults.Fault, end func()) {
		var crowd []*Client
		for number := range 24 {
			place := int(fault.Pick)
			if number%2 == 0 {
				place = number
			}
			crowd = append(crowd, simulation.AddClient(fmt.Sprintf("crowd-%d-%d", fault.Pick, len(simulation.clients)), place%simulation.Size.Places,
				gateway.Interest{Space: "boards", Path: fmt.Sprintf("p%d", number%3), Prefix: true}))
		}
		over(fault, simulation, end, func() {
			for _, client := range crowd {
				client.leave()
			}
		})
	},
	"operators": func(simulation *Simulation, fault faults.Fault, end func()) {
		// Two operators race with the same version and other content, and a
		// third puts the next one at the same time.
		for range 3 {
			simulation.operator.race()
			simulation.operator.next(nil)
		}
		over(fault, simulation, end, func() {})
	},
	"space": func(simulation *Simulation, fault faults.Fault, end func()) { simulation.spaceFor(fault, end) },
	"drain": on(membership.KindGateway, func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		simulation.operator.drains = []string{node.Name}
		simulation.operator.next(nil)
		simulation.After(fault.Length+4*time.Second, func() {
			simulation.operator.drains = nil
			simulation.operator.next(nil)
			end()
		})
	}),
	"edit-settings": on(membership.KindGateway, func(simulation *Simulation, node *Node, fault faults.Fault, end func()) {
		life := node.life
		node.Gateway().SetMaxClients(1)
		over(fault, simulation, end, func() {
			if node.Up && node.life == life {
				node.Gateway().SetMaxClients(2000)
			}
		})
	}),
	"retire": func(simulation *Simulation, fault faults.Fault, end func()) {
		node := simulation.choose(membership.KindStore, fault.Pick)
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

// spaceFor adds a space that callers use at once, and removes it.
func (s *Simulation) spaceFor(fault faults.Fault, end func()) {
	operator := s.operator
	s.number++
	name := fmt.Sprintf("brief-%d", s.number)
	s.Checker.Space(name, false, false)
	operator.extras[name] = true
	var users []*Client
	operator.next(func() {
		for number := range 4 {
			client := s.AddClient(fmt.Sprintf("%s-%d", name, number), number%s.Size.Places, gateway.Interest{Space: name, Prefix: true})
			client.brief = name
			client.Publishes(1, Plan{Space: name, Topics: []string{"a/b", "c"}, Every: 150 * time.Millisecond})
			users = append(users, client)
		}
	})
	s.After(3*time.Second+fault.Length, func() {
		delete(operator.extras, name)
		operator.next(func() { s.Checker.Removed(name, s.Now) })
		s.After(6*time.Second, func() {
			for _, client := range users {
				client.leave()
			}
			end()
		})
	})
}

// strikeLast brings about the fault that ends a run; nothing takes it away but
// a restart, where the fault is one.
func (s *Simulation) strikeLast(name string) {
	kill := func(node *Node) {
		if node != nil && node.Up {
			node.Kill()
		}
	}
	switch name {
	case "kill-gateway":
		kill(s.pickUp(membership.KindGateway))
	case "kill-store":
		kill(s.pickUp(membership.KindStore))
	case "kill-agent":
		kill(s.pickUp(membership.KindAgent))
	case "kill-primary":
		kill(s.controllerIn("primary"))
	case "kill-backup":
		kill(s.controllerIn("backup"))
	case "lose-place":
		place := s.Random.IntN(s.Size.Places)
		for _, node := range s.Nodes("") {
			if node.Place == place {
				kill(node)
			}
		}
	case "lose-two":
		kinds := []string{membership.KindGateway, membership.KindStore, membership.KindController, membership.KindAgent}
		first := s.Random.IntN(len(kinds))
		kill(s.pickUp(kinds[first]))
		kill(s.pickUp(kinds[(first+1+s.Random.IntN(len(kinds)-1))%len(kinds)]))
	case "restart-all":
		for _, node := range s.Nodes("") {
			if node.Up {
				node.Kill()
				s.After(s.between(300*time.Millisecond, 1500*time.Millisecond), node.Start)
			}
		}
	default:
		panic("no last fault is named " + name)
	}
}

func (s *Simulation) besideOf(gateway *Node) *Node {
	return s.nodes[membership.KindAgent+gateway.Name[len(membership.KindGateway):]]
}

// Comeback is when each part of a recovery was first seen, counted from the
// failure: a watcher or the backup noticed, the controllers decided, a primary could
// act again, every partition had its two copies, and the last caller was back.
type Comeback struct {
	What                                               string
	Noticed, Decided, TakenOver, Refilled, CallersBack time.Duration
}

// note takes what daemons log as signs of a recovery's first two parts.
func (c *Comeback) note(number statemachine.EventNumber, after time.Duration) {
	switch number {
	case logevent.MemberSuspected, logevent.TakeoverStarted, logevent.BackupLost, logevent.EpochRecovered:
		if c.Noticed == 0 {
			c.Noticed = after
		}
	case logevent.MemberLost, logevent.EpochDecided, logevent.PlacementChanged:
		c.Decided = after
	}
}

// serving names the parts of service that are there.
func (s *Simulation) serving() (primary, partitions, callers bool) {
	acting := s.Primary()
	if acting == nil {
		return false, false, s.callersServed()
	}
	partitions = true
	for _, place := range acting.Machine.(*controller.Controller).State().Places {
		first := s.nodes[place.Leader]
		partitions = partitions && place.Complete && first.Up && !first.Frozen
	}
	return true, partitions, s.callersServed()
}

func (s *Simulation) callersServed() bool {
	for _, client := range s.topicClients {
		if !client.Gone && client.fixed == nil && !client.holds() && !s.Now.Before(client.awayUntil) {
			return false
		}
	}
	for _, client := range s.clients {
		if !client.Gone && !client.subscribed && !s.Now.Before(client.awayUntil) {
			return false
		}
	}
	return true
}
