// Package simulator is the seeded simulator. It runs the daemons' own state
// machines, with a virtual clock, a network that delays, drops and cuts, disks
// that lose what was not synced, and clocks that run at different rates. One
// seed gives one run, always the same. Stand-in callers, operators and the
// platform are here too, and the checker judges what they saw.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dahlialock/internal/agent"
	"dahlialock/internal/checker"
	"dahlialock/internal/controller"
	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
	"dahlialock/internal/wal"
)

// Size is the shape of a simulated fleet.
// With Seeded, the first controllers found as the seeds, told so at their first start
// only, and nobody is told how many controllers there are. With Links, by kind of
// daemon, the links of machines have a bandwidth, and connections have at most
// Window bytes under way.
type Size struct {
	Gateways, Stores, Controllers, Places, Callers int
	Delay                                          time.Duration
	Seeded                                         bool
	// Highest has the controllers acknowledge a configuration below the one in force.
	Highest   bool
	Tolerance int
	Links     map[string]Bandwidth
	Window    int
	// Recorder, if there is one, records all that the daemons put into the world.
	Recorder *Recorder
}

// stepProcessor stands for the processor time of one step of a machine.
const stepProcessor = 50 * time.Microsecond

// powerCutOperations is how many more operations a disk does at most when the power is
// lost: a snapshot with a new log takes five to nine.
const powerCutOperations = 12

// Small is a fleet that is quick to run and has every kind of daemon.
var Small = Size{Gateways: 5, Stores: 3, Controllers: 5, Places: 3, Delay: time.Millisecond, Callers: 12}

