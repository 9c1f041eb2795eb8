//go:build mutation

package statemachine

// mutation is the mechanism that the running test has switched off. Such tests are
// built with the tag mutation only; they show that a promise breaks without the
// mechanism that keeps it and that the checks notice. A released daemon has no way
// to switch anything off.
var mutation string

// Mutated reports whether a mechanism is switched off.
func Mutated(name string) bool { return mutation == name }

// Mutate switches a mechanism off until restore is called. Tests that use it must
// not run in parallel.
func Mutate(name string) (restore func()) {
	mutation = name
	return func() { mutation = "" }
}
