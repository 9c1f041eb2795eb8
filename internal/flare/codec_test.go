// The codec between daemons: every registered message goes there and back, and
// no bytes from outside make it panic or pass for a message they are not.
package flare_test

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/beacon"
	"dahlialock/internal/fairway"
	"dahlialock/internal/flare"
	"dahlialock/internal/helm"
	_ "dahlialock/internal/lamp"
	"dahlialock/internal/strand"
	_ "dahlialock/internal/watchbill"
)

func TestEveryMessageGoesThereAndBack(t *testing.T) {
	assert.Assert(t, len(flare.Numbers()) > 40)
	for number, name := range flare.Numbers() {
		message, _ := flare.Prototype(number)
		frame, fault := flare.Encode(helm.Meta{From: "127.0.0.1:1", Version: 7}, message)
		assert.NilError(t, fault, name)
		length, complete, fault := flare.FrameLength(frame)
		assert.NilError(t, fault)
		assert.Assert(t, complete && length == len(frame)-4)
		meta, back, fault := flare.Decode(frame[4:])
		assert.NilError(t, fault, name)
		assert.Equal(t, meta.Version, uint64(7))
		assert.Equal(t, reflect.TypeOf(back), reflect.TypeOf(message), name)
		for cut := range len(frame) - 4 {
			_, _, fault := flare.Decode(frame[4 : 4+cut])
			assert.Assert(t, fault != nil, "%s cut at %d was read", name, cut)
		}
		_, _, fault = flare.Decode(append(frame[4:len(frame):len(frame)], 0))
		assert.Assert(t, fault != nil, "%s with a byte more was read", name)
	}
}

func TestLengthsOutOfBoundsAreRefused(t *testing.T) {
	for _, header := range [][]byte{{0, 0, 0, 0}, {0xff, 0xff, 0xff, 0xff}, {0x04, 0, 0, 1}} {
		_, _, fault := flare.FrameLength(header)
		assert.Assert(t, fault != nil, "%v", header)
	}
}

func FuzzDecode(f *testing.F) {
	for _, message := range []any{
		beacon.Heartbeat{Name: "a", Incarnation: 1}, fairway.Signals{Signals: []fairway.Signal{{Kind: 1, Space: "s"}}},
		strand.Append{Strand: "s~1/2", Topic: "t", Seq: 3, Data: []byte("{}")},
	} {
		frame, fault := flare.Encode(helm.Meta{From: "x"}, message)
		if fault != nil {
			f.Fatal(fault)
		}
		f.Add(frame[4:])
	}
	f.Fuzz(func(t *testing.T, packed []byte) {
		meta, message, fault := flare.Decode(packed)
		if fault != nil {
			return
		}
		frame, fault := flare.Encode(meta, message)
		assert.NilError(t, fault)
		_, again, fault := flare.Decode(frame[4:])
		assert.NilError(t, fault)
		assert.Assert(t, reflect.TypeOf(again) == reflect.TypeOf(message))
	})
}
