// Package wal keeps a daemon's own state on a small disk: two slots that
// are written in turn, with a short log between. A slot holds a whole frame
// with a generation; the log of a generation holds the entries after it. A
// write lasts only once it is synced, and a name once its folder is: each name that
// was made, renamed or removed since then may be kept or lost by itself. So names are
// made once and used again, and no name is removed. On opening, the newest whole slot
// wins and the logs after it are replayed, and what was read is synced before anybody
// relies on it, since the process before may have ended between writing and syncing.
// A torn tail is cut, and damage anywhere else is an error that the owner must answer
// by putting the files aside and rebuilding its copy from another holder.
package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/joomcode/errorx"

	"dahlialock/internal/statemachine"
)

var (
	namespace = errorx.NewNamespace("logbook")
	// ErrDamaged says that bytes which had been synced are no longer right.
	ErrDamaged = namespace.NewType("damage")
	// ErrDisk says that the disk itself refused.
	ErrDisk = namespace.NewType("disk")
)

// MaxEntrySize bounds one entry or frame.
const MaxEntrySize = 1 << 30

const (
	slotMagic   = "dlslot01"
	logMagic    = "dllog001"
	prefixSize  = 16
	entryHeader = 8
	logNames    = 3
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Folder is the disk as the log sees it. Nothing lasts before Sync of the
// file, and no name lasts before SyncFolder.
type Folder interface {
	Read(name string) ([]byte, bool, error)
	Create(name string, body []byte) error
	Append(name string, body []byte) error
	Truncate(name string, size int64) error
	Sync(name string) error
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// Recovered is what a log held when it was opened.
type Recovered struct {
	Blank     bool
	Snapshot  []byte
	Entries   [][]byte
	TornBytes int
}

// Log is an open log; one owner uses it.
type Log struct {
	folder     Folder
	generation uint64
	logSize    int64
	uncut      bool
	// lasting are the names that a sync of the folder covered.
	lasting map[string]bool
	Syncs   int64
}

func slotName(generation uint64) string {
	if generation%2 == 0 {
		return "slot-even"
	}
	return "slot-odd"
}

func logName(generation uint64) string {
	return fmt.Sprintf("log-%d", generation%logNames)
}

func seal(magic string, generation uint64) []byte {
	prefix := make([]byte, prefixSize, prefixSize+entryHeader)
	copy(prefix, magic)
	binary.BigEndian.PutUint64(prefix[8:], generation)
	return prefix
}

// continues marks, in the checksum, the entries of a batch after its first. A batch is
// written at once and may be torn anywhere: one of its later entries may be whole where
// its first is not.
const continues = 1 << 63

func appendBatch(body []byte, generation uint64, entries [][]byte) []byte {
	for position, entry := range entries {
		if position > 0 && !statemachine.Mutated("one-checksum") {
			generation |= continues
		}
		body = appendEntry(body, generation, entry)
	}
	return body
}

func appendEntry(body []byte, generation uint64, entry []byte) []byte {
	var header [entryHeader]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(entry)))
	binary.BigEndian.PutUint32(header[4:], checksum(generation, entry))
	body = append(body, header[:]...)
	return append(body, entry...)
}

func checksum(generation uint64, entry []byte) uint32 {
	var prefix [12]byte
	binary.BigEndian.PutUint64(prefix[:], generation)
	binary.BigEndian.PutUint32(prefix[8:], uint32(len(entry)))
	return crc32.Update(crc32.Checksum(prefix[:], table), table, entry)
}

func readEntry(body []byte, generation uint64) (entry, rest []byte, whole bool) {
	if len(body) < entryHeader {
		return nil, nil, false
	}
	length := int64(binary.BigEndian.Uint32(body))
	if length > MaxEntrySize || int64(len(body)) < entryHeader+length {
		return nil, nil, false
	}
	entry = body[entryHeader : entryHeader+length]
	if binary.BigEndian.Uint32(body[4:]) != checksum(generation, entry) {
		return nil, nil, false
	}
	return entry, body[entryHeader+length:], true
}

