// The codec between our own processes. Every message type has a number in one
// registry; on the wire a frame is a length, then a cbor envelope that carries
// the number, the sender's address, the sender's configuration version and the
// body. Decoding is strict: an unknown number, trailing bytes, an oversized or
// truncated frame is an error and touches nothing.
package flare

import (
	"encoding/binary"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dahlialock/internal/helm"
)

// FrameLimit bounds one frame between processes.
const FrameLimit = 64 << 20

const headerSize = 4

var (
	namespace = errorx.NewNamespace("flare")
	// ErrorFrame is the type of every error about a frame's bytes.
	ErrorFrame = namespace.NewType("frame")
)

type envelope struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint16
	From    string
	Version uint64
	Body    cbor.RawMessage
}

var (
	numberOfType = map[reflect.Type]uint16{}
	typeOfNumber = map[uint16]reflect.Type{}
	encoding     = mustEncoding()
	decoding     = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeUnixMicro
	mode, fault := options.EncMode()
	if fault != nil {
		panic(fault)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, fault := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  32,
		MaxArrayElements: 4 << 20,
		MaxMapPairs:      4 << 20,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if fault != nil {
		panic(fault)
	}
	return mode
}

// MustRegister gives a message type its number; a clash stops the process.
func MustRegister(number uint16, prototype any) {
	kind := reflect.TypeOf(prototype)
	if earlier, found := typeOfNumber[number]; found {
		panic("flare: number taken by " + earlier.String() + ", wanted by " + kind.String())
	}
	numberOfType[kind] = number
	typeOfNumber[number] = kind
}

// controlBelow bounds the numbers of what the control state says: epochs,
// tenures, heartbeats, news and operators' requests.
const controlBelow = 400

// Urgent tells whether a message is of the control state.
func Urgent(message any) bool { return numberOfType[reflect.TypeOf(message)] < controlBelow }

// Numbers lists the registered numbers with the names of their types.
func Numbers() map[uint16]string {
	names := make(map[uint16]string, len(typeOfNumber))
	for number, kind := range typeOfNumber {
		names[number] = kind.String()
	}
	return names
}

// Prototype gives a new zero value of a registered number.
func Prototype(number uint16) (any, bool) {
	kind, found := typeOfNumber[number]
	if !found {
		return nil, false
	}
	return reflect.New(kind).Elem().Interface(), true
}

// Marshal is the deterministic encoding used on the wire and on disk.
func Marshal(value any) ([]byte, error) {
	return encoding.Marshal(value)
}

// MustMarshal encodes our own structures, for which an error is a broken
// invariant.
func MustMarshal(value any) []byte {
	body, fault := encoding.Marshal(value)
	if fault != nil {
		panic(fault)
	}
	return body
}

// Unmarshal decodes strictly, refusing trailing bytes.
func Unmarshal(body []byte, target any) error {
	return decoding.Unmarshal(body, target)
}

// Encode makes the bytes of one frame, its length included.
func Encode(meta helm.Meta, message any) ([]byte, error) {
	number, found := numberOfType[reflect.TypeOf(message)]
	if !found {
		return nil, ErrorFrame.New("type %T has no number", message)
	}
	body, fault := encoding.Marshal(message)
	if fault != nil {
		return nil, ErrorFrame.Wrap(fault, "body of %T", message)
	}
	packed, fault := encoding.Marshal(envelope{Kind: number, From: meta.From, Version: meta.Version, Body: body})
	if fault != nil {
		return nil, ErrorFrame.Wrap(fault, "envelope of %T", message)
	}
	if len(packed) > FrameLimit {
		return nil, ErrorFrame.New("%T of %d bytes is over the limit", message, len(packed))
	}
	frame := make([]byte, headerSize, headerSize+len(packed))
	binary.BigEndian.PutUint32(frame, uint32(len(packed)))
	return append(frame, packed...), nil
}

// Decode reads the envelope of one frame, its length taken off.
func Decode(packed []byte) (helm.Meta, any, error) {
	var opened envelope
	if fault := decoding.Unmarshal(packed, &opened); fault != nil {
		return helm.Meta{}, nil, ErrorFrame.Wrap(fault, "envelope")
	}
	kind, found := typeOfNumber[opened.Kind]
	if !found {
		return helm.Meta{}, nil, ErrorFrame.New("number %d is unknown", opened.Kind)
	}
	target := reflect.New(kind)
	if fault := decoding.Unmarshal(opened.Body, target.Interface()); fault != nil {
		return helm.Meta{}, nil, ErrorFrame.Wrap(fault, "body of %s", kind.String())
	}
	return helm.Meta{From: opened.From, Version: opened.Version}, target.Elem().Interface(), nil
}

// FrameLength reads a frame's header: the length that follows it, or false if
// there are too few bytes yet, or an error if the length can't be right.
func FrameLength(header []byte) (int, bool, error) {
	if len(header) < headerSize {
		return 0, false, nil
	}
	length := binary.BigEndian.Uint32(header)
	if length == 0 || length > FrameLimit {
		return 0, false, ErrorFrame.New("length %d is out of bounds", length)
	}
	return int(length), true, nil
}
