// Compression of turns between zones, where bytes cost more than the time
// it takes. A turn is small, a few hundred bytes, so that a format which begins
// anew or sends its tables with each block gains little: here both ends of a
// connection keep the same model, which goes on from turn to turn. What occurred
// lately is named by length and distance (LZ77 over a window of 8 KiB), and all
// of it is written in Huffman codes made from what was seen before: text in which
// nothing repeats still shrinks to its entropy. Both ends make the codes anew
// after the same bytes, so that no table is ever sent.

package transport

import (
	"encoding/binary"
	"math/bits"
	"slices"
)

const (
	historyBytes  = 8 << 10
	maxCompressible    = 32 << 10
	hashBits    = 11
	minMatch  = 6
	minRepeat = 3
	maxMatch  = 255

	// The symbols of the first alphabet are bytes, then slots of lengths with a
	// new distance, then slots of lengths with the distance used last.
	slotCount   = 13
	matchSymbols  = 256
	repeatSymbols = matchSymbols + slotCount
	symbolCount = repeatSymbols + slotCount
	distanceSymbols   = 14

	maxSymbolBits = 11
	maxDistanceBits   = 8

	// Codes are made anew after so many bytes, sooner at first.
	firstRebuild = 512
	maxRebuildInterval  = 4 << 10
)

// huffman is how often each symbol was seen, and the codes made from that.
type huffman struct {
	maxBits  int
	counts []uint32
	codes  []uint16
	lengths  []uint8
	// decodeTable names, for the next limit bits, the symbol and the size of its code.
	decodeTable []uint16
}

func newHuffman(symbols, limit int, seen func(symbol int) uint32) huffman {
	made := huffman{
		maxBits: limit, counts: make([]uint32, symbols), codes: make([]uint16, symbols), lengths: make([]uint8, symbols),
		decodeTable: make([]uint16, 1<<limit),
	}
	for symbol := range made.counts {
		made.counts[symbol] = seen(symbol)
	}
	made.rebuild()
	return made
}

// rebuild makes the codes from the counts, which it then lets fade. Every symbol
// keeps a code.
func (a *huffman) rebuild() {
	a.assignLengths()
	code := uint16(0)
	for size := uint8(1); int(size) <= a.maxBits; size++ {
		for symbol, own := range a.lengths {
			if own != size {
				continue
			}
			a.codes[symbol] = code
			from := int(code) << (a.maxBits - int(size))
			for position := range 1 << (a.maxBits - int(size)) {
				a.decodeTable[from+position] = uint16(symbol)<<4 | uint16(size)
			}
			code++
		}
		code <<= 1
	}
	for symbol, count := range a.counts {
		a.counts[symbol] = count>>1 | 1
	}
}

// assignLengths finds the sizes of the best codes for the counts, by merging the two
// rarest over and over, and has none of them over the limit.
func (a *huffman) assignLengths() {
	var (
		orders  [symbolCount]uint64
		weights [2 * symbolCount]uint32
		parents [2 * symbolCount]uint16
		depths  [2 * symbolCount]uint8
	)
	order := orders[:len(a.counts)]
	for symbol, count := range a.counts {
		order[symbol] = uint64(count)<<16 | uint64(symbol)
	}
	slices.Sort(order)
	leaves := len(order)
	for position, each := range order {
		weights[position] = uint32(each >> 16)
	}
	leaf, inner := 0, leaves
	for made := leaves; made < 2*leaves-1; made++ {
		for range 2 {
			rarest := &inner
			if leaf < leaves && (inner >= made || weights[leaf] <= weights[inner]) {
				rarest = &leaf
			}
			weights[made] += weights[*rarest]
			parents[*rarest] = uint16(made)
			*rarest++
		}
	}
	var bySize [64]int
	for position := 2*leaves - 3; position >= 0; position-- {
		depths[position] = depths[parents[position]] + 1
		if position < leaves {
			bySize[min(int(depths[position]), a.maxBits)]++
		}
	}
	// Codes that were cut to the limit take room, which others give by growing.
	room := 0
	for size := 1; size <= a.maxBits; size++ {
		room += bySize[size] << (a.maxBits - size)
	}
	for ; room > 1<<a.maxBits; room-- {
		bySize[a.maxBits]--
		for size := a.maxBits - 1; size > 0; size-- {
			if bySize[size] > 0 {
				bySize[size]--
				bySize[size+1] += 2
				break
			}
		}
	}
	position := 0
	for size := a.maxBits; size > 0; size-- {
		for range bySize[size] {
			a.lengths[order[position]&0xffff] = uint8(size)
			position++
		}
	}
}

