// Package daemon runs a state machine as a process.
//
// Main is the body of each daemon's main function. It loads the settings, locks the
// data directory, recovers the stored state, builds the state machine of the daemon's
// kind (see Service), and runs it until it stops. It also handles signals, reloads
// the settings, and serves the ctl address, whose endpoints for operators are the
// same for every daemon.
//
// An EventLoop drives one state machine. The state machine is only accessed on the
// goroutine of the loop. All its inputs arrive through channels: messages from the
// Transport, tasks of other goroutines (Execute, Submit, Call), completed writes of
// the disk, and timers. The loop works in turns. In each turn it waits for an input,
// handles the inputs that are queued by then, up to a limit, and flushes the
// resulting output once at the end, which saves wake-ups and system calls. Messages
// of the control state are handled before all other inputs, so that other daemons
// don't suspect a busy daemon of having failed.
package daemon
