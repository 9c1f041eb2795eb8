// Package gateway is the state machine of the daemons that hold client connections.
//
// A Gateway holds the sessions of clients, runs the peers of the overlay, passes each
// request through the policies, and fans messages out to the other gateways with
// subscribers. It follows the control state through the agent on its machine.
//
// # How it is driven
//
// The gateway does no I/O and starts no goroutine. One loop owns it and calls Start
// once, HandleCommand for the commands of the adapters (see OpenSession and the types
// beside it), HandleMessage for the messages of other daemons, and Tick at the moment
// that NextTick returns. Each call adds what is to be done to its Effects: messages,
// responses, deliveries to sessions, log events. No method may be called from several
// goroutines at once. A run depends only on the calls and their moments: maps are walked
// in sorted order where the order has an effect.
//
// # When it serves
//
// A gateway delivers only while it knows that its configuration is the newest. A message
// that shows a higher version defers delivery until the gateway has caught up, and so
// does a confirmation that is older than Settings.ConfirmedFor; see Gateway.Confirmed.
//
// # Spaces with trackers
//
// In a space whose topics are not routed, each partition with subscribers here has a
// tracker. It delivers a record only after what the record depends on was delivered: the
// record of the topic before it, and the earlier messages of its sender in any partition.
// What is missing is fetched from the leader of the partition. The leader reports its
// high watermark as it moves, and the tracker verifies that it has all records up to
// there, so that a lost last message shows too.
//
// A subscription to durable topics begins by learning the high watermarks of its
// partitions or, with a cursor, by fetching all that was missed. Until that is done the
// live messages of the session are buffered, so that none is delivered twice, skipped or
// out of order. Several interests that are resumed together are filled as one, since the
// order of a sender runs across them.
//
// A space with ephemeral retention stores nothing. While clients move, and peers of the
// overlay come and go, a message must not fall between two gateways; so each gateway
// remembers for a moment what it published and received. A client that resumes gets from
// that what it has not had, and a gateway that is newly discovered as a destination gets
// what was published just before.
//
// The publications of one sender in one space are processed one after the other: a
// rejection or an unsettled outcome holds off those behind it, so that none overtakes.
// A durable message goes to the leader of its partition and is fanned out once it is
// appended; an ephemeral one is fanned out at once. The destinations come from the
// overlay peer at the area of the topic, and each gets one copy.
//
// # Routed topics
//
// A topic that a route leads to a space has an order of its own, which the shared
// partition gives in which it lies. A subscription is therefore no more than the newest
// offset that was delivered: each record names the offset of the topic's record before
// it, and what is missing is fetched from the partition's leader for all subscriptions at
// once. The leader also reports which topics moved, so that a lost last message shows.
// Topics with ephemeral retention have the same order, but their data is not stored: a
// gap that isn't filled within a short time is skipped.
//
// Topics that lack records wait in one queue, in the order in which they began to. One
// batch at a time is in flight to each store and carries all topics that wait for it, so
// that every subscription is confirmed by the next small response, however many there
// are; the records follow within a credit of bytes that the machine's link can take.
// Nothing is requested twice while its response may be on the way.
//
// Messages of different routed topics don't wait for each other; those of one topic go to
// the leader in the order in which they came. The leader gives every message its offset
// and remembers the sequences of its sender. After the append one copy goes to each
// gateway with subscribers. The data of an ephemeral message never goes to a store.
//
// # Cursors and admission
//
// A cursor is the position of a client that may come back: its subscriptions, how far
// each partition was delivered, and the newest sequence of each sender that it saw in
// ephemeral spaces. It is opaque to clients and authenticated with the fleet's key; a
// forged one, one of another client and one of an unknown layout are rejected.
//
// The platform spreads new clients over all gateways that listen, hundreds within
// moments, and each has missed messages fetched over the machine's link. A gateway admits
// only as many as its link can serve soon, and none while the backlog is longer than the
// link takes in a short time. A client that is rejected finds another gateway.
package gateway
