// Package wal keeps the state of one daemon on a disk as a snapshot and a write-ahead
// log of the entries after it.
//
// # Files
//
// A folder holds two snapshot slots, slot-even and slot-odd, which are written in turn,
// and three log files, log-0 to log-2, which are reused in turn. Snapshots are numbered
// by a generation: the slot of generation g is even or odd as g is, and log file g%3
// holds the entries that follow the snapshot of generation g. All numbers are
// big-endian and all checksums are CRC-32C:
//
//	slot:  "dlslot01" generation:8  record
//	log:   "dllog001" generation:8  record*
//	record: length:4 checksum:4 payload
//
// The checksum covers the generation, the length and the payload, so that what is left of
// an older use of a file is never read as a part of a newer one. In the checksum of each
// record of an Append but the first, the highest bit of the generation is set (see
// continuation in record.go).
//
// # Durability
//
// Written bytes are durable only once the file is synced, and a name (created, renamed
// or removed) only once its folder is synced: until then each of them survives a loss of
// power or is lost independently of all others. Therefore names are created once and
// reused, and none is removed in steady operation. A checkpoint costs two syncs.
//
// # Recovery
//
// Open takes the valid slot of the highest generation and replays the logs from there
// on. It syncs what it has read before it returns, since the process before may have
// ended between writing and syncing. A torn tail (what a loss of power leaves of a
// write that was not synced) is truncated. Any other damage is ErrDamaged: the owner
// has to call Quarantine and rebuild its state from another replica.
//
// # Use
//
// A Log belongs to one goroutine and does no locking. Append and Checkpoint return once
// the data is durable. After ErrDisk the same call may be repeated; after a Checkpoint that
// failed, nothing is to be appended before one has succeeded.
package wal
