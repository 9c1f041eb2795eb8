//go:build mutation

// Package mutationtest runs tests that are expected to fail because a mutation has
// disabled a mechanism. It is built with the tag mutation only.
package mutationtest

import (
	"fmt"
	"runtime"
)

// Trial replaces a *testing.T. It records a failure without failing the test that runs
// the trial.
type Trial struct {
	// Failed reports whether the run failed; Lines holds the lines that it logged.
	Failed bool
	Lines  []string
}

// Run runs a test in a new goroutine and returns its result.
func Run(run func(t *Trial)) *Trial {
	trial, done := &Trial{}, make(chan struct{})
	go func() {
		defer close(done)
		run(trial)
	}()
	<-done
	return trial
}

// Helper does nothing; test helpers call it.
func (t *Trial) Helper() {}

// Fail records the failure.
func (t *Trial) Fail() { t.Failed = true }

// FailNow records the failure and ends the run.
func (t *Trial) FailNow() {
	t.Failed = true
	runtime.Goexit()
}

// Fatalf records the failure and a line, and ends the run.
func (t *Trial) Fatalf(format string, values ...any) {
	t.Log(fmt.Sprintf(format, values...))
	t.FailNow()
}

// Log records a line.
func (t *Trial) Log(values ...any) { t.Lines = append(t.Lines, fmt.Sprint(values...)) }

// Logf drops its line, because a test logs it whether it fails or not.
func (t *Trial) Logf(string, ...any) {}
