//go:build mutation

// Package review runs the scripts of the review's cases where REVIEW_CASES is set, and skips elsewhere. It needs the
// programs of the deploy file's build under target/.
package review

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
	for _, script := range []string{"./build.sh", "./" + folder + "/run.sh"} {
		if output, err := exec.CommandContext(t.Context(), "bash", script).CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", script, err, output)
		}
	}
}

func TestReviewNoteComesAfterStoreWasKilled(t *testing.T) { runCase(t, "1") }

func TestReviewTopicLivesOnAfterMissedNote(t *testing.T) { runCase(t, "2") }

func TestReviewPlaceIsNotRefusedForOlderNotes(t *testing.T) { runCase(t, "3") }
