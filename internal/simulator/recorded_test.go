// Runs are as they were recorded: what the daemons say, write and answer stays the same
// to the byte and to the virtual moment, unless a commit knowingly changes it.

package simulator

import (
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/partition"
)

const recordedTable = "testdata/recorded.txt"

// selectedScenarios are those that the shapes other than the small one are tried on here;
// the small one is tried on all. The whole table is for the command that it begins with.
var selectedScenarios = map[string][]string{
	"highest":  {"storm", "topics-storm"},
	"four":     {"storm", "topics-storm"},
	"fjordlys": {"topics-storm"},
	"qureshi":  {"storm"},
	GrownName:  {GrownName},
}

// selectedSeed is the seed of each. Under -short only one of so many of them is run.
const (
	selectedSeed = 0
	shortStep    = 8
)

func recordings(t *testing.T) []Recording {
	t.Helper()
	table, err := os.Open(recordedTable)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, table.Close()) }()
	found, err := ReadRecordings(table)
	assert.NilError(t, err)
	return found
}

func isSelected(line Recording) bool {
	if line.Seed != selectedSeed {
		return false
	}
	return line.Shape == "small" || slices.Contains(selectedScenarios[line.Shape], line.Scenario)
}

func TestRecordedRuns(t *testing.T) {
	position := 0
	for _, line := range recordings(t) {
		if !isSelected(line) {
			continue
		}
		if position++; testing.Short() && position%shortStep != 0 {
			continue
		}
		t.Run(line.RecordedRun.String(), func(t *testing.T) {
			t.Parallel()
			made, err := line.Record()
			assert.NilError(t, err)
			assert.Equal(t, made, line)
		})
	}
}

// The table leaves out no scenario and no shape, and names no run twice.
func TestRecordedRunsCoverAllScenariosAndShapes(t *testing.T) {
	tried := map[RecordedRun]bool{}
	for _, line := range recordings(t) {
		assert.Check(t, !tried[line.RecordedRun], "%s stands twice", line.RecordedRun)
		tried[line.RecordedRun] = true
	}
	for _, scenario := range Scenarios() {
		run := RecordedRun{Scenario: scenario.Name, Shape: "small", Seed: selectedSeed}
		assert.Check(t, tried[run], "%s is not recorded", run)
	}
	for shape := range Shapes {
		assert.Check(t, shape == "small" || len(selectedScenarios[shape]) > 0, "%s is not tried", shape)
	}
	for shape, scenarios := range selectedScenarios {
		for _, scenario := range scenarios {
			run := RecordedRun{Scenario: scenario, Shape: shape, Seed: selectedSeed}
			assert.Check(t, tried[run], "%s is not recorded", run)
		}
	}
}

// shortRun is the digest of a start with an operator's first configuration; alter is
// called with what leaves daemons.
func shortRun(seed uint64, alter func(message any)) string {
	size := Small
	size.Recorder = NewRecorder()
	simulation, _ := Prepare(seed, size, nil)
	simulation.OnDepart = func(_ *Node, _ string, message any) { alter(message) }
	simulation.Crowd(size.Clients)
	simulation.Run(3 * time.Second)
	return size.Recorder.Digest()
}

func TestRecordedRunsSeeAnotherSeedAndOneChangedByte(t *testing.T) {
	asIs := func(any) {}
	plain := shortRun(1, asIs)
	assert.Equal(t, shortRun(1, asIs), plain)
	assert.Assert(t, shortRun(2, asIs) != plain)
	changed := 0
	flipped := shortRun(1, func(message any) {
		if said, is := message.(partition.Append); is && len(said.Data) > 0 && changed == 0 {
			said.Data[0] ^= 1
			changed++
		}
	})
	assert.Equal(t, changed, 1)
	assert.Assert(t, flipped != plain)
}
