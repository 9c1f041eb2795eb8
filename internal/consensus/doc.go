// Package consensus replicates the control state over a few controllers. At any time at most
// one of them, the primary, serves requests.
//
// # Epochs
//
// Time is divided into epochs. The Record of an epoch names the primary, its backups and
// the voters, and is immutable. The record of the next epoch is decided by single-decree
// Paxos among the voters of the current one (election.go): Prepare and Promise, Accept
// and Accepted, with ballots as proposal numbers, so that two controllers that propose at
// the same time cannot both succeed. A change of voters needs majorities of both the old
// and the new voters (voters.go).
//
// # Replication
//
// Within an epoch, commands are replicated by primary-backup replication, as in Vertical
// Paxos, and not by majority. The primary syncs a command to its disk and sends it to all
// backups, and commits it once every backup has synced it (replication.go). A backup that
// fails or is slow is replaced in a next epoch, and any backup can take over from the primary
// (reconfiguration.go). The proposer of a next epoch first sends the state to the spares,
// which are the voters that become its new backups, and then accepts the record itself. A
// controller that has accepted a record with another primary or other backups has sealed the
// current epoch: it takes part in no further commit, so that the replica of a spare is never
// older than an acknowledged commit.
//
// # Leases
//
// The primary serves only while it holds a lease from a majority of the voters (lease.go).
// A voter promises a ballot to a controller other than the lease holder only after the lease
// that it granted has expired on its own clock (grant.go). The primary measures the lease from when it requested
// it and uses nine tenths of its duration, so that clocks may differ in rate by up to a tenth.
// A voter that was restarted, or recovered from the loss of its disk, waits for the duration
// of a full lease, since it does not know what it granted before. Each other singleton role
// has a separate lease (rolelease.go).
//
// # Membership
//
// The founders decide the first epoch, and all of them have to accept it (bootstrap.go). They
// are the seeds at the first start of the cluster or, with Settings.ClusterSize, that many
// controllers. A controller that is not a voter
// is a learner: it receives the record, does not vote, and announces itself with Hello
// messages (discovery.go). The primary promotes learners, one at a time, to fill up the voters
// or to replace one that failed. A voter whose disk was lost is detected by the changed disk
// ID; it recovers its hard state from the other voters before it votes (recovery.go). A voter
// that shuts down asks to be replaced, and stops once the replacement is durable (leave.go).
//
// # Use
//
// A Node is a deterministic state machine without I/O. Its owner calls Start once, then
// HandleMessage for each message, Tick at NextTick, and Synced for each write that has become
// durable, all from one goroutine. The owner carries out the statemachine.Effects of each
// call: writes in order, messages in any order. Messages may be lost, repeated and delayed.
// Messages that depend on a write are sent only after Synced.
package consensus
