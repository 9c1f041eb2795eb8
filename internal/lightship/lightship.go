// Package lightship measures fleets of hollow daemons: the daemons' own state
// machines, many to a process, in the simulator's virtual time and without
// callers. It counts their messages and the bytes of their frames by role and
// kind, the processor time of each role's steps and codec (of their thread, so
// without the collector's own), and the memory of each role's machines, and fits what grows with the fleet. What it counts is the same
// for one seed; times and memory are measured and vary.
package lightship

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"dahlialock/internal/beacon"
	"dahlialock/internal/helm"
	"dahlialock/internal/lamp"
	"dahlialock/internal/swell"
)

// Primary is the role of the pilot that acts; the others are plain pilots.
const Primary = "primary"

// Roles in the order in which they are told.
var Roles = []string{beacon.KindLantern, beacon.KindTender, beacon.KindKeeper, beacon.KindPilot, Primary}

// Shape divides so many daemons: five pilots, a keeper for each ten daemons, and
// lanterns, each with its tender.
func Shape(daemons int) swell.Size {
	const pilots = 5
	keepers := max(3, daemons/10)
	if (daemons-pilots-keepers)%2 != 0 {
		keepers++
	}
	return swell.Size{Lanterns: (daemons - pilots - keepers) / 2, Keepers: keepers, Pilots: pilots, Places: 3, Delay: time.Millisecond}
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
	Size    swell.Size
	// Quiet is a fleet in which nothing happens, Change one in which a
	// configuration is put, Loss one in which a lantern with its tender is lost and
	// comes back.
	Quiet, Change, Loss Span
	// Overlay is another quiet fleet whose lanterns each have a caller who subscribes to
	// so many topics that every cell is used; OverlayMemory is what that added to
	// each lantern.
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

func (meter *meter) role(node *swell.Node) *Load {
	role := node.Kind
	switch {
	case node.Name == meter.primary:
		role = Primary
	case meter.lost[node.Name]:
		role = returned
	}
	load := meter.span.Roles[role]
	if load == nil {
		load = &Load{Kinds: map[string]int64{}, KindBytes: map[string]int64{}}
		meter.span.Roles[role] = load
	}
	return load
}

func (meter *meter) Worked(node *swell.Node, took time.Duration) { meter.role(node).Processor += took }

func (meter *meter) Said(from, to *swell.Node, message any, size int) {
	out, in, kind := meter.role(from), meter.role(to), fmt.Sprintf("%T", message)
	out.Out++
	out.BytesOut += int64(size)
	out.Kinds[kind]++
	out.KindBytes[kind] += int64(size)
	in.In++
	in.BytesIn += int64(size)
}

// during measures a part of a run.
func during(fleet *swell.Swell, run func(), lost ...*swell.Node) Span {
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
// configuration of so many spaces, and loses a lantern for a second. If there are to
// be topics, another such fleet gives each lantern a caller who subscribes to them.
func Measure(seed uint64, size swell.Size, length time.Duration, spaces, topics int) (Reading, error) {
	began := time.Now()
	fleet := swell.New(seed, size)
	all := fleet.Nodes("")
	reading := Reading{Daemons: len(all), Size: size}
	if fault := fleet.Found(1, 2*time.Minute); fault != nil {
		return reading, fmt.Errorf("%d daemons: %w", len(all), fault)
	}
	// The first seconds after a founding still have strands to place and to copy.
	fleet.Run(8 * time.Second)
	reading.Quiet = during(fleet, func() { fleet.Run(length) })
	reading.Change = during(fleet, func() {
		from := fleet.Now
		fleet.Put(2, spaces, 20*time.Second)
		fleet.RunUntil(20*time.Second, func() bool {
			for _, node := range all {
				if node.Machine.Follower().Version != 2 {
					return false
				}
			}
			return true
		})
		reading.InForce = fleet.Now.Sub(from)
		reading.Document = len(all[0].Machine.Follower().Document)
		fleet.Run(length - reading.InForce%length)
	})
	lost := []*swell.Node{fleet.Node(beacon.KindLantern + "-1"), fleet.Node(beacon.KindTender + "-1")}
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
		fleet.Release(func(node *swell.Node) bool {
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
		if fault := reading.overlay(seed, length, topics); fault != nil {
			return reading, fault
		}
	}
	reading.Taken = time.Since(began)
	return reading, nil
}

// overlay measures another fleet of the same shape, with callers.
func (reading *Reading) overlay(seed uint64, length time.Duration, topics int) error {
	fleet := swell.New(seed, reading.Size)
	if fault := fleet.Found(1, 2*time.Minute); fault != nil {
		return fault
	}
	fleet.Run(8 * time.Second)
	before := heap()
	if fault := subscribe(fleet, topics); fault != nil {
		return fault
	}
	fleet.Run(15 * time.Second)
	reading.OverlayMemory = (heap() - before) / int64(reading.Size.Lanterns)
	reading.Overlay = during(fleet, func() { fleet.Run(length) })
	runtime.KeepAlive(fleet)
	return nil
}

// subscribe opens a channel on each lantern and subscribes to topics of its own.
func subscribe(fleet *swell.Swell, topics int) error {
	open, refused := 0, 0
	call := func(node *swell.Node, made func(visit uint64) any) {
		open++
		fleet.Call(node, made, func(value any, _ bool) {
			open--
			if answer, fit := value.(lamp.Answer); !fit || answer.Outcome != lamp.OutcomeAccepted {
				refused++
			}
		})
	}
	for _, node := range fleet.Nodes(beacon.KindLantern) {
		call(node, func(visit uint64) any {
			return lamp.OpenChannel{Visit: visit, Channel: 1, Name: "hollow", Origin: node.Name, Lines: true}
		})
	}
	fleet.Run(time.Second)
	for number := range topics {
		for _, node := range fleet.Nodes(beacon.KindLantern) {
			call(node, func(visit uint64) any {
				return lamp.Subscribe{Visit: visit, Channel: 1, Origin: node.Name, Interests: []lamp.Interest{{Path: fmt.Sprintf("0/%d", number)}}}
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
func (span Span) Total() map[string]int64 {
	total := map[string]int64{}
	for _, load := range span.Roles {
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

// Overlay figures are of lanterns with callers in every cell.
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
func (span Span) Kinds() func(yield func(string, int64) bool) { return helm.Sorted(span.Total()) }

// Sorted lists the kinds of messages that a role said, with how many.
func (load *Load) Sorted() func(yield func(string, int64) bool) { return helm.Sorted(load.Kinds) }
