package wal

import "fmt"

const (
	evenSlot = "slot-even"
	oddSlot  = "slot-odd"
	// logFiles is how many log files there are: the present one, the one before it, which
	// may be needed if the newest slot is damaged, and the one that is reused next.
	logFiles = 3
)

// slotName is the file of the snapshot of a generation.
func slotName(generation uint64) string {
	if generation%2 == 0 {
		return evenSlot
	}
	return oddSlot
}

// logName is the file of the entries after the snapshot of a generation.
func logName(generation uint64) string {
	return fmt.Sprintf("log-%d", generation%logFiles)
}

// slot is a snapshot file as it was found. One that is present but not valid is damaged
// or was being written when the power was lost.
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
