package main

import (
	"testing"

	"github.com/google/subcommands"
)

// TestExitCodesStay guards the exit codes that operators' scripts compare with.
func TestExitCodesStay(t *testing.T) {
	for code, wanted := range map[subcommands.ExitStatus]int{
		subcommands.ExitSuccess: 0, exitRetry: 1, exitUsage: 2, exitRefused: 3,
	} {
		if int(code) != wanted {
			t.Errorf("exit code is %d, want %d", code, wanted)
		}
	}
}

func TestStatusOfAnAnswerIsItsExitCode(t *testing.T) {
	for status, wanted := range map[int]subcommands.ExitStatus{200: 0, 202: 0, 400: 3, 404: 3, 409: 3, 503: 1} {
		asking := commonFlags{raw: true}
		if got := asking.finish(answer{status: status, body: []byte(`{}`)}, nil, nil); got != wanted {
			t.Errorf("status %d gives exit code %d, want %d", status, got, wanted)
		}
	}
}
