package transport

import (
	"encoding/binary"
	"math/bits"
)

// Batches to other zones are compressed because traffic between zones costs more
// than the processor time for compression. A batch is small, a few hundred bytes, so
// a format that starts from an empty state or sends its code tables with each block
// would save little. In this format, both ends of a connection maintain the same
// model across batches. Repetitions within the last historyBytes are encoded as a
// length and a distance (LZ77), and all symbols are written in adaptive Huffman
// codes, so that text without repetitions still shrinks to its entropy.
//
// A compressed batch consists of the length of the body as a varint, followed by a
// bit stream, the most significant bit first. Each element of the stream is a
// literal or a match. A match is the symbol of its length slot and the low bits of
// its length. If it has a new distance, a symbol for the number of bits of the
// distance and the distance without its highest bit follow.
const (
	// historyBytes is the maximum distance of a match; longer bodies are compressed
	// in blocks of that size.
	historyBytes = 8 << 10
	// maxCompressible is the longest body that is compressed.
	maxCompressible = 32 << 10

	// minMatch is the minimum length of a match with a new distance, minRepeat of a
	// match with the last distance. maxMatch is the maximum length of both.
	minMatch  = 6
	minRepeat = 3
	maxMatch  = 255
	// goodMatch is the length from which on a match with the last distance is used
	// without looking for another one. newDistanceCost is the additional cost in bytes
	// of a match with a new distance.
	goodMatch       = 16
	newDistanceCost = 2

	// Symbols below matchSymbols are literal bytes. They are followed by the length
	// slots of matches with a new distance, and then by those of matches with the last
	// distance.
	lengthSlots   = 13
	matchSymbols  = 256
	repeatSymbols = matchSymbols + lengthSlots
	symbolCount   = repeatSymbols + lengthSlots
	maxSymbolBits = 11

	// distanceSymbols is the size of the alphabet for the number of bits of a distance.
	distanceSymbols = 14
	maxDistanceBits = 8

	// The codes are rebuilt after firstRebuild bytes; the interval then doubles up to
	// maxRebuildInterval bytes.
	firstRebuild       = 512
	maxRebuildInterval = 4 << 10

	// The initial counts of symbols (see initialSymbolCount).
	commonCount = 8
	rareCount   = 2

	hashBits       = 11
	hashMultiplier = 2654435761
)

// model is the compression state, which is identical at both ends of a connection.
type model struct {
	// history has the most recent bytes: at least the last historyBytes, if there
	// were so many.
	history []byte
	// lastDistance is the distance of the last match, 0 before the first match.
	lastDistance int
	symbols      huffman
	distances    huffman
	// bytesSinceRebuild counts bytes since the codes were last rebuilt. The codes are
	// rebuilt again when it reaches rebuildAt.
	bytesSinceRebuild int
	rebuildAt         int
}

func newModel() model {
	return model{
		history:   make([]byte, 0, 2*historyBytes),
		symbols:   newHuffman(symbolCount, maxSymbolBits, initialSymbolCount),
		distances: newHuffman(distanceSymbols, maxDistanceBits, func(size int) uint32 { return uint32(1 + size) }),
		rebuildAt: firstRebuild,
	}
}

// initialSymbolCount returns the initial count of a symbol. It is higher for lowercase
// letters, digits and matches.
func initialSymbolCount(symbol int) uint32 {
	switch {
	case symbol >= 'a' && symbol <= 'z', symbol >= '0' && symbol <= '9', symbol >= matchSymbols:
		return commonCount
	}
	return rareCount
}

// slide makes space for more bytes in the history by dropping old ones, and
// returns how many it dropped. Both ends call it at the same positions of the stream.
func (m *model) slide(more int) int {
	if len(m.history)+more <= cap(m.history) {
		return 0
	}
	dropped := max(0, len(m.history)-historyBytes)
	remaining := copy(m.history, m.history[dropped:])
	m.history = m.history[:remaining]
	return dropped
}

// rebuildIfDue counts processed bytes, and rebuilds the codes when that is due.
func (m *model) rebuildIfDue(more int) {
	m.bytesSinceRebuild += more
	if m.bytesSinceRebuild < m.rebuildAt {
		return
	}
	m.symbols.rebuild()
	m.distances.rebuild()
	m.bytesSinceRebuild, m.rebuildAt = 0, min(2*m.rebuildAt, maxRebuildInterval)
}

// Each length below plainSlots has a slot of its own. Longer lengths share the slot of
// their number of bits, which is followed by all bits of the length but the highest.
const plainSlots = 8

