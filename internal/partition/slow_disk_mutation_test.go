//go:build mutation

package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestCheckpointAllowanceIsNeeded(t *testing.T) {
	defer statemachine.Mutate("checkpoints-lag")()
	assert.Assert(t, reportsLargeCheckpoint(t))
}