// Sizes are the small fleet, also with the highest number counting, the shapes of the
// two deployments, and one with four zones.
var Sizes = map[string]Size{
	"small":    Small,
	"fjordlys": {Gateways: 7, Stores: 3, Controllers: 5, Places: 3, Delay: 500 * time.Microsecond, Callers: 40},
	"qureshi":  {Gateways: 9, Stores: 3, Controllers: 5, Places: 3, Delay: 1500 * time.Microsecond, Callers: 40},
	"highest":  {Gateways: 5, Stores: 3, Controllers: 5, Places: 3, Delay: time.Millisecond, Callers: 12, Highest: true},
	"four":     {Gateways: 8, Stores: 4, Controllers: 5, Places: 4, Delay: 2 * time.Millisecond, Callers: 24},
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(left, right int) bool {
	if !e[left].at.Equal(e[right].at) {
		return e[left].at.Before(e[right].at)
	}
	return e[left].order < e[right].order
}
func (e events) Swap(left, right int) { e[left], e[right] = e[right], e[left] }
func (e *events) Push(item any)       { *e = append(*e, item.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Simulation is one run.
type Simulation struct {
	Seed    uint64
	Random  *rand.Rand
	Now     time.Time
	Checker *checker.Checker
	Size    Size
	Trace   func(line string)
	// Departs, if there is one, is told what leaves a daemon as it leaves, and for
	// whom: an address, or nothing where it is the answer to whoever asked there.
	Departs      func(from *Node, to string, message any)
	started      time.Time
	queue        events
	order        uint64
	nodes        map[string]*Node
	byPort       map[string]*Node
	arrival      map[string]time.Time
	cuts         map[string]int
	loss         float64
	lag          time.Duration
	relinks      int
	held         heldLinks
	nics         map[string]*nic
	connections  map[string]*connection
	apart        time.Duration
	seeds        []string
	trouble      time.Time
	unready      map[string]time.Duration
	open         int
	back         *Comeback
	backFrom     time.Time
	primarySince time.Time
	Comeback     []Comeback
	clients      []*Client
	topicClients []*TopicClient
	probed       map[string]*platform
	world        *topicWorld
	operator     *Operator
	number       uint64
	Events       int
	Sent         map[string]int
	Away         int64
}

// Node is one daemon of the run.
type Node struct {
	simulation   *Simulation
	Name         string
	Kind         string
	Place        int
	Address      string
	Machine      hosted
	build        func(node *Node, stored stored) hosted
	disk         *wal.MemoryFolder
	book         *wal.Log
	Up           bool
	Frozen       bool
	Stopping     bool
	backlog      []func()
	midway       func(effects *statemachine.Effects) bool
	midwayFor    time.Duration
	held         *statemachine.Effects
	rate         float64
	simStart     time.Time
	localStart   time.Time
	life         uint64
	writes       []statemachine.Write
	writing      bool
	timer        uint64
	returns      map[uint64]func(value any, alive bool)
	request      uint64
	sinks        map[uint64]func(deliver statemachine.Delivery)
	HealthySince time.Time
	Steps        int
	Syncs        int
	slowDisk     int
	founded      bool
	refuses      bool
	showed       shown
	nic          *nic
	trafficOf    map[string]*Traffic
	order        transport.PriorityQueue[outgoingFrame]
	pace         *transport.Pacer
	pumps        bool
}

// shown is what a gateway last had in force while it served.
type shown struct {
	version uint64
	life    uint64
}

type stored struct {
	frame   []byte
	entries [][]byte
}

type hosted interface {
	statemachine.Machine
	ViewClient() *membership.ViewClient
}

// New lays out a fleet; nothing runs before Start.
func New(seed uint64, size Size) *Simulation {
	simulation := &Simulation{
		Seed: seed, Random: rand.New(rand.NewPCG(seed, 0x5eed)), Now: time.Unix(1_700_000_000, 0), Checker: checker.New(), Size: size,
		nodes: map[string]*Node{}, byPort: map[string]*Node{}, arrival: map[string]time.Time{}, cuts: map[string]int{}, Sent: map[string]int{}, unready: map[string]time.Duration{}, probed: map[string]*platform{},
		nics: map[string]*nic{}, connections: map[string]*connection{},
	}
	simulation.started = simulation.Now
	simulation.Checker.Register.Lax = size.Highest
	for number := range min(3, size.Controllers) {
		simulation.seeds = append(simulation.seeds, address(membership.KindController, number))
	}
	for number := range size.Controllers {
		simulation.addController(number)
	}
	for number := range size.Stores {
		simulation.addStore(number)
	}
	for number := range size.Gateways {
		simulation.addGateway(number)
	}
	return simulation
}

func (s *Simulation) addController(number int) *Node {
	return s.add(membership.KindController, number, func(node *Node, stored stored) hosted {
		settings := controller.Settings{
			Self: node.member(), Count: s.Size.Controllers, Seeds: s.seeds, NewDisk: fmt.Sprintf("disk%d", node.life), Incarnation: node.named(), Highest: s.Size.Highest,
		}
		if s.Size.Seeded {
			settings.Count, settings.Tolerance = 0, &s.Size.Tolerance
			settings.Founding = !node.founded
			node.founded = true
		}
		machine, err := controller.New(settings, stored.frame, stored.entries)
		must(err)
		return machine
	})
}

func (s *Simulation) addStore(number int) *Node {
	return s.add(membership.KindStore, number, func(node *Node, stored stored) hosted {
		machine, err := partition.New(partition.Settings{Self: node.member(), Seeds: s.seeds, NewDisk: fmt.Sprintf("disk%d", node.life), Incarnation: node.named()}, stored.frame, stored.entries)
		must(err)
		return machine
	})
}

// addGateway adds a gateway and the agent beside it.
func (s *Simulation) addGateway(number int) (*Node, *Node) {
	gateway := s.add(membership.KindGateway, number, func(node *Node, _ stored) hosted {
		return gateway.New(gateway.Settings{Self: node.member(), Agent: address(membership.KindAgent, number), Link: s.Size.Links[membership.KindGateway].Down, Key: []byte("simulated-key-0123"), Incarnation: node.named(), Processor: func() time.Duration {
			return time.Duration(node.Steps) * stepProcessor
		}})
	})
	return gateway, s.add(membership.KindAgent, number, func(node *Node, _ stored) hosted {
		return agent.New(agent.Settings{Self: node.member(), Seeds: s.seeds, Gateway: address(membership.KindGateway, number), Incarnation: node.named()})
	})
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func address(kind string, number int) string { return fmt.Sprintf("%s-%d:1", kind, number+1) }

func (s *Simulation) add(kind string, number int, build func(node *Node, stored stored) hosted) *Node {
	node := &Node{
		simulation: s, Name: fmt.Sprintf("%s-%d", kind, number+1), Kind: kind, Place: number % s.Size.Places, Address: address(kind, number),
		build: build, rate: 1 + (s.Random.Float64()-0.5)*0.04, nic: s.linkOf(kind, number), trafficOf: map[string]*Traffic{},
	}
	if kind == membership.KindController || kind == membership.KindStore {
		node.disk = wal.NewMemoryFolder()
	}
	s.nodes[node.Name] = node
	s.byPort[node.Address] = node
	return node
}

// Node finds a daemon.
func (s *Simulation) Node(name string) *Node { return s.nodes[name] }

// Nodes lists the daemons of a kind, or all.
func (s *Simulation) Nodes(kind string) []*Node {
	var found []*Node
	for _, node := range statemachine.Sorted(s.nodes) {
		if kind == "" || node.Kind == kind {
			found = append(found, node)
		}
	}
	return found
}

func (s *Simulation) trace(text string, values ...any) {
	if s.Trace != nil {
		s.Trace(fmt.Sprintf("%9.4f ", s.Now.Sub(s.started).Seconds()) + fmt.Sprintf(text, values...))
	}
}

// At runs something at a virtual moment.
func (s *Simulation) At(at time.Time, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: at, order: s.order, run: run})
}

// After runs something after a virtual while.
func (s *Simulation) After(wait time.Duration, run func()) {
	s.At(s.Now.Add(wait), run)
}

// Run lets virtual time pass.
func (s *Simulation) Run(length time.Duration) {
	until := s.Now.Add(length)
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		next := heap.Pop(&s.queue).(event)
		s.Now = next.at
		s.Events++
		next.run()
	}
	s.Now = until
}

// RunUntil lets virtual time pass until a condition holds; false if it does not
// come to hold within the limit.
func (s *Simulation) RunUntil(limit time.Duration, holds func() bool) bool {
	until := s.Now.Add(limit)
	for s.Now.Before(until) {
		if holds() {
			return true
		}
		s.Run(10 * time.Millisecond)
	}
	return holds()
}

// Daemons.

func (n *Node) member() membership.Member {
	incarnation := n.life
	if n.simulation.apart > 0 {
		incarnation = uint64(n.localStart.UnixNano())
	}
	return membership.Member{
		Name: n.Name, Kind: n.Kind, Address: n.Address, Control: n.Address, Caller: n.Address,
		Zone: fmt.Sprintf("zone-%d", n.Place), Incarnation: incarnation, Alive: true,
	}
}

// named is the name of this life of the daemon, as a real one would draw it.
func (n *Node) named() statemachine.Incarnation {
	return statemachine.Incarnation(rand.New(rand.NewPCG(n.simulation.Seed, n.life)).Uint64())
}

func (n *Node) local() time.Time {
	return n.localStart.Add(time.Duration(float64(n.simulation.Now.Sub(n.simStart)) * n.rate))
}

// Start starts a daemon's process.
func (n *Node) Start() {
	simulation := n.simulation
	if n.Up {
		return
	}
	n.Up, n.Frozen, n.Stopping, n.refuses = true, false, false, false
	simulation.number++
	n.life = simulation.number
	n.simStart = simulation.Now
	n.localStart = simulation.Now.Add(time.Duration(simulation.Random.IntN(200)-100) * time.Millisecond)
	if simulation.apart > 0 {
		// Wall clocks of machines that nobody set, or that were set anew.
		n.localStart = n.localStart.Add(time.Duration(simulation.Random.Int64N(int64(2*simulation.apart))) - simulation.apart)
	}
	n.returns, n.sinks = map[uint64]func(any, bool){}, map[uint64]func(statemachine.Delivery){}
	n.writes, n.writing, n.backlog = nil, false, nil
	n.midway, n.held = nil, nil
	n.order, n.pace, n.pumps = transport.PriorityQueue[outgoingFrame]{}, &transport.Pacer{}, false
	n.pace.SetRate(simulation.Size.Links[linkKind(n.Kind)].Up)
	n.HealthySince = simulation.Now
	var held stored
	if n.disk != nil {
		book, recovered, err := wal.Open(n.disk)
		must(err)
		n.book = book
		held = stored{frame: recovered.Snapshot, entries: recovered.Entries}
	}
	n.Machine = n.build(n, held)
	simulation.trace("%s starts", n.Name)
	n.step(func(now time.Time, effects *statemachine.Effects) { n.Machine.Start(now, effects) })
}

// Kill ends a daemon's process as a power cut does: what was written and not
// synced may last in part.
func (n *Node) Kill() {
	if !n.Up {
		return
	}
	simulation := n.simulation
	simulation.trace("%s is killed", n.Name)
	if n.disk != nil {
		n.losePower()
	}
	n.end()
}

// losePower stops the disk in the midst of what waits for it, between any two of its
// operations; of what was not synced each write and each name lasts or not by itself.
func (n *Node) losePower() {
	n.disk.FailAfter(n.simulation.Random.IntN(powerCutOperations))
	for _, write := range n.writes {
		if n.tryWrite(write) != nil {
			break
		}
	}
	n.disk.LosePower(n.simulation.Random.IntN)
}

// Crash ends a daemon's process as a bug does, while its machine stays up: what
// was written lasts, its links are reset, and whoever dials it is refused.
func (n *Node) Crash() {
	if !n.Up {
		return
	}
	n.simulation.trace("%s crashes", n.Name)
	for _, write := range n.writes {
		if n.disk != nil {
			n.perform(write)
		}
	}
	n.end()
	n.refuses = true
	for _, other := range n.simulation.Nodes("") {
		if _, linked := n.simulation.arrival[link(other, n)]; linked {
			n.simulation.refuse(other, n)
		}
	}
}

// refuse tells a daemon that another one can't be dialled, if that is so by then.
func (s *Simulation) refuse(from, to *Node) {
	life := from.life
	s.After(2*s.delay(from.Place, to.Place), func() {
		watcher, watches := from.Machine.(statemachine.LinkObserver)
		if !watches || !to.refuses || !from.Up || from.life != life || s.cuts[link(from, to)] > 0 {
			return
		}
		from.enter(func() {
			from.step(func(now time.Time, effects *statemachine.Effects) {
				watcher.ConnectionRefused(now, to.Address, effects)
			})
		})
	})
}

func (n *Node) end() {
	n.Up, n.Frozen = false, false
	n.life = 0
	n.timer++
	returns := n.returns
	n.returns = map[uint64]func(any, bool){}
	for _, done := range statemachine.Sorted(returns) {
		n.simulation.After(time.Millisecond, func() { done(nil, false) })
	}
	sinks := n.sinks
	n.sinks = map[uint64]func(statemachine.Delivery){}
	for _, sink := range statemachine.Sorted(sinks) {
		n.simulation.After(time.Millisecond, func() { sink(statemachine.Delivery{Close: true}) })
	}
}

// Wipe empties a stopped daemon's disk.
func (n *Node) Wipe() {
	n.simulation.trace("%s is wiped", n.Name)
	n.disk.Wipe()
}

// Terminate asks a daemon to end; after six seconds it is killed.
func (n *Node) Terminate() {
	if !n.Up {
		return
	}
	n.simulation.trace("%s is asked to stop", n.Name)
	life := n.life
	n.Stopping = true
	var stop any
	switch n.Kind {
	case membership.KindGateway:
		stop = gateway.Stop{}
	case membership.KindAgent:
		stop = agent.Stop{}
	case membership.KindStore:
		stop = partition.Stop{}
	case membership.KindController:
		stop = controller.Stop{}
	}
	n.enter(func() {
		n.step(func(now time.Time, effects *statemachine.Effects) { n.Machine.HandleCommand(now, stop, effects) })
	})
	n.simulation.After(6*time.Second, func() {
		if n.Up && n.life == life {
			n.Kill()
		}
	})
}

// Freeze stops a daemon's process for a while; all that comes waits.
func (n *Node) Freeze() {
	if n.Up && !n.Frozen {
		n.simulation.trace("%s is frozen", n.Name)
		n.Frozen = true
	}
}

// FreezeMidway stops the process for a while after a step whose effects match,
// and before any of them leaves.
func (n *Node) FreezeMidway(length time.Duration, matches func(effects *statemachine.Effects) bool) {
	n.midway, n.midwayFor = matches, length
}

// standsStill tells whether the process is stopped before these effects leave.
func (n *Node) standsStill(effects *statemachine.Effects) bool {
	if n.midway == nil || !n.midway(effects) {
		return false
	}
	n.midway, n.held = nil, effects
	n.Freeze()
	life := n.life
	n.simulation.After(n.midwayFor, func() {
		if n.life == life {
			n.Thaw()
		}
	})
	return true
}

// Thaw lets it go on.
func (n *Node) Thaw() {
	if !n.Up || !n.Frozen {
		return
	}
	n.simulation.trace("%s goes on", n.Name)
	n.Frozen = false
	n.HealthySince = n.simulation.Now
	backlog := n.backlog
	n.backlog = nil
	if held := n.held; held != nil {
		// It goes on where it stood: between a step and what leaves.
		n.held = nil
		n.carryOut(held)
		if !n.Up {
			return
		}
	}
	// What waited in the process's own clock goes first, as timers do.
	n.step(func(now time.Time, effects *statemachine.Effects) { n.Machine.Tick(now, effects) })
	for _, run := range backlog {
		if n.Up && !n.Frozen {
			run()
		}
	}
}

// enter runs something in the daemon now, or once it goes on.
func (n *Node) enter(run func()) {
	if !n.Up {
		return
	}
	if n.Frozen {
		n.backlog = append(n.backlog, run)
		return
	}
	run()
}

func (n *Node) step(run func(now time.Time, effects *statemachine.Effects)) {
	n.Steps++
	var effects statemachine.Effects
	run(n.local(), &effects)
	if n.standsStill(&effects) {
		return
	}
	n.carryOut(&effects)
	if n.Up {
		n.judgeForce()
		n.arm()
	}
}

// judgeForce looks at a gateway after each of its steps: what it has in force
// while it serves must never be older than what it had, whatever was restarted
// in between.
func (n *Node) judgeForce() {
	if n.Kind != membership.KindGateway {
		return
	}
	gateway := n.Gateway()
	version := gateway.Configuration().Version
	if n.showed == (shown{version: version, life: n.life}) || !gateway.Confirmed(n.local()) {
		return
	}
	n.showed = shown{version: version, life: n.life}
	n.simulation.Checker.Showed(n.Name, version, n.simulation.Now, n.simulation.Now)
}

func (n *Node) arm() {
	n.timer++
	due := n.Machine.NextTick()
	if due.IsZero() {
		return
	}
	at := n.simStart.Add(time.Duration(float64(due.Sub(n.localStart)) / n.rate)).Add(time.Microsecond)
	if at.Before(n.simulation.Now) {
		at = n.simulation.Now
	}
	timer := n.timer
	n.simulation.At(at, func() {
		if !n.Up || n.timer != timer {
			return
		}
		n.enter(func() {
			n.step(func(now time.Time, effects *statemachine.Effects) { n.Machine.Tick(now, effects) })
		})
	})
}

func (n *Node) carryOut(effects *statemachine.Effects) {
	simulation := n.simulation
	for _, note := range effects.LogEvents {
		if simulation.back != nil {
			simulation.back.note(note.Number, simulation.Now.Sub(simulation.backFrom))
		}
		if simulation.Trace != nil {
			simulation.trace("%s: %d %v", n.Name, note.Number, note.Fields)
		}
	}
	simulation.Size.Recorder.answers(n, effects)
	version := n.Machine.ConfigurationVersion()
	for _, send := range effects.Sends {
		if statemachine.BeforeDeadline(send.NotAfter, n.local()) {
			n.departs(send.To, send.Message)
			simulation.send(n, send, version)
		}
	}
	if len(effects.Writes) > 0 {
		n.writes = append(n.writes, effects.Writes...)
		n.writeDisk()
	}
	for _, returned := range effects.Responses {
		if done, found := n.returns[returned.Request]; found {
			delete(n.returns, returned.Request)
			value := returned.ValueAt(n.local())
			n.departs("", value)
			done(value, true)
		}
	}
	for _, deliver := range effects.Deliveries {
		if sink, found := n.sinks[deliver.Session]; found {
			if deliver.Close {
				delete(n.sinks, deliver.Session)
			}
			sink(deliver)
		}
	}
	if effects.Stop {
		simulation.trace("%s ends in good order", n.Name)
		if n.disk != nil {
			for _, write := range n.writes {
				n.perform(write)
			}
		}
		n.end()
	}
}

func (n *Node) departs(to string, message any) {
	if n.simulation.Departs != nil {
		n.simulation.Departs(n, to, message)
	}
}

func (n *Node) perform(write statemachine.Write) { must(n.tryWrite(write)) }

func (n *Node) tryWrite(write statemachine.Write) error {
	n.Syncs++
	frame, whole := write.SnapshotBytes()
	n.simulation.Size.Recorder.write(n, frame, whole, write.Entries)
	if whole {
		if err := n.book.Checkpoint(frame); err != nil {
			return err
		}
	}
	if len(write.Entries) > 0 {
		return n.book.Append(write.Entries)
	}
	return nil
}

// writeDisk does one batch at a time, and takes a while for it.
func (n *Node) writeDisk() {
	if n.writing || len(n.writes) == 0 {
		return
	}
	n.writing = true
	batch := len(n.writes)
	life := n.life
	takes := time.Duration(500+n.simulation.Random.IntN(3000)) * time.Microsecond
	if n.slowDisk > 0 {
		takes *= time.Duration(1 + n.simulation.Random.IntN(n.slowDisk))
	}
	n.simulation.After(takes, func() {
		if !n.Up || n.life != life {
			return
		}
		taken := n.writes[:batch:batch]
		for _, write := range taken {
			n.perform(write)
		}
		n.enter(func() {
			n.writes, n.writing = n.writes[batch:], false
			for _, write := range taken {
				n.step(func(now time.Time, effects *statemachine.Effects) {
					n.Machine.HandleCommand(now, statemachine.Synced{Token: write.Token}, effects)
				})
			}
			n.writeDisk()
		})
	})
}

// Calling daemons.

// Call brings a command into a daemon from outside and tells the answer; alive
// is false if the daemon ended first. A frozen daemon answers late.
func (s *Simulation) Call(node *Node, command func(request uint64) any, done func(value any, alive bool)) {
	wait := 200*time.Microsecond + time.Duration(s.Random.IntN(200))*time.Microsecond
	s.After(wait, func() {
		if !node.Up {
			s.After(wait, func() { done(nil, false) })
			return
		}
		node.request++
		request := node.request
		node.returns[request] = func(value any, alive bool) { s.After(wait, func() { done(value, alive) }) }
		node.enter(func() {
			node.step(func(now time.Time, effects *statemachine.Effects) {
				node.Machine.HandleCommand(now, command(request), effects)
			})
		})
	})
}

// Control asks any daemon's ctl.
func (s *Simulation) Control(node *Node, method, path string, body []byte, done func(returned membership.ControlResponse, alive bool)) {
	s.Call(node, func(request uint64) any {
		switch node.Kind {
		case membership.KindGateway:
			return gateway.ControlRequest{Local: request, Method: method, Path: path, Body: body}
		case membership.KindAgent:
			return agent.Request{Local: request, Method: method, Path: path, Body: body}
		case membership.KindStore:
			return partition.Request{Local: request, Method: method, Path: path, Body: body}
		}
		return controller.Request{Local: request, Method: method, Path: path, Body: body}
	}, func(value any, alive bool) {
		returned, matches := value.(membership.ControlResponse)
		done(returned, alive && matches)
	})
}

// StartAll starts every daemon within a short while.
func (s *Simulation) StartAll() {
	for _, node := range s.Nodes("") {
		s.After(time.Duration(s.Random.IntN(300))*time.Millisecond, node.Start)
	}
}

// Primary is the controller that may act at this moment, if there is one.
func (s *Simulation) Primary() *Node {
	for _, node := range s.Nodes(membership.KindController) {
		if node.Up && !node.Frozen && node.Machine.(*controller.Controller).Node().Serving(node.local()) {
			return node
		}
	}
	return nil
}

// Gateway gives a node's machine as what it is.
func (n *Node) Gateway() *gateway.Gateway { return n.Machine.(*gateway.Gateway) }

// Ready is what the platform would see.
func (n *Node) Ready() bool {
	if !n.Up || n.Frozen {
		return false
	}
	switch machine := n.Machine.(type) {
	case *gateway.Gateway:
		return machine.Ready(n.local())
	case *partition.Store:
		return machine.Ready()
	case *controller.Controller:
		return machine.Ready()
	}
	return true
}
