// Package settings loads a daemon's settings from a JSON file, from flags, or
// from both, where flags take precedence.
//
// Loading is strict: an error lists every fault with its path, and a daemon
// doesn't start with faulty settings. A running daemon reloads its settings on
// SIGHUP and when the file has changed (see Loader.Watch). It keeps the previous
// settings if the new ones are faulty or change a setting that is fixed while the
// daemon runs (see ImmutableChanges). docs/configuration.md describes each key.
package settings
