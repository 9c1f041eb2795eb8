package wal

import (
	"encoding/binary"

	"dahlialock/internal/statemachine"
)

// Recovered is the state of a log when it was opened.
type Recovered struct {
	// Blank is set if the folder contained no log.
	Blank bool
	// Snapshot is the newest valid snapshot; nil or empty if none was ever written.
	Snapshot []byte
	// Entries are the entries appended after the snapshot, in order.
	Entries [][]byte
	// TornBytes is the number of bytes of an incomplete write that were truncated.
	TornBytes int
}

// Open reads the log in a folder, or creates one if the folder is empty. What it returns is
// durable. It fails with ErrDisk, and may then be repeated, or with ErrDamaged. If it returns an
// error, the other results must not be used.
func Open(folder Folder) (*Log, Recovered, error) {
	if err := finishQuarantine(folder); err != nil {
		return nil, Recovered{}, err
	}
	even, err := readSlot(folder, evenSlot)
	if err != nil {
		return nil, Recovered{}, err
	}
	odd, err := readSlot(folder, oddSlot)
	if err != nil {
		return nil, Recovered{}, err
	}
	newest := even
	if odd.valid && (!even.valid || odd.generation > even.generation) {
		newest = odd
	}
	log := &Log{folder: folder, durableNames: map[string]bool{}}
	if !newest.valid {
		return log, Recovered{Blank: true}, log.initialize(even.present && odd.present)
	}
	recovered := Recovered{Snapshot: newest.snapshot}
	log.generation = newest.generation
	if err := log.syncRecovered(even, odd); err != nil {
		return nil, Recovered{}, err
	}
	otherInvalid := even.present && odd.present && (!even.valid || !odd.valid)
	err = log.replay(&recovered, otherInvalid)
	return log, recovered, err
}

// initialize creates a log in a folder without a valid slot. A log file is created only after a
// slot is durable, and the second slot only after the first. Therefore a valid log file, or two
// invalid slots, mean that a slot was lost or damaged.
func (l *Log) initialize(bothInvalid bool) error {
	if bothInvalid {
		return ErrDamaged.New("neither snapshot slot is valid")
	}
	for number := range uint64(logFiles) {
		body, _, err := l.folder.Read(logName(number))
		if err != nil {
			return ErrDisk.Wrap(err, "reading a log")
		}
		if _, _, valid := readFileHeader(body, logMagic); valid {
			return ErrDamaged.New("found a log file but no valid snapshot slot")
		}
	}
	return l.Checkpoint(nil)
}

// syncRecovered syncs what the previous process may have written but not synced: the slot that
// was chosen, and all names.
func (l *Log) syncRecovered(even, odd slot) error {
	if statemachine.Mutated("unsynced-opening") {
		return nil
	}
	if err := l.sync(slotName(l.generation)); err != nil {
		return err
	}
	if err := l.syncFolder(); err != nil {
		return err
	}
	l.durableNames[evenSlot], l.durableNames[oddSlot] = even.present, odd.present
	return nil
}

// replay reads the logs from the newest valid slot on. A log of a later generation may exist only
// if the other slot, which contained its snapshot, is invalid.
func (l *Log) replay(recovered *Recovered, otherInvalid bool) error {
	for {
		last, err := l.replayFile(recovered)
		if last || err != nil {
			return err
		}
		next, _, err := l.folder.Read(logName(l.generation + 1))
		if err != nil {
			return ErrDisk.Wrap(err, "reading a log")
		}
		generation, _, valid := readFileHeader(next, logMagic)
		if !valid || generation != l.generation+1 {
			return nil
		}
		if !otherInvalid {
			return ErrDamaged.New("the log of generation %d has no snapshot slot", generation)
		}
		l.generation++
	}
}

// replayFile reads the log file of the current generation. It reports whether this is the last
// one, because its tail is torn or it has not been started.
func (l *Log) replayFile(recovered *Recovered) (last bool, err error) {
	name := logName(l.generation)
	body, found, err := l.folder.Read(name)
	if err != nil {
		return true, ErrDisk.Wrap(err, "reading %s", name)
	}
	// Names that existed when the folder was opened were synced by syncRecovered.
	l.durableNames[name] = found && !statemachine.Mutated("unsynced-opening")
	generation, records, valid := readFileHeader(body, logMagic)
	if !valid || generation != l.generation {
		if hasLaterBatch(body, l.generation) {
			return true, ErrDamaged.New("the header of %s is damaged", name)
		}
		// The slot was synced, but its log file was not started yet.
		return true, l.startLogFile()
	}
	entries, torn := readRecords(records, generation)
	recovered.Entries = append(recovered.Entries, entries...)
	l.size = int64(len(body) - len(torn))
	if len(torn) > 0 {
		if hasLaterBatch(torn, generation) {
			return true, ErrDamaged.New("%s is damaged at byte %d", name, l.size)
		}
		recovered.TornBytes = len(torn)
		if err := l.folder.Truncate(name, l.size); err != nil {
			return true, ErrDisk.Wrap(err, "truncating %s", name)
		}
	}
	last = len(torn) > 0
	if statemachine.Mutated("unsynced-opening") {
		return last, nil
	}
	return last, l.sync(name)
}

// readRecords decodes records up to the first invalid one, and returns the bytes from there on.
func readRecords(body []byte, generation uint64) (entries [][]byte, rest []byte) {
	rest = body
	for len(rest) > 0 {
		entry, after, valid := readRecord(rest, generation)
		if !valid && len(entries) > 0 {
			entry, after, valid = readRecord(rest, generation|continuation)
		}
		if !valid {
			break
		}
		entries = append(entries, entry)
		rest = after
	}
	return entries, rest
}

// hasLaterBatch distinguishes damage from a torn tail: it reports whether a valid first record of
// a batch follows. Each batch is synced before the next one is written, so no batch can follow a
// torn one.
func hasLaterBatch(rest []byte, generation uint64) bool {
	for offset := 1; offset+recordHeaderSize <= len(rest); offset++ {
		length := int64(binary.BigEndian.Uint32(rest[offset:]))
		if length == 0 || length > int64(len(rest)-offset-recordHeaderSize) {
			continue
		}
		if _, _, valid := readRecord(rest[offset:], generation); valid {
			return true
		}
	}
	return false
}
