// Recorded runs: a table of the digests of runs. Only a commit that intentionally changes
// the behaviour updates the table, with the commands in the comment at its top.

package simulator

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// GrownName is both the scenario name and the shape name of the recorded runs of RunGrown.
const GrownName = "grown"

// RecordedRun identifies one run of a scenario on a shape.
type RecordedRun struct {
	Scenario, Shape string
	Seed            uint64
}

// String returns the run in the form in which a line of the table begins.
func (rr RecordedRun) String() string { return fmt.Sprintf("%s %s %d", rr.Scenario, rr.Shape, rr.Seed) }

// Recording is a run with its digest.
type Recording struct {
	RecordedRun
	Digest string
}

// String returns the line of the table.
func (r Recording) String() string { return r.RecordedRun.String() + " " + r.Digest }

// Record executes the run and returns the digest of all outputs of its daemons. It may be
// called concurrently.
func (rr RecordedRun) Record() (Recording, error) {
	recorder := NewRecorder()
	if rr.Scenario == GrownName && rr.Shape == GrownName {
		size := Grown
		size.Recorder = recorder
		RunGrown(rr.Seed, size, nil)
		return Recording{rr, recorder.Digest()}, nil
	}
	scenario, foundScenario := Find(rr.Scenario)
	size, foundShape := Shapes[rr.Shape]
	if !foundScenario || !foundShape {
		return Recording{}, fmt.Errorf("unknown scenario %q or shape %q", rr.Scenario, rr.Shape)
	}
	size.Recorder = recorder
	Run(scenario, rr.Seed, size, nil)
	return Recording{rr, recorder.Digest()}, nil
}

// ReadRecordings reads a table, which has one line for each run, with its scenario, shape,
// seed and digest. Empty lines and lines that begin with # are ignored.
func ReadRecordings(table io.Reader) ([]Recording, error) {
	var found []Recording
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var each Recording
		if _, err := fmt.Sscan(line, &each.Scenario, &each.Shape, &each.Seed, &each.Digest); err != nil {
			return nil, fmt.Errorf("invalid line %q in a table of recorded runs: %w", line, err)
		}
		found = append(found, each)
	}
	return found, lines.Err()
}