// model is what both ends know.
type model struct {
	history   []byte
	lastDistance int
	symbols  huffman
	distances    huffman
	rebuildAt  int
	seen     int
}

func newModel() model {
	return model{
		history: make([]byte, 0, 2*historyBytes), rebuildAt: firstRebuild,
		symbols: newHuffman(symbolCount, maxSymbolBits, func(symbol int) uint32 {
			switch {
			case symbol >= 'a' && symbol <= 'z', symbol >= '0' && symbol <= '9', symbol >= matchSymbols:
				return 8
			}
			return 2
		}),
		distances: newHuffman(distanceSymbols, maxDistanceBits, func(size int) uint32 { return uint32(1 + size) }),
	}
}

// slide keeps the newest part of the window once it has grown; it tells how many
// bytes went. Both ends do it at the same moments.
func (m *model) slide(more int) int {
	if len(m.history)+more <= cap(m.history) {
		return 0
	}
	gone := max(0, len(m.history)-historyBytes)
	kept := copy(m.history, m.history[gone:])
	m.history = m.history[:kept]
	return gone
}

// learn makes codes anew once enough was seen.
func (m *model) learn(more int) {
	m.seen += more
	if m.seen < m.rebuildAt {
		return
	}
	m.symbols.rebuild()
	m.distances.rebuild()
	m.seen, m.rebuildAt = 0, min(2*m.rebuildAt, maxRebuildInterval)
}

// slotOf gives a length's slot, and how many of its low bits follow.
func slotOf(length int) (slot, extra int) {
	if length < 8 {
		return length, 0
	}
	extra = bits.Len(uint(length)) - 1
	return 8 + extra - 3, extra
}

func lengthOf(slot int) (least, extra int) {
	if slot < 8 {
		return slot, 0
	}
	extra = slot - 8 + 3
	return 1 << extra, extra
}

// compressor is the sending end.
type compressor struct {
	model
	lastSeen  [1 << hashBits]int32
	out    []byte
	bits   uint64
	bitCount int
}

func newCompressor() *compressor {
	made := &compressor{model: newModel()}
	for position := range made.lastSeen {
		made.lastSeen[position] = -1
	}
	return made
}

// compress appends the packed form of a body to out.
func (p *compressor) compress(out, body []byte) []byte {
	p.out, p.bits, p.bitCount = binary.AppendUvarint(out, uint64(len(body))), 0, 0
	for len(body) > 0 {
		piece := body[:min(len(body), historyBytes)]
		p.compressBlock(piece)
		p.learn(len(piece))
		body = body[len(piece):]
	}
	if p.bitCount > 0 {
		p.out = append(p.out, byte(p.bits<<(8-p.bitCount)))
	}
	done := p.out
	p.out = nil
	return done
}

// compressBlock packs bytes that fit into the window besides what it keeps.
func (p *compressor) compressBlock(piece []byte) {
	if gone := int32(p.slide(len(piece))); gone > 0 {
		for position, head := range p.lastSeen {
			p.lastSeen[position] = max(-1, head-gone)
		}
	}
	at := len(p.history)
	p.history = append(p.history, piece...)
	whole := p.history
	for at < len(whole) {
		length, repeat, distance := 0, false, 0
		if p.lastDistance > 0 && p.lastDistance <= at {
			if length = matchLength(whole, at-p.lastDistance, at); length >= minRepeat {
				repeat = true
			} else {
				length = 0
			}
		}
		if length < 16 && at+minMatch <= len(whole) {
			if head := int(p.lastSeen[hashOf(whole[at:])]); head >= 0 && head < at && at-head <= historyBytes {
				// A new distance takes some two bytes more than the one used last.
				if found := matchLength(whole, head, at); found >= minMatch && found > length+2 {
					length, repeat, distance = found, false, at-head
				}
			}
		}
		switch {
		case length == 0:
			p.writeSymbol(&p.symbols, int(whole[at]))
			length = 1
		case repeat:
			p.writeLength(repeatSymbols, length-minRepeat)
		default:
			p.writeLength(matchSymbols, length-minMatch)
			size := bits.Len(uint(distance)) - 1
			p.writeSymbol(&p.distances, size)
			p.writeBits(uint64(distance)&(1<<size-1), size)
			p.lastDistance = distance
		}
		for end := at + length; at < end; at++ {
			if at+minMatch <= len(whole) {
				p.lastSeen[hashOf(whole[at:])] = int32(at)
			}
		}
	}
}

