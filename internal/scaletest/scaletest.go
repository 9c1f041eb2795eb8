// Package scaletest measures fleets of hollow daemons: the daemons' own state
// machines, many to a process, in the simulator's virtual time and without
// callers. It counts their messages and the bytes of their frames by role and
// kind, the processor time of each role's steps and codec (of their thread, so
// without the collector's own), and the memory of each role's machines, and fits what grows with the fleet. What it counts is the same
// for one seed; times and memory are measured and vary.
package scaletest

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/simulator"
	"dahlialock/internal/statemachine"
)

// Primary is the role of the controller that acts; the others are plain controllers.
const Primary = "primary"

// Roles in the order in which they are told.
var Roles = []string{membership.KindGateway, membership.KindAgent, membership.KindStore, membership.KindController, Primary}

// Shape divides so many daemons: five controllers, a store for each ten daemons, and
// gateways, each with its agent.
func Shape(daemons int) simulator.Size {
	const controllers = 5
	stores := max(3, daemons/10)
	if (daemons-controllers-stores)%2 != 0 {
		stores++
	}
	return simulator.Size{Gateways: (daemons - controllers - stores) / 2, Stores: stores, Controllers: controllers, Places: 3, Delay: time.Millisecond}
}

// Load is what the daemons of one role did in a span, all together.
type Load struct {
	Daemons                    int
	Out, In, BytesOut, BytesIn int64
	Processor                  time.Duration
	// Kinds counts the messages that the role said, by their type.
	Kinds map[string]int64
	// KindBytes are the bytes of them.
	KindBytes map[string]int64
	Memory    int64
}

// Span is one part of a run: how long it took in virtual time, and the load.
type Span struct {
	Length time.Duration
	Roles  map[string]*Load
}

// Reading is the result for one size.
type Reading struct {
	Daemons int
	Size    simulator.Size
	// Quiet is a fleet in which nothing happens, Change one in which a
	// configuration is put, Loss one in which a gateway with its agent is lost and
	// comes back.
	Quiet, Change, Loss Span
	// Overlay is another quiet fleet whose gateways each have a caller who subscribes to
	// so many topics that every cell is used; OverlayMemory is what that added to
	// each gateway.
	Overlay       Span
	OverlayMemory int64
	// Document is the size of a configuration in bytes, InForce how long it took
	// until every daemon had it.
	Document int
	InForce  time.Duration
	Taken    time.Duration
}

type meter struct {
	primary string
	lost    map[string]bool
	span    *Span
}

// returned is the role of the daemons that are lost in a run and come back: what
// they ask for as they begin anew is told apart from what the others do.
const returned = "returned"

// Clock tells the processor time of this thread, so that neither other work on the
// machine nor the collector's own threads count.
func (*meter) Clock() time.Duration {
	var read unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &read) != nil {
		return 0
	}
	return time.Duration(read.Nano())
}

func (m *meter) role(node *simulator.Node) *Load {
	role := node.Kind
	switch {
	case node.Name == m.primary:
		role = Primary
	case m.lost[node.Name]:
		role = returned
	}
	load := m.span.Roles[role]
	if load == nil {
		load = &Load{Kinds: map[string]int64{}, KindBytes: map[string]int64{}}
		m.span.Roles[role] = load
	}
	return load
}

func (m *meter) Worked(node *simulator.Node, took time.Duration) {
	m.role(node).Processor += took
}

func (m *meter) Said(from, to *simulator.Node, message any, size int) {
	out, in, kind := m.role(from), m.role(to), fmt.Sprintf("%T", message)
	out.Out++
	out.BytesOut += int64(size)
	out.Kinds[kind]++
	out.KindBytes[kind] += int64(size)
	in.In++
	in.BytesIn += int64(size)
}

