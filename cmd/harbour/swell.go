// The seed hunt: scenarios of the simulator over many seeds, on all cores. A
// failing seed is named with the one command that runs it again.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/subcommands"

	"dahlialock/internal/swell"
)

type hunt struct {
	scenario string
	from     uint64
	seeds    uint64
	trace    bool
	workers  int
	most     int
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
	set.IntVar(&hunt.most, "most", 3, "how `many` violations to print of a run")
}

type ran struct {
	seed       uint64
	summary    string
	violations []string
	broken     any
}

func (hunt *hunt) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	scenarios := swell.Scenarios()
	if hunt.scenario != "all" {
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
	for open := hunt.workers; open > 0; {
		result := <-results
		if result.seed == ^uint64(0) {
			open--
			continue
		}
		last = result.summary
		if len(result.violations) > 0 || result.broken != nil {
			bad = append(bad, result)
		}
	}
	slices.SortFunc(bad, func(left, right ran) int { return int(left.seed) - int(right.seed) })
	fmt.Printf("%-18s %d seeds, %d failed, %.1f s; one: %s\n", scenario.Name, hunt.seeds, len(bad), time.Since(began).Seconds(), last)
	for position, result := range bad {
		if position == 8 {
			break
		}
		fmt.Printf("  seed %d: harbour swell -scenario %s -from %d -seeds 1 -trace\n", result.seed, scenario.Name, result.seed)
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
	run := swell.Run(scenario, seed, swell.Small, trace)
	result.summary, result.violations = run.Oracle.Summary(), run.Oracle.Violations()
	return result
}
