package transport

import (
	"encoding/binary"
	"math/bits"
)

// Batches to other zones are compressed, as bytes cost more there than the time
// it takes. A batch is small, a few hundred bytes, so that a format gains little
// that begins anew or sends its tables with each block. Here both ends of a
// connection have the same model, which goes on from batch to batch: repetitions
// within the last historyBytes are a length and a distance (LZ77), and all of it
// is written in adaptive Huffman codes, so that text in which nothing repeats
// still shrinks to its entropy.
//
// A compressed batch is the length of the body as a varint, and then bits, the
// most significant first: symbols of literals or matches, the low bits of a
// match's length, and for a match with a new distance the number of bits of the
// distance as a symbol and the distance without its highest bit.
const (
	// historyBytes is how far back a match may be; longer bodies are compressed
	// in blocks of that size.
	historyBytes = 8 << 10
	// maxCompressible is the longest body that is compressed.
	maxCompressible = 32 << 10

	// minMatch is the shortest match with a new distance, minRepeat that with
	// the last one, maxMatch the longest of both.
	minMatch  = 6
	minRepeat = 3
	maxMatch  = 255
	// goodMatch is the length of a repeat for which no other match is sought,
	// newDistanceCost what a new distance costs in bytes more than a repeat.
	goodMatch       = 16
	newDistanceCost = 2

	// Symbols below matchSymbols are literal bytes. Then come the slots of
	// lengths of matches with a new distance, then those with the last one.
	lengthSlots   = 13
	matchSymbols  = 256
	repeatSymbols = matchSymbols + lengthSlots
	symbolCount   = repeatSymbols + lengthSlots
	maxSymbolBits = 11

	// distanceSymbols are the numbers of bits that a distance may have.
	distanceSymbols = 14
	maxDistanceBits = 8

	// The codes are rebuilt after so many bytes, sooner at first.
	firstRebuild       = 512
	maxRebuildInterval = 4 << 10

	// What is expected of symbols before anything was seen.
	commonCount = 8
	rareCount   = 2

	hashBits       = 11
	hashMultiplier = 2654435761
)

// model is the state that both ends of a connection keep equal.
type model struct {
	// history has the last bytes, at least historyBytes of them if there were so
	// many.
	history []byte
	// lastDistance is that of the last match, 0 before there was one.
	lastDistance int
	symbols      huffman
	distances    huffman
	// seen counts bytes since the codes were rebuilt; they are at rebuildAt.
	seen      int
	rebuildAt int
}

func newModel() model {
	return model{
		history:   make([]byte, 0, 2*historyBytes),
		symbols:   newHuffman(symbolCount, maxSymbolBits, expectedSymbol),
		distances: newHuffman(distanceSymbols, maxDistanceBits, func(size int) uint32 { return uint32(1 + size) }),
		rebuildAt: firstRebuild,
	}
}

// expectedSymbol favours letters, digits and matches.
func expectedSymbol(symbol int) uint32 {
	switch {
	case symbol >= 'a' && symbol <= 'z', symbol >= '0' && symbol <= '9', symbol >= matchSymbols:
		return commonCount
	}
	return rareCount
}

// slide makes space for more bytes in the history by dropping old ones, and
// returns how many it dropped. Both ends do it at the same moments.
func (m *model) slide(more int) int {
	if len(m.history)+more <= cap(m.history) {
		return 0
	}
	dropped := max(0, len(m.history)-historyBytes)
	remaining := copy(m.history, m.history[dropped:])
	m.history = m.history[:remaining]
	return dropped
}

// learn rebuilds the codes once enough bytes were seen.
func (m *model) learn(more int) {
	m.seen += more
	if m.seen < m.rebuildAt {
		return
	}
	m.symbols.rebuild()
	m.distances.rebuild()
	m.seen, m.rebuildAt = 0, min(2*m.rebuildAt, maxRebuildInterval)
}

// Lengths below plainSlots have a slot each; a longer one has the slot of its
// number of bits, and all bits but the highest follow the slot.
const plainSlots = 8

// slotOf returns the slot of a length, and how many of its low bits follow.
func slotOf(length int) (slot, extraBits int) {
	if length < plainSlots {
		return length, 0
	}
	extraBits = bits.Len(uint(length)) - 1
	return plainSlots + extraBits - 3, extraBits
}

// slotBase returns the shortest length of a slot, and how many bits follow.
func slotBase(slot int) (base, extraBits int) {
	if slot < plainSlots {
		return slot, 0
	}
	extraBits = slot - plainSlots + 3
	return 1 << extraBits, extraBits
}

// compressor is the sending end.
type compressor struct {
	model
	// lastSeen has, by the hash of four bytes (hashOf), their last index in the
	// history, -1 for none. Only indexes that at least minMatch bytes follow are in it.
	lastSeen [1 << hashBits]int32
	// out is the batch being written; bits has bitCount low bits that aren't yet
	// in it.
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

// compress appends the compressed form of a body, of at most maxCompressible
// bytes.
func (c *compressor) compress(out, body []byte) []byte {
	c.out, c.bits, c.bitCount = binary.AppendUvarint(out, uint64(len(body))), 0, 0
	for len(body) > 0 {
		block := body[:min(len(body), historyBytes)]
		c.compressBlock(block)
		c.learn(len(block))
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

// compressBlock compresses bytes that fit into the history.
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

// match is a repetition of earlier bytes, none if its length is 0.
type match struct {
	length, distance int
	// repeat is set where the distance is that of the last match.
	repeat bool
}

// findMatch finds what to write for the bytes from an index on.
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

// writeMatch writes a match for the bytes from an index on, or one literal byte.
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

// writeLength writes a length over the shortest one, as symbols from a first on.
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

// matchLength returns how many bytes from two indexes on are equal; the earlier
// ones may run into the later ones.
func matchLength(history []byte, earlier, later int) int {
	length, longest := 0, min(len(history)-later, maxMatch)
	for length < longest && history[earlier+length] == history[later+length] {
		length++
	}
	return length
}

// hashOf returns the hash of the first four bytes.
func hashOf(body []byte) uint32 {
	return binary.LittleEndian.Uint32(body) * hashMultiplier >> (32 - hashBits)
}

// decompressor is the receiving end.
type decompressor struct {
	model
	// in is what is left of the batch being read; bits has bitCount low bits
	// taken from it. padding counts the zero bits read after its end.
	in       []byte
	bits     uint64
	bitCount int
	padding  int
}

func newDecompressor() *decompressor {
	return &decompressor{model: newModel()}
}

// decompress returns the body of a compressed batch. After an error the model
// differs from the sender's, so that the connection must be closed.
func (d *decompressor) decompress(compressed []byte) ([]byte, error) {
	length, size := binary.Uvarint(compressed)
	if size <= 0 || length == 0 || length > maxCompressible {
		return nil, ErrorFrame.New("body of %d bytes in a compressed batch is out of bounds", length)
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
		d.learn(block)
		body = append(body, d.history[start:]...)
		remaining -= block
	}
	// Less than a byte may be left over: the padding of the last one.
	if unread := bitsPerByte*len(d.in) + d.bitCount - d.padding; unread < 0 || unread >= bitsPerByte {
		return nil, ErrorFrame.New("a compressed batch is longer or shorter than its body")
	}
	return body, nil
}

// decompressBlock appends to the history up to a length.
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
			return ErrorFrame.New("a compressed batch refers to bytes that weren't sent")
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

// fill takes bits from the batch until there are so many; after its end they are
// zeros.
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
