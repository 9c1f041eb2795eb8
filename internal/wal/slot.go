package wal

import "fmt"

const (
	evenSlot = "slot-even"
	oddSlot  = "slot-odd"
	// logFiles is the number of log files: the current one, the previous one, which may be needed
	// if the newest slot is damaged, and the one that is reused next.
	logFiles = 3
)

// slotName returns the name of the file with the snapshot of a generation.
func slotName(generation uint64) string {
	if generation%2 == 0 {
		return evenSlot
	}
	return oddSlot
}

// logName returns the name of the file with the entries after the snapshot of a generation.
func logName(generation uint64) string {
	return fmt.Sprintf("log-%d", generation%logFiles)
}

// slot is the content of a snapshot file. A slot that is present but not valid is damaged, or was
// being written when the power was lost.
type slot struct {
	present, valid bool
	generation     uint64
	snapshot       []byte
}

func readSlot(folder Folder, name string) (slot, error) {
	body, found, err := folder.Read(name)
	if err != nil {
		return slot{}, ErrDisk.Wrap(err, "reading %s", name)
	}
	if !found {
		return slot{}, nil
	}
	generation, rest, valid := readFileHeader(body, slotMagic)
	if !valid {
		return slot{present: true}, nil
	}
	snapshot, rest, valid := readRecord(rest, generation)
	if !valid || len(rest) != 0 || slotName(generation) != name {
		return slot{present: true}, nil
	}
	return slot{
		present:    true,
		valid:      true,
		generation: generation,
		snapshot:   snapshot,
	}, nil
}
