// Tests that GraphViz and GeoJSON files give equivalent configurations, that each error
// names its line or element, and that no input causes a panic.
package topology

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dahlialock/internal/config"
)

const graph = `graph places { north; south; "east-1"; north -- south [label="500us"]; south -- "east-1" [label="1.5ms"]; }`

const geo = `{"type":"FeatureCollection","features":[
 {"type":"Feature","geometry":{"type":"LineString","coordinates":[[8,55],[8,54]]},"properties":{"from":"north","to":"south","delay":"500us"}},
 {"type":"Feature","geometry":{"type":"Point","coordinates":[8,55]},"properties":{"name":"north"}},
 {"type":"Feature","geometry":{"type":"Point","coordinates":[8,54]},"properties":{"name":"south"}},
 {"type":"Feature","geometry":{"type":"Point","coordinates":[9,54]},"properties":{"name":"east-1"}},
 {"type":"Feature","geometry":{"type":"LineString","coordinates":[[8,54],[9,54]]},"properties":{"from":"south","to":"east-1","delay":"1.5ms"}}]}`

func TestTopologiesFromBothKindsOfFiles(t *testing.T) {
	for _, text := range []string{graph, geo} {
		topology, err := Read([]byte(text))
		assert.NilError(t, err)
		document, err := topology.Into([]byte(`{"version": 3, "spaces": []}`))
		assert.NilError(t, err)
		configuration, faults := config.Read(document)
		assert.Equal(t, len(faults), 0, "%v", faults)
		assert.Equal(t, len(configuration.Zones), 3)
		assert.Equal(t, len(configuration.Links), 2)
		_, err = topology.Into([]byte(`{"version": 3, "links": []}`))
		assert.ErrorContains(t, err, "$.links")
		// Validation still finds errors of the configuration itself.
		document, err = topology.Into([]byte(`{"version": 3, "spaces": [], "spaces": []}`))
		assert.NilError(t, err)
		_, faults = config.Read(document)
		assert.Assert(t, len(faults) > 0)
	}
	for _, each := range []struct{ text, wantError string }{
		{"graph {\n north;\n south -- ;\n}", "line=3"},
		{"digraph { a -> b }", "digraph"},
		{`graph { a; b; a -- b }`, "edge a -- b"},
		{`graph { a; b; a -- b [label="soon"] }`, "edge a -- b"},
		{`graph { a; b; a -- b [label="1ms"]; b -- a [label="1ms"] }`, "duplicate link"},
		{`graph { "a b" }`, "node"},
		{`{"type":"FeatureCollection","features":[{"type":"Feature","geometry":{"type":"Point","coordinates":[1,2]},"properties":{}}]}`, "features[0]"},
		{strings.Replace(geo, `"to":"south"`, `"to":"nowhere"`, 1), "features[0]"},
		{`{"type":"FeatureCollection","features":[{"type":"Feature","geometry":{"type":"Polygon","coordinates":[[[1,2],[2,2],[1,2]]]},"properties":{}}]}`, "features[0]"},
		{`{"type":`, "GeoJSON"},
		{`{}`, "GeoJSON"},
	} {
		_, err := Read([]byte(each.text))
		assert.ErrorContains(t, err, each.wantError, "%s", each.text)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(graph))
	f.Add([]byte(geo))
	f.Fuzz(func(t *testing.T, text []byte) {
		topology, err := Read(text)
		if err != nil {
			return
		}
		document, err := topology.Into([]byte(`{"version": 1, "spaces": []}`))
		assert.NilError(t, err)
		_, faults := config.Read(document)
		assert.Equal(t, len(faults), 0, "%v", faults)
	})
}
