// Package topology reads zones and the links between them from a GraphViz or GeoJSON
// file and inserts them into an operator's configuration, which is then validated as
// usual. Errors name the line or the element of the file.
package topology

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/awalterschulze/gographviz"
	"github.com/joomcode/errorx"
	"github.com/paulmach/orb"
	"github.com/paulmach/orb/geojson"

	"dahlialock/internal/config"
)

// ErrorTopology is the type of errors about a topology file.
var ErrorTopology = errorx.NewNamespace("portolan").NewType("topology")

// Link is a network link between two zones.
type Link struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Delay string `json:"delay"`
}

// Topology has the zones and links of a file.
type Topology struct {
	Zones []string
	Links []Link
}

// Read parses a file: as GeoJSON if it begins with a brace, otherwise as GraphViz.
func Read(text []byte) (Topology, error) {
	if trimmed := strings.TrimSpace(string(text)); strings.HasPrefix(trimmed, "{") {
		return readGeo(text)
	}
	return readGraph(text)
}

// addZone adds a zone; element is its place in the file, for errors.
func (t *Topology) addZone(element, name string) error {
	if !config.ValidName(name) {
		return ErrorTopology.New("%s: %q is not a valid zone name", element, name)
	}
	if slices.Contains(t.Zones, name) {
		return ErrorTopology.New("%s: duplicate zone %q", element, name)
	}
	t.Zones = append(t.Zones, name)
	return nil
}

// addLink adds a link; element is its place in the file, for errors.
func (t *Topology) addLink(element string, link Link) error {
	length, err := time.ParseDuration(link.Delay)
	if err != nil || length < 0 || length > time.Minute {
		return ErrorTopology.New("%s: %q is not a valid delay such as \"500us\", up to 1m", element, link.Delay)
	}
	for _, end := range []string{link.From, link.To} {
		if !slices.Contains(t.Zones, end) {
			return ErrorTopology.New("%s: no zone is named %q", element, end)
		}
	}
	if link.From == link.To {
		return ErrorTopology.New("%s: link from zone %q to itself", element, link.From)
	}
	for _, other := range t.Links {
		if other.From == link.From && other.To == link.To || other.From == link.To && other.To == link.From {
			return ErrorTopology.New("%s: duplicate link between %q and %q", element, link.From, link.To)
		}
	}
	t.Links = append(t.Links, link)
	return nil
}

// readGraph parses an undirected graph with a node for each zone and an edge for each
// link. The label of an edge is the delay.
func readGraph(text []byte) (topology Topology, err error) {
	defer func() {
		// The library panics on some malformed graphs.
		if reason := recover(); reason != nil {
			err = ErrorTopology.New("GraphViz: %v", reason)
		}
	}()
	tree, err := gographviz.Parse(text)
	if err != nil {
		return topology, ErrorTopology.New("GraphViz: %s", strings.Join(strings.Fields(err.Error()), " "))
	}
	graph := gographviz.NewGraph()
	if err := gographviz.Analyse(tree, graph); err != nil {
		return topology, ErrorTopology.New("GraphViz: %v", err)
	}
	if graph.Directed {
		return topology, ErrorTopology.New("GraphViz: expected an undirected graph, got a digraph; links are bidirectional")
	}
	for _, node := range graph.Nodes.Sorted() {
		if err := topology.addZone("node "+node.Name, unquote(node.Name)); err != nil {
			return topology, err
		}
	}
	for _, edge := range graph.Edges.Sorted() {
		element := fmt.Sprintf("edge %s -- %s", edge.Src, edge.Dst)
		link := Link{From: unquote(edge.Src), To: unquote(edge.Dst), Delay: unquote(edge.Attrs[gographviz.Label])}
		if err := topology.addLink(element, link); err != nil {
			return topology, err
		}
	}
	return topology, nil
}

// unquote returns a GraphViz identifier without quotes, if it has any.
func unquote(text string) string {
	if plain, err := strconv.Unquote(text); err == nil {
		return plain
	}
	return text
}

// readGeo parses a collection of features: a Point with a name for each zone, and a
// LineString with from, to and delay for each link.
func readGeo(text []byte) (topology Topology, err error) {
	collection, err := geojson.UnmarshalFeatureCollection(text)
	if err != nil {
		return topology, ErrorTopology.New("GeoJSON: %v", err)
	}
	property := func(feature *geojson.Feature, name string) string {
		value, _ := feature.Properties[name].(string)
		return value
	}
	var lines []func() error
	for position, feature := range collection.Features {
		element := fmt.Sprintf("features[%d]", position)
		switch feature.Geometry.(type) {
		case orb.Point:
			if err := topology.addZone(element, property(feature, "name")); err != nil {
				return topology, err
			}
		case orb.LineString:
			lines = append(lines, func() error {
				return topology.addLink(element, Link{From: property(feature, "from"), To: property(feature, "to"), Delay: property(feature, "delay")})
			})
		default:
			return topology, ErrorTopology.New("%s: the geometry must be a Point or a LineString", element)
		}
	}
	for _, line := range lines {
		if err := line(); err != nil {
			return topology, err
		}
	}
	return topology, nil
}

// Into inserts a topology into a configuration that has neither zones nor links.
func (t Topology) Into(document []byte) ([]byte, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(document, &members); err != nil {
		return nil, ErrorTopology.New("invalid configuration: %v", err)
	}
	for _, key := range []string{"zones", "links"} {
		if _, found := members[key]; found {
			return nil, ErrorTopology.New("$.%s: defined in both the configuration and the topology file; remove one of them", key)
		}
	}
	added, err := json.Marshal(map[string]any{"zones": append([]string{}, t.Zones...), "links": append([]Link{}, t.Links...)})
	if err != nil {
		return nil, err
	}
	// The text of the configuration is kept as written, so that validation finds all of
	// its errors.
	body := strings.TrimSpace(string(document))
	separator := ","
	if len(members) == 0 {
		separator = ""
	}
	return []byte(string(added[:len(added)-1]) + separator + strings.TrimPrefix(body, "{")), nil
}
