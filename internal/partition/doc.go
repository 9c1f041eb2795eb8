// Package partition implements the replicated log of a partition, and the store that hosts
// partitions.
//
// # Guarantees
//
// A record that was acknowledged with OutcomeAccepted is on the disks of the leader and of
// every follower of the partition's placement, and every later leader has it. The offsets of a
// partition increase by one from record to record and are never assigned twice in one epoch.
// Within the deduplication window, a message that is sent again is recognised by its sender
// and sequence number, and isn't stored again (dedup.go).
//
// # Replication
//
// The controllers place each partition on a leader and its followers, under an epoch that
// increases with every change (membership.Placement). The leader assigns a record its offset,
// syncs it to disk and replicates it. A follower rejects requests of older epochs, syncs
// the records that it appends and acknowledges them. The high watermark is the offset up to
// which the leader and all followers have synced; only records up to it are acknowledged,
// fetched and announced.
//
// A placement is complete once the controllers have recorded that all its followers have all
// records that may have been accepted in earlier epochs. Until then the leader accepts nothing:
// it brings the followers up to date, reports that to the primary controller, and waits for
// a view in which the placement is complete (commit.go). A follower whose log doesn't match the
// leader's is sent a snapshot of the complete log (snapshot.go).
//
// A store that was removed from a placement keeps its log for a while (unassigned.go): if it is
// assigned the partition again, only the records that it missed are sent.
//
// # Shared partitions
//
// The topics of all spaces that are ordered by topic are stored in a fixed number of shared
// partitions (config.IsShared). In a shared partition, a sender's sequence numbers are compared
// per topic, and the log keeps the last offset of a topic for longer than its records, so that
// a reader can detect whether it missed any.
//
// # Execution
//
// Store is a state machine in the sense of package statemachine: one goroutine calls its
// methods with the time and an input, and carries out the effects that they return. The store
// is not safe for concurrent use, reads no clock and does no I/O. It requests writes to disk as
// effects; whatever must wait for a write runs when the store is passed statemachine.Synced.
package partition
