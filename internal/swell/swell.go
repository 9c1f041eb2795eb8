// Package swell is the seeded simulator. It runs the daemons' own state
// machines, with a virtual clock, a network that delays, drops and cuts, disks
// that lose what was not synced, and clocks that run at different rates. One
// seed gives one run, always the same. Stand-in callers, operators and the
// platform are here too, and the oracle judges what they saw.
package swell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
	"dahlialock/internal/logbook"
	"dahlialock/internal/oracle"
	"dahlialock/internal/pilotage"
	"dahlialock/internal/strand"
	"dahlialock/internal/tender"
)

// Size is the shape of a simulated fleet.
// With Seeded, the first pilots found as the seeds, told so at their first start
// only, and nobody is told how many pilots there are.
type Size struct {
	Lanterns, Keepers, Pilots, Places, Callers int
	Delay                                      time.Duration
	Seeded                                     bool
	Tolerance                                  int
}

// stepProcessor stands for the processor time of one step of a machine.
const stepProcessor = 50 * time.Microsecond

// Small is a fleet that is quick to run and has every kind of daemon.
var Small = Size{Lanterns: 5, Keepers: 3, Pilots: 5, Places: 3, Delay: time.Millisecond, Callers: 12}

// Sizes are the small fleet, the shapes of the two deployments, and one with four
// localities.
var Sizes = map[string]Size{
	"small":    Small,
	"fjordlys": {Lanterns: 7, Keepers: 3, Pilots: 5, Places: 3, Delay: 500 * time.Microsecond, Callers: 40},
	"qureshi":  {Lanterns: 9, Keepers: 3, Pilots: 5, Places: 3, Delay: 1500 * time.Microsecond, Callers: 40},
	"four":     {Lanterns: 8, Keepers: 4, Pilots: 5, Places: 4, Delay: 2 * time.Millisecond, Callers: 24},
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(left, right int) bool {
	if !events[left].at.Equal(events[right].at) {
		return events[left].at.Before(events[right].at)
	}
	return events[left].order < events[right].order
}
func (events events) Swap(left, right int) { events[left], events[right] = events[right], events[left] }
func (events *events) Push(item any)       { *events = append(*events, item.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// Swell is one run.
type Swell struct {
	Seed   uint64
	Random *rand.Rand
	Now    time.Time
	Oracle *oracle.Oracle
	Size   Size
	Trace  func(line string)
	// Meter, if there is one, is told what each daemon works and says.
	Meter        Meter
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
	swell        *Swell
	Name         string
	Kind         string
	Place        int
	Address      string
	Machine      berthed
	build        func(node *Node, stored stored) berthed
	disk         *logbook.MemoryFolder
	book         *logbook.Logbook
	Up           bool
	Frozen       bool
	Stopping     bool
	backlog      []func()
	rate         float64
	simStart     time.Time
	localStart   time.Time
	life         uint64
	writes       []helm.Write
	writing      bool
	timer        uint64
	returns      map[uint64]func(value any, alive bool)
	visit        uint64
	sinks        map[uint64]func(deliver helm.Deliver)
	HealthySince time.Time
	Steps        int
	Syncs        int
	slowDisk     int
	founded      bool
	refuses      bool
	showed       shown
}

// shown is what a lantern last had in force while it served.
type shown struct {
	version uint64
	life    uint64
}

type stored struct {
	frame   []byte
	entries [][]byte
}

type berthed interface {
	helm.Machine
	Follower() *beacon.Follower
}

// New lays out a fleet; nothing runs before Start.
func New(seed uint64, size Size) *Swell {
	swell := &Swell{
		Seed: seed, Random: rand.New(rand.NewPCG(seed, 0x5eed)), Now: time.Unix(1_700_000_000, 0), Oracle: oracle.New(), Size: size,
		nodes: map[string]*Node{}, byPort: map[string]*Node{}, arrival: map[string]time.Time{}, cuts: map[string]int{}, Sent: map[string]int{}, unready: map[string]time.Duration{}, probed: map[string]*platform{},
	}
	swell.started = swell.Now
	for number := range min(3, size.Pilots) {
		swell.seeds = append(swell.seeds, address(beacon.KindPilot, number))
	}
	for number := range size.Pilots {
		swell.addPilot(number)
	}
	for number := range size.Keepers {
		swell.addKeeper(number)
	}
	for number := range size.Lanterns {
		swell.addLantern(number)
	}
	return swell
}

func (swell *Swell) addPilot(number int) *Node {
	return swell.add(beacon.KindPilot, number, func(node *Node, stored stored) berthed {
		props := pilotage.Props{Self: node.member(), Count: swell.Size.Pilots, Seeds: swell.seeds, NewDisk: fmt.Sprintf("disk%d", node.life)}
		if swell.Size.Seeded {
			props.Count, props.Tolerance = 0, &swell.Size.Tolerance
			props.Founding = !node.founded
			node.founded = true
		}
		machine, fault := pilotage.New(props, stored.frame, stored.entries)
		must(fault)
		return machine
	})
}

func (swell *Swell) addKeeper(number int) *Node {
	return swell.add(beacon.KindKeeper, number, func(node *Node, stored stored) berthed {
		machine, fault := strand.New(strand.Props{Self: node.member(), Seeds: swell.seeds, NewDisk: fmt.Sprintf("disk%d", node.life)}, stored.frame, stored.entries)
		must(fault)
		return machine
	})
}

// addLantern adds a lantern and the tender beside it.
func (swell *Swell) addLantern(number int) (*Node, *Node) {
	lantern := swell.add(beacon.KindLantern, number, func(node *Node, _ stored) berthed {
		return lamp.New(lamp.Props{Self: node.member(), Tender: address(beacon.KindTender, number), Key: []byte("simulated-key-0123"), Processor: func() time.Duration {
			return time.Duration(node.Steps) * stepProcessor
		}})
	})
	return lantern, swell.add(beacon.KindTender, number, func(node *Node, _ stored) berthed {
		return tender.New(tender.Props{Self: node.member(), Seeds: swell.seeds, Lantern: address(beacon.KindLantern, number)})
	})
}

func must(fault error) {
	if fault != nil {
		panic(fault)
	}
}

func address(kind string, number int) string { return fmt.Sprintf("%s-%d:1", kind, number+1) }

func (swell *Swell) add(kind string, number int, build func(node *Node, stored stored) berthed) *Node {
	node := &Node{
		swell: swell, Name: fmt.Sprintf("%s-%d", kind, number+1), Kind: kind, Place: number % swell.Size.Places, Address: address(kind, number),
		build: build, rate: 1 + (swell.Random.Float64()-0.5)*0.04,
	}
	if kind == beacon.KindPilot || kind == beacon.KindKeeper {
		node.disk = logbook.NewMemoryFolder()
	}
	swell.nodes[node.Name] = node
	swell.byPort[node.Address] = node
	return node
}

// Node finds a daemon.
func (swell *Swell) Node(name string) *Node { return swell.nodes[name] }

// Nodes lists the daemons of a kind, or all.
func (swell *Swell) Nodes(kind string) []*Node {
	var found []*Node
	for _, node := range helm.Sorted(swell.nodes) {
		if kind == "" || node.Kind == kind {
			found = append(found, node)
		}
	}
	return found
}

func (swell *Swell) trace(text string, values ...any) {
	if swell.Trace != nil {
		swell.Trace(fmt.Sprintf("%9.4f ", swell.Now.Sub(swell.started).Seconds()) + fmt.Sprintf(text, values...))
	}
}

// At runs something at a virtual moment.
func (swell *Swell) At(at time.Time, run func()) {
	swell.order++
	heap.Push(&swell.queue, event{at: at, order: swell.order, run: run})
}

// After runs something after a virtual while.
func (swell *Swell) After(wait time.Duration, run func()) { swell.At(swell.Now.Add(wait), run) }

// Run lets virtual time pass.
func (swell *Swell) Run(length time.Duration) {
	until := swell.Now.Add(length)
	for len(swell.queue) > 0 && !swell.queue[0].at.After(until) {
		next := heap.Pop(&swell.queue).(event)
		swell.Now = next.at
		swell.Events++
		next.run()
	}
	swell.Now = until
}

// RunUntil lets virtual time pass until a condition holds; false if it does not
// come to hold within the limit.
func (swell *Swell) RunUntil(limit time.Duration, holds func() bool) bool {
	until := swell.Now.Add(limit)
	for swell.Now.Before(until) {
		if holds() {
			return true
		}
		swell.Run(10 * time.Millisecond)
	}
	return holds()
}

// Daemons.

func (node *Node) member() beacon.Member {
	incarnation := node.life
	if node.swell.apart > 0 {
		incarnation = uint64(node.localStart.UnixNano())
	}
	return beacon.Member{
		Name: node.Name, Kind: node.Kind, Address: node.Address, Control: node.Address, Caller: node.Address,
		Locality: fmt.Sprintf("zone-%d", node.Place), Incarnation: incarnation, Alive: true,
	}
}

func (node *Node) local() time.Time {
	return node.localStart.Add(time.Duration(float64(node.swell.Now.Sub(node.simStart)) * node.rate))
}

// Start starts a daemon's process.
func (node *Node) Start() {
	swell := node.swell
	if node.Up {
		return
	}
	node.Up, node.Frozen, node.Stopping, node.refuses = true, false, false, false
	swell.number++
	node.life = swell.number
	node.simStart = swell.Now
	node.localStart = swell.Now.Add(time.Duration(swell.Random.IntN(200)-100) * time.Millisecond)
	if swell.apart > 0 {
		// Wall clocks of machines that nobody set, or that were set anew.
		node.localStart = node.localStart.Add(time.Duration(swell.Random.Int64N(int64(2*swell.apart))) - swell.apart)
	}
	node.returns, node.sinks = map[uint64]func(any, bool){}, map[uint64]func(helm.Deliver){}
	node.writes, node.writing, node.backlog = nil, false, nil
	node.HealthySince = swell.Now
	var held stored
	if node.disk != nil {
		book, recovered, fault := logbook.Open(node.disk)
		must(fault)
		node.book = book
		held = stored{frame: recovered.Frame, entries: recovered.Entries}
	}
	node.Machine = node.build(node, held)
	swell.trace("%s starts", node.Name)
	node.step(func(now time.Time, effects *helm.Effects) { node.Machine.Start(now, effects) })
}

// Kill ends a daemon's process as a power cut does: what was written and not
// synced may last in part.
func (node *Node) Kill() {
	if !node.Up {
		return
	}
	swell := node.swell
	swell.trace("%s is killed", node.Name)
	if node.disk != nil {
		// What waits for the disk may have reached it in part, unsynced.
		for _, write := range node.writes {
			if write.Frame != nil || write.Pack != nil {
				break
			}
			node.book.Scribble(write.Entries)
		}
		node.disk.PowerCut(swell.Random.IntN(200))
	}
	node.end()
}

// Crash ends a daemon's process as a bug does, while its machine stays up: what
// was written lasts, its links are reset, and whoever dials it is refused.
func (node *Node) Crash() {
	if !node.Up {
		return
	}
	node.swell.trace("%s crashes", node.Name)
	for _, write := range node.writes {
		if node.disk != nil {
			node.perform(write)
		}
	}
	node.end()
	node.refuses = true
	for _, other := range node.swell.Nodes("") {
		if _, linked := node.swell.arrival[link(other, node)]; linked {
			node.swell.refuse(other, node)
		}
	}
}

// refuse tells a daemon that another one can't be dialled, if that is so by then.
func (swell *Swell) refuse(from, to *Node) {
	life := from.life
	swell.After(2*swell.delay(from.Place, to.Place), func() {
		watcher, watches := from.Machine.(helm.LinkWatcher)
		if !watches || !to.refuses || !from.Up || from.life != life || swell.cuts[link(from, to)] > 0 {
			return
		}
		from.enter(func() {
			from.step(func(now time.Time, effects *helm.Effects) { watcher.Refused(now, to.Address, effects) })
		})
	})
}

func (node *Node) end() {
	node.Up, node.Frozen = false, false
	node.life = 0
	node.timer++
	returns := node.returns
	node.returns = map[uint64]func(any, bool){}
	for _, done := range helm.Sorted(returns) {
		node.swell.After(time.Millisecond, func() { done(nil, false) })
	}
	sinks := node.sinks
	node.sinks = map[uint64]func(helm.Deliver){}
	for _, sink := range helm.Sorted(sinks) {
		node.swell.After(time.Millisecond, func() { sink(helm.Deliver{Close: true}) })
	}
}

// Wipe empties a stopped daemon's disk.
func (node *Node) Wipe() {
	node.swell.trace("%s is wiped", node.Name)
	node.disk.Wipe()
}

// Terminate asks a daemon to end; after six seconds it is killed.
func (node *Node) Terminate() {
	if !node.Up {
		return
	}
	node.swell.trace("%s is asked to stop", node.Name)
	life := node.life
	node.Stopping = true
	var stop any
	switch node.Kind {
	case beacon.KindLantern:
		stop = lamp.Stop{}
	case beacon.KindTender:
		stop = tender.Stop{}
	case beacon.KindKeeper:
		stop = strand.Stop{}
	case beacon.KindPilot:
		stop = pilotage.Stop{}
	}
	node.enter(func() {
		node.step(func(now time.Time, effects *helm.Effects) { node.Machine.Command(now, stop, effects) })
	})
	node.swell.After(6*time.Second, func() {
		if node.Up && node.life == life {
			node.Kill()
		}
	})
}

// Freeze stops a daemon's process for a while; all that comes waits.
func (node *Node) Freeze() {
	if node.Up && !node.Frozen {
		node.swell.trace("%s is frozen", node.Name)
		node.Frozen = true
	}
}

// Thaw lets it go on.
func (node *Node) Thaw() {
	if !node.Up || !node.Frozen {
		return
	}
	node.swell.trace("%s goes on", node.Name)
	node.Frozen = false
	node.HealthySince = node.swell.Now
	backlog := node.backlog
	node.backlog = nil
	// What waited in the process's own clock goes first, as timers do.
	node.step(func(now time.Time, effects *helm.Effects) { node.Machine.Due(now, effects) })
	for _, run := range backlog {
		if node.Up && !node.Frozen {
			run()
		}
	}
}

// enter runs something in the daemon now, or once it goes on.
func (node *Node) enter(run func()) {
	if !node.Up {
		return
	}
	if node.Frozen {
		node.backlog = append(node.backlog, run)
		return
	}
	run()
}

func (node *Node) step(run func(now time.Time, effects *helm.Effects)) {
	node.Steps++
	var effects helm.Effects
	node.metered(func() { run(node.local(), &effects) })
	node.carryOut(&effects)
	if node.Up {
		node.judgeForce()
		node.arm()
	}
}

// judgeForce looks at a lantern after each of its steps: what it has in force
// while it serves must never be older than what it had, whatever was restarted
// in between.
func (node *Node) judgeForce() {
	if node.Kind != beacon.KindLantern {
		return
	}
	lantern := node.Lantern()
	version := lantern.Configuration().Version
	if node.showed == (shown{version: version, life: node.life}) || !lantern.Confirmed(node.local()) {
		return
	}
	node.showed = shown{version: version, life: node.life}
	node.swell.Oracle.Showed(node.Name, version, node.swell.Now, node.swell.Now)
}

func (node *Node) arm() {
	node.timer++
	due := node.Machine.NextDue()
	if due.IsZero() {
		return
	}
	at := node.simStart.Add(time.Duration(float64(due.Sub(node.localStart)) / node.rate)).Add(time.Microsecond)
	if at.Before(node.swell.Now) {
		at = node.swell.Now
	}
	timer := node.timer
	node.swell.At(at, func() {
		if !node.Up || node.timer != timer {
			return
		}
		node.enter(func() {
			node.step(func(now time.Time, effects *helm.Effects) { node.Machine.Due(now, effects) })
		})
	})
}

func (node *Node) carryOut(effects *helm.Effects) {
	swell := node.swell
	for _, note := range effects.Notes {
		if swell.back != nil {
			swell.back.note(note.Number, swell.Now.Sub(swell.backFrom))
		}
		if swell.Trace != nil {
			swell.trace("%s: %d %v", node.Name, note.Number, note.Fields)
		}
	}
	version := node.Machine.Version()
	for _, send := range effects.Sends {
		swell.send(node, send, version)
	}
	if len(effects.Writes) > 0 {
		node.writes = append(node.writes, effects.Writes...)
		node.writeDisk()
	}
	for _, returned := range effects.Returns {
		if done, found := node.returns[returned.Visit]; found {
			delete(node.returns, returned.Visit)
			done(returned.Value, true)
		}
	}
	for _, deliver := range effects.Delivers {
		if sink, found := node.sinks[deliver.Channel]; found {
			if deliver.Close {
				delete(node.sinks, deliver.Channel)
			}
			sink(deliver)
		}
	}
	if effects.Stop {
		swell.trace("%s ends in good order", node.Name)
		if node.disk != nil {
			for _, write := range node.writes {
				node.perform(write)
			}
		}
		node.end()
	}
}

func (node *Node) perform(write helm.Write) {
	node.Syncs++
	if frame, whole := write.Whole(); whole {
		must(node.book.Checkpoint(frame))
	}
	if len(write.Entries) > 0 {
		must(node.book.Append(write.Entries))
	}
}

// writeDisk does one batch at a time, and takes a while for it.
func (node *Node) writeDisk() {
	if node.writing || len(node.writes) == 0 {
		return
	}
	node.writing = true
	batch := len(node.writes)
	life := node.life
	takes := time.Duration(500+node.swell.Random.IntN(3000)) * time.Microsecond
	if node.slowDisk > 0 {
		takes *= time.Duration(1 + node.swell.Random.IntN(node.slowDisk))
	}
	node.swell.After(takes, func() {
		if !node.Up || node.life != life {
			return
		}
		taken := node.writes[:batch:batch]
		for _, write := range taken {
			node.perform(write)
		}
		node.enter(func() {
			node.writes, node.writing = node.writes[batch:], false
			for _, write := range taken {
				node.step(func(now time.Time, effects *helm.Effects) {
					node.Machine.Command(now, helm.Synced{Token: write.Token}, effects)
				})
			}
			node.writeDisk()
		})
	})
}

// Network.

func link(from, to *Node) string { return from.Name + ">" + to.Name }

// Cut cuts the way from one daemon to another.
func (swell *Swell) Cut(from, to *Node) { swell.cuts[link(from, to)]++ }

// Mend takes one cut away again.
func (swell *Swell) Mend(from, to *Node) {
	name := link(from, to)
	if swell.cuts[name]--; swell.cuts[name] <= 0 {
		delete(swell.cuts, name)
		from.HealthySince, to.HealthySince = swell.Now, swell.Now
	}
}

// CutAway cuts daemons off from all others, both ways.
func (swell *Swell) CutAway(inside func(node *Node) bool) {
	for _, node := range swell.Nodes("") {
		for _, other := range swell.Nodes("") {
			if inside(node) != inside(other) {
				swell.Cut(node, other)
			}
		}
	}
}

// Heal takes all cuts and losses away.
func (swell *Swell) Heal() {
	if len(swell.cuts) > 0 || swell.loss > 0 {
		swell.trace("the network heals")
	}
	for name := range swell.cuts {
		from, to, _ := strings.Cut(name, ">")
		swell.nodes[from].HealthySince, swell.nodes[to].HealthySince = swell.Now, swell.Now
	}
	swell.cuts, swell.loss, swell.lag, swell.relinks = map[string]int{}, 0, 0, 0
}

func (swell *Swell) delay(from, to int) time.Duration {
	length := 100*time.Microsecond + time.Duration(swell.Random.IntN(100))*time.Microsecond
	if from != to {
		length += swell.Size.Delay + time.Duration(swell.Random.Int64N(int64(swell.Size.Delay/4)+1))
	}
	if swell.loss > 0 && swell.Random.Float64() < swell.loss {
		// A lost packet is sent again by the transport below.
		length += 200 * time.Millisecond
	}
	if swell.lag > 0 {
		length += time.Duration(swell.Random.Int64N(int64(swell.lag)))
	}
	return length
}

func (swell *Swell) send(from *Node, send helm.Send, version uint64) {
	to, found := swell.byPort[send.To]
	if !found {
		return
	}
	var frame []byte
	var fault error
	from.metered(func() { frame, fault = flare.Encode(helm.Meta{From: from.Address, Version: version}, send.Message) })
	must(fault)
	if swell.Meter != nil {
		swell.Meter.Said(from, to, send.Message, len(frame))
	}
	swell.Sent[fmt.Sprintf("%T", send.Message)]++
	if swell.cuts[link(from, to)] > 0 {
		return
	}
	if from.Place != to.Place {
		swell.Away += int64(len(frame))
	}
	at := swell.Now.Add(swell.delay(from.Place, to.Place))
	if from == to {
		at = swell.Now
	}
	key := link(from, to)
	times := 1
	if swell.relinks > 0 && from != to && swell.Random.IntN(20) == 0 {
		// A link that was dialled anew: what the old one still held comes
		// late, twice or never.
		times = swell.Random.IntN(3)
		at = at.Add(time.Duration(swell.Random.IntN(30)) * time.Millisecond)
	} else {
		if last := swell.arrival[key]; last.After(at) {
			at = last
		}
		swell.arrival[key] = at
	}
	for range times {
		swell.arrive(from, to, frame, at)
	}
}

func (swell *Swell) arrive(from, to *Node, frame []byte, at time.Time) {
	key, life := link(from, to), to.life
	swell.At(at, func() {
		if to.refuses && swell.cuts[key] == 0 {
			swell.refuse(from, to)
		}
		if !to.Up || to.life != life || swell.cuts[key] > 0 {
			return
		}
		to.enter(func() {
			var meta helm.Meta
			var message any
			var fault error
			to.metered(func() { meta, message, fault = flare.Decode(frame[4:]) })
			must(fault)
			to.step(func(now time.Time, effects *helm.Effects) { to.Machine.Message(now, meta, message, effects) })
		})
	})
}

// Calling daemons.

// Call brings a command into a daemon from outside and tells the answer; alive
// is false if the daemon ended first. A frozen daemon answers late.
func (swell *Swell) Call(node *Node, command func(visit uint64) any, done func(value any, alive bool)) {
	wait := 200*time.Microsecond + time.Duration(swell.Random.IntN(200))*time.Microsecond
	swell.After(wait, func() {
		if !node.Up {
			swell.After(wait, func() { done(nil, false) })
			return
		}
		node.visit++
		visit := node.visit
		node.returns[visit] = func(value any, alive bool) { swell.After(wait, func() { done(value, alive) }) }
		node.enter(func() {
			node.step(func(now time.Time, effects *helm.Effects) { node.Machine.Command(now, command(visit), effects) })
		})
	})
}

// Control asks any daemon's ctl.
func (swell *Swell) Control(node *Node, method, path string, body []byte, done func(returned beacon.ControlReturn, alive bool)) {
	swell.Call(node, func(visit uint64) any {
		switch node.Kind {
		case beacon.KindLantern:
			return lamp.ControlVisit{Local: visit, Method: method, Path: path, Body: body}
		case beacon.KindTender:
			return tender.Visit{Local: visit, Method: method, Path: path, Body: body}
		case beacon.KindKeeper:
			return strand.Visit{Local: visit, Method: method, Path: path, Body: body}
		}
		return pilotage.Visit{Local: visit, Method: method, Path: path, Body: body}
	}, func(value any, alive bool) {
		returned, matches := value.(beacon.ControlReturn)
		done(returned, alive && matches)
	})
}

// StartAll starts every daemon within a short while.
func (swell *Swell) StartAll() {
	for _, node := range swell.Nodes("") {
		swell.After(time.Duration(swell.Random.IntN(300))*time.Millisecond, node.Start)
	}
}

// Primary is the pilot that may act at this moment, if there is one.
func (swell *Swell) Primary() *Node {
	for _, node := range swell.Nodes(beacon.KindPilot) {
		if node.Up && !node.Frozen && node.Machine.(*pilotage.Pilot).Watch().Serving(node.local()) {
			return node
		}
	}
	return nil
}

// Lantern gives a node's machine as what it is.
func (node *Node) Lantern() *lamp.Lantern { return node.Machine.(*lamp.Lantern) }

// Ready is what the platform would see.
func (node *Node) Ready() bool {
	if !node.Up || node.Frozen {
		return false
	}
	switch machine := node.Machine.(type) {
	case *lamp.Lantern:
		return machine.Ready(node.local())
	case *strand.Keeper:
		return machine.Ready()
	case *pilotage.Pilot:
		return machine.Ready()
	}
	return true
}
