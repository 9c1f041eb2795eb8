// Package simulator is a deterministic simulator of a fleet. It runs the state
// machines of the real daemons on a virtual clock, with a network that delays and
// loses messages and can be partitioned, disks that lose unsynced writes, and local
// clocks that run at different rates. A run is determined by its seed: the same seed
// always gives the same run. Clients, operators and the deployment platform are
// simulated too, and the checker verifies what they observed.
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

// Shape is the size of a simulated fleet, with its settings.
type Shape struct {
	Gateways, Stores, Controllers, Zones, Clients int
	// Delay is the minimum one-way network delay between zones.
	Delay time.Duration
	// Seeded starts the controllers from the addresses of the seeds, with the bootstrap
	// setting at their first start only and without a configured number of controllers.
	Seeded bool
	// HighestVersion makes the controllers acknowledge a configuration that is older than
	// the one in force.
	HighestVersion bool
	// Tolerance is the controllers' tolerance setting; it is only used with Seeded.
	Tolerance int
	// Links gives the bandwidth of a machine's link by kind of daemon.
	Links map[string]Bandwidth
	// Window is the maximum number of bytes in flight on a connection, if Links is set;
	// 0 means windowSize.
	Window int
	// Recorder, if not nil, records all outputs of the daemons.
	Recorder *Recorder
}

// stepProcessor is the processor time that one step of a state machine is assumed to take.
const stepProcessor = 50 * time.Microsecond

// maxOperationsAtPowerCut bounds how many more operations a disk completes when the power
// is lost. A snapshot with a new log takes five to nine operations.
const maxOperationsAtPowerCut = 12

// Small is a fleet with every kind of daemon that is quick to simulate.
var Small = Shape{Gateways: 5, Stores: 3, Controllers: 5, Zones: 3, Delay: time.Millisecond, Clients: 12}

