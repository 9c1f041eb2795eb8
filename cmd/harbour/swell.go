// The seed hunt: scenarios of the simulator over many seeds, on all cores. A
// failing seed is named with the one command that runs it again.
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

	"dahlialock/internal/squall"
	"dahlialock/internal/swell"
)

type hunt struct {
	scenario string
	from     uint64
	seeds    uint64
	trace    bool
	workers  int
	most     int
	size     string
	plot     string
	last     string
	shorten  bool
	parts    bool
}

func (*hunt) Name() string     { return "swell" }
func (*hunt) Synopsis() string { return "run simulated scenarios over many seeds" }
func (*hunt) Usage() string {
	return "swell [-scenario NAME|all] [-from N] [-seeds N] [-trace]\n"
}
func (hunt *hunt) SetFlags(set *flag.FlagSet) {
	set.StringVar(&hunt.scenario, "scenario", "all", "`name` of the scenario, or all")
	set.Uint64Var(&hunt.from, "from", 0, "the first `seed`")
	set.Uint64Var(&hunt.seeds, "seeds", 20, "how `many` seeds")
	set.BoolVar(&hunt.trace, "trace", false, "print all that happens")
	set.IntVar(&hunt.workers, "workers", runtime.NumCPU(), "how `many` runs at once")
	set.StringVar(&hunt.size, "size", "small", "the fleet's `shape`: small, fjordlys, qureshi or four")
	set.StringVar(&hunt.plot, "plot", "", "a `list` of faults as name@start+length#pick, instead of a scenario")
	set.StringVar(&hunt.last, "last", "", "the last fault of a -plot")
	set.BoolVar(&hunt.shorten, "shorten", false, "shorten the list of faults of a failing seed")
	set.BoolVar(&hunt.parts, "parts", false, "tell how long each part of coming back took, over all seeds")
	set.IntVar(&hunt.most, "most", 3, "how `many` violations to print of a run")
}

type ran struct {
	seed       uint64
	summary    string
	violations []string
	comebacks  []swell.Comeback
	broken     any
}

func (hunt *hunt) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// Runs are short and there is memory enough: the collector took a quarter of
	// a hunt's time.
	debug.SetGCPercent(800)
	scenarios := swell.Scenarios()
	if _, found := swell.Sizes[hunt.size]; !found {
		fmt.Fprintf(os.Stderr, "harbour: no size is named %q\n", hunt.size)
		return subcommands.ExitUsageError
	}
	if hunt.plot != "" || hunt.last != "" {
		storm, fault := squall.Parse(hunt.plot)
		if fault != nil || hunt.last != "" && !slices.Contains(squall.Last, hunt.last) {
			fmt.Fprintf(os.Stderr, "harbour: %v; last faults are %v\n", fault, squall.Last)
			return subcommands.ExitUsageError
		}
		scenarios = []swell.Scenario{{Name: "plot", Plot: func(uint64) swell.Plot { return swell.Plot{Storm: storm, Last: hunt.last} }}}
	} else if hunt.scenario != "all" {
		scenario, found := swell.Find(hunt.scenario)
		if !found {
			for _, each := range scenarios {
				fmt.Fprintln(os.Stderr, each.Name)
			}
			return subcommands.ExitUsageError
		}
		scenarios = []swell.Scenario{scenario}
	}
	failed := 0
	for _, scenario := range scenarios {
		failed += hunt.run(scenario)
	}
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (hunt *hunt) run(scenario swell.Scenario) int {
	began := time.Now()
	var next atomic.Uint64
	results := make(chan ran)
	for range hunt.workers {
		go func() {
			for {
				number := next.Add(1) - 1
				if number >= hunt.seeds {
					results <- ran{seed: ^uint64(0)}
					return
				}
				results <- hunt.one(scenario, hunt.from+number)
			}
		}()
	}
	var bad []ran
	last := ""
	var comebacks []swell.Comeback
	for open := hunt.workers; open > 0; {
		result := <-results
		if result.seed == ^uint64(0) {
			open--
			continue
		}
		last = result.summary
		comebacks = append(comebacks, result.comebacks...)
		if len(result.violations) > 0 || result.broken != nil {
			bad = append(bad, result)
		}
	}
	slices.SortFunc(bad, func(left, right ran) int { return int(left.seed) - int(right.seed) })
	fmt.Printf("%-18s %d seeds, %d failed, %.1f s; one: %s\n", scenario.Name, hunt.seeds, len(bad), time.Since(began).Seconds(), last)
	if hunt.parts {
		tellParts(comebacks)
	}
	for position, result := range bad {
		if position == 8 {
			break
		}
		fmt.Printf("  seed %d: harbour swell -scenario %s -from %d -seeds 1 -trace\n", result.seed, scenario.Name, result.seed)
		if hunt.shorten && scenario.Plot != nil {
			hunt.shortest(scenario, result.seed)
		}
		if result.broken != nil {
			fmt.Printf("    broken: %v\n", result.broken)
		}
		for number, line := range result.violations {
			if number < hunt.most {
				fmt.Printf("    %s\n", line)
			}
		}
	}
	return len(bad)
}

