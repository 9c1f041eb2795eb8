// The subcommand simulate: it runs scenarios of the simulator with many seeds on all
// cores. For each failing seed it prints the command that reproduces the run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/subcommands"

	"dahlialock/internal/faults"
	"dahlialock/internal/simulator"
)

type simulate struct {
	scenario       string
	from           uint64
	seeds          uint64
	trace          bool
	workers        int
	maxViolations  int
	size           string
	plot           string
	last           string
	shorten        bool
	recoveryPhases bool
	digest         bool
	compare        string
}

func (*simulate) Name() string     { return "simulate" }
func (*simulate) Synopsis() string { return "run simulated scenarios over many seeds" }
func (*simulate) Usage() string {
	return "simulate [-scenario NAME|all] [-from N] [-seeds N] [-trace]\n" +
		"simulate -digest [-scenario NAME,NAME|all] [-size NAME,NAME|all] [-from N] [-seeds N] [-compare FILE]\n"
}

func (s *simulate) SetFlags(set *flag.FlagSet) {
	set.StringVar(&s.scenario, "scenario", "all", "`name` of the scenario, or all")
	set.Uint64Var(&s.from, "from", 0, "the first `seed`")
	set.Uint64Var(&s.seeds, "seeds", 20, "how `many` seeds")
	set.BoolVar(&s.trace, "trace", false, "print every event")
	set.IntVar(&s.workers, "workers", runtime.NumCPU(), "how `many` runs at once")
	set.StringVar(&s.size, "size", "small", "the fleet's `shape`: small, fjordlys, qureshi or four")
	set.StringVar(&s.plot, "plot", "", "a `list` of faults as name@start+length#pick, instead of a scenario")
	set.StringVar(&s.last, "last", "", "the final, permanent fault of a -plot")
	set.BoolVar(&s.shorten, "shorten", false, "shorten the list of faults of a failing seed")
	set.BoolVar(&s.recoveryPhases, "parts", false, "print how long each phase of recovery took, over all seeds")
	set.IntVar(&s.maxViolations, "most", 3, "how `many` violations to print of a run")
	set.BoolVar(&s.digest, "digest", false, "print scenario, shape, seed and digest of each run; -scenario and -size then take lists")
	set.StringVar(&s.compare, "compare", "", "with -digest, repeat the runs recorded in a `file` and print the lines that differ")
}

type runResult struct {
	seed       uint64
	summary    string
	violations []string
	recoveries []simulator.Recovery
	panicked   any
}

func (s *simulate) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// The garbage collector took a quarter of the total time. Runs are short and memory
	// is plentiful, so it may run less often.
	debug.SetGCPercent(800)
	if s.digest || s.compare != "" {
		return s.record(set)
	}
	scenarios := simulator.Scenarios()
	if _, found := simulator.Shapes[s.size]; !found {
		fmt.Fprintf(os.Stderr, "fleetlab: no size is named %q\n", s.size)
		return subcommands.ExitUsageError
	}
	if s.plot != "" || s.last != "" {
		schedule, err := faults.Parse(s.plot)
		if err != nil || s.last != "" && !slices.Contains(faults.Closing, s.last) {
			fmt.Fprintf(os.Stderr, "fleetlab: %v; last faults are %v\n", err, faults.Closing)
			return subcommands.ExitUsageError
		}
		scenarios = []simulator.Scenario{{Name: "plot", Schedule: func(uint64) simulator.FaultSchedule { return simulator.FaultSchedule{Faults: schedule, Last: s.last} }}}
	} else if s.scenario != "all" {
		scenario, found := simulator.Find(s.scenario)
		if !found {
			for _, each := range scenarios {
				fmt.Fprintln(os.Stderr, each.Name)
			}
			return subcommands.ExitUsageError
		}
		scenarios = []simulator.Scenario{scenario}
	}
	failed := 0
	for _, scenario := range scenarios {
		failed += s.run(scenario)
	}
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (s *simulate) run(scenario simulator.Scenario) int {
	began := time.Now()
	var next atomic.Uint64
	results := make(chan runResult)
	for range s.workers {
		go func() {
			for {
				number := next.Add(1) - 1
				if number >= s.seeds {
					results <- runResult{seed: ^uint64(0)}
					return
				}
				results <- s.runSeed(scenario, s.from+number)
			}
		}()
	}
	var failures []runResult
	last := ""
	var recoveries []simulator.Recovery
	for open := s.workers; open > 0; {
		result := <-results
		if result.seed == ^uint64(0) {
			open--
			continue
		}
		last = result.summary
		recoveries = append(recoveries, result.recoveries...)
		if len(result.violations) > 0 || result.panicked != nil {
			failures = append(failures, result)
		}
	}
	slices.SortFunc(failures, func(left, right runResult) int { return int(left.seed) - int(right.seed) })
	fmt.Printf("%-18s %d seeds, %d failed, %.1f s; one: %s\n", scenario.Name, s.seeds, len(failures), time.Since(began).Seconds(), last)
	if s.recoveryPhases {
		printRecoveryPhases(recoveries)
	}
	for position, result := range failures {
		if position == 8 {
			break
		}
		fmt.Printf("  seed %d: fleetlab simulate -scenario %s -from %d -seeds 1 -trace\n", result.seed, scenario.Name, result.seed)
		if s.shorten && scenario.Schedule != nil {
			s.shortest(scenario, result.seed)
		}
		if result.panicked != nil {
			fmt.Printf("    broken: %v\n", result.panicked)
		}
		for number, text := range result.violations {
			if number < s.maxViolations {
				fmt.Printf("    %s\n", text)
			}
		}
	}
	return len(failures)
}

