//go:build mutation

// Package cases2 runs the scripts of the second review's cases where REVIEW_CASES is set, and skips elsewhere. It needs
// the programs of the deploy file's build under target/.
package cases2

import (
	"os"
	"os/exec"
	"testing"
)

// runCase builds the stand-ins and runs a case's script, which exits with 0 where the rule held.
func runCase(t *testing.T, folder string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	for _, script := range []string{"../build-2.sh", "../" + folder + "/run.sh"} {
		if output, err := exec.CommandContext(t.Context(), "bash", script).CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", script, err, output)
		}
	}
}

func TestReviewRefusedNumberIsNotDelivered(t *testing.T) { runCase(t, "6") }

func TestReviewPlaceIsNotRefusedForUnacknowledgedNotes(t *testing.T) { runCase(t, "7") }

func TestReviewPlaceIsNotRefusedAfterLargeNotes(t *testing.T) { runCase(t, "8") }

func TestReviewTopicLivesOnAfterDiscardedNote(t *testing.T) { runCase(t, "9") }
