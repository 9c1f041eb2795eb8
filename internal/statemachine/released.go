//go:build !mutation

package statemachine

// Mutated reports whether a mechanism is disabled. It is always false in a build without
// the tag mutation, where the compiler removes the branches that depend on it.
func Mutated(string) bool { return false }
