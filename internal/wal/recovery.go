package wal

import (
	"encoding/binary"

	"dahlialock/internal/statemachine"
)

// Recovered is the state that a log held when it was opened.
type Recovered struct {
	// Blank is set if the folder held no log.
	Blank bool
	// Snapshot is the newest valid snapshot; nil or empty if none was ever given.
	Snapshot []byte
	// Entries were appended after the snapshot, in order.
	Entries [][]byte
	// TornBytes is how many bytes of an unfinished write were truncated.
	TornBytes int
}

// Open reads the log in a folder, and begins one if the folder is blank. What it returns
// is durable. It fails with ErrDisk, and may then be repeated, or with ErrDamaged; what it
// returns beside an error is not to be used.
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

// initialize begins a log in a folder without a valid slot. A log file is begun only after
// a slot is durable, and the second slot only after the first: a valid log file, or two
// invalid slots, say that a slot was lost or damaged.
func (l *Log) initialize(bothInvalid bool) error {
	if bothInvalid {
		return ErrDamaged.New("neither slot is valid")
	}
	for number := range uint64(logFiles) {
		body, _, err := l.folder.Read(logName(number))
		if err != nil {
			return ErrDisk.Wrap(err, "reading a log")
		}
		if _, _, valid := readFileHeader(body, logMagic); valid {
			return ErrDamaged.New("there is a log without any slot")
		}
	}
	return l.Checkpoint(nil)
}

// syncRecovered syncs what the process before may have written and not synced: the slot
// that was chosen, and all names.
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

// replay reads the logs from the newest valid slot on. A log of a later generation may
// follow only where the other slot, which held its snapshot, is invalid.
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
			return ErrDamaged.New("log %d follows without its slot", generation)
		}
		l.generation++
	}
}

// replayFile reads the log file of the present generation. It reports whether this is
// the last one, as its tail is torn or it was never begun.
func (l *Log) replayFile(recovered *Recovered) (last bool, err error) {
	name := logName(l.generation)
	body, found, err := l.folder.Read(name)
	if err != nil {
		return true, ErrDisk.Wrap(err, "reading %s", name)
	}
	// The names that were there when the folder was opened were synced then.
	l.durableNames[name] = found && !statemachine.Mutated("unsynced-opening")
	generation, records, valid := readFileHeader(body, logMagic)
	if !valid || generation != l.generation {
		if hasLaterBatch(body, l.generation) {
			return true, ErrDamaged.New("%s is damaged at its beginning", name)
		}
		// The slot was synced but its log was not begun yet.
		return true, l.beginLogFile()
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

// readRecords decodes records up to the first that is not valid, and returns what is
// left from there on.
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

// hasLaterBatch tells damage from a torn tail: each batch is synced before the next one
// begins, so that no valid first record of a batch can follow a torn one.
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