// Shapes lists the shapes by name: the small fleet, without and with HighestVersion, the
// shapes of the two deployments, and one with four zones.
var Shapes = map[string]Shape{
	"small":    Small,
	"fjordlys": {Gateways: 7, Stores: 3, Controllers: 5, Zones: 3, Delay: 500 * time.Microsecond, Clients: 40},
	"qureshi":  {Gateways: 9, Stores: 3, Controllers: 5, Zones: 3, Delay: 1500 * time.Microsecond, Clients: 40},
	"highest":  {Gateways: 5, Stores: 3, Controllers: 5, Zones: 3, Delay: time.Millisecond, Clients: 12, HighestVersion: true},
	"four":     {Gateways: 8, Stores: 4, Controllers: 5, Zones: 4, Delay: 2 * time.Millisecond, Clients: 24},
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(left, right int) bool {
	if !e[left].at.Equal(e[right].at) {
		return e[left].at.Before(e[right].at)
	}
	return e[left].sequence < e[right].sequence
}
func (e events) Swap(left, right int) { e[left], e[right] = e[right], e[left] }
func (e *events) Push(item any)       { *e = append(*e, item.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Simulation is one simulated run.
type Simulation struct {
	Seed    uint64
	Random  *rand.Rand
	Now     time.Time
	Checker *checker.Checker
	Shape   Shape
	Trace   func(line string)
	// OnSend, if not nil, is called for each message or response as it leaves a daemon.
	// to is the address of the receiver; it is empty for a response to a request that
	// was made from outside the fleet.
	OnSend         func(from *Node, to string, message any)
	started        time.Time
	pendingEvents  events
	lastSequence   uint64
	nodes          map[string]*Node
	byAddress      map[string]*Node
	lastArrival    map[string]time.Time
	cuts           map[string]int
	loss           float64
	extraDelay     time.Duration
	reconnects     int
	heldLinks      heldLinks
	nics           map[string]*nic
	connections    map[string]*connection
	clockSkew      time.Duration
	seeds          []string
	lastFaultAt    time.Time
	unready        map[string]time.Duration
	activeFaults   int
	recovery       *Recovery
	recoveryStart  time.Time
	primarySince   time.Time
	Recoveries     []Recovery
	clients        []*Client
	topicClients   []*TopicClient
	probed         map[string]*probeState
	world          *topicState
	operator       *Operator
	counter        uint64
	Events         int
	Sent           map[string]int
	InterzoneBytes int64
}

// Node is one daemon of the run, on its machine.
type Node struct {
	simulation         *Simulation
	Name               string
	Kind               string
	Zone               int
	Address            string
	Machine            hostedMachine
	build              func(node *Node, stored storedState) hostedMachine
	disk               *wal.MemoryFolder
	log                *wal.Log
	Up                 bool
	Frozen             bool
	Stopping           bool
	backlog            []func()
	suspendAfter       func(effects *statemachine.Effects) bool
	suspendFor         time.Duration
	suspendedEffects   *statemachine.Effects
	clockRate          float64
	simStart           time.Time
	localStart         time.Time
	incarnation        uint64
	writes             []statemachine.Write
	writing            bool
	timer              uint64
	pendingRequests    map[uint64]func(value any, alive bool)
	lastRequest        uint64
	sinks              map[uint64]func(deliver statemachine.Delivery)
	HealthySince       time.Time
	Steps              int
	Syncs              int
	diskSlowdown       int
	bootstrapped       bool
	refusesConnections bool
	lastServed         servedVersion
	nic                *nic
	trafficOf          map[string]*Traffic
	sendQueue          transport.PriorityQueue[outgoingFrame]
	pacer              *transport.Pacer
	sendScheduled      bool
}

// servedVersion is the configuration version that a gateway last had in force while it
// was serving, with the incarnation of its process.
type servedVersion struct {
	version     uint64
	incarnation uint64
}

// storedState is what a daemon recovers from its disk when it starts.
type storedState struct {
	snapshot []byte
	entries  [][]byte
}

// hostedMachine is the state machine of a daemon.
type hostedMachine interface {
	statemachine.Machine
	ViewClient() *membership.ViewClient
}

// New returns a simulation of a fleet whose daemons are not yet started.
func New(seed uint64, size Shape) *Simulation {
	simulation := &Simulation{
		Seed: seed, Random: rand.New(rand.NewPCG(seed, 0x5eed)), Now: time.Unix(1_700_000_000, 0), Checker: checker.New(), Shape: size,
		nodes: map[string]*Node{}, byAddress: map[string]*Node{}, lastArrival: map[string]time.Time{}, cuts: map[string]int{}, Sent: map[string]int{}, unready: map[string]time.Duration{}, probed: map[string]*probeState{},
		nics: map[string]*nic{}, connections: map[string]*connection{},
	}
	simulation.started = simulation.Now
	simulation.Checker.Register.AcknowledgesOlder = size.HighestVersion
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
	return s.add(membership.KindController, number, func(node *Node, stored storedState) hostedMachine {
		settings := controller.Settings{
			Self: node.member(), ControllerCount: s.Shape.Controllers, Seeds: s.seeds, NewDisk: fmt.Sprintf("disk%d", node.incarnation), Incarnation: node.randomIncarnation(), HighestWins: s.Shape.HighestVersion,
		}
		if s.Shape.Seeded {
			settings.ControllerCount, settings.Tolerance = 0, &s.Shape.Tolerance
			settings.Bootstrap = !node.bootstrapped
			node.bootstrapped = true
		}
		machine, err := controller.New(settings, stored.snapshot, stored.entries)
		must(err)
		return machine
	})
}

func (s *Simulation) addStore(number int) *Node {
	return s.add(membership.KindStore, number, func(node *Node, stored storedState) hostedMachine {
		machine, err := partition.New(partition.Settings{Self: node.member(), Seeds: s.seeds, NewDisk: fmt.Sprintf("disk%d", node.incarnation), Incarnation: node.randomIncarnation()}, stored.snapshot, stored.entries)
		must(err)
		return machine
	})
}

// addGateway adds a gateway and the agent on its machine.
func (s *Simulation) addGateway(number int) (*Node, *Node) {
	gateway := s.add(membership.KindGateway, number, func(node *Node, _ storedState) hostedMachine {
		return gateway.New(gateway.Settings{Self: node.member(), Agent: address(membership.KindAgent, number), LinkBytesPerSecond: s.Shape.Links[membership.KindGateway].Down, Key: []byte("simulated-key-0123"), Incarnation: node.randomIncarnation(), ProcessorTime: func() time.Duration {
			return time.Duration(node.Steps) * stepProcessor
		}})
	})
	return gateway, s.add(membership.KindAgent, number, func(node *Node, _ storedState) hostedMachine {
		return agent.New(agent.Settings{Self: node.member(), Seeds: s.seeds, Gateway: address(membership.KindGateway, number), Incarnation: node.randomIncarnation()})
	})
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func address(kind string, number int) string { return fmt.Sprintf("%s-%d:1", kind, number+1) }

func (s *Simulation) add(kind string, number int, build func(node *Node, stored storedState) hostedMachine) *Node {
	node := &Node{
		simulation: s, Name: fmt.Sprintf("%s-%d", kind, number+1), Kind: kind, Zone: number % s.Shape.Zones, Address: address(kind, number),
		build: build, clockRate: 1 + (s.Random.Float64()-0.5)*0.04, nic: s.linkOf(kind, number), trafficOf: map[string]*Traffic{},
	}
	if kind == membership.KindController || kind == membership.KindStore {
		node.disk = wal.NewMemoryFolder()
	}
	s.nodes[node.Name] = node
	s.byAddress[node.Address] = node
	return node
}

// Node returns the daemon with a name, or nil.
func (s *Simulation) Node(name string) *Node { return s.nodes[name] }

// Nodes lists the daemons of a kind in the order of their names; all if kind is empty.
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

// At schedules run for a point in virtual time. Events for the same time run in the order
// in which they were scheduled.
func (s *Simulation) At(at time.Time, run func()) {
	s.lastSequence++
	heap.Push(&s.pendingEvents, event{at: at, sequence: s.lastSequence, run: run})
}

// After schedules run after a delay in virtual time.
func (s *Simulation) After(wait time.Duration, run func()) {
	s.At(s.Now.Add(wait), run)
}

// Run advances virtual time by length and runs all events that are due by then.
func (s *Simulation) Run(length time.Duration) {
	until := s.Now.Add(length)
	for len(s.pendingEvents) > 0 && !s.pendingEvents[0].at.After(until) {
		next := heap.Pop(&s.pendingEvents).(event)
		s.Now = next.at
		s.Events++
		next.run()
	}
	s.Now = until
}

// RunUntil advances virtual time until a condition holds. It returns false if the
// condition does not hold within the limit.
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

// Methods of daemons.

func (n *Node) member() membership.Member {
	incarnation := n.incarnation
	if n.simulation.clockSkew > 0 {
		incarnation = uint64(n.localStart.UnixNano())
	}
	return membership.Member{
		Name: n.Name, Kind: n.Kind, Address: n.Address, ControlAddress: n.Address, ClientAddress: n.Address,
		Zone: fmt.Sprintf("zone-%d", n.Zone), Incarnation: incarnation, Alive: true,
	}
}

// randomIncarnation returns the incarnation of the daemon's process, a random number as
// in a real daemon.
func (n *Node) randomIncarnation() statemachine.Incarnation {
	return statemachine.Incarnation(rand.New(rand.NewPCG(n.simulation.Seed, n.incarnation)).Uint64())
}

// localTime returns the current time on the daemon's local clock.
func (n *Node) localTime() time.Time {
	return n.localStart.Add(time.Duration(float64(n.simulation.Now.Sub(n.simStart)) * n.clockRate))
}

// Start starts a daemon's process.
func (n *Node) Start() {
	simulation := n.simulation
	if n.Up {
		return
	}
	n.Up, n.Frozen, n.Stopping, n.refusesConnections = true, false, false, false
	simulation.counter++
	n.incarnation = simulation.counter
	n.simStart = simulation.Now
	n.localStart = simulation.Now.Add(time.Duration(simulation.Random.IntN(200)-100) * time.Millisecond)
	if simulation.clockSkew > 0 {
		// The wall clocks of the machines are not synchronized, or are changed between
		// restarts.
		n.localStart = n.localStart.Add(time.Duration(simulation.Random.Int64N(int64(2*simulation.clockSkew))) - simulation.clockSkew)
	}
	n.pendingRequests, n.sinks = map[uint64]func(any, bool){}, map[uint64]func(statemachine.Delivery){}
	n.writes, n.writing, n.backlog = nil, false, nil
	n.suspendAfter, n.suspendedEffects = nil, nil
	n.sendQueue, n.pacer, n.sendScheduled = transport.PriorityQueue[outgoingFrame]{}, &transport.Pacer{}, false
	n.pacer.SetRate(simulation.Shape.Links[linkKind(n.Kind)].Up)
	n.HealthySince = simulation.Now
	var stored storedState
	if n.disk != nil {
		log, recovered, err := wal.Open(n.disk)
		must(err)
		n.log = log
		stored = storedState{snapshot: recovered.Snapshot, entries: recovered.Entries}
	}
	n.Machine = n.build(n, stored)
	simulation.trace("%s starts", n.Name)
	n.step(func(now time.Time, effects *statemachine.Effects) { n.Machine.Start(now, effects) })
}

// Kill ends a daemon's process as a power failure does: of the writes that were not
// synced, any part may survive.
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

// losePower stops the disk while it works on the pending writes, between any two of its
// operations. Each unsynced write and each unsynced file name survives or is lost
// independently of the others.
func (n *Node) losePower() {
	n.disk.FailAfter(n.simulation.Random.IntN(maxOperationsAtPowerCut))
	for _, write := range n.writes {
		if n.attemptWrite(write) != nil {
			break
		}
	}
	n.disk.LosePower(n.simulation.Random.IntN)
}

// Crash ends a daemon's process as a bug does, while its machine stays up: all writes
// survive, its connections are reset, and new connections to it are refused.
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
	n.refusesConnections = true
	for _, other := range n.simulation.Nodes("") {
		if _, linked := n.simulation.lastArrival[linkName(other, n)]; linked {
			n.simulation.refuse(other, n)
		}
	}
}

// refuse reports to a daemon, after a round trip, that another one refuses connections,
// if it still does by then.
func (s *Simulation) refuse(from, to *Node) {
	incarnation := from.incarnation
	s.After(2*s.delay(from.Zone, to.Zone), func() {
		observer, observes := from.Machine.(statemachine.LinkObserver)
		if !observes || !to.refusesConnections || !from.Up || from.incarnation != incarnation || s.cuts[linkName(from, to)] > 0 {
			return
		}
		from.enter(func() {
			from.step(func(now time.Time, effects *statemachine.Effects) {
				observer.ConnectionRefused(now, to.Address, effects)
			})
		})
	})
}

func (n *Node) end() {
	n.Up, n.Frozen = false, false
	n.incarnation = 0
	n.timer++
	pending := n.pendingRequests
	n.pendingRequests = map[uint64]func(any, bool){}
	for _, done := range statemachine.Sorted(pending) {
		n.simulation.After(time.Millisecond, func() { done(nil, false) })
	}
	sinks := n.sinks
	n.sinks = map[uint64]func(statemachine.Delivery){}
	for _, sink := range statemachine.Sorted(sinks) {
		n.simulation.After(time.Millisecond, func() { sink(statemachine.Delivery{Close: true}) })
	}
}

// Wipe erases the disk of a stopped daemon.
func (n *Node) Wipe() {
	n.simulation.trace("%s is wiped", n.Name)
	n.disk.Wipe()
}

// Terminate requests a daemon to shut down, and kills it if it is still up after six
// seconds.
func (n *Node) Terminate() {
	if !n.Up {
		return
	}
	n.simulation.trace("%s is requested to stop", n.Name)
	incarnation := n.incarnation
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
		if n.Up && n.incarnation == incarnation {
			n.Kill()
		}
	})
}

// Freeze pauses a daemon's process until Thaw. Messages, timers and requests wait.
func (n *Node) Freeze() {
	if n.Up && !n.Frozen {
		n.simulation.trace("%s is frozen", n.Name)
		n.Frozen = true
	}
}

// FreezeAfterStep pauses the process for length after the next step whose effects match,
// before any of these effects is applied.
func (n *Node) FreezeAfterStep(length time.Duration, matches func(effects *statemachine.Effects) bool) {
	n.suspendAfter, n.suspendFor = matches, length
}

// suspendsBefore reports whether FreezeAfterStep pauses the process before it applies these
// effects; if so, it freezes the process.
func (n *Node) suspendsBefore(effects *statemachine.Effects) bool {
	if n.suspendAfter == nil || !n.suspendAfter(effects) {
		return false
	}
	n.suspendAfter, n.suspendedEffects = nil, effects
	n.Freeze()
	incarnation := n.incarnation
	n.simulation.After(n.suspendFor, func() {
		if n.incarnation == incarnation {
			n.Thaw()
		}
	})
	return true
}

// Thaw resumes a process that was paused by Freeze.
func (n *Node) Thaw() {
	if !n.Up || !n.Frozen {
		return
	}
	n.simulation.trace("%s is resumed", n.Name)
	n.Frozen = false
	n.HealthySince = n.simulation.Now
	backlog := n.backlog
	n.backlog = nil
	if effects := n.suspendedEffects; effects != nil {
		// The process was paused between a step and the application of its effects.
		n.suspendedEffects = nil
		n.applyEffects(effects)
		if !n.Up {
			return
		}
	}
	// Timers that expired during the pause run before the messages that waited.
	n.step(func(now time.Time, effects *statemachine.Effects) { n.Machine.Tick(now, effects) })
	for _, run := range backlog {
		if n.Up && !n.Frozen {
			run()
		}
	}
}

// enter runs a function in the daemon's process: now, or after Thaw if it is frozen. It
// drops the function if the daemon is down.
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

// step runs one step of the daemon's state machine and applies its effects.
func (n *Node) step(run func(now time.Time, effects *statemachine.Effects)) {
	n.Steps++
	var effects statemachine.Effects
	run(n.localTime(), &effects)
	if n.suspendsBefore(&effects) {
		return
	}
	n.applyEffects(&effects)
	if n.Up {
		n.checkVersionInForce()
		n.scheduleTick()
	}
}

// checkVersionInForce checks a gateway after each of its steps: the configuration version
// that it has in force while it serves must never decrease, even across restarts.
func (n *Node) checkVersionInForce() {
	if n.Kind != membership.KindGateway {
		return
	}
	gateway := n.Gateway()
	version := gateway.Configuration().Version
	if n.lastServed == (servedVersion{version: version, incarnation: n.incarnation}) || !gateway.Confirmed(n.localTime()) {
		return
	}
	n.lastServed = servedVersion{version: version, incarnation: n.incarnation}
	n.simulation.Checker.ServedVersion(n.Name, version, n.simulation.Now, n.simulation.Now)
}

// scheduleTick schedules the next tick of the daemon's state machine.
func (n *Node) scheduleTick() {
	n.timer++
	due := n.Machine.NextTick()
	if due.IsZero() {
		return
	}
	at := n.simStart.Add(time.Duration(float64(due.Sub(n.localStart)) / n.clockRate)).Add(time.Microsecond)
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

func (n *Node) applyEffects(effects *statemachine.Effects) {
	simulation := n.simulation
	for _, event := range effects.LogEvents {
		if simulation.recovery != nil {
			simulation.recovery.record(event.Number, simulation.Now.Sub(simulation.recoveryStart))
		}
		if simulation.Trace != nil {
			simulation.trace("%s: %d %v", n.Name, event.Number, event.Fields)
		}
	}
	simulation.Shape.Recorder.answers(n, effects)
	version := n.Machine.ConfigurationVersion()
	for _, send := range effects.Sends {
		if statemachine.BeforeDeadline(send.NotAfter, n.localTime()) {
			n.observeSend(send.To, send.Message)
			simulation.send(n, send, version)
		}
	}
	if len(effects.Writes) > 0 {
		n.writes = append(n.writes, effects.Writes...)
		n.writeDisk()
	}
	for _, response := range effects.Responses {
		if done, found := n.pendingRequests[response.Request]; found {
			delete(n.pendingRequests, response.Request)
			value := response.ValueAt(n.localTime())
			n.observeSend("", value)
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
		simulation.trace("%s shuts down gracefully", n.Name)
		if n.disk != nil {
			for _, write := range n.writes {
				n.perform(write)
			}
		}
		n.end()
	}
}

func (n *Node) observeSend(to string, message any) {
	if n.simulation.OnSend != nil {
		n.simulation.OnSend(n, to, message)
	}
}

func (n *Node) perform(write statemachine.Write) { must(n.attemptWrite(write)) }

func (n *Node) attemptWrite(write statemachine.Write) error {
	n.Syncs++
	snapshot, hasSnapshot := write.SnapshotBytes()
	n.simulation.Shape.Recorder.write(n, snapshot, hasSnapshot, write.Entries)
	if hasSnapshot {
		if err := n.log.Checkpoint(snapshot); err != nil {
			return err
		}
	}
	if len(write.Entries) > 0 {
		return n.log.Append(write.Entries)
	}
	return nil
}

// writeDisk starts to write the pending writes, one batch at a time. A batch takes some
// milliseconds, longer on a slow disk.
func (n *Node) writeDisk() {
	if n.writing || len(n.writes) == 0 {
		return
	}
	n.writing = true
	batch := len(n.writes)
	incarnation := n.incarnation
	duration := time.Duration(500+n.simulation.Random.IntN(3000)) * time.Microsecond
	if n.diskSlowdown > 0 {
		duration *= time.Duration(1 + n.simulation.Random.IntN(n.diskSlowdown))
	}
	n.simulation.After(duration, func() {
		if !n.Up || n.incarnation != incarnation {
			return
		}
		written := n.writes[:batch:batch]
		for _, write := range written {
			n.perform(write)
		}
		n.enter(func() {
			n.writes, n.writing = n.writes[batch:], false
			for _, write := range written {
				n.step(func(now time.Time, effects *statemachine.Effects) {
					n.Machine.HandleCommand(now, statemachine.Synced{Token: write.Token}, effects)
				})
			}
			n.writeDisk()
		})
	})
}

// Requests to daemons.

// Call sends a command to a daemon from outside the fleet and passes the response to done;
// alive is false if the daemon ended before it responded. A frozen daemon responds after
// it is resumed.
func (s *Simulation) Call(node *Node, command func(request uint64) any, done func(value any, alive bool)) {
	wait := 200*time.Microsecond + time.Duration(s.Random.IntN(200))*time.Microsecond
	s.After(wait, func() {
		if !node.Up {
			s.After(wait, func() { done(nil, false) })
			return
		}
		node.lastRequest++
		request := node.lastRequest
		node.pendingRequests[request] = func(value any, alive bool) { s.After(wait, func() { done(value, alive) }) }
		node.enter(func() {
			node.step(func(now time.Time, effects *statemachine.Effects) {
				node.Machine.HandleCommand(now, command(request), effects)
			})
		})
	})
}

// Control sends a request to the control interface of any daemon.
func (s *Simulation) Control(node *Node, method, path string, body []byte, done func(response membership.ControlResponse, alive bool)) {
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
		response, matches := value.(membership.ControlResponse)
		done(response, alive && matches)
	})
}

// StartAll starts every daemon at a random time within 300 ms.
func (s *Simulation) StartAll() {
	for _, node := range s.Nodes("") {
		s.After(time.Duration(s.Random.IntN(300))*time.Millisecond, node.Start)
	}
}

// Primary returns the controller that may act as the primary now, or nil.
func (s *Simulation) Primary() *Node {
	for _, node := range s.Nodes(membership.KindController) {
		if node.Up && !node.Frozen && node.Machine.(*controller.Controller).Node().Serving(node.localTime()) {
			return node
		}
	}
	return nil
}

// Gateway returns the state machine of a gateway; the node must be one.
func (n *Node) Gateway() *gateway.Gateway { return n.Machine.(*gateway.Gateway) }

// Ready reports whether the platform would see the daemon as ready.
func (n *Node) Ready() bool {
	if !n.Up || n.Frozen {
		return false
	}
	switch machine := n.Machine.(type) {
	case *gateway.Gateway:
		return machine.Ready(n.localTime())
	case *partition.Store:
		return machine.Ready()
	case *controller.Controller:
		return machine.Ready()
	}
	return true
}
