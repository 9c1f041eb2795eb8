package transport

import (
	"bytes"
	"encoding/binary"
	"reflect"

	"github.com/joomcode/errorx"

	"dahlialock/internal/statemachine"
)

// A frame on the wire consists of:
//
//	length   4 bytes, big-endian: the number of bytes after this field
//	number   2 bytes, big-endian: the number of the message type, with addressFlag
//	         set if the sender's address follows
//	address  the sender's address: its length as a varint, and its bytes. It is only
//	         present with addressFlag; frames after the preamble omit it
//	version  a varint: the sender's configuration version
//	body     the message in CBOR
//
// Decoding is strict: an unknown number, trailing bytes, and an oversized or
// truncated frame are errors that close the connection.
const (
	// FrameLimit is the largest length of a frame in bytes.
	FrameLimit = 64 << 20

	frameHeaderBytes = 4
	numberBytes      = 2
	addressFlag      = 1 << 15

	// compressedFlag is set in the length of a compressed batch of frames.
	compressedFlag = 1 << 31
)

var (
	namespace = errorx.NewNamespace("transport")
	// ErrorFrame is the type of every error about a frame's bytes.
	ErrorFrame = namespace.NewType("frame")
)

// preamble is the first message on a connection. Its frame contains the sender's
// address, which applies to all messages that follow.
type preamble struct {
	_ struct{} `cbor:",toarray"`
	// Compressed is set if batches on the connection may be compressed.
	Compressed bool
}

const preambleNumber = 1

func init() { MustRegister(preambleNumber, preamble{}) }

// Encode returns the bytes of one frame, including its length.
func Encode(meta statemachine.Meta, message any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := appendFrame(&buffer, meta.From, meta.Version, message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// appendFrame appends one frame to a buffer, or nothing if that fails. The
// address is empty for frames after the preamble.
func appendFrame(buffer *bytes.Buffer, address string, version uint64, message any) error {
	number, found := numberOfType[reflect.TypeOf(message)]
	if !found {
		return ErrorFrame.New("message type %T is not registered", message)
	}
	start := buffer.Len()
	var scratch [frameHeaderBytes + numberBytes + 2*binary.MaxVarintLen64]byte
	// The length is filled in after the body has been encoded.
	head := scratch[:frameHeaderBytes]
	if address == "" {
		head = binary.BigEndian.AppendUint16(head, number)
	} else {
		head = binary.BigEndian.AppendUint16(head, number|addressFlag)
		head = binary.AppendUvarint(head, uint64(len(address)))
	}
	buffer.Write(head)
	buffer.WriteString(address)
	buffer.Write(binary.AppendUvarint(scratch[:0], version))
	if err := encoding.MarshalToBuffer(message, buffer); err != nil {
		buffer.Truncate(start)
		return ErrorFrame.Wrap(err, "encoding the body of %T", message)
	}
	length := buffer.Len() - start - frameHeaderBytes
	if length > FrameLimit {
		buffer.Truncate(start)
		return ErrorFrame.New("%T of %d bytes exceeds the frame limit", message, length)
	}
	binary.BigEndian.PutUint32(buffer.Bytes()[start:], uint32(length))
	return nil
}

// Decode decodes one frame, passed without its length field.
func Decode(frame []byte) (statemachine.Meta, any, error) {
	var once decoder
	return once.decode(frame, "")
}

// FrameLength reads the header of a frame and returns the length of the rest of
// the frame. It returns false if the header is incomplete, and an error if the
// length is out of range.
func FrameLength(header []byte) (int, bool, error) {
	if len(header) < frameHeaderBytes {
		return 0, false, nil
	}
	length := binary.BigEndian.Uint32(header)
	if length == 0 || length > FrameLimit {
		return 0, false, ErrorFrame.New("frame length %d is out of range", length)
	}
	return int(length), true, nil
}

// decoder decodes successive frames. It reuses one value per message type as the
// decoding target, so that decoding a message takes a single copy.
type decoder struct {
	values map[uint16]reflect.Value
}

// decode decodes a frame, passed without its length field. The address is that of
// the connection's sender; an address in the frame takes precedence.
func (d *decoder) decode(frame []byte, address string) (statemachine.Meta, any, error) {
	meta := statemachine.Meta{From: address}
	if len(frame) < numberBytes {
		return meta, nil, ErrorFrame.New("frame of %d bytes is too short for a message type number", len(frame))
	}
	number := binary.BigEndian.Uint16(frame)
	rest := frame[numberBytes:]
	if number&addressFlag != 0 {
		number &^= addressFlag
		length, size := binary.Uvarint(rest)
		if size <= 0 || length == 0 || length > uint64(len(rest)-size) {
			return meta, nil, ErrorFrame.New("sender address in the frame is empty or truncated")
		}
		meta.From = string(rest[size : size+int(length)])
		rest = rest[size+int(length):]
	}
	version, size := binary.Uvarint(rest)
	if size <= 0 {
		return meta, nil, ErrorFrame.New("configuration version in the frame is truncated or too large")
	}
	meta.Version = version
	message, err := d.decodeBody(number, rest[size:])
	return meta, message, err
}

func (d *decoder) decodeBody(number uint16, body []byte) (any, error) {
	value, found := d.values[number]
	if !found {
		kind, known := typeOfNumber[number]
		if !known {
			return nil, ErrorFrame.New("unknown message type number %d", number)
		}
		value = reflect.New(kind)
		if d.values == nil {
			d.values = map[uint16]reflect.Value{}
		}
		d.values[number] = value
	}
	err := decoding.Unmarshal(body, value.Interface())
	message := value.Elem().Interface()
	value.Elem().SetZero()
	if err != nil {
		return nil, ErrorFrame.Wrap(err, "decoding the body of %s", value.Elem().Type().String())
	}
	return message, nil
}