func (p *compressor) writeLength(first, length int) {
	slot, extra := slotOf(length)
	p.writeSymbol(&p.symbols, first+slot)
	p.writeBits(uint64(length)&(1<<extra-1), extra)
}

func (p *compressor) writeSymbol(from *huffman, symbol int) {
	from.counts[symbol]++
	p.writeBits(uint64(from.codes[symbol]), int(from.lengths[symbol]))
}

func (p *compressor) writeBits(value uint64, count int) {
	p.bits = p.bits<<count | value
	p.bitCount += count
	for p.bitCount >= 8 {
		p.bitCount -= 8
		p.out = append(p.out, byte(p.bits>>p.bitCount))
	}
}

// matchLength is how many bytes from two places on are the same; the earlier may run
// into the later.
func matchLength(whole []byte, earlier, later int) int {
	length, most := 0, min(len(whole)-later, maxMatch)
	for length < most && whole[earlier+length] == whole[later+length] {
		length++
	}
	return length
}

func hashOf(body []byte) uint32 {
	return binary.LittleEndian.Uint32(body) * 2654435761 >> (32 - hashBits)
}

// decompressor is the receiving end.
type decompressor struct {
	model
	in     []byte
	bits   uint64
	bitCount int
	padding   int
}

func newDecompressor() *decompressor {
	return &decompressor{model: newModel()}
}

// decompress gives what a body was packed from; it holds until the next call. After
// an error nothing more that comes on the connection can be read.
func (u *decompressor) decompress(packed []byte) ([]byte, error) {
	length, size := binary.Uvarint(packed)
	if size <= 0 || length == 0 || length > maxCompressible {
		return nil, ErrorFrame.New("a packed turn of %d bytes", length)
	}
	u.in, u.bits, u.bitCount, u.padding = packed[size:], 0, 0, 0
	body := make([]byte, 0, length)
	for left := int(length); left > 0; {
		piece := min(left, historyBytes)
		u.slide(piece)
		at := len(u.history)
		if err := u.decompressBlock(at + piece); err != nil {
			return nil, err
		}
		u.learn(piece)
		body = append(body, u.history[at:]...)
		left -= piece
	}
	if left := 8*len(u.in) + u.bitCount - u.padding; left < 0 || left >= 8 {
		return nil, ErrorFrame.New("a packed turn of another length")
	}
	return body, nil
}

// decompressBlock fills the window up to an end.
func (u *decompressor) decompressBlock(end int) error {
	for len(u.history) < end {
		symbol := u.readSymbol(&u.symbols)
		if symbol < matchSymbols {
			u.history = append(u.history, byte(symbol))
			continue
		}
		length := 0
		if symbol < repeatSymbols {
			length = u.readLength(symbol-matchSymbols) + minMatch
			size := u.readSymbol(&u.distances)
			u.lastDistance = 1<<size | int(u.readBits(size))
		} else {
			length = u.readLength(symbol-repeatSymbols) + minRepeat
		}
		if u.lastDistance == 0 || u.lastDistance > len(u.history) || length > end-len(u.history) {
			return ErrorFrame.New("a packed turn names what was not there")
		}
		for range length {
			u.history = append(u.history, u.history[len(u.history)-u.lastDistance])
		}
	}
	return nil
}

func (u *decompressor) readLength(slot int) int {
	least, extra := lengthOf(slot)
	return least | int(u.readBits(extra))
}

// fill has some bits ready; after the end of what came they are zeros, which
// are counted.
func (u *decompressor) fill(count int) {
	for u.bitCount < count {
		next := byte(0)
		if len(u.in) > 0 {
			next, u.in = u.in[0], u.in[1:]
		} else {
			u.padding += 8
		}
		u.bits, u.bitCount = u.bits<<8|uint64(next), u.bitCount+8
	}
}

func (u *decompressor) readSymbol(from *huffman) int {
	u.fill(from.maxBits)
	entry := from.decodeTable[u.bits>>(u.bitCount-from.maxBits)&(1<<from.maxBits-1)]
	u.bitCount -= int(entry & 15)
	symbol := int(entry >> 4)
	from.counts[symbol]++
	return symbol
}

func (u *decompressor) readBits(count int) uint64 {
	u.fill(count)
	u.bitCount -= count
	return u.bits >> u.bitCount & (1<<count - 1)
}
