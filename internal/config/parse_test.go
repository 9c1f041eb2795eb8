package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validDocument = `{"version": 3, "spaces": [
 {"name": "boards", "promise": "kept", "order": "sender", "holding": "35s", "tolerance": 1,
  "limits": {"data_bytes": 100, "publications_per_second": 5}, "publishers": ["team-*"]},
 {"name": "pass", "promise": "passing"}],
 "economy": {"enabled": true, "processor_weight": 2.5}, "zones": ["a", "b"],
 "links": [{"from": "a", "to": "b", "delay": "2ms"}]}`

func TestReadValidDocument(t *testing.T) {
	configuration, faults := Read([]byte(validDocument))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Equal(t, configuration.Version, uint64(3))
	boards := configuration.Spaces["boards"]
	assert.Equal(t, boards.Partitions(), PartitionsPerSpace)
	assert.Assert(t, boards.MayPublish("team-x") && !boards.MayPublish("other"))
	assert.Equal(t, configuration.Consolidation.ProcessorWeight, 2.5)
}

func TestReadReportsFaultsWithPath(t *testing.T) {
	const space = `{"version":1,"spaces":[{"name":"a","promise":`
	for _, test := range []struct {
		document string
		path     string
		code     FaultCode
	}{
		{`{"version":1,"spaces":[]} {}`, "$", FaultMalformed},
		{`{"version":1,"spaces":[]`, "$", FaultMalformed},
		{`[]`, "$", FaultWrongType},
		{`{"spaces":[]}`, "$.version", FaultMissing},
		{`{"version":0,"spaces":[]}`, "$.version", FaultOutOfRange},
		{`{"version":1.5,"spaces":[]}`, "$.version", FaultWrongType},
		{`{"version":1e3,"spaces":[]}`, "$.version", FaultWrongType},
		{`{"version":"1","spaces":[]}`, "$.version", FaultWrongType},
		{`{"version":1,"version":2,"spaces":[]}`, "$.version", FaultDuplicateKey},
		{`{"version":1,"spaces":[],"x":1}`, "$.x", FaultUnknownKey},
		{`{"version":1,"spaces":[{"name":"a"}]}`, "$.spaces[0].promise", FaultMissing},
		{`{"version":1,"spaces":[{"promise":"kept"}]}`, "$.spaces[0].name", FaultMissing},
		{space + `"kept"},{"name":"a","promise":"kept"}]}`, "$.spaces[1].name", FaultDuplicateName},
		{`{"version":1,"spaces":[{"name":"a b","promise":"kept"}]}`, "$.spaces[0].name", FaultBadName},
		{`{"version":1,"spaces":[{"name":"a","promise":"maybe"}]}`, "$.spaces[0].promise", FaultOutOfRange},
		{space + `"passing","order":"channel"}]}`, "$.spaces[0].order", FaultConflict},
		{space + `"passing","holding":"3s"}]}`, "$.spaces[0].holding", FaultConflict},
		{space + `"kept","holding":"forever"}]}`, "$.spaces[0].holding", FaultWrongType},
		{
			`{"version":1,"spaces":[{"name":"a","promise":"kept","tolerance":2}]}`,
			"$.spaces[0].tolerance", FaultOutOfRange,
		},
		{space + `"kept","limits":{"data_bytes":-1}}]}`, "$.spaces[0].limits.data_bytes", FaultOutOfRange},
		{space + `"kept","publishers":["x","x"]}]}`, "$.spaces[0].publishers[1]", FaultDuplicateName},
		{`{"version":1,"spaces":[],"economy":{"processor_weight":-2}}`, "$.economy.processor_weight", FaultOutOfRange},
		{`{"version":1,"spaces":[],"economy":{"traffic_weight":1e99}}`, "$.economy.traffic_weight", FaultOutOfRange},
		{
			`{"version":1,"spaces":[],"zones":["a"],"links":[{"from":"a","to":"z","delay":"1ms"}]}`,
			"$.links[0].to", FaultDanglingName,
		},
		{
			`{"version":1,"spaces":[],"zones":["a"],"links":[{"from":"a","to":"a","delay":"-1ms"}]}`,
			"$.links[0].delay", FaultOutOfRange,
		},
	} {
		_, faults := Read([]byte(test.document))
		found := slices.ContainsFunc(faults, func(fault Fault) bool {
			return fault.Path == test.path && fault.Code == test.code
		})
		assert.Assert(t, found, "%s: wanted %s at %s, got %v", test.document, test.code, test.path, faults)
	}
}

func TestReadReportsAllFaultsTogether(t *testing.T) {
	_, faults := Read([]byte(`{"version":-1,"spaces":[{"name":"","promise":"x","zz":1}],"drains":[3]}`))
	assert.Assert(t, len(faults) >= 5, "%v", faults)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(validDocument))
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
		assert.Equal(t, DigestOf(document), DigestOf(spaced.Bytes()), "the digest depends on white space")
	})
}
