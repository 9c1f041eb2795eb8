// Package gateway implements the state machine of the gateway daemons, which serve client
// connections.
//
// A Gateway keeps the sessions of its clients, runs the peers of the overlay, checks each
// request against the policies, and fans messages out to the other gateways that have
// subscribers. It follows the control state through the agent on its machine.
//
// # Driving the state machine
//
// The gateway does no I/O and starts no goroutines. A single loop owns it. The loop calls
// Start once, HandleCommand for each command of an adapter (OpenSession and the other
// command types), HandleMessage for each message of another daemon, and Tick at the time
// that NextTick returns. Each call adds its results to an Effects value: messages to send,
// responses, deliveries to sessions, log events. Methods must not be called concurrently.
// A run is deterministic: it depends only on the calls and their times, and maps are
// iterated in sorted order wherever the order has an effect.
//
// # Confirmed configuration
//
// A gateway delivers messages only while it is certain that its configuration is the newest.
// Delivery is deferred from the time a message shows a higher configuration version until
// the gateway has applied that version, and while the last confirmation is older than
// Settings.ConfirmedFor; see Gateway.Confirmed.
//
// # Spaces without routed topics
//
// In a space without routed topics, the gateway keeps a tracker for each partition that its
// sessions subscribe to. The tracker delivers a record only after the records that it
// depends on: the previous record of its topic, and the earlier messages of its sender in
// any partition. Missing records are fetched from the leader of the partition. The leader
// reports each advance of its high watermark, and the tracker verifies that it has all
// records up to that offset, so that the loss of the last message is detected too.
//
// A new subscription to durable topics first requests the high watermarks of its partitions
// or, if it has a cursor, fetches all missed records. Until that is done, the live messages
// of the session are buffered, so that no message is delivered twice, skipped or delivered
// out of order. Interests that are resumed together share one fetch, since the order
// of a sender's messages extends across them.
//
// The messages of a space with ephemeral retention are not stored. Clients move between
// gateways, and peers of the overlay join and leave; no message may be lost in between.
// Each gateway therefore remembers for a short time what it published and received. A client
// that resumes gets the messages that it missed, and a gateway that was just discovered as a
// destination gets the messages that were published immediately before.
//
// The publications of one sender in one space are processed one after the other. A rejected
// or unsettled publication blocks the later ones, so that none overtakes it. A durable
// message is sent to the leader of its partition and fanned out once it is appended; an
// ephemeral message is fanned out at once. The overlay peer at the area of the topic
// supplies the destinations, and each destination gets one copy.
//
// # Routed topics
//
// A routed topic is a topic that a route assigns to a space. Each routed topic has its own
// order, which is that of its records in the shared partition that contains the topic. A
// subscription is therefore just the newest delivered offset: each record names the offset
// of the topic's previous record, and missing records are fetched from the leader of the
// partition for all subscriptions at once. The leader also reports which topics have new
// records, so that the loss of the last message is detected. Topics with ephemeral retention
// are ordered in the same way, but their data is not stored: a gap that is not filled within
// a short time is skipped.
//
// Topics with missing records wait in a FIFO queue. At most one batch is in flight to each
// store. The batch contains all topics that wait for this store, up to maxBatchTopics, so
// that one small response confirms many subscriptions. The records follow within a byte
// credit that matches the rate of the machine's link. No request is repeated while its
// response may still arrive.
//
// Messages of different routed topics don't wait for each other; those of one topic are sent
// to the leader in the order in which they were received. The leader assigns an offset to
// each message and remembers the sequences of its sender. After the append, one copy is sent
// to each gateway with subscribers. The data of an ephemeral message is never sent to a store.
//
// # Cursors and admission
//
// A cursor is the position of a client that may resume: its subscriptions, how far each
// partition was delivered, and the newest sequence of each sender that it saw in ephemeral
// spaces. It is opaque to clients and authenticated with the key of the fleet. A cursor that
// is forged, belongs to another client or has an unknown layout is rejected.
//
// The platform spreads new clients over all gateways that listen. Hundreds of them may
// connect within moments, and for each of them missed messages are fetched over the
// machine's link. A gateway admits only as many clients as its link can serve soon, and none
// while the link needs longer than a short time for the backlog. A rejected client connects
// to another gateway.
package gateway
