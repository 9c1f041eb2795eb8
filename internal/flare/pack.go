// Compression of turns between localities, where bytes cost more than the time
// it takes. A turn is small, a few hundred bytes, so that a format which begins
// anew or sends its tables with each block gains little: here both ends of a
// connection keep the same model, which goes on from turn to turn. What occurred
// lately is named by length and distance (LZ77 over a window of 8 KiB), and all
// of it is written in Huffman codes made from what was seen before: text in which
// nothing repeats still shrinks to its entropy. Both ends make the codes anew
// after the same bytes, so that no table is ever sent.
package flare

import (
	"encoding/binary"
	"math/bits"
	"slices"
)

const (
	windowMost  = 8 << 10
	packMost    = 32 << 10
	hashBits    = 11
	matchLeast  = 6
	repeatLeast = 3
	lengthMost  = 255

	// The symbols of the first alphabet are bytes, then slots of lengths with a
	// new distance, then slots of lengths with the distance used last.
	slotCount   = 13
	firstMatch  = 256
	firstRepeat = firstMatch + slotCount
	symbolCount = firstRepeat + slotCount
	sizeCount   = 14

	symbolBits = 11
	sizeBits   = 8

	// Codes are made anew after so many bytes, sooner at first.
	renewFirst = 512
	renewMost  = 4 << 10
)

// alphabet is how often each symbol was seen, and the codes made from that.
type alphabet struct {
	limit  int
	counts []uint32
	codes  []uint16
	sizes  []uint8
	// table names, for the next limit bits, the symbol and the size of its code.
	table []uint16
}

func newAlphabet(symbols, limit int, seen func(symbol int) uint32) alphabet {
	made := alphabet{
		limit: limit, counts: make([]uint32, symbols), codes: make([]uint16, symbols), sizes: make([]uint8, symbols),
		table: make([]uint16, 1<<limit),
	}
	for symbol := range made.counts {
		made.counts[symbol] = seen(symbol)
	}
	made.renew()
	return made
}

// renew makes the codes from the counts, which it then lets fade. Every symbol
// keeps a code.
func (alphabet *alphabet) renew() {
	alphabet.measure()
	code := uint16(0)
	for size := uint8(1); int(size) <= alphabet.limit; size++ {
		for symbol, own := range alphabet.sizes {
			if own != size {
				continue
			}
			alphabet.codes[symbol] = code
			from := int(code) << (alphabet.limit - int(size))
			for position := range 1 << (alphabet.limit - int(size)) {
				alphabet.table[from+position] = uint16(symbol)<<4 | uint16(size)
			}
			code++
		}
		code <<= 1
	}
	for symbol, count := range alphabet.counts {
		alphabet.counts[symbol] = count>>1 | 1
	}
}

// measure finds the sizes of the best codes for the counts, by merging the two
// rarest over and over, and has none of them over the limit.
func (alphabet *alphabet) measure() {
	var (
		orders  [symbolCount]uint64
		weights [2 * symbolCount]uint32
		parents [2 * symbolCount]uint16
		depths  [2 * symbolCount]uint8
	)
	order := orders[:len(alphabet.counts)]
	for symbol, count := range alphabet.counts {
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
			bySize[min(int(depths[position]), alphabet.limit)]++
		}
	}
	// Codes that were cut to the limit take room, which others give by growing.
	room := 0
	for size := 1; size <= alphabet.limit; size++ {
		room += bySize[size] << (alphabet.limit - size)
	}
	for ; room > 1<<alphabet.limit; room-- {
		bySize[alphabet.limit]--
		for size := alphabet.limit - 1; size > 0; size-- {
			if bySize[size] > 0 {
				bySize[size]--
				bySize[size+1] += 2
				break
			}
		}
	}
	position := 0
	for size := alphabet.limit; size > 0; size-- {
		for range bySize[size] {
			alphabet.sizes[order[position]&0xffff] = uint8(size)
			position++
		}
	}
}

// model is what both ends know.
type model struct {
	window   []byte
	repeated int
	symbols  alphabet
	sizes    alphabet
	renewAt  int
	seen     int
}

