// Compression between zones: whatever goes in comes out, turn after turn,
// and nothing from outside makes the unpacker panic.
package transport

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

func there(tb testing.TB, packer *compressor, unpacker *decompressor, body []byte) int {
	tb.Helper()
	packed := packer.compress(nil, body)
	back, err := unpacker.decompress(packed)
	assert.NilError(tb, err)
	assert.Assert(tb, bytes.Equal(back, body), "%d bytes differ", len(body))
	return len(packed)
}

// letters is text of sixteen letters in which nothing repeats: four bits each.
func letters(random *rand.Rand, length int) []byte {
	body := make([]byte, length)
	for position := range body {
		body[position] = 'a' + byte(random.IntN(16))
	}
	return body
}

func TestTurnsComeOutAsTheyWentIn(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	packer, unpacker := newCompressor(), newDecompressor()
	var last []byte
	for round := range 3000 {
		length := 1 + random.IntN(600)
		if round%100 == 99 {
			length = 1 + random.IntN(maxCompressible)
		}
		var body []byte
		switch round % 6 {
		case 0:
			body = letters(random, length)
		case 1:
			body = bytes.Repeat([]byte{byte(round)}, length)
		case 2:
			for range length {
				body = append(body, byte(random.Uint32()))
			}
		case 3:
			body = append(bytes.Clone(last), letters(random, 7)...)
		case 4:
			body = binary.BigEndian.AppendUint64(bytes.Clone(last[:len(last)/2]), uint64(round))
		case 5:
			body = bytes.Repeat([]byte{0xff}, length)
		}
		body = body[:min(len(body), maxCompressible)]
		there(t, packer, unpacker, body)
		last = body
	}
}

func TestTextWithoutRepeatsShrinksNearToItsEntropy(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	packer, unpacker := newCompressor(), newDecompressor()
	for range 100 {
		there(t, packer, unpacker, letters(random, 230))
	}
	whole := 0
	for range 100 {
		whole += there(t, packer, unpacker, letters(random, 230))
	}
	assert.Assert(t, whole < 100*130, "230 letters of 16 kinds take %d bytes", whole/100)
}

func TestACutOrChangedTurnDoesNotPanic(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 300 {
		packer, unpacker := newCompressor(), newDecompressor()
		there(t, packer, unpacker, letters(random, 500))
		packed := packer.compress(nil, letters(random, 500))
		packed[random.IntN(len(packed))] ^= byte(1 + random.IntN(255))
		_, _ = unpacker.decompress(packed[:random.IntN(len(packed)+1)])
	}
}

func FuzzUnpack(f *testing.F) {
	packer := newCompressor()
	f.Add(packer.compress(nil, []byte("a turn of some frames")), packer.compress(nil, []byte("a turn of some more frames")))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		unpacker := newDecompressor()
		if _, err := unpacker.decompress(first); err == nil {
			_, _ = unpacker.decompress(second)
		}
	})
}

func FuzzPack(f *testing.F) {
	f.Add([]byte("first"), []byte("second"), []byte("first and second"))
	f.Fuzz(func(t *testing.T, first, second, third []byte) {
		packer, unpacker := newCompressor(), newDecompressor()
		for _, body := range [][]byte{first, second, third} {
			if len(body) > 0 && len(body) <= maxCompressible {
				there(t, packer, unpacker, body)
			}
		}
	})
}

// A turn as a gateway's: a publication's record for a daemon in another zone.
func BenchmarkPack(b *testing.B) {
	random := rand.New(rand.NewPCG(7, 8))
	var turns [][]byte
	plain := 0
	for number := range 256 {
		var turn bytes.Buffer
		message := preambleLike{Topic: "kafi810." + string(letters(random, 3)), Sender: "client-" + string(letters(random, 4)), Seq: uint64(number), Data: letters(random, 230)}
		assert.NilError(b, appendFrameOf(&turn, message))
		turns = append(turns, turn.Bytes())
		plain += turn.Len()
	}
	packer, unpacker := newCompressor(), newDecompressor()
	whole := 0
	for _, turn := range turns {
		whole += there(b, packer, unpacker, turn)
	}
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		packed := packer.compress(nil, turns[number%256])
		if _, err := unpacker.decompress(packed); err != nil {
			b.Fatal(err)
		}
		number++
	}
	b.ReportMetric(float64(plain)/256, "plain-bytes")
	b.ReportMetric(float64(whole)/256, "packed-bytes")
}

type preambleLike struct {
	_      struct{} `cbor:",toarray"`
	Topic  string
	Sender string
	Seq    uint64
	Data   []byte
}

func appendFrameOf(turn *bytes.Buffer, message preambleLike) error {
	_, known := typeOfNumber[9999]
	if !known {
		MustRegister(9999, preambleLike{})
	}
	return appendFrame(turn, statemachine.Meta{}.From, 7, message)
}
