// Package statemachine is the contract between the protocol parts of dahlialock
// and the world around them.
//
// Every protocol part (consensus, placement, partitions, overlay, delivery) is a
// deterministic state machine with one owner. The owner hands it the current time
// together with one input at a time: a message of another daemon, a command of an
// adapter, or the expiry of a timer. The machine changes its state and appends what
// it wants done to an Effects value: messages to send, writes to sync, responses to
// requests, events for sessions, log events. It then returns; it never blocks.
//
// A machine holds no clock, socket, disk, random source, mutex or goroutine, and
// its effects never depend on the order of a map. The same code therefore runs in
// the daemons (package daemon) and in the simulator (package simulator), and one
// seed of the simulator is one exactly repeatable run.
//
// A driver calls Machine.Start once, then Machine.HandleMessage, Machine.HandleCommand
// and Machine.Tick from one goroutine. After each call it carries the effects out and
// calls Tick again no earlier than Machine.NextTick.
package statemachine
