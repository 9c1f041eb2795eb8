//go:build mutation

// With retries at fixed intervals, and comparisons of members while daemons still join,
// daemons that start on slow links send more bytes until all know all subscribers.
package overlay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func TestFixedPausesSendMoreOnSlowLinks(t *testing.T) {
	defer statemachine.Mutate("no-retry-pauses")()
	for seed := range uint64(2) {
		took, bytes := startOnSlowLinks(t, seed, 60*time.Second)
		t.Logf("seed %d: all subscribers known after %v, %d bytes per daemon", seed, took, bytes/startingDaemons)
		assert.Assert(t, bytes/startingDaemons > maxBytesPerDaemon, "seed %d: %d bytes", seed, bytes/startingDaemons)
	}
}
