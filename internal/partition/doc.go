// Package partition is the replicated log of a partition, and the store that hosts partitions.
//
// # What it promises
//
// A record that was acknowledged with OutcomeAccepted lies on the disk of the leader and of
// every follower of the partition's placement, and every later leader has it. Offsets of a
// partition rise by one from record to record and are never assigned twice in one epoch.
// Within the deduplication window a message that is sent again is recognised by its sender
// and sequence number, and isn't stored again (dedup.go).
//
// # How it works
//
// The controllers place each partition on a leader and its followers, under an epoch that
// rises with every change (membership.Placement). The leader gives a record its offset,
// syncs it to disk and replicates it. A follower rejects requests of older epochs, syncs
// what it appends and acknowledges it. The high watermark is the offset up to which the
// leader and all followers have synced; only records up to it are acknowledged, fetched
// and announced.
//
// A placement is complete once the controllers have recorded that all its followers hold
// whatever may have been accepted in earlier epochs. Until then the leader accepts nothing:
// it brings the followers up to date, reports that to the primary controller, and waits for
// a view in which the placement is complete (commit.go). A follower whose log doesn't meet the
// leader's is sent a snapshot of the complete log (snapshot.go).
//
// A store that left a placement keeps its log for a while (unassigned.go): if it is named
// again, only the records that it missed are sent.
//
// # Shared partitions
//
// The topics of all spaces that are ordered by topic lie in a fixed number of shared
// partitions (config.IsShared). There a sender's sequence numbers are compared per topic,
// and the log keeps the last offset of a topic for longer than its records, so that a reader
// learns whether it missed any.
//
// # How it is driven
//
// Store is a state machine in the sense of package statemachine: one goroutine calls its
// methods with the time and whatever arrived, and carries out the effects that come back. It
// is neither safe for concurrent use nor does it read a clock or do I/O itself. Writes to
// disk are asked for as effects; what must wait for them is run when the machine is given
// statemachine.Synced.
package partition
