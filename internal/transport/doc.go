// Package transport carries messages between daemons over TCP.
//
// A daemon listens with one gnet engine and dials with one gnet client. Messages
// to a peer are sent on the connection that the sender dialed, so the two
// directions are independent. Order is kept within a Class in each direction.
// Delivery isn't guaranteed: messages are lost when a connection ends, when they
// were queued for too long, and when a receiver can't keep up. The state machines
// tolerate such losses.
//
// The work is divided among three goroutines, each with its own state:
//
//   - The owner, which runs the daemon's state machine, calls Send and Flush.
//     Send adds frames to the batch of a peer. Flush writes the batch of each peer
//     in one non-blocking system call, as long as the peer's connection and the
//     host's network link have capacity (see Pacer and FlowWindow).
//   - The dialer's loop sends the batches in all other cases: when there is no
//     connection yet, when the network link is saturated, when the peer doesn't
//     read, or when an Impairment is set. It dials with a backoff, queues chunks by
//     class within bounds, and returns a link to the owner once nothing is queued
//     for it.
//   - The acceptor's loop decodes received messages and delivers them to the
//     owner's channels. Messages of the control state have a separate channel (see
//     IsControl).
//
// The wire format is described in frame.go: a frame has a length, the number of
// the message type, the sender's address and configuration version, and the
// message in CBOR. Message types are registered by the packages that own them
// (MustRegister); their numbers are part of the format. Batches to other zones,
// and all batches if the host's network link is slow, may be compressed.
//
// PriorityQueue, Pacer and FlowWindow use neither a clock nor a socket, so the
// simulator uses them too.
package transport
