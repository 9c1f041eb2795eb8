// Package statemachine defines the interface between the protocol state machines of
// dahlialock and the drivers that run them.
//
// Every protocol component (consensus, placement, partitions, overlay, delivery) is a
// deterministic state machine with one owner. The owner passes it the current time
// and one input at a time: a message of another daemon, a command of an adapter, or
// the expiry of a timer. The machine changes its state and appends its effects to an
// Effects value: messages to send, writes to sync, responses to requests, events for
// sessions, log events. It then returns; it never blocks.
//
// A machine contains no clock, socket, disk, random source, mutex or goroutine, and
// its effects never depend on the iteration order of a map. The same code therefore
// runs in the daemons (package daemon) and in the simulator (package simulator), and
// a run of the simulator can be repeated exactly from its seed.
//
// A driver calls Machine.Start once, then Machine.HandleMessage, Machine.HandleCommand
// and Machine.Tick from one goroutine. After each call it executes the effects. It
// calls Tick again no earlier than Machine.NextTick.
package statemachine
