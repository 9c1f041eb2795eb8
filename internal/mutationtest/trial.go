//go:build mutation

// Package mutationtest runs tests that are expected to fail, as a mechanism was taken
// away. It is part of builds with the tag mutation only.
package mutationtest

import (
	"fmt"
	"runtime"
)

// Trial stands in for a *testing.T whose failure is noted and ends nothing else.
type Trial struct {
	// Failed tells whether the run failed; Lines are what it said.
	Failed bool
	Lines  []string
}

// Run runs a test on a task of its own and gives what came of it.
func Run(run func(t *Trial)) *Trial {
	trial, done := &Trial{}, make(chan struct{})
	go func() {
		defer close(done)
		run(trial)
	}()
	<-done
	return trial
}

// Helper does nothing.
func (t *Trial) Helper() {}

// Fail notes the failure.
func (t *Trial) Fail() { t.Failed = true }

// FailNow notes the failure and ends the run.
func (t *Trial) FailNow() {
	t.Failed = true
	runtime.Goexit()
}

// Fatalf notes the failure with a line and ends the run.
func (t *Trial) Fatalf(format string, values ...any) {
	t.Log(fmt.Sprintf(format, values...))
	t.FailNow()
}

// Log notes a line.
func (t *Trial) Log(values ...any) { t.Lines = append(t.Lines, fmt.Sprint(values...)) }

// Logf drops a line that a test logs whether it fails or not.
func (t *Trial) Logf(string, ...any) {}
