package daemon

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/transport"
)

// Operators' programs depend on the keys. Programs that compare the text also depend on
// their order.
func TestSelfBodyKeys(t *testing.T) {
	body, err := json.Marshal(selfBody{
		Received: map[string]transport.KindCount{"a": {Messages: 1, Bytes: 2}},
		Sent:     map[string]transport.KindCount{},
	})
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{"counters":null,"epoch":0,"index":0,"kind":"",`+
		`"links":{"bytes_away":0,"bytes_in":0,"bytes_out":0,"dials":0,"dropped":0,"garbage":0,"held":0,`+
		`"messages_away":0,"messages_in":0,"messages_out":0,"shed":0,"writes":0},`+
		`"name":"","primary":"","ready":false,"received":{"a":{"messages":1,"bytes":2}},"sent":{},`+
		`"steps":0,"syncs":0,"version":0,"zone":""}`)
}
