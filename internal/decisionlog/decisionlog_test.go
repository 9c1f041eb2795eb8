package decisionlog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func steps(entries []Entry) []Step {
	names := make([]Step, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Step)
	}
	return names
}

func TestMessageNameDropsPartition(t *testing.T) {
	assert.Equal(t, MessageName("boards~3/1", "ada", 7), "boards/ada/7")
	assert.Equal(t, MessageName("boards", "ada", 7), "boards/ada/7")
}

func TestRingFindsByRequestMessageAndClient(t *testing.T) {
	ring := NewRing("gateway-1")
	message := MessageName("boards", "ada", 7)
	ring.Record(start, "r1", message, "ada", StepAdmitted, "topic", "t", "count", 2)
	ring.Record(start, "", message, "", StepAccepted)
	ring.Record(start, "r2", "", "bob", StepSubscribing)
	assert.DeepEqual(t, steps(ring.Find("r1", "", "")), []Step{StepAdmitted, StepAccepted})
	assert.DeepEqual(t, steps(ring.Find("", message, "")), []Step{StepAdmitted, StepAccepted})
	assert.DeepEqual(t, steps(ring.Find("", "", "bob")), []Step{StepSubscribing})
	assert.DeepEqual(t, steps(ring.Find("", "", "")), []Step{})
	found := ring.Find("r1", "", "")
	assert.DeepEqual(t, found[0].Detail, map[string]any{"topic": "t", "count": 2})
	assert.Assert(t, found[1].Detail == nil)
	assert.Equal(t, found[0].Daemon, "gateway-1")
}

func TestRingOverwritesTheOldest(t *testing.T) {
	ring := NewRing("store-1")
	ring.Record(start, "r0", "", "", "overwritten")
	for range Capacity - 1 {
		ring.Record(start, "r", "", "", "filler")
	}
	ring.Record(start, "r0", "", "", "newest")
	assert.DeepEqual(t, steps(ring.Find("r0", "", "")), []Step{"newest"})
	all := ring.Find("r", "", "")
	assert.Equal(t, len(all), Capacity-1)
	ring.Record(start, "r", "", "", "last")
	all = ring.Find("r", "", "")
	assert.Equal(t, all[len(all)-1].Step, Step("last"))
}
