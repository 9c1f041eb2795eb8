// Digests of simulated runs, printed or compared with those that were recorded.
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"dahlialock/internal/simulator"
)

// allNames selects all scenarios, or all shapes.
const allNames = "all"

// record prints the digest of each run that the flags select or, with a recorded table to
// compare with, the lines whose digest has changed.
func (s *simulate) record(set *flag.FlagSet) subcommands.ExitStatus {
	var wanted []simulator.Recording
	if s.compare == "" {
		for _, run := range s.chosenRuns() {
			wanted = append(wanted, simulator.Recording{RecordedRun: run})
		}
	} else {
		recorded, err := readTable(s.compare)
		if err != nil {
			fmt.Fprintln(os.Stderr, "fleetlab:", err)
			return subcommands.ExitUsageError
		}
		wanted = slices.DeleteFunc(recorded, s.excluded(set))
	}
	if len(wanted) == 0 {
		fmt.Fprintln(os.Stderr, "fleetlab: no run is selected")
		return subcommands.ExitUsageError
	}
	differing := 0
	for number, result := range s.recordAll(wanted) {
		made := <-result
		if made.err != nil {
			fmt.Fprintln(os.Stderr, "fleetlab:", made.err)
			return subcommands.ExitUsageError
		}
		switch {
		case s.compare == "":
			fmt.Println(made.recording)
		case made.recording != wanted[number]:
			differing++
			fmt.Printf("%s, recorded %s\n", made.recording, wanted[number].Digest)
		}
	}
	if s.compare != "" {
		fmt.Printf("%d of %d runs differ\n", differing, len(wanted))
	}
	if differing > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readTable(name string) ([]simulator.Recording, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return simulator.ReadRecordings(file)
}

// chosenRuns lists the runs that -scenario, -size, -from and -seeds select.
func (s *simulate) chosenRuns() []simulator.RecordedRun {
	scenarios, shapes := strings.Split(s.scenario, ","), strings.Split(s.size, ",")
	if s.scenario == allNames {
		scenarios = nil
		for _, scenario := range simulator.Scenarios() {
			scenarios = append(scenarios, scenario.Name)
		}
	}
	if s.size == allNames {
		shapes = slices.Sorted(maps.Keys(simulator.Shapes))
	}
	var chosen []simulator.RecordedRun
	for _, scenario := range scenarios {
		for _, shape := range shapes {
			for seed := s.from; seed < s.from+s.seeds; seed++ {
				chosen = append(chosen, simulator.RecordedRun{Scenario: scenario, Shape: shape, Seed: seed})
			}
		}
	}
	return chosen
}

// excluded returns a function that reports whether the given flags exclude a line of the table.
func (s *simulate) excluded(set *flag.FlagSet) func(simulator.Recording) bool {
	given := map[string]bool{}
	set.Visit(func(each *flag.Flag) { given[each.Name] = true })
	excludes := func(list, name string) bool {
		return list != allNames && !slices.Contains(strings.Split(list, ","), name)
	}
	return func(recording simulator.Recording) bool {
		return excludes(s.scenario, recording.Scenario) ||
			given["size"] && excludes(s.size, recording.Shape) ||
			given["from"] && recording.Seed < s.from ||
			given["seeds"] && recording.Seed >= s.from+s.seeds
	}
}

type recordingResult struct {
	recording simulator.Recording
	err       error
}

// recordAll records the runs on all workers and returns a result channel for each run, in the order given.
func (s *simulate) recordAll(wanted []simulator.Recording) []chan recordingResult {
	results := make([]chan recordingResult, len(wanted))
	pending := make(chan int, len(wanted))
	for number := range wanted {
		results[number] = make(chan recordingResult, 1)
		pending <- number
	}
	close(pending)
	for range s.workers {
		go func() {
			for number := range pending {
				recording, err := wanted[number].Record()
				results[number] <- recordingResult{recording: recording, err: err}
			}
		}()
	}
	return results
}
