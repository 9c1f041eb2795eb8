package wal

import (
	"encoding/binary"
	"hash/crc32"

	"dahlialock/internal/statemachine"
)

// MaxEntrySize is the maximum size of one entry or snapshot in bytes. Append and Checkpoint do
// not check it; Open treats a longer record as invalid.
const MaxEntrySize = 1 << 30

const (
	slotMagic = "dlslot01"
	logMagic  = "dllog001"
	// fileHeaderSize is the size of a file's magic number and generation. recordHeaderSize is the
	// size of a record's length and checksum.
	fileHeaderSize   = 16
	recordHeaderSize = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// fileHeader encodes the header of a file.
func fileHeader(magic string, generation uint64) []byte {
	header := make([]byte, fileHeaderSize, fileHeaderSize+recordHeaderSize)
	copy(header, magic)
	binary.BigEndian.PutUint64(header[8:], generation)
	return header
}

// readFileHeader returns the generation of a file and the bytes after its header.
func readFileHeader(body []byte, magic string) (generation uint64, rest []byte, valid bool) {
	if len(body) < fileHeaderSize || string(body[:8]) != magic {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(body[8:]), body[fileHeaderSize:], true
}

// continuation is a bit of the generation that a record's checksum covers. It is set for all
// records of a batch except the first. A batch is written at once and may be torn at any byte: a later record may be
// valid although the first is not, and must not be mistaken for the beginning of another batch
// (see hasLaterBatch).
const continuation = 1 << 63

// appendBatch appends the encoded entries of one Append to body.
func appendBatch(body []byte, generation uint64, entries [][]byte) []byte {
	for position, entry := range entries {
		if position > 0 && !statemachine.Mutated("one-checksum") {
			generation |= continuation
		}
		body = appendRecord(body, generation, entry)
	}
	return body
}

func appendRecord(body []byte, generation uint64, payload []byte) []byte {
	var header [recordHeaderSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(payload)))
	binary.BigEndian.PutUint32(header[4:], checksum(generation, payload))
	body = append(body, header[:]...)
	return append(body, payload...)
}

// readRecord decodes the record at the beginning of body.
func readRecord(body []byte, generation uint64) (payload, rest []byte, valid bool) {
	if len(body) < recordHeaderSize {
		return nil, nil, false
	}
	length := int64(binary.BigEndian.Uint32(body))
	if length > MaxEntrySize || int64(len(body)) < recordHeaderSize+length {
		return nil, nil, false
	}
	payload = body[recordHeaderSize : recordHeaderSize+length]
	if binary.BigEndian.Uint32(body[4:]) != checksum(generation, payload) {
		return nil, nil, false
	}
	return payload, body[recordHeaderSize+length:], true
}

func checksum(generation uint64, payload []byte) uint32 {
	var prefix [12]byte
	binary.BigEndian.PutUint64(prefix[:], generation)
	binary.BigEndian.PutUint32(prefix[8:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, payload)
}