func (s *simulate) runSeed(scenario simulator.Scenario, seed uint64) (result runResult) {
	result.seed = seed
	defer func() {
		if broken := recover(); broken != nil {
			result.panicked = fmt.Sprint(broken)
			if s.trace {
				panic(broken)
			}
		}
	}()
	var trace func(text string)
	if s.trace {
		trace = func(text string) { fmt.Println(text) }
	}
	run := simulator.Run(scenario, seed, simulator.Shapes[s.size], trace)
	result.summary, result.violations, result.recoveries = run.Checker.Summary(), run.Checker.Violations(), run.Recoveries
	return result
}

// shortest removes faults from the schedule of a failing seed while the run still fails.
func (s *simulate) shortest(scenario simulator.Scenario, seed uint64) {
	plot := scenario.Schedule(seed)
	plot.Faults = faults.Shorten(plot.Faults, func(schedule []faults.Fault) bool {
		shorter := plot
		shorter.Faults = schedule
		again := s.runSeed(simulator.Scenario{Name: scenario.Name, Schedule: func(uint64) simulator.FaultSchedule { return shorter }}, seed)
		return len(again.violations) > 0 || again.panicked != nil
	})
	fmt.Printf("    shortest: -plot %q -last %q, clocks apart %s\n", faults.Format(plot.Faults), plot.Last, plot.ClockSkew)
}

// printRecoveryPhases prints the distribution of the duration of each phase of recovery.
func printRecoveryPhases(recoveries []simulator.Recovery) {
	parts := []struct {
		name string
		of   func(simulator.Recovery) time.Duration
	}{
		{"noticed", func(each simulator.Recovery) time.Duration { return each.Noticed }},
		{"decided", func(each simulator.Recovery) time.Duration { return each.Decided }},
		{"taken over", func(each simulator.Recovery) time.Duration { return each.TakeoverDone }},
		{"refilled", func(each simulator.Recovery) time.Duration { return each.PartitionsComplete }},
		{"last caller back", func(each simulator.Recovery) time.Duration { return each.ClientsBack }},
		{"service back", func(each simulator.Recovery) time.Duration {
			return max(each.TakeoverDone, each.PartitionsComplete, each.ClientsBack)
		}},
	}
	for _, part := range parts {
		var lengths []time.Duration
		for _, each := range recoveries {
			lengths = append(lengths, part.of(each))
		}
		if len(lengths) == 0 {
			return
		}
		slices.Sort(lengths)
		at := func(fraction float64) time.Duration {
			return lengths[min(len(lengths)-1, int(fraction*float64(len(lengths))))].Round(10 * time.Millisecond)
		}
		fmt.Printf("  %-17s half %6s, nine in ten %6s, 99 in 100 %6s, longest %6s\n", part.name, at(0.5), at(0.9), at(0.99), at(1))
	}
}
