// Storms in the simulator: every fault of the list in squall brought about for
// its length, and a run that is made of one: faults alone or together, a calm
// in which everything must be as if nothing had been, and one last fault that
// stays. Each fault undoes only what it did, so that any of them may overlap.
package swell

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/lamp"
	"dahlialock/internal/oracle"
	"dahlialock/internal/pilotage"
	"dahlialock/internal/squall"
)

// Plot is what befalls a run: a storm, and the fault that ends it.
type Plot struct {
	Storm []squall.Fault
	Last  string
	Apart time.Duration
}

const stormLength = 24 * time.Second

// drawPlot draws the plot of a seed; its own random numbers keep a shortened
// list the same run in all else.
func drawPlot(seed uint64, names []string, count int) Plot {
	random := rand.New(rand.NewPCG(seed, 0x5707))
	plot := Plot{Storm: squall.Draw(random, names, stormLength, count), Last: squall.Last[random.IntN(len(squall.Last))]}
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
	left := squall.Names[random.IntN(len(squall.Names))]
	right := squall.Names[random.IntN(len(squall.Names))]
	for right == left || squall.Clashes(left, right) {
		right = squall.Names[random.IntN(len(squall.Names))]
	}
	return [2]string{left, right}
}

// RunPlot runs a plot under a seed.
func RunPlot(seed uint64, size Size, plot Plot, trace func(line string)) *Swell {
	swell, operator := prepare(seed, size, plot.Apart, trace)
	swell.Crowd(size.Callers)
	swell.Run(3 * time.Second)
	operator.work(swell.Now.Add(stormLength + 40*time.Second))
	swell.trouble = swell.Now.Add(-oracle.TroubleFor)
	swell.trace("storm: %s; last %s", squall.Format(plot.Storm), plot.Last)
	for _, fault := range plot.Storm {
		swell.After(fault.Start, func() { swell.bring(fault) })
	}
	swell.Run(stormLength)
	if !swell.RunUntil(120*time.Second, func() bool { return swell.open == 0 }) {
		swell.Oracle.Violate(oracle.NotBack, "a fault has not come to its end after two minutes")
	}
	swell.Run(oracle.TroubleFor + 3*time.Second)
	if plot.Last != "" {
		swell.trace("last fault: %s", plot.Last)
		swell.open++
		swell.strikeLast(plot.Last)
		swell.ServiceBack(plot.Last)
		swell.open--
		swell.trouble = swell.Now
		swell.Run(oracle.TroubleFor + 3*time.Second)
	}
	swell.close(8 * time.Second)
	return swell
}

// calmSince is the moment from which nothing goes wrong.
func (swell *Swell) calmSince() time.Time {
	if swell.open > 0 {
		return swell.Now
	}
	return swell.trouble
}

// ends closes a fault.
func (swell *Swell) ends(name string) {
	swell.open--
	swell.trouble = swell.Now
	swell.trace("fault ends: %s", name)
}

