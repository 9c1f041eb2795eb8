// Package faults represents the faults that are injected in a run as values. A fault has a
// name, a start, a length and a pick, a number from which its target is chosen. A schedule
// is a list of faults, drawn from a seed; a run may end with one more fault that is not
// undone. The simulator and the trials with real processes inject faults by the same
// names, so that a schedule can be recorded, repeated and shortened in both.
package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// ErrorInvalidSchedule reports a list of faults that can't be parsed.
var ErrorInvalidSchedule = errorx.NewNamespace("squall").NewType("list")

// Fault is one fault that lasts for a limited time.
type Fault struct {
	Name   string
	Start  time.Duration
	Length time.Duration
	Pick   uint64
}

// Names lists every fault that may occur at any time of a run. The simulator and the trials
// with real processes support all of them.
var Names = []string{
	"crowd", "cut-daemon", "cut-one-way", "cut-place", "cut-primary", "drain", "edit-settings", "freeze-store",
	"freeze-gateway", "freeze-controller", "freeze-primary", "freeze-agent", "join-store", "join-gateway",
	"join-controller", "kill-backup", "kill-store", "kill-gateway", "kill-controller", "kill-primary",
	"kill-agent", "loss", "lose-place", "operators", "power-loss", "relink", "resets", "restart-beside",
	"restart-store", "restart-stores", "restart-gateway", "restart-controller", "retire", "rolling",
	"slow-daemon", "slow-disk", "slow-links", "space", "vanish", "wander", "wipe-store", "wipe-controller",
}

// Closing lists the faults with which a run may end. They are not undone.
var Closing = []string{
	"kill-gateway", "kill-primary", "kill-backup", "kill-store", "kill-agent", "lose-place", "lose-two",
	"restart-all",
}

// lossOfRedundancy lists the faults that remove redundancy: a replica of durable data or a part of a
// majority. A second such fault at the same time may exceed the tolerance.
var lossOfRedundancy = map[string]bool{
	"cut-daemon": true, "cut-place": true, "cut-primary": true, "freeze-store": true, "freeze-controller": true,
	"freeze-primary": true, "join-store": true, "kill-backup": true, "kill-store": true,
	"kill-controller": true, "kill-primary": true, "lose-place": true, "power-loss": true,
	"restart-store": true, "restart-stores": true, "restart-controller": true, "retire": true, "rolling": true,
	"slow-daemon": true, "cut-one-way": true, "loss": true, "wipe-store": true, "wipe-controller": true,
}

// lossOfDisk lists the faults that lose a disk. The promises allow that for one machine at a
// time, so no fault of lossOfRedundancy may occur at the same time.
var lossOfDisk = map[string]bool{"wipe-store": true, "wipe-controller": true, "retire": true}

// LosesDisk reports whether a fault loses a disk.
func LosesDisk(name string) bool { return lossOfDisk[name] }

// Clashes reports whether two faults at the same time exceed what the service promises to
// survive: a lost disk together with the loss of the only other copy.
func Clashes(left, right string) bool {
	return lossOfDisk[left] && lossOfRedundancy[right] || lossOfDisk[right] && lossOfRedundancy[left]
}

// Draw draws a schedule of up to count faults with the given names, each of which may occur
// several times. It omits a fault that clashes with one that was drawn before it, unless at
// least RepairTime passes between the end of one and the start of the other, so that the lost
// redundancy is restored in between.
func Draw(random *rand.Rand, names []string, length time.Duration, count int) []Fault {
	var schedule []Fault
	for range count {
		fault := Fault{
			Name:   names[random.IntN(len(names))],
			Start:  time.Duration(random.Int64N(int64(length))).Round(time.Millisecond),
			Length: (200*time.Millisecond + time.Duration(random.Int64N(int64(5*time.Second)))).Round(time.Millisecond),
			Pick:   uint64(random.IntN(1 << 16)),
		}
		clashes := func(other Fault) bool { return Clashes(fault.Name, other.Name) && overlap(fault, other) }
		if !slices.ContainsFunc(schedule, clashes) {
			schedule = append(schedule, fault)
		}
	}
	slices.SortStableFunc(schedule, func(left, right Fault) int { return int(left.Start - right.Start) })
	return schedule
}

// RepairTime is how long a partition may need until it has two replicas again.
const RepairTime = 12 * time.Second

func overlap(left, right Fault) bool {
	return left.Start < right.Start+right.Length+RepairTime && right.Start < left.Start+left.Length+RepairTime
}

// String formats a fault as name@start+length#pick.
func (f Fault) String() string {
	return fmt.Sprintf("%s@%s+%s#%d", f.Name, f.Start, f.Length, f.Pick)
}

// Format formats a list of faults, separated by commas.
func Format(schedule []Fault) string {
	var parts []string
	for _, fault := range schedule {
		parts = append(parts, fault.String())
	}
	return strings.Join(parts, ",")
}

// Parse parses a list of faults in the format of Format.
func Parse(text string) ([]Fault, error) {
	var schedule []Fault
	for _, part := range strings.Split(text, ",") {
		if part == "" {
			continue
		}
		name, rest, _ := strings.Cut(part, "@")
		start, rest, _ := strings.Cut(rest, "+")
		length, pick, _ := strings.Cut(rest, "#")
		fault := Fault{Name: name}
		if !slices.Contains(Names, name) && !slices.Contains(Closing, name) {
			return nil, ErrorInvalidSchedule.New("%q is not a fault", name)
		}
		var wrong [3]error
		fault.Start, wrong[0] = time.ParseDuration(start)
		fault.Length, wrong[1] = time.ParseDuration(length)
		fault.Pick, wrong[2] = strconv.ParseUint(pick, 10, 64)
		for _, each := range wrong {
			if each != nil {
				return nil, ErrorInvalidSchedule.Wrap(each, "%q is not name@start+length#pick", part)
			}
		}
		schedule = append(schedule, fault)
	}
	return schedule, nil
}

// Shorten removes faults one by one for as long as a run without them still fails, and
// returns the shortest list found.
func Shorten(schedule []Fault, fails func(schedule []Fault) bool) []Fault {
	for again := true; again; {
		again = false
		for position := range schedule {
			shorter := slices.Delete(slices.Clone(schedule), position, position+1)
			if fails(shorter) {
				schedule, again = shorter, true
				break
			}
		}
	}
	return schedule
}