// slotOf returns the slot of a length, and how many low bits of the length follow the
// slot.
func slotOf(length int) (slot, extraBits int) {
	if length < plainSlots {
		return length, 0
	}
	extraBits = bits.Len(uint(length)) - 1
	return plainSlots + extraBits - 3, extraBits
}

// slotBase returns the smallest length of a slot, and how many bits follow the slot.
func slotBase(slot int) (base, extraBits int) {
	if slot < plainSlots {
		return slot, 0
	}
	extraBits = slot - plainSlots + 3
	return 1 << extraBits, extraBits
}

// compressor compresses batches at the sending end of a connection.
type compressor struct {
	model
	// lastSeen maps the hash of four bytes (hashOf) to the last index in the history
	// at which they occurred, -1 for none. It only has indexes from which on there are
	// at least minMatch bytes.
	lastSeen [1 << hashBits]int32
	// out is the batch being written. The lowest bitCount bits of bits aren't written to
	// it yet.
	out      []byte
	bits     uint64
	bitCount int
}

func newCompressor() *compressor {
	made := &compressor{model: newModel()}
	for index := range made.lastSeen {
		made.lastSeen[index] = -1
	}
	return made
}

// compress appends the compressed form of a body to out. The body has at most
// maxCompressible bytes.
func (c *compressor) compress(out, body []byte) []byte {
	c.out, c.bits, c.bitCount = binary.AppendUvarint(out, uint64(len(body))), 0, 0
	for len(body) > 0 {
		block := body[:min(len(body), historyBytes)]
		c.compressBlock(block)
		c.rebuildIfDue(len(block))
		body = body[len(block):]
	}
	if c.bitCount > 0 {
		c.out = append(c.out, byte(c.bits<<(bitsPerByte-c.bitCount)))
	}
	compressed := c.out
	c.out = nil
	return compressed
}

const bitsPerByte = 8

// compressBlock compresses a block of at most historyBytes.
func (c *compressor) compressBlock(block []byte) {
	if dropped := int32(c.slide(len(block))); dropped > 0 {
		for hash, index := range c.lastSeen {
			c.lastSeen[hash] = max(-1, index-dropped)
		}
	}
	at := len(c.history)
	c.history = append(c.history, block...)
	history := c.history
	for at < len(history) {
		found := c.findMatch(at)
		c.writeMatch(at, found)
		for end := at + max(found.length, 1); at < end; at++ {
			if at+minMatch <= len(history) {
				c.lastSeen[hashOf(history[at:])] = int32(at)
			}
		}
	}
}

// match is a repetition of earlier bytes. The length is 0 if there is none.
type match struct {
	length, distance int
	// repeat is set if the distance is that of the previous match.
	repeat bool
}

// findMatch returns the match to write for the bytes at an index, with the length 0 for
// a literal.
func (c *compressor) findMatch(at int) match {
	history := c.history
	var found match
	if c.lastDistance > 0 && c.lastDistance <= at {
		length := matchLength(history, at-c.lastDistance, at)
		if length >= minRepeat {
			found = match{length: length, distance: c.lastDistance, repeat: true}
		}
	}
	if found.length >= goodMatch || at+minMatch > len(history) {
		return found
	}
	earlier := int(c.lastSeen[hashOf(history[at:])])
	if earlier < 0 || earlier >= at || at-earlier > historyBytes {
		return found
	}
	length := matchLength(history, earlier, at)
	if length >= minMatch && length > found.length+newDistanceCost {
		return match{length: length, distance: at - earlier}
	}
	return found
}

// writeMatch writes a match, or the literal byte at an index if there is no match.
func (c *compressor) writeMatch(at int, found match) {
	switch {
	case found.length == 0:
		c.writeSymbol(&c.symbols, int(c.history[at]))
	case found.repeat:
		c.writeLength(repeatSymbols, found.length-minRepeat)
	default:
		c.writeLength(matchSymbols, found.length-minMatch)
		size := bits.Len(uint(found.distance)) - 1
		c.writeSymbol(&c.distances, size)
		c.writeBits(uint64(found.distance)&(1<<size-1), size)
		c.lastDistance = found.distance
	}
}

// writeLength writes the length of a match, of which the minimum length was
// subtracted. firstSymbol is the symbol of the first length slot.
func (c *compressor) writeLength(firstSymbol, length int) {
	slot, extraBits := slotOf(length)
	c.writeSymbol(&c.symbols, firstSymbol+slot)
	c.writeBits(uint64(length)&(1<<extraBits-1), extraBits)
}

func (c *compressor) writeSymbol(code *huffman, symbol int) {
	code.counts[symbol]++
	c.writeBits(uint64(code.codes[symbol]), int(code.lengths[symbol]))
}

