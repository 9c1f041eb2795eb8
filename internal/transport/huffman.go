package transport

import "slices"

// huffman is an adaptive Huffman code: the counts of the symbols, and the canonical
// code that was built from them. Both ends of a connection rebuild it at the same
// positions of the stream, so that no code table is sent.
type huffman struct {
	// maxBits bounds the lengths of the codes.
	maxBits int
	// counts has the number of occurrences of each symbol since the last rebuild, plus
	// half of its earlier count. Counts are never 0, so that every symbol has a code.
	counts  []uint32
	codes   []uint16
	lengths []uint8
	// decodeTable maps the next maxBits bits of the input to a symbol and the length of
	// its code, packed by tableEntry.
	decodeTable []uint16
}

// Entries of a decode table have the length of the code in the lowest bits.
const (
	entryLengthBits = 4
	entryLengthMask = 1<<entryLengthBits - 1
)

func tableEntry(symbol int, length uint8) uint16 {
	return uint16(symbol)<<entryLengthBits | uint16(length)
}

// newHuffman returns a code for an alphabet, built from the expected counts of its
// symbols.
func newHuffman(symbols, maxBits int, initialCount func(symbol int) uint32) huffman {
	made := huffman{
		maxBits:     maxBits,
		counts:      make([]uint32, symbols),
		codes:       make([]uint16, symbols),
		lengths:     make([]uint8, symbols),
		decodeTable: make([]uint16, 1<<maxBits),
	}
	for symbol := range made.counts {
		made.counts[symbol] = initialCount(symbol)
	}
	made.rebuild()
	return made
}

// rebuild builds the code from the counts. It then halves the counts, so that older
// symbols have less weight.
func (h *huffman) rebuild() {
	h.assignLengths()
	code := uint16(0)
	for length := uint8(1); int(length) <= h.maxBits; length++ {
		for symbol, own := range h.lengths {
			if own != length {
				continue
			}
			h.codes[symbol] = code
			unused := h.maxBits - int(length)
			start := int(code) << unused
			for index := range 1 << unused {
				h.decodeTable[start+index] = tableEntry(symbol, length)
			}
			code++
		}
		code <<= 1
	}
	for symbol, count := range h.counts {
		h.counts[symbol] = count>>1 | 1
	}
}

// assignLengths computes the code lengths from the counts, none of them longer than
// maxBits.
func (h *huffman) assignLengths() {
	// The symbols are sorted by count, the rarest first. Each entry has the symbol in
	// its low bits.
	const symbolMask = 0xffff
	var storage [symbolCount]uint64
	rarestFirst := storage[:len(h.counts)]
	for symbol, count := range h.counts {
		rarestFirst[symbol] = uint64(count)<<16 | uint64(symbol)
	}
	slices.Sort(rarestFirst)
	withLength := h.limitLengths(treeDepths(rarestFirst, h.maxBits))
	index := 0
	for length := h.maxBits; length > 0; length-- {
		for range withLength[length] {
			h.lengths[rarestFirst[index]&symbolMask] = uint8(length)
			index++
		}
	}
}

// lengthCounts has the number of codes of each length.
type lengthCounts [maxSymbolBits + 1]int

// treeDepths returns how many leaves the Huffman tree has at each depth. Leaves deeper
// than maxDepth are counted at maxDepth. The tree is built by repeatedly merging the two
// rarest nodes.
func treeDepths(rarestFirst []uint64, maxDepth int) lengthCounts {
	var (
		weights [2 * symbolCount]uint32
		parents [2 * symbolCount]uint16
		depths  [2 * symbolCount]uint8
	)
	leaves := len(rarestFirst)
	for index, each := range rarestFirst {
		weights[index] = uint32(each >> 16)
	}
	// Inner nodes have the indexes after the leaves, and are created in ascending order
	// of weight.
	leaf, inner := 0, leaves
	for node := leaves; node < 2*leaves-1; node++ {
		for range 2 {
			rarest := &inner
			if leaf < leaves && (inner >= node || weights[leaf] <= weights[inner]) {
				rarest = &leaf
			}
			weights[node] += weights[*rarest]
			parents[*rarest] = uint16(node)
			*rarest++
		}
	}
	var atDepth lengthCounts
	for node := 2*leaves - 3; node >= 0; node-- {
		depths[node] = depths[parents[node]] + 1
		if node < leaves {
			atDepth[min(int(depths[node]), maxDepth)]++
		}
	}
	return atDepth
}

// limitLengths lengthens codes until they satisfy Kraft's inequality and so form a
// prefix code again. This is needed because the codes that treeDepths shortened to
// maxBits take more of the code space than in the tree.
func (h *huffman) limitLengths(counts lengthCounts) lengthCounts {
	used := 0
	for length := 1; length <= h.maxBits; length++ {
		used += counts[length] << (h.maxBits - length)
	}
	for ; used > 1<<h.maxBits; used-- {
		counts[h.maxBits]--
		for length := h.maxBits - 1; length > 0; length-- {
			if counts[length] > 0 {
				counts[length]--
				counts[length+1] += 2
				break
			}
		}
	}
	return counts
}