func readPrefix(body []byte, magic string) (generation uint64, rest []byte, whole bool) {
	if len(body) < prefixSize || string(body[:8]) != magic {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(body[8:]), body[prefixSize:], true
}

type slot struct {
	present, whole bool
	generation     uint64
	frame          []byte
}

func readSlot(folder Folder, name string) (slot, error) {
	body, found, err := folder.Read(name)
	if err != nil {
		return slot{}, ErrDisk.Wrap(err, "reading %s", name)
	}
	if !found {
		return slot{}, nil
	}
	generation, rest, whole := readPrefix(body, slotMagic)
	if !whole {
		return slot{present: true}, nil
	}
	frame, rest, whole := readEntry(rest, generation)
	if !whole || len(rest) != 0 || slotName(generation) != name {
		return slot{present: true}, nil
	}
	return slot{present: true, whole: true, generation: generation, frame: frame}, nil
}

// Open reads a folder, making it if it is blank. What it gives lasts.
func Open(folder Folder) (*Log, Recovered, error) {
	if err := finishPuttingAside(folder); err != nil {
		return nil, Recovered{}, err
	}
	even, err := readSlot(folder, "slot-even")
	if err != nil {
		return nil, Recovered{}, err
	}
	odd, err := readSlot(folder, "slot-odd")
	if err != nil {
		return nil, Recovered{}, err
	}
	newest := even
	if odd.whole && (!even.whole || odd.generation > even.generation) {
		newest = odd
	}
	book := &Log{folder: folder, lasting: map[string]bool{}}
	if !newest.whole {
		return book, Recovered{Blank: true}, book.found(even.present && odd.present)
	}
	recovered := Recovered{Snapshot: newest.frame}
	book.generation = newest.generation
	if err := book.lastAgain(even, odd); err != nil {
		return nil, Recovered{}, err
	}
	err = book.replay(&recovered, even.present && odd.present && (!even.whole || !odd.whole))
	return book, recovered, err
}

// lastAgain syncs what the process before may have written and not synced: the slot
// that counts, and all names.
func (l *Log) lastAgain(even, odd slot) error {
	if statemachine.Mutated("unsynced-opening") {
		return nil
	}
	if err := l.sync(slotName(l.generation)); err != nil {
		return err
	}
	if err := l.syncFolder(); err != nil {
		return err
	}
	l.lasting["slot-even"], l.lasting["slot-odd"] = even.present, odd.present
	return nil
}

// found begins a blank folder. Where a log was begun, a slot was whole and synced
// before, so that one is missing or damaged.
func (l *Log) found(bothDamaged bool) error {
	if bothDamaged {
		return ErrDamaged.New("neither slot is whole")
	}
	for number := range uint64(logNames) {
		body, _, err := l.folder.Read(logName(number))
		if err != nil {
			return ErrDisk.Wrap(err, "reading a log")
		}
		if _, _, whole := readPrefix(body, logMagic); whole {
			return ErrDamaged.New("a log without any slot")
		}
	}
	return l.Checkpoint(nil)
}

// replay reads the logs from the newest whole slot on.
func (l *Log) replay(recovered *Recovered, otherTorn bool) error {
	for {
		ended, err := l.replayLog(recovered)
		if ended || err != nil {
			return err
		}
		next, _, err := l.folder.Read(logName(l.generation + 1))
		if err != nil {
			return ErrDisk.Wrap(err, "reading a log")
		}
		followed, _, whole := readPrefix(next, logMagic)
		if !whole || followed != l.generation+1 {
			return nil
		}
		if !otherTorn {
			return ErrDamaged.New("log %d follows without its slot", followed)
		}
		l.generation++
	}
}

// replayLog reads the log of the present generation; it tells whether no other can
// follow.
func (l *Log) replayLog(recovered *Recovered) (ended bool, err error) {
	name := logName(l.generation)
	body, found, err := l.folder.Read(name)
	if err != nil {
		return true, ErrDisk.Wrap(err, "reading %s", name)
	}
	// The names that were there when the folder was opened were synced then.
	l.lasting[name] = found && !statemachine.Mutated("unsynced-opening")
	generation, rest, whole := readPrefix(body, logMagic)
	if !whole || generation != l.generation {
		if laterEntry(body, l.generation) {
			return true, ErrDamaged.New("%s is damaged at its beginning", name)
		}
		// The slot was synced but its log was not begun yet.
		return true, l.beginLog()
	}
	kept := len(body) - len(rest)
	continued := uint64(0)
	for len(rest) > 0 {
		entry, after, whole := readEntry(rest, generation)
		if !whole && continued > 0 {
			entry, after, whole = readEntry(rest, generation|continued)
		}
		if !whole {
			break
		}
		recovered.Entries = append(recovered.Entries, entry)
		kept = len(body) - len(after)
		rest, continued = after, continues
	}
	l.logSize = int64(kept)
	if len(rest) > 0 {
		if laterEntry(rest, generation) {
			return true, ErrDamaged.New("%s is damaged at byte %d", name, kept)
		}
		recovered.TornBytes = len(rest)
		if err := l.folder.Truncate(name, int64(kept)); err != nil {
			return true, ErrDisk.Wrap(err, "cutting %s", name)
		}
	}
	if statemachine.Mutated("unsynced-opening") {
		return len(rest) > 0, nil
	}
	return len(rest) > 0, l.sync(name)
}

// laterEntry tells a torn tail from damage: after a tail that a power cut tore
// no whole first entry of a batch can follow, as each batch is synced before the next
// begins.
func laterEntry(rest []byte, generation uint64) bool {
	for offset := 1; offset+entryHeader <= len(rest); offset++ {
		length := int64(binary.BigEndian.Uint32(rest[offset:]))
		if length == 0 || length > int64(len(rest)-offset-entryHeader) {
			continue
		}
		if _, _, whole := readEntry(rest[offset:], generation); whole {
			return true
		}
	}
	return false
}

func (l *Log) sync(name string) error {
	l.Syncs++
	if err := l.folder.Sync(name); err != nil {
		return ErrDisk.Wrap(err, "syncing %s", name)
	}
	return nil
}

// Append puts entries on the disk; they last when it returns without error.
// After an error it may be asked for again: what was written in part is cut first.
func (l *Log) Append(entries [][]byte) error {
	body := appendBatch(nil, l.generation, entries)
	name := logName(l.generation)
	if l.uncut {
		if err := l.folder.Truncate(name, l.logSize); err != nil {
			return ErrDisk.Wrap(err, "cutting %s", name)
		}
	}
	l.uncut = true
	if err := l.folder.Append(name, body); err != nil {
		return ErrDisk.Wrap(err, "appending to %s", name)
	}
	if err := l.sync(name); err != nil {
		return err
	}
	l.uncut = false
	l.logSize += int64(len(body))
	return nil
}

// LogSize is the size of the present log, by which an owner decides when to
// write a frame.
func (l *Log) LogSize() int64 {
	return l.logSize
}

// Checkpoint writes a frame that stands for all entries so far into the other
// slot and begins a new log after it.
func (l *Log) Checkpoint(frame []byte) error {
	generation := l.generation + 1
	body := appendEntry(seal(slotMagic, generation), generation, frame)
	name := slotName(generation)
	if err := l.folder.Create(name, body); err != nil {
		return ErrDisk.Wrap(err, "writing %s", name)
	}
	if err := l.sync(name); err != nil {
		return err
	}
	if err := l.nameLasts(name); err != nil {
		return err
	}
	l.generation, l.uncut = generation, false
	if err := l.beginLog(); err != nil {
		return err
	}
	// The log before the one that led here stands on a slot that is gone. Its name is
	// used again.
	earlier := logName(generation + 1)
	if !l.lasting[earlier] {
		return nil
	}
	if err := l.folder.Truncate(earlier, 0); err != nil {
		return ErrDisk.Wrap(err, "emptying %s", earlier)
	}
	return nil
}

func (l *Log) beginLog() error {
	prefix := seal(logMagic, l.generation)
	name := logName(l.generation)
	if err := l.folder.Create(name, prefix); err != nil {
		return ErrDisk.Wrap(err, "beginning %s", name)
	}
	l.logSize = int64(len(prefix))
	if err := l.sync(name); err != nil {
		return err
	}
	return l.nameLasts(name)
}

// nameLasts makes a name last that may not yet.
func (l *Log) nameLasts(name string) error {
	if l.lasting[name] || statemachine.Mutated("unsynced-names") {
		return nil
	}
	if err := l.syncFolder(); err != nil {
		return err
	}
	l.lasting[name] = true
	return nil
}

func (l *Log) syncFolder() error {
	l.Syncs++
	if err := l.folder.SyncFolder(); err != nil {
		return ErrDisk.Wrap(err, "syncing the folder")
	}
	return nil
}
