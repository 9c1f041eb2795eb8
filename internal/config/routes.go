// Routes lead topics to spaces: of the prefixes that begin a topic's name, the
// longest decides. Spaces that are reached so keep an order for each topic, and
// their topics lie in a fixed number of shared partitions, whatever the number of
// spaces and whichever come and go.

package config

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"dahlialock/internal/statemachine"
)

// SharedPartitions is how many partitions all routed topics lie in.
const SharedPartitions = 32

// SharedSpace stands for the space in the names of shared partitions; it is no fit
// name, so no space of an operator's can be taken for it.
const SharedSpace = "+"

// Route leads all topics whose names begin with a prefix to a space.
type Route struct {
	Prefix string
	Space  string
}

// SpaceForTopic names the space of a topic.
func (c Configuration) SpaceForTopic(topic string) (space string, found bool) {
	for _, route := range c.Routes {
		if strings.HasPrefix(topic, route.Prefix) {
			return route.Space, true
		}
	}
	return "", false
}

// HasRoutes tells whether any space is reached by routes.
func (c Configuration) HasRoutes() bool { return len(c.Routes) > 0 }

// TopicHash is a 64-bit hash of a topic's name.
func TopicHash(topic string) uint64 {
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

// SharedPartitionName names one of the shared partitions.
func SharedPartitionName(number int) string { return fmt.Sprintf("%s~0/%d", SharedSpace, number) }

// SharedPartition names the partition of a routed topic.
func SharedPartition(topic string) string {
	return SharedPartitionName(int(TopicHash(topic) % SharedPartitions))
}

// IsShared tells whether a partition is one of the shared ones.
func IsShared(partition string) bool { return strings.HasPrefix(partition, SharedSpace+"~") }

// routes reads the routes, and puts the longest prefixes first.
func (r *Reader) routes(path string, value *fastjson.Value, spaces map[string]Space) []Route {
	var routes []Route
	seen := map[string]bool{}
	for position, item := range r.List(path, value, MaxSpaces) {
		here := fmt.Sprintf("%s[%d]", path, position)
		members := r.Object(here, item, "prefix", "space")
		for _, needed := range []string{"prefix", "space"} {
			if members[needed] == nil {
				r.Report(here+"."+needed, "missing", "%s is wanted", needed)
			}
		}
		route := Route{Prefix: r.Text(here+".prefix", members["prefix"], ""), Space: r.Text(here+".space", members["space"], "")}
		if !fitPrefix(route.Prefix) {
			r.Report(here+".prefix", "bad-prefix", "a prefix has at most %d printable letters and no blank", MaxPrefixBytes)
		}
		if seen[route.Prefix] {
			r.Report(here+".prefix", "duplicate-prefix", "the prefix %q stands twice", route.Prefix)
		}
		seen[route.Prefix] = true
		if space, found := spaces[route.Space]; members["space"] != nil && !found {
			r.Report(here+".space", "dangling-name", "no space is named %q", route.Space)
		} else if found && space.Order != OrderTopic {
			r.Report(here+".space", "clash", "routes lead to spaces of order topic only")
		}
		routes = append(routes, route)
	}
	if statemachine.Mutated("first-route-wins") {
		return routes
	}
	slices.SortStableFunc(routes, func(left, right Route) int {
		return cmp.Or(cmp.Compare(len(right.Prefix), len(left.Prefix)), strings.Compare(left.Prefix, right.Prefix))
	})
	return routes
}

func fitPrefix(prefix string) bool {
	if len(prefix) > MaxPrefixBytes {
		return false
	}
	for _, letter := range prefix {
		if letter <= 0x20 || letter == 0x7f || letter == 0xfffd {
			return false
		}
	}
	return true
}