func (c *compressor) writeBits(value uint64, count int) {
	c.bits = c.bits<<count | value
	c.bitCount += count
	for c.bitCount >= bitsPerByte {
		c.bitCount -= bitsPerByte
		c.out = append(c.out, byte(c.bits>>c.bitCount))
	}
}

// matchLength returns how many bytes at two indexes are equal, up to maxMatch. The two
// ranges may overlap.
func matchLength(history []byte, earlier, later int) int {
	length, longest := 0, min(len(history)-later, maxMatch)
	for length < longest && history[earlier+length] == history[later+length] {
		length++
	}
	return length
}

// hashOf returns the hash of the first four bytes of a slice.
func hashOf(body []byte) uint32 {
	return binary.LittleEndian.Uint32(body) * hashMultiplier >> (32 - hashBits)
}

// decompressor decompresses batches at the receiving end of a connection.
type decompressor struct {
	model
	// in is the unread rest of the current batch. The lowest bitCount bits of bits were
	// taken from it, but not used yet. padding counts the zero bits that were added
	// after its end.
	in       []byte
	bits     uint64
	bitCount int
	padding  int
}

func newDecompressor() *decompressor {
	return &decompressor{model: newModel()}
}

// decompress returns the body of a compressed batch. After an error, the model
// differs from the sender's, so the connection must be closed.
func (d *decompressor) decompress(compressed []byte) ([]byte, error) {
	length, size := binary.Uvarint(compressed)
	if size <= 0 || length == 0 || length > maxCompressible {
		return nil, ErrorFrame.New("decompressed size of %d bytes of a compressed batch is out of range", length)
	}
	d.in, d.bits, d.bitCount, d.padding = compressed[size:], 0, 0, 0
	body := make([]byte, 0, length)
	for remaining := int(length); remaining > 0; {
		block := min(remaining, historyBytes)
		d.slide(block)
		start := len(d.history)
		if err := d.decompressBlock(start + block); err != nil {
			return nil, err
		}
		d.rebuildIfDue(block)
		body = append(body, d.history[start:]...)
		remaining -= block
	}
	// At most seven bits may be left over: the padding of the last byte.
	if unread := bitsPerByte*len(d.in) + d.bitCount - d.padding; unread < 0 || unread >= bitsPerByte {
		return nil, ErrorFrame.New("compressed batch is truncated or has trailing bytes")
	}
	return body, nil
}

// decompressBlock appends decompressed bytes to the history until it has the length
// end.
func (d *decompressor) decompressBlock(end int) error {
	for len(d.history) < end {
		symbol := d.readSymbol(&d.symbols)
		if symbol < matchSymbols {
			d.history = append(d.history, byte(symbol))
			continue
		}
		var length int
		if symbol < repeatSymbols {
			length = d.readLength(symbol-matchSymbols) + minMatch
			size := d.readSymbol(&d.distances)
			d.lastDistance = 1<<size | int(d.readBits(size))
		} else {
			length = d.readLength(symbol-repeatSymbols) + minRepeat
		}
		if d.lastDistance == 0 || d.lastDistance > len(d.history) || length > end-len(d.history) {
			return ErrorFrame.New("distance or length of a match in a compressed batch is out of range")
		}
		for range length {
			d.history = append(d.history, d.history[len(d.history)-d.lastDistance])
		}
	}
	return nil
}

func (d *decompressor) readLength(slot int) int {
	base, extraBits := slotBase(slot)
	return base | int(d.readBits(extraBits))
}

// fill takes bytes from the batch until at least count bits are available. After the
// end of the batch it adds zeros.
func (d *decompressor) fill(count int) {
	for d.bitCount < count {
		next := byte(0)
		if len(d.in) > 0 {
			next, d.in = d.in[0], d.in[1:]
		} else {
			d.padding += bitsPerByte
		}
		d.bits, d.bitCount = d.bits<<bitsPerByte|uint64(next), d.bitCount+bitsPerByte
	}
}

func (d *decompressor) readSymbol(code *huffman) int {
	d.fill(code.maxBits)
	entry := code.decodeTable[d.bits>>(d.bitCount-code.maxBits)&(1<<code.maxBits-1)]
	d.bitCount -= int(entry & entryLengthMask)
	symbol := int(entry >> entryLengthBits)
	code.counts[symbol]++
	return symbol
}

func (d *decompressor) readBits(count int) uint64 {
	d.fill(count)
	d.bitCount -= count
	return d.bits >> d.bitCount & (1<<count - 1)
}
