// Digests tell whether two documents say the same.

package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
)

// digestBytes is how much of a hash is kept: enough that no two documents share it.
const digestBytes = 16

// Digest stands for what a document says, whatever its white space and the order of
// its keys. An annex that is itself JSON counts for what it says.
type Digest [digestBytes]byte

// DigestOf gives a document's digest; a text that is no JSON has that of its bytes.
func DigestOf(document []byte) Digest {
	sum := sha256.Sum256(canonical(document))
	return Digest(sum[:digestBytes])
}

func canonical(document []byte) []byte {
	value, whole := decode(document)
	if !whole {
		return document
	}
	if fields, named := value.(map[string]any); named {
		if text, annexed := fields["annex"].(string); annexed {
			if annex, readable := decode([]byte(text)); readable {
				fields["annex"] = []any{annex}
			}
		}
	}
	packed, err := json.Marshal(value)
	if err != nil {
		return document
	}
	return packed
}

// decode reads one JSON value, its numbers to the last digit.
func decode(document []byte) (any, bool) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, false
	}
	return value, !decoder.More()
}
