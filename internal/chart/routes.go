// Routes lead topics to spaces: of the prefixes that begin a topic's name, the
// longest decides. Spaces that are reached so keep an order for each topic, and
// their topics lie in a fixed number of shared strands, whatever the number of
// spaces and whichever come and go.
package chart

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"dahlialock/internal/helm"
)

// SharedStrands is how many strands all routed topics lie in.
const SharedStrands = 32

// SharedSpace stands for the space in the names of shared strands; it is no fit
// name, so no space of an operator's can be taken for it.
const SharedSpace = "+"

// Route leads all topics whose names begin with a prefix to a space.
type Route struct {
	Prefix string
	Space  string
}

// Route names the space of a topic.
func (configuration Configuration) Route(topic string) (space string, found bool) {
	for _, route := range configuration.Routes {
		if strings.HasPrefix(topic, route.Prefix) {
			return route.Space, true
		}
	}
	return "", false
}

// Routed tells whether any space is reached by routes.
func (configuration Configuration) Routed() bool { return len(configuration.Routes) > 0 }

// TopicNumber is a 64-bit hash of a topic's name.
func TopicNumber(topic string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(topic))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return mixed
}

// SharedStrandName names one of the shared strands.
func SharedStrandName(number int) string { return fmt.Sprintf("%s~0/%d", SharedSpace, number) }

// SharedStrand names the strand of a routed topic.
func SharedStrand(topic string) string {
	return SharedStrandName(int(TopicNumber(topic) % SharedStrands))
}

// IsShared tells whether a strand is one of the shared ones.
func IsShared(strand string) bool { return strings.HasPrefix(strand, SharedSpace+"~") }

// routes reads the routes, and puts the longest prefixes first.
func (reader *Reader) routes(path string, value *fastjson.Value, spaces map[string]Space) []Route {
	var routes []Route
	seen := map[string]bool{}
	for position, item := range reader.List(path, value, SpaceLimit) {
		here := fmt.Sprintf("%s[%d]", path, position)
		members := reader.Object(here, item, "prefix", "space")
		for _, needed := range []string{"prefix", "space"} {
			if members[needed] == nil {
				reader.Report(here+"."+needed, "missing", "%s is wanted", needed)
			}
		}
		route := Route{Prefix: reader.Text(here+".prefix", members["prefix"], ""), Space: reader.Text(here+".space", members["space"], "")}
		if !fitPrefix(route.Prefix) {
			reader.Report(here+".prefix", "bad-prefix", "a prefix has at most %d printable letters and no blank", PrefixLimit)
		}
		if seen[route.Prefix] {
			reader.Report(here+".prefix", "duplicate-prefix", "the prefix %q stands twice", route.Prefix)
		}
		seen[route.Prefix] = true
		if space, found := spaces[route.Space]; members["space"] != nil && !found {
			reader.Report(here+".space", "dangling-name", "no space is named %q", route.Space)
		} else if found && space.Order != OrderTopic {
			reader.Report(here+".space", "clash", "routes lead to spaces of order topic only")
		}
		routes = append(routes, route)
	}
	if helm.Mutated("first-route-wins") {
		return routes
	}
	slices.SortStableFunc(routes, func(left, right Route) int {
		return cmp.Or(cmp.Compare(len(right.Prefix), len(left.Prefix)), strings.Compare(left.Prefix, right.Prefix))
	})
	return routes
}

func fitPrefix(prefix string) bool {
	if len(prefix) > PrefixLimit {
		return false
	}
	for _, letter := range prefix {
		if letter <= 0x20 || letter == 0x7f || letter == 0xfffd {
			return false
		}
	}
	return true
}
