// Package transport carries messages between daemons over TCP.
//
// A daemon listens with one gnet engine and dials with one gnet client. The
// messages to a peer travel on the connection that the sender dialed, so that
// the two directions are independent and each is in order within a Class.
// Delivery isn't guaranteed: messages are lost with connections, when they have
// waited for too long, and when a receiver can't keep up. The state machines
// expect that.
//
// Three goroutines share the work, and each has state of its own:
//
//   - The owner, which runs the daemon's state machine, calls Send and Flush.
//     Send gathers frames, Flush writes all frames of a batch to each peer in one
//     system call, without waiting, as long as the peer's connection and the
//     machine's link can take them (see Pacer and FlowWindow).
//   - The dialer's loop takes over in all other cases: without a connection yet,
//     with a full link, with a peer that doesn't read, or with an Impairment. It
//     dials with a backoff, queues chunks by class within bounds, and hands a
//     link back to the owner once nothing is queued for it.
//   - The acceptor's loop decodes what peers send and delivers it to the owner's
//     channels, one of them for the control state (see IsControl).
//
// The wire format is in frame.go: frames of a length, a message type's number,
// the sender's address and configuration version, and the message in CBOR.
// Message types are registered by the packages that own them (MustRegister);
// their numbers are part of the format. Batches to other zones may be compressed.
//
// PriorityQueue, Pacer and FlowWindow hold no clock and no socket; the simulator
// uses the same.
package transport
