package simulator

import (
	"os"
	"runtime/debug"
	"testing"
)

// Runs are short and there is memory enough: at its usual pace the collector
// takes a fifth of their time.
func TestMain(run *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(run.Run())
}
