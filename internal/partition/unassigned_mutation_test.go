//go:build mutation

package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
	"dahlialock/internal/statemachine"
)

// Without spare logs a store that is named again is sent the whole of everything.
func TestEachMechanismOfSpareLogsIsNeeded(t *testing.T) {
	defer statemachine.Mutate("no-spare-logs")()
	run := newBench(t, 3)
	run.publishAndCut(0, 600)
	run.placeAnew(2, "store-2", "store-0", "store-2")
	run.publishAndCut(600, 700)
	before := run.machines["store-0"].Counts.SnapshotsSent
	run.placeAnew(3, "store-1", "store-0", "store-2")
	assert.Equal(t, run.machines["store-0"].Counts.SnapshotsSent-before, uint64(config.SharedPartitions))
}