func newModel() model {
	return model{
		window: make([]byte, 0, 2*windowMost), renewAt: renewFirst,
		symbols: newAlphabet(symbolCount, symbolBits, func(symbol int) uint32 {
			switch {
			case symbol >= 'a' && symbol <= 'z', symbol >= '0' && symbol <= '9', symbol >= firstMatch:
				return 8
			}
			return 2
		}),
		sizes: newAlphabet(sizeCount, sizeBits, func(size int) uint32 { return uint32(1 + size) }),
	}
}

// slide keeps the newest part of the window once it has grown; it tells how many
// bytes went. Both ends do it at the same moments.
func (model *model) slide(more int) int {
	if len(model.window)+more <= cap(model.window) {
		return 0
	}
	gone := max(0, len(model.window)-windowMost)
	kept := copy(model.window, model.window[gone:])
	model.window = model.window[:kept]
	return gone
}

// learn makes codes anew once enough was seen.
func (model *model) learn(more int) {
	model.seen += more
	if model.seen < model.renewAt {
		return
	}
	model.symbols.renew()
	model.sizes.renew()
	model.seen, model.renewAt = 0, min(2*model.renewAt, renewMost)
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

// packer is the sending end.
type packer struct {
	model
	heads  [1 << hashBits]int32
	out    []byte
	bits   uint64
	filled int
}

func newPacker() *packer {
	made := &packer{model: newModel()}
	for position := range made.heads {
		made.heads[position] = -1
	}
	return made
}

// pack appends the packed form of a body to out.
func (packer *packer) pack(out, body []byte) []byte {
	packer.out, packer.bits, packer.filled = binary.AppendUvarint(out, uint64(len(body))), 0, 0
	for len(body) > 0 {
		piece := body[:min(len(body), windowMost)]
		packer.piece(piece)
		packer.learn(len(piece))
		body = body[len(piece):]
	}
	if packer.filled > 0 {
		packer.out = append(packer.out, byte(packer.bits<<(8-packer.filled)))
	}
	done := packer.out
	packer.out = nil
	return done
}

// piece packs bytes that fit into the window besides what it keeps.
func (packer *packer) piece(piece []byte) {
	if gone := int32(packer.slide(len(piece))); gone > 0 {
		for position, head := range packer.heads {
			packer.heads[position] = max(-1, head-gone)
		}
	}
	at := len(packer.window)
	packer.window = append(packer.window, piece...)
	whole := packer.window
	for at < len(whole) {
		length, repeat, distance := 0, false, 0
		if packer.repeated > 0 && packer.repeated <= at {
			if length = common(whole, at-packer.repeated, at); length >= repeatLeast {
				repeat = true
			} else {
				length = 0
			}
		}
		if length < 16 && at+matchLeast <= len(whole) {
			if head := int(packer.heads[hashOf(whole[at:])]); head >= 0 && head < at && at-head <= windowMost {
				// A new distance takes some two bytes more than the one used last.
				if found := common(whole, head, at); found >= matchLeast && found > length+2 {
					length, repeat, distance = found, false, at-head
				}
			}
		}
		switch {
		case length == 0:
			packer.symbol(&packer.symbols, int(whole[at]))
			length = 1
		case repeat:
			packer.length(firstRepeat, length-repeatLeast)
		default:
			packer.length(firstMatch, length-matchLeast)
			size := bits.Len(uint(distance)) - 1
			packer.symbol(&packer.sizes, size)
			packer.plain(uint64(distance)&(1<<size-1), size)
			packer.repeated = distance
		}
		for end := at + length; at < end; at++ {
			if at+matchLeast <= len(whole) {
				packer.heads[hashOf(whole[at:])] = int32(at)
			}
		}
	}
}

func (packer *packer) length(first, length int) {
	slot, extra := slotOf(length)
	packer.symbol(&packer.symbols, first+slot)
	packer.plain(uint64(length)&(1<<extra-1), extra)
}

func (packer *packer) symbol(from *alphabet, symbol int) {
	from.counts[symbol]++
	packer.plain(uint64(from.codes[symbol]), int(from.sizes[symbol]))
}

func (packer *packer) plain(value uint64, count int) {
	packer.bits = packer.bits<<count | value
	packer.filled += count
	for packer.filled >= 8 {
		packer.filled -= 8
		packer.out = append(packer.out, byte(packer.bits>>packer.filled))
	}
}

// common is how many bytes from two places on are the same; the earlier may run
// into the later.
func common(whole []byte, earlier, later int) int {
	length, most := 0, min(len(whole)-later, lengthMost)
	for length < most && whole[earlier+length] == whole[later+length] {
		length++
	}
	return length
}

func hashOf(body []byte) uint32 {
	return binary.LittleEndian.Uint32(body) * 2654435761 >> (32 - hashBits)
}

// unpacker is the receiving end.
type unpacker struct {
	model
	in     []byte
	bits   uint64
	filled int
	lack   int
}

func newUnpacker() *unpacker {
	return &unpacker{model: newModel()}
}

// unpack gives what a body was packed from; it holds until the next call. After
// an error nothing more that comes on the connection can be read.
func (unpacker *unpacker) unpack(packed []byte) ([]byte, error) {
	length, size := binary.Uvarint(packed)
	if size <= 0 || length == 0 || length > packMost {
		return nil, ErrorFrame.New("a packed turn of %d bytes", length)
	}
	unpacker.in, unpacker.bits, unpacker.filled, unpacker.lack = packed[size:], 0, 0, 0
	body := make([]byte, 0, length)
	for left := int(length); left > 0; {
		piece := min(left, windowMost)
		unpacker.slide(piece)
		at := len(unpacker.window)
		if fault := unpacker.piece(at + piece); fault != nil {
			return nil, fault
		}
		unpacker.learn(piece)
		body = append(body, unpacker.window[at:]...)
		left -= piece
	}
	if left := 8*len(unpacker.in) + unpacker.filled - unpacker.lack; left < 0 || left >= 8 {
		return nil, ErrorFrame.New("a packed turn of another length")
	}
	return body, nil
}

// piece fills the window up to an end.
func (unpacker *unpacker) piece(end int) error {
	for len(unpacker.window) < end {
		symbol := unpacker.symbol(&unpacker.symbols)
		if symbol < firstMatch {
			unpacker.window = append(unpacker.window, byte(symbol))
			continue
		}
		length := 0
		if symbol < firstRepeat {
			length = unpacker.length(symbol-firstMatch) + matchLeast
			size := unpacker.symbol(&unpacker.sizes)
			unpacker.repeated = 1<<size | int(unpacker.plain(size))
		} else {
			length = unpacker.length(symbol-firstRepeat) + repeatLeast
		}
		if unpacker.repeated == 0 || unpacker.repeated > len(unpacker.window) || length > end-len(unpacker.window) {
			return ErrorFrame.New("a packed turn names what was not there")
		}
		for range length {
			unpacker.window = append(unpacker.window, unpacker.window[len(unpacker.window)-unpacker.repeated])
		}
	}
	return nil
}

func (unpacker *unpacker) length(slot int) int {
	least, extra := lengthOf(slot)
	return least | int(unpacker.plain(extra))
}

// fill has some bits ready; after the end of what came they are zeros, which
// are counted.
func (unpacker *unpacker) fill(count int) {
	for unpacker.filled < count {
		next := byte(0)
		if len(unpacker.in) > 0 {
			next, unpacker.in = unpacker.in[0], unpacker.in[1:]
		} else {
			unpacker.lack += 8
		}
		unpacker.bits, unpacker.filled = unpacker.bits<<8|uint64(next), unpacker.filled+8
	}
}

func (unpacker *unpacker) symbol(from *alphabet) int {
	unpacker.fill(from.limit)
	entry := from.table[unpacker.bits>>(unpacker.filled-from.limit)&(1<<from.limit-1)]
	unpacker.filled -= int(entry & 15)
	symbol := int(entry >> 4)
	from.counts[symbol]++
	return symbol
}

func (unpacker *unpacker) plain(count int) uint64 {
	unpacker.fill(count)
	unpacker.filled -= count
	return unpacker.bits >> unpacker.filled & (1<<count - 1)
}
