package config

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"
)

// digestBytes is how many bytes of the SHA-256 sum a Digest has.
const digestBytes = 16

// Digest identifies the content of a document, independently of white space and of
// the order of keys. For an annotation that is itself JSON, the same applies to the
// JSON in the annotation.
type Digest [digestBytes]byte

// DigestOf returns the digest of a document. For a document that isn't JSON, the raw
// bytes are hashed. Digests are stored in the control state, so the canonical form
// must never change.
func DigestOf(document []byte) Digest {
	value, err := fastjson.ParseBytes(document)
	canonical := append([]byte("text "), document...)
	if err == nil {
		canonical = appendCanonical(make([]byte, 0, len(document)), value, true)
	}
	sum := sha256.Sum256(canonical)
	return Digest(sum[:digestBytes])
}

// appendCanonical appends the canonical form of a value, which is hashed: keys
// sorted, no white space, numbers as written, strings preceded by their length. Only
// the annotation in the root object is appended by appendAnnotation.
func appendCanonical(buffer []byte, value *fastjson.Value, root bool) []byte {
	switch value.Type() {
	case fastjson.TypeObject:
		return appendObject(buffer, value.GetObject(), root)
	case fastjson.TypeArray:
		buffer = append(buffer, '[')
		for _, item := range value.GetArray() {
			buffer = append(appendCanonical(buffer, item, false), ',')
		}
		return append(buffer, ']')
	case fastjson.TypeString:
		return appendString(buffer, value.GetStringBytes())
	case fastjson.TypeNull, fastjson.TypeNumber, fastjson.TypeTrue, fastjson.TypeFalse:
	}
	return value.MarshalTo(buffer)
}

// appendString appends a string preceded by its length, so that the content of a
// string can't be mistaken for the syntax around it.
func appendString(buffer, text []byte) []byte {
	buffer = append(strconv.AppendInt(append(buffer, '"'), int64(len(text)), 10), ':')
	return append(buffer, text...)
}

type field struct {
	key   []byte
	value *fastjson.Value
}

func appendObject(buffer []byte, object *fastjson.Object, root bool) []byte {
	fields := make([]field, 0, object.Len())
	object.Visit(func(key []byte, value *fastjson.Value) {
		fields = append(fields, field{key: key, value: value})
	})
	slices.SortStableFunc(fields, func(left, right field) int { return bytes.Compare(left.key, right.key) })
	buffer = append(buffer, '{')
	for _, each := range fields {
		buffer = appendString(buffer, each.key)
		if root && string(each.key) == annotationKey {
			buffer = appendAnnotation(buffer, each.value)
		} else {
			buffer = appendCanonical(buffer, each.value, false)
		}
		buffer = append(buffer, ',')
	}
	return append(buffer, '}')
}

// appendAnnotation appends an annotation. One that is itself JSON is appended in
// canonical form, with a marker that distinguishes it from the same value outside a
// string.
func appendAnnotation(buffer []byte, value *fastjson.Value) []byte {
	if value.Type() == fastjson.TypeString {
		if inner, err := fastjson.ParseBytes(value.GetStringBytes()); err == nil {
			return appendCanonical(append(buffer, "annex "...), inner, false)
		}
	}
	return appendCanonical(buffer, value, false)
}
