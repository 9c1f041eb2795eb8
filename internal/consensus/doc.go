// Package consensus replicates the control state over a few controllers, of which one at
// a time, the primary, serves.
//
// # Epochs
//
// Time is divided into epochs. The Record of an epoch names the primary, its backups and
// the voters, and never changes. The record of the next epoch is decided by single-decree
// Paxos among the voters of the present one (election.go): Prepare and Promise, Accept
// and Accepted, with ballots as proposal numbers, so that two controllers that propose at
// the same time can't both succeed. A change of voters needs majorities of both the old
// and the new voters (voters.go).
//
// # Replication
//
// Within an epoch nothing is decided by majority: this is primary-backup replication, as
// in Vertical Paxos. The primary syncs a command and sends it to all backups, and commits
// it once each of them has synced it (replication.go). A backup that fails, or is slow, is
// replaced by a next epoch, and any backup can take over (reconfiguration.go). Whoever
// proposes a next epoch first sends the state to the spares, which are the voters that are
// to be its new backups, and then accepts the record itself. From then on the present epoch
// is sealed for it: neither it nor a backup that accepted such a record takes part in a
// commit any more, so that the replica of a spare is never older than what was answered.
//
// # Leases
//
// The primary serves only while it holds a lease from a majority of the voters (lease.go).
// A voter grants another controller a ballot only after the lease that it granted has
// expired on its own clock (grant.go). The primary counts the lease from when it requested
// it, and uses nine tenths of it, so that clocks may differ in rate by up to a tenth.
// A voter that was restarted, or recovered a lost disk, waits for a full lease, since it
// does not know what it granted before. Singleton roles other than the primary's have
// leases of their own (rolelease.go).
//
// # Membership
//
// The founders, which are the seeds at the first start of the fleet, decide the first
// epoch, and all of them have to accept it (founding.go). A controller outside the voters
// is a learner: it knows the record, votes on nothing, and says that it is alive
// (discovery.go). The primary promotes learners, one at a time, to fill up the voters or to
// replace one that failed. A voter whose disk was lost is known by the name of its disk,
// and recovers its hard state from the other voters first (recovery.go). One that shuts
// down asks to be replaced, and goes once that is durable (leave.go).
//
// # Use
//
// A Node is a deterministic state machine without I/O. Its owner calls Start once, then
// HandleMessage, Tick at NextTick, and Synced for each write that is durable, always from
// one goroutine, and carries out the statemachine.Effects of each call: writes in order,
// and messages with no order between them. Messages may be lost, repeated and delayed.
// What follows from a write is sent only after Synced.
package consensus
