package transport

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/statemachine"
)

// roundTrip compresses and decompresses a body, and returns the compressed size.
func roundTrip(tb testing.TB, sender *compressor, receiver *decompressor, body []byte) int {
	tb.Helper()
	compressed := sender.compress(nil, body)
	decompressed, err := receiver.decompress(compressed)
	assert.NilError(tb, err)
	assert.Assert(tb, bytes.Equal(decompressed, body), "the decompressed body of %d bytes differs", len(body))
	return len(compressed)
}

// letters returns random text over sixteen letters. It has no repetitions to match, and
// an entropy of four bits per letter.
func letters(random *rand.Rand, length int) []byte {
	body := make([]byte, length)
	for position := range body {
		body[position] = 'a' + byte(random.IntN(16))
	}
	return body
}

func TestCompressorRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	sender, receiver := newCompressor(), newDecompressor()
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
		roundTrip(t, sender, receiver, body)
		last = body
	}
}

func TestCompressorApproachesEntropy(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	sender, receiver := newCompressor(), newDecompressor()
	for range 100 {
		roundTrip(t, sender, receiver, letters(random, 230))
	}
	total := 0
	for range 100 {
		total += roundTrip(t, sender, receiver, letters(random, 230))
	}
	assert.Assert(t, total < 100*130, "230 random letters from an alphabet of 16 were compressed to %d bytes", total/100)
}

func TestDecompressorSurvivesCorruptBatches(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 300 {
		sender, receiver := newCompressor(), newDecompressor()
		roundTrip(t, sender, receiver, letters(random, 500))
		compressed := sender.compress(nil, letters(random, 500))
		compressed[random.IntN(len(compressed))] ^= byte(1 + random.IntN(255))
		_, _ = receiver.decompress(compressed[:random.IntN(len(compressed)+1)])
	}
}

func FuzzDecompress(f *testing.F) {
	sender := newCompressor()
	first := sender.compress(nil, []byte("a turn of some frames"))
	f.Add(first, sender.compress(nil, []byte("a turn of some more frames")))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		receiver := newDecompressor()
		if _, err := receiver.decompress(first); err == nil {
			_, _ = receiver.decompress(second)
		}
	})
}

func FuzzCompress(f *testing.F) {
	f.Add([]byte("first"), []byte("second"), []byte("first and second"))
	f.Fuzz(func(t *testing.T, first, second, third []byte) {
		sender, receiver := newCompressor(), newDecompressor()
		for _, body := range [][]byte{first, second, third} {
			if len(body) > 0 && len(body) <= maxCompressible {
				roundTrip(t, sender, receiver, body)
			}
		}
	})
}

// BenchmarkCompress compresses batches with one publication each, as a gateway sends
// them to a daemon in another zone.
func BenchmarkCompress(b *testing.B) {
	random := rand.New(rand.NewPCG(7, 8))
	var batches [][]byte
	plain := 0
	for number := range 256 {
		var batch bytes.Buffer
		message := publication{
			Topic:  "kafi810." + string(letters(random, 3)),
			Sender: "client-" + string(letters(random, 4)),
			Seq:    uint64(number),
			Data:   letters(random, 230),
		}
		assert.NilError(b, appendPublicationFrame(&batch, message))
		batches = append(batches, batch.Bytes())
		plain += batch.Len()
	}
	sender, receiver := newCompressor(), newDecompressor()
	total := 0
	for _, batch := range batches {
		total += roundTrip(b, sender, receiver, batch)
	}
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		compressed := sender.compress(nil, batches[number%len(batches)])
		if _, err := receiver.decompress(compressed); err != nil {
			b.Fatal(err)
		}
		number++
	}
	b.ReportMetric(float64(plain)/256, "plain-bytes")
	b.ReportMetric(float64(total)/256, "packed-bytes")
}

type publication struct {
	_      struct{} `cbor:",toarray"`
	Topic  string
	Sender string
	Seq    uint64
	Data   []byte
}

func appendPublicationFrame(batch *bytes.Buffer, message publication) error {
	_, registered := typeOfNumber[9999]
	if !registered {
		MustRegister(9999, publication{})
	}
	return appendFrame(batch, statemachine.Meta{}.From, 7, message)
}
