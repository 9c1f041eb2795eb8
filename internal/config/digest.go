// Digests tell whether two documents say the same.

package config

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"
)

// digestBytes is how much of a hash is kept: enough that no two documents share it.
const digestBytes = 16

// annexKey names the part of a document that is itself a document, as sent.
const annexKey = "annex"

// Digest stands for what a document says, whatever its white space and the order of
// its keys. An annex that is itself JSON counts for what it says.
type Digest [digestBytes]byte

// DigestOf gives a document's digest; a text that is no JSON has that of its bytes.
func DigestOf(document []byte) Digest {
	value, err := fastjson.ParseBytes(document)
	said := append([]byte("text "), document...)
	if err == nil {
		said = appendCanonical(make([]byte, 0, len(document)), value, true)
	}
	sum := sha256.Sum256(said)
	return Digest(sum[:digestBytes])
}

// appendCanonical writes a value in the one way in which it is hashed: keys in order,
// no white space, numbers to the letter, texts after their length.
func appendCanonical(to []byte, value *fastjson.Value, outermost bool) []byte {
	switch value.Type() {
	case fastjson.TypeObject:
		return appendObject(to, value.GetObject(), outermost)
	case fastjson.TypeArray:
		to = append(to, '[')
		for _, item := range value.GetArray() {
			to = append(appendCanonical(to, item, false), ',')
		}
		return append(to, ']')
	case fastjson.TypeString:
		return appendText(to, value.GetStringBytes())
	}
	return value.MarshalTo(to)
}

func appendText(to, text []byte) []byte {
	to = append(strconv.AppendInt(append(to, '"'), int64(len(text)), 10), ':')
	return append(to, text...)
}

type field struct {
	key   []byte
	value *fastjson.Value
}

func appendObject(to []byte, object *fastjson.Object, outermost bool) []byte {
	fields := make([]field, 0, object.Len())
	object.Visit(func(key []byte, value *fastjson.Value) {
		fields = append(fields, field{key: key, value: value})
	})
	slices.SortStableFunc(fields, func(left, right field) int { return bytes.Compare(left.key, right.key) })
	to = append(to, '{')
	for _, each := range fields {
		to = appendText(to, each.key)
		if outermost && string(each.key) == annexKey {
			to = appendAnnex(to, each.value)
		} else {
			to = appendCanonical(to, each.value, false)
		}
		to = append(to, ',')
	}
	return append(to, '}')
}

// appendAnnex writes an annex for what it says, marked so that it is told from a value
// that is no text.
func appendAnnex(to []byte, value *fastjson.Value) []byte {
	if value.Type() == fastjson.TypeString {
		if said, err := fastjson.ParseBytes(value.GetStringBytes()); err == nil {
			return appendCanonical(append(to, "annex "...), said, false)
		}
	}
	return appendCanonical(to, value, false)
}
