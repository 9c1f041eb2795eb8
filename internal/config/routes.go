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

// SharedPartitions is the number of partitions that all topics of spaces of OrderTopic
// share. It is independent of the spaces, which operators may add and remove.
const SharedPartitions = 32

// SharedSpace replaces the space's name in the names of shared partitions. It isn't a
// valid name, so it can't be confused with a configured space.
const SharedSpace = "+"

// Names of partitions are SPACE~VERSION/NUMBER, where VERSION is the version of the
// configuration that created the space. Shared partitions have the version 0.
const (
	partitionSeparator = "~"
	sharedPrefix       = SharedSpace + partitionSeparator
)

// Route maps all topics whose names begin with a prefix to a space of OrderTopic. If
// several routes match, the one with the longest prefix applies.
type Route struct {
	Prefix string
	Space  string
}

// SpaceForTopic returns the name of the space to which the longest matching route maps
// a topic. It relies on the order of Routes.
func (c Configuration) SpaceForTopic(topic string) (space string, found bool) {
	for _, route := range c.Routes {
		if strings.HasPrefix(topic, route.Prefix) {
			return route.Space, true
		}
	}
	return "", false
}

// HasRoutes reports whether any topic is routed.
func (c Configuration) HasRoutes() bool { return len(c.Routes) > 0 }

// TopicHash returns a 64-bit hash of a topic's name: FNV-1a with the finalizer
// of MurmurHash3, since FNV alone distributes short names unevenly. The hash selects the
// shared partition that stores a topic's records, and all daemons must compute the same
// one, so it must never change. (partition.ForTopic is a different hash.)
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

// SharedPartitionName returns the name of the shared partition with a number from 0.
func SharedPartitionName(number int) string { return fmt.Sprintf("%s0/%d", sharedPrefix, number) }

// SharedPartition returns the name of the shared partition of a routed topic.
func SharedPartition(topic string) string {
	return SharedPartitionName(int(TopicHash(topic) % SharedPartitions))
}

// IsShared reports whether a partition is one of the shared ones.
func IsShared(partition string) bool { return strings.HasPrefix(partition, sharedPrefix) }

// routes reads the routes and sorts them, the longest prefixes first.
func (r *Reader) routes(path string, value *fastjson.Value, spaces map[string]Space) []Route {
	var routes []Route
	seen := map[string]bool{}
	for index, item := range r.List(path, value, MaxSpaces) {
		route := r.route(indexed(path, index), item, spaces, seen)
		seen[route.Prefix] = true
		routes = append(routes, route)
	}
	if statemachine.Mutated("first-route-wins") {
		return routes
	}
	slices.SortStableFunc(routes, func(left, right Route) int {
		byLength := cmp.Compare(len(right.Prefix), len(left.Prefix))
		return cmp.Or(byLength, strings.Compare(left.Prefix, right.Prefix))
	})
	return routes
}

// route reads one route. seen holds the prefixes of the routes before it.
func (r *Reader) route(path string, value *fastjson.Value, spaces map[string]Space, seen map[string]bool) Route {
	prefixPath, spacePath := path+".prefix", path+".space"
	members := r.Object(path, value, "prefix", "space")
	r.require(path, members, "prefix", "space")
	route := Route{
		Prefix: r.Text(prefixPath, members["prefix"], ""),
		Space:  r.Text(spacePath, members["space"], ""),
	}
	if !validPrefix(route.Prefix) {
		r.Report(prefixPath, FaultBadPrefix,
			"a prefix must be at most %d bytes of printable characters without spaces", MaxPrefixBytes)
	}
	if seen[route.Prefix] {
		r.Report(prefixPath, FaultDuplicatePrefix, "the prefix %q appears twice", route.Prefix)
	}
	space, found := spaces[route.Space]
	switch {
	case members["space"] != nil && !found:
		r.Report(spacePath, FaultDanglingName, "no space is named %q", route.Space)
	case found && space.Order != OrderTopic:
		r.Report(spacePath, FaultConflict, "routes may lead only to spaces of order topic")
	}
	return route
}

// validPrefix reports whether a prefix is short enough and has only printable characters
// other than the space.
func validPrefix(prefix string) bool {
	const del, replacement = 0x7f, 0xfffd
	if len(prefix) > MaxPrefixBytes {
		return false
	}
	for _, char := range prefix {
		if char <= ' ' || char == del || char == replacement {
			return false
		}
	}
	return true
}