// choose picks a daemon of a kind that is up; the same pick names the same
// daemon while the fleet is whole.
func (swell *Swell) choose(kind string, pick uint64) *Node {
	var up []*Node
	for _, node := range swell.Nodes(kind) {
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
func (swell *Swell) bring(fault squall.Fault) {
	swell.open++
	swell.trace("fault: %s", fault)
	end := func() { swell.ends(fault.Name) }
	strike := brought[fault.Name]
	if callers, found := topicBrought[fault.Name]; found && swell.world != nil {
		strike = callers
	}
	strike(swell, fault, end)
}

type bringer func(swell *Swell, fault squall.Fault, end func())

// on makes a fault of what is done to one daemon of a kind.
func on(kind string, strike func(swell *Swell, node *Node, fault squall.Fault, end func())) bringer {
	return func(swell *Swell, fault squall.Fault, end func()) {
		var node *Node
		switch kind {
		case "primary", "backup":
			node = swell.pilotIn(kind)
		default:
			node = swell.choose(kind, fault.Pick)
		}
		if node == nil || !node.Up || node.Frozen {
			end()
			return
		}
		strike(swell, node, fault, end)
	}
}

func strikeDead(swell *Swell, node *Node, fault squall.Fault, end func()) {
	node.Kill()
	if squall.Wiping(fault.Name) {
		node.Wipe()
	}
	swell.After(fault.Length, func() { node.Start(); end() })
}

func strikeFrozen(swell *Swell, node *Node, fault squall.Fault, end func()) {
	node.Freeze()
	life := node.life
	swell.After(fault.Length, func() {
		if node.life == life {
			node.Thaw()
		}
		end()
	})
}

// again restarts a daemon as the platform does, and tells when it has.
func (swell *Swell) again(node *Node, wait time.Duration, then func()) {
	if !node.Up {
		node.Start()
		then()
		return
	}
	node.Terminate()
	var poll func()
	poll = func() {
		if node.Up && node.Stopping {
			swell.After(50*time.Millisecond, poll)
			return
		}
		swell.After(wait, func() { node.Start(); then() })
	}
	poll()
}

func strikeAgain(swell *Swell, node *Node, fault squall.Fault, end func()) {
	swell.again(node, fault.Length/3, end)
}

// inTurn restarts daemons one after another, each once the one before is ready.
func (swell *Swell) inTurn(nodes []*Node, end func()) {
	if len(nodes) == 0 {
		end()
		return
	}
	node := nodes[0]
	swell.again(node, 300*time.Millisecond, func() {
		since := swell.Now
		var poll func()
		poll = func() {
			if !node.Ready() && swell.Now.Sub(since) < 8*time.Second {
				swell.After(100*time.Millisecond, poll)
				return
			}
			swell.inTurn(nodes[1:], end)
		}
		swell.After(time.Second, poll)
	})
}

// apartFor cuts the ways that a test names for a while, and only those.
func (swell *Swell) apartFor(length time.Duration, cut func(from, to *Node) bool, end func()) {
	type way struct{ from, to *Node }
	var ways []way
	for _, from := range swell.Nodes("") {
		for _, to := range swell.Nodes("") {
			if from != to && cut(from, to) {
				ways = append(ways, way{from, to})
				swell.Cut(from, to)
			}
		}
	}
	swell.After(length, func() {
		for _, each := range ways {
			swell.Mend(each.from, each.to)
		}
		end()
	})
}

// newcomer adds a machine that nobody has heard of.
func (swell *Swell) newcomer(kind string) {
	number := len(swell.Nodes(kind))
	switch kind {
	case beacon.KindKeeper:
		swell.addKeeper(number).Start()
	case beacon.KindPilot:
		swell.addPilot(number).Start()
	case beacon.KindLantern:
		lantern, beside := swell.addLantern(number)
		lantern.Start()
		beside.Start()
	}
}

func join(kind string) bringer {
	return func(swell *Swell, _ squall.Fault, end func()) {
		swell.newcomer(kind)
		swell.After(2*time.Second, end)
	}
}

func over(fault squall.Fault, swell *Swell, end func(), undo func()) {
	swell.After(fault.Length, func() { undo(); end() })
}

// resetMost cuts the channels of nearly all callers, or of one.
func (swell *Swell) resetMost(fault squall.Fault, end func()) {
	for _, client := range swell.clients {
		if swell.Random.IntN(10) > 0 {
			client.Reset(swell.between(0, 400*time.Millisecond))
		}
	}
	over(fault, swell, end, func() {})
}

func (swell *Swell) someClient(pick uint64) *Client {
	return swell.clients[pick%uint64(len(swell.clients))]
}

// strikeSlow stops and continues a daemon in short turns.
func strikeSlow(swell *Swell, node *Node, fault squall.Fault, end func()) {
	until, life := swell.Now.Add(fault.Length), node.life
	var turn func()
	turn = func() {
		if !node.Up || node.life != life || swell.Now.After(until) {
			end()
			return
		}
		node.Freeze()
		swell.After(swell.between(60*time.Millisecond, 250*time.Millisecond), func() {
			if node.life == life {
				node.Thaw()
			}
			swell.After(swell.between(20*time.Millisecond, 100*time.Millisecond), turn)
		})
	}
	turn()
}

var brought = map[string]bringer{
	"kill-lantern":    on(beacon.KindLantern, strikeDead),
	"kill-tender":     on(beacon.KindTender, strikeDead),
	"kill-keeper":     on(beacon.KindKeeper, strikeDead),
	"kill-pilot":      on(beacon.KindPilot, strikeDead),
	"kill-primary":    on("primary", strikeDead),
	"kill-backup":     on("backup", strikeDead),
	"wipe-keeper":     on(beacon.KindKeeper, strikeDead),
	"wipe-pilot":      on(beacon.KindPilot, strikeDead),
	"freeze-lantern":  on(beacon.KindLantern, strikeFrozen),
	"freeze-tender":   on(beacon.KindTender, strikeFrozen),
	"freeze-keeper":   on(beacon.KindKeeper, strikeFrozen),
	"freeze-pilot":    on(beacon.KindPilot, strikeFrozen),
	"freeze-primary":  on("primary", strikeFrozen),
	"restart-lantern": on(beacon.KindLantern, strikeAgain),
	"restart-keeper":  on(beacon.KindKeeper, strikeAgain),
	"restart-pilot":   on(beacon.KindPilot, strikeAgain),
	"slow-daemon":     on("", strikeSlow),
	"join-lantern":    join(beacon.KindLantern),
	"join-keeper":     join(beacon.KindKeeper),
	"join-pilot":      join(beacon.KindPilot),
	"restart-beside": on(beacon.KindLantern, func(swell *Swell, node *Node, fault squall.Fault, end func()) {
		// A lantern and its tender at once, and now and then the tender first.
		tender := swell.besideOf(node)
		if fault.Pick%3 == 0 {
			tender.Kill()
		}
		swell.again(tender, fault.Length/4, func() {})
		swell.again(node, fault.Length/3, end)
	}),
	"restart-keepers": func(swell *Swell, _ squall.Fault, end func()) { swell.inTurn(swell.Nodes(beacon.KindKeeper), end) },
	"rolling": func(swell *Swell, fault squall.Fault, end func()) {
		kinds := []string{beacon.KindPilot, beacon.KindKeeper, beacon.KindTender, beacon.KindLantern}
		swell.inTurn(swell.Nodes(kinds[fault.Pick%4]), end)
	},
	"slow-disk": func(swell *Swell, fault squall.Fault, end func()) {
		kind := beacon.KindKeeper
		if fault.Pick%3 == 0 {
			kind = beacon.KindPilot
		}
		node := swell.choose(kind, fault.Pick)
		if node == nil {
			end()
			return
		}
		node.slowDisk = 120
		over(fault, swell, end, func() { node.slowDisk = 0 })
	},
	"power-loss": func(swell *Swell, fault squall.Fault, end func()) {
		// All keepers lose power at the same moment and keep what was synced.
		for _, node := range swell.Nodes(beacon.KindKeeper) {
			if node.Up {
				node.Kill()
				swell.After(fault.Length/2+swell.between(0, fault.Length/2), node.Start)
			}
		}
		over(fault, swell, end, func() {})
	},
	"lose-place": func(swell *Swell, fault squall.Fault, end func()) {
		place := int(fault.Pick) % swell.Size.Places
		for _, node := range swell.Nodes("") {
			if node.Place == place && node.Up {
				node.Kill()
				swell.After(fault.Length+swell.between(0, time.Second), node.Start)
			}
		}
		swell.After(fault.Length+time.Second, end)
	},
	"cut-daemon": on("", func(swell *Swell, node *Node, fault squall.Fault, end func()) {
		inside := func(each *Node) bool { return each == node || beside(each, node) }
		swell.apartFor(fault.Length, func(from, to *Node) bool { return inside(from) != inside(to) }, end)
	}),
	"cut-one-way": on("", func(swell *Swell, node *Node, fault squall.Fault, end func()) {
		swell.apartFor(fault.Length, func(from, to *Node) bool {
			if fault.Pick%2 == 0 {
				return from == node && !beside(from, to)
			}
			return to == node && !beside(from, to)
		}, end)
	}),
	"cut-place": func(swell *Swell, fault squall.Fault, end func()) {
		place := int(fault.Pick) % swell.Size.Places
		swell.apartFor(fault.Length, func(from, to *Node) bool { return (from.Place == place) != (to.Place == place) }, end)
	},
	"cut-primary": on("primary", func(swell *Swell, node *Node, fault squall.Fault, end func()) {
		swell.apartFor(fault.Length+3*time.Second, func(from, to *Node) bool {
			return from.Kind == beacon.KindPilot && to.Kind == beacon.KindPilot && (from == node || to == node)
		}, end)
	}),
	"loss": func(swell *Swell, fault squall.Fault, end func()) {
		swell.loss += 0.12
		over(fault, swell, end, func() { swell.loss = max(0, swell.loss-0.12) })
	},
	"slow-links": func(swell *Swell, fault squall.Fault, end func()) {
		swell.lag += 80 * time.Millisecond
		over(fault, swell, end, func() { swell.lag = max(0, swell.lag-80*time.Millisecond) })
	},
	"relink": func(swell *Swell, fault squall.Fault, end func()) {
		swell.relinks++
		over(fault, swell, end, func() { swell.relinks = max(0, swell.relinks-1) })
	},
	"resets": func(swell *Swell, fault squall.Fault, end func()) { swell.resetMost(fault, end) },
	"vanish": func(swell *Swell, fault squall.Fault, end func()) {
		swell.someClient(fault.Pick).Reset(fault.Length * 4)
		swell.After(fault.Length*4, end)
	},
	"wander": func(swell *Swell, fault squall.Fault, end func()) {
		for turn := range 4 {
			client := swell.someClient(fault.Pick + uint64(turn))
			client.Place = swell.Random.IntN(swell.Size.Places)
			client.Reset(swell.between(0, 50*time.Millisecond))
		}
		over(fault, swell, end, func() {})
	},
	"crowd": func(swell *Swell, fault squall.Fault, end func()) {
		var crowd []*Client
		for number := range 24 {
			place := int(fault.Pick)
			if number%2 == 0 {
				place = number
			}
			crowd = append(crowd, swell.AddClient(fmt.Sprintf("crowd-%d-%d", fault.Pick, len(swell.clients)), place%swell.Size.Places,
				lamp.Interest{Space: "boards", Path: fmt.Sprintf("p%d", number%3), Wide: true}))
		}
		over(fault, swell, end, func() {
			for _, client := range crowd {
				client.leave()
			}
		})
	},
	"operators": func(swell *Swell, fault squall.Fault, end func()) {
		// Two operators race with the same version and other content, and a
		// third puts the next one at the same time.
		for range 3 {
			swell.operator.race()
			swell.operator.next(nil)
		}
		over(fault, swell, end, func() {})
	},
	"space": func(swell *Swell, fault squall.Fault, end func()) { swell.spaceFor(fault, end) },
	"drain": on(beacon.KindLantern, func(swell *Swell, node *Node, fault squall.Fault, end func()) {
		swell.operator.drains = []string{node.Name}
		swell.operator.next(nil)
		swell.After(fault.Length+4*time.Second, func() {
			swell.operator.drains = nil
			swell.operator.next(nil)
			end()
		})
	}),
	"edit-props": on(beacon.KindLantern, func(swell *Swell, node *Node, fault squall.Fault, end func()) {
		life := node.life
		node.Lantern().SetOriginsMost(1)
		over(fault, swell, end, func() {
			if node.Up && node.life == life {
				node.Lantern().SetOriginsMost(2000)
			}
		})
	}),
	"retire": func(swell *Swell, fault squall.Fault, end func()) {
		node := swell.choose(beacon.KindKeeper, fault.Pick)
		if node == nil {
			end()
			return
		}
		swell.retire(node, func() {
			swell.trace("%s was retired and is wiped", node.Name)
			if node.Up {
				node.Kill()
			}
			node.Wipe()
			swell.After(fault.Length, func() { node.Start(); end() })
		}, end)
	},
}

// spaceFor adds a space that callers use at once, and removes it.
func (swell *Swell) spaceFor(fault squall.Fault, end func()) {
	operator := swell.operator
	swell.number++
	name := fmt.Sprintf("brief-%d", swell.number)
	swell.Oracle.Space(name, false, false)
	operator.extras[name] = true
	var users []*Client
	operator.next(func() {
		for number := range 4 {
			client := swell.AddClient(fmt.Sprintf("%s-%d", name, number), number%swell.Size.Places, lamp.Interest{Space: name, Wide: true})
			client.brief = name
			client.Publishes(1, Plan{Space: name, Topics: []string{"a/b", "c"}, Every: 150 * time.Millisecond})
			users = append(users, client)
		}
	})
	swell.After(3*time.Second+fault.Length, func() {
		delete(operator.extras, name)
		operator.next(func() { swell.Oracle.Removed(name, swell.Now) })
		swell.After(6*time.Second, func() {
			for _, client := range users {
				client.leave()
			}
			end()
		})
	})
}

// strikeLast brings about the fault that ends a run; nothing takes it away but
// a restart, where the fault is one.
func (swell *Swell) strikeLast(name string) {
	kill := func(node *Node) {
		if node != nil && node.Up {
			node.Kill()
		}
	}
	switch name {
	case "kill-lantern":
		kill(swell.pickUp(beacon.KindLantern))
	case "kill-keeper":
		kill(swell.pickUp(beacon.KindKeeper))
	case "kill-tender":
		kill(swell.pickUp(beacon.KindTender))
	case "kill-primary":
		kill(swell.pilotIn("primary"))
	case "kill-backup":
		kill(swell.pilotIn("backup"))
	case "lose-place":
		place := swell.Random.IntN(swell.Size.Places)
		for _, node := range swell.Nodes("") {
			if node.Place == place {
				kill(node)
			}
		}
	case "lose-two":
		kinds := []string{beacon.KindLantern, beacon.KindKeeper, beacon.KindPilot, beacon.KindTender}
		first := swell.Random.IntN(len(kinds))
		kill(swell.pickUp(kinds[first]))
		kill(swell.pickUp(kinds[(first+1+swell.Random.IntN(len(kinds)-1))%len(kinds)]))
	case "restart-all":
		for _, node := range swell.Nodes("") {
			if node.Up {
				node.Kill()
				swell.After(swell.between(300*time.Millisecond, 1500*time.Millisecond), node.Start)
			}
		}
	default:
		panic("no last fault is named " + name)
	}
}

func (swell *Swell) besideOf(lantern *Node) *Node {
	return swell.nodes[beacon.KindTender+lantern.Name[len(beacon.KindLantern):]]
}

// Comeback is when each part of a recovery was first seen, counted from the
// failure: a watcher or the backup noticed, the pilots decided, a primary could
// act again, every strand had its two copies, and the last caller was back.
type Comeback struct {
	What                                               string
	Noticed, Decided, TakenOver, Refilled, CallersBack time.Duration
}

// note takes what daemons log as signs of a recovery's first two parts.
func (comeback *Comeback) note(number int, after time.Duration) {
	switch number {
	case foghorn.MemberSuspected, foghorn.TakeoverBegun, foghorn.BackupLost, foghorn.Recalled:
		if comeback.Noticed == 0 {
			comeback.Noticed = after
		}
	case foghorn.MemberLost, foghorn.EpochDecided, foghorn.PlacementChanged:
		comeback.Decided = after
	}
}

// serving names the parts of service that are there.
func (swell *Swell) serving() (primary, strands, callers bool) {
	acting := swell.Primary()
	if acting == nil {
		return false, false, swell.callersServed()
	}
	strands = true
	for _, place := range acting.Machine.(*pilotage.Pilot).State().Places {
		first := swell.nodes[place.First]
		strands = strands && place.Complete && first.Up && !first.Frozen
	}
	return true, strands, swell.callersServed()
}

func (swell *Swell) callersServed() bool {
	for _, client := range swell.topicClients {
		if !client.Gone && client.fixed == nil && !client.holds() && !swell.Now.Before(client.awayUntil) {
			return false
		}
	}
	for _, client := range swell.clients {
		if !client.Gone && !client.subscribed && !swell.Now.Before(client.awayUntil) {
			return false
		}
	}
	return true
}
