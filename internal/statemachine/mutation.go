//go:build mutation

// Mutations are mechanisms that a test takes away to see that the promise which
// they keep is then broken, and that the checker sees it. This file is part of
// builds with the tag mutation only, as the tests use it; a released daemon
// holds none.

package statemachine

var mutation string

// Mutated tells whether a mechanism has been taken away.
func Mutated(name string) bool { return mutation == name }

// Mutate takes a mechanism away until the returned function is called. Tests
// that use it run alone.
func Mutate(name string) (restore func()) {
	mutation = name
	return func() { mutation = "" }
}
