//go:build mutation

package statemachine

// mutation is the name of the mechanism that the running test has disabled. Such tests
// are built with the tag mutation only. They verify that a guarantee is violated without
// the mechanism that ensures it, and that the checks detect the violation. A release
// build can't disable any mechanism.
var mutation string

// Mutated reports whether a mechanism is disabled.
func Mutated(name string) bool { return mutation == name }

// Mutate disables a mechanism until restore is called. Tests that use it must not run in
// parallel.
func Mutate(name string) (restore func()) {
	mutation = name
	return func() { mutation = "" }
}
