// Recorded runs: the table of digests of runs as they were. Only a commit that knowingly
// changes the behaviour records them anew, with the commands that the table begins with.

package simulator

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// GrownName names the run of the grown shape, and that shape, among recorded runs.
const GrownName = "grown"

// RecordedRun names one run of a scenario on a shape.
type RecordedRun struct {
	Scenario, Shape string
	Seed            uint64
}

// String is the run as the table begins its line.
func (rr RecordedRun) String() string { return fmt.Sprintf("%s %s %d", rr.Scenario, rr.Shape, rr.Seed) }

// Recording is a run with its digest.
type Recording struct {
	RecordedRun
	Digest string
}

// String is a line of the table.
func (r Recording) String() string { return r.RecordedRun.String() + " " + r.Digest }

// Record runs a scenario on a shape from its beginning, and gives the digest of all that its
// daemons put into the world. It may be called from several goroutines.
func (rr RecordedRun) Record() (Recording, error) {
	recorder := NewRecorder()
	if rr.Scenario == GrownName && rr.Shape == GrownName {
		size := Grown
		size.Recorder = recorder
		RunGrown(rr.Seed, size, nil)
		return Recording{rr, recorder.Digest()}, nil
	}
	scenario, known := Find(rr.Scenario)
	size, shaped := Shapes[rr.Shape]
	if !known || !shaped {
		return Recording{}, fmt.Errorf("there is no scenario %q on a shape %q", rr.Scenario, rr.Shape)
	}
	size.Recorder = recorder
	Run(scenario, rr.Seed, size, nil)
	return Recording{rr, recorder.Digest()}, nil
}

// ReadRecordings reads a table: a line for each run, with its scenario, shape, seed and
// digest. Empty lines and those that begin with # are comments.
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
			return nil, fmt.Errorf("%q is no line of a table of recorded runs: %w", line, err)
		}
		found = append(found, each)
	}
	return found, lines.Err()
}
