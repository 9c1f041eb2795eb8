package transport

import "github.com/fxamacker/cbor/v2"

// Bounds of decoded values.
const (
	maxNesting  = 32
	maxElements = 4 << 20
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

// mustEncoding returns the deterministic encoding: equal values have equal bytes.
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
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the deterministic CBOR encoding of a value, as it is used on
// the wire and on disk.
func Marshal(value any) ([]byte, error) {
	return encoding.Marshal(value)
}

// MustMarshal is like Marshal, but panics on an error. It is for the project's own
// types, for which an encoding error is a broken invariant.
func MustMarshal(value any) []byte {
	body, err := encoding.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// Unmarshal decodes one value; bytes after it are an error.
func Unmarshal(body []byte, target any) error {
	return decoding.Unmarshal(body, target)
}
