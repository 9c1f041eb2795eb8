// The reading of configurations: what is wrong is told with its path, and no
// bytes make it panic or take half a document.
package config

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const fine = `{"version": 3, "spaces": [
 {"name": "boards", "promise": "kept", "order": "sender", "holding": "35s", "tolerance": 1, "limits": {"data_bytes": 100, "publications_per_second": 5}, "publishers": ["team-*"]},
 {"name": "pass", "promise": "passing"}],
 "economy": {"enabled": true, "processor_weight": 2.5}, "zones": ["a", "b"], "links": [{"from": "a", "to": "b", "delay": "2ms"}]}`

func TestAFineConfigurationIsRead(t *testing.T) {
	configuration, faults := Read([]byte(fine))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Equal(t, configuration.Version, uint64(3))
	boards := configuration.Spaces["boards"]
	assert.Equal(t, boards.Partitions(), PartitionsPerSpace)
	assert.Assert(t, boards.MayPublish("team-x") && !boards.MayPublish("other"))
	assert.Equal(t, configuration.Consolidation.ProcessorWeight, 2.5)
}

func TestEachFaultIsToldWithItsPath(t *testing.T) {
	cases := map[string][2]string{
		`{"version":1,"spaces":[]} {}`:                {"$", "malformed"},
		`{"version":1,"spaces":[]`:                    {"$", "malformed"},
		`[]`:                                          {"$", "wrong-type"},
		`{"spaces":[]}`:                               {"$.version", "missing"},
		`{"version":0,"spaces":[]}`:                   {"$.version", "out-of-range"},
		`{"version":1.5,"spaces":[]}`:                 {"$.version", "wrong-type"},
		`{"version":1e3,"spaces":[]}`:                 {"$.version", "wrong-type"},
		`{"version":"1","spaces":[]}`:                 {"$.version", "wrong-type"},
		`{"version":1,"version":2,"spaces":[]}`:       {"$.version", "duplicate-key"},
		`{"version":1,"spaces":[],"x":1}`:             {"$.x", "unknown-key"},
		`{"version":1,"spaces":[{"name":"a"}]}`:       {"$.spaces[0].promise", "missing"},
		`{"version":1,"spaces":[{"promise":"kept"}]}`: {"$.spaces[0].name", "missing"},
		`{"version":1,"spaces":[{"name":"a","promise":"kept"},{"name":"a","promise":"kept"}]}`:   {"$.spaces[1].name", "duplicate-name"},
		`{"version":1,"spaces":[{"name":"a b","promise":"kept"}]}`:                               {"$.spaces[0].name", "bad-name"},
		`{"version":1,"spaces":[{"name":"a","promise":"maybe"}]}`:                                {"$.spaces[0].promise", "out-of-range"},
		`{"version":1,"spaces":[{"name":"a","promise":"passing","order":"channel"}]}`:            {"$.spaces[0].order", "clash"},
		`{"version":1,"spaces":[{"name":"a","promise":"passing","holding":"3s"}]}`:               {"$.spaces[0].holding", "clash"},
		`{"version":1,"spaces":[{"name":"a","promise":"kept","holding":"forever"}]}`:             {"$.spaces[0].holding", "wrong-type"},
		`{"version":1,"spaces":[{"name":"a","promise":"kept","tolerance":2}]}`:                   {"$.spaces[0].tolerance", "out-of-range"},
		`{"version":1,"spaces":[{"name":"a","promise":"kept","limits":{"data_bytes":-1}}]}`:      {"$.spaces[0].limits.data_bytes", "out-of-range"},
		`{"version":1,"spaces":[{"name":"a","promise":"kept","publishers":["x","x"]}]}`:          {"$.spaces[0].publishers[1]", "duplicate-name"},
		`{"version":1,"spaces":[],"economy":{"processor_weight":-2}}`:                            {"$.economy.processor_weight", "out-of-range"},
		`{"version":1,"spaces":[],"economy":{"traffic_weight":1e99}}`:                            {"$.economy.traffic_weight", "out-of-range"},
		`{"version":1,"spaces":[],"zones":["a"],"links":[{"from":"a","to":"z","delay":"1ms"}]}`:  {"$.links[0].to", "dangling-name"},
		`{"version":1,"spaces":[],"zones":["a"],"links":[{"from":"a","to":"a","delay":"-1ms"}]}`: {"$.links[0].delay", "out-of-range"},
	}
	for document, wanted := range cases {
		_, faults := Read([]byte(document))
		found := false
		for _, fault := range faults {
			found = found || fault.Path == wanted[0] && fault.Code == wanted[1]
		}
		assert.Assert(t, found, "%s: wanted %v, got %v", document, wanted, faults)
	}
}

func TestAllFaultsAreToldTogether(t *testing.T) {
	_, faults := Read([]byte(`{"version":-1,"spaces":[{"name":"","promise":"x","zz":1}],"drains":[3]}`))
	assert.Assert(t, len(faults) >= 5, "%v", faults)
}

func TestDigestsLookPastWhiteSpaceAndOrder(t *testing.T) {
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

func FuzzRead(f *testing.F) {
	f.Add([]byte(fine))
	f.Add([]byte(`{"version":1,"spaces":[{"name":"a","promise":"kept"}]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		configuration, faults := Read(document)
		if len(faults) > 0 {
			for _, fault := range faults {
				assert.Assert(t, strings.HasPrefix(fault.Path, "$") && fault.Code != "")
			}
			return
		}
		assert.Assert(t, json.Valid(document) && configuration.Version > 0)
		var spaced bytes.Buffer
		assert.NilError(t, json.Indent(&spaced, document, " ", "\t"))
		assert.Equal(t, DigestOf(document), DigestOf(spaced.Bytes()), "a digest is of what the document says")
	})
}