// during measures a part of a run.
func during(fleet *simulator.Simulation, run func(), lost ...*simulator.Node) Span {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	span := Span{Roles: map[string]*Load{}}
	meter := &meter{span: &span, lost: map[string]bool{}}
	for _, node := range lost {
		meter.lost[node.Name] = true
	}
	if primary := fleet.Primary(); primary != nil {
		meter.primary = primary.Name
	}
	for _, node := range fleet.Nodes("") {
		meter.role(node).Daemons++
	}
	began := fleet.Now
	fleet.Meter = meter
	run()
	fleet.Meter = nil
	span.Length = fleet.Now.Sub(began)
	return span
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Measure runs one size: a fleet is founded, left quiet for the length, given a
// configuration of so many spaces, and loses a gateway for a second. If there are to
// be topics, another such fleet gives each gateway a caller who subscribes to them.
func Measure(seed uint64, size simulator.Size, length time.Duration, spaces, topics int) (Reading, error) {
	began := time.Now()
	fleet := simulator.New(seed, size)
	all := fleet.Nodes("")
	reading := Reading{Daemons: len(all), Size: size}
	if err := fleet.Found(1, 2*time.Minute); err != nil {
		return reading, fmt.Errorf("%d daemons: %w", len(all), err)
	}
	// The first seconds after a founding still have partitions to place and to copy.
	fleet.Run(8 * time.Second)
	reading.Quiet = during(fleet, func() { fleet.Run(length) })
	reading.Change = during(fleet, func() {
		from := fleet.Now
		fleet.Put(2, spaces, 20*time.Second)
		fleet.RunUntil(20*time.Second, func() bool {
			for _, node := range all {
				if node.Machine.ViewClient().Version != 2 {
					return false
				}
			}
			return true
		})
		reading.InForce = fleet.Now.Sub(from)
		reading.Document = len(all[0].Machine.ViewClient().Document)
		fleet.Run(length - reading.InForce%length)
	})
	lost := []*simulator.Node{fleet.Node(membership.KindGateway + "-1"), fleet.Node(membership.KindAgent + "-1")}
	reading.Loss = during(fleet, func() {
		for _, node := range lost {
			node.Kill()
		}
		fleet.Run(time.Second)
		for _, node := range lost {
			node.Start()
		}
		fleet.Run(length - time.Second)
	}, lost...)
	primary := fleet.Primary()
	before := heap()
	for _, role := range Roles {
		load := reading.Quiet.Roles[role]
		if load == nil {
			continue
		}
		fleet.Release(func(node *simulator.Node) bool {
			if role == Primary {
				return node == primary
			}
			return node.Kind == role && node != primary
		})
		after := heap()
		load.Memory, before = before-after, after
	}
	runtime.KeepAlive(fleet)
	if topics > 0 {
		if err := reading.overlay(seed, length, topics); err != nil {
			return reading, err
		}
	}
	reading.Taken = time.Since(began)
	return reading, nil
}

// overlay measures another fleet of the same shape, with callers.
func (r *Reading) overlay(seed uint64, length time.Duration, topics int) error {
	fleet := simulator.New(seed, r.Size)
	if err := fleet.Found(1, 2*time.Minute); err != nil {
		return err
	}
	fleet.Run(8 * time.Second)
	before := heap()
	if err := subscribe(fleet, topics); err != nil {
		return err
	}
	fleet.Run(15 * time.Second)
	r.OverlayMemory = (heap() - before) / int64(r.Size.Gateways)
	r.Overlay = during(fleet, func() { fleet.Run(length) })
	runtime.KeepAlive(fleet)
	return nil
}

// subscribe opens a channel on each gateway and subscribes to topics of its own.
func subscribe(fleet *simulator.Simulation, topics int) error {
	open, refused := 0, 0
	call := func(node *simulator.Node, made func(request uint64) any) {
		open++
		fleet.Call(node, made, func(value any, _ bool) {
			open--
			if answer, fit := value.(gateway.Answer); !fit || answer.Outcome != gateway.OutcomeAccepted {
				refused++
			}
		})
	}
	for _, node := range fleet.Nodes(membership.KindGateway) {
		call(node, func(request uint64) any {
			return gateway.OpenChannel{Request: request, Channel: 1, Name: "hollow", Origin: node.Name, Lines: true}
		})
	}
	fleet.Run(time.Second)
	for number := range topics {
		for _, node := range fleet.Nodes(membership.KindGateway) {
			call(node, func(request uint64) any {
				return gateway.Subscribe{Request: request, Channel: 1, Origin: node.Name, Interests: []gateway.Interest{{Path: fmt.Sprintf("0/%d", number)}}}
			})
		}
		fleet.Run(100 * time.Millisecond)
	}
	fleet.Run(5 * time.Second)
	if open > 0 || refused > 0 {
		return fmt.Errorf("of the callers' visits %d are open and %d were not accepted", open, refused)
	}
	return nil
}

// Total counts a span's messages by kind over all roles.
func (s Span) Total() map[string]int64 {
	total := map[string]int64{}
	for _, load := range s.Roles {
		for kind, count := range load.Kinds {
			total[kind] += count
		}
	}
	return total
}

// Figure is one measured quantity of one daemon of a role.
type Figure struct {
	Name, Unit string
	Of         func(reading Reading, role string) (float64, bool)
}

func each(span func(Reading) Span, value func(load *Load, seconds float64) float64) func(Reading, string) (float64, bool) {
	return func(reading Reading, role string) (float64, bool) {
		part := span(reading)
		load := part.Roles[role]
		if load == nil || load.Daemons == 0 {
			return 0, false
		}
		return value(load, part.Length.Seconds()) / float64(load.Daemons), true
	}
}

func quiet(reading Reading) Span { return reading.Quiet }

// above is what a span had over the quiet one, for each daemon, in all.
func above(span func(Reading) Span, value func(load *Load) float64) func(Reading, string) (float64, bool) {
	return func(reading Reading, role string) (float64, bool) {
		part, calm := span(reading), reading.Quiet
		load, usual := part.Roles[role], calm.Roles[role]
		if load == nil || usual == nil || load.Daemons == 0 || usual.Daemons == 0 {
			return 0, false
		}
		return value(load)/float64(load.Daemons) - value(usual)/float64(usual.Daemons)*part.Length.Seconds()/calm.Length.Seconds(), true
	}
}

// Figures are all that is fitted, for each role.
var Figures = []Figure{
	{"messages out", "/s", each(quiet, func(load *Load, seconds float64) float64 { return float64(load.Out) / seconds })},
	{"messages in", "/s", each(quiet, func(load *Load, seconds float64) float64 { return float64(load.In) / seconds })},
	{"bytes out", "B/s", each(quiet, func(load *Load, seconds float64) float64 { return float64(load.BytesOut) / seconds })},
	{"bytes in", "B/s", each(quiet, func(load *Load, seconds float64) float64 { return float64(load.BytesIn) / seconds })},
	{"processor", "us/s", each(quiet, func(load *Load, seconds float64) float64 { return float64(load.Processor.Microseconds()) / seconds })},
	{"memory", "KiB", each(quiet, func(load *Load, _ float64) float64 { return float64(load.Memory) / 1024 })},
	{"one loss: bytes out", "B", above(func(reading Reading) Span { return reading.Loss }, func(load *Load) float64 { return float64(load.BytesOut) })},
	{"one loss: bytes in", "B", above(func(reading Reading) Span { return reading.Loss }, func(load *Load) float64 { return float64(load.BytesIn) })},
	{"one loss: processor", "us", above(func(reading Reading) Span { return reading.Loss }, func(load *Load) float64 { return float64(load.Processor.Microseconds()) })},
	{"one configuration: bytes out", "B", above(func(reading Reading) Span { return reading.Change }, func(load *Load) float64 { return float64(load.BytesOut) })},
	{"one configuration: bytes in", "B", above(func(reading Reading) Span { return reading.Change }, func(load *Load) float64 { return float64(load.BytesIn) })},
	{"one configuration: processor", "us", above(func(reading Reading) Span { return reading.Change }, func(load *Load) float64 { return float64(load.Processor.Microseconds()) })},
}

// Overlay figures are of gateways with callers in every cell.
var Overlay = []Figure{
	{"overlay: messages out", "/s", each(overlaid, func(load *Load, seconds float64) float64 { return float64(load.Out) / seconds })},
	{"overlay: bytes out", "B/s", each(overlaid, func(load *Load, seconds float64) float64 { return float64(load.BytesOut) / seconds })},
	{"overlay: processor", "us/s", each(overlaid, func(load *Load, seconds float64) float64 { return float64(load.Processor.Microseconds()) / seconds })},
	{"overlay: memory", "KiB", func(reading Reading, _ string) (float64, bool) {
		return float64(reading.OverlayMemory) / 1024, len(reading.Overlay.Roles) > 0
	}},
}

func overlaid(reading Reading) Span { return reading.Overlay }

// Kinds lists the kinds of messages of a span in order, with how many.
func (s Span) Kinds() func(yield func(string, int64) bool) {
	return statemachine.Sorted(s.Total())
}

// Sorted lists the kinds of messages that a role said, with how many.
func (l *Load) Sorted() func(yield func(string, int64) bool) {
	return statemachine.Sorted(l.Kinds)
}
