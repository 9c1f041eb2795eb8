// Tests that runs still have their recorded digests: the messages, writes and responses of
// the daemons stay the same, byte for byte and at the same virtual times, unless a commit
// intentionally changes the behaviour.

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

// selectedScenarios lists the scenarios that these tests run on each shape other than small;
// on small they run all scenarios. The command at the top of the table compares all lines.
var selectedScenarios = map[string][]string{
	"highest":  {"storm", "topics-storm"},
	"four":     {"storm", "topics-storm"},
	"fjordlys": {"topics-storm"},
	"qureshi":  {"storm"},
	GrownName:  {GrownName},
}

const (
	// selectedSeed is the seed of the selected runs.
	selectedSeed = 0
	// shortStep is how many selected runs there are for each one that runs under -short.
	shortStep = 8
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

// The table contains every scenario and every shape, and no run twice.
func TestRecordedRunsCoverAllScenariosAndShapes(t *testing.T) {
	tried := map[RecordedRun]bool{}
	for _, line := range recordings(t) {
		assert.Check(t, !tried[line.RecordedRun], "%s is listed twice", line.RecordedRun)
		tried[line.RecordedRun] = true
	}
	for _, scenario := range Scenarios() {
		run := RecordedRun{Scenario: scenario.Name, Shape: "small", Seed: selectedSeed}
		assert.Check(t, tried[run], "%s is not recorded", run)
	}
	for shape := range Shapes {
		assert.Check(t, shape == "small" || len(selectedScenarios[shape]) > 0, "no scenario is selected for shape %s", shape)
	}
	for shape, scenarios := range selectedScenarios {
		for _, scenario := range scenarios {
			run := RecordedRun{Scenario: scenario, Shape: shape, Seed: selectedSeed}
			assert.Check(t, tried[run], "%s is not recorded", run)
		}
	}
}

// shortRun returns the digest of a run that starts a fleet with its first configuration and
// lasts for three more seconds with clients. alter is called for each message that leaves a
// daemon in these seconds.
func shortRun(seed uint64, alter func(message any)) string {
	size := Small
	size.Recorder = NewRecorder()
	simulation, _ := Prepare(seed, size, nil)
	simulation.OnSend = func(_ *Node, _ string, message any) { alter(message) }
	simulation.AddDefaultClients(size.Clients)
	simulation.Run(3 * time.Second)
	return size.Recorder.Digest()
}

func TestRecordedRunsSeeAnotherSeedAndOneChangedByte(t *testing.T) {
	unchanged := func(any) {}
	plain := shortRun(1, unchanged)
	assert.Equal(t, shortRun(1, unchanged), plain)
	assert.Assert(t, shortRun(2, unchanged) != plain)
	changed := 0
	flipped := shortRun(1, func(message any) {
		if request, is := message.(partition.Append); is && len(request.Data) > 0 && changed == 0 {
			request.Data[0] ^= 1
			changed++
		}
	})
	assert.Equal(t, changed, 1)
	assert.Assert(t, flipped != plain)
}
