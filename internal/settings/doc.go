// Package settings loads a daemon's settings from a JSON file, from flags, or
// from both, where flags take precedence.
//
// Loading is strict: an error lists every fault with its path, and a daemon
// doesn't start with faulty settings. A running daemon reloads its settings at
// SIGHUP and when the file has changed (see Loader.Watch); faulty ones, and ones
// that change what can't change while it runs (see ImmutableChanges), leave the
// previous settings in force. docs/configuration.md describes each key.
package settings