func (hunt *hunt) one(scenario swell.Scenario, seed uint64) (result ran) {
	result.seed = seed
	defer func() {
		if broken := recover(); broken != nil {
			result.broken = fmt.Sprint(broken)
			if hunt.trace {
				panic(broken)
			}
		}
	}()
	var trace func(line string)
	if hunt.trace {
		trace = func(line string) { fmt.Println(line) }
	}
	run := swell.Run(scenario, seed, swell.Sizes[hunt.size], trace)
	result.summary, result.violations, result.comebacks = run.Oracle.Summary(), run.Oracle.Violations(), run.Comeback
	return result
}

// shortest leaves faults out of a failing seed's list for as long as it fails.
func (hunt *hunt) shortest(scenario swell.Scenario, seed uint64) {
	plot := scenario.Plot(seed)
	plot.Storm = squall.Shorten(plot.Storm, func(storm []squall.Fault) bool {
		shorter := plot
		shorter.Storm = storm
		again := hunt.one(swell.Scenario{Name: scenario.Name, Plot: func(uint64) swell.Plot { return shorter }}, seed)
		return len(again.violations) > 0 || again.broken != nil
	})
	fmt.Printf("    shortest: -plot %q -last %q, clocks apart %s\n", squall.Format(plot.Storm), plot.Last, plot.Apart)
}

// tellParts tells the distribution of each part of coming back after a failure.
func tellParts(comebacks []swell.Comeback) {
	parts := []struct {
		name string
		of   func(swell.Comeback) time.Duration
	}{
		{"noticed", func(each swell.Comeback) time.Duration { return each.Noticed }},
		{"decided", func(each swell.Comeback) time.Duration { return each.Decided }},
		{"taken over", func(each swell.Comeback) time.Duration { return each.TakenOver }},
		{"refilled", func(each swell.Comeback) time.Duration { return each.Refilled }},
		{"last caller back", func(each swell.Comeback) time.Duration { return each.CallersBack }},
		{"service back", func(each swell.Comeback) time.Duration {
			return max(each.TakenOver, each.Refilled, each.CallersBack)
		}},
	}
	for _, part := range parts {
		var lengths []time.Duration
		for _, each := range comebacks {
			lengths = append(lengths, part.of(each))
		}
		if len(lengths) == 0 {
			return
		}
		slices.Sort(lengths)
		at := func(share float64) time.Duration {
			return lengths[min(len(lengths)-1, int(share*float64(len(lengths))))].Round(10 * time.Millisecond)
		}
		fmt.Printf("  %-17s half %6s, nine in ten %6s, 99 in 100 %6s, longest %6s\n", part.name, at(0.5), at(0.9), at(0.99), at(1))
	}
}
