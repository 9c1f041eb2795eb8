// Package daemon runs a state machine as a process.
//
// Main is the body of each daemon's main function: it loads the settings, locks
// the data directory and recovers what was stored, builds the state machine of
// its kind (see Service), and runs it until it stops. Around it are the signals,
// the reloading of settings, and the ctl address, at which every daemon gives
// operators the same answers.
//
// An EventLoop drives one state machine. All that touches the machine runs on
// the goroutine of the loop and comes to it through channels: messages from the
// Transport, work of callers (Execute, Submit, Call), finished writes of the disk,
// and timers. The loop works in turns. It waits, takes what else has come
// meanwhile in fair turns, and sends what was gathered once at the end, since
// each wake-up and each system call costs. The control state goes before all
// else, so that a busy daemon doesn't look lost.
package daemon
