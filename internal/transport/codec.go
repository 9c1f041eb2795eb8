// The codec between our own processes. Every message type has a number in one
// registry; on the wire a frame is a length, the number, the sender's address
// where the connection has not named it already, the sender's configuration
// version, and the body in cbor. Decoding is strict: an unknown number, trailing
// bytes, an oversized or truncated frame is an error and touches nothing.

package transport

import (
	"bytes"
	"encoding/binary"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dahlialock/internal/statemachine"
)

// FrameLimit bounds one frame between processes.
const FrameLimit = 64 << 20

const frameHeaderBytes = 4

var (
	namespace = errorx.NewNamespace("flare")
	// ErrorFrame is the type of every error about a frame's bytes.
	ErrorFrame = namespace.NewType("frame")
)

// addressFlag marks a frame's number where the sender's address follows it, as
// its length and its bytes.
const addressFlag = 1 << 15

// compressedFlag is set in the length of what is a packed turn, not a frame.
const compressedFlag = 1 << 31

// preamble is the first message on a connection, and names its sender for all
// that follow, some of which may be packed.
type preamble struct {
	_      struct{} `cbor:",toarray"`
	Compressed bool
}

var (
	numberOfType = map[reflect.Type]uint16{}
	typeOfNumber = map[uint16]reflect.Type{}
	encoding     = mustEncoding()
	decoding     = mustDecoding()
)

func init() { MustRegister(1, preamble{}) }

func mustEncoding() cbor.UserBufferEncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeUnixMicro
	mode, err := options.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  32,
		MaxArrayElements: 4 << 20,
		MaxMapPairs:      4 << 20,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// MustRegister gives a message type its number; a clash stops the process.
func MustRegister(number uint16, prototype any) {
	kind := reflect.TypeOf(prototype)
	if number >= addressFlag {
		panic("flare: number out of bounds, wanted by " + kind.String())
	}
	if earlier, found := typeOfNumber[number]; found {
		panic("flare: number taken by " + earlier.String() + ", wanted by " + kind.String())
	}
	numberOfType[kind] = number
	typeOfNumber[number] = kind
}

// firstDataNumber bounds the numbers of what the control state says: epochs,
// leases, heartbeats, news and operators' requests.
const firstDataNumber = 400

// IsControl tells whether a message is of the control state.
func IsControl(message any) bool { return numberOfType[reflect.TypeOf(message)] < firstDataNumber }

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
	body, err := encoding.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// Unmarshal decodes strictly, refusing trailing bytes.
func Unmarshal(body []byte, target any) error {
	return decoding.Unmarshal(body, target)
}

// Encode makes the bytes of one frame, its length included.
func Encode(meta statemachine.Meta, message any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := appendFrame(&buffer, meta.From, meta.Version, message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// appendFrame adds one frame to others, or nothing if it can't be encoded. The
// address may be left out where the connection has named it.
func appendFrame(buffer *bytes.Buffer, from string, version uint64, message any) error {
	number, found := numberOfType[reflect.TypeOf(message)]
	if !found {
		return ErrorFrame.New("type %T has no number", message)
	}
	before := buffer.Len()
	var scratch [frameHeaderBytes + 2 + 2*binary.MaxVarintLen64]byte
	head := scratch[:frameHeaderBytes]
	if from == "" {
		head = binary.BigEndian.AppendUint16(head, number)
	} else {
		head = binary.BigEndian.AppendUint16(head, number|addressFlag)
		head = binary.AppendUvarint(head, uint64(len(from)))
	}
	buffer.Write(head)
	buffer.WriteString(from)
	buffer.Write(binary.AppendUvarint(scratch[:0], version))
	if err := encoding.MarshalToBuffer(message, buffer); err != nil {
		buffer.Truncate(before)
		return ErrorFrame.Wrap(err, "body of %T", message)
	}
	length := buffer.Len() - before - frameHeaderBytes
	if length > FrameLimit {
		buffer.Truncate(before)
		return ErrorFrame.New("%T of %d bytes is over the limit", message, length)
	}
	binary.BigEndian.PutUint32(buffer.Bytes()[before:], uint32(length))
	return nil
}

// Decode reads one frame, its length taken off.
func Decode(packed []byte) (statemachine.Meta, any, error) {
	var once decoder
	return once.decode(packed, "")
}

// decoder decodes frames one after another. It keeps one value of each type to
// decode into, so that a message costs a single copy.
type decoder struct {
	values map[uint16]reflect.Value
}

// decode reads a frame that came from an address, unless the frame names it.
func (r *decoder) decode(packed []byte, from string) (statemachine.Meta, any, error) {
	meta := statemachine.Meta{From: from}
	if len(packed) < 2 {
		return meta, nil, ErrorFrame.New("%d bytes are no frame", len(packed))
	}
	number := binary.BigEndian.Uint16(packed)
	rest := packed[2:]
	if number&addressFlag != 0 {
		number &^= addressFlag
		length, size := binary.Uvarint(rest)
		if size <= 0 || length == 0 || length > uint64(len(rest)-size) {
			return meta, nil, ErrorFrame.New("the address is cut off")
		}
		meta.From = string(rest[size : size+int(length)])
		rest = rest[size+int(length):]
	}
	version, size := binary.Uvarint(rest)
	if size <= 0 {
		return meta, nil, ErrorFrame.New("the version is cut off")
	}
	meta.Version = version
	message, err := r.decodeBody(number, rest[size:])
	return meta, message, err
}

func (r *decoder) decodeBody(number uint16, packed []byte) (any, error) {
	value, found := r.values[number]
	if !found {
		kind, known := typeOfNumber[number]
		if !known {
			return nil, ErrorFrame.New("number %d is unknown", number)
		}
		value = reflect.New(kind)
		if r.values == nil {
			r.values = map[uint16]reflect.Value{}
		}
		r.values[number] = value
	}
	err := decoding.Unmarshal(packed, value.Interface())
	message := value.Elem().Interface()
	value.Elem().SetZero()
	if err != nil {
		return nil, ErrorFrame.Wrap(err, "body of %s", value.Elem().Type().String())
	}
	return message, nil
}

// FrameLength reads a frame's header: the length that follows it, or false if
// there are too few bytes yet, or an error if the length can't be right.
func FrameLength(header []byte) (int, bool, error) {
	if len(header) < frameHeaderBytes {
		return 0, false, nil
	}
	length := binary.BigEndian.Uint32(header)
	if length == 0 || length > FrameLimit {
		return 0, false, ErrorFrame.New("length %d is out of bounds", length)
	}
	return int(length), true, nil
}
