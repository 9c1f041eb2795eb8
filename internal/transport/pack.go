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
func (a *alphabet) renew() {
	a.measure()
	code := uint16(0)
	for size := uint8(1); int(size) <= a.limit; size++ {
		for symbol, own := range a.sizes {
			if own != size {
				continue
			}
			a.codes[symbol] = code
			from := int(code) << (a.limit - int(size))
			for position := range 1 << (a.limit - int(size)) {
				a.table[from+position] = uint16(symbol)<<4 | uint16(size)
			}
			code++
		}
		code <<= 1
	}
	for symbol, count := range a.counts {
		a.counts[symbol] = count>>1 | 1
	}
}

// measure finds the sizes of the best codes for the counts, by merging the two
// rarest over and over, and has none of them over the limit.
func (a *alphabet) measure() {
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
			bySize[min(int(depths[position]), a.limit)]++
		}
	}
	// Codes that were cut to the limit take room, which others give by growing.
	room := 0
	for size := 1; size <= a.limit; size++ {
		room += bySize[size] << (a.limit - size)
	}
	for ; room > 1<<a.limit; room-- {
		bySize[a.limit]--
		for size := a.limit - 1; size > 0; size-- {
			if bySize[size] > 0 {
				bySize[size]--
				bySize[size+1] += 2
				break
			}
		}
	}
	position := 0
	for size := a.limit; size > 0; size-- {
		for range bySize[size] {
			a.sizes[order[position]&0xffff] = uint8(size)
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
func (m *model) slide(more int) int {
	if len(m.window)+more <= cap(m.window) {
		return 0
	}
	gone := max(0, len(m.window)-windowMost)
	kept := copy(m.window, m.window[gone:])
	m.window = m.window[:kept]
	return gone
}

// learn makes codes anew once enough was seen.
func (m *model) learn(more int) {
	m.seen += more
	if m.seen < m.renewAt {
		return
	}
	m.symbols.renew()
	m.sizes.renew()
	m.seen, m.renewAt = 0, min(2*m.renewAt, renewMost)
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
func (p *packer) pack(out, body []byte) []byte {
	p.out, p.bits, p.filled = binary.AppendUvarint(out, uint64(len(body))), 0, 0
	for len(body) > 0 {
		piece := body[:min(len(body), windowMost)]
		p.piece(piece)
		p.learn(len(piece))
		body = body[len(piece):]
	}
	if p.filled > 0 {
		p.out = append(p.out, byte(p.bits<<(8-p.filled)))
	}
	done := p.out
	p.out = nil
	return done
}

// piece packs bytes that fit into the window besides what it keeps.
func (p *packer) piece(piece []byte) {
	if gone := int32(p.slide(len(piece))); gone > 0 {
		for position, head := range p.heads {
			p.heads[position] = max(-1, head-gone)
		}
	}
	at := len(p.window)
	p.window = append(p.window, piece...)
	whole := p.window
	for at < len(whole) {
		length, repeat, distance := 0, false, 0
		if p.repeated > 0 && p.repeated <= at {
			if length = common(whole, at-p.repeated, at); length >= repeatLeast {
				repeat = true
			} else {
				length = 0
			}
		}
		if length < 16 && at+matchLeast <= len(whole) {
			if head := int(p.heads[hashOf(whole[at:])]); head >= 0 && head < at && at-head <= windowMost {
				// A new distance takes some two bytes more than the one used last.
				if found := common(whole, head, at); found >= matchLeast && found > length+2 {
					length, repeat, distance = found, false, at-head
				}
			}
		}
		switch {
		case length == 0:
			p.symbol(&p.symbols, int(whole[at]))
			length = 1
		case repeat:
			p.length(firstRepeat, length-repeatLeast)
		default:
			p.length(firstMatch, length-matchLeast)
			size := bits.Len(uint(distance)) - 1
			p.symbol(&p.sizes, size)
			p.plain(uint64(distance)&(1<<size-1), size)
			p.repeated = distance
		}
		for end := at + length; at < end; at++ {
			if at+matchLeast <= len(whole) {
				p.heads[hashOf(whole[at:])] = int32(at)
			}
		}
	}
}

func (p *packer) length(first, length int) {
	slot, extra := slotOf(length)
	p.symbol(&p.symbols, first+slot)
	p.plain(uint64(length)&(1<<extra-1), extra)
}

func (p *packer) symbol(from *alphabet, symbol int) {
	from.counts[symbol]++
	p.plain(uint64(from.codes[symbol]), int(from.sizes[symbol]))
}

func (p *packer) plain(value uint64, count int) {
	p.bits = p.bits<<count | value
	p.filled += count
	for p.filled >= 8 {
		p.filled -= 8
		p.out = append(p.out, byte(p.bits>>p.filled))
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
func (u *unpacker) unpack(packed []byte) ([]byte, error) {
	length, size := binary.Uvarint(packed)
	if size <= 0 || length == 0 || length > packMost {
		return nil, ErrorFrame.New("a packed turn of %d bytes", length)
	}
	u.in, u.bits, u.filled, u.lack = packed[size:], 0, 0, 0
	body := make([]byte, 0, length)
	for left := int(length); left > 0; {
		piece := min(left, windowMost)
		u.slide(piece)
		at := len(u.window)
		if err := u.piece(at + piece); err != nil {
			return nil, err
		}
		u.learn(piece)
		body = append(body, u.window[at:]...)
		left -= piece
	}
	if left := 8*len(u.in) + u.filled - u.lack; left < 0 || left >= 8 {
		return nil, ErrorFrame.New("a packed turn of another length")
	}
	return body, nil
}

// piece fills the window up to an end.
func (u *unpacker) piece(end int) error {
	for len(u.window) < end {
		symbol := u.symbol(&u.symbols)
		if symbol < firstMatch {
			u.window = append(u.window, byte(symbol))
			continue
		}
		length := 0
		if symbol < firstRepeat {
			length = u.length(symbol-firstMatch) + matchLeast
			size := u.symbol(&u.sizes)
			u.repeated = 1<<size | int(u.plain(size))
		} else {
			length = u.length(symbol-firstRepeat) + repeatLeast
		}
		if u.repeated == 0 || u.repeated > len(u.window) || length > end-len(u.window) {
			return ErrorFrame.New("a packed turn names what was not there")
		}
		for range length {
			u.window = append(u.window, u.window[len(u.window)-u.repeated])
		}
	}
	return nil
}

func (u *unpacker) length(slot int) int {
	least, extra := lengthOf(slot)
	return least | int(u.plain(extra))
}

// fill has some bits ready; after the end of what came they are zeros, which
// are counted.
func (u *unpacker) fill(count int) {
	for u.filled < count {
		next := byte(0)
		if len(u.in) > 0 {
			next, u.in = u.in[0], u.in[1:]
		} else {
			u.lack += 8
		}
		u.bits, u.filled = u.bits<<8|uint64(next), u.filled+8
	}
}

func (u *unpacker) symbol(from *alphabet) int {
	u.fill(from.limit)
	entry := from.table[u.bits>>(u.filled-from.limit)&(1<<from.limit-1)]
	u.filled -= int(entry & 15)
	symbol := int(entry >> 4)
	from.counts[symbol]++
	return symbol
}

func (u *unpacker) plain(count int) uint64 {
	u.fill(count)
	u.filled -= count
	return u.bits >> u.filled & (1<<count - 1)
}
