package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDigestIgnoresWhiteSpaceAndOrder(t *testing.T) {
	same := func(left, right string) bool { return DigestOf([]byte(left)) == DigestOf([]byte(right)) }
	assert.Assert(t, same(`{"a":1,"b":[2]}`, "{ \"b\": [2],\n\"a\":1 }"))
	assert.Assert(t, !same(`{"a":9007199254740993}`, `{"a":9007199254740992}`))
	assert.Assert(t, same(`{"a":1,"annex":"{\"b\":1,\"c\":2}"}`, `{"a":1,"annex":"{\"c\": 2, \"b\":1}"}`))
	assert.Assert(t, !same(`{"a":1,"annex":"{\"b\":1}"}`, `{"a":1,"annex":"{\"b\":2}"}`))
	assert.Assert(t, !same(`{"annex":"1"}`, `{"annex":1}`))
	assert.Assert(t, same(`{"annex":"no JSON"}`, ` {"annex": "no JSON"}`))
	assert.Assert(t, !same(`{"a":1} {}`, `{"a":1}`))
	assert.Assert(t, !same(`{"a":{"b":1},"c":2}`, `{"a":{"b":1,"c":2}}`))
	assert.Assert(t, !same(`{"a":["b","c"]}`, `{"a":["b\",\"c"]}`))
	assert.Assert(t, same(`{"a":"\u00e9"}`, `{"a":"é"}`))
}
