package transport_test

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	_ "dahlialock/internal/consensus"
	_ "dahlialock/internal/gateway"
	"dahlialock/internal/membership"
	"dahlialock/internal/overlay"
	"dahlialock/internal/partition"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

func TestDecodeRoundTripsEveryMessage(t *testing.T) {
	assert.Assert(t, len(transport.Numbers()) > 40)
	for number, name := range transport.Numbers() {
		message, _ := transport.Prototype(number)
		frame, err := transport.Encode(statemachine.Meta{From: "127.0.0.1:1", Version: 7}, message)
		assert.NilError(t, err, name)
		length, complete, err := transport.FrameLength(frame)
		assert.NilError(t, err)
		assert.Assert(t, complete && length == len(frame)-4)
		meta, decoded, err := transport.Decode(frame[4:])
		assert.NilError(t, err, name)
		assert.Equal(t, meta.Version, uint64(7))
		assert.Equal(t, reflect.TypeOf(decoded), reflect.TypeOf(message), name)
		for cut := range len(frame) - 4 {
			_, _, err := transport.Decode(frame[4 : 4+cut])
			assert.Assert(t, err != nil, "%s truncated to %d bytes was decoded", name, cut)
		}
		_, _, err = transport.Decode(append(frame[4:len(frame):len(frame)], 0))
		assert.Assert(t, err != nil, "%s with a trailing byte was decoded", name)
	}
}

func TestFrameLengthRejectsLengthsOutOfRange(t *testing.T) {
	for _, header := range [][]byte{{0, 0, 0, 0}, {0xff, 0xff, 0xff, 0xff}, {0x04, 0, 0, 1}} {
		_, _, err := transport.FrameLength(header)
		assert.Assert(t, err != nil, "%v", header)
	}
}

func FuzzDecode(f *testing.F) {
	for _, message := range []any{
		membership.Heartbeat{Name: "a", Incarnation: 1},
		overlay.Signals{Signals: []overlay.Signal{{Kind: 1, Space: "s"}}},
		partition.Append{Partition: "s~1/2", Topic: "t", Seq: 3, Data: []byte("{}")},
	} {
		frame, err := transport.Encode(statemachine.Meta{From: "x"}, message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame[4:])
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		meta, message, err := transport.Decode(encoded)
		if err != nil {
			return
		}
		frame, err := transport.Encode(meta, message)
		assert.NilError(t, err)
		_, decodedAgain, err := transport.Decode(frame[4:])
		assert.NilError(t, err)
		assert.Assert(t, reflect.TypeOf(decodedAgain) == reflect.TypeOf(message))
	})
}
