package simulator

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain makes garbage collections rarer. Runs are short and memory is sufficient; with the
// default setting the garbage collector takes a fifth of their time.
func TestMain(run *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(run.Run())
}
