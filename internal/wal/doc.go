// Package wal stores the state of one daemon on a disk, as a snapshot and a write-ahead
// log of the entries after it.
//
// # Files
//
// A folder contains two snapshot slots, slot-even and slot-odd, which are written in turn,
// and three log files, log-0 to log-2, which are reused in turn. Snapshots are numbered
// by a generation: the snapshot of generation g is in slot-even if g is even and in slot-odd
// if it is odd, and log file g%3 contains the entries that follow it. All numbers are
// big-endian and all checksums are CRC-32C:
//
//	slot:  "dlslot01" generation:8  record
//	log:   "dllog001" generation:8  record*
//	record: length:4 checksum:4 payload
//
// The checksum covers the generation, the length and the payload, so that remains of an
// earlier use of a file are never read as part of the current one. In the checksum of each
// record of an Append but the first, the highest bit of the generation is set (see
// continuation in record.go).
//
// # Durability
//
// Written bytes are durable only once the file is synced, and a name (created, renamed
// or removed) only once its folder is synced: until then, each of them survives a power
// loss or is lost independently of all others. Therefore names are created once and
// reused, and none is removed in steady operation. A checkpoint costs two syncs.
//
// # Recovery
//
// Open chooses the valid slot with the highest generation and replays the logs from there
// on. It syncs what it has read before it returns, since the previous process may have
// ended between writing and syncing. A torn tail (the remains of a write that was not synced
// before a power loss) is truncated. Any other damage is ErrDamaged: the owner must call
// Quarantine and rebuild its state from another replica.
//
// # Use
//
// A Log must be used by one goroutine only and does no locking. Append and Checkpoint return
// once the data is durable. After ErrDisk the same call may be repeated; after a failed
// Checkpoint, nothing may be appended before one has succeeded.
package wal
